#ifndef RP_TARGET_HINT_H
#define RP_TARGET_HINT_H

#include <stdbool.h>
#include <stdint.h>

#include "context.h"
#include "load.h"

#define RP_SERVICE_BYTES 64

/* Where a hint comes from. Own sightings are passed on to peers; those of
 * peers are not passed on again. */
enum rp_hint_source {
    RP_HINT_PROBE,   /* this entry VM's prober */
    RP_HINT_ANSWER,  /* an answer to a call of this entry VM */
    RP_HINT_VM_LIST, /* the platform's list of VMs */
    RP_HINT_PEER,
};

/* What was seen of the target. */
enum rp_hint_kind {
    RP_HINT_LOAD,     /* it answered; has_load tells whether with a report */
    RP_HINT_DRAINING, /* by its own word or by the list of VMs */
    RP_HINT_FAILING,  /* no answer, or an error without a report */
    RP_HINT_KIND_COUNT
};

/* Body of RP_MSG_TARGET_HINT: what an entry VM saw of a target. It is plain
 * data. prober and dispatch send their own sightings to each other and to
 * gossip; gossip sends those of peers to dispatch and prober. */
struct rp_target_hint {
    char service[RP_SERVICE_BYTES];
    char address[RP_ADDRESS_BYTES];
    enum rp_hint_source source;
    enum rp_hint_kind kind;
    bool has_load;
    struct rp_load_report load;
    int64_t seen_ns; /* when it was true, by this entry VM's clock */
};

#endif
