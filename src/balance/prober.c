#include "prober.h"

#include <string.h>

#include "invariant.h"

#define TIMER_NEXT 0

struct running_probe {
    uint64_t probe_id; /* 0 when unused */
    struct rp_probe_choice choice;
};

struct rp_prober {
    struct rp_task *task;
    struct rp_probe *schedule;
    struct rp_prober_transport transport;
    struct running_probe running[RP_PROBER_MAX_IN_FLIGHT];
    uint64_t last_id;
    bool stopped;
};

static struct running_probe *
find_running(struct rp_prober *prober, uint64_t probe_id)
{
    for (int i = 0; i < RP_PROBER_MAX_IN_FLIGHT; i++) {
        if (prober->running[i].probe_id == probe_id) {
            return &prober->running[i];
        }
    }
    return NULL;
}

static void
start_due_probes(struct rp_prober *prober, int64_t now_ns)
{
    struct rp_context *context = rp_task_context(prober->task);
    struct running_probe *slot;
    while (!prober->stopped && (slot = find_running(prober, 0)) != NULL &&
           rp_probe_next(prober->schedule, now_ns, &slot->choice))
    {
        rp_counter_add(&context->counters, RP_COUNTER_PROBES, 1);
        rp_invariant_check(context, RP_INVARIANT_PROBE_BUDGET,
                           rp_probe_within_budget(prober->schedule), now_ns,
                           slot->choice.address);
        slot->probe_id = ++prober->last_id;
        if (!prober->transport.start(prober->transport.data, slot->probe_id,
                                     &slot->choice))
        {
            slot->probe_id = 0;
        }
    }
}

static void
set_timer(struct rp_prober *prober, int64_t now_ns)
{
    if (prober->stopped || find_running(prober, 0) == NULL) {
        rp_task_cancel_timer(prober->task, TIMER_NEXT);
        return;
    }
    rp_task_set_timer(prober->task, TIMER_NEXT,
                      rp_probe_due_ns(prober->schedule, now_ns));
}

static void
send_hint(struct rp_prober *prober, const struct rp_target_hint *hint)
{
    static const char *const receivers[] = {"dispatch", "gossip"};
    struct rp_kernel *kernel = rp_task_kernel(prober->task);
    for (guint i = 0; i < G_N_ELEMENTS(receivers); i++) {
        /* A full mailbox drops the hint, which the kernel counts; the next
         * probe sends a newer one. */
        rp_task_send(prober->task, rp_kernel_find_task(kernel, receivers[i]),
                     RP_MSG_TARGET_HINT, hint, sizeof(*hint));
    }
}

/* Records the result of a probe from the transport and sends it as a hint.
 * Results of unknown probes are ignored. */
void
rp_prober_finish(struct rp_prober *prober,
                 const struct rp_probe_result *result, int64_t now_ns)
{
    struct running_probe *slot =
        result->probe_id != 0 ? find_running(prober, result->probe_id) : NULL;
    if (slot == NULL) {
        return;
    }
    struct rp_target_hint hint = {
        .source = RP_HINT_PROBE,
        .kind = RP_HINT_LOAD,
        .has_load = result->has_load,
        .load = result->load,
        .observed_ns = now_ns,
    };
    memcpy(hint.service, slot->choice.service, sizeof(hint.service));
    memcpy(hint.address, slot->choice.address, sizeof(hint.address));
    slot->probe_id = 0;
    if (!result->answered) {
        struct rp_context *context = rp_task_context(prober->task);
        rp_counter_add(&context->counters, RP_COUNTER_PROBES_FAILED, 1);
        hint.kind = RP_HINT_FAILING;
        hint.has_load = false;
    }
    else if (result->has_load && result->load.state == RP_TARGET_DRAINING) {
        hint.kind = RP_HINT_DRAINING;
    }
    rp_probe_record_update(prober->schedule, hint.service, hint.address,
                           now_ns);
    send_hint(prober, &hint);
    set_timer(prober, now_ns);
}

static void
on_message(struct rp_task *task, const struct rp_message *message,
           int64_t now_ns, void *data)
{
    (void)task;
    struct rp_prober *prober = data;
    if (message->kind == RP_MSG_SNAPSHOT) {
        const struct rp_snapshot_message *body = message->body;
        rp_probe_set_snapshot(prober->schedule, body->snapshot, now_ns);
    }
    else if (message->kind == RP_MSG_TARGET_HINT) {
        const struct rp_target_hint *hint = message->body;
        rp_probe_record_update(prober->schedule, hint->service, hint->address,
                               hint->observed_ns);
    }
    else if (message->kind == RP_MSG_PAUSE_DETECTED) {
        rp_probe_handle_pause(prober->schedule, now_ns);
    }
    else if (message->kind == RP_MSG_STOP) {
        prober->stopped = true;
    }
    set_timer(prober, now_ns);
}

static void
on_timer(struct rp_task *task, uint32_t timer, int64_t now_ns, void *data)
{
    (void)task;
    (void)timer;
    struct rp_prober *prober = data;
    start_due_probes(prober, now_ns);
    set_timer(prober, now_ns);
}

static const struct rp_task_ops prober_ops = {
    .on_message = on_message,
    .on_timer = on_timer,
};

/* Registers the task "prober". It receives RP_MSG_SNAPSHOT and
 * RP_MSG_TARGET_HINT and sends hints to "dispatch" and "gossip", which may be
 * missing. The transport is copied, and freed with the prober or on failure.
 * Free the prober with rp_prober_free after the kernel has ended. */
struct rp_prober *
rp_prober_new(struct rp_kernel *kernel,
              const struct rp_prober_transport *transport, int64_t now_ns,
              GError **error)
{
    struct rp_prober *prober = g_new0(struct rp_prober, 1);
    prober->transport = *transport;
    prober->schedule =
        rp_probe_new(rp_kernel_context(kernel)->identity.fleet_size,
                     rp_kernel_context(kernel)->identity.id, now_ns);
    prober->task =
        rp_kernel_add_task(kernel, RP_TASK_PROBER, &prober_ops, prober, error);
    if (prober->task == NULL) {
        rp_prober_free(prober);
        return NULL;
    }
    return prober;
}

/* Frees a prober; NULL is allowed. */
void
rp_prober_free(struct rp_prober *prober)
{
    if (prober == NULL) {
        return;
    }
    if (prober->transport.free != NULL) {
        prober->transport.free(prober->transport.data);
    }
    rp_probe_free(prober->schedule);
    g_free(prober);
}
