#include <argp.h>
#include <arpa/inet.h>
#include <errno.h>
#include <ev.h>
#include <fcntl.h>
#include <glib.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sysexits.h>
#include <unistd.h>

#include "standin.h"

#define MAX_LINKS 64
#define CHUNK_BYTES 16384
/* Limit of buffered bytes for one direction. Above it, no more data is read
 * from the sender. */
#define MAX_QUEUED_BYTES 262144
#define MAX_COMMAND_BYTES 128
#define MAX_DELAY_MS 60000

enum relay_mode {
    MODE_PASS,
    MODE_CUT,          /* connections are closed, new ones refused */
    MODE_STALL,        /* "hole": connections stay open without data */
    MODE_STALL_CALLER, /* "deaf": no data from callers */
    MODE_STALL_TARGET, /* "mute": no data from the target */
};

struct relay_link;

struct chunk {
    ev_tstamp due_s;
    size_t bytes;
    size_t sent_bytes;
    uint8_t data[];
};

/* One direction of a connection. */
struct flow {
    int from_fd;
    int to_fd;
    ev_io readable;
    ev_io writable;
    ev_timer timer;
    GQueue chunks;
    size_t queued_bytes;
    bool source_ended; /* end of stream received */
    struct connection *connection;
};

struct connection {
    struct relay_link *link;
    struct flow flows[2];
    bool stalled; /* until it is closed */
    bool connecting;
};

struct relay_link {
    struct sockaddr_in listen_address;
    struct sockaddr_in target_address;
    int listener_fd;
    ev_io watcher;
    enum relay_mode mode;
    uint32_t delay_ms;
    GPtrArray *connections;
    struct relay *relay;
};

struct relay {
    struct ev_loop *ev;
    struct relay_link links[MAX_LINKS];
    uint32_t link_count;
    struct sockaddr_in control_address;
    bool has_control;
    int control_fd;
    ev_io control_watcher;
};

/* A connection to the control address. */
struct controller {
    int fd;
    ev_io watcher;
    struct relay *relay;
    char line[MAX_COMMAND_BYTES];
    size_t line_bytes;
};

static bool
parse_address(const char *text, struct sockaddr_in *address)
{
    char **parts = g_strsplit(text, ":", 2);
    guint64 port = 0;
    memset(address, 0, sizeof(*address));
    address->sin_family = AF_INET;
    bool valid =
        parts[0] != NULL && parts[1] != NULL &&
        inet_pton(AF_INET, parts[0], &address->sin_addr) == 1 &&
        g_ascii_string_to_unsigned(parts[1], 10, 1, 65535, &port, NULL);
    g_strfreev(parts);
    address->sin_port = htons((uint16_t)port);
    /* Tests use loopback addresses only. */
    return valid && (ntohl(address->sin_addr.s_addr) >> 24) == 127;
}

static int
open_socket(void)
{
    int one = 1;
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    if (fd >= 0) {
        setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    }
    return fd;
}

static int
listen_at(const struct sockaddr_in *address)
{
    int fd = open_socket();
    if (fd < 0 ||
        bind(fd, (const struct sockaddr *)address, sizeof(*address)) != 0 ||
        listen(fd, 128) != 0)
    {
        perror("rp-standin relay: cannot listen");
        return -1;
    }
    return fd;
}

static void
close_connection(struct connection *connection)
{
    struct ev_loop *ev = connection->link->relay->ev;
    /* Reset the connection, as a network device that loses it does. */
    struct linger abort_on_close = {.l_onoff = 1, .l_linger = 0};
    for (int i = 0; i < 2; i++) {
        struct flow *flow = &connection->flows[i];
        ev_io_stop(ev, &flow->readable);
        ev_io_stop(ev, &flow->writable);
        ev_timer_stop(ev, &flow->timer);
        g_queue_clear_full(&flow->chunks, g_free);
        if (!flow->source_ended) {
            setsockopt(flow->from_fd, SOL_SOCKET, SO_LINGER, &abort_on_close,
                       sizeof(abort_on_close));
        }
    }
    close(connection->flows[0].from_fd);
    close(connection->flows[1].from_fd);
    g_ptr_array_remove_fast(connection->link->connections, connection);
    g_free(connection);
}

static bool
is_forwarding(const struct flow *flow)
{
    const struct connection *connection = flow->connection;
    enum relay_mode mode = connection->link->mode;
    bool from_caller = flow == &connection->flows[0];
    return !connection->stalled &&
           (mode == MODE_PASS || (mode == MODE_STALL_CALLER && !from_caller) ||
            (mode == MODE_STALL_TARGET && from_caller));
}

static void
update_watchers(struct flow *flow)
{
    struct connection *connection = flow->connection;
    struct ev_loop *ev = connection->link->relay->ev;
    const struct chunk *first = g_queue_peek_head(&flow->chunks);
    bool forwarding = is_forwarding(flow) && !connection->connecting;
    ev_io_stop(ev, &flow->readable);
    ev_io_stop(ev, &flow->writable);
    ev_timer_stop(ev, &flow->timer);
    if (!forwarding) {
        return;
    }
    if (!flow->source_ended && flow->queued_bytes < MAX_QUEUED_BYTES) {
        ev_io_start(ev, &flow->readable);
    }
    if (first != NULL && first->due_s <= ev_now(ev)) {
        ev_io_start(ev, &flow->writable);
    }
    else if (first != NULL) {
        ev_timer_set(&flow->timer, first->due_s - ev_now(ev), 0.0);
        ev_timer_start(ev, &flow->timer);
    }
}

/* Ends the direction towards its receiver. Returns whether both directions
 * have ended and the connection is freed. */
static bool
finish_flow(struct flow *flow)
{
    struct connection *connection = flow->connection;
    const struct flow *other =
        &connection->flows[flow == &connection->flows[0]];
    shutdown(flow->to_fd, SHUT_WR);
    if (other->source_ended && g_queue_is_empty((GQueue *)&other->chunks)) {
        close_connection(connection);
        return true;
    }
    return false;
}

static void
on_readable(struct ev_loop *ev, ev_io *watcher, int events)
{
    struct flow *flow = watcher->data;
    struct chunk *chunk = g_malloc(sizeof(*chunk) + CHUNK_BYTES);
    ssize_t bytes = recv(flow->from_fd, chunk->data, CHUNK_BYTES, 0);
    (void)events;
    if (bytes <= 0) {
        bool is_temporary = bytes < 0 && (errno == EAGAIN || errno == EINTR);
        g_free(chunk);
        if (is_temporary) {
            return;
        }
        if (bytes < 0) {
            close_connection(flow->connection);
            return;
        }
        flow->source_ended = true;
        if (g_queue_is_empty(&flow->chunks) && finish_flow(flow)) {
            return;
        }
        update_watchers(flow);
        return;
    }
    chunk->bytes = (size_t)bytes;
    chunk->sent_bytes = 0;
    chunk->due_s = ev_now(ev) + flow->connection->link->delay_ms / 1000.0;
    g_queue_push_tail(&flow->chunks, chunk);
    flow->queued_bytes += chunk->bytes;
    update_watchers(flow);
}

static void
on_writable(struct ev_loop *ev, ev_io *watcher, int events)
{
    struct flow *flow = watcher->data;
    struct chunk *chunk = g_queue_peek_head(&flow->chunks);
    (void)ev;
    (void)events;
    ssize_t bytes = send(flow->to_fd, chunk->data + chunk->sent_bytes,
                         chunk->bytes - chunk->sent_bytes, MSG_NOSIGNAL);
    if (bytes < 0) {
        if (errno != EAGAIN && errno != EINTR) {
            close_connection(flow->connection);
        }
        return;
    }
    chunk->sent_bytes += (size_t)bytes;
    flow->queued_bytes -= (size_t)bytes;
    if (chunk->sent_bytes == chunk->bytes) {
        g_free(g_queue_pop_head(&flow->chunks));
    }
    if (flow->source_ended && g_queue_is_empty(&flow->chunks) &&
        finish_flow(flow)) {
        return;
    }
    update_watchers(flow);
}

static void
on_delay_end(struct ev_loop *ev, ev_timer *watcher, int events)
{
    (void)ev;
    (void)events;
    update_watchers(watcher->data);
}

static void
on_connected(struct ev_loop *ev, ev_io *watcher, int events)
{
    struct flow *flow = watcher->data;
    struct connection *connection = flow->connection;
    int error = 0;
    socklen_t bytes = sizeof(error);
    (void)events;
    ev_io_stop(ev, watcher);
    getsockopt(flow->to_fd, SOL_SOCKET, SO_ERROR, &error, &bytes);
    if (error != 0) {
        close_connection(connection);
        return;
    }
    connection->connecting = false;
    ev_set_cb(&flow->writable, on_writable);
    update_watchers(&connection->flows[0]);
    update_watchers(&connection->flows[1]);
}

static void
start_flow(struct connection *connection, struct flow *flow, int from, int to)
{
    flow->connection = connection;
    flow->from_fd = from;
    flow->to_fd = to;
    g_queue_init(&flow->chunks);
    ev_io_init(&flow->readable, on_readable, from, EV_READ);
    ev_io_init(&flow->writable, on_writable, to, EV_WRITE);
    ev_timer_init(&flow->timer, on_delay_end, 0.0, 0.0);
    flow->readable.data = flow;
    flow->writable.data = flow;
    flow->timer.data = flow;
}

static void
on_accept(struct ev_loop *ev, ev_io *watcher, int events)
{
    struct relay_link *link = watcher->data;
    int caller = accept4(link->listener_fd, NULL, NULL, SOCK_NONBLOCK);
    (void)events;
    if (caller < 0) {
        return;
    }
    int target = link->mode == MODE_CUT ? -1 : open_socket();
    if (target < 0 ||
        (connect(target, (const struct sockaddr *)&link->target_address,
                 sizeof(link->target_address)) != 0 &&
         errno != EINPROGRESS))
    {
        close(caller);
        if (target >= 0) {
            close(target);
        }
        return;
    }
    struct connection *connection = g_new0(struct connection, 1);
    connection->link = link;
    connection->connecting = true;
    start_flow(connection, &connection->flows[0], caller, target);
    start_flow(connection, &connection->flows[1], target, caller);
    ev_set_cb(&connection->flows[0].writable, on_connected);
    ev_io_start(ev, &connection->flows[0].writable);
    g_ptr_array_add(link->connections, connection);
}

static void
update_link(struct relay_link *link)
{
    for (guint i = link->connections->len; i > 0; i--) {
        struct connection *connection =
            g_ptr_array_index(link->connections, i - 1);
        if (link->mode == MODE_CUT) {
            close_connection(connection);
        }
        else if (!connection->connecting) {
            update_watchers(&connection->flows[0]);
            update_watchers(&connection->flows[1]);
        }
    }
}

/* Closes a connection so that both sides receive a reset. */
static void
reset_connection(struct connection *connection)
{
    struct linger reset_on_close = {.l_onoff = 1};
    for (int i = 0; i < 2; i++) {
        setsockopt(connection->flows[i].from_fd, SOL_SOCKET, SO_LINGER,
                   &reset_on_close, sizeof(reset_on_close));
    }
    close_connection(connection);
}

static bool
apply_command(struct relay_link *link, const char *verb, uint32_t value)
{
    if (strcmp(verb, "pass") == 0) {
        link->mode = MODE_PASS;
        link->delay_ms = 0;
    }
    else if (strcmp(verb, "cut") == 0) {
        link->mode = MODE_CUT;
    }
    else if (strcmp(verb, "hole") == 0) {
        link->mode = MODE_STALL;
    }
    else if (strcmp(verb, "deaf") == 0) {
        link->mode = MODE_STALL_CALLER;
    }
    else if (strcmp(verb, "mute") == 0) {
        link->mode = MODE_STALL_TARGET;
    }
    else if (strcmp(verb, "reset") == 0) {
        for (guint i = link->connections->len; i > 0; i--) {
            reset_connection(g_ptr_array_index(link->connections, i - 1));
        }
    }
    else if (strcmp(verb, "delay") == 0) {
        link->delay_ms = value;
    }
    else if (strcmp(verb, "silence") == 0) {
        for (guint i = 0; i < link->connections->len; i++) {
            struct connection *connection =
                g_ptr_array_index(link->connections, i);
            connection->stalled = true;
        }
    }
    else {
        return false;
    }
    update_link(link);
    return true;
}

/* Applies a command to one link or to all. The forms are "VERB", "VERB LINK"
 * and "delay MS [LINK]"; links are numbered from 0. Returns false for an
 * invalid command. */
static bool
run_command(struct relay *relay, const char *line)
{
    char **words = g_strsplit(line, " ", 4);
    guint count = g_strv_length(words);
    bool has_value = count > 0 && strcmp(words[0], "delay") == 0;
    guint link_word_index = has_value ? 2 : 1;
    guint64 value = 0;
    guint64 link_number = 0;
    bool single_link = count > link_word_index;
    bool valid =
        count > 0 && count <= link_word_index + 1 &&
        (!has_value ||
         (count > 1 && g_ascii_string_to_unsigned(
                           words[1], 10, 0, MAX_DELAY_MS, &value, NULL))) &&
        (!single_link || g_ascii_string_to_unsigned(words[link_word_index], 10,
                                                    0, relay->link_count - 1,
                                                    &link_number, NULL));
    for (uint32_t i = 0; valid && i < relay->link_count; i++) {
        if (!single_link || i == link_number) {
            valid = apply_command(&relay->links[i], words[0], (uint32_t)value);
        }
    }
    g_strfreev(words);
    return valid;
}

static void
close_controller(struct controller *controller)
{
    ev_io_stop(controller->relay->ev, &controller->watcher);
    close(controller->fd);
    g_free(controller);
}

static void
on_command(struct ev_loop *ev, ev_io *watcher, int events)
{
    struct controller *controller = watcher->data;
    size_t free_bytes = sizeof(controller->line) - 1 - controller->line_bytes;
    ssize_t bytes =
        recv(controller->fd, controller->line + controller->line_bytes,
             free_bytes, 0);
    (void)ev;
    (void)events;
    if (bytes < 0 && (errno == EAGAIN || errno == EINTR)) {
        return;
    }
    if (bytes <= 0) {
        close_controller(controller);
        return;
    }
    controller->line_bytes += (size_t)bytes;
    controller->line[controller->line_bytes] = '\0';
    char *end;
    while ((end = strchr(controller->line, '\n')) != NULL) {
        *end = '\0';
        const char *reply = run_command(controller->relay, controller->line)
                                ? "ok\n"
                                : "unknown command\n";
        if (send(controller->fd, reply, strlen(reply), MSG_NOSIGNAL) < 0) {
            close_controller(controller);
            return;
        }
        controller->line_bytes -= (size_t)(end + 1 - controller->line);
        memmove(controller->line, end + 1, controller->line_bytes + 1);
    }
    if (controller->line_bytes == sizeof(controller->line) - 1) {
        close_controller(controller);
    }
}

static void
on_control_accept(struct ev_loop *ev, ev_io *watcher, int events)
{
    struct relay *relay = watcher->data;
    int fd = accept4(relay->control_fd, NULL, NULL, SOCK_NONBLOCK);
    (void)events;
    if (fd < 0) {
        return;
    }
    struct controller *controller = g_new0(struct controller, 1);
    controller->fd = fd;
    controller->relay = relay;
    ev_io_init(&controller->watcher, on_command, fd, EV_READ);
    controller->watcher.data = controller;
    ev_io_start(ev, &controller->watcher);
}

static const struct argp_option options[] = {
    {"link", 'l', "LISTEN=TARGET", 0,
     "forward connections to LISTEN (ip:port) to TARGET; may be repeated", 0},
    {"control", 'c', "IP:PORT", 0, "listen there for commands, one per line",
     0},
    {0},
};

static error_t
parse_link(struct relay *relay, const char *value, struct argp_state *state)
{
    char **parts = g_strsplit(value, "=", 2);
    struct relay_link *link = &relay->links[relay->link_count];
    bool valid = relay->link_count < MAX_LINKS && parts[1] != NULL &&
                 parse_address(parts[0], &link->listen_address) &&
                 parse_address(parts[1], &link->target_address);
    g_strfreev(parts);
    if (!valid) {
        argp_error(state,
                   "'%s' must be 127.x.x.x:PORT=127.x.x.x:PORT, and at most "
                   "%d links",
                   value, MAX_LINKS);
        return EINVAL;
    }
    relay->link_count++;
    return 0;
}

static error_t
parse_option(int key, char *value, struct argp_state *state)
{
    struct relay *relay = state->input;
    switch (key) {
    case 'l':
        return parse_link(relay, value, state);
    case 'c':
        relay->has_control = parse_address(value, &relay->control_address);
        if (!relay->has_control) {
            argp_error(state, "'%s' must be 127.x.x.x:PORT", value);
        }
        return 0;
    case ARGP_KEY_END:
        if (relay->link_count == 0) {
            argp_error(state, "give at least one --link");
        }
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

static bool
open_ports(struct relay *relay)
{
    for (uint32_t i = 0; i < relay->link_count; i++) {
        struct relay_link *link = &relay->links[i];
        link->relay = relay;
        link->connections = g_ptr_array_new();
        link->listener_fd = listen_at(&link->listen_address);
        if (link->listener_fd < 0) {
            return false;
        }
        ev_io_init(&link->watcher, on_accept, link->listener_fd, EV_READ);
        link->watcher.data = link;
        ev_io_start(relay->ev, &link->watcher);
    }
    if (!relay->has_control) {
        return true;
    }
    relay->control_fd = listen_at(&relay->control_address);
    if (relay->control_fd < 0) {
        return false;
    }
    ev_io_init(&relay->control_watcher, on_control_accept, relay->control_fd,
               EV_READ);
    relay->control_watcher.data = relay;
    ev_io_start(relay->ev, &relay->control_watcher);
    return true;
}

/* Forwards TCP connections until the process is killed, and disturbs them on
 * command: "cut" closes connections and refuses new ones, "hole" keeps all
 * open and forwards nothing, "deaf" and "mute" forward nothing from callers or
 * from the target, "reset" resets the open connections, "silence" stops
 * forwarding on the open connections until they are closed while new ones
 * work, "delay MS" delays the data, "pass" ends cut, hole, deaf, mute and
 * delay. */
int
standin_relay_main(int argc, char **argv)
{
    struct argp argp = {
        options,
        parse_option,
        NULL,
        "Forward TCP connections on this machine and disturb them on command: "
        "cut, hole, deaf, mute, reset, silence, delay MS, pass; each may be "
        "followed by the "
        "number of one link.",
        NULL,
        NULL,
        NULL,
    };
    struct relay *relay = g_new0(struct relay, 1);
    relay->ev = ev_default_loop(EVFLAG_AUTO);
    if (argp_parse(&argp, argc, argv, 0, NULL, relay) != 0) {
        return EX_USAGE;
    }
    if (!open_ports(relay)) {
        return EX_UNAVAILABLE;
    }
    ev_run(relay->ev, 0);
    return 0;
}
