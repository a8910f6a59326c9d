#ifndef RP_GOSSIP_H
#define RP_GOSSIP_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "kernel.h"
#include "member.h"

/* Records are grouped by the hash of their key, so that two members find out
 * what differs without naming each key. */
#define RP_GOSSIP_BUCKETS 64

/* One record version as it travels. */
struct rp_peer_record {
    char *key;
    uint64_t revision; /* of the platform */
    char *value;       /* JSON text, NUL-terminated */
    uint32_t value_bytes;
};

/* Record versions handed over as one body: immutable once it is shared, and
 * reference counted. */
struct rp_peer_records {
    grefcount references;
    uint32_t count;
    struct rp_peer_record *records;
};

/* Body of RP_MSG_CONFIG_STATE, config to gossip: what this entry VM has in
 * force, sent when any of it changes. */
struct rp_config_state {
    uint64_t digest;
    uint64_t revision;
    int64_t platform_read_ns; /* when the platform's state was last known to
                                 be this, by this VM or by word of a peer;
                                 INT64_MIN for never */
    enum rp_member_phase phase;
    uint64_t bucket_digests[RP_GOSSIP_BUCKETS];
};

/* Body of RP_MSG_CONFIG_ACCEPTED, config to gossip: record versions newly in
 * force here, to be pushed to the neighbours. Holds one reference; send it
 * with rp_peer_records_message_release. */
struct rp_config_accepted {
    struct rp_peer_records *records;
};

/* Body of RP_MSG_CONFIG_REQUEST, gossip to config: a peer lacks some of these
 * buckets. config answers with RP_MSG_CONFIG_ANSWER. */
struct rp_config_request {
    char peer_address[RP_ADDRESS_BYTES];
    uint64_t buckets; /* bit i stands for bucket i */
};

/* Body of RP_MSG_CONFIG_ANSWER, config to gossip; released as above. */
struct rp_config_answer {
    struct rp_peer_records *records; /* first, as in rp_config_accepted */
    char peer_address[RP_ADDRESS_BYTES];
};

/* Body of RP_MSG_PEER_RECORDS, gossip to config; released as above. */
struct rp_peer_records_received {
    struct rp_peer_records *records; /* first, as in rp_config_accepted */
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
    uint32_t bytes_per_s; /* 0 for the default, RP_GOSSIP_BYTES_PER_S */
    uint32_t burst_bytes; /* 0 for the default, RP_GOSSIP_BURST_BYTES */
};

#define RP_GOSSIP_BYTES_PER_S 13000u

struct rp_gossip;

#ifdef __cplusplus
extern "C" {
#endif

/* Registers the task "gossip". It talks to "wire", "config", "dispatch",
 * "entry", "prober" and "admin", which may be missing. */
struct rp_gossip *rp_gossip_new(struct rp_kernel *kernel,
                                const struct rp_gossip_settings *settings,
                                int64_t now_ns, GError **error);
void rp_gossip_free(struct rp_gossip *gossip);
const struct rp_member_table *
rp_gossip_members(const struct rp_gossip *gossip);

uint32_t rp_gossip_bucket(const char *key);
struct rp_peer_records *rp_peer_records_new(uint32_t count);
void rp_peer_records_set(struct rp_peer_records *records, uint32_t index,
                         const char *key, uint64_t revision, const char *value,
                         uint32_t value_bytes);
struct rp_peer_records *rp_peer_records_ref(struct rp_peer_records *records);
void rp_peer_records_unref(struct rp_peer_records *records);
void rp_peer_records_message_release(void *body);

#ifdef __cplusplus
}
#endif

#endif
