#include "gossip.h"

#include <string.h>

#include "error.h"
#include "gossip_internal.h"
#include "msgpack_check.h"
#include "platform.h"
#include "record_batch.h"
#include "status.h"
#include "vm_list.h"
#include "wire.h"

#define TIMER_TICK 0

/* One contact in four heartbeat intervals is tried with an address that may
 * belong to a member that is not known; a member that knows nobody tries in
 * each interval. */
#define CONTACT_TICKS 4
#define FORGET_TICKS 120
#define ASK_TICKS 2
#define ASK_LIMIT 16

/* Answers to one peer are spaced by this, so that a difference that takes
 * time to settle costs little. */
#define ANSWER_NS RP_MEMBER_HEARTBEAT_NS

#define QUIET_NS (2 * RP_MEMBER_HEARTBEAT_NS)
#define OFFSET_PERIOD_NS INT64_C(60000000000)
#define DELAY_MAX_MS 60000
#define MALFORMED_EVENT_NS INT64_C(10000000000)

static const char *const view_readers[] = {"entry", "dispatch", "config",
                                           "prober", "admin"};

static void
publish_members(struct rp_gossip *gossip)
{
    struct rp_member_view *view = rp_member_view_new(gossip->members);
    for (guint i = 0; i < G_N_ELEMENTS(view_readers); i++) {
        struct rp_member_message message = {rp_member_view_ref(view)};
        if (!rp_task_send_owned(
                gossip->task,
                rp_kernel_find_task(gossip->kernel, view_readers[i]),
                RP_MSG_MEMBERS, &message, sizeof(message),
                rp_member_message_release))
        {
            rp_member_message_release(&message);
        }
    }
    rp_member_view_unref(view);
}

static enum rp_event_kind
change_event(const struct rp_member_change *change)
{
    switch (change->state) {
    case RP_MEMBER_LEAVING:
        return RP_EVENT_MEMBER_LEAVING;
    case RP_MEMBER_SUSPECT:
        return RP_EVENT_MEMBER_SUSPECT;
    case RP_MEMBER_DEAD:
        return RP_EVENT_MEMBER_DEAD;
    default:
        return change->is_new ? RP_EVENT_MEMBER_JOINED : RP_EVENT_MEMBER_ALIVE;
    }
}

/* Reports what changed to the time line and to the readers of the view. */
static bool
report_changes(struct rp_gossip *gossip, int64_t now_ns)
{
    struct rp_member_change change;
    bool changed = false;
    while (rp_member_next_change(gossip->members, &change)) {
        struct rp_event *event = rp_event_add(
            gossip->context->events, change_event(&change), now_ns, change.id);
        event->value = (int64_t)change.incarnation;
        rp_event_set_detail(event, "%s, incarnation %" G_GUINT64_FORMAT,
                            rp_member_state_name(change.state),
                            change.incarnation);
        changed = true;
    }
    return changed;
}

static void
set_gauges(struct rp_gossip *gossip)
{
    struct rp_counters *counters = &gossip->context->counters;
    const struct rp_member_table *members = gossip->members;
    rp_counter_set(counters, RP_COUNTER_MEMBERS_ALIVE,
                   rp_member_count(members, RP_MEMBER_ALIVE));
    rp_counter_set(counters, RP_COUNTER_MEMBERS_LEAVING,
                   rp_member_count(members, RP_MEMBER_LEAVING));
    rp_counter_set(counters, RP_COUNTER_MEMBERS_SUSPECT,
                   rp_member_count(members, RP_MEMBER_SUSPECT));
    rp_counter_set(counters, RP_COUNTER_MEMBERS_DEAD,
                   rp_member_count(members, RP_MEMBER_DEAD));
    rp_counter_set(counters, RP_COUNTER_LOCAL_HEALTH,
                   rp_member_local_health(members));
    rp_counter_set(counters, RP_COUNTER_HINTS_POOLED,
                   rp_hint_pool_count(gossip->hints));
}

static gboolean
peer_is_forgotten(gpointer key, gpointer value, gpointer data)
{
    (void)value;
    struct rp_gossip *gossip = data;
    return rp_member_find(gossip->members, key) == NULL;
}

/* Asks the entry VMs of the platform's list in turn what they have in force:
 * one that starts needs the word of all. */
static void
ask_listed(struct rp_gossip *gossip, int64_t now_ns)
{
    const char *addresses[RP_MEMBER_LIMIT];
    uint32_t count =
        rp_member_contacts(gossip->members, addresses, RP_MEMBER_LIMIT);
    for (uint32_t i = 0; i < MIN(count, ASK_LIMIT); i++) {
        rp_gossip_send_heartbeat(gossip, "",
                                 addresses[gossip->next_ask++ % count],
                                 HEARTBEAT_ASK | HEARTBEAT_FULL, now_ns);
    }
}

static void
on_tick(struct rp_gossip *gossip, int64_t now_ns)
{
    char address[RP_ADDRESS_BYTES];
    gossip->ticks++;
    rp_member_tick(gossip->members, now_ns);
    rp_gossip_send_heartbeats(gossip, now_ns);
    rp_gossip_send_probes(gossip, now_ns);
    bool alone = rp_member_count(gossip->members, RP_MEMBER_ALIVE) < 2;
    if ((alone || gossip->ticks % CONTACT_TICKS == 0) &&
        rp_member_next_contact(gossip->members, address))
    {
        rp_gossip_send_heartbeat(gossip, "", address, HEARTBEAT_FULL, now_ns);
    }
    if (gossip->config.phase == RP_CONFIG_STARTING &&
        gossip->ticks % ASK_TICKS == 1)
    {
        ask_listed(gossip, now_ns);
    }
    if (gossip->ticks % FORGET_TICKS == 0) {
        g_hash_table_foreach_remove(gossip->peers, peer_is_forgotten, gossip);
    }
    report_changes(gossip, now_ns);
    publish_members(gossip);
    set_gauges(gossip);
}

static struct gossip_peer *
find_peer(struct rp_gossip *gossip, const char *id)
{
    struct gossip_peer *peer = g_hash_table_lookup(gossip->peers, id);
    if (peer != NULL) {
        return peer;
    }
    if (g_hash_table_size(gossip->peers) >= RP_MEMBER_LIMIT) {
        return NULL;
    }
    peer = g_new0(struct gossip_peer, 1);
    g_strlcpy(peer->id, id, sizeof(peer->id));
    peer->answered_ns = INT64_MIN / 2;
    peer->least_offset_ms = INT64_MAX;
    peer->next_least_offset_ms = INT64_MAX;
    g_hash_table_insert(gossip->peers, peer->id, peer);
    return peer;
}

/* Notes the order of a peer's messages; returns false for one that is older
 * than another of the same process, or of an earlier process. */
static bool
note_order(struct gossip_peer *peer, const struct rp_peer_message *message)
{
    if (message->incarnation > peer->incarnation) {
        peer->incarnation = message->incarnation;
        peer->seq = 0;
    }
    if (message->incarnation < peer->incarnation || message->seq <= peer->seq)
    {
        return false;
    }
    peer->seq = message->seq;
    return true;
}

/* Returns how long a message was under way beyond the quickest one of its
 * sender, in milliseconds. Clocks are not compared: a constant difference
 * between them cancels out. */
static uint32_t
note_delay(struct gossip_peer *peer, const struct rp_hlc *hlc, int64_t now_ns)
{
    int64_t offset_ms = now_ns / 1000000 - hlc->wall_ms;
    if (now_ns - peer->offset_period_ns > OFFSET_PERIOD_NS) {
        peer->least_offset_ms = peer->next_least_offset_ms;
        peer->next_least_offset_ms = INT64_MAX;
        peer->offset_period_ns = now_ns;
    }
    peer->next_least_offset_ms = MIN(peer->next_least_offset_ms, offset_ms);
    peer->least_offset_ms = MIN(peer->least_offset_ms, offset_ms);
    return (uint32_t)CLAMP(offset_ms - peer->least_offset_ms, 0, DELAY_MAX_MS);
}

static void
apply_updates(struct rp_gossip *gossip, struct rp_peer_heartbeat *heartbeat,
              uint32_t delay_ms, int64_t now_ns)
{
    for (uint32_t i = 0; i < heartbeat->update_count; i++) {
        struct rp_member_update *update = &heartbeat->updates[i];
        update->age_ms += delay_ms;
        update->ticket_ms -= MIN(delay_ms, update->ticket_ms);
        uint32_t refutation = rp_member_self(gossip->members)->refutation;
        rp_member_apply(gossip->members, update, now_ns);
        if (rp_member_self(gossip->members)->refutation != refutation) {
            rp_counter_add(&gossip->context->counters, RP_COUNTER_REFUTATIONS,
                           1);
            rp_event_add(gossip->context->events, RP_EVENT_MEMBER_REFUTED,
                         now_ns, rp_member_self(gossip->members)->id);
            rp_gossip_send_heartbeats(gossip, now_ns);
        }
    }
}

static void
apply_hints(struct rp_gossip *gossip,
            const struct rp_peer_heartbeat *heartbeat, uint32_t delay_ms,
            int64_t now_ns)
{
    struct rp_task *dispatch = rp_kernel_find_task(gossip->kernel, "dispatch");
    struct rp_task *prober = rp_kernel_find_task(gossip->kernel, "prober");
    for (uint32_t i = 0; i < heartbeat->hint_count; i++) {
        const struct rp_peer_hint *said = &heartbeat->hints[i];
        int64_t age_ns = ((int64_t)said->age_ms + delay_ms) * 1000000;
        struct rp_target_hint hint = {
            .source = RP_HINT_PEER,
            .kind = said->kind,
            .has_load = said->has_load,
            .load = said->load,
            .seen_ns = now_ns - age_ns,
        };
        g_strlcpy(hint.service, said->service, sizeof(hint.service));
        g_strlcpy(hint.address, said->address, sizeof(hint.address));
        if (rp_hint_pool_offer(gossip->hints, &hint, now_ns)) {
            rp_task_send(gossip->task, dispatch, RP_MSG_TARGET_HINT, &hint,
                         sizeof(hint));
            rp_task_send(gossip->task, prober, RP_MSG_TARGET_HINT, &hint,
                         sizeof(hint));
        }
    }
}

/* Notes a later state of the platform that a peer knows of. */
static void
note_platform(struct rp_gossip *gossip, int64_t fresh_ns, uint64_t revision,
              bool tell)
{
    if (gossip->has_platform && fresh_ns <= gossip->platform_fresh_ns) {
        return;
    }
    gossip->has_platform = true;
    gossip->platform_fresh_ns = fresh_ns;
    gossip->platform_revision = MAX(gossip->platform_revision, revision);
    if (tell) {
        struct rp_platform_freshness freshness = {fresh_ns, revision};
        rp_task_send(gossip->task,
                     rp_kernel_find_task(gossip->kernel, "platform"),
                     RP_MSG_PLATFORM_FRESHNESS, &freshness, sizeof(freshness));
    }
}

static void
tell_config(struct rp_gossip *gossip, const char *id,
            const struct rp_peer_config *config, uint32_t delay_ms,
            int64_t now_ns)
{
    struct rp_config_peer peer = {.phase = config->phase,
                                  .digest = config->digest};
    g_strlcpy(peer.id, id, sizeof(peer.id));
    rp_task_send(gossip->task, rp_kernel_find_task(gossip->kernel, "config"),
                 RP_MSG_CONFIG_PEER, &peer, sizeof(peer));
    if (config->has_platform) {
        int64_t age_ms = (int64_t)config->platform_age_ms + delay_ms;
        note_platform(gossip, now_ns - age_ms * 1000000,
                      config->platform_revision, true);
    }
}

static void
on_heartbeat(struct rp_gossip *gossip, struct gossip_peer *peer,
             struct rp_peer_message *message, uint32_t delay_ms,
             int64_t now_ns)
{
    struct rp_peer_heartbeat *heartbeat = &message->body.heartbeat;
    apply_updates(gossip, heartbeat, delay_ms, now_ns);
    bool tell = rp_member_hear(gossip->members, message->from,
                               message->incarnation, now_ns);
    apply_hints(gossip, heartbeat, delay_ms, now_ns);
    const struct rp_member_info *from =
        rp_member_find(gossip->members, message->from);
    if (from == NULL || from->incarnation != message->incarnation) {
        return; /* its profile comes with a later heartbeat */
    }
    tell_config(gossip, from->id, &heartbeat->config, delay_ms, now_ns);
    bool differs =
        heartbeat->member_digest != rp_member_digest(gossip->members);
    if (!heartbeat->is_answer && (tell || differs || heartbeat->asks) &&
        now_ns - peer->answered_ns >= ANSWER_NS)
    {
        peer->answered_ns = now_ns;
        rp_gossip_send_heartbeat(gossip, from->id, from->peer_address,
                                 HEARTBEAT_ANSWER | HEARTBEAT_FULL, now_ns);
    }
}

/* One event in 10 s, so that a flood of malformed messages does not push the
 * rest of the time line out of its ring. */
static void
note_malformed(struct rp_gossip *gossip, const GError *error, int64_t now_ns)
{
    rp_counter_add(&gossip->context->counters, RP_COUNTER_PEER_MALFORMED, 1);
    gossip->malformed_unreported++;
    if (now_ns < gossip->next_malformed_event_ns) {
        return;
    }
    gossip->next_malformed_event_ns = now_ns + MALFORMED_EVENT_NS;
    struct rp_event *event = rp_event_add(gossip->context->events,
                                          RP_EVENT_PEER_MALFORMED, now_ns, "");
    event->value = (int64_t)gossip->malformed_unreported;
    rp_event_set_detail(event, "%s",
                        error == NULL ? "batch of records is malformed"
                                      : error->message);
    gossip->malformed_unreported = 0;
}

static void
on_records(struct rp_gossip *gossip, const struct rp_peer_message *message,
           int64_t now_ns)
{
    const struct rp_peer_batch *records = &message->body.records;
    struct rp_record_batch *batch = NULL;
    GError *error = NULL;
    if (rp_msgpack_check(records->bytes, records->byte_count)) {
        batch = rp_record_batch_decode(records->bytes, records->byte_count,
                                       &error);
    }
    if (batch == NULL) {
        note_malformed(gossip, error, now_ns);
        g_clear_error(&error);
        return;
    }
    /* Pushed records are no part of an answer that may be under way. */
    uint32_t part = records->is_answer ? records->part : UINT32_MAX;
    rp_config_records_send(gossip->task,
                           rp_kernel_find_task(gossip->kernel, "config"),
                           RP_MSG_CONFIG_RECORDS, batch, message->from, part,
                           records->is_answer && records->last);
    rp_record_batch_unref(batch);
}

static void
on_want(struct rp_gossip *gossip, const struct rp_peer_message *message)
{
    struct rp_config_want want;
    g_strlcpy(want.peer, message->from, sizeof(want.peer));
    memcpy(want.buckets, message->body.want.bucket_digests,
           sizeof(want.buckets));
    rp_task_send(gossip->task, rp_kernel_find_task(gossip->kernel, "config"),
                 RP_MSG_CONFIG_WANT, &want, sizeof(want));
}

static void
send_ack(struct rp_gossip *gossip, const struct rp_peer_probe *probe,
         bool reached, int64_t now_ns)
{
    struct rp_peer_message message = {.kind = RP_PEER_SUSPECT_ACK};
    struct rp_peer_ack *ack = &message.body.ack;
    g_strlcpy(ack->subject, probe->subject, sizeof(ack->subject));
    g_strlcpy(ack->origin, probe->origin, sizeof(ack->origin));
    ack->incarnation = rp_member_self(gossip->members)->incarnation;
    ack->reached = reached;
    rp_gossip_send(gossip, &message, probe->reply_to, now_ns);
}

/* Answers a probe of this VM, or passes one of another member on once. */
static void
on_probe(struct rp_gossip *gossip, const struct rp_peer_message *received,
         int64_t now_ns)
{
    const struct rp_member_info *self = rp_member_self(gossip->members);
    const struct rp_peer_probe *probe = &received->body.probe;
    if (strcmp(probe->subject, self->id) == 0) {
        send_ack(gossip, probe, true, now_ns);
        return;
    }
    /* Only the origin may ask for this, or a probe could go in circles. */
    if (strcmp(probe->reply_to, probe->origin) != 0) {
        return;
    }
    send_ack(gossip, probe, false, now_ns);
    struct rp_peer_message message = {.kind = RP_PEER_SUSPECT_PROBE};
    message.body.probe = *probe;
    g_strlcpy(message.body.probe.reply_to, self->peer_address,
              sizeof(message.body.probe.reply_to));
    rp_gossip_send(gossip, &message, probe->subject_address, now_ns);
}

static void
on_ack(struct rp_gossip *gossip, const struct rp_peer_message *received,
       int64_t now_ns)
{
    const struct rp_member_info *self = rp_member_self(gossip->members);
    const struct rp_peer_ack *ack = &received->body.ack;
    if (strcmp(ack->origin, self->peer_address) != 0) {
        /* Only the subject's own answer is passed on, and only once. */
        if (ack->reached && strcmp(received->from, ack->subject) == 0) {
            struct rp_peer_message message = {.kind = RP_PEER_SUSPECT_ACK};
            message.body.ack = *ack;
            rp_gossip_send(gossip, &message, ack->origin, now_ns);
        }
        return;
    }
    if (ack->reached) {
        rp_member_hear(gossip->members, ack->subject, ack->incarnation,
                       now_ns);
    }
    else {
        rp_member_helper_answered(gossip->members, ack->subject);
    }
}

static void
dispatch_kind(struct rp_gossip *gossip, struct gossip_peer *peer,
              struct rp_peer_message *message, int64_t now_ns)
{
    uint32_t delay_ms = note_delay(peer, &message->hlc, now_ns);
    switch (message->kind) {
    case RP_PEER_HEARTBEAT:
        on_heartbeat(gossip, peer, message, delay_ms, now_ns);
        break;
    case RP_PEER_CONFIG_WANT:
        on_want(gossip, message);
        break;
    case RP_PEER_CONFIG_RECORDS:
        on_records(gossip, message, now_ns);
        break;
    case RP_PEER_SUSPECT_PROBE:
        on_probe(gossip, message, now_ns);
        break;
    default:
        on_ack(gossip, message, now_ns);
        break;
    }
}

static void
on_received(struct rp_gossip *gossip, GBytes *payload, int64_t now_ns)
{
    struct rp_counters *counters = &gossip->context->counters;
    struct rp_event_ring *events = gossip->context->events;
    struct rp_peer_message message;
    GError *error = NULL;
    gsize byte_count;
    const void *bytes = g_bytes_get_data(payload, &byte_count);
    rp_counter_add(counters, RP_COUNTER_PEER_RECEIVED, 1);
    rp_counter_add(counters, RP_COUNTER_PEER_RECEIVED_BYTES, byte_count);
    if (!rp_peer_message_decode(bytes, byte_count, &message, &error)) {
        note_malformed(gossip, error, now_ns);
        g_error_free(error);
        return;
    }
    if (!rp_peer_message_known(&message)) {
        rp_counter_add(counters, RP_COUNTER_PEER_UNKNOWN, 1);
        return;
    }
    struct gossip_peer *peer = find_peer(gossip, message.from);
    bool own = strcmp(message.from, gossip->context->identity.id) == 0;
    /* Records are joined, so that their order does not matter. */
    if (peer == NULL || own ||
        (!note_order(peer, &message) &&
         message.kind != RP_PEER_CONFIG_RECORDS))
    {
        rp_counter_add(counters, RP_COUNTER_PEER_STALE, 1);
        return;
    }
    rp_hlc_merge(rp_event_ring_clock(events), message.hlc,
                 rp_event_ring_wall_ms(events, now_ns));
    dispatch_kind(gossip, peer, &message, now_ns);
    if (report_changes(gossip, now_ns)) {
        publish_members(gossip);
    }
}

static void
on_self_state(struct rp_gossip *gossip, const struct rp_self_state *state)
{
    if (state->flags & RP_SELF_LOAD) {
        rp_member_set_load(gossip->members, state->load_permille);
    }
    if (state->flags & RP_SELF_TICKET) {
        rp_member_set_ticket(gossip->members, state->ticket_prefix,
                             state->ticket_expires_ns);
    }
}

static void
on_status(struct rp_gossip *gossip, const struct rp_message *want)
{
    struct rp_member_view *view = rp_member_view_new(gossip->members);
    json_t *members = json_array();
    for (uint32_t i = 0; i < view->count; i++) {
        const struct rp_member *member = &view->members[i];
        json_array_append_new(
            members,
            json_pack("{s:s, s:s, s:s, s:s, s:s, s:I, s:i}", "id",
                      member->info.id, "domain", member->info.domain,
                      "address", member->info.address, "state",
                      rp_member_state_name(member->info.state), "phase",
                      rp_member_phase_name(member->info.phase), "incarnation",
                      (json_int_t)member->info.incarnation, "load_permille",
                      (int)member->info.load_permille));
    }
    rp_member_view_unref(view);
    rp_status_reply(gossip->task, want, "members",
                    json_pack("{s:i, s:o}", "local_health",
                              (int)rp_member_local_health(gossip->members),
                              "members", members));
}

static void
on_pause(struct rp_gossip *gossip, const struct rp_pause *pause,
         int64_t now_ns)
{
    gossip->quiet_until_ns = now_ns + QUIET_NS;
    rp_member_notice_pause(gossip->members, pause->gap_ns, now_ns);
    rp_gossip_send_probes(gossip, now_ns);
}

static void
on_message(struct rp_task *task, const struct rp_message *message,
           int64_t now_ns, void *data)
{
    (void)task;
    struct rp_gossip *gossip = data;
    switch (message->kind) {
    case RP_MSG_WIRE_RECEIVED:
        on_received(gossip,
                    ((const struct rp_wire_received *)message->body)->payload,
                    now_ns);
        break;
    case RP_MSG_CONFIG_STATE:
        gossip->config = *(const struct rp_config_state *)message->body;
        rp_member_set_phase(gossip->members, gossip->config.phase);
        break;
    case RP_MSG_CONFIG_WANT:
        rp_gossip_send_want(gossip, message->body, now_ns);
        break;
    case RP_MSG_CONFIG_RECORDS:
        rp_gossip_send_records(gossip, message->body, now_ns);
        break;
    case RP_MSG_CONFIG_SPREAD:
        rp_gossip_push(gossip, message->body, now_ns);
        break;
    case RP_MSG_PLATFORM_FRESHNESS: {
        const struct rp_platform_freshness *freshness = message->body;
        note_platform(gossip, freshness->fresh_ns, freshness->revision, false);
        break;
    }
    case RP_MSG_PLATFORM_VMS:
        rp_member_set_listed(
            gossip->members,
            ((const struct rp_vm_list_message *)message->body)->list);
        break;
    case RP_MSG_TARGET_HINT:
        rp_hint_pool_offer(gossip->hints, message->body, now_ns);
        break;
    case RP_MSG_SELF_STATE:
        on_self_state(gossip, message->body);
        break;
    case RP_MSG_PAUSE_NOTICED:
        on_pause(gossip, message->body, now_ns);
        break;
    case RP_MSG_STOP:
        rp_member_leave(gossip->members);
        rp_gossip_send_heartbeats(gossip, now_ns);
        publish_members(gossip);
        break;
    case RP_MSG_STATUS_WANT:
        on_status(gossip, message);
        break;
    default:
        break;
    }
}

static void
on_timer(struct rp_task *task, uint32_t timer, int64_t now_ns, void *data)
{
    (void)timer;
    on_tick(data, now_ns);
    rp_task_set_timer(task, TIMER_TICK, now_ns + RP_MEMBER_HEARTBEAT_NS);
}

static void
free_gossip(struct rp_gossip *gossip)
{
    rp_member_table_free(gossip->members);
    rp_hint_pool_free(gossip->hints);
    g_hash_table_unref(gossip->peers);
    g_free(gossip);
}

static void
on_remove(struct rp_task *task, void *data)
{
    (void)task;
    free_gossip(data);
}

static const struct rp_task_ops gossip_ops = {
    .on_message = on_message,
    .on_timer = on_timer,
    .on_remove = on_remove,
};

/* Registers the task named gossip, which owns the membership. It sends and
 * receives through the task named wire, which must be there already; the
 * settings are copied. Returns NULL with error set when there are too many
 * seeds or the task cannot be added. It is freed with the kernel. */
struct rp_gossip *
rp_gossip_new(struct rp_kernel *kernel,
              const struct rp_gossip_settings *settings, int64_t now_ns,
              GError **error)
{
    if (settings->seed_count > RP_MEMBER_SEED_LIMIT) {
        g_set_error(error, RP_ERROR, RP_ERROR_SETTING,
                    "%u peers are given and the limit is %d; a few that run "
                    "all the time are enough",
                    settings->seed_count, RP_MEMBER_SEED_LIMIT);
        return NULL;
    }
    struct rp_gossip *gossip = g_new0(struct rp_gossip, 1);
    struct rp_context *context = rp_kernel_context(kernel);
    gossip->kernel = kernel;
    gossip->context = context;
    gossip->wire = rp_kernel_find_task(kernel, "wire");
    gossip->members =
        rp_member_table_new(&context->identity, context->random, now_ns);
    gossip->hints = rp_hint_pool_new();
    gossip->peers =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    gossip->config.phase = RP_CONFIG_STARTING;
    gossip->next_malformed_event_ns = now_ns;
    rp_byte_budget_init(&gossip->push_budget, RP_GOSSIP_PUSH_BYTES_PER_S,
                        RP_GOSSIP_PUSH_BURST_BYTES, now_ns);
    rp_byte_budget_init(&gossip->repair_budget, RP_GOSSIP_REPAIR_BYTES_PER_S,
                        RP_GOSSIP_REPAIR_BURST_BYTES, now_ns);
    rp_byte_budget_init(&gossip->answer_budget, RP_GOSSIP_ANSWER_BYTES_PER_S,
                        RP_GOSSIP_ANSWER_BURST_BYTES, now_ns);
    gossip->task =
        rp_kernel_add_task(kernel, "gossip", &gossip_ops, gossip, error);
    if (gossip->task == NULL) {
        free_gossip(gossip);
        return NULL;
    }
    for (uint32_t i = 0; i < settings->seed_count; i++) {
        rp_member_add_seed(gossip->members, settings->seeds[i]);
    }
    /* Members that start together do not send at the same moment. */
    int64_t offset_ns =
        (int64_t)g_rand_int_range(context->random, 0, 500) * 1000000;
    rp_task_set_timer(gossip->task, TIMER_TICK, now_ns + offset_ns);
    return gossip;
}

/* Returns the membership for reading. */
const struct rp_member_table *
rp_gossip_members(const struct rp_gossip *gossip)
{
    return gossip->members;
}
