#ifndef RP_RETRY_BUDGET_H
#define RP_RETRY_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

#define RP_RETRY_BUDGET_PARTS 20

/* Further attempts allowed in a sliding window, as a share of the fresh calls
 * of that window. What each entry VM keeps holds for all of them together:
 * shares add up, and the allowance is divided by their number. */
struct rp_retry_budget {
    double share;     /* of the fresh calls */
    double allowance; /* in each window, whatever the calls */
    int64_t part_ns;  /* the window is counted in parts */
    int64_t newest;   /* number of the newest part */
    uint32_t fresh[RP_RETRY_BUDGET_PARTS];
    uint32_t retries[RP_RETRY_BUDGET_PARTS];
};

#ifdef __cplusplus
extern "C" {
#endif

void rp_retry_budget_init(struct rp_retry_budget *budget, double share,
                          double allowance, int64_t window_ns);
void rp_retry_budget_record_call(struct rp_retry_budget *budget,
                                 int64_t now_ns);
bool rp_retry_budget_consume(struct rp_retry_budget *budget, int64_t now_ns);

#ifdef __cplusplus
}
#endif

#endif
