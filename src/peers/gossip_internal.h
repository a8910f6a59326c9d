#ifndef RP_GOSSIP_INTERNAL_H
#define RP_GOSSIP_INTERNAL_H

/* Internals of the gossip task, for the gossip*.c files only. */

#include "byte_budget.h"
#include "config_task.h"
#include "gossip.h"
#include "hint_pool.h"
#include "peer_message.h"

/* State of a peer for checking the order of its messages, estimating their
 * delay and limiting the rate of answers. */
struct gossip_peer {
    char id[RP_ID_BYTES];
    uint64_t incarnation;
    uint64_t seq; /* greatest received */
    /* Smallest difference between the local clock and the peer's, which
     * corresponds to a message without delay. It is kept for two overlapping
     * periods so that it follows clock drift. */
    int64_t min_offset_ms;
    int64_t next_min_offset_ms;
    int64_t offset_period_start_ns;
    int64_t last_answer_ns;
    int64_t first_message_ns; /* reception of its first message */
};

/* Overhead per message of CURVE, ZeroMQ framing, TCP and IP, including half of
 * a TCP acknowledgement. It counts against the budgets. */
#define GOSSIP_OVERHEAD_BYTES 120

/* Flags of a heartbeat. */
#define HEARTBEAT_ANSWER (1u << 0)          /* never answered itself */
#define HEARTBEAT_REQUEST_ANSWER (1u << 1)  /* even if nothing differs */
#define HEARTBEAT_PROFILES (1u << 2)        /* include profiles of members */
#define HEARTBEAT_REQUEST_MEMBERS (1u << 3) /* request all members */

struct rp_gossip {
    struct rp_kernel *kernel;
    struct rp_context *context;
    struct rp_task *task;
    struct rp_task *wire;
    struct rp_member_table *members;
    struct rp_hint_pool *hints;
    int64_t pause_end_ns; /* end of the latest pause; 0 for none */
    GHashTable *peers;    /* of struct gossip_peer, by id */
    struct rp_byte_budget push_budget;
    struct rp_byte_budget repair_budget;
    struct rp_byte_budget answer_budget;
    struct rp_byte_budget members_budget;
    struct rp_config_state config;
    bool has_platform;
    uint64_t platform_revision;
    int64_t platform_fresh_ns; /* read here or reported by a peer */
    uint64_t seq;
    uint64_t ticks;
    uint32_t join_query_count;    /* requests for all members */
    uint32_t next_query_index;    /* in the list of contacts */
    int64_t members_requested_ns; /* last request to a peer */
    uint32_t announced_count;     /* live members at the last of these */
    int64_t news_relayed_ns;      /* last heartbeats because of news */
    int64_t members_agreed_ns;    /* last peer with the same member digest */
    int64_t members_announced_ns; /* last heartbeats after a list */
    int64_t grace_until_ns;       /* after a pause: no pushes before this */
    int64_t next_malformed_event_ns;
    uint64_t unreported_malformed_count;
};

#ifdef __cplusplus
extern "C" {
#endif

void rp_gossip_receive(struct rp_gossip *gossip, GBytes *payload,
                       int64_t now_ns);
void rp_gossip_record_platform(struct rp_gossip *gossip, int64_t fresh_ns,
                               uint64_t revision, bool notify_platform);
void rp_gossip_send(struct rp_gossip *gossip, struct rp_peer_message *message,
                    const char *address, int64_t now_ns);
void rp_gossip_send_heartbeat(struct rp_gossip *gossip,
                              const char *receiver_id, const char *address,
                              uint32_t flags, int64_t now_ns);
void rp_gossip_send_heartbeats(struct rp_gossip *gossip, int64_t now_ns);
void rp_gossip_send_remote_claims(struct rp_gossip *gossip, int64_t now_ns);
void rp_gossip_send_domain_claims(struct rp_gossip *gossip, const char *domain,
                                  int64_t now_ns);
void rp_gossip_send_probes(struct rp_gossip *gossip, int64_t now_ns);
void rp_gossip_send_config_sync_request(
    struct rp_gossip *gossip, const struct rp_config_sync_request *request,
    int64_t now_ns);
void rp_gossip_query_contact(struct rp_gossip *gossip, int64_t now_ns);
void rp_gossip_query_peer(struct rp_gossip *gossip,
                          const struct rp_member_info *peer,
                          uint32_t alive_count, int64_t now_ns);
void rp_gossip_send_members(struct rp_gossip *gossip,
                            const struct rp_member_info *peer, int64_t now_ns);
GArray *rp_gossip_read_members(const struct rp_peer_members *members);
uint32_t rp_gossip_heartbeat_bytes(const struct rp_gossip *gossip,
                                   const char *address, uint32_t flags,
                                   int64_t now_ns);
void rp_gossip_forward_records(struct rp_gossip *gossip,
                               const struct rp_peer_batch *records,
                               int64_t now_ns);
struct rp_record_batch *
rp_gossip_read_records(const struct rp_peer_batch *records, GError **error);
void rp_gossip_push_records(struct rp_gossip *gossip,
                            const struct rp_config_records *records,
                            int64_t now_ns);
void rp_gossip_send_records(struct rp_gossip *gossip,
                            const struct rp_config_records *records,
                            int64_t now_ns);

#ifdef __cplusplus
}
#endif

#endif
