#include <string.h>

#include "fake_target.h"

#define SERVICE_WEIGHT (1.0 / 16)

/* What the target would have reported at a time. */
struct fake_state {
    int64_t now_ns;
    struct rp_load_report report;
};

/* Starts a target. cold_factor over 1 is how many times slower its first
 * calls are; lag_ns is the age of what it reports. */
void
fake_target_init(struct fake_target *target, double cold_factor,
                 int64_t lag_ns)
{
    *target = (struct fake_target){
        .slow = 1,
        .cold_factor = cold_factor,
        .warm_calls = cold_factor > 1 ? 0 : FAKE_TARGET_WARM_CALLS,
        .lag_ns = lag_ns,
    };
    g_queue_init(&target->queue);
    g_queue_init(&target->history);
}

/* Frees what a target holds. */
void
fake_target_clear(struct fake_target *target)
{
    g_queue_clear(&target->queue);
    g_queue_clear_full(&target->history, g_free);
}

/* Returns by how much a service time is stretched at present. A cold target
 * becomes faster with each call until it is warm. */
double
fake_target_factor(const struct fake_target *target)
{
    double cold = 1 - (double)target->warm_calls / FAKE_TARGET_WARM_CALLS;
    return target->slow * (1 + (target->cold_factor - 1) * cold);
}

static void
fill_report(const struct fake_target *target, struct rp_load_report *report)
{
    memset(report, 0, sizeof(*report));
    report->in_flight = target->running;
    report->slots = FAKE_TARGET_SLOTS;
    report->queued = target->queue.length;
    report->service_us = (uint32_t)(target->service_ns / 1000);
    report->state = target->warm_calls < FAKE_TARGET_WARM_CALLS
                        ? RP_TARGET_COLD
                        : RP_TARGET_SERVING;
}

/* Keeps the present state for a report that lags. */
void
fake_target_note(struct fake_target *target, int64_t now_ns)
{
    if (target->lag_ns == 0) {
        return;
    }
    struct fake_state *state = g_new(struct fake_state, 1);
    state->now_ns = now_ns;
    fill_report(target, &state->report);
    g_queue_push_tail(&target->history, state);
    while (target->history.length > 1) {
        const struct fake_state *second = target->history.head->next->data;
        if (second->now_ns > now_ns - target->lag_ns) {
            break;
        }
        g_free(g_queue_pop_head(&target->history));
    }
}

/* Counts a call served in service_ns. */
void
fake_target_served(struct fake_target *target, double service_ns)
{
    if (target->service_ns <= 0) {
        target->service_ns = service_ns;
    }
    target->service_ns += SERVICE_WEIGHT * (service_ns - target->service_ns);
    if (target->warm_calls < FAKE_TARGET_WARM_CALLS) {
        target->warm_calls++;
    }
}

/* Fills in a load report, as old as the target's lag. */
void
fake_target_report(struct fake_target *target, int64_t now_ns,
                   struct rp_load_report *report)
{
    if (target->lag_ns > 0 && target->history.length > 0) {
        const struct fake_state *state = target->history.head->data;
        *report = state->report;
        return;
    }
    (void)now_ns;
    fill_report(target, report);
}
