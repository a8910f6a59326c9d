#include "sim.h"

/* The path of a call from decider to target and back, as in the dispatch
 * task. */

#define MAX_ATTEMPTS 3
#define KIND_SHORT 11
#define KIND_LONG 12

static struct sim_call *
get_call(const struct sim *sim, uint32_t call)
{
    return &g_array_index(sim->calls, struct sim_call, call);
}

static struct sim_attempt *
get_attempt(const struct sim *sim, uint32_t attempt)
{
    return &g_array_index(sim->attempts, struct sim_attempt, attempt);
}

/* Returns the one-way delay between a decider and a target. */
int64_t
sim_one_way_delay_ns(const struct sim *sim, uint32_t decider, uint32_t target)
{
    return sim->deciders[decider].domain == sim->target_domain[target]
               ? SIM_SAME_DOMAIN_NS
               : SIM_CROSS_DOMAIN_NS;
}

static void
record_latency(struct sim *sim, const struct sim_call *call,
               int64_t latency_ns)
{
    double ms = (double)latency_ns / 1e6;
    gsl_histogram_increment(sim->result->all_ms, ms);
    gsl_histogram_increment(
        call->is_long ? sim->result->long_ms : sim->result->short_ms, ms);
}

static void
send_attempt(struct sim *sim, uint32_t call_index, uint32_t target,
             uint32_t flags)
{
    struct sim_call *call = get_call(sim, call_index);
    struct sim_attempt attempt = {
        .call = call_index,
        .target = target,
        .sent_ns = sim->now_ns,
        .flags = flags,
    };
    if (call->attempts < RP_BALANCER_MAX_AVOIDED) {
        call->tried_targets[call->attempts] = target;
    }
    call->attempts++;
    call->open_attempts++;
    sim->result->attempts++;
    sim->result->retries += (flags & RP_CALL_RETRY) != 0;
    sim->result->hedges += (flags & RP_CALL_HEDGE) != 0;
    if (sim->handover_done) {
        sim->result->estate_attempts[sim->target_estate[target]]++;
    }
    sim->targets[target].in_transit++;
    sim->deciders[call->decider].in_flight[target]++;
    g_array_append_val(sim->attempts, attempt);
    heap_push(&sim->heap,
              sim->now_ns + sim_one_way_delay_ns(sim, call->decider, target),
              EVENT_AT_TARGET, sim->attempts->len - 1, 0);
}

static void
fail_call(struct sim *sim, uint32_t call_index)
{
    struct sim_call *call = get_call(sim, call_index);
    call->done = true;
    sim->result->failed++;
    record_latency(sim, call, call->deadline_ns - call->arrived_ns);
}

static void
fill_call(const struct sim *sim, uint32_t call_index, uint32_t flags,
          struct rp_balancer_call *out)
{
    const struct sim_call *call = get_call(sim, call_index);
    *out = (struct rp_balancer_call){
        .call_id = call_index,
        .kind = call->is_long ? KIND_LONG : KIND_SHORT,
        .deadline_ns = call->deadline_ns,
        .flags = RP_CALL_REPEATABLE | flags,
    };
    for (uint32_t i = 0; i < call->attempts && i < RP_BALANCER_MAX_AVOIDED;
         i++) {
        out->avoided[out->avoided_count++] = call->tried_targets[i];
    }
}

static void
apply_verdict(struct sim *sim, const struct rp_balancer_verdict *verdict)
{
    uint32_t call_index = (uint32_t)verdict->call_id;
    struct sim_call *call = get_call(sim, call_index);
    if (verdict->action == RP_BALANCER_SEND) {
        bool first = call->attempts == 0;
        send_attempt(sim, call_index, verdict->target, verdict->flags);
        struct rp_balancer_call balancer_call;
        fill_call(sim, call_index, verdict->flags, &balancer_call);
        int64_t delay_ns = rp_balancer_hedge_delay_ns(
            sim->deciders[call->decider].balancer, &balancer_call);
        if (first && delay_ns < INT64_MAX) {
            heap_push(&sim->heap, sim->now_ns + delay_ns, EVENT_HEDGE,
                      call_index, 0);
        }
    }
    else if (verdict->action == RP_BALANCER_REFUSE && !call->done &&
             (verdict->flags & RP_CALL_HEDGE) == 0)
    {
        if (call->attempts > 0) {
            fail_call(sim, call_index);
            return;
        }
        call->done = true;
        sim->result->refused++;
        /* The caller returns after that time. Without an entry, refusals
         * would lower the latencies. */
        record_latency(sim, call, verdict->retry_after_ns);
    }
}

static void
serve_queue(struct sim *sim, uint32_t decider_index)
{
    struct sim_decider *decider = &sim->deciders[decider_index];
    struct rp_balancer_verdict verdict;
    while (rp_balancer_next(decider->balancer, sim->now_ns, &verdict)) {
        apply_verdict(sim, &verdict);
    }
    int64_t due_ns = rp_balancer_due_ns(decider->balancer);
    if (due_ns < decider->due_event_ns) {
        decider->due_event_ns = due_ns;
        heap_push(&sim->heap, MAX(due_ns, sim->now_ns), EVENT_DUE,
                  decider_index, 0);
    }
}

/* Processes the queue of a decider when its EVENT_DUE fires. */
void
sim_path_due(struct sim *sim, uint32_t decider)
{
    sim->deciders[decider].due_event_ns = INT64_MAX;
    serve_queue(sim, decider);
}

static void
dispatch(struct sim *sim, uint32_t call_index, uint32_t flags)
{
    const struct sim_call *call = get_call(sim, call_index);
    struct sim_decider *decider = &sim->deciders[call->decider];
    if (decider->balancer == NULL) {
        send_attempt(sim, call_index, sim_pick_target(sim, decider, call),
                     flags);
        return;
    }
    struct rp_balancer_call balancer_call;
    struct rp_balancer_verdict verdict;
    fill_call(sim, call_index, flags, &balancer_call);
    rp_balancer_offer(decider->balancer, &balancer_call, sim->now_ns,
                      &verdict);
    uint32_t decider_index = call->decider;
    apply_verdict(sim, &verdict);
    if (verdict.action == RP_BALANCER_WAIT) {
        serve_queue(sim, decider_index);
    }
}

/* Offers a new call to its decider. */
void
sim_path_arrival(struct sim *sim, uint32_t call)
{
    dispatch(sim, call, 0);
}

/* Sends a hedge for a call whose first attempt is still open. */
void
sim_path_hedge(struct sim *sim, uint32_t call_index)
{
    const struct sim_call *call = get_call(sim, call_index);
    if (!call->done && call->open_attempts == 1 && call->attempts == 1) {
        dispatch(sim, call_index, RP_CALL_HEDGE);
    }
}

/* Sends another attempt after a failed one. */
void
sim_path_retry(struct sim *sim, uint32_t call_index)
{
    if (!get_call(sim, call_index)->done) {
        dispatch(sim, call_index, RP_CALL_RETRY);
    }
}

static void
end_attempt(struct sim *sim, struct sim_attempt *attempt)
{
    const struct sim_call *call = get_call(sim, attempt->call);
    struct sim_decider *decider = &sim->deciders[call->decider];
    attempt->decider_ended = true;
    decider->in_flight[attempt->target]--;
    if (decider->balancer == NULL) {
        return;
    }
    bool answered = attempt->outcome != RP_ATTEMPT_CANCELLED;
    struct rp_attempt_report report = {
        .target = attempt->target,
        .outcome = attempt->outcome,
        .flags = attempt->flags,
        .kind = call->is_long ? KIND_LONG : KIND_SHORT,
        .sent_ns = attempt->sent_ns,
        .first_byte_ns = answered ? sim->now_ns : 0,
        .has_load = attempt->outcome == RP_ATTEMPT_OK,
        .load = attempt->load,
    };
    if (report.has_load) {
        GString *text = g_string_new(NULL);
        rp_load_format(&attempt->load, text);
        sim->result->report_bytes += text->len + strlen("RP-Load: \r\n");
        g_string_free(text, TRUE);
        decider->last_report_ns[attempt->target] = sim->now_ns;
    }
    rp_balancer_finish(decider->balancer, &report, sim->now_ns);
}

/* Cancels the other attempts of an answered call. The search runs backwards
 * because they are among the latest attempts. */
static void
cancel_other_attempts(struct sim *sim, uint32_t call_index)
{
    for (uint32_t i = sim->attempts->len; i > 0; i--) {
        struct sim_attempt *attempt = get_attempt(sim, i - 1);
        if (attempt->call != call_index || attempt->decider_ended) {
            continue;
        }
        attempt->outcome = RP_ATTEMPT_CANCELLED;
        end_attempt(sim, attempt);
        struct sim_call *call = get_call(sim, call_index);
        heap_push(&sim->heap,
                  sim->now_ns + sim_one_way_delay_ns(sim, call->decider,
                                                     attempt->target),
                  EVENT_CANCEL, i - 1, 0);
        if (--call->open_attempts == 0) {
            return;
        }
    }
}

static void
finish_call(struct sim *sim, uint32_t call_index)
{
    struct sim_call *call = get_call(sim, call_index);
    int64_t latency_ns = sim->now_ns - call->arrived_ns;
    call->done = true;
    record_latency(sim, call, latency_ns);
    if (sim->now_ns > call->deadline_ns) {
        sim->result->late++;
    }
    else {
        sim->result->answered++;
        if (sim->now_ns >= sim->peak_start_ns &&
            sim->now_ns < sim->peak_end_ns) {
            sim->result->peak_answered++;
        }
    }
    double wait_ms = ((double)latency_ns - call->nominal_service_ns) / 1e6;
    double after_peak_ms = (double)(call->arrived_ns - sim->peak_end_ns) / 1e6;
    if (sim->regime->peak_factor > 0 && after_peak_ms > 0 && wait_ms > 10 &&
        after_peak_ms > sim->result->recovery_ms)
    {
        sim->result->recovery_ms = after_peak_ms;
    }
    if (call->open_attempts > 0) {
        cancel_other_attempts(sim, call_index);
    }
}

/* Delivers an answer to the decider: finishes the call, fails it, or schedules
 * a retry. */
void
sim_path_answer(struct sim *sim, uint32_t attempt_index)
{
    struct sim_attempt *attempt = get_attempt(sim, attempt_index);
    uint32_t call_index = attempt->call;
    struct sim_call *call = get_call(sim, call_index);
    uint32_t decider = call->decider;
    if (attempt->decider_ended) {
        return;
    }
    call->open_attempts--;
    end_attempt(sim, attempt);
    if (!call->done && attempt->outcome == RP_ATTEMPT_OK) {
        finish_call(sim, call_index);
    }
    else if (!call->done && call->open_attempts == 0) {
        uint32_t random =
            (uint32_t)(gsl_rng_uniform(sim->choice_rng) * UINT32_MAX);
        if (call->attempts >= MAX_ATTEMPTS) {
            fail_call(sim, call_index);
        }
        else {
            heap_push(&sim->heap,
                      sim->now_ns + rp_retry_delay_ns(call->attempts - 1,
                                                      attempt->outcome ==
                                                          RP_ATTEMPT_NOT_RUN,
                                                      random),
                      EVENT_RETRY, call_index, 0);
        }
    }
    if (sim->deciders[decider].balancer != NULL) {
        serve_queue(sim, decider);
    }
}

/* Probes a target from one entry VM, unless that VM received a load report
 * from it within the last second. The budget of the fleet is one probe per
 * target and second, and round distributes the probes evenly over the serving
 * entry VMs. */
void
sim_path_probe(struct sim *sim, uint32_t target, uint32_t round)
{
    heap_push(&sim->heap, sim->now_ns + 1000000000, EVENT_PROBE, target,
              round + 1);
    struct sim_decider *decider =
        &sim->deciders[sim->serving_deciders[round % sim->width]];
    if (decider->balancer == NULL || !sim->target_listed[target] ||
        sim->now_ns - decider->last_report_ns[target] < 1000000000)
    {
        return;
    }
    char address[32];
    struct rp_load_report report;
    g_snprintf(address, sizeof(address), "127.0.0.1:%u", 9000 + target);
    fake_target_report(&sim->targets[target], sim->now_ns, &report);
    rp_balancer_record_load(decider->balancer, address, &report,
                            SIM_CROSS_DOMAIN_NS, sim->now_ns);
    sim->result->probes++;
}
