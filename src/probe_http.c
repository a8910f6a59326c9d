#include <curl/curl.h>
#include <ev.h>
#include <string.h>

#include "error.h"
#include "prober.h"

/* A probe's answer is its head; more of a body than this fails the probe. */
#define BODY_LIMIT_BYTES 65536

struct http_probe {
    uint64_t probe_id;
    CURL *easy;
    struct rp_load_report load;
    bool has_load;
    uint32_t body_bytes;
    struct http_probe *next;
};

struct socket_watch {
    ev_io watcher;
    struct socket_watch *next;
};

/* Probes over libcurl multi, driven by the libev loop. */
struct probe_http {
    struct ev_loop *ev;
    CURLM *multi;
    ev_timer timer;
    struct rp_prober *prober;
    struct http_probe *probes;
    struct socket_watch *watches;
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
    curl_multi_remove_handle(http->multi, probe->easy);
    curl_easy_cleanup(probe->easy);
    g_free(probe);
}

static void
take_results(struct probe_http *http)
{
    int left;
    CURLMsg *message;
    while ((message = curl_multi_info_read(http->multi, &left)) != NULL) {
        if (message->msg != CURLMSG_DONE) {
            continue;
        }
        struct http_probe *probe = NULL;
        long status = 0;
        curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &probe);
        curl_easy_getinfo(message->easy_handle, CURLINFO_RESPONSE_CODE,
                          &status);
        struct rp_probe_result result = {
            .probe_id = probe->probe_id,
            .answered =
                message->data.result == CURLE_OK && status > 0 && status < 500,
            .has_load = probe->has_load,
            .load = probe->load,
        };
        remove_probe(http, probe);
        rp_prober_finish(http->prober, &result, rp_loop_now_ns());
    }
}

static void
on_socket_event(struct ev_loop *ev, ev_io *watcher, int events)
{
    (void)ev;
    struct probe_http *http = watcher->data;
    int running;
    int mask = ((events & EV_READ) != 0 ? CURL_CSELECT_IN : 0) |
               ((events & EV_WRITE) != 0 ? CURL_CSELECT_OUT : 0);
    curl_multi_socket_action(http->multi, watcher->fd, mask, &running);
    take_results(http);
}

static void
on_timeout(struct ev_loop *ev, ev_timer *timer, int events)
{
    (void)ev;
    (void)events;
    struct probe_http *http = timer->data;
    int running;
    curl_multi_socket_action(http->multi, CURL_SOCKET_TIMEOUT, 0, &running);
    take_results(http);
}

static int
set_timeout(CURLM *multi, long timeout_ms, void *data)
{
    (void)multi;
    struct probe_http *http = data;
    ev_timer_stop(http->ev, &http->timer);
    if (timeout_ms >= 0) {
        ev_now_update(http->ev);
        ev_timer_set(&http->timer, (double)timeout_ms / 1000.0, 0.0);
        ev_timer_start(http->ev, &http->timer);
    }
    return 0;
}

static void
remove_watch(struct probe_http *http, struct socket_watch *watch)
{
    struct socket_watch **link = &http->watches;
    while (*link != NULL && *link != watch) {
        link = &(*link)->next;
    }
    if (*link == watch) {
        *link = watch->next;
    }
    ev_io_stop(http->ev, &watch->watcher);
    g_free(watch);
}

static int
set_socket(CURL *easy, curl_socket_t socket, int what, void *data,
           void *socket_data)
{
    (void)easy;
    struct probe_http *http = data;
    struct socket_watch *watch = socket_data;
    if (what == CURL_POLL_REMOVE) {
        if (watch != NULL) {
            curl_multi_assign(http->multi, socket, NULL);
            remove_watch(http, watch);
        }
        return 0;
    }
    if (watch == NULL) {
        watch = g_new0(struct socket_watch, 1);
        watch->next = http->watches;
        http->watches = watch;
        ev_init(&watch->watcher, on_socket_event);
        watch->watcher.data = http;
        curl_multi_assign(http->multi, socket, watch);
    }
    int events = ((what & CURL_POLL_IN) != 0 ? EV_READ : 0) |
                 ((what & CURL_POLL_OUT) != 0 ? EV_WRITE : 0);
    ev_io_stop(http->ev, &watch->watcher);
    ev_io_set(&watch->watcher, socket, events);
    ev_io_start(http->ev, &watch->watcher);
    return 0;
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
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
    /* Probes are rare; kept connections would count against the limit of
     * 200 per worker and could go silent. */
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
    if (curl_multi_add_handle(http->multi, easy) != CURLM_OK) {
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
    ev_timer_stop(http->ev, &http->timer);
    if (http->multi != NULL) {
        curl_multi_cleanup(http->multi);
    }
    while (http->watches != NULL) {
        remove_watch(http, http->watches);
    }
    g_free(http);
}

/* Registers the task "prober" with probes as HTTP GET requests over the
 * loop. curl_global_init must have been called. Free the prober before the
 * loop. Errors are those of rp_prober_new, or RP_ERROR_SYSTEM. */
struct rp_prober *
rp_prober_new_http(struct rp_loop *loop, GError **error)
{
    struct probe_http *http = g_new0(struct probe_http, 1);
    http->ev = rp_loop_ev(loop);
    ev_timer_init(&http->timer, on_timeout, 0.0, 0.0);
    http->timer.data = http;
    http->multi = curl_multi_init();
    if (http->multi == NULL) {
        g_set_error(error, RP_ERROR, RP_ERROR_SYSTEM,
                    "cannot create the libcurl handle of the prober: check "
                    "the memory of this VM");
        free_http(http);
        return NULL;
    }
    curl_multi_setopt(http->multi, CURLMOPT_SOCKETFUNCTION, set_socket);
    curl_multi_setopt(http->multi, CURLMOPT_SOCKETDATA, http);
    curl_multi_setopt(http->multi, CURLMOPT_TIMERFUNCTION, set_timeout);
    curl_multi_setopt(http->multi, CURLMOPT_TIMERDATA, http);
    struct rp_prober_transport transport = {
        .start = start_probe,
        .free = free_http,
        .data = http,
    };
    http->prober = rp_prober_new(rp_loop_kernel(loop), &transport,
                                 rp_loop_now_ns(), error);
    return http->prober;
}
