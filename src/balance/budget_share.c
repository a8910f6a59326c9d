#include "budget_share.h"

#include <glib.h>

/* Part of a budget that goes to all members alike, so that one whose callers
 * have just come has some; the rest goes by load. */
#define EQUAL_PART 0.5

/* Returns the share of this entry VM in budgets of the whole fleet, such as
 * probes and further attempts, from 0 to 1. The shares of all members add up
 * to 1 where their views agree: few of many members may have all the callers,
 * and the others leave their part to them. Members that are given up count
 * with their last load until they are forgotten, so that two sides of a
 * partition do not both take what belongs to the other. */
double
rp_budget_share(const struct rp_member_view *view, uint32_t fleet_size)
{
    double total = 0;
    double own = 0;
    for (uint32_t i = 0; i < view->count; i++) {
        const struct rp_member *member = &view->members[i];
        total += member->info.load_permille;
        own = member->is_self ? member->info.load_permille : own;
    }
    double members = MAX(MAX(fleet_size, view->count), 1);
    if (total <= 0) {
        return 1 / members;
    }
    return EQUAL_PART / members + (1 - EQUAL_PART) * own / total;
}
