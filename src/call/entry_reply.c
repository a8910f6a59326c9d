#include <string.h>

#include "entry_private.h"

/* Maximum size of a body chunk; its size field has at most four digits. */
#define MAX_CHUNK_BYTES RP_STREAM_READ_BYTES

static void
append_text(struct entry_connection *connection, const char *text)
{
    g_byte_array_append(connection->output, (const guint8 *)text,
                        (guint)strlen(text));
}

static void
append_field(void *data, const char *name, const char *value)
{
    struct entry_connection *connection = data;
    append_text(connection, name);
    append_text(connection, ": ");
    append_text(connection, value);
    append_text(connection, "\r\n");
}

static void
append_status_line(struct entry_connection *connection, uint32_t status)
{
    char line[96];
    const char *reason = http_status_str(status);
    g_snprintf(line, sizeof(line), "HTTP/1.1 %u %s\r\n", status,
               reason == NULL || reason[0] == '<' ? "-" : reason);
    append_text(connection, line);
}

static void
append_content_length(struct entry_connection *connection, uint64_t bytes)
{
    char number[32];
    g_snprintf(number, sizeof(number), "%" G_GUINT64_FORMAT, bytes);
    append_field(connection, "Content-Length", number);
}

static void
on_body_readable(void *data)
{
    struct entry_request *request = data;
    struct entry_connection *connection = request->connection;
    /* The stream may be inside the upstream task: continue from the loop. */
    ev_feed_event(connection->entry->ev, &connection->writer, EV_WRITE);
}

/* Returns whether no later request of the connection has been started. Callers
 * resend requests that follow the last answer of a connection. */
static bool
is_last_started(const struct entry_request *request)
{
    const GList *link = request->connection->requests.head->next;
    for (; link != NULL; link = link->next) {
        const struct entry_request *later = link->data;
        if (later->started) {
            return false;
        }
    }
    return true;
}

/* Decides whether the connection stays open after this answer. */
static void
append_connection_field(struct entry_request *request)
{
    struct entry_connection *connection = request->connection;
    const struct rp_entry *entry = connection->entry;
    if (entry->stopping && is_last_started(request) &&
        request->phase == ENTRY_COMPLETE)
    {
        request->keep_alive = false;
    }
    if (request->call != NULL && request->framing.expect_continue &&
        request->continue_due)
    {
        /* No "100 Continue" was sent, so it is unknown whether the body
         * follows. */
        request->keep_alive = false;
    }
    if (!request->keep_alive) {
        append_field(connection, "Connection", "close");
    }
}

static void
write_local(struct entry_request *request, uint32_t status, const char *type,
            const char *body)
{
    struct entry_connection *connection = request->connection;
    const struct rp_dialect *dialect = connection->entry->config.dialect;
    append_status_line(connection, status);
    append_field(connection, "Content-Type", type);
    append_content_length(connection, strlen(body));
    if (request->local.max_age_s > 0) {
        char control[48];
        g_snprintf(control, sizeof(control), "max-age=%u",
                   request->local.max_age_s);
        append_field(connection, "Cache-Control", control);
    }
    if (request->reply.outcome != RP_OUTCOME_NONE) {
        dialect->add_reply_fields(dialect->data, request->call,
                                  &request->reply, append_field, connection);
    }
    append_connection_field(request);
    append_text(connection, "\r\n");
    if (!request->is_head) {
        append_text(connection, body);
    }
    request->body_written = true;
}

static void
write_system_answer(struct entry_request *request)
{
    const struct rp_call_reply *reply = &request->reply;
    char body[512];
    const char *outcome =
        reply->outcome == RP_OUTCOME_NOT_RUN ? "not-run" : "unknown";
    /* The reasons are constant strings without characters to be escaped. */
    g_snprintf(body, sizeof(body), "{\"outcome\":\"%s\",\"reason\":\"%s\"}",
               outcome, reply->reason);
    write_local(request, reply->status, "application/json", body);
}

static void
write_target_answer(struct entry_request *request)
{
    struct entry_connection *connection = request->connection;
    const struct rp_dialect *dialect = connection->entry->config.dialect;
    const struct rp_answer *answer = request->reply.answer;
    struct rp_stream *body = request->reply.body;
    bool bodyless =
        request->is_head || answer->status == 204 || answer->status == 304;
    append_status_line(connection, answer->status);
    uint32_t position = 0;
    const char *name;
    const char *value;
    while (rp_fields_next(&answer->fields, &position, &name, &value)) {
        append_field(connection, name, value);
    }
    dialect->add_reply_fields(dialect->data, request->call, &request->reply,
                              append_field, connection);
    bool whole = rp_stream_state(body) == RP_STREAM_ENDED;
    if (answer->body_bytes >= 0) {
        if (answer->status != 204) {
            append_content_length(connection, (uint64_t)answer->body_bytes);
        }
    }
    else if (!bodyless && whole) {
        append_content_length(connection, rp_stream_written(body));
    }
    else if (!bodyless) {
        if (request->version_1_1) {
            request->chunked = true;
            append_field(connection, "Transfer-Encoding", "chunked");
        }
        else {
            request->keep_alive = false;
        }
    }
    append_connection_field(request);
    append_text(connection, "\r\n");
    request->body_written = bodyless;
    rp_stream_set_reader(body, on_body_readable, request);
}

/* Writes the head of the answer to a request, or the complete answer if this
 * system makes it. */
void
entry_reply_write_head(struct entry_request *request)
{
    request->head_written = true;
    if (request->has_local) {
        write_local(request, request->local.status, request->local.type,
                    request->local.body);
    }
    else if (request->reply.outcome != RP_OUTCOME_NONE) {
        write_system_answer(request);
    }
    else {
        write_target_answer(request);
    }
}

/* Writes the available bytes of an answer's body, at most MAX_CHUNK_BYTES per
 * call. Returns false when the body is broken. */
bool
entry_reply_write_body(struct entry_request *request)
{
    struct entry_connection *connection = request->connection;
    struct rp_stream *body = request->reply.body;
    uint8_t bytes[MAX_CHUNK_BYTES];
    uint32_t count = rp_stream_read(body, bytes, sizeof(bytes));
    if (count > 0) {
        char size[16];
        if (request->chunked) {
            g_snprintf(size, sizeof(size), "%x\r\n", count);
            append_text(connection, size);
        }
        g_byte_array_append(connection->output, bytes, count);
        if (request->chunked) {
            append_text(connection, "\r\n");
        }
    }
    if (rp_stream_at_end(body)) {
        if (request->chunked) {
            append_text(connection, "0\r\n\r\n");
        }
        request->body_written = true;
        return true;
    }
    return rp_stream_state(body) != RP_STREAM_BROKEN ||
           rp_stream_available(body) > 0;
}
