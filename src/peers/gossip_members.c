#include "compress.h"
#include "gossip_internal.h"

/* Transfer of the whole member list to a starting member. With the two or
 * three updates of a regular heartbeat, a member of a large fleet would
 * receive all others only after many seconds. */

/* A peer that reports this many more live members is queried for all. */
#define MIN_MISSING_MEMBERS 4
/* Between two of these requests: allows the answer to arrive, and grows with
 * its size, so that lists of hundreds of members do not fill the links of a
 * fleet that starts as a whole. */
#define MIN_REQUEST_INTERVAL_NS INT64_C(100000000)
#define REQUEST_INTERVAL_PER_MEMBER_NS INT64_C(1000000)
/* Fewer missing members are requested this long after the last request and
 * after the last heartbeat of a peer with the same members. */
#define STRAGGLER_INTERVAL_NS INT64_C(500000000)

/* Writes the addresses from which to request all members, and returns their
 * number. Later requests go to contacts of the own failure domain or, where
 * none is known, to other members of it, so that the lists of a fleet that
 * starts as a whole seldom cross the border of a domain. The first one goes to
 * any contact, since the members of a domain may know only each other. */
static uint32_t
list_contacts(const struct rp_gossip *gossip,
              const char *addresses[RP_MEMBER_LIMIT])
{
    uint32_t count =
        rp_member_contacts(gossip->members, addresses, RP_MEMBER_LIMIT);
    if (gossip->join_query_count == 0 ||
        MAX(count, gossip->context->identity.fleet_size) <
            RP_OVERLAY_MIN_MEMBERS)
    {
        return count;
    }
    uint32_t near_count = 0;
    for (uint32_t i = 0; i < count; i++) {
        if (!rp_member_is_remote_address(gossip->members, addresses[i])) {
            addresses[near_count++] = addresses[i];
        }
    }
    if (near_count == 0) {
        near_count =
            rp_member_near(gossip->members, addresses, RP_MEMBER_LIMIT);
    }
    return near_count > 0 ? near_count
                          : rp_member_contacts(gossip->members, addresses,
                                               RP_MEMBER_LIMIT);
}

/* Requests all members from a random contact: an entry VM of the platform's
 * list, or a seed if the list is empty. */
void
rp_gossip_query_contact(struct rp_gossip *gossip, int64_t now_ns)
{
    const char *addresses[RP_MEMBER_LIMIT];
    uint32_t count = list_contacts(gossip, addresses);
    if (count == 0) {
        return;
    }
    gint32 index = g_rand_int_range(gossip->context->random, 0, (gint32)count);
    rp_gossip_send_heartbeat(gossip, "", addresses[index],
                             HEARTBEAT_PROFILES | HEARTBEAT_REQUEST_MEMBERS,
                             now_ns);
}

/* Returns whether a peer's list is worth a request: it knows several more live
 * members, or fewer that regular heartbeats have not brought for a time, as
 * when a domain of a large fleet returns and much else is to be told. */
static bool
lacks_members(const struct rp_gossip *gossip, uint32_t alive_count,
              int64_t now_ns)
{
    uint32_t local_count = rp_member_count(gossip->members, RP_MEMBER_ALIVE);
    int64_t since_request_ns = now_ns - gossip->members_requested_ns;
    if (alive_count >= local_count + MIN_MISSING_MEMBERS) {
        return since_request_ns >=
               MAX(MIN_REQUEST_INTERVAL_NS,
                   alive_count * REQUEST_INTERVAL_PER_MEMBER_NS);
    }
    return alive_count > local_count &&
           rp_member_is_divided(gossip->members) &&
           since_request_ns >= STRAGGLER_INTERVAL_NS &&
           now_ns - gossip->members_agreed_ns >= STRAGGLER_INTERVAL_NS;
}

/* Requests all members from a peer that knows more than this VM. In a fleet
 * that is divided by failure domains, only relays request them from another
 * domain; the other members request them from those of their own domain. */
void
rp_gossip_query_peer(struct rp_gossip *gossip,
                     const struct rp_member_info *peer, uint32_t alive_count,
                     int64_t now_ns)
{
    if (!lacks_members(gossip, alive_count, now_ns) ||
        (rp_member_is_divided(gossip->members) &&
         !rp_member_is_relay(gossip->members) &&
         rp_member_is_remote_address(gossip->members, peer->peer_address)))
    {
        return;
    }
    gossip->members_requested_ns = now_ns;
    rp_gossip_send_heartbeat(gossip, peer->id, peer->peer_address,
                             HEARTBEAT_PROFILES | HEARTBEAT_REQUEST_MEMBERS,
                             now_ns);
}

/* Sends all members to a peer. Nothing is sent when the budget is exceeded:
 * regular heartbeats carry updates, and the peer repeats its request. */
void
rp_gossip_send_members(struct rp_gossip *gossip,
                       const struct rp_member_info *peer, int64_t now_ns)
{
    GArray *updates =
        g_array_new(FALSE, FALSE, sizeof(struct rp_member_update));
    GByteArray *encoded = g_byte_array_new();
    GByteArray *compressed = g_byte_array_new();
    struct rp_member_update update;
    rp_member_begin_updates(gossip->members, peer->id, true);
    while (rp_member_next_update(gossip->members, now_ns, &update)) {
        g_array_append_val(updates, update);
    }
    rp_peer_updates_encode((const struct rp_member_update *)updates->data,
                           updates->len, encoded);
    struct rp_peer_message message = {.kind = RP_PEER_MEMBERS};
    struct rp_peer_members *members = &message.body.members;
    members->bytes = encoded->data;
    members->byte_count = encoded->len;
    if (rp_compress(encoded->data, encoded->len, compressed)) {
        members->bytes = compressed->data;
        members->byte_count = compressed->len;
        members->uncompressed_bytes = encoded->len;
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
    g_byte_array_unref(encoded);
    g_array_unref(updates);
}

/* Decodes the members of a message into an array of struct rp_member_update,
 * owned by the caller. Returns NULL when they are malformed. */
GArray *
rp_gossip_read_members(const struct rp_peer_members *members)
{
    GArray *updates =
        g_array_new(FALSE, FALSE, sizeof(struct rp_member_update));
    GByteArray *decompressed = g_byte_array_new();
    bool valid;
    if (members->uncompressed_bytes == 0) {
        valid = rp_peer_updates_decode(members->bytes, members->byte_count,
                                       updates);
    }
    else {
        valid = rp_decompress(members->bytes, members->byte_count,
                              members->uncompressed_bytes, decompressed) &&
                rp_peer_updates_decode(decompressed->data, decompressed->len,
                                       updates);
    }
    g_byte_array_unref(decompressed);
    if (!valid) {
        g_array_unref(updates);
        return NULL;
    }
    return updates;
}
