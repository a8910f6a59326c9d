#ifndef SIM_H
#define SIM_H

#include <gsl/gsl_histogram.h>
#include <gsl/gsl_rng.h>

#include "balancer.h"
#include "fake_target.h"
#include "heap.h"
#include "regime.h"
#include "retry.h"

#define SIM_MAX_TARGETS 64
#define SIM_MAX_DECIDERS 128
#define SIM_DEFAULT_DECIDERS 14
/* Mean service times: 5 ms for lookups (short calls), 30 times as long for
 * maps (long calls). */
#define SIM_SHORT_MEAN_NS 5000000.0
#define SIM_LONG_FACTOR 30.0
#define SIM_SHORT_TIMEOUT_NS 1000000000
#define SIM_LONG_TIMEOUT_NS 20000000000
/* One-way delay between a decider and a target. */
#define SIM_SAME_DOMAIN_NS 100000
#define SIM_CROSS_DOMAIN_NS 850000
#define SIM_NO_CALL UINT32_MAX

enum sim_policy {
    SIM_ROUND_ROBIN,
    SIM_RANDOM,
    SIM_LEAST_LOCAL,
    SIM_TWO_CHOICES,
    SIM_ALL_KNOWING, /* sees the present state of all targets */
    SIM_BALANCER,    /* the balancer of src/balance */
    SIM_POLICY_COUNT,
};

struct sim_call {
    int64_t arrived_ns;
    int64_t deadline_ns;
    double nominal_service_ns; /* at a warm target of normal speed */
    uint32_t decider;          /* index */
    uint32_t attempts;
    uint32_t open_attempts;
    uint32_t tried_targets[RP_BALANCER_MAX_AVOIDED];
    bool is_long;
    bool done;
    bool in_peak;
};

struct sim_attempt {
    uint32_t call;   /* index */
    uint32_t target; /* index */
    int64_t sent_ns;
    uint32_t flags;
    bool running;
    bool target_ended;
    bool decider_ended;
    enum rp_attempt_outcome outcome;
    struct rp_load_report load;
};

struct sim_decider {
    struct rp_balancer *balancer; /* NULL for simple policies */
    uint32_t domain;
    uint32_t next_target; /* where the simple policies start their search */
    uint32_t in_flight[SIM_MAX_TARGETS];
    int64_t last_report_ns[SIM_MAX_TARGETS]; /* of each target */
    int64_t due_event_ns; /* of the pending EVENT_DUE, INT64_MAX for none */
    int64_t pause_end_ns;
};

/* Results of one run, or the sum over several runs. */
struct sim_result {
    uint32_t references;
    gsl_histogram *short_ms;
    gsl_histogram *long_ms;
    gsl_histogram *all_ms;
    uint64_t calls, answered, refused, failed, late;
    uint64_t attempts, retries, hedges, probes, report_bytes;
    double peak_capacity;   /* calls that the slots can serve in it */
    uint64_t peak_answered; /* calls answered in time in it */
    /* Arrival of the last call that waited over 10 ms, from the peak end. */
    double recovery_ms;
    uint64_t estate_attempts[2]; /* after the handover */
    double estate_error; /* maximum deviation from the share, in calls */
};

struct sim {
    const struct bench_regime *regime;
    const struct bench_deployment *deployment;
    enum sim_policy policy;
    uint32_t width; /* number of serving deciders */
    struct heap heap;
    gsl_rng *arrival_rng;
    gsl_rng *choice_rng;
    gsl_rng *world_rng;
    int64_t now_ns;
    int64_t end_ns;
    int64_t peak_start_ns, peak_end_ns;
    double mean_gap_ns;
    uint32_t target_count; /* includes replacements */
    struct fake_target targets[SIM_MAX_TARGETS];
    uint32_t target_domain[SIM_MAX_TARGETS];
    uint32_t target_estate[SIM_MAX_TARGETS];
    bool target_listed[SIM_MAX_TARGETS]; /* published to the deciders */
    uint32_t decider_count;
    struct sim_decider deciders[SIM_MAX_DECIDERS];
    uint32_t serving_deciders[SIM_MAX_DECIDERS]; /* used by callers */
    struct rp_snapshot *snapshot;
    bool handover_done;
    /* Accumulated share of the new estate, for policies without shares. */
    double estate_credit;
    uint32_t chosen_estate;
    GArray *calls;    /* of struct sim_call */
    GArray *attempts; /* of struct sim_attempt */
    struct sim_result *result;
};

struct sim_result *sim_result_new(void);
struct sim_result *sim_result_ref(struct sim_result *result);
void sim_result_unref(struct sim_result *result);
double sim_quantile(const gsl_histogram *histogram, double quantile);
void sim_run(const struct bench_regime *regime,
             const struct bench_deployment *deployment, enum sim_policy policy,
             uint32_t width, uint32_t calls, uint64_t seed,
             struct sim_result *result);

/* policy.c */
const char *sim_policy_name(enum sim_policy policy);
uint32_t sim_pick_target(struct sim *sim, struct sim_decider *decider,
                         const struct sim_call *call);

/* world.c */
void sim_world_start(struct sim *sim);
void sim_world_event(struct sim *sim, uint32_t kind, uint32_t machine);
void sim_world_publish(struct sim *sim);
void sim_world_free(struct sim *sim);
double sim_world_demand(const struct sim *sim);
double sim_world_new_estate_share(const struct sim *sim);

/* path.c */
void sim_path_arrival(struct sim *sim, uint32_t call);
void sim_path_answer(struct sim *sim, uint32_t attempt);
void sim_path_hedge(struct sim *sim, uint32_t call);
void sim_path_retry(struct sim *sim, uint32_t call);
void sim_path_due(struct sim *sim, uint32_t decider);
void sim_path_probe(struct sim *sim, uint32_t target, uint32_t round);
int64_t sim_one_way_delay_ns(const struct sim *sim, uint32_t decider,
                             uint32_t target);

#endif
