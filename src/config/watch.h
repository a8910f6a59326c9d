#ifndef RP_WATCH_H
#define RP_WATCH_H

#include <stdbool.h>
#include <stdint.h>

#include "vm_list.h"

/* Watchers of one failure domain, and of the whole fleet. */
#define RP_WATCH_MAX_PER_DOMAIN 2
#define RP_WATCH_MAX_WATCHERS 8

/* Time between the starts of two reads by one VM, independent of other VMs.
 */
#define RP_WATCH_MIN_READ_INTERVAL_NS INT64_C(1000000000)
/* A VM whose freshness is older than this starts to watch, after a delay of at
 * most RP_WATCH_MAX_PROMOTION_DELAY_NS that differs between VMs. */
#define RP_WATCH_MAX_FRESHNESS_AGE_NS INT64_C(2000000000)
#define RP_WATCH_MAX_PROMOTION_DELAY_NS INT64_C(3000000000)
/* A VM that does not watch reads the list of VMs every 4 s, or less often in
 * a large fleet: 250 ms for each entry VM limit the fleet to 4 reads a second
 * in total. */
#define RP_WATCH_MIN_IDLE_INTERVAL_NS INT64_C(4000000000)
#define RP_WATCH_IDLE_INTERVAL_PER_VM_NS INT64_C(250000000)
/* A peer whose freshness is older than this may lack removals that the
 * platform has. */
#define RP_WATCH_MAX_PEER_AGE_NS INT64_C(3500000000)
/* Delay after failed reads. */
#define RP_WATCH_MAX_BACKOFF_NS INT64_C(4000000000)

enum rp_watch_role {
    RP_WATCH_IDLE,     /* does not watch */
    RP_WATCH_CHOSEN,   /* watches as one of the chosen VMs */
    RP_WATCH_PROMOTED, /* watches since the freshness was stale */
};

enum rp_watch_read {
    RP_WATCH_READ_NONE,
    RP_WATCH_READ_VMS,
    RP_WATCH_READ_RECORDS,
    RP_WATCH_READ_REVISION, /* cheap: shows only whether records changed */
};

/* Decides whether this VM watches the platform, and what it reads when. The
 * freshness is the latest time at which this VM or a peer has read the current
 * state of the platform. Uses no clock, socket or log: callers pass the time.
 */
struct rp_watch;

#ifdef __cplusplus
extern "C" {
#endif

uint32_t rp_watch_choose(const struct rp_vm_list *list,
                         const struct rp_vm *chosen[RP_WATCH_MAX_WATCHERS]);

struct rp_watch *rp_watch_new(const char *local_id, int64_t now_ns);
void rp_watch_free(struct rp_watch *watch);
void rp_watch_set_vms(struct rp_watch *watch, const struct rp_vm_list *list);
void rp_watch_set_no_vm_list(struct rp_watch *watch, bool is_seed);
int64_t rp_watch_first_read_delay_ns(const char *local_id, bool is_seed,
                                     uint32_t capacity_permille);
void rp_watch_set_seed_rank(struct rp_watch *watch, uint32_t rank);
void rp_watch_delay_first_read(struct rp_watch *watch, int64_t until_ns);
void rp_watch_record_peer_records(struct rp_watch *watch, int64_t now_ns);
int64_t rp_watch_spread_delay_ns(const struct rp_watch *watch);
void rp_watch_set_behind(struct rp_watch *watch, bool behind, int64_t now_ns);
void rp_watch_record_peer_freshness(struct rp_watch *watch, int64_t fresh_ns,
                                    int64_t now_ns);
void rp_watch_record_pause(struct rp_watch *watch, int64_t gap_ns);
enum rp_watch_read rp_watch_next(struct rp_watch *watch, int64_t now_ns,
                                 int64_t *wait_ms);
void rp_watch_finish(struct rp_watch *watch, bool succeeded, bool fresh,
                     bool has_more_pages, double jitter, int64_t now_ns);
int64_t rp_watch_due_ns(const struct rp_watch *watch);
enum rp_watch_role rp_watch_role(const struct rp_watch *watch);
int64_t rp_watch_fresh_ns(const struct rp_watch *watch);

#ifdef __cplusplus
}
#endif

#endif
