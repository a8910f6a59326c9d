#include "entry.h"

#include <string.h>
#include <sys/epoll.h>
#include <unistd.h>

#include "address.h"
#include "entry_request.h"
#include "error.h"
#include "http_rules.h"

/* The pool of a connection holds the header and what is read of a body. */
#define CONNECTION_MEMORY_BYTES ((size_t)RP_HTTP_HEADER_LIMIT_BYTES + 2048)
/* Bytes of a request body that are read without use so that the caller can
 * take the answer; beyond that the connection is closed. */
#define DISCARD_LIMIT_BYTES (UINT64_C(1024) * 1024)
/* Beyond the time to live of address answers: the way of an answer to the
 * caller and of the last request back. */
#define LEAVE_MARGIN_MS 1000
#define GONE_BATCH 64

/* Runs the daemon before the loop sleeps. */
void
entry_kick(struct rp_entry *entry)
{
    if (!entry->kicked) {
        entry->kicked = true;
        ev_feed_event(entry->ev, &entry->kick, EV_CUSTOM);
    }
}

/* Lets the daemon go on with a request. */
void
entry_resume(struct entry_request *request)
{
    if (request->suspended) {
        request->suspended = false;
        MHD_resume_connection(request->mhd);
        entry_kick(request->entry);
    }
}

/* Sends a message to dispatch. */
bool
entry_send(struct rp_entry *entry, enum rp_message_kind kind, const void *body,
           uint32_t bytes, void (*release)(void *))
{
    struct rp_task *dispatch =
        rp_kernel_find_task(rp_task_kernel(entry->task), RP_TASK_DISPATCH);
    entry->sent = true;
    return rp_task_send_owned(entry->task, dispatch, kind, body, bytes,
                              release);
}

static void
send_gone(struct entry_request *request, enum rp_gone_reason reason)
{
    if (request->gone || request->call == NULL) {
        return;
    }
    request->gone = true;
    struct rp_call_gone gone = {
        .call_id = request->call->id,
        .reason = reason,
    };
    entry_send(request->entry, RP_MSG_CALL_GONE, &gone, sizeof(gone), NULL);
}

/* Ends a request whose caller has closed its connection. */
static void
give_up(struct entry_request *request)
{
    send_gone(request, RP_GONE_CALLER);
    request->abort = true;
    entry_resume(request);
}

/* Takes a request out of the daemon's hands until entry_resume. */
void
entry_suspend(struct entry_request *request)
{
    if (request->suspended) {
        return;
    }
    request->suspended = true;
    MHD_suspend_connection(request->mhd);
    if (request->connection->gone) {
        give_up(request);
    }
}

struct field_scan {
    struct rp_http_framing framing;
    struct rp_call *call;
    const char *host;
    const char *own[5]; /* timeout, attempts, ticket, request id, passed on */
};

static enum MHD_Result
note_field(void *data, enum MHD_ValueKind kind, const char *name,
           size_t name_bytes, const char *value, size_t value_bytes)
{
    (void)kind;
    static const char *const own[] = {"RP-Timeout-Ms", "RP-Attempts-Left",
                                      "RP-Ticket", "RP-Request-Id",
                                      "RP-Passed-On"};
    struct field_scan *scan = data;
    value = value == NULL ? "" : value;
    rp_http_note_field(&scan->framing, name, name_bytes, value, value_bytes);
    if (g_ascii_strcasecmp(name, "Host") == 0) {
        scan->host = value;
    }
    for (guint i = 0; i < G_N_ELEMENTS(own); i++) {
        if (g_ascii_strcasecmp(name, own[i]) == 0) {
            scan->own[i] = value;
        }
    }
    return MHD_YES;
}

static enum MHD_Result
copy_field(void *data, enum MHD_ValueKind kind, const char *name,
           const char *value)
{
    (void)kind;
    struct field_scan *scan = data;
    if (!rp_http_is_own_field(name) &&
        !rp_http_is_hop_by_hop(&scan->framing, name))
    {
        rp_fields_add(&scan->call->fields, name, value == NULL ? "" : value);
    }
    return MHD_YES;
}

static bool
take_own_fields(struct rp_call *call, const struct field_scan *scan)
{
    uint64_t number;
    if (scan->own[0] != NULL) {
        if (!rp_http_parse_number(scan->own[0], 3600000, &number)) {
            return false;
        }
        call->timeout_ms = MAX((uint32_t)number, 1);
    }
    if (scan->own[1] != NULL) {
        if (!rp_http_parse_number(scan->own[1], 1000, &number)) {
            return false;
        }
        call->attempts_left = (uint32_t)number;
    }
    if (scan->own[2] != NULL) {
        if (strlen(scan->own[2]) >= RP_TICKET_BYTES) {
            return false;
        }
        call->ticket = g_strdup(scan->own[2]);
    }
    call->passed_on = scan->own[4] != NULL;
    if (scan->own[3] != NULL) {
        if (!rp_http_request_id_valid(scan->own[3])) {
            return false;
        }
        g_strlcpy(call->request_id, scan->own[3], sizeof(call->request_id));
    }
    return true;
}

static void
set_request_id(struct rp_entry *entry, struct rp_call *call)
{
    if (call->request_id[0] == '\0') {
        g_snprintf(call->request_id, sizeof(call->request_id),
                   "%08x%08x%08x%08x", g_rand_int(entry->context->random),
                   g_rand_int(entry->context->random),
                   (uint32_t)(call->id >> 32), (uint32_t)call->id);
    }
}

/* Called by the request stream when dispatch has given the request to a
 * target and the target takes bytes. */
static void
on_body_room(void *data)
{
    struct entry_request *request = data;
    request->body_wanted = true;
    if (request->phase == ENTRY_CONTINUE || request->phase == ENTRY_BODY) {
        entry_resume(request);
    }
}

static enum MHD_Result
start_call(struct entry_request *request, struct field_scan *scan)
{
    struct rp_entry *entry = request->entry;
    struct rp_call *call = scan->call;
    set_request_id(entry, call);
    call->received_ns = rp_loop_now_ns();
    bool has_body =
        scan->framing.transfer_count > 0 ||
        (scan->framing.length_count > 0 && scan->framing.length > 0);
    if (has_body) {
        call->body_bytes = scan->framing.length_count > 0
                               ? (int64_t)scan->framing.length
                               : RP_LENGTH_UNKNOWN;
        call->request = rp_stream_new();
        rp_stream_set_writer(call->request, on_body_room, request);
    }
    request->call = call;
    request->phase = has_body ? ENTRY_BODY : ENTRY_WAITING;
    g_hash_table_insert(entry->requests, GSIZE_TO_POINTER(call->id), request);
    struct rp_call_start start = {.call = rp_call_ref(call)};
    if (!entry_send(entry, RP_MSG_CALL_START, &start, sizeof(start),
                    rp_call_start_release))
    {
        rp_call_start_release(&start);
        request->gone = true;
        return entry_queue_fault(request, 503, RP_OUTCOME_NOT_RUN, 100,
                                 "this entry VM is overloaded");
    }
    if (has_body && scan->framing.expect_continue) {
        request->phase = ENTRY_CONTINUE;
        entry_suspend(request);
    }
    return MHD_YES;
}

static bool
is_addresses(const char *target)
{
    const char *path = "/v1/addresses";
    size_t bytes = strlen(path);
    return strncmp(target, path, bytes) == 0 &&
           (target[bytes] == '\0' || target[bytes] == '?');
}

static enum MHD_Result
begin_request(struct entry_request *request, const char *method,
              const char *version)
{
    struct rp_entry *entry = request->entry;
    struct field_scan scan = {0};
    MHD_get_connection_values_n(request->mhd, MHD_HEADER_KIND, note_field,
                                &scan);
    scan.framing.field_bytes +=
        (uint32_t)(strlen(method) + strlen(request->target) + 12);
    enum rp_http_fault fault = rp_http_judge_request(
        &scan.framing, strcmp(version, MHD_HTTP_VERSION_1_1) == 0);
    if (fault != RP_HTTP_FINE) {
        return entry_queue_fault(request, rp_http_fault_status(fault),
                                 RP_OUTCOME_NOT_RUN, 0,
                                 rp_http_fault_text(fault));
    }
    if (!rp_http_target_valid(request->target)) {
        return entry_queue_fault(request, 400, RP_OUTCOME_NOT_RUN, 0,
                                 "the request target must be an absolute "
                                 "path of printable characters");
    }
    if (!rp_http_method_valid(method)) {
        return entry_queue_fault(request, 501, RP_OUTCOME_NOT_RUN, 0,
                                 "the method is not supported");
    }
    if (is_addresses(request->target)) {
        /* An answer before the request is read would end the connection. */
        request->phase = ENTRY_LOCAL;
        return MHD_YES;
    }
    scan.call =
        rp_call_new(entry->next_call_id++, method, request->target, scan.host);
    scan.call->method_flag = rp_http_method_flag(method);
    MHD_get_connection_values(request->mhd, MHD_HEADER_KIND, copy_field,
                              &scan);
    if (!take_own_fields(scan.call, &scan)) {
        rp_call_unref(scan.call);
        return entry_queue_fault(request, 400, RP_OUTCOME_NOT_RUN, 0,
                                 "an RP- field has no value that can be "
                                 "used; see the protocol");
    }
    return start_call(request, &scan);
}

static enum MHD_Result
discard(struct entry_request *request, size_t *bytes)
{
    request->discarded += *bytes;
    *bytes = 0;
    return request->discarded > DISCARD_LIMIT_BYTES ? MHD_NO : MHD_YES;
}

static enum MHD_Result
take_body(struct entry_request *request, const char *bytes, size_t *count)
{
    struct rp_stream *stream =
        request->call == NULL ? NULL : request->call->request;
    if (stream == NULL || request->has_reply ||
        rp_stream_state(stream) != RP_STREAM_OPEN)
    {
        return discard(request, count);
    }
    uint32_t taken = rp_stream_write(stream, bytes, (uint32_t)*count);
    *count -= taken;
    if (rp_stream_over_limit(stream)) {
        /* Dispatch still answers this call. */
        send_gone(request, RP_GONE_TOO_LARGE);
        return discard(request, count);
    }
    if (*count > 0) {
        entry_suspend(request);
    }
    return MHD_YES;
}

static enum MHD_Result
end_body(struct entry_request *request)
{
    struct rp_stream *stream =
        request->call == NULL ? NULL : request->call->request;
    if (request->phase == ENTRY_BODY && stream != NULL) {
        request->phase = ENTRY_WAITING;
        if (MHD_get_connection_values(request->mhd, MHD_FOOTER_KIND, NULL,
                                      NULL) > 0) {
            /* Trailers that were not announced: the request is not whole
             * without them. */
            rp_stream_break(stream);
        }
        else {
            rp_stream_end(stream);
        }
    }
    if (request->has_reply) {
        return entry_queue_reply(request);
    }
    entry_suspend(request);
    return MHD_YES;
}

static enum MHD_Result
on_request(void *data, struct MHD_Connection *mhd, const char *url,
           const char *method, const char *version, const char *upload,
           size_t *upload_bytes, void **context)
{
    (void)data;
    (void)mhd;
    (void)url;
    struct entry_request *request = *context;
    if (request->abort ||
        (request->phase == ENTRY_NEW && request->connection->gone))
    {
        return MHD_NO;
    }
    switch (request->phase) {
    case ENTRY_NEW:
        return begin_request(request, method, version);
    case ENTRY_CONTINUE:
        if (request->has_reply) {
            return entry_queue_reply(request);
        }
        request->phase = ENTRY_BODY;
        return MHD_YES;
    case ENTRY_LOCAL:
        return *upload_bytes > 0 ? discard(request, upload_bytes)
                                 : entry_queue_addresses(request);
    case ENTRY_ANSWERED:
        return discard(request, upload_bytes);
    default:
        return *upload_bytes > 0 ? take_body(request, upload, upload_bytes)
                                 : end_body(request);
    }
}

/* Called by the daemon with the request target before it is decoded. */
static void *
on_target(void *data, const char *target, struct MHD_Connection *mhd)
{
    struct rp_entry *entry = data;
    struct entry_request *request = g_new0(struct entry_request, 1);
    request->entry = entry;
    request->mhd = mhd;
    request->target = g_strdup(target);
    request->connection =
        MHD_get_connection_info(mhd, MHD_CONNECTION_INFO_SOCKET_CONTEXT)
            ->socket_context;
    request->connection->request = request;
    entry->open++;
    return request;
}

static void
on_completed(void *data, struct MHD_Connection *mhd, void **context,
             enum MHD_RequestTerminationCode code)
{
    (void)mhd;
    struct rp_entry *entry = data;
    struct entry_request *request = *context;
    if (request == NULL) {
        return;
    }
    *context = NULL;
    request->connection->request = NULL;
    entry->open--;
    if (request->has_reply && request->reply.body != NULL) {
        rp_stream_set_reader(request->reply.body, NULL, NULL);
    }
    if (request->call != NULL) {
        if (request->call->request != NULL) {
            rp_stream_set_writer(request->call->request, NULL, NULL);
            rp_stream_break(request->call->request);
        }
        if (code != MHD_REQUEST_TERMINATED_COMPLETED_OK) {
            send_gone(request, request->phase <= ENTRY_BODY ? RP_GONE_BODY
                                                            : RP_GONE_CALLER);
        }
        g_hash_table_remove(entry->requests,
                            GSIZE_TO_POINTER(request->call->id));
        rp_call_unref(request->call);
    }
    if (request->has_reply) {
        rp_call_reply_release(&request->reply);
    }
    g_free(request->target);
    g_free(request);
}

/* Watches each connection for its end, since the daemon does not read from a
 * connection that is suspended. */
static void
on_connection(void *data, struct MHD_Connection *mhd, void **socket_context,
              enum MHD_ConnectionNotificationCode code)
{
    struct rp_entry *entry = data;
    if (code == MHD_CONNECTION_NOTIFY_CLOSED) {
        struct entry_connection *connection = *socket_context;
        epoll_ctl(entry->gone_epoll, EPOLL_CTL_DEL, connection->socket, NULL);
        g_free(connection);
        return;
    }
    struct entry_connection *connection = g_new0(struct entry_connection, 1);
    connection->socket =
        MHD_get_connection_info(mhd, MHD_CONNECTION_INFO_CONNECTION_FD)
            ->connect_fd;
    *socket_context = connection;
    struct epoll_event event = {
        .events = EPOLLRDHUP | EPOLLET,
        .data.ptr = connection,
    };
    epoll_ctl(entry->gone_epoll, EPOLL_CTL_ADD, connection->socket, &event);
}

static void
on_gone(struct ev_loop *ev, ev_io *watcher, int events)
{
    (void)ev;
    (void)events;
    struct rp_entry *entry = watcher->data;
    struct epoll_event ready[GONE_BATCH];
    int count = epoll_wait(entry->gone_epoll, ready, GONE_BATCH, 0);
    for (int i = 0; i < count; i++) {
        struct entry_connection *connection = ready[i].data.ptr;
        struct entry_request *request = connection->request;
        connection->gone = true;
        if (request != NULL && request->suspended) {
            give_up(request);
        }
        else if (request != NULL && request->phase != ENTRY_ANSWERED) {
            /* The daemon misses an end that came together with bytes; it
             * looks again at a connection that is suspended and resumed. */
            entry_suspend(request);
        }
    }
}

static void
run_daemon(struct rp_entry *entry)
{
    MHD_run(entry->daemon);
    MHD_UNSIGNED_LONG_LONG timeout_ms;
    bool more = MHD_get_timeout(entry->daemon, &timeout_ms) == MHD_YES &&
                timeout_ms == 0;
    if ((more || entry->sent) && !ev_is_active(&entry->again)) {
        /* Makes the loop take another turn, in which the kernel delivers. */
        ev_timer_set(&entry->again, 0.0, 0.0);
        ev_timer_start(entry->ev, &entry->again);
    }
    entry->sent = false;
}

static void
on_mhd_io(struct ev_loop *ev, ev_io *watcher, int events)
{
    (void)ev;
    (void)events;
    run_daemon(watcher->data);
}

static void
on_mhd_timer(struct ev_loop *ev, ev_timer *watcher, int events)
{
    (void)ev;
    (void)events;
    struct rp_entry *entry = watcher->data;
    if (watcher == &entry->kick) {
        entry->kicked = false;
    }
    if (entry->leaving && !entry->closing &&
        rp_loop_now_ns() >= entry->leave_at_ns)
    {
        entry->closing = true;
        MHD_quiesce_daemon(entry->daemon);
    }
    run_daemon(entry);
}

static void
take_reply(struct rp_entry *entry, const struct rp_call_reply *reply)
{
    struct entry_request *request =
        g_hash_table_lookup(entry->requests, GSIZE_TO_POINTER(reply->call_id));
    if (request == NULL || request->has_reply) {
        return;
    }
    request->reply = *reply;
    request->has_reply = true;
    if (reply->answer != NULL) {
        rp_answer_ref(reply->answer);
        rp_stream_ref(reply->body);
    }
    entry_resume(request);
}

static void
on_message(struct rp_task *task, const struct rp_message *message,
           int64_t now_ns, void *data)
{
    (void)task;
    struct rp_entry *entry = data;
    switch (message->kind) {
    case RP_MSG_CALL_REPLY:
        take_reply(entry, message->body);
        break;
    case RP_MSG_SNAPSHOT: {
        const struct rp_snapshot_message *snapshot = message->body;
        struct rp_snapshot *old = entry->snapshot;
        entry->snapshot = rp_snapshot_ref(snapshot->snapshot);
        entry->ready = snapshot->ready;
        rp_snapshot_unref(old);
        break;
    }
    case RP_MSG_MEMBERS: {
        const struct rp_member_message *members = message->body;
        struct rp_member_view *old = entry->members;
        entry->members = rp_member_view_ref(members->view);
        rp_member_view_unref(old);
        break;
    }
    case RP_MSG_STOP:
        entry->leaving = true;
        entry->leave_at_ns =
            now_ns +
            ((int64_t)entry->config.answer_ttl_ms + LEAVE_MARGIN_MS) * 1000000;
        break;
    default:
        break;
    }
}

static void
stop_daemon(struct rp_entry *entry)
{
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, entry->requests);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        struct entry_request *request = value;
        request->abort = true;
        entry_resume(request);
    }
    MHD_stop_daemon(entry->daemon);
}

static void
on_remove(struct rp_task *task, void *data)
{
    (void)task;
    struct rp_entry *entry = data;
    stop_daemon(entry);
    ev_io_stop(entry->ev, &entry->mhd_io);
    ev_io_stop(entry->ev, &entry->gone_io);
    ev_timer_stop(entry->ev, &entry->again);
    ev_timer_stop(entry->ev, &entry->house);
    ev_clear_pending(entry->ev, &entry->kick);
    close(entry->gone_epoll);
    g_hash_table_unref(entry->requests);
    rp_snapshot_unref(entry->snapshot);
    rp_member_view_unref(entry->members);
    rp_steering_free(entry->steering);
    g_free(entry);
}

static const struct rp_task_ops entry_ops = {on_message, NULL, on_remove};

static struct MHD_Daemon *
start_daemon(struct rp_entry *entry, struct sockaddr_in *address)
{
    unsigned int flags = MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME;
    return MHD_start_daemon(
        flags, 0, NULL, NULL, on_request, entry, MHD_OPTION_SOCK_ADDR,
        (struct sockaddr *)address, MHD_OPTION_CONNECTION_LIMIT,
        entry->config.connection_limit, MHD_OPTION_CONNECTION_TIMEOUT,
        entry->config.idle_timeout_s, MHD_OPTION_CONNECTION_MEMORY_LIMIT,
        CONNECTION_MEMORY_BYTES, MHD_OPTION_LISTEN_BACKLOG_SIZE, 1024u,
        MHD_OPTION_STRICT_FOR_CLIENT, 1, MHD_OPTION_URI_LOG_CALLBACK,
        on_target, entry, MHD_OPTION_NOTIFY_COMPLETED, on_completed, entry,
        MHD_OPTION_NOTIFY_CONNECTION, on_connection, entry, MHD_OPTION_END);
}

static void
start_watchers(struct rp_entry *entry)
{
    int epoll =
        MHD_get_daemon_info(entry->daemon, MHD_DAEMON_INFO_EPOLL_FD)->epoll_fd;
    ev_io_init(&entry->mhd_io, on_mhd_io, epoll, EV_READ);
    ev_io_init(&entry->gone_io, on_gone, entry->gone_epoll, EV_READ);
    ev_timer_init(&entry->again, on_mhd_timer, 0.0, 0.0);
    ev_timer_init(&entry->kick, on_mhd_timer, 0.0, 0.0);
    ev_timer_init(&entry->house, on_mhd_timer, 1.0, 1.0);
    entry->mhd_io.data = entry;
    entry->gone_io.data = entry;
    entry->again.data = entry;
    entry->kick.data = entry;
    entry->house.data = entry;
    ev_io_start(entry->ev, &entry->mhd_io);
    ev_io_start(entry->ev, &entry->gone_io);
    ev_timer_start(entry->ev, &entry->house);
}

/* Adds the task "entry", which serves callers at the address of the context's
 * identity. It is freed with the kernel, which must go before the loop.
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
    struct rp_entry *entry = g_new0(struct rp_entry, 1);
    entry->context = context;
    entry->config = *config;
    entry->ev = rp_loop_ev(loop);
    entry->next_call_id = 1;
    entry->requests = g_hash_table_new(NULL, NULL);
    entry->steering = rp_steering_new();
    entry->gone_epoll = epoll_create1(EPOLL_CLOEXEC);
    entry->daemon = start_daemon(entry, &address);
    entry->task = entry->daemon == NULL
                      ? NULL
                      : rp_kernel_add_task(kernel, RP_TASK_ENTRY, &entry_ops,
                                           entry, error);
    if (entry->task == NULL) {
        if (entry->daemon == NULL) {
            g_set_error(error, RP_ERROR, RP_ERROR_SYSTEM,
                        "cannot listen for callers at %s; is the address of "
                        "this VM and the port free?",
                        context->identity.address);
        }
        else {
            MHD_stop_daemon(entry->daemon);
        }
        close(entry->gone_epoll);
        g_hash_table_unref(entry->requests);
        g_free(entry);
        return NULL;
    }
    entry->port =
        MHD_get_daemon_info(entry->daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
    start_watchers(entry);
    return entry;
}

/* Returns the port that callers connect to. */
uint16_t
rp_entry_port(const struct rp_entry *entry)
{
    return entry->port;
}

/* Returns whether a requested stop may end the process: every address answer
 * that names this VM has expired and its requests are finished. */
bool
rp_entry_finished(const struct rp_entry *entry)
{
    return entry->closing && entry->open == 0;
}
