#ifndef RP_RETRY_BUDGET_H
#define RP_RETRY_BUDGET_H

#include <stdbool.h>

/* Further attempts allowed, as a share of fresh work. */
struct rp_retry_budget {
    double tokens;
};

#ifdef __cplusplus
extern "C" {
#endif

void rp_retry_budget_init(struct rp_retry_budget *budget);
void rp_retry_budget_note_fresh(struct rp_retry_budget *budget);
bool rp_retry_budget_take(struct rp_retry_budget *budget);

#ifdef __cplusplus
}
#endif

#endif
