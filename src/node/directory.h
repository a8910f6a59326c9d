#ifndef RP_DIRECTORY_H
#define RP_DIRECTORY_H

#include "adapter.h"
#include "kernel.h"
#include "loop.h"

/* The task "directory" serves the pages of an adapter: to callers the
 * addresses of entry VMs, to the platform the readiness of this one. */

struct rp_directory_config {
    const struct rp_directory_endpoints *endpoints;
    const char *address;       /* of the address answers, "ip:port" */
    const char *ready_address; /* "ip:port" */
    uint32_t ttl_ms;           /* of the address answers */
};

struct rp_directory;

#ifdef __cplusplus
extern "C" {
#endif

struct rp_directory *rp_directory_new(struct rp_loop *loop,
                                      const struct rp_directory_config *config,
                                      GError **error);

#ifdef __cplusplus
}
#endif

#endif
