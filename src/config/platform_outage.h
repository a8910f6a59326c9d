#ifndef RP_PLATFORM_OUTAGE_H
#define RP_PLATFORM_OUTAGE_H

#include <stdbool.h>
#include <stdint.h>

/* While the platform is down, targets cannot renew their entries, which expire
 * and are added again soon after the outage. Removals of targets are therefore
 * held back for a while after it. Uses no clock, socket or log: callers pass
 * the time. */
struct rp_platform_outage {
    uint32_t consecutive_failures; /* failed reads since the last success */
    bool had_outage;
    int64_t outage_end_ns; /* of the latest outage */
    bool has_read;
    int64_t first_read_ns; /* first successful one of this process */
};

/* After an outage. The platform's users state that entries are back after
 * about two seconds. */
#define RP_PLATFORM_OUTAGE_REMOVAL_HOLD_NS INT64_C(2000000000)
/* Interval at which a held removal looks whether reads succeed again. */
#define RP_PLATFORM_OUTAGE_RECHECK_NS INT64_C(100000000)
/* Consecutive failed reads that count as an outage; a watch whose connection
 * is cut fails only once. */
#define RP_PLATFORM_OUTAGE_MIN_FAILURES 2

#ifdef __cplusplus
extern "C" {
#endif

void rp_platform_outage_record_read(struct rp_platform_outage *outage,
                                    bool succeeded, int64_t now_ns);
void rp_platform_outage_record_restore(struct rp_platform_outage *outage,
                                       int64_t back_ns);
int64_t
rp_platform_outage_removal_due_ns(const struct rp_platform_outage *outage,
                                  int64_t now_ns);
int64_t rp_platform_outage_held_due_ns(const struct rp_platform_outage *outage,
                                       int64_t now_ns);
int64_t
rp_platform_outage_listing_due_ns(const struct rp_platform_outage *outage,
                                  int64_t now_ns);

#ifdef __cplusplus
}
#endif

#endif
