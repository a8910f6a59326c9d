#include "entry.h"

#include <errno.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "address.h"
#include "entry_private.h"
#include "error.h"

/* Interval of the checks of time limits: an eighth of the shortest usual
 * limit, 2 s for a header. */
#define MAINTENANCE_INTERVAL_S 0.25
#define LISTEN_BACKLOG 1024
/* Connections accepted in one iteration of the loop, so that open connections
 * are not delayed. */
#define MAX_ACCEPTS_PER_ITERATION 64

/* Sends a message to dispatch. release may be NULL. Returns false when the
 * mailbox is full. */
bool
entry_send(struct rp_entry *entry, enum rp_message_kind kind, const void *body,
           uint32_t bytes, void (*release)(void *))
{
    struct rp_task *dispatch =
        rp_kernel_find_task(rp_task_kernel(entry->task), RP_TASK_DISPATCH);
    if (!ev_is_active(&entry->wakeup_timer)) {
        /* Runs another iteration of the loop, in which the kernel delivers. */
        ev_timer_set(&entry->wakeup_timer, 0.0, 0.0);
        ev_timer_start(entry->ev, &entry->wakeup_timer);
    }
    return rp_task_send_owned(entry->task, dispatch, kind, body, bytes,
                              release);
}

/* Notifies dispatch, once, that the caller no longer expects an answer to a
 * call or that its body is too large. */
void
entry_send_abort(struct entry_request *request, enum rp_abort_reason reason)
{
    if (request->abort_sent || !request->started) {
        return;
    }
    request->abort_sent = true;
    struct rp_call_abort abort_message = {
        .call_id = request->call->id,
        .reason = reason,
    };
    entry_send(request->connection->entry, RP_MSG_CALL_ABORT, &abort_message,
               sizeof(abort_message), NULL);
}

/* Sends a call to dispatch. Returns false when its mailbox is full. */
bool
entry_start_call(struct entry_request *request)
{
    struct rp_entry *entry = request->connection->entry;
    struct rp_call *call = request->call;
    call->received_ns = request->read_ns;
    request->started = true;
    g_hash_table_insert(entry->requests, GSIZE_TO_POINTER(call->id), request);
    struct rp_call_start start = {.call = rp_call_ref(call)};
    if (entry_send(entry, RP_MSG_CALL_START, &start, sizeof(start),
                   rp_call_start_release))
    {
        return true;
    }
    rp_call_start_release(&start);
    request->abort_sent = true;
    return false;
}

/* Accepts waiting connections, at most max_count. */
static void
accept_connections(struct rp_entry *entry, int max_count)
{
    for (int i = 0; i < max_count; i++) {
        int socket =
            accept4(entry->listener, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (socket < 0) {
            if (errno != EAGAIN && errno != ECONNABORTED && errno != EINTR) {
                g_warning("cannot accept a caller's connection: %s; lower "
                          "--max-connections or raise the file descriptor "
                          "limit",
                          g_strerror(errno));
                /* The connection still waits: tried again by maintenance. */
                ev_io_stop(entry->ev, &entry->acceptor);
            }
            return;
        }
        if (g_hash_table_size(entry->connections) >=
            entry->config.max_connections) {
            close(socket);
            continue;
        }
        entry_connection_open(entry, socket, rp_loop_now_ns());
    }
}

static void
on_acceptable(struct ev_loop *ev, ev_io *watcher, int events)
{
    (void)ev;
    (void)events;
    accept_connections(watcher->data, MAX_ACCEPTS_PER_ITERATION);
}

static void
close_listener(struct rp_entry *entry)
{
    if (entry->listener >= 0) {
        ev_io_stop(entry->ev, &entry->acceptor);
        close(entry->listener);
        entry->listener = -1;
    }
}

static void
free_closed(struct rp_entry *entry)
{
    for (guint i = 0; i < entry->closed->len; i++) {
        entry_connection_free(entry->closed->pdata[i]);
    }
    g_ptr_array_set_size(entry->closed, 0);
}

static GPtrArray *
list_connections(const struct rp_entry *entry)
{
    GPtrArray *list = g_ptr_array_new();
    GHashTableIter iterator;
    gpointer key;
    g_hash_table_iter_init(&iterator, entry->connections);
    while (g_hash_table_iter_next(&iterator, &key, NULL)) {
        g_ptr_array_add(list, key);
    }
    return list;
}

static void
on_maintenance(struct ev_loop *ev, ev_timer *watcher, int events)
{
    (void)ev;
    (void)events;
    struct rp_entry *entry = watcher->data;
    int64_t now_ns = rp_loop_now_ns();
    if (entry->stopping && !entry->closing &&
        now_ns >= entry->stop.accept_until_ns)
    {
        entry->closing = true;
        /* Closing the listener would reset the connections that wait. */
        accept_connections(entry, LISTEN_BACKLOG);
        close_listener(entry);
    }
    if (entry->listener >= 0) {
        ev_io_start(entry->ev, &entry->acceptor);
    }
    GPtrArray *all = list_connections(entry);
    for (guint i = 0; i < all->len; i++) {
        entry_connection_check_time(all->pdata[i], now_ns);
    }
    g_ptr_array_unref(all);
    free_closed(entry);
}

/* Lets dispatch answer all calls that have no answer yet, so that the answers
 * behind them on their connections are not lost with the process. After a
 * pause of the process, the answers still get their time to be written. */
static void
on_stop_timer(struct ev_loop *ev, ev_timer *watcher, int events)
{
    (void)ev;
    (void)events;
    struct rp_entry *entry = watcher->data;
    const struct rp_stop_plan *stop = &entry->stop;
    entry->stop_end_ns =
        MAX(stop->end_ns, rp_loop_now_ns() + stop->end_ns - stop->answer_ns);
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, entry->requests);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        struct entry_request *request = value;
        if (!request->has_reply && !request->has_local) {
            entry_send_abort(request, RP_ABORT_STOPPING);
        }
    }
}

static void
begin_stop(struct rp_entry *entry, int64_t at_ns, int64_t now_ns)
{
    entry->stopping = true;
    rp_stop_plan_init(&entry->stop,
                      (int64_t)entry->config.address_ttl_ms * 1000000,
                      entry->config.stop_timeout_ns, at_ns);
    int64_t wait_ns = MAX(entry->stop.answer_ns - now_ns, 0);
    ev_now_update(entry->ev);
    ev_timer_set(&entry->stop_timer, (double)wait_ns / 1e9, 0.0);
    ev_timer_start(entry->ev, &entry->stop_timer);
}

static void
on_wakeup(struct ev_loop *ev, ev_timer *watcher, int events)
{
    /* Nothing to do: the loop runs the kernel before it sleeps again. */
    (void)ev;
    (void)watcher;
    (void)events;
}

static void
apply_reply(struct rp_entry *entry, const struct rp_call_reply *reply,
            int64_t now_ns)
{
    struct entry_request *request =
        g_hash_table_lookup(entry->requests, GSIZE_TO_POINTER(reply->call_id));
    if (request == NULL || request->has_reply || request->has_local) {
        return;
    }
    request->reply = *reply;
    request->has_reply = true;
    if (reply->answer != NULL) {
        rp_answer_ref(reply->answer);
        rp_stream_ref(reply->body);
    }
    entry_connection_advance(request->connection, now_ns);
}

static void
apply_snapshot(struct rp_entry *entry, struct rp_snapshot *snapshot)
{
    struct rp_snapshot *old = entry->snapshot;
    entry->snapshot = rp_snapshot_ref(snapshot);
    entry->limits = *rp_snapshot_limits(snapshot);
    rp_snapshot_unref(old);
}

static void
on_message(struct rp_task *task, const struct rp_message *message,
           int64_t now_ns, void *data)
{
    (void)task;
    struct rp_entry *entry = data;
    rp_address_book_handle_message(entry->addresses, message);
    switch (message->kind) {
    case RP_MSG_CALL_REPLY:
        apply_reply(entry, message->body, now_ns);
        break;
    case RP_MSG_SNAPSHOT:
        apply_snapshot(
            entry,
            ((const struct rp_snapshot_message *)message->body)->snapshot);
        break;
    case RP_MSG_STOP:
        begin_stop(entry, ((const struct rp_stop *)message->body)->at_ns,
                   now_ns);
        break;
    default:
        break;
    }
}

static void
on_remove(struct rp_task *task, void *data)
{
    (void)task;
    struct rp_entry *entry = data;
    GPtrArray *all = list_connections(entry);
    for (guint i = 0; i < all->len; i++) {
        entry_connection_close(all->pdata[i], "this process has stopped");
    }
    g_ptr_array_unref(all);
    free_closed(entry);
    close_listener(entry);
    ev_timer_stop(entry->ev, &entry->wakeup_timer);
    ev_timer_stop(entry->ev, &entry->maintenance_timer);
    ev_timer_stop(entry->ev, &entry->stop_timer);
    g_ptr_array_unref(entry->closed);
    g_hash_table_unref(entry->connections);
    g_hash_table_unref(entry->requests);
    rp_snapshot_unref(entry->snapshot);
    rp_address_book_free(entry->addresses);
    g_free(entry);
}

static const struct rp_task_ops entry_ops = {on_message, NULL, on_remove};

/* Returns a listening socket, or -1 with errno set. */
static int
listen_at(const struct sockaddr_in *address, uint16_t *port)
{
    int listener =
        socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    int on = 1;
    struct sockaddr_in bound = {0};
    socklen_t bytes = sizeof(bound);
    if (listener < 0) {
        return -1;
    }
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (bind(listener, (const struct sockaddr *)address, sizeof(*address)) !=
            0 ||
        listen(listener, LISTEN_BACKLOG) != 0 ||
        getsockname(listener, (struct sockaddr *)&bound, &bytes) != 0)
    {
        int saved_errno = errno;
        close(listener);
        errno = saved_errno;
        return -1;
    }
    *port = ntohs(bound.sin_port);
    return listener;
}

static void
start_watchers(struct rp_entry *entry)
{
    ev_io_init(&entry->acceptor, on_acceptable, entry->listener, EV_READ);
    ev_timer_init(&entry->wakeup_timer, on_wakeup, 0.0, 0.0);
    ev_timer_init(&entry->maintenance_timer, on_maintenance,
                  MAINTENANCE_INTERVAL_S, MAINTENANCE_INTERVAL_S);
    entry->acceptor.data = entry;
    ev_timer_init(&entry->stop_timer, on_stop_timer, 0.0, 0.0);
    /* Runs after the sockets, which may hold answers after a pause. */
    ev_set_priority(&entry->stop_timer, EV_MINPRI);
    entry->maintenance_timer.data = entry;
    entry->stop_timer.data = entry;
    ev_io_start(entry->ev, &entry->acceptor);
    ev_timer_start(entry->ev, &entry->maintenance_timer);
}

/* Adds the task "entry", which serves callers at the address in the context's
 * identity. It is freed with the kernel, which must be freed before the loop.
 * Returns NULL with an error set when the address cannot be used. */
struct rp_entry *
rp_entry_new(struct rp_loop *loop, const struct rp_entry_config *config,
             GError **error)
{
    struct rp_kernel *kernel = rp_loop_kernel(loop);
    struct rp_context *context = rp_kernel_context(kernel);
    struct sockaddr_in address;
    if (!rp_address_parse(context->identity.address, &address)) {
        g_set_error(error, RP_ERROR, RP_ERROR_SETTING,
                    "caller address '%s' is not ip:port; set it to an IPv4 "
                    "address of this VM",
                    context->identity.address);
        return NULL;
    }
    uint16_t port = 0;
    int listener = listen_at(&address, &port);
    if (listener < 0) {
        g_set_error(error, RP_ERROR, RP_ERROR_SYSTEM,
                    "cannot listen for callers at %s: %s; is the address of "
                    "this VM and the port free?",
                    context->identity.address, g_strerror(errno));
        return NULL;
    }
    struct rp_entry *entry = g_new0(struct rp_entry, 1);
    entry->task =
        rp_kernel_add_task(kernel, RP_TASK_ENTRY, &entry_ops, entry, error);
    if (entry->task == NULL) {
        close(listener);
        g_free(entry);
        return NULL;
    }
    entry->context = context;
    entry->config = *config;
    entry->ev = rp_loop_ev(loop);
    entry->listener = listener;
    entry->port = port;
    entry->next_call_id = 1;
    entry->stop_end_ns = RP_KERNEL_NEVER_NS;
    entry->requests = g_hash_table_new(NULL, NULL);
    entry->connections = g_hash_table_new(NULL, NULL);
    entry->closed = g_ptr_array_new();
    entry->addresses =
        rp_address_book_new(context, config->address_ttl_ms, rp_loop_now_ns());
    struct rp_snapshot *none = rp_snapshot_new();
    entry->limits = *rp_snapshot_limits(none);
    rp_snapshot_unref(none);
    start_watchers(entry);
    return entry;
}

/* Returns the port that callers connect to. */
uint16_t
rp_entry_port(const struct rp_entry *entry)
{
    return entry->port;
}

/* Returns whether a requested stop can be completed: no new connection is
 * accepted, and no connection has a request in progress, waits for one or has
 * an answer that its caller may not have read. */
bool
rp_entry_finished(const struct rp_entry *entry)
{
    if (!entry->closing) {
        return false;
    }
    GHashTableIter iterator;
    gpointer key;
    g_hash_table_iter_init(&iterator, entry->connections);
    while (g_hash_table_iter_next(&iterator, &key, NULL)) {
        if (!entry_connection_is_finished(key)) {
            return false;
        }
    }
    return true;
}

/* Returns when a requested stop ends although it cannot be completed;
 * RP_KERNEL_NEVER_NS until the calls without an answer are answered. */
int64_t
rp_entry_stop_end_ns(const struct rp_entry *entry)
{
    return entry->stop_end_ns;
}
