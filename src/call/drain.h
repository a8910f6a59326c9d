#ifndef RP_DRAIN_H
#define RP_DRAIN_H

#include <stdbool.h>
#include <stdint.h>

/* Maximum time until no entry VM sends new work to a leaving target (invariant
 * I5). */
#define RP_DRAIN_MAX_DELAY_NS INT64_C(5000000000)

/* Sources that can report a target as leaving. */
#define RP_DRAIN_RECORD (1u << 0)
#define RP_DRAIN_PLATFORM (1u << 1) /* the platform's list of VMs */
#define RP_DRAIN_TARGET (1u << 2)   /* RP-Load in an answer or a probe */
/* A notice in an answer or a probe, which holds for the target's run. */
#define RP_DRAIN_NOTICE (1u << 3)

/* Drain state of one target on one entry VM. Initially all zero. */
struct rp_drain {
    uint32_t sources;         /* RP_DRAIN_... that report it as leaving */
    uint32_t in_flight;       /* attempts of this entry VM */
    int64_t leaving_since_ns; /* when the target became leaving */
    int64_t target_report_ns; /* of the latest report; 0 for none */
};

#ifdef __cplusplus
extern "C" {
#endif

bool rp_drain_set(struct rp_drain *drain, uint32_t source, bool leaving,
                  int64_t now_ns);
bool rp_drain_set_target_report(struct rp_drain *drain, bool leaving,
                                int64_t observed_ns, int64_t now_ns);
bool rp_drain_may_send(const struct rp_drain *drain);
bool rp_drain_record_sent(struct rp_drain *drain, int64_t now_ns);
void rp_drain_record_ended(struct rp_drain *drain);
bool rp_drain_is_complete(const struct rp_drain *drain);

#ifdef __cplusplus
}
#endif

#endif
