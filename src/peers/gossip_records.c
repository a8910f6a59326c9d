#include <string.h>

#include "compress.h"
#include "gossip_internal.h"
#include "msgpack_check.h"
#include "neighbor.h"
#include "record_batch.h"

/* How records travel between members: newly accepted ones are pushed along two
 * trees over the ring of members, one in each direction, so that everyone gets
 * two copies on different ways; what was lost is asked for by who notices from
 * the digests in heartbeats. */

/* Below this, compression saves less than it costs. */
#define COMPRESS_LEAST_BYTES 512u

static void
encode_batch(const struct rp_record_batch *batch, GByteArray *encoded,
             struct rp_peer_batch *records)
{
    rp_record_batch_encode(batch, encoded);
    uint32_t plain_bytes = encoded->len;
    if (plain_bytes >= COMPRESS_LEAST_BYTES) {
        GByteArray *smaller = g_byte_array_new();
        if (rp_compress(encoded->data, plain_bytes, smaller)) {
            g_byte_array_set_size(encoded, 0);
            g_byte_array_append(encoded, smaller->data, smaller->len);
            records->plain_bytes = plain_bytes;
        }
        g_byte_array_unref(smaller);
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

/* Tells the neighbours by heartbeats that there is something new: then it goes
 * only to those who lack it. */
static void
announce(struct rp_gossip *gossip, const char *from, int64_t now_ns)
{
    const struct rp_member_info *neighbors[RP_NEIGHBOR_LIMIT];
    uint32_t count =
        rp_member_neighbors(gossip->members, neighbors, RP_NEIGHBOR_LIMIT);
    uint32_t bytes =
        rp_gossip_heartbeat_bytes(gossip, 0) + GOSSIP_OVERHEAD_BYTES;
    for (uint32_t i = 0; i < count; i++) {
        if (strcmp(neighbors[i]->id, from) != 0 &&
            rp_byte_budget_consume(&gossip->push_budget, bytes, now_ns))
        {
            rp_gossip_send_heartbeat(gossip, neighbors[i]->id,
                                     neighbors[i]->peer_address, 0, now_ns);
        }
    }
}

/* Passes pushed records on to those members for which this one answers. What
 * is over the budget is announced by the next regular heartbeat. */
void
rp_gossip_pass_on(struct rp_gossip *gossip,
                  const struct rp_peer_batch *records, int64_t now_ns)
{
    struct rp_member_branch branches[RP_NEIGHBOR_LIMIT];
    uint32_t count =
        rp_member_branches(gossip->members, records->span, records->backward,
                           branches, RP_NEIGHBOR_LIMIT);
    struct rp_peer_batch passed = *records;
    for (uint32_t i = 0; i < count; i++) {
        passed.span = branches[i].span;
        send_records(gossip, &passed, branches[i].info->peer_address,
                     &gossip->push_budget, now_ns);
    }
}

/* Pushes newly accepted records to all members. What is large or accepted
 * right after a pause is announced instead. */
void
rp_gossip_push(struct rp_gossip *gossip,
               const struct rp_config_records *records, int64_t now_ns)
{
    if (now_ns < gossip->quiet_until_ns ||
        gossip->config.phase == RP_CONFIG_STARTING)
    {
        announce(gossip, records->peer, now_ns);
        return;
    }
    GByteArray *encoded = g_byte_array_new();
    struct rp_peer_batch pushed = {.span = RP_MEMBER_LIMIT};
    encode_batch(records->batch, encoded, &pushed);
    if (pushed.byte_count > RP_GOSSIP_PUSH_MAX_BYTES) {
        announce(gossip, records->peer, now_ns);
    }
    else {
        rp_gossip_pass_on(gossip, &pushed, now_ns);
        pushed.backward = true;
        rp_gossip_pass_on(gossip, &pushed, now_ns);
    }
    g_byte_array_unref(encoded);
}

/* Sends records that a peer asked for, as far as the budget goes; it asks
 * again for the rest. */
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

/* Reads the records of a message; the caller owns the batch. Returns NULL when
 * they are malformed, with or without error set. */
struct rp_record_batch *
rp_gossip_read_records(const struct rp_peer_batch *records, GError **error)
{
    if (records->plain_bytes == 0) {
        return rp_msgpack_check(records->bytes, records->byte_count)
                   ? rp_record_batch_decode(records->bytes,
                                            records->byte_count, error)
                   : NULL;
    }
    GByteArray *plain = g_byte_array_new();
    struct rp_record_batch *batch = NULL;
    if (rp_decompress(records->bytes, records->byte_count,
                      records->plain_bytes, plain) &&
        rp_msgpack_check(plain->data, plain->len))
    {
        batch = rp_record_batch_decode(plain->data, plain->len, error);
    }
    g_byte_array_unref(plain);
    return batch;
}
