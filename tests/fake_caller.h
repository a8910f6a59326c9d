#ifndef FAKE_CALLER_H
#define FAKE_CALLER_H

#include "call.h"
#include "fake_process.h"

/* Simulated callers and the task "entry" of each simulated process, which
 * stands for its HTTP server. A caller keeps to the rules of tickets: it
 * repeats an unknown outcome only under the same ticket, and takes a new
 * ticket only when it was told that the request did not run. */
struct fake_callers;

#define FAKE_TICKET_BYTES 256

struct fake_caller_hooks {
    /* Chooses a process that serves; NULL when there is none. */
    struct fake_process *(*choose)(void *data);
    /* Writes a ticket prefix that an address answer may name for a process.
     * Returns false when there is none. */
    bool (*prefix)(void *data, struct fake_process *process,
                   char prefix[FAKE_TICKET_BYTES]);
    void (*failed)(void *data, const char *check, const char *detail);
    void (*note)(void *data, const char *format, ...)
        __attribute__((format(printf, 2, 3)));
    void *data;
};

struct fake_caller_totals {
    uint64_t requests; /* what callers wanted, each counted once */
    uint64_t sent;     /* HTTP requests */
    uint64_t whole;
    uint64_t not_run;
    uint64_t unknown; /* told so, cut off or lost with an entry VM */
    uint64_t runs;    /* at targets */
    uint64_t repeats; /* under the same ticket */
};

#ifdef __cplusplus
extern "C" {
#endif

struct fake_callers *fake_callers_new(struct fake_clock *clock, GRand *random,
                                      const struct fake_caller_hooks *hooks);
void fake_callers_free(struct fake_callers *callers);
void fake_callers_attach(struct fake_callers *callers,
                         struct fake_process *process);
void fake_callers_begin(struct fake_callers *callers);
void fake_callers_process_ended(struct fake_callers *callers,
                                struct fake_process *process);
void fake_callers_request_started(struct fake_callers *callers,
                                  const struct rp_call *call);
bool fake_callers_pass_on(struct fake_callers *callers,
                          struct fake_process *from, struct fake_process *to,
                          const struct rp_attempt_start *start);
const struct fake_caller_totals *
fake_callers_totals(const struct fake_callers *callers);
void fake_callers_stop(struct fake_callers *callers);

#ifdef __cplusplus
}
#endif

#endif
