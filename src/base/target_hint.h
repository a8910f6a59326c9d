#ifndef RP_TARGET_HINT_H
#define RP_TARGET_HINT_H

#include <stdbool.h>
#include <stdint.h>

#include "context.h"
#include "load.h"

#define RP_SERVICE_BYTES 64

/* Source of a hint. Observations of this entry VM are forwarded to peers;
 * those of peers are not forwarded again. */
enum rp_hint_source {
    RP_HINT_PROBE,   /* this entry VM's prober */
    RP_HINT_ANSWER,  /* an answer to a call of this entry VM */
    RP_HINT_VM_LIST, /* the platform's list of VMs */
    RP_HINT_PEER,
};

/* Observed state of the target. */
enum rp_hint_kind {
    RP_HINT_LOAD,     /* it answered; has_load is set if with a load report */
    RP_HINT_DRAINING, /* reported by the target or the list of VMs */
    RP_HINT_FAILING,  /* no answer, or an error without a report */
    RP_HINT_KIND_COUNT
};

/* Body of RP_MSG_TARGET_HINT: an entry VM's observation of a target. It is
 * plain data. prober and dispatch send their observations to each other and to
 * gossip; gossip sends those of peers to dispatch and prober. */
struct rp_target_hint {
    char service[RP_SERVICE_BYTES];
    char address[RP_ADDRESS_BYTES];
    enum rp_hint_source source;
    enum rp_hint_kind kind;
    bool has_load;
    struct rp_load_report load;
    int64_t observed_ns; /* time of the observation, by this VM's clock */
};

#endif
