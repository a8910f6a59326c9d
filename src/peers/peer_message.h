#ifndef RP_PEER_MESSAGE_H
#define RP_PEER_MESSAGE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "config_task.h"
#include "hlc.h"
#include "member.h"
#include "target_hint.h"

#define RP_PEER_VERSION 1
#define RP_PEER_MAX_UPDATES 8
#define RP_PEER_MAX_HINTS 16

/* Values of part in pushed records. Members of the first version send 0. */
#define RP_PEER_PUSH_RING 0u   /* span counts members of one ring over all */
#define RP_PEER_PUSH_DOMAIN 1u /* span counts members of the own domain */
#define RP_PEER_PUSH_DOMAIN_BOTH 2u /* the same, in both directions */

enum rp_peer_kind {
    RP_PEER_HEARTBEAT = 1,
    RP_PEER_CONFIG_SYNC_REQUEST = 2,
    RP_PEER_CONFIG_RECORDS = 3,
    RP_PEER_SUSPECT_PROBE = 4,
    RP_PEER_SUSPECT_ACK = 5,
    RP_PEER_MEMBERS = 6,
};

/* A peer's observation of a target. */
struct rp_peer_hint {
    char service[RP_SERVICE_BYTES];
    char address[RP_ADDRESS_BYTES];
    enum rp_hint_kind kind;
    bool has_load;
    struct rp_load_report load;
    uint32_t age_ms;
};

/* The configuration that a member has in force. */
struct rp_peer_config {
    enum rp_config_phase phase;
    uint64_t digest;
    uint64_t revision;
    /* The platform's revision and the time since it was last confirmed. */
    bool has_platform;
    uint64_t platform_revision;
    uint32_t platform_age_ms;
};

/* The first update is about the sender. */
struct rp_peer_heartbeat {
    bool is_answer;       /* never answered itself */
    bool requests_answer; /* even if nothing differs */
    struct rp_peer_config config;
    uint64_t member_digest;
    uint32_t alive_count;  /* live members at the sender; 0: unknown */
    bool requests_members; /* all members of the receiver's table */
    uint32_t update_count;
    uint32_t hint_count;
    struct rp_member_update updates[RP_PEER_MAX_UPDATES];
    struct rp_peer_hint hints[RP_PEER_MAX_HINTS];
};

struct rp_peer_config_sync_request {
    uint64_t bucket_digests[RP_RECORD_SET_BUCKETS];
};

/* bytes are an encoded batch (record_batch.h). In a decoded message they point
 * into the input buffer. */
struct rp_peer_batch {
    const uint8_t *bytes;
    uint32_t byte_count;
    bool is_answer; /* to a sync request; false: pushed */
    uint32_t part;  /* of the answer, from 0; pushed: RP_PEER_PUSH_... */
    bool last;
    uint32_t uncompressed_bytes; /* before compression; 0: not compressed */
    /* For pushed records: the number of members in one direction of the ring
     * that the receiver is responsible for, itself included. */
    uint32_t span;
    bool backward;
};

/* All members of the sender's table, sent on request: bytes are an encoded
 * list of updates (rp_peer_updates_encode). In a decoded message they point
 * into the input buffer. */
struct rp_peer_members {
    const uint8_t *bytes;
    uint32_t byte_count;
    uint32_t uncompressed_bytes; /* before compression; 0: not compressed */
};

/* Probes subject. Another receiver is a helper and forwards the probe to
 * subject_address; the acknowledgement returns through it to origin. */
struct rp_peer_probe {
    char subject[RP_ID_BYTES];
    char subject_address[RP_ADDRESS_BYTES];
    char reply_to[RP_ADDRESS_BYTES];
    char origin[RP_ADDRESS_BYTES];
};

struct rp_peer_ack {
    char subject[RP_ID_BYTES];
    char origin[RP_ADDRESS_BYTES];
    uint64_t incarnation; /* of the subject */
    bool reached;         /* false: a helper has received the probe */
};

struct rp_peer_message {
    uint32_t version;
    uint32_t kind; /* enum rp_peer_kind, or one of a later version */
    char from[RP_ID_BYTES];
    uint64_t incarnation;
    uint64_t seq; /* increases with each message sent in an incarnation */
    struct rp_hlc hlc;
    /* Time since the sender's machine started, in ms, which no wall clock
     * changes; 0 from peers of an earlier version. */
    uint64_t sent_ms;
    union {
        struct rp_peer_heartbeat heartbeat;
        struct rp_peer_config_sync_request config_sync_request;
        struct rp_peer_batch records;
        struct rp_peer_probe probe;
        struct rp_peer_ack ack;
        struct rp_peer_members members;
    } body;
};

#ifdef __cplusplus
extern "C" {
#endif

GBytes *rp_peer_message_encode(const struct rp_peer_message *message);
bool rp_peer_message_decode(const void *bytes, size_t byte_count,
                            struct rp_peer_message *message, GError **error);
bool rp_peer_message_known(const struct rp_peer_message *message);
void rp_peer_updates_encode(const struct rp_member_update *updates,
                            uint32_t count, GByteArray *out);
bool rp_peer_updates_decode(const uint8_t *bytes, uint32_t byte_count,
                            GArray *updates);
uint32_t rp_peer_update_bytes(const struct rp_member_update *update);
uint32_t rp_peer_hint_bytes(const struct rp_peer_hint *hint);

#ifdef __cplusplus
}
#endif

#endif
