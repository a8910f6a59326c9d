#include "config_task.h"

#include <string.h>
#include <xxhash.h>

#include "config_status.h"
#include "invariant.h"
#include "readiness.h"
#include "snapshot.h"
#include "status.h"
#include "target_hint.h"
#include "vm_list.h"

/* Values above this are not pushed; heartbeat digests spread them on demand,
 * so that no neighbour gets a large value several times. */
#define SPREAD_MAX_BYTES 524288u
/* Part of an answer to a peer, and the parts of one answer: the high-water
 * mark of a peer's socket is 64 messages. */
#define ANSWER_BATCH_BYTES 65536u
#define ANSWER_MAX_BATCHES 32u
/* Refusals and conflicts already reported. */
#define REPORTED_LIMIT 256u
/* Digests differ for a moment while a new record spreads: small records are
 * known everywhere within some milliseconds, and a peer is heard at least
 * twice a second. */
#define SETTLE_NS INT64_C(300000000)
/* After so long without a peer that agrees, the platform is read as well. */
#define DIFFER_NS INT64_C(700000000)
#define WANT_TIMEOUT_NS INT64_C(2000000000)
#define RESEND_NS INT64_C(100000000)
/* Hints sent for one list of VMs; a heartbeat holds 16. */
#define LEAVING_HINTS 64u

/* Changes that come within this time are built into one snapshot. A build
 * costs milliseconds on a small VM, and a series of changes comes as a message
 * for each: those that waited during a build are all in the next one. */
#define BUILD_DELAY_NS INT64_C(10000000)

enum config_timer { TIMER_PHASE, TIMER_RESEND, TIMER_BUILD };

struct rp_config_task {
    struct rp_task *task;
    struct rp_context *context;
    struct rp_record_set *set;
    struct rp_snapshot *snapshot; /* in force; NULL until one is held */
    struct rp_readiness *readiness;
    enum rp_config_phase phase;
    GHashTable *reported; /* digests of refusals and conflicts */
    struct rp_config_refusals *refusals;
    GHashTable *leaving;         /* addresses of targets, by the list of VMs */
    GPtrArray *warnings;         /* about the snapshot in force; may be NULL */
    int64_t agreed_ns;           /* last time that a peer held the same */
    bool differs;                /* as told to the platform task */
    bool build_due;              /* TIMER_BUILD is set */
    char want_peer[RP_ID_BYTES]; /* of the comparison that is under way */
    uint32_t want_part;
    int64_t want_ns;
};

/* What one batch did. */
struct batch_result {
    bool records_changed;  /* the snapshot must be built anew */
    bool revision_changed; /* peers must hear of it */
    struct rp_record_batch *spread;
};

/* Releases the reference in the body of a message that carries records. */
void
rp_config_records_release(void *body)
{
    struct rp_config_records *records = body;
    rp_record_batch_unref(records->batch);
}

/* Sends records to a task. The batch gains a reference for the time of the
 * message; the caller keeps its own. Returns false when the mailbox is full
 * or to is NULL. */
bool
rp_config_records_send(struct rp_task *from, struct rp_task *to,
                       enum rp_message_kind kind,
                       struct rp_record_batch *batch, const char *peer,
                       uint32_t part, bool last)
{
    struct rp_config_records body = {
        .batch = rp_record_batch_ref(batch), .part = part, .last = last};
    g_strlcpy(body.peer, peer, sizeof(body.peer));
    if (rp_task_send_owned(from, to, kind, &body, sizeof(body),
                           rp_config_records_release))
    {
        return true;
    }
    rp_record_batch_unref(batch);
    return false;
}

/* Releases the reference in the body of RP_MSG_PLATFORM_LISTING. */
void
rp_config_listing_release(void *body)
{
    struct rp_config_listing *listing = body;
    g_hash_table_unref(listing->keys);
}

static void
count(struct rp_config_task *config, enum rp_counter counter)
{
    rp_counter_add(&config->context->counters, counter, 1);
}

/* Returns whether this value is reported for the first time. The same value
 * is read or sent again many times. */
static bool
report_once(struct rp_config_task *config, const char *key, uint64_t content)
{
    uint64_t digest = XXH3_64bits_withSeed(key, strlen(key), content);
    if (g_hash_table_contains(config->reported, &digest)) {
        return false;
    }
    if (g_hash_table_size(config->reported) >= REPORTED_LIMIT) {
        g_hash_table_remove_all(config->reported);
    }
    g_hash_table_add(config->reported, g_memdup2(&digest, sizeof(digest)));
    return true;
}

static void
report_refusal(struct rp_config_task *config, const char *key,
               const struct rp_record_offer_result *result,
               const GError *error, int64_t now_ns)
{
    rp_config_refusals_put(config->refusals, key, error->message);
    if (!report_once(config, key, result->offered.content)) {
        return;
    }
    count(config, RP_COUNTER_RECORDS_REFUSED);
    struct rp_event *event = rp_event_add(
        config->context->events, RP_EVENT_RECORD_REFUSED, now_ns, key);
    event->value = (int64_t)result->offered.revision;
    rp_event_set_detail(event, "%s", error->message);
    g_warning("%s; the version in force stays", error->message);
}

static void
report_conflict(struct rp_config_task *config, const char *key,
                const struct rp_record_offer_result *result, int64_t now_ns)
{
    if (!report_once(config, key, result->offered.content)) {
        return;
    }
    bool wins = result->verdict == RP_RECORD_ACCEPTED;
    count(config, RP_COUNTER_RECORDS_CONFLICTING);
    struct rp_event *event = rp_event_add(
        config->context->events, RP_EVENT_RECORD_CONFLICT, now_ns, key);
    event->value = result->offered.version;
    rp_event_set_detail(event,
                        "version %" G_GINT64_FORMAT
                        " was published twice; revision %" G_GUINT64_FORMAT
                        " is in force, publish a greater version",
                        result->offered.version,
                        wins ? result->offered.revision
                             : result->before.revision);
}

static void
report_accepted(struct rp_config_task *config, const char *key,
                const struct rp_record_offer_result *result, const char *peer,
                int64_t now_ns)
{
    count(config, RP_COUNTER_RECORDS_ACCEPTED);
    rp_config_refusals_remove(config->refusals, key);
    struct rp_event *event = rp_event_add(
        config->context->events, RP_EVENT_RECORD_ACCEPTED, now_ns, key);
    event->value = result->offered.version;
    rp_event_set_detail(event,
                        "version %" G_GINT64_FORMAT
                        " revision %" G_GUINT64_FORMAT "%s from %s",
                        result->offered.version, result->offered.revision,
                        result->retired ? " (retired)" : "",
                        peer[0] == '\0' ? "the platform" : peer);
}

/* I7: what a key had in force before is never greater than what it has now,
 * and no key is forgotten. Compares on its own, so that a fault in the set's
 * comparison shows. */
static void
check_monotonic(struct rp_config_task *config, const char *key,
                const struct rp_record_offer_result *result,
                uint32_t keys_before, int64_t now_ns)
{
    const struct rp_record_order *before = &result->before;
    struct rp_record_order now = {0};
    bool known = rp_record_set_find(config->set, key, &now, NULL);
    bool same_version =
        now.version == before->version && now.revision >= before->revision;
    bool holds = (before->version == 0 || known) &&
                 (now.version > before->version || same_version) &&
                 rp_record_set_count(config->set) >= keys_before;
    rp_invariant_check(config->context, RP_INVARIANT_CONFIG_MONOTONIC, holds,
                       now_ns, key);
}

static void
offer_item(struct rp_config_task *config, const struct rp_record_item *item,
           const char *peer, int64_t now_ns, struct batch_result *batch)
{
    GError *error = NULL;
    struct rp_record_offer_result result;
    uint32_t keys_before = rp_record_set_count(config->set);
    rp_record_set_offer(config->set, item, &result, &error);
    check_monotonic(config, item->key, &result, keys_before, now_ns);
    if (result.conflict) {
        report_conflict(config, item->key, &result, now_ns);
    }
    switch (result.verdict) {
    case RP_RECORD_ACCEPTED:
        report_accepted(config, item->key, &result, peer, now_ns);
        batch->records_changed = true;
        break;
    case RP_RECORD_RENEWED:
        batch->revision_changed = true;
        break;
    case RP_RECORD_OLDER:
        count(config, RP_COUNTER_RECORDS_OLDER);
        return;
    case RP_RECORD_REFUSED:
        report_refusal(config, item->key, &result, error, now_ns);
        g_error_free(error);
        return;
    case RP_RECORD_KNOWN:
        return;
    }
    if (g_bytes_get_size(item->value) <= SPREAD_MAX_BYTES) {
        rp_record_batch_add(batch->spread, item->key, item->revision,
                            item->value);
    }
}

static void
retain_snapshot(const void *body)
{
    const struct rp_snapshot_message *message = body;
    rp_snapshot_ref(message->snapshot);
}

static void
send_snapshot(struct rp_config_task *config, int64_t now_ns)
{
    if (config->snapshot == NULL) {
        return;
    }
    struct rp_snapshot_message body = {config->snapshot,
                                       config->phase != RP_CONFIG_STARTING};
    if (!rp_task_broadcast_owned(config->task, RP_MSG_SNAPSHOT, &body,
                                 sizeof(body), retain_snapshot,
                                 rp_snapshot_message_release))
    {
        count(config, RP_COUNTER_CONFIG_SEND_RETRIES);
        rp_task_set_timer(config->task, TIMER_RESEND, now_ns + RESEND_NS);
    }
}

static void
send_state(struct rp_config_task *config)
{
    struct rp_counters *counters = &config->context->counters;
    struct rp_config_state state = {
        .phase = config->phase,
        .digest = rp_record_set_digest(config->set),
        .revision = rp_record_set_revision(config->set),
        .keys = rp_record_set_count(config->set),
        .retired_keys = rp_record_set_retired_count(config->set),
        .refused =
            (uint32_t)rp_counter_get(counters, RP_COUNTER_RECORDS_REFUSED),
    };
    rp_counter_set(counters, RP_COUNTER_CONFIG_REVISION, state.revision);
    rp_counter_set(counters, RP_COUNTER_CONFIG_KEYS, state.keys);
    rp_counter_set(counters, RP_COUNTER_CONFIG_RETIRED_KEYS,
                   state.retired_keys);
    rp_counter_set(counters, RP_COUNTER_CONFIG_BYTES,
                   rp_record_set_bytes(config->set));
    rp_counter_set(counters, RP_COUNTER_CONFIG_PHASE, state.phase);
    rp_task_broadcast(config->task, RP_MSG_CONFIG_STATE, &state,
                      sizeof(state));
}

static void
report_warnings(struct rp_config_task *config, const GPtrArray *warnings,
                int64_t now_ns)
{
    rp_counter_set(&config->context->counters, RP_COUNTER_CONFIG_WARNINGS,
                   warnings->len);
    for (guint i = 0; i < warnings->len; i++) {
        const char *warning = g_ptr_array_index(warnings, i);
        if (report_once(config, warning, 0)) {
            struct rp_event *event =
                rp_event_add(config->context->events, RP_EVENT_CONFIG_WARNING,
                             now_ns, "config");
            rp_event_set_detail(event, "%s", warning);
        }
    }
}

static void
build_snapshot(struct rp_config_task *config, int64_t now_ns)
{
    GPtrArray *warnings = g_ptr_array_new_with_free_func(g_free);
    struct rp_snapshot *snapshot =
        rp_record_set_build(config->set, config->leaving, warnings);
    rp_invariant_check(config->context, RP_INVARIANT_CONFIG_MONOTONIC,
                       config->snapshot == NULL ||
                           rp_snapshot_revision(snapshot) >=
                               rp_snapshot_revision(config->snapshot),
                       now_ns, "snapshot revision");
    rp_snapshot_unref(config->snapshot);
    config->snapshot = snapshot;
    report_warnings(config, warnings, now_ns);
    g_clear_pointer(&config->warnings, g_ptr_array_unref);
    config->warnings = warnings;
}

static bool
update_phase(struct rp_config_task *config, int64_t now_ns)
{
    static const char *const names[] = {"starting", "provisional", "in force"};
    enum rp_config_phase phase = rp_readiness_phase(config->readiness, now_ns);
    rp_task_set_timer(config->task, TIMER_PHASE,
                      rp_readiness_due_ns(config->readiness));
    if (phase == config->phase) {
        return false;
    }
    config->phase = phase;
    struct rp_event *event =
        rp_event_add(config->context->events, RP_EVENT_CONFIG_PHASE, now_ns,
                     config->context->identity.id);
    event->value = phase;
    rp_event_set_detail(event, "configuration is %s", names[phase]);
    return true;
}

/* Builds, sends and announces what changed. */
static void
publish(struct rp_config_task *config, bool records_changed,
        bool revision_changed, int64_t now_ns)
{
    bool phase_changed = update_phase(config, now_ns);
    bool first =
        config->snapshot == NULL && config->phase != RP_CONFIG_STARTING;
    bool changed = records_changed || revision_changed;
    if (changed && !first && !config->build_due) {
        config->build_due = true;
        rp_task_set_timer(config->task, TIMER_BUILD, now_ns + BUILD_DELAY_NS);
    }
    if (first) {
        build_snapshot(config, now_ns);
    }
    if (phase_changed || first) {
        send_snapshot(config, now_ns);
        send_state(config);
    }
}

static void
build_changed(struct rp_config_task *config, int64_t now_ns)
{
    config->build_due = false;
    if (config->snapshot == NULL) {
        return; /* not yet ready to hold one; all is built then */
    }
    build_snapshot(config, now_ns);
    send_snapshot(config, now_ns);
    send_state(config);
}

/* An answer counts as whole when no part of it was lost on the way. */
static void
take_part(struct rp_config_task *config,
          const struct rp_config_records *records)
{
    if (strcmp(records->peer, config->want_peer) != 0 ||
        records->part != config->want_part)
    {
        return;
    }
    config->want_part++;
    if (records->last) {
        config->want_peer[0] = '\0';
        rp_readiness_record_peer_sync(config->readiness, records->peer);
    }
}

static void
take_records(struct rp_config_task *config,
             const struct rp_config_records *records, bool from_platform,
             int64_t now_ns)
{
    struct batch_result result = {.spread = rp_record_batch_new()};
    for (uint32_t i = 0; i < rp_record_batch_count(records->batch); i++) {
        offer_item(config, rp_record_batch_get(records->batch, i),
                   records->peer, now_ns, &result);
    }
    if (from_platform && records->last) {
        rp_readiness_record_platform_read(config->readiness);
    }
    if (!from_platform) {
        take_part(config, records);
    }
    bool was_ready = config->phase != RP_CONFIG_STARTING;
    publish(config, result.records_changed, result.revision_changed, now_ns);
    /* What a starting VM reads, the others have. */
    bool pushed = !from_platform && records->part == RP_CONFIG_PART_PUSHED;
    if (was_ready && !pushed && rp_record_batch_count(result.spread) > 0) {
        rp_config_records_send(
            config->task,
            rp_kernel_find_task(rp_task_kernel(config->task), "gossip"),
            RP_MSG_CONFIG_PUSH, result.spread, records->peer, 0, false);
    }
    rp_record_batch_unref(result.spread);
}

static void
send_want(struct rp_config_task *config, const char *peer, int64_t now_ns)
{
    struct rp_config_request want = {0};
    g_strlcpy(want.peer, peer, sizeof(want.peer));
    rp_record_set_buckets(config->set, want.buckets);
    g_strlcpy(config->want_peer, peer, sizeof(config->want_peer));
    config->want_ns = now_ns;
    config->want_part = 0;
    count(config, RP_COUNTER_CONFIG_SYNC_REQUESTS);
    rp_task_send(config->task,
                 rp_kernel_find_task(rp_task_kernel(config->task), "gossip"),
                 RP_MSG_CONFIG_SYNC_REQUEST, &want, sizeof(want));
}

/* Tells the platform task when no peer has held the same for a while, so that
 * it reads for itself, and when one does again. */
static void
tell_platform(struct rp_config_task *config, int64_t now_ns)
{
    struct rp_config_differs body = {now_ns - config->agreed_ns > DIFFER_NS};
    if (body.differs == config->differs) {
        return;
    }
    config->differs = body.differs;
    rp_task_send(config->task,
                 rp_kernel_find_task(rp_task_kernel(config->task), "platform"),
                 RP_MSG_CONFIG_DIFFERS, &body, sizeof(body));
}

/* A peer told its phase and digest. An equal digest means that its state is
 * held; else one comparison at a time is asked for. A starting peer has
 * nothing in force yet, and is asked later if that differs. */
static void
hear_peer(struct rp_config_task *config, const struct rp_config_peer *peer,
          int64_t now_ns)
{
    rp_readiness_record_peer_phase(config->readiness, peer->id, peer->phase,
                                   now_ns);
    bool equal = peer->digest == rp_record_set_digest(config->set);
    if (equal || config->agreed_ns == 0) {
        config->agreed_ns = now_ns;
    }
    tell_platform(config, now_ns);
    if (equal && peer->phase == RP_CONFIG_IN_FORCE) {
        rp_readiness_record_peer_sync(config->readiness, peer->id);
    }
    publish(config, false, false, now_ns);
    bool asking = config->want_peer[0] != '\0' &&
                  now_ns - config->want_ns < WANT_TIMEOUT_NS;
    /* A peer with a later revision is ahead; digests that differ otherwise may
     * agree in a moment. Later small records may overtake a large one, so that
     * a revision that is not later proves nothing. */
    bool settling = config->phase != RP_CONFIG_STARTING &&
                    peer->revision <= rp_record_set_revision(config->set) &&
                    now_ns - config->agreed_ns < SETTLE_NS;
    if (!equal && !asking && !settling && peer->phase != RP_CONFIG_STARTING) {
        send_want(config, peer->id, now_ns);
    }
}

/* Answers a peer's comparison with the records that it may lack. An answer
 * that does not fit is cut off without its last part, and the peer asks
 * again for less. */
static void
answer_want(struct rp_config_task *config,
            const struct rp_config_request *want)
{
    struct rp_task *gossip =
        rp_kernel_find_task(rp_task_kernel(config->task), "gossip");
    GPtrArray *batches =
        rp_record_set_export(config->set, want->buckets, ANSWER_BATCH_BYTES);
    if (batches->len == 0) {
        g_ptr_array_add(batches, rp_record_batch_new());
    }
    for (guint i = 0; i < MIN(batches->len, ANSWER_MAX_BATCHES); i++) {
        rp_config_records_send(config->task, gossip, RP_MSG_CONFIG_RECORDS,
                               g_ptr_array_index(batches, i), want->peer, i,
                               i + 1 == batches->len);
    }
    g_ptr_array_unref(batches);
}

/* Tells the peers, whose list may be older, of targets that leave. */
static void
send_leaving_hints(struct rp_config_task *config, int64_t now_ns)
{
    struct rp_task *gossip =
        rp_kernel_find_task(rp_task_kernel(config->task), "gossip");
    uint32_t left = LEAVING_HINTS;
    for (uint32_t i = 0; i < rp_snapshot_service_count(config->snapshot); i++)
    {
        const struct rp_service *service =
            rp_snapshot_get_service(config->snapshot, i);
        for (uint32_t j = 0; j < service->target_count && left > 0; j++) {
            const struct rp_target *target = &service->targets[j];
            if (!target->draining ||
                !g_hash_table_contains(config->leaving, target->address))
            {
                continue;
            }
            struct rp_target_hint hint = {.source = RP_HINT_VM_LIST,
                                          .kind = RP_HINT_DRAINING,
                                          .seen_ns = now_ns};
            g_strlcpy(hint.service, service->name, sizeof(hint.service));
            g_strlcpy(hint.address, target->address, sizeof(hint.address));
            rp_task_send(config->task, gossip, RP_MSG_TARGET_HINT, &hint,
                         sizeof(hint));
            left--;
        }
    }
}

/* Replaces the addresses of leaving targets and returns whether they have
 * changed. */
static bool
replace_leaving(struct rp_config_task *config, const struct rp_vm_list *list)
{
    GHashTable *leaving =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    bool changed = false;
    for (uint32_t i = 0; i < rp_vm_list_count(list); i++) {
        const struct rp_vm *vm = rp_vm_list_get(list, i);
        if (!vm->entry && vm->leaving) {
            changed = !g_hash_table_contains(config->leaving, vm->address) ||
                      changed;
            g_hash_table_add(leaving, g_strdup(vm->address));
        }
    }
    changed = changed ||
              g_hash_table_size(leaving) != g_hash_table_size(config->leaving);
    g_hash_table_unref(config->leaving);
    config->leaving = leaving;
    return changed;
}

static void
take_vms(struct rp_config_task *config, struct rp_vm_list *list,
         int64_t now_ns)
{
    bool changed = replace_leaving(config, list);
    rp_readiness_set_vms(config->readiness, list);
    if (changed && config->snapshot != NULL) {
        build_snapshot(config, now_ns);
        send_snapshot(config, now_ns);
    }
    publish(config, false, false, now_ns);
    if (config->snapshot != NULL) {
        send_leaving_hints(config, now_ns);
    }
}

struct missing_targets {
    const struct rp_config_listing *listing;
    struct rp_record_batch *retired;
};

static void
retire_missing(const struct rp_record *record,
               const struct rp_record_order *order, void *data)
{
    struct missing_targets *missing = data;
    if (record->kind != RP_RECORD_TARGET || record->retired ||
        order->revision > missing->listing->revision ||
        g_hash_table_contains(missing->listing->keys, record->key))
    {
        return;
    }
    char *text = rp_record_format_retired(record, missing->listing->revision);
    GBytes *value = g_bytes_new_take(text, strlen(text));
    rp_record_batch_add(missing->retired, record->key,
                        missing->listing->revision, value);
    g_bytes_unref(value);
}

/* Retires the targets that are not in a listing of all there is. */
static void
take_listing(struct rp_config_task *config,
             const struct rp_config_listing *listing, int64_t now_ns)
{
    struct missing_targets missing = {listing, rp_record_batch_new()};
    rp_record_set_foreach(config->set, retire_missing, &missing);
    if (rp_record_batch_count(missing.retired) > 0) {
        struct rp_config_records records = {.batch = missing.retired};
        take_records(config, &records, true, now_ns);
    }
    rp_record_batch_unref(missing.retired);
}

static void
answer_status(struct rp_config_task *config, const struct rp_message *want)
{
    uint64_t age_ms = rp_counter_get(&config->context->counters,
                                     RP_COUNTER_PLATFORM_FRESHNESS_MS);
    rp_status_reply(config->task, want, "config",
                    rp_config_status(config->set, config->phase,
                                     config->refusals, config->warnings,
                                     (int64_t)age_ms));
}

static void
on_message(struct rp_task *task, const struct rp_message *message,
           int64_t now_ns, void *data)
{
    struct rp_config_task *config = data;
    switch (message->kind) {
    case RP_MSG_PLATFORM_RECORDS:
        take_records(config, message->body, true, now_ns);
        break;
    case RP_MSG_PLATFORM_LISTING:
        take_listing(config, message->body, now_ns);
        break;
    case RP_MSG_CONFIG_RECORDS:
        take_records(config, message->body, false, now_ns);
        break;
    case RP_MSG_CONFIG_PEER_STATE:
        hear_peer(config, message->body, now_ns);
        break;
    case RP_MSG_CONFIG_SYNC_REQUEST:
        answer_want(config, message->body);
        break;
    case RP_MSG_STATUS_REQUEST:
        answer_status(config, message);
        break;
    case RP_MSG_PLATFORM_VMS: {
        const struct rp_vm_list_message *vms = message->body;
        take_vms(config, vms->list, now_ns);
        break;
    }
    default:
        break;
    }
}

static void
on_timer(struct rp_task *task, uint32_t timer, int64_t now_ns, void *data)
{
    struct rp_config_task *config = data;
    if (timer == TIMER_RESEND) {
        send_snapshot(config, now_ns);
        return;
    }
    if (timer == TIMER_BUILD) {
        build_changed(config, now_ns);
        return;
    }
    publish(config, false, false, now_ns);
}

static void
on_remove(struct rp_task *task, void *data)
{
    struct rp_config_task *config = data;
    rp_snapshot_unref(config->snapshot);
    rp_record_set_free(config->set);
    rp_readiness_free(config->readiness);
    g_hash_table_unref(config->reported);
    rp_config_refusals_free(config->refusals);
    g_hash_table_unref(config->leaving);
    g_clear_pointer(&config->warnings, g_ptr_array_unref);
    g_free(config);
}

static const struct rp_task_ops config_ops = {on_message, on_timer, on_remove};

/* Adds the task "config" to a kernel, which owns it. now_ns is the start of
 * this VM's boot wait of boot_wait_ns. Returns NULL with the error of
 * rp_kernel_add_task. */
struct rp_config_task *
rp_config_task_add(struct rp_kernel *kernel, int64_t boot_wait_ns,
                   int64_t now_ns, GError **error)
{
    struct rp_config_task *config = g_new0(struct rp_config_task, 1);
    struct rp_task *task =
        rp_kernel_add_task(kernel, "config", &config_ops, config, error);
    if (task == NULL) {
        g_free(config);
        return NULL;
    }
    config->task = task;
    config->context = rp_kernel_context(kernel);
    config->set = rp_record_set_new();
    config->readiness =
        rp_readiness_new(config->context->identity.id, boot_wait_ns, now_ns);
    config->refusals = rp_config_refusals_new();
    config->leaving =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    config->reported =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
    rp_task_set_timer(task, TIMER_PHASE,
                      rp_readiness_due_ns(config->readiness));
    return config;
}

/* Returns the accepted records, for status pages and tests. */
const struct rp_record_set *
rp_config_task_set(const struct rp_config_task *config)
{
    return config->set;
}

/* Returns how far this VM is. */
enum rp_config_phase
rp_config_task_phase(const struct rp_config_task *config)
{
    return config->phase;
}
