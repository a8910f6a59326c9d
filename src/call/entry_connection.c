#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "entry_private.h"

/* Time after which unacknowledged bytes end a connection, for example when the
 * host of the caller has lost power. */
#define TCP_USER_TIMEOUT_MS 10000
/* Maximum bytes queued for the caller; the body stream holds back the rest. */
#define MAX_OUTPUT_BYTES 65536u
/* Maximum bytes that are read while the parser is paused, so that the end of
 * the connection after them is detected. */
#define MAX_INPUT_BYTES 65536u
/* Maximum requests in progress of one connection. */
#define MAX_REQUESTS_IN_PROGRESS 16
/* Time for the caller to read the last answer before the socket is closed;
 * closing with unread bytes would reset it (RFC 9112, section 9.6). */
#define LINGER_TIMEOUT_NS INT64_C(1000000000)
/* Time for a request to arrive on a connection that was accepted at the end of
 * a stop. */
#define STOP_IDLE_TIMEOUT_NS INT64_C(500000000)

/* Closes a connection at once and aborts its requests. reason is a constant
 * string, or NULL when the caller has ended the connection. It is freed later
 * by the timer of the entry task, since functions up the stack may still use
 * it. */
void
entry_connection_close(struct entry_connection *connection, const char *reason)
{
    if (connection->closed) {
        return;
    }
    if (connection->end_reason == NULL) {
        connection->end_reason = reason;
    }
    struct rp_entry *entry = connection->entry;
    connection->closed = true;
    ev_io_stop(entry->ev, &connection->reader);
    ev_io_stop(entry->ev, &connection->writer);
    close(connection->socket);
    struct entry_request *request;
    while ((request = g_queue_pop_head(&connection->requests)) != NULL) {
        entry_request_free(request);
    }
    connection->reading = NULL;
    g_hash_table_remove(entry->connections, connection);
    g_ptr_array_add(entry->closed, connection);
}

/* Frees a closed connection. */
void
entry_connection_free(struct entry_connection *connection)
{
    g_string_free(connection->field, TRUE);
    g_string_free(connection->value, TRUE);
    g_byte_array_unref(connection->input);
    g_byte_array_unref(connection->pending_body);
    g_byte_array_unref(connection->output);
    g_free(connection);
}

static uint32_t
pending_output_bytes(const struct entry_connection *connection)
{
    return connection->output->len - connection->output_sent_bytes;
}

static void
shut_down(struct entry_connection *connection, int64_t now_ns)
{
    if (connection->lingering) {
        return;
    }
    connection->lingering = true;
    connection->last_activity_ns = now_ns;
    shutdown(connection->socket, SHUT_WR);
}

/* Writes as much output as the socket accepts. Returns false when the
 * connection was closed. */
static bool
flush(struct entry_connection *connection, int64_t now_ns)
{
    struct rp_entry *entry = connection->entry;
    while (pending_output_bytes(connection) > 0) {
        ssize_t bytes =
            send(connection->socket,
                 connection->output->data + connection->output_sent_bytes,
                 pending_output_bytes(connection), MSG_NOSIGNAL);
        if (bytes < 0 && errno == EINTR) {
            continue;
        }
        if (bytes < 0 && errno != EAGAIN) {
            entry_connection_close(connection, NULL);
            return false;
        }
        if (bytes < 0) {
            ev_io_start(entry->ev, &connection->writer);
            return true;
        }
        connection->output_sent_bytes += (uint32_t)bytes;
        connection->last_activity_ns = now_ns;
    }
    g_byte_array_set_size(connection->output, 0);
    connection->output_sent_bytes = 0;
    ev_io_stop(entry->ev, &connection->writer);
    return true;
}

/* Returns whether a request can be started while earlier ones are in progress.
 * It must be repeatable: if an earlier answer ends the connection, the caller
 * resends the requests after it. */
static bool
may_start(const struct entry_request *request, bool first)
{
    const struct rp_entry *entry = request->connection->entry;
    /* A stopping VM may end before a slow earlier answer is written. The
     * caller then resends requests that were not started to another VM. */
    if (first || entry->snapshot == NULL || entry->stopping) {
        return first;
    }
    const struct rp_route *route = rp_snapshot_match(
        entry->snapshot, request->call->host, request->call->target);
    return route != NULL && request->call->request == NULL &&
           (route->repeatable_methods & request->call->method_flag) != 0;
}

static int64_t
latest_end_ns(const struct entry_request *request)
{
    const struct rp_entry *entry = request->connection->entry;
    const struct rp_call *call = request->call;
    const struct rp_route *route =
        entry->snapshot == NULL
            ? NULL
            : rp_snapshot_match(entry->snapshot, call->host, call->target);
    int64_t timeout_ms = call->timeout_ms;
    if (route != NULL) {
        timeout_ms = MIN(timeout_ms > 0 ? timeout_ms : route->timeout_ms,
                         route->max_timeout_ms);
    }
    return request->read_ns + timeout_ms * 1000000;
}

/* Returns whether a stopping VM leaves a request to another one. */
static bool
is_too_late(const struct entry_request *request, int64_t now_ns)
{
    const struct rp_entry *entry = request->connection->entry;
    return entry->stopping &&
           !rp_stop_plan_accepts(&entry->stop, latest_end_ns(request), now_ns);
}

static void
start_requests(struct entry_connection *connection, int64_t now_ns)
{
    bool first = true;
    for (GList *link = connection->requests.head; link != NULL;
         link = link->next) {
        struct entry_request *request = link->data;
        if (request->phase != ENTRY_HEAD && request->call != NULL &&
            !request->started && !request->has_local)
        {
            if (!may_start(request, first)) {
                return;
            }
            if (is_too_late(request, now_ns)) {
                entry_request_fail(request, 503, "this entry VM is stopping");
            }
            else if (!entry_start_call(request)) {
                entry_request_fail(request, 503,
                                   "this entry VM is overloaded");
            }
        }
        first = false;
    }
}

static bool
finish_request(struct entry_connection *connection,
               struct entry_request *request)
{
    bool keep_alive = request->keep_alive;
    if (request->phase != ENTRY_COMPLETE && keep_alive) {
        return false; /* the rest of its body is discarded first */
    }
    g_queue_pop_head(&connection->requests);
    if (connection->reading == request) {
        connection->reading = NULL;
    }
    entry_request_free(request);
    if (!keep_alive) {
        connection->closing = true;
        connection->discard_input = true;
        connection->end_reason = "an earlier answer ended the connection";
    }
    return true;
}

/* Ends a connection whose answer was truncated, in a way that the caller can
 * detect: too few bytes, no last chunk, or a reset when the end of the
 * connection delimits the answer. */
static void
abort_answer(struct entry_connection *connection,
             const struct entry_request *request)
{
    connection->end_reason = "an earlier answer was broken off";
    if (!request->chunked && request->reply.answer->body_bytes < 0) {
        struct linger reset = {.l_onoff = 1, .l_linger = 0};
        setsockopt(connection->socket, SOL_SOCKET, SO_LINGER, &reset,
                   sizeof(reset));
        entry_connection_close(connection, connection->end_reason);
        return;
    }
    connection->closing = true;
    connection->discard_input = true;
}

/* Writes the available parts of answers, in order of the requests. Returns
 * whether more can be done once the output is written: requests were finished,
 * so that later ones may start, or the output is full. */
static bool
write_answers(struct entry_connection *connection)
{
    bool finished = false;
    while (!connection->closing &&
           pending_output_bytes(connection) < MAX_OUTPUT_BYTES)
    {
        struct entry_request *request =
            g_queue_peek_head(&connection->requests);
        if (request == NULL) {
            return finished;
        }
        if (request->continue_due && !request->has_reply &&
            !request->has_local) {
            request->continue_due = false;
            static const char text[] = "HTTP/1.1 100 Continue\r\n\r\n";
            g_byte_array_append(connection->output, (const guint8 *)text,
                                sizeof(text) - 1);
        }
        if (!request->has_reply && !request->has_local) {
            return finished;
        }
        if (!request->head_written) {
            entry_reply_write_head(request);
        }
        if (!request->body_written) {
            if (!entry_reply_write_body(request)) {
                abort_answer(connection, request);
                return false;
            }
            if (!request->body_written) {
                if (rp_stream_available(request->reply.body) > 0) {
                    continue;
                }
                return finished;
            }
        }
        if (!finish_request(connection, request)) {
            return finished;
        }
        finished = true;
    }
    return true;
}

static void parse(struct entry_connection *connection, int64_t now_ns);

static void
resume_body(struct entry_connection *connection)
{
    struct entry_request *request = connection->reading;
    if (connection->pending_body->len == 0) {
        return;
    }
    uint32_t accepted = connection->pending_body->len;
    if (request != NULL) {
        entry_request_write_body(request, connection->pending_body->data,
                                 connection->pending_body->len, &accepted);
    }
    if (accepted > 0) {
        g_byte_array_remove_range(connection->pending_body, 0, accepted);
    }
}

/* Returns as write_answers. */
static bool
serve_requests(struct entry_connection *connection, int64_t now_ns)
{
    if (connection->closing) {
        return false; /* the caller sends later requests again elsewhere */
    }
    resume_body(connection);
    while (connection->paused && connection->pending_body->len == 0 &&
           connection->requests.length < MAX_REQUESTS_IN_PROGRESS)
    {
        parse(connection, now_ns);
    }
    start_requests(connection, now_ns);
    return write_answers(connection);
}

/* Parses, starts and answers requests as far as possible at present. */
void
entry_connection_advance(struct entry_connection *connection, int64_t now_ns)
{
    if (connection->closed) {
        return;
    }
    bool more;
    do {
        more = serve_requests(connection, now_ns);
        if (connection->closed || !flush(connection, now_ns)) {
            return;
        }
    } while (more && pending_output_bytes(connection) == 0);
    if (connection->closing && pending_output_bytes(connection) == 0) {
        struct entry_request *request;
        while ((request = g_queue_pop_head(&connection->requests)) != NULL) {
            entry_request_free(request);
        }
        connection->reading = NULL;
        shut_down(connection, now_ns);
    }
    if (connection->closing) {
        /* What follows the last request is read, but not held. */
        g_byte_array_set_size(connection->input, 0);
    }
    if (!connection->closed && connection->input->len < MAX_INPUT_BYTES) {
        ev_io_start(connection->entry->ev, &connection->reader);
    }
}

static void
fail_parse(struct entry_connection *connection)
{
    struct entry_request *request = connection->reading;
    if (request == NULL) {
        request = entry_request_add(connection);
    }
    connection->discard_input = true;
    request->keep_alive = false;
    if (request->has_local) {
        request->phase = ENTRY_COMPLETE;
        return; /* refused already with a more specific reason */
    }
    if (request->started) {
        /* The body is malformed: dispatch cancels the call and answers. */
        if (request->call->request != NULL) {
            rp_stream_break(request->call->request);
        }
        request->phase = ENTRY_COMPLETE;
        return;
    }
    entry_request_fail(request, 400, "the request is malformed");
    request->phase = ENTRY_COMPLETE;
}

/* Parses the input as far as there is room for requests. */
static void
parse(struct entry_connection *connection, int64_t now_ns)
{
    if (connection->discard_input) {
        connection->paused = false;
        g_byte_array_set_size(connection->input, 0);
        return;
    }
    connection->paused = false;
    if (connection->input->len == 0) {
        return; /* the parser interprets 0 bytes as the end */
    }
    http_parser_pause(&connection->parser, 0);
    size_t parsed_bytes = http_parser_execute(
        &connection->parser, &entry_parser_settings,
        (const char *)connection->input->data, connection->input->len);
    enum http_errno fault = HTTP_PARSER_ERRNO(&connection->parser);
    if (connection->discard_input) {
        parsed_bytes = connection->input->len;
    }
    else if (fault != HPE_OK && fault != HPE_PAUSED) {
        parsed_bytes = connection->input->len;
        fail_parse(connection);
    }
    connection->paused = fault == HPE_PAUSED && !connection->discard_input;
    if (parsed_bytes > 0) {
        g_byte_array_remove_range(
            connection->input, 0,
            (guint)MIN(parsed_bytes, connection->input->len));
    }
    bool in_head = connection->reading != NULL &&
                   connection->reading->phase == ENTRY_HEAD;
    if (!in_head) {
        connection->head_start_ns = 0;
    }
    else if (connection->head_start_ns == 0) {
        connection->head_start_ns = now_ns;
    }
}

/* Handles a caller that has closed its connection, or its sending half, or
 * reads no bytes. reason is as for entry_connection_close. */
static void
handle_caller_closed(struct entry_connection *connection, const char *reason)
{
    for (GList *link = connection->requests.head; link != NULL;
         link = link->next) {
        struct entry_request *request = link->data;
        entry_send_abort(request, request->phase == ENTRY_COMPLETE
                                      ? RP_ABORT_CALLER_GONE
                                      : RP_ABORT_BODY_INCOMPLETE);
    }
    entry_connection_close(connection, reason);
}

/* Reads what the socket holds, at most RP_STREAM_READ_BYTES, and serves it.
 * Returns whether there was anything. */
static bool
read_input(struct entry_connection *connection, int64_t now_ns)
{
    uint8_t bytes[RP_STREAM_READ_BYTES];
    ssize_t count =
        recv(connection->socket, bytes, sizeof(bytes), MSG_DONTWAIT);
    if (count < 0 && (errno == EAGAIN || errno == EINTR)) {
        return false;
    }
    if (count <= 0) {
        handle_caller_closed(connection, NULL);
        return false;
    }
    /* A caller that only sends does not read its answers. */
    if (!connection->lingering && pending_output_bytes(connection) == 0) {
        connection->last_activity_ns = now_ns;
    }
    if (connection->lingering || connection->discard_input) {
        rp_counter_add(&connection->entry->context->counters,
                       RP_COUNTER_INPUT_DISCARDED_BYTES, (uint64_t)count);
        return true;
    }
    g_byte_array_append(connection->input, bytes, (guint)count);
    if (!connection->paused) {
        parse(connection, now_ns);
    }
    if (connection->input->len >= MAX_INPUT_BYTES) {
        ev_io_stop(connection->entry->ev, &connection->reader);
    }
    entry_connection_advance(connection, now_ns);
    return true;
}

static void
on_readable(struct ev_loop *ev, ev_io *watcher, int events)
{
    (void)ev;
    (void)events;
    read_input(watcher->data, rp_loop_now_ns());
}

static void
on_writable(struct ev_loop *ev, ev_io *watcher, int events)
{
    (void)ev;
    (void)events;
    entry_connection_advance(watcher->data, rp_loop_now_ns());
}

/* Adds a connection for an accepted socket, which it owns from now on. */
void
entry_connection_open(struct rp_entry *entry, int socket, int64_t now_ns)
{
    struct entry_connection *connection = g_new0(struct entry_connection, 1);
    unsigned int timeout_ms = TCP_USER_TIMEOUT_MS;
    int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms,
               sizeof(timeout_ms));
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    connection->entry = entry;
    connection->socket = socket;
    connection->last_activity_ns = now_ns;
    connection->field = g_string_new(NULL);
    connection->value = g_string_new(NULL);
    connection->input = g_byte_array_new();
    connection->pending_body = g_byte_array_new();
    connection->output = g_byte_array_new();
    g_queue_init(&connection->requests);
    http_parser_init(&connection->parser, HTTP_REQUEST);
    connection->parser.data = connection;
    ev_io_init(&connection->reader, on_readable, socket, EV_READ);
    ev_io_init(&connection->writer, on_writable, socket, EV_WRITE);
    connection->reader.data = connection;
    connection->writer.data = connection;
    g_hash_table_add(entry->connections, connection);
    ev_io_start(entry->ev, &connection->reader);
}

/* Returns whether a connection can be closed without a loss: it was shut down,
 * and not for an answer that its caller may still read. */
bool
entry_connection_is_finished(const struct entry_connection *connection)
{
    return connection->lingering && !connection->closing;
}

static bool
is_inactive(const struct entry_connection *connection, int64_t now_ns)
{
    int64_t limit_ns = (int64_t)connection->entry->limits.idle_ms * 1000000;
    if (connection->lingering) {
        limit_ns = LINGER_TIMEOUT_NS;
    }
    else if (connection->entry->closing && connection->output->len == 0) {
        limit_ns = MIN(limit_ns, STOP_IDLE_TIMEOUT_NS);
    }
    return now_ns - connection->last_activity_ns > limit_ns;
}

static bool
header_is_late(const struct entry_connection *connection, int64_t now_ns)
{
    int64_t limit_ns = (int64_t)connection->entry->limits.header_ms * 1000000;
    return connection->head_start_ns > 0 && connection->reading != NULL &&
           !connection->discard_input &&
           now_ns - connection->head_start_ns > limit_ns;
}

/* Returns whether each answer is written: nothing is left to do before the
 * caller sends a request or the rest of the last one. */
static bool
is_idle(const struct entry_connection *connection)
{
    const GList *first = connection->requests.head;
    return pending_output_bytes(connection) == 0 &&
           (first == NULL ||
            ((const struct entry_request *)first->data)->body_written);
}

/* Ends a connection whose caller exceeds a time limit, and an idle one when
 * this VM is stopping. */
void
entry_connection_check_time(struct entry_connection *connection,
                            int64_t now_ns)
{
    if (connection->lingering) {
        if (is_inactive(connection, now_ns)) {
            entry_connection_close(connection, connection->end_reason);
        }
        return;
    }
    if (is_inactive(connection, now_ns) || header_is_late(connection, now_ns))
    {
        /* Timers run before sockets: after a pause of this process the caller
         * may have sent or read bytes in time. */
        if (pending_output_bytes(connection) > 0) {
            entry_connection_advance(connection, now_ns);
        }
        /* The reader is stopped while no more input is to be held. A header
         * may need several reads, but not more than its limit allows. */
        bool again = true;
        while (again && ev_is_active(&connection->reader)) {
            again = read_input(connection, now_ns) &&
                    header_is_late(connection, now_ns);
        }
        if (connection->closed || connection->lingering) {
            return;
        }
    }
    if (header_is_late(connection, now_ns)) {
        connection->head_start_ns = 0;
        connection->discard_input = true;
        entry_request_fail(connection->reading, 408,
                           "the header did not come in time; send it whole");
        connection->reading->phase = ENTRY_COMPLETE;
        entry_connection_advance(connection, now_ns);
        return;
    }
    if (is_idle(connection) && is_inactive(connection, now_ns)) {
        shut_down(connection, now_ns);
    }
    else if (pending_output_bytes(connection) > 0 &&
             is_inactive(connection, now_ns))
    {
        handle_caller_closed(connection, "the caller reads no bytes");
    }
}
