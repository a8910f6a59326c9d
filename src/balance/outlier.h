#ifndef RP_OUTLIER_H
#define RP_OUTLIER_H

#include <stdbool.h>
#include <stdint.h>

/* Whether a target fails more than others. */
struct rp_outlier {
    double failure_rate; /* smoothed, 0 to 1 */
    uint32_t failures;   /* in a row */
    uint32_t times_out;  /* in a row */
    int64_t ejected_until_ns;
    bool trial; /* was out; one request at a time until one succeeds */
};

/* Returns whether the target is out at present. */
static inline bool
rp_outlier_is_ejected(const struct rp_outlier *outlier, int64_t now_ns)
{
    return now_ns < outlier->ejected_until_ns;
}

#ifdef __cplusplus
extern "C" {
#endif

void rp_outlier_init(struct rp_outlier *outlier);
uint32_t rp_outlier_max_ejected(uint32_t targets);
void rp_outlier_record_success(struct rp_outlier *outlier);
bool rp_outlier_record_failure(struct rp_outlier *outlier,
                               double pool_failure_rate);
void rp_outlier_eject(struct rp_outlier *outlier, double random,
                      int64_t now_ns);

#ifdef __cplusplus
}
#endif

#endif
