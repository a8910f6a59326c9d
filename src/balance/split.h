#ifndef RP_SPLIT_H
#define RP_SPLIT_H

#include <stdint.h>

#include "snapshot.h"

struct rp_split_part {
    uint32_t weight;
    int64_t credit;
};

/* Distributes the calls of one route over its services by weight. Starts as
 * zeros; release it with rp_split_clear. */
struct rp_split {
    uint32_t count;
    struct rp_split_part *parts;
};

/* Returned for a route that has no weight above 0. */
#define RP_SPLIT_NO_PART UINT32_MAX

#ifdef __cplusplus
extern "C" {
#endif

uint32_t rp_split_choose(struct rp_split *split, const struct rp_route *route);
void rp_split_clear(struct rp_split *split);

#ifdef __cplusplus
}
#endif

#endif
