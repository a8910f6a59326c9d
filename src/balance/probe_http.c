#include <string.h>

#include "curl_loop.h"
#include "prober.h"

/* Only the head of a probe's answer is used; a body above this fails the
 * probe. */
#define BODY_LIMIT_BYTES 65536
/* libcurl may consume a hundred buffers in one read. A small buffer and few
 * reads bound what an answer without end costs; together they hold a head of
 * 32 KiB and the greatest body. */
#define BUFFER_BYTES 2048L
#define MAX_READS 64

struct http_probe {
    uint64_t probe_id;
    CURL *easy;
    struct rp_load_report load;
    bool has_load;
    uint32_t body_bytes;
    uint32_t reads;
    struct http_probe *next;
};

/* Probes over libcurl multi, driven by the libev loop. */
struct probe_http {
    struct rp_curl_loop curl;
    struct rp_prober *prober;
    struct http_probe *probes;
};

static size_t
on_header(char *bytes, size_t size, size_t count, void *data)
{
    static const char name[] = "RP-Load:";
    struct http_probe *probe = data;
    size_t length = size * count;
    if (length >= sizeof(name) &&
        g_ascii_strncasecmp(bytes, name, sizeof(name) - 1) == 0)
    {
        char *value =
            g_strndup(bytes + sizeof(name) - 1, length - (sizeof(name) - 1));
        /* A malformed report counts as an answer without one. */
        probe->has_load = rp_load_parse(g_strstrip(value), &probe->load, NULL);
        g_free(value);
    }
    return length;
}

static size_t
on_body(char *bytes, size_t size, size_t count, void *data)
{
    (void)bytes;
    struct http_probe *probe = data;
    size_t length = size * count;
    if (length > BODY_LIMIT_BYTES - probe->body_bytes) {
        return 0;
    }
    probe->body_bytes += (uint32_t)length;
    return length;
}

static void
remove_probe(struct probe_http *http, struct http_probe *probe)
{
    struct http_probe **link = &http->probes;
    while (*link != probe) {
        link = &(*link)->next;
    }
    *link = probe->next;
    curl_multi_remove_handle(http->curl.multi, probe->easy);
    curl_easy_cleanup(probe->easy);
    g_free(probe);
}

static void
on_done(CURL *easy, CURLcode result, void *data)
{
    struct probe_http *http = data;
    struct http_probe *probe = NULL;
    long status = 0;
    curl_easy_getinfo(easy, CURLINFO_PRIVATE, &probe);
    curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
    struct rp_probe_result finished = {
        .probe_id = probe->probe_id,
        .answered = result == CURLE_OK && status > 0 && status < 500,
        .has_load = probe->has_load,
        .load = probe->load,
    };
    remove_probe(http, probe);
    rp_prober_finish(http->prober, &finished, rp_loop_now_ns());
}

/* Ends a probe whose answer does not end. Returns whether the transfer
 * continues. */
static bool
on_readable(CURL *easy, curl_socket_t socket, void *data)
{
    struct http_probe *probe = NULL;
    curl_easy_getinfo(easy, CURLINFO_PRIVATE, &probe);
    if (rp_curl_loop_is_small_read(socket) || ++probe->reads <= MAX_READS) {
        return true;
    }
    on_done(easy, CURLE_RECV_ERROR, data);
    return false;
}

static void
set_options(struct http_probe *probe, const char *url)
{
    CURL *easy = probe->easy;
    curl_easy_setopt(easy, CURLOPT_URL, url);
    curl_easy_setopt(easy, CURLOPT_PRIVATE, probe);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, on_header);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, probe);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_body);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, probe);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, (long)RP_PROBER_TIMEOUT_MS);
    curl_easy_setopt(easy, CURLOPT_BUFFERSIZE, BUFFER_BYTES);
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
    /* Probes are rare; kept connections would count against the limit of 200
     * per worker and could die unnoticed. */
    curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
}

static bool
start_probe(void *data, uint64_t probe_id,
            const struct rp_probe_choice *choice)
{
    struct probe_http *http = data;
    CURL *easy = curl_easy_init();
    if (easy == NULL) {
        return false;
    }
    struct http_probe *probe = g_new0(struct http_probe, 1);
    probe->probe_id = probe_id;
    probe->easy = easy;
    probe->next = http->probes;
    http->probes = probe;
    char *url = g_strdup_printf("http://%s%s", choice->address, choice->path);
    set_options(probe, url);
    g_free(url);
    if (curl_multi_add_handle(http->curl.multi, easy) != CURLM_OK) {
        remove_probe(http, probe);
        return false;
    }
    return true;
}

static void
free_http(void *data)
{
    struct probe_http *http = data;
    while (http->probes != NULL) {
        remove_probe(http, http->probes);
    }
    rp_curl_loop_stop(&http->curl);
    g_free(http);
}

/* Registers the task "prober" with probes as HTTP GET requests over the
 * loop. curl_global_init must have been called. Free the prober before the
 * loop. Errors are those of rp_prober_new. */
struct rp_prober *
rp_prober_new_http(struct rp_loop *loop, GError **error)
{
    struct probe_http *http = g_new0(struct probe_http, 1);
    rp_curl_loop_start(&http->curl, rp_loop_ev(loop), on_done, http);
    http->curl.on_readable = on_readable;
    struct rp_prober_transport transport = {
        .start = start_probe,
        .free = free_http,
        .data = http,
    };
    http->prober = rp_prober_new(rp_loop_kernel(loop), &transport,
                                 rp_loop_now_ns(), error);
    return http->prober;
}
