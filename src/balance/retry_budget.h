#ifndef RP_RETRY_BUDGET_H
#define RP_RETRY_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

#define RP_RETRY_BUDGET_BUCKETS 20

/* Budget of further attempts in a sliding window: a ratio of the fresh calls
 * in that window plus an allowance. If each entry VM stays within its budget,
 * so does the fleet as a whole: the ratio applies to each VM's calls, and the
 * allowance is divided among the VMs. */
struct rp_retry_budget {
    double ratio;     /* of the fresh calls */
    double allowance; /* per window, in addition */
    double loan;      /* per window, in addition until loan_until_ns */
    int64_t loan_until_ns;
    int64_t last_retry_ns; /* INT64_MIN before the first */
    int64_t bucket_ns;     /* width of one bucket */
    int64_t newest_bucket; /* index since time 0 */
    uint32_t fresh[RP_RETRY_BUDGET_BUCKETS];
    uint32_t retries[RP_RETRY_BUDGET_BUCKETS];
};

#ifdef __cplusplus
extern "C" {
#endif

void rp_retry_budget_init(struct rp_retry_budget *budget, double ratio,
                          double allowance, int64_t window_ns);
void rp_retry_budget_record_call(struct rp_retry_budget *budget,
                                 int64_t now_ns);
bool rp_retry_budget_consume_part(struct rp_retry_budget *budget, double part,
                                  int64_t now_ns);
bool rp_retry_budget_consume(struct rp_retry_budget *budget, int64_t now_ns);

#ifdef __cplusplus
}
#endif

#endif
