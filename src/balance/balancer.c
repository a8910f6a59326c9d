#include "balancer.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

#include "balancer_private.h"
#include "search_time.h"

#define FAILURE_RATE_WEIGHT (1.0 / 64)
#define LONG_RESPONSE_WEIGHT (1.0 / 16)
#define REJECTION_WEIGHT (1.0 / 32)
/* Weight of a rejection in the share of those by targets with room. */
#define ROOM_WEIGHT (1.0 / 8)
/* From this share on, a fault and not a lack of capacity rejects calls. */
#define MIN_ROOM_SHARE 0.5
/* A hedge of a service that rejects more would most likely be rejected. */
#define MAX_HEDGE_REJECTION_RATE 0.25
/* Used until the first answer arrives. */
#define DEFAULT_RESPONSE_NS 5000000.0
#define NO_TARGET_RETRY_AFTER_NS 1000000000
/* Refused callers return within this time at the end of the second, since an
 * evacuation may be withdrawn at any time. */
#define EVACUATED_RETRY_SPREAD_NS 250000000
#define MIN_RETRY_AFTER_NS 100000000
/* Calls wait this long at most for the first target that may get them. */
#define MAX_CLOSED_WAIT_NS 40000000
/* Callers that return when a target may get calls again are spread over this
 * part of the wait. */
#define CLOSED_SPREAD_DIVISOR 4
#define MAX_RETRY_AFTER_NS 5000000000
/* Routes of a service whose calls are considered at a time. */
#define MAX_HELD_ROUTES 4

static void
clear_target(gpointer data)
{
    struct balancer_target *target = data;
    g_free(target->address);
    g_free(target->instance);
    g_free(target->domain);
    g_free(target->name);
    g_free(target->estate_name);
}

static void
init_retries(struct rp_balancer *balancer)
{
    const struct rp_balancer_config *config = &balancer->config;
    bool has_limits = config->retry_window_ns > 0;
    rp_retry_budget_init(
        &balancer->retries,
        has_limits ? config->retry_ratio : RP_BALANCER_DEFAULT_RETRY_RATIO, 0,
        has_limits ? config->retry_window_ns
                   : RP_BALANCER_DEFAULT_RETRY_WINDOW_NS);
}

static double
fleet_allowance(const struct rp_balancer *balancer)
{
    return balancer->config.retry_window_ns > 0
               ? balancer->config.retry_allowance
               : RP_BALANCER_DEFAULT_RETRY_ALLOWANCE;
}

/* Sets this entry VM's share, from 0 to 1, of the fleet's budgets of probes
 * and further attempts. */
void
rp_balancer_set_share(struct rp_balancer *balancer, double share)
{
    balancer->local_probes_per_s = balancer->config.probes_per_s * share;
    rp_balancer_set_retry_share(balancer, share, 0, 0);
}

/* Sets this entry VM's own share, from 0 to 1, of the fleet's allowance of
 * further attempts, and what it may use in addition before
 * borrowed_until_ns. */
void
rp_balancer_set_retry_share(struct rp_balancer *balancer, double own,
                            double borrowed, int64_t borrowed_until_ns)
{
    double allowance = fleet_allowance(balancer);
    balancer->retries.allowance = allowance * own;
    balancer->retries.loan = allowance * borrowed;
    balancer->retries.loan_until_ns = borrowed_until_ns;
}

/* Returns when the last further attempt was allowed, or INT64_MIN. */
int64_t
rp_balancer_last_retry_ns(const struct rp_balancer *balancer)
{
    return balancer->retries.last_retry_ns;
}

/* Sets when a target may get calls. Call this after a change of what decides
 * it. */
static void
update_open(struct balancer_target *target)
{
    bool is_usable = target->present && !target->draining &&
                     !target->evacuated && !target->reported_draining &&
                     !target->notice.leaving;
    target->open_ns = is_usable ? target->notice.closed_until_ns : INT64_MAX;
    if (is_usable && rp_rejection_is_lasting(&target->rejection)) {
        target->open_ns =
            MAX(target->open_ns, target->rejection.full_until_ns);
    }
    target->warm_open_ns = target->open_ns;
    target->open_ns =
        MAX(target->open_ns, rp_cold_rate_turn_ns(&target->cold));
}

/* Sets what is known of the fleet, which decides whether this entry VM sends
 * to cold targets. */
void
rp_balancer_set_cold_fleet(struct rp_balancer *balancer,
                           const struct rp_cold_fleet *fleet, int64_t now_ns)
{
    for (uint32_t i = 0; i < balancer->targets->len; i++) {
        struct balancer_target *target = balancer_get(balancer, i);
        if (target->cold.limited) {
            rp_cold_rate_set_part(
                &target->cold,
                rp_cold_fleet_part(fleet, &balancer->cold_limit,
                                   target->domain, target->run),
                now_ns);
            update_open(target);
        }
    }
}

/* Creates a balancer without targets. Free it with rp_balancer_free. */
struct rp_balancer *
rp_balancer_new(const struct rp_balancer_config *config)
{
    struct rp_balancer *balancer = g_new0(struct rp_balancer, 1);
    balancer->config = *config;
    balancer->config.domain = g_strdup(config->domain);
    balancer->targets =
        g_array_new(FALSE, TRUE, sizeof(struct balancer_target));
    g_array_set_clear_func(balancer->targets, clear_target);
    balancer->random = g_rand_new_with_seed((guint32)config->seed);
    uint32_t deciders =
        config->deciders > 0 ? config->deciders : config->fleet_size;
    rp_route_pool_init(&balancer->pool, MAX(deciders, 1));
    rp_sync_probe_pool_init(&balancer->sync_probe);
    balancer->probe_due_ns = INT64_MAX;
    balancer->open_due_ns = INT64_MAX;
    balancer->admission = rp_admission_new(config->queue_limit);
    balancer->backlog = rp_backlog_new(config->queue_limit);
    rp_length_init(&balancer->length);
    init_retries(balancer);
    rp_balancer_set_share(balancer, 1.0 / MAX(config->fleet_size, 1));
    rp_hedge_init(&balancer->hedge);
    rp_crossing_init(&balancer->crossing, config->automatic_crossing);
    return balancer;
}

/* Frees a balancer; NULL is allowed. */
void
rp_balancer_free(struct rp_balancer *balancer)
{
    if (balancer == NULL) {
        return;
    }
    g_array_unref(balancer->targets);
    rp_admission_free(balancer->admission);
    rp_backlog_free(balancer->backlog);
    g_rand_free(balancer->random);
    g_free((char *)balancer->config.domain);
    g_free(balancer);
}

static struct balancer_target *
find_target(struct rp_balancer *balancer, const char *address)
{
    for (uint32_t i = 0; i < balancer->targets->len; i++) {
        struct balancer_target *target = balancer_get(balancer, i);
        if (strcmp(target->address, address) == 0) {
            return target;
        }
    }
    return NULL;
}

/* Returns a number that identifies a run of a target, the same on all entry
 * VMs. */
static uint64_t
hash_run(const struct rp_target *source)
{
    uint64_t hash =
        XXH3_64bits_withSeed(source->address, strlen(source->address),
                             (uint64_t)source->started_ms);
    return XXH3_64bits_withSeed(source->instance, strlen(source->instance),
                                hash);
}

/* Records how long a target stays cold by a new version of its record. */
static void
record_cold_entry(struct balancer_target *target,
                  const struct rp_target *source, int64_t now_ns)
{
    if (target->record_version != source->version) {
        target->record_version = source->version;
        rp_cold_rate_record_entry(&target->cold, source->cold_ms, now_ns);
    }
}

static struct balancer_target *
add_target(struct rp_balancer *balancer, const struct rp_target *source,
           int64_t now_ns)
{
    struct balancer_target fresh = {
        .address = g_strdup(source->address),
        .instance = g_strdup(source->instance),
        .domain = g_strdup(source->domain),
        .started_ms = source->started_ms,
        .run = hash_run(source),
        .record_version = source->version,
        .joined_later = balancer->configured,
    };
    rp_cold_rate_record_entry(&fresh.cold, source->cold_ms, now_ns);
    bool local = g_strcmp0(source->domain, balancer->config.domain) == 0;
    fresh.crossing_domain =
        local ? RP_CROSSING_LOCAL
              : rp_crossing_add_domain(
                    &balancer->crossing,
                    source->domain == NULL ? 0 : g_str_hash(source->domain));
    rp_route_init(&fresh.route, source->slots, local);
    /* A target added to a service in use has probably just started. */
    rp_limit_init(&fresh.limit, source->slots, balancer->configured);
    rp_outlier_init(&fresh.outlier);
    rp_sync_probe_init(&fresh.sync_probe, now_ns);
    g_array_append_val(balancer->targets, fresh);
    return balancer_get(balancer, balancer->targets->len - 1);
}

/* Resets the state of a target whose address now belongs to another instance,
 * or to another run of it.
 * Requests in flight at the address still count. */
static void
replace_instance(struct rp_balancer *balancer, struct balancer_target *target,
                 const struct rp_target *source, uint32_t cold_start_ms,
                 int64_t now_ns)
{
    rp_sync_probe_record_end(&target->sync_probe, &balancer->sync_probe, false,
                             now_ns);
    g_free(target->instance);
    target->instance = g_strdup(source->instance);
    target->started_ms = source->started_ms;
    target->run = hash_run(source);
    target->record_version = source->version;
    rp_cold_rate_record_entry(&target->cold,
                              MAX(source->cold_ms, cold_start_ms), now_ns);
    rp_cold_rate_set_part(&target->cold, 0, now_ns);
    target->reported_draining = false;
    rp_target_notice_clear(&target->notice);
    rp_rejection_record_success(&target->rejection);
    target->joined_later = true;
    rp_limit_init(&target->limit, source->slots, true);
    rp_outlier_init(&target->outlier);
    rp_sync_probe_init(&target->sync_probe, now_ns);
}

static bool
has_coarse_targets(const struct rp_service *service)
{
    for (uint32_t i = 0; i < service->target_count; i++) {
        if (!rp_search_time_applies(service->targets[i].slots)) {
            return false;
        }
    }
    return service->target_count > 0;
}

/* Applies a service's configuration. Targets with a known address keep their
 * index and state; targets that are no longer listed keep their index but get
 * no calls. */
void
rp_balancer_set_service(struct rp_balancer *balancer,
                        const struct rp_service *service, int64_t now_ns)
{
    for (uint32_t i = 0; i < balancer->targets->len; i++) {
        balancer_get(balancer, i)->present = false;
        update_open(balancer_get(balancer, i));
    }
    balancer->slots_total = 0;
    balancer->limit_total = 0;
    balancer->cold_limit =
        (struct rp_cold_limit){.calls_per_s = service->cold_per_s,
                               .overage = balancer->config.cold_overage,
                               .slack = balancer->config.cold_slack};
    for (uint32_t i = 0; i < service->target_count; i++) {
        const struct rp_target *source = &service->targets[i];
        struct balancer_target *target =
            find_target(balancer, source->address);
        if (target == NULL) {
            target = add_target(balancer, source, now_ns);
        }
        else if (strcmp(target->instance, source->instance) != 0 ||
                 target->started_ms != source->started_ms)
        {
            replace_instance(balancer, target, source, service->cold_start_ms,
                             now_ns);
        }
        record_cold_entry(target, source, now_ns);
        target->cold.limited = rp_cold_limit_applies(&balancer->cold_limit);
        g_free(target->name);
        g_free(target->estate_name);
        target->name = g_strdup(source->name);
        target->estate_name = g_strdup(service->estates[source->estate].name);
        target->estate = source->estate;
        target->present = true;
        target->draining = source->draining;
        target->evacuated = source->evacuated;
        update_open(target);
        balancer->slots_total += target->route.slots;
        balancer->limit_total += target->limit.limit;
    }
    rp_estate_share_set(&balancer->shares, service->estates,
                        service->estate_count);
    balancer->length_class = service->length_class;
    balancer->sync_probe.enabled = service->probe_before_calls;
    balancer->sync_probe.coarse = has_coarse_targets(service);
    balancer->configured = true;
}

/* Sets how many entry VMs currently send to the service. */
void
rp_balancer_set_deciders(struct rp_balancer *balancer, uint32_t deciders,
                         int64_t now_ns)
{
    (void)now_ns;
    balancer->pool.deciders = MAX(deciders, 1);
}

/* Returns whether a call counts as long for slots and queues. A service whose
 * calls are all long has no short calls to protect. */
static bool
is_long_call(const struct rp_balancer *balancer, uint64_t kind, uint32_t flags)
{
    if (balancer->length_class != RP_LENGTH_MEASURED) {
        return false;
    }
    return (flags & RP_CALL_LONG) != 0 ||
           rp_length_may_be_long(&balancer->length, kind);
}

static double
usual_response_ns(const struct rp_balancer *balancer, bool is_long)
{
    double mean_ns =
        is_long ? balancer->long_response_ns : balancer->pool.response_ns;
    return mean_ns > 0 ? mean_ns : DEFAULT_RESPONSE_NS;
}

/* Returns the expected time between two calls of a class leaving this entry
 * VM's queue: its share of the slots turns over once per response time. */
static double
expected_departure_interval_ns(const struct rp_balancer *balancer,
                               bool is_long)
{
    double slots = fmax(balancer->slots_total, 1) / balancer->pool.deciders;
    return usual_response_ns(balancer, is_long) /
           (is_long ? slots / 2 : slots);
}

static double
slot_utilization(const struct rp_balancer *balancer)
{
    return balancer->slots_total > 0
               ? balancer->load_total / balancer->slots_total
               : 1;
}

static struct rp_return_time
return_state(const struct rp_balancer *balancer,
             const struct rp_balancer_call *call, bool is_long, int64_t now_ns)
{
    bool probes = rp_sync_probe_in_use(&balancer->sync_probe);
    enum rp_admission_class queue_class =
        is_long ? RP_ADMISSION_LONG : RP_ADMISSION_SHORT;
    return (struct rp_return_time){
        .goal_left_ns = call->goal_ns > 0 ? call->goal_ns - now_ns
                                          : RP_RETURN_TIME_NO_GOAL,
        .usual_ns = (int64_t)(probes ? rp_sync_probe_usual_ns(
                                           &balancer->sync_probe, call->route)
                                     : usual_response_ns(balancer, is_long)),
        .queue_ns =
            probes ? rp_backlog_wait_ns(balancer->backlog)
                   : rp_admission_wait_ns(balancer->admission, queue_class),
    };
}

static bool
rejects_with_room(const struct rp_balancer *balancer)
{
    return balancer->rejections_with_room > MIN_ROOM_SHARE;
}

/* Returns the retry delay for a refused caller, with jitter so that refused
 * callers do not return together. */
static int64_t
retry_after_ns(struct rp_balancer *balancer, enum rp_refusal refusal,
               const struct rp_balancer_call *call, bool is_long,
               int64_t now_ns)
{
    double random = g_rand_double(balancer->random);
    if (refusal == RP_REFUSAL_NO_TARGET) {
        return NO_TARGET_RETRY_AFTER_NS +
               (int64_t)(random * NO_TARGET_RETRY_AFTER_NS);
    }
    struct rp_return_time state =
        return_state(balancer, call, is_long, now_ns);
    state.has_room =
        refusal == RP_REFUSAL_BUDGET && rejects_with_room(balancer);
    return rp_return_time_ns(&state, random);
}

/* Returns the retry delay for the caller of a call whose attempts were all
 * rejected and that gets no further one. */
int64_t
rp_balancer_return_ns(struct rp_balancer *balancer,
                      const struct rp_balancer_call *call, int64_t now_ns)
{
    return retry_after_ns(balancer, RP_REFUSAL_BUDGET, call,
                          is_long_call(balancer, call->kind, call->flags),
                          now_ns);
}

static void
refuse(struct rp_balancer *balancer, enum rp_refusal refusal,
       const struct rp_balancer_call *call, bool is_long, int64_t now_ns,
       struct rp_balancer_verdict *verdict)
{
    verdict->action = RP_BALANCER_REFUSE;
    verdict->refusal = refusal;
    verdict->target = RP_BALANCER_NO_TARGET;
    verdict->retry_after_ns =
        retry_after_ns(balancer, refusal, call, is_long, now_ns);
}

static void
init_verdict(const struct rp_balancer_call *call, bool is_long,
             struct rp_balancer_verdict *verdict)
{
    memset(verdict, 0, sizeof(*verdict));
    verdict->call_id = call->call_id;
    verdict->target = RP_BALANCER_NO_TARGET;
    verdict->flags = call->flags | (is_long ? RP_CALL_LONG : 0);
}

/* Returns whether a target is cold, of those whose calls are limited then. */
static bool
is_cold(const struct balancer_target *target, int64_t now_ns)
{
    return target->cold.limited &&
           rp_cold_rate_remaining_ns(&target->cold, now_ns) > 0;
}

/* Returns the usual time until one of a target's slots is free. */
static double
slot_turn_ns(const struct rp_balancer *balancer,
             const struct balancer_target *target)
{
    return usual_response_ns(balancer, false) / fmax(target->route.slots, 1);
}

static void
assign_target(struct rp_balancer *balancer, uint32_t index, bool is_long,
              int64_t now_ns, struct rp_balancer_verdict *verdict)
{
    struct balancer_target *target = balancer_get(balancer, index);
    rp_route_record_sent(&target->route, is_long, now_ns);
    verdict->slowness = rp_sync_probe_slowness(&target->sync_probe,
                                               &balancer->sync_probe, now_ns);
    verdict->load =
        rp_sync_probe_load(&target->sync_probe, &balancer->sync_probe,
                           target->route.slots, now_ns);
    verdict->near_capacity =
        rp_sync_probe_is_near_capacity(verdict->load, target->route.slots);
    verdict->report_age_ns = target->sync_probe.reported
                                 ? now_ns - target->sync_probe.report_ns
                                 : -1;
    verdict->cold = is_cold(target, now_ns);
    rp_cold_rate_consume(&target->cold, now_ns);
    rp_sync_probe_record_sent(&target->sync_probe, now_ns);
    rp_rejection_record_sent(&target->rejection,
                             slot_turn_ns(balancer, target), now_ns);
    update_open(target);
    rp_estate_share_record_sent(&balancer->shares, target->estate);
    target->sent++;
    balancer->local_in_flight++;
    balancer->local_long_in_flight += is_long;
    balancer->load_total += 1;
    balancer->next_index = index + 1;
    if (target->crossing_domain != RP_CROSSING_LOCAL) {
        rp_crossing_record_sent(&balancer->crossing, target->crossing_domain);
        verdict->crossing = balancer->crossing_reason;
    }
    balancer->crossing_reason = RP_CROSSING_NONE;
    verdict->action = RP_BALANCER_SEND;
    verdict->target = index;
}

/* Returns when the first usable target may get calls: a time that has passed
 * if one may now, INT64_MAX if there is none. Without turns, cold targets
 * count as warm ones. */
static int64_t
first_open_ns(const struct rp_balancer *balancer, bool turns)
{
    int64_t first_ns = INT64_MAX;
    for (uint32_t i = 0; i < balancer->targets->len; i++) {
        const struct balancer_target *target = balancer_get(balancer, i);
        int64_t open_ns = turns ? target->open_ns : target->warm_open_ns;
        /* Without probes, ejected targets are the last choice. */
        if (rp_sync_probe_in_use(&balancer->sync_probe)) {
            open_ns = MAX(open_ns, target->outlier.ejected_until_ns);
        }
        first_ns = MIN(first_ns, open_ns);
    }
    return first_ns;
}

static bool
has_evacuated(const struct rp_balancer *balancer)
{
    for (uint32_t i = 0; i < balancer->targets->len; i++) {
        const struct balancer_target *target = balancer_get(balancer, i);
        if (target->present && target->evacuated) {
            return true;
        }
    }
    return false;
}

/* Refuses a call if no target may get it soon. Returns whether it did. */
static bool
refuse_if_closed(struct rp_balancer *balancer,
                 const struct rp_balancer_call *call, bool is_long,
                 int64_t now_ns, struct rp_balancer_verdict *verdict)
{
    int64_t open_ns = first_open_ns(balancer, true);
    if (open_ns <= now_ns + MAX_CLOSED_WAIT_NS) {
        return false;
    }
    bool held_back =
        first_open_ns(balancer, false) <= now_ns + MAX_CLOSED_WAIT_NS;
    refuse(balancer, held_back ? RP_REFUSAL_COLD : RP_REFUSAL_NO_TARGET, call,
           is_long, now_ns, verdict);
    if (open_ns < INT64_MAX) {
        int64_t wait_ns =
            CLAMP(open_ns - now_ns, MIN_RETRY_AFTER_NS, MAX_RETRY_AFTER_NS);
        verdict->retry_after_ns =
            wait_ns + (int64_t)(g_rand_double(balancer->random) *
                                (double)wait_ns / CLOSED_SPREAD_DIVISOR);
    }
    else if (has_evacuated(balancer)) {
        verdict->retry_after_ns = NO_TARGET_RETRY_AFTER_NS -
                                  (int64_t)(g_rand_double(balancer->random) *
                                            EVACUATED_RETRY_SPREAD_NS);
    }
    return true;
}

/* Returns the part of the retry budget that a retry of a call may use. */
static double
retry_part(const struct rp_balancer *balancer,
           const struct rp_balancer_call *call, bool is_long, int64_t now_ns)
{
    if ((call->flags & RP_CALL_RETURNING) != 0 || !rejects_with_room(balancer))
    {
        return 1;
    }
    struct rp_return_time state =
        return_state(balancer, call, is_long, now_ns);
    return rp_return_time_meets_goal(&state)
               ? rp_return_time_new_call_part(balancer->rejection_rate,
                                              balancer->retries.ratio)
               : 1;
}

static bool
consume_budget(struct rp_balancer *balancer,
               const struct rp_balancer_call *call, bool is_long,
               int64_t now_ns)
{
    if ((call->flags & RP_CALL_HEDGE) != 0 &&
        rp_sync_probe_in_use(&balancer->sync_probe))
    {
        return balancer->rejection_rate < MAX_HEDGE_REJECTION_RATE &&
               rp_sync_probe_allows_hedge(&balancer->sync_probe) &&
               rp_retry_budget_consume(&balancer->retries, now_ns);
    }
    if ((call->flags & RP_CALL_HEDGE) != 0) {
        return rp_hedge_consume(&balancer->hedge,
                                slot_utilization(balancer)) &&
               rp_retry_budget_consume(&balancer->retries, now_ns);
    }
    if ((call->flags & RP_CALL_RETRY) != 0) {
        return rp_retry_budget_consume_part(
            &balancer->retries, retry_part(balancer, call, is_long, now_ns),
            now_ns);
    }
    rp_retry_budget_record_call(&balancer->retries, now_ns);
    rp_hedge_record_call(&balancer->hedge);
    return true;
}

/* Queues a call until a probe has found a target for it. */
static void
queue_for_probe(struct rp_balancer *balancer,
                const struct rp_balancer_call *call, int64_t now_ns,
                struct rp_balancer_verdict *verdict)
{
    if (refuse_if_closed(balancer, call, false, now_ns, verdict)) {
        return;
    }
    struct rp_balancer_call waiting = *call;
    waiting.offered_ns = now_ns;
    double usual_ns =
        rp_sync_probe_usual_ns(&balancer->sync_probe, call->route);
    double slots = fmax(balancer->slots_total / balancer->pool.deciders, 1);
    rp_backlog_set_initial_interval(balancer->backlog, usual_ns / slots);
    enum rp_refusal refusal =
        rp_backlog_offer(balancer->backlog, &waiting, usual_ns, now_ns);
    verdict->action = RP_BALANCER_WAIT;
    if (refusal != RP_REFUSAL_NONE) {
        refuse(balancer, refusal, call, false, now_ns, verdict);
    }
}

/* Decides the next call of the backlog that can go on: starts a probe for it
 * or sends it. A call that still waits for a target holds back later calls of
 * its route only, since other routes may use targets that it does not. Returns
 * false when there is nothing to do yet. */
static bool
advance_backlog(struct rp_balancer *balancer, int64_t now_ns,
                struct rp_balancer_verdict *verdict)
{
    uint64_t held_routes[MAX_HELD_ROUTES];
    uint32_t held_count = 0;
    const struct rp_balancer_call *call;
    balancer->probe_due_ns = INT64_MAX;
    while (held_count < MAX_HELD_ROUTES &&
           (call = rp_backlog_peek(balancer->backlog, held_routes, held_count,
                                   now_ns)) != NULL)
    {
        uint32_t target = RP_BALANCER_NO_TARGET;
        int64_t due_ns = INT64_MAX;
        enum rp_balancer_action action = rp_balancer_sync_probe(
            balancer, call, rp_backlog_count(balancer->backlog), now_ns,
            &target, &due_ns);
        balancer->probe_due_ns = MIN(balancer->probe_due_ns, due_ns);
        if (action == RP_BALANCER_WAIT) {
            held_routes[held_count++] = call->route;
            continue;
        }
        init_verdict(call, false, verdict);
        if (action == RP_BALANCER_PROBE) {
            verdict->action = RP_BALANCER_PROBE;
            verdict->target = target;
            return true;
        }
        assign_target(balancer, target, false, now_ns, verdict);
        rp_backlog_pop(balancer->backlog, call->call_id, now_ns);
        return true;
    }
    return false;
}

/* Decides whether a call is sent to a target, queued or refused. A hedge is
 * queued only with synchronous probes; otherwise it would wait for the same
 * slots as the first request. */
void
rp_balancer_offer(struct rp_balancer *balancer,
                  const struct rp_balancer_call *call, int64_t now_ns,
                  struct rp_balancer_verdict *verdict)
{
    bool is_long = is_long_call(balancer, call->kind, call->flags);
    enum rp_admission_class queue_class =
        is_long ? RP_ADMISSION_LONG : RP_ADMISSION_SHORT;
    init_verdict(call, is_long, verdict);
    rp_crossing_record_call(&balancer->crossing, now_ns);
    if (call->aim_ns > 0) {
        rp_usual_time_set_goal(&balancer->sync_probe.routes, call->route,
                               (double)call->aim_ns);
    }
    if (!consume_budget(balancer, call, is_long, now_ns)) {
        refuse(balancer, RP_REFUSAL_BUDGET, call, is_long, now_ns, verdict);
        return;
    }
    bool hedge = (call->flags & RP_CALL_HEDGE) != 0;
    if (rp_sync_probe_in_use(&balancer->sync_probe)) {
        queue_for_probe(balancer, call, now_ns, verdict);
        return;
    }
    if (hedge || rp_admission_count(balancer->admission, queue_class) == 0) {
        uint32_t target = rp_balancer_choose(balancer, call, is_long, now_ns);
        if (target != RP_BALANCER_NO_TARGET) {
            assign_target(balancer, target, is_long, now_ns, verdict);
            return;
        }
        if (hedge) {
            refuse(balancer, RP_REFUSAL_BUDGET, call, is_long, now_ns,
                   verdict);
            return;
        }
        if (refuse_if_closed(balancer, call, is_long, now_ns, verdict)) {
            return;
        }
    }
    enum rp_refusal refusal =
        rp_admission_offer(balancer->admission, call, queue_class,
                           expected_departure_interval_ns(balancer, is_long),
                           usual_response_ns(balancer, is_long), now_ns);
    verdict->action = RP_BALANCER_WAIT;
    if (refusal != RP_REFUSAL_NONE) {
        refuse(balancer, refusal, call, is_long, now_ns, verdict);
    }
}

static const struct rp_balancer_call *
peek_queued(const struct rp_balancer *balancer, int64_t now_ns)
{
    const struct rp_balancer_call *call =
        rp_backlog_peek(balancer->backlog, NULL, 0, now_ns);
    for (int i = 0; call == NULL && i < RP_ADMISSION_CLASSES; i++) {
        call = rp_admission_peek(balancer->admission, i);
    }
    return call;
}

/* Refuses one queued call of a service that has no usable target any more, or
 * none that may get calls soon, as a new call would be. Returns false when
 * there is no such call. */
static bool
refuse_without_target(struct rp_balancer *balancer, int64_t now_ns,
                      struct rp_balancer_verdict *verdict)
{
    if (rp_balancer_queued(balancer) == 0 ||
        first_open_ns(balancer, true) <= now_ns + MAX_CLOSED_WAIT_NS)
    {
        return false;
    }
    const struct rp_balancer_call *queued = peek_queued(balancer, now_ns);
    bool is_long = is_long_call(balancer, queued->kind, queued->flags);
    init_verdict(queued, is_long, verdict);
    refuse_if_closed(balancer, queued, is_long, now_ns, verdict);
    rp_balancer_withdraw(balancer, verdict->call_id, now_ns);
    return true;
}

/* Returns when the next closed target wants requests again, or when it is this
 * entry VM's turn at a cold one; INT64_MAX if there is none. */
static int64_t
next_open_ns(const struct rp_balancer *balancer, int64_t now_ns)
{
    int64_t next_ns = INT64_MAX;
    for (uint32_t i = 0; i < balancer->targets->len; i++) {
        int64_t open_ns = balancer_get(balancer, i)->open_ns;
        if (open_ns > now_ns) {
            next_ns = MIN(next_ns, open_ns);
        }
    }
    return next_ns;
}

/* Fills in the next verdict on a queued call; returns false when there is
 * none. Short calls go before long ones, which have slots of their own. */
bool
rp_balancer_next(struct rp_balancer *balancer, int64_t now_ns,
                 struct rp_balancer_verdict *verdict)
{
    struct rp_balancer_call expired;
    if (rp_backlog_expire(balancer->backlog, now_ns, &expired) ||
        rp_admission_expire(balancer->admission, now_ns, &expired))
    {
        bool is_long = is_long_call(balancer, expired.kind, expired.flags);
        init_verdict(&expired, is_long, verdict);
        refuse(balancer, RP_REFUSAL_DEADLINE, &expired, is_long, now_ns,
               verdict);
        return true;
    }
    if (refuse_without_target(balancer, now_ns, verdict)) {
        return true;
    }
    if (rp_backlog_drop(balancer->backlog, now_ns, &expired)) {
        init_verdict(&expired, false, verdict);
        refuse(balancer, RP_REFUSAL_QUEUE_FULL, &expired, false, now_ns,
               verdict);
        return true;
    }
    /* Both queues hold calls after probes were switched on or off. */
    if ((rp_sync_probe_in_use(&balancer->sync_probe) ||
         rp_backlog_count(balancer->backlog) > 0) &&
        advance_backlog(balancer, now_ns, verdict))
    {
        return true;
    }
    for (int i = 0; i < RP_ADMISSION_CLASSES; i++) {
        const struct rp_balancer_call *call =
            rp_admission_peek(balancer->admission, i);
        if (call == NULL) {
            continue;
        }
        bool is_long = i == RP_ADMISSION_LONG;
        uint32_t target = rp_balancer_choose(balancer, call, is_long, now_ns);
        if (target != RP_BALANCER_NO_TARGET) {
            init_verdict(call, is_long, verdict);
            assign_target(balancer, target, is_long, now_ns, verdict);
            rp_admission_pop(balancer->admission, i, now_ns);
            return true;
        }
    }
    balancer->open_due_ns = next_open_ns(balancer, now_ns);
    return false;
}

/* Consumes budget for a further attempt that is not passed to
 * rp_balancer_offer, such as one over a new connection to the same target.
 * Returns false when the budget is exhausted. */
bool
rp_balancer_consume_retry(struct rp_balancer *balancer, int64_t now_ns)
{
    return rp_retry_budget_consume(&balancer->retries, now_ns);
}

/* Takes the turn for an attempt at a target that is not passed to
 * rp_balancer_offer, and sets whether the target is cold. Returns false if it
 * is and it is not this entry VM's turn. */
bool
rp_balancer_consume_turn(struct rp_balancer *balancer, uint32_t target,
                         int64_t now_ns, bool *cold)
{
    struct balancer_target *entry = balancer_get(balancer, target);
    *cold = is_cold(entry, now_ns);
    bool has_turn = rp_cold_rate_consume(&entry->cold, now_ns);
    update_open(entry);
    return has_turn;
}

/* Removes a queued call whose caller has disconnected. */
void
rp_balancer_withdraw(struct rp_balancer *balancer, uint64_t call_id,
                     int64_t now_ns)
{
    (void)now_ns;
    if (!rp_backlog_withdraw(balancer->backlog, call_id)) {
        rp_admission_withdraw(balancer->admission, call_id);
    }
}

/* Returns when rp_balancer_next must be called even without an event, or
 * INT64_MAX. */
int64_t
rp_balancer_due_ns(const struct rp_balancer *balancer)
{
    int64_t due_ns = MIN(rp_admission_due_ns(balancer->admission),
                         rp_backlog_due_ns(balancer->backlog));
    if (rp_balancer_queued(balancer) > 0) {
        due_ns = MIN(due_ns, balancer->open_due_ns);
    }
    /* Without waiting calls, the time of the next search may be an old one. */
    return rp_backlog_count(balancer->backlog) > 0
               ? MIN(due_ns, balancer->probe_due_ns)
               : due_ns;
}

/* Returns how long to wait for an answer before a hedge is worthwhile, or
 * INT64_MAX for never. */
int64_t
rp_balancer_hedge_delay_ns(const struct rp_balancer *balancer,
                           const struct rp_balancer_call *call)
{
    if ((call->flags & RP_CALL_REPEATABLE) == 0 ||
        balancer->length_class == RP_LENGTH_LONG ||
        is_long_call(balancer, call->kind, call->flags))
    {
        return INT64_MAX;
    }
    return rp_sync_probe_in_use(&balancer->sync_probe)
               ? rp_sync_probe_hedge_delay_ns(&balancer->sync_probe,
                                              call->route, call->aim_ns)
               : rp_hedge_delay_ns(&balancer->hedge,
                                   slot_utilization(balancer));
}

static void
record_answer(struct rp_balancer *balancer, struct balancer_target *target,
              const struct rp_attempt_report *report, bool is_long,
              int64_t now_ns)
{
    int64_t end_ns =
        report->first_byte_ns > 0 ? report->first_byte_ns : now_ns;
    int64_t response_ns = end_ns - report->sent_ns;
    bool waited = report->has_load && report->load.queued > 0;
    rp_length_record(&balancer->length, report->kind, now_ns - report->sent_ns,
                     waited);
    if (is_long && rp_length_is_long(&balancer->length, report->kind)) {
        if (balancer->long_response_ns <= 0) {
            balancer->long_response_ns = (double)response_ns;
        }
        balancer->long_response_ns +=
            LONG_RESPONSE_WEIGHT *
            ((double)response_ns - balancer->long_response_ns);
        return;
    }
    rp_hedge_record_response(&balancer->hedge, response_ns);
    rp_sync_probe_record_answer(&target->sync_probe, &balancer->sync_probe,
                                report->route, report->slowness,
                                report->near_capacity, response_ns, now_ns);
    rp_route_record_answer(&target->route, &balancer->pool, response_ns,
                           now_ns);
    double requests =
        target->route.in_flight +
        rp_route_remote_in_flight(&target->route, &balancer->pool, now_ns);
    rp_limit_record_answer(&target->limit, (double)response_ns, requests);
}

static uint32_t
count_ejected(const struct rp_balancer *balancer, int64_t now_ns,
              uint32_t *present)
{
    uint32_t ejected = 0;
    *present = 0;
    for (uint32_t i = 0; i < balancer->targets->len; i++) {
        const struct balancer_target *target = balancer_get(balancer, i);
        /* Evacuated targets cannot take over from ejected ones. */
        if (target->present && !target->evacuated) {
            (*present)++;
            ejected += rp_outlier_is_ejected(&target->outlier, now_ns);
        }
    }
    return ejected;
}

static void
record_failure(struct rp_balancer *balancer, struct balancer_target *target,
               int64_t now_ns)
{
    if (!rp_outlier_record_failure(&target->outlier, balancer->failure_rate) ||
        rp_outlier_is_ejected(&target->outlier, now_ns))
    {
        return;
    }
    uint32_t present;
    uint32_t ejected = count_ejected(balancer, now_ns, &present);
    if (ejected < rp_outlier_max_ejected(present)) {
        rp_outlier_eject(&target->outlier, g_rand_double(balancer->random),
                         now_ns);
    }
}

/* Records a success. One of a request that was sent before a wait does not
 * show that the target is well again after it. */
static void
record_success(struct balancer_target *target, int64_t sent_ns)
{
    bool is_trial = target->outlier.trial;
    rp_rejection_record_success(&target->rejection);
    update_open(target);
    rp_outlier_record_success(&target->outlier);
    if (is_trial && rp_target_notice_is_closed(&target->notice, sent_ns)) {
        target->outlier.trial = true;
    }
}

/* Returns whether a target that has rejected a request has a free slot, by its
 * own report if there is one. */
static bool
has_room(const struct rp_balancer *balancer,
         const struct balancer_target *target,
         const struct rp_attempt_report *report, int64_t now_ns)
{
    double slots = target->route.slots;
    if (report->has_load) {
        return report->load.in_flight + report->load.queued < slots;
    }
    return rp_sync_probe_in_use(&balancer->sync_probe)
               ? rp_sync_probe_load(&target->sync_probe, &balancer->sync_probe,
                                    slots, now_ns) < slots
               : target->route.in_flight < slots;
}

static void
record_rejection_rate(struct rp_balancer *balancer, bool rejected)
{
    balancer->rejection_rate +=
        REJECTION_WEIGHT * ((rejected ? 1 : 0) - balancer->rejection_rate);
}

static void
record_rejection(struct rp_balancer *balancer, struct balancer_target *target,
                 const struct rp_attempt_report *report, int64_t now_ns)
{
    bool with_room = has_room(balancer, target, report, now_ns);
    record_rejection_rate(balancer, true);
    balancer->rejections_with_room +=
        ROOM_WEIGHT * ((with_room ? 1 : 0) - balancer->rejections_with_room);
    rp_limit_record_refusal(&target->limit);
    rp_rejection_record(&target->rejection, slot_turn_ns(balancer, target),
                        now_ns);
    update_open(target);
    record_failure(balancer, target, now_ns);
}

/* Records the outcome of a call to a local target for the decision which calls
 * may leave the failure domain. */
static void
record_for_crossing(struct rp_balancer *balancer,
                    const struct balancer_target *target,
                    const struct rp_attempt_report *report, int64_t now_ns)
{
    bool rejected = report->outcome == RP_ATTEMPT_NOT_RUN;
    if (target->crossing_domain == RP_CROSSING_LOCAL &&
        (rejected || report->outcome == RP_ATTEMPT_OK))
    {
        rp_crossing_record_local_answer(&balancer->crossing, rejected, now_ns);
    }
}

static void
record_outcome(struct rp_balancer *balancer, struct balancer_target *target,
               const struct rp_attempt_report *report, bool is_long,
               int64_t now_ns)
{
    int64_t elapsed_ns = now_ns - report->sent_ns;
    bool failed = true;
    switch (report->outcome) {
    case RP_ATTEMPT_OK:
        record_success(target, report->sent_ns);
        record_rejection_rate(balancer, false);
        if (report->sent_ns >= balancer->pause_end_ns) {
            record_answer(balancer, target, report, is_long, now_ns);
        }
        failed = false;
        break;
    case RP_ATTEMPT_CANCELLED:
    case RP_ATTEMPT_SILENT:
        /* The answer would have taken at least this long. Ignoring cancelled
         * attempts would let hedges hide a straggler. */
        if (report->outcome == RP_ATTEMPT_CANCELLED && !is_long &&
            report->sent_ns >= balancer->pause_end_ns &&
            (double)elapsed_ns > target->route.response_ns)
        {
            rp_route_record_answer(&target->route, &balancer->pool, elapsed_ns,
                                   now_ns);
        }
        return;
    case RP_ATTEMPT_NOT_RUN:
        if (target->notice.leaving ||
            (report->has_load && report->load.state == RP_TARGET_DRAINING))
        {
            return; /* a draining target has not failed */
        }
        record_rejection(balancer, target, report, now_ns);
        break;
    case RP_ATTEMPT_ERROR:
    case RP_ATTEMPT_BROKEN:
        rp_sync_probe_record_fault(&target->sync_probe, now_ns);
        record_failure(balancer, target, now_ns);
        break;
    case RP_ATTEMPT_TIMEOUT:
        record_failure(balancer, target, now_ns);
        break;
    }
    balancer->failure_rate +=
        FAILURE_RATE_WEIGHT * ((failed ? 1 : 0) - balancer->failure_rate);
}

/* Records a load report unless a newer one was recorded. */
static void
record_load(struct rp_balancer *balancer, struct balancer_target *target,
            const struct rp_load_report *load, int64_t age_ns, int64_t now_ns)
{
    if (load->has_cold) {
        rp_cold_rate_record_report(&target->cold, load->cold_ms,
                                   now_ns - age_ns);
        update_open(target);
    }
    if (target->route.reported && now_ns - age_ns < target->route.report_ns) {
        return;
    }
    target->reported_draining = load->state == RP_TARGET_DRAINING;
    update_open(target);
    rp_crossing_record_report(&balancer->crossing, target->crossing_domain,
                              (double)load->in_flight + load->queued,
                              load->slots, now_ns - age_ns);
    rp_sync_probe_record_report(&target->sync_probe, &balancer->sync_probe,
                                load, now_ns - age_ns);
    rp_route_record_report(&target->route, &balancer->pool, load, age_ns,
                           now_ns);
}

/* Records the end of an attempt. If the process was paused while the answer
 * waited in the socket, its load report may be as old as the request. */
void
rp_balancer_finish(struct rp_balancer *balancer,
                   const struct rp_attempt_report *report, int64_t now_ns)
{
    struct balancer_target *target = balancer_get(balancer, report->target);
    bool is_long = is_long_call(balancer, report->kind, report->flags);
    uint32_t long_before = target->route.long_in_flight;
    if (target->route.in_flight > 0) {
        balancer->local_in_flight--;
    }
    rp_route_record_end(&target->route, is_long, now_ns);
    balancer->local_long_in_flight -=
        long_before - target->route.long_in_flight;
    if (report->has_load) {
        bool waited = report->sent_ns < balancer->pause_end_ns;
        record_load(balancer, target, &report->load,
                    waited ? now_ns - report->sent_ns : 0, now_ns);
    }
    record_for_crossing(balancer, target, report, now_ns);
    record_outcome(balancer, target, report, is_long, now_ns);
}

/* Records how long a target stays cold by its answer to a probe. */
void
rp_balancer_record_cold(struct rp_balancer *balancer, uint32_t target,
                        uint32_t remaining_ms, int64_t now_ns)
{
    struct balancer_target *entry = balancer_get(balancer, target);
    rp_cold_rate_record_report(&entry->cold, remaining_ms, now_ns);
    update_open(entry);
}

/* Records a load report from a probe or a peer, age_ns old. Unknown addresses
 * are ignored. */
void
rp_balancer_record_load(struct rp_balancer *balancer, const char *address,
                        const struct rp_load_report *load, int64_t age_ns,
                        int64_t now_ns)
{
    struct balancer_target *target = find_target(balancer, address);
    if (target != NULL) {
        record_load(balancer, target, load, age_ns, now_ns);
    }
}

/* Records that a target has stated that it is leaving, which holds until its
 * next run. Returns whether this was not known. */
bool
rp_balancer_record_leaving(struct rp_balancer *balancer, uint32_t target)
{
    struct balancer_target *entry = balancer_get(balancer, target);
    bool is_new = rp_target_notice_record_leaving(&entry->notice);
    update_open(entry);
    return is_new;
}

/* Records that a target wants no requests for wait_ms. Afterwards it gets one
 * at a time until one succeeds. Returns whether it was open. */
bool
rp_balancer_record_wait(struct rp_balancer *balancer, uint32_t target,
                        int64_t wait_ms, int64_t now_ns)
{
    struct balancer_target *entry = balancer_get(balancer, target);
    bool was_open =
        rp_target_notice_record_wait(&entry->notice, wait_ms, now_ns);
    entry->outlier.trial |= wait_ms > 0;
    update_open(entry);
    return was_open;
}

/* Handles a pause of the process, after which the recorded state is old.
 * Response times of requests sent before the pause are discarded, as their
 * answers may have waited in the sockets. */
void
rp_balancer_handle_pause(struct rp_balancer *balancer, int64_t gap_ns,
                         int64_t now_ns)
{
    (void)gap_ns;
    balancer->pause_end_ns = now_ns;
    rp_admission_handle_pause(balancer->admission, now_ns);
    for (uint32_t i = 0; i < balancer->targets->len; i++) {
        rp_route_handle_pause(&balancer_get(balancer, i)->route, now_ns);
    }
}

/* Returns the number of targets, including those no longer configured. */
uint32_t
rp_balancer_target_count(const struct rp_balancer *balancer)
{
    return balancer->targets->len;
}

/* Returns the address of a target, "ip:port". */
const char *
rp_balancer_target_address(const struct rp_balancer *balancer, uint32_t target)
{
    return balancer_get(balancer, target)->address;
}

/* Returns the id of the instance at the target's address, "" when unknown. */
const char *
rp_balancer_target_instance(const struct rp_balancer *balancer,
                            uint32_t target)
{
    return balancer_get(balancer, target)->instance;
}

/* Returns whether a target is outside of this entry VM's failure domain. */
bool
rp_balancer_target_is_remote(const struct rp_balancer *balancer,
                             uint32_t target)
{
    return balancer_get(balancer, target)->route.cross_domain_ns > 0;
}

/* Returns whether a target may get new calls at present. */
bool
rp_balancer_target_usable(const struct rp_balancer *balancer, uint32_t target)
{
    return balancer_is_usable(balancer_get(balancer, target));
}

/* Returns whether a target may get new calls now: it is usable, has not asked
 * for a wait, and if it is cold, it is this entry VM's turn. */
bool
rp_balancer_target_open(const struct rp_balancer *balancer, uint32_t target,
                        int64_t now_ns)
{
    return balancer_is_open(balancer_get(balancer, target), now_ns);
}

static const char *
state_name(const struct rp_balancer *balancer,
           const struct balancer_target *target, int64_t now_ns)
{
    if (!target->present) {
        return "gone";
    }
    if (target->evacuated) {
        return "evacuated";
    }
    if (!balancer_is_usable(target)) {
        return "draining";
    }
    if (now_ns < target->warm_open_ns) {
        return "closed";
    }
    if (is_cold(target, now_ns)) {
        return "cold";
    }
    if (rp_outlier_is_ejected(&target->outlier, now_ns)) {
        return "ejected";
    }
    if (target->outlier.trial ||
        rp_route_is_straggler(&target->route, &balancer->pool))
    {
        return "suspect";
    }
    return target->limit.limit < target->route.slots ? "cold" : "serving";
}

/* Fills in the state of a target for the status page. The strings belong to
 * the balancer. */
void
rp_balancer_view(const struct rp_balancer *balancer, uint32_t target,
                 int64_t now_ns, struct rp_balancer_target_view *view)
{
    const struct balancer_target *entry = balancer_get(balancer, target);
    view->name = entry->name;
    view->address = entry->address;
    view->estate = entry->estate_name;
    view->state = state_name(balancer, entry, now_ns);
    view->in_flight = entry->route.in_flight;
    view->limit = (uint32_t)entry->limit.limit;
    view->report_age_ns =
        entry->route.reported ? now_ns - entry->route.report_ns : -1;
    view->sent = entry->sent;
    view->cold_limited = entry->cold.limited;
    view->cold_ns = entry->cold.limited
                        ? rp_cold_rate_remaining_ns(&entry->cold, now_ns)
                        : 0;
    view->cold_calls_per_s = entry->cold.calls_per_s;
    view->cold_sent = entry->cold.sent;
}

/* Returns how many calls are queued. */
uint32_t
rp_balancer_queued(const struct rp_balancer *balancer)
{
    return rp_backlog_count(balancer->backlog) +
           rp_admission_count(balancer->admission, RP_ADMISSION_SHORT) +
           rp_admission_count(balancer->admission, RP_ADMISSION_LONG);
}

/* Returns the state of the decision which calls may leave the failure domain.
 * It belongs to the balancer. */
const struct rp_crossing *
rp_balancer_crossing(const struct rp_balancer *balancer)
{
    return &balancer->crossing;
}
