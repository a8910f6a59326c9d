#include "balancer.h"

#include <string.h>

/* Least requests in flight by local count, without a queue. */
struct balancer_target {
    char *address;
    char *name;
    char *estate;
    uint32_t in_flight;
    uint64_t sent;
    bool present;
    bool draining;
};

struct rp_balancer {
    GArray *targets; /* of struct balancer_target; indices are stable */
    uint32_t next;
};

static void
clear_target(gpointer data)
{
    struct balancer_target *target = data;
    g_free(target->address);
    g_free(target->name);
    g_free(target->estate);
}

/* Creates a balancer without targets. Free it with rp_balancer_free. */
struct rp_balancer *
rp_balancer_new(const struct rp_balancer_config *config)
{
    (void)config;
    struct rp_balancer *balancer = g_new0(struct rp_balancer, 1);
    balancer->targets =
        g_array_new(FALSE, TRUE, sizeof(struct balancer_target));
    g_array_set_clear_func(balancer->targets, clear_target);
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
    g_free(balancer);
}

static struct balancer_target *
get_target(const struct rp_balancer *balancer, uint32_t index)
{
    return &g_array_index(balancer->targets, struct balancer_target, index);
}

static struct balancer_target *
find_target(struct rp_balancer *balancer, const char *address)
{
    for (uint32_t i = 0; i < balancer->targets->len; i++) {
        struct balancer_target *target = get_target(balancer, i);
        if (strcmp(target->address, address) == 0) {
            return target;
        }
    }
    return NULL;
}

/* Takes over the targets of a service; those known by address keep their
 * number and state. */
void
rp_balancer_set_service(struct rp_balancer *balancer,
                        const struct rp_service *service, int64_t now_ns)
{
    (void)now_ns;
    for (uint32_t i = 0; i < balancer->targets->len; i++) {
        get_target(balancer, i)->present = false;
    }
    for (uint32_t i = 0; i < service->target_count; i++) {
        const struct rp_target *source = &service->targets[i];
        struct balancer_target *target =
            find_target(balancer, source->address);
        if (target == NULL) {
            struct balancer_target fresh = {
                .address = g_strdup(source->address),
                .name = g_strdup(source->name),
                .estate = g_strdup(service->estates[source->estate].name),
            };
            g_array_append_val(balancer->targets, fresh);
            target = get_target(balancer, balancer->targets->len - 1);
        }
        target->present = true;
        target->draining = source->draining;
    }
}

/* Sets how many entry VMs share the service at present. */
void
rp_balancer_set_deciders(struct rp_balancer *balancer, uint32_t deciders,
                         int64_t now_ns)
{
    (void)balancer;
    (void)deciders;
    (void)now_ns;
}

static bool
is_avoided(const struct rp_balancer_call *call, uint32_t target)
{
    for (uint32_t i = 0; i < call->avoid_count; i++) {
        if (call->avoid[i] == target) {
            return true;
        }
    }
    return false;
}

/* Decides a call at once: the usable target with the fewest requests in
 * flight, or a refusal. */
void
rp_balancer_offer(struct rp_balancer *balancer,
                  const struct rp_balancer_call *call, int64_t now_ns,
                  struct rp_balancer_verdict *verdict)
{
    (void)now_ns;
    uint32_t best = RP_BALANCER_NO_TARGET;
    uint32_t count = balancer->targets->len;
    for (uint32_t i = 0; i < count; i++) {
        uint32_t index = (balancer->next + i) % count;
        if (!rp_balancer_target_usable(balancer, index) ||
            is_avoided(call, index)) {
            continue;
        }
        if (best == RP_BALANCER_NO_TARGET ||
            get_target(balancer, index)->in_flight <
                get_target(balancer, best)->in_flight)
        {
            best = index;
        }
    }
    memset(verdict, 0, sizeof(*verdict));
    verdict->call_id = call->call_id;
    verdict->target = best;
    if (best == RP_BALANCER_NO_TARGET) {
        verdict->action = RP_BALANCER_REFUSE;
        verdict->refusal = RP_REFUSAL_NO_TARGET;
        verdict->retry_after_ns = 1000000000;
        return;
    }
    balancer->next = best + 1;
    verdict->action = RP_BALANCER_SEND;
    get_target(balancer, best)->in_flight++;
    get_target(balancer, best)->sent++;
}

/* Takes the next verdict on a queued call; false when there is none. */
bool
rp_balancer_next(struct rp_balancer *balancer, int64_t now_ns,
                 struct rp_balancer_verdict *verdict)
{
    (void)balancer;
    (void)now_ns;
    (void)verdict;
    return false;
}

/* Removes a queued call whose caller is gone. */
void
rp_balancer_withdraw(struct rp_balancer *balancer, uint64_t call_id,
                     int64_t now_ns)
{
    (void)balancer;
    (void)call_id;
    (void)now_ns;
}

/* Returns when rp_balancer_next must be called even if nothing happens. */
int64_t
rp_balancer_due_ns(const struct rp_balancer *balancer)
{
    (void)balancer;
    return INT64_MAX;
}

/* Returns after which time without an answer a hedge is worth while, or
 * INT64_MAX. */
int64_t
rp_balancer_hedge_delay_ns(const struct rp_balancer *balancer,
                           const struct rp_balancer_call *call)
{
    (void)balancer;
    (void)call;
    return INT64_MAX;
}

/* Takes note of the end of an attempt. */
void
rp_balancer_finish(struct rp_balancer *balancer,
                   const struct rp_attempt_report *report, int64_t now_ns)
{
    (void)now_ns;
    struct balancer_target *target = get_target(balancer, report->target);
    if (target->in_flight > 0) {
        target->in_flight--;
    }
}

/* Takes note of a load report that a probe or a peer brought. */
void
rp_balancer_observe(struct rp_balancer *balancer, const char *address,
                    const struct rp_load_report *load, int64_t age_ns,
                    int64_t now_ns)
{
    (void)balancer;
    (void)address;
    (void)load;
    (void)age_ns;
    (void)now_ns;
}

/* Takes note that the process was paused and its view is old. */
void
rp_balancer_notice_pause(struct rp_balancer *balancer, int64_t gap_ns,
                         int64_t now_ns)
{
    (void)balancer;
    (void)gap_ns;
    (void)now_ns;
}

/* Returns how many targets have a number, present or gone. */
uint32_t
rp_balancer_target_count(const struct rp_balancer *balancer)
{
    return balancer->targets->len;
}

/* Returns the address of a target, "ip:port". */
const char *
rp_balancer_target_address(const struct rp_balancer *balancer, uint32_t target)
{
    return get_target(balancer, target)->address;
}

/* Returns whether a target may get new work at present. */
bool
rp_balancer_target_usable(const struct rp_balancer *balancer, uint32_t target)
{
    const struct balancer_target *entry = get_target(balancer, target);
    return entry->present && !entry->draining;
}

/* Fills in what status shows of a target. The strings belong to the
 * balancer. */
void
rp_balancer_view(const struct rp_balancer *balancer, uint32_t target,
                 int64_t now_ns, struct rp_balancer_target_view *view)
{
    (void)now_ns;
    const struct balancer_target *entry = get_target(balancer, target);
    view->name = entry->name;
    view->address = entry->address;
    view->estate = entry->estate;
    view->state = !entry->present   ? "gone"
                  : entry->draining ? "draining"
                                    : "serving";
    view->in_flight = entry->in_flight;
    view->limit = 0;
    view->report_age_ns = -1;
    view->sent = entry->sent;
}

/* Returns how many calls wait. */
uint32_t
rp_balancer_queued(const struct rp_balancer *balancer)
{
    (void)balancer;
    return 0;
}
