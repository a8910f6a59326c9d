#ifndef RP_NEIGHBOR_H
#define RP_NEIGHBOR_H

#include <stdbool.h>
#include <stdint.h>

/* Out-degree at 4096 members. */
#define RP_NEIGHBOR_LIMIT 12

#ifdef __cplusplus
extern "C" {
#endif

uint64_t rp_neighbor_hash(const char *id);
uint32_t rp_neighbor_degree(uint32_t count);
uint32_t rp_neighbor_select(uint32_t count, uint32_t self,
                            uint32_t neighbors[RP_NEIGHBOR_LIMIT]);
bool rp_neighbor_sends_to(uint32_t count, uint32_t from, uint32_t to);

#ifdef __cplusplus
}
#endif

#endif
