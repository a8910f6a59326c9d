#ifndef FAKE_PROCESS_H
#define FAKE_PROCESS_H

#include "fake_clock.h"
#include "kernel.h"

/* One simulated entry process: a context and a kernel with its tasks. All
 * external input goes through fake_process_input. While the process is paused,
 * input is queued, as it would be in socket buffers. */
struct fake_process {
    struct fake_clock *clock;
    struct rp_context *context;
    struct rp_kernel *kernel;
    bool paused;
    bool ended;
    int64_t wake_ns;        /* of the scheduled wake-up */
    GArray *pending_inputs; /* of struct fake_input */
    /* Called with data after each run of the kernel; may be NULL. */
    void (*after_run)(struct fake_process *process, void *data);
    void *data;
    uint32_t vm_index; /* of the VM on which the process runs */
    uint32_t reference_count;
};

/* Input of a process: a function with its arguments. run gets NULL instead of
 * the process when the process has ended. */
struct fake_input {
    void (*run)(struct fake_process *process, void *data, uint64_t number);
    void *data;
    uint64_t number;
};

#ifdef __cplusplus
extern "C" {
#endif

struct fake_process *fake_process_new(struct fake_clock *clock,
                                      const struct rp_identity *identity,
                                      uint32_t seed);
struct fake_process *fake_process_ref(struct fake_process *process);
void fake_process_unref(struct fake_process *process);
void fake_process_start(struct fake_process *process);
void fake_process_end(struct fake_process *process);
void fake_process_pause(struct fake_process *process);
void fake_process_resume(struct fake_process *process);
void fake_process_input(struct fake_process *process,
                        void (*run)(struct fake_process *process, void *data,
                                    uint64_t number),
                        void *data, uint64_t number);
void fake_process_input_at(struct fake_process *process, int64_t at_ns,
                           void (*run)(struct fake_process *process,
                                       void *data, uint64_t number),
                           void *data, uint64_t number);

#ifdef __cplusplus
}
#endif

#endif
