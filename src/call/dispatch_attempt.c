#include "dispatch_call.h"

#include "deadline.h"
#include "dispatch_hint.h"
#include "invariant.h"

/* Maximum age of a load report that is passed to the balancer at the end of an
 * answer. An older one could overwrite a later report, for example of
 * draining. */
#define MAX_LOAD_REPORT_AGE_NS INT64_C(100000000)

/* Reports the end of an attempt to the balancer, once. first_byte_ns is 0 when
 * no byte was received. */
void
dispatch_attempt_report(struct dispatch_call *call,
                        struct dispatch_attempt *attempt,
                        enum rp_attempt_outcome outcome, int64_t first_byte_ns,
                        int64_t now_ns)
{
    if (!attempt->owns_slot) {
        return;
    }
    attempt->owns_slot = false;
    struct rp_attempt_report result = {
        .target = attempt->target,
        .outcome = outcome,
        .flags = attempt->flags,
        .kind = call->kind,
        .route = call->route.hash,
        .sent_ns = attempt->sent_ns,
        .slowness = attempt->slowness,
        .near_capacity = attempt->near_capacity,
        .first_byte_ns = first_byte_ns,
    };
    if (attempt->answer != NULL && attempt->answer->has_load &&
        now_ns - attempt->head_ns <= MAX_LOAD_REPORT_AGE_NS)
    {
        result.has_load = true;
        result.load = attempt->answer->load;
    }
    rp_balancer_finish(call->service->balancer, &result, now_ns);
    dispatch_drain_record_ended(
        call->service,
        rp_balancer_target_address(call->service->balancer, attempt->target));
}

/* Cancels an attempt. silent: its connection received no byte in time, so that
 * upstream does not reuse connections of its age or older. */
void
dispatch_attempt_cancel(struct dispatch_call *call,
                        struct dispatch_attempt *attempt, bool silent)
{
    struct rp_attempt_cancel message = {
        .call_id = call->call->id,
        .generation = attempt->generation,
        .silent = silent,
    };
    struct rp_task *task = call->dispatch->task;
    rp_task_send(task,
                 rp_kernel_find_task(rp_task_kernel(task), RP_TASK_UPSTREAM),
                 RP_MSG_ATTEMPT_CANCEL, &message, sizeof(message));
    rp_stream_break(attempt->body);
    attempt->state = ATTEMPT_ENDED;
}

/* Returns whether certainly no attempt of a call ran. */
bool
dispatch_call_not_run(const struct dispatch_call *call)
{
    for (uint32_t i = 0; i < call->attempt_count; i++) {
        if (call->attempts[i].state != ATTEMPT_ENDED ||
            !call->attempts[i].not_run) {
            return false;
        }
    }
    return true;
}

/* Returns whether a call is forwarded to the entry VM that issued its
 * ticket. */
bool
dispatch_call_passed_on(const struct dispatch_call *call)
{
    return call->ticket.pass_on[0] != '\0';
}

/* Records in the ticket table that the attempt in progress did not run. */
void
dispatch_call_record_not_run(struct dispatch_call *call)
{
    if (call->ticket.entry != NULL) {
        rp_ticket_attempt_not_run(call->ticket.entry);
    }
}

/* Sends an attempt to the upstream task. fresh: over a new connection. Returns
 * false, with the attempt ended, when its mailbox is full. */
bool
dispatch_attempt_send(struct dispatch_call *call,
                      struct dispatch_attempt *attempt, bool fresh,
                      int64_t now_ns)
{
    struct rp_task *task = call->dispatch->task;
    struct rp_attempt_start start = {
        .call_id = call->call->id,
        .generation = attempt->generation,
        .flags = (fresh ? RP_ATTEMPT_FRESH : 0) |
                 (dispatch_call_passed_on(call) ? RP_ATTEMPT_PASS_ON : 0) |
                 (call->repeatable ? RP_ATTEMPT_REPEATABLE : 0),
        .call = rp_call_ref(call->call),
        .body = rp_stream_ref(attempt->body),
        .deadline_ns = call->deadline_ns,
        .number = call->attempt_count,
        .attempts_left = rp_deadline_split_retries(&call->attempts_left),
    };
    if (dispatch_call_passed_on(call)) {
        g_strlcpy(start.address, call->ticket.pass_on, sizeof(start.address));
    }
    else {
        const struct rp_balancer *balancer = call->service->balancer;
        g_strlcpy(start.address,
                  rp_balancer_target_address(balancer, attempt->target),
                  sizeof(start.address));
        g_strlcpy(start.instance,
                  rp_balancer_target_instance(balancer, attempt->target),
                  sizeof(start.instance));
        dispatch_hint_check_open(call->dispatch, call->service, start.address,
                                 now_ns);
    }
    struct rp_task *upstream =
        rp_kernel_find_task(rp_task_kernel(task), RP_TASK_UPSTREAM);
    if (!rp_task_send_owned(task, upstream, RP_MSG_ATTEMPT_START, &start,
                            sizeof(start), rp_attempt_start_release))
    {
        rp_attempt_start_release(&start);
        attempt->state = ATTEMPT_ENDED;
        attempt->not_run = true;
        dispatch_call_record_not_run(call);
        dispatch_attempt_report(call, attempt, RP_ATTEMPT_CANCELLED, 0,
                                now_ns);
        return false;
    }
    return true;
}

/* Adds an attempt. The call must have fewer than RP_DISPATCH_MAX_ATTEMPTS. */
struct dispatch_attempt *
dispatch_attempt_add(struct dispatch_call *call, uint32_t target,
                     uint32_t flags, int64_t now_ns)
{
    rp_invariant_check(call->dispatch->context, RP_INVARIANT_AT_MOST_ONCE,
                       call->repeatable || dispatch_call_not_run(call), now_ns,
                       "a request that may not be repeated is sent again");
    if (call->ticket.entry != NULL) {
        rp_invariant_check(call->dispatch->context, RP_INVARIANT_AT_MOST_ONCE,
                           rp_ticket_attempt_begin(call->ticket.entry), now_ns,
                           "a ticket is used for a second run");
    }
    if (call->call->request != NULL && call->attempt_count > 0) {
        rp_stream_rewind(call->call->request);
    }
    struct dispatch_attempt *attempt = &call->attempts[call->attempt_count++];
    attempt->state = ATTEMPT_RUNNING;
    attempt->generation = call->attempt_count;
    attempt->target = target;
    attempt->flags = call->flags | flags;
    attempt->sent_ns = now_ns;
    attempt->body = rp_stream_new();
    call->state = CALL_RUNNING;
    rp_counter_add(&call->dispatch->context->counters, RP_COUNTER_ATTEMPTS, 1);
    return attempt;
}
