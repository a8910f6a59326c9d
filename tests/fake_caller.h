#ifndef FAKE_CALLER_H
#define FAKE_CALLER_H

#include "call.h"
#include "fake_process.h"

/* Simulated callers, and the task "entry" of each simulated process, which
 * replaces its HTTP server. Callers follow the rules of tickets: after an
 * unknown outcome a caller repeats a request that is not repeatable only with
 * the same ticket. It uses a new ticket only after the outcome "not-run". */
struct fake_callers;

#define FAKE_TICKET_BYTES 256

struct fake_caller_hooks {
    /* Chooses the process that gets a request; NULL if there is none. */
    struct fake_process *(*choose_process)(void *data);
    /* Writes the ticket prefix that an answer with addresses can contain for a
     * process. Returns false if none is available. */
    bool (*ticket_prefix)(void *data, struct fake_process *process,
                          char prefix[FAKE_TICKET_BYTES]);
    /* A check of the callers failed. */
    void (*check_failed)(void *data, const char *check, const char *detail);
    /* Adds a line to the timeline. */
    void (*add_line)(void *data, const char *format, ...)
        __attribute__((format(printf, 2, 3)));
    void *data;
};

struct fake_caller_totals {
    uint64_t requests; /* excludes repeats and copies */
    uint64_t sent;     /* calls to entry VMs */
    uint64_t whole;    /* calls with a complete answer */
    uint64_t not_run;
    uint64_t unknown; /* reported, answer broken off, or no answer */
    uint64_t runs;    /* at targets */
    uint64_t repeats; /* with the same ticket */
};

#ifdef __cplusplus
extern "C" {
#endif

struct fake_callers *fake_callers_new(struct fake_clock *clock, GRand *random,
                                      const struct fake_caller_hooks *hooks);
void fake_callers_free(struct fake_callers *callers);
void fake_callers_attach(struct fake_callers *callers,
                         struct fake_process *process);
void fake_callers_begin_request(struct fake_callers *callers);
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
