#ifndef RP_UPSTREAM_H
#define RP_UPSTREAM_H

#include "dialect.h"
#include "kernel.h"
#include "loop.h"

struct rp_upstream;

struct rp_upstream_config {
    const struct rp_dialect *dialect;
    uint32_t max_connections_per_target; /* idle ones included */
    uint32_t connect_timeout_ms;         /* 0 for the default */
    uint32_t progress_timeout_ms; /* between two bytes of an answer body */
    bool reuse_for_unrepeatable;  /* experimental: reuse connections also for
                                   * requests that may not be repeated */
};

#ifdef __cplusplus
extern "C" {
#endif

struct rp_upstream *rp_upstream_new(struct rp_loop *loop,
                                    const struct rp_upstream_config *config,
                                    GError **error);

#ifdef __cplusplus
}
#endif

#endif
