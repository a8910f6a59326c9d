#include "byte_budget.h"

#include <glib.h>

/* Starts a full bucket. */
void
rp_byte_budget_init(struct rp_byte_budget *budget, uint32_t bytes_per_s,
                    uint32_t burst_bytes, int64_t now_ns)
{
    budget->bytes_per_s = bytes_per_s;
    budget->burst_bytes = burst_bytes;
    budget->tokens_millibytes = (int64_t)burst_bytes * 1000;
    budget->refilled_ns = now_ns;
}

static void
fill(struct rp_byte_budget *budget, int64_t now_ns)
{
    int64_t passed_us = (now_ns - budget->refilled_ns) / 1000;
    int64_t full = (int64_t)budget->burst_bytes * 1000;
    if (passed_us <= 0) {
        return;
    }
    budget->refilled_ns += passed_us * 1000;
    /* An hour fills any bucket; more would overflow. */
    passed_us = MIN(passed_us, INT64_C(3600000000));
    budget->tokens_millibytes =
        MIN(full, budget->tokens_millibytes +
                      passed_us * (int64_t)budget->bytes_per_s / 1000);
}

/* Takes bytes out of the budget; returns false, and takes none, when they
 * must wait. Something larger than half the burst may go when that half is
 * there, and leaves a debt, so that it can go at all. */
bool
rp_byte_budget_consume(struct rp_byte_budget *budget, uint32_t bytes,
                       int64_t now_ns)
{
    fill(budget, now_ns);
    int64_t needed =
        (int64_t)MIN(bytes, MAX(1, budget->burst_bytes / 2)) * 1000;
    if (budget->tokens_millibytes < needed) {
        return false;
    }
    budget->tokens_millibytes -= (int64_t)bytes * 1000;
    return true;
}
