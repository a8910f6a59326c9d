#include "retry_budget.h"

/* Retries as a share of fresh calls (retry budgets: Site Reliability
 * Engineering, 2016, chapter 21, and Finagle). */
#define SHARE 0.1
/* Lets a service with little traffic retry at all. */
#define INITIAL_TOKENS 3
/* Bounds the retries that a quiet time saves up for a fault. */
#define MOST_TOKENS 30

/* Starts a budget. */
void
rp_retry_budget_init(struct rp_retry_budget *budget)
{
    budget->tokens = INITIAL_TOKENS;
}

/* Counts a fresh call. */
void
rp_retry_budget_note_fresh(struct rp_retry_budget *budget)
{
    budget->tokens += SHARE;
    if (budget->tokens > MOST_TOKENS) {
        budget->tokens = MOST_TOKENS;
    }
}

/* Takes one retry out of the budget; returns false when there is none. */
bool
rp_retry_budget_take(struct rp_retry_budget *budget)
{
    if (budget->tokens < 1) {
        return false;
    }
    budget->tokens -= 1;
    return true;
}
