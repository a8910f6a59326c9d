#include "balancer_private.h"
#include "search_time.h"

/* Probes in flight for one service. */
#define MAX_PROBES_IN_FLIGHT 8
/* After this time, or an eighth of the call's latency goal if that is less, a
 * call goes to the best available target. */
#define MAX_SEARCH_NS INT64_C(40000000)
/* A target that did not answer a probe gets no calls or probes for this time.
 */
#define FAILED_PROBE_COOLDOWN_NS INT64_C(500000000)
/* Time of a probe to a local target. */
#define PROBE_COST_NS INT64_C(3000000)
/* Targets change their speed about every 150 ms. For a smaller remote penalty
 * it is not worth waiting for that. */
#define MIN_RECOVERY_WAIT_NS INT64_C(50000000)
/* Interval between searches while all targets are busy. */
#define BUSY_RETRY_NS INT64_C(20000000)

/* A target that has not answered for this long has most likely closed its idle
 * connections, which targets do after 10 s. */
#define CONNECTION_IDLE_NS INT64_C(9000000000)
/* Cost of a new connection. Its round trips and the time for which it holds a
 * slot are 2 to 4 ms, and each connection is charged for. */
#define NEW_CONNECTION_COST_NS 5000000.0

struct scan {
    uint32_t fast; /* fresh report, free slot, usual speed */
    double fast_ns;
    uint32_t available; /* has room, whatever the age of its report */
    double available_ns;
    uint32_t stale; /* no fresh report, may be probed */
    double stale_ns;
    uint32_t stale_local; /* the same in the local failure domain */
    double stale_local_ns;
    bool probing_local; /* a probe to a local target is in flight */
    bool has_local;     /* a local target may get the call */
    /* With the same conditions as above, among the local targets. */
    uint32_t local_fast;
    double local_fast_ns;
    uint32_t local_available;
    double local_available_ns;
    double local_ns;  /* expected time at the best one, with or without room */
    bool local_works; /* a local target works, with or without room */
};

static bool
is_remote(const struct balancer_target *target)
{
    return target->route.cross_domain_ns > 0;
}

/* Returns whether a target may get calls as far as it has room. */
static bool
is_working(const struct balancer_target *target, int64_t now_ns)
{
    return balancer_is_open(target, now_ns) &&
           !rp_outlier_is_ejected(&target->outlier, now_ns) &&
           !(target->outlier.trial && target->route.in_flight > 0);
}

static bool
is_candidate(const struct balancer_target *target, int64_t now_ns)
{
    return is_working(target, now_ns) &&
           !rp_rejection_is_full(&target->rejection, now_ns);
}

static bool
is_cooling_down(const struct balancer_target *target, int64_t now_ns)
{
    return target->sync_probe.probe_failures > 0 &&
           now_ns - target->sync_probe.probe_failed_ns <
               FAILED_PROBE_COOLDOWN_NS;
}

/* Returns whether a call has a local target left that works, with or without
 * room. */
static bool
has_working_local(const struct rp_balancer *balancer,
                  const struct rp_balancer_call *call, int64_t now_ns)
{
    for (uint32_t i = 0; i < balancer->targets->len; i++) {
        const struct balancer_target *target = balancer_get(balancer, i);
        if (!is_remote(target) && is_working(target, now_ns) &&
            !is_cooling_down(target, now_ns) &&
            !rp_sync_probe_is_failing(&target->sync_probe, now_ns) &&
            !balancer_is_avoided(call, i))
        {
            return true;
        }
    }
    return false;
}

/* Returns whether a call or a probe needs a new connection. A target that was
 * added to a service in use is probed once without that cost; otherwise it
 * would never be discovered. */
static bool
needs_connection(const struct balancer_target *target, int64_t now_ns)
{
    const struct rp_sync_probe_target *probe = &target->sync_probe;
    if (!probe->reported) {
        return !target->joined_later;
    }
    return now_ns - probe->report_ns > CONNECTION_IDLE_NS;
}

static double
expected_ns(const struct rp_balancer *balancer,
            const struct rp_balancer_call *call,
            const struct balancer_target *target, int64_t now_ns)
{
    double expected =
        rp_sync_probe_expected_ns(&target->sync_probe, &balancer->sync_probe,
                                  call->route, target->route.slots, now_ns);
    if (is_remote(target)) {
        expected +=
            target->route.cross_domain_ns + (double)call->remote_penalty_ns;
    }
    if (needs_connection(target, now_ns)) {
        expected += NEW_CONNECTION_COST_NS;
    }
    return expected +
           (double)rp_sync_probe_cooldown_ns(&target->sync_probe, now_ns);
}

static void
evaluate_stale(const struct rp_balancer *balancer, uint32_t index,
               double expected, int64_t now_ns, struct scan *scan)
{
    const struct balancer_target *target = balancer_get(balancer, index);
    if (!rp_sync_probe_may_probe(&target->sync_probe,
                                 balancer->local_probes_per_s, now_ns))
    {
        return;
    }
    if (expected < scan->stale_ns) {
        scan->stale = index;
        scan->stale_ns = expected;
    }
    if (!is_remote(target) && expected < scan->stale_local_ns) {
        scan->stale_local = index;
        scan->stale_local_ns = expected;
    }
}

static void
evaluate_target(const struct rp_balancer *balancer,
                const struct rp_balancer_call *call, uint32_t index,
                int64_t now_ns, struct scan *scan)
{
    const struct balancer_target *target = balancer_get(balancer, index);
    const struct rp_sync_probe_pool *pool = &balancer->sync_probe;
    double slots = target->route.slots;
    double load = rp_sync_probe_load(&target->sync_probe, pool, slots, now_ns);
    double expected = expected_ns(balancer, call, target, now_ns);
    bool fresh = rp_sync_probe_is_fresh(&target->sync_probe, now_ns);
    if (is_cooling_down(target, now_ns)) {
        return;
    }
    bool is_fast =
        fresh && load + 1 <= slots &&
        expected <= RP_SYNC_PROBE_FAST_RATIO *
                            rp_sync_probe_usual_ns(pool, call->route) +
                        target->route.cross_domain_ns;
    bool has_room = load + 1 <= rp_sync_probe_max_load(pool, slots);
    if (!is_remote(target)) {
        scan->has_local = true;
        scan->probing_local |= target->sync_probe.probe_ns != 0;
        scan->local_ns = fmin(scan->local_ns, expected);
        if (is_fast && expected < scan->local_fast_ns) {
            scan->local_fast = index;
            scan->local_fast_ns = expected;
        }
        if (has_room && expected < scan->local_available_ns) {
            scan->local_available = index;
            scan->local_available_ns = expected;
        }
    }
    bool allowed =
        !is_remote(target) ||
        rp_crossing_allows(&balancer->crossing, target->crossing_domain,
                           scan->local_works, now_ns);
    if (is_fast && allowed && expected < scan->fast_ns) {
        scan->fast = index;
        scan->fast_ns = expected;
    }
    if (has_room && allowed && expected < scan->available_ns) {
        scan->available = index;
        scan->available_ns = expected;
    }
    if (!fresh) {
        evaluate_stale(balancer, index, expected, now_ns, scan);
    }
}

static bool
has_untried(const struct rp_balancer *balancer,
            const struct rp_balancer_call *call, int64_t now_ns)
{
    for (uint32_t i = 0; i < balancer->targets->len; i++) {
        if (is_candidate(balancer_get(balancer, i), now_ns) &&
            !balancer_is_avoided(call, i))
        {
            return true;
        }
    }
    return false;
}

static int64_t
search_deadline_ns(const struct rp_balancer_call *call)
{
    int64_t search_ns = MAX_SEARCH_NS;
    if (call->aim_ns > 0 && call->aim_ns / 8 < search_ns) {
        search_ns = call->aim_ns / 8;
    }
    return call->offered_ns + search_ns;
}

/* Returns whether a call goes on searching although the best target with room
 * could get it. */
static bool
searches_on(const struct rp_balancer *balancer,
            const struct rp_balancer_call *call, const struct scan *scan,
            int64_t now_ns)
{
    if (scan->available == RP_BALANCER_NO_TARGET) {
        return false;
    }
    const struct balancer_target *best =
        balancer_get(balancer, scan->available);
    if (!rp_search_time_applies((uint32_t)best->route.slots)) {
        return false;
    }
    /* Without the cost of crossing failure domains, which no search avoids. */
    struct rp_search_terms terms = {
        .offered_ns = call->offered_ns,
        .aim_ns = call->aim_ns,
        .usual_ns = rp_sync_probe_usual_ns(&balancer->sync_probe, call->route),
        .expected_ns =
            rp_sync_probe_expected_ns(&best->sync_probe, &balancer->sync_probe,
                                      call->route, best->route.slots, now_ns),
    };
    return rp_search_time_continues(&terms, now_ns);
}

/* Returns whether the automatic rule lets a call go to a remote target now: no
 * local target is left to ask, and crossing saves enough. */
static bool
crosses(const struct rp_balancer *balancer,
        const struct rp_balancer_call *call, const struct scan *scan,
        uint32_t target, int64_t now_ns)
{
    const struct balancer_target *remote = balancer_get(balancer, target);
    if (now_ns < search_deadline_ns(call) &&
        (scan->probing_local || scan->stale_local != RP_BALANCER_NO_TARGET))
    {
        return false;
    }
    struct rp_crossing_call crossing = {
        .waited_ns = now_ns - call->offered_ns,
        .aim_ns = call->aim_ns,
        .penalty_ns = call->remote_penalty_ns,
        .local_ns = scan->local_ns,
        .remote_ns = expected_ns(balancer, call, remote, now_ns) -
                     (double)call->remote_penalty_ns,
    };
    return rp_crossing_is_worthwhile(&balancer->crossing,
                                     remote->crossing_domain, &crossing);
}

/* Returns the local target that a call goes to instead of a remote one from
 * which it does not gain enough, or else the given target. */
static uint32_t
prefer_local(const struct rp_balancer *balancer,
             const struct rp_balancer_call *call, const struct scan *scan,
             uint32_t target, int64_t now_ns)
{
    if (target == RP_BALANCER_NO_TARGET || !scan->has_local) {
        return target;
    }
    const struct balancer_target *entry = balancer_get(balancer, target);
    if (!is_remote(entry) ||
        rp_crossing_follows_fixed_rule(&balancer->crossing,
                                       entry->crossing_domain, now_ns) ||
        crosses(balancer, call, scan, target, now_ns))
    {
        return target;
    }
    if (scan->local_fast != RP_BALANCER_NO_TARGET) {
        return scan->local_fast;
    }
    bool searches =
        now_ns < search_deadline_ns(call) &&
        (scan->probing_local || scan->stale_local != RP_BALANCER_NO_TARGET);
    return !searches && scan->local_available != RP_BALANCER_NO_TARGET
               ? scan->local_available
               : target;
}

/* Records a call that is about to be sent: how much time it loses with the
 * local targets, and why it crosses if it does. */
static enum rp_balancer_action
send_to(struct rp_balancer *balancer, const struct rp_balancer_call *call,
        const struct scan *scan, uint32_t target, int64_t now_ns)
{
    if (scan->has_local) {
        double slow_ns =
            scan->local_ns -
            RP_SYNC_PROBE_FAST_RATIO *
                rp_sync_probe_usual_ns(&balancer->sync_probe, call->route);
        rp_crossing_record_lost(&balancer->crossing,
                                now_ns - call->offered_ns +
                                    (int64_t)fmax(slow_ns, 0),
                                call->aim_ns, now_ns);
    }
    if (is_remote(balancer_get(balancer, target))) {
        balancer->crossing_reason =
            !has_working_local(balancer, call, now_ns) ? RP_CROSSING_NO_LOCAL
            : scan->local_available == RP_BALANCER_NO_TARGET
                ? RP_CROSSING_LOCAL_FULL
                : RP_CROSSING_LOCAL_SLOW;
    }
    return RP_BALANCER_SEND;
}

/* Returns whether a call waits for a local target rather than go to the remote
 * target now: while a local one can be probed, if crossing failure domains
 * costs more than a probe, and while busy or slow local ones may recover, if
 * crossing costs much more. */
static bool
waits_for_local(const struct rp_balancer *balancer,
                const struct rp_balancer_call *call, const struct scan *scan,
                uint32_t target, int64_t now_ns)
{
    if (!is_remote(balancer_get(balancer, target)) || !scan->has_local) {
        return false;
    }
    if (!rp_crossing_follows_fixed_rule(
            &balancer->crossing,
            balancer_get(balancer, target)->crossing_domain, now_ns))
    {
        return !crosses(balancer, call, scan, target, now_ns);
    }
    if (call->remote_penalty_ns >= MIN_RECOVERY_WAIT_NS &&
        now_ns < call->offered_ns + call->remote_penalty_ns)
    {
        return true;
    }
    return call->remote_penalty_ns > PROBE_COST_NS &&
           now_ns < search_deadline_ns(call) &&
           (scan->probing_local || scan->stale_local != RP_BALANCER_NO_TARGET);
}

/* Evaluates the candidates that fail, or those that do not. Returns their
 * number. */
static uint32_t
scan_part(const struct rp_balancer *balancer,
          const struct rp_balancer_call *call, bool failing, int64_t now_ns,
          struct scan *scan)
{
    bool skip_avoided =
        call->avoided_count > 0 && has_untried(balancer, call, now_ns);
    uint32_t evaluated = 0;
    uint32_t count = balancer->targets->len;
    uint32_t index = balancer->next_index < count ? balancer->next_index : 0;
    for (uint32_t i = 0; i < count; i++) {
        const struct balancer_target *target = balancer_get(balancer, index);
        if (is_candidate(target, now_ns) &&
            rp_sync_probe_is_failing(&target->sync_probe, now_ns) == failing &&
            !(skip_avoided && balancer_is_avoided(call, index)))
        {
            evaluate_target(balancer, call, index, now_ns, scan);
            evaluated++;
        }
        index = index + 1 < count ? index + 1 : 0;
    }
    return evaluated;
}

static void
scan_targets(const struct rp_balancer *balancer,
             const struct rp_balancer_call *call, int64_t now_ns,
             struct scan *scan)
{
    if (scan_part(balancer, call, false, now_ns, scan) == 0) {
        scan_part(balancer, call, true, now_ns, scan);
    }
}

/* Decides the next step for a waiting call: send it to *target, probe *target,
 * or wait until *due_ns at the latest. waiting is the number of waiting calls.
 */
enum rp_balancer_action
rp_balancer_sync_probe(struct rp_balancer *balancer,
                       const struct rp_balancer_call *call, uint32_t waiting,
                       int64_t now_ns, uint32_t *target, int64_t *due_ns)
{
    struct scan scan = {.fast = RP_BALANCER_NO_TARGET,
                        .fast_ns = INFINITY,
                        .available = RP_BALANCER_NO_TARGET,
                        .available_ns = INFINITY,
                        .stale = RP_BALANCER_NO_TARGET,
                        .stale_ns = INFINITY,
                        .stale_local = RP_BALANCER_NO_TARGET,
                        .stale_local_ns = INFINITY,
                        .local_fast = RP_BALANCER_NO_TARGET,
                        .local_fast_ns = INFINITY,
                        .local_available = RP_BALANCER_NO_TARGET,
                        .local_available_ns = INFINITY,
                        .local_ns = INFINITY};
    scan.local_works = balancer->crossing.automatic &&
                       has_working_local(balancer, call, now_ns);
    scan_targets(balancer, call, now_ns, &scan);
    int64_t until_ns = search_deadline_ns(call);
    *target = scan.fast;
    if (searches_on(balancer, call, &scan, now_ns)) {
        scan.available = RP_BALANCER_NO_TARGET;
    }
    if (*target == RP_BALANCER_NO_TARGET && now_ns >= until_ns) {
        *target = scan.available;
    }
    *target = prefer_local(balancer, call, &scan, *target, now_ns);
    bool waits = *target != RP_BALANCER_NO_TARGET &&
                 waits_for_local(balancer, call, &scan, *target, now_ns);
    if (*target != RP_BALANCER_NO_TARGET && !waits) {
        return send_to(balancer, call, &scan, *target, now_ns);
    }
    *due_ns = now_ns < until_ns ? until_ns : now_ns + BUSY_RETRY_NS;
    uint32_t max_probes =
        waiting < MAX_PROBES_IN_FLIGHT ? waiting : MAX_PROBES_IN_FLIGHT;
    uint32_t probed = waits ? scan.stale_local : scan.stale;
    if (probed != RP_BALANCER_NO_TARGET &&
        balancer->sync_probe.probes_in_flight < max_probes)
    {
        rp_sync_probe_record_start(&balancer_get(balancer, probed)->sync_probe,
                                   &balancer->sync_probe,
                                   balancer->local_probes_per_s, now_ns);
        *target = probed;
        return RP_BALANCER_PROBE;
    }
    scan.available =
        prefer_local(balancer, call, &scan, scan.available, now_ns);
    if (balancer->sync_probe.probes_in_flight == 0 && !waits &&
        scan.available != RP_BALANCER_NO_TARGET &&
        !waits_for_local(balancer, call, &scan, scan.available, now_ns))
    {
        *target = scan.available; /* no target is left to probe */
        return send_to(balancer, call, &scan, *target, now_ns);
    }
    return RP_BALANCER_WAIT;
}

/* Records the end of a probe. load is NULL when there was no answer or when it
 * carried no load report. */
void
rp_balancer_finish_probe(struct rp_balancer *balancer, uint32_t target,
                         bool answered, const struct rp_load_report *load,
                         int64_t now_ns)
{
    struct balancer_target *entry = balancer_get(balancer, target);
    rp_sync_probe_record_end(&entry->sync_probe, &balancer->sync_probe,
                             answered, now_ns);
    if (answered && (load == NULL || load->slowness_percent == 0)) {
        rp_sync_probe_record_missing_slowness(&balancer->sync_probe);
    }
    if (load != NULL) {
        rp_sync_probe_record_report(&entry->sync_probe, &balancer->sync_probe,
                                    load, now_ns);
        rp_crossing_record_report(&balancer->crossing, entry->crossing_domain,
                                  (double)load->in_flight + load->queued,
                                  load->slots, now_ns);
    }
}
