#include "balancer_private.h"

/* Most probes in progress for one service. */
#define PROBES_AT_ONCE 8
/* After this, or an eighth of the aim if that is less, a call takes the best
 * target that is known. */
#define SEARCH_NS INT64_C(40000000)
/* A target that let a probe wait is left alone for this. */
#define FAILED_REST_NS INT64_C(500000000)
/* Between two looks at targets that are all busy. */
#define RETRY_NS INT64_C(20000000)

/* A target that has not answered for this long has most likely closed its idle
 * connections; targets close theirs after 10 s. */
#define CONNECTION_IDLE_NS INT64_C(9000000000)
/* What a new connection counts: its round trips and the time that it holds a
 * slot are 2 to 4 ms, and each is paid for. */
#define CONNECT_NS 5000000.0

struct scan {
    uint32_t quick; /* fresh, free and at usual speed */
    double quick_ns;
    uint32_t any; /* has room, whatever is known of it */
    double any_ns;
    uint32_t unknown; /* not fresh and not asked */
    double unknown_ns;
};

static bool
is_candidate(const struct balancer_target *target, int64_t now_ns)
{
    return target->present && !target->draining &&
           !target->reported_draining &&
           !rp_outlier_is_ejected(&target->outlier, now_ns) &&
           !(target->outlier.trial && target->route.in_flight > 0);
}

/* Returns whether a call or a probe needs a new connection. A target that has
 * joined a service in use is asked once without that cost, or nobody would
 * know that it is there. */
static bool
needs_connection(const struct balancer_target *target, int64_t now_ns)
{
    const struct rp_sync_probe_target *probe = &target->sync_probe;
    if (!probe->reported) {
        return !target->joined;
    }
    return now_ns - probe->report_ns > CONNECTION_IDLE_NS;
}

static void
consider(const struct rp_balancer *balancer,
         const struct rp_balancer_call *call, uint32_t index, int64_t now_ns,
         struct scan *scan)
{
    const struct balancer_target *target = balancer_get(balancer, index);
    const struct rp_sync_probe_pool *pool = &balancer->sync_probe;
    double slots = target->route.slots;
    double load = rp_sync_probe_load(&target->sync_probe, pool, slots, now_ns);
    double expected =
        rp_sync_probe_expected_ns(&target->sync_probe, pool, slots, now_ns) +
        target->route.domain_ns;
    if (target->route.domain_ns > 0) {
        expected += (double)call->remote_penalty_ns;
    }
    if (needs_connection(target, now_ns)) {
        expected += CONNECT_NS;
    }
    expected += (double)rp_sync_probe_cooldown_ns(&target->sync_probe, now_ns);
    bool resting = target->sync_probe.failures > 0 &&
                   now_ns - target->sync_probe.failed_ns < FAILED_REST_NS;
    bool fresh = rp_sync_probe_is_fresh(&target->sync_probe, now_ns);
    if (resting) {
        return;
    }
    if (fresh && load + 1 <= slots &&
        expected <= RP_SYNC_PROBE_QUICK * rp_sync_probe_usual_ns(pool) +
                        target->route.domain_ns &&
        expected < scan->quick_ns)
    {
        scan->quick = index;
        scan->quick_ns = expected;
    }
    if (load + 1 <= rp_sync_probe_max_load(pool, slots) &&
        expected < scan->any_ns) {
        scan->any = index;
        scan->any_ns = expected;
    }
    if (!fresh && expected < scan->unknown_ns &&
        rp_sync_probe_may_probe(&target->sync_probe,
                                balancer->own_probes_per_s, now_ns))
    {
        scan->unknown = index;
        scan->unknown_ns = expected;
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
search_until_ns(const struct rp_balancer_call *call)
{
    int64_t search_ns = SEARCH_NS;
    if (call->aim_ns > 0 && call->aim_ns / 8 < search_ns) {
        search_ns = call->aim_ns / 8;
    }
    return call->offered_ns + search_ns;
}

/* Decides what is to be done for the call that is next: send it to a target,
 * ask a target, or wait until due_ns at the latest. */
enum rp_balancer_action
rp_balancer_sync_probe(struct rp_balancer *balancer,
                       const struct rp_balancer_call *call, uint32_t waiting,
                       int64_t now_ns, uint32_t *target, int64_t *due_ns)
{
    struct scan scan = {RP_BALANCER_NO_TARGET, INFINITY,
                        RP_BALANCER_NO_TARGET, INFINITY,
                        RP_BALANCER_NO_TARGET, INFINITY};
    bool avoid =
        call->avoided_count > 0 && has_untried(balancer, call, now_ns);
    uint32_t count = balancer->targets->len;
    uint32_t index = balancer->next < count ? balancer->next : 0;
    for (uint32_t i = 0; i < count; i++) {
        if (is_candidate(balancer_get(balancer, index), now_ns) &&
            !(avoid && balancer_is_avoided(call, index)))
        {
            consider(balancer, call, index, now_ns, &scan);
        }
        index = index + 1 < count ? index + 1 : 0;
    }
    if (scan.quick != RP_BALANCER_NO_TARGET) {
        *target = scan.quick;
        return RP_BALANCER_SEND;
    }
    int64_t until_ns = search_until_ns(call);
    if (now_ns >= until_ns && scan.any != RP_BALANCER_NO_TARGET) {
        *target = scan.any;
        return RP_BALANCER_SEND;
    }
    *due_ns = now_ns < until_ns ? until_ns : now_ns + RETRY_NS;
    uint32_t most = waiting < PROBES_AT_ONCE ? waiting : PROBES_AT_ONCE;
    if (scan.unknown != RP_BALANCER_NO_TARGET &&
        balancer->sync_probe.probes < most)
    {
        struct balancer_target *asked = balancer_get(balancer, scan.unknown);
        rp_sync_probe_record_start(&asked->sync_probe, &balancer->sync_probe,
                                   balancer->own_probes_per_s, now_ns);
        *target = scan.unknown;
        return RP_BALANCER_PROBE;
    }
    if (balancer->sync_probe.probes == 0 && scan.any != RP_BALANCER_NO_TARGET)
    {
        *target = scan.any; /* nobody is left to be asked */
        return RP_BALANCER_SEND;
    }
    return RP_BALANCER_WAIT;
}

/* Takes note of the end of a probe. load is NULL when there was no answer, or
 * when it told nothing. */
void
rp_balancer_finish_probe(struct rp_balancer *balancer, uint32_t target,
                         bool answered, const struct rp_load_report *load,
                         int64_t now_ns)
{
    struct balancer_target *entry = balancer_get(balancer, target);
    rp_sync_probe_record_end(&entry->sync_probe, &balancer->sync_probe,
                             answered, now_ns);
    if (answered && (load == NULL || load->slowness_percent == 0)) {
        rp_sync_probe_untold(&balancer->sync_probe);
    }
    if (load != NULL) {
        rp_sync_probe_record_report(&entry->sync_probe, &balancer->sync_probe,
                                    load, now_ns);
    }
}
