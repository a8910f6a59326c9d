#include "return_time.h"

#include <glib.h>

#define MS INT64_C(1000000)
/* The refusal travels to the caller, the caller's new request and its answer
 * travel back: three times 8 ms, and some time for the calls' own handling. */
#define TRANSIT_NS (40 * MS)
/* A target that rejects calls although it has free slots may take the next
 * one. Callers are spread, so that they do not all return at once. */
#define MIN_ROOM_RETURN_NS (10 * MS)
#define MAX_ROOM_SPREAD_NS (40 * MS)
/* Bounds of the time that a queue needs. */
#define MIN_QUEUE_RETURN_NS (100 * MS)
#define MAX_QUEUE_RETURN_NS (5000 * MS)
/* Bounds of the calculation of budgets for new and returning callers. */
#define MIN_RETRY_RATIO 0.05
#define MIN_NEW_CALL_PART 0.2
/* Part of the return time by which callers are spread at least. */
#define MIN_SPREAD_DIVISOR 4

static int64_t
slack_ns(const struct rp_return_time *state)
{
    return state->goal_left_ns == RP_RETURN_TIME_NO_GOAL
               ? RP_RETURN_TIME_NO_GOAL
               : state->goal_left_ns - state->usual_ns - TRANSIT_NS;
}

/* Returns whether a caller that is refused now can still be served within its
 * latency goal when it returns soon. */
bool
rp_return_time_meets_goal(const struct rp_return_time *state)
{
    return state->goal_left_ns != RP_RETURN_TIME_NO_GOAL &&
           slack_ns(state) >= MIN_ROOM_RETURN_NS;
}

/* Returns the part of the retry budget that may be used for callers that have
 * not been refused yet, while targets with free slots reject a share of the
 * attempts. Such a caller has its own second attempt, which the budget would
 * only replace; one that returns has none. The latter are rejection_rate of
 * the calls, and the same share of them is rejected again. */
double
rp_return_time_new_call_part(double rejection_rate, double retry_ratio)
{
    double returning = rejection_rate * rejection_rate;
    return CLAMP(1 - returning / MAX(retry_ratio, MIN_RETRY_RATIO),
                 MIN_NEW_CALL_PART, 1);
}

/* Returns the delay after which a refused caller should return. random is from
 * 0 to 1.
 *
 * While targets with free slots reject calls, waiting does not raise the
 * chance of the next attempt, so that the caller returns within tens of
 * milliseconds. When the targets are full it returns after the time that the
 * queue needs; if that is before its latency goal, the spread ends there too.
 * A call that misses its goal anyway leaves the first tenth of a second to
 * those that do not. */
int64_t
rp_return_time_ns(const struct rp_return_time *state, double random)
{
    int64_t slack = slack_ns(state);
    if (state->has_room && rp_return_time_meets_goal(state)) {
        int64_t spread = MIN(slack - MIN_ROOM_RETURN_NS, MAX_ROOM_SPREAD_NS);
        return MIN_ROOM_RETURN_NS + (int64_t)(random * (double)spread);
    }
    int64_t base =
        CLAMP(state->queue_ns, MIN_QUEUE_RETURN_NS, MAX_QUEUE_RETURN_NS);
    int64_t spread = base;
    if (slack > base && slack < 2 * base) {
        spread = MAX(slack - base, base / MIN_SPREAD_DIVISOR);
    }
    return base + (int64_t)(random * (double)spread);
}
