#ifndef RP_RECORD_SET_INTERNAL_H
#define RP_RECORD_SET_INTERNAL_H

#include "record_set.h"

struct record_entry {
    struct rp_record *record;
    GBytes *value;
    struct rp_record_order order;
};

struct rp_record_set {
    GTree *entries; /* key, owned by the record, to struct record_entry */
    uint64_t bucket_digests[RP_RECORD_SET_BUCKETS];
    uint64_t digest;
    uint64_t revision;
    uint64_t bytes;
    uint32_t retired_count;
};

#endif
