#include <string.h>

#include "compress.h"
#include "gossip_internal.h"
#include "msgpack_check.h"
#include "neighbor.h"
#include "record_batch.h"

/* Dissemination of records. Newly accepted records are pushed along two trees
 * over the ring of members, one in each direction, so that every member gets
 * two copies on different paths, or one of a large batch. In a fleet that is
 * divided by failure domains, the trees are those of each domain, and the
 * member that accepted the records sends them to two relays of each other
 * domain. Anti-entropy repairs losses: a member that finds
 * a different digest in a heartbeat requests the records it lacks. */

/* Smaller batches gain too little from compression. */
#define MIN_COMPRESS_BYTES 512u

static void
encode_batch(const struct rp_record_batch *batch, GByteArray *encoded,
             struct rp_peer_batch *records)
{
    rp_record_batch_encode(batch, encoded);
    uint32_t uncompressed_bytes = encoded->len;
    if (uncompressed_bytes >= MIN_COMPRESS_BYTES) {
        GByteArray *compressed = g_byte_array_new();
        if (rp_compress(encoded->data, uncompressed_bytes, compressed)) {
            g_byte_array_set_size(encoded, 0);
            g_byte_array_append(encoded, compressed->data, compressed->len);
            records->uncompressed_bytes = uncompressed_bytes;
        }
        g_byte_array_unref(compressed);
    }
    records->bytes = encoded->data;
    records->byte_count = encoded->len;
}

static bool
send_records(struct rp_gossip *gossip, const struct rp_peer_batch *records,
             const char *address, struct rp_byte_budget *budget,
             int64_t now_ns)
{
    if (!rp_byte_budget_consume(
            budget, records->byte_count + GOSSIP_OVERHEAD_BYTES, now_ns))
    {
        rp_counter_add(&gossip->context->counters, RP_COUNTER_PEER_HELD_BACK,
                       1);
        return false;
    }
    struct rp_peer_message message = {.kind = RP_PEER_CONFIG_RECORDS};
    message.body.records = *records;
    rp_gossip_send(gossip, &message, address, now_ns);
    return true;
}

/* Sends heartbeats with the new configuration digest to the neighbours, except
 * the member named from. Those that lack records then request them. */
static void
announce(struct rp_gossip *gossip, const char *from, int64_t now_ns)
{
    const struct rp_member_info *neighbors[RP_MEMBER_RECEIVER_LIMIT];
    uint32_t count = rp_member_neighbors(gossip->members, neighbors, now_ns);
    for (uint32_t i = 0; i < count; i++) {
        uint32_t bytes = rp_gossip_heartbeat_bytes(
                             gossip, neighbors[i]->peer_address, 0, now_ns) +
                         GOSSIP_OVERHEAD_BYTES;
        if (strcmp(neighbors[i]->id, from) != 0 &&
            rp_byte_budget_consume(&gossip->push_budget, bytes, now_ns))
        {
            rp_gossip_send_heartbeat(gossip, neighbors[i]->id,
                                     neighbors[i]->peer_address, 0, now_ns);
        }
    }
}

static void
send_branches(struct rp_gossip *gossip, const struct rp_peer_batch *records,
              const struct rp_member_branch *branches, uint32_t count,
              int64_t now_ns)
{
    struct rp_peer_batch forwarded = *records;
    for (uint32_t i = 0; i < count; i++) {
        forwarded.span = branches[i].span;
        send_records(gossip, &forwarded, branches[i].info->peer_address,
                     &gossip->push_budget, now_ns);
    }
}

static void
forward_once(struct rp_gossip *gossip, const struct rp_peer_batch *records,
             int64_t now_ns)
{
    struct rp_member_branch branches[RP_NEIGHBOR_LIMIT];
    uint32_t count =
        records->part == RP_PEER_PUSH_DOMAIN
            ? rp_member_domain_branches(gossip->members, records->span,
                                        records->backward, branches)
            : rp_member_ring_branches(gossip->members, records->span,
                                      records->backward, branches);
    send_branches(gossip, records, branches, count, now_ns);
}

/* Forwards pushed records to the members of this entry VM's span. Records over
 * the budget are dropped; the next regular heartbeat announces them. */
void
rp_gossip_forward_records(struct rp_gossip *gossip,
                          const struct rp_peer_batch *records, int64_t now_ns)
{
    struct rp_peer_batch forwarded = *records;
    if (records->part == RP_PEER_PUSH_DOMAIN_BOTH) {
        forwarded.part = RP_PEER_PUSH_DOMAIN;
        forwarded.backward = !records->backward;
        forward_once(gossip, &forwarded, now_ns);
        forwarded.backward = records->backward;
    }
    forward_once(gossip, &forwarded, now_ns);
}

/* Sends pushed records to the relay of the given rank in each other domain. A
 * span of 0 stands for all members of the domain. */
static void
send_to_domains(struct rp_gossip *gossip, const struct rp_peer_batch *records,
                uint32_t rank, uint32_t span, int64_t now_ns)
{
    struct rp_member_branch relays[RP_OVERLAY_MAX_DOMAINS];
    uint32_t count = rp_member_entry_points(gossip->members, rank, relays);
    for (uint32_t i = 0; i < count && span > 0; i++) {
        relays[i].span = span;
    }
    send_branches(gossip, records, relays, count, now_ns);
}

/* Pushes records in a fleet that is divided by failure domains. A relay of
 * another domain forwards them along both trees, since the loss of another
 * member then cuts off none; the second relay does so with small batches, in
 * case the first is lost. It only keeps the others; its neighbours request
 * them if they hear of them from it first. */
static void
push_to_domains(struct rp_gossip *gossip, struct rp_peer_batch *pushed,
                bool push_both, int64_t now_ns)
{
    bool is_small = pushed->byte_count <= RP_GOSSIP_SECOND_RELAY_MAX_BYTES;
    pushed->part = push_both ? RP_PEER_PUSH_DOMAIN_BOTH : RP_PEER_PUSH_DOMAIN;
    send_to_domains(gossip, pushed, 0, 0, now_ns);
    send_to_domains(gossip, pushed, 1, is_small ? 0 : 1, now_ns);
    rp_gossip_forward_records(gossip, pushed, now_ns);
}

/* Pushes records along both trees, or along one if they are large. */
static void
push_batch(struct rp_gossip *gossip, struct rp_peer_batch *pushed,
           int64_t now_ns)
{
    bool push_both = pushed->byte_count <= RP_GOSSIP_DOUBLE_PUSH_MAX_BYTES;
    pushed->span = RP_MEMBER_LIMIT;
    if (rp_member_is_divided(gossip->members)) {
        push_to_domains(gossip, pushed, push_both, now_ns);
        return;
    }
    rp_gossip_forward_records(gossip, pushed, now_ns);
    if (push_both) {
        pushed->backward = true;
        rp_gossip_forward_records(gossip, pushed, now_ns);
    }
}

/* Pushes newly accepted records to all members. Announced to the neighbours
 * instead are large batches, records accepted right after a pause or while
 * starting, and those that a peer sent on request: the push of these is under
 * way, and in a series of changes a push by each member that requested them
 * would be a broadcast for every member. */
void
rp_gossip_push_records(struct rp_gossip *gossip,
                       const struct rp_config_records *records, int64_t now_ns)
{
    if (now_ns < gossip->grace_until_ns ||
        gossip->config.phase == RP_CONFIG_STARTING || records->peer[0] != '\0')
    {
        announce(gossip, records->peer, now_ns);
        return;
    }
    GByteArray *encoded = g_byte_array_new();
    struct rp_peer_batch pushed = {0};
    encode_batch(records->batch, encoded, &pushed);
    if (pushed.byte_count > RP_GOSSIP_PUSH_MAX_BYTES) {
        announce(gossip, records->peer, now_ns);
    }
    else {
        push_batch(gossip, &pushed, now_ns);
    }
    g_byte_array_unref(encoded);
}

/* Sends records that a peer requested, if the budget allows; otherwise the
 * peer repeats its request. */
void
rp_gossip_send_records(struct rp_gossip *gossip,
                       const struct rp_config_records *records, int64_t now_ns)
{
    const struct rp_member_info *peer =
        rp_member_find(gossip->members, records->peer);
    if (peer == NULL) {
        return;
    }
    GByteArray *encoded = g_byte_array_new();
    struct rp_peer_batch answer = {
        .is_answer = true,
        .part = records->part,
        .last = records->last,
    };
    encode_batch(records->batch, encoded, &answer);
    send_records(gossip, &answer, peer->peer_address, &gossip->repair_budget,
                 now_ns);
    g_byte_array_unref(encoded);
}

/* Decodes the records of a message; the caller owns the batch. Returns NULL
 * when they are malformed, with or without error set. */
struct rp_record_batch *
rp_gossip_read_records(const struct rp_peer_batch *records, GError **error)
{
    if (records->uncompressed_bytes == 0) {
        return rp_msgpack_check(records->bytes, records->byte_count)
                   ? rp_record_batch_decode(records->bytes,
                                            records->byte_count, error)
                   : NULL;
    }
    GByteArray *decompressed = g_byte_array_new();
    struct rp_record_batch *batch = NULL;
    if (rp_decompress(records->bytes, records->byte_count,
                      records->uncompressed_bytes, decompressed) &&
        rp_msgpack_check(decompressed->data, decompressed->len))
    {
        batch = rp_record_batch_decode(decompressed->data, decompressed->len,
                                       error);
    }
    g_byte_array_unref(decompressed);
    return batch;
}
