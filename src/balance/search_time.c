#include "search_time.h"

/* One call is a quarter or more of the capacity of such a target, so that a
 * call on a slow one also delays those that come after it. */
#define MAX_COARSE_SLOTS 4u
/* A target is slow from this multiple of the usual time on: near capacity work
 * takes less than twice as long, on a slow machine several times as long. */
#define SLOW_RATIO 2.0
/* Time for the request and the answer to travel, which the goal includes. */
#define TRANSIT_NS 20000000.0
/* The search uses at most this part of the time that the goal leaves beside
 * the usual time; the rest is for calls that take longer than usual. */
#define MAX_SPARE_SHARE 0.5

/* Returns whether calls to targets with this many slots search longer. */
bool
rp_search_time_applies(uint32_t slots)
{
    return slots > 0 && slots <= MAX_COARSE_SLOTS;
}

/* Returns whether a call goes on searching for a fast target at now_ns rather
 * than go to the best target with room. Machines change their speed several
 * times a second, and a free slot on a fast one appears within tens of ms even
 * at high load, while a call that starts on a slow one keeps that speed. A
 * search ends when it has taken as long as a fast target would save, or when
 * the latency goal is at risk. Without a goal it ends at once. */
bool
rp_search_time_continues(const struct rp_search_terms *terms, int64_t now_ns)
{
    double waited_ns = (double)(now_ns - terms->offered_ns);
    double spare_ns = (double)terms->aim_ns - TRANSIT_NS - terms->usual_ns;
    return terms->aim_ns > 0 &&
           terms->expected_ns > SLOW_RATIO * terms->usual_ns &&
           waited_ns < terms->expected_ns - terms->usual_ns &&
           waited_ns < MAX_SPARE_SHARE * spare_ns;
}
