#ifndef RP_GOSSIP_H
#define RP_GOSSIP_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "kernel.h"
#include "member.h"

/* Body of RP_MSG_LOCAL_STATE, from dispatch or entry to gossip: attributes of
 * this entry VM. Fields whose flag is not set are ignored. */
#define RP_LOCAL_STATE_LOAD (1u << 0)
#define RP_LOCAL_STATE_TICKET (1u << 1)
#define RP_LOCAL_STATE_LOAN (1u << 2)
struct rp_local_state {
    uint32_t flags;
    uint32_t load_permille;
    uint32_t loan_borrower; /* see struct rp_member_info */
    uint32_t loan_ppm;
    char ticket_prefix[RP_MEMBER_TICKET_BYTES];
    int64_t ticket_expires_ns;
};

struct rp_gossip_settings {
    const char *const *seeds; /* peer addresses, "ip:port" */
    uint32_t seed_count;
    bool single_ring; /* never divided by failure domains (overlay.h) */
};

/* Limit on the bytes that a member sends per second. Each byte sent is
 * received by another member, so that both directions together stay below
 * 13,000. */
#define RP_GOSSIP_MAX_BYTES_PER_S 6500u
#define RP_GOSSIP_HEARTBEAT_BYTES_PER_S 4500u
/* Heartbeats of a relay to other failure domains, in addition: it sends four a
 * second in a fleet of three domains, and each may have the maximum size. */
#define RP_GOSSIP_REMOTE_BYTES_PER_S 5500u
/* At 570 changes a day the mean rates are below 1 byte/s. These limits bound
 * the share of a 10 Mbit/s link that a rapid series of changes or a mass
 * restart may use. */
#define RP_GOSSIP_PUSH_BYTES_PER_S 131072u
#define RP_GOSSIP_REPAIR_BYTES_PER_S 65536u
#define RP_GOSSIP_ANSWER_BYTES_PER_S 1000u
#define RP_GOSSIP_MEMBERS_BYTES_PER_S 65536u
/* Bursts above these rates: answers while a partition heals, the member list
 * sent to 40 members in a fleet of 130, two configurations of 1,400 routes
 * pushed to all neighbours, and the whole configuration sent to a booting VM.
 */
#define RP_GOSSIP_ANSWER_BURST_BYTES 32768u
#define RP_GOSSIP_MEMBERS_BURST_BYTES 262144u
#define RP_GOSSIP_PUSH_BURST_BYTES 1048576u
#define RP_GOSSIP_REPAIR_BURST_BYTES 1048576u
/* Batches up to this compressed size are pushed along both trees, larger ones
 * along one, so that every member gets a large configuration once. Those above
 * the second limit are announced, and sent to the members that request them.
 */
#define RP_GOSSIP_DOUBLE_PUSH_MAX_BYTES 32768u
#define RP_GOSSIP_PUSH_MAX_BYTES 131072u
/* Batches up to this compressed size, such as drains and other changes of
 * targets, are pushed within another failure domain by two of its relays. A
 * member there gets four copies, which larger ones would make too costly. */
#define RP_GOSSIP_SECOND_RELAY_MAX_BYTES 4096u

struct rp_gossip;

#ifdef __cplusplus
extern "C" {
#endif

struct rp_gossip *rp_gossip_new(struct rp_kernel *kernel,
                                const struct rp_gossip_settings *settings,
                                int64_t now_ns, GError **error);
const struct rp_member_table *
rp_gossip_members(const struct rp_gossip *gossip);

#ifdef __cplusplus
}
#endif

#endif
