#include <argp.h>
#include <errno.h>
#include <math.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sysexits.h>
#include <unistd.h>

#include <ev.h>
#include <glib.h>

#include "address.h"
#include "loop.h"
#include "standin.h"

/* Requests that may wait for a connection of a route; further ones fail. */
#define MAX_WAITING_REQUESTS 200000u
#define READ_BYTES 65536

/* A connection, which carries one request at a time. */
struct load_connection {
    struct load_route *route;
    ev_io io;
    bool awaiting_answer;
    int64_t scheduled_ns;
    GByteArray *in;
    uint64_t body_left;
    bool head_parsed;
};

/* One of the two routes of requests. */
struct load_route {
    struct load *load;
    const char *name;
    struct sockaddr_in address;
    GPtrArray *idle;
    GArray *waiting; /* scheduled times of requests without connection */
    guint first_waiting;
    GArray *latencies_ns;
    uint32_t open_count;
    uint64_t answered_count;
    uint64_t failed_count;
    uint64_t late_count; /* answered after the end of the run */
};

struct load {
    struct ev_loop *ev;
    ev_timer request_timer;
    ev_timer end_timer;
    ev_prepare prepare;
    struct load_route routes[2]; /* direct, through the system */
    double rate;
    double duration_s;
    uint32_t connections;
    uint32_t idle_connections;
    const char *path;
    const char *method;
    int64_t start_ns;
    int64_t stop_ns;
    int64_t next_request_ns;
    uint64_t started_count;
    uint32_t route_mask; /* bit i is set when routes[i] is used */
    GRand *random;
    char *request;
    size_t request_bytes;
};

static void send_request(struct load_connection *connection,
                         int64_t scheduled_ns);

static void
start_waiting_request(struct load_connection *connection)
{
    struct load_route *route = connection->route;
    connection->awaiting_answer = false;
    if (route->first_waiting < route->waiting->len) {
        int64_t scheduled_ns =
            g_array_index(route->waiting, int64_t, route->first_waiting++);
        send_request(connection, scheduled_ns);
        return;
    }
    g_ptr_array_add(route->idle, connection);
}

static void
close_connection(struct load_connection *connection)
{
    struct load_route *route = connection->route;
    if (connection->awaiting_answer) {
        route->failed_count++;
    }
    else {
        g_ptr_array_remove_fast(route->idle, connection);
    }
    ev_io_stop(route->load->ev, &connection->io);
    close(connection->io.fd);
    g_byte_array_unref(connection->in);
    g_free(connection);
    route->open_count--;
}

static bool
parse_head(struct load_connection *connection)
{
    GByteArray *in = connection->in;
    char *end = memmem(in->data, in->len, "\r\n\r\n", 4);
    if (end == NULL) {
        return false;
    }
    char *length = memmem(in->data, (size_t)(end - (char *)in->data),
                          "Content-Length: ", 16);
    connection->body_left =
        length == NULL ? 0 : g_ascii_strtoull(length + 16, NULL, 10);
    if (memcmp(in->data, "HTTP/1.1 200", 12) != 0) {
        connection->route->failed_count++;
    }
    connection->head_parsed = true;
    g_byte_array_remove_range(in, 0, (guint)(end + 4 - (char *)in->data));
    return true;
}

static void
process_answer(struct load_connection *connection, int64_t now_ns)
{
    if (!connection->head_parsed && !parse_head(connection)) {
        return;
    }
    uint64_t part = MIN(connection->body_left, connection->in->len);
    connection->body_left -= part;
    g_byte_array_set_size(connection->in, 0);
    if (connection->body_left > 0) {
        return;
    }
    struct load_route *route = connection->route;
    int64_t latency_ns = now_ns - connection->scheduled_ns;
    g_array_append_val(route->latencies_ns, latency_ns);
    route->answered_count++;
    route->late_count += now_ns > route->load->stop_ns;
    start_waiting_request(connection);
}

static void
on_io(struct ev_loop *ev, ev_io *watcher, int events)
{
    (void)ev;
    (void)events;
    struct load_connection *connection = watcher->data;
    static uint8_t buffer[READ_BYTES];
    ssize_t bytes = recv(watcher->fd, buffer, sizeof(buffer), 0);
    if (bytes > 0) {
        g_byte_array_append(connection->in, buffer, (guint)bytes);
        process_answer(connection, rp_loop_now_ns());
    }
    else if (bytes == 0 || errno != EAGAIN) {
        close_connection(connection);
    }
}

static struct load_connection *
open_connection(struct load_route *route)
{
    int socket_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (connect(socket_fd, (struct sockaddr *)&route->address,
                sizeof(route->address)) != 0)
    {
        close(socket_fd);
        return NULL;
    }
    int one = 1;
    setsockopt(socket_fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    struct load_connection *connection = g_new0(struct load_connection, 1);
    connection->route = route;
    connection->in = g_byte_array_new();
    ev_io_init(&connection->io, on_io, socket_fd, EV_READ);
    connection->io.data = connection;
    ev_io_start(route->load->ev, &connection->io);
    route->open_count++;
    return connection;
}

static void
send_request(struct load_connection *connection, int64_t scheduled_ns)
{
    const struct load *load = connection->route->load;
    connection->awaiting_answer = true;
    connection->head_parsed = false;
    connection->scheduled_ns = scheduled_ns;
    /* The request always fits into the empty send buffer of the socket. */
    if (send(connection->io.fd, load->request, load->request_bytes,
             MSG_NOSIGNAL) < 0)
    {
        connection->route->failed_count++;
    }
}

static void
start_request(struct load_route *route, int64_t scheduled_ns)
{
    if (route->idle->len > 0) {
        struct load_connection *connection =
            g_ptr_array_remove_index_fast(route->idle, route->idle->len - 1);
        send_request(connection, scheduled_ns);
        return;
    }
    if (route->waiting->len - route->first_waiting < MAX_WAITING_REQUESTS) {
        g_array_append_val(route->waiting, scheduled_ns);
    }
    else {
        route->failed_count++;
    }
}

/* Starts all requests that are due, whether or not earlier ones were answered.
 * Arrivals are a Poisson process. */
static void
start_due_requests(struct load *load)
{
    int64_t now_ns = rp_loop_now_ns();
    while (load->next_request_ns <= now_ns &&
           load->next_request_ns < load->stop_ns)
    {
        uint32_t route = load->route_mask == 3 ? load->started_count % 2
                                               : load->route_mask - 1;
        start_request(&load->routes[route], load->next_request_ns);
        load->started_count++;
        double gap_s = -log(1.0 - g_rand_double(load->random)) / load->rate;
        load->next_request_ns += (int64_t)(gap_s * 1e9);
    }
}

static void
on_prepare(struct ev_loop *ev, ev_prepare *watcher, int events)
{
    (void)events;
    struct load *load = watcher->data;
    start_due_requests(load);
    int64_t now_ns = rp_loop_now_ns();
    ev_now_update(ev);
    ev_timer_stop(ev, &load->request_timer);
    if (load->next_request_ns < load->stop_ns) {
        ev_timer_set(&load->request_timer,
                     (double)MAX(load->next_request_ns - now_ns, 0) / 1e9,
                     0.0);
        ev_timer_start(ev, &load->request_timer);
    }
}

/* Only wakes the loop; on_prepare starts the requests. */
static void
on_request_timer(struct ev_loop *ev, ev_timer *watcher, int events)
{
    (void)ev;
    (void)watcher;
    (void)events;
}

static void
on_end(struct ev_loop *ev, ev_timer *watcher, int events)
{
    (void)watcher;
    (void)events;
    ev_break(ev, EVBREAK_ALL);
}

static int
compare_latencies(gconstpointer a, gconstpointer b)
{
    int64_t left = *(const int64_t *)a;
    int64_t right = *(const int64_t *)b;
    return left < right ? -1 : left > right;
}

static double
quantile_ms(const GArray *sorted, double quantile)
{
    if (sorted->len == 0) {
        return NAN;
    }
    guint index = (guint)(quantile * (double)(sorted->len - 1));
    return (double)g_array_index(sorted, int64_t, index) / 1e6;
}

static void
print_route(struct load_route *route)
{
    const struct load *load = route->load;
    g_array_sort(route->latencies_ns, compare_latencies);
    g_print("%-9s calls/s=%.0f done=%" G_GUINT64_FORMAT
            " failed=%" G_GUINT64_FORMAT " unanswered=%u "
            "p50_ms=%.3f p99_ms=%.3f p999_ms=%.3f\n",
            route->name,
            (double)(route->answered_count - route->late_count) /
                load->duration_s,
            route->answered_count, route->failed_count,
            route->waiting->len - route->first_waiting + route->open_count -
                route->idle->len,
            quantile_ms(route->latencies_ns, 0.5),
            quantile_ms(route->latencies_ns, 0.99),
            quantile_ms(route->latencies_ns, 0.999));
}

static error_t
parse_option(int key, char *argument, struct argp_state *state)
{
    struct load *load = state->input;
    switch (key) {
    case 't':
    case 's':
        if (!rp_address_parse(argument, &load->routes[key == 's'].address)) {
            argp_error(state, "write IP:PORT");
        }
        load->route_mask |= key == 's' ? 2 : 1;
        return 0;
    case 'r':
        load->rate = strtod(argument, NULL);
        return 0;
    case 'd':
        load->duration_s = MIN(strtod(argument, NULL), 300.0);
        return 0;
    case 'c':
        load->connections = (uint32_t)strtoul(argument, NULL, 10);
        return 0;
    case 'i':
        load->idle_connections = (uint32_t)strtoul(argument, NULL, 10);
        return 0;
    case 'p':
        load->path = argument;
        return 0;
    case 'm':
        load->method = argument;
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

static void
set_up_route(struct load *load, int index, const char *name)
{
    struct load_route *route = &load->routes[index];
    route->load = load;
    route->name = name;
    route->idle = g_ptr_array_new();
    route->waiting = g_array_new(FALSE, FALSE, sizeof(int64_t));
    route->latencies_ns = g_array_new(FALSE, FALSE, sizeof(int64_t));
    if ((load->route_mask & (1u << index)) == 0) {
        return;
    }
    for (uint32_t i = 0; i < load->connections; i++) {
        struct load_connection *connection = open_connection(route);
        if (connection != NULL) {
            g_ptr_array_add(route->idle, connection);
        }
    }
    /* Additional connections stay open without requests. */
    for (uint32_t i = 0; index == 1 && i < load->idle_connections; i++) {
        struct load_connection *connection = open_connection(route);
        if (connection != NULL) {
            route->open_count--;
        }
    }
}

static void
run(struct load *load)
{
    load->request = g_strdup_printf(
        "%s %s HTTP/1.1\r\nHost: load\r\nRP-Request-Id: load\r\n%s\r\n",
        load->method, load->path,
        strcmp(load->method, "POST") == 0 ? "Content-Length: 0\r\n" : "");
    load->request_bytes = strlen(load->request);
    load->ev = ev_loop_new(EVFLAG_AUTO);
    load->random = g_rand_new_with_seed(1);
    set_up_route(load, 0, "straight");
    set_up_route(load, 1, "system");
    load->start_ns = rp_loop_now_ns();
    load->next_request_ns = load->start_ns;
    load->stop_ns = load->start_ns + (int64_t)(load->duration_s * 1e9);
    ev_prepare_init(&load->prepare, on_prepare);
    ev_timer_init(&load->request_timer, on_request_timer, 0.0, 0.0);
    ev_timer_init(&load->end_timer, on_end, load->duration_s + 1.0, 0.0);
    load->prepare.data = load;
    ev_prepare_start(load->ev, &load->prepare);
    ev_timer_start(load->ev, &load->end_timer);
    ev_run(load->ev, 0);
    for (int i = 0; i < 2; i++) {
        if ((load->route_mask & (1u << i)) != 0) {
            print_route(&load->routes[i]);
        }
    }
}

/* Sends requests at a fixed mean rate, each at its scheduled time
 * independently of earlier ones, and measures latency from that time. With
 * both addresses requests alternate between the routes, so that noise affects
 * both alike. */
int
standin_load_main(int argc, char **argv)
{
    static const struct argp_option options[] = {
        {"target", 't', "IP:PORT", 0, "send directly to this target", 0},
        {"system", 's', "IP:PORT", 0, "send through this entry VM", 0},
        {"rate", 'r', "N", 0, "requests per second over both routes (1000)",
         0},
        {"duration-s", 'd', "S", 0, "time to run, at most 300 (10)", 0},
        {"connections", 'c', "N", 0, "connections per route (16)", 0},
        {"idle", 'i', "N", 0, "additional idle connections to the system", 0},
        {"path", 'p', "PATH", 0, "path with query", 0},
        {"method", 'm', "METHOD", 0, "GET or POST", 0},
        {0},
    };
    static const struct argp argp = {
        options, parse_option, NULL, "An open-loop load tool.",
        NULL,    NULL,         NULL};
    struct load load = {
        .rate = 1000.0,
        .duration_s = 10.0,
        .connections = 16,
        .path = "/lookup?id=load",
        .method = "GET",
    };
    argp_parse(&argp, argc, argv, 0, NULL, &load);
    if (load.route_mask == 0 || load.rate <= 0.0) {
        g_printerr("rp-standin load: give --target or --system, or both, "
                   "and a --rate above 0\n");
        return EX_USAGE;
    }
    run(&load);
    return EX_OK;
}
