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

enum rp_peer_kind {
    RP_PEER_HEARTBEAT = 1,
    RP_PEER_CONFIG_REQUEST = 2,
    RP_PEER_CONFIG_RECORDS = 3,
    RP_PEER_SUSPECT_PROBE = 4,
    RP_PEER_SUSPECT_ACK = 5,
    RP_PEER_MEMBERS = 6,
};

/* What a target looked like to a peer. */
struct rp_peer_hint {
    char service[RP_SERVICE_BYTES];
    char address[RP_ADDRESS_BYTES];
    enum rp_hint_kind kind;
    bool has_load;
    struct rp_load_report load;
    uint32_t age_ms;
};

/* What a member has in force. */
struct rp_peer_config {
    enum rp_config_phase phase;
    uint64_t digest;
    uint64_t revision;
    /* The platform's revision and how long ago it was known to be this. */
    bool has_platform;
    uint64_t platform_revision;
    uint32_t platform_age_ms;
};

/* The sender itself is the first update. */
struct rp_peer_heartbeat {
    bool is_answer;       /* never answered again */
    bool requests_answer; /* to be answered even if nothing differs */
    struct rp_peer_config config;
    uint64_t member_digest;
    uint32_t alive_count;  /* that the sender knows; 0: not told */
    bool requests_members; /* all that the receiver knows */
    uint32_t update_count;
    uint32_t hint_count;
    struct rp_member_update updates[RP_PEER_MAX_UPDATES];
    struct rp_peer_hint hints[RP_PEER_MAX_HINTS];
};

struct rp_peer_config_request {
    uint64_t bucket_digests[RP_RECORD_SET_BUCKETS];
};

/* bytes are an encoded batch (record_batch.h). In a decoded message they
 * point into what was decoded. */
struct rp_peer_batch {
    const uint8_t *bytes;
    uint32_t byte_count;
    bool is_answer; /* to CONFIG_WANT; else pushed */
    uint32_t part;  /* of the answer, from 0 */
    bool last;
    uint32_t plain_bytes; /* before compression; 0: not compressed */
    /* Of pushed records: for how many members in one direction of the ring the
     * receiver answers, itself included. */
    uint32_t span;
    bool backward;
};

/* All members that the sender knows, to one that asked: an encoded list of
 * updates (rp_peer_updates_encode). In a decoded message the bytes point into
 * what was decoded. */
struct rp_peer_members {
    const uint8_t *bytes;
    uint32_t byte_count;
    uint32_t plain_bytes; /* before compression; 0: not compressed */
};

/* Asks whether subject is alive. One who is not the subject passes it on to
 * subject_address; the answer goes back the same way and then to origin. */
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
    bool reached;         /* false: a helper has the probe and passes it on */
};

struct rp_peer_message {
    uint32_t version;
    uint32_t kind; /* enum rp_peer_kind, or one of a later version */
    char from[RP_ID_BYTES];
    uint64_t incarnation;
    uint64_t seq; /* rises with each message of an incarnation to anyone */
    struct rp_hlc hlc;
    union {
        struct rp_peer_heartbeat heartbeat;
        struct rp_peer_config_request config_request;
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
