#ifndef RP_INVARIANT_H
#define RP_INVARIANT_H

#include <stdbool.h>

#include "context.h"

/* Conditions that must always hold; see docs/invariants.md. */
enum rp_invariant {
    RP_INVARIANT_PROBE_BUDGET,
    RP_INVARIANT_WHOLE_ANSWER,
    RP_INVARIANT_NOT_RUN_IS_TRUE,
    RP_INVARIANT_AT_MOST_ONCE,
    RP_INVARIANT_DRAIN_STOPS_WORK,
    RP_INVARIANT_GRACEFUL_STOP,
    RP_INVARIANT_CONFIG_MONOTONIC,
    RP_INVARIANT_CLOSED_TARGET,
    RP_INVARIANT_EVACUATED_DOMAIN,
    RP_INVARIANT_COUNT
};

#ifdef __cplusplus
extern "C" {
#endif

void rp_invariant_check(struct rp_context *context,
                        enum rp_invariant invariant, bool holds,
                        int64_t now_ns, const char *detail);
const char *rp_invariant_name(enum rp_invariant invariant);

#ifdef __cplusplus
}
#endif

#endif
