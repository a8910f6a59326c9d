#ifndef RP_GOSSIP_H
#define RP_GOSSIP_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "kernel.h"
#include "member.h"

#ifndef RP_RECORD_SET_BUCKETS
#define RP_RECORD_SET_BUCKETS 64 /* as in record_set.h */
#endif

struct rp_record_batch;

/* Body of RP_MSG_CONFIG_STATE, config to gossip: what this entry VM has in
 * force, sent when any of it changes. */
struct rp_config_state {
    uint64_t digest;
    uint64_t revision;
    int64_t platform_read_ns; /* when the platform's state was last known to
                                 be this, by this VM or by word of a peer;
                                 INT64_MIN for never */
    enum rp_member_phase phase;
    uint64_t bucket_digests[RP_RECORD_SET_BUCKETS];
};

/* Bodies that hold one reference to a batch begin with it; send them by
 * rp_task_send_owned with rp_gossip_batch_release. */

/* Body of RP_MSG_CONFIG_ACCEPTED, config to gossip: record versions newly in
 * force here, to be pushed to the neighbours. */
struct rp_config_accepted {
    struct rp_record_batch *batch;
    char from[RP_ID_BYTES]; /* peer that sent them, "" for the platform */
};

/* Body of RP_MSG_CONFIG_REQUEST, gossip to config: a peer has these bucket
 * digests. config answers with one RP_MSG_CONFIG_ANSWER for each batch that
 * the peer may lack. */
struct rp_config_request {
    char peer_address[RP_ADDRESS_BYTES];
    uint64_t bucket_digests[RP_RECORD_SET_BUCKETS];
};

/* Body of RP_MSG_CONFIG_ANSWER, config to gossip. */
struct rp_config_answer {
    struct rp_record_batch *batch;
    char peer_address[RP_ADDRESS_BYTES];
};

/* Body of RP_MSG_PEER_RECORDS, gossip to config. */
struct rp_peer_records {
    struct rp_record_batch *batch;
    char from[RP_ID_BYTES];
};

/* Body of RP_MSG_PEER_STATE, gossip to config: what a peer's heartbeat says
 * about its configuration. */
struct rp_peer_state {
    char id[RP_ID_BYTES];
    enum rp_member_phase phase;
    uint64_t digest;
    uint64_t revision;
    int64_t platform_read_ns; /* as in rp_config_state, by this clock */
};

/* Body of RP_MSG_SELF_STATE, dispatch or entry to gossip: what this entry VM
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
#define RP_GOSSIP_BYTES_PER_S 6500u
#define RP_GOSSIP_HEARTBEAT_BYTES_PER_S 4500u
#define RP_GOSSIP_PUSH_BYTES_PER_S 1000u
#define RP_GOSSIP_REPAIR_BYTES_PER_S 1000u
/* Records beyond that: one change pushed to all neighbours, and the whole
 * configuration for a booting VM. */
#define RP_GOSSIP_PUSH_BURST_BYTES 65536u
#define RP_GOSSIP_REPAIR_BURST_BYTES 262144u
/* Larger batches are not pushed but announced, and sent to who asks. */
#define RP_GOSSIP_PUSH_MAX_BYTES 4096u

struct rp_gossip;

#ifdef __cplusplus
extern "C" {
#endif

struct rp_gossip *rp_gossip_new(struct rp_kernel *kernel,
                                const struct rp_gossip_settings *settings,
                                int64_t now_ns, GError **error);
void rp_gossip_free(struct rp_gossip *gossip);
const struct rp_member_table *
rp_gossip_members(const struct rp_gossip *gossip);

void rp_gossip_batch_release(void *body);

#ifdef __cplusplus
}
#endif

#endif
