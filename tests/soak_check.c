#include "soak_world.h"

#include <string.h>

#include "drain.h"
#include "record_set.h"

/* I7: what an entry process has in force never goes back. */
void
soak_check_config(struct soak *soak, struct soak_place *place)
{
    const struct rp_record_set *set = rp_config_task_set(place->config);
    for (uint32_t i = 0; i < soak_operator_key_count(); i++) {
        struct rp_record_order order = {0};
        rp_record_set_find(set, soak_operator_key(i), &order, NULL);
        if (rp_record_order_compare(&order, &place->orders[i]) < 0) {
            soak_fail(soak, "config-monotonic", soak_operator_key(i));
        }
        place->orders[i] = order;
    }
    for (uint32_t i = 0; i < SOAK_TARGETS; i++) {
        if (soak_operator_drains(soak->operators, i, place)) {
            soak_check_told(soak, place->index,
                            fake_targets_get(soak->targets, i));
        }
    }
}

/* Takes note that an entry process learned that a target leaves. */
void
soak_check_told(struct soak *soak, uint32_t place,
                const struct fake_target *target)
{
    int64_t *told_ns =
        &soak->places[place].told_ns[soak_target_index(soak, target)];
    if (target->leaves_ns != 0 && *told_ns < target->leaves_ns) {
        *told_ns = soak_now_ns(soak);
    }
}

/* I7: some seconds after all faults are healed, all entry processes have the
 * greatest published versions in force. */
void
soak_check_agreement(struct soak *soak)
{
    uint64_t digests[SOAK_PLACES] = {0};
    uint64_t revision = 0;
    for (uint32_t i = 0; i < SOAK_PLACES; i++) {
        struct soak_place *place = &soak->places[i];
        if (rp_config_task_phase(place->config) == RP_CONFIG_STARTING) {
            soak_fail(soak, "ready", place->process->context->identity.id);
            continue;
        }
        const struct rp_record_set *set = rp_config_task_set(place->config);
        digests[i] = rp_record_set_digest(set);
        revision = MAX(revision, rp_record_set_revision(set));
        if (digests[i] != digests[0]) {
            soak_fail(soak, "config-agreement",
                      place->process->context->identity.id);
        }
    }
    if (revision != fake_platform_revision(soak->platform)) {
        soak_fail(soak, "config-agreement", "latest revision");
    }
}

/* Returns whether an entry process has known for longer than the bound that
 * the target is leaving, or could have known. */
static bool
must_know(const struct soak *soak, const struct fake_target *target,
          const struct soak_place *place)
{
    int64_t known_ns = MAX(target->leaves_ns, place->disturbed_until_ns);
    int64_t told_ns = place->told_ns[soak_target_index(soak, target)];
    if (told_ns >= target->leaves_ns) {
        known_ns = MIN(known_ns, told_ns);
    }
    /* The request itself was under way for some milliseconds. */
    return target->leaves_ns != 0 &&
           soak_now_ns(soak) - known_ns > RP_DRAIN_MAX_DELAY_NS + 5 * SOAK_MS;
}

/* I5: a leaving target gets no new work after the bound. */
void
soak_check_request_started(struct soak *soak, struct fake_target *target,
                           struct fake_process *process)
{
    const struct soak_place *place = &soak->places[process->index];
    if (must_know(soak, target, place)) {
        soak_fail(soak, "drain-stops-work", target->address);
    }
}

/* I6: nothing is in flight when a target goes that left as planned. */
void
soak_check_target_stop(struct soak *soak, struct fake_target *target)
{
    for (uint32_t i = 0; i < SOAK_PLACES; i++) {
        if (!must_know(soak, target, &soak->places[i])) {
            return;
        }
    }
    if (target->in_flight > 0) {
        soak_fail(soak, "graceful-stop", target->address);
    }
}

/* I1: the share of an entry VM, also over its restarts, and the budget of
 * the target over all of them. */
void
soak_check_probe(struct soak *soak, uint32_t target, uint32_t place)
{
    struct soak_probe_log *log = &soak->probe_logs[target];
    int64_t now_ns = soak_now_ns(soak);
    int64_t interval_ns =
        rp_probe_interval_ns(SOAK_PROBES_PER_10S, SOAK_PLACES);
    const char *address = fake_targets_get(soak->targets, target)->address;
    if (log->last_ns[place] != 0 && now_ns - log->last_ns[place] < interval_ns)
    {
        soak_fail(soak, "measuring-budget", address);
    }
    log->last_ns[place] = now_ns;
    g_array_append_val(log->sent_ns, now_ns);
    uint32_t count = 0;
    for (guint i = log->sent_ns->len; i > 0; i--) {
        if (now_ns - g_array_index(log->sent_ns, int64_t, i - 1) >=
            interval_ns) {
            break;
        }
        count++;
    }
    if (count > SOAK_PLACES) {
        soak_fail(soak, "measuring-budget", address);
    }
    soak->probes++;
}
