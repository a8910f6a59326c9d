#ifndef RP_NEIGHBOR_H
#define RP_NEIGHBOR_H

#include <stdbool.h>
#include <stdint.h>

/* Out-degree at 4096 members. */
#define RP_NEIGHBOR_LIMIT 12

/* A member to forward a broadcast to, and the number of members in its
 * direction that it is responsible for, itself included. */
struct rp_neighbor_branch {
    uint32_t position;
    uint32_t span;
};

#ifdef __cplusplus
extern "C" {
#endif

uint64_t rp_neighbor_hash(const char *id);
uint32_t rp_neighbor_degree(uint32_t count);
uint32_t rp_neighbor_select(uint32_t count, uint32_t self,
                            uint32_t neighbors[RP_NEIGHBOR_LIMIT]);
uint32_t
rp_neighbor_branches(uint32_t count, uint32_t self, uint32_t span,
                     bool backward,
                     struct rp_neighbor_branch branches[RP_NEIGHBOR_LIMIT]);
bool rp_neighbor_sends_to(uint32_t count, uint32_t from, uint32_t to);

#ifdef __cplusplus
}
#endif

#endif
