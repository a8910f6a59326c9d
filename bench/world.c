#include <gsl/gsl_randist.h>

#include "sim.h"

/* What happens to the targets and to the records during a run. */

enum world_event {
    WORLD_STRAGGLER,
    WORLD_FAILER,
    WORLD_REPLACE,
    WORLD_HANDOVER,
    WORLD_PAUSE,
    WORLD_WAKE,
    WORLD_NOISE_ON,
    WORLD_NOISE_OFF,
};

/* Two targets share a machine, and its noise. */
#define TARGETS_PER_MACHINE 2
#define NOISE_EVERY_NS 1e9
#define NOISE_LASTS_NS 1e8
#define RAMP_NS 500000000

static const uint32_t shares_before[2] = {900, 100};
static const uint32_t shares_after[2] = {100, 900};

/* Returns the present demand as a multiple of the usual one: within half a
 * second it rises to the crest. */
double
sim_world_demand(const struct sim *sim)
{
    double crest = sim->regime->crest;
    if (crest <= 0 || sim->now_ns >= sim->crest_until_ns) {
        return 1;
    }
    int64_t since_ns = sim->now_ns - (sim->crest_from_ns - RAMP_NS);
    if (since_ns < 0) {
        return 1;
    }
    double share = MIN((double)since_ns / RAMP_NS, 1);
    return 1 + (crest - 1) * share;
}

/* Returns the share of the new estate at present. */
double
sim_world_new_share(const struct sim *sim)
{
    const uint32_t *shares = sim->handed_over ? shares_after : shares_before;
    return (double)shares[1] / (shares[0] + shares[1]);
}

static void
make_service(struct sim *sim)
{
    char name[32];
    char address[32];
    char domain[32];
    struct rp_service *service = rp_snapshot_add_service(sim->snapshot, "s");
    for (uint32_t i = 0; i < sim->target_count; i++) {
        if (!sim->target_known[i]) {
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
    const uint32_t *shares = sim->handed_over ? shares_after : shares_before;
    for (uint32_t i = 0; i < service->estate_count && i < 2; i++) {
        service->estates[i].share_permille =
            sim->regime->estates ? shares[i] : 1000;
    }
}

/* Hands the records in force to all deciders. */
void
sim_world_publish(struct sim *sim)
{
    rp_snapshot_unref(sim->snapshot);
    sim->snapshot = rp_snapshot_new();
    make_service(sim);
    const struct rp_service *service =
        rp_snapshot_get_service(sim->snapshot, 0);
    for (uint32_t i = 0; i < sim->decider_count; i++) {
        if (sim->deciders[i].balancer != NULL) {
            rp_balancer_set_service(sim->deciders[i].balancer, service,
                                    sim->now_ns);
        }
    }
}

/* Frees what the world holds. */
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
        sim->target_known[i] = false;
        sim->target_known[targets + i] = true;
    }
    sim_world_publish(sim);
}

static void
set_noise(struct sim *sim, uint32_t machine, bool on)
{
    for (uint32_t i = 0; i < TARGETS_PER_MACHINE; i++) {
        uint32_t target = machine * TARGETS_PER_MACHINE + i;
        if (target < sim->deployment->targets) {
            sim->targets[target].slow = on ? sim->regime->noise : 1;
        }
    }
    double lasts_ns =
        gsl_ran_exponential(sim->world, on ? NOISE_LASTS_NS : NOISE_EVERY_NS);
    heap_push(&sim->heap, sim->now_ns + (int64_t)lasts_ns, EVENT_WORLD,
              on ? WORLD_NOISE_OFF : WORLD_NOISE_ON, machine);
}

/* Lets something happen. */
void
sim_world_event(struct sim *sim, uint32_t what, uint32_t subject)
{
    struct sim_decider *decider = &sim->deciders[sim->serving[0]];
    switch ((enum world_event)what) {
    case WORLD_STRAGGLER:
        sim->targets[0].slow = sim->regime->straggler;
        break;
    case WORLD_FAILER:
        sim->targets[0].failing = true;
        break;
    case WORLD_REPLACE:
        replace_half(sim);
        break;
    case WORLD_HANDOVER:
        sim->handed_over = true;
        sim_world_publish(sim);
        break;
    case WORLD_PAUSE:
        decider->paused_until_ns = sim->now_ns + sim->regime->pause_ns;
        heap_push(&sim->heap, decider->paused_until_ns, EVENT_WORLD,
                  WORLD_WAKE, 0);
        break;
    case WORLD_WAKE:
        if (decider->balancer != NULL) {
            rp_balancer_handle_pause(decider->balancer, sim->regime->pause_ns,
                                     sim->now_ns);
        }
        break;
    case WORLD_NOISE_ON:
        set_noise(sim, subject, true);
        break;
    case WORLD_NOISE_OFF:
        set_noise(sim, subject, false);
        break;
    }
}

/* Sets up targets, records and what is to happen. */
void
sim_world_start(struct sim *sim)
{
    const struct bench_regime *regime = sim->regime;
    uint32_t targets = sim->deployment->targets;
    sim->target_count = regime->cold > 0 ? targets + targets / 2 : targets;
    for (uint32_t i = 0; i < sim->target_count; i++) {
        fake_target_init(&sim->targets[i], i < targets ? 1 : regime->cold,
                         regime->lag_ns);
        sim->target_known[i] = i < targets;
        uint32_t place = i < targets ? i : i - targets;
        sim->target_domain[i] = place % sim->deployment->domains;
        sim->target_estate[i] = regime->estates && i >= targets / 2;
        heap_push(&sim->heap, INT64_C(1000000000) / sim->target_count * i,
                  EVENT_PROBE, i, i);
    }
    struct {
        bool happens;
        enum world_event what;
        int64_t at_ns;
    } events[] = {
        {regime->straggler > 0, WORLD_STRAGGLER, sim->end_ns / 4},
        {regime->fast_failer, WORLD_FAILER, sim->end_ns / 4},
        {regime->cold > 0, WORLD_REPLACE, sim->end_ns / 4},
        {regime->estates, WORLD_HANDOVER, sim->end_ns / 4},
        {regime->pause_ns > 0, WORLD_PAUSE, sim->end_ns / 2},
    };
    for (uint32_t i = 0; i < G_N_ELEMENTS(events); i++) {
        if (events[i].happens) {
            heap_push(&sim->heap, events[i].at_ns, EVENT_WORLD, events[i].what,
                      0);
        }
    }
    for (uint32_t i = 0;
         regime->noise > 0 && i * TARGETS_PER_MACHINE < targets; i++)
    {
        set_noise(sim, i, false);
    }
}
