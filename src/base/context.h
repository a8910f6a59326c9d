#ifndef RP_CONTEXT_H
#define RP_CONTEXT_H

#include <glib.h>
#include <stdint.h>

#include "counter.h"
#include "event.h"
#include "histogram.h"

#define RP_ID_BYTES 64
#define RP_DOMAIN_BYTES 64
#define RP_ADDRESS_BYTES 64

/* Identity of an entry process. The incarnation is generated at each start and
 * is greater than those of earlier starts of the same VM. */
struct rp_identity {
    char id[RP_ID_BYTES];
    char domain[RP_DOMAIN_BYTES];
    char address[RP_ADDRESS_BYTES];      /* for callers, "ip:port" */
    char peer_address[RP_ADDRESS_BYTES]; /* for peers, "ip:port" */
    uint64_t incarnation;
    uint32_t capacity_permille; /* 1000 for each core, from settings */
    uint32_t fleet_size; /* maximum number of entry VMs, from settings */
};

/* State shared by all tasks of one entry process. The soak test has one for
 * each simulated process, so none of it is global. */
struct rp_context {
    struct rp_identity identity;
    struct rp_counters counters;
    struct rp_histograms *histograms;
    struct rp_event_ring *events;
    uint64_t invariant_failures[8];
    GRand *random;
    int64_t suspended_ms; /* of the machine; the monotonic clock lacks it */
};

#ifdef __cplusplus
extern "C" {
#endif

struct rp_context *rp_context_new(const struct rp_identity *identity,
                                  uint32_t seed);
void rp_context_free(struct rp_context *context);

#ifdef __cplusplus
}
#endif

#endif
