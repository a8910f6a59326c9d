#ifndef RP_DISPATCH_H
#define RP_DISPATCH_H

#include "kernel.h"

struct rp_balancer;
struct rp_dispatch;

struct rp_dispatch_config {
    uint32_t first_byte_ms; /* greatest first-byte limit; 0 for the default */
};

#ifdef __cplusplus
extern "C" {
#endif

struct rp_dispatch *rp_dispatch_new(struct rp_kernel *kernel,
                                    const struct rp_dispatch_config *config,
                                    GError **error);
uint32_t rp_dispatch_calls(const struct rp_dispatch *dispatch);
void rp_dispatch_each_service(struct rp_dispatch *dispatch,
                              void (*visit)(const char *service,
                                            struct rp_balancer *balancer,
                                            void *data),
                              void *data);

#ifdef __cplusplus
}
#endif

#endif
