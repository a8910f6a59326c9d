#include "dispatch_hint.h"

#include <string.h>

#include "drain.h"
#include "invariant.h"
#include "target_notice.h"

/* Interval between two hints about a target whose state has not changed. It is
 * half of the age at which the prober considers a report old, so that a target
 * with traffic is never probed. */
#define HINT_INTERVAL_NS INT64_C(500000000)

#define MAX_TARGETS 4096

/* Drain state of a target and the last hint sent about it. */
struct dispatch_target {
    int64_t hint_sent_ns; /* 0 when none was sent */
    enum rp_target_state hint_state;
    struct rp_drain drain;
    int64_t closed_until_ns; /* it wants no requests before */
    bool evacuated;          /* its failure domain, by the records */
    /* Of the run that the drain state is about. */
    int64_t started_ms;
    char instance[RP_INSTANCE_BYTES];
};

static struct dispatch_target *
find_or_add_target(struct dispatch_service *service, const char *address)
{
    struct dispatch_target *target =
        g_hash_table_lookup(service->targets, address);
    if (target == NULL) {
        /* Limits the memory used by addresses that records no longer
         * contain. */
        if (g_hash_table_size(service->targets) >= MAX_TARGETS) {
            g_hash_table_remove_all(service->targets);
        }
        target = g_new0(struct dispatch_target, 1);
        g_hash_table_insert(service->targets, g_strdup(address), target);
    }
    return target;
}

/* Records which targets the service's records drain or evacuate. What a target
 * reported in an earlier run no longer holds. */
void
dispatch_drain_apply_records(struct dispatch_service *service, int64_t now_ns)
{
    const struct rp_service *record = service->service;
    for (uint32_t i = 0; record != NULL && i < record->target_count; i++) {
        const struct rp_target *target = &record->targets[i];
        struct dispatch_target *known =
            find_or_add_target(service, target->address);
        if (known->started_ms != target->started_ms ||
            strcmp(known->instance, target->instance) != 0)
        {
            known->started_ms = target->started_ms;
            g_strlcpy(known->instance, target->instance,
                      sizeof(known->instance));
            rp_drain_set(&known->drain, RP_DRAIN_TARGET, false, now_ns);
            rp_drain_set(&known->drain, RP_DRAIN_NOTICE, false, now_ns);
            known->closed_until_ns = 0;
        }
        rp_drain_set(&known->drain, RP_DRAIN_RECORD, target->draining, now_ns);
        known->evacuated = target->evacuated;
    }
}

/* Records that a target, given by its index in the balancer, has stated that
 * it is leaving. It gets no new work from this entry VM until its next run. */
void
dispatch_drain_record_notice(struct rp_dispatch *dispatch,
                             struct dispatch_service *service, uint32_t target,
                             int64_t now_ns)
{
    if (!rp_balancer_record_leaving(service->balancer, target)) {
        return;
    }
    const char *address =
        rp_balancer_target_address(service->balancer, target);
    rp_drain_set(&find_or_add_target(service, address)->drain, RP_DRAIN_NOTICE,
                 true, now_ns);
    rp_counter_add(&dispatch->context->counters, RP_COUNTER_TARGET_NOTICES, 1);
    struct rp_event *event = rp_event_add(
        dispatch->context->events, RP_EVENT_TARGET_LEAVING, now_ns, address);
    rp_event_set_service(event, service->name);
    rp_event_set_detail(
        event, "instance %s states that it is leaving",
        rp_balancer_target_instance(service->balancer, target));
}

/* Records that a target, given by its index in the balancer, wants no requests
 * for wait_ms. */
void
dispatch_hint_record_wait(struct rp_dispatch *dispatch,
                          struct dispatch_service *service, uint32_t target,
                          int64_t wait_ms, int64_t now_ns)
{
    const char *address =
        rp_balancer_target_address(service->balancer, target);
    struct dispatch_target *known = find_or_add_target(service, address);
    known->closed_until_ns =
        MAX(known->closed_until_ns,
            now_ns + MIN(wait_ms, RP_TARGET_NOTICE_MAX_WAIT_MS) * 1000000);
    if (!rp_balancer_record_wait(service->balancer, target, wait_ms, now_ns)) {
        return;
    }
    rp_counter_add(&dispatch->context->counters, RP_COUNTER_TARGET_WAITS, 1);
    struct rp_event *event = rp_event_add(
        dispatch->context->events, RP_EVENT_TARGET_CLOSED, now_ns, address);
    rp_event_set_service(event, service->name);
    event->value = wait_ms;
    rp_event_set_detail(
        event, "wants no requests for %" G_GINT64_FORMAT " ms, by Retry-After",
        wait_ms);
}

/* Checks before an attempt, also one that is not chosen by the balancer, that
 * its target wants requests and is not evacuated. */
void
dispatch_hint_check_open(struct rp_dispatch *dispatch,
                         struct dispatch_service *service, const char *address,
                         int64_t now_ns)
{
    const struct dispatch_target *target =
        find_or_add_target(service, address);
    rp_invariant_check(dispatch->context, RP_INVARIANT_CLOSED_TARGET,
                       now_ns >= target->closed_until_ns, now_ns, address);
    rp_invariant_check(dispatch->context, RP_INVARIANT_EVACUATED_DOMAIN,
                       !target->evacuated, now_ns, address);
}

/* Records a sent attempt and checks that it is not new work for a target that
 * has been leaving for too long. */
void
dispatch_drain_record_sent(struct rp_dispatch *dispatch,
                           struct dispatch_service *service,
                           const char *address, int64_t now_ns)
{
    struct dispatch_target *target = find_or_add_target(service, address);
    rp_invariant_check(dispatch->context, RP_INVARIANT_DRAIN_STOPS_WORK,
                       rp_drain_record_sent(&target->drain, now_ns), now_ns,
                       address);
}

/* Records the end of an attempt. */
void
dispatch_drain_record_ended(struct dispatch_service *service,
                            const char *address)
{
    rp_drain_record_ended(&find_or_add_target(service, address)->drain);
}

/* Passes a hint of the prober or a peer to the balancer of its service. */
void
dispatch_hint_receive(struct rp_dispatch *dispatch,
                      const struct rp_target_hint *hint, int64_t now_ns)
{
    struct dispatch_service *service =
        g_hash_table_lookup(dispatch->services, hint->service);
    if (service == NULL || !hint->has_load) {
        return; /* only local attempts detect failures */
    }
    rp_drain_set_target_report(
        &find_or_add_target(service, hint->address)->drain,
        hint->load.state == RP_TARGET_DRAINING, hint->observed_ns, now_ns);
    rp_balancer_record_load(service->balancer, hint->address, &hint->load,
                            now_ns - hint->observed_ns, now_ns);
    dispatch_poll_balancer(dispatch, service, now_ns);
}

/* Sends the prober and, by gossip, the peers the load that an answer reported
 * at observed_ns: at once when the state has changed, else at most once per
 * HINT_INTERVAL_NS. */
void
dispatch_hint_send(struct rp_dispatch *dispatch,
                   struct dispatch_service *service, const char *address,
                   const struct rp_load_report *load, int64_t observed_ns,
                   int64_t now_ns)
{
    static const char *const receivers[] = {"prober", "gossip"};
    struct dispatch_target *target = find_or_add_target(service, address);
    rp_drain_set_target_report(&target->drain,
                               load->state == RP_TARGET_DRAINING, observed_ns,
                               now_ns);
    if (target->hint_sent_ns != 0 && target->hint_state == load->state &&
        now_ns - target->hint_sent_ns < HINT_INTERVAL_NS)
    {
        return;
    }
    target->hint_sent_ns = now_ns;
    target->hint_state = load->state;
    struct rp_target_hint hint = {
        .source = RP_HINT_ANSWER,
        .kind = load->state == RP_TARGET_DRAINING ? RP_HINT_DRAINING
                                                  : RP_HINT_LOAD,
        .has_load = true,
        .load = *load,
        .observed_ns = observed_ns,
    };
    g_strlcpy(hint.service, service->name, sizeof(hint.service));
    g_strlcpy(hint.address, address, sizeof(hint.address));
    struct rp_kernel *kernel = rp_task_kernel(dispatch->task);
    if (load->slowness_percent > 0) {
        return; /* slow targets are probed before each call instead */
    }
    for (guint i = 0; i < G_N_ELEMENTS(receivers); i++) {
        rp_task_send(dispatch->task, rp_kernel_find_task(kernel, receivers[i]),
                     RP_MSG_TARGET_HINT, &hint, sizeof(hint));
    }
}
