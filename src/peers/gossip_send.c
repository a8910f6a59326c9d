#include <string.h>

#include "gossip_internal.h"
#include "neighbor.h"
#include "wire.h"

/* Bounds of one heartbeat, regardless of budget and degree. */
#define MIN_HEARTBEAT_BYTES 200
#define MAX_HEARTBEAT_BYTES 1200

/* Members that are told at once that they are suspect or dead here. */
#define MAX_CLAIMS 256

/* A heartbeat without updates and hints. */
#define HEARTBEAT_BASE_BYTES 150

static enum rp_counter
remote_bytes_counter(const struct rp_peer_message *message)
{
    switch (message->kind) {
    case RP_PEER_HEARTBEAT:
        return RP_COUNTER_PEER_REMOTE_HEARTBEAT_BYTES;
    case RP_PEER_CONFIG_SYNC_REQUEST:
        return RP_COUNTER_PEER_REMOTE_SYNC_BYTES;
    case RP_PEER_CONFIG_RECORDS:
        return message->body.records.is_answer
                   ? RP_COUNTER_PEER_REMOTE_REPAIR_BYTES
                   : RP_COUNTER_PEER_REMOTE_PUSH_BYTES;
    case RP_PEER_MEMBERS:
        return RP_COUNTER_PEER_REMOTE_MEMBERS_BYTES;
    default:
        return RP_COUNTER_PEER_REMOTE_PROBE_BYTES;
    }
}

static void
count_sent(struct rp_gossip *gossip, const struct rp_peer_message *message,
           const char *address, uint64_t byte_count)
{
    struct rp_counters *counters = &gossip->context->counters;
    rp_counter_add(counters, RP_COUNTER_PEER_SENT, 1);
    rp_counter_add(counters, RP_COUNTER_PEER_SENT_BYTES, byte_count);
    if (rp_member_is_remote_address(gossip->members, address)) {
        rp_counter_add(counters, RP_COUNTER_PEER_REMOTE_MESSAGES, 1);
        rp_counter_add(counters, remote_bytes_counter(message), byte_count);
    }
}

/* Sends a message to the process bound to the address. The caller sets kind
 * and body; the envelope is filled in here. */
void
rp_gossip_send(struct rp_gossip *gossip, struct rp_peer_message *message,
               const char *address, int64_t now_ns)
{
    const struct rp_member_info *self = rp_member_self(gossip->members);
    struct rp_event_ring *events = gossip->context->events;
    if (address[0] == '\0' || strcmp(address, self->peer_address) == 0) {
        return;
    }
    message->version = RP_PEER_VERSION;
    g_strlcpy(message->from, self->id, sizeof(message->from));
    message->incarnation = self->incarnation;
    message->seq = ++gossip->seq;
    message->hlc = rp_hlc_tick(rp_event_ring_clock(events),
                               rp_event_ring_wall_ms(events, now_ns));
    message->sent_ms =
        (uint64_t)(now_ns / 1000000 + gossip->context->suspended_ms);
    struct rp_wire_send send = {.payload = rp_peer_message_encode(message)};
    g_strlcpy(send.peer_address, address, sizeof(send.peer_address));
    count_sent(gossip, message, address, g_bytes_get_size(send.payload));
    if (!rp_task_send_owned(gossip->task, gossip->wire, RP_MSG_WIRE_SEND,
                            &send, sizeof(send), rp_wire_send_release))
    {
        rp_wire_send_release(&send);
        rp_counter_add(&gossip->context->counters,
                       RP_COUNTER_PEER_SEND_DROPPED, 1);
    }
}

static bool
is_sent_by_relay(const struct rp_gossip *gossip, const char *address)
{
    return rp_member_is_divided(gossip->members) &&
           rp_member_is_remote_address(gossip->members, address);
}

/* Returns the maximum size of a heartbeat to an address within the budget:
 * that of the own failure domain or, in a divided fleet, of the other ones. */
uint32_t
rp_gossip_heartbeat_bytes(const struct rp_gossip *gossip, const char *address,
                          uint32_t flags, int64_t now_ns)
{
    const struct rp_member_info *neighbors[RP_MEMBER_RECEIVER_LIMIT];
    const char *own_domain = rp_member_self(gossip->members)->domain;
    bool is_remote = is_sent_by_relay(gossip, address);
    uint32_t count = rp_member_neighbors(gossip->members, neighbors, now_ns);
    uint32_t degree = 0;
    for (uint32_t i = 0; i < count; i++) {
        degree += !rp_member_is_divided(gossip->members) ||
                  is_remote == (strcmp(neighbors[i]->domain, own_domain) != 0);
    }
    if (flags & HEARTBEAT_ANSWER || count == 0) {
        return MAX_HEARTBEAT_BYTES;
    }
    if (degree == 0) {
        degree = count; /* a contact in another domain */
    }
    uint32_t interval_ms = (uint32_t)(RP_MEMBER_HEARTBEAT_NS / 1000000);
    uint32_t bytes_per_s = is_remote ? RP_GOSSIP_REMOTE_BYTES_PER_S
                                     : RP_GOSSIP_HEARTBEAT_BYTES_PER_S;
    int32_t share_bytes =
        (int32_t)(bytes_per_s * interval_ms / 1000 / degree) -
        GOSSIP_OVERHEAD_BYTES;
    return (uint32_t)CLAMP(share_bytes, MIN_HEARTBEAT_BYTES,
                           MAX_HEARTBEAT_BYTES);
}

static uint32_t
fill_updates(struct rp_gossip *gossip, const char *receiver_id,
             bool with_profiles, uint32_t available_bytes,
             struct rp_peer_heartbeat *heartbeat, int64_t now_ns)
{
    uint32_t used_bytes = 0;
    rp_member_begin_updates(gossip->members, receiver_id, with_profiles);
    /* The last update may exceed available_bytes, so that even the smallest
     * heartbeat carries an update about another member. */
    while (heartbeat->update_count < RP_PEER_MAX_UPDATES &&
           (used_bytes < available_bytes || heartbeat->update_count < 2))
    {
        struct rp_member_update *update =
            &heartbeat->updates[heartbeat->update_count];
        if (!rp_member_next_update(gossip->members, now_ns, update)) {
            break;
        }
        used_bytes += rp_peer_update_bytes(update);
        heartbeat->update_count++;
    }
    return used_bytes;
}

static void
fill_hints(struct rp_gossip *gossip, bool is_remote, uint32_t available_bytes,
           struct rp_peer_heartbeat *heartbeat, int64_t now_ns)
{
    struct rp_target_hint hint;
    uint32_t used_bytes = 0;
    uint32_t members = rp_member_count(gossip->members, RP_MEMBER_ALIVE);
    uint32_t transmit_limit = MAX(1, rp_neighbor_degree(members));
    if (rp_member_is_relay(gossip->members)) {
        transmit_limit += RP_OVERLAY_RELAYS;
    }
    rp_hint_pool_begin(gossip->hints, transmit_limit, is_remote, now_ns);
    while (heartbeat->hint_count < RP_PEER_MAX_HINTS &&
           used_bytes < available_bytes &&
           rp_hint_pool_next(gossip->hints, &hint))
    {
        struct rp_peer_hint *peer_hint =
            &heartbeat->hints[heartbeat->hint_count++];
        memset(peer_hint, 0, sizeof(*peer_hint));
        g_strlcpy(peer_hint->service, hint.service,
                  sizeof(peer_hint->service));
        g_strlcpy(peer_hint->address, hint.address,
                  sizeof(peer_hint->address));
        peer_hint->kind = hint.kind;
        peer_hint->has_load = hint.has_load;
        peer_hint->load = hint.load;
        peer_hint->age_ms = (uint32_t)CLAMP(
            (now_ns - hint.observed_ns) / 1000000, 0, G_MAXINT32);
        used_bytes += rp_peer_hint_bytes(peer_hint);
    }
}

static void
fill_config(const struct rp_gossip *gossip, struct rp_peer_config *config,
            int64_t now_ns)
{
    config->phase = gossip->config.phase;
    config->digest = gossip->config.digest;
    config->revision = gossip->config.revision;
    config->has_platform = gossip->has_platform;
    if (config->has_platform) {
        config->platform_revision = gossip->platform_revision;
        config->platform_age_ms = (uint32_t)CLAMP(
            (now_ns - gossip->platform_fresh_ns) / 1000000, 0, G_MAXINT32);
    }
}

/* Sends one heartbeat; flags are HEARTBEAT_... Answers have a separate budget;
 * an answer beyond it is not sent, and the next regular heartbeat takes its
 * place. receiver_id is "" when it is unknown. */
void
rp_gossip_send_heartbeat(struct rp_gossip *gossip, const char *receiver_id,
                         const char *address, uint32_t flags, int64_t now_ns)
{
    if (flags & HEARTBEAT_ANSWER &&
        !rp_byte_budget_consume(&gossip->answer_budget,
                                MAX_HEARTBEAT_BYTES + GOSSIP_OVERHEAD_BYTES,
                                now_ns))
    {
        return;
    }
    struct rp_peer_message message = {.kind = RP_PEER_HEARTBEAT};
    struct rp_peer_heartbeat *heartbeat = &message.body.heartbeat;
    bool with_profiles = (flags & HEARTBEAT_PROFILES) != 0;
    uint32_t available_bytes =
        rp_gossip_heartbeat_bytes(gossip, address, flags, now_ns) -
        HEARTBEAT_BASE_BYTES;
    heartbeat->is_answer = (flags & HEARTBEAT_ANSWER) != 0;
    heartbeat->requests_answer = (flags & HEARTBEAT_REQUEST_ANSWER) != 0;
    heartbeat->requests_members = (flags & HEARTBEAT_REQUEST_MEMBERS) != 0;
    heartbeat->update_count = 0;
    heartbeat->hint_count = 0;
    heartbeat->member_digest = rp_member_digest(gossip->members);
    heartbeat->alive_count = rp_member_count(gossip->members, RP_MEMBER_ALIVE);
    fill_config(gossip, &heartbeat->config, now_ns);
    uint32_t used_bytes =
        fill_updates(gossip, receiver_id, with_profiles,
                     available_bytes * 2 / 3, heartbeat, now_ns);
    if (used_bytes < available_bytes) {
        fill_hints(gossip, is_sent_by_relay(gossip, address),
                   available_bytes - used_bytes, heartbeat, now_ns);
    }
    rp_gossip_send(gossip, &message, address, now_ns);
}

/* Sends a heartbeat to each neighbour. */
void
rp_gossip_send_heartbeats(struct rp_gossip *gossip, int64_t now_ns)
{
    const struct rp_member_info *neighbors[RP_MEMBER_RECEIVER_LIMIT];
    uint32_t count = rp_member_neighbors(gossip->members, neighbors, now_ns);
    for (uint32_t i = 0; i < count; i++) {
        rp_gossip_send_heartbeat(gossip, neighbors[i]->id,
                                 neighbors[i]->peer_address, 0, now_ns);
    }
}

/* Sends each of the members a heartbeat that begins with what this entry VM
 * assumes of it, so that it can refute that. */
static void
send_claims(struct rp_gossip *gossip, const struct rp_member_info **members,
            uint32_t count, int64_t now_ns)
{
    for (uint32_t i = 0; i < count; i++) {
        rp_gossip_send_heartbeat(gossip, members[i]->id,
                                 members[i]->peer_address, 0, now_ns);
    }
}

/* Tells the suspect members of other domains, if this entry VM is a relay. */
void
rp_gossip_send_remote_claims(struct rp_gossip *gossip, int64_t now_ns)
{
    const struct rp_member_info *members[MAX_CLAIMS];
    uint32_t count = rp_member_remote_suspects(gossip->members, members,
                                               MAX_CLAIMS, now_ns);
    send_claims(gossip, members, count, now_ns);
}

/* Tells the suspect and dead members of a failure domain that has returned. */
void
rp_gossip_send_domain_claims(struct rp_gossip *gossip, const char *domain,
                             int64_t now_ns)
{
    const struct rp_member_info *members[MAX_CLAIMS];
    uint32_t count = rp_member_doubted_of_domain(gossip->members, domain,
                                                 members, MAX_CLAIMS);
    send_claims(gossip, members, count, now_ns);
}

static void
send_probe(struct rp_gossip *gossip, const struct rp_member_probe *probe,
           const char *address, int64_t now_ns)
{
    const char *self = rp_member_self(gossip->members)->peer_address;
    struct rp_peer_message message = {.kind = RP_PEER_SUSPECT_PROBE};
    struct rp_peer_probe *body = &message.body.probe;
    g_strlcpy(body->subject, probe->id, sizeof(body->subject));
    g_strlcpy(body->subject_address, probe->peer_address,
              sizeof(body->subject_address));
    g_strlcpy(body->reply_to, self, sizeof(body->reply_to));
    g_strlcpy(body->origin, self, sizeof(body->origin));
    rp_gossip_send(gossip, &message, address, now_ns);
}

/* Sends the probes that are due, directly and through helpers at the same
 * time. */
void
rp_gossip_send_probes(struct rp_gossip *gossip, int64_t now_ns)
{
    struct rp_member_probe probe;
    while (rp_member_next_probe(gossip->members, now_ns, &probe)) {
        send_probe(gossip, &probe, probe.peer_address, now_ns);
        for (uint32_t i = 0; i < probe.helper_count; i++) {
            send_probe(gossip, &probe, probe.helper_addresses[i], now_ns);
        }
    }
}

/* Requests the records of a peer that differ from those of this VM. */
void
rp_gossip_send_config_sync_request(
    struct rp_gossip *gossip, const struct rp_config_sync_request *request,
    int64_t now_ns)
{
    const struct rp_member_info *peer =
        rp_member_find(gossip->members, request->peer);
    struct rp_peer_message message = {.kind = RP_PEER_CONFIG_SYNC_REQUEST};
    memcpy(message.body.config_sync_request.bucket_digests, request->buckets,
           sizeof(request->buckets));
    if (peer != NULL) {
        rp_gossip_send(gossip, &message, peer->peer_address, now_ns);
    }
}
