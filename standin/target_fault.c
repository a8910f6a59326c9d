#include "target.h"

#include <stdarg.h>
#include <string.h>

#define MAX_PART_BYTES 16384u

static const char *const fault_names[FAULT_COUNT] = {
    [FAULT_NONE] = "none",
    [FAULT_CLOSE_BEFORE] = "close-before",
    [FAULT_IN_HEAD] = "in-head",
    [FAULT_AFTER_HEAD] = "after-head",
    [FAULT_IN_BODY] = "in-body",
    [FAULT_CHUNK_EDGE] = "chunk-edge",
    [FAULT_IN_CHUNK] = "in-chunk",
    [FAULT_BAD_CHUNK] = "bad-chunk",
    [FAULT_SHORT_LENGTH] = "short-length",
    [FAULT_RESET] = "reset",
    [FAULT_RESET_BODY] = "reset-body",
    [FAULT_SILENT] = "silent",
    [FAULT_SILENT_BODY] = "silent-body",
    [FAULT_REFUSE] = "refuse",
    [FAULT_CLOSE_REUSED] = "close-reused",
    [FAULT_SILENT_REUSED] = "silent-reused",
    [FAULT_TWO_LENGTHS] = "two-lengths",
    [FAULT_LENGTH_AND_CHUNKED] = "length-and-chunked",
    [FAULT_NO_LENGTH] = "no-length",
    [FAULT_TRAILER] = "trailer",
    [FAULT_GARBAGE] = "garbage",
    [FAULT_BAD_STATUS] = "bad-status",
    [FAULT_INTERIM_BAD_STATUS] = "interim-bad-status",
    [FAULT_BIG_HEAD] = "big-head",
    [FAULT_INTERIM] = "interim",
    [FAULT_SWITCH] = "switch",
    [FAULT_EARLY] = "early",
    [FAULT_SECOND_COPY] = "second-copy",
    [FAULT_SECOND_REFUSAL] = "second-refusal",
    [FAULT_ENDLESS_FIELDS] = "endless-fields",
    [FAULT_ENDLESS_LINE] = "endless-line",
    [FAULT_ENDLESS_INTERIM] = "endless-interim",
    [FAULT_ENDLESS_EXTENSION] = "endless-extension",
    [FAULT_ENDLESS_TRAILER] = "endless-trailer",
    [FAULT_ENDLESS_GARBAGE] = "endless-garbage",
    [FAULT_ENDLESS_BODY] = "endless-body",
    [FAULT_ENDLESS_REFUSAL] = "endless-refusal",
};

/* Returns the fault with that name, or FAULT_COUNT. */
enum target_fault
target_fault_parse(const char *name)
{
    int fault = 0;
    while (fault < FAULT_COUNT && strcmp(fault_names[fault], name) != 0) {
        fault++;
    }
    return (enum target_fault)fault;
}

/* Appends formatted text to the output, cut off after 1023 bytes. */
void
target_print(struct target_connection *connection, const char *format, ...)
{
    char text[1024];
    va_list arguments;
    va_start(arguments, format);
    int bytes = g_vsnprintf(text, sizeof(text), format, arguments);
    va_end(arguments);
    g_byte_array_append(connection->out, (const guint8 *)text,
                        MIN((guint)bytes, (guint)sizeof(text) - 1));
}

/* Fills in count bytes of a body from offset on. A body repeats the request id
 * and a dot, so that a caller can detect gaps and the answer of another
 * request. */
void
target_fill_body(const struct target_request *request, uint64_t offset,
                 uint8_t *bytes, uint32_t count)
{
    uint32_t period = (uint32_t)strlen(request->id) + 1;
    for (uint32_t i = 0; i < count; i++) {
        uint32_t position = (uint32_t)((offset + i) % period);
        bytes[i] =
            position == period - 1 ? '.' : (uint8_t)request->id[position];
    }
}

static void
append_load(struct target_connection *connection)
{
    const struct target *target = connection->target;
    struct rp_load_report report;
    target_fill_load(target, &report);
    GString *text = g_string_new(NULL);
    rp_load_format(&report, text);
    target_print(connection, "RP-Load: %s\r\n", text->str);
    g_string_free(text, TRUE);
}

static bool
is_bodyless(const struct target_request *request)
{
    return strcmp(request->method, "HEAD") == 0 || request->status == 204 ||
           request->status == 304;
}

/* Appends the head of the answer to the output and sets the length of the
 * body. */
void
target_write_head(struct target_connection *connection,
                  const struct target_request *request)
{
    bool chunked = request->answer_chunked;
    target_print(connection, "HTTP/1.1 %u Answer\r\n", request->status);
    append_load(connection);
    if (!request->anonymous && request->id[0] != '\0') {
        target_print(connection, "RP-Request-Id: %s\r\n", request->id);
    }
    target_print(connection,
                 "Body-Bytes: %" G_GUINT64_FORMAT "\r\n"
                 "Body-Hash: %016" G_GINT64_MODIFIER "x\r\n",
                 request->body_bytes, request->body_hash);
    uint64_t length = request->answer_bytes;
    switch (request->fault) {
    case FAULT_SHORT_LENGTH:
        length = request->answer_bytes / 2;
        break;
    case FAULT_TWO_LENGTHS:
        target_print(connection, "Content-Length: 1\r\n");
        break;
    case FAULT_LENGTH_AND_CHUNKED:
        target_print(connection, "Transfer-Encoding: chunked\r\n");
        break;
    case FAULT_BIG_HEAD:
        for (int i = 0; i < 80; i++) {
            target_print(connection, "Filler-%d: %0500d\r\n", i, i);
        }
        break;
    case FAULT_TRAILER:
        chunked = true;
        break;
    default:
        break;
    }
    if (chunked) {
        target_print(connection, "Transfer-Encoding: chunked\r\n");
    }
    else if (request->fault != FAULT_NO_LENGTH && request->status != 204) {
        target_print(connection, "Content-Length: %" G_GUINT64_FORMAT "\r\n",
                     length);
    }
    if (!request->keep_alive) {
        target_print(connection, "Connection: close\r\n");
    }
    target_print(connection, "\r\n");
    connection->total_bytes = is_bodyless(request) ? 0 : request->answer_bytes;
    connection->produced_bytes = 0;
}

static void
append_body_part(struct target_connection *connection, uint32_t count)
{
    uint8_t part[MAX_PART_BYTES];
    const struct target_request *request = &connection->request;
    bool chunked = request->answer_chunked || request->fault == FAULT_TRAILER;
    target_fill_body(request, connection->produced_bytes, part, count);
    if (chunked) {
        target_print(connection, "%x\r\n", count);
    }
    g_byte_array_append(connection->out, part, count);
    if (chunked) {
        target_print(connection, "\r\n");
    }
    connection->produced_bytes += count;
}

/* Appends the next part of the body to the output, and the end of a chunked
 * body after the last part. */
void
target_write_body_part(struct target_connection *connection)
{
    const struct target_request *request = &connection->request;
    uint64_t left_bytes = connection->total_bytes - connection->produced_bytes;
    uint32_t max_bytes = MAX_PART_BYTES;
    if (request->rate_bytes_s > 0) {
        max_bytes = MIN(max_bytes, MAX(request->rate_bytes_s / 50, 1));
    }
    if (request->fault != FAULT_NONE) {
        max_bytes =
            MIN(max_bytes, MAX((uint32_t)(request->answer_bytes / 4), 1));
    }
    if (left_bytes > 0) {
        append_body_part(connection, (uint32_t)MIN(left_bytes, max_bytes));
    }
    if (connection->produced_bytes == connection->total_bytes &&
        !is_bodyless(request))
    {
        if (request->fault == FAULT_TRAILER) {
            target_print(connection, "0\r\nLate-Field: x\r\n\r\n");
        }
        else if (request->answer_chunked) {
            target_print(connection, "0\r\n\r\n");
        }
    }
}

/* Applies a fault in the middle of the body. Returns whether the answer ends
 * there. */
bool
target_fault_in_body(struct target_connection *connection)
{
    uint8_t part[10];
    switch (connection->request.fault) {
    case FAULT_IN_CHUNK:
        target_print(connection, "ffff\r\n");
        target_fill_body(&connection->request, connection->produced_bytes,
                         part, sizeof(part));
        g_byte_array_append(connection->out, part, sizeof(part));
        connection->close_after_flush = true;
        return true;
    case FAULT_BAD_CHUNK:
        target_print(connection, "xyz\r\nbad\r\n");
        connection->close_after_flush = true;
        return true;
    case FAULT_IN_BODY:
    case FAULT_CHUNK_EDGE:
        connection->close_after_flush = true;
        return true;
    case FAULT_RESET_BODY:
        connection->close_after_flush = true;
        connection->reset_on_close = true;
        return true;
    case FAULT_SILENT_BODY:
        return true;
    default:
        return false;
    }
}

/* Answers that begin in some way and then repeat a text without end. */
static const struct {
    const char *begin;
    const char *repeated;
} endless_answers[FAULT_COUNT] = {
    [FAULT_ENDLESS_FIELDS] = {"HTTP/1.1 200 OK\r\n", "Filler: x\r\n"},
    [FAULT_ENDLESS_LINE] = {"HTTP/1.1 200 OK\r\nFiller: ", "xxxxxxxx"},
    [FAULT_ENDLESS_INTERIM] = {"", "HTTP/1.1 103 Early\r\nLink: </x>\r\n\r\n"},
    [FAULT_ENDLESS_EXTENSION] = {"HTTP/1.1 200 OK\r\n"
                                 "Transfer-Encoding: chunked\r\n\r\n2;x=",
                                 "xxxxxxxx"},
    [FAULT_ENDLESS_TRAILER] = {"HTTP/1.1 200 OK\r\n"
                               "Transfer-Encoding: chunked\r\n\r\n"
                               "0\r\nFiller: ",
                               "xxxxxxxx"},
    [FAULT_ENDLESS_GARBAGE] = {"", "xxxxxxxx"},
    [FAULT_ENDLESS_BODY] = {"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
                            "xxxxxxxx"},
    [FAULT_ENDLESS_REFUSAL] = {"HTTP/1.1 503 Full\r\nRP-Outcome: not-run\r\n"
                               "Transfer-Encoding: chunked\r\n\r\n",
                               "8\r\nxxxxxxxx\r\n"},
};

/* Appends the text of an endless answer to the output until it has max_bytes.
 */
void
target_write_endless(struct target_connection *connection, guint max_bytes)
{
    guint bytes = (guint)strlen(connection->endless);
    while (connection->out->len < max_bytes) {
        g_byte_array_append(connection->out,
                            (const guint8 *)connection->endless, bytes);
    }
}

/* Appends a second answer to the previous request to the output. */
void
target_write_second_answer(struct target_connection *connection)
{
    const struct target_request *request = &connection->late_request;
    if (request->fault == FAULT_SECOND_REFUSAL) {
        target_print(connection, "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n"
                                 "RP-Outcome: not-run\r\n\r\n");
        return;
    }
    uint64_t total_bytes = connection->total_bytes;
    uint64_t produced_bytes = connection->produced_bytes;
    uint8_t body[MAX_PART_BYTES];
    uint32_t count = (uint32_t)MIN(request->answer_bytes, sizeof(body));
    target_write_head(connection, request);
    target_fill_body(request, 0, body, count);
    g_byte_array_append(connection->out, body, count);
    connection->total_bytes = total_bytes;
    connection->produced_bytes = produced_bytes;
}

/* Appends an answer that is complete but for its status. */
static void
write_bad_status(struct target_connection *connection,
                 const struct target_request *request)
{
    target_print(connection,
                 "HTTP/1.1 %s Answer\r\nRP-Request-Id: %s\r\n"
                 "Content-Length: 2\r\n\r\nno",
                 request->status_text, request->id);
}

/* Applies a fault before the body. Returns whether the answer ends there. */
bool
target_fault_before_body(struct target_connection *connection)
{
    struct target_request *request = &connection->request;
    connection->endless = endless_answers[request->fault].repeated;
    if (connection->endless != NULL) {
        target_print(connection, "%s", endless_answers[request->fault].begin);
        return true;
    }
    switch (request->fault) {
    case FAULT_RESET:
        connection->reset_on_close = true;
        connection->close_after_flush = true;
        return true;
    case FAULT_CLOSE_BEFORE:
        connection->close_after_flush = true;
        return true;
    case FAULT_CLOSE_REUSED:
        connection->close_after_flush = connection->served_count > 0;
        return connection->served_count > 0;
    case FAULT_SILENT:
        return true;
    case FAULT_SILENT_REUSED:
        return connection->served_count > 0;
    case FAULT_IN_HEAD:
        target_print(connection, "HTTP/1.1 200 OK\r\nContent-Le");
        connection->close_after_flush = true;
        return true;
    case FAULT_AFTER_HEAD:
        target_write_head(connection, request);
        connection->close_after_flush = true;
        return true;
    case FAULT_GARBAGE:
        target_print(connection, "this is no answer\r\n\r\n");
        connection->close_after_flush = true;
        return true;
    case FAULT_INTERIM_BAD_STATUS:
        target_print(connection, "HTTP/1.1 100 Continue\r\n\r\n");
        write_bad_status(connection, request);
        return true;
    case FAULT_BAD_STATUS:
        write_bad_status(connection, request);
        return true;
    case FAULT_SWITCH:
        target_print(connection, "HTTP/1.1 101 Switch\r\nUpgrade: x\r\n"
                                 "Connection: upgrade\r\n\r\n");
        return true;
    case FAULT_INTERIM:
        target_print(connection,
                     "HTTP/1.1 100 Continue\r\n\r\n"
                     "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n");
        return false;
    case FAULT_CHUNK_EDGE:
    case FAULT_IN_CHUNK:
    case FAULT_BAD_CHUNK:
        request->answer_chunked = true;
        return false;
    case FAULT_NO_LENGTH:
        request->keep_alive = false;
        return false;
    default:
        return false;
    }
}
