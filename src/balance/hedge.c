#include "hedge.h"

#include <math.h>

/* A call is late when 2 in 100 of the recent ones took longer (hedged
 * requests: Dean and Barroso, The Tail at Scale, 2013). */
#define LATE_QUANTILE 0.98
#define STEP 0.05
#define LEAST_SAMPLES 100
#define SHARE 0.02
#define MOST_TOKENS 5
/* Hedges take slots from other calls: none above this share of the slots. */
#define MOST_USED 0.7

/* Starts without a known distribution: no hedges yet. */
void
rp_hedge_init(struct rp_hedge *hedge)
{
    hedge->late_ns = 0;
    hedge->tokens = 0;
    hedge->samples = 0;
}

/* Counts a fresh call, of which hedges are a share. */
void
rp_hedge_record_call(struct rp_hedge *hedge)
{
    hedge->tokens = fmin(hedge->tokens + SHARE, MOST_TOKENS);
}

/* Moves the quantile towards the response time of a call: up by much when
 * the call was late, down by little when it was not, so that it rests where
 * the two balance. */
void
rp_hedge_record_response(struct rp_hedge *hedge, int64_t response_ns)
{
    double response = (double)response_ns;
    if (hedge->samples < LEAST_SAMPLES) {
        hedge->samples++;
        hedge->late_ns = fmax(hedge->late_ns, response);
        return;
    }
    if (response > hedge->late_ns) {
        hedge->late_ns *= 1 + STEP * LATE_QUANTILE;
    }
    else {
        hedge->late_ns *= 1 - STEP * (1 - LATE_QUANTILE);
    }
}

/* Returns after how long a call is late, or INT64_MAX when hedges are not
 * worth while. used is the share of the slots in use. */
int64_t
rp_hedge_delay_ns(const struct rp_hedge *hedge, double used)
{
    if (hedge->samples < LEAST_SAMPLES || used > MOST_USED) {
        return INT64_MAX;
    }
    return (int64_t)hedge->late_ns;
}

/* Takes one hedge out of the budget; returns false when there is none. */
bool
rp_hedge_consume(struct rp_hedge *hedge, double used)
{
    if (hedge->tokens < 1 || used > MOST_USED) {
        return false;
    }
    hedge->tokens -= 1;
    return true;
}
