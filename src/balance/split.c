#include "split.h"

#include <stdbool.h>
#include <string.h>

static bool
has_weights_of(const struct rp_split *split, const struct rp_route *route)
{
    bool same = split->count == route->part_count;
    for (uint32_t i = 0; same && i < split->count; i++) {
        same = split->weight[i] == route->parts[i].weight;
    }
    return same;
}

/* Returns the index of the part that the next call goes to, by smooth weighted
 * round robin (as in nginx since 1.3.1), so that each part has its share after
 * few calls. A part without room keeps its place: its calls are refused rather
 * than moved to another part. A change of weights resets the state. */
uint32_t
rp_split_choose(struct rp_split *split, const struct rp_route *route)
{
    if (!has_weights_of(split, route)) {
        memset(split, 0, sizeof(*split));
        split->count = route->part_count;
        for (uint32_t i = 0; i < split->count; i++) {
            split->weight[i] = route->parts[i].weight;
        }
    }
    int64_t total = 0;
    uint32_t best = 0;
    for (uint32_t i = 0; i < split->count; i++) {
        split->credit[i] += split->weight[i];
        total += split->weight[i];
        if (split->credit[i] > split->credit[best]) {
            best = i;
        }
    }
    split->credit[best] -= total;
    return best;
}
