#ifndef BENCH_H
#define BENCH_H

#include "sim.h"

struct bench_options {
    const char *regime;     /* NULL for all */
    const char *deployment; /* NULL for all */
    const char *policy;     /* NULL for all */
    uint32_t width;
    uint32_t seed;
    uint32_t seeds;
    uint32_t calls;
    bool check;
    bool all_deployments;
    const char *known_red; /* file */
    uint32_t decisions;    /* targets of the decision loop, 0 for none */
};

/* Figures of all policies in one regime and deployment. */
struct bench_cell {
    const struct bench_regime *regime;
    const struct bench_deployment *deployment;
    struct sim_result *results[SIM_POLICIES];
};

void bench_print(const struct bench_cell *cell, enum sim_policy policy,
                 const char *seed);
int bench_check(const struct bench_cell *cells, uint32_t count,
                const struct bench_options *options);
int bench_decisions(uint32_t targets);

#endif
