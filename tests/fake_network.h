#ifndef FAKE_NETWORK_H
#define FAKE_NETWORK_H

#include "fake_process.h"

#define FAKE_PLACES 8

/* The network between entry processes, and the task "wire" of each. A place
 * is an address at which one process after the other may live. */
struct fake_network {
    struct fake_clock *clock;
    GRand *random;
    struct fake_process *at[FAKE_PLACES];
    char address[FAKE_PLACES][RP_ADDRESS_BYTES];
    uint32_t place_count;
    bool cut[FAKE_PLACES][FAKE_PLACES]; /* from, to */
    uint32_t lose_permille;
    uint32_t duplicate_permille;
    int64_t delay_ns; /* greatest */
    uint64_t sent;
    uint64_t lost;
};

#ifdef __cplusplus
extern "C" {
#endif

void fake_network_attach(struct fake_network *network,
                         struct fake_process *process);

#ifdef __cplusplus
}
#endif

#endif
