#ifndef RP_SPLIT_H
#define RP_SPLIT_H

#include <stdint.h>

#include "snapshot.h"

/* Spreads the calls of one route over its services by weight. */
struct rp_split {
    uint32_t count;
    uint32_t weight[RP_SNAPSHOT_MAX_PARTS];
    int64_t credit[RP_SNAPSHOT_MAX_PARTS];
};

#ifdef __cplusplus
extern "C" {
#endif

uint32_t rp_split_choose(struct rp_split *split, const struct rp_route *route);

#ifdef __cplusplus
}
#endif

#endif
