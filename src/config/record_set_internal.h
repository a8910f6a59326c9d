#ifndef RP_RECORD_SET_INTERNAL_H
#define RP_RECORD_SET_INTERNAL_H

#include "record_set.h"

struct record_value {
    struct rp_record *record;
    GBytes *bytes;
    struct rp_record_order order;
};

/* The values of one key. Those that are not in force decide with later ones
 * which value is. */
struct record_entry {
    char *key;
    GPtrArray *values; /* of struct record_value, in order of publication */
    const struct record_value *in_force;
};

struct rp_record_set {
    GTree *entries; /* key, owned by the entry, to struct record_entry */
    uint64_t bucket_digests[RP_RECORD_SET_BUCKETS];
    uint64_t digest;
    uint64_t revision;
    uint64_t bytes;
    uint32_t retired_count;
};

#endif
