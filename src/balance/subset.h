#ifndef RP_SUBSET_H
#define RP_SUBSET_H

#include <stdint.h>

/* An entry VM that could serve a service. */
struct rp_subset_member {
    const char *id;
    const char *domain;
};

/* Number of entry VMs that serve a service at present. */
struct rp_subset_width {
    uint32_t width;
    int64_t last_needed_ns; /* latest time at which this width was needed */
};

#ifdef __cplusplus
extern "C" {
#endif

uint32_t rp_subset_choose(const char *service,
                          const struct rp_subset_member *members,
                          uint32_t count, uint32_t width, uint32_t *chosen);
uint32_t rp_subset_update_width(struct rp_subset_width *width, double load,
                                uint32_t domains, uint32_t suspects,
                                uint32_t count, int64_t now_ns);

#ifdef __cplusplus
}
#endif

#endif
