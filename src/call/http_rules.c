#include "http_rules.h"

#include <glib.h>
#include <string.h>

#include "call.h"
#include "snapshot.h"

/* Only one Connection field is stored for removing the fields it lists, so
 * messages with several, which are rare, are refused. */
#define MAX_CONNECTION_FIELDS 1

static bool
is_token_char(char c)
{
    return g_ascii_isalnum(c) ||
           (c != '\0' && strchr("!#$%&'*+-.^_`|~", c) != NULL);
}

static bool
is_token(const char *text, size_t bytes)
{
    for (size_t i = 0; i < bytes; i++) {
        if (!is_token_char(text[i])) {
            return false;
        }
    }
    return bytes > 0;
}

static bool
is_field_value(const char *text, size_t bytes)
{
    for (size_t i = 0; i < bytes; i++) {
        unsigned char c = (unsigned char)text[i];
        if ((c < 0x20 && c != '\t') || c == 0x7f) {
            return false;
        }
    }
    return true;
}

/* Parses a number that consists of decimal digits only and is at most max. */
bool
rp_http_parse_number(const char *text, uint64_t max, uint64_t *number)
{
    if (!g_ascii_isdigit(text[0])) {
        return false; /* GLib accepts leading space or a sign */
    }
    guint64 parsed;
    if (!g_ascii_string_to_unsigned(text, 10, 0, max, &parsed, NULL)) {
        return false;
    }
    *number = parsed;
    return true;
}

static void
record_content_length(struct rp_http_framing *framing, const char *value)
{
    framing->content_length_count++;
    if (!rp_http_parse_number(value, INT64_MAX, &framing->content_length)) {
        framing->length_malformed = true;
    }
}

/* Records one field. name and value end with a zero byte. */
void
rp_http_record_field(struct rp_http_framing *framing, const char *name,
                     size_t name_bytes, const char *value, size_t value_bytes)
{
    framing->field_bytes += (uint32_t)(name_bytes + value_bytes + 4);
    if (!is_token(name, name_bytes) || !is_field_value(value, value_bytes)) {
        framing->malformed = true;
        return;
    }
    switch (g_ascii_tolower(name[0])) {
    case 'c':
        if (g_ascii_strcasecmp(name, "Content-Length") == 0) {
            record_content_length(framing, value);
        }
        else if (g_ascii_strcasecmp(name, "Connection") == 0) {
            framing->connection_count++;
            framing->connection = value;
        }
        break;
    case 'e':
        if (g_ascii_strcasecmp(name, "Expect") == 0) {
            bool is_continue = g_ascii_strcasecmp(value, "100-continue") == 0;
            framing->expect_continue |= is_continue;
            framing->expect_other |= !is_continue;
        }
        break;
    case 'h':
        framing->host_count += g_ascii_strcasecmp(name, "Host") == 0;
        break;
    case 't':
        if (g_ascii_strcasecmp(name, "Transfer-Encoding") == 0) {
            framing->transfer_encoding_count++;
            framing->chunked = g_ascii_strcasecmp(value, "chunked") == 0;
        }
        framing->trailer |= g_ascii_strcasecmp(name, "Trailer") == 0;
        break;
    default:
        break;
    }
}

static enum rp_http_fault
check_common(const struct rp_http_framing *framing)
{
    if (framing->malformed) {
        return RP_HTTP_MALFORMED_FIELD;
    }
    uint32_t limit_bytes = framing->max_field_bytes > 0
                               ? framing->max_field_bytes
                               : RP_HTTP_MAX_HEADER_BYTES;
    if (framing->field_bytes > limit_bytes) {
        return RP_HTTP_HEADER_TOO_LARGE;
    }
    if (framing->length_malformed ||
        framing->content_length_count + framing->transfer_encoding_count > 1 ||
        (framing->transfer_encoding_count == 1 && !framing->chunked) ||
        framing->connection_count > MAX_CONNECTION_FIELDS)
    {
        return RP_HTTP_FRAMING;
    }
    return framing->trailer ? RP_HTTP_TRAILER : RP_HTTP_NO_FAULT;
}

/* Checks the fields of a request. Framing that two parsers could interpret
 * differently (RFC 9112, section 11.2) is refused. */
enum rp_http_fault
rp_http_check_request(const struct rp_http_framing *framing, bool version_1_1)
{
    enum rp_http_fault fault = check_common(framing);
    if (fault != RP_HTTP_NO_FAULT) {
        return fault;
    }
    if (framing->host_count > 1 || (version_1_1 && framing->host_count == 0)) {
        return RP_HTTP_HOST;
    }
    if (!version_1_1 && framing->transfer_encoding_count > 0) {
        return RP_HTTP_FRAMING;
    }
    return framing->expect_other ? RP_HTTP_EXPECTATION : RP_HTTP_NO_FAULT;
}

/* Checks the fields of a target's answer. An answer delimited only by the end
 * of the connection is refused unless may_end_with_connection is set, since
 * the failure of a target looks the same. */
enum rp_http_fault
rp_http_check_answer(const struct rp_http_framing *framing, uint32_t status,
                     bool head, bool may_end_with_connection)
{
    enum rp_http_fault fault = check_common(framing);
    if (fault != RP_HTTP_NO_FAULT) {
        return fault;
    }
    bool bodyless = head || status == 204 || status == 304;
    if (!bodyless && !may_end_with_connection &&
        framing->content_length_count + framing->transfer_encoding_count == 0)
    {
        return RP_HTTP_UNDELIMITED;
    }
    return RP_HTTP_NO_FAULT;
}

/* Returns the HTTP status that reports a fault to the caller. */
uint32_t
rp_http_fault_status(enum rp_http_fault fault)
{
    switch (fault) {
    case RP_HTTP_HEADER_TOO_LARGE:
        return 431;
    case RP_HTTP_EXPECTATION:
        return 417;
    default:
        return 400;
    }
}

/* Returns a one-line description of a fault and its remedy. */
const char *
rp_http_fault_text(enum rp_http_fault fault)
{
    static const char *const texts[] = {
        [RP_HTTP_NO_FAULT] = "fine",
        [RP_HTTP_MALFORMED_FIELD] =
            "a header field has a malformed name or value",
        [RP_HTTP_HEADER_TOO_LARGE] =
            "the header is over 32 KiB; send fewer or shorter fields",
        [RP_HTTP_FRAMING] = "the body length is ambiguous; send either one "
                            "Content-Length or one Transfer-Encoding: "
                            "chunked",
        [RP_HTTP_HOST] = "send exactly one Host field",
        [RP_HTTP_TRAILER] = "trailers are not supported; send the fields in "
                            "the header",
        [RP_HTTP_EXPECTATION] = "only Expect: 100-continue is supported",
        [RP_HTTP_UNDELIMITED] = "the answer has neither Content-Length nor "
                                "chunked framing",
    };
    return texts[fault];
}

/* Returns the RP_METHOD_... flag of a method, 0 for one without a flag. */
uint32_t
rp_http_method_flag(const char *method)
{
    static const struct {
        const char *name;
        uint32_t flag;
    } methods[] = {
        {"GET", RP_METHOD_GET},       {"POST", RP_METHOD_POST},
        {"HEAD", RP_METHOD_HEAD},     {"PUT", RP_METHOD_PUT},
        {"DELETE", RP_METHOD_DELETE}, {"OPTIONS", RP_METHOD_OPTIONS},
        {"PATCH", RP_METHOD_PATCH},
    };
    for (guint i = 0; i < G_N_ELEMENTS(methods); i++) {
        if (strcmp(method, methods[i].name) == 0) {
            return methods[i].flag;
        }
    }
    return 0;
}

/* Returns whether a method can be forwarded. The answers to CONNECT and TRACE
 * cannot be handled as answers to a single request. */
bool
rp_http_method_valid(const char *method)
{
    return is_token(method, strlen(method)) && strlen(method) <= 32 &&
           strcmp(method, "CONNECT") != 0 && strcmp(method, "TRACE") != 0;
}

/* Returns whether a request target is an absolute path without bytes that
 * another parser could interpret as a separator. */
bool
rp_http_target_valid(const char *target)
{
    if (target[0] != '/') {
        return false;
    }
    for (const char *c = target; *c != '\0'; c++) {
        if ((unsigned char)*c <= 0x20 || *c == 0x7f || *c == '#') {
            return false;
        }
    }
    return true;
}

static bool
connection_lists(const char *connection, const char *name)
{
    size_t name_bytes = strlen(name);
    for (const char *at = connection; *at != '\0';) {
        at += strspn(at, ", \t");
        size_t bytes = strcspn(at, ", \t");
        if (bytes == name_bytes && g_ascii_strncasecmp(at, name, bytes) == 0) {
            return true;
        }
        at += bytes;
    }
    return false;
}

/* Returns whether a field is hop-by-hop (RFC 9110, section 7.6.1) and must not
 * be forwarded. framing is that of the same message. */
bool
rp_http_is_hop_by_hop(const struct rp_http_framing *framing, const char *name)
{
    static const char *const names[] = {
        "Connection",
        "Content-Length",
        "Expect",
        "Host",
        "Keep-Alive",
        "Proxy-Authenticate",
        "Proxy-Authorization",
        "Proxy-Connection",
        "TE",
        "Trailer",
        "Transfer-Encoding",
        "Upgrade",
    };
    for (guint i = 0; i < G_N_ELEMENTS(names); i++) {
        if (g_ascii_strcasecmp(name, names[i]) == 0) {
            return true;
        }
    }
    return framing->connection != NULL &&
           connection_lists(framing->connection, name);
}

/* Returns whether a field belongs to the protocol between callers, this system
 * and targets. The system sets these fields anew for each hop. */
bool
rp_http_is_rp_field(const char *name)
{
    return g_ascii_strncasecmp(name, "RP-", 3) == 0;
}

/* Returns whether a caller's request id is valid: letters, digits and "-_.:",
 * shorter than RP_REQUEST_ID_BYTES. */
bool
rp_http_request_id_valid(const char *text)
{
    size_t bytes = strlen(text);
    return bytes > 0 && bytes < RP_REQUEST_ID_BYTES &&
           strspn(text, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
                        "0123456789-_.:") == bytes;
}

/* Returns the status in the first line of an answer, 100 to 599, or 0 if it is
 * not three digits (RFC 9112, section 4) or outside of this range. */
uint32_t
rp_http_parse_status(const char *line)
{
    const char *space = strchr(line, ' ');
    if (space == NULL || strspn(space + 1, "0123456789") != 3 ||
        (space[4] != ' ' && space[4] != '\0'))
    {
        return 0;
    }
    uint32_t status = (uint32_t)g_ascii_strtoull(space + 1, NULL, 10);
    return status >= 100 && status <= 599 ? status : 0;
}
