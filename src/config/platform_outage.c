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
    if (!outage->has_read) {
        outage->has_read = true;
        outage->first_read_ns = now_ns;
    }
    if (outage->consecutive_failures >= RP_PLATFORM_OUTAGE_MIN_FAILURES) {
        outage->had_outage = true;
        outage->outage_end_ns = now_ns;
    }
    outage->consecutive_failures = 0;
}

/* Records that the platform came back from an older copy of its data, at
 * back_ns or before. The copy lacks the entries that were added since. They
 * are added again like those that expired during an outage. */
void
rp_platform_outage_record_restore(struct rp_platform_outage *outage,
                                  int64_t back_ns)
{
    if (!outage->had_outage || back_ns > outage->outage_end_ns) {
        outage->outage_end_ns = back_ns;
    }
    outage->had_outage = true;
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

/* Returns when a removal that was held back until now takes effect. While the
 * platform cannot be read, the target's entry may be back unseen. */
int64_t
rp_platform_outage_held_due_ns(const struct rp_platform_outage *outage,
                               int64_t now_ns)
{
    return outage->consecutive_failures > 0
               ? now_ns + RP_PLATFORM_OUTAGE_RECHECK_NS
               : rp_platform_outage_removal_due_ns(outage, now_ns);
}

/* Returns when a listing that was received now retires the targets that it
 * lacks. An outage may have ended just before this process started, so that
 * its first listing lacks entries that are about to be added again. */
int64_t
rp_platform_outage_listing_due_ns(const struct rp_platform_outage *outage,
                                  int64_t now_ns)
{
    int64_t due_ns = rp_platform_outage_removal_due_ns(outage, now_ns);
    if (!outage->has_read) {
        return due_ns;
    }
    int64_t settled_ns =
        outage->first_read_ns + RP_PLATFORM_OUTAGE_REMOVAL_HOLD_NS;
    return settled_ns > due_ns ? settled_ns : due_ns;
}
