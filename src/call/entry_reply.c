#include <string.h>

#include "entry_private.h"

/* The next bytes of a body; a chunk has a size of at most four digits. */
#define PIECE_BYTES RP_STREAM_READ_BYTES

static void
put(struct entry_connection *connection, const char *text)
{
    g_byte_array_append(connection->output, (const guint8 *)text,
                        (guint)strlen(text));
}

static void
put_field(void *data, const char *name, const char *value)
{
    struct entry_connection *connection = data;
    put(connection, name);
    put(connection, ": ");
    put(connection, value);
    put(connection, "\r\n");
}

static void
put_status(struct entry_connection *connection, uint32_t status)
{
    char line[96];
    const char *reason = http_status_str(status);
    g_snprintf(line, sizeof(line), "HTTP/1.1 %u %s\r\n", status,
               reason == NULL || reason[0] == '<' ? "-" : reason);
    put(connection, line);
}

static void
put_length(struct entry_connection *connection, uint64_t bytes)
{
    char number[32];
    g_snprintf(number, sizeof(number), "%" G_GUINT64_FORMAT, bytes);
    put_field(connection, "Content-Length", number);
}

static void
on_body_readable(void *data)
{
    struct entry_request *request = data;
    struct entry_connection *connection = request->connection;
    /* The stream may be inside the upstream task: go on in the loop. */
    ev_feed_event(connection->entry->ev, &connection->writer, EV_WRITE);
}

/* Returns whether nothing behind a request has been started; callers send what
 * stands behind the last answer of a connection again. */
static bool
is_last_started(const struct entry_request *request)
{
    const GList *link = request->connection->requests.head->next;
    for (; link != NULL; link = link->next) {
        const struct entry_request *behind = link->data;
        if (behind->started) {
            return false;
        }
    }
    return true;
}

/* Decides whether the connection goes on after this answer. */
static void
put_connection(struct entry_request *request)
{
    struct entry_connection *connection = request->connection;
    const struct rp_entry *entry = connection->entry;
    if (entry->leaving && is_last_started(request) &&
        request->phase == ENTRY_READ) {
        request->keep_alive = false;
    }
    if (request->call != NULL && request->framing.expect_continue &&
        request->continue_due)
    {
        /* The body was never asked for, so that nobody knows whether it
         * comes. */
        request->keep_alive = false;
    }
    if (!request->keep_alive) {
        put_field(connection, "Connection", "close");
    }
}

static void
write_local(struct entry_request *request, uint32_t status, const char *type,
            const char *body)
{
    struct entry_connection *connection = request->connection;
    const struct rp_dialect *dialect = connection->entry->config.dialect;
    put_status(connection, status);
    put_field(connection, "Content-Type", type);
    put_length(connection, strlen(body));
    if (request->local.max_age_s > 0) {
        char control[48];
        g_snprintf(control, sizeof(control), "max-age=%u",
                   request->local.max_age_s);
        put_field(connection, "Cache-Control", control);
    }
    if (request->reply.outcome != RP_OUTCOME_NONE) {
        dialect->add_reply_fields(dialect->data, request->call,
                                  &request->reply, put_field, connection);
    }
    put_connection(request);
    put(connection, "\r\n");
    if (!request->is_head) {
        put(connection, body);
    }
    request->body_written = true;
}

static void
write_system_answer(struct entry_request *request)
{
    const struct rp_call_reply *reply = &request->reply;
    char body[512];
    const char *word =
        reply->outcome == RP_OUTCOME_NOT_RUN ? "not-run" : "unknown";
    /* The reasons are constant texts without characters to be escaped. */
    g_snprintf(body, sizeof(body), "{\"outcome\":\"%s\",\"reason\":\"%s\"}",
               word, reply->reason);
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
    put_status(connection, answer->status);
    uint32_t position = 0;
    const char *name;
    const char *value;
    while (rp_fields_next(&answer->fields, &position, &name, &value)) {
        put_field(connection, name, value);
    }
    dialect->add_reply_fields(dialect->data, request->call, &request->reply,
                              put_field, connection);
    bool whole = rp_stream_state(body) == RP_STREAM_ENDED;
    if (answer->body_bytes >= 0) {
        if (answer->status != 204) {
            put_length(connection, (uint64_t)answer->body_bytes);
        }
    }
    else if (!bodyless && whole) {
        put_length(connection, rp_stream_written(body));
    }
    else if (!bodyless) {
        if (request->version_1_1) {
            request->chunked = true;
            put_field(connection, "Transfer-Encoding", "chunked");
        }
        else {
            request->keep_alive = false;
        }
    }
    put_connection(request);
    put(connection, "\r\n");
    if (bodyless) {
        request->body_written = true;
        return;
    }
    rp_stream_set_reader(body, on_body_readable, request);
}

/* Writes the head of the answer that has come for a request, and the whole of
 * one that this system makes. */
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

/* Writes the bytes of an answer's body that have come, up to a turn's worth
 * at a time. Returns false when the body is broken off. */
bool
entry_reply_write_body(struct entry_request *request)
{
    struct entry_connection *connection = request->connection;
    struct rp_stream *body = request->reply.body;
    uint8_t bytes[PIECE_BYTES];
    uint32_t count = rp_stream_read(body, bytes, sizeof(bytes));
    if (count > 0) {
        char size[16];
        if (request->chunked) {
            g_snprintf(size, sizeof(size), "%x\r\n", count);
            put(connection, size);
        }
        g_byte_array_append(connection->output, bytes, count);
        if (request->chunked) {
            put(connection, "\r\n");
        }
    }
    if (rp_stream_at_end(body)) {
        if (request->chunked) {
            put(connection, "0\r\n\r\n");
        }
        request->body_written = true;
        return true;
    }
    return rp_stream_state(body) != RP_STREAM_BROKEN ||
           rp_stream_available(body) > 0;
}
