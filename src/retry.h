#ifndef RP_RETRY_H
#define RP_RETRY_H

#include <stdbool.h>
#include <stdint.h>

/* Further attempts allowed, as a share of fresh work. */
struct rp_retry_budget {
    double tokens;
};

#ifdef __cplusplus
extern "C" {
#endif

void rp_retry_init(struct rp_retry_budget *budget);
void rp_retry_note_fresh(struct rp_retry_budget *budget);
bool rp_retry_take(struct rp_retry_budget *budget);
int64_t rp_retry_backoff_ns(uint32_t attempt, bool not_run, double random);

#ifdef __cplusplus
}
#endif

#endif
