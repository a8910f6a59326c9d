#include "wire.h"

#include <errno.h>
#include <ev.h>
#include <stdio.h>
#include <string.h>
#include <zmq.h>

#include "error.h"
#include "wire_zap.h"

#define MONITOR_ENDPOINT "inproc://rosemarypulley.wire"
#define HIGH_WATER_MARK_MESSAGES 64

/* Open links to peers; beyond this the least recently used one is closed. At
 * most 12 are to neighbours; the others carry probes and answers. */
#define MAX_LINKS 256
#define LINK_IDLE_TIMEOUT_NS INT64_C(10000000000)
#define IDLE_SWEEP_INTERVAL_NS INT64_C(5000000000)

/* Messages or events read in one iteration of the loop. */
#define MAX_READS_PER_ITERATION 64

/* The sender detects a dead connection by ZMTP pings and replaces it. The
 * receiver closes it after PING_EXPIRY_MS without a ping; pings in the other
 * direction would double their traffic. */
#define PING_INTERVAL_MS 2000
#define PING_TIMEOUT_MS 2000
#define PING_EXPIRY_MS 10000
#define HANDSHAKE_TIMEOUT_MS 2000
#define MIN_RECONNECT_MS 100
#define MAX_RECONNECT_MS 1000
#define UNACKNOWLEDGED_TIMEOUT_MS 5000

#define MIN_REFUSED_EVENT_INTERVAL_NS INT64_C(10000000000)

/* A DEALER socket to one peer, used for sending only. */
struct wire_link {
    char address[RP_ADDRESS_BYTES];
    void *socket;
    int64_t last_used_ns;
};

struct rp_wire {
    struct rp_loop *loop;
    struct rp_context *context;
    struct rp_task *task;
    struct rp_task *gossip;
    void *zmq;
    void *router;  /* for receiving only */
    void *monitor; /* events of failed handshakes at the router */
    ev_io router_watcher;
    ev_io monitor_watcher;
    struct rp_wire_zap *zap;
    GHashTable *links; /* of struct wire_link, by address */
    bool has_keys;
    char public_key[RP_WIRE_KEY_CHARS + 1];
    char secret_key[RP_WIRE_KEY_CHARS + 1];
    int64_t next_refused_event_ns;
    uint64_t unreported_refused_count;
};

static bool
set_int(void *socket, int option, int value)
{
    return zmq_setsockopt(socket, option, &value, sizeof(value)) == 0;
}

static bool
set_common_options(void *socket)
{
    int64_t max_bytes = RP_WIRE_MAX_BYTES;
    return set_int(socket, ZMQ_LINGER, 0) &&
           set_int(socket, ZMQ_SNDHWM, HIGH_WATER_MARK_MESSAGES) &&
           set_int(socket, ZMQ_RCVHWM, HIGH_WATER_MARK_MESSAGES) &&
           set_int(socket, ZMQ_HANDSHAKE_IVL, HANDSHAKE_TIMEOUT_MS) &&
           set_int(socket, ZMQ_TCP_MAXRT, UNACKNOWLEDGED_TIMEOUT_MS) &&
           zmq_setsockopt(socket, ZMQ_MAXMSGSIZE, &max_bytes,
                          sizeof(max_bytes)) == 0;
}

static bool
set_client_options(struct rp_wire *wire, void *socket)
{
    if (!set_common_options(socket) ||
        !set_int(socket, ZMQ_HEARTBEAT_IVL, PING_INTERVAL_MS) ||
        !set_int(socket, ZMQ_HEARTBEAT_TIMEOUT, PING_TIMEOUT_MS) ||
        !set_int(socket, ZMQ_HEARTBEAT_TTL, PING_EXPIRY_MS) ||
        !set_int(socket, ZMQ_RECONNECT_IVL, MIN_RECONNECT_MS) ||
        !set_int(socket, ZMQ_RECONNECT_IVL_MAX, MAX_RECONNECT_MS))
    {
        return false;
    }
    return !wire->has_keys ||
           (zmq_setsockopt(socket, ZMQ_CURVE_SERVERKEY, wire->public_key,
                           sizeof(wire->public_key)) == 0 &&
            zmq_setsockopt(socket, ZMQ_CURVE_PUBLICKEY, wire->public_key,
                           sizeof(wire->public_key)) == 0 &&
            zmq_setsockopt(socket, ZMQ_CURVE_SECRETKEY, wire->secret_key,
                           sizeof(wire->secret_key)) == 0);
}

static void
free_link(gpointer data)
{
    struct wire_link *link = data;
    zmq_close(link->socket);
    g_free(link);
}

static void
close_least_recent(struct rp_wire *wire)
{
    GHashTableIter iterator;
    gpointer value;
    struct wire_link *oldest = NULL;
    g_hash_table_iter_init(&iterator, wire->links);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        struct wire_link *link = value;
        if (oldest == NULL || link->last_used_ns < oldest->last_used_ns) {
            oldest = link;
        }
    }
    if (oldest != NULL) {
        g_hash_table_remove(wire->links, oldest->address);
    }
}

static struct wire_link *
open_link(struct rp_wire *wire, const char *address)
{
    char endpoint[RP_ADDRESS_BYTES + 8];
    if (g_hash_table_size(wire->links) >= MAX_LINKS) {
        close_least_recent(wire);
    }
    void *socket = zmq_socket(wire->zmq, ZMQ_DEALER);
    if (socket == NULL) {
        return NULL;
    }
    snprintf(endpoint, sizeof(endpoint), "tcp://%s", address);
    if (!set_client_options(wire, socket) ||
        zmq_connect(socket, endpoint) != 0) {
        zmq_close(socket);
        return NULL;
    }
    struct wire_link *link = g_new0(struct wire_link, 1);
    g_strlcpy(link->address, address, sizeof(link->address));
    link->socket = socket;
    g_hash_table_insert(wire->links, link->address, link);
    return link;
}

/* Sends without blocking. Returns whether the payload is queued. */
static bool
try_send(void *socket, GBytes *payload)
{
    gsize bytes;
    const void *data = g_bytes_get_data(payload, &bytes);
    if (zmq_send(socket, data, bytes, ZMQ_DONTWAIT) >= 0) {
        return true;
    }
    if (errno != EAGAIN) {
        return false;
    }
    /* A send without blocking looks for returned credit at intervals only;
     * reading the events always does. */
    int events = 0;
    size_t events_bytes = sizeof(events);
    return zmq_getsockopt(socket, ZMQ_EVENTS, &events, &events_bytes) == 0 &&
           (events & ZMQ_POLLOUT) != 0 &&
           zmq_send(socket, data, bytes, ZMQ_DONTWAIT) >= 0;
}

/* Sends without blocking. A payload that cannot be sent is dropped and
 * counted; anti-entropy repairs the loss. */
static void
send_payload(struct rp_wire *wire, const struct rp_wire_send *send,
             int64_t now_ns)
{
    struct wire_link *link =
        g_hash_table_lookup(wire->links, send->peer_address);
    if (link == NULL) {
        link = open_link(wire, send->peer_address);
    }
    if (link == NULL || !try_send(link->socket, send->payload)) {
        rp_counter_add(&wire->context->counters, RP_COUNTER_WIRE_DROPPED, 1);
    }
    if (link != NULL) {
        link->last_used_ns = now_ns;
    }
}

static void
deliver_payload(struct rp_wire *wire, zmq_msg_t *frame)
{
    struct rp_wire_received body = {
        .payload = g_bytes_new(zmq_msg_data(frame), zmq_msg_size(frame)),
    };
    if (wire->gossip == NULL) {
        wire->gossip =
            rp_kernel_find_task(rp_loop_kernel(wire->loop), "gossip");
    }
    if (!rp_task_send_owned(wire->task, wire->gossip, RP_MSG_WIRE_RECEIVED,
                            &body, sizeof(body), rp_wire_received_release))
    {
        rp_wire_received_release(&body);
        rp_counter_add(&wire->context->counters, RP_COUNTER_WIRE_DROPPED, 1);
    }
}

/* Reads one message of a routing id and a payload; returns false when there is
 * none. Messages with another number of frames are counted as malformed. */
static bool
receive_message(struct rp_wire *wire)
{
    zmq_msg_t frame;
    int frames = 0;
    bool more = true;
    while (more) {
        zmq_msg_init(&frame);
        if (zmq_msg_recv(&frame, wire->router, ZMQ_DONTWAIT) < 0) {
            zmq_msg_close(&frame);
            return false;
        }
        more = zmq_msg_more(&frame);
        frames++;
        if (frames == 2 && !more) {
            deliver_payload(wire, &frame);
        }
        zmq_msg_close(&frame);
    }
    if (frames != 2) {
        rp_counter_add(&wire->context->counters, RP_COUNTER_PEER_MALFORMED, 1);
    }
    return true;
}

static void
on_router(struct ev_loop *ev, ev_io *watcher, int events)
{
    struct rp_wire *wire = watcher->data;
    (void)events;
    for (int i = 0; i < MAX_READS_PER_ITERATION; i++) {
        if (!receive_message(wire)) {
            return;
        }
    }
    /* The descriptor is edge-triggered and does not become readable again for
     * messages that are still queued. */
    ev_feed_event(ev, watcher, EV_READ);
}

static void
record_refused(struct rp_wire *wire, const char *endpoint)
{
    int64_t now_ns = rp_loop_now_ns();
    rp_counter_add(&wire->context->counters, RP_COUNTER_WIRE_REFUSED, 1);
    wire->unreported_refused_count++;
    if (now_ns < wire->next_refused_event_ns) {
        return;
    }
    wire->next_refused_event_ns = now_ns + MIN_REFUSED_EVENT_INTERVAL_NS;
    struct rp_event *event = rp_event_add(
        wire->context->events, RP_EVENT_WIRE_REFUSED, now_ns, endpoint);
    event->value = (int64_t)wire->unreported_refused_count;
    rp_event_set_detail(event, "the key of a peer is not allowed");
    g_warning("refused %" G_GUINT64_FORMAT
              " connections to %s without an allowed key; check "
              "--peer-public-key and --peer-allowed-keys of all entry VMs",
              wire->unreported_refused_count, endpoint);
    wire->unreported_refused_count = 0;
}

/* Reads one monitor event of two frames; returns false when there is none. */
static bool
receive_event(struct rp_wire *wire)
{
    uint8_t head[6] = {0};
    char endpoint[RP_ADDRESS_BYTES + 8] = "";
    if (zmq_recv(wire->monitor, head, sizeof(head), ZMQ_DONTWAIT) < 0) {
        return false;
    }
    int bytes =
        zmq_recv(wire->monitor, endpoint, sizeof(endpoint) - 1, ZMQ_DONTWAIT);
    endpoint[CLAMP(bytes, 0, (int)sizeof(endpoint) - 1)] = '\0';
    record_refused(wire, endpoint);
    return true;
}

static void
on_monitor(struct ev_loop *ev, ev_io *watcher, int events)
{
    struct rp_wire *wire = watcher->data;
    (void)events;
    for (int i = 0; i < MAX_READS_PER_ITERATION; i++) {
        if (!receive_event(wire)) {
            return;
        }
    }
    ev_feed_event(ev, watcher, EV_READ);
}

static void
close_socket(struct rp_wire *wire, void *socket, ev_io *watcher)
{
    if (ev_is_active(watcher)) {
        ev_io_stop(rp_loop_ev(wire->loop), watcher);
    }
    if (socket != NULL) {
        zmq_close(socket);
    }
}

/* Closes all sockets; unsent messages are discarded. */
static void
free_wire(struct rp_wire *wire)
{
    g_hash_table_unref(wire->links);
    if (wire->router != NULL) {
        zmq_socket_monitor(wire->router, NULL, 0);
    }
    close_socket(wire, wire->router, &wire->router_watcher);
    close_socket(wire, wire->monitor, &wire->monitor_watcher);
    rp_wire_zap_free(wire->zap);
    zmq_ctx_term(wire->zmq);
    g_free(wire);
}

static gboolean
link_is_idle(gpointer key, gpointer value, gpointer data)
{
    const struct wire_link *link = value;
    const int64_t *now_ns = data;
    (void)key;
    return *now_ns - link->last_used_ns > LINK_IDLE_TIMEOUT_NS;
}

static void
on_message(struct rp_task *task, const struct rp_message *message,
           int64_t now_ns, void *data)
{
    (void)task;
    if (message->kind == RP_MSG_WIRE_SEND) {
        send_payload(data, message->body, now_ns);
    }
}

static void
on_timer(struct rp_task *task, uint32_t timer, int64_t now_ns, void *data)
{
    struct rp_wire *wire = data;
    g_hash_table_foreach_remove(wire->links, link_is_idle, &now_ns);
    rp_task_set_timer(task, timer, now_ns + IDLE_SWEEP_INTERVAL_NS);
}

static void
on_remove(struct rp_task *task, void *data)
{
    (void)task;
    free_wire(data);
}

static const struct rp_task_ops wire_ops = {
    .on_message = on_message,
    .on_timer = on_timer,
    .on_remove = on_remove,
};

static bool
check_keys(const struct rp_wire_settings *settings, GError **error)
{
    uint8_t key[RP_WIRE_KEY_BYTES];
    const char *secret = settings->secret_key;
    if (secret == NULL || strlen(secret) != RP_WIRE_KEY_CHARS ||
        zmq_z85_decode(key, secret) == NULL)
    {
        g_set_error(error, RP_ERROR, RP_ERROR_SETTING,
                    "a public key for peers is given but its secret key is "
                    "missing or malformed; take both from one output of "
                    "'rosemarypulley keygen'");
        return false;
    }
    return true;
}

static bool
set_keys(struct rp_wire *wire, const struct rp_wire_settings *settings,
         GError **error)
{
    if (settings->public_key == NULL || settings->public_key[0] == '\0') {
        g_warning("peer connections are neither encrypted nor checked: no "
                  "key is set; set --peer-public-key and --peer-secret-key "
                  "(see 'rosemarypulley keygen') outside of tests");
        return true;
    }
    if (!check_keys(settings, error)) {
        return false;
    }
    wire->zap = rp_wire_zap_new(rp_loop_ev(wire->loop), wire->zmq, error);
    if (wire->zap == NULL ||
        !rp_wire_zap_allow(wire->zap, settings->public_key, error))
    {
        return false;
    }
    for (uint32_t i = 0; i < settings->allowed_key_count; i++) {
        if (!rp_wire_zap_allow(wire->zap, settings->allowed_keys[i], error)) {
            return false;
        }
    }
    wire->has_keys = true;
    g_strlcpy(wire->public_key, settings->public_key,
              sizeof(wire->public_key));
    g_strlcpy(wire->secret_key, settings->secret_key,
              sizeof(wire->secret_key));
    return true;
}

static bool
watch_socket(struct rp_wire *wire, void *socket, ev_io *watcher,
             void (*callback)(struct ev_loop *, ev_io *, int))
{
    int descriptor = -1;
    size_t bytes = sizeof(descriptor);
    if (zmq_getsockopt(socket, ZMQ_FD, &descriptor, &bytes) != 0) {
        return false;
    }
    ev_io_init(watcher, callback, descriptor, EV_READ);
    watcher->data = wire;
    ev_io_start(rp_loop_ev(wire->loop), watcher);
    /* The descriptor does not signal messages that arrived before. */
    ev_feed_event(rp_loop_ev(wire->loop), watcher, EV_READ);
    return true;
}

static bool
open_router(struct rp_wire *wire, const char *bind_address)
{
    char endpoint[RP_ADDRESS_BYTES + 8];
    wire->router = zmq_socket(wire->zmq, ZMQ_ROUTER);
    if (wire->router == NULL || !set_common_options(wire->router)) {
        return false;
    }
    if (wire->has_keys &&
        (!set_int(wire->router, ZMQ_CURVE_SERVER, 1) ||
         zmq_setsockopt(wire->router, ZMQ_CURVE_SECRETKEY, wire->secret_key,
                        sizeof(wire->secret_key)) != 0 ||
         zmq_setsockopt(wire->router, ZMQ_ZAP_DOMAIN, "peers",
                        strlen("peers")) != 0))
    {
        return false;
    }
    if (zmq_socket_monitor(wire->router, MONITOR_ENDPOINT,
                           ZMQ_EVENT_HANDSHAKE_FAILED_NO_DETAIL |
                               ZMQ_EVENT_HANDSHAKE_FAILED_PROTOCOL |
                               ZMQ_EVENT_HANDSHAKE_FAILED_AUTH) != 0)
    {
        return false;
    }
    wire->monitor = zmq_socket(wire->zmq, ZMQ_PAIR);
    if (wire->monitor == NULL || !set_int(wire->monitor, ZMQ_LINGER, 0) ||
        zmq_connect(wire->monitor, MONITOR_ENDPOINT) != 0)
    {
        return false;
    }
    snprintf(endpoint, sizeof(endpoint), "tcp://%s", bind_address);
    return zmq_bind(wire->router, endpoint) == 0 &&
           watch_socket(wire, wire->router, &wire->router_watcher,
                        on_router) &&
           watch_socket(wire, wire->monitor, &wire->monitor_watcher,
                        on_monitor);
}

/* Binds the peer port and registers the task named wire with the loop's
 * kernel. Call it before rp_gossip_new. Settings are copied. Returns NULL with
 * RP_ERROR_SETTING or RP_ERROR_SYSTEM set when a key is malformed or the port
 * cannot be bound. The task is freed with the kernel, before the loop. */
struct rp_wire *
rp_wire_new(struct rp_loop *loop, const struct rp_wire_settings *settings,
            GError **error)
{
    struct rp_wire *wire = g_new0(struct rp_wire, 1);
    struct rp_kernel *kernel = rp_loop_kernel(loop);
    wire->loop = loop;
    wire->context = rp_kernel_context(kernel);
    wire->zmq = zmq_ctx_new();
    wire->links =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_link);
    if (!set_keys(wire, settings, error)) {
        free_wire(wire);
        return NULL;
    }
    if (!open_router(wire, settings->bind_address)) {
        g_set_error(error, RP_ERROR, RP_ERROR_SYSTEM,
                    "cannot bind the peer port %s: %s; choose a free port in "
                    "--peer-address",
                    settings->bind_address, zmq_strerror(errno));
        free_wire(wire);
        return NULL;
    }
    wire->task = rp_kernel_add_task(kernel, "wire", &wire_ops, wire, error);
    if (wire->task == NULL) {
        free_wire(wire);
        return NULL;
    }
    rp_task_set_timer(wire->task, 0,
                      rp_loop_now_ns() + IDLE_SWEEP_INTERVAL_NS);
    return wire;
}
