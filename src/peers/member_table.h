#ifndef RP_MEMBER_TABLE_H
#define RP_MEMBER_TABLE_H

/* Internals of the membership table, for the member*.c files only. */

#include "member.h"
#include "overlay.h"

#define RP_MEMBER_MAX_SUSPECTORS 4

struct member_entry {
    struct rp_member member;
    uint64_t hash; /* sort key of the neighbour rule */
    uint64_t domain_hash;
    uint32_t position; /* in the ring, UINT32_MAX outside of it */

    /* Dissemination of updates about this member. */
    uint32_t transmit_count; /* since the latest update */
    uint64_t sent_serial;
    uint32_t priority; /* in the message being filled; the least is first */
    /* Spread of a changed load: remaining transmissions with priority, and the
     * load for which they were last set. */
    uint32_t load_transmits_left;
    uint32_t marked_load_permille;

    /* Failure detection. */
    bool sends_to_self; /* the overlay makes it send to this VM */
    /* Last direct contact, or when heartbeats became due. */
    int64_t silent_since_ns;
    int64_t heard_ns; /* last message or acknowledgement from it */
    bool probe_due;
    bool probing;
    int64_t probe_deadline_ns;
    uint32_t helper_count;
    uint32_t helper_acks;
    int64_t suspect_since_ns;
    uint32_t suspectors[RP_MEMBER_MAX_SUSPECTORS];
    uint32_t suspector_count;
    int64_t dead_since_ns;
    uint32_t silence_factor; /* multiplies the tolerated silence, 1 to 8 */
    int64_t silence_factor_changed_ns;

    /* Signs that it sends by the rule of a former version: one ring over all
     * members (member_detect.c). */
    uint32_t ring_heartbeats; /* received although the overlay has none */
    int64_t ring_heartbeat_ns;
    uint32_t ring_probes; /* received although the overlay owes it nothing */
    int64_t ring_probe_ns;
    uint32_t answered_probes; /* in a row, without a heartbeat since */

    bool is_listed;
};

/* The overlay of the ring, updated when it is used next. */
struct member_overlay {
    struct rp_overlay *overlay;
    bool is_outdated;
    bool is_single_ring; /* never divided */
};

struct rp_member_table {
    struct member_entry *self;
    GRand *random;
    GPtrArray *entries; /* all members, sorted by hash, then id */
    GHashTable *by_id;  /* borrowed ids to borrowed entries */
    GPtrArray *ring;    /* members that are not dead, same order */
    struct member_overlay *overlay;
    GArray *seeds;       /* of char[RP_ADDRESS_BYTES] */
    GArray *listed_vms;  /* of struct rp_vm */
    GArray *changes;     /* of struct rp_member_change */
    GPtrArray *outgoing; /* entries for the message being filled */
    uint32_t outgoing_next;
    bool outgoing_with_profiles;
    uint32_t transmit_limit;
    bool loads_first; /* in the message being filled, before joined members */
    uint64_t next_sent_serial;
    uint32_t local_health; /* Lifeguard's multiplier; 0: healthy */
    int64_t local_health_changed_ns;
    int64_t grace_until_ns; /* no failure decisions before this time */
};

#ifdef __cplusplus
extern "C" {
#endif

const struct rp_overlay *
rp_member_overlay(const struct rp_member_table *table);
bool rp_member_follows_ring(const struct rp_member_table *table,
                            const struct member_entry *entry, int64_t now_ns);
struct member_entry *rp_member_find_entry(const struct rp_member_table *table,
                                          const char *id);
void rp_member_entry_set_state(struct rp_member_table *table,
                               struct member_entry *entry,
                               enum rp_member_state state, int64_t now_ns);
void rp_member_entry_remove(struct rp_member_table *table,
                            struct member_entry *entry);
void rp_member_entry_add_suspector(struct member_entry *entry,
                                   uint32_t suspector_hash);
void rp_member_degrade_local_health(struct rp_member_table *table,
                                    int64_t now_ns);

#ifdef __cplusplus
}
#endif

#endif
