#include <math.h>

#include "sim.h"

static const char *const policy_names[SIM_POLICIES] = {
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
is_open(const struct sim *sim, uint32_t target)
{
    return sim->target_known[target] &&
           (!sim->regime->estates ||
            sim->target_estate[target] == sim->wanted_estate);
}

/* The other policies know no shares of estates: the bench chooses the estate
 * for them, in exact proportion over all deciders. */
static void
draw_estate(struct sim *sim)
{
    sim->estate_credit += sim_world_new_share(sim);
    sim->wanted_estate = sim->estate_credit >= 0.5;
    sim->estate_credit -= sim->wanted_estate;
}

static uint32_t
next_known(const struct sim *sim, uint32_t from)
{
    for (uint32_t i = 0; i < sim->target_count; i++) {
        uint32_t target = (from + i) % sim->target_count;
        if (is_open(sim, target)) {
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
            (uint32_t)gsl_rng_uniform_int(sim->choices, sim->target_count);
    } while (!is_open(sim, target));
    return target;
}

static uint32_t
pick_least(const struct sim *sim, const struct sim_decider *decider)
{
    uint32_t best = next_known(sim, decider->next);
    for (uint32_t i = 0; i < sim->target_count; i++) {
        uint32_t target = (decider->next + i) % sim->target_count;
        if (is_open(sim, target) &&
            decider->in_flight[target] < decider->in_flight[best])
        {
            best = target;
        }
    }
    return best;
}

/* Expected time to an answer with all that is true at this moment, except
 * the sizes of single calls. */
static double
true_cost_ns(const struct sim *sim, const struct sim_decider *decider,
             uint32_t target)
{
    const struct fake_target *fake = &sim->targets[target];
    double ahead = fake->running + fake->underway + fake->queue.length;
    double waiting = fmax(ahead + 1 - FAKE_TARGET_SLOTS, 0);
    double service = SIM_SHORT_NS * fake_target_factor(fake);
    double distance = (double)sim_distance_ns(
        sim, (uint32_t)(decider - sim->deciders), target);
    return 2 * distance + service * (1 + waiting / FAKE_TARGET_SLOTS) +
           (fake->failing ? SIM_SHORT_DEADLINE_NS : 0) + ahead;
}

static uint32_t
pick_all_knowing(const struct sim *sim, const struct sim_decider *decider)
{
    uint32_t best = next_known(sim, decider->next);
    double best_cost = true_cost_ns(sim, decider, best);
    for (uint32_t i = 0; i < sim->target_count; i++) {
        uint32_t target = (decider->next + i) % sim->target_count;
        if (!is_open(sim, target)) {
            continue;
        }
        double cost = true_cost_ns(sim, decider, target);
        if (cost < best_cost) {
            best = target;
            best_cost = cost;
        }
    }
    return best;
}

/* Chooses a target by one of the simple policies or by the truth. */
uint32_t
sim_pick(struct sim *sim, struct sim_decider *decider,
         const struct sim_call *call)
{
    (void)call;
    draw_estate(sim);
    uint32_t target = 0;
    uint32_t other;
    switch (sim->policy) {
    case SIM_ROUND_ROBIN:
        target = next_known(sim, decider->next);
        break;
    case SIM_RANDOM:
        target = pick_random(sim);
        break;
    case SIM_LEAST_LOCAL:
        target = pick_least(sim, decider);
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
    decider->next = target + 1;
    return target;
}
