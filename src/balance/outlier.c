#include "outlier.h"

#include <string.h>

#define FAILURE_RATE_WEIGHT 0.1
#define EJECTION_FAILURES 3
#define EJECTION_FAILURE_RATE 0.5
/* A target is ejected only if its failure rate exceeds that of all targets by
 * this much: a fault of all targets or of the callers is not a fault of one.
 */
#define MIN_RATE_ABOVE_POOL 0.2
#define BASE_EJECTION_NS 500000000
#define MAX_EJECTION_DOUBLINGS 5
#define MAX_EJECTED_PERCENT 30

/* Initializes a target without failures. */
void
rp_outlier_init(struct rp_outlier *outlier)
{
    memset(outlier, 0, sizeof(*outlier));
}

/* Returns how many of a service's targets may be ejected at once: 30%. */
uint32_t
rp_outlier_max_ejected(uint32_t targets)
{
    return targets * MAX_EJECTED_PERCENT / 100;
}

/* Records a successful answer. */
void
rp_outlier_record_success(struct rp_outlier *outlier)
{
    outlier->failure_rate -= FAILURE_RATE_WEIGHT * outlier->failure_rate;
    outlier->consecutive_failures = 0;
    if (outlier->trial) {
        outlier->trial = false;
        outlier->failure_rate = 0;
    }
    else if (outlier->failure_rate < FAILURE_RATE_WEIGHT / 2) {
        outlier->consecutive_ejections = 0;
    }
}

/* Records a failure and returns whether the target should be ejected. */
bool
rp_outlier_record_failure(struct rp_outlier *outlier, double pool_failure_rate)
{
    outlier->failure_rate += FAILURE_RATE_WEIGHT * (1 - outlier->failure_rate);
    outlier->consecutive_failures++;
    if (outlier->failure_rate < pool_failure_rate + MIN_RATE_ABOVE_POOL) {
        return false;
    }
    return outlier->trial ||
           outlier->consecutive_failures >= EJECTION_FAILURES ||
           outlier->failure_rate > EJECTION_FAILURE_RATE;
}

/* Ejects the target, for twice as long with each consecutive ejection, up to
 * 16 s, plus up to half of that as jitter. random, from 0 up to 1, sets the
 * jitter, so that entry VMs do not start their trials together. */
void
rp_outlier_eject(struct rp_outlier *outlier, double random, int64_t now_ns)
{
    int64_t ejection_ns = (int64_t)BASE_EJECTION_NS
                          << outlier->consecutive_ejections;
    outlier->ejected_until_ns =
        now_ns + ejection_ns + (int64_t)(random * (double)ejection_ns / 2);
    outlier->trial = true;
    if (outlier->consecutive_ejections < MAX_EJECTION_DOUBLINGS) {
        outlier->consecutive_ejections++;
    }
}
