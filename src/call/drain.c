#include "drain.h"

/* Records whether a source other than RP_DRAIN_TARGET reports the target as
 * leaving. Returns whether the result of rp_drain_may_send changed. */
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

/* Records the target's own report, which was made at observed_ns of this entry
 * VM's clock. Reports can arrive out of order, also through peers; those
 * older than the latest are ignored. Returns as rp_drain_set does. */
bool
rp_drain_set_target_report(struct rp_drain *drain, bool leaving,
                           int64_t observed_ns, int64_t now_ns)
{
    if (drain->target_report_ns != 0 && observed_ns < drain->target_report_ns)
    {
        return false;
    }
    drain->target_report_ns = observed_ns;
    return rp_drain_set(drain, RP_DRAIN_TARGET, leaving, now_ns);
}

/* Returns whether the target may get new work: no source reports it as
 * leaving. */
bool
rp_drain_may_send(const struct rp_drain *drain)
{
    return drain->sources == 0;
}

/* Records new work sent to the target. Returns whether invariant
 * drain-stops-work holds, which the caller has to check. */
bool
rp_drain_record_sent(struct rp_drain *drain, int64_t now_ns)
{
    drain->in_flight++;
    return rp_drain_may_send(drain) ||
           now_ns - drain->leaving_since_ns <= RP_DRAIN_MAX_DELAY_NS;
}

/* Records that work sent to the target has ended. */
void
rp_drain_record_ended(struct rp_drain *drain)
{
    if (drain->in_flight > 0) {
        drain->in_flight--;
    }
}

/* Returns whether the target is leaving and no work of this entry VM is in
 * progress on it, so that its connections can be closed safely. */
bool
rp_drain_is_complete(const struct rp_drain *drain)
{
    return !rp_drain_may_send(drain) && drain->in_flight == 0;
}
