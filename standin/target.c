#include "target.h"

#include <argp.h>
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <sysexits.h>
#include <time.h>
#include <unistd.h>

#include <xxhash.h>

#include "address.h"
#include "loop.h"
#include "standin.h"

#define READ_BYTES 65536
#define MAX_INPUT_BYTES 131072u
#define MAX_OUTPUT_BYTES 262144u
/* Delay of a second answer after the first. */
#define SECOND_ANSWER_S 0.2

enum connection_state {
    STATE_HEAD,
    STATE_BODY,
    STATE_WORK,   /* queued or in a slot */
    STATE_ANSWER, /* head sent, body follows */
    STATE_DONE,   /* nothing more to send */
};

static void advance(struct target_connection *connection);

static void
set_events(struct target_connection *connection, int events)
{
    ev_io *io = &connection->io;
    if (io->events == events) {
        return;
    }
    ev_io_stop(connection->target->ev, io);
    ev_io_set(io, io->fd, events);
    ev_io_start(connection->target->ev, io);
}

static void
leave_slot(struct target_connection *connection)
{
    struct target *target = connection->target;
    if (connection->queued) {
        g_queue_remove(&target->queue, connection);
        connection->queued = false;
    }
    if (!connection->in_slot) {
        return;
    }
    connection->in_slot = false;
    target->in_flight--;
    double us =
        (double)(rp_loop_now_ns() - connection->slot_start_ns) / 1000.0;
    target->mean_service_us += (us - target->mean_service_us) / 16.0;
}

static void start_queued(struct target *target);

static void
close_connection(struct target_connection *connection)
{
    struct target *target = connection->target;
    if (connection->state == STATE_WORK || connection->state == STATE_ANSWER) {
        target->cancelled_total++;
    }
    leave_slot(connection);
    ev_io_stop(target->ev, &connection->io);
    ev_timer_stop(target->ev, &connection->timer);
    ev_timer_stop(target->ev, &connection->late_timer);
    if (connection->reset_on_close) {
        struct linger linger = {.l_onoff = 1, .l_linger = 0};
        setsockopt(connection->io.fd, SOL_SOCKET, SO_LINGER, &linger,
                   sizeof(linger));
    }
    close(connection->io.fd);
    g_byte_array_unref(connection->in);
    g_byte_array_unref(connection->out);
    g_free(connection);
    target->connections_open--;
    start_queued(target);
}

/* Sends as much output as the socket accepts. Returns false when the
 * connection is broken. */
static bool
flush(struct target_connection *connection)
{
    GByteArray *out = connection->out;
    while (connection->out_sent_bytes < out->len) {
        ssize_t sent =
            send(connection->io.fd, out->data + connection->out_sent_bytes,
                 out->len - connection->out_sent_bytes, MSG_NOSIGNAL);
        if (sent < 0) {
            if (errno == EAGAIN) {
                set_events(connection, EV_READ | EV_WRITE);
                return true;
            }
            return false;
        }
        connection->out_sent_bytes += (guint)sent;
        if (connection->endless != NULL) {
            connection->target->flooded_total += (uint64_t)sent;
        }
    }
    g_byte_array_set_size(out, 0);
    connection->out_sent_bytes = 0;
    set_events(connection,
               connection->endless != NULL ? EV_READ | EV_WRITE : EV_READ);
    return true;
}

static void
write_simple_answer(struct target_connection *connection, uint32_t status,
                    const char *extra_fields, const char *text)
{
    target_print(connection,
                 "HTTP/1.1 %u Answer\r\nContent-Length: %zu\r\n%s\r\n", status,
                 strlen(text), extra_fields);
    g_byte_array_append(connection->out, (const guint8 *)text,
                        (guint)strlen(text));
    connection->total_bytes = 0;
    connection->produced_bytes = 0;
    connection->state = STATE_ANSWER;
}

/* Fills in what a target says of its load. */
void
target_fill_load(const struct target *target, struct rp_load_report *report)
{
    int64_t cold_ns = target->cold_until_ns - rp_loop_now_ns();
    *report = (struct rp_load_report){
        .in_flight = target->in_flight,
        .slots = target->slots,
        .queued = target->queue.length,
        .service_us = (uint32_t)target->mean_service_us,
        .state = target->draining ? RP_TARGET_DRAINING : RP_TARGET_SERVING,
        .has_cold = target->cold_until_ns != 0,
        .cold_ms = cold_ns > 0 ? (uint32_t)(cold_ns / 1000000 + 1) : 0,
    };
}

static void
start_cold(struct target *target)
{
    target->cold_until_ns =
        rp_loop_now_ns() + (int64_t)target->cold_ms * 1000000;
    g_array_set_size(target->cold_arrivals_ns, 0);
}

/* Counts the requests of each second of a cold time. */
static void
count_cold_arrival(struct target *target)
{
    int64_t now_ns = rp_loop_now_ns();
    if (now_ns >= target->cold_until_ns) {
        return;
    }
    GArray *arrivals = target->cold_arrivals_ns;
    g_array_append_val(arrivals, now_ns);
    uint32_t count = 0;
    for (guint i = arrivals->len; i > 0; i--) {
        if (now_ns - g_array_index(arrivals, int64_t, i - 1) >= 1000000000) {
            break;
        }
        count++;
    }
    target->cold_most = MAX(target->cold_most, count);
}

static void
refuse_request(struct target_connection *connection)
{
    connection->target->refused_total++;
    GString *extra_fields = g_string_new("RP-Outcome: not-run\r\n");
    if (connection->request.id[0] != '\0') {
        g_string_append_printf(extra_fields, "RP-Request-Id: %s\r\n",
                               connection->request.id);
    }
    g_string_append(extra_fields, "RP-Load: ");
    struct rp_load_report report;
    target_fill_load(connection->target, &report);
    report.service_us = 0;
    rp_load_format(&report, extra_fields);
    g_string_append(extra_fields, "\r\n");
    write_simple_answer(connection, 503, extra_fields->str, "");
    g_string_free(extra_fields, TRUE);
}

static void
answer_control(struct target_connection *connection)
{
    struct target *target = connection->target;
    const char *path = connection->request.path;
    GString *text = g_string_new(NULL);
    if (strcmp(path, "/ran") == 0 && connection->request.id[0] != '\0') {
        gpointer count =
            g_hash_table_lookup(target->run_counts, connection->request.id);
        g_string_printf(text, "%u\n", GPOINTER_TO_UINT(count));
    }
    else if (strcmp(path, "/ran") == 0) {
        GHashTableIter iterator;
        gpointer key;
        gpointer value;
        g_hash_table_iter_init(&iterator, target->run_counts);
        while (g_hash_table_iter_next(&iterator, &key, &value)) {
            g_string_append_printf(text, "%s %u\n", (char *)key,
                                   GPOINTER_TO_UINT(value));
        }
    }
    else if (strcmp(path, "/cold") == 0) {
        start_cold(target);
    }
    else if (strcmp(path, "/drain") == 0 || strcmp(path, "/serve") == 0) {
        target->draining = strcmp(path, "/drain") == 0;
    }
    else {
        g_string_printf(
            text,
            "ran %" G_GUINT64_FORMAT " refused %" G_GUINT64_FORMAT
            " cancelled %" G_GUINT64_FORMAT " flooded %" G_GUINT64_FORMAT
            " connections %" G_GUINT64_FORMAT " open %u cold_most %u\n",
            target->run_total, target->refused_total, target->cancelled_total,
            target->flooded_total, target->connections_total,
            target->connections_open, target->cold_most);
    }
    GString *extra_fields = g_string_new("RP-Load: ");
    struct rp_load_report report;
    target_fill_load(target, &report);
    rp_load_format(&report, extra_fields);
    g_string_append(extra_fields, "\r\n");
    write_simple_answer(connection, 200, extra_fields->str, text->str);
    g_string_free(extra_fields, TRUE);
    g_string_free(text, TRUE);
}

static void
start_answer(struct target_connection *connection)
{
    connection->state = STATE_ANSWER;
    if (target_fault_before_body(connection)) {
        connection->state = STATE_DONE;
        leave_slot(connection);
        return;
    }
    target_write_head(connection, &connection->request);
}

static void
on_timer(struct ev_loop *ev, ev_timer *watcher, int events)
{
    (void)ev;
    (void)events;
    struct target_connection *connection = watcher->data;
    if (connection->state == STATE_WORK) {
        start_answer(connection);
    }
    advance(connection);
}

static void
on_late_timer(struct ev_loop *ev, ev_timer *watcher, int events)
{
    (void)ev;
    (void)events;
    struct target_connection *connection = watcher->data;
    target_write_second_answer(connection);
    advance(connection);
}

static void
run_request(struct target_connection *connection)
{
    struct target *target = connection->target;
    connection->in_slot = true;
    connection->slot_start_ns = rp_loop_now_ns();
    target->in_flight++;
    target->run_total++;
    const char *id = connection->request.id;
    gpointer count = g_hash_table_lookup(target->run_counts, id);
    if (id[0] != '\0' && (count != NULL || strncmp(id, "load", 4) != 0)) {
        g_hash_table_insert(target->run_counts, g_strdup(id),
                            GUINT_TO_POINTER(GPOINTER_TO_UINT(count) + 1));
    }
    uint32_t sleep_ms = connection->request.sleep_ms;
    if (sleep_ms == 0) {
        start_answer(connection);
        return;
    }
    ev_now_update(target->ev);
    ev_timer_set(&connection->timer, sleep_ms / 1e3, 0.0);
    ev_timer_start(target->ev, &connection->timer);
}

static void
start_queued(struct target *target)
{
    while (target->in_flight < target->slots && target->queue.length > 0) {
        struct target_connection *connection =
            g_queue_pop_head(&target->queue);
        connection->queued = false;
        if (connection->request.deadline_ns > 0 &&
            rp_loop_now_ns() > connection->request.deadline_ns)
        {
            refuse_request(connection);
        }
        else {
            run_request(connection);
        }
        advance(connection);
    }
}

/* Runs, queues or refuses a request that was received completely. */
static void
dispatch_request(struct target_connection *connection)
{
    struct target *target = connection->target;
    struct target_request *request = &connection->request;
    static const char *const control_paths[] = {"/load",  "/ran",    "/drain",
                                                "/serve", "/counts", "/cold"};
    connection->state = STATE_WORK;
    for (guint i = 0; i < G_N_ELEMENTS(control_paths); i++) {
        if (strcmp(request->path, control_paths[i]) == 0) {
            answer_control(connection);
            return;
        }
    }
    count_cold_arrival(target);
    if (request->sleep_ms == 0) {
        request->sleep_ms = target->default_sleep_ms;
    }
    if (request->fault == FAULT_ENDLESS_REFUSAL) {
        target->refused_total++;
        start_answer(connection);
    }
    else if (target->draining || request->fault == FAULT_REFUSE ||
             target->queue.length >= target->queue_limit)
    {
        refuse_request(connection);
    }
    else if (target->in_flight < target->slots) {
        run_request(connection);
    }
    else {
        connection->queued = true;
        g_queue_push_tail(&target->queue, connection);
    }
}

static bool
read_head(struct target_connection *connection)
{
    GByteArray *in = connection->in;
    char *end = memmem(in->data, in->len, "\r\n\r\n", 4);
    if (end == NULL) {
        return false;
    }
    *end = '\0';
    guint bytes = (guint)(end + 4 - (char *)in->data);
    struct target_request *request = &connection->request;
    memset(request, 0, sizeof(*request));
    if (!target_parse_head((const char *)in->data, request)) {
        connection->close_after_flush = true;
        connection->state = STATE_DONE;
        return false;
    }
    g_byte_array_remove_range(in, 0, bytes);
    if (request->expects_continue) {
        target_print(connection, "HTTP/1.1 100 Continue\r\n\r\n");
    }
    connection->state = STATE_BODY;
    if (request->fault == FAULT_EARLY) {
        request->keep_alive = false;
        request->body_chunked = false;
        request->body_left_bytes = 0;
    }
    return true;
}

static void
consume_body(struct target_connection *connection, uint64_t bytes)
{
    struct target_request *request = &connection->request;
    request->body_hash = XXH3_64bits_withSeed(&bytes, 0, request->body_hash);
    for (guint i = 0; i < bytes; i++) {
        request->body_hash = request->body_hash * 31 + connection->in->data[i];
    }
    request->body_bytes += bytes;
    request->body_left_bytes -= bytes;
    g_byte_array_remove_range(connection->in, 0, (guint)bytes);
}

/* Consumes the received part of the body. Returns whether it is complete. */
static bool
read_body(struct target_connection *connection)
{
    struct target_request *request = &connection->request;
    for (;;) {
        uint64_t part = MIN(request->body_left_bytes, connection->in->len);
        if (part > 0) {
            consume_body(connection, part);
        }
        if (!request->body_chunked || request->body_left_bytes > 0) {
            return request->body_left_bytes == 0;
        }
        GByteArray *in = connection->in;
        /* The data of a chunk ends with a CRLF before the next size. */
        guint skip = in->len >= 2 && in->data[0] == '\r' ? 2 : 0;
        char *end = in->len <= skip
                        ? NULL
                        : memmem(in->data + skip, in->len - skip, "\r\n", 2);
        if (end == NULL) {
            return false;
        }
        request->body_left_bytes =
            g_ascii_strtoull((char *)in->data + skip, NULL, 16);
        bool last = request->body_left_bytes == 0;
        guint bytes = (guint)(end + 2 - (char *)in->data);
        if (last && in->len < bytes + 2) {
            return false;
        }
        g_byte_array_remove_range(in, 0, bytes + (last ? 2 : 0));
        if (last) {
            return true;
        }
    }
}

static bool
is_fault_due(const struct target_connection *connection)
{
    return connection->request.fault != FAULT_NONE &&
           connection->produced_bytes * 2 >= connection->total_bytes &&
           connection->total_bytes > 0;
}

/* Appends the answer's body to the output up to the rate and buffer limits.
 * Returns whether it is complete. */
static bool
write_body(struct target_connection *connection)
{
    while (connection->produced_bytes < connection->total_bytes) {
        if (is_fault_due(connection) && target_fault_in_body(connection)) {
            connection->state = STATE_DONE;
            leave_slot(connection);
            return false;
        }
        if (connection->out->len > MAX_OUTPUT_BYTES) {
            return false;
        }
        target_write_body_part(connection);
        if (connection->request.rate_bytes_s > 0 &&
            connection->produced_bytes < connection->total_bytes)
        {
            ev_timer_set(&connection->timer, 0.02, 0.0);
            ev_timer_start(connection->target->ev, &connection->timer);
            return false;
        }
    }
    if (connection->total_bytes == 0) {
        if (connection->request.answer_chunked &&
            connection->produced_bytes == 0 && connection->in_slot &&
            strcmp(connection->request.method, "HEAD") != 0)
        {
            target_print(connection, "0\r\n\r\n");
        }
    }
    return true;
}

static void
finish_answer(struct target_connection *connection)
{
    leave_slot(connection);
    connection->served_count++;
    if (connection->request.fault == FAULT_SECOND_COPY ||
        connection->request.fault == FAULT_SECOND_REFUSAL)
    {
        connection->late_request = connection->request;
        ev_now_update(connection->target->ev);
        ev_timer_set(&connection->late_timer, SECOND_ANSWER_S, 0.0);
        ev_timer_start(connection->target->ev, &connection->late_timer);
    }
    connection->state = STATE_HEAD;
    if (!connection->request.keep_alive) {
        connection->state = STATE_DONE;
        connection->close_after_flush = true;
    }
    connection->total_bytes = 0;
    connection->produced_bytes = 0;
}

/* Processes input and output of a connection until it has to wait. Frees it
 * when it is closed. */
static void
advance(struct target_connection *connection)
{
    struct target *target = connection->target;
    bool can_advance = true;
    while (can_advance) {
        can_advance = false;
        if (connection->state == STATE_HEAD) {
            can_advance = read_head(connection);
        }
        if (connection->state == STATE_BODY && read_body(connection)) {
            dispatch_request(connection);
        }
        if (connection->state == STATE_ANSWER && write_body(connection)) {
            finish_answer(connection);
            can_advance = connection->in->len > 0;
        }
        if (connection->endless != NULL) {
            target_write_endless(connection, MAX_OUTPUT_BYTES);
        }
        if (!flush(connection) ||
            (connection->close_after_flush && connection->out->len == 0))
        {
            close_connection(connection);
            return;
        }
        can_advance |= connection->state == STATE_ANSWER &&
                       connection->out->len == 0 &&
                       !ev_is_active(&connection->timer);
    }
    start_queued(target);
}

static void
on_io(struct ev_loop *ev, ev_io *watcher, int events)
{
    (void)ev;
    struct target_connection *connection = watcher->data;
    if ((events & EV_READ) != 0) {
        static uint8_t buffer[READ_BYTES];
        ssize_t bytes = recv(watcher->fd, buffer, sizeof(buffer), 0);
        if (bytes == 0 || (bytes < 0 && errno != EAGAIN) ||
            connection->in->len > MAX_INPUT_BYTES)
        {
            close_connection(connection);
            return;
        }
        if (bytes > 0) {
            g_byte_array_append(connection->in, buffer, (guint)bytes);
        }
    }
    advance(connection);
}

static void
on_accept(struct ev_loop *ev, ev_io *watcher, int events)
{
    (void)events;
    struct target *target = watcher->data;
    int socket;
    while ((socket = accept4(watcher->fd, NULL, NULL,
                             SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0)
    {
        int one = 1;
        setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
        struct target_connection *connection =
            g_new0(struct target_connection, 1);
        connection->target = target;
        connection->in = g_byte_array_new();
        connection->out = g_byte_array_new();
        ev_io_init(&connection->io, on_io, socket, EV_READ);
        ev_timer_init(&connection->timer, on_timer, 0.0, 0.0);
        ev_timer_init(&connection->late_timer, on_late_timer, 0.0, 0.0);
        connection->late_timer.data = connection;
        connection->io.data = connection;
        connection->timer.data = connection;
        ev_io_start(ev, &connection->io);
        target->connections_total++;
        target->connections_open++;
    }
}

static void
on_end(struct ev_loop *ev, ev_timer *watcher, int events)
{
    (void)watcher;
    (void)events;
    ev_break(ev, EVBREAK_ALL);
}

struct target_options {
    struct target *target;
    const char *address;
    double lifetime_s;
};

static error_t
parse_option(int key, char *argument, struct argp_state *state)
{
    struct target_options *options = state->input;
    switch (key) {
    case 'a':
        options->address = argument;
        return 0;
    case 's':
        options->target->slots = (uint32_t)strtoul(argument, NULL, 10);
        return 0;
    case 'q':
        options->target->queue_limit = (uint32_t)strtoul(argument, NULL, 10);
        return 0;
    case 'w':
        options->target->default_sleep_ms =
            (uint32_t)strtoul(argument, NULL, 10);
        return 0;
    case 'c':
        options->target->cold_ms = (uint32_t)strtoul(argument, NULL, 10);
        return 0;
    case 'l':
        options->lifetime_s = strtod(argument, NULL);
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

static int
listen_at(const char *text)
{
    struct sockaddr_in address;
    if (!rp_address_parse(text, &address)) {
        return -1;
    }
    int one = 1;
    int socket_fd =
        socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    setsockopt(socket_fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    if (bind(socket_fd, (struct sockaddr *)&address, sizeof(address)) != 0 ||
        listen(socket_fd, 1024) != 0)
    {
        close(socket_fd);
        return -1;
    }
    return socket_fd;
}

/* Runs the target until it is killed or its lifetime ends. */
int
standin_target_main(int argc, char **argv)
{
    static const struct argp_option option_list[] = {
        {"address", 'a', "IP:PORT", 0, "where to listen", 0},
        {"slots", 's', "N", 0, "requests served at the same time (6)", 0},
        {"queue", 'q', "N", 0, "maximum queue length (64)", 0},
        {"work-ms", 'w', "MS", 0, "service time of requests without sleep_ms",
         0},
        {"cold-ms", 'c', "MS", 0,
         "cold for this time after the start and each request for /cold", 0},
        {"life-s", 'l', "S", 0, "stop after this time (600)", 0},
        {0},
    };
    static const struct argp argp = {
        option_list, parse_option, NULL, "A target for tests.",
        NULL,        NULL,         NULL};
    struct target target = {.slots = 6, .queue_limit = 64};
    struct target_options options = {.target = &target, .lifetime_s = 600.0};
    argp_parse(&argp, argc, argv, 0, NULL, &options);
    int socket = options.address == NULL ? -1 : listen_at(options.address);
    if (socket < 0) {
        g_printerr("rp-standin target: cannot listen; give --address "
                   "IP:PORT with a free port\n");
        return EX_UNAVAILABLE;
    }
    target.ev = ev_loop_new(EVFLAG_AUTO);
    target.run_counts =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    target.cold_arrivals_ns = g_array_new(FALSE, FALSE, sizeof(int64_t));
    if (target.cold_ms > 0) {
        start_cold(&target);
    }
    ev_io_init(&target.listen, on_accept, socket, EV_READ);
    ev_timer_init(&target.end_timer, on_end, options.lifetime_s, 0.0);
    target.listen.data = &target;
    ev_io_start(target.ev, &target.listen);
    ev_timer_start(target.ev, &target.end_timer);
    ev_run(target.ev, 0);
    close(socket);
    g_hash_table_unref(target.run_counts);
    g_array_unref(target.cold_arrivals_ns);
    ev_loop_destroy(target.ev);
    return EX_OK;
}
