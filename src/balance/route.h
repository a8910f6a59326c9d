#ifndef RP_ROUTE_H
#define RP_ROUTE_H

#include <glib.h>
#include <math.h>
#include <stdbool.h>
#include <stdint.h>

#include "load.h"

/* Extra round trip time to a target in another failure domain. */
#define RP_ROUTE_CROSS_DOMAIN_NS 1500000
/* A report loses half of its weight at an age of one response time divided by
 * this. With 1 instead of 4, 14 entry VMs at 95% load had a 99th percentile of
 * 26.2 ms instead of 26.0. */
#define RP_ROUTE_REPORT_AGEING 4.0
/* Without trusted reports, each other entry VM is assumed to have this share
 * of the requests that this one has at a target. It is below 1 because each VM
 * prefers targets in its own failure domain. */
#define RP_ROUTE_ASSUMED_REMOTE_RATIO 0.3
/* A target above this multiple of the usual response time is a straggler.
 * Smaller differences are mostly noise, and following noise moves load without
 * need. */
#define RP_ROUTE_STRAGGLER_RATIO 1.5
/* A straggler without traffic gets one trial request after this time. */
#define RP_ROUTE_STRAGGLER_RETRY_NS 1000000000
/* An answer is overdue after this multiple of the usual response time; 2% of
 * exponentially distributed times are longer. */
#define RP_ROUTE_OVERDUE_RATIO 4.0
/* Variance of the estimated remote requests, as a multiple of the estimate. */
#define RP_ROUTE_REMOTE_VARIANCE_RATIO 0.5
#define RP_ROUTE_MIN_VARIANCE 0.02
/* Lower bound, so that the cost includes queueing before the first answer. */
#define RP_ROUTE_MIN_RESPONSE_NS 100000.0

/* State of one entry VM that all targets of a service share. */
struct rp_route_pool {
    double response_ns; /* moving average without cross_domain_ns */
    uint32_t samples;   /* answers so far, up to a bound */
    uint32_t deciders;  /* entry VMs that send to the targets */
    /* Of local requests with reported totals, and of local requests. */
    double covariance;
    double variance;
    double total_variance; /* of reported totals */
    double total_mean;     /* of reported totals */
    double trust;          /* weight of the reports, 0 to 1 */
};

/* One entry VM's estimate of the load and speed of one target. */
struct rp_route_target {
    double slots;
    double slots_inverse;
    double cross_domain_ns; /* extra round trip, 0 for local targets */
    double response_ns;     /* moving average without cross_domain_ns */
    double remote_last; /* requests of other entry VMs by the latest report */
    double remote_mean; /* moving average of remote_last */
    double total_mean;  /* moving average of all reported requests */
    double local_mean;  /* moving average at the arrival of reports */
    int64_t report_ns;  /* when the latest report was made */
    int64_t sample_ns;  /* when response_ns was last updated */
    int64_t pending_since_ns; /* start of the wait for a short call */
    uint32_t in_flight;       /* local requests, short and long */
    uint32_t long_in_flight;
    bool reported;
    bool sampled;
};

/* What is the same for all targets of one decision. */
struct rp_route_terms {
    int64_t now_ns;
    double other_deciders; /* entry VMs besides this one that send */
    double trust;          /* 0 without other deciders */
    double response_ns;    /* usual response time */
    double service_ns;     /* the same with its lower bound */
    double straggler_ns;   /* response time above which a target is one */
    double overdue_ns;     /* time after which an answer is overdue */
};

/* The functions below are inline because they run for each target in each
 * decision. */

/* Returns the terms of a decision at now_ns. */
static inline struct rp_route_terms
rp_route_terms(const struct rp_route_pool *pool, int64_t now_ns)
{
    return (struct rp_route_terms){
        .now_ns = now_ns,
        .other_deciders = pool->deciders > 1 ? pool->deciders - 1 : 0,
        .trust = pool->deciders > 1 ? pool->trust : 0,
        .response_ns = pool->response_ns,
        .service_ns = MAX(pool->response_ns, RP_ROUTE_MIN_RESPONSE_NS),
        .straggler_ns = RP_ROUTE_STRAGGLER_RATIO * pool->response_ns,
        .overdue_ns = RP_ROUTE_OVERDUE_RATIO * pool->response_ns,
    };
}

/* Estimates the requests of other entry VMs at the target. A report loses
 * weight with its age in favour of the target's own average. Decaying to the
 * mean of all targets instead would send ever more calls to a target that has
 * stopped answering (Mitzenmacher, How Useful Is Old Information, 2000).
 * Without trusted reports, the other entry VMs are assumed to send a fixed
 * share of what this one sends. */
static inline double
rp_route_remote_by_terms(const struct rp_route_target *target,
                         const struct rp_route_terms *terms)
{
    double assumed = RP_ROUTE_ASSUMED_REMOTE_RATIO * target->in_flight *
                     terms->other_deciders;
    if (!target->reported) {
        return assumed;
    }
    double age = (double)(terms->now_ns - target->report_ns);
    double weight = terms->response_ns /
                    (terms->response_ns + RP_ROUTE_REPORT_AGEING * age + 1);
    double reported = target->remote_mean +
                      weight * (target->remote_last - target->remote_mean);
    return assumed + terms->trust * (reported - assumed);
}

/* Returns rp_route_remote_by_terms for a single target. */
static inline double
rp_route_remote_in_flight(const struct rp_route_target *target,
                          const struct rp_route_pool *pool, int64_t now_ns)
{
    struct rp_route_terms terms = rp_route_terms(pool, now_ns);
    return rp_route_remote_by_terms(target, &terms);
}

/* Returns whether the target is slower than noise can explain. A target
 * without answers has a response time of 0. */
static inline bool
rp_route_is_straggler(const struct rp_route_target *target,
                      const struct rp_route_pool *pool)
{
    return target->response_ns > RP_ROUTE_STRAGGLER_RATIO * pool->response_ns;
}

/* Returns the expected response time of the target: network, wait for a slot,
 * time in the slot, and the time for which an answer is already overdue. The
 * wait is the expected excess of requests over slots. As the remote requests
 * are an estimate, the wait rises smoothly while the slots fill. Ranking by
 * queue and response time together follows C3 (NSDI 2015) and Prequal (NSDI
 * 2024). */
static inline double
rp_route_cost_by_terms(const struct rp_route_target *target,
                       const struct rp_route_terms *terms, double remote)
{
    double service = terms->service_ns;
    if (target->response_ns > terms->straggler_ns &&
        (target->in_flight > 0 ||
         terms->now_ns - target->sample_ns < RP_ROUTE_STRAGGLER_RETRY_NS))
    {
        service = target->response_ns;
    }
    double excess = target->in_flight + remote + 1 - target->slots;
    double spread =
        RP_ROUTE_REMOTE_VARIANCE_RATIO * remote + RP_ROUTE_MIN_VARIANCE;
    double waiting = 0.5 * (excess + sqrt(excess * excess + spread));
    double cost = target->cross_domain_ns +
                  service * (1 + waiting * target->slots_inverse);
    if (target->in_flight > target->long_in_flight) {
        double overdue = (double)(terms->now_ns - target->pending_since_ns) -
                         terms->overdue_ns;
        cost += MAX(overdue, 0);
    }
    return cost;
}

/* Returns rp_route_cost_by_terms for a single target. */
static inline double
rp_route_cost_ns(const struct rp_route_target *target,
                 const struct rp_route_pool *pool, double remote,
                 int64_t now_ns)
{
    struct rp_route_terms terms = rp_route_terms(pool, now_ns);
    return rp_route_cost_by_terms(target, &terms, remote);
}

#ifdef __cplusplus
extern "C" {
#endif

void rp_route_pool_init(struct rp_route_pool *pool, uint32_t deciders);
void rp_route_init(struct rp_route_target *target, uint32_t slots, bool local);
void rp_route_record_sent(struct rp_route_target *target, bool is_long,
                          int64_t now_ns);
void rp_route_record_end(struct rp_route_target *target, bool is_long,
                         int64_t now_ns);
void rp_route_record_answer(struct rp_route_target *target,
                            struct rp_route_pool *pool, int64_t response_ns,
                            int64_t now_ns);
void rp_route_record_report(struct rp_route_target *target,
                            struct rp_route_pool *pool,
                            const struct rp_load_report *load, int64_t age_ns,
                            int64_t now_ns);
void rp_route_handle_pause(struct rp_route_target *target, int64_t now_ns);

#ifdef __cplusplus
}
#endif

#endif
