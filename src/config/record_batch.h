#ifndef RP_RECORD_BATCH_H
#define RP_RECORD_BATCH_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Encoded size of a batch that is decoded: one value of 1 MB and its frame. */
#define RP_RECORD_BATCH_MAX_BYTES 1052672u
#define RP_RECORD_BATCH_MAX_ITEMS 4096

/* A published value before it is checked. */
struct rp_record_item {
    char *key;
    uint64_t revision; /* of the platform */
    GBytes *value;
};

/* Published values that are sent between tasks and peers. Reference counted,
 * and immutable once shared. */
struct rp_record_batch;

#ifdef __cplusplus
extern "C" {
#endif

struct rp_record_batch *rp_record_batch_new(void);
struct rp_record_batch *rp_record_batch_ref(struct rp_record_batch *batch);
void rp_record_batch_unref(struct rp_record_batch *batch);
void rp_record_batch_add(struct rp_record_batch *batch, const char *key,
                         uint64_t revision, GBytes *value);
uint32_t rp_record_batch_count(const struct rp_record_batch *batch);
uint32_t rp_record_batch_bytes(const struct rp_record_batch *batch);
const struct rp_record_item *
rp_record_batch_get(const struct rp_record_batch *batch, uint32_t index);
void rp_record_batch_encode(const struct rp_record_batch *batch,
                            GByteArray *out);
struct rp_record_batch *
rp_record_batch_decode(const void *bytes, size_t byte_count, GError **error);

#ifdef __cplusplus
}
#endif

#endif
