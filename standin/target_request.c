#include "target.h"

#include <string.h>

#include "loop.h"

static void
apply_parameter(struct target_request *request, const char *name,
                const char *value)
{
    uint64_t number = g_ascii_strtoull(value, NULL, 10);
    if (strcmp(name, "sleep_ms") == 0) {
        request->sleep_ms = (uint32_t)number;
    }
    else if (strcmp(name, "bytes") == 0) {
        request->answer_bytes = number;
    }
    else if (strcmp(name, "rate") == 0) {
        request->rate_bytes_s = (uint32_t)number;
    }
    else if (strcmp(name, "chunked") == 0) {
        request->answer_chunked = number != 0;
    }
    else if (strcmp(name, "status") == 0) {
        request->status = (uint32_t)number;
    }
    else if (strcmp(name, "status_text") == 0) {
        g_strlcpy(request->status_text, value, sizeof(request->status_text));
    }
    else if (strcmp(name, "anonymous") == 0) {
        request->anonymous = number != 0;
    }
    else if (strcmp(name, "id") == 0) {
        g_strlcpy(request->id, value, sizeof(request->id));
    }
    else if (strcmp(name, "fault") == 0) {
        request->fault = target_fault_parse(value);
    }
}

static void
parse_query(struct target_request *request, const char *query,
            uint32_t *only_attempt)
{
    char **pairs = g_strsplit(query, "&", 32);
    for (char **pair = pairs; *pair != NULL; pair++) {
        char *equals = strchr(*pair, '=');
        if (equals == NULL) {
            continue;
        }
        *equals = '\0';
        if (strcmp(*pair, "only_attempt") == 0) {
            *only_attempt = (uint32_t)g_ascii_strtoull(equals + 1, NULL, 10);
        }
        apply_parameter(request, *pair, equals + 1);
    }
    g_strfreev(pairs);
}

static void
apply_header_field(struct target_request *request, const char *name,
                   const char *value)
{
    if (g_ascii_strcasecmp(name, "RP-Request-Id") == 0) {
        g_strlcpy(request->id, value, sizeof(request->id));
    }
    else if (g_ascii_strcasecmp(name, "RP-Attempt") == 0) {
        request->attempt = (uint32_t)g_ascii_strtoull(value, NULL, 10);
    }
    else if (g_ascii_strcasecmp(name, "RP-Timeout-Ms") == 0) {
        request->deadline_ns =
            rp_loop_now_ns() + g_ascii_strtoll(value, NULL, 10) * 1000000;
    }
    else if (g_ascii_strcasecmp(name, "Content-Length") == 0) {
        request->has_length = true;
        request->body_left_bytes = g_ascii_strtoull(value, NULL, 10);
    }
    else if (g_ascii_strcasecmp(name, "Transfer-Encoding") == 0) {
        request->body_chunked = true;
    }
    else if (g_ascii_strcasecmp(name, "Expect") == 0) {
        request->expects_continue = true;
    }
    else if (g_ascii_strcasecmp(name, "Connection") == 0) {
        request->keep_alive = g_ascii_strcasecmp(value, "close") != 0;
    }
}

static bool
parse_request_line(const char *line, struct target_request *request,
                   uint32_t *only_attempt)
{
    char **parts = g_strsplit(line, " ", 4);
    bool valid = g_strv_length(parts) == 3;
    if (valid) {
        char *query = strchr(parts[1], '?');
        if (query != NULL) {
            *query = '\0';
            parse_query(request, query + 1, only_attempt);
        }
        g_strlcpy(request->method, parts[0], sizeof(request->method));
        g_strlcpy(request->path, parts[1], sizeof(request->path));
    }
    g_strfreev(parts);
    return valid;
}

/* Parses the head of a request, without its empty line. Returns false when it
 * is malformed or names an unknown fault. */
bool
target_parse_head(const char *head, struct target_request *request)
{
    uint32_t only_attempt = 0;
    request->status = 200;
    request->answer_bytes = 2;
    request->keep_alive = true;
    char **lines = g_strsplit(head, "\r\n", 512);
    bool valid = lines[0] != NULL &&
                 parse_request_line(lines[0], request, &only_attempt);
    for (char **line = lines + 1; valid && *line != NULL; line++) {
        char *colon = strchr(*line, ':');
        if (colon != NULL) {
            *colon = '\0';
            apply_header_field(request, *line, g_strstrip(colon + 1));
        }
    }
    g_strfreev(lines);
    if (only_attempt != 0 && only_attempt != request->attempt) {
        request->fault = FAULT_NONE;
    }
    return valid && request->fault != FAULT_COUNT;
}
