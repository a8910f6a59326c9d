#include <argp.h>
#include <curl/curl.h>
#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <strings.h>
#include <sysexits.h>

#include "expected_body.h"
#include "standin.h"

/* Limit of attempts for one request, which all use the same ticket. */
#define MAX_TRIES 6
#define MAX_ADDRESSES 8
#define RETRY_PAUSE_US 100000
#define CONNECT_TIMEOUT_MS 500L
#define REQUEST_TIMEOUT_MS 8000L

struct offered_address {
    char address[64];
    char ticket[192];
};

struct session {
    char **entries;
    uint32_t next_entry;
    const char *service;
    const char *path;
    const char *method;
    const char *id;
    uint32_t duration_s;
    uint32_t pause_ms;
    struct offered_address addresses[MAX_ADDRESSES];
    uint32_t address_count;
    uint32_t next_address;
    int64_t expires_us;
    CURL *easy;
    GString *body;
    char outcome[16];
    long status;
};

static size_t
append_body(char *bytes, size_t size, size_t count, void *data)
{
    struct session *session = data;
    g_string_append_len(session->body, bytes, (gssize)(size * count));
    return size * count;
}

static size_t
parse_header(char *bytes, size_t size, size_t count, void *data)
{
    struct session *session = data;
    char line[128];
    g_snprintf(line, sizeof(line), "%.*s", (int)(size * count), bytes);
    if (strncasecmp(line, "RP-Outcome:", 11) == 0) {
        g_strlcpy(session->outcome, g_strstrip(line + 11),
                  sizeof(session->outcome));
    }
    return size * count;
}

static CURLcode
send_once(struct session *session, const char *url, const char *method,
          struct curl_slist *headers, long timeout_ms)
{
    session->outcome[0] = '\0';
    session->status = 0;
    g_string_set_size(session->body, 0);
    curl_easy_reset(session->easy);
    curl_easy_setopt(session->easy, CURLOPT_URL, url);
    curl_easy_setopt(session->easy, CURLOPT_PROXY, "");
    curl_easy_setopt(session->easy, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(session->easy, CURLOPT_FORBID_REUSE, 1L);
    curl_easy_setopt(session->easy, CURLOPT_CONNECTTIMEOUT_MS,
                     CONNECT_TIMEOUT_MS);
    curl_easy_setopt(session->easy, CURLOPT_TIMEOUT_MS, timeout_ms);
    curl_easy_setopt(session->easy, CURLOPT_HTTPHEADER, headers);
    curl_easy_setopt(session->easy, CURLOPT_WRITEFUNCTION, append_body);
    curl_easy_setopt(session->easy, CURLOPT_WRITEDATA, session);
    curl_easy_setopt(session->easy, CURLOPT_HEADERFUNCTION, parse_header);
    curl_easy_setopt(session->easy, CURLOPT_HEADERDATA, session);
    if (strcmp(method, "POST") == 0) {
        curl_easy_setopt(session->easy, CURLOPT_POSTFIELDS, "entry=1");
    }
    CURLcode code = curl_easy_perform(session->easy);
    curl_easy_getinfo(session->easy, CURLINFO_RESPONSE_CODE, &session->status);
    return code;
}

static void
parse_addresses(struct session *session)
{
    json_t *answer =
        json_loadb(session->body->str, session->body->len, 0, NULL);
    json_int_t ttl_ms = json_integer_value(json_object_get(answer, "ttl_ms"));
    session->expires_us = g_get_monotonic_time() + ttl_ms * 1000;
    session->address_count = 0;
    session->next_address = 0;
    size_t index;
    json_t *item;
    json_array_foreach(json_object_get(answer, "addresses"), index, item)
    {
        if (session->address_count == MAX_ADDRESSES) {
            break;
        }
        struct offered_address *offered =
            &session->addresses[session->address_count++];
        const char *ticket =
            json_string_value(json_object_get(item, "ticket"));
        g_strlcpy(offered->address,
                  json_string_value(json_object_get(item, "address")),
                  sizeof(offered->address));
        g_strlcpy(offered->ticket, ticket == NULL ? "" : ticket,
                  sizeof(offered->ticket));
    }
    json_decref(answer);
}

/* Queries the entry VMs in turn until one returns addresses. */
static bool
query_addresses(struct session *session)
{
    uint32_t count = g_strv_length(session->entries);
    for (uint32_t i = 0; i < count; i++) {
        char url[256];
        g_snprintf(url, sizeof(url), "http://%s/v1/addresses?service=%s",
                   session->entries[session->next_entry++ % count],
                   session->service);
        CURLcode code = send_once(session, url, "GET", NULL, 1000);
        if (code == CURLE_OK && session->status == 200) {
            parse_addresses(session);
            if (session->address_count > 0) {
                return true;
            }
        }
    }
    return false;
}

static bool
ensure_address(struct session *session)
{
    bool has_address = session->address_count > 0 &&
                       session->next_address < session->address_count &&
                       g_get_monotonic_time() < session->expires_us;
    return has_address || query_addresses(session);
}

static struct curl_slist *
make_headers(const char *id, const char *ticket)
{
    char text[320];
    g_snprintf(text, sizeof(text), "RP-Request-Id: %s", id);
    struct curl_slist *headers = curl_slist_append(NULL, text);
    if (ticket[0] != '\0') {
        g_snprintf(text, sizeof(text), "RP-Ticket: %s", ticket);
        headers = curl_slist_append(headers, text);
    }
    return headers;
}

static void
make_ticket(const struct session *session, char *ticket, size_t bytes)
{
    const char *prefix = session->addresses[session->next_address].ticket;
    ticket[0] = '\0';
    if (strcmp(session->method, "POST") == 0 && prefix[0] != '\0') {
        g_snprintf(ticket, bytes, "%s.%08x%08x%08x%08x", prefix,
                   g_random_int(), g_random_int(), g_random_int(),
                   g_random_int());
    }
}

/* Returns the result of an attempt, or NULL when the request should be sent
 * again. */
static const char *
get_result(const struct session *session, CURLcode code)
{
    if (code == CURLE_OK && session->outcome[0] == '\0') {
        return "done";
    }
    if (code == CURLE_OK && strcmp(session->outcome, "unknown") == 0) {
        return "unknown";
    }
    return NULL;
}

static void
print_result(const struct session *session, const char *id, const char *result,
             uint32_t tries, int64_t started_us)
{
    bool body_matches =
        strcmp(result, "done") != 0 ||
        standin_body_matches(session->body->str, session->body->len, id);
    printf("id=%s result=%s status=%ld tries=%u own=%d ms=%lld\n", id, result,
           session->status, tries, body_matches,
           (long long)(g_get_monotonic_time() - started_us) / 1000);
    fflush(stdout);
}

/* Sends one request and prints its result. After a failure it is sent again
 * with the same ticket to the next address. The result is "unknown" when an
 * attempt was sent but not answered, and "not-run" when each was refused. */
static void
run_request(struct session *session, uint32_t number)
{
    char id[96];
    char ticket[320] = "";
    char url[512];
    int64_t started_us = g_get_monotonic_time();
    const char *result = NULL;
    bool sent_unanswered = false;
    uint32_t tries = 0;
    g_snprintf(id, sizeof(id), "%s-%u", session->id, number);
    for (; tries < MAX_TRIES && result == NULL; tries++) {
        if (tries > 0) {
            g_usleep(RETRY_PAUSE_US);
        }
        if (!ensure_address(session)) {
            continue;
        }
        if (ticket[0] == '\0') {
            make_ticket(session, ticket, sizeof(ticket));
        }
        g_snprintf(url, sizeof(url), "http://%s%s",
                   session->addresses[session->next_address].address,
                   session->path);
        struct curl_slist *headers = make_headers(id, ticket);
        CURLcode code = send_once(session, url, session->method, headers,
                                  REQUEST_TIMEOUT_MS);
        curl_slist_free_all(headers);
        result = get_result(session, code);
        if (result == NULL) {
            sent_unanswered |=
                code != CURLE_OK && code != CURLE_COULDNT_CONNECT;
            session->next_address++;
        }
        /* Without a ticket, a repeated POST would be a new request. */
        if (sent_unanswered && ticket[0] == '\0' &&
            strcmp(session->method, "POST") == 0)
        {
            break;
        }
    }
    if (result == NULL) {
        result = sent_unanswered ? "unknown" : "not-run";
    }
    print_result(session, id, result, tries, started_us);
}

static error_t
parse_option(int key, char *argument, struct argp_state *state)
{
    struct session *session = state->input;
    switch (key) {
    case 'e':
        session->entries = g_strsplit(argument, ",", -1);
        return 0;
    case 's':
        session->service = argument;
        return 0;
    case 'p':
        session->path = argument;
        return 0;
    case 'm':
        session->method = argument;
        return 0;
    case 'i':
        session->id = argument;
        return 0;
    case 't':
        session->duration_s = (uint32_t)g_ascii_strtoull(argument, NULL, 10);
        return 0;
    case 'w':
        session->pause_ms = (uint32_t)g_ascii_strtoull(argument, NULL, 10);
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

/* Runs a caller that sends one request after another for some time, repeats
 * failed ones with the same ticket, and prints the result of each. */
int
standin_session_main(int argc, char **argv)
{
    static const struct argp_option options[] = {
        {"entries", 'e', "IP:PORT,...", 0, "entry VMs to query", 0},
        {"service", 's', "NAME", 0, "service to call", 0},
        {"path", 'p', "PATH", 0, "path with query", 0},
        {"method", 'm', "METHOD", 0, "GET or POST", 0},
        {"id", 'i', "ID", 0, "prefix of the request ids", 0},
        {"seconds", 't', "S", 0, "time to run (10)", 0},
        {"pause-ms", 'w', "MS", 0, "pause between requests (5)", 0},
        {0},
    };
    static const struct argp argp = {
        options, parse_option,
        NULL,    "A caller that sends requests for some time.",
        NULL,    NULL,
        NULL};
    struct session session = {
        .method = "GET",
        .id = "session",
        .duration_s = 10,
        .pause_ms = 5,
    };
    argp_parse(&argp, argc, argv, 0, NULL, &session);
    if (session.entries == NULL || session.service == NULL ||
        session.path == NULL) {
        fputs("session: set --entries, --service and --path\n", stderr);
        return EX_USAGE;
    }
    session.easy = curl_easy_init();
    session.body = g_string_new(NULL);
    int64_t end_us =
        g_get_monotonic_time() + INT64_C(1000000) * session.duration_s;
    for (uint32_t i = 0; g_get_monotonic_time() < end_us; i++) {
        run_request(&session, i);
        g_usleep(1000ul * session.pause_ms);
    }
    curl_easy_cleanup(session.easy);
    g_string_free(session.body, TRUE);
    g_strfreev(session.entries);
    return 0;
}
