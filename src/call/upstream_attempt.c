#include "upstream_attempt.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>

#include "curl_loop.h"
#include "loop.h"

/* Time after which unacknowledged bytes end a connection. It detects a
 * connection that goes silent while a request is being sent. */
#define TCP_USER_TIMEOUT_MS 3000

/* Reads from a connection in a row, after the head, that yield no byte of the
 * body. In each of them libcurl may consume megabytes, for example of a chunk
 * extension, without telling. */
#define MAX_READS_WITHOUT_BODY 8

static int
set_socket_options(void *data, curl_socket_t socket, curlsocktype purpose)
{
    (void)data;
    (void)purpose;
    unsigned int timeout_ms = TCP_USER_TIMEOUT_MS;
    setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms,
               sizeof(timeout_ms));
    return CURL_SOCKOPT_OK;
}

/* Called by libcurl each time it has a connection and is about to send. When a
 * reused connection closes before the answer, libcurl would resend the request
 * by itself, whatever its method and up to five times. This callback prevents
 * that, so that dispatch decides about each further attempt. */
static int
before_send(void *data, char *peer_ip, char *local_ip, int peer_port,
            int local_port)
{
    (void)peer_ip;
    (void)local_ip;
    (void)peer_port;
    (void)local_port;
    struct rp_upstream_attempt *attempt = data;
    if (attempt->send_count > 0) {
        return CURL_PREREQFUNC_ABORT;
    }
    attempt->send_count++;
    /* Read here, since libcurl opens a connection before it resends. */
    long connects = 0;
    curl_easy_getinfo(attempt->easy, CURLINFO_NUM_CONNECTS, &connects);
    attempt->reused = connects == 0;
    return CURL_PREREQFUNC_OK;
}

static size_t
read_request(char *buffer, size_t size, size_t count, void *data)
{
    struct rp_upstream_attempt *attempt = data;
    struct rp_stream *request = attempt->call->request;
    if (request == NULL) {
        return 0;
    }
    uint32_t bytes = rp_stream_read(
        request, buffer, (uint32_t)MIN(size * count, RP_STREAM_READ_BYTES));
    if (bytes > 0) {
        return bytes;
    }
    switch (rp_stream_state(request)) {
    case RP_STREAM_ENDED:
        return 0;
    case RP_STREAM_BROKEN:
        return CURL_READFUNC_ABORT;
    default:
        attempt->paused |= CURLPAUSE_SEND;
        return CURL_READFUNC_PAUSE;
    }
}

/* libcurl seeks only to resend a request by itself. */
static int
reject_seek(void *data, curl_off_t offset, int origin)
{
    (void)data;
    (void)offset;
    (void)origin;
    return CURL_SEEKFUNC_FAIL;
}

static size_t
write_body(char *bytes, size_t size, size_t count, void *data)
{
    struct rp_upstream_attempt *attempt = data;
    size_t total = size * count;
    if (!attempt->head_complete) {
        return 0;
    }
    attempt->reads_without_body = 0;
    if (rp_stream_room(attempt->body) < total) {
        attempt->paused |= CURLPAUSE_RECV;
        return CURL_WRITEFUNC_PAUSE;
    }
    attempt->progress_ns = rp_loop_now_ns();
    return rp_stream_write(attempt->body, bytes, (uint32_t)total);
}

static bool
start_head(struct rp_upstream_attempt *attempt, const char *line)
{
    if (attempt->head_complete) {
        return false;
    }
    if (attempt->first_byte_ns == 0) {
        attempt->first_byte_ns = rp_loop_now_ns();
        attempt->progress_ns = attempt->first_byte_ns;
    }
    attempt->status = rp_http_parse_status(line);
    memset(&attempt->framing, 0, sizeof(attempt->framing));
    bool leaving = attempt->answer != NULL && attempt->answer->leaving;
    rp_answer_unref(attempt->answer);
    attempt->answer = rp_answer_new(attempt->status);
    attempt->answer->leaving = leaving; /* of an interim answer */
    return attempt->status != 0 && attempt->status != 101;
}

static bool
parse_field(struct rp_upstream_attempt *attempt, char *line, size_t bytes)
{
    char *colon = memchr(line, ':', bytes);
    if (colon == NULL || attempt->answer == NULL) {
        return false;
    }
    *colon = '\0';
    char *value = colon + 1 + strspn(colon + 1, " \t");
    size_t value_bytes = (size_t)(line + bytes - value);
    while (value_bytes > 0 &&
           (value[value_bytes - 1] == ' ' || value[value_bytes - 1] == '\t'))
    {
        value_bytes--;
    }
    value[value_bytes] = '\0';
    rp_http_record_field(&attempt->framing, line, (size_t)(colon - line),
                         value, value_bytes);
    if (attempt->framing.malformed || strlen(value) != value_bytes) {
        return false;
    }
    switch (attempt->dialect->parse_answer_field(
        attempt->dialect->data, attempt->call, attempt->answer, line, value))
    {
    case RP_FIELD_FORWARDED:
        rp_fields_add(&attempt->answer->fields, line, value);
        break;
    case RP_FIELD_CONSUMED:
        break;
    case RP_FIELD_INVALID:
        return false;
    }
    return attempt->framing.field_bytes <= RP_HTTP_MAX_HEADER_BYTES;
}

static void
drop_hop_by_hop(struct rp_upstream_attempt *attempt)
{
    struct rp_fields kept = {0};
    uint32_t position = 0;
    const char *name;
    const char *value;
    struct rp_fields *fields = &attempt->answer->fields;
    while (rp_fields_next(fields, &position, &name, &value)) {
        if (!rp_http_is_hop_by_hop(&attempt->framing, name)) {
            rp_fields_add(&kept, name, value);
        }
    }
    rp_fields_clear(fields);
    *fields = kept;
}

/* Returns whether an answer belongs to the request. A refusal may come without
 * the request id. On a reused connection it may then be a late one to an
 * earlier request, and a request that must not be repeated would be sent
 * again. */
static bool
is_own_answer(const struct rp_upstream_attempt *attempt)
{
    const struct rp_answer *answer = attempt->answer;
    if (answer->echoes_request_id) {
        return true;
    }
    if (answer->refused) {
        return !attempt->reused ||
               (attempt->flags & RP_ATTEMPT_REPEATABLE) != 0;
    }
    return !attempt->dialect->answers_echo_id;
}

static bool
end_head(struct rp_upstream_attempt *attempt)
{
    if (attempt->head_complete || attempt->answer == NULL) {
        return attempt->head_complete; /* the empty line after trailers */
    }
    if (attempt->status < 200) {
        return true; /* an interim answer; the final one follows */
    }
    bool head = attempt->call->method_flag == RP_METHOD_HEAD;
    const struct rp_dialect *dialect = attempt->dialect;
    if (rp_http_check_answer(&attempt->framing, attempt->status, head,
                             dialect->answers_may_end_with_connection) !=
        RP_HTTP_NO_FAULT)
    {
        return false;
    }
    if (!is_own_answer(attempt)) {
        return false;
    }
    drop_hop_by_hop(attempt);
    if (attempt->framing.content_length_count > 0) {
        attempt->answer->body_bytes = (int64_t)attempt->framing.content_length;
    }
    attempt->head_complete = true;
    rp_upstream_report_head(attempt);
    return true;
}

/* Parses one line of an answer's head. A field after the body is a trailer,
 * which is refused because the caller would not get the complete answer. */
static size_t
parse_header_line(char *bytes, size_t size, size_t count, void *data)
{
    struct rp_upstream_attempt *attempt = data;
    size_t total = size * count;
    size_t length = total;
    while (length > 0 &&
           (bytes[length - 1] == '\n' || bytes[length - 1] == '\r')) {
        length--;
    }
    char line[CURL_MAX_HTTP_HEADER > 40000 ? 40000 : CURL_MAX_HTTP_HEADER];
    bool valid = length < sizeof(line);
    if (valid) {
        memcpy(line, bytes, length);
        line[length] = '\0';
        if (length == 0) {
            valid = end_head(attempt);
        }
        else if (attempt->head_complete) {
            valid = false;
        }
        else if (strncmp(line, "HTTP/", 5) == 0) {
            valid = start_head(attempt, line);
        }
        else {
            valid = parse_field(attempt, line, length);
        }
    }
    attempt->malformed |= !valid;
    return valid ? total : 0;
}

/* Creates an easy handle with the options that all attempts share. */
CURL *
rp_upstream_easy_new(uint32_t connect_timeout_ms)
{
    CURL *easy = curl_easy_init();
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(easy, CURLOPT_PATH_AS_IS, 1L);
    curl_easy_setopt(easy, CURLOPT_BUFFERSIZE, (long)RP_STREAM_READ_BYTES);
    curl_easy_setopt(easy, CURLOPT_UPLOAD_BUFFERSIZE,
                     (long)RP_STREAM_READ_BYTES);
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
                     (long)connect_timeout_ms);
    curl_easy_setopt(easy, CURLOPT_SOCKOPTFUNCTION, set_socket_options);
    curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, before_send);
    curl_easy_setopt(easy, CURLOPT_READFUNCTION, read_request);
    curl_easy_setopt(easy, CURLOPT_SEEKFUNCTION, reject_seek);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, write_body);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, parse_header_line);
    return easy;
}

static struct curl_slist *
add_header(struct curl_slist *list, const char *name, const char *value)
{
    char small[512];
    /* libcurl sends a field without a value only when it ends with ";". */
    const char *format = value[0] == '\0' ? "%s;%s" : "%s: %s";
    int bytes = g_snprintf(small, sizeof(small), format, name, value);
    if ((size_t)bytes < sizeof(small)) {
        return curl_slist_append(list, small);
    }
    char *large = g_strdup_printf(format, name, value);
    list = curl_slist_append(list, large);
    g_free(large);
    return list;
}

static void
append_header(void *data, const char *name, const char *value)
{
    struct curl_slist **list = data;
    *list = add_header(*list, name, value);
}

static struct curl_slist *
make_headers(const struct rp_dialect *dialect,
             const struct rp_attempt_start *start, int64_t now_ns)
{
    const struct rp_call *call = start->call;
    struct curl_slist *list = NULL;
    list = add_header(list, "Host",
                      call->host[0] == '\0' ? start->address : call->host);
    bool has_accept = false;
    bool has_type = false;
    uint32_t position = 0;
    const char *name;
    const char *value;
    while (rp_fields_next(&call->fields, &position, &name, &value)) {
        has_accept |= g_ascii_strcasecmp(name, "Accept") == 0;
        has_type |= g_ascii_strcasecmp(name, "Content-Type") == 0;
        list = add_header(list, name, value);
    }
    /* Suppresses the fields that libcurl would add by itself. */
    if (!has_accept) {
        list = curl_slist_append(list, "Accept:");
    }
    if (!has_type) {
        list = curl_slist_append(list, "Content-Type:");
    }
    list = curl_slist_append(list, "Expect:");
    int64_t left_ms = (start->deadline_ns - now_ns) / 1000000;
    dialect->add_attempt_fields(dialect->data, start, MAX(left_ms, 1),
                                append_header, &list);
    return list;
}

static bool
needs_length(const struct rp_call *call)
{
    const uint32_t methods = RP_METHOD_POST | RP_METHOD_PUT | RP_METHOD_PATCH;
    return call->request != NULL || (call->method_flag & methods) != 0;
}

static void
set_method(struct rp_upstream_attempt *attempt)
{
    const struct rp_call *call = attempt->call;
    const char *custom = NULL;
    curl_easy_setopt(attempt->easy, CURLOPT_HTTPGET, 1L);
    if (call->method_flag == RP_METHOD_HEAD && call->request == NULL) {
        curl_easy_setopt(attempt->easy, CURLOPT_NOBODY, 1L);
    }
    else if (needs_length(call)) {
        curl_off_t bytes = call->request == NULL ? 0 : call->body_bytes;
        curl_easy_setopt(attempt->easy, CURLOPT_UPLOAD, 1L);
        curl_easy_setopt(attempt->easy, CURLOPT_INFILESIZE_LARGE, bytes);
        custom = call->method;
    }
    else if (call->method_flag != RP_METHOD_GET) {
        custom = call->method;
    }
    curl_easy_setopt(attempt->easy, CURLOPT_CUSTOMREQUEST, custom);
}

/* Prepares an attempt for curl_multi_add_handle. A fresh one opens a new
 * connection; otherwise connections up to max_connection_age_s old may be
 * reused, 0 for any age. */
void
rp_upstream_attempt_init(struct rp_upstream_attempt *attempt,
                         const struct rp_attempt_start *start, bool fresh,
                         int64_t max_connection_age_s, int64_t now_ns)
{
    CURL *easy = attempt->easy;
    attempt->call = rp_call_ref(start->call);
    attempt->body = rp_stream_ref(start->body);
    attempt->generation = start->generation;
    attempt->flags = start->flags;
    attempt->has_request_body = start->call->request != NULL;
    g_strlcpy(attempt->address, start->address, sizeof(attempt->address));
    attempt->headers = make_headers(attempt->dialect, start, now_ns);
    char url[RP_ADDRESS_BYTES + 16];
    g_snprintf(url, sizeof(url), "http://%s/", start->address);
    curl_easy_setopt(easy, CURLOPT_URL, url);
    curl_easy_setopt(easy, CURLOPT_REQUEST_TARGET, attempt->call->target);
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, attempt->headers);
    curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, fresh ? 1L : 0L);
    curl_easy_setopt(easy, CURLOPT_MAXLIFETIME_CONN,
                     (long)max_connection_age_s);
    curl_easy_setopt(easy, CURLOPT_PRIVATE, attempt);
    curl_easy_setopt(easy, CURLOPT_PREREQDATA, attempt);
    curl_easy_setopt(easy, CURLOPT_READDATA, attempt);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, attempt);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, attempt);
    set_method(attempt);
}

/* Releases everything that an attempt holds except its easy handle. */
void
rp_upstream_attempt_clear(struct rp_upstream_attempt *attempt)
{
    curl_easy_setopt(attempt->easy, CURLOPT_HTTPHEADER, NULL);
    curl_slist_free_all(attempt->headers);
    rp_answer_unref(attempt->answer);
    rp_stream_unref(attempt->body);
    rp_call_unref(attempt->call);
}

/* Resumes both directions of the transfer; callbacks may pause it again. */
void
rp_upstream_attempt_resume(struct rp_upstream_attempt *attempt)
{
    attempt->paused = 0;
    attempt->progress_ns = rp_loop_now_ns();
    curl_easy_pause(attempt->easy, CURLPAUSE_CONT);
}

/* Counts a read that is about to be made. Returns false when too many in a row
 * yielded no byte of the body. */
bool
rp_upstream_attempt_count_read(struct rp_upstream_attempt *attempt,
                               curl_socket_t socket)
{
    if (!attempt->head_complete) {
        return true;
    }
    if (attempt->reads_without_body == 0 ||
        !rp_curl_loop_is_small_read(socket)) {
        attempt->reads_without_body++;
    }
    return attempt->reads_without_body <= MAX_READS_WITHOUT_BODY;
}

/* Returns whether the answer's body made no progress for limit_ns although it
 * was not paused. */
bool
rp_upstream_attempt_stalled(const struct rp_upstream_attempt *attempt,
                            int64_t limit_ns, int64_t now_ns)
{
    return attempt->head_complete && (attempt->paused & CURLPAUSE_RECV) == 0 &&
           now_ns - attempt->progress_ns > limit_ns;
}

/* Converts the result of a libcurl transfer to the end of an attempt. */
enum rp_attempt_end
rp_upstream_attempt_end(const struct rp_upstream_attempt *attempt,
                        CURLcode code)
{
    if (code == CURLE_OK && attempt->head_complete) {
        return RP_END_COMPLETE;
    }
    if (attempt->send_count == 0) {
        return RP_END_NOT_SENT;
    }
    if (attempt->malformed || code == CURLE_OK) {
        return RP_END_MALFORMED;
    }
    struct rp_stream *request = attempt->call->request;
    if (request != NULL && rp_stream_state(request) == RP_STREAM_BROKEN) {
        return RP_END_REQUEST_BROKEN;
    }
    return RP_END_BROKEN;
}
