#include "balancer_private.h"

#include <math.h>

/* Share of the service's slots that long calls leave free for short ones. It
 * holds for the service as a whole, because short calls use any free slot: a
 * limit per target made long calls wait without need at 70% load. */
#define RESERVED_SHORT_SLOT_SHARE (1.0 / 5)
/* Cost of an expected failure, in usual response times. */
#define FAILURE_COST 30.0

/* Preference class of a target for a call; a lower rank wins whatever the
 * cost. */
enum rank {
    RANK_IN_SHARE,   /* its estate is below its share */
    RANK_OVER_SHARE, /* its estate is above its share */
    RANK_NO_SHARE,   /* its estate has no share */
    RANK_EJECTED,    /* ejected for failures */
    RANK_COUNT,
};

struct choice {
    uint32_t target[RANK_COUNT];
    double cost[RANK_COUNT];
    bool has_full[RANK_COUNT]; /* a target without room exists */
    double slots_total;
    double limit_total;
    double load_total;
};

/* What is the same for all targets of one choice. */
struct bounds {
    struct rp_route_terms route;
    double inverse_deciders;
    bool within_local_share; /* local requests are below the static share */
    bool within_local_long_share; /* local long requests are below theirs */
    bool has_long_room; /* the service has a free slot for a long call */
    enum rank estate_rank[RP_SNAPSHOT_MAX_ESTATES];
};

/* Returns whether there is a usable target that the call has not tried. If
 * not, it may go to one again: the fault may lie with a connection. */
static bool
has_untried(const struct rp_balancer *balancer,
            const struct rp_balancer_call *call, int64_t now_ns)
{
    for (uint32_t i = 0; i < balancer->targets->len; i++) {
        if (balancer_is_open(balancer_get(balancer, i), now_ns) &&
            !balancer_is_avoided(call, i))
        {
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

/* Long calls may use free slots as long as the slots reserved for short calls
 * stay free. Half of the static share is always theirs, or steady short calls
 * would starve them. */
static bool
allows_long(const struct balancer_target *target, double remote,
            const struct bounds *bounds)
{
    const struct rp_route_target *route = &target->route;
    if (bounds->has_long_room && route->in_flight + remote + 1 <= route->slots)
    {
        return true;
    }
    double share = fmax(route->slots * bounds->inverse_deciders, 1);
    return bounds->within_local_long_share &&
           route->long_in_flight + 1 <= share;
}

static bool
has_room(const struct balancer_target *target, double remote, bool is_long,
         const struct bounds *bounds)
{
    if ((target->outlier.trial && target->route.in_flight > 0) ||
        rp_rejection_is_full(&target->rejection, bounds->route.now_ns))
    {
        return false;
    }
    if (is_long && !allows_long(target, remote, bounds)) {
        return false;
    }
    return rp_limit_allows(&target->limit, target->route.in_flight, remote,
                           target->limit.limit * bounds->inverse_deciders,
                           bounds->within_local_share);
}

static void
evaluate_target(const struct balancer_target *target, uint32_t index,
                bool is_long, const struct bounds *bounds,
                struct choice *choice)
{
    double remote = rp_route_remote_by_terms(&target->route, &bounds->route);
    enum rank rank = RANK_EJECTED;
    if (!rp_outlier_is_ejected(&target->outlier, bounds->route.now_ns)) {
        double load = target->route.in_flight + remote;
        rank = bounds->estate_rank[target->estate];
        choice->slots_total += target->route.slots;
        choice->limit_total += target->limit.limit;
        choice->load_total += MIN(load, target->route.slots);
    }
    if (!has_room(target, remote, is_long, bounds)) {
        choice->has_full[rank] = true;
        return;
    }
    double cost =
        rp_route_cost_by_terms(&target->route, &bounds->route, remote) +
        target->outlier.failure_rate * FAILURE_COST *
            bounds->route.response_ns;
    if (cost < choice->cost[rank]) {
        choice->target[rank] = index;
        choice->cost[rank] = cost;
    }
}

/* Evaluates each target from the next index of the round robin up to the last,
 * then those before. */
static void
evaluate_targets(const struct rp_balancer *balancer,
                 const struct rp_balancer_call *call, bool is_long,
                 const struct bounds *bounds, struct choice *choice)
{
    bool skip_avoided = call->avoided_count > 0 &&
                        has_untried(balancer, call, bounds->route.now_ns);
    uint32_t count = balancer->targets->len;
    uint32_t index = balancer->next_index < count ? balancer->next_index : 0;
    uint32_t ends[] = {count, index};
    for (int part = 0; part < 2; part++) {
        const struct balancer_target *target = balancer_get(balancer, index);
        for (; index < ends[part]; index++, target++) {
            if (balancer_is_open(target, bounds->route.now_ns) &&
                !(skip_avoided && balancer_is_avoided(call, index)))
            {
                evaluate_target(target, index, is_long, bounds, choice);
            }
        }
        index = 0;
    }
}

static uint32_t
best_target(const struct choice *choice)
{
    for (int rank = RANK_IN_SHARE; rank <= RANK_OVER_SHARE; rank++) {
        if (choice->target[rank] != RP_BALANCER_NO_TARGET) {
            return choice->target[rank];
        }
    }
    if (choice->has_full[RANK_IN_SHARE] || choice->has_full[RANK_OVER_SHARE]) {
        return RP_BALANCER_NO_TARGET;
    }
    if (choice->target[RANK_NO_SHARE] != RP_BALANCER_NO_TARGET ||
        choice->has_full[RANK_NO_SHARE])
    {
        return choice->target[RANK_NO_SHARE];
    }
    return choice->target[RANK_EJECTED];
}

/* Returns the index of the best target for a call, or RP_BALANCER_NO_TARGET
 * when none has room. Ejected targets and those of estates without a share are
 * used only when there are no others. */
uint32_t
rp_balancer_choose(struct rp_balancer *balancer,
                   const struct rp_balancer_call *call, bool is_long,
                   int64_t now_ns)
{
    struct choice choice = {0};
    for (int rank = 0; rank < RANK_COUNT; rank++) {
        choice.target[rank] = RP_BALANCER_NO_TARGET;
        choice.cost[rank] = INFINITY;
    }
    struct bounds bounds = {
        .route = rp_route_terms(&balancer->pool, now_ns),
        .inverse_deciders = 1.0 / balancer->pool.deciders,
    };
    bounds.within_local_share =
        balancer->local_in_flight <
        fmax(balancer->limit_total * bounds.inverse_deciders, 1);
    double local_slots = balancer->slots_total * bounds.inverse_deciders;
    bounds.within_local_long_share =
        balancer->local_long_in_flight < fmax(local_slots / 2, 1);
    bounds.has_long_room =
        balancer->load_total + 1 <=
        balancer->slots_total * (1 - RESERVED_SHORT_SLOT_SHARE);
    for (uint32_t i = 0; i < balancer->shares.count; i++) {
        bounds.estate_rank[i] = rank_of_estate(balancer, i);
    }
    evaluate_targets(balancer, call, is_long, &bounds, &choice);
    balancer->slots_total = choice.slots_total;
    balancer->limit_total = choice.limit_total;
    balancer->load_total = choice.load_total;
    return best_target(&choice);
}
