#include "limit.h"

#include <math.h>

#define RECENT_WEIGHT 0.1
#define USUAL_WEIGHT 0.005
/* Recent answers may take this multiple of the usual time before the limit
 * falls; the average of 10 exponential times seldom exceeds it. */
#define TOLERANCE 1.6
#define FALL 0.98
#define REFUSAL_FALL 0.8
/* Requests beyond the slots keep a slot busy while an answer and the next
 * request travel. */
#define MOST_PER_SLOT 1.5
#define COLD_START 2.0

/* Starts a limit. A cold target begins with a small one that grows with each
 * answer. */
void
rp_limit_init(struct rp_limit *limit, uint32_t slots, bool cold)
{
    double count = slots > 0 ? slots : 1;
    limit->least = 1;
    limit->most = ceil(count * MOST_PER_SLOT);
    limit->limit = cold ? fmin(COLD_START, count) : limit->most;
    limit->recent_ns = 0;
    limit->usual_ns = 0;
}

/* Adapts the limit to an answer: it falls while recent answers are much
 * slower than usual ones, and rises by one for each round of answers while it
 * is in use. used is the number of requests at the target. This follows the
 * latency gradient of concurrency limits (Netflix, 2018), itself after TCP
 * Vegas. */
void
rp_limit_answered(struct rp_limit *limit, double response_ns, double used)
{
    if (limit->usual_ns <= 0) {
        limit->recent_ns = response_ns;
        limit->usual_ns = response_ns;
    }
    limit->recent_ns += RECENT_WEIGHT * (response_ns - limit->recent_ns);
    limit->usual_ns += USUAL_WEIGHT * (response_ns - limit->usual_ns);
    double slots = limit->most / MOST_PER_SLOT;
    if (limit->recent_ns > TOLERANCE * limit->usual_ns) {
        /* Slow answers alone never take away a slot: an idle slot helps
         * nobody. Refusals do. */
        if (limit->limit > slots) {
            limit->limit = fmax(limit->limit * FALL, slots);
        }
        return;
    }
    if (used * 2 >= limit->limit) {
        limit->limit = fmin(limit->limit + 1 / limit->limit, limit->most);
    }
}

/* Adapts the limit to a request that the target shed. */
void
rp_limit_refused(struct rp_limit *limit)
{
    limit->limit = fmax(limit->limit * REFUSAL_FALL, limit->least);
}

/* Returns the static share of one entry VM in a limit. */
double
rp_limit_fair_share(double limit, uint32_t deciders)
{
    return limit / (deciders > 0 ? deciders : 1);
}

/* Returns whether one more request may be sent. An entry VM may always use
 * its static share, which needs no exchange with the others, and beyond it
 * what the load reports show to be free. within_pool_share tells that the
 * requests to all targets together are below the static share; it matters
 * where the share of one target is below one request. */
bool
rp_limit_allows(const struct rp_limit *limit, uint32_t own, double others,
                double fair_share, bool within_pool_share)
{
    if (own >= limit->limit) {
        return false;
    }
    if (own + others + 1 <= limit->limit) {
        return true;
    }
    return within_pool_share && own < fmax(fair_share, 1);
}
