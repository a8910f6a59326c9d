#ifndef RP_ROUTE_H
#define RP_ROUTE_H

#include <stdbool.h>
#include <stdint.h>

#include "load.h"

/* Extra round trip to a target of another failure domain. */
#define RP_ROUTE_DOMAIN_NS 1500000

/* What all targets of a service have in common, as one entry VM sees it. */
struct rp_route_pool {
    double response_ns; /* usual response time without the domain's distance */
    uint32_t deciders;  /* entry VMs that send to the targets */
};

/* What one entry VM knows of the load of one target. */
struct rp_route_target {
    double slots;
    double slots_inverse;
    double domain_ns;   /* extra round trip, 0 in the own failure domain */
    double response_ns; /* own answers, smoothed, without domain_ns */
    double others_last; /* requests of other entry VMs, latest report */
    double others_mean; /* the same, smoothed */
    int64_t report_ns;  /* time of the latest report */
    int64_t sample_ns;  /* latest answer that response_ns contains */
    int64_t owed_ns;    /* since when a short answer is owed */
    uint32_t in_flight; /* own requests, short ones and long ones */
    uint32_t long_in_flight;
    bool reported;
    bool sampled;
};

#ifdef __cplusplus
extern "C" {
#endif

void rp_route_init(struct rp_route_target *target, uint32_t slots, bool local);
void rp_route_sent(struct rp_route_target *target, bool is_long,
                   int64_t now_ns);
void rp_route_ended(struct rp_route_target *target, bool is_long,
                    int64_t now_ns);
void rp_route_answered(struct rp_route_target *target,
                       struct rp_route_pool *pool, int64_t response_ns,
                       int64_t now_ns);
void rp_route_reported(struct rp_route_target *target,
                       const struct rp_load_report *load, int64_t age_ns,
                       int64_t now_ns);
void rp_route_forget(struct rp_route_target *target, int64_t now_ns);
double rp_route_others(const struct rp_route_target *target,
                       const struct rp_route_pool *pool, int64_t now_ns);
bool rp_route_is_straggler(const struct rp_route_target *target,
                           const struct rp_route_pool *pool);
double rp_route_cost_ns(const struct rp_route_target *target,
                        const struct rp_route_pool *pool, double others,
                        int64_t now_ns);

#ifdef __cplusplus
}
#endif

#endif
