#include "byte_budget.h"

#include <glib.h>

/* Initializes a full bucket. */
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
refill(struct rp_byte_budget *budget, int64_t now_ns)
{
    int64_t elapsed_us = (now_ns - budget->refilled_ns) / 1000;
    int64_t max_millibytes = (int64_t)budget->burst_bytes * 1000;
    if (elapsed_us <= 0) {
        return;
    }
    budget->refilled_ns += elapsed_us * 1000;
    /* An hour fills any bucket; a longer time could overflow the product. */
    elapsed_us = MIN(elapsed_us, INT64_C(3600000000));
    budget->tokens_millibytes = MIN(
        max_millibytes, budget->tokens_millibytes +
                            elapsed_us * (int64_t)budget->bytes_per_s / 1000);
}

/* Consumes bytes of the budget. Returns false, and consumes none, when too few
 * are available. An item larger than half the burst needs only that half and
 * leaves the budget negative; one larger than the burst could otherwise never
 * be sent. */
bool
rp_byte_budget_consume(struct rp_byte_budget *budget, uint32_t bytes,
                       int64_t now_ns)
{
    refill(budget, now_ns);
    int64_t needed =
        (int64_t)MIN(bytes, MAX(1, budget->burst_bytes / 2)) * 1000;
    if (budget->tokens_millibytes < needed) {
        return false;
    }
    budget->tokens_millibytes -= (int64_t)bytes * 1000;
    return true;
}
