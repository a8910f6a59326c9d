#include "split.h"

#include <glib.h>
#include <stdbool.h>

static bool
has_weights_of(const struct rp_split *split, const struct rp_route *route)
{
    bool same = split->count == route->part_count;
    for (uint32_t i = 0; same && i < split->count; i++) {
        same = split->parts[i].weight == route->parts[i].weight;
    }
    return same;
}

/* Releases the memory of a split, which may be used again. */
void
rp_split_clear(struct rp_split *split)
{
    g_clear_pointer(&split->parts, g_free);
    split->count = 0;
}

/* Returns the index of the part that the next call goes to, by smooth weighted
 * round robin (as in nginx since 1.3.1), so that each part has its share after
 * few calls, or RP_SPLIT_NO_PART. A part without room keeps its place: its
 * calls are refused rather than moved to another part. A change of weights
 * resets the state. */
uint32_t
rp_split_choose(struct rp_split *split, const struct rp_route *route)
{
    if (!has_weights_of(split, route)) {
        rp_split_clear(split);
        split->count = route->part_count;
        split->parts = g_new0(struct rp_split_part, split->count);
        for (uint32_t i = 0; i < split->count; i++) {
            split->parts[i].weight = route->parts[i].weight;
        }
    }
    int64_t total = 0;
    uint32_t best = 0;
    for (uint32_t i = 0; i < split->count; i++) {
        split->parts[i].credit += split->parts[i].weight;
        total += split->parts[i].weight;
        if (split->parts[i].credit > split->parts[best].credit) {
            best = i;
        }
    }
    if (total == 0) {
        return RP_SPLIT_NO_PART;
    }
    split->parts[best].credit -= total;
    return best;
}
