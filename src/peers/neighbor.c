#include "neighbor.h"

#include <string.h>
#include <xxhash.h>

/* Returns the hash by which members are sorted for the neighbour rule. It must
 * be the same in every process. */
uint64_t
rp_neighbor_hash(const char *id)
{
    return XXH64(id, strlen(id), 0);
}

/* Returns the out-degree of each of count members: ceil(log2 count), so that
 * traffic per member grows with the logarithm of the fleet size. */
uint32_t
rp_neighbor_degree(uint32_t count)
{
    uint32_t degree = 0;
    while (degree < RP_NEIGHBOR_LIMIT && (UINT32_C(1) << degree) < count) {
        degree++;
    }
    return degree;
}

/* Writes the positions of the neighbours of the member at position self, out
 * of count members sorted by rp_neighbor_hash, and returns their number. The
 * strides are 1, 2, 4, ... (a circulant graph): any member is reached in at
 * most ceil(log2 count) steps. */
uint32_t
rp_neighbor_select(uint32_t count, uint32_t self,
                   uint32_t neighbors[RP_NEIGHBOR_LIMIT])
{
    uint32_t degree = rp_neighbor_degree(count);
    for (uint32_t i = 0; i < degree; i++) {
        neighbors[i] = (self + (UINT32_C(1) << i)) % count;
    }
    return degree;
}

/* Returns whether the member at position to is a neighbour of the member at
 * position from under the rule of rp_neighbor_select. */
bool
rp_neighbor_sends_to(uint32_t count, uint32_t from, uint32_t to)
{
    uint32_t stride = (to + count - from) % count;
    return stride != 0 && (stride & (stride - 1)) == 0;
}

/* Writes the members to which the member at position self forwards a broadcast
 * for span members in one direction, itself included, and returns their
 * number. Each is assigned a part of the span, so that every member is reached
 * once and none sends more than ceil(log2 count) times (broadcast in
 * structured overlays: El-Ansary et al., 2003). A span greater than the ring
 * is reduced to it. */
uint32_t
rp_neighbor_branches(uint32_t count, uint32_t self, uint32_t span,
                     bool backward,
                     struct rp_neighbor_branch branches[RP_NEIGHBOR_LIMIT])
{
    uint32_t branch_count = 0;
    span = span < count ? span : count;
    for (uint32_t stride = 1;
         stride < span && branch_count < RP_NEIGHBOR_LIMIT; stride *= 2)
    {
        uint32_t end = stride * 2 < span ? stride * 2 : span;
        uint32_t step = backward ? count - stride : stride;
        branches[branch_count].position = (self + step) % count;
        branches[branch_count++].span = end - stride;
    }
    return branch_count;
}
