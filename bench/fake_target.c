#include <string.h>

#include "fake_target.h"

#define SERVICE_TIME_WEIGHT (1.0 / 16)

/* The load report of a point in time. */
struct fake_state {
    int64_t now_ns;
    struct rp_load_report report;
};

/* Initializes a target, to be released with fake_target_clear. cold_factor is
 * the factor of its first service time, 1 for a warm target; report_lag_ns is
 * the age of its load reports. */
void
fake_target_init(struct fake_target *target, double cold_factor,
                 int64_t report_lag_ns)
{
    *target = (struct fake_target){
        .slow_factor = 1,
        .cold_factor = cold_factor,
        .warm_up_calls = cold_factor > 1 ? 0 : FAKE_TARGET_WARM_UP_CALLS,
        .report_lag_ns = report_lag_ns,
    };
    g_queue_init(&target->queue);
    g_queue_init(&target->history);
}

/* Frees the queue and the history of a target. */
void
fake_target_clear(struct fake_target *target)
{
    g_queue_clear(&target->queue);
    g_queue_clear_full(&target->history, g_free);
}

/* Returns the present factor of service times. A cold target becomes faster
 * with each call until it is warm. */
double
fake_target_service_factor(const struct fake_target *target)
{
    double cold =
        1 - (double)target->warm_up_calls / FAKE_TARGET_WARM_UP_CALLS;
    return target->slow_factor * (1 + (target->cold_factor - 1) * cold);
}

static void
fill_report(const struct fake_target *target, struct rp_load_report *report)
{
    memset(report, 0, sizeof(*report));
    report->in_flight = target->running;
    report->slots = FAKE_TARGET_SLOTS;
    report->queued = target->queue.length;
    report->service_us = (uint32_t)(target->mean_service_ns / 1000);
    report->state = target->warm_up_calls < FAKE_TARGET_WARM_UP_CALLS
                        ? RP_TARGET_COLD
                        : RP_TARGET_SERVING;
}

/* Records the present state for a delayed report. */
void
fake_target_record_state(struct fake_target *target, int64_t now_ns)
{
    if (target->report_lag_ns == 0) {
        return;
    }
    struct fake_state *state = g_new(struct fake_state, 1);
    state->now_ns = now_ns;
    fill_report(target, &state->report);
    g_queue_push_tail(&target->history, state);
    while (target->history.length > 1) {
        const struct fake_state *second = target->history.head->next->data;
        if (second->now_ns > now_ns - target->report_lag_ns) {
            break;
        }
        g_free(g_queue_pop_head(&target->history));
    }
}

/* Adds a call with this service time to the moving average. */
void
fake_target_record_service(struct fake_target *target, double service_ns)
{
    if (target->mean_service_ns <= 0) {
        target->mean_service_ns = service_ns;
    }
    target->mean_service_ns +=
        SERVICE_TIME_WEIGHT * (service_ns - target->mean_service_ns);
    if (target->warm_up_calls < FAKE_TARGET_WARM_UP_CALLS) {
        target->warm_up_calls++;
    }
}

/* Fills in the load report of report_lag_ns ago. */
void
fake_target_report(struct fake_target *target, int64_t now_ns,
                   struct rp_load_report *report)
{
    if (target->report_lag_ns > 0 && target->history.length > 0) {
        const struct fake_state *state = target->history.head->data;
        *report = state->report;
        return;
    }
    (void)now_ns;
    fill_report(target, report);
}
