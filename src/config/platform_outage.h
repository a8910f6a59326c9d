#ifndef RP_LAPSE_H
#define RP_LAPSE_H

#include <stdbool.h>
#include <stdint.h>

/* Entries of targets that could not renew them lapse while the platform is
 * down, and come back soon after it. Until then, what says that a target is
 * gone is held back. No clock, socket or log inside. */
struct rp_platform_outage {
    uint32_t failures; /* reads in a row */
    bool back;         /* there was an outage */
    int64_t back_ns;   /* end of the latest one */
};

/* After an outage: the platform's users state about two seconds. */
#define RP_LAPSE_HOLD_NS INT64_C(2000000000)
/* Reads that fail in a row before it counts as an outage: a watch that was cut
 * fails once. */
#define RP_LAPSE_FAILURES 2

#ifdef __cplusplus
extern "C" {
#endif

void rp_platform_outage_record_read(struct rp_platform_outage *lapse,
                                    bool succeeded, int64_t now_ns);
int64_t
rp_platform_outage_removal_due_ns(const struct rp_platform_outage *lapse,
                                  int64_t now_ns);

#ifdef __cplusplus
}
#endif

#endif
