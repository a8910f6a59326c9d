#ifndef FAKE_NETWORK_H
#define FAKE_NETWORK_H

#include "fake_process.h"

#define FAKE_MAX_VMS 8

/* Simulated network between entry VMs, and the task "wire" of each process. A
 * VM has a fixed address and runs at most one process at a time. */
struct fake_network {
    struct fake_clock *clock;
    GRand *random;
    struct fake_process *processes[FAKE_MAX_VMS]; /* by VM; NULL for none */
    char addresses[FAKE_MAX_VMS][RP_ADDRESS_BYTES];
    uint32_t vm_count;
    bool cut[FAKE_MAX_VMS][FAKE_MAX_VMS]; /* by sender and receiver */
    uint32_t loss_permille;
    uint32_t duplicate_permille;
    int64_t max_delay_ns;
    uint64_t sent_count;
    uint64_t lost_count;
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
