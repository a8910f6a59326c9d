#include "platform_outage.h"

/* Records whether a read of the platform succeeded. */
void
rp_platform_outage_record_read(struct rp_platform_outage *outage,
                               bool succeeded, int64_t now_ns)
{
    if (!succeeded) {
        outage->consecutive_failures++;
        return;
    }
    if (outage->consecutive_failures >= RP_PLATFORM_OUTAGE_MIN_FAILURES) {
        outage->had_outage = true;
        outage->outage_end_ns = now_ns;
    }
    outage->consecutive_failures = 0;
}

/* Records that the platform came back from an older copy of its data, which
 * lacks the entries that were added since. They are added again like those
 * that expired during an outage. */
void
rp_platform_outage_record_restore(struct rp_platform_outage *outage,
                                  int64_t now_ns)
{
    outage->had_outage = true;
    outage->outage_end_ns = now_ns;
}

/* Returns when the removal of a target that the platform reports now takes
 * effect. */
int64_t
rp_platform_outage_removal_due_ns(const struct rp_platform_outage *outage,
                                  int64_t now_ns)
{
    if (!outage->had_outage ||
        now_ns >= outage->outage_end_ns + RP_PLATFORM_OUTAGE_REMOVAL_HOLD_NS)
    {
        return now_ns;
    }
    return outage->outage_end_ns + RP_PLATFORM_OUTAGE_REMOVAL_HOLD_NS;
}
