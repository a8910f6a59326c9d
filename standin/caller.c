#include <argp.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <string.h>
#include <sysexits.h>

#include <curl/curl.h>
#include <jansson.h>

#include "expected_body.h"
#include "standin.h"

struct caller {
    /* Options. */
    const char *entry;
    const char *service;
    const char *path;
    const char *method;
    const char *id;
    uint64_t upload_bytes;
    bool has_upload;
    bool chunked;
    bool direct;
    uint32_t count;
    uint32_t timeout_ms;
    uint64_t max_read_bytes_s;
    struct curl_slist *headers;
    /* State and results. */
    char address[64];
    char ticket[160];
    char outcome[32];
    GString *body;
    uint64_t uploaded;
};

static size_t
append_body(char *bytes, size_t size, size_t count, void *data)
{
    struct caller *caller = data;
    g_string_append_len(caller->body, bytes, (gssize)(size * count));
    return size * count;
}

static size_t
parse_header(char *bytes, size_t size, size_t count, void *data)
{
    struct caller *caller = data;
    size_t total = size * count;
    const char *name = "RP-Outcome: ";
    size_t name_bytes = strlen(name);
    if (total > name_bytes + 2 &&
        g_ascii_strncasecmp(bytes, name, name_bytes) == 0)
    {
        size_t length =
            MIN(total - name_bytes - 2, sizeof(caller->outcome) - 1);
        memcpy(caller->outcome, bytes + name_bytes, length);
        caller->outcome[length] = '\0';
    }
    return total;
}

static size_t
read_upload(char *buffer, size_t size, size_t count, void *data)
{
    struct caller *caller = data;
    size_t bytes = MIN(size * count, caller->upload_bytes - caller->uploaded);
    memset(buffer, 'u', bytes);
    caller->uploaded += bytes;
    return bytes;
}

/* Queries the entry VM for addresses and stores the first; with --direct it is
 * the entry VM itself. Returns false when there is none. */
static bool
query_address(struct caller *caller, CURL *easy)
{
    if (caller->direct) {
        g_strlcpy(caller->address, caller->entry, sizeof(caller->address));
        return true;
    }
    char url[256];
    g_snprintf(url, sizeof(url), "http://%s/v1/addresses?service=%s",
               caller->entry, caller->service);
    curl_easy_setopt(easy, CURLOPT_URL, url);
    if (curl_easy_perform(easy) != CURLE_OK) {
        return false;
    }
    json_t *answer = json_loads(caller->body->str, 0, NULL);
    const char *address = NULL;
    const char *ticket = "";
    json_t *first = json_array_get(json_object_get(answer, "addresses"), 0);
    if (json_unpack(first, "{s:s, s?:s}", "address", &address, "ticket",
                    &ticket) == 0)
    {
        g_strlcpy(caller->address, address, sizeof(caller->address));
        g_strlcpy(caller->ticket, ticket, sizeof(caller->ticket));
    }
    json_decref(answer);
    g_string_set_size(caller->body, 0);
    return address != NULL;
}

static struct curl_slist *
make_headers(const struct caller *caller, const char *id)
{
    struct curl_slist *list = NULL;
    char text[256];
    g_snprintf(text, sizeof(text), "RP-Request-Id: %s", id);
    list = curl_slist_append(list, text);
    if (caller->timeout_ms > 0) {
        g_snprintf(text, sizeof(text), "RP-Timeout-Ms: %u",
                   caller->timeout_ms);
        list = curl_slist_append(list, text);
    }
    if (caller->ticket[0] != '\0') {
        char random[33];
        for (size_t i = 0; i < 4; i++) {
            g_snprintf(random + i * 8, 9, "%08x", g_random_int());
        }
        g_snprintf(text, sizeof(text), "RP-Ticket: %s.%s", caller->ticket,
                   random);
        list = curl_slist_append(list, text);
    }
    for (const struct curl_slist *extra = caller->headers; extra != NULL;
         extra = extra->next)
    {
        list = curl_slist_append(list, extra->data);
    }
    return list;
}

static void
set_request(struct caller *caller, CURL *easy)
{
    curl_easy_setopt(easy, CURLOPT_HTTPGET, 1L);
    if (strcmp(caller->method, "HEAD") == 0) {
        curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
    }
    else if (caller->has_upload) {
        curl_easy_setopt(easy, CURLOPT_UPLOAD, 1L);
        curl_easy_setopt(easy, CURLOPT_READFUNCTION, read_upload);
        curl_easy_setopt(easy, CURLOPT_READDATA, caller);
        curl_easy_setopt(easy, CURLOPT_INFILESIZE_LARGE,
                         caller->chunked ? (curl_off_t)-1
                                         : (curl_off_t)caller->upload_bytes);
    }
    if (strcmp(caller->method, "HEAD") != 0) {
        curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, caller->method);
    }
    if (caller->max_read_bytes_s > 0) {
        curl_easy_setopt(easy, CURLOPT_MAX_RECV_SPEED_LARGE,
                         (curl_off_t)caller->max_read_bytes_s);
    }
}

/* Sends one request and prints one line with its result. */
static void
send_request(struct caller *caller, CURL *easy, uint32_t number)
{
    char id[96];
    g_snprintf(id, sizeof(id), caller->count > 1 ? "%s-%u" : "%s", caller->id,
               number);
    char url[1024];
    g_snprintf(url, sizeof(url), "http://%s%s", caller->address, caller->path);
    struct curl_slist *headers = make_headers(caller, id);
    caller->outcome[0] = '\0';
    caller->uploaded = 0;
    g_string_set_size(caller->body, 0);
    curl_easy_setopt(easy, CURLOPT_URL, url);
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, parse_header);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, caller);
    set_request(caller, easy);
    CURLcode code = curl_easy_perform(easy);
    long status = 0;
    double seconds = 0.0;
    curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
    curl_easy_getinfo(easy, CURLINFO_TOTAL_TIME, &seconds);
    g_print("id=%s code=%d status=%ld outcome=%s bytes=%zu whole=%d own=%d "
            "ms=%.0f\n",
            id, (int)code, status,
            caller->outcome[0] == '\0' ? "-" : caller->outcome,
            caller->body->len, code == CURLE_OK,
            caller->outcome[0] != '\0' ||
                standin_body_matches(caller->body->str, caller->body->len, id),
            seconds * 1e3);
    curl_slist_free_all(headers);
}

static error_t
parse_option(int key, char *argument, struct argp_state *state)
{
    struct caller *caller = state->input;
    switch (key) {
    case 'e':
        caller->entry = argument;
        return 0;
    case 's':
        caller->service = argument;
        return 0;
    case 'p':
        caller->path = argument;
        return 0;
    case 'm':
        caller->method = argument;
        return 0;
    case 'i':
        caller->id = argument;
        return 0;
    case 'u':
        caller->upload_bytes = g_ascii_strtoull(argument, NULL, 10);
        caller->has_upload = true;
        return 0;
    case 'd':
        caller->direct = true;
        return 0;
    case 'c':
        caller->chunked = true;
        return 0;
    case 'n':
        caller->count = (uint32_t)g_ascii_strtoull(argument, NULL, 10);
        return 0;
    case 't':
        caller->timeout_ms = (uint32_t)g_ascii_strtoull(argument, NULL, 10);
        return 0;
    case 'r':
        caller->max_read_bytes_s = g_ascii_strtoull(argument, NULL, 10);
        return 0;
    case 'H':
        caller->headers = curl_slist_append(caller->headers, argument);
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

/* Queries an entry VM for addresses and sends requests to the first. */
int
standin_caller_main(int argc, char **argv)
{
    static const struct argp_option options[] = {
        {"entry", 'e', "IP:PORT", 0, "entry VM to query for addresses", 0},
        {"service", 's', "NAME", 0, "service to call", 0},
        {"path", 'p', "PATH", 0, "path with query", 0},
        {"method", 'm', "METHOD", 0, "method (GET)", 0},
        {"id", 'i', "ID", 0, "request id", 0},
        {"upload", 'u', "BYTES", 0, "send a body of this length", 0},
        {"direct", 'd', NULL, 0,
         "send to --entry, without a query for addresses", 0},
        {"chunked", 'c', NULL, 0, "send the body chunked", 0},
        {"count", 'n', "N", 0, "number of requests over one connection (1)",
         0},
        {"timeout-ms", 't', "MS", 0, "RP-Timeout-Ms", 0},
        {"rate", 'r', "BYTES", 0, "maximum read rate in bytes per second", 0},
        {"header", 'H', "FIELD", 0, "additional header field; may be repeated",
         0},
        {0},
    };
    static const struct argp argp = {
        options, parse_option, NULL, "A caller for tests.", NULL, NULL, NULL};
    struct caller caller = {
        .entry = "127.0.0.1:8080",
        .service = "lookup",
        .path = "/lookup",
        .method = "GET",
        .id = "caller",
        .count = 1,
        .body = g_string_new(NULL),
    };
    argp_parse(&argp, argc, argv, 0, NULL, &caller);
    CURL *easy = curl_easy_init();
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, append_body);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &caller);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_TIMEOUT, 60L);
    int status = EX_OK;
    if (query_address(&caller, easy)) {
        for (uint32_t i = 0; i < caller.count; i++) {
            send_request(&caller, easy, i);
        }
    }
    else {
        g_printerr("rp-standin caller: no address from %s: %s\n", caller.entry,
                   caller.body->str);
        status = EX_UNAVAILABLE;
    }
    curl_easy_cleanup(easy);
    curl_slist_free_all(caller.headers);
    g_string_free(caller.body, TRUE);
    return status;
}
