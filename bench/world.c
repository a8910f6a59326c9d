#include <gsl/gsl_randist.h>

#include "sim.h"

/* Changes of targets and records during a run. */

enum world_event {
    WORLD_STRAGGLER,
    WORLD_FAST_FAILER,
    WORLD_REPLACE,
    WORLD_HANDOVER,
    WORLD_PAUSE,
    WORLD_RESUME,
    WORLD_NOISE_ON,
    WORLD_NOISE_OFF,
};

/* Targets on one machine, which have episodes of noise at the same time. */
#define TARGETS_PER_MACHINE 2
/* Mean lengths of the intervals without and with noise. */
#define MEAN_QUIET_NS 1e9
#define MEAN_NOISE_NS 1e8
#define PEAK_RAMP_NS 500000000

/* Shares of the old and the new estate. */
static const uint32_t initial_permille[2] = {900, 100};
static const uint32_t handover_permille[2] = {100, 900};

/* Returns the present demand as a multiple of the normal one. It rises to the
 * peak linearly during PEAK_RAMP_NS. */
double
sim_world_demand(const struct sim *sim)
{
    double peak = sim->regime->peak_factor;
    if (peak <= 0 || sim->now_ns >= sim->peak_end_ns) {
        return 1;
    }
    int64_t elapsed_ns = sim->now_ns - (sim->peak_start_ns - PEAK_RAMP_NS);
    if (elapsed_ns < 0) {
        return 1;
    }
    double progress = MIN((double)elapsed_ns / PEAK_RAMP_NS, 1);
    return 1 + (peak - 1) * progress;
}

/* Returns the present share of the new estate, from 0 to 1. */
double
sim_world_new_estate_share(const struct sim *sim)
{
    const uint32_t *permille =
        sim->handover_done ? handover_permille : initial_permille;
    return (double)permille[1] / (permille[0] + permille[1]);
}

static void
add_service(struct sim *sim)
{
    char name[32];
    char address[32];
    char domain[32];
    struct rp_service *service = rp_snapshot_add_service(sim->snapshot, "s");
    for (uint32_t i = 0; i < sim->target_count; i++) {
        if (!sim->target_listed[i]) {
            continue;
        }
        g_snprintf(name, sizeof(name), "t%u", i);
        g_snprintf(address, sizeof(address), "127.0.0.1:%u", 9000 + i);
        g_snprintf(domain, sizeof(domain), "d%u", sim->target_domain[i]);
        struct rp_target *target =
            rp_service_add_target(service, name, address, domain,
                                  sim->target_estate[i] > 0 ? "new" : "old");
        target->slots = FAKE_TARGET_SLOTS;
    }
    const uint32_t *permille =
        sim->handover_done ? handover_permille : initial_permille;
    for (uint32_t i = 0; i < service->estate_count && i < 2; i++) {
        service->estates[i].share_permille =
            sim->regime->estate_handover ? permille[i] : 1000;
    }
}

/* Builds a snapshot of the listed targets and passes it to all balancers. */
void
sim_world_publish(struct sim *sim)
{
    rp_snapshot_unref(sim->snapshot);
    sim->snapshot = rp_snapshot_new();
    add_service(sim);
    const struct rp_service *service =
        rp_snapshot_get_service(sim->snapshot, 0);
    for (uint32_t i = 0; i < sim->decider_count; i++) {
        if (sim->deciders[i].balancer != NULL) {
            rp_balancer_set_service(sim->deciders[i].balancer, service,
                                    sim->now_ns);
        }
    }
}

/* Frees the targets and the snapshot. */
void
sim_world_free(struct sim *sim)
{
    rp_snapshot_unref(sim->snapshot);
    for (uint32_t i = 0; i < sim->target_count; i++) {
        fake_target_clear(&sim->targets[i]);
    }
}

static void
replace_half(struct sim *sim)
{
    uint32_t targets = sim->deployment->targets;
    for (uint32_t i = 0; i < targets / 2; i++) {
        sim->target_listed[i] = false;
        sim->target_listed[targets + i] = true;
    }
    sim_world_publish(sim);
}

static void
set_noise(struct sim *sim, uint32_t machine, bool on)
{
    for (uint32_t i = 0; i < TARGETS_PER_MACHINE; i++) {
        uint32_t target = machine * TARGETS_PER_MACHINE + i;
        if (target < sim->deployment->targets) {
            sim->targets[target].slow_factor =
                on ? sim->regime->noise_factor : 1;
        }
    }
    double duration_ns = gsl_ran_exponential(
        sim->world_rng, on ? MEAN_NOISE_NS : MEAN_QUIET_NS);
    heap_push(&sim->heap, sim->now_ns + (int64_t)duration_ns, EVENT_WORLD,
              on ? WORLD_NOISE_OFF : WORLD_NOISE_ON, machine);
}

/* Handles an event of kind enum world_event. machine is an index for events of
 * noise and unused otherwise. */
void
sim_world_event(struct sim *sim, uint32_t kind, uint32_t machine)
{
    struct sim_decider *decider = &sim->deciders[sim->serving_deciders[0]];
    switch ((enum world_event)kind) {
    case WORLD_STRAGGLER:
        sim->targets[0].slow_factor = sim->regime->straggler_factor;
        break;
    case WORLD_FAST_FAILER:
        sim->targets[0].fast_failure = sim->regime->fast_failure;
        break;
    case WORLD_REPLACE:
        replace_half(sim);
        break;
    case WORLD_HANDOVER:
        sim->handover_done = true;
        sim_world_publish(sim);
        break;
    case WORLD_PAUSE:
        decider->pause_end_ns = sim->now_ns + sim->regime->pause_ns;
        heap_push(&sim->heap, decider->pause_end_ns, EVENT_WORLD, WORLD_RESUME,
                  0);
        break;
    case WORLD_RESUME:
        if (decider->balancer != NULL) {
            rp_balancer_handle_pause(decider->balancer, sim->regime->pause_ns,
                                     sim->now_ns);
        }
        break;
    case WORLD_NOISE_ON:
        set_noise(sim, machine, true);
        break;
    case WORLD_NOISE_OFF:
        set_noise(sim, machine, false);
        break;
    }
}

/* Initializes the targets and schedules probes and the events of the
 * regime. */
void
sim_world_start(struct sim *sim)
{
    const struct bench_regime *regime = sim->regime;
    uint32_t targets = sim->deployment->targets;
    sim->target_count =
        regime->cold_factor > 0 ? targets + targets / 2 : targets;
    for (uint32_t i = 0; i < sim->target_count; i++) {
        fake_target_init(&sim->targets[i],
                         i < targets ? 1 : regime->cold_factor,
                         regime->report_lag_ns);
        sim->target_listed[i] = i < targets;
        uint32_t position = i < targets ? i : i - targets;
        sim->target_domain[i] = position % sim->deployment->domains;
        sim->target_estate[i] = regime->estate_handover && i >= targets / 2;
        heap_push(&sim->heap, INT64_C(1000000000) / sim->target_count * i,
                  EVENT_PROBE, i, i);
    }
    struct {
        bool enabled;
        enum world_event kind;
        int64_t at_ns;
    } events[] = {
        {regime->straggler_factor > 0, WORLD_STRAGGLER, sim->end_ns / 4},
        {regime->fast_failure != RP_ATTEMPT_OK, WORLD_FAST_FAILER,
         sim->end_ns / 4},
        {regime->cold_factor > 0, WORLD_REPLACE, sim->end_ns / 4},
        {regime->estate_handover, WORLD_HANDOVER, sim->end_ns / 4},
        {regime->pause_ns > 0, WORLD_PAUSE, sim->end_ns / 2},
    };
    for (uint32_t i = 0; i < G_N_ELEMENTS(events); i++) {
        if (events[i].enabled) {
            heap_push(&sim->heap, events[i].at_ns, EVENT_WORLD, events[i].kind,
                      0);
        }
    }
    for (uint32_t i = 0;
         regime->noise_factor > 0 && i * TARGETS_PER_MACHINE < targets; i++)
    {
        set_noise(sim, i, false);
    }
}
