#include "retry.h"

/* Retries as a share of fresh calls (retry budgets: Site Reliability
 * Engineering, 2016, chapter 21, and Finagle). */
#define SHARE 0.1
/* Lets a service with little traffic retry at all. */
#define INITIAL_TOKENS 3
/* Bounds the retries that a quiet time saves up for a fault. */
#define MOST_TOKENS 30
#define FIRST_BACKOFF_NS 5000000
#define MOST_DOUBLINGS 6

/* Starts a budget. */
void
rp_retry_init(struct rp_retry_budget *budget)
{
    budget->tokens = INITIAL_TOKENS;
}

/* Counts a fresh call. */
void
rp_retry_note_fresh(struct rp_retry_budget *budget)
{
    budget->tokens += SHARE;
    if (budget->tokens > MOST_TOKENS) {
        budget->tokens = MOST_TOKENS;
    }
}

/* Takes one retry out of the budget; returns false when there is none. */
bool
rp_retry_take(struct rp_retry_budget *budget)
{
    if (budget->tokens < 1) {
        return false;
    }
    budget->tokens -= 1;
    return true;
}

/* Returns how long to wait before an attempt, 1 being the first retry. The
 * first one after a target said that it did not run the request goes to
 * another target at once. random, from 0 up to 1, spreads the callers. */
int64_t
rp_retry_backoff_ns(uint32_t attempt, bool not_run, double random)
{
    if (attempt <= 1 && not_run) {
        return 0;
    }
    uint32_t doublings = attempt > 0 ? attempt - 1 : 0;
    if (doublings > MOST_DOUBLINGS) {
        doublings = MOST_DOUBLINGS;
    }
    return (int64_t)(random *
                     (double)((int64_t)FIRST_BACKOFF_NS << doublings));
}
