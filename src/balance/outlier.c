#include "outlier.h"

#include <string.h>

#define RATE_WEIGHT 0.1
#define FAILURES_IN_A_ROW 3
#define OUT_RATE 0.5
/* A target is out only if it fails more often than the pool by this much: a
 * fault of all targets, or of the callers, is none of one target. */
#define RATE_ABOVE_POOL 0.2
#define FIRST_OUT_NS 500000000
#define MOST_DOUBLINGS 5
#define MOST_OUT_PERCENT 30

/* Starts with a clean slate. */
void
rp_outlier_init(struct rp_outlier *outlier)
{
    memset(outlier, 0, sizeof(*outlier));
}

/* Returns how many targets of a service may be out at once: 30%. */
uint32_t
rp_outlier_max_ejected(uint32_t targets)
{
    return targets * MOST_OUT_PERCENT / 100;
}

/* Takes note of a good answer. */
void
rp_outlier_record_success(struct rp_outlier *outlier)
{
    outlier->failure_rate -= RATE_WEIGHT * outlier->failure_rate;
    outlier->failures = 0;
    if (outlier->trial) {
        outlier->trial = false;
        outlier->failure_rate = 0;
    }
    else if (outlier->failure_rate < RATE_WEIGHT / 2) {
        outlier->times_out = 0;
    }
}

/* Takes note of a failure, and returns whether the target should be out. */
bool
rp_outlier_record_failure(struct rp_outlier *outlier, double pool_failure_rate)
{
    outlier->failure_rate += RATE_WEIGHT * (1 - outlier->failure_rate);
    outlier->failures++;
    if (outlier->failure_rate < pool_failure_rate + RATE_ABOVE_POOL) {
        return false;
    }
    return outlier->trial || outlier->failures >= FAILURES_IN_A_ROW ||
           outlier->failure_rate > OUT_RATE;
}

/* Puts the target out, each time in a row for twice as long, up to 16 s.
 * random, from 0 up to 1, spreads the entry VMs' next trials. */
void
rp_outlier_eject(struct rp_outlier *outlier, double random, int64_t now_ns)
{
    int64_t out_ns = (int64_t)FIRST_OUT_NS << outlier->times_out;
    outlier->ejected_until_ns =
        now_ns + out_ns + (int64_t)(random * (double)out_ns / 2);
    outlier->trial = true;
    if (outlier->times_out < MOST_DOUBLINGS) {
        outlier->times_out++;
    }
}
