#ifndef RP_RECORD_SET_H
#define RP_RECORD_SET_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "record.h"
#include "record_batch.h"
#include "snapshot.h"

/* Keys of one set, retired ones included. */
#define RP_RECORD_SET_MAX_KEYS 4096
/* Total size of all values of one set. */
#define RP_RECORD_SET_MAX_BYTES 25165824u
/* Keys and bytes beyond these limits that only evacuations may use: they must
 * come into force also in a set that is full of retired targets. */
#define RP_RECORD_SET_EVACUATION_KEYS 64
#define RP_RECORD_SET_EVACUATION_BYTES 65536u
/* Keys are hashed into buckets, whose digests are compared with a peer's, so
 * that only differing buckets are transferred. */
#define RP_RECORD_SET_BUCKETS 64

/* Epochs of the platform whose values of a key are kept. */
#define RP_RECORD_SET_MAX_EPOCHS 8

/* The accepted records: of each key, the greatest entry and the greatest
 * removal of each epoch of the platform. The value in force follows from them.
 * Offering a value is a join: the result does not depend on the order of the
 * offers. */
struct rp_record_set;

enum rp_record_verdict {
    RP_RECORD_ACCEPTED, /* now in force */
    RP_RECORD_RENEWED,  /* same content with a later platform revision */
    RP_RECORD_KEPT,     /* new in the set, but the value in force stays */
    RP_RECORD_KNOWN,    /* already in the set */
    RP_RECORD_OLDER,    /* the set has a greater version of the key */
    RP_RECORD_REFUSED,  /* invalid, or the set is full */
};

/* What decides between the values of one key. */
struct rp_record_order {
    int64_t version;
    uint64_t revision; /* of the platform, see revision.h */
    uint64_t content;  /* digest of the value */
    /* The version is the platform's counter of changes (schema 3) and says
     * nothing about values of another epoch. */
    bool epoch_bound;
    bool retired;
    struct rp_record_position position;
};

struct rp_record_offer_result {
    enum rp_record_verdict verdict;
    bool conflict; /* same version as the record in force, other content */
    bool retired;
    struct rp_record_order previous; /* version 0 when the key was new */
    struct rp_record_order offered;
};

#ifdef __cplusplus
extern "C" {
#endif

struct rp_record_set *rp_record_set_new(void);
void rp_record_set_free(struct rp_record_set *set);
enum rp_record_verdict
rp_record_set_offer(struct rp_record_set *set,
                    const struct rp_record_item *item,
                    struct rp_record_offer_result *result, GError **error);
int rp_record_order_compare(const struct rp_record_order *a,
                            const struct rp_record_order *b);
bool rp_record_set_find(const struct rp_record_set *set, const char *key,
                        struct rp_record_order *order, bool *retired);
void rp_record_set_foreach(const struct rp_record_set *set,
                           void (*each)(const struct rp_record *record,
                                        const struct rp_record_order *order,
                                        void *data),
                           void *data);
uint32_t rp_record_set_count(const struct rp_record_set *set);
uint32_t rp_record_set_retired_count(const struct rp_record_set *set);
uint64_t rp_record_set_bytes(const struct rp_record_set *set);
uint64_t rp_record_set_digest(const struct rp_record_set *set);
uint64_t rp_record_set_revision(const struct rp_record_set *set);
void rp_record_set_buckets(const struct rp_record_set *set,
                           uint64_t buckets[RP_RECORD_SET_BUCKETS]);
GPtrArray *rp_record_set_export(const struct rp_record_set *set,
                                const uint64_t *peer_buckets,
                                uint32_t batch_bytes);
GBytes *rp_record_set_format_removal(const struct rp_record_set *set,
                                     const char *key, uint64_t revision);
struct rp_snapshot *rp_record_set_build(const struct rp_record_set *set,
                                        GHashTable *leaving_addresses,
                                        GPtrArray *warnings);

#ifdef __cplusplus
}
#endif

#endif
