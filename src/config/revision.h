#ifndef RP_REVISION_H
#define RP_REVISION_H

#include <stdbool.h>
#include <stdint.h>

/* A revision of the platform: its epoch in the upper bits, its counter of
 * changes in the lower ones, like a transaction id of ZooKeeper (Hunt et al.,
 * 2010). A platform that comes back from an older copy of its data gives out
 * lower counters again, in a greater epoch, so that revisions still rise. On a
 * platform without epochs, the revision is the counter. */

/* The counter fits into the version of a record, which is at most 10^12. */
#define RP_REVISION_COUNTER_BITS 40
#define RP_REVISION_MAX_COUNTER ((UINT64_C(1) << RP_REVISION_COUNTER_BITS) - 1)
/* Revisions fit into signed integers, as in JSON. */
#define RP_REVISION_MAX_EPOCH                                                 \
    ((UINT64_C(1) << (63 - RP_REVISION_COUNTER_BITS)) - 1)

/* Holds two numbers of 64 bits and the words between them. */
#define RP_REVISION_TEXT_BYTES 52

#ifdef __cplusplus
extern "C" {
#endif

uint64_t rp_revision_make(uint64_t epoch, uint64_t counter);
uint64_t rp_revision_epoch(uint64_t revision);
uint64_t rp_revision_counter(uint64_t revision);
bool rp_revision_same_epoch(uint64_t a, uint64_t b);
void rp_revision_format(uint64_t revision, char text[RP_REVISION_TEXT_BYTES]);

#ifdef __cplusplus
}
#endif

#endif
