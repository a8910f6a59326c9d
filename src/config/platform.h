#ifndef RP_PLATFORM_H
#define RP_PLATFORM_H

#include "kernel.h"
#include "loop.h"
#include "platform_protocol.h"
#include "vm_list.h"

/* The task "platform" reads the platform's configuration service. */

/* Body of RP_MSG_PLATFORM_FRESHNESS. platform to all: this VM has read the
 * platform's state as of fresh_ns, in its monotonic time. gossip to platform:
 * a peer's heartbeat reported a later one, converted to this VM's monotonic
 * time as now_ns minus the age in the heartbeat. */
struct rp_platform_freshness {
    int64_t fresh_ns;
    uint64_t revision; /* of the platform, at that time */
};

/* Strings are copied. 0 stands for the default in the comment. */
struct rp_platform_settings {
    const char *url;                             /* "http://ip:port" */
    const struct rp_platform_protocol *protocol; /* NULL for the native one */
    int64_t timeout_ms;       /* of a read, added to its wait time; 2000 */
    uint32_t page_size;       /* records requested at once; 256 */
    int64_t max_answer_bytes; /* 8 MiB */
    /* Whether the other VMs are configured with the peer address of this VM.
     * On a platform without a list of VMs, seeds watch before any member is
     * known. */
    bool is_seed;
    uint32_t seed_rank; /* position among the seeds */
    /* How long the first read is left to other VMs, whose records this VM gets
     * from its peers; see rp_watch_first_read_delay_ns. */
    int64_t first_read_delay_ns;
};

struct rp_platform;

#ifdef __cplusplus
extern "C" {
#endif

struct rp_platform *
rp_platform_add(struct rp_loop *loop,
                const struct rp_platform_settings *settings, int64_t now_ns,
                GError **error);

#ifdef __cplusplus
}
#endif

#endif
