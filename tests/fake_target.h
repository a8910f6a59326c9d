#ifndef FAKE_TARGET_H
#define FAKE_TARGET_H

#include "call.h"
#include "fake_process.h"
#include "probe.h"

/* Simulated targets and the task "upstream" of each simulated process, which
 * stands for the connections to them. Targets count what they ran. */
struct fake_targets;

/* Names the answer that a body belongs to: request id, slash, number. */
#define FAKE_ANSWER_FIELD "X-Answer"

struct fake_target {
    char address[RP_ADDRESS_BYTES];
    char service[RP_SERVICE_BYTES];
    uint32_t body_bytes; /* of an answer */
    int64_t service_ns;  /* mean time in a slot */
    uint32_t in_flight;
    uint64_t runs;
    bool dead;
    bool silent;       /* open connections get no answer; new ones do */
    bool draining;     /* by its own word */
    bool left;         /* refuses what comes, by the contract */
    int64_t leaves_ns; /* when it began to leave; 0 when it does not */
    uint32_t shed_permille;
    uint32_t break_permille;
};

/* What a check of the soak is told. */
struct fake_target_hooks {
    /* A request began to run. */
    void (*ran)(void *data, struct fake_target *target,
                const struct rp_call *call, struct fake_process *process);
    /* An entry process got the target's word that it is draining. */
    void (*told)(void *data, struct fake_process *process,
                 const struct fake_target *target);
    void (*failed)(void *data, const char *check, const char *detail);
    bool (*is_cut)(void *data, struct fake_process *process,
                   const struct fake_target *target);
    /* An attempt to an address that is no target's. */
    bool (*pass_on)(void *data, struct fake_process *process,
                    const struct rp_attempt_start *start);
    void *data;
};

#ifdef __cplusplus
extern "C" {
#endif

struct fake_targets *fake_targets_new(struct fake_clock *clock, GRand *random,
                                      const struct fake_target_hooks *hooks);
void fake_targets_free(struct fake_targets *targets);
struct fake_target *fake_targets_add(struct fake_targets *targets,
                                     const char *address, const char *service);
struct fake_target *fake_targets_find(struct fake_targets *targets,
                                      const char *address);
struct fake_target *fake_targets_get(struct fake_targets *targets,
                                     uint32_t index);
uint32_t fake_targets_count(const struct fake_targets *targets);
void fake_targets_attach(struct fake_targets *targets,
                         struct fake_process *process);
void fake_targets_load(const struct fake_target *target,
                       struct rp_load_report *load);
void fake_pattern(const char *request_id, uint64_t offset, uint8_t *bytes,
                  uint32_t count);

#ifdef __cplusplus
}
#endif

#endif
