#ifndef RP_HEDGE_H
#define RP_HEDGE_H

#include <stdbool.h>
#include <stdint.h>

/* When a second request for the same call is worth its cost. */
struct rp_hedge {
    double late_ns; /* exceeded by few of the recent answers */
    double tokens;
    uint32_t samples;
};

#ifdef __cplusplus
extern "C" {
#endif

void rp_hedge_init(struct rp_hedge *hedge);
void rp_hedge_record_call(struct rp_hedge *hedge);
void rp_hedge_record_response(struct rp_hedge *hedge, int64_t response_ns);
int64_t rp_hedge_delay_ns(const struct rp_hedge *hedge, double used);
bool rp_hedge_consume(struct rp_hedge *hedge, double used);

#ifdef __cplusplus
}
#endif

#endif
