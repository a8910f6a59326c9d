#ifndef RP_GOSSIP_INTERNAL_H
#define RP_GOSSIP_INTERNAL_H

/* Inside of the gossip task, for the gossip*.c files only. */

#include "byte_budget.h"
#include "config_task.h"
#include "gossip.h"
#include "hint_pool.h"
#include "peer_message.h"

/* What the order and the delay of a peer's messages are judged by. */
struct gossip_peer {
    char id[RP_ID_BYTES];
    uint64_t incarnation;
    uint64_t seq; /* greatest one received */
    /* Least difference seen between this clock and the peer's, which is that
     * of a message without delay; in two periods, so that it follows drift. */
    int64_t least_offset_ms;
    int64_t next_least_offset_ms;
    int64_t offset_period_ns;
    int64_t answered_ns;
    int64_t first_ns; /* when its first message came */
};

/* What CURVE, ZeroMQ's framing, TCP and IP add to a message, with half an
 * acknowledgement; it counts against the budgets. */
#define GOSSIP_OVERHEAD_BYTES 120

/* Flags of a heartbeat. */
#define HEARTBEAT_ANSWER (1u << 0) /* never answered again */
#define HEARTBEAT_ASK (1u << 1)    /* to be answered in any case */
#define HEARTBEAT_FULL (1u << 2)   /* with the profiles of members */
#define HEARTBEAT_WANT (1u << 3)   /* to be answered with all members */

struct rp_gossip {
    struct rp_kernel *kernel;
    struct rp_context *context;
    struct rp_task *task;
    struct rp_task *wire;
    struct rp_member_table *members;
    struct rp_hint_pool *hints;
    int64_t woken_ns;  /* end of the latest pause; 0 for none */
    GHashTable *peers; /* of struct gossip_peer, keyed by their ids */
    struct rp_byte_budget push_budget;
    struct rp_byte_budget repair_budget;
    struct rp_byte_budget answer_budget;
    struct rp_byte_budget members_budget;
    struct rp_config_state config;
    bool has_platform;
    uint64_t platform_revision;
    int64_t platform_fresh_ns; /* by this VM or by word of a peer */
    uint64_t seq;
    uint64_t ticks;
    uint32_t join_asks;       /* for all members, since the start */
    uint32_t next_ask;        /* place in the list of those to ask */
    int64_t members_asked_ns; /* when another was last asked for all members */
    int64_t quiet_until_ns;   /* after a pause: nothing is pushed */
    int64_t next_malformed_event_ns;
    uint64_t malformed_unreported;
};

#ifdef __cplusplus
extern "C" {
#endif

void rp_gossip_receive(struct rp_gossip *gossip, GBytes *payload,
                       int64_t now_ns);
void rp_gossip_note_platform(struct rp_gossip *gossip, int64_t fresh_ns,
                             uint64_t revision, bool tell);
void rp_gossip_send(struct rp_gossip *gossip, struct rp_peer_message *message,
                    const char *address, int64_t now_ns);
void rp_gossip_send_heartbeat(struct rp_gossip *gossip, const char *to_id,
                              const char *address, uint32_t flags,
                              int64_t now_ns);
void rp_gossip_send_heartbeats(struct rp_gossip *gossip, int64_t now_ns);
void rp_gossip_send_probes(struct rp_gossip *gossip, int64_t now_ns);
void rp_gossip_send_want(struct rp_gossip *gossip,
                         const struct rp_config_request *want, int64_t now_ns);
void rp_gossip_ask_contact(struct rp_gossip *gossip, int64_t now_ns);
void rp_gossip_ask_peer(struct rp_gossip *gossip,
                        const struct rp_member_info *peer,
                        uint32_t alive_count, int64_t now_ns);
void rp_gossip_send_members(struct rp_gossip *gossip,
                            const struct rp_member_info *peer, int64_t now_ns);
GArray *rp_gossip_read_members(const struct rp_peer_members *members);
uint32_t rp_gossip_heartbeat_bytes(const struct rp_gossip *gossip,
                                   uint32_t flags);
void rp_gossip_pass_on(struct rp_gossip *gossip,
                       const struct rp_peer_batch *records, int64_t now_ns);
struct rp_record_batch *
rp_gossip_read_records(const struct rp_peer_batch *records, GError **error);
void rp_gossip_push(struct rp_gossip *gossip,
                    const struct rp_config_records *records, int64_t now_ns);
void rp_gossip_send_records(struct rp_gossip *gossip,
                            const struct rp_config_records *records,
                            int64_t now_ns);

#ifdef __cplusplus
}
#endif

#endif
