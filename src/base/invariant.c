#include "invariant.h"

#include <stdlib.h>

static const char *const invariant_names[RP_INVARIANT_COUNT] = {
    "measuring-budget", "whole-answer",     "not-run-is-true",
    "at-most-once",     "drain-stops-work", "graceful-stop",
    "config-monotonic", "closed-target",    "evacuated-domain",
};

/* Counts and logs an invariant that does not hold and adds an event. Builds
 * with RP_FATAL_INVARIANTS (all test builds) abort, so that tests fail. detail
 * describes what was observed. */
void
rp_invariant_check(struct rp_context *context, enum rp_invariant invariant,
                   bool holds, int64_t now_ns, const char *detail)
{
    if (G_LIKELY(holds)) {
        return;
    }
    context->invariant_failures[invariant]++;
    rp_counter_add(&context->counters, RP_COUNTER_INVARIANT_FAILED, 1);
    struct rp_event *event =
        rp_event_add(context->events, RP_EVENT_INVARIANT_FAILED, now_ns,
                     rp_invariant_name(invariant));
    rp_event_set_detail(event, "%s", detail);
    g_critical("invariant %s failed: %s; report this as a fault with the "
               "output of 'rosemarypulley timeline'",
               rp_invariant_name(invariant), detail);
#ifdef RP_FATAL_INVARIANTS
    abort();
#endif
}

/* Returns the name of an invariant as used in docs/invariants.md. */
const char *
rp_invariant_name(enum rp_invariant invariant)
{
    return invariant_names[invariant];
}
