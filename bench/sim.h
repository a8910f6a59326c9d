#ifndef SIM_H
#define SIM_H

#include <gsl/gsl_histogram.h>
#include <gsl/gsl_rng.h>

#include "balancer.h"
#include "fake_target.h"
#include "heap.h"
#include "regime.h"
#include "retry.h"

#define SIM_TARGETS 64
#define SIM_DECIDERS 128
#define SIM_FLEET 14
/* Service times: lookups of 5 ms, maps 30 times longer. */
#define SIM_SHORT_NS 5000000.0
#define SIM_LONG_FACTOR 30.0
#define SIM_SHORT_DEADLINE_NS 1000000000
#define SIM_LONG_DEADLINE_NS 20000000000
/* One way between a decider and a target. */
#define SIM_NEAR_NS 100000
#define SIM_FAR_NS 850000
#define SIM_NO_CALL UINT32_MAX

enum sim_policy {
    SIM_ROUND_ROBIN,
    SIM_RANDOM,
    SIM_LEAST_LOCAL,
    SIM_TWO_CHOICES,
    SIM_ALL_KNOWING,
    SIM_BALANCER,
    SIM_POLICIES,
};

struct sim_call {
    int64_t arrived_ns;
    int64_t deadline_ns;
    double size_ns;
    uint32_t decider;
    uint32_t attempts;
    uint32_t live;
    uint32_t tried[RP_BALANCER_MAX_AVOIDED];
    bool is_long;
    bool done;
    bool at_crest;
};

struct sim_attempt {
    uint32_t call;
    uint32_t target;
    int64_t sent_ns;
    uint32_t flags;
    bool running;
    bool ended; /* at the target */
    bool over;  /* at the decider */
    enum rp_attempt_outcome outcome;
    struct rp_load_report load;
};

struct sim_decider {
    struct rp_balancer *balancer; /* NULL for simple policies */
    uint32_t domain;
    uint32_t next;
    uint32_t in_flight[SIM_TARGETS];
    int64_t heard_ns[SIM_TARGETS]; /* latest answer of each target */
    int64_t due_ns;                /* of the event in the heap */
    int64_t paused_until_ns;
};

/* Figures of one run or of several added up. */
struct sim_result {
    uint32_t references;
    gsl_histogram *short_ms;
    gsl_histogram *long_ms;
    gsl_histogram *all_ms;
    uint64_t calls, answered, refused, failed, late;
    uint64_t attempts, retries, hedges, probes, report_bytes;
    double crest_best;       /* calls that the slots could do at the crest */
    uint64_t crest_answered; /* calls answered in time during the crest */
    double recovery_ms;      /* until waits were usual again, greatest */
    uint64_t estate_sent[2]; /* after the handover */
    double estate_error;     /* greatest difference from the share, calls */
};

struct sim {
    const struct bench_regime *regime;
    const struct bench_deployment *deployment;
    enum sim_policy policy;
    uint32_t width; /* deciders that serve the service */
    struct heap heap;
    gsl_rng *arrivals;
    gsl_rng *choices;
    gsl_rng *world;
    int64_t now_ns;
    int64_t end_ns;
    int64_t crest_from_ns, crest_until_ns;
    double mean_gap_ns;
    uint32_t target_count; /* with those that come later */
    struct fake_target targets[SIM_TARGETS];
    uint32_t target_domain[SIM_TARGETS];
    uint32_t target_estate[SIM_TARGETS];
    bool target_known[SIM_TARGETS];
    uint32_t decider_count;
    struct sim_decider deciders[SIM_DECIDERS];
    uint32_t serving[SIM_DECIDERS]; /* deciders that callers use */
    struct rp_snapshot *snapshot;
    bool handed_over;
    double estate_credit; /* of the new estate, for policies without shares */
    uint32_t wanted_estate;
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
uint32_t sim_pick(struct sim *sim, struct sim_decider *decider,
                  const struct sim_call *call);

/* world.c */
void sim_world_start(struct sim *sim);
void sim_world_event(struct sim *sim, uint32_t what, uint32_t subject);
void sim_world_publish(struct sim *sim);
void sim_world_free(struct sim *sim);
double sim_world_demand(const struct sim *sim);
double sim_world_new_share(const struct sim *sim);

/* path.c */
void sim_path_arrival(struct sim *sim, uint32_t call);
void sim_path_answer(struct sim *sim, uint32_t attempt);
void sim_path_hedge(struct sim *sim, uint32_t call);
void sim_path_retry(struct sim *sim, uint32_t call);
void sim_path_due(struct sim *sim, uint32_t decider);
void sim_path_probe(struct sim *sim, uint32_t target, uint32_t round);
int64_t sim_distance_ns(const struct sim *sim, uint32_t decider,
                        uint32_t target);

#endif
