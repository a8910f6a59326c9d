#include "platform_outage.h"

/* Records whether a read of the platform succeeded. */
void
rp_platform_outage_record_read(struct rp_platform_outage *lapse,
                               bool succeeded, int64_t now_ns)
{
    if (!succeeded) {
        lapse->consecutive_failures++;
        return;
    }
    if (lapse->consecutive_failures >= RP_PLATFORM_OUTAGE_MIN_FAILURES) {
        lapse->had_outage = true;
        lapse->outage_end_ns = now_ns;
    }
    lapse->consecutive_failures = 0;
}

/* Returns when the removal of a target that the platform reports now takes
 * effect. */
int64_t
rp_platform_outage_removal_due_ns(const struct rp_platform_outage *lapse,
                                  int64_t now_ns)
{
    if (!lapse->had_outage ||
        now_ns >= lapse->outage_end_ns + RP_PLATFORM_OUTAGE_REMOVAL_HOLD_NS)
    {
        return now_ns;
    }
    return lapse->outage_end_ns + RP_PLATFORM_OUTAGE_REMOVAL_HOLD_NS;
}
