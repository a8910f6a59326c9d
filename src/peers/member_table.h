#ifndef RP_MEMBER_TABLE_H
#define RP_MEMBER_TABLE_H

/* Inside of the membership table, for the member_*.c files only. */

#include "member.h"

#define RP_MEMBER_ACCUSERS 4

struct member_entry {
    struct rp_member member;
    uint64_t hash;     /* order of the neighbour rule */
    uint32_t position; /* in the ring, UINT32_MAX outside of it */

    /* Spread of what is new about this member. */
    uint32_t transmits; /* since the last change worth spreading */
    uint64_t sent_serial;

    /* Failure detection. */
    bool expected;     /* the neighbour rule makes it send to this VM */
    int64_t expect_ns; /* last direct sign of life, or start of expecting */
    bool probe_wanted;
    bool probing;
    int64_t probe_deadline_ns;
    uint32_t helper_count;
    uint32_t helper_answers;
    int64_t suspect_ns;
    uint32_t accusers[RP_MEMBER_ACCUSERS];
    uint32_t accuser_count;
    int64_t dead_ns;
    uint32_t patience; /* factor on the silence that is borne, 1 to 8 */
    int64_t patience_ns;

    bool listed;
};

struct rp_member_table {
    struct member_entry *self;
    GRand *random;
    GPtrArray *entries;  /* all members, sorted by hash, then id */
    GHashTable *by_id;   /* borrowed ids to borrowed entries */
    GPtrArray *ring;     /* those not dead, in the same order */
    GArray *seeds;       /* of char[RP_ADDRESS_BYTES] */
    GArray *listed;      /* of struct rp_vm */
    GArray *changes;     /* of struct rp_member_change */
    GPtrArray *outgoing; /* entries chosen for the message being filled */
    uint32_t outgoing_next;
    bool outgoing_full;
    uint32_t transmit_limit;
    uint64_t next_sent_serial;
    uint32_t local_health;  /* Lifeguard's multiplier, 0 is healthy */
    int64_t health_ns;      /* last change of it */
    int64_t quiet_until_ns; /* judge nobody before this time */
};

#ifdef __cplusplus
extern "C" {
#endif

struct member_entry *rp_member_entry(const struct rp_member_table *table,
                                     const char *id);
void rp_member_entry_set_state(struct rp_member_table *table,
                               struct member_entry *entry,
                               enum rp_member_state state, int64_t now_ns);
void rp_member_entry_remove(struct rp_member_table *table,
                            struct member_entry *entry);
void rp_member_entry_accuse(struct member_entry *entry, uint32_t accuser_hash);
void rp_member_worsen_health(struct rp_member_table *table, int64_t now_ns);

#ifdef __cplusplus
}
#endif

#endif
