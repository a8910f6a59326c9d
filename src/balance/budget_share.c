#include "budget_share.h"

#include <glib.h>
#include <string.h>

/* Share of a budget that is divided equally, so that a member whose first
 * callers have just arrived has some budget; the rest is divided by load. */
#define EQUAL_SHARE 0.5
/* Part of the equal share that goes to the members that callers are directed
 * to; the rest goes to all. */
#define GREAT_MEMBER_PART 0.5
/* Callers of a failure domain are directed to this many members of it. */
#define MEMBERS_PER_DOMAIN 3u
/* Bound of the part by load, as a multiple of what a member gets if all that
 * serve callers have the same load. The loads of others spread slowly in a
 * large fleet, and a member that does not know them would take all. */
#define MAX_LOAD_RATIO 2.0

static bool
is_great(const struct rp_member *member, uint32_t max_capacity)
{
    return member->info.capacity_permille >= max_capacity / 2;
}

static bool
domain_is_new(const struct rp_member_view *view, uint32_t index)
{
    for (uint32_t i = 0; i < index; i++) {
        if (strcmp(view->members[i].info.domain,
                   view->members[index].info.domain) == 0)
        {
            return false;
        }
    }
    return true;
}

static uint32_t
count_domains(const struct rp_member_view *view)
{
    uint32_t domains = 0;
    for (uint32_t i = 0; i < view->count; i++) {
        domains += domain_is_new(view, i) ? 1 : 0;
    }
    return MAX(domains, 1);
}

/* Returns the share of this entry VM, from 0 to 1, in budgets of the whole
 * fleet, such as probes and further attempts. Where members have the same
 * view, their shares add up to 1 at most, and to 1 + EQUAL_SHARE while they do
 * not know each other's load. Callers are directed to members with at least
 * half of the greatest capacity. Load counts because a few of many members may
 * have all the callers. Dead members count with their last load until they are
 * removed, so that two sides of a partition do not both use the other's
 * budget. */
double
rp_budget_share(const struct rp_member_view *view, uint32_t fleet_size)
{
    uint32_t max_capacity = 0;
    for (uint32_t i = 0; i < view->count; i++) {
        max_capacity =
            MAX(max_capacity, view->members[i].info.capacity_permille);
    }
    double total = 0;
    double local = 0;
    bool is_local_great = view->count == 0;
    uint32_t great = 0;
    for (uint32_t i = 0; i < view->count; i++) {
        const struct rp_member *member = &view->members[i];
        total += member->info.load_permille;
        great += is_great(member, max_capacity) ? 1 : 0;
        if (member->is_self) {
            local = member->info.load_permille;
            is_local_great = is_great(member, max_capacity);
        }
    }
    /* Members that are not known yet are counted as well. */
    uint32_t unknown = fleet_size > view->count ? fleet_size - view->count : 0;
    uint32_t members = MAX(view->count + unknown, 1);
    great = MAX(great + unknown, 1);
    double equal = (1 - GREAT_MEMBER_PART) / members +
                   (is_local_great ? GREAT_MEMBER_PART / great : 0);
    double by_load = is_local_great ? 1.0 / great : 0;
    if (total > 0) {
        uint32_t serving =
            MIN(great, MEMBERS_PER_DOMAIN * count_domains(view));
        by_load = MIN(local / total, MAX_LOAD_RATIO / serving);
    }
    return EQUAL_SHARE * equal + (1 - EQUAL_SHARE) * by_load;
}
