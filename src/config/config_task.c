#include "config_task.h"

#include <string.h>
#include <xxhash.h>

#include "config_status.h"
#include "invariant.h"
#include "readiness.h"
#include "revision.h"
#include "snapshot.h"
#include "status.h"
#include "target_hint.h"
#include "vm_list.h"

/* Larger values are not pushed: peers request them when the digests in
 * heartbeats differ, so that no peer receives a large value several times. */
#define MAX_SPREAD_VALUE_BYTES 524288u
/* Size of one part of an answer to a peer, and the number of parts; the
 * high-water mark of a peer's socket is 64 messages. */
#define ANSWER_BATCH_BYTES 65536u
#define MAX_ANSWER_BATCHES 32u
/* Refusals, conflicts and warnings that are remembered as reported. */
#define MAX_REPORTED_DIGESTS 256u
/* Digests differ briefly while a new record spreads, so a difference must last
 * this long before a peer is queried. Small records reach all peers within
 * some milliseconds, and each peer reports its digest at least twice a second.
 */
#define DIGEST_SETTLE_NS INT64_C(300000000)
/* Groups of VMs may each agree among themselves. A peer with the same revision
 * and another digest is therefore queried when this VM's own digest has been
 * the same for this long, twice the interval of heartbeats. */
#define STABLE_DIGEST_NS INT64_C(1000000000)
/* If no peer has had the same digest for this long, this VM reads the platform
 * itself. */
#define MAX_DISAGREEMENT_NS INT64_C(700000000)
#define REQUEST_TIMEOUT_NS INT64_C(2000000000)
#define SNAPSHOT_RESEND_NS INT64_C(100000000)
/* Hints sent for one list of VMs; a heartbeat holds 16. */
#define MAX_LEAVING_HINTS 64u

/* Changes that arrive within this time are built into one snapshot. A build
 * takes milliseconds on a small VM, and each change of a series arrives in a
 * message of its own; those queued during a build are all in the next one. */
#define BUILD_DELAY_NS INT64_C(10000000)

enum config_timer { TIMER_PHASE, TIMER_RESEND, TIMER_BUILD };

struct rp_config_task {
    struct rp_task *task;
    struct rp_context *context;
    struct rp_record_set *set;
    struct rp_snapshot *snapshot; /* in force; NULL before the first one */
    struct rp_readiness *readiness;
    enum rp_config_phase phase;
    GHashTable *reported_digests; /* of refusals, conflicts and warnings */
    struct rp_config_refusals *refusals;
    GHashTable *leaving_addresses;    /* of targets, from the list of VMs */
    struct rp_config_listing listing; /* latest one; keys may be NULL */
    bool has_unlisted;   /* a peer sent a target that the listing retires */
    GPtrArray *warnings; /* about the snapshot in force; may be NULL */
    int64_t last_agreement_ns; /* last time that a peer had the same digest */
    uint64_t own_digest;       /* when a peer's was last compared */
    int64_t own_digest_since_ns;
    bool peers_differ;              /* as last reported to the platform task */
    bool build_scheduled;           /* TIMER_BUILD is set */
    char request_peer[RP_ID_BYTES]; /* of the pending request; "" for none */
    uint32_t expected_part;
    int64_t request_ns;
    /* Until then a starting VM requests records from fresh peers only. */
    int64_t fresh_peers_until_ns;
};

/* Changes made by one batch. */
struct batch_result {
    bool records_changed;
    bool revision_changed; /* of a record whose content is unchanged */
    struct rp_record_batch *evacuations; /* to spread before the others */
    struct rp_record_batch *to_spread;
};

static bool
is_evacuation_key(const char *key)
{
    return g_str_has_prefix(key, "evacuation/");
}

/* Releases the reference in the body of a message that carries records. */
void
rp_config_records_release(void *body)
{
    struct rp_config_records *records = body;
    rp_record_batch_unref(records->batch);
}

/* Sends records to a task. The message holds a reference of the batch; the
 * caller keeps its own. Returns false when the mailbox is full or to is NULL.
 */
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

/* Returns whether this value was not reported before, and records it as
 * reported: the same value is read and received many times. */
static bool
report_once(struct rp_config_task *config, const char *key, uint64_t content)
{
    uint64_t digest = XXH3_64bits_withSeed(key, strlen(key), content);
    if (g_hash_table_contains(config->reported_digests, &digest)) {
        return false;
    }
    if (g_hash_table_size(config->reported_digests) >= MAX_REPORTED_DIGESTS) {
        g_hash_table_remove_all(config->reported_digests);
    }
    g_hash_table_add(config->reported_digests,
                     g_memdup2(&digest, sizeof(digest)));
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
    g_warning("%s; the version in force is unchanged", error->message);
}

static void
report_conflict(struct rp_config_task *config, const char *key,
                const struct rp_record_offer_result *result, int64_t now_ns)
{
    if (!report_once(config, key, result->offered.content)) {
        return;
    }
    bool is_accepted = result->verdict == RP_RECORD_ACCEPTED;
    count(config, RP_COUNTER_RECORDS_CONFLICTING);
    struct rp_event *event = rp_event_add(
        config->context->events, RP_EVENT_RECORD_CONFLICT, now_ns, key);
    event->value = result->offered.version;
    char revision[RP_REVISION_TEXT_BYTES];
    rp_revision_format(is_accepted ? result->offered.revision
                                   : result->previous.revision,
                       revision);
    rp_event_set_detail(event,
                        "version %" G_GINT64_FORMAT
                        " was published twice; revision %s is in force, "
                        "publish a greater version",
                        result->offered.version, revision);
}

/* Reports a record of a later epoch of the platform that is older than the one
 * in force. */
static void
report_older(struct rp_config_task *config, const char *key,
             const struct rp_record_offer_result *result, const char *peer,
             int64_t now_ns)
{
    const struct rp_record_order *offered = &result->offered;
    const struct rp_record_order *in_force = &result->previous;
    if (rp_revision_epoch(offered->revision) <=
            rp_revision_epoch(in_force->revision) ||
        !report_once(config, key, offered->content ^ offered->revision))
    {
        return;
    }
    char older[RP_REVISION_TEXT_BYTES];
    char newer[RP_REVISION_TEXT_BYTES];
    rp_revision_format(offered->revision, older);
    rp_revision_format(in_force->revision, newer);
    struct rp_event *event = rp_event_add(config->context->events,
                                          RP_EVENT_RECORD_OLDER, now_ns, key);
    event->value = offered->position.sequence;
    rp_event_set_detail(event,
                        "revision %s from %s is older than revision %s in "
                        "force: number %" G_GINT64_FORMAT
                        " of its writer, not after %" G_GINT64_FORMAT,
                        older, peer[0] == '\0' ? "the platform" : peer, newer,
                        offered->position.sequence,
                        in_force->position.sequence);
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
    char revision[RP_REVISION_TEXT_BYTES];
    rp_revision_format(result->offered.revision, revision);
    rp_event_set_detail(
        event, "version %" G_GINT64_FORMAT " revision %s%s from %s",
        result->offered.version, revision, result->retired ? " (retired)" : "",
        peer[0] == '\0' ? "the platform" : peer);
}

/* Returns whether neither the number that the record's writer gave nor the
 * platform's epoch shows that a record is older than the one before. */
static bool
is_newer_in_other_epoch(const struct rp_record_order *current,
                        const struct rp_record_order *before)
{
    const struct rp_record_position *now = &current->position;
    const struct rp_record_position *then = &before->position;
    bool is_unknown = (now->started_ms == 0 && now->sequence == 0) ||
                      (then->started_ms == 0 && then->sequence == 0);
    bool has_passed = now->started_ms > then->started_ms ||
                      (now->started_ms == then->started_ms &&
                       now->sequence > then->sequence);
    if (current->revision < before->revision) {
        return has_passed || (current->retired && !before->retired);
    }
    return is_unknown || current->retired || has_passed ||
           (now->sequence == then->sequence && !before->retired);
}

static bool
is_newer(const struct rp_record_order *current,
         const struct rp_record_order *before)
{
    if (current->epoch_bound &&
        !rp_revision_same_epoch(current->revision, before->revision))
    {
        return is_newer_in_other_epoch(current, before);
    }
    return current->version > before->version ||
           (current->version == before->version &&
            current->revision >= before->revision);
}

/* Invariant I7: the version of a key never decreases, nor does its revision
 * within one version, and no key is removed. Versions that count the changes
 * of the platform are compared within one of its epochs. When the offered
 * value takes the place of the one in force, a known value of a later epoch
 * may in turn replace it. Does not use the functions of the set, so that a
 * fault in them is detected. */
static void
check_monotonic(struct rp_config_task *config, const char *key,
                const struct rp_record_offer_result *result,
                uint32_t keys_before, int64_t now_ns)
{
    const struct rp_record_order *before = &result->previous;
    const struct rp_record_order *offered = &result->offered;
    struct rp_record_order current = {0};
    bool found = rp_record_set_find(config->set, key, &current, NULL);
    bool is_after = is_newer(&current, before) ||
                    (is_newer(offered, before) && is_newer(&current, offered));
    bool is_monotonic = (before->version == 0 || (found && is_after)) &&
                        rp_record_set_count(config->set) >= keys_before;
    rp_invariant_check(config->context, RP_INVARIANT_CONFIG_MONOTONIC,
                       is_monotonic, now_ns, key);
}

/* Returns whether a record is of an earlier epoch of the platform than its
 * latest listing, which lacks it: the platform came back without it. */
static bool
is_unlisted(const struct rp_config_task *config, const char *key,
            uint64_t revision)
{
    return config->listing.keys != NULL &&
           rp_revision_epoch(revision) <
               rp_revision_epoch(config->listing.revision) &&
           !g_hash_table_contains(config->listing.keys, key);
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
        config->has_unlisted = config->has_unlisted ||
                               is_unlisted(config, item->key, item->revision);
        break;
    case RP_RECORD_RENEWED:
        batch->revision_changed = true;
        break;
    case RP_RECORD_KEPT:
        count(config, RP_COUNTER_RECORDS_OLDER);
        report_older(config, item->key, &result, peer, now_ns);
        batch->revision_changed = true;
        break;
    case RP_RECORD_OLDER:
        count(config, RP_COUNTER_RECORDS_OLDER);
        report_older(config, item->key, &result, peer, now_ns);
        return;
    case RP_RECORD_REFUSED:
        report_refusal(config, item->key, &result, error, now_ns);
        g_error_free(error);
        return;
    case RP_RECORD_KNOWN:
        return;
    }
    if (g_bytes_get_size(item->value) <= MAX_SPREAD_VALUE_BYTES) {
        rp_record_batch_add(is_evacuation_key(item->key) ? batch->evacuations
                                                         : batch->to_spread,
                            item->key, item->revision, item->value);
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
        rp_task_set_timer(config->task, TIMER_RESEND,
                          now_ns + SNAPSHOT_RESEND_NS);
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
    rp_counter_set(counters, RP_COUNTER_CONFIG_REVISION,
                   rp_revision_counter(state.revision));
    rp_counter_set(counters, RP_COUNTER_CONFIG_EPOCH,
                   rp_revision_epoch(state.revision));
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

static uint32_t
count_targets(const struct rp_snapshot *snapshot, const char *domain)
{
    uint32_t targets = 0;
    for (uint32_t i = 0; i < rp_snapshot_service_count(snapshot); i++) {
        const struct rp_service *service =
            rp_snapshot_get_service(snapshot, i);
        for (uint32_t j = 0; j < service->target_count; j++) {
            targets += strcmp(service->targets[j].domain, domain) == 0;
        }
    }
    return targets;
}

static void
add_evacuation_event(struct rp_config_task *config, enum rp_event_kind kind,
                     const char *domain, uint32_t targets, int64_t now_ns)
{
    struct rp_event *event =
        rp_event_add(config->context->events, kind, now_ns, domain);
    event->value = targets;
    rp_event_set_detail(event,
                        kind == RP_EVENT_EVACUATION_STARTED
                            ? "%u targets get no calls or probes"
                            : "%u targets may get calls again",
                        targets);
}

/* Adds events for the evacuations that begin or end with a snapshot, and sets
 * the gauge of evacuated targets. before may be NULL. */
static void
report_evacuations(struct rp_config_task *config,
                   const struct rp_snapshot *before,
                   const struct rp_snapshot *after, int64_t now_ns)
{
    uint64_t evacuated = 0;
    for (uint32_t i = 0; i < rp_snapshot_evacuation_count(after); i++) {
        const char *domain = rp_snapshot_get_evacuation(after, i);
        uint32_t targets = count_targets(after, domain);
        evacuated += targets;
        if (before == NULL || !rp_snapshot_is_evacuated(before, domain)) {
            add_evacuation_event(config, RP_EVENT_EVACUATION_STARTED, domain,
                                 targets, now_ns);
        }
    }
    uint32_t count = before == NULL ? 0 : rp_snapshot_evacuation_count(before);
    for (uint32_t i = 0; i < count; i++) {
        const char *domain = rp_snapshot_get_evacuation(before, i);
        if (!rp_snapshot_is_evacuated(after, domain)) {
            add_evacuation_event(config, RP_EVENT_EVACUATION_ENDED, domain,
                                 count_targets(after, domain), now_ns);
        }
    }
    rp_counter_set(&config->context->counters, RP_COUNTER_TARGETS_EVACUATED,
                   evacuated);
}

static void
build_snapshot(struct rp_config_task *config, int64_t now_ns)
{
    GPtrArray *warnings = g_ptr_array_new_with_free_func(g_free);
    struct rp_snapshot *snapshot =
        rp_record_set_build(config->set, config->leaving_addresses, warnings);
    rp_invariant_check(config->context, RP_INVARIANT_CONFIG_MONOTONIC,
                       config->snapshot == NULL ||
                           rp_snapshot_revision(snapshot) >=
                               rp_snapshot_revision(config->snapshot),
                       now_ns, "snapshot revision");
    report_evacuations(config, config->snapshot, snapshot, now_ns);
    rp_snapshot_unref(config->snapshot);
    config->snapshot = snapshot;
    report_warnings(config, warnings, now_ns);
    g_clear_pointer(&config->warnings, g_ptr_array_unref);
    config->warnings = warnings;
}

static bool
update_phase(struct rp_config_task *config, int64_t now_ns)
{
    static const char *const phase_names[] = {"starting", "provisional",
                                              "in force"};
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
    rp_event_set_detail(event, "configuration is %s", phase_names[phase]);
    return true;
}

/* Updates the phase, sends the snapshot and state if they have changed, and
 * schedules the build of a changed snapshot. */
static void
update_and_send(struct rp_config_task *config, bool records_changed,
                bool revision_changed, int64_t now_ns)
{
    bool phase_changed = update_phase(config, now_ns);
    bool is_first_build =
        config->snapshot == NULL && config->phase != RP_CONFIG_STARTING;
    bool changed = records_changed || revision_changed;
    if (changed && !is_first_build && !config->build_scheduled) {
        config->build_scheduled = true;
        rp_task_set_timer(config->task, TIMER_BUILD, now_ns + BUILD_DELAY_NS);
    }
    if (is_first_build) {
        build_snapshot(config, now_ns);
    }
    if (phase_changed || is_first_build) {
        send_snapshot(config, now_ns);
        send_state(config);
    }
}

static void
build_scheduled_snapshot(struct rp_config_task *config, int64_t now_ns)
{
    config->build_scheduled = false;
    if (config->snapshot == NULL) {
        return; /* the first build follows the start and has all changes */
    }
    build_snapshot(config, now_ns);
    send_snapshot(config, now_ns);
    send_state(config);
}

/* An answer is complete when its parts were received in order up to the last.
 */
static void
record_answer_part(struct rp_config_task *config,
                   const struct rp_config_records *records)
{
    if (strcmp(records->peer, config->request_peer) != 0 ||
        records->part != config->expected_part)
    {
        return;
    }
    config->expected_part++;
    if (records->last) {
        config->request_peer[0] = '\0';
        rp_readiness_record_peer_sync(config->readiness, records->peer);
    }
}

static void
send_push(struct rp_config_task *config, struct rp_record_batch *batch,
          const char *peer)
{
    if (rp_record_batch_count(batch) > 0) {
        rp_config_records_send(
            config->task,
            rp_kernel_find_task(rp_task_kernel(config->task), "gossip"),
            RP_MSG_CONFIG_PUSH, batch, peer, 0, false);
    }
}

static void
apply_records(struct rp_config_task *config,
              const struct rp_config_records *records, bool from_platform,
              int64_t now_ns)
{
    struct batch_result result = {.evacuations = rp_record_batch_new(),
                                  .to_spread = rp_record_batch_new()};
    for (uint32_t i = 0; i < rp_record_batch_count(records->batch); i++) {
        offer_item(config, rp_record_batch_get(records->batch, i),
                   records->peer, now_ns, &result);
    }
    if (from_platform && records->last) {
        rp_readiness_record_platform_read(config->readiness);
    }
    if (!from_platform) {
        record_answer_part(config, records);
    }
    bool was_ready = config->phase != RP_CONFIG_STARTING;
    update_and_send(config, result.records_changed, result.revision_changed,
                    now_ns);
    /* A starting VM does not spread what it reads: its peers have it. */
    bool pushed = !from_platform && records->part == RP_CONFIG_PART_PUSHED;
    if (was_ready && !pushed) {
        /* In a batch of their own, evacuations are pushed even if the other
         * records are too large for that. */
        send_push(config, result.evacuations, records->peer);
        send_push(config, result.to_spread, records->peer);
    }
    rp_record_batch_unref(result.evacuations);
    rp_record_batch_unref(result.to_spread);
}

static void
send_request(struct rp_config_task *config, const char *peer, int64_t now_ns)
{
    struct rp_config_sync_request request = {0};
    g_strlcpy(request.peer, peer, sizeof(request.peer));
    rp_record_set_buckets(config->set, request.buckets);
    g_strlcpy(config->request_peer, peer, sizeof(config->request_peer));
    config->request_ns = now_ns;
    config->expected_part = 0;
    count(config, RP_COUNTER_CONFIG_SYNC_REQUESTS);
    rp_task_send(config->task,
                 rp_kernel_find_task(rp_task_kernel(config->task), "gossip"),
                 RP_MSG_CONFIG_SYNC_REQUEST, &request, sizeof(request));
}

/* Notifies the platform task when no peer has had the same digest for
 * MAX_DISAGREEMENT_NS, so that it reads the platform itself, and when one has
 * it again. */
static void
report_disagreement(struct rp_config_task *config, int64_t now_ns)
{
    struct rp_config_disagreement body = {now_ns - config->last_agreement_ns >
                                          MAX_DISAGREEMENT_NS};
    if (body.differs == config->peers_differ) {
        return;
    }
    config->peers_differ = body.differs;
    rp_task_send(config->task,
                 rp_kernel_find_task(rp_task_kernel(config->task), "platform"),
                 RP_MSG_CONFIG_DISAGREEMENT, &body, sizeof(body));
}

/* Returns whether the records of a peer with another digest differ from those
 * of this VM for longer than changes need to spread. */
static bool
is_lasting_difference(struct rp_config_task *config,
                      const struct rp_config_peer_state *peer, int64_t now_ns)
{
    uint64_t digest = rp_record_set_digest(config->set);
    if (digest != config->own_digest) {
        config->own_digest = digest;
        config->own_digest_since_ns = now_ns;
    }
    return peer->revision == rp_record_set_revision(config->set) &&
           now_ns - config->own_digest_since_ns >= STABLE_DIGEST_NS;
}

/* Handles a peer's phase and digest. An equal digest means that both have the
 * same records; otherwise the peer is sent a request, one at a time. Nothing
 * is requested from a starting peer, which has no records in force yet. */
static void
receive_peer_state(struct rp_config_task *config,
                   const struct rp_config_peer_state *peer, int64_t now_ns)
{
    rp_readiness_record_peer_phase(config->readiness, peer->id, peer->phase,
                                   now_ns);
    bool equal = peer->digest == rp_record_set_digest(config->set);
    if (equal || config->last_agreement_ns == 0) {
        config->last_agreement_ns = now_ns;
    }
    report_disagreement(config, now_ns);
    if (equal && peer->phase == RP_CONFIG_IN_FORCE) {
        rp_readiness_record_peer_sync(config->readiness, peer->id);
    }
    update_and_send(config, false, false, now_ns);
    bool request_pending = config->request_peer[0] != '\0' &&
                           now_ns - config->request_ns < REQUEST_TIMEOUT_NS;
    /* A peer with a later revision has records that this VM lacks. Otherwise
     * the digests may only differ until a push arrives, but not for long:
     * later small records may overtake a large one, so that this VM can lack
     * records of a peer with the same or a lower revision. */
    bool is_settling = config->phase != RP_CONFIG_STARTING &&
                       peer->revision <= rp_record_set_revision(config->set) &&
                       now_ns - config->last_agreement_ns < DIGEST_SETTLE_NS &&
                       !is_lasting_difference(config, peer, now_ns);
    /* A peer that is cut off from the platform may still have targets that
     * have left. */
    bool is_stale = config->phase == RP_CONFIG_STARTING && !peer->fresh &&
                    now_ns < config->fresh_peers_until_ns;
    if (!equal && !request_pending && !is_settling && !is_stale &&
        peer->phase != RP_CONFIG_STARTING)
    {
        send_request(config, peer->id, now_ns);
    }
}

/* Sends a peer the records that it may lack. An answer of more than
 * MAX_ANSWER_BATCHES parts is cut off and has no part marked as last; the peer
 * then requests the remaining records, which are fewer. */
static void
answer_request(struct rp_config_task *config,
               const struct rp_config_sync_request *request)
{
    struct rp_task *gossip =
        rp_kernel_find_task(rp_task_kernel(config->task), "gossip");
    GPtrArray *batches = rp_record_set_export(config->set, request->buckets,
                                              ANSWER_BATCH_BYTES);
    if (batches->len == 0) {
        g_ptr_array_add(batches, rp_record_batch_new());
    }
    for (guint i = 0; i < MIN(batches->len, MAX_ANSWER_BATCHES); i++) {
        rp_config_records_send(config->task, gossip, RP_MSG_CONFIG_RECORDS,
                               g_ptr_array_index(batches, i), request->peer, i,
                               i + 1 == batches->len);
    }
    g_ptr_array_unref(batches);
}

/* Sends hints of leaving targets to the peers, whose list of VMs may be older.
 */
static void
send_leaving_hints(struct rp_config_task *config, int64_t now_ns)
{
    struct rp_task *gossip =
        rp_kernel_find_task(rp_task_kernel(config->task), "gossip");
    uint32_t remaining = MAX_LEAVING_HINTS;
    for (uint32_t i = 0; i < rp_snapshot_service_count(config->snapshot); i++)
    {
        const struct rp_service *service =
            rp_snapshot_get_service(config->snapshot, i);
        for (uint32_t j = 0; j < service->target_count && remaining > 0; j++) {
            const struct rp_target *target = &service->targets[j];
            if (!target->draining ||
                !g_hash_table_contains(config->leaving_addresses,
                                       target->address))
            {
                continue;
            }
            struct rp_target_hint hint = {.source = RP_HINT_VM_LIST,
                                          .kind = RP_HINT_DRAINING,
                                          .observed_ns = now_ns};
            g_strlcpy(hint.service, service->name, sizeof(hint.service));
            g_strlcpy(hint.address, target->address, sizeof(hint.address));
            rp_task_send(config->task, gossip, RP_MSG_TARGET_HINT, &hint,
                         sizeof(hint));
            remaining--;
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
            changed = !g_hash_table_contains(config->leaving_addresses,
                                             vm->address) ||
                      changed;
            g_hash_table_add(leaving, g_strdup(vm->address));
        }
    }
    changed = changed || g_hash_table_size(leaving) !=
                             g_hash_table_size(config->leaving_addresses);
    g_hash_table_unref(config->leaving_addresses);
    config->leaving_addresses = leaving;
    return changed;
}

static void
apply_vms(struct rp_config_task *config, struct rp_vm_list *list,
          int64_t now_ns)
{
    bool changed = replace_leaving(config, list);
    rp_readiness_set_vms(config->readiness, list);
    if (changed && config->snapshot != NULL) {
        build_snapshot(config, now_ns);
        send_snapshot(config, now_ns);
    }
    update_and_send(config, false, false, now_ns);
    if (config->snapshot != NULL) {
        send_leaving_hints(config, now_ns);
    }
}

struct retirement {
    const struct rp_record_set *set;
    const struct rp_config_listing *listing;
    struct rp_record_batch *retired;
};

static void
retire_missing(const struct rp_record *record,
               const struct rp_record_order *order, void *data)
{
    struct retirement *missing = data;
    bool is_listed_kind = record->kind == RP_RECORD_TARGET ||
                          record->kind == RP_RECORD_EVACUATION;
    if (!is_listed_kind || record->retired ||
        order->revision > missing->listing->revision ||
        g_hash_table_contains(missing->listing->keys, record->key))
    {
        return;
    }
    uint64_t revision = missing->listing->revision;
    GBytes *value =
        rp_record_set_format_removal(missing->set, record->key, revision);
    rp_record_batch_add(missing->retired, record->key, revision, value);
    g_bytes_unref(value);
}

/* Retires the targets and evacuations that the latest listing of the platform
 * lacks. */
static void
retire_unlisted(struct rp_config_task *config, int64_t now_ns)
{
    config->has_unlisted = false;
    struct retirement missing = {config->set, &config->listing,
                                 rp_record_batch_new()};
    rp_record_set_foreach(config->set, retire_missing, &missing);
    if (rp_record_batch_count(missing.retired) > 0) {
        struct rp_config_records records = {.batch = missing.retired};
        apply_records(config, &records, true, now_ns);
    }
    rp_record_batch_unref(missing.retired);
}

static void
apply_listing(struct rp_config_task *config,
              const struct rp_config_listing *listing, int64_t now_ns)
{
    g_hash_table_ref(listing->keys);
    g_clear_pointer(&config->listing.keys, g_hash_table_unref);
    config->listing = *listing;
    retire_unlisted(config, now_ns);
}

/* Applies records of a peer, which may have targets that the platform lost
 * when it came back from an older copy. */
static void
apply_peer_records(struct rp_config_task *config,
                   const struct rp_config_records *records, int64_t now_ns)
{
    apply_records(config, records, false, now_ns);
    if (config->has_unlisted) {
        retire_unlisted(config, now_ns);
    }
}

/* Returns whether the record in force is of a later epoch of the platform than
 * its removal, which was held back: the restored platform has the entry, and
 * reports when that is removed. */
static bool
is_of_later_epoch(const struct rp_record_set *set,
                  const struct rp_record_item *removal)
{
    struct rp_record_order order;
    return rp_record_set_find(set, removal->key, &order, NULL) &&
           rp_revision_epoch(order.revision) >
               rp_revision_epoch(removal->revision);
}

/* Retires the targets and evacuations that the platform removed. */
static void
apply_removals(struct rp_config_task *config,
               const struct rp_config_records *removals, int64_t now_ns)
{
    struct rp_config_records records = {.batch = rp_record_batch_new()};
    for (uint32_t i = 0; i < rp_record_batch_count(removals->batch); i++) {
        const struct rp_record_item *item =
            rp_record_batch_get(removals->batch, i);
        if (is_of_later_epoch(config->set, item)) {
            continue;
        }
        GBytes *value = rp_record_set_format_removal(config->set, item->key,
                                                     item->revision);
        rp_record_batch_add(records.batch, item->key, item->revision,
                            value == NULL ? item->value : value);
        g_bytes_unref(value);
    }
    apply_records(config, &records, true, now_ns);
    rp_record_batch_unref(records.batch);
}

static void
answer_status(struct rp_config_task *config, const struct rp_message *request)
{
    uint64_t age_ms = rp_counter_get(&config->context->counters,
                                     RP_COUNTER_PLATFORM_FRESHNESS_MS);
    rp_status_reply(config->task, request, "config",
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
        apply_records(config, message->body, true, now_ns);
        break;
    case RP_MSG_PLATFORM_REMOVALS:
        apply_removals(config, message->body, now_ns);
        break;
    case RP_MSG_PLATFORM_LISTING:
        apply_listing(config, message->body, now_ns);
        break;
    case RP_MSG_CONFIG_RECORDS:
        apply_peer_records(config, message->body, now_ns);
        break;
    case RP_MSG_CONFIG_PEER_STATE:
        receive_peer_state(config, message->body, now_ns);
        break;
    case RP_MSG_CONFIG_SYNC_REQUEST:
        answer_request(config, message->body);
        break;
    case RP_MSG_STATUS_REQUEST:
        answer_status(config, message);
        break;
    case RP_MSG_PAUSE_DETECTED:
        /* Calls that waited would be sent by the former snapshot. */
        if (config->build_scheduled) {
            rp_task_cancel_timer(config->task, TIMER_BUILD);
            build_scheduled_snapshot(config, now_ns);
        }
        break;
    case RP_MSG_PLATFORM_VMS: {
        const struct rp_vm_list_message *vms = message->body;
        apply_vms(config, vms->list, now_ns);
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
        build_scheduled_snapshot(config, now_ns);
        return;
    }
    update_and_send(config, false, false, now_ns);
}

static void
on_remove(struct rp_task *task, void *data)
{
    struct rp_config_task *config = data;
    rp_snapshot_unref(config->snapshot);
    rp_record_set_free(config->set);
    rp_readiness_free(config->readiness);
    g_hash_table_unref(config->reported_digests);
    rp_config_refusals_free(config->refusals);
    g_hash_table_unref(config->leaving_addresses);
    g_clear_pointer(&config->warnings, g_ptr_array_unref);
    g_clear_pointer(&config->listing.keys, g_hash_table_unref);
    g_free(config);
}

static const struct rp_task_ops config_ops = {on_message, on_timer, on_remove};

/* Adds the task "config" to a kernel, which owns it. The boot wait lasts
 * boot_wait_ns from now_ns. Returns NULL with the error of rp_kernel_add_task.
 */
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
    config->leaving_addresses =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    config->reported_digests =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
    rp_task_set_timer(task, TIMER_PHASE,
                      rp_readiness_due_ns(config->readiness));
    return config;
}

/* Makes a starting VM request records only from peers that are fresh, until
 * until_ns, when it reads the platform itself. */
void
rp_config_task_require_fresh_peers(struct rp_config_task *config,
                                   int64_t until_ns)
{
    config->fresh_peers_until_ns = until_ns;
}

/* Returns the accepted records, for status pages and tests. */
const struct rp_record_set *
rp_config_task_set(const struct rp_config_task *config)
{
    return config->set;
}

/* Returns the phase of this VM's configuration. */
enum rp_config_phase
rp_config_task_phase(const struct rp_config_task *config)
{
    return config->phase;
}
