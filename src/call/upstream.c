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

/* Easy handles kept for the next request; each holds about 20 KB. */
#define MAX_IDLE_EASIES 256
/* Idle connections kept over all targets. */
#define MAX_CONNECTIONS 2048L
#define SWEEP_S 0.25
/* A connection takes about 1 ms; a lost SYN is sent again after 1 s. */
#define DEFAULT_CONNECT_MS 1500

struct rp_upstream {
    struct rp_task *task;
    struct ev_loop *ev;
    struct rp_upstream_config config;
    struct rp_curl_loop curl;
    ev_timer sweep_timer;
    ev_timer kick; /* never started; fed to run before the loop sleeps */
    bool kicked;
    GHashTable *attempts; /* of struct rp_upstream_attempt by call and
                             generation */
    GPtrArray *resumable; /* attempts whose paused side may go on */
    GPtrArray *idle_easies;
    struct rp_upstream_probes probes;
    GHashTable *silent; /* address: when a connection was silent */
};

static uint64_t
attempt_key(uint64_t call_id, uint32_t generation)
{
    return call_id << 8 | (generation & 0xff);
}

static void
kick(struct rp_upstream *upstream)
{
    if (!upstream->kicked) {
        upstream->kicked = true;
        ev_feed_event(upstream->ev, &upstream->kick, EV_CUSTOM);
    }
}

/* Called by a stream when a paused side of an attempt may go on. libcurl is
 * called later, since the stream may be inside a libcurl callback. */
static void
on_stream(void *data)
{
    struct rp_upstream_attempt *attempt = data;
    struct rp_upstream *upstream = attempt->upstream;
    if (attempt->paused == 0 || attempt->resumable) {
        return;
    }
    attempt->resumable = true;
    g_ptr_array_add(upstream->resumable, attempt);
    kick(upstream);
}

/* Takes an attempt out of libcurl and frees it. A transfer in progress loses
 * its connection, which tells the target that nobody waits. */
static void
free_attempt(gpointer data)
{
    struct rp_upstream_attempt *attempt = data;
    struct rp_upstream *upstream = attempt->upstream;
    rp_stream_set_writer(attempt->body, NULL, NULL);
    if (attempt->call->request != NULL && attempt->reads_request) {
        rp_stream_set_reader(attempt->call->request, NULL, NULL);
    }
    if (attempt->resumable) {
        g_ptr_array_remove_fast(upstream->resumable, attempt);
    }
    curl_multi_remove_handle(upstream->curl.multi, attempt->easy);
    if (upstream->idle_easies->len < MAX_IDLE_EASIES) {
        g_ptr_array_add(upstream->idle_easies, attempt->easy);
    }
    else {
        curl_easy_cleanup(attempt->easy);
    }
    rp_upstream_attempt_clear(attempt);
    g_free(attempt);
}

static void
finish(struct rp_upstream_attempt *attempt, enum rp_attempt_end end)
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

/* Tells dispatch of the head as soon as it is complete. Called from libcurl,
 * by way of upstream_attempt.c. */
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
    if (rp_upstream_probe_take(&upstream->probes, easy, result)) {
        return;
    }
    curl_easy_getinfo(easy, CURLINFO_PRIVATE, &attempt);
    finish(attempt, rp_upstream_attempt_end(attempt, result));
}

static void
on_kick(struct ev_loop *ev, ev_timer *watcher, int events)
{
    (void)ev;
    (void)events;
    struct rp_upstream *upstream = watcher->data;
    upstream->kicked = false;
    while (upstream->resumable->len > 0) {
        struct rp_upstream_attempt *attempt = g_ptr_array_remove_index_fast(
            upstream->resumable, upstream->resumable->len - 1);
        attempt->resumable = false;
        rp_upstream_attempt_resume(attempt);
    }
    rp_curl_loop_run(&upstream->curl);
}

/* Breaks off answers whose body has made no progress although the caller
 * takes bytes: the connection is taken for silent. */
static void
on_sweep(struct ev_loop *ev, ev_timer *watcher, int events)
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
        if (rp_upstream_attempt_stalled(attempt, limit_ns, now_ns)) {
            g_ptr_array_add(stalled, attempt);
        }
    }
    for (guint i = 0; i < stalled->len; i++) {
        finish(stalled->pdata[i], RP_END_SILENT);
    }
    g_ptr_array_unref(stalled);
}

static CURL *
take_easy(struct rp_upstream *upstream)
{
    if (upstream->idle_easies->len > 0) {
        return g_ptr_array_remove_index_fast(upstream->idle_easies,
                                             upstream->idle_easies->len - 1);
    }
    return rp_upstream_easy_new(upstream->config.connect_timeout_ms);
}

/* Returns the greatest age in seconds of a connection to that address that
 * may be reused: 0 for none, -1 for any. Connections that are as old as one
 * found silent are taken for silent too. */
static int64_t
greatest_age_s(struct rp_upstream *upstream, const char *address,
               int64_t now_ns)
{
    int64_t *silent_ns = g_hash_table_lookup(upstream->silent, address);
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
    attempt->easy = take_easy(upstream);
    attempt->started_ns = now_ns;
    int64_t age_s = greatest_age_s(upstream, start->address, now_ns);
    bool once = (start->flags & RP_ATTEMPT_REPEATABLE) == 0;
    bool fresh = (start->flags & RP_ATTEMPT_FRESH) != 0 || age_s == 0 ||
                 (once && !upstream->config.reuse_for_unrepeatable);
    rp_upstream_attempt_init(attempt, start, fresh, MAX(age_s, 0), now_ns);
    rp_stream_set_writer(attempt->body, on_stream, attempt);
    if (attempt->reads_request) {
        rp_stream_set_reader(attempt->call->request, on_stream, attempt);
    }
    uint64_t key = attempt_key(start->call_id, start->generation);
    g_hash_table_insert(upstream->attempts, GSIZE_TO_POINTER(key), attempt);
    curl_multi_add_handle(upstream->curl.multi, attempt->easy);
    kick(upstream);
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
            upstream->silent, g_strdup(attempt->address),
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
        kick(data);
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
    g_hash_table_unref(upstream->silent);
    g_ptr_array_unref(upstream->resumable);
    for (guint i = 0; i < upstream->idle_easies->len; i++) {
        curl_easy_cleanup(upstream->idle_easies->pdata[i]);
    }
    g_ptr_array_unref(upstream->idle_easies);
    rp_upstream_probes_clear(&upstream->probes);
    rp_curl_loop_stop(&upstream->curl);
    ev_timer_stop(upstream->ev, &upstream->sweep_timer);
    ev_clear_pending(upstream->ev, &upstream->kick);
    g_free(upstream);
}

static const struct rp_task_ops upstream_ops = {on_message, NULL, on_remove};

/* Adds the task "upstream", which carries attempts to targets over libcurl.
 * It is freed with the kernel, which must go before the loop. Returns NULL
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
        upstream->config.connect_timeout_ms = DEFAULT_CONNECT_MS;
    }
    upstream->attempts = g_hash_table_new_full(NULL, NULL, NULL, free_attempt);
    upstream->silent =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    upstream->resumable = g_ptr_array_new();
    upstream->idle_easies = g_ptr_array_new();
    rp_curl_loop_start(&upstream->curl, upstream->ev, on_done, upstream);
    rp_upstream_probes_init(&upstream->probes, upstream->task,
                            upstream->config.dialect, upstream->curl.multi);
    curl_multi_setopt(upstream->curl.multi, CURLMOPT_MAXCONNECTS,
                      MAX_CONNECTIONS);
    curl_multi_setopt(upstream->curl.multi, CURLMOPT_MAX_HOST_CONNECTIONS,
                      (long)config->max_connections_per_target);
    ev_timer_init(&upstream->kick, on_kick, 0.0, 0.0);
    ev_timer_init(&upstream->sweep_timer, on_sweep, SWEEP_S, SWEEP_S);
    upstream->kick.data = upstream;
    upstream->sweep_timer.data = upstream;
    ev_timer_start(upstream->ev, &upstream->sweep_timer);
    return upstream;
}
