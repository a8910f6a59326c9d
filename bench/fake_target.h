#ifndef FAKE_TARGET_H
#define FAKE_TARGET_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "balancer.h"
#include "load.h"

#define FAKE_TARGET_SLOTS 6
#define FAKE_TARGET_WARM_UP_CALLS 200

/* A target with slots and a queue of attempts, in virtual time. */
struct fake_target {
    GQueue queue;        /* of attempt numbers */
    uint32_t running;    /* slots in use */
    uint32_t in_transit; /* requests sent but not yet received */
    double slow_factor;  /* of service times: noise, straggler */
    /* Of each request, at once; RP_ATTEMPT_OK: it serves them. */
    enum rp_attempt_outcome fast_failure;
    bool gone;
    uint32_t warm_up_calls; /* served since a cold start */
    double cold_factor;     /* of the first service time; 1: warm start */
    double mean_service_ns; /* moving average, as reported */
    GQueue history;         /* of struct fake_state, for delayed reports */
    int64_t report_lag_ns;
};

void fake_target_init(struct fake_target *target, double cold_factor,
                      int64_t report_lag_ns);
void fake_target_clear(struct fake_target *target);
double fake_target_service_factor(const struct fake_target *target);
void fake_target_record_state(struct fake_target *target, int64_t now_ns);
void fake_target_record_service(struct fake_target *target, double service_ns);
void fake_target_report(struct fake_target *target, int64_t now_ns,
                        struct rp_load_report *report);

#endif
