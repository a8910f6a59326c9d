#ifndef REGIME_H
#define REGIME_H

#include <stdbool.h>
#include <stdint.h>

/* A deployment of section 1 of the design: one of its services. */
struct bench_deployment {
    const char *name;
    uint32_t targets;
    uint32_t domains;
};

/* What happens in a run. Times of events are shares of its length. */
struct bench_regime {
    const char *name;
    double load;       /* of what all slots can do at usual speed */
    double crest;      /* demand is multiplied by this from 1/4 to 1/2 */
    double long_share; /* of calls */
    double sigma;      /* lognormal service times; 0: exponential */
    double straggler;  /* one target is this much slower from 1/4 on */
    double noise;      /* episodes: factor of service times */
    double cold;       /* half the targets are replaced at 1/4 */
    int64_t lag_ns;    /* age of load reports */
    int64_t pause_ns;  /* one entry VM pauses at 1/2 */
    uint32_t deciders; /* entry VMs */
    bool unsteered;    /* callers use all entry VMs */
    bool fast_failer;  /* one target fails at once from 1/4 on */
    bool estates;      /* shares go from 9:1 to 1:9 at 1/4 */
    bool equal;        /* targets are equal: bound of 1.03 or 1.05 */
    bool overload;     /* long calls alone exceed what slots can do */
};

extern const struct bench_deployment bench_deployments[];
extern const uint32_t bench_deployment_count;
extern const struct bench_regime bench_regimes[];
extern const uint32_t bench_regime_count;

bool bench_regime_equals(const struct bench_regime *left,
                         const struct bench_regime *right);

#endif
