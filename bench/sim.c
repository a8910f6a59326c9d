#include "sim.h"

#include <gsl/gsl_randist.h>
#include <math.h>

#include "subset.h"

/* Latencies from 0.1 ms to 100 s; a bin is 0.2% wide. */
#define BINS 6900
#define BIN_FIRST_MS 0.1
#define BIN_RATIO 1.002
#define RAIN_NS 8000000000
#define QUEUE_LIMIT 4096

static gsl_histogram *
new_histogram(void)
{
    double edges[BINS + 1];
    edges[0] = BIN_FIRST_MS;
    for (int i = 1; i <= BINS; i++) {
        edges[i] = edges[i - 1] * BIN_RATIO;
    }
    gsl_histogram *histogram = gsl_histogram_alloc(BINS);
    gsl_histogram_set_ranges(histogram, edges, BINS + 1);
    return histogram;
}

/* Creates empty figures, to be released with sim_result_unref. */
struct sim_result *
sim_result_new(void)
{
    struct sim_result *result = g_new0(struct sim_result, 1);
    result->references = 1;
    result->short_ms = new_histogram();
    result->long_ms = new_histogram();
    result->all_ms = new_histogram();
    return result;
}

/* Takes a reference to figures. */
struct sim_result *
sim_result_ref(struct sim_result *result)
{
    result->references++;
    return result;
}

/* Releases a reference. */
void
sim_result_unref(struct sim_result *result)
{
    if (--result->references > 0) {
        return;
    }
    gsl_histogram_free(result->short_ms);
    gsl_histogram_free(result->long_ms);
    gsl_histogram_free(result->all_ms);
    g_free(result);
}

/* Returns a quantile in ms, 0 for an empty histogram. */
double
sim_quantile(const gsl_histogram *histogram, double quantile)
{
    double wanted = gsl_histogram_sum(histogram) * quantile;
    double sum = 0;
    for (size_t i = 0; i < gsl_histogram_bins(histogram); i++) {
        double count = gsl_histogram_get(histogram, i);
        if (count > 0 && sum + count >= wanted) {
            double lower;
            double upper;
            gsl_histogram_get_range(histogram, i, &lower, &upper);
            return lower + (upper - lower) * (wanted - sum) / count;
        }
        sum += count;
    }
    return 0;
}

static double
draw_size_ns(struct sim *sim, bool is_long)
{
    double mean = is_long ? SIM_SHORT_NS * SIM_LONG_FACTOR : SIM_SHORT_NS;
    double sigma = sim->regime->sigma;
    if (sigma > 0) {
        return gsl_ran_lognormal(sim->arrivals, log(mean) - sigma * sigma / 2,
                                 sigma);
    }
    return gsl_ran_exponential(sim->arrivals, mean);
}

/* Draws the next call. All random numbers of a call are drawn whatever the
 * policy, so that each policy meets the same calls. */
static void
arrive(struct sim *sim)
{
    double long_share = fabs(sim->regime->long_share);
    bool is_long = gsl_rng_uniform(sim->arrivals) < long_share;
    double size_ns = draw_size_ns(sim, is_long);
    double place = gsl_rng_uniform(sim->arrivals);
    double gap_ns = gsl_ran_exponential(sim->arrivals, sim->mean_gap_ns) /
                    sim_world_demand(sim);
    heap_push(&sim->heap, sim->now_ns + (int64_t)gap_ns, EVENT_ARRIVAL,
              SIM_NO_CALL, 0);
    if (is_long && sim->regime->long_share < 0) {
        return;
    }
    struct sim_call call = {
        .arrived_ns = sim->now_ns,
        .deadline_ns = sim->now_ns + (is_long ? SIM_LONG_DEADLINE_NS
                                              : SIM_SHORT_DEADLINE_NS),
        .size_ns = size_ns,
        .decider = sim->serving[(uint32_t)(place * sim->width)],
        .is_long = is_long,
    };
    g_array_append_val(sim->calls, call);
    sim->result->calls++;
    heap_push(&sim->heap, sim->now_ns, EVENT_ARRIVAL, sim->calls->len - 1,
              call.decider);
}

static void
answer(struct sim *sim, uint32_t attempt_index,
       enum rp_attempt_outcome outcome)
{
    struct sim_attempt *attempt =
        &g_array_index(sim->attempts, struct sim_attempt, attempt_index);
    const struct sim_call *call =
        &g_array_index(sim->calls, struct sim_call, attempt->call);
    attempt->ended = true;
    attempt->outcome = outcome;
    fake_target_report(&sim->targets[attempt->target], sim->now_ns,
                       &attempt->load);
    heap_push(&sim->heap,
              sim->now_ns +
                  sim_distance_ns(sim, call->decider, attempt->target),
              EVENT_ANSWER, attempt_index, call->decider);
}

static void
start_service(struct sim *sim, uint32_t attempt_index)
{
    struct sim_attempt *attempt =
        &g_array_index(sim->attempts, struct sim_attempt, attempt_index);
    const struct sim_call *call =
        &g_array_index(sim->calls, struct sim_call, attempt->call);
    struct fake_target *target = &sim->targets[attempt->target];
    double service_ns = call->size_ns * fake_target_factor(target);
    attempt->running = true;
    target->running++;
    heap_push(&sim->heap, sim->now_ns + (int64_t)service_ns, EVENT_SERVED,
              attempt_index, (uint32_t)fmin(service_ns / 1000, UINT32_MAX));
}

static void
serve_next(struct sim *sim, struct fake_target *target)
{
    while (target->running < FAKE_TARGET_SLOTS && target->queue.length > 0) {
        uint32_t next = GPOINTER_TO_UINT(g_queue_pop_head(&target->queue));
        struct sim_attempt *attempt =
            &g_array_index(sim->attempts, struct sim_attempt, next);
        const struct sim_call *call =
            &g_array_index(sim->calls, struct sim_call, attempt->call);
        if (!attempt->ended && sim->now_ns > call->deadline_ns) {
            answer(sim, next, RP_ATTEMPT_TIMEOUT);
        }
        else if (!attempt->ended) {
            start_service(sim, next);
        }
    }
    fake_target_note(target, sim->now_ns);
}

static void
at_target(struct sim *sim, uint32_t attempt_index)
{
    struct sim_attempt *attempt =
        &g_array_index(sim->attempts, struct sim_attempt, attempt_index);
    struct fake_target *target = &sim->targets[attempt->target];
    target->underway--;
    if (target->failing) {
        answer(sim, attempt_index, RP_ATTEMPT_ERROR);
        return;
    }
    g_queue_push_tail(&target->queue, GUINT_TO_POINTER(attempt_index));
    serve_next(sim, target);
}

static void
served(struct sim *sim, uint32_t attempt_index, uint32_t service_us)
{
    struct sim_attempt *attempt =
        &g_array_index(sim->attempts, struct sim_attempt, attempt_index);
    if (attempt->ended) {
        return; /* cancelled while it ran */
    }
    struct fake_target *target = &sim->targets[attempt->target];
    target->running--;
    fake_target_served(target, (double)service_us * 1000);
    serve_next(sim, target);
    answer(sim, attempt_index, RP_ATTEMPT_OK);
}

static void
cancelled(struct sim *sim, uint32_t attempt_index)
{
    struct sim_attempt *attempt =
        &g_array_index(sim->attempts, struct sim_attempt, attempt_index);
    struct fake_target *target = &sim->targets[attempt->target];
    if (attempt->ended) {
        return;
    }
    attempt->ended = true;
    if (attempt->running) {
        target->running--;
        serve_next(sim, target);
    }
}

static bool
wait_for_wake(struct sim *sim, const struct event *event, uint32_t decider)
{
    int64_t until_ns = sim->deciders[decider].paused_until_ns;
    if (sim->now_ns >= until_ns) {
        return false;
    }
    heap_push(&sim->heap, until_ns, event->kind, event->a, event->b);
    return true;
}

static void
handle(struct sim *sim, const struct event *event)
{
    switch (event->kind) {
    case EVENT_ARRIVAL:
        if (event->a == SIM_NO_CALL) {
            arrive(sim);
        }
        else if (!wait_for_wake(sim, event, event->b)) {
            sim_path_arrival(sim, event->a);
        }
        break;
    case EVENT_AT_TARGET:
        at_target(sim, event->a);
        break;
    case EVENT_SERVED:
        served(sim, event->a, event->b);
        break;
    case EVENT_ANSWER:
        if (!wait_for_wake(sim, event, event->b)) {
            sim_path_answer(sim, event->a);
        }
        break;
    case EVENT_CANCEL:
        cancelled(sim, event->a);
        break;
    case EVENT_HEDGE:
        sim_path_hedge(sim, event->a);
        break;
    case EVENT_RETRY:
        sim_path_retry(sim, event->a);
        break;
    case EVENT_DUE:
        if (!wait_for_wake(sim, event, event->a)) {
            sim_path_due(sim, event->a);
        }
        break;
    case EVENT_PROBE:
        sim_path_probe(sim, event->a, event->b);
        break;
    case EVENT_WORLD:
        sim_world_event(sim, event->a, event->b);
        break;
    }
}

static void
choose_serving(struct sim *sim, uint32_t width)
{
    char ids[SIM_DECIDERS][16];
    char domains[SIM_DECIDERS][16];
    struct rp_subset_member members[SIM_DECIDERS];
    for (uint32_t i = 0; i < sim->decider_count; i++) {
        g_snprintf(ids[i], sizeof(ids[i]), "vm%u", i);
        g_snprintf(domains[i], sizeof(domains[i]), "d%u",
                   sim->deciders[i].domain);
        members[i] = (struct rp_subset_member){ids[i], domains[i]};
    }
    sim->width = rp_subset_choose("s", members, sim->decider_count, width,
                                  sim->serving);
}

static void
start_deciders(struct sim *sim, uint32_t width, uint64_t seed)
{
    uint32_t domains = sim->deployment->domains;
    uint32_t deciders = sim->regime->deciders;
    sim->decider_count = deciders > 0 ? deciders : SIM_FLEET;
    for (uint32_t i = 0; i < sim->decider_count; i++) {
        sim->deciders[i].domain = i % domains;
        sim->deciders[i].next = i;
        sim->deciders[i].due_ns = INT64_MAX;
    }
    bool steered =
        sim->policy == SIM_BALANCER && width > 0 && !sim->regime->unsteered;
    choose_serving(sim, steered ? width : sim->decider_count);
    if (sim->policy != SIM_BALANCER) {
        return;
    }
    for (uint32_t i = 0; i < sim->decider_count; i++) {
        char domain[16];
        g_snprintf(domain, sizeof(domain), "d%u", sim->deciders[i].domain);
        struct rp_balancer_config config = {
            .domain = domain,
            .fleet_size = sim->decider_count,
            .deciders = sim->width,
            .queue_limit = QUEUE_LIMIT,
            .seed = seed * SIM_DECIDERS + i,
        };
        sim->deciders[i].balancer = rp_balancer_new(&config);
    }
}

static void
start(struct sim *sim, uint32_t width, uint32_t calls, uint64_t seed)
{
    const struct bench_regime *regime = sim->regime;
    double long_share = fabs(regime->long_share);
    double mean_ns =
        SIM_SHORT_NS * (1 - long_share + long_share * SIM_LONG_FACTOR);
    double slots = (double)sim->deployment->targets * FAKE_TARGET_SLOTS;
    gsl_rng **streams[] = {&sim->arrivals, &sim->choices, &sim->world};
    for (uint32_t i = 0; i < G_N_ELEMENTS(streams); i++) {
        *streams[i] = gsl_rng_alloc(gsl_rng_taus2);
        gsl_rng_set(*streams[i], seed * G_N_ELEMENTS(streams) + i + 1);
    }
    sim->mean_gap_ns = mean_ns / (slots * regime->load);
    sim->end_ns = (int64_t)(calls * sim->mean_gap_ns);
    sim->crest_from_ns = INT64_MAX;
    sim->crest_until_ns = INT64_MAX;
    if (regime->crest > 0) {
        sim->end_ns = RAIN_NS;
        sim->crest_from_ns = RAIN_NS / 4;
        sim->crest_until_ns = RAIN_NS / 8 * 5;
        sim->result->crest_best +=
            (double)(sim->crest_until_ns - sim->crest_from_ns) * slots /
            mean_ns;
    }
    sim->calls = g_array_new(FALSE, FALSE, sizeof(struct sim_call));
    sim->attempts = g_array_new(FALSE, FALSE, sizeof(struct sim_attempt));
    start_deciders(sim, width, seed);
    sim_world_start(sim);
    sim_world_publish(sim);
    heap_push(&sim->heap, 0, EVENT_ARRIVAL, SIM_NO_CALL, 0);
}

static void
finish(struct sim *sim)
{
    for (uint32_t i = 0; i < sim->decider_count; i++) {
        rp_balancer_free(sim->deciders[i].balancer);
    }
    sim_world_free(sim);
    heap_clear(&sim->heap);
    g_array_unref(sim->calls);
    g_array_unref(sim->attempts);
    gsl_rng_free(sim->arrivals);
    gsl_rng_free(sim->choices);
    gsl_rng_free(sim->world);
    g_free(sim);
}

/* Calls that are still on their way when a run ends count with the time they
 * have taken so far: a policy whose queues grow without end would otherwise
 * look good. */
static void
count_open_calls(struct sim *sim)
{
    for (uint32_t i = 0; i < sim->calls->len; i++) {
        const struct sim_call *call =
            &g_array_index(sim->calls, struct sim_call, i);
        if (!call->done) {
            double ms = (double)(sim->end_ns - call->arrived_ns) / 1e6;
            gsl_histogram_increment(sim->result->all_ms, ms);
            gsl_histogram_increment(call->is_long ? sim->result->long_ms
                                                  : sim->result->short_ms,
                                    ms);
        }
    }
}

/* Runs a regime once and adds its figures to result. width is the number of
 * entry VMs that callers are steered to under our policy, 0 for all; calls
 * is the mean number of calls at the usual demand. */
void
sim_run(const struct bench_regime *regime,
        const struct bench_deployment *deployment, enum sim_policy policy,
        uint32_t width, uint32_t calls, uint64_t seed,
        struct sim_result *result)
{
    struct sim *sim = g_new0(struct sim, 1);
    sim->regime = regime;
    sim->deployment = deployment;
    sim->policy = policy;
    sim->result = result;
    start(sim, width, calls, seed);
    struct event event;
    while (heap_pop(&sim->heap, &event) && event.at_ns < sim->end_ns) {
        sim->now_ns = event.at_ns;
        handle(sim, &event);
    }
    count_open_calls(sim);
    finish(sim);
}
