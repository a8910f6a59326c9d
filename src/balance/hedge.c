#include "hedge.h"

#include <math.h>

/* A call is late when 2 in 100 of the recent ones took longer (hedged
 * requests: Dean and Barroso, The Tail at Scale, 2013). */
#define LATE_QUANTILE 0.98
#define QUANTILE_STEP 0.05
#define MIN_SAMPLES 100
#define HEDGE_RATIO 0.02
#define MAX_TOKENS 5
/* Hedges take slots from other calls: none are sent above this share of used
 * slots. */
#define MAX_SLOT_UTILIZATION 0.7

/* Initializes a state without samples, which allows no hedges yet. */
void
rp_hedge_init(struct rp_hedge *hedge)
{
    hedge->late_threshold_ns = 0;
    hedge->tokens = 0;
    hedge->samples = 0;
}

/* Records a fresh call, which adds to the hedge budget. */
void
rp_hedge_record_call(struct rp_hedge *hedge)
{
    hedge->tokens = fmin(hedge->tokens + HEDGE_RATIO, MAX_TOKENS);
}

/* Moves the quantile estimate towards the response time of a call: a large
 * step up when the call was late and a small step down when it was not, in a
 * ratio that balances at the quantile. */
void
rp_hedge_record_response(struct rp_hedge *hedge, int64_t response_ns)
{
    double response = (double)response_ns;
    if (hedge->samples < MIN_SAMPLES) {
        hedge->samples++;
        hedge->late_threshold_ns = fmax(hedge->late_threshold_ns, response);
        return;
    }
    if (response > hedge->late_threshold_ns) {
        hedge->late_threshold_ns *= 1 + QUANTILE_STEP * LATE_QUANTILE;
    }
    else {
        hedge->late_threshold_ns *= 1 - QUANTILE_STEP * (1 - LATE_QUANTILE);
    }
}

/* Returns how long a call may take before it is late, or INT64_MAX when hedges
 * are not worthwhile. slot_utilization is the share of slots in use. */
int64_t
rp_hedge_delay_ns(const struct rp_hedge *hedge, double slot_utilization)
{
    if (hedge->samples < MIN_SAMPLES ||
        slot_utilization > MAX_SLOT_UTILIZATION) {
        return INT64_MAX;
    }
    return (int64_t)hedge->late_threshold_ns;
}

/* Consumes one hedge of the budget; returns false when none is left or too
 * many slots are in use. */
bool
rp_hedge_consume(struct rp_hedge *hedge, double slot_utilization)
{
    if (hedge->tokens < 1 || slot_utilization > MAX_SLOT_UTILIZATION) {
        return false;
    }
    hedge->tokens -= 1;
    return true;
}
