#include "balancer_private.h"

#include <math.h>

/* Long calls leave this share of the service's slots to short ones. Kept for
 * the service as a whole, as short calls go wherever a slot is free; kept for
 * each target, long calls waited without need at 70% load. */
#define SHORT_SHARE (1.0 / 5)
/* A target costs this many response times more for each failure expected. */
#define FAILURE_COST 30.0

/* How well a target fits a call; a lower rank goes before any cost. */
enum rank {
    RANK_IN_SHARE,   /* its estate has calls to come */
    RANK_OVER_SHARE, /* its estate has had more than its share */
    RANK_NO_SHARE,   /* its estate has no share */
    RANK_OUT,        /* ejected for failures */
    RANK_COUNT,
};

struct choice {
    uint32_t target[RANK_COUNT];
    double cost[RANK_COUNT];
    bool usable[RANK_COUNT]; /* has a target, even if none has room */
    double slots_total;
    double limit_total;
    double load_total;
};

/* What is the same for all targets of one choice. */
struct bounds {
    double deciders_inverse;
    bool within_share;      /* own requests are below the static share */
    bool within_long_share; /* own long ones are */
    bool long_room;         /* enough free slots for a long one */
    enum rank estate_rank[RP_SNAPSHOT_MAX_ESTATES];
};

static bool
is_usable(const struct balancer_target *target)
{
    return target->present && !target->draining && !target->reported_draining;
}

/* Whether a call has a target left that it has not tried. When it has none,
 * it may go to one again: the fault may lie with a connection. */
static bool
has_untried(const struct rp_balancer *balancer,
            const struct rp_balancer_call *call)
{
    for (uint32_t i = 0; i < balancer->targets->len; i++) {
        if (is_usable(balancer_get(balancer, i)) &&
            !balancer_is_avoided(call, i)) {
            return true;
        }
    }
    return false;
}

static enum rank
rank_of_estate(const struct rp_balancer *balancer, uint32_t estate)
{
    if (rp_estate_share_allows(&balancer->shares, estate)) {
        return RANK_IN_SHARE;
    }
    return balancer->shares.share[estate] > 0 ? RANK_OVER_SHARE
                                              : RANK_NO_SHARE;
}

/* Long calls take free slots while short ones keep their share. Half of the
 * static share is theirs in any case, or they would starve beside steady short
 * work. */
static bool
allows_long(const struct balancer_target *target, double others,
            const struct bounds *bounds)
{
    const struct rp_route_target *route = &target->route;
    if (bounds->long_room && route->in_flight + others + 1 <= route->slots) {
        return true;
    }
    double share = fmax(route->slots * bounds->deciders_inverse, 1);
    return bounds->within_long_share && route->long_in_flight + 1 <= share;
}

static bool
has_room(const struct balancer_target *target, double others, bool is_long,
         const struct bounds *bounds)
{
    if (target->outlier.trial && target->route.in_flight > 0) {
        return false;
    }
    if (is_long && !allows_long(target, others, bounds)) {
        return false;
    }
    return rp_limit_allows(&target->limit, target->route.in_flight, others,
                           target->limit.limit * bounds->deciders_inverse,
                           bounds->within_share);
}

static void
consider(const struct rp_balancer *balancer, uint32_t index, bool is_long,
         const struct bounds *bounds, int64_t now_ns, struct choice *choice)
{
    const struct balancer_target *target = balancer_get(balancer, index);
    bool out = rp_outlier_is_ejected(&target->outlier, now_ns);
    enum rank rank = out ? RANK_OUT : bounds->estate_rank[target->estate];
    double others =
        rp_route_remote_in_flight(&target->route, &balancer->pool, now_ns);
    choice->usable[rank] = true;
    if (!out) {
        double load = target->route.in_flight + others;
        choice->slots_total += target->route.slots;
        choice->limit_total += target->limit.limit;
        choice->load_total += MIN(load, target->route.slots);
    }
    if (!has_room(target, others, is_long, bounds)) {
        return;
    }
    double cost =
        rp_route_cost_ns(&target->route, &balancer->pool, others, now_ns) +
        target->outlier.failure_rate * FAILURE_COST *
            balancer->pool.response_ns;
    if (choice->target[rank] == RP_BALANCER_NO_TARGET ||
        cost < choice->cost[rank]) {
        choice->target[rank] = index;
        choice->cost[rank] = cost;
    }
}

static uint32_t
best_of(const struct choice *choice)
{
    for (int rank = RANK_IN_SHARE; rank <= RANK_OVER_SHARE; rank++) {
        if (choice->target[rank] != RP_BALANCER_NO_TARGET) {
            return choice->target[rank];
        }
    }
    if (choice->usable[RANK_IN_SHARE] || choice->usable[RANK_OVER_SHARE]) {
        return RP_BALANCER_NO_TARGET;
    }
    if (choice->usable[RANK_NO_SHARE]) {
        return choice->target[RANK_NO_SHARE];
    }
    return choice->target[RANK_OUT];
}

/* Returns the target that should answer a call first, or
 * RP_BALANCER_NO_TARGET when none has room. Ejected targets and those of
 * estates without a share are used only when there are no others at all. */
uint32_t
rp_balancer_choose(struct rp_balancer *balancer,
                   const struct rp_balancer_call *call, bool is_long,
                   int64_t now_ns)
{
    struct choice choice = {0};
    for (int rank = 0; rank < RANK_COUNT; rank++) {
        choice.target[rank] = RP_BALANCER_NO_TARGET;
    }
    struct bounds bounds = {
        .deciders_inverse = 1.0 / balancer->pool.deciders,
    };
    bounds.within_share =
        balancer->own_total <
        fmax(balancer->limit_total * bounds.deciders_inverse, 1);
    double own_slots = balancer->slots_total * bounds.deciders_inverse;
    bounds.within_long_share =
        balancer->own_long_total < fmax(own_slots / 2, 1);
    bounds.long_room =
        balancer->load_total + 1 <= balancer->slots_total * (1 - SHORT_SHARE);
    for (uint32_t i = 0; i < balancer->shares.count; i++) {
        bounds.estate_rank[i] = rank_of_estate(balancer, i);
    }
    uint32_t count = balancer->targets->len;
    bool avoid = call->avoided_count > 0 && has_untried(balancer, call);
    uint32_t index = balancer->next < count ? balancer->next : 0;
    for (uint32_t i = 0; i < count; i++) {
        const struct balancer_target *target = balancer_get(balancer, index);
        if (is_usable(target) && !(avoid && balancer_is_avoided(call, index)))
        {
            consider(balancer, index, is_long, &bounds, now_ns, &choice);
        }
        index = index + 1 < count ? index + 1 : 0;
    }
    balancer->slots_total = choice.slots_total;
    balancer->limit_total = choice.limit_total;
    balancer->load_total = choice.load_total;
    return best_of(&choice);
}
