#ifndef REGIME_H
#define REGIME_H

#include <stdbool.h>
#include <stdint.h>

#include "balancer.h"

/* A service of the deployments in section 1 of docs/design.md. */
struct bench_deployment {
    const char *name;
    uint32_t targets;
    uint32_t domains;
};

/* Workload and faults of a run. Event times are fractions of its length. */
struct bench_regime {
    const char *name;
    double load; /* fraction of the capacity of all slots at normal speed */
    double peak_factor; /* of the demand from 1/4 to 5/8; 0: no peak */
    /* Fraction of long calls. When negative, they are drawn but not sent. */
    double long_fraction;
    double service_sigma;    /* of lognormal service times; 0: exponential */
    double straggler_factor; /* service times of one target from 1/4 on */
    double noise_factor;     /* service times during episodes of noise */
    /* Half of the targets are replaced at 1/4; factor of the first service
     * times of the new ones. 0: no replacement. */
    double cold_factor;
    int64_t report_lag_ns;  /* age of load reports */
    int64_t pause_ns;       /* pause of one entry VM at 1/2 */
    uint32_t decider_count; /* entry VMs; 0: SIM_DEFAULT_DECIDERS */
    bool unsteered;         /* callers use all entry VMs */
    /* Outcome of each request at one target from 1/4 on, at once;
     * RP_ATTEMPT_OK: none fails so. */
    enum rp_attempt_outcome fast_failure;
    bool estate_handover; /* shares change from 9:1 to 1:9 at 1/4 */
    bool equal_targets;   /* checked with MAX_EQUAL_RATIO in check.c */
    bool overload;        /* long calls alone exceed the capacity */
};

extern const struct bench_deployment bench_deployments[];
extern const uint32_t bench_deployment_count;
extern const struct bench_regime bench_regimes[];
extern const uint32_t bench_regime_count;

bool bench_regime_equals(const struct bench_regime *left,
                         const struct bench_regime *right);

#endif
