#include "retry_budget.h"

#include <string.h>

/* Starts a budget that allows share times the fresh calls of the last
 * window_ns, and allowance besides (retry budgets: Site Reliability
 * Engineering, 2016, chapter 21, and Finagle). */
void
rp_retry_budget_init(struct rp_retry_budget *budget, double share,
                     double allowance, int64_t window_ns)
{
    memset(budget, 0, sizeof(*budget));
    budget->share = share;
    budget->allowance = allowance;
    /* One part less, so that the parts that are counted cover the window
     * wherever in the newest one the present is. */
    budget->part_ns = window_ns / (RP_RETRY_BUDGET_PARTS - 1);
}

static uint32_t
move_to(struct rp_retry_budget *budget, int64_t now_ns)
{
    int64_t part = now_ns / budget->part_ns;
    int64_t gone = part - budget->newest;
    if (gone >= RP_RETRY_BUDGET_PARTS) {
        memset(budget->fresh, 0, sizeof(budget->fresh));
        memset(budget->retries, 0, sizeof(budget->retries));
        budget->newest = part;
    }
    while (budget->newest < part) {
        budget->newest++;
        budget->fresh[budget->newest % RP_RETRY_BUDGET_PARTS] = 0;
        budget->retries[budget->newest % RP_RETRY_BUDGET_PARTS] = 0;
    }
    return (uint32_t)(budget->newest % RP_RETRY_BUDGET_PARTS);
}

/* Counts a fresh call. */
void
rp_retry_budget_record_call(struct rp_retry_budget *budget, int64_t now_ns)
{
    budget->fresh[move_to(budget, now_ns)]++;
}

/* Takes one further attempt out of the budget; returns false when the window
 * has none left. */
bool
rp_retry_budget_consume(struct rp_retry_budget *budget, int64_t now_ns)
{
    uint32_t part = move_to(budget, now_ns);
    uint32_t fresh = 0;
    uint32_t retries = 0;
    uint32_t oldest = (part + 1) % RP_RETRY_BUDGET_PARTS;
    for (uint32_t i = 0; i < RP_RETRY_BUDGET_PARTS; i++) {
        /* The parts are longer than the window by up to one. */
        fresh += i == oldest ? 0 : budget->fresh[i];
        retries += budget->retries[i];
    }
    if (retries + 1 > budget->share * fresh + budget->allowance) {
        return false;
    }
    budget->retries[part]++;
    return true;
}
