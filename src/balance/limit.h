#ifndef RP_LIMIT_H
#define RP_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

/* How many requests a target is given at once, over all entry VMs. */
struct rp_limit {
    double limit;
    double least;
    double most;
    double recent_ns; /* response time over about 10 answers */
    double usual_ns;  /* response time over about 200 answers */
    uint32_t samples; /* answers so far, up to 200 */
};

/* Returns whether one more request may be sent. An entry VM may always use
 * its static share, which needs no exchange with the others, and beyond it
 * what the load reports show to be free. within_pool_share tells that the
 * requests to all targets together are below the static share; it matters
 * where the share of one target is below one request. */
static inline bool
rp_limit_allows(const struct rp_limit *limit, uint32_t own, double others,
                double fair_share, bool within_pool_share)
{
    if (own >= limit->limit) {
        return false;
    }
    if (own + others + 1 <= limit->limit) {
        return true;
    }
    return within_pool_share && (own < fair_share || own < 1);
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
