#include "limit.h"

#include <math.h>

#define RECENT_WEIGHT 0.1
#define USUAL_SAMPLES 200
/* Recent answers may take this multiple of the usual time before the limit
 * falls; the average of 10 exponential times seldom exceeds it. */
#define TOLERANCE 1.6
#define FALL 0.98
#define REFUSAL_FALL 0.8
/* Requests beyond the slots keep slots busy while answers and the next
 * requests travel. With 1.5, entry VMs held calls back while slots of others'
 * targets were free: 31.7 ms instead of 25.9 at 99 in 100 at 95% load. */
#define MOST_PER_SLOT 3.0
#define COLD_START 2.0
/* Slow answers alone take the limit no further down than this. With a limit
 * of the slots themselves, slots were idle while answers travelled, and an
 * entry VM that had been misled by its first answers had a queue of 300 calls
 * beside others that had none. */
#define LEAST_PER_SLOT 1.5

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
    limit->samples = 0;
}

/* Adapts the limit to an answer: it falls while recent answers are much
 * slower than usual ones, and rises by one for each round of answers while it
 * is in use. used is the number of requests at the target. This follows the
 * latency gradient of concurrency limits (Netflix, 2018), itself after TCP
 * Vegas. */
void
rp_limit_record_answer(struct rp_limit *limit, double response_ns, double used)
{
    /* The first answers have equal weights, or the first one alone would
     * stand for what is usual. */
    if (limit->samples < USUAL_SAMPLES) {
        limit->samples++;
    }
    double count = limit->samples;
    limit->recent_ns +=
        fmax(RECENT_WEIGHT, 1 / count) * (response_ns - limit->recent_ns);
    limit->usual_ns += (response_ns - limit->usual_ns) / count;
    if (limit->recent_ns > TOLERANCE * limit->usual_ns) {
        double least = limit->most / MOST_PER_SLOT * LEAST_PER_SLOT;
        if (limit->limit > least) {
            limit->limit = fmax(limit->limit * FALL, least);
        }
        return;
    }
    if (used * 2 >= limit->limit) {
        limit->limit = fmin(limit->limit + 1 / limit->limit, limit->most);
    }
}

/* Adapts the limit to a request that the target shed. */
void
rp_limit_record_refusal(struct rp_limit *limit)
{
    limit->limit = fmax(limit->limit * REFUSAL_FALL, limit->least);
}
