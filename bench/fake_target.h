#ifndef FAKE_TARGET_H
#define FAKE_TARGET_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "load.h"

#define FAKE_TARGET_SLOTS 6
#define FAKE_TARGET_WARM_CALLS 200

/* A target with slots and a queue of attempts, in virtual time. */
struct fake_target {
    GQueue queue;      /* of attempt numbers */
    uint32_t running;  /* slots in use */
    uint32_t underway; /* requests that have not arrived yet */
    double slow;       /* factor of service times: noise, straggler */
    bool failing;      /* answers errors at once */
    bool gone;
    uint32_t warm_calls; /* answered since a cold start */
    double cold_factor;  /* of service times at a cold start, 1 for none */
    double service_ns;   /* recent mean, as reported */
    GQueue history;      /* of struct fake_state, for reports that lag */
    int64_t lag_ns;
};

void fake_target_init(struct fake_target *target, double cold_factor,
                      int64_t lag_ns);
void fake_target_clear(struct fake_target *target);
double fake_target_factor(const struct fake_target *target);
void fake_target_note(struct fake_target *target, int64_t now_ns);
void fake_target_served(struct fake_target *target, double service_ns);
void fake_target_report(struct fake_target *target, int64_t now_ns,
                        struct rp_load_report *report);

#endif
