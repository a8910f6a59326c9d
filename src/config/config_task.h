#ifndef RP_CONFIG_TASK_H
#define RP_CONFIG_TASK_H

#include "context.h"
#include "kernel.h"
#include "record_batch.h"
#include "record_set.h"

/* The task "config" owns the records in force. The names in parentheses are
 * the sending and the receiving task of each message. */

/* Phase of an entry VM's configuration; sent in heartbeats. */
enum rp_config_phase {
    RP_CONFIG_STARTING,    /* not ready: refuses calls as not-run */
    RP_CONFIG_PROVISIONAL, /* ready with platform records only; ranked last */
    RP_CONFIG_IN_FORCE,    /* ready */
};

/* Body of RP_MSG_CONFIG_STATE (config to all): sent when it changes. Gossip
 * puts phase, digest and revision into its heartbeats. */
struct rp_config_state {
    enum rp_config_phase phase;
    uint64_t digest; /* of all accepted records */
    uint64_t revision;
    uint32_t keys;
    uint32_t retired_keys;
    uint32_t refused; /* values refused so far */
};

/* Body of RP_MSG_CONFIG_DISAGREEMENT (config to platform): whether for some
 * time no peer has had the same records. */
struct rp_config_disagreement {
    bool differs;
};

/* Body of RP_MSG_CONFIG_PEER_STATE (gossip to config): the state that a peer
 * reports. Sent for each heartbeat or other message of a peer that contains
 * it. While this VM is STARTING, gossip queries every live entry VM of the
 * platform's list, not only neighbours: start rule (b) of readiness.h needs
 * the phase of all. */
struct rp_config_peer_state {
    char id[RP_ID_BYTES];
    enum rp_config_phase phase;
    uint64_t digest;
    uint64_t revision; /* greatest of its records */
    bool fresh;        /* it has recently had all changes of the platform */
};

/* Body of RP_MSG_CONFIG_SYNC_REQUEST: a request for the records that differ.
 * config to gossip: send the peer a sync request with these digests. gossip to
 * config: the peer has sent one; the answer is one or more
 * RP_MSG_CONFIG_RECORDS. */
struct rp_config_sync_request {
    char peer[RP_ID_BYTES];
    uint64_t buckets[RP_RECORD_SET_BUCKETS];
};

/* Value of rp_config_records.part for pushed records, which are not part of an
 * answer. Gossip has already forwarded them. */
#define RP_CONFIG_PART_PUSHED UINT32_MAX

/* Body of the messages that carry records. It holds one reference of the
 * batch, which the kernel releases with rp_config_records_release.
 *
 * RP_MSG_PLATFORM_RECORDS (platform to config): one page of the platform's
 * answer; last is set when the answer reaches the platform's revision.
 * RP_MSG_PLATFORM_REMOVALS (platform to config): records that retire targets
 * which the platform removed.
 * RP_MSG_CONFIG_RECORDS (gossip to config): records that a peer sent, as an
 * answer to a sync request or pushed; last is set on the final part of a
 * complete answer and never on pushed records, and part shows whether one was
 * lost. (config to gossip): part of the answer to a peer's sync request; part
 * and last are forwarded with it.
 * RP_MSG_CONFIG_PUSH (config to gossip): newly accepted records to push to
 * all members; peer is the sender of the records ("" for the platform). */
struct rp_config_records {
    struct rp_record_batch *batch;
    char peer[RP_ID_BYTES]; /* sender or receiver; "" for the platform */
    uint32_t part;          /* of an answer to a sync request, from 0 */
    bool last;
};

/* Body of RP_MSG_PLATFORM_LISTING (platform to config): the keys of all
 * records that the platform had at a revision. Targets of this or an earlier
 * revision whose keys are missing were removed. It holds one reference of the
 * keys. */
struct rp_config_listing {
    GHashTable *keys; /* set of strings */
    uint64_t revision;
};

#ifdef __cplusplus
extern "C" {
#endif

void rp_config_records_release(void *body);
bool rp_config_records_send(struct rp_task *from, struct rp_task *to,
                            enum rp_message_kind kind,
                            struct rp_record_batch *batch, const char *peer,
                            uint32_t part, bool last);

void rp_config_listing_release(void *body);

struct rp_config_task;
struct rp_config_task *rp_config_task_add(struct rp_kernel *kernel,
                                          int64_t boot_wait_ns, int64_t now_ns,
                                          GError **error);
void rp_config_task_require_fresh_peers(struct rp_config_task *config,
                                        int64_t until_ns);
const struct rp_record_set *
rp_config_task_set(const struct rp_config_task *config);
enum rp_config_phase rp_config_task_phase(const struct rp_config_task *config);

#ifdef __cplusplus
}
#endif

#endif
