#ifndef RP_UPSTREAM_H
#define RP_UPSTREAM_H

#include "dialect.h"
#include "kernel.h"
#include "loop.h"

struct rp_upstream;

struct rp_upstream_config {
    const struct rp_dialect *dialect;
    uint32_t max_connections_per_target; /* at once, idle ones included */
    uint32_t connect_timeout_ms;         /* 0 for the default */
    uint32_t progress_timeout_ms; /* without a byte in the answer's body */
    bool reuse_for_unrepeatable;  /* trial: no fresh connection for requests
                             that may  not be repeated */
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
