#include "retry_budget.h"

#include <string.h>

/* Initializes a budget that allows ratio times the fresh calls of the last
 * window_ns plus allowance (retry budgets: Site Reliability Engineering, 2016,
 * chapter 21, and Finagle). */
void
rp_retry_budget_init(struct rp_retry_budget *budget, double ratio,
                     double allowance, int64_t window_ns)
{
    memset(budget, 0, sizeof(*budget));
    budget->ratio = ratio;
    budget->allowance = allowance;
    budget->last_retry_ns = INT64_MIN;
    /* One bucket less than there are, so that the counted buckets cover the
     * window wherever in the newest bucket the present lies. */
    budget->bucket_ns = window_ns / (RP_RETRY_BUDGET_BUCKETS - 1);
}

static uint32_t
advance_to(struct rp_retry_budget *budget, int64_t now_ns)
{
    int64_t bucket = now_ns / budget->bucket_ns;
    int64_t elapsed_buckets = bucket - budget->newest_bucket;
    if (elapsed_buckets >= RP_RETRY_BUDGET_BUCKETS) {
        memset(budget->fresh, 0, sizeof(budget->fresh));
        memset(budget->retries, 0, sizeof(budget->retries));
        budget->newest_bucket = bucket;
    }
    while (budget->newest_bucket < bucket) {
        budget->newest_bucket++;
        budget->fresh[budget->newest_bucket % RP_RETRY_BUDGET_BUCKETS] = 0;
        budget->retries[budget->newest_bucket % RP_RETRY_BUDGET_BUCKETS] = 0;
    }
    return (uint32_t)(budget->newest_bucket % RP_RETRY_BUDGET_BUCKETS);
}

/* Records a fresh call. */
void
rp_retry_budget_record_call(struct rp_retry_budget *budget, int64_t now_ns)
{
    budget->fresh[advance_to(budget, now_ns)]++;
}

/* Consumes one further attempt of the budget; returns false when the window
 * has none left. */
bool
rp_retry_budget_consume(struct rp_retry_budget *budget, int64_t now_ns)
{
    return rp_retry_budget_consume_part(budget, 1, now_ns);
}

/* Consumes one further attempt if no more than a part of the window's budget,
 * from 0 to 1, is used then. */
bool
rp_retry_budget_consume_part(struct rp_retry_budget *budget, double part,
                             int64_t now_ns)
{
    uint32_t bucket = advance_to(budget, now_ns);
    uint32_t fresh = 0;
    uint32_t retries = 0;
    uint32_t oldest = (bucket + 1) % RP_RETRY_BUDGET_BUCKETS;
    for (uint32_t i = 0; i < RP_RETRY_BUDGET_BUCKETS; i++) {
        /* All buckets together are up to one longer than the window. */
        fresh += i == oldest ? 0 : budget->fresh[i];
        retries += budget->retries[i];
    }
    double loan = now_ns < budget->loan_until_ns ? budget->loan : 0;
    double limit = budget->ratio * fresh + budget->allowance + loan;
    if (retries + 1 > part * limit) {
        return false;
    }
    budget->last_retry_ns = now_ns;
    budget->retries[bucket]++;
    return true;
}
