#ifndef RP_SYNC_PROBE_H
#define RP_SYNC_PROBE_H

#include <stdbool.h>
#include <stdint.h>

#include "load.h"

/* Asking targets right before a call is sent, for services whose targets tell
 * how slow work is on their machine at the moment. A call that starts there
 * keeps that speed, and the speed changes several times a second, so that only
 * a report of some milliseconds is worth following. No clock, socket or log
 * inside. */

/* A report is followed without asking again up to this age: a speed that
 * changes every 150 ms has changed by then in 8 of 100 cases. */
#define RP_SYNC_PROBE_FRESH_NS INT64_C(12000000)
/* A report has lost two thirds of its worth at this age. */
#define RP_SYNC_PROBE_MEMORY_NS INT64_C(100000000)
/* A target counts as quick up to this multiple of the usual time. */
#define RP_SYNC_PROBE_QUICK 1.6
/* A probe without an answer for so long counts as failed. Targets answer
 * within 10 ms. */
#define RP_SYNC_PROBE_TIMEOUT_NS INT64_C(120000000)

/* What the targets of a service have in common. */
struct rp_sync_probe_pool {
    bool wanted;       /* targets may be asked before calls */
    bool has_slowness; /* a report has told the speed of a target */
    uint32_t untold;   /* answers without a speed before the first with one */
    double usual_ns;   /* median time of a call at usual speed */
    double slowness;   /* mean over the reports; 1 is the usual speed */
    double crowded_cost; /* time on a crowded target, 1 is usual */
    double
        mean_utilization; /* mean requests at a target in parts of its slots */
    uint32_t samples;
    uint32_t probes; /* in progress */
};

#define RP_SYNC_PROBE_SENDS 8

struct rp_sync_probe_target {
    bool reported;
    int64_t report_ns;
    double slowness;  /* 1 is the usual speed */
    double at_target; /* requests running and waiting, by the report */
    int64_t sends_ns[RP_SYNC_PROBE_SENDS]; /* own sends of late, a ring */
    uint32_t send_count;
    int64_t probe_ns;  /* when the probe in progress was sent; 0 for none */
    double excess;     /* own times as a multiple of what was expected */
    int64_t excess_ns; /* when an answer last said so */
    uint32_t faults;   /* calls in a row that it failed or broke off */
    int64_t fault_ns;  /* of the latest */
    uint32_t failures; /* probes in a row without an answer */
    int64_t failed_ns;
    double probe_tokens;
    int64_t token_ns;
};

#ifdef __cplusplus
extern "C" {
#endif

void rp_sync_probe_pool_init(struct rp_sync_probe_pool *pool);
bool rp_sync_probe_in_use(const struct rp_sync_probe_pool *pool);
void rp_sync_probe_untold(struct rp_sync_probe_pool *pool);
void rp_sync_probe_init(struct rp_sync_probe_target *target, int64_t now_ns);
void rp_sync_probe_record_report(struct rp_sync_probe_target *target,
                                 struct rp_sync_probe_pool *pool,
                                 const struct rp_load_report *load,
                                 int64_t now_ns);
void rp_sync_probe_record_sent(struct rp_sync_probe_target *target,
                               int64_t now_ns);
void rp_sync_probe_record_answer(struct rp_sync_probe_target *target,
                                 struct rp_sync_probe_pool *pool,
                                 double expected_slowness, bool crowded,
                                 int64_t response_ns, int64_t now_ns);
void rp_sync_probe_record_fault(struct rp_sync_probe_target *target,
                                int64_t now_ns);
int64_t rp_sync_probe_cooldown_ns(const struct rp_sync_probe_target *target,
                                  int64_t now_ns);
bool rp_sync_probe_is_crowded(double load, double slots);
double rp_sync_probe_max_load(const struct rp_sync_probe_pool *pool,
                              double slots);
double rp_sync_probe_usual_ns(const struct rp_sync_probe_pool *pool);
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
                                 double slots, int64_t now_ns);
bool rp_sync_probe_has_room(const struct rp_sync_probe_pool *pool);
int64_t rp_sync_probe_hedge_delay_ns(const struct rp_sync_probe_pool *pool);
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
