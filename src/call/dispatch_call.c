#include "dispatch_call.h"

#include <string.h>

#include "dispatch_hint.h"
#include "invariant.h"
#include "retry.h"
#include "snapshot.h"

/* Answers up to this size are passed on only when they are whole, so that a
 * truncated one can be tried elsewhere. It is what one turn reads. */
#define HOLD_BYTES RP_STREAM_READ_BYTES

/* Attempts beside silent connections: a tenth of the calls of a service. */
#define FRESH_TRIAL_SHARE 0.1

static void
withdraw_hedge(struct dispatch_call *call, int64_t now_ns)
{
    if (call->hedge_waits) {
        call->hedge_waits = false;
        rp_balancer_withdraw(call->service->balancer, call->call->id, now_ns);
    }
}

static void
cancel_all(struct dispatch_call *call, enum rp_attempt_outcome outcome,
           int64_t now_ns)
{
    for (uint32_t i = 0; i < call->attempt_count; i++) {
        struct dispatch_attempt *attempt = &call->attempts[i];
        if (attempt->state != ATTEMPT_OVER) {
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
note_result(const struct dispatch_call *call, enum rp_call_result result,
            int64_t now_ns)
{
    rp_histograms_record(call->dispatch->context->histograms,
                         call->service->name,
                         call->repeatable ? "repeatable" : "once", result,
                         now_ns - call->call->received_ns);
}

/* Ends a call without a target's answer. */
static void
fail(struct dispatch_call *call, uint32_t status, int64_t retry_after_ms,
     const char *reason, int64_t now_ns)
{
    cancel_all(call, RP_ATTEMPT_CANCELLED, now_ns);
    bool not_run = !call->may_have_run;
    rp_invariant_check(call->dispatch->context, RP_INVARIANT_NOT_RUN_IS_TRUE,
                       !not_run || dispatch_call_not_run(call), now_ns,
                       "a call with a sent attempt is answered as not run");
    add_event(call, not_run ? RP_EVENT_CALL_REFUSED : RP_EVENT_CALL_FAILED,
              reason, now_ns);
    note_result(call, not_run ? RP_RESULT_NOT_RUN : RP_RESULT_UNKNOWN, now_ns);
    dispatch_refuse(call->dispatch, call->call->id,
                    not_run ? RP_OUTCOME_NOT_RUN : RP_OUTCOME_UNKNOWN, status,
                    not_run ? retry_after_ms : 0, reason);
    call->over = true;
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
    };
    uint32_t status = call->may_have_run ? 502 : 503;
    fail(call, status, MAX(verdict->retry_after_ns / 1000000, 1),
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
        cancel_all(call, RP_ATTEMPT_CANCELLED, now_ns);
        call->over = true;
        return;
    }
    cancel_all(call, RP_ATTEMPT_TIMEOUT, now_ns);
    fail(call, call->may_have_run ? 504 : 503, 1, "the deadline has passed",
         now_ns);
}

static void
send_start(struct dispatch_call *call, struct dispatch_attempt *attempt,
           bool fresh, int64_t now_ns)
{
    if (!dispatch_attempt_send(call, attempt, fresh, now_ns)) {
        fail(call, 503, 100, "this entry VM is overloaded", now_ns);
    }
}

static void
fill_offer(const struct dispatch_call *call, uint32_t flags,
           struct rp_balancer_call *offer)
{
    *offer = (struct rp_balancer_call){
        .call_id = call->call->id,
        .kind = call->kind,
        .deadline_ns = call->deadline_ns,
        .aim_ns = (int64_t)call->route.aim_ms * 1000000,
        .rank = call->route.rank,
        .flags = call->flags | flags,
    };
    offer->remote_penalty_ns = rp_answer_size_remote_penalty_ns(
        &dispatch_route_state(call->dispatch, call->route.name)->answer_size,
        offer->aim_ns);
    uint32_t first = call->attempt_count > RP_BALANCER_MAX_AVOIDED
                         ? call->attempt_count - RP_BALANCER_MAX_AVOIDED
                         : 0;
    for (uint32_t i = first; i < call->attempt_count; i++) {
        offer->avoided[offer->avoided_count++] = call->attempts[i].target;
    }
}

static void
start_first(struct dispatch_call *call, struct dispatch_attempt *attempt,
            int64_t now_ns)
{
    if (!call->repeatable) {
        return;
    }
    if (call->route.aim_ms == 0) {
        /* Where an aim is known, a late call is tried at another target. */
        call->first_byte_at_ns = now_ns + call->first_byte_limit_ns;
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
        call->hedge_at_ns = now_ns + delay_ns;
    }
}

/* Says where an attempt goes and what that was decided by. */
static void
report_sent(const struct dispatch_call *call,
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
        event, "waited %.1f ms, %.1f ms left, slowness %.2f, load %.1f, %s",
        (double)(now_ns - call->call->received_ns) / 1e6,
        (double)(call->deadline_ns - now_ns) / 1e6, verdict->slowness,
        verdict->load, age);
}

static void
take_verdict(struct dispatch_call *call, uint32_t flags,
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
    attempt->crowded = verdict->near_capacity;
    report_sent(call, attempt, verdict, now_ns);
    dispatch_drain_record_sent(
        call->dispatch, call->service,
        rp_balancer_target_address(call->service->balancer, attempt->target),
        now_ns);
    start_first(call, attempt, now_ns);
    send_start(call, attempt, false, now_ns);
}

static void
settle(struct dispatch_call *call)
{
    if (call->over) {
        dispatch_remove_call(call);
        return;
    }
    int64_t at_ns = MIN(call->deadline_ns, call->retry_at_ns);
    at_ns = MIN(at_ns, call->hedge_at_ns);
    at_ns = MIN(at_ns, call->first_byte_at_ns);
    if (call->due.position == 0 || call->due.at_ns != at_ns) {
        rp_due_queue_set(&call->dispatch->due, &call->due, at_ns);
    }
}

/* Offers a new call to its balancer. */
void
dispatch_call_begin(struct dispatch_call *call, int64_t now_ns)
{
    call->service->fresh_trials =
        MIN(call->service->fresh_trials + FRESH_TRIAL_SHARE,
            DISPATCH_FRESH_TRIAL_BURST);
    if (dispatch_call_passed_on(call)) {
        struct dispatch_attempt *attempt =
            dispatch_attempt_add(call, RP_BALANCER_NO_TARGET, 0, now_ns);
        send_start(call, attempt, true, now_ns);
        settle(call);
        return;
    }
    struct rp_balancer_call offer;
    struct rp_balancer_verdict verdict;
    fill_offer(call, 0, &offer);
    rp_balancer_offer(call->service->balancer, &offer, now_ns, &verdict);
    take_verdict(call, 0, &verdict, now_ns);
    settle(call);
}

static void
send_hedge(struct dispatch_call *call,
           const struct rp_balancer_verdict *verdict, int64_t now_ns)
{
    call->attempts_left--;
    rp_counter_add(&call->dispatch->context->counters, RP_COUNTER_HEDGES, 1);
    take_verdict(call, RP_CALL_HEDGE, verdict, now_ns);
}

/* Takes the verdict on a call that was queued at its balancer. */
void
dispatch_call_verdict(struct dispatch_call *call,
                      const struct rp_balancer_verdict *verdict,
                      int64_t now_ns)
{
    if (!call->hedge_waits) {
        take_verdict(call, call->offer_flags, verdict, now_ns);
    }
    else if (verdict->action == RP_BALANCER_SEND) {
        call->hedge_waits = false;
        send_hedge(call, verdict, now_ns);
    }
    else {
        call->hedge_waits = false;
    }
    settle(call);
}

static bool
has_untried(const struct rp_balancer *balancer,
            const struct rp_balancer_call *offer)
{
    uint32_t count = rp_balancer_target_count(balancer);
    for (uint32_t target = 0; target < count; target++) {
        bool tried = false;
        for (uint32_t i = 0; i < offer->avoided_count; i++) {
            tried |= offer->avoided[i] == target;
        }
        if (!tried && rp_balancer_target_usable(balancer, target)) {
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
    if (!has_untried(call->service->balancer, &offer)) {
        /* Every target was tried; one of them is better than none. */
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
    take_verdict(call, RP_CALL_RETRY, &verdict, now_ns);
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
        fail(call, call->may_have_run ? 502 : 503, 100,
             call->may_have_run ? "the target's answer was broken off"
                                : "no target took the request",
             now_ns);
        return;
    }
    if (request != NULL) {
        /* At once, so that the body stays whole while the retry waits. */
        rp_stream_rewind(call->call->request);
    }
    int64_t delay_ns = rp_retry_delay_ns(
        call->retries, not_run, g_rand_int(call->dispatch->context->random));
    if (delay_ns == 0) {
        offer_retry(call, now_ns);
        return;
    }
    call->state = CALL_PAUSING;
    call->retry_at_ns = now_ns + delay_ns;
}

static void
report_answer(struct dispatch_call *call,
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

/* Passes an attempt's answer on and gives up all others. */
static void
win(struct dispatch_call *call, uint32_t index, int64_t now_ns)
{
    struct dispatch_attempt *winner = &call->attempts[index];
    for (uint32_t i = 0; i < call->attempt_count; i++) {
        struct dispatch_attempt *other = &call->attempts[i];
        if (i == index || other->state == ATTEMPT_OVER) {
            continue;
        }
        bool silent = winner->partner == i + 1 && !other->head_seen;
        if (silent) {
            winner->beside_silent = true;
            winner->owns_slot |= other->owns_slot;
            other->owns_slot = false;
            rp_counter_add(&call->dispatch->context->counters,
                           RP_COUNTER_SILENT_CONNECTIONS, 1);
            add_event(call, RP_EVENT_CONNECTION_SILENT,
                      "a fresh connection answered first", now_ns);
        }
        else if (other->partner == index + 1) {
            winner->owns_slot |= other->owns_slot;
            other->owns_slot = false;
        }
        dispatch_attempt_cancel(call, other, silent);
        dispatch_attempt_report(call, other, RP_ATTEMPT_CANCELLED, 0, now_ns);
    }
    withdraw_hedge(call, now_ns);
    call->winner = index;
    call->state = CALL_REPLIED;
    report_answer(call, winner, now_ns);
    note_result(call,
                winner->answer->status >= 500 ? RP_RESULT_TARGET_ERROR
                                              : RP_RESULT_ANSWERED,
                now_ns);
    call->hedge_at_ns = RP_KERNEL_NEVER_NS;
    call->first_byte_at_ns = RP_KERNEL_NEVER_NS;
    call->retry_at_ns = RP_KERNEL_NEVER_NS;
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

/* Returns whether the target of an attempt may get a further one. It may have
 * begun to drain since the first, and then takes no new request. */
static bool
may_ask_again(const struct dispatch_call *call,
              const struct dispatch_attempt *attempt)
{
    return dispatch_call_passed_on(call) ||
           rp_balancer_target_usable(call->service->balancer, attempt->target);
}

/* A reused connection that closes without an answer byte was most likely
 * closed by the target while it was idle. The same target is tried once over
 * a fresh connection, and this is not held against it. */
static bool
try_stale(struct dispatch_call *call, uint32_t index,
          const struct rp_attempt_done *done, int64_t now_ns)
{
    struct dispatch_attempt *stale = &call->attempts[index];
    struct rp_stream *request = call->call->request;
    if (!done->reused || done->first_byte_ns != 0 ||
        done->end != RP_END_BROKEN || !call->repeatable || call->tried_stale ||
        call->attempts_left == 0 || !may_ask_again(call, stale) ||
        call->attempt_count == RP_DISPATCH_MAX_ATTEMPTS ||
        (request != NULL && !rp_stream_can_rewind(request)) ||
        !rp_balancer_consume_retry(call->service->balancer, now_ns))
    {
        return false;
    }
    call->tried_stale = true;
    call->attempts_left--;
    add_event(call, RP_EVENT_CALL_RETRIED,
              "the reused connection had been closed", now_ns);
    call->may_have_run = true;
    stale->state = ATTEMPT_OVER;
    struct dispatch_attempt *attempt =
        dispatch_attempt_add(call, stale->target, RP_CALL_RETRY, now_ns);
    attempt->owns_slot = stale->owns_slot;
    stale->owns_slot = false;
    send_start(call, attempt, true, now_ns);
    return true;
}

static uint32_t
find_attempt(const struct dispatch_call *call, uint32_t generation)
{
    uint32_t index = generation - 1;
    if (index >= call->attempt_count ||
        call->attempts[index].state == ATTEMPT_OVER)
    {
        return RP_DISPATCH_MAX_ATTEMPTS;
    }
    return index;
}

static bool
is_small(const struct rp_answer *answer)
{
    return answer->body_bytes >= 0 && answer->body_bytes <= HOLD_BYTES;
}

static void
attempt_failed(struct dispatch_call *call, uint32_t index,
               enum rp_attempt_outcome outcome, bool not_run, int64_t now_ns)
{
    struct dispatch_attempt *attempt = &call->attempts[index];
    attempt->state = ATTEMPT_OVER;
    attempt->not_run = not_run;
    if (not_run) {
        dispatch_call_note_not_run(call);
    }
    /* An issuer that cannot be reached may have run the request before. */
    call->may_have_run |= !not_run || dispatch_call_passed_on(call);
    bool others = false;
    for (uint32_t i = 0; i < call->attempt_count; i++) {
        struct dispatch_attempt *other = &call->attempts[i];
        if (other->state == ATTEMPT_OVER) {
            continue;
        }
        others = true;
        if (other->partner == index + 1 || attempt->partner == i + 1) {
            other->owns_slot |= attempt->owns_slot;
            attempt->owns_slot = false;
        }
    }
    dispatch_attempt_report(call, attempt, outcome, 0, now_ns);
    if (!others && call->hedge_waits) {
        /* The target that is asked for the hedge gets the retry. */
        call->hedge_waits = false;
        call->state = CALL_QUEUED;
        call->offer_flags = RP_CALL_RETRY;
        call->attempts_left--;
        call->retries++;
        return;
    }
    if (!others) {
        call->hedge_at_ns = RP_KERNEL_NEVER_NS;
        call->first_byte_at_ns = RP_KERNEL_NEVER_NS;
        retry_or_fail(call, not_run, now_ns);
    }
}

/* A long answer ends long after its load report was true, so that the report
 * counts from its head on. */
static void
take_load(struct dispatch_call *call, const struct dispatch_attempt *attempt,
          int64_t now_ns)
{
    struct rp_balancer *balancer = call->service->balancer;
    const char *address =
        rp_balancer_target_address(balancer, attempt->target);
    const struct rp_load_report *load = &attempt->answer->load;
    /* An answer that waited here while the process was paused may be as old
     * as the request. */
    int64_t seen_ns = attempt->sent_ns < call->dispatch->woken_ns
                          ? attempt->sent_ns
                          : now_ns;
    if (!is_small(attempt->answer)) {
        rp_balancer_record_load(balancer, address, load, now_ns - seen_ns,
                                now_ns);
    }
    dispatch_hint_tell(call->dispatch, call->service, address, load, seen_ns,
                       now_ns);
}

/* Takes the head of an attempt's answer; one of an attempt that was given
 * up is dropped. */
void
dispatch_call_head(struct dispatch_call *call,
                   const struct rp_attempt_head *head, int64_t now_ns)
{
    uint32_t index = find_attempt(call, head->generation);
    if (index == RP_DISPATCH_MAX_ATTEMPTS || call->state == CALL_REPLIED) {
        return;
    }
    struct dispatch_attempt *attempt = &call->attempts[index];
    attempt->head_seen = true;
    attempt->answer = rp_answer_ref(head->answer);
    attempt->head_ns = now_ns;
    if (head->answer->has_load && !dispatch_call_passed_on(call)) {
        take_load(call, attempt, now_ns);
    }
    if (now_ns >= call->deadline_ns) {
        fail_deadline(call, now_ns);
    }
    else if (is_small(head->answer)) {
        attempt->state = ATTEMPT_HELD;
        call->first_byte_at_ns = RP_KERNEL_NEVER_NS;
    }
    else if (head->answer->refused) {
        dispatch_attempt_cancel(call, attempt, false);
        attempt_failed(call, index, RP_ATTEMPT_NOT_RUN, true, now_ns);
    }
    else {
        win(call, index, now_ns);
    }
    settle(call);
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
        if (attempt->beside_silent) {
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
done_before_reply(struct dispatch_call *call, uint32_t index,
                  const struct rp_attempt_done *done, int64_t now_ns)
{
    struct dispatch_attempt *attempt = &call->attempts[index];
    bool refused = attempt->answer != NULL && attempt->answer->refused;
    if (done->end == RP_END_COMPLETE && attempt->answer != NULL &&
        (!refused || dispatch_call_passed_on(call)))
    {
        dispatch_ticket_done(call, attempt->answer, attempt->body);
        win(call, index, now_ns);
        dispatch_attempt_report(call, attempt, outcome_of(attempt, done),
                                done->first_byte_ns, now_ns);
        attempt->state = ATTEMPT_OVER;
        call->over = true;
        return;
    }
    if (done->end == RP_END_REQUEST_BROKEN) {
        attempt->state = ATTEMPT_OVER;
        call->may_have_run = true;
        dispatch_attempt_report(call, attempt, RP_ATTEMPT_CANCELLED, 0,
                                now_ns);
        bool large = rp_stream_over_limit(call->call->request);
        fail(call, large ? 413 : 400, 0,
             large ? "the body is over the limit of the service"
                   : "the request body was broken off",
             now_ns);
        return;
    }
    if (try_stale(call, index, done, now_ns)) {
        return;
    }
    attempt_failed(call, index,
                   refused ? RP_ATTEMPT_NOT_RUN : outcome_of(attempt, done),
                   refused || done->end == RP_END_NOT_SENT, now_ns);
}

static void
note_answer_size(struct dispatch_call *call,
                 const struct dispatch_attempt *attempt,
                 const struct rp_attempt_done *done)
{
    if (done->end == RP_END_COMPLETE && attempt->answer != NULL &&
        attempt->answer->status < 300)
    {
        struct dispatch_route_state *route =
            dispatch_route_state(call->dispatch, call->route.name);
        rp_answer_size_record(&route->answer_size, done->body_bytes);
    }
}

/* Takes the end of an attempt; that of one that was given up is dropped. */
void
dispatch_call_done(struct dispatch_call *call,
                   const struct rp_attempt_done *done, int64_t now_ns)
{
    uint32_t index = find_attempt(call, done->generation);
    if (index == RP_DISPATCH_MAX_ATTEMPTS) {
        return;
    }
    struct dispatch_attempt *attempt = &call->attempts[index];
    note_answer_size(call, attempt, done);
    if (call->state != CALL_REPLIED) {
        if (now_ns >= call->deadline_ns) {
            fail_deadline(call, now_ns);
        }
        else {
            done_before_reply(call, index, done, now_ns);
        }
        settle(call);
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
                       now_ns, "a broken answer looks whole");
    dispatch_attempt_report(call, attempt, outcome_of(attempt, done),
                            done->first_byte_ns, now_ns);
    if (done->end == RP_END_COMPLETE) {
        dispatch_ticket_done(call, attempt->answer, attempt->body);
    }
    attempt->state = ATTEMPT_OVER;
    call->over = true;
    settle(call);
}

static uint32_t
find_silent(const struct dispatch_call *call)
{
    uint32_t found = RP_DISPATCH_MAX_ATTEMPTS;
    for (uint32_t i = 0; i < call->attempt_count; i++) {
        if (call->attempts[i].state == ATTEMPT_RUNNING &&
            !call->attempts[i].head_seen) {
            found = i;
        }
    }
    return found;
}

static void
try_hedge(struct dispatch_call *call, int64_t now_ns)
{
    call->hedge_at_ns = RP_KERNEL_NEVER_NS;
    if (call->state != CALL_RUNNING || call->hedge_waits ||
        call->attempts_left == 0 ||
        find_silent(call) == RP_DISPATCH_MAX_ATTEMPTS ||
        call->attempt_count == RP_DISPATCH_MAX_ATTEMPTS)
    {
        return;
    }
    struct rp_balancer_call offer;
    struct rp_balancer_verdict verdict;
    fill_offer(call, RP_CALL_HEDGE, &offer);
    rp_balancer_offer(call->service->balancer, &offer, now_ns, &verdict);
    if (verdict.action == RP_BALANCER_WAIT) {
        call->hedge_waits = true;
    }
    else if (verdict.action == RP_BALANCER_SEND) {
        send_hedge(call, &verdict, now_ns);
    }
}

/* No byte came in time: the connection may be silent, so that the same
 * target is tried over a fresh one, or another target where that one takes no
 * new request. Without a body the late attempt goes on beside it, and the
 * first answer counts. */
static void
try_fresh(struct dispatch_call *call, int64_t now_ns)
{
    call->first_byte_at_ns = RP_KERNEL_NEVER_NS;
    uint32_t index = find_silent(call);
    struct rp_stream *request = call->call->request;
    if (index != RP_DISPATCH_MAX_ATTEMPTS &&
        !may_ask_again(call, &call->attempts[index]))
    {
        if (request == NULL) {
            try_hedge(call, now_ns);
        }
        return;
    }
    if (index == RP_DISPATCH_MAX_ATTEMPTS || call->attempts_left == 0 ||
        call->attempt_count == RP_DISPATCH_MAX_ATTEMPTS ||
        call->service->fresh_trials < 1.0 ||
        (request != NULL && (rp_stream_state(request) != RP_STREAM_ENDED ||
                             !rp_stream_can_rewind(request))) ||
        !rp_balancer_consume_retry(call->service->balancer, now_ns))
    {
        return;
    }
    call->service->fresh_trials -= 1.0;
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
    attempt->partner = index + 1;
    attempt->owns_slot = owns_slot;
    attempt->beside_silent = request != NULL;
    send_start(call, attempt, true, now_ns);
}

/* Does what is due: the deadline, a retry, a fresh connection or a hedge. */
void
dispatch_call_due(struct dispatch_call *call, int64_t now_ns)
{
    if (now_ns >= call->deadline_ns) {
        fail_deadline(call, now_ns);
    }
    else if (now_ns >= call->retry_at_ns) {
        call->retry_at_ns = RP_KERNEL_NEVER_NS;
        offer_retry(call, now_ns);
    }
    else if (now_ns >= call->first_byte_at_ns) {
        try_fresh(call, now_ns);
    }
    else if (now_ns >= call->hedge_at_ns) {
        try_hedge(call, now_ns);
    }
    settle(call);
}

/* Gives up a call that its caller has left, or whose body is too large. */
void
dispatch_call_gone(struct dispatch_call *call, enum rp_gone_reason reason,
                   int64_t now_ns)
{
    if (reason == RP_GONE_TOO_LARGE && call->state != CALL_REPLIED) {
        fail(call, 413, 0, "the body is over the limit of the service",
             now_ns);
    }
    else {
        rp_counter_add(&call->dispatch->context->counters,
                       RP_COUNTER_CALLS_CALLER_GONE, 1);
        add_event(call, RP_EVENT_CALLER_GONE, "the caller has left", now_ns);
        if (call->state != CALL_REPLIED) {
            note_result(call, RP_RESULT_CALLER_GONE, now_ns);
        }
        cancel_all(call, RP_ATTEMPT_CANCELLED, now_ns);
        call->over = true;
    }
    settle(call);
}

/* Frees a call that is no longer in the table of calls. */
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
