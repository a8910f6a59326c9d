#ifndef RP_LIMIT_H
#define RP_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

/* Concurrency limit of a target, over all entry VMs. */
struct rp_limit {
    double limit;
    double min_limit;
    double max_limit;
    double recent_ns; /* mean response time of about 10 answers */
    double usual_ns;  /* mean response time of about 200 answers */
    uint32_t samples; /* answers so far, up to 200 */
};

/* Returns whether one more request may be sent. An entry VM may always use its
 * static share, fair_share, without an exchange with the other VMs, and beyond
 * it the capacity that load reports show to be free. local and remote are the
 * requests of this and of the other VMs at the target. within_pool_share: the
 * requests to all targets together are below the static share, which matters
 * where the share of one target is below one request. */
static inline bool
rp_limit_allows(const struct rp_limit *limit, uint32_t local, double remote,
                double fair_share, bool within_pool_share)
{
    if (local >= limit->limit) {
        return false;
    }
    if (local + remote + 1 <= limit->limit) {
        return true;
    }
    return within_pool_share && (local < fair_share || local < 1);
}

#ifdef __cplusplus
extern "C" {
#endif

void rp_limit_init(struct rp_limit *limit, uint32_t slots, bool cold);
void rp_limit_record_answer(struct rp_limit *limit, double response_ns,
                            double used);
void rp_limit_record_refusal(struct rp_limit *limit);

#ifdef __cplusplus
}
#endif

#endif
