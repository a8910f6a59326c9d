#ifndef RP_WATCH_H
#define RP_WATCH_H

#include <stdbool.h>
#include <stdint.h>

#include "vm_list.h"

#define RP_WATCH_MAX_PER_DOMAIN 2
#define RP_WATCH_MAX_WATCHERS 8

/* Starts of two reads of one VM are at least this far apart, whatever the
 * others do. */
#define RP_WATCH_READ_INTERVAL_NS INT64_C(1000000000)
/* Freshness older than this makes a VM begin to watch, after a delay of at
 * most RP_WATCH_DELAY_NS that differs between VMs. */
#define RP_WATCH_STALE_NS INT64_C(2000000000)
#define RP_WATCH_DELAY_NS INT64_C(3000000000)
/* A VM that does not watch reads the list of VMs every 4 s, or less often in
 * a large fleet, so that all of them together make 4 reads a second. */
#define RP_WATCH_IDLE_NS INT64_C(4000000000)
#define RP_WATCH_IDLE_SHARE_NS INT64_C(250000000)
/* Greatest delay after failed reads. */
#define RP_WATCH_BACKOFF_NS INT64_C(4000000000)

enum rp_watch_role {
    RP_WATCH_IDLE,
    RP_WATCH_CHOSEN,
    RP_WATCH_PROMOTED,
};

enum rp_watch_read {
    RP_WATCH_READ_NONE,
    RP_WATCH_READ_VMS,
    RP_WATCH_READ_RECORDS,
    RP_WATCH_READ_REVISION, /* cheap: whether there is anything new */
};

/* Which VM reads the platform, what and when. No clock, socket or log. */
struct rp_watch;

#ifdef __cplusplus
extern "C" {
#endif

uint32_t rp_watch_choose(const struct rp_vm_list *list,
                         const struct rp_vm *chosen[RP_WATCH_MAX_WATCHERS]);

struct rp_watch *rp_watch_new(const char *own_id, int64_t now_ns);
void rp_watch_free(struct rp_watch *watch);
void rp_watch_set_vms(struct rp_watch *watch, const struct rp_vm_list *list);
void rp_watch_set_no_vm_list(struct rp_watch *watch, bool is_seed);
int64_t rp_watch_spread_delay_ns(const struct rp_watch *watch);
void rp_watch_set_behind(struct rp_watch *watch, bool behind, int64_t now_ns);
void rp_watch_record_peer_freshness(struct rp_watch *watch, int64_t fresh_ns,
                                    int64_t now_ns);
void rp_watch_record_pause(struct rp_watch *watch, int64_t gap_ns);
enum rp_watch_read rp_watch_next(struct rp_watch *watch, int64_t now_ns,
                                 int64_t *wait_ms);
void rp_watch_finish(struct rp_watch *watch, bool succeeded, bool fresh,
                     bool more, double jitter, int64_t now_ns);
int64_t rp_watch_due_ns(const struct rp_watch *watch);
enum rp_watch_role rp_watch_role(const struct rp_watch *watch);
int64_t rp_watch_fresh_ns(const struct rp_watch *watch);

#ifdef __cplusplus
}
#endif

#endif
