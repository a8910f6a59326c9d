#include <string.h>

#include "gossip_internal.h"
#include "platform.h"
#include "record_batch.h"
#include "watch.h"
#include "wire.h"

/* Minimum interval between answers to one peer. It limits the traffic while
 * member digests take time to converge. */
#define MIN_ANSWER_INTERVAL_NS RP_MEMBER_HEARTBEAT_NS

#define OFFSET_PERIOD_NS INT64_C(60000000000)
#define MAX_DELAY_MS 60000
/* Within four heartbeat intervals after a pause, a peer has sent a message
 * that was not queued during the pause. */
#define OFFSET_SETTLE_NS (4 * RP_MEMBER_HEARTBEAT_NS)
#define MIN_MALFORMED_EVENT_INTERVAL_NS INT64_C(10000000000)

static struct gossip_peer *
find_or_add_peer(struct rp_gossip *gossip, const char *id)
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
    peer->last_answer_ns = INT64_MIN / 2;
    g_hash_table_insert(gossip->peers, peer->id, peer);
    return peer;
}

static void
forget_offsets(struct gossip_peer *peer)
{
    peer->min_offset_ms = INT64_MAX;
    peer->next_min_offset_ms = INT64_MAX;
    peer->offset_period_start_ns = 0;
    peer->first_message_ns = 0;
}

/* Advances the peer's sequence to a message. Returns false when the message is
 * a duplicate, is older than another of the same process, or comes from an
 * earlier process. */
static bool
accept_sequence(struct gossip_peer *peer,
                const struct rp_peer_message *message)
{
    if (message->incarnation > peer->incarnation) {
        peer->incarnation = message->incarnation;
        peer->seq = 0;
        forget_offsets(peer);
    }
    if (message->incarnation < peer->incarnation || message->seq <= peer->seq)
    {
        return false;
    }
    peer->seq = message->seq;
    return true;
}

/* Returns the delay of a message relative to the fastest recent one of its
 * sender, in milliseconds. A constant difference between the clocks cancels
 * out. */
static uint32_t
estimate_delay(struct gossip_peer *peer, const struct rp_peer_message *message,
               int64_t now_ns)
{
    int64_t sent_ms = message->sent_ms > 0 ? (int64_t)message->sent_ms
                                           : message->hlc.wall_ms;
    int64_t offset_ms = now_ns / 1000000 - sent_ms;
    if (peer->first_message_ns == 0) {
        peer->first_message_ns = now_ns;
    }
    if (now_ns - peer->offset_period_start_ns > OFFSET_PERIOD_NS) {
        peer->min_offset_ms = peer->next_min_offset_ms;
        peer->next_min_offset_ms = INT64_MAX;
        peer->offset_period_start_ns = now_ns;
    }
    peer->next_min_offset_ms = MIN(peer->next_min_offset_ms, offset_ms);
    peer->min_offset_ms = MIN(peer->min_offset_ms, offset_ms);
    return (uint32_t)CLAMP(offset_ms - peer->min_offset_ms, 0, MAX_DELAY_MS);
}

/* Returns whether ages in a peer's messages can be relied on. The first
 * messages of a peer are the baseline for the delay of later ones; if they
 * were queued during a pause of this process, ages are underestimated. */
static bool
is_age_reliable(const struct rp_gossip *gossip, const struct gossip_peer *peer,
                int64_t now_ns)
{
    return gossip->pause_end_ns == 0 ||
           peer->first_message_ns < gossip->pause_end_ns ||
           now_ns - gossip->pause_end_ns > OFFSET_SETTLE_NS;
}

static void
apply_updates(struct rp_gossip *gossip, struct rp_member_update *updates,
              uint32_t count, uint32_t delay_ms, int64_t now_ns)
{
    for (uint32_t i = 0; i < count; i++) {
        struct rp_member_update *update = &updates[i];
        update->age_ms += delay_ms;
        update->ticket_ttl_ms -= MIN(delay_ms, update->ticket_ttl_ms);
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
        const struct rp_peer_hint *received = &heartbeat->hints[i];
        int64_t age_ns = ((int64_t)received->age_ms + delay_ms) * 1000000;
        struct rp_target_hint hint = {
            .source = RP_HINT_PEER,
            .kind = received->kind,
            .has_load = received->has_load,
            .load = received->load,
            .observed_ns = now_ns - age_ns,
        };
        g_strlcpy(hint.service, received->service, sizeof(hint.service));
        g_strlcpy(hint.address, received->address, sizeof(hint.address));
        if (rp_hint_pool_offer(gossip->hints, &hint, now_ns)) {
            rp_task_send(gossip->task, dispatch, RP_MSG_TARGET_HINT, &hint,
                         sizeof(hint));
            rp_task_send(gossip->task, prober, RP_MSG_TARGET_HINT, &hint,
                         sizeof(hint));
        }
    }
}

/* Records when the platform's state was last fresh, if that is later than the
 * recorded time. notify_platform: it comes from a peer, and the platform task
 * hears of it in any case, since it also shows that peers are heard. */
void
rp_gossip_record_platform(struct rp_gossip *gossip, int64_t fresh_ns,
                          uint64_t revision, bool notify_platform)
{
    if (!gossip->has_platform || fresh_ns > gossip->platform_fresh_ns) {
        gossip->has_platform = true;
        gossip->platform_fresh_ns = fresh_ns;
        gossip->platform_revision = MAX(gossip->platform_revision, revision);
    }
    if (notify_platform) {
        struct rp_platform_freshness freshness = {fresh_ns, revision};
        rp_task_send(gossip->task,
                     rp_kernel_find_task(gossip->kernel, "platform"),
                     RP_MSG_PLATFORM_FRESHNESS, &freshness, sizeof(freshness));
    }
}

static void
send_config_peer_state(struct rp_gossip *gossip, const char *id,
                       const struct rp_peer_config *config, uint32_t delay_ms,
                       int64_t now_ns)
{
    struct rp_config_peer_state peer = {.phase = config->phase,
                                        .digest = config->digest,
                                        .revision = config->revision};
    int64_t age_ms = (int64_t)config->platform_age_ms + delay_ms;
    peer.fresh =
        config->has_platform && age_ms * 1000000 <= RP_WATCH_MAX_PEER_AGE_NS;
    g_strlcpy(peer.id, id, sizeof(peer.id));
    rp_task_send(gossip->task, rp_kernel_find_task(gossip->kernel, "config"),
                 RP_MSG_CONFIG_PEER_STATE, &peer, sizeof(peer));
    if (config->has_platform) {
        rp_gossip_record_platform(gossip, now_ns - age_ms * 1000000,
                                  config->platform_revision, true);
    }
}

static void
on_heartbeat(struct rp_gossip *gossip, struct gossip_peer *peer,
             struct rp_peer_message *message, uint32_t delay_ms,
             int64_t now_ns)
{
    struct rp_peer_heartbeat *heartbeat = &message->body.heartbeat;
    bool is_domain_back =
        rp_member_is_domain_lost(gossip->members, message->from);
    apply_updates(gossip, heartbeat->updates, heartbeat->update_count,
                  delay_ms, now_ns);
    bool peer_must_refute = rp_member_record_liveness(
        gossip->members, message->from, message->incarnation, now_ns);
    if (!heartbeat->is_answer && !heartbeat->requests_answer &&
        !heartbeat->requests_members)
    {
        rp_member_record_heartbeat(gossip->members, message->from, now_ns);
    }
    if (is_age_reliable(gossip, peer, now_ns)) {
        apply_hints(gossip, heartbeat, delay_ms, now_ns);
    }
    const struct rp_member_info *from =
        rp_member_find(gossip->members, message->from);
    if (from == NULL || from->incarnation != message->incarnation) {
        return; /* a later heartbeat brings its profile */
    }
    send_config_peer_state(gossip, from->id, &heartbeat->config, delay_ms,
                           now_ns);
    if (is_domain_back) {
        rp_gossip_send_domain_claims(gossip, from->domain, now_ns);
    }
    bool digest_differs =
        heartbeat->member_digest != rp_member_digest(gossip->members);
    if (!digest_differs) {
        gossip->members_agreed_ns = now_ns;
    }
    if (heartbeat->requests_members) {
        rp_gossip_send_members(gossip, from, now_ns);
        return;
    }
    rp_gossip_query_peer(gossip, from, heartbeat->alive_count, now_ns);
    if (!heartbeat->is_answer &&
        (peer_must_refute || digest_differs || heartbeat->requests_answer) &&
        now_ns - peer->last_answer_ns >= MIN_ANSWER_INTERVAL_NS)
    {
        peer->last_answer_ns = now_ns;
        rp_gossip_send_heartbeat(gossip, from->id, from->peer_address,
                                 HEARTBEAT_ANSWER | HEARTBEAT_PROFILES,
                                 now_ns);
    }
}

/* Counts a malformed message. At most one event is added in 10 s, so that a
 * flood of malformed messages does not displace other events from the time
 * line. error may be NULL. */
static void
record_malformed(struct rp_gossip *gossip, const GError *error, int64_t now_ns)
{
    rp_counter_add(&gossip->context->counters, RP_COUNTER_PEER_MALFORMED, 1);
    gossip->unreported_malformed_count++;
    if (now_ns < gossip->next_malformed_event_ns) {
        return;
    }
    gossip->next_malformed_event_ns = now_ns + MIN_MALFORMED_EVENT_INTERVAL_NS;
    struct rp_event *event = rp_event_add(gossip->context->events,
                                          RP_EVENT_PEER_MALFORMED, now_ns, "");
    event->value = (int64_t)gossip->unreported_malformed_count;
    rp_event_set_detail(event, "%s",
                        error == NULL
                            ? "a list of records or members is malformed"
                            : error->message);
    gossip->unreported_malformed_count = 0;
}

static void
on_records(struct rp_gossip *gossip, const struct rp_peer_message *message,
           int64_t now_ns)
{
    const struct rp_peer_batch *records = &message->body.records;
    GError *error = NULL;
    struct rp_record_batch *batch = rp_gossip_read_records(records, &error);
    if (batch == NULL) {
        record_malformed(gossip, error, now_ns);
        g_clear_error(&error);
        return;
    }
    if (!records->is_answer) {
        rp_gossip_forward_records(gossip, records, now_ns);
    }
    uint32_t part = records->is_answer ? records->part : RP_CONFIG_PART_PUSHED;
    rp_config_records_send(gossip->task,
                           rp_kernel_find_task(gossip->kernel, "config"),
                           RP_MSG_CONFIG_RECORDS, batch, message->from, part,
                           records->is_answer && records->last);
    rp_record_batch_unref(batch);
}

static void
on_config_sync_request(struct rp_gossip *gossip,
                       const struct rp_peer_message *message)
{
    struct rp_config_sync_request request;
    g_strlcpy(request.peer, message->from, sizeof(request.peer));
    memcpy(request.buckets, message->body.config_sync_request.bucket_digests,
           sizeof(request.buckets));
    rp_task_send(gossip->task, rp_kernel_find_task(gossip->kernel, "config"),
                 RP_MSG_CONFIG_SYNC_REQUEST, &request, sizeof(request));
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

/* Acknowledges a probe of this VM, or forwards a probe of another member. */
static void
on_probe(struct rp_gossip *gossip, const struct rp_peer_message *received,
         int64_t now_ns)
{
    const struct rp_member_info *self = rp_member_self(gossip->members);
    const struct rp_peer_probe *probe = &received->body.probe;
    if (strcmp(probe->subject, self->id) == 0) {
        if (strcmp(probe->reply_to, probe->origin) == 0) {
            rp_member_record_probe(gossip->members, received->from, now_ns);
        }
        send_ack(gossip, probe, true, now_ns);
        return;
    }
    /* A probe is forwarded only for its origin, or it could loop. */
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
        /* Only an acknowledgement from the subject itself is forwarded. */
        if (ack->reached && strcmp(received->from, ack->subject) == 0) {
            struct rp_peer_message message = {.kind = RP_PEER_SUSPECT_ACK};
            message.body.ack = *ack;
            rp_gossip_send(gossip, &message, ack->origin, now_ns);
        }
        return;
    }
    if (ack->reached) {
        rp_member_record_liveness(gossip->members, ack->subject,
                                  ack->incarnation, now_ns);
    }
    else {
        rp_member_record_helper_ack(gossip->members, ack->subject);
    }
}

static void
on_members(struct rp_gossip *gossip, const struct rp_peer_message *message,
           uint32_t delay_ms, int64_t now_ns)
{
    GArray *updates = rp_gossip_read_members(&message->body.members);
    if (updates == NULL) {
        record_malformed(gossip, NULL, now_ns);
        return;
    }
    apply_updates(gossip, (struct rp_member_update *)updates->data,
                  updates->len, delay_ms, now_ns);
    g_array_unref(updates);
    rp_member_record_liveness(gossip->members, message->from,
                              message->incarnation, now_ns);
}

static void
handle_message(struct rp_gossip *gossip, struct gossip_peer *peer,
               struct rp_peer_message *message, int64_t now_ns)
{
    uint32_t delay_ms = estimate_delay(peer, message, now_ns);
    switch (message->kind) {
    case RP_PEER_HEARTBEAT:
        on_heartbeat(gossip, peer, message, delay_ms, now_ns);
        break;
    case RP_PEER_CONFIG_SYNC_REQUEST:
        on_config_sync_request(gossip, message);
        break;
    case RP_PEER_CONFIG_RECORDS:
        on_records(gossip, message, now_ns);
        break;
    case RP_PEER_SUSPECT_PROBE:
        on_probe(gossip, message, now_ns);
        break;
    case RP_PEER_MEMBERS:
        on_members(gossip, message, delay_ms, now_ns);
        break;
    default:
        on_ack(gossip, message, now_ns);
        break;
    }
}

/* Tells a process that its VM is known by a greater incarnation: the clock was
 * set back between the starts of its former process and of this one. */
static void
answer_lower_incarnation(struct rp_gossip *gossip, struct gossip_peer *peer,
                         int64_t now_ns)
{
    const struct rp_member_info *member =
        rp_member_find(gossip->members, peer->id);
    if (member == NULL ||
        now_ns - peer->last_answer_ns < MIN_ANSWER_INTERVAL_NS) {
        return;
    }
    peer->last_answer_ns = now_ns;
    rp_gossip_send_heartbeat(gossip, member->id, member->peer_address,
                             HEARTBEAT_ANSWER | HEARTBEAT_PROFILES, now_ns);
}

/* Returns whether a message is handled although a later one of its sender has
 * arrived. Records are merged by version, so that their order does not matter.
 * Requests for records only read them; in a fleet that is divided by failure
 * domains, fewer members request the same ones, and each dropped request
 * delays a repair by seconds. */
static bool
may_be_late(const struct rp_gossip *gossip,
            const struct rp_peer_message *message)
{
    return message->kind == RP_PEER_CONFIG_RECORDS ||
           (message->kind == RP_PEER_CONFIG_SYNC_REQUEST &&
            rp_member_is_divided(gossip->members));
}

/* Handles one message from a peer. Malformed, unsupported and stale messages
 * are counted and dropped. */
void
rp_gossip_receive(struct rp_gossip *gossip, GBytes *payload, int64_t now_ns)
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
        record_malformed(gossip, error, now_ns);
        g_error_free(error);
        return;
    }
    if (!rp_peer_message_known(&message)) {
        rp_counter_add(counters, RP_COUNTER_PEER_UNKNOWN, 1);
        return;
    }
    struct gossip_peer *peer = find_or_add_peer(gossip, message.from);
    bool from_self = strcmp(message.from, gossip->context->identity.id) == 0;
    if (peer == NULL || from_self ||
        (!accept_sequence(peer, &message) && !may_be_late(gossip, &message)))
    {
        rp_counter_add(counters, RP_COUNTER_PEER_STALE, 1);
        if (peer != NULL && message.incarnation < peer->incarnation) {
            answer_lower_incarnation(gossip, peer, now_ns);
        }
        return;
    }
    rp_hlc_merge(rp_event_ring_clock(events), message.hlc,
                 rp_event_ring_wall_ms(events, now_ns));
    handle_message(gossip, peer, &message, now_ns);
}
