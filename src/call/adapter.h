#ifndef RP_ADAPTER_H
#define RP_ADAPTER_H

#include "dialect.h"
#include "platform_protocol.h"

/* The pages by which callers find entry VMs and the platform asks whether one
 * is ready. */
struct rp_directory_pages {
    const char *addresses_path;
    const char *name_argument;   /* query argument: what is asked for */
    const char *domain_argument; /* query argument: the caller's own domain */
    const char *ready_path;
    /* Returns the body of an answer, which the caller frees with free. */
    char *(*format)(const char *const *addresses, uint32_t count,
                    uint32_t ttl_ms);
};

/* What a deployment speaks in place of the project's own protocols. */
struct rp_adapter {
    const char *name; /* of the setting --adapter */
    const struct rp_dialect *dialect;
    struct rp_platform_protocol *(*protocol_new)(void);
    void (*protocol_free)(struct rp_platform_protocol *protocol);
    const struct rp_directory_pages *pages;
};

#endif
