#include "upstream.h"

#include <ev.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>

#include <curl/curl.h>

#include "call.h"
#include "curl_loop.h"
#include "error.h"
#include "upstream_attempt.h"
#include "upstream_probe.h"

/* Easy handles kept for reuse; each holds about 20 KB. */
#define MAX_IDLE_HANDLES 256
/* Idle connections kept, to all targets together. */
#define MAX_IDLE_CONNECTIONS 2048L
#define STALL_CHECK_INTERVAL_S 0.25
/* Connecting takes about 1 ms; a lost SYN is retransmitted after 1 s. */
#define DEFAULT_CONNECT_TIMEOUT_MS 1500

struct rp_upstream {
    struct rp_task *task;
    struct ev_loop *ev;
    struct rp_upstream_config config;
    struct rp_curl_loop curl;
    ev_timer stall_timer;
    ev_timer wakeup; /* never started; fed as an event so that its callback
                      * runs before the loop sleeps */
    bool wakeup_pending;
    GHashTable *attempts; /* struct rp_upstream_attempt by attempt_key */
    GPtrArray *resumable; /* paused attempts to be resumed */
    GPtrArray *idle_handles;
    struct rp_upstream_probes probes;
    GHashTable *silent_start_ns; /* of the latest silent attempt, by address */
};

static uint64_t
attempt_key(uint64_t call_id, uint32_t generation)
{
    return call_id << 8 | (generation & 0xff);
}

static void
schedule_wakeup(struct rp_upstream *upstream)
{
    if (!upstream->wakeup_pending) {
        upstream->wakeup_pending = true;
        ev_feed_event(upstream->ev, &upstream->wakeup, EV_CUSTOM);
    }
}

/* Called by a stream when a paused transfer may continue. libcurl is called
 * later, since the stream may be inside a libcurl callback. */
static void
on_stream_ready(void *data)
{
    struct rp_upstream_attempt *attempt = data;
    struct rp_upstream *upstream = attempt->upstream;
    if (attempt->paused == 0 || attempt->resumable) {
        return;
    }
    attempt->resumable = true;
    g_ptr_array_add(upstream->resumable, attempt);
    schedule_wakeup(upstream);
}

/* Removes an attempt from libcurl and frees it. A transfer in progress
 * loses its connection, so the target can see that the answer is no longer
 * needed. */
static void
free_attempt(gpointer data)
{
    struct rp_upstream_attempt *attempt = data;
    struct rp_upstream *upstream = attempt->upstream;
    rp_stream_set_writer(attempt->body, NULL, NULL);
    if (attempt->call->request != NULL && attempt->has_request_body) {
        rp_stream_set_reader(attempt->call->request, NULL, NULL);
    }
    if (attempt->resumable) {
        g_ptr_array_remove_fast(upstream->resumable, attempt);
    }
    curl_multi_remove_handle(upstream->curl.multi, attempt->easy);
    if (upstream->idle_handles->len < MAX_IDLE_HANDLES) {
        g_ptr_array_add(upstream->idle_handles, attempt->easy);
    }
    else {
        curl_easy_cleanup(attempt->easy);
    }
    rp_upstream_attempt_clear(attempt);
    g_free(attempt);
}

static void
finish_attempt(struct rp_upstream_attempt *attempt, enum rp_attempt_end end)
{
    struct rp_upstream *upstream = attempt->upstream;
    if (end == RP_END_COMPLETE) {
        rp_stream_end(attempt->body);
    }
    else {
        rp_stream_break(attempt->body);
    }
    struct rp_attempt_done done = {
        .call_id = attempt->call->id,
        .generation = attempt->generation,
        .end = end,
        .reused = attempt->reused,
        .leaving = attempt->answer != NULL && attempt->answer->leaving,
        .first_byte_ns = attempt->first_byte_ns,
        .body_bytes = rp_stream_written(attempt->body),
    };
    struct rp_task *dispatch =
        rp_kernel_find_task(rp_task_kernel(upstream->task), RP_TASK_DISPATCH);
    rp_task_send(upstream->task, dispatch, RP_MSG_ATTEMPT_DONE, &done,
                 sizeof(done));
    uint64_t key = attempt_key(done.call_id, done.generation);
    g_hash_table_remove(upstream->attempts, GSIZE_TO_POINTER(key));
}

/* Sends a complete head to dispatch. Called from libcurl by way of
 * upstream_attempt.c. */
void
rp_upstream_report_head(struct rp_upstream_attempt *attempt)
{
    struct rp_task *task = attempt->upstream->task;
    struct rp_attempt_head head = {
        .call_id = attempt->call->id,
        .generation = attempt->generation,
        .reused = attempt->reused,
        .answer = rp_answer_ref(attempt->answer),
    };
    struct rp_task *dispatch =
        rp_kernel_find_task(rp_task_kernel(task), RP_TASK_DISPATCH);
    if (!rp_task_send_owned(task, dispatch, RP_MSG_ATTEMPT_HEAD, &head,
                            sizeof(head), rp_attempt_head_release))
    {
        rp_answer_unref(attempt->answer);
    }
}

static void
on_done(CURL *easy, CURLcode result, void *data)
{
    struct rp_upstream *upstream = data;
    struct rp_upstream_attempt *attempt;
    if (rp_upstream_probe_finish(&upstream->probes, easy, result)) {
        return;
    }
    curl_easy_getinfo(easy, CURLINFO_PRIVATE, &attempt);
    finish_attempt(attempt, rp_upstream_attempt_end(attempt, result));
}

/* Ends an attempt whose answer consists of bytes that are no body, or a probe
 * whose answer does not end. Returns whether the transfer continues. */
static bool
on_readable(CURL *easy, curl_socket_t socket, void *data)
{
    struct rp_upstream *upstream = data;
    struct rp_upstream_attempt *attempt = NULL;
    curl_easy_getinfo(easy, CURLINFO_PRIVATE, &attempt);
    if (attempt == NULL) {
        return rp_upstream_probe_count_read(&upstream->probes, easy, socket) ||
               !rp_upstream_probe_finish(&upstream->probes, easy,
                                         CURLE_RECV_ERROR);
    }
    if (rp_upstream_attempt_count_read(attempt, socket)) {
        return true;
    }
    finish_attempt(attempt, RP_END_MALFORMED);
    return false;
}

static void
on_wakeup(struct ev_loop *ev, ev_timer *watcher, int events)
{
    (void)ev;
    (void)events;
    struct rp_upstream *upstream = watcher->data;
    upstream->wakeup_pending = false;
    while (upstream->resumable->len > 0) {
        struct rp_upstream_attempt *attempt = g_ptr_array_remove_index_fast(
            upstream->resumable, upstream->resumable->len - 1);
        attempt->resumable = false;
        rp_upstream_attempt_resume(attempt);
    }
    rp_curl_loop_run(&upstream->curl);
}

/* Ends attempts whose answer body made no progress although the caller accepts
 * bytes: their connections are considered silent. Those that dispatch has
 * cancelled end too. */
static void
on_stall_check(struct ev_loop *ev, ev_timer *watcher, int events)
{
    (void)ev;
    (void)events;
    struct rp_upstream *upstream = watcher->data;
    int64_t now_ns = rp_loop_now_ns();
    int64_t limit_ns = (int64_t)upstream->config.progress_timeout_ms * 1000000;
    GHashTableIter iterator;
    gpointer value;
    GPtrArray *stalled = g_ptr_array_new();
    g_hash_table_iter_init(&iterator, upstream->attempts);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        struct rp_upstream_attempt *attempt = value;
        /* Dispatch breaks the body of an attempt that it cancels; the message
         * may have been lost in a full mailbox. */
        bool cancelled = rp_stream_state(attempt->body) == RP_STREAM_BROKEN;
        if (cancelled ||
            rp_upstream_attempt_stalled(attempt, limit_ns, now_ns)) {
            g_ptr_array_add(stalled, attempt);
        }
    }
    for (guint i = 0; i < stalled->len; i++) {
        finish_attempt(stalled->pdata[i], RP_END_SILENT);
    }
    g_ptr_array_unref(stalled);
}

static CURL *
acquire_handle(struct rp_upstream *upstream)
{
    if (upstream->idle_handles->len > 0) {
        return g_ptr_array_remove_index_fast(upstream->idle_handles,
                                             upstream->idle_handles->len - 1);
    }
    return rp_upstream_easy_new(upstream->config.connect_timeout_ms);
}

/* Returns the maximum age in seconds of a connection to that address that may
 * be reused: 0 for none, -1 for any. Connections as old as one found silent
 * are considered silent too. */
static int64_t
max_connection_age_s(struct rp_upstream *upstream, const char *address,
                     int64_t now_ns)
{
    int64_t *silent_ns =
        g_hash_table_lookup(upstream->silent_start_ns, address);
    return silent_ns == NULL ? -1 : (now_ns - *silent_ns) / 1000000000;
}

static void
start_attempt(struct rp_upstream *upstream,
              const struct rp_attempt_start *start, int64_t now_ns)
{
    struct rp_upstream_attempt *attempt =
        g_new0(struct rp_upstream_attempt, 1);
    attempt->upstream = upstream;
    attempt->dialect = upstream->config.dialect;
    attempt->easy = acquire_handle(upstream);
    attempt->started_ns = now_ns;
    int64_t age_s = max_connection_age_s(upstream, start->address, now_ns);
    bool unrepeatable = (start->flags & RP_ATTEMPT_REPEATABLE) == 0;
    bool fresh = (start->flags & RP_ATTEMPT_FRESH) != 0 || age_s == 0 ||
                 (unrepeatable && !upstream->config.reuse_for_unrepeatable);
    rp_upstream_attempt_init(attempt, start, fresh, MAX(age_s, 0), now_ns);
    rp_stream_set_writer(attempt->body, on_stream_ready, attempt);
    if (attempt->has_request_body) {
        rp_stream_set_reader(attempt->call->request, on_stream_ready, attempt);
    }
    uint64_t key = attempt_key(start->call_id, start->generation);
    g_hash_table_insert(upstream->attempts, GSIZE_TO_POINTER(key), attempt);
    curl_multi_add_handle(upstream->curl.multi, attempt->easy);
    schedule_wakeup(upstream);
}

static void
cancel_attempt(struct rp_upstream *upstream,
               const struct rp_attempt_cancel *cancel)
{
    uint64_t key = attempt_key(cancel->call_id, cancel->generation);
    struct rp_upstream_attempt *attempt =
        g_hash_table_lookup(upstream->attempts, GSIZE_TO_POINTER(key));
    if (attempt == NULL) {
        return;
    }
    if (cancel->silent) {
        g_hash_table_insert(
            upstream->silent_start_ns, g_strdup(attempt->address),
            g_memdup2(&attempt->started_ns, sizeof(attempt->started_ns)));
    }
    rp_stream_break(attempt->body);
    g_hash_table_remove(upstream->attempts, GSIZE_TO_POINTER(key));
}

static void
on_message(struct rp_task *task, const struct rp_message *message,
           int64_t now_ns, void *data)
{
    (void)task;
    switch (message->kind) {
    case RP_MSG_ATTEMPT_START:
        start_attempt(data, message->body, now_ns);
        break;
    case RP_MSG_PROBE_START:
        rp_upstream_probe_start(&((struct rp_upstream *)data)->probes,
                                message->body);
        schedule_wakeup(data);
        break;
    case RP_MSG_ATTEMPT_CANCEL:
        cancel_attempt(data, message->body);
        break;
    default:
        break;
    }
}

static void
on_remove(struct rp_task *task, void *data)
{
    (void)task;
    struct rp_upstream *upstream = data;
    g_hash_table_unref(upstream->attempts);
    g_hash_table_unref(upstream->silent_start_ns);
    g_ptr_array_unref(upstream->resumable);
    for (guint i = 0; i < upstream->idle_handles->len; i++) {
        curl_easy_cleanup(upstream->idle_handles->pdata[i]);
    }
    g_ptr_array_unref(upstream->idle_handles);
    rp_upstream_probes_clear(&upstream->probes);
    rp_curl_loop_stop(&upstream->curl);
    ev_timer_stop(upstream->ev, &upstream->stall_timer);
    ev_clear_pending(upstream->ev, &upstream->wakeup);
    g_free(upstream);
}

static const struct rp_task_ops upstream_ops = {on_message, NULL, on_remove};

/* Adds the task "upstream", which sends attempts to targets with libcurl. It
 * is freed with the kernel, which must be freed before the loop. Returns NULL
 * with an error set when the task cannot be added. */
struct rp_upstream *
rp_upstream_new(struct rp_loop *loop, const struct rp_upstream_config *config,
                GError **error)
{
    struct rp_upstream *upstream = g_new0(struct rp_upstream, 1);
    upstream->task = rp_kernel_add_task(rp_loop_kernel(loop), RP_TASK_UPSTREAM,
                                        &upstream_ops, upstream, error);
    if (upstream->task == NULL) {
        g_free(upstream);
        return NULL;
    }
    upstream->ev = rp_loop_ev(loop);
    upstream->config = *config;
    if (upstream->config.connect_timeout_ms == 0) {
        upstream->config.connect_timeout_ms = DEFAULT_CONNECT_TIMEOUT_MS;
    }
    upstream->attempts = g_hash_table_new_full(NULL, NULL, NULL, free_attempt);
    upstream->silent_start_ns =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    upstream->resumable = g_ptr_array_new();
    upstream->idle_handles = g_ptr_array_new();
    rp_curl_loop_start(&upstream->curl, upstream->ev, on_done, upstream);
    upstream->curl.on_readable = on_readable;
    rp_upstream_probes_init(&upstream->probes, upstream->task,
                            upstream->config.dialect, upstream->curl.multi);
    curl_multi_setopt(upstream->curl.multi, CURLMOPT_MAXCONNECTS,
                      MAX_IDLE_CONNECTIONS);
    curl_multi_setopt(upstream->curl.multi, CURLMOPT_MAX_HOST_CONNECTIONS,
                      (long)config->max_connections_per_target);
    ev_timer_init(&upstream->wakeup, on_wakeup, 0.0, 0.0);
    ev_timer_init(&upstream->stall_timer, on_stall_check,
                  STALL_CHECK_INTERVAL_S, STALL_CHECK_INTERVAL_S);
    upstream->wakeup.data = upstream;
    upstream->stall_timer.data = upstream;
    ev_timer_start(upstream->ev, &upstream->stall_timer);
    return upstream;
}
