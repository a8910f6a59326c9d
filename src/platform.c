#include "platform.h"

#include <string.h>

#include "config_task.h"
#include "curl_loop.h"
#include "error.h"
#include "platform_answer.h"
#include "watch.h"

#define DEFAULT_TIMEOUT_MS 2000
/* An answer of the store takes 4 ms, and up to 100 times as long at worst. A
 * watch that was cut is noticed after this and the time it may wait. */
#define WATCH_TIMEOUT_MS 1000
#define CONNECT_TIMEOUT_MS 1000
/* All records of 51 services in one read. */
#define DEFAULT_PAGE_SIZE 256
/* Holds a page of one value of 1 MB of which every byte is escaped. */
#define DEFAULT_ANSWER_MAX_BYTES 8388608
/* A platform that answers a lower revision than before lags, or has lost
 * records; after this many such answers it is read from the start. */
#define STALE_ANSWERS_TO_RESTART 16
/* A list older than the one known is of a lagging replica, unless the known
 * one is older than this. */
#define LIST_KEEP_NS INT64_C(60000000000)

struct rp_platform {
    struct rp_task *task;
    struct rp_context *context;
    struct rp_watch *watch;
    const struct rp_platform_protocol *protocol;
    char *url;
    int64_t timeout_ms;
    int64_t answer_max_bytes;
    uint32_t page_size; /* as set */
    uint32_t page_now;  /* lowered while answers are too large */
    struct rp_curl_loop curl;
    CURL *easy;
    enum rp_watch_read reading;
    GByteArray *answer;
    bool answer_too_large;
    bool fresh_connection; /* for the next read */
    bool lost;
    uint64_t after;       /* all records up to here were read */
    uint64_t known;       /* greatest revision anyone told */
    uint32_t stale_count; /* answers in a row */
    int64_t list_as_of_ms;
    int64_t list_ns;
    uint32_t role;
};

static void
count(struct rp_platform *platform, enum rp_counter counter)
{
    rp_counter_add(&platform->context->counters, counter, 1);
}

static size_t
on_body(char *bytes, size_t size, size_t byte_count, void *data)
{
    struct rp_platform *platform = data;
    if ((int64_t)platform->answer->len + (int64_t)byte_count >
        platform->answer_max_bytes)
    {
        platform->answer_too_large = true;
        return 0;
    }
    g_byte_array_append(platform->answer, (const guint8 *)bytes,
                        (guint)byte_count);
    return byte_count;
}

static void
start_read(struct rp_platform *platform, enum rp_watch_read read,
           int64_t wait_ms)
{
    const struct rp_platform_protocol *protocol = platform->protocol;
    char *path = read == RP_WATCH_READ_VMS
                     ? g_strdup(protocol->vms_path)
                     : protocol->records_path(protocol->data, platform->after,
                                              wait_ms, platform->page_now);
    char *url = g_strconcat(platform->url, path, NULL);
    g_free(path);
    CURL *easy = platform->easy;
    curl_easy_setopt(easy, CURLOPT_URL, url);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS,
                     (long)(platform->timeout_ms + wait_ms));
    /* A connection that timed out may be silent for good. */
    curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT,
                     platform->fresh_connection ? 1L : 0L);
    platform->fresh_connection = false;
    platform->reading = read;
    platform->answer_too_large = false;
    g_byte_array_set_size(platform->answer, 0);
    count(platform, RP_COUNTER_PLATFORM_READS);
    curl_multi_add_handle(platform->curl.multi, easy);
    g_free(url);
}

static void
report_role(struct rp_platform *platform, int64_t now_ns)
{
    static const char *const details[] = {
        "does not watch the platform",
        "watches the platform as chosen",
        "watches the platform because the freshness was stale",
    };
    struct rp_counters *counters = &platform->context->counters;
    enum rp_watch_role role = rp_watch_role(platform->watch);
    int64_t age_ns = now_ns - rp_watch_fresh_ns(platform->watch);
    rp_counter_set(counters, RP_COUNTER_PLATFORM_FRESHNESS_MS,
                   (uint64_t)(MAX(age_ns, 0) / 1000000));
    if (role == platform->role) {
        return;
    }
    platform->role = role;
    rp_counter_set(counters, RP_COUNTER_PLATFORM_WATCHER, role);
    if (role == RP_WATCH_PROMOTED) {
        count(platform, RP_COUNTER_PLATFORM_PROMOTIONS);
    }
    struct rp_event *event =
        rp_event_add(platform->context->events, RP_EVENT_PLATFORM_WATCH,
                     now_ns, platform->context->identity.id);
    event->value = role;
    rp_event_set_detail(event, "%s", details[role]);
}

/* Starts the read that is due, if any, and sets the timer for the next. */
static void
advance(struct rp_platform *platform, int64_t now_ns)
{
    int64_t wait_ms = 0;
    enum rp_watch_read read = rp_watch_next(platform->watch, now_ns, &wait_ms);
    if (read != RP_WATCH_READ_NONE) {
        start_read(platform, read, wait_ms);
    }
    report_role(platform, now_ns);
    rp_task_set_timer(platform->task, 0, rp_watch_due_ns(platform->watch));
}

static bool
check_answer(struct rp_platform *platform, CURLcode code, GError **error)
{
    if (platform->answer_too_large) {
        g_set_error(error, RP_ERROR, RP_ERROR_PLATFORM,
                    "the platform's answer has more than %" G_GINT64_FORMAT
                    " bytes; fewer records are asked for at once",
                    platform->answer_max_bytes);
        return false;
    }
    if (code != CURLE_OK) {
        g_set_error(error, RP_ERROR, RP_ERROR_PLATFORM,
                    "cannot read %s: %s; check the platform and the address "
                    "in --platform",
                    platform->url, curl_easy_strerror(code));
        return false;
    }
    return true;
}

/* Hands over the records of an answer. An answer of a lower revision than
 * anyone has seen is older: its records are offered, since they can do no
 * harm, but it does not count as fresh. */
static void
take_records(struct rp_platform *platform,
             const struct rp_platform_answer *answer, bool *fresh)
{
    *fresh = answer->revision >= platform->known &&
             answer->revision >= platform->after;
    platform->known = MAX(platform->known, answer->revision);
    if (*fresh) {
        platform->stale_count = 0;
    }
    else {
        count(platform, RP_COUNTER_PLATFORM_STALE_ANSWERS);
        platform->stale_count++;
    }
    uint64_t reached = answer->more ? answer->last : answer->revision;
    platform->after = MAX(platform->after, reached);
    if (platform->stale_count >= STALE_ANSWERS_TO_RESTART) {
        platform->stale_count = 0;
        platform->after = 0;
    }
    if (answer->malformed > 0) {
        rp_counter_add(&platform->context->counters,
                       RP_COUNTER_PLATFORM_MALFORMED, answer->malformed);
    }
    rp_config_records_send(
        platform->task,
        rp_kernel_find_task(rp_task_kernel(platform->task), "config"),
        RP_MSG_PLATFORM_RECORDS, answer->batch, "", 0, !answer->more);
}

static void
retain_list(const void *body)
{
    const struct rp_vm_list_message *message = body;
    rp_vm_list_ref(message->list);
}

static void
take_vms(struct rp_platform *platform, struct rp_vm_list *list, int64_t now_ns)
{
    bool older = rp_vm_list_as_of_ms(list) < platform->list_as_of_ms &&
                 now_ns - platform->list_ns < LIST_KEEP_NS;
    if (older) {
        count(platform, RP_COUNTER_PLATFORM_STALE_ANSWERS);
        return;
    }
    platform->list_as_of_ms = rp_vm_list_as_of_ms(list);
    platform->list_ns = now_ns;
    rp_watch_set_vms(platform->watch, list);
    struct rp_vm_list_message body = {list};
    rp_task_broadcast_owned(platform->task, RP_MSG_PLATFORM_VMS, &body,
                            sizeof(body), retain_list,
                            rp_vm_list_message_release);
}

static bool
parse_and_take(struct rp_platform *platform, bool *fresh, bool *more,
               int64_t now_ns, GError **error)
{
    const char *text = (const char *)platform->answer->data;
    long status = 0;
    curl_easy_getinfo(platform->easy, CURLINFO_RESPONSE_CODE, &status);
    if (platform->reading == RP_WATCH_READ_VMS) {
        if (status != 200) {
            g_set_error(error, RP_ERROR, RP_ERROR_PLATFORM,
                        "%s answered with status %ld; check the platform",
                        platform->url, status);
            return false;
        }
        struct rp_vm_list *list =
            rp_vm_list_parse(text, platform->answer->len, error);
        if (list == NULL) {
            return false;
        }
        take_vms(platform, list, now_ns);
        rp_vm_list_unref(list);
        return true;
    }
    struct rp_platform_answer answer;
    const struct rp_platform_protocol *protocol = platform->protocol;
    if (!protocol->take_answer(protocol->data, (uint32_t)status, text,
                               platform->answer->len, &answer, error))
    {
        return false;
    }
    take_records(platform, &answer, fresh);
    *more = answer.more;
    rp_record_batch_unref(answer.batch);
    return true;
}

static void
report_reachable(struct rp_platform *platform, const GError *error,
                 int64_t now_ns)
{
    bool lost = error != NULL;
    if (lost) {
        count(platform, RP_COUNTER_PLATFORM_READ_FAILURES);
    }
    if (lost == platform->lost) {
        return;
    }
    platform->lost = lost;
    struct rp_event *event =
        rp_event_add(platform->context->events,
                     lost ? RP_EVENT_PLATFORM_LOST : RP_EVENT_PLATFORM_BACK,
                     now_ns, platform->url);
    if (lost) {
        rp_event_set_detail(event, "%s", error->message);
        g_warning("%s", error->message);
    }
}

static void
finish_read(struct rp_platform *platform, CURLcode code, int64_t now_ns)
{
    GError *error = NULL;
    bool fresh = false;
    bool more = false;
    bool ok = check_answer(platform, code, &error) &&
              parse_and_take(platform, &fresh, &more, now_ns, &error);
    platform->reading = RP_WATCH_READ_NONE;
    platform->fresh_connection = code != CURLE_OK;
    if (platform->answer_too_large) {
        platform->page_now = MAX(platform->page_now / 2, 1);
    }
    else if (ok && !more) {
        platform->page_now = platform->page_size;
    }
    report_reachable(platform, error, now_ns);
    g_clear_error(&error);
    rp_watch_finish(platform->watch, ok, fresh, more,
                    g_rand_double(platform->context->random), now_ns);
    if (fresh && !more) {
        struct rp_platform_freshness body = {now_ns, platform->known};
        rp_task_broadcast(platform->task, RP_MSG_PLATFORM_FRESHNESS, &body,
                          sizeof(body));
    }
    advance(platform, now_ns);
}

static void
on_done(CURL *easy, CURLcode result, void *data)
{
    struct rp_platform *platform = data;
    curl_multi_remove_handle(platform->curl.multi, easy);
    finish_read(platform, result, rp_loop_now_ns());
}

static void
on_message(struct rp_task *task, const struct rp_message *message,
           int64_t now_ns, void *data)
{
    struct rp_platform *platform = data;
    if (message->kind == RP_MSG_PLATFORM_FRESHNESS) {
        const struct rp_platform_freshness *body = message->body;
        platform->known = MAX(platform->known, body->revision);
        rp_watch_hear_fresh(platform->watch, body->fresh_ns, now_ns);
    }
    else if (message->kind == RP_MSG_CONFIG_STATE) {
        const struct rp_config_state *body = message->body;
        platform->known = MAX(platform->known, body->revision);
    }
    else if (message->kind == RP_MSG_PAUSE_NOTICED) {
        const struct rp_pause *pause = message->body;
        rp_watch_notice_pause(platform->watch, pause->gap_ns);
    }
    else {
        return;
    }
    advance(platform, now_ns);
}

static void
on_timer(struct rp_task *task, uint32_t timer, int64_t now_ns, void *data)
{
    advance(data, now_ns);
}

static void
on_remove(struct rp_task *task, void *data)
{
    struct rp_platform *platform = data;
    if (platform->reading != RP_WATCH_READ_NONE) {
        curl_multi_remove_handle(platform->curl.multi, platform->easy);
    }
    curl_easy_cleanup(platform->easy);
    rp_curl_loop_stop(&platform->curl);
    rp_watch_free(platform->watch);
    g_byte_array_unref(platform->answer);
    g_free(platform->url);
    g_free(platform);
}

static const struct rp_task_ops platform_ops = {on_message, on_timer,
                                                on_remove};

static void
set_up_curl(struct rp_platform *platform, struct ev_loop *ev)
{
    rp_curl_loop_start(&platform->curl, ev, on_done, platform);
    curl_multi_setopt(platform->curl.multi, CURLMOPT_MAXCONNECTS, 2L);
    CURL *easy = curl_easy_init();
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_body);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, platform);
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
                     (long)CONNECT_TIMEOUT_MS);
    curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(easy, CURLOPT_NOPROXY, "*");
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    /* Tells the platform's operators which entry VM reads. */
    char *agent = g_strdup_printf("rosemarypulley/" RP_VERSION " %s",
                                  platform->context->identity.id);
    curl_easy_setopt(easy, CURLOPT_USERAGENT, agent);
    g_free(agent);
    platform->easy = easy;
}

/* Adds the task "platform" to the kernel of a loop, which owns it. Reads
 * start at once. Returns NULL with RP_ERROR_SETTING set when there is no URL,
 * or with the error of rp_kernel_add_task. */
struct rp_platform *
rp_platform_add(struct rp_loop *loop,
                const struct rp_platform_settings *settings, int64_t now_ns,
                GError **error)
{
    if (settings->url == NULL || settings->url[0] == '\0') {
        g_set_error(error, RP_ERROR, RP_ERROR_SETTING,
                    "no address of the platform; set --platform to "
                    "http://ip:port");
        return NULL;
    }
    struct rp_kernel *kernel = rp_loop_kernel(loop);
    struct rp_platform *platform = g_new0(struct rp_platform, 1);
    struct rp_task *task =
        rp_kernel_add_task(kernel, "platform", &platform_ops, platform, error);
    if (task == NULL) {
        g_free(platform);
        return NULL;
    }
    platform->task = task;
    platform->context = rp_kernel_context(kernel);
    platform->protocol = settings->protocol == NULL ? &rp_platform_protocol_own
                                                    : settings->protocol;
    platform->watch = rp_watch_new(platform->context->identity.id, now_ns);
    if (platform->protocol->vms_path == NULL) {
        rp_watch_set_unlisted(platform->watch);
    }
    platform->url = g_strdup(settings->url);
    while (g_str_has_suffix(platform->url, "/")) {
        platform->url[strlen(platform->url) - 1] = '\0';
    }
    platform->timeout_ms =
        settings->timeout_ms > 0 ? settings->timeout_ms : DEFAULT_TIMEOUT_MS;
    if (platform->protocol->vms_path == NULL && settings->timeout_ms == 0) {
        platform->timeout_ms = WATCH_TIMEOUT_MS;
    }
    platform->page_size =
        settings->page_size > 0 ? settings->page_size : DEFAULT_PAGE_SIZE;
    platform->page_now = platform->page_size;
    platform->answer_max_bytes = settings->answer_max_bytes > 0
                                     ? settings->answer_max_bytes
                                     : DEFAULT_ANSWER_MAX_BYTES;
    platform->answer = g_byte_array_new();
    set_up_curl(platform, rp_loop_ev(loop));
    rp_task_set_timer(task, 0, now_ns);
    return platform;
}
