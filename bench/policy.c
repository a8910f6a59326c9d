#include <math.h>

#include "sim.h"

static const char *const policy_names[SIM_POLICY_COUNT] = {
    "round-robin", "random",      "least-local",
    "two-choices", "all-knowing", "rosemarypulley",
};

/* Returns the name of a policy as printed. */
const char *
sim_policy_name(enum sim_policy policy)
{
    return policy_names[policy];
}

static bool
is_eligible(const struct sim *sim, uint32_t target)
{
    return sim->target_listed[target] &&
           (!sim->regime->estate_handover ||
            sim->target_estate[target] == sim->chosen_estate);
}

/* Chooses the estate of the next call. The simple policies have no shares of
 * estates, so that the bench applies them exactly over all deciders. */
static void
choose_estate(struct sim *sim)
{
    sim->estate_credit += sim_world_new_estate_share(sim);
    sim->chosen_estate = sim->estate_credit >= 0.5;
    sim->estate_credit -= sim->chosen_estate;
}

static uint32_t
next_eligible(const struct sim *sim, uint32_t start)
{
    for (uint32_t i = 0; i < sim->target_count; i++) {
        uint32_t target = (start + i) % sim->target_count;
        if (is_eligible(sim, target)) {
            return target;
        }
    }
    return 0;
}

static uint32_t
pick_random(const struct sim *sim)
{
    uint32_t target;
    do {
        target =
            (uint32_t)gsl_rng_uniform_int(sim->choice_rng, sim->target_count);
    } while (!is_eligible(sim, target));
    return target;
}

static uint32_t
pick_least_in_flight(const struct sim *sim, const struct sim_decider *decider)
{
    uint32_t best = next_eligible(sim, decider->next_target);
    for (uint32_t i = 0; i < sim->target_count; i++) {
        uint32_t target = (decider->next_target + i) % sim->target_count;
        if (is_eligible(sim, target) &&
            decider->in_flight[target] < decider->in_flight[best])
        {
            best = target;
        }
    }
    return best;
}

/* Returns the expected time to an answer, based on the present state of the
 * target but not on the service times of single calls. */
static double
expected_latency_ns(const struct sim *sim, const struct sim_decider *decider,
                    uint32_t target)
{
    const struct fake_target *fake = &sim->targets[target];
    double ahead_calls = fake->running + fake->in_transit + fake->queue.length;
    double waiting_calls = fmax(ahead_calls + 1 - FAKE_TARGET_SLOTS, 0);
    double service_ns = SIM_SHORT_MEAN_NS * fake_target_service_factor(fake);
    double delay_ns = (double)sim_one_way_delay_ns(
        sim, (uint32_t)(decider - sim->deciders), target);
    return 2 * delay_ns +
           service_ns * (1 + waiting_calls / FAKE_TARGET_SLOTS) +
           (fake->fast_failure != RP_ATTEMPT_OK ? SIM_SHORT_TIMEOUT_NS : 0) +
           ahead_calls;
}

static uint32_t
pick_all_knowing(const struct sim *sim, const struct sim_decider *decider)
{
    uint32_t best = next_eligible(sim, decider->next_target);
    double best_cost = expected_latency_ns(sim, decider, best);
    for (uint32_t i = 0; i < sim->target_count; i++) {
        uint32_t target = (decider->next_target + i) % sim->target_count;
        if (!is_eligible(sim, target)) {
            continue;
        }
        double cost = expected_latency_ns(sim, decider, target);
        if (cost < best_cost) {
            best = target;
            best_cost = cost;
        }
    }
    return best;
}

/* Chooses a target by a simple policy, or by the present state of all
 * targets. Returns its index. */
uint32_t
sim_pick_target(struct sim *sim, struct sim_decider *decider,
                const struct sim_call *call)
{
    (void)call;
    choose_estate(sim);
    uint32_t target = 0;
    uint32_t other;
    switch (sim->policy) {
    case SIM_ROUND_ROBIN:
        target = next_eligible(sim, decider->next_target);
        break;
    case SIM_RANDOM:
        target = pick_random(sim);
        break;
    case SIM_LEAST_LOCAL:
        target = pick_least_in_flight(sim, decider);
        break;
    case SIM_TWO_CHOICES:
        target = pick_random(sim);
        other = pick_random(sim);
        if (decider->in_flight[other] < decider->in_flight[target]) {
            target = other;
        }
        break;
    default:
        target = pick_all_knowing(sim, decider);
        break;
    }
    decider->next_target = target + 1;
    return target;
}
