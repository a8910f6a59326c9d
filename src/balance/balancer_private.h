#ifndef RP_BALANCER_PRIVATE_H
#define RP_BALANCER_PRIVATE_H

/* Shared by balancer.c, balancer_choose.c and balancer_sync_probe.c only. */
#include <glib.h>
#include <math.h>

#include "admission.h"
#include "backlog.h"
#include "balancer.h"
#include "crossing.h"
#include "estate_share.h"
#include "hedge.h"
#include "length.h"
#include "limit.h"
#include "outlier.h"
#include "rejection.h"
#include "retry_budget.h"
#include "return_time.h"
#include "route.h"
#include "sync_probe.h"
#include "target_notice.h"

struct balancer_target {
    struct rp_route_target route;
    struct rp_sync_probe_target sync_probe;
    struct rp_limit limit;
    struct rp_outlier outlier;
    uint32_t estate;          /* index in rp_balancer.shares */
    uint32_t crossing_domain; /* index in rp_crossing, or RP_CROSSING_LOCAL */
    bool present;
    bool joined_later; /* added or replaced after the first configuration */
    bool draining;     /* according to its record */
    bool evacuated;    /* its failure domain is being evacuated */
    bool reported_draining; /* according to its latest load report */
    struct rp_target_notice notice;
    /* When it may get calls, by the fields above; INT64_MAX for never. */
    int64_t open_ns;
    int64_t warm_open_ns; /* the same if it were not cold */
    struct rp_rejection rejection;
    struct rp_cold_rate cold;
    uint64_t record_version;
    uint64_t run; /* identifies the run of the target */
    uint64_t sent;
    char *address;
    char *instance;
    int64_t started_ms; /* of the instance; 0 when unknown */
    char *domain;
    char *name;
    char *estate_name;
};

struct rp_balancer {
    struct rp_balancer_config config; /* domain is owned */
    GArray *targets;     /* of struct balancer_target; indices are stable */
    uint32_t next_index; /* first index of the next search, for round robin */
    bool configured;
    struct rp_cold_limit cold_limit;
    enum rp_length_class length_class;
    GRand *random;
    struct rp_route_pool pool;
    struct rp_sync_probe_pool sync_probe;
    double local_probes_per_s; /* this VM's part of a target's budget */
    int64_t probe_due_ns;      /* next search for waiting calls */
    int64_t open_due_ns;       /* when the next closed target is open again */
    struct rp_estate_share shares;
    struct rp_length length;
    struct rp_retry_budget retries;
    struct rp_hedge hedge;
    struct rp_crossing crossing;
    enum rp_crossing_reason crossing_reason; /* of the call being sent */
    struct rp_admission *admission;
    struct rp_backlog *backlog;  /* replaces admission when probing */
    double failure_rate;         /* of all targets, moving average */
    double rejection_rate;       /* of attempts, moving average */
    double rejections_with_room; /* share by targets with free slots, moving
                                  * average */
    double long_response_ns;     /* moving average of long calls */
    /* Sums over the usable targets as of the latest rp_balancer_choose. */
    double slots_total;
    double limit_total;
    double load_total;
    int64_t pause_end_ns;     /* end of the latest pause */
    uint32_t local_in_flight; /* requests of this VM at all targets */
    uint32_t local_long_in_flight;
};

static inline struct balancer_target *
balancer_get(const struct rp_balancer *balancer, uint32_t index)
{
    return &g_array_index(balancer->targets, struct balancer_target, index);
}

/* Returns whether a target may get calls: it is configured, not leaving and
 * not evacuated. */
static inline bool
balancer_is_usable(const struct balancer_target *target)
{
    return target->open_ns != INT64_MAX;
}

/* Returns whether a target may get calls now: it is usable, has not asked for
 * a wait, and if it is cold, it is this entry VM's turn. */
static inline bool
balancer_is_open(const struct balancer_target *target, int64_t now_ns)
{
    return now_ns >= target->open_ns;
}

/* Returns whether a call has already tried a target. */
static inline bool
balancer_is_avoided(const struct rp_balancer_call *call, uint32_t target)
{
    for (uint32_t i = 0; i < call->avoided_count; i++) {
        if (call->avoided[i] == target) {
            return true;
        }
    }
    return false;
}

uint32_t rp_balancer_choose(struct rp_balancer *balancer,
                            const struct rp_balancer_call *call, bool is_long,
                            int64_t now_ns);

enum rp_balancer_action
rp_balancer_sync_probe(struct rp_balancer *balancer,
                       const struct rp_balancer_call *call, uint32_t waiting,
                       int64_t now_ns, uint32_t *target, int64_t *due_ns);

#endif
