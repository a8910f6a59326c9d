#include "compress.h"
#include "gossip_internal.h"

/* How a member that has just started comes to know all others at once. The two
 * or three statements of a regular heartbeat would take many seconds in a
 * large fleet. */

/* Another member that knows so many more is asked for all. */
#define LACK_LEAST 4
/* Between two of these requests: the answer has come by then. */
#define ASK_NS INT64_C(100000000)

/* Asks the seeds, or the entry VMs of the platform's list, for all members:
 * one of them, at random. */
void
rp_gossip_ask_contact(struct rp_gossip *gossip, int64_t now_ns)
{
    const char *addresses[RP_MEMBER_LIMIT];
    uint32_t count =
        rp_member_contacts(gossip->members, addresses, RP_MEMBER_LIMIT);
    if (count == 0) {
        return;
    }
    gint32 index = g_rand_int_range(gossip->context->random, 0, (gint32)count);
    rp_gossip_send_heartbeat(gossip, "", addresses[index],
                             HEARTBEAT_FULL | HEARTBEAT_WANT, now_ns);
}

/* Asks a peer that knows several members more for all that it knows. */
void
rp_gossip_ask_peer(struct rp_gossip *gossip, const struct rp_member_info *peer,
                   uint32_t alive_count, int64_t now_ns)
{
    uint32_t own_count = rp_member_count(gossip->members, RP_MEMBER_ALIVE);
    if (alive_count < own_count + LACK_LEAST ||
        now_ns - gossip->members_asked_ns < ASK_NS)
    {
        return;
    }
    gossip->members_asked_ns = now_ns;
    rp_gossip_send_heartbeat(gossip, peer->id, peer->peer_address,
                             HEARTBEAT_FULL | HEARTBEAT_WANT, now_ns);
}

/* Tells a peer of all members. What is over the budget is left to regular
 * heartbeats; the peer asks again. */
void
rp_gossip_send_members(struct rp_gossip *gossip,
                       const struct rp_member_info *peer, int64_t now_ns)
{
    GArray *updates =
        g_array_new(FALSE, FALSE, sizeof(struct rp_member_update));
    GByteArray *plain = g_byte_array_new();
    GByteArray *compressed = g_byte_array_new();
    struct rp_member_update update;
    rp_member_begin_updates(gossip->members, peer->id, true);
    while (rp_member_next_update(gossip->members, now_ns, &update)) {
        g_array_append_val(updates, update);
    }
    rp_peer_updates_encode((const struct rp_member_update *)updates->data,
                           updates->len, plain);
    struct rp_peer_message message = {.kind = RP_PEER_MEMBERS};
    struct rp_peer_members *members = &message.body.members;
    members->bytes = plain->data;
    members->byte_count = plain->len;
    if (rp_compress(plain->data, plain->len, compressed)) {
        members->bytes = compressed->data;
        members->byte_count = compressed->len;
        members->plain_bytes = plain->len;
    }
    if (rp_byte_budget_consume(&gossip->members_budget,
                               members->byte_count + GOSSIP_OVERHEAD_BYTES,
                               now_ns))
    {
        rp_gossip_send(gossip, &message, peer->peer_address, now_ns);
    }
    else {
        rp_counter_add(&gossip->context->counters, RP_COUNTER_PEER_HELD_BACK,
                       1);
    }
    g_byte_array_unref(compressed);
    g_byte_array_unref(plain);
    g_array_unref(updates);
}

/* Reads the members of a message; the caller owns the array of struct
 * rp_member_update. Returns NULL when they are malformed. */
GArray *
rp_gossip_read_members(const struct rp_peer_members *members)
{
    GArray *updates =
        g_array_new(FALSE, FALSE, sizeof(struct rp_member_update));
    GByteArray *plain = g_byte_array_new();
    bool valid;
    if (members->plain_bytes == 0) {
        valid = rp_peer_updates_decode(members->bytes, members->byte_count,
                                       updates);
    }
    else {
        valid = rp_decompress(members->bytes, members->byte_count,
                              members->plain_bytes, plain) &&
                rp_peer_updates_decode(plain->data, plain->len, updates);
    }
    g_byte_array_unref(plain);
    if (!valid) {
        g_array_unref(updates);
        return NULL;
    }
    return updates;
}
