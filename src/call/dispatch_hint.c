#include "dispatch_hint.h"

#include "drain.h"
#include "invariant.h"

/* Between two hints about a target whose state has not changed: half of the
 * age at which the prober calls news old, so that a target with traffic is
 * never probed. */
#define TELL_NS INT64_C(500000000)

#define TOLD_LIMIT 4096

/* What is known and was last told about a target. */
struct told_target {
    int64_t at_ns; /* 0 for nothing told */
    enum rp_target_state state;
    struct rp_drain drain;
};

static struct told_target *
find_or_add(struct dispatch_service *service, const char *address)
{
    struct told_target *told = g_hash_table_lookup(service->told, address);
    if (told == NULL) {
        /* Addresses come and go with the records over the months. */
        if (g_hash_table_size(service->told) >= TOLD_LIMIT) {
            g_hash_table_remove_all(service->told);
        }
        told = g_new0(struct told_target, 1);
        g_hash_table_insert(service->told, g_strdup(address), told);
    }
    return told;
}

/* Takes note of which targets the service's records drain. */
void
dispatch_drain_records(struct dispatch_service *service, int64_t now_ns)
{
    const struct rp_service *record = service->service;
    for (uint32_t i = 0; record != NULL && i < record->target_count; i++) {
        const struct rp_target *target = &record->targets[i];
        rp_drain_set(&find_or_add(service, target->address)->drain,
                     RP_DRAIN_RECORD, target->draining, now_ns);
    }
}

/* Takes note of an attempt that is sent, and asserts that it is not new work
 * for a target that left some time ago. */
void
dispatch_drain_record_sent(struct rp_dispatch *dispatch,
                           struct dispatch_service *service,
                           const char *address, int64_t now_ns)
{
    struct told_target *told = find_or_add(service, address);
    rp_invariant_check(dispatch->context, RP_INVARIANT_DRAIN_STOPS_WORK,
                       rp_drain_record_sent(&told->drain, now_ns), now_ns,
                       address);
}

/* Takes note of the end of an attempt. */
void
dispatch_drain_ended(struct dispatch_service *service, const char *address)
{
    rp_drain_record_ended(&find_or_add(service, address)->drain);
}

/* Takes what the prober or a peer saw of a target to its balancer. */
void
dispatch_hint_take(struct rp_dispatch *dispatch,
                   const struct rp_target_hint *hint, int64_t now_ns)
{
    struct dispatch_service *service =
        g_hash_table_lookup(dispatch->services, hint->service);
    if (service == NULL || !hint->has_load) {
        return; /* failures are judged by own attempts */
    }
    rp_drain_set_target_report(&find_or_add(service, hint->address)->drain,
                               hint->load.state == RP_TARGET_DRAINING,
                               hint->seen_ns, now_ns);
    rp_balancer_record_load(service->balancer, hint->address, &hint->load,
                            now_ns - hint->seen_ns, now_ns);
    dispatch_touch_service(dispatch, service, now_ns);
}

/* Tells the prober and the peers, by gossip, what an answer said of its
 * target at seen_ns: at once when the state has changed, else now and then. */
void
dispatch_hint_tell(struct rp_dispatch *dispatch,
                   struct dispatch_service *service, const char *address,
                   const struct rp_load_report *load, int64_t seen_ns,
                   int64_t now_ns)
{
    static const char *const receivers[] = {"prober", "gossip"};
    struct told_target *told = find_or_add(service, address);
    rp_drain_set_target_report(&told->drain, load->state == RP_TARGET_DRAINING,
                               seen_ns, now_ns);
    if (told->at_ns != 0 && told->state == load->state &&
        now_ns - told->at_ns < TELL_NS)
    {
        return;
    }
    told->at_ns = now_ns;
    told->state = load->state;
    struct rp_target_hint hint = {
        .source = RP_HINT_ANSWER,
        .kind = load->state == RP_TARGET_DRAINING ? RP_HINT_DRAINING
                                                  : RP_HINT_LOAD,
        .has_load = true,
        .load = *load,
        .seen_ns = seen_ns,
    };
    g_strlcpy(hint.service, service->name, sizeof(hint.service));
    g_strlcpy(hint.address, address, sizeof(hint.address));
    struct rp_kernel *kernel = rp_task_kernel(dispatch->task);
    if (load->slowness_percent > 0) {
        return; /* it is asked before each call, and old news are no use */
    }
    for (guint i = 0; i < G_N_ELEMENTS(receivers); i++) {
        rp_task_send(dispatch->task, rp_kernel_find_task(kernel, receivers[i]),
                     RP_MSG_TARGET_HINT, &hint, sizeof(hint));
    }
}
