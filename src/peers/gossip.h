#ifndef RP_GOSSIP_H
#define RP_GOSSIP_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "kernel.h"
#include "member.h"

/* Body of RP_MSG_LOCAL_STATE, dispatch or entry to gossip: what this entry VM
 * says about itself. Fields whose flag is not set stay as they are. */
#define RP_SELF_LOAD (1u << 0)
#define RP_SELF_TICKET (1u << 1)
struct rp_self_state {
    uint32_t flags;
    uint32_t load_permille;
    char ticket_prefix[RP_MEMBER_TICKET_BYTES];
    int64_t ticket_expires_ns;
};

struct rp_gossip_settings {
    const char *const *seeds; /* peer addresses, "ip:port" */
    uint32_t seed_count;
};

/* Bytes a second that a member sends. Each byte sent is received by another
 * member, so that both directions together keep to 13,000. */
#define RP_GOSSIP_MAX_BYTES_PER_S 6500u
#define RP_GOSSIP_HEARTBEAT_BYTES_PER_S 4500u
/* Of 570 changes a day the means are below 1 byte/s; these rates bound what a
 * rapid series of changes or a mass restart takes of a link of 10 Mbit/s. */
#define RP_GOSSIP_PUSH_BYTES_PER_S 65536u
#define RP_GOSSIP_REPAIR_BYTES_PER_S 65536u
#define RP_GOSSIP_ANSWER_BYTES_PER_S 1000u
#define RP_GOSSIP_MEMBERS_BYTES_PER_S 65536u
/* Beyond that: one change pushed to all neighbours, the whole configuration
 * for a booting VM, answers while a partition heals, and all members told to
 * 40 others in a fleet of 130. */
#define RP_GOSSIP_ANSWER_BURST_BYTES 32768u
#define RP_GOSSIP_MEMBERS_BURST_BYTES 262144u
#define RP_GOSSIP_PUSH_BURST_BYTES 524288u
#define RP_GOSSIP_REPAIR_BURST_BYTES 1048576u
/* Batches that are larger when compressed are not pushed but announced, and
 * sent to who asks. */
#define RP_GOSSIP_PUSH_MAX_BYTES 32768u

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
