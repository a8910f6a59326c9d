#ifndef RP_DRAIN_H
#define RP_DRAIN_H

#include <stdbool.h>
#include <stdint.h>

/* A leaving target gets no new work from any entry VM after this time
 * (invariant I5). */
#define RP_DRAIN_MAX_DELAY_NS INT64_C(5000000000)

/* Who says that a target is leaving. */
#define RP_DRAIN_RECORD (1u << 0)
#define RP_DRAIN_PLATFORM (1u << 1) /* the platform's list of VMs */
#define RP_DRAIN_TARGET (1u << 2)   /* RP-Load, in an answer or a probe */

/* The draining of one target as one entry VM sees it. All zero at first. */
struct rp_drain {
    uint32_t sources;
    uint32_t in_flight;
    int64_t leaving_since_ns; /* of the first source that still says so */
    int64_t target_report_ns; /* when the target's latest word was true */
};

#ifdef __cplusplus
extern "C" {
#endif

bool rp_drain_set(struct rp_drain *drain, uint32_t source, bool leaving,
                  int64_t now_ns);
bool rp_drain_set_target_report(struct rp_drain *drain, bool leaving,
                                int64_t seen_ns, int64_t now_ns);
bool rp_drain_may_send(const struct rp_drain *drain);
bool rp_drain_record_sent(struct rp_drain *drain, int64_t now_ns);
void rp_drain_record_ended(struct rp_drain *drain);
bool rp_drain_is_complete(const struct rp_drain *drain);

#ifdef __cplusplus
}
#endif

#endif
