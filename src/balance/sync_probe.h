#ifndef RP_SYNC_PROBE_H
#define RP_SYNC_PROBE_H

#include <stdbool.h>
#include <stdint.h>

#include "load.h"
#include "usual_time.h"

/* Synchronous probes: a target is probed right before a call is sent to it.
 * For services whose targets report how slow their machine is at the moment. A
 * call keeps the speed at which it starts, and the speed changes several times
 * a second, so that only a report of some milliseconds' age is useful. Uses no
 * clock, socket or log. */

/* A report up to this age is used without another probe: a speed that changes
 * every 150 ms has changed by then in 8 of 100 cases. */
#define RP_SYNC_PROBE_FRESH_NS INT64_C(12000000)
/* Time constant of a report's weight, which falls by two thirds in this time.
 */
#define RP_SYNC_PROBE_DECAY_NS INT64_C(100000000)
/* A target is fast up to this multiple of the usual response time. */
#define RP_SYNC_PROBE_FAST_RATIO 1.6
/* A probe without an answer fails after this time. Targets answer within 10
 * ms. */
#define RP_SYNC_PROBE_TIMEOUT_NS INT64_C(120000000)

/* State that all targets of a service share. */
struct rp_sync_probe_pool {
    bool enabled;      /* the service's record allows probes */
    bool coarse;       /* targets have few slots, see search_time.h */
    bool has_slowness; /* a report with a slowness has arrived */
    uint32_t answers_without_slowness; /* before the first with one */
    double usual_ns;             /* median time of a call at usual speed */
    struct rp_usual_time routes; /* the same for each route */
    double slowness;             /* mean over the reports; 1: usual speed */
    double near_capacity_cost;   /* call time near capacity / usual time */
    double mean_utilization;     /* mean requests per slot over the reports */
    uint32_t samples;
    uint32_t probes_in_flight;
};

#define RP_SYNC_PROBE_RECENT_SENDS 8

struct rp_sync_probe_target {
    bool reported;
    int64_t report_ns;
    double slowness;          /* by the report; 1: usual speed */
    double reported_requests; /* requests running and queued, by the report */
    int64_t sends_ns[RP_SYNC_PROBE_RECENT_SENDS]; /* ring buffer */
    uint32_t send_count;
    int64_t probe_ns;    /* when the probe in flight was sent; 0: none */
    double excess_ratio; /* moving average of response / expected time */
    int64_t excess_ns;   /* when excess_ratio was last updated */
    uint32_t consecutive_faults; /* calls that failed or broke off */
    int64_t fault_ns;            /* when the latest fault occurred */
    uint32_t probe_failures;     /* consecutive probes without an answer */
    int64_t probe_failed_ns;
    double probe_tokens;
    int64_t tokens_updated_ns;
};

#ifdef __cplusplus
extern "C" {
#endif

void rp_sync_probe_pool_init(struct rp_sync_probe_pool *pool);
bool rp_sync_probe_in_use(const struct rp_sync_probe_pool *pool);
void rp_sync_probe_record_missing_slowness(struct rp_sync_probe_pool *pool);
void rp_sync_probe_init(struct rp_sync_probe_target *target, int64_t now_ns);
void rp_sync_probe_record_report(struct rp_sync_probe_target *target,
                                 struct rp_sync_probe_pool *pool,
                                 const struct rp_load_report *load,
                                 int64_t now_ns);
void rp_sync_probe_record_sent(struct rp_sync_probe_target *target,
                               int64_t now_ns);
void rp_sync_probe_record_answer(struct rp_sync_probe_target *target,
                                 struct rp_sync_probe_pool *pool,
                                 uint64_t route, double expected_slowness,
                                 bool near_capacity, int64_t response_ns,
                                 int64_t now_ns);
void rp_sync_probe_record_fault(struct rp_sync_probe_target *target,
                                int64_t now_ns);
bool rp_sync_probe_is_failing(const struct rp_sync_probe_target *target,
                              int64_t now_ns);
int64_t rp_sync_probe_cooldown_ns(const struct rp_sync_probe_target *target,
                                  int64_t now_ns);
bool rp_sync_probe_is_near_capacity(double load, double slots);
double rp_sync_probe_max_load(const struct rp_sync_probe_pool *pool,
                              double slots);
double rp_sync_probe_usual_ns(const struct rp_sync_probe_pool *pool,
                              uint64_t route);
bool rp_sync_probe_is_fresh(const struct rp_sync_probe_target *target,
                            int64_t now_ns);
double rp_sync_probe_load(const struct rp_sync_probe_target *target,
                          const struct rp_sync_probe_pool *pool, double slots,
                          int64_t now_ns);
double rp_sync_probe_slowness(const struct rp_sync_probe_target *target,
                              const struct rp_sync_probe_pool *pool,
                              int64_t now_ns);
double rp_sync_probe_expected_ns(const struct rp_sync_probe_target *target,
                                 const struct rp_sync_probe_pool *pool,
                                 uint64_t route, double slots, int64_t now_ns);
bool rp_sync_probe_allows_hedge(const struct rp_sync_probe_pool *pool);
int64_t rp_sync_probe_hedge_delay_ns(const struct rp_sync_probe_pool *pool,
                                     uint64_t route, int64_t aim_ns);
bool rp_sync_probe_may_probe(const struct rp_sync_probe_target *target,
                             double probes_per_s, int64_t now_ns);
void rp_sync_probe_record_start(struct rp_sync_probe_target *target,
                                struct rp_sync_probe_pool *pool,
                                double probes_per_s, int64_t now_ns);
void rp_sync_probe_record_end(struct rp_sync_probe_target *target,
                              struct rp_sync_probe_pool *pool, bool answered,
                              int64_t now_ns);

#ifdef __cplusplus
}
#endif

#endif
