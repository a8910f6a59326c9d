#include "dispatch_call.h"

#include <string.h>

#include <xxhash.h>

#include "gossip.h"
#include "snapshot.h"

/* Retry delay for a repeat of a request that is in progress. */
#define RUNNING_RETRY_MS 200
#define TABLE_FULL_RETRY_MS 5000

static uint64_t
request_digest(const struct rp_call *call)
{
    uint64_t digest = XXH3_64bits(call->target, strlen(call->target));
    digest = XXH3_64bits_withSeed(call->method, strlen(call->method), digest);
    return XXH3_64bits_withSeed(&call->body_bytes, sizeof(call->body_bytes),
                                digest);
}

static void
replay(struct rp_dispatch *dispatch, const struct rp_call *call,
       const struct rp_ticket_answer *stored)
{
    struct rp_answer *answer = rp_answer_new(stored->status);
    answer->body_bytes = stored->body_bytes;
    if (stored->head_bytes > 0) {
        answer->fields.text =
            g_string_new_len(stored->head, (gssize)stored->head_bytes);
        answer->fields.count = stored->head_count;
    }
    struct rp_stream *body = rp_stream_new();
    rp_stream_write(body, stored->body, stored->body_bytes);
    rp_stream_end(body);
    struct rp_call_reply reply = {
        .call_id = call->id,
        .answer = answer,
        .body = body,
    };
    rp_counter_add(&dispatch->context->counters, RP_COUNTER_TICKET_REPLAYS, 1);
    struct rp_task *entry =
        rp_kernel_find_task(rp_task_kernel(dispatch->task), RP_TASK_ENTRY);
    if (!rp_task_send_owned(dispatch->task, entry, RP_MSG_CALL_REPLY, &reply,
                            sizeof(reply), rp_call_reply_release))
    {
        rp_call_reply_release(&reply);
    }
}

static bool
claim(struct rp_dispatch *dispatch, const struct rp_call *call,
      const struct rp_ticket *ticket, struct dispatch_ticket *result,
      int64_t now_ns)
{
    struct rp_ticket_claim claimed;
    rp_ticket_table_claim(dispatch->tickets, ticket, request_digest(call),
                          now_ns, &claimed);
    switch (claimed.verdict) {
    case RP_TICKET_RUN:
        result->entry = claimed.entry;
        return true;
    case RP_TICKET_REPLAY:
        replay(dispatch, call, &claimed.answer);
        return false;
    case RP_TICKET_RUNNING:
        dispatch_refuse(dispatch, call->id, RP_OUTCOME_UNKNOWN, 503,
                        RUNNING_RETRY_MS,
                        "the request with this ticket is in progress");
        return false;
    case RP_TICKET_NOT_RUN:
        dispatch_refuse(dispatch, call->id, RP_OUTCOME_NOT_RUN, 503, 1,
                        "the request with this ticket was refused; use a new "
                        "one");
        return false;
    case RP_TICKET_FULL:
        dispatch_refuse(dispatch, call->id, RP_OUTCOME_NOT_RUN, 503,
                        TABLE_FULL_RETRY_MS, "the ticket table is full");
        return false;
    case RP_TICKET_MISMATCH:
        dispatch_refuse(dispatch, call->id, RP_OUTCOME_NOT_RUN, 409, 0,
                        "the ticket was used for another request");
        return false;
    default:
        dispatch_refuse(dispatch, call->id, RP_OUTCOME_UNKNOWN, 502, 0,
                        "the ticket has expired; the request may have run");
        return false;
    }
}

static bool
pass_on(struct rp_dispatch *dispatch, const struct rp_call *call,
        const struct rp_ticket *ticket, struct dispatch_ticket *result)
{
    const struct rp_member *member =
        dispatch->members == NULL
            ? NULL
            : rp_member_view_find(dispatch->members, ticket->id);
    if (call->passed_on || member == NULL ||
        member->info.incarnation != ticket->incarnation ||
        member->info.state == RP_MEMBER_DEAD)
    {
        dispatch_refuse(dispatch, call->id, RP_OUTCOME_UNKNOWN, 502, 0,
                        "the entry VM that issued the ticket is gone; the "
                        "request may have run there");
        return false;
    }
    g_strlcpy(result->pass_on, member->info.address, sizeof(result->pass_on));
    return true;
}

/* Checks the ticket of a call that may not be repeated. Returns true when the
 * call may proceed: with an entry in the ticket table of this VM, or to the
 * entry VM that issued the ticket. Otherwise the call has been answered. */
bool
dispatch_ticket_admit(struct rp_dispatch *dispatch, const struct rp_call *call,
                      struct dispatch_ticket *result, int64_t now_ns)
{
    struct rp_ticket ticket;
    if (dispatch->tickets == NULL ||
        !rp_ticket_parse(&dispatch->config.ticket_key, call->ticket, &ticket,
                         NULL))
    {
        dispatch_refuse(dispatch, call->id, RP_OUTCOME_NOT_RUN, 400, 0,
                        "the ticket is not one of this fleet; ask for "
                        "addresses again");
        return false;
    }
    switch (rp_ticket_table_route(dispatch->tickets, &ticket)) {
    case RP_TICKET_ROUTE_LOCAL:
        return claim(dispatch, call, &ticket, result, now_ns);
    case RP_TICKET_ROUTE_REMOTE:
        return pass_on(dispatch, call, &ticket, result);
    default:
        dispatch_refuse(dispatch, call->id, RP_OUTCOME_UNKNOWN, 502, 0,
                        "the ticket was issued before this entry VM "
                        "restarted; the request may have run");
        return false;
    }
}

/* Refuses a call that has not been dispatched. The outcome is not-run unless
 * the ticket may have been used already: the local table decides about
 * tickets of this VM, and a request with the ticket of another VM may have
 * run there. */
void
dispatch_ticket_refuse(struct rp_dispatch *dispatch,
                       const struct rp_call *call, uint32_t status,
                       int64_t retry_after_ms, const char *reason,
                       int64_t now_ns)
{
    struct rp_ticket ticket;
    struct dispatch_ticket claimed = {0};
    bool with_ticket = call->ticket != NULL && dispatch->tickets != NULL &&
                       rp_ticket_parse(&dispatch->config.ticket_key,
                                       call->ticket, &ticket, NULL);
    if (with_ticket && rp_ticket_table_route(dispatch->tickets, &ticket) !=
                           RP_TICKET_ROUTE_LOCAL)
    {
        dispatch_refuse(dispatch, call->id, RP_OUTCOME_UNKNOWN, status, 0,
                        reason);
        return;
    }
    if (with_ticket) {
        if (!claim(dispatch, call, &ticket, &claimed, now_ns)) {
            return;
        }
        rp_ticket_finish_not_run(dispatch->tickets, claimed.entry);
    }
    dispatch_refuse(dispatch, call->id, RP_OUTCOME_NOT_RUN, status,
                    retry_after_ms, reason);
}

/* Stores the answer of a call, whose body stream is complete, for repeats with
 * the same ticket. */
void
dispatch_ticket_done(struct dispatch_call *call, const struct rp_answer *head,
                     const struct rp_stream *body)
{
    if (call->ticket.entry == NULL) {
        return;
    }
    uint8_t bytes[RP_TICKET_MAX_BODY_BYTES];
    uint64_t count = rp_stream_written(body);
    struct rp_ticket_answer answer = {
        .status = head->status,
        .head_count = head->fields.count,
        .body = bytes,
        .body_bytes = (uint32_t)MIN(count, RP_TICKET_MAX_BODY_BYTES + 1),
    };
    if (head->fields.text != NULL) {
        answer.head = head->fields.text->str;
        answer.head_bytes = (uint32_t)head->fields.text->len;
    }
    bool bodyless = call->call->method_flag == RP_METHOD_HEAD;
    if (bodyless || answer.body_bytes > RP_TICKET_MAX_BODY_BYTES ||
        !rp_stream_peek(body, bytes, answer.body_bytes))
    {
        rp_ticket_finish_unknown(call->dispatch->tickets, call->ticket.entry);
    }
    else {
        rp_ticket_finish_done(call->dispatch->tickets, call->ticket.entry,
                              &answer);
    }
    call->ticket.entry = NULL;
}

/* Ends the ticket claim of a call that has no complete answer. */
void
dispatch_ticket_end(struct dispatch_call *call, bool not_run)
{
    if (call->ticket.entry == NULL) {
        return;
    }
    struct rp_ticket_table *tickets = call->dispatch->tickets;
    if (not_run) {
        rp_ticket_finish_not_run(tickets, call->ticket.entry);
    }
    else {
        rp_ticket_finish_unknown(tickets, call->ticket.entry);
    }
    call->ticket.entry = NULL;
}

/* Sends the peers this VM's load and the ticket prefix that their address
 * answers contain for this VM. */
void
dispatch_send_local_state(struct rp_dispatch *dispatch, uint32_t load_permille,
                          int64_t now_ns)
{
    struct rp_task *gossip =
        rp_kernel_find_task(rp_task_kernel(dispatch->task), "gossip");
    if (gossip == NULL) {
        return;
    }
    struct rp_local_state state = {
        .flags = RP_LOCAL_STATE_LOAD | RP_LOCAL_STATE_LOAN,
        .load_permille = load_permille,
        .loan_borrower = dispatch->loan_state.borrower,
        .loan_ppm = dispatch->loan_state.lent_ppm,
    };
    if (dispatch->tickets != NULL) {
        state.flags |= RP_LOCAL_STATE_TICKET;
        state.ticket_expires_ns = rp_ticket_table_prefix(
            dispatch->tickets, now_ns, state.ticket_prefix);
    }
    rp_task_send(dispatch->task, gossip, RP_MSG_LOCAL_STATE, &state,
                 sizeof(state));
}
