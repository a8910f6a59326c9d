#include <string.h>

#include <jansson.h>

#include "entry_private.h"

/* Bytes of a request body that are read and discarded so that the caller can
 * receive the answer; beyond that the connection is closed. */
#define MAX_DISCARDED_BYTES (UINT64_C(1024) * 1024)

/* Adds the request that the connection starts to read. */
struct entry_request *
entry_request_add(struct entry_connection *connection)
{
    struct entry_request *request = g_new0(struct entry_request, 1);
    request->connection = connection;
    request->target = g_string_new(NULL);
    request->keep_alive = true;
    g_queue_push_tail(&connection->requests, request);
    connection->reading = request;
    return request;
}

/* Reports a complete request whose connection ends before its answer begins.
 * Dispatch reports those that it knows of when the caller ended the
 * connection. */
static void
report_unanswered(const struct entry_request *request)
{
    const struct rp_entry *entry = request->connection->entry;
    const char *reason = request->connection->end_reason;
    if (request->phase != ENTRY_COMPLETE || request->head_written ||
        (request->started && reason == NULL))
    {
        return;
    }
    int64_t now_ns = rp_loop_now_ns();
    rp_counter_add(&entry->context->counters, RP_COUNTER_REQUESTS_UNANSWERED,
                   1);
    struct rp_event *event = rp_event_add(
        entry->context->events, RP_EVENT_REQUEST_UNANSWERED, now_ns, "");
    if (request->call != NULL) {
        rp_event_set_request(event, request->call->request_id);
    }
    rp_event_set_detail(event, "%s; %s, read %.1f ms ago",
                        reason == NULL ? "the caller ended the connection"
                                       : reason,
                        request->started ? "in progress" : "not started",
                        (double)(now_ns - request->read_ns) / 1e6);
}

/* Frees a request that has been removed from the queue of its connection.
 * Notifies dispatch when its answer was not written completely. */
void
entry_request_free(struct entry_request *request)
{
    struct rp_entry *entry = request->connection->entry;
    report_unanswered(request);
    if (request->has_reply && request->reply.body != NULL) {
        rp_stream_set_reader(request->reply.body, NULL, NULL);
    }
    if (request->call != NULL) {
        if (request->call->request != NULL) {
            rp_stream_set_writer(request->call->request, NULL, NULL);
            rp_stream_break(request->call->request);
        }
        if (!request->body_written) {
            entry_send_abort(request, request->phase == ENTRY_COMPLETE
                                          ? RP_ABORT_CALLER_GONE
                                          : RP_ABORT_BODY_INCOMPLETE);
        }
        g_hash_table_remove(entry->requests,
                            GSIZE_TO_POINTER(request->call->id));
        rp_call_unref(request->call);
    }
    if (request->has_reply) {
        rp_call_reply_release(&request->reply);
    }
    g_free(request->local.body);
    rp_fields_clear(&request->fields);
    g_string_free(request->target, TRUE);
    g_free(request);
}

/* Answers a request that has not been sent to dispatch as not run. Its
 * connection closes unless the complete request has been read. */
void
entry_request_fail(struct entry_request *request, uint32_t status,
                   const char *reason)
{
    json_t *body =
        json_pack("{s:s, s:s}", "outcome", "not-run", "reason", reason);
    request->has_local = true;
    request->local.status = status;
    request->local.type = "application/json";
    request->local.body = json_dumps(body, JSON_COMPACT);
    request->reply.outcome = RP_OUTCOME_NOT_RUN;
    json_decref(body);
    if (request->phase != ENTRY_COMPLETE) {
        request->keep_alive = false;
    }
}

static void
on_body_writable(void *data)
{
    struct entry_request *request = data;
    struct entry_connection *connection = request->connection;
    if (connection->pending_body->len > 0) {
        /* The stream may be inside the upstream task: continue from the
         * loop. */
        ev_feed_event(connection->entry->ev, &connection->writer, EV_WRITE);
    }
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

/* Parses the fields of the dialect and adds those that are forwarded to the
 * call. Returns false when one has an invalid value. */
static bool
classify_fields(struct entry_request *request, struct rp_call *call)
{
    const struct rp_dialect *dialect =
        request->connection->entry->config.dialect;
    uint32_t position = 0;
    const char *name;
    const char *value;
    while (rp_fields_next(&request->fields, &position, &name, &value)) {
        switch (dialect->parse_request_field(dialect->data, call, name, value))
        {
        case RP_FIELD_INVALID:
            return false;
        case RP_FIELD_CONSUMED:
            break;
        case RP_FIELD_FORWARDED:
            if (!rp_http_is_hop_by_hop(&request->framing, name)) {
                rp_fields_add(&call->fields, name, value);
            }
            break;
        }
    }
    return true;
}

static void
make_call(struct entry_request *request, const char *method, const char *host)
{
    struct rp_entry *entry = request->connection->entry;
    const struct rp_http_framing *framing = &request->framing;
    struct rp_call *call =
        rp_call_new(entry->next_call_id++, method, request->target->str, host);
    call->method_flag = rp_http_method_flag(method);
    if (!classify_fields(request, call)) {
        rp_call_unref(call);
        entry_request_fail(request, 400,
                           "a field of this system's protocol has no value "
                           "that can be used; see the protocol");
        return;
    }
    set_request_id(entry, call);
    if (framing->transfer_encoding_count > 0 ||
        (framing->content_length_count > 0 && framing->content_length > 0))
    {
        call->body_bytes = framing->content_length_count > 0
                               ? (int64_t)framing->content_length
                               : RP_LENGTH_UNKNOWN;
        call->request = rp_stream_new();
        rp_stream_set_limit(call->request, entry->limits.body_bytes);
        rp_stream_set_writer(call->request, on_body_writable, request);
        request->continue_due = framing->expect_continue;
    }
    request->call = call;
    if (call->body_bytes > 0 &&
        (uint64_t)call->body_bytes > entry->limits.body_bytes)
    {
        entry_request_fail(request, 413,
                           "the body is over the limit of the configuration");
    }
}

static bool
is_address_query(const struct rp_entry *entry, const char *target)
{
    const char *path = entry->config.dialect->address_path;
    if (path == NULL) {
        return false;
    }
    size_t bytes = strlen(path);
    return strncmp(target, path, bytes) == 0 &&
           (target[bytes] == '\0' || target[bytes] == '?');
}

static void
answer_addresses(struct entry_request *request)
{
    struct rp_address_reply reply;
    rp_address_book_answer(request->connection->entry->addresses,
                           request->target->str, rp_loop_now_ns(), &reply);
    if (reply.body == NULL) {
        entry_request_fail(request, reply.status, reply.reason);
        request->keep_alive = true;
        return;
    }
    request->has_local = true;
    request->local.status = reply.status;
    request->local.type = "application/json";
    request->local.body = reply.body;
    request->local.max_age_s = reply.max_age_s;
}

static void
record_field(struct entry_connection *connection)
{
    struct entry_request *request = connection->reading;
    if (connection->field->len == 0) {
        return;
    }
    if (memchr(connection->value->str, '\0', connection->value->len) != NULL) {
        request->framing.malformed = true;
    }
    const char *name = connection->field->str;
    /* Optional white space around a value is not part of it. */
    char *value = g_strstrip(connection->value->str);
    rp_http_record_field(&request->framing, name, connection->field->len,
                         value, strlen(value));
    rp_fields_add(&request->fields, name, value);
    g_string_truncate(connection->field, 0);
    g_string_truncate(connection->value, 0);
}

static int
on_message_begin(http_parser *parser)
{
    struct entry_connection *connection = parser->data;
    entry_request_add(connection);
    return 0;
}

/* Stops the parser as soon as an incomplete header exceeds its limit. */
static int
check_header_bytes(struct entry_connection *connection)
{
    struct entry_request *request = connection->reading;
    if (request->framing.field_bytes + request->target->len +
            connection->field->len + connection->value->len <=
        connection->entry->limits.header_bytes)
    {
        return 0;
    }
    if (!request->has_local) {
        entry_request_fail(request, 431,
                           rp_http_fault_text(RP_HTTP_HEADER_TOO_LARGE));
    }
    return 1;
}

static int
on_url(http_parser *parser, const char *bytes, size_t count)
{
    struct entry_connection *connection = parser->data;
    g_string_append_len(connection->reading->target, bytes, (gssize)count);
    return check_header_bytes(connection);
}

static int
on_header_field(http_parser *parser, const char *bytes, size_t count)
{
    struct entry_connection *connection = parser->data;
    if (connection->value->len > 0) {
        record_field(connection);
    }
    g_string_append_len(connection->field, bytes, (gssize)count);
    return check_header_bytes(connection);
}

static int
on_header_value(http_parser *parser, const char *bytes, size_t count)
{
    struct entry_connection *connection = parser->data;
    if (connection->value->len == 0) {
        /* Marks that the value has begun, even if it is empty. */
        g_string_append_c(connection->value, ' ');
    }
    g_string_append_len(connection->value, bytes, (gssize)count);
    return check_header_bytes(connection);
}

static void
check_request(struct entry_request *request, http_parser *parser)
{
    const char *method = http_method_str(parser->method);
    request->framing.max_field_bytes =
        request->connection->entry->limits.header_bytes;
    enum rp_http_fault fault =
        rp_http_check_request(&request->framing, request->version_1_1);
    if (fault != RP_HTTP_NO_FAULT) {
        entry_request_fail(request, rp_http_fault_status(fault),
                           rp_http_fault_text(fault));
    }
    else if (!rp_http_target_valid(request->target->str) ||
             strlen(request->target->str) != request->target->len)
    {
        entry_request_fail(request, 400,
                           "the request target must be an absolute path of "
                           "printable characters");
    }
    else if (!rp_http_method_valid(method)) {
        entry_request_fail(request, 501, "the method is not supported");
    }
    else if (is_address_query(request->connection->entry,
                              request->target->str)) {
        answer_addresses(request);
    }
    else {
        const char *host = rp_fields_get(&request->fields, "Host");
        make_call(request, method, host == NULL ? "" : host);
    }
}

static int
on_headers_complete(http_parser *parser)
{
    struct entry_connection *connection = parser->data;
    struct entry_request *request = connection->reading;
    record_field(connection);
    request->version_1_1 = parser->http_major == 1 && parser->http_minor >= 1;
    request->is_head = parser->method == HTTP_HEAD;
    request->read_ns = rp_loop_now_ns();
    check_request(request, parser);
    request->phase = ENTRY_BODY;
    if (!http_should_keep_alive(parser)) {
        request->keep_alive = false;
    }
    /* An offer to upgrade is ignored (RFC 9110, section 7.8): what follows is
     * HTTP/1.1. */
    parser->upgrade = 0;
    return 0;
}

/* Returns whether a target has begun an answer and not ended it. It may still
 * read the request. */
static bool
is_being_answered(const struct entry_request *request)
{
    return request->has_reply && request->reply.body != NULL &&
           rp_stream_state(request->reply.body) == RP_STREAM_OPEN;
}

/* Writes bytes of a request body to its stream; accepted is set to the number
 * that fitted or was discarded. Returns false when so many were discarded that
 * the connection should be closed. */
bool
entry_request_write_body(struct entry_request *request, const void *bytes,
                         uint32_t count, uint32_t *accepted)
{
    struct rp_stream *stream =
        request->call == NULL ? NULL : request->call->request;
    *accepted = count;
    if (stream != NULL && !request->has_local &&
        (!request->has_reply || is_being_answered(request)) &&
        rp_stream_state(stream) == RP_STREAM_OPEN)
    {
        *accepted = rp_stream_write(stream, bytes, count);
        if (!rp_stream_over_limit(stream)) {
            return true;
        }
        /* Dispatch still answers this call. */
        entry_send_abort(request, RP_ABORT_BODY_TOO_LARGE);
        *accepted = count;
    }
    request->discarded_bytes += count;
    if (request->discarded_bytes > MAX_DISCARDED_BYTES) {
        request->keep_alive = false;
        return false;
    }
    return true;
}

static int
on_body(http_parser *parser, const char *bytes, size_t count)
{
    struct entry_connection *connection = parser->data;
    uint32_t accepted = 0;
    if (!entry_request_write_body(connection->reading, bytes, (uint32_t)count,
                                  &accepted))
    {
        connection->discard_input = true;
        return 1;
    }
    if (accepted < count) {
        g_byte_array_append(connection->pending_body,
                            (const guint8 *)bytes + accepted,
                            (guint)(count - accepted));
        http_parser_pause(parser, 1);
    }
    return 0;
}

static int
on_message_complete(http_parser *parser)
{
    struct entry_connection *connection = parser->data;
    struct entry_request *request = connection->reading;
    request->phase = ENTRY_COMPLETE;
    if (request->call != NULL && request->call->request != NULL) {
        if (connection->field->len > 0) {
            /* Trailers that were not announced are not supported; without them
             * the request is incomplete. */
            rp_stream_break(request->call->request);
        }
        else {
            rp_stream_end(request->call->request);
        }
    }
    g_string_truncate(connection->field, 0);
    g_string_truncate(connection->value, 0);
    connection->reading = NULL;
    if (!request->keep_alive) {
        connection->discard_input = true;
    }
    /* Paused: the next request is parsed when there is room for it. */
    http_parser_pause(parser, 1);
    return 0;
}

/* Callbacks of the parser for callers' requests. */
const http_parser_settings entry_parser_settings = {
    .on_message_begin = on_message_begin,
    .on_url = on_url,
    .on_header_field = on_header_field,
    .on_header_value = on_header_value,
    .on_headers_complete = on_headers_complete,
    .on_body = on_body,
    .on_message_complete = on_message_complete,
};
