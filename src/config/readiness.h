#ifndef RP_READINESS_H
#define RP_READINESS_H

#include <stdbool.h>
#include <stdint.h>

#include "config_task.h"
#include "vm_list.h"

/* A peer's reported phase counts for this long: a peer that has since
 * stopped reporting may have put records in force. */
#define RP_READINESS_MAX_PHASE_AGE_NS INT64_C(10000000000)

/* The start rules of one entry VM, which determine when its configuration is
 * in force: (a) it has all records of a peer that is in force, or (b) all
 * other entry VMs are starting, too. Uses no clock, socket or log: callers
 * pass the time. */
struct rp_readiness;

#ifdef __cplusplus
extern "C" {
#endif

struct rp_readiness *rp_readiness_new(const char *local_id,
                                      int64_t boot_wait_ns, int64_t now_ns);
void rp_readiness_free(struct rp_readiness *readiness);
void rp_readiness_set_vms(struct rp_readiness *readiness,
                          struct rp_vm_list *list);
void rp_readiness_record_peer_phase(struct rp_readiness *readiness,
                                    const char *id, enum rp_config_phase phase,
                                    int64_t now_ns);
void rp_readiness_record_platform_read(struct rp_readiness *readiness);
void rp_readiness_record_peer_sync(struct rp_readiness *readiness,
                                   const char *peer);
enum rp_config_phase rp_readiness_phase(struct rp_readiness *readiness,
                                        int64_t now_ns);
int64_t rp_readiness_due_ns(const struct rp_readiness *readiness);

#ifdef __cplusplus
}
#endif

#endif
