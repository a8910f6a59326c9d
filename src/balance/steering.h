#ifndef RP_STEERING_H
#define RP_STEERING_H

#include <stdbool.h>
#include <stdint.h>

#include "member.h"

/* Number of entry VMs that serve each service, as computed by one VM. */
struct rp_steering;

struct rp_steering_choice {
    uint32_t width;
    bool has_self; /* this VM is one of them */
};

#ifdef __cplusplus
extern "C" {
#endif

struct rp_steering *rp_steering_new(void);
void rp_steering_free(struct rp_steering *steering);
void rp_steering_update(struct rp_steering *steering, const char *service,
                        const struct rp_member_view *view, int64_t now_ns,
                        struct rp_steering_choice *choice);
uint32_t rp_steering_deciders(const struct rp_steering_choice *choice,
                              uint32_t fleet_size);

#ifdef __cplusplus
}
#endif

#endif
