#include "upstream_probe.h"

#include <string.h>

#include "curl_loop.h"
#include "http_rules.h"
#include "sync_probe.h"
#include "upstream_attempt.h"

/* Only the head of a probe's answer is used; a longer body fails the probe. */
#define MAX_BODY_BYTES 4096
/* libcurl may consume a hundred buffers in one read. A small buffer and few
 * reads bound what an answer without end costs; together they hold the
 * greatest head and body. */
#define BUFFER_BYTES 2048L
#define MAX_READS 32

struct upstream_probe {
    struct rp_upstream_probes *probes;
    struct rp_probe_done done;
    struct rp_answer *answer;
    uint32_t body_bytes;
    uint32_t reads;
};

static size_t
parse_header_line(char *bytes, size_t size, size_t count, void *data)
{
    struct upstream_probe *probe = data;
    const struct rp_dialect *dialect = probe->probes->dialect;
    size_t total = size * count;
    char line[512];
    size_t length = total;
    while (length > 0 &&
           (bytes[length - 1] == '\n' || bytes[length - 1] == '\r')) {
        length--;
    }
    if (length >= sizeof(line)) {
        return total; /* no field of the dialect is that long */
    }
    memcpy(line, bytes, length);
    line[length] = '\0';
    if (strncmp(line, "HTTP/", 5) == 0) {
        return rp_http_parse_status(line) == 0 ? 0 : total;
    }
    char *colon = strchr(line, ':');
    if (colon == NULL) {
        return total;
    }
    *colon = '\0';
    enum rp_field_use use = dialect->parse_answer_field(
        dialect->data, NULL, probe->answer, line, g_strstrip(colon + 1));
    return use == RP_FIELD_INVALID ? 0 : total; /* 0 aborts the transfer */
}

static size_t
count_body(char *bytes, size_t size, size_t count, void *data)
{
    (void)bytes;
    struct upstream_probe *probe = data;
    size_t total = size * count;
    probe->body_bytes += (uint32_t)total;
    return probe->body_bytes > MAX_BODY_BYTES ? 0 : total;
}

static CURL *
acquire_handle(struct rp_upstream_probes *probes)
{
    if (probes->idle_handles->len > 0) {
        return g_ptr_array_remove_index_fast(probes->idle_handles,
                                             probes->idle_handles->len - 1);
    }
    CURL *easy = rp_upstream_easy_new(RP_SYNC_PROBE_TIMEOUT_NS / 1000000);
    curl_easy_setopt(easy, CURLOPT_HTTPGET, 1L);
    curl_easy_setopt(easy, CURLOPT_BUFFERSIZE, BUFFER_BYTES);
    curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, NULL);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, parse_header_line);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, count_body);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS,
                     (long)(RP_SYNC_PROBE_TIMEOUT_NS / 1000000));
    return easy;
}

static void
free_probe(gpointer data)
{
    struct upstream_probe *probe = data;
    rp_answer_unref(probe->answer);
    g_free(probe);
}

/* Initializes probes over a multi handle, which is borrowed. */
void
rp_upstream_probes_init(struct rp_upstream_probes *probes,
                        struct rp_task *task, const struct rp_dialect *dialect,
                        CURLM *multi)
{
    probes->task = task;
    probes->dialect = dialect;
    probes->multi = multi;
    probes->running = g_hash_table_new_full(NULL, NULL, NULL, free_probe);
    probes->idle_handles = g_ptr_array_new();
}

/* Cancels all probes. The multi handle must still exist. */
void
rp_upstream_probes_clear(struct rp_upstream_probes *probes)
{
    GHashTableIter iterator;
    gpointer easy;
    g_hash_table_iter_init(&iterator, probes->running);
    while (g_hash_table_iter_next(&iterator, &easy, NULL)) {
        curl_multi_remove_handle(probes->multi, easy);
        curl_easy_cleanup(easy);
    }
    g_hash_table_unref(probes->running);
    for (guint i = 0; i < probes->idle_handles->len; i++) {
        curl_easy_cleanup(probes->idle_handles->pdata[i]);
    }
    g_ptr_array_unref(probes->idle_handles);
}

/* Starts a probe; start is copied. */
void
rp_upstream_probe_start(struct rp_upstream_probes *probes,
                        const struct rp_probe_start *start)
{
    struct upstream_probe *probe = g_new0(struct upstream_probe, 1);
    CURL *easy = acquire_handle(probes);
    probe->probes = probes;
    probe->answer = rp_answer_new(0);
    probe->done.target = start->target;
    g_strlcpy(probe->done.service, start->service,
              sizeof(probe->done.service));
    char url[RP_ADDRESS_BYTES + RP_PROBE_START_PATH_BYTES + 16];
    g_snprintf(url, sizeof(url), "http://%s%s", start->address, start->path);
    curl_easy_setopt(easy, CURLOPT_URL, url);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, probe);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, probe);
    g_hash_table_insert(probes->running, easy, probe);
    curl_multi_add_handle(probes->multi, easy);
}

/* Counts a read that a probe is about to make. Returns false when its answer
 * has had more than it needs; the caller then finishes the probe. */
bool
rp_upstream_probe_count_read(struct rp_upstream_probes *probes, CURL *easy,
                             curl_socket_t socket)
{
    struct upstream_probe *probe = g_hash_table_lookup(probes->running, easy);
    if (probe == NULL || rp_curl_loop_is_small_read(socket)) {
        return true;
    }
    return ++probe->reads <= MAX_READS;
}

/* Reports the result of a finished transfer to dispatch if it is a probe.
 * Returns false when it is none. */
bool
rp_upstream_probe_finish(struct rp_upstream_probes *probes, CURL *easy,
                         CURLcode result)
{
    struct upstream_probe *probe = g_hash_table_lookup(probes->running, easy);
    if (probe == NULL) {
        return false;
    }
    long status = 0;
    curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
    /* The health status that a target reports may be wrong either way. A
     * target that reports its load is reachable; whether it works is judged by
     * its answers to calls. */
    probe->done.has_load = probe->answer->has_load;
    probe->done.leaving = probe->answer->leaving;
    if (status == 503 || status == 429) {
        probe->done.retry_after_ms = probe->answer->retry_after_ms;
    }
    probe->done.answered = result == CURLE_OK && status > 0 &&
                           (status < 500 || probe->done.has_load);
    probe->done.load = probe->answer->load;
    struct rp_task *dispatch =
        rp_kernel_find_task(rp_task_kernel(probes->task), RP_TASK_DISPATCH);
    rp_task_send(probes->task, dispatch, RP_MSG_PROBE_DONE, &probe->done,
                 sizeof(probe->done));
    curl_multi_remove_handle(probes->multi, easy);
    g_ptr_array_add(probes->idle_handles, easy);
    g_hash_table_remove(probes->running, easy);
    return true;
}
