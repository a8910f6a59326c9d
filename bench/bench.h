#ifndef BENCH_H
#define BENCH_H

#include "sim.h"

struct bench_options {
    const char *regime;     /* NULL for all */
    const char *deployment; /* NULL for all */
    const char *policy;     /* NULL for all */
    uint32_t width; /* as of sim_run; UINT32_MAX: one per failure domain */
    uint32_t first_seed;
    uint32_t seed_count;
    uint32_t calls_per_run;
    bool check;
    bool include_small;    /* run the smaller services as well */
    const char *known_red; /* path, NULL for none */
    /* Targets of the decision loop, which replaces the simulation; 0: off. */
    uint32_t decision_targets;
};

/* Results of all policies in one regime and deployment. */
struct bench_cell {
    const struct bench_regime *regime;
    const struct bench_deployment *deployment;
    struct sim_result *results[SIM_POLICY_COUNT];
};

void bench_print_policy(const struct bench_cell *cell, enum sim_policy policy,
                        const char *seeds);
int bench_check(const struct bench_cell *cells, uint32_t count,
                const struct bench_options *options);
int bench_run_decisions(uint32_t targets);

#endif
