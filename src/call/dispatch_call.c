#include "dispatch_call.h"

#include <string.h>

#include "dispatch_hint.h"
#include "invariant.h"
#include "retry.h"
#include "snapshot.h"

/* Answers up to this size are passed on only when they are complete, so that
 * a truncated one can be retried at another target. It is the size of one
 * read. */
#define MAX_BUFFERED_ANSWER_BYTES RP_STREAM_READ_BYTES

/* Time after which a refused caller without a latency goal returns. */
#define DEFAULT_RETURN_MS 100

/* Attempts over a fresh connection: at most a tenth of the calls of a service,
 * plus a burst. */
#define FRESH_CONNECTION_TOKENS_PER_CALL 0.1

/* A queued hedge holds one of the attempts left, so that nothing else can use
 * it. */
static void
queue_hedge(struct dispatch_call *call)
{
    call->hedge_queued = true;
    call->attempts_left--;
}

/* Gives the attempt of a hedge back that is no longer queued. */
static void
drop_hedge(struct dispatch_call *call)
{
    call->hedge_queued = false;
    call->attempts_left++;
}

static void
withdraw_hedge(struct dispatch_call *call, int64_t now_ns)
{
    if (call->hedge_queued) {
        drop_hedge(call);
        rp_balancer_withdraw(call->service->balancer, call->call->id, now_ns);
    }
}

static void
cancel_attempts(struct dispatch_call *call, enum rp_attempt_outcome outcome,
                int64_t now_ns)
{
    for (uint32_t i = 0; i < call->attempt_count; i++) {
        struct dispatch_attempt *attempt = &call->attempts[i];
        if (attempt->state != ATTEMPT_ENDED) {
            dispatch_attempt_cancel(call, attempt, false);
            call->may_have_run = true;
        }
        dispatch_attempt_report(call, attempt, outcome, 0, now_ns);
    }
    if (call->state == CALL_QUEUED) {
        rp_balancer_withdraw(call->service->balancer, call->call->id, now_ns);
    }
    withdraw_hedge(call, now_ns);
}

static void
add_event(struct dispatch_call *call, enum rp_event_kind kind,
          const char *detail, int64_t now_ns)
{
    struct rp_event *event = rp_event_add(call->dispatch->context->events,
                                          kind, now_ns, call->service->name);
    rp_event_set_request(event, call->call->request_id);
    rp_event_set_service(event, call->service->name);
    rp_event_set_detail(event, "%s", detail);
}

static void
record_result(const struct dispatch_call *call, enum rp_call_result result,
              int64_t now_ns)
{
    rp_histograms_record(call->dispatch->context->histograms,
                         call->service->name,
                         call->repeatable ? "repeatable" : "once", result,
                         now_ns - call->call->received_ns);
}

/* Answers a call without a target's answer and ends it. */
static void
fail_call(struct dispatch_call *call, uint32_t status, int64_t retry_after_ms,
          const char *reason, int64_t now_ns)
{
    cancel_attempts(call, RP_ATTEMPT_CANCELLED, now_ns);
    bool not_run = !call->may_have_run;
    rp_invariant_check(call->dispatch->context, RP_INVARIANT_NOT_RUN_IS_TRUE,
                       !not_run || dispatch_call_not_run(call), now_ns,
                       "a call with a sent attempt is answered as not run");
    add_event(call, not_run ? RP_EVENT_CALL_REFUSED : RP_EVENT_CALL_FAILED,
              reason, now_ns);
    record_result(call, not_run ? RP_RESULT_NOT_RUN : RP_RESULT_UNKNOWN,
                  now_ns);
    dispatch_refuse(call->dispatch, call->call->id,
                    not_run ? RP_OUTCOME_NOT_RUN : RP_OUTCOME_UNKNOWN, status,
                    not_run ? retry_after_ms : 0, reason);
    call->finished = true;
}

static void
fail_refused(struct dispatch_call *call,
             const struct rp_balancer_verdict *verdict, int64_t now_ns)
{
    static const char *const reasons[] = {
        [RP_REFUSAL_NONE] = "refused",
        [RP_REFUSAL_NO_TARGET] = "no target of the service can answer now",
        [RP_REFUSAL_QUEUE_FULL] = "too many calls of the service wait",
        [RP_REFUSAL_DEADLINE] = "the deadline cannot be met",
        [RP_REFUSAL_BUDGET] = "attempts failed and the retry budget is spent",
        [RP_REFUSAL_COLD] = "the targets of the service have just started",
    };
    static const enum rp_counter counters[] = {
        [RP_REFUSAL_NONE] = RP_COUNTER_COUNT,
        [RP_REFUSAL_NO_TARGET] = RP_COUNTER_REFUSED_NO_TARGET,
        [RP_REFUSAL_QUEUE_FULL] = RP_COUNTER_REFUSED_QUEUE_FULL,
        [RP_REFUSAL_DEADLINE] = RP_COUNTER_REFUSED_DEADLINE,
        [RP_REFUSAL_BUDGET] = RP_COUNTER_REFUSED_BUDGET,
        [RP_REFUSAL_COLD] = RP_COUNTER_CALLS_HELD_BACK,
    };
    if (counters[verdict->refusal] != RP_COUNTER_COUNT) {
        rp_counter_add(&call->dispatch->context->counters,
                       counters[verdict->refusal], 1);
    }
    uint32_t status = call->may_have_run ? 502 : 503;
    fail_call(call, status, MAX(verdict->retry_after_ns / 1000000, 1),
              reasons[verdict->refusal], now_ns);
}

static void
fail_deadline(struct dispatch_call *call, int64_t now_ns)
{
    rp_counter_add(&call->dispatch->context->counters,
                   RP_COUNTER_CALLS_DEADLINE, 1);
    if (call->state == CALL_REPLIED) {
        rp_counter_add(&call->dispatch->context->counters,
                       RP_COUNTER_ANSWERS_BROKEN, 1);
        cancel_attempts(call, RP_ATTEMPT_CANCELLED, now_ns);
        call->finished = true;
        return;
    }
    cancel_attempts(call, RP_ATTEMPT_TIMEOUT, now_ns);
    fail_call(call, call->may_have_run ? 504 : 503, 1,
              "the deadline has passed", now_ns);
}

static void
send_attempt(struct dispatch_call *call, struct dispatch_attempt *attempt,
             bool fresh, int64_t now_ns)
{
    if (!dispatch_attempt_send(call, attempt, fresh, now_ns)) {
        cancel_attempts(call, RP_ATTEMPT_CANCELLED, now_ns);
        fail_call(call, call->may_have_run ? 502 : 503, 100,
                  "this entry VM is overloaded", now_ns);
    }
}

static void
fill_offer(const struct dispatch_call *call, uint32_t flags,
           struct rp_balancer_call *offer)
{
    *offer = (struct rp_balancer_call){
        .call_id = call->call->id,
        .kind = call->kind,
        .route = call->route.hash,
        .deadline_ns = call->deadline_ns,
        .aim_ns = (int64_t)call->route.aim_ms * 1000000,
        .goal_ns = call->route.aim_ms == 0
                       ? 0
                       : call->call->received_ns - call->elapsed_ns +
                             (int64_t)call->route.aim_ms * 1000000,
        .rank = call->route.rank,
        .flags = call->flags | flags,
    };
    offer->remote_penalty_ns = rp_transfer_size_remote_penalty_ns(
        &dispatch_route_state(call->dispatch, call->route.name)->transfer_size,
        call->call->request == NULL ? 0 : call->call->body_bytes,
        call->dispatch->config.remote_cost_ns_per_kb, offer->aim_ns);
    uint32_t first = call->attempt_count > RP_BALANCER_MAX_AVOIDED
                         ? call->attempt_count - RP_BALANCER_MAX_AVOIDED
                         : 0;
    for (uint32_t i = first; i < call->attempt_count; i++) {
        offer->avoided[offer->avoided_count++] = call->attempts[i].target;
    }
}

static void
set_attempt_timers(struct dispatch_call *call,
                   struct dispatch_attempt *attempt, int64_t now_ns)
{
    if (!call->repeatable) {
        return;
    }
    if (call->route.aim_ms == 0) {
        /* With a latency goal there is no first-byte timeout: a late call is
         * tried at another target instead. */
        call->first_byte_due_ns = now_ns + call->first_byte_timeout_ns;
    }
    if (call->call->request != NULL || call->attempt_count > 1 ||
        (attempt->flags & RP_CALL_LONG) != 0)
    {
        return;
    }
    struct rp_balancer_call offer;
    fill_offer(call, 0, &offer);
    int64_t delay_ns =
        rp_balancer_hedge_delay_ns(call->service->balancer, &offer);
    if (delay_ns < call->deadline_ns - now_ns) {
        call->hedge_due_ns = now_ns + delay_ns;
    }
}

static const struct {
    const char *text; /* appended to the event's detail */
    enum rp_counter counter;
} crossing_kinds[RP_CROSSING_REASON_COUNT] = {
    [RP_CROSSING_NONE] = {.text = ""},
    [RP_CROSSING_NO_LOCAL] = {", crosses: no local target",
                              RP_COUNTER_CROSSED_NO_LOCAL},
    [RP_CROSSING_LOCAL_FULL] = {", crosses: local targets full",
                                RP_COUNTER_CROSSED_LOCAL_FULL},
    [RP_CROSSING_LOCAL_SLOW] = {", crosses: local targets slow",
                                RP_COUNTER_CROSSED_LOCAL_SLOW},
};

/* Adds an event with the target of an attempt and the data that the balancer
 * based its choice on. */
static void
add_sent_event(const struct dispatch_call *call,
               const struct dispatch_attempt *attempt,
               const struct rp_balancer_verdict *verdict, int64_t now_ns)
{
    struct rp_event *event = rp_event_add(
        call->dispatch->context->events,
        (attempt->flags & RP_CALL_HEDGE) != 0 ? RP_EVENT_CALL_HEDGED
                                              : RP_EVENT_CALL_SENT,
        now_ns,
        rp_balancer_target_address(call->service->balancer, attempt->target));
    rp_event_set_request(event, call->call->request_id);
    rp_event_set_service(event, call->service->name);
    event->value = call->attempt_count;
    char age[48] = "without a report";
    if (verdict->report_age_ns >= 0) {
        g_snprintf(age, sizeof(age), "report %.1f ms old",
                   (double)verdict->report_age_ns / 1e6);
    }
    rp_event_set_detail(
        event, "waited %.1f ms, %.1f ms left, slowness %.2f, load %.1f, %s%s",
        (double)(now_ns - call->call->received_ns) / 1e6,
        (double)(call->deadline_ns - now_ns) / 1e6, verdict->slowness,
        verdict->load, age, crossing_kinds[verdict->crossing].text);
}

static void
count_crossing(const struct dispatch_call *call,
               const struct rp_balancer_verdict *verdict)
{
    if (verdict->crossing != RP_CROSSING_NONE) {
        rp_counter_add(&call->dispatch->context->counters,
                       crossing_kinds[verdict->crossing].counter, 1);
    }
}

static void
count_cold(const struct dispatch_call *call, bool cold)
{
    rp_counter_add(&call->dispatch->context->counters, RP_COUNTER_CALLS_COLD,
                   cold ? 1 : 0);
}

static void
apply_verdict(struct dispatch_call *call, uint32_t flags,
              const struct rp_balancer_verdict *verdict, int64_t now_ns)
{
    if (verdict->action == RP_BALANCER_WAIT) {
        call->state = CALL_QUEUED;
        call->offer_flags = flags;
        return;
    }
    if (verdict->action == RP_BALANCER_REFUSE) {
        if (call->state == CALL_QUEUED) {
            call->state = CALL_RUNNING; /* nothing to withdraw */
        }
        fail_refused(call, verdict, now_ns);
        return;
    }
    struct dispatch_attempt *attempt =
        dispatch_attempt_add(call, verdict->target, verdict->flags, now_ns);
    attempt->owns_slot = true;
    attempt->slowness = verdict->slowness;
    attempt->near_capacity = verdict->near_capacity;
    add_sent_event(call, attempt, verdict, now_ns);
    count_cold(call, verdict->cold);
    count_crossing(call, verdict);
    dispatch_drain_record_sent(
        call->dispatch, call->service,
        rp_balancer_target_address(call->service->balancer, attempt->target),
        now_ns);
    set_attempt_timers(call, attempt, now_ns);
    send_attempt(call, attempt, false, now_ns);
}

static void
remove_or_reschedule(struct dispatch_call *call)
{
    if (call->finished) {
        dispatch_remove_call(call);
        return;
    }
    int64_t due_ns = MIN(call->deadline_ns, call->retry_due_ns);
    due_ns = MIN(due_ns, call->hedge_due_ns);
    due_ns = MIN(due_ns, call->first_byte_due_ns);
    if (call->due.position == 0 || call->due.at_ns != due_ns) {
        rp_due_queue_set(&call->dispatch->due, &call->due, due_ns);
    }
}

/* Offers a new call to its balancer. */
void
dispatch_call_begin(struct dispatch_call *call, int64_t now_ns)
{
    call->service->fresh_connection_tokens =
        MIN(call->service->fresh_connection_tokens +
                FRESH_CONNECTION_TOKENS_PER_CALL,
            DISPATCH_MAX_FRESH_CONNECTION_TOKENS);
    /* The issuer of the ticket may have run an earlier copy, even if it is
     * unreachable now. */
    call->may_have_run = dispatch_call_passed_on(call);
    if (now_ns >= call->deadline_ns) {
        /* It has waited behind earlier requests of its connection. */
        fail_deadline(call, now_ns);
        remove_or_reschedule(call);
        return;
    }
    if (dispatch_call_passed_on(call)) {
        struct dispatch_attempt *attempt =
            dispatch_attempt_add(call, RP_BALANCER_NO_TARGET, 0, now_ns);
        send_attempt(call, attempt, true, now_ns);
        remove_or_reschedule(call);
        return;
    }
    struct rp_balancer_call offer;
    struct rp_balancer_verdict verdict;
    fill_offer(call, 0, &offer);
    rp_balancer_offer(call->service->balancer, &offer, now_ns, &verdict);
    apply_verdict(call, 0, &verdict, now_ns);
    remove_or_reschedule(call);
}

static void
send_hedge(struct dispatch_call *call,
           const struct rp_balancer_verdict *verdict, int64_t now_ns)
{
    rp_counter_add(&call->dispatch->context->counters, RP_COUNTER_HEDGES, 1);
    apply_verdict(call, RP_CALL_HEDGE, verdict, now_ns);
}

/* Applies the verdict on a call, or a hedge, that was queued at its
 * balancer. */
void
dispatch_call_verdict(struct dispatch_call *call,
                      const struct rp_balancer_verdict *verdict,
                      int64_t now_ns)
{
    if (!call->hedge_queued) {
        apply_verdict(call, call->offer_flags, verdict, now_ns);
    }
    else if (verdict->action == RP_BALANCER_SEND) {
        call->hedge_queued = false;
        send_hedge(call, verdict, now_ns);
    }
    else {
        drop_hedge(call);
    }
    remove_or_reschedule(call);
}

static bool
has_untried_target(const struct rp_balancer *balancer,
                   const struct rp_balancer_call *offer, int64_t now_ns)
{
    uint32_t count = rp_balancer_target_count(balancer);
    for (uint32_t target = 0; target < count; target++) {
        bool tried = false;
        for (uint32_t i = 0; i < offer->avoided_count; i++) {
            tried |= offer->avoided[i] == target;
        }
        if (!tried && rp_balancer_target_open(balancer, target, now_ns)) {
            return true;
        }
    }
    return false;
}

static void
offer_retry(struct dispatch_call *call, int64_t now_ns)
{
    struct rp_balancer_call offer;
    struct rp_balancer_verdict verdict;
    fill_offer(call, RP_CALL_RETRY, &offer);
    if (!has_untried_target(call->service->balancer, &offer, now_ns)) {
        /* All usable targets were tried: allow them again. */
        offer.avoided_count = 0;
    }
    rp_balancer_offer(call->service->balancer, &offer, now_ns, &verdict);
    if (verdict.action != RP_BALANCER_REFUSE) {
        call->attempts_left--;
        call->retries++;
        rp_counter_add(&call->dispatch->context->counters, RP_COUNTER_RETRIES,
                       1);
        add_event(call, RP_EVENT_CALL_RETRIED, "an attempt failed", now_ns);
    }
    apply_verdict(call, RP_CALL_RETRY, &verdict, now_ns);
}

/* Returns when the caller of a call should return whose attempts were all
 * rejected. */
static int64_t
return_after_ms(const struct dispatch_call *call, int64_t now_ns)
{
    if (call->route.aim_ms == 0 || call->may_have_run) {
        return DEFAULT_RETURN_MS;
    }
    struct rp_balancer_call offer;
    fill_offer(call, 0, &offer);
    return rp_balancer_return_ns(call->service->balancer, &offer, now_ns) /
           1000000;
}

static void
retry_or_fail(struct dispatch_call *call, bool not_run, int64_t now_ns)
{
    const struct rp_stream *request = call->call->request;
    struct rp_retry_state state = {
        .repeatable = call->repeatable,
        .may_have_run = call->may_have_run,
        .body_kept = request == NULL || rp_stream_can_rewind(request),
        .retries = call->retries,
        .attempts_left = call->attempt_count < RP_DISPATCH_MAX_ATTEMPTS
                             ? call->attempts_left
                             : 0,
        .deadline_ns = call->deadline_ns,
    };
    if (!rp_retry_allowed(&state, now_ns)) {
        fail_call(call, call->may_have_run ? 502 : 503,
                  return_after_ms(call, now_ns),
                  call->may_have_run ? "the target's answer was broken off"
                                     : "no target took the request",
                  now_ns);
        return;
    }
    if (request != NULL) {
        /* Rewound at once, so that the body is kept complete during the
         * delay. */
        rp_stream_rewind(call->call->request);
    }
    int64_t delay_ns = rp_retry_delay_ns(
        call->retries, not_run, g_rand_int(call->dispatch->context->random));
    if (delay_ns == 0) {
        offer_retry(call, now_ns);
        return;
    }
    call->state = CALL_RETRY_DELAY;
    call->retry_due_ns = now_ns + delay_ns;
}

static void
add_answer_event(struct dispatch_call *call,
                 const struct dispatch_attempt *winner, int64_t now_ns)
{
    struct rp_event *event =
        rp_event_add(call->dispatch->context->events, RP_EVENT_CALL_ENDED,
                     now_ns, call->service->name);
    rp_event_set_request(event, call->call->request_id);
    rp_event_set_service(event, call->service->name);
    event->value = winner->answer->status;
    rp_event_set_detail(event, "attempt %u answered after %.1f ms of %.1f",
                        winner->generation,
                        (double)(now_ns - winner->sent_ns) / 1e6,
                        (double)(now_ns - call->call->received_ns) / 1e6);
}

/* Passes an attempt's answer on to the caller and cancels all other
 * attempts. */
static void
accept_answer(struct dispatch_call *call, uint32_t index, int64_t now_ns)
{
    struct dispatch_attempt *winner = &call->attempts[index];
    for (uint32_t i = 0; i < call->attempt_count; i++) {
        struct dispatch_attempt *other = &call->attempts[i];
        if (i == index || other->state == ATTEMPT_ENDED) {
            continue;
        }
        bool silent =
            winner->partner_generation == i + 1 && !other->head_received;
        if (silent) {
            winner->partner_silent = true;
            winner->owns_slot |= other->owns_slot;
            other->owns_slot = false;
            rp_counter_add(&call->dispatch->context->counters,
                           RP_COUNTER_SILENT_CONNECTIONS, 1);
            add_event(call, RP_EVENT_CONNECTION_SILENT,
                      "a fresh connection answered first", now_ns);
        }
        else if (other->partner_generation == index + 1) {
            winner->owns_slot |= other->owns_slot;
            other->owns_slot = false;
        }
        dispatch_attempt_cancel(call, other, silent);
        dispatch_attempt_report(call, other, RP_ATTEMPT_CANCELLED, 0, now_ns);
    }
    withdraw_hedge(call, now_ns);
    call->winner = index;
    call->state = CALL_REPLIED;
    add_answer_event(call, winner, now_ns);
    record_result(call,
                  winner->answer->status >= 500 ? RP_RESULT_TARGET_ERROR
                                                : RP_RESULT_ANSWERED,
                  now_ns);
    call->hedge_due_ns = RP_KERNEL_NEVER_NS;
    call->first_byte_due_ns = RP_KERNEL_NEVER_NS;
    call->retry_due_ns = RP_KERNEL_NEVER_NS;
    struct rp_call_reply reply = {
        .call_id = call->call->id,
        .outcome = RP_OUTCOME_NONE,
        .answer = rp_answer_ref(winner->answer),
        .body = rp_stream_ref(winner->body),
    };
    struct rp_task *task = call->dispatch->task;
    if (!rp_task_send_owned(
            task, rp_kernel_find_task(rp_task_kernel(task), RP_TASK_ENTRY),
            RP_MSG_CALL_REPLY, &reply, sizeof(reply), rp_call_reply_release))
    {
        rp_call_reply_release(&reply);
    }
}

/* Returns whether a further attempt may be sent to the target of an attempt.
 * It may have begun to drain, or wants no requests for a time. */
static bool
may_retry_target(const struct dispatch_call *call,
                 const struct dispatch_attempt *attempt, int64_t now_ns)
{
    return dispatch_call_passed_on(call) ||
           rp_balancer_target_open(call->service->balancer, attempt->target,
                                   now_ns);
}

/* Takes what a further attempt at the same target needs: a part of the budget,
 * and a turn if the target is cold. Returns false if either is missing. */
static bool
consume_resend(const struct dispatch_call *call, uint32_t target,
               int64_t now_ns)
{
    struct rp_balancer *balancer = call->service->balancer;
    if (!rp_balancer_consume_retry(balancer, now_ns)) {
        return false;
    }
    if (target == RP_BALANCER_NO_TARGET) {
        return true; /* the call is passed on to another entry VM */
    }
    bool cold;
    bool has_turn = rp_balancer_consume_turn(balancer, target, now_ns, &cold);
    count_cold(call, cold && has_turn);
    return has_turn;
}

/* A reused connection that closes before the first byte of an answer was most
 * likely closed by the target while it was idle. The request is retried once
 * at the same target over a new connection, and the failure is not reported to
 * the balancer. */
static bool
retry_stale_connection(struct dispatch_call *call, uint32_t index,
                       const struct rp_attempt_done *done, int64_t now_ns)
{
    struct dispatch_attempt *stale = &call->attempts[index];
    struct rp_stream *request = call->call->request;
    if (!done->reused || done->first_byte_ns != 0 ||
        done->end != RP_END_BROKEN || !call->repeatable ||
        call->retried_stale || call->attempts_left == 0 ||
        !may_retry_target(call, stale, now_ns) ||
        call->attempt_count == RP_DISPATCH_MAX_ATTEMPTS ||
        (request != NULL && !rp_stream_can_rewind(request)) ||
        !consume_resend(call, stale->target, now_ns))
    {
        return false;
    }
    call->retried_stale = true;
    call->attempts_left--;
    add_event(call, RP_EVENT_CALL_RETRIED,
              "the reused connection had been closed", now_ns);
    call->may_have_run = true;
    stale->state = ATTEMPT_ENDED;
    struct dispatch_attempt *attempt =
        dispatch_attempt_add(call, stale->target, RP_CALL_RETRY, now_ns);
    attempt->owns_slot = stale->owns_slot;
    stale->owns_slot = false;
    send_attempt(call, attempt, true, now_ns);
    return true;
}

static uint32_t
find_attempt(const struct dispatch_call *call, uint32_t generation)
{
    uint32_t index = generation - 1;
    if (index >= call->attempt_count ||
        call->attempts[index].state == ATTEMPT_ENDED)
    {
        return RP_DISPATCH_MAX_ATTEMPTS;
    }
    return index;
}

static bool
is_small(const struct rp_answer *answer)
{
    return answer->body_bytes >= 0 &&
           answer->body_bytes <= MAX_BUFFERED_ANSWER_BYTES;
}

static void
attempt_failed(struct dispatch_call *call, uint32_t index,
               enum rp_attempt_outcome outcome, bool not_run, int64_t now_ns)
{
    struct dispatch_attempt *attempt = &call->attempts[index];
    attempt->state = ATTEMPT_ENDED;
    attempt->not_run = not_run;
    if (not_run) {
        dispatch_call_record_not_run(call);
    }
    call->may_have_run |= !not_run;
    bool other_running = false;
    for (uint32_t i = 0; i < call->attempt_count; i++) {
        struct dispatch_attempt *other = &call->attempts[i];
        if (other->state == ATTEMPT_ENDED) {
            continue;
        }
        other_running = true;
        if (other->partner_generation == index + 1 ||
            attempt->partner_generation == i + 1)
        {
            other->owns_slot |= attempt->owns_slot;
            attempt->owns_slot = false;
        }
    }
    dispatch_attempt_report(call, attempt, outcome, 0, now_ns);
    if (!other_running && call->hedge_queued) {
        /* The queued hedge becomes the retry. */
        call->hedge_queued = false;
        call->state = CALL_QUEUED;
        call->offer_flags = RP_CALL_RETRY;
        call->retries++;
        return;
    }
    if (!other_running) {
        call->hedge_due_ns = RP_KERNEL_NEVER_NS;
        call->first_byte_due_ns = RP_KERNEL_NEVER_NS;
        retry_or_fail(call, not_run, now_ns);
    }
}

/* Reports the load in an answer to the balancer and the peers. A long answer
 * ends long after its load report was made, so its report is applied when the
 * head arrives. */
static void
report_load(struct dispatch_call *call, const struct dispatch_attempt *attempt,
            int64_t now_ns)
{
    struct rp_balancer *balancer = call->service->balancer;
    const char *address =
        rp_balancer_target_address(balancer, attempt->target);
    const struct rp_load_report *load = &attempt->answer->load;
    /* An answer received during a pause of this process may be as old as the
     * request. */
    int64_t observed_ns = attempt->sent_ns < call->dispatch->pause_end_ns
                              ? attempt->sent_ns
                              : now_ns;
    if (!is_small(attempt->answer)) {
        rp_balancer_record_load(balancer, address, load, now_ns - observed_ns,
                                now_ns);
    }
    dispatch_hint_send(call->dispatch, call->service, address, load,
                       observed_ns, now_ns);
}

/* Records what an answer says of its target, also when it comes too late for
 * the call. */
static void
record_notice(struct dispatch_call *call, uint32_t generation, bool leaving,
              int64_t wait_ms, int64_t now_ns)
{
    if (dispatch_call_passed_on(call) || generation == 0 ||
        generation > call->attempt_count)
    {
        return;
    }
    uint32_t target = call->attempts[generation - 1].target;
    if (leaving) {
        dispatch_drain_record_notice(call->dispatch, call->service, target,
                                     now_ns);
    }
    if (wait_ms > 0) {
        dispatch_hint_record_wait(call->dispatch, call->service, target,
                                  wait_ms, now_ns);
    }
}

static int64_t
requested_wait_ms(const struct rp_answer *answer)
{
    bool is_rejection = answer->status == 503 || answer->status == 429;
    return is_rejection ? answer->retry_after_ms : 0;
}

/* Handles the head of an attempt's answer. That of a cancelled attempt is
 * ignored. */
void
dispatch_call_head(struct dispatch_call *call,
                   const struct rp_attempt_head *head, int64_t now_ns)
{
    record_notice(call, head->generation, head->answer->leaving,
                  requested_wait_ms(head->answer), now_ns);
    uint32_t index = find_attempt(call, head->generation);
    if (index == RP_DISPATCH_MAX_ATTEMPTS || call->state == CALL_REPLIED) {
        return;
    }
    struct dispatch_attempt *attempt = &call->attempts[index];
    attempt->head_received = true;
    attempt->answer = rp_answer_ref(head->answer);
    attempt->head_ns = now_ns;
    if (head->answer->has_load && !dispatch_call_passed_on(call)) {
        report_load(call, attempt, now_ns);
    }
    if (now_ns >= call->deadline_ns) {
        fail_deadline(call, now_ns);
    }
    else if (is_small(head->answer)) {
        attempt->state = ATTEMPT_BUFFERED;
        call->first_byte_due_ns = RP_KERNEL_NEVER_NS;
    }
    else if (head->answer->refused) {
        dispatch_attempt_cancel(call, attempt, false);
        attempt_failed(call, index, RP_ATTEMPT_NOT_RUN, true, now_ns);
    }
    else {
        accept_answer(call, index, now_ns);
    }
    remove_or_reschedule(call);
}

static enum rp_attempt_outcome
outcome_of(const struct dispatch_attempt *attempt,
           const struct rp_attempt_done *done)
{
    switch (done->end) {
    case RP_END_COMPLETE:
        if (attempt->answer == NULL) {
            return RP_ATTEMPT_BROKEN;
        }
        if (attempt->answer->refused) {
            return RP_ATTEMPT_NOT_RUN;
        }
        if (attempt->partner_silent) {
            return RP_ATTEMPT_SILENT;
        }
        return attempt->answer->status >= 500 ? RP_ATTEMPT_ERROR
                                              : RP_ATTEMPT_OK;
    case RP_END_NOT_SENT:
        return RP_ATTEMPT_NOT_RUN;
    case RP_END_SILENT:
        return RP_ATTEMPT_TIMEOUT;
    case RP_END_REQUEST_BROKEN:
        return RP_ATTEMPT_CANCELLED;
    default:
        return RP_ATTEMPT_BROKEN;
    }
}

static void
handle_done_before_reply(struct dispatch_call *call, uint32_t index,
                         const struct rp_attempt_done *done, int64_t now_ns)
{
    struct dispatch_attempt *attempt = &call->attempts[index];
    bool refused = attempt->answer != NULL && attempt->answer->refused;
    if (done->end == RP_END_COMPLETE && attempt->answer != NULL &&
        (!refused || dispatch_call_passed_on(call)))
    {
        dispatch_ticket_done(call, attempt->answer, attempt->body);
        accept_answer(call, index, now_ns);
        dispatch_attempt_report(call, attempt, outcome_of(attempt, done),
                                done->first_byte_ns, now_ns);
        attempt->state = ATTEMPT_ENDED;
        call->finished = true;
        return;
    }
    if (done->end == RP_END_REQUEST_BROKEN) {
        attempt->state = ATTEMPT_ENDED;
        call->may_have_run = true;
        dispatch_attempt_report(call, attempt, RP_ATTEMPT_CANCELLED, 0,
                                now_ns);
        bool over_limit = rp_stream_over_limit(call->call->request);
        fail_call(call, over_limit ? 413 : 400, 0,
                  over_limit ? "the body is over the limit of the service"
                             : "the request body was broken off",
                  now_ns);
        return;
    }
    if (retry_stale_connection(call, index, done, now_ns)) {
        return;
    }
    attempt_failed(call, index,
                   refused ? RP_ATTEMPT_NOT_RUN : outcome_of(attempt, done),
                   refused || done->end == RP_END_NOT_SENT, now_ns);
}

static void
record_transfer_size(struct dispatch_call *call,
                     const struct dispatch_attempt *attempt,
                     const struct rp_attempt_done *done)
{
    if (done->end != RP_END_COMPLETE || attempt->answer == NULL ||
        attempt->answer->status >= 300)
    {
        return;
    }
    struct rp_transfer_size *size =
        &dispatch_route_state(call->dispatch, call->route.name)->transfer_size;
    const struct rp_stream *request = call->call->request;
    rp_transfer_size_record_answer(size, done->body_bytes);
    if (request != NULL && rp_stream_state(request) == RP_STREAM_ENDED) {
        rp_transfer_size_record_request(size, rp_stream_written(request));
    }
}

/* Counts the bodies of an attempt that crossed failure domains. */
static void
count_remote_bytes(const struct dispatch_call *call,
                   const struct dispatch_attempt *attempt,
                   const struct rp_attempt_done *done)
{
    if (dispatch_call_passed_on(call) ||
        !rp_balancer_target_is_remote(call->service->balancer,
                                      attempt->target))
    {
        return;
    }
    struct rp_counters *counters = &call->dispatch->context->counters;
    const struct rp_stream *request = call->call->request;
    rp_counter_add(counters, RP_COUNTER_REMOTE_ANSWER_BYTES, done->body_bytes);
    if (request != NULL) {
        rp_counter_add(counters, RP_COUNTER_REMOTE_REQUEST_BYTES,
                       rp_stream_written(request));
    }
}

/* Handles the end of an attempt. That of a cancelled attempt is ignored. */
void
dispatch_call_done(struct dispatch_call *call,
                   const struct rp_attempt_done *done, int64_t now_ns)
{
    record_notice(call, done->generation, done->leaving, 0, now_ns);
    uint32_t index = find_attempt(call, done->generation);
    if (index == RP_DISPATCH_MAX_ATTEMPTS) {
        return;
    }
    struct dispatch_attempt *attempt = &call->attempts[index];
    record_transfer_size(call, attempt, done);
    count_remote_bytes(call, attempt, done);
    if (call->state != CALL_REPLIED) {
        if (now_ns >= call->deadline_ns) {
            fail_deadline(call, now_ns);
        }
        else {
            handle_done_before_reply(call, index, done, now_ns);
        }
        remove_or_reschedule(call);
        return;
    }
    if (done->end != RP_END_COMPLETE) {
        rp_stream_break(attempt->body);
        rp_counter_add(&call->dispatch->context->counters,
                       RP_COUNTER_ANSWERS_BROKEN, 1);
    }
    rp_invariant_check(call->dispatch->context, RP_INVARIANT_WHOLE_ANSWER,
                       rp_stream_state(attempt->body) ==
                           (done->end == RP_END_COMPLETE ? RP_STREAM_ENDED
                                                         : RP_STREAM_BROKEN),
                       now_ns, "a truncated answer was marked complete");
    dispatch_attempt_report(call, attempt, outcome_of(attempt, done),
                            done->first_byte_ns, now_ns);
    if (done->end == RP_END_COMPLETE) {
        dispatch_ticket_done(call, attempt->answer, attempt->body);
    }
    attempt->state = ATTEMPT_ENDED;
    call->finished = true;
    remove_or_reschedule(call);
}

static uint32_t
find_attempt_without_head(const struct dispatch_call *call)
{
    uint32_t found = RP_DISPATCH_MAX_ATTEMPTS;
    for (uint32_t i = 0; i < call->attempt_count; i++) {
        if (call->attempts[i].state == ATTEMPT_RUNNING &&
            !call->attempts[i].head_received)
        {
            found = i;
        }
    }
    return found;
}

static void
try_hedge(struct dispatch_call *call, int64_t now_ns)
{
    call->hedge_due_ns = RP_KERNEL_NEVER_NS;
    if (call->state != CALL_RUNNING || call->hedge_queued ||
        call->attempts_left == 0 ||
        find_attempt_without_head(call) == RP_DISPATCH_MAX_ATTEMPTS ||
        call->attempt_count == RP_DISPATCH_MAX_ATTEMPTS)
    {
        return;
    }
    struct rp_balancer_call offer;
    struct rp_balancer_verdict verdict;
    fill_offer(call, RP_CALL_HEDGE, &offer);
    rp_balancer_offer(call->service->balancer, &offer, now_ns, &verdict);
    if (verdict.action == RP_BALANCER_WAIT) {
        queue_hedge(call);
    }
    else if (verdict.action == RP_BALANCER_SEND) {
        call->attempts_left--;
        send_hedge(call, &verdict, now_ns);
    }
}

/* Handles the first-byte timeout. The connection may be silent, so the same
 * target is tried over a new one, or another target if that one gets no new
 * requests. A request without a body leaves the late attempt running, and the
 * first answer is used. */
static void
try_fresh_connection(struct dispatch_call *call, int64_t now_ns)
{
    call->first_byte_due_ns = RP_KERNEL_NEVER_NS;
    uint32_t index = find_attempt_without_head(call);
    struct rp_stream *request = call->call->request;
    if (index != RP_DISPATCH_MAX_ATTEMPTS &&
        !may_retry_target(call, &call->attempts[index], now_ns))
    {
        if (request == NULL) {
            try_hedge(call, now_ns);
        }
        return;
    }
    if (index == RP_DISPATCH_MAX_ATTEMPTS || call->attempts_left == 0 ||
        call->attempt_count == RP_DISPATCH_MAX_ATTEMPTS ||
        call->service->fresh_connection_tokens < 1.0 ||
        (request != NULL && (rp_stream_state(request) != RP_STREAM_ENDED ||
                             !rp_stream_can_rewind(request))) ||
        !consume_resend(call, call->attempts[index].target, now_ns))
    {
        return;
    }
    call->service->fresh_connection_tokens -= 1.0;
    call->attempts_left--;
    rp_counter_add(&call->dispatch->context->counters,
                   RP_COUNTER_FRESH_CONNECTION_ATTEMPTS, 1);
    add_event(call, RP_EVENT_CALL_FRESH_CONNECTION,
              "no byte in time: the same target over a fresh connection",
              now_ns);
    struct dispatch_attempt *late = &call->attempts[index];
    bool owns_slot = false;
    if (request != NULL) {
        owns_slot = late->owns_slot;
        late->owns_slot = false;
        call->may_have_run = true;
        dispatch_attempt_cancel(call, late, true);
    }
    struct dispatch_attempt *attempt =
        dispatch_attempt_add(call, late->target, RP_CALL_RETRY, now_ns);
    attempt->partner_generation = index + 1;
    attempt->owns_slot = owns_slot;
    attempt->partner_silent = request != NULL;
    send_attempt(call, attempt, true, now_ns);
}

/* Handles what is due: the deadline, a retry, an attempt over a fresh
 * connection or a hedge. */
void
dispatch_call_due(struct dispatch_call *call, int64_t now_ns)
{
    if (now_ns >= call->deadline_ns) {
        fail_deadline(call, now_ns);
    }
    else if (now_ns >= call->retry_due_ns) {
        call->retry_due_ns = RP_KERNEL_NEVER_NS;
        offer_retry(call, now_ns);
    }
    else if (now_ns >= call->first_byte_due_ns) {
        try_fresh_connection(call, now_ns);
    }
    else if (now_ns >= call->hedge_due_ns) {
        try_hedge(call, now_ns);
    }
    remove_or_reschedule(call);
}

/* Answers a call whose target has not answered by the end of a stop. An answer
 * that is being passed on goes on. */
static void
fail_stopping(struct dispatch_call *call, int64_t now_ns)
{
    if (call->state == CALL_REPLIED) {
        return;
    }
    cancel_attempts(call, RP_ATTEMPT_CANCELLED, now_ns);
    fail_call(call, call->may_have_run ? 504 : 503, 1,
              "this entry VM is stopping", now_ns);
}

/* Ends a call whose caller disconnected, whose body is incomplete or too
 * large, or for which a stop leaves no time. */
void
dispatch_call_abort(struct dispatch_call *call, enum rp_abort_reason reason,
                    int64_t now_ns)
{
    if (reason == RP_ABORT_BODY_TOO_LARGE && call->state != CALL_REPLIED) {
        fail_call(call, 413, 0, "the body is over the limit of the service",
                  now_ns);
    }
    else if (reason == RP_ABORT_STOPPING) {
        fail_stopping(call, now_ns);
    }
    else {
        rp_counter_add(&call->dispatch->context->counters,
                       RP_COUNTER_CALLS_CALLER_GONE, 1);
        add_event(call, RP_EVENT_CALLER_GONE, "the caller has left", now_ns);
        if (call->state != CALL_REPLIED) {
            record_result(call, RP_RESULT_CALLER_GONE, now_ns);
        }
        cancel_attempts(call, RP_ATTEMPT_CANCELLED, now_ns);
        call->finished = true;
    }
    remove_or_reschedule(call);
}

/* Frees a call that has been removed from the table of calls. */
void
dispatch_call_free(struct dispatch_call *call)
{
    rp_due_queue_remove(&call->dispatch->due, &call->due);
    dispatch_ticket_end(call, dispatch_call_not_run(call));
    for (uint32_t i = 0; i < call->attempt_count; i++) {
        rp_answer_unref(call->attempts[i].answer);
        rp_stream_unref(call->attempts[i].body);
    }
    rp_call_unref(call->call);
    g_free(call->route.name);
    g_free(call);
}
