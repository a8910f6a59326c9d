#ifndef RP_ADAPTER_H
#define RP_ADAPTER_H

#include "dialect.h"
#include "platform_protocol.h"

/* The HTTP endpoints by which callers find entry VMs and the platform checks
 * the readiness of one. */
struct rp_directory_endpoints {
    const char *addresses_path;
    const char *name_argument;   /* query parameter: the name to resolve */
    const char *domain_argument; /* query parameter: failure domain */
    const char *ready_path;
    /* Returns the body of an address answer, which the caller frees with
     * free. */
    char *(*format)(const char *const *addresses, uint32_t count,
                    uint32_t ttl_ms);
};

/* The protocols of a deployment that replace the native ones. */
struct rp_adapter {
    const char *name; /* value of the setting --adapter */
    const struct rp_dialect *dialect;
    struct rp_platform_protocol *(*protocol_new)(void);
    void (*protocol_free)(struct rp_platform_protocol *protocol);
    const struct rp_directory_endpoints *endpoints;
};

#endif
