#include "budget_share.h"

#include <glib.h>

/* Share of a budget that is divided equally, so that a member whose first
 * callers have just arrived has some budget; the rest is divided by load. */
#define EQUAL_SHARE 0.5

/* Returns the share of this entry VM, from 0 to 1, in budgets of the whole
 * fleet, such as probes and further attempts. Where members have the same
 * view, their shares add up to 1. Load counts because a few of many members
 * may have all the callers. Dead members count with their last load until they
 * are removed, so that two sides of a partition do not both use the other's
 * budget. */
double
rp_budget_share(const struct rp_member_view *view, uint32_t fleet_size)
{
    double total = 0;
    double local = 0;
    for (uint32_t i = 0; i < view->count; i++) {
        const struct rp_member *member = &view->members[i];
        total += member->info.load_permille;
        local = member->is_self ? member->info.load_permille : local;
    }
    double members = MAX(MAX(fleet_size, view->count), 1);
    if (total <= 0) {
        return 1 / members;
    }
    return EQUAL_SHARE / members + (1 - EQUAL_SHARE) * local / total;
}
