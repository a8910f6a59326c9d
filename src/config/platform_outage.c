#include "platform_outage.h"

/* Takes note of the end of a read of the platform. */
void
rp_platform_outage_record_read(struct rp_platform_outage *lapse,
                               bool succeeded, int64_t now_ns)
{
    if (!succeeded) {
        lapse->failures++;
        return;
    }
    if (lapse->failures >= RP_LAPSE_FAILURES) {
        lapse->back = true;
        lapse->back_ns = now_ns;
    }
    lapse->failures = 0;
}

/* Returns when it counts that a target is gone of which this is heard now. */
int64_t
rp_platform_outage_removal_due_ns(const struct rp_platform_outage *lapse,
                                  int64_t now_ns)
{
    if (!lapse->back || now_ns >= lapse->back_ns + RP_LAPSE_HOLD_NS) {
        return now_ns;
    }
    return lapse->back_ns + RP_LAPSE_HOLD_NS;
}
