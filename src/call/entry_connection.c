#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "entry_private.h"

/* Unacknowledged bytes for this long end a connection, also one whose caller
 * has lost its power. */
#define TCP_USER_TIMEOUT_MS 10000
/* Bytes that wait for the caller; a body stream holds back the rest. */
#define OUTPUT_BYTES 65536u
/* Bytes that are read while the parser waits, so that the end of a connection
 * behind them is seen. */
#define INPUT_BYTES 65536u
/* Requests of one connection in progress. */
#define REQUESTS_AT_ONCE 16
/* For the caller to take the last answer before the socket goes; closing with
 * unread bytes would reset it (RFC 9112, section 9.6). */
#define LINGER_NS INT64_C(1000000000)

/* Closes a connection at once. Requests in progress are given up. It is freed
 * by the entry task's timer, since callers up the stack may still use it. */
void
entry_connection_close(struct entry_connection *connection)
{
    if (connection->closed) {
        return;
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
    g_byte_array_unref(connection->body_left);
    g_byte_array_unref(connection->output);
    g_free(connection);
}

static uint32_t
output_left(const struct entry_connection *connection)
{
    return connection->output->len - connection->output_at;
}

static void
shut_down(struct entry_connection *connection, int64_t now_ns)
{
    if (connection->lingering) {
        return;
    }
    connection->lingering = true;
    connection->active_ns = now_ns;
    shutdown(connection->socket, SHUT_WR);
}

/* Writes what the socket takes. Returns false when the connection is gone. */
static bool
flush(struct entry_connection *connection, int64_t now_ns)
{
    struct rp_entry *entry = connection->entry;
    while (output_left(connection) > 0) {
        ssize_t bytes = send(connection->socket,
                             connection->output->data + connection->output_at,
                             output_left(connection), MSG_NOSIGNAL);
        if (bytes < 0 && errno == EINTR) {
            continue;
        }
        if (bytes < 0 && errno != EAGAIN) {
            entry_connection_close(connection);
            return false;
        }
        if (bytes < 0) {
            ev_io_start(entry->ev, &connection->writer);
            return true;
        }
        connection->output_at += (uint32_t)bytes;
        connection->active_ns = now_ns;
    }
    g_byte_array_set_size(connection->output, 0);
    connection->output_at = 0;
    ev_io_stop(entry->ev, &connection->writer);
    return true;
}

/* A request runs beside those before it when it may be repeated: if one of
 * their answers ends the connection, the caller sends the ones behind it
 * again. */
static bool
may_start(const struct entry_request *request, bool first)
{
    const struct rp_entry *entry = request->connection->entry;
    /* A VM that leaves may end before a slow answer in front is out; what was
     * not started then is sent again elsewhere. */
    if (first || entry->snapshot == NULL || entry->leaving) {
        return first;
    }
    const struct rp_route *route = rp_snapshot_match(
        entry->snapshot, request->call->host, request->call->target);
    return route != NULL && request->call->request == NULL &&
           (route->repeatable_methods & request->call->method_flag) != 0;
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
            if (!entry_start_call(request, now_ns)) {
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
    if (request->phase != ENTRY_READ && keep_alive) {
        return false; /* the rest of its body is discarded first */
    }
    g_queue_pop_head(&connection->requests);
    if (connection->reading == request) {
        connection->reading = NULL;
    }
    entry_request_free(request);
    if (!keep_alive) {
        connection->closing = true;
        connection->deaf = true;
    }
    return true;
}

/* Ends a connection whose answer was broken off, so that the caller sees that
 * it is not whole: too few bytes or no last chunk. One that would be whole by
 * the end of its connection is reset. */
static void
break_off(struct entry_connection *connection,
          const struct entry_request *request)
{
    if (!request->chunked && request->reply.answer->body_bytes < 0) {
        struct linger reset = {.l_onoff = 1, .l_linger = 0};
        setsockopt(connection->socket, SOL_SOCKET, SO_LINGER, &reset,
                   sizeof(reset));
        entry_connection_close(connection);
        return;
    }
    connection->closing = true;
    connection->deaf = true;
}

/* Writes answers as far as they have come, in order. */
static void
write_answers(struct entry_connection *connection)
{
    while (!connection->closing && output_left(connection) < OUTPUT_BYTES) {
        struct entry_request *request =
            g_queue_peek_head(&connection->requests);
        if (request == NULL) {
            return;
        }
        if (request->continue_due && !request->has_reply &&
            !request->has_local) {
            request->continue_due = false;
            static const char text[] = "HTTP/1.1 100 Continue\r\n\r\n";
            g_byte_array_append(connection->output, (const guint8 *)text,
                                sizeof(text) - 1);
        }
        if (!request->has_reply && !request->has_local) {
            return;
        }
        if (!request->head_written) {
            entry_reply_write_head(request);
        }
        if (!request->body_written) {
            if (!entry_reply_write_body(request)) {
                break_off(connection, request);
                return;
            }
            if (!request->body_written) {
                if (rp_stream_available(request->reply.body) > 0) {
                    continue;
                }
                return;
            }
        }
        if (!finish_request(connection, request)) {
            return;
        }
    }
}

static void parse(struct entry_connection *connection, int64_t now_ns);

static void
resume_body(struct entry_connection *connection)
{
    struct entry_request *request = connection->reading;
    if (connection->body_left->len == 0) {
        return;
    }
    uint32_t taken = connection->body_left->len;
    if (request != NULL) {
        entry_request_take_body(request, connection->body_left->data,
                                connection->body_left->len, &taken);
    }
    if (taken > 0) {
        g_byte_array_remove_range(connection->body_left, 0, taken);
    }
}

/* Does all that a connection can do at present. */
void
entry_connection_advance(struct entry_connection *connection, int64_t now_ns)
{
    if (connection->closed) {
        return;
    }
    resume_body(connection);
    while (connection->paused && connection->body_left->len == 0 &&
           connection->requests.length < REQUESTS_AT_ONCE)
    {
        parse(connection, now_ns);
    }
    start_requests(connection, now_ns);
    write_answers(connection);
    if (connection->closed) {
        return;
    }
    if (!flush(connection, now_ns)) {
        return;
    }
    if (connection->closing && output_left(connection) == 0) {
        struct entry_request *request;
        while ((request = g_queue_pop_head(&connection->requests)) != NULL) {
            entry_request_free(request);
        }
        connection->reading = NULL;
        shut_down(connection, now_ns);
    }
    if (!connection->closed && connection->input->len < INPUT_BYTES) {
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
    connection->deaf = true;
    if (request->has_local) {
        request->phase = ENTRY_READ;
        return; /* refused already, for a better reason */
    }
    if (request->started) {
        /* The body is malformed: dispatch gives the request up and answers. */
        if (request->call->request != NULL) {
            rp_stream_break(request->call->request);
        }
        request->keep_alive = false;
        request->phase = ENTRY_READ;
        return;
    }
    entry_request_fail(request, 400, "the request is malformed");
    request->phase = ENTRY_READ;
}

/* Parses what has been read, as far as there is room for it. */
static void
parse(struct entry_connection *connection, int64_t now_ns)
{
    if (connection->deaf) {
        connection->paused = false;
        g_byte_array_set_size(connection->input, 0);
        return;
    }
    connection->paused = false;
    if (connection->input->len == 0) {
        return; /* the parser takes no bytes for the end of the connection */
    }
    http_parser_pause(&connection->parser, 0);
    size_t used = http_parser_execute(
        &connection->parser, &entry_parser_settings,
        (const char *)connection->input->data, connection->input->len);
    enum http_errno fault = HTTP_PARSER_ERRNO(&connection->parser);
    if (connection->deaf || connection->parser.upgrade) {
        used = connection->input->len;
        connection->deaf = true;
    }
    else if (fault != HPE_OK && fault != HPE_PAUSED) {
        used = connection->input->len;
        fail_parse(connection);
    }
    connection->paused = fault == HPE_PAUSED && !connection->deaf;
    if (used > 0) {
        g_byte_array_remove_range(connection->input, 0,
                                  (guint)MIN(used, connection->input->len));
    }
    bool in_head = connection->reading != NULL &&
                   connection->reading->phase == ENTRY_HEAD;
    if (!in_head) {
        connection->head_ns = 0;
    }
    else if (connection->head_ns == 0) {
        connection->head_ns = now_ns;
    }
}

/* The caller has closed its connection, or its sending half. */
static void
caller_left(struct entry_connection *connection)
{
    for (GList *link = connection->requests.head; link != NULL;
         link = link->next) {
        struct entry_request *request = link->data;
        entry_send_gone(request, request->phase == ENTRY_READ ? RP_GONE_CALLER
                                                              : RP_GONE_BODY);
    }
    entry_connection_close(connection);
}

static void
on_readable(struct ev_loop *ev, ev_io *watcher, int events)
{
    (void)events;
    struct entry_connection *connection = watcher->data;
    int64_t now_ns = rp_loop_now_ns();
    uint8_t bytes[RP_STREAM_READ_BYTES];
    ssize_t count =
        recv(connection->socket, bytes, sizeof(bytes), MSG_DONTWAIT);
    if (count < 0 && (errno == EAGAIN || errno == EINTR)) {
        return;
    }
    if (count <= 0) {
        caller_left(connection);
        return;
    }
    connection->active_ns = now_ns;
    if (connection->lingering || connection->deaf) {
        return;
    }
    g_byte_array_append(connection->input, bytes, (guint)count);
    if (!connection->paused) {
        parse(connection, now_ns);
    }
    if (connection->input->len >= INPUT_BYTES) {
        ev_io_stop(ev, watcher);
    }
    entry_connection_advance(connection, now_ns);
}

static void
on_writable(struct ev_loop *ev, ev_io *watcher, int events)
{
    (void)ev;
    (void)events;
    entry_connection_advance(watcher->data, rp_loop_now_ns());
}

/* Takes over an accepted socket. */
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
    connection->active_ns = now_ns;
    connection->field = g_string_new(NULL);
    connection->value = g_string_new(NULL);
    connection->input = g_byte_array_new();
    connection->body_left = g_byte_array_new();
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

/* Ends a connection whose caller takes too long, and an idle one of a VM that
 * leaves. */
void
entry_connection_check_time(struct entry_connection *connection,
                            int64_t now_ns)
{
    const struct rp_entry *entry = connection->entry;
    int64_t quiet_ns = now_ns - connection->active_ns;
    int64_t idle_ns = (int64_t)entry->limits.idle_ms * 1000000;
    if (connection->lingering) {
        if (quiet_ns > LINGER_NS) {
            entry_connection_close(connection);
        }
        return;
    }
    if (connection->head_ns > 0 && connection->reading != NULL &&
        now_ns - connection->head_ns >
            (int64_t)entry->limits.header_ms * 1000000)
    {
        connection->head_ns = 0;
        connection->deaf = true;
        entry_request_fail(connection->reading, 408,
                           "the header did not come in time; send it whole");
        connection->reading->phase = ENTRY_READ;
        entry_connection_advance(connection, now_ns);
        return;
    }
    if (entry->closing && connection->reading == NULL) {
        connection->deaf = true; /* what is in progress is finished */
    }
    bool idle =
        connection->requests.length == 0 && output_left(connection) == 0;
    if (idle && (entry->closing || quiet_ns > idle_ns)) {
        shut_down(connection, now_ns);
    }
    else if (output_left(connection) > 0 && quiet_ns > idle_ns) {
        caller_left(connection); /* it takes no bytes */
    }
}
