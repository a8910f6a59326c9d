#include "stop_plan.h"

#include <glib.h>

/* Added to the time to live of address answers: for an answer to reach the
 * caller and its last request to arrive. */
#define ADDRESS_MARGIN_NS INT64_C(1000000000)
/* Time between the end of the process and the end of the stop timeout, when a
 * supervisor kills it. At most a tenth of the timeout. */
#define KILL_MARGIN_NS INT64_C(500000000)
/* Time before the end of the process at which calls without an answer are
 * answered as unknown: enough for these answers, and for those that wait
 * behind them on their connections, to reach the callers. */
#define ANSWER_MARGIN_NS INT64_C(400000000)
#define ANSWER_MARGIN_DIVISOR 15 /* of a short timeout */
/* Requests that arrive this early have nearly all of the timeout left. */
#define ANY_REQUEST_NS INT64_C(3000000000)

/* Plans a stop that begins at now_ns. New connections are accepted until
 * callers no longer hold an address answer with this VM, but for half of the
 * timeout at most: the other half is for requests in progress. */
void
rp_stop_plan_init(struct rp_stop_plan *plan, int64_t address_ttl_ns,
                  int64_t timeout_ns, int64_t now_ns)
{
    int64_t accept_ns =
        MIN(address_ttl_ns + ADDRESS_MARGIN_NS, timeout_ns / 2);
    plan->accept_until_ns = now_ns + accept_ns;
    plan->any_request_until_ns = now_ns + MIN(accept_ns, ANY_REQUEST_NS);
    plan->end_ns = now_ns + timeout_ns - MIN(KILL_MARGIN_NS, timeout_ns / 10);
    plan->answer_ns = plan->end_ns - MIN(ANSWER_MARGIN_NS,
                                         timeout_ns / ANSWER_MARGIN_DIVISOR);
}

/* Returns whether a request with this deadline is accepted. One that may last
 * until calls are answered as unknown is better served by another VM. */
bool
rp_stop_plan_accepts(const struct rp_stop_plan *plan, int64_t deadline_ns,
                     int64_t now_ns)
{
    if (now_ns < plan->any_request_until_ns) {
        return true;
    }
    return now_ns < plan->accept_until_ns && deadline_ns <= plan->answer_ns;
}
