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
};

#ifdef __cplusplus
extern "C" {
#endif

void rp_limit_init(struct rp_limit *limit, uint32_t slots, bool cold);
void rp_limit_answered(struct rp_limit *limit, double response_ns, double used);
void rp_limit_refused(struct rp_limit *limit);
double rp_limit_fair_share(double limit, uint32_t deciders);
bool rp_limit_allows(const struct rp_limit *limit, uint32_t own, double others,
                     double fair_share, bool within_pool_share);

#ifdef __cplusplus
}
#endif

#endif
