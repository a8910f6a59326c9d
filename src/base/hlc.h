#ifndef RP_HLC_H
#define RP_HLC_H

#include <stdint.h>

/* A hybrid logical clock value: wall time, then a count that orders events
 * of the same millisecond. */
struct rp_hlc {
    int64_t wall_ms;
    uint32_t count;
};

#ifdef __cplusplus
extern "C" {
#endif

struct rp_hlc rp_hlc_tick(struct rp_hlc *clock, int64_t wall_ms);
struct rp_hlc rp_hlc_merge(struct rp_hlc *clock, struct rp_hlc remote,
                           int64_t wall_ms);
int rp_hlc_compare(struct rp_hlc a, struct rp_hlc b);

#ifdef __cplusplus
}
#endif

#endif
