#ifndef RP_PROBE_H
#define RP_PROBE_H

#include <stdbool.h>
#include <stdint.h>

#include "snapshot.h"
#include "target_hint.h"

/* A target needs no probe until its latest answer or hint is this old. */
#define RP_PROBE_FRESH_NS INT64_C(1000000000)
#define RP_PROBE_PATH_BYTES 256

/* Decides when this entry VM probes which target. The budget of a target,
 * probes_per_10s for all entry VMs, is split into static shares by the fleet
 * size of the settings. Two probes of a target by one entry VM are at least
 *
 *     interval = 10 s * fleet size / probes_per_10s
 *
 * apart, so that in any window of n intervals a target gets at most
 * n * fleet size probes, which is its budget for that time (invariant I1). A
 * share does not grow while other entry VMs send no probes and does not
 * accumulate. It starts with a full interval after a restart, so that restarts
 * add no probes. */
struct rp_probe;

struct rp_probe_choice {
    char service[RP_SERVICE_BYTES];
    char address[RP_ADDRESS_BYTES];
    char path[RP_PROBE_PATH_BYTES];
};

#ifdef __cplusplus
extern "C" {
#endif

struct rp_probe *rp_probe_new(uint32_t fleet_size, const char *id,
                              int64_t now_ns);
void rp_probe_free(struct rp_probe *probe);
void rp_probe_set_snapshot(struct rp_probe *probe,
                           const struct rp_snapshot *snapshot, int64_t now_ns);
void rp_probe_record_update(struct rp_probe *probe, const char *service,
                            const char *address, int64_t observed_ns);
void rp_probe_handle_pause(struct rp_probe *probe, int64_t now_ns);
bool rp_probe_next(struct rp_probe *probe, int64_t now_ns,
                   struct rp_probe_choice *choice);
int64_t rp_probe_due_ns(const struct rp_probe *probe, int64_t now_ns);
bool rp_probe_within_budget(const struct rp_probe *probe);
int64_t rp_probe_interval_ns(uint32_t probes_per_10s, uint32_t fleet_size);

#ifdef __cplusplus
}
#endif

#endif
