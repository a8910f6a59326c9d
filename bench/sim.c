#include "sim.h"

#include <gsl/gsl_randist.h>
#include <math.h>

#include "subset.h"

/* Histograms cover latencies from 0.1 ms to 100 s in bins 0.2% wide. */
#define BINS 6900
#define MIN_LATENCY_MS 0.1
#define BIN_RATIO 1.002
/* Length of a run with a demand peak. */
#define PEAK_RUN_NS 8000000000
#define MAX_QUEUED_CALLS 4096

static gsl_histogram *
new_histogram(void)
{
    double edges[BINS + 1];
    edges[0] = MIN_LATENCY_MS;
    for (int i = 1; i <= BINS; i++) {
        edges[i] = edges[i - 1] * BIN_RATIO;
    }
    gsl_histogram *histogram = gsl_histogram_alloc(BINS);
    gsl_histogram_set_ranges(histogram, edges, BINS + 1);
    return histogram;
}

/* Creates an empty result with one reference, for sim_result_unref. */
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

/* Adds a reference and returns result. */
struct sim_result *
sim_result_ref(struct sim_result *result)
{
    result->references++;
    return result;
}

/* Releases a reference; the last one frees the result. */
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
    double rank = gsl_histogram_sum(histogram) * quantile;
    double sum = 0;
    for (size_t i = 0; i < gsl_histogram_bins(histogram); i++) {
        double count = gsl_histogram_get(histogram, i);
        if (count > 0 && sum + count >= rank) {
            double lower;
            double upper;
            gsl_histogram_get_range(histogram, i, &lower, &upper);
            return lower + (upper - lower) * (rank - sum) / count;
        }
        sum += count;
    }
    return 0;
}

static double
draw_service_ns(struct sim *sim, bool is_long)
{
    double mean =
        is_long ? SIM_SHORT_MEAN_NS * SIM_LONG_FACTOR : SIM_SHORT_MEAN_NS;
    double sigma = sim->regime->service_sigma;
    if (sigma > 0) {
        return gsl_ran_lognormal(sim->arrival_rng,
                                 log(mean) - sigma * sigma / 2, sigma);
    }
    return gsl_ran_exponential(sim->arrival_rng, mean);
}

/* Draws the next call and schedules the one after it. The random numbers drawn
 * don't depend on the policy, so that each policy gets the same calls. */
static void
draw_call(struct sim *sim)
{
    double long_fraction = fabs(sim->regime->long_fraction);
    bool is_long = gsl_rng_uniform(sim->arrival_rng) < long_fraction;
    double nominal_service_ns = draw_service_ns(sim, is_long);
    double position = gsl_rng_uniform(sim->arrival_rng);
    double gap_ns = gsl_ran_exponential(sim->arrival_rng, sim->mean_gap_ns) /
                    sim_world_demand(sim);
    heap_push(&sim->heap, sim->now_ns + (int64_t)gap_ns, EVENT_ARRIVAL,
              SIM_NO_CALL, 0);
    if (is_long && sim->regime->long_fraction < 0) {
        return;
    }
    struct sim_call call = {
        .arrived_ns = sim->now_ns,
        .deadline_ns = sim->now_ns +
                       (is_long ? SIM_LONG_TIMEOUT_NS : SIM_SHORT_TIMEOUT_NS),
        .nominal_service_ns = nominal_service_ns,
        .decider = sim->serving_deciders[(uint32_t)(position * sim->width)],
        .is_long = is_long,
    };
    g_array_append_val(sim->calls, call);
    sim->result->calls++;
    heap_push(&sim->heap, sim->now_ns, EVENT_ARRIVAL, sim->calls->len - 1,
              call.decider);
}

static void
send_answer(struct sim *sim, uint32_t attempt_index,
            enum rp_attempt_outcome outcome)
{
    struct sim_attempt *attempt =
        &g_array_index(sim->attempts, struct sim_attempt, attempt_index);
    const struct sim_call *call =
        &g_array_index(sim->calls, struct sim_call, attempt->call);
    attempt->target_ended = true;
    attempt->outcome = outcome;
    fake_target_report(&sim->targets[attempt->target], sim->now_ns,
                       &attempt->load);
    heap_push(&sim->heap,
              sim->now_ns +
                  sim_one_way_delay_ns(sim, call->decider, attempt->target),
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
    double service_ns =
        call->nominal_service_ns * fake_target_service_factor(target);
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
        if (!attempt->target_ended && sim->now_ns > call->deadline_ns) {
            send_answer(sim, next, RP_ATTEMPT_TIMEOUT);
        }
        else if (!attempt->target_ended) {
            start_service(sim, next);
        }
    }
    fake_target_record_state(target, sim->now_ns);
}

static void
receive_request(struct sim *sim, uint32_t attempt_index)
{
    struct sim_attempt *attempt =
        &g_array_index(sim->attempts, struct sim_attempt, attempt_index);
    struct fake_target *target = &sim->targets[attempt->target];
    target->in_transit--;
    if (target->fast_failure != RP_ATTEMPT_OK) {
        send_answer(sim, attempt_index, target->fast_failure);
        return;
    }
    g_queue_push_tail(&target->queue, GUINT_TO_POINTER(attempt_index));
    serve_next(sim, target);
}

static void
finish_service(struct sim *sim, uint32_t attempt_index, uint32_t service_us)
{
    struct sim_attempt *attempt =
        &g_array_index(sim->attempts, struct sim_attempt, attempt_index);
    if (attempt->target_ended) {
        return; /* cancelled while running */
    }
    struct fake_target *target = &sim->targets[attempt->target];
    target->running--;
    fake_target_record_service(target, (double)service_us * 1000);
    serve_next(sim, target);
    send_answer(sim, attempt_index, RP_ATTEMPT_OK);
}

static void
cancel_attempt(struct sim *sim, uint32_t attempt_index)
{
    struct sim_attempt *attempt =
        &g_array_index(sim->attempts, struct sim_attempt, attempt_index);
    struct fake_target *target = &sim->targets[attempt->target];
    if (attempt->target_ended) {
        return;
    }
    attempt->target_ended = true;
    if (attempt->running) {
        target->running--;
        serve_next(sim, target);
    }
}

static bool
defer_while_paused(struct sim *sim, const struct event *event,
                   uint32_t decider)
{
    int64_t until_ns = sim->deciders[decider].pause_end_ns;
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
            draw_call(sim);
        }
        else if (!defer_while_paused(sim, event, event->b)) {
            sim_path_arrival(sim, event->a);
        }
        break;
    case EVENT_AT_TARGET:
        receive_request(sim, event->a);
        break;
    case EVENT_SERVED:
        finish_service(sim, event->a, event->b);
        break;
    case EVENT_ANSWER:
        if (!defer_while_paused(sim, event, event->b)) {
            sim_path_answer(sim, event->a);
        }
        break;
    case EVENT_CANCEL:
        cancel_attempt(sim, event->a);
        break;
    case EVENT_HEDGE:
        sim_path_hedge(sim, event->a);
        break;
    case EVENT_RETRY:
        sim_path_retry(sim, event->a);
        break;
    case EVENT_DUE:
        if (!defer_while_paused(sim, event, event->a)) {
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
choose_serving_deciders(struct sim *sim, uint32_t width)
{
    char ids[SIM_MAX_DECIDERS][16];
    char domains[SIM_MAX_DECIDERS][16];
    struct rp_subset_member members[SIM_MAX_DECIDERS];
    for (uint32_t i = 0; i < sim->decider_count; i++) {
        g_snprintf(ids[i], sizeof(ids[i]), "vm%u", i);
        g_snprintf(domains[i], sizeof(domains[i]), "d%u",
                   sim->deciders[i].domain);
        members[i] = (struct rp_subset_member){ids[i], domains[i]};
    }
    sim->width = rp_subset_choose("s", members, sim->decider_count, width,
                                  sim->serving_deciders);
}

static void
start_deciders(struct sim *sim, uint32_t width, uint64_t seed)
{
    uint32_t domains = sim->deployment->domains;
    uint32_t deciders = sim->regime->decider_count;
    sim->decider_count = deciders > 0 ? deciders : SIM_DEFAULT_DECIDERS;
    for (uint32_t i = 0; i < sim->decider_count; i++) {
        sim->deciders[i].domain = i % domains;
        sim->deciders[i].next_target = i;
        sim->deciders[i].due_event_ns = INT64_MAX;
    }
    bool is_steered =
        sim->policy == SIM_BALANCER && width > 0 && !sim->regime->unsteered;
    choose_serving_deciders(sim, is_steered ? width : sim->decider_count);
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
            .queue_limit = MAX_QUEUED_CALLS,
            .seed = seed * SIM_MAX_DECIDERS + i,
        };
        sim->deciders[i].balancer = rp_balancer_new(&config);
    }
}

static void
start(struct sim *sim, uint32_t width, uint32_t calls, uint64_t seed)
{
    const struct bench_regime *regime = sim->regime;
    double long_fraction = fabs(regime->long_fraction);
    double mean_ns = SIM_SHORT_MEAN_NS *
                     (1 - long_fraction + long_fraction * SIM_LONG_FACTOR);
    double slots = (double)sim->deployment->targets * FAKE_TARGET_SLOTS;
    gsl_rng **streams[] = {&sim->arrival_rng, &sim->choice_rng,
                           &sim->world_rng};
    for (uint32_t i = 0; i < G_N_ELEMENTS(streams); i++) {
        *streams[i] = gsl_rng_alloc(gsl_rng_taus2);
        gsl_rng_set(*streams[i], seed * G_N_ELEMENTS(streams) + i + 1);
    }
    sim->mean_gap_ns = mean_ns / (slots * regime->load);
    sim->end_ns = (int64_t)(calls * sim->mean_gap_ns);
    sim->peak_start_ns = INT64_MAX;
    sim->peak_end_ns = INT64_MAX;
    if (regime->peak_factor > 0) {
        sim->end_ns = PEAK_RUN_NS;
        sim->peak_start_ns = PEAK_RUN_NS / 4;
        sim->peak_end_ns = PEAK_RUN_NS / 8 * 5;
        sim->result->peak_capacity +=
            (double)(sim->peak_end_ns - sim->peak_start_ns) * slots / mean_ns;
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
    gsl_rng_free(sim->arrival_rng);
    gsl_rng_free(sim->choice_rng);
    gsl_rng_free(sim->world_rng);
    g_free(sim);
}

/* Records calls that are open at the end of a run with their time so far.
 * Without them the latencies of a policy whose queues grow without bound would
 * be too low. */
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

/* Runs a regime once and adds its results to result. width is the number of
 * entry VMs that callers are steered to under SIM_BALANCER, 0 for all; calls
 * is the mean number of calls at normal demand. */
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
