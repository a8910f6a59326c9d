#ifndef RP_ROUTE_H
#define RP_ROUTE_H

#include <glib.h>
#include <math.h>
#include <stdbool.h>
#include <stdint.h>

#include "load.h"

/* Extra round trip to a target of another failure domain. */
#define RP_ROUTE_DOMAIN_NS 1500000
/* A report has lost half of its weight at an age of one response time divided
 * by this. With 1, 14 entry VMs at 95% load took 26.2 ms at 99
 * in 100 in place of 26.0. */
#define RP_ROUTE_AGEING 4.0
/* Without trusted reports, each other entry VM is taken to have this share of
 * the requests that this one has at a target: less than the same, as each
 * prefers the targets of its own failure domain. */
#define RP_ROUTE_ALIKE 0.3
/* A target below this multiple of the usual response time counts as usual:
 * smaller differences are mostly noise, and following noise moves load
 * without need. Above it, it is a straggler. */
#define RP_ROUTE_STRAGGLER_RATIO 1.5
/* A straggler without traffic is tried again with one request after this. */
#define RP_ROUTE_RETRY_STRAGGLER_NS 1000000000
/* An answer is overdue after this multiple of the usual response time; 2% of
 * exponential times are longer. */
#define RP_ROUTE_OVERDUE_RATIO 4.0
/* Variance of the estimate of others' requests, as a multiple of them. */
#define RP_ROUTE_OTHERS_SPREAD 0.5
#define RP_ROUTE_LEAST_SPREAD 0.02
/* Keeps waits in the cost before the first answer. */
#define RP_ROUTE_LEAST_RESPONSE_NS 100000.0

/* What all targets of a service have in common, as one entry VM sees it. */
struct rp_route_pool {
    double response_ns; /* usual response time without the domain's distance */
    uint32_t samples;   /* answers so far, up to a bound */
    uint32_t deciders;  /* entry VMs that send to the targets */
    /* How own requests and reported totals vary together. */
    double covariance;
    double variance;
    double total_variance; /* of reported totals */
    double total_level;    /* their mean */
    double trust;          /* in the reports, 0 to 1 */
};

/* What one entry VM knows of the load of one target. */
struct rp_route_target {
    double slots;
    double slots_inverse;
    double domain_ns;   /* extra round trip, 0 in the own failure domain */
    double response_ns; /* own answers, smoothed, without domain_ns */
    double others_last; /* requests of other entry VMs, latest report */
    double others_mean; /* the same, smoothed */
    double total_mean;  /* reported requests of all entry VMs, smoothed */
    double own_mean;    /* own requests when reports came, smoothed */
    int64_t report_ns;  /* time of the latest report */
    int64_t sample_ns;  /* latest answer that response_ns contains */
    int64_t pending_since_ns; /* since when a short answer is owed */
    uint32_t in_flight;       /* own requests, short ones and long ones */
    uint32_t long_in_flight;
    bool reported;
    bool sampled;
};

/* The functions below are inline because they run for each target of each
 * decision. */

/* Estimates the requests of other entry VMs at the target. A report loses
 * weight with its age in favour of the target's own average, never of the
 * pool's: a rule that let old reports decay to the pool's mean sent ever more
 * work to a target that had stopped answering (Mitzenmacher, How Useful Is
 * Old Information, 2000). Without reports that can be trusted, others are
 * taken to do as this entry VM does. */
static inline double
rp_route_remote_in_flight(const struct rp_route_target *target,
                          const struct rp_route_pool *pool, int64_t now_ns)
{
    if (pool->deciders <= 1) {
        return 0;
    }
    double alike = RP_ROUTE_ALIKE * target->in_flight * (pool->deciders - 1);
    if (!target->reported) {
        return alike;
    }
    double age = (double)(now_ns - target->report_ns);
    double weight =
        pool->response_ns / (pool->response_ns + RP_ROUTE_AGEING * age + 1);
    double reported = target->others_mean +
                      weight * (target->others_last - target->others_mean);
    return alike + pool->trust * (reported - alike);
}

/* Returns whether the target is slower than noise explains. */
static inline bool
rp_route_is_straggler(const struct rp_route_target *target,
                      const struct rp_route_pool *pool)
{
    return target->sampled &&
           target->response_ns > RP_ROUTE_STRAGGLER_RATIO * pool->response_ns;
}

/* Returns the expected time until an answer of the target: network, wait for
 * a slot, time in the slot, and how long an answer is overdue. The wait is the
 * expected excess of requests over slots; others' requests are uncertain, so
 * it rises smoothly as the slots fill. Queue and response time together rank
 * targets as in C3 (NSDI 2015) and Prequal (NSDI 2024). */
static inline double
rp_route_cost_ns(const struct rp_route_target *target,
                 const struct rp_route_pool *pool, double others,
                 int64_t now_ns)
{
    double service = MAX(pool->response_ns, RP_ROUTE_LEAST_RESPONSE_NS);
    if (rp_route_is_straggler(target, pool) &&
        (target->in_flight > 0 ||
         now_ns - target->sample_ns < RP_ROUTE_RETRY_STRAGGLER_NS))
    {
        service = target->response_ns;
    }
    double excess = target->in_flight + others + 1 - target->slots;
    double spread = RP_ROUTE_OTHERS_SPREAD * others + RP_ROUTE_LEAST_SPREAD;
    double waiting = 0.5 * (excess + sqrt(excess * excess + spread));
    double cost =
        target->domain_ns + service * (1 + waiting * target->slots_inverse);
    if (target->in_flight > target->long_in_flight) {
        double overdue = (double)(now_ns - target->pending_since_ns) -
                         RP_ROUTE_OVERDUE_RATIO * pool->response_ns;
        cost += MAX(overdue, 0);
    }
    return cost;
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
void rp_route_forget(struct rp_route_target *target, int64_t now_ns);

#ifdef __cplusplus
}
#endif

#endif
