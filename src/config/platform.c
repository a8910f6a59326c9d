#include "platform.h"

#include <string.h>

#include "config_task.h"
#include "curl_loop.h"
#include "error.h"
#include "member.h"
#include "platform_answer.h"
#include "platform_outage.h"
#include "revision.h"
#include "watch.h"

#define DEFAULT_TIMEOUT_MS 2000
/* Read timeout on platforms without a list of VMs, in addition to the wait
 * time. The store answers in 4 ms, and in 100 times as long at worst. */
#define WATCH_TIMEOUT_MS 1000
#define CONNECT_TIMEOUT_MS 1000
/* Holds all records of 51 services. */
#define DEFAULT_PAGE_SIZE 256
/* Holds a page of one value of 1 MB of which every byte is escaped. */
#define DEFAULT_MAX_ANSWER_BYTES 8388608
/* A platform that answers with a lower revision than before lags or has lost
 * records. After this many such answers in a row, all records are read again.
 */
#define MAX_STALE_ANSWERS 16
/* A list that was made before the current one comes from a lagging replica and
 * is ignored, unless the current one was received longer ago than this. */
#define MAX_VM_LIST_AGE_NS INT64_C(60000000000)

/* Interval of warnings about an epoch that cannot be read. */
#define MIN_EPOCH_WARNING_NS INT64_C(10000000000)

struct rp_platform {
    struct rp_task *task;
    struct rp_context *context;
    struct rp_watch *watch;
    const struct rp_platform_protocol *protocol;
    char *url;
    int64_t timeout_ms;
    int64_t max_answer_bytes;
    uint32_t page_size;         /* as configured, in records */
    uint32_t current_page_size; /* lowered while answers are too large */
    struct rp_curl_loop curl;
    CURL *easy;
    enum rp_watch_read reading;
    GByteArray *answer;
    bool answer_too_large;
    bool needs_new_connection; /* for the next read */
    bool unreachable;
    bool has_seen_epoch; /* an answer had an epoch */
    uint64_t seen_epoch; /* greatest one; 0 until known */
    int64_t next_epoch_warning_ns;
    bool has_read;              /* records of the platform or of peers */
    uint64_t read_epoch;        /* of these records */
    uint64_t read_revision;     /* all records up to it were read */
    uint64_t latest_revision;   /* greatest known, also from peers */
    int64_t latest_epoch_ns;    /* when its epoch became known */
    uint64_t accepted_revision; /* greatest of the accepted records */
    bool peers_differ;          /* no peer has the same records */
    GHashTable *listed_keys;    /* of the listing in progress; else NULL */
    struct rp_platform_outage outage;
    GPtrArray *delayed; /* of struct delayed_message, by due_ns */
    uint32_t consecutive_stale_answers;
    int64_t vm_list_as_of_ms;
    int64_t vm_list_received_ns;
    uint32_t reported_role;
};

/* A message to the config task that is sent later, see platform_outage.h and
 * rp_watch_spread_delay_ns. */
struct delayed_message {
    int64_t due_ns;
    struct rp_record_batch *batch; /* NULL for a listing */
    enum rp_message_kind kind;
    bool reaches_revision; /* the batch is the last page of an answer */
    GHashTable *listed_keys;
    uint64_t revision;
};

static void
free_delayed_message(gpointer data)
{
    struct delayed_message *message = data;
    rp_record_batch_unref(message->batch);
    if (message->listed_keys != NULL) {
        g_hash_table_unref(message->listed_keys);
    }
    g_free(message);
}

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
        platform->max_answer_bytes)
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
    char *path = NULL;
    switch (read) {
    case RP_WATCH_READ_VMS:
        path = g_strdup(protocol->vms_path);
        break;
    case RP_WATCH_READ_REVISION:
        path = g_strdup(protocol->revision_path);
        break;
    default:
        path = protocol->records_path(
            protocol->data, rp_revision_counter(platform->read_revision),
            wait_ms, platform->current_page_size);
        break;
    }
    char *url = g_strconcat(platform->url, path, NULL);
    g_free(path);
    CURL *easy = platform->easy;
    curl_easy_setopt(easy, CURLOPT_URL, url);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS,
                     (long)(platform->timeout_ms + wait_ms));
    /* A connection that timed out may never answer again. */
    curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT,
                     platform->needs_new_connection ? 1L : 0L);
    platform->needs_new_connection = false;
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
        "watches the platform as one of the chosen VMs",
        "watches the platform because the freshness was stale",
    };
    struct rp_counters *counters = &platform->context->counters;
    enum rp_watch_role role = rp_watch_role(platform->watch);
    int64_t age_ns = now_ns - rp_watch_fresh_ns(platform->watch);
    rp_counter_set(counters, RP_COUNTER_PLATFORM_FRESHNESS_MS,
                   (uint64_t)(MAX(age_ns, 0) / 1000000));
    if (role == platform->reported_role) {
        return;
    }
    platform->reported_role = role;
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
start_due_read(struct rp_platform *platform, int64_t now_ns)
{
    int64_t wait_ms = 0;
    enum rp_watch_read read = rp_watch_next(platform->watch, now_ns, &wait_ms);
    if (read != RP_WATCH_READ_NONE) {
        start_read(platform, read, wait_ms);
    }
    report_role(platform, now_ns);
    int64_t due_ns = rp_watch_due_ns(platform->watch);
    if (platform->delayed->len > 0) {
        const struct delayed_message *next = platform->delayed->pdata[0];
        due_ns = MIN(due_ns, next->due_ns);
    }
    rp_task_set_timer(platform->task, 0, due_ns);
}

static bool
check_answer(struct rp_platform *platform, CURLcode code, GError **error)
{
    if (platform->answer_too_large) {
        g_set_error(error, RP_ERROR, RP_ERROR_PLATFORM,
                    "the platform's answer has more than %" G_GINT64_FORMAT
                    " bytes; the next read requests fewer records",
                    platform->max_answer_bytes);
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

static void
send_delayed_message(struct rp_platform *platform,
                     const struct delayed_message *message)
{
    struct rp_task *config =
        rp_kernel_find_task(rp_task_kernel(platform->task), "config");
    if (message->batch != NULL) {
        rp_config_records_send(platform->task, config, message->kind,
                               message->batch, "", 0,
                               message->reaches_revision);
        return;
    }
    struct rp_config_listing body = {g_hash_table_ref(message->listed_keys),
                                     message->revision};
    if (!rp_task_send_owned(platform->task, config, RP_MSG_PLATFORM_LISTING,
                            &body, sizeof(body), rp_config_listing_release))
    {
        rp_config_listing_release(&body);
    }
}

static void
insert_delayed(struct rp_platform *platform, struct delayed_message *message)
{
    GPtrArray *delayed = platform->delayed;
    guint index = delayed->len;
    while (index > 0 &&
           ((struct delayed_message *)delayed->pdata[index - 1])->due_ns >
               message->due_ns)
    {
        index--;
    }
    g_ptr_array_insert(delayed, (gint)index, message);
}

/* Returns when a message that is due now takes effect. One that retires
 * targets waits on when the platform failed again since it was received. */
static int64_t
delayed_due_ns(const struct rp_platform *platform,
               const struct delayed_message *message, int64_t now_ns)
{
    return message->kind == RP_MSG_PLATFORM_RECORDS
               ? now_ns
               : rp_platform_outage_held_due_ns(&platform->outage, now_ns);
}

static void
send_due_messages(struct rp_platform *platform, int64_t now_ns)
{
    while (platform->delayed->len > 0) {
        struct delayed_message *next = platform->delayed->pdata[0];
        if (next->due_ns > now_ns) {
            return;
        }
        g_ptr_array_steal_index(platform->delayed, 0);
        next->due_ns = delayed_due_ns(platform, next, now_ns);
        if (next->due_ns > now_ns) {
            insert_delayed(platform, next);
            continue;
        }
        send_delayed_message(platform, next);
        free_delayed_message(next);
    }
}

/* Queues a message to the config task until it is due, and sends it now if it
 * is due already. Copies the message and takes over its references. */
static void
delay_message(struct rp_platform *platform,
              const struct delayed_message *message, int64_t now_ns)
{
    insert_delayed(platform, g_memdup2(message, sizeof(*message)));
    send_due_messages(platform, now_ns);
}

static void
collect_listed_keys(struct rp_platform *platform,
                    const struct rp_platform_answer *answer, int64_t now_ns)
{
    if (answer->is_first_page || platform->listed_keys == NULL) {
        if (platform->listed_keys != NULL) {
            g_hash_table_unref(platform->listed_keys);
        }
        platform->listed_keys =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    }
    for (uint32_t i = 0; i < rp_record_batch_count(answer->batch); i++) {
        g_hash_table_add(platform->listed_keys,
                         g_strdup(rp_record_batch_get(answer->batch, i)->key));
    }
    if (!answer->has_more) {
        struct delayed_message message = {
            .due_ns =
                rp_platform_outage_listing_due_ns(&platform->outage, now_ns),
            .kind = RP_MSG_PLATFORM_LISTING,
            .listed_keys = g_steal_pointer(&platform->listed_keys),
            .revision = answer->revision,
        };
        delay_message(platform, &message, now_ns);
    }
}

static void
raise_latest_revision(struct rp_platform *platform, uint64_t revision,
                      int64_t now_ns)
{
    if (rp_revision_epoch(revision) >
        rp_revision_epoch(platform->latest_revision)) {
        platform->latest_epoch_ns = now_ns;
    }
    platform->latest_revision = MAX(platform->latest_revision, revision);
}

/* Passes the records of an answer to the config task. An answer with a lower
 * revision than the greatest known one is stale: its records are still passed
 * on, since older versions are not accepted, but fresh is false. */
static void
process_records(struct rp_platform *platform,
                const struct rp_platform_answer *answer, bool *fresh,
                int64_t now_ns)
{
    *fresh = answer->revision >= platform->latest_revision &&
             answer->revision >= platform->read_revision;
    raise_latest_revision(platform, answer->revision, now_ns);
    if (*fresh) {
        platform->consecutive_stale_answers = 0;
    }
    else {
        count(platform, RP_COUNTER_PLATFORM_STALE_ANSWERS);
        platform->consecutive_stale_answers++;
    }
    uint64_t end_revision =
        answer->has_more ? answer->last_revision : answer->revision;
    platform->read_revision = MAX(platform->read_revision, end_revision);
    if (platform->consecutive_stale_answers >= MAX_STALE_ANSWERS) {
        platform->consecutive_stale_answers = 0;
        platform->read_revision = 0;
    }
    if (answer->malformed > 0) {
        rp_counter_add(&platform->context->counters,
                       RP_COUNTER_PLATFORM_MALFORMED, answer->malformed);
    }
    int64_t spread_due_ns =
        answer->is_listing
            ? now_ns
            : now_ns + rp_watch_spread_delay_ns(platform->watch);
    struct delayed_message message = {
        .due_ns = spread_due_ns,
        .kind = RP_MSG_PLATFORM_RECORDS,
        .batch = rp_record_batch_ref(answer->batch),
        .reaches_revision = !answer->has_more,
    };
    delay_message(platform, &message, now_ns);
    if (answer->is_listing) {
        collect_listed_keys(platform, answer, now_ns);
    }
    if (answer->removed != NULL) {
        /* Entries that expired during an outage may be added again. */
        int64_t removal_due_ns =
            rp_platform_outage_removal_due_ns(&platform->outage, now_ns);
        struct delayed_message removed = {
            .due_ns = MAX(spread_due_ns, removal_due_ns),
            .kind = RP_MSG_PLATFORM_REMOVALS,
            .batch = rp_record_batch_ref(answer->removed),
        };
        delay_message(platform, &removed, now_ns);
    }
}

static void
retain_list(const void *body)
{
    const struct rp_vm_list_message *message = body;
    rp_vm_list_ref(message->list);
}

static void
handle_vm_list(struct rp_platform *platform, struct rp_vm_list *list,
               int64_t now_ns)
{
    bool older = rp_vm_list_as_of_ms(list) < platform->vm_list_as_of_ms &&
                 now_ns - platform->vm_list_received_ns < MAX_VM_LIST_AGE_NS;
    if (older) {
        count(platform, RP_COUNTER_PLATFORM_STALE_ANSWERS);
        return;
    }
    platform->vm_list_as_of_ms = rp_vm_list_as_of_ms(list);
    platform->vm_list_received_ns = now_ns;
    rp_watch_set_vms(platform->watch, list);
    struct rp_vm_list_message body = {list};
    rp_task_broadcast_owned(platform->task, RP_MSG_PLATFORM_VMS, &body,
                            sizeof(body), retain_list,
                            rp_vm_list_message_release);
}

/* Reads the epoch in the header of the current answer. Returns false when
 * there is none: the answer then counts as one of the latest known epoch,
 * since a platform whose field cannot be read still has the only
 * configuration. */
static bool
read_epoch(struct rp_platform *platform, uint64_t *epoch, int64_t now_ns)
{
    const char *name = platform->protocol->epoch_field;
    struct curl_header *field = NULL;
    if (name == NULL || curl_easy_header(platform->easy, name, 0, CURLH_HEADER,
                                         -1, &field) != CURLHE_OK)
    {
        return false;
    }
    guint64 number;
    if (g_ascii_string_to_unsigned(field->value, 10, 0, RP_REVISION_MAX_EPOCH,
                                   &number, NULL))
    {
        *epoch = number;
        return true;
    }
    count(platform, RP_COUNTER_PLATFORM_MALFORMED);
    if (now_ns >= platform->next_epoch_warning_ns) {
        platform->next_epoch_warning_ns = now_ns + MIN_EPOCH_WARNING_NS;
        g_warning(
            "the platform's epoch '%.40s' is not a number up to "
            "%" G_GUINT64_FORMAT "; the latest known epoch %" G_GUINT64_FORMAT
            " is used, check the field %s of its "
            "answers",
            field->value, RP_REVISION_MAX_EPOCH, platform->seen_epoch, name);
    }
    return false;
}

static void
report_epoch(struct rp_platform *platform, uint64_t epoch, int64_t now_ns)
{
    uint64_t previous = platform->seen_epoch;
    bool is_first = !platform->has_seen_epoch;
    platform->has_seen_epoch = true;
    platform->seen_epoch = MAX(epoch, previous);
    if (epoch <= previous || is_first) {
        return;
    }
    count(platform, RP_COUNTER_PLATFORM_RESTORES);
    struct rp_event *event =
        rp_event_add(platform->context->events, RP_EVENT_PLATFORM_RESTORED,
                     now_ns, platform->url);
    event->value = (int64_t)epoch;
    rp_event_set_detail(
        event,
        "the platform came back from an older copy of its "
        "data: epoch %" G_GUINT64_FORMAT " after %" G_GUINT64_FORMAT
        "; records up to revision %" G_GUINT64_FORMAT " had been read",
        epoch, previous, rp_revision_counter(platform->read_revision));
}

/* Abandons the position in the records of an earlier epoch: all records are
 * listed again. */
static void
restart_in_epoch(struct rp_platform *platform, uint64_t epoch, int64_t now_ns)
{
    platform->read_epoch = epoch;
    raise_latest_revision(platform, rp_revision_make(epoch, 0), now_ns);
    rp_platform_outage_record_restore(&platform->outage,
                                      platform->latest_epoch_ns);
    if (platform->protocol->restart_listing != NULL) {
        platform->protocol->restart_listing(platform->protocol->data);
    }
    platform->read_revision = 0;
    g_clear_pointer(&platform->listed_keys, g_hash_table_unref);
}

static bool
process_vms(struct rp_platform *platform, long status, int64_t now_ns,
            GError **error)
{
    if (status != 200) {
        g_set_error(error, RP_ERROR, RP_ERROR_PLATFORM,
                    "%s answered with status %ld; check the platform",
                    platform->url, status);
        return false;
    }
    struct rp_vm_list *list = rp_vm_list_parse(
        (const char *)platform->answer->data, platform->answer->len, error);
    if (list == NULL) {
        return false;
    }
    handle_vm_list(platform, list, now_ns);
    rp_vm_list_unref(list);
    return true;
}

static void
process_revision(struct rp_platform *platform, long status, uint64_t epoch,
                 int64_t now_ns)
{
    const struct rp_platform_protocol *protocol = platform->protocol;
    uint64_t counter = protocol->parse_revision(
        protocol->data, (uint32_t)status, (const char *)platform->answer->data,
        platform->answer->len);
    if (counter > 0) {
        raise_latest_revision(platform, rp_revision_make(epoch, counter),
                              now_ns);
    }
}

static bool
process_answer(struct rp_platform *platform, bool *fresh, bool *has_more,
               int64_t now_ns, GError **error)
{
    long status = 0;
    uint64_t epoch = platform->seen_epoch;
    curl_easy_getinfo(platform->easy, CURLINFO_RESPONSE_CODE, &status);
    if (platform->reading == RP_WATCH_READ_VMS) {
        return process_vms(platform, status, now_ns, error);
    }
    if (read_epoch(platform, &epoch, now_ns)) {
        report_epoch(platform, epoch, now_ns);
    }
    if (platform->reading == RP_WATCH_READ_REVISION) {
        process_revision(platform, status, epoch, now_ns);
        return true;
    }
    if (epoch < platform->read_epoch) {
        g_set_error(error, RP_ERROR, RP_ERROR_PLATFORM,
                    "the platform answered with epoch %" G_GUINT64_FORMAT
                    " after %" G_GUINT64_FORMAT
                    "; direct all reads to the restored platform",
                    epoch, platform->read_epoch);
        return false;
    }
    if (platform->has_read && epoch > platform->read_epoch) {
        restart_in_epoch(platform, epoch, now_ns);
        *has_more = true;
        return true;
    }
    struct rp_platform_answer answer;
    const struct rp_platform_protocol *protocol = platform->protocol;
    if (!protocol->parse_answer(protocol->data, (uint32_t)status, epoch,
                                (const char *)platform->answer->data,
                                platform->answer->len, &answer, error))
    {
        return false;
    }
    platform->has_read = true;
    platform->read_epoch = epoch;
    /* Ends an outage before the removals in the answer are timed. */
    rp_platform_outage_record_read(&platform->outage, true, now_ns);
    process_records(platform, &answer, fresh, now_ns);
    *has_more = answer.has_more;
    rp_record_batch_unref(answer.batch);
    rp_record_batch_unref(answer.removed);
    return true;
}

static void
report_reachability(struct rp_platform *platform, const GError *error,
                    int64_t now_ns)
{
    bool is_unreachable = error != NULL;
    if (is_unreachable) {
        count(platform, RP_COUNTER_PLATFORM_READ_FAILURES);
    }
    if (is_unreachable == platform->unreachable) {
        return;
    }
    platform->unreachable = is_unreachable;
    struct rp_event *event = rp_event_add(
        platform->context->events,
        is_unreachable ? RP_EVENT_PLATFORM_LOST : RP_EVENT_PLATFORM_BACK,
        now_ns, platform->url);
    if (is_unreachable) {
        rp_event_set_detail(event, "%s", error->message);
        g_warning("%s", error->message);
    }
}

static void
update_behind(struct rp_platform *platform, int64_t now_ns)
{
    bool behind = platform->peers_differ ||
                  platform->latest_revision > MAX(platform->read_revision,
                                                  platform->accepted_revision);
    rp_watch_set_behind(platform->watch, behind, now_ns);
}

/* On a platform without a list of VMs, the watchers are chosen among the live
 * members. */
static void
set_watchers_from_members(struct rp_platform *platform,
                          const struct rp_member_view *view)
{
    if (platform->protocol->vms_path != NULL) {
        return;
    }
    struct rp_vm_list *list = rp_vm_list_new(0);
    for (uint32_t i = 0; i < view->count; i++) {
        const struct rp_member *member = &view->members[i];
        if (member->info.state != RP_MEMBER_ALIVE) {
            continue;
        }
        struct rp_vm vm = {.entry = true};
        g_strlcpy(vm.id, member->info.id, sizeof(vm.id));
        g_strlcpy(vm.domain, member->info.domain, sizeof(vm.domain));
        rp_vm_list_add(list, &vm);
    }
    rp_watch_set_vms(platform->watch, list);
    rp_vm_list_unref(list);
}

static void
finish_read(struct rp_platform *platform, CURLcode code, int64_t now_ns)
{
    GError *error = NULL;
    bool fresh = false;
    bool has_more = false;
    bool ok = check_answer(platform, code, &error) &&
              process_answer(platform, &fresh, &has_more, now_ns, &error);
    bool read_revision_only = platform->reading == RP_WATCH_READ_REVISION;
    rp_counter_add(&platform->context->counters,
                   RP_COUNTER_PLATFORM_READ_BYTES, platform->answer->len);
    platform->reading = RP_WATCH_READ_NONE;
    platform->needs_new_connection = code != CURLE_OK;
    if (!read_revision_only && !ok) {
        rp_platform_outage_record_read(&platform->outage, false, now_ns);
    }
    if (platform->answer_too_large) {
        platform->current_page_size = MAX(platform->current_page_size / 2, 1);
    }
    else if (ok && !has_more) {
        platform->current_page_size = platform->page_size;
    }
    if (!read_revision_only) {
        report_reachability(platform, error, now_ns);
    }
    g_clear_error(&error);
    rp_watch_finish(platform->watch, ok, fresh, has_more,
                    g_rand_double(platform->context->random), now_ns);
    if (fresh && !has_more) {
        struct rp_platform_freshness body = {now_ns,
                                             platform->latest_revision};
        rp_task_broadcast(platform->task, RP_MSG_PLATFORM_FRESHNESS, &body,
                          sizeof(body));
    }
    update_behind(platform, now_ns);
    start_due_read(platform, now_ns);
}

static void
on_done(CURL *easy, CURLcode result, void *data)
{
    struct rp_platform *platform = data;
    curl_multi_remove_handle(platform->curl.multi, easy);
    finish_read(platform, result, rp_loop_now_ns());
}

/* Continues from the records that peers have sent: the first read watches for
 * changes after their revision. */
static void
use_peer_records(struct rp_platform *platform, uint64_t revision,
                 int64_t now_ns)
{
    const struct rp_platform_protocol *protocol = platform->protocol;
    if (protocol->skip_listing == NULL || revision == 0 ||
        platform->has_read || platform->reading != RP_WATCH_READ_NONE ||
        !protocol->skip_listing(protocol->data))
    {
        return;
    }
    platform->has_read = true;
    platform->read_revision = revision;
    platform->read_epoch = rp_revision_epoch(revision);
    rp_watch_record_peer_records(platform->watch, now_ns);
}

static void
on_message(struct rp_task *task, const struct rp_message *message,
           int64_t now_ns, void *data)
{
    struct rp_platform *platform = data;
    if (message->kind == RP_MSG_PLATFORM_FRESHNESS) {
        const struct rp_platform_freshness *body = message->body;
        raise_latest_revision(platform, body->revision, now_ns);
        rp_watch_record_peer_freshness(platform->watch, body->fresh_ns,
                                       now_ns);
    }
    else if (message->kind == RP_MSG_CONFIG_STATE) {
        const struct rp_config_state *body = message->body;
        raise_latest_revision(platform, body->revision, now_ns);
        platform->accepted_revision =
            MAX(platform->accepted_revision, body->revision);
        if (body->phase != RP_CONFIG_STARTING) {
            use_peer_records(platform, body->revision, now_ns);
        }
    }
    else if (message->kind == RP_MSG_CONFIG_DISAGREEMENT) {
        const struct rp_config_disagreement *body = message->body;
        platform->peers_differ = body->differs;
    }
    else if (message->kind == RP_MSG_MEMBERS) {
        const struct rp_member_message *body = message->body;
        set_watchers_from_members(platform, body->view);
    }
    else if (message->kind == RP_MSG_PAUSE_DETECTED) {
        const struct rp_pause *pause = message->body;
        rp_watch_record_pause(platform->watch, pause->gap_ns);
    }
    else {
        return;
    }
    update_behind(platform, now_ns);
    start_due_read(platform, now_ns);
}

static void
on_timer(struct rp_task *task, uint32_t timer, int64_t now_ns, void *data)
{
    send_due_messages(data, now_ns);
    start_due_read(data, now_ns);
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
    g_ptr_array_unref(platform->delayed);
    if (platform->listed_keys != NULL) {
        g_hash_table_unref(platform->listed_keys);
    }
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
    /* Shows the platform's operators which entry VM reads. */
    char *user_agent = g_strdup_printf("rosemarypulley/" RP_VERSION " %s",
                                       platform->context->identity.id);
    curl_easy_setopt(easy, CURLOPT_USERAGENT, user_agent);
    g_free(user_agent);
    platform->easy = easy;
}

/* Adds the task "platform" to the kernel of a loop, which owns it. The first
 * read starts at now_ns. Returns NULL with RP_ERROR_SETTING set when there is
 * no URL, or with the error of rp_kernel_add_task. */
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
    platform->protocol = settings->protocol == NULL
                             ? &rp_platform_protocol_native
                             : settings->protocol;
    platform->watch = rp_watch_new(platform->context->identity.id, now_ns);
    if (platform->protocol->vms_path == NULL) {
        rp_watch_set_no_vm_list(platform->watch, settings->is_seed);
        rp_watch_set_seed_rank(platform->watch, settings->seed_rank);
        rp_watch_delay_first_read(platform->watch,
                                  now_ns + settings->first_read_delay_ns);
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
    platform->current_page_size = platform->page_size;
    platform->max_answer_bytes = settings->max_answer_bytes > 0
                                     ? settings->max_answer_bytes
                                     : DEFAULT_MAX_ANSWER_BYTES;
    platform->answer = g_byte_array_new();
    platform->delayed = g_ptr_array_new_with_free_func(free_delayed_message);
    set_up_curl(platform, rp_loop_ev(loop));
    rp_task_set_timer(task, 0, now_ns);
    return platform;
}
