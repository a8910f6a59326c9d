#include "drain.h"

/* Takes note that a source (RP_DRAIN_RECORD or RP_DRAIN_PLATFORM) says that
 * the target is leaving, or no longer says so. Returns whether
 * rp_drain_may_send changed. */
bool
rp_drain_set(struct rp_drain *drain, uint32_t source, bool leaving,
             int64_t now_ns)
{
    bool could_send = rp_drain_may_send(drain);
    if (leaving && could_send) {
        drain->leaving_since_ns = now_ns;
    }
    drain->sources =
        leaving ? drain->sources | source : drain->sources & ~source;
    return rp_drain_may_send(drain) != could_send;
}

/* Takes note of the target's own word, which was true at seen_ns by this
 * entry VM's clock. Words arrive out of order, over peers too; an older one
 * than the latest is passed over. Returns as rp_drain_set does. */
bool
rp_drain_set_target_report(struct rp_drain *drain, bool leaving,
                           int64_t seen_ns, int64_t now_ns)
{
    if (drain->target_report_ns != 0 && seen_ns < drain->target_report_ns) {
        return false;
    }
    drain->target_report_ns = seen_ns;
    return rp_drain_set(drain, RP_DRAIN_TARGET, leaving, now_ns);
}

/* Returns whether the target may get new work: not as soon as any source
 * says that it is leaving. */
bool
rp_drain_may_send(const struct rp_drain *drain)
{
    return drain->sources == 0;
}

/* Takes note of new work sent to the target. Returns whether invariant
 * drain-stops-work holds; its caller asserts that. */
bool
rp_drain_record_sent(struct rp_drain *drain, int64_t now_ns)
{
    drain->in_flight++;
    return rp_drain_may_send(drain) ||
           now_ns - drain->leaving_since_ns <= RP_DRAIN_MAX_DELAY_NS;
}

/* Takes note that work sent earlier has ended. */
void
rp_drain_record_ended(struct rp_drain *drain)
{
    if (drain->in_flight > 0) {
        drain->in_flight--;
    }
}

/* Returns whether the target is leaving and nothing of this entry VM is left
 * on it, so that its connections can be closed without cutting work off. */
bool
rp_drain_is_complete(const struct rp_drain *drain)
{
    return !rp_drain_may_send(drain) && drain->in_flight == 0;
}
