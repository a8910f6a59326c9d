#ifndef SOAK_WORLD_H
#define SOAK_WORLD_H

#include <xxhash.h>

#include "config_task.h"
#include "dispatch.h"
#include "fake_caller.h"
#include "fake_network.h"
#include "fake_platform.h"
#include "fake_process.h"
#include "fake_target.h"
#include "gossip.h"
#include "prober.h"

#define SOAK_MS INT64_C(1000000)
#define SOAK_S INT64_C(1000000000)
#define SOAK_PLACES 5
#define SOAK_TARGETS 12
#define SOAK_KEYS 16
#define SOAK_PROBES_PER_10S 10

/* The time line of a run, from the start of the virtual clock at 1 s. */
#define SOAK_FAULTS_FROM_NS (8 * SOAK_S)
#define SOAK_HEAL_NS (48 * SOAK_S)
#define SOAK_AGREE_NS (SOAK_HEAL_NS + 8 * SOAK_S)
#define SOAK_END_NS (SOAK_AGREE_NS + 3 * SOAK_S)

/* A place at which one entry process after the other lives. */
struct soak_place {
    uint32_t index;
    struct fake_process *process; /* NULL while there is none */
    struct rp_config_task *config;
    struct rp_gossip *gossip;
    struct rp_prober *prober;
    struct rp_dispatch *dispatch;
    uint64_t incarnation;
    uint64_t events_seen;
    int64_t disturbed_until_ns; /* by a pause, cut, restart, ... */
    bool cut_from_targets;
    bool stopping;
    struct rp_record_order orders[SOAK_KEYS]; /* in force, by key */
    /* Since when it knows that a target leaves; 0 when it does not. */
    int64_t told_ns[SOAK_TARGETS];
};

/* What a target got from the probers of all entry VMs. */
struct soak_probe_log {
    GArray *sent_ns;
    int64_t last_ns[SOAK_PLACES];
};

struct soak {
    uint64_t seed;
    bool print; /* each line as it comes */
    struct fake_clock *clock;
    GRand *random;
    struct soak_place places[SOAK_PLACES];
    struct fake_network network;
    struct fake_targets *targets;
    struct fake_callers *callers;
    struct fake_platform *platform;
    struct soak_probe_log probe_logs[SOAK_TARGETS];
    struct soak_operator *operators;
    GQueue *lines; /* the latest lines of the time line */
    uint64_t line_count;
    XXH3_state_t *digest;
    uint32_t failures;
    bool over;       /* nothing new begins */
    uint64_t faults; /* of the schedule */
    uint64_t probes;
};

void soak_note(struct soak *soak, const char *format, ...)
    __attribute__((format(printf, 2, 3)));
void soak_fail(struct soak *soak, const char *check, const char *detail);
void soak_print_lines(struct soak *soak);

struct soak *soak_new(uint64_t seed, bool print);
void soak_free(struct soak *soak);
uint64_t soak_run(struct soak *soak);
int64_t soak_now_ns(const struct soak *soak);
uint32_t soak_target_index(const struct soak *soak,
                           const struct fake_target *target);
bool soak_chance(struct soak *soak, uint32_t permille);
int64_t soak_random_ns(struct soak *soak, int64_t least_ns, int64_t most_ns);

void soak_place_start(struct soak *soak, uint32_t place);
void soak_place_kill(struct soak *soak, uint32_t place);
void soak_place_stop(struct soak *soak, uint32_t place);
void soak_set_list(struct soak *soak);
void soak_disturb(struct soak *soak, uint32_t place, int64_t until_ns);

void soak_schedule_start(struct soak *soak);

struct soak_operator *soak_operator_new(struct soak *soak);
void soak_operator_free(struct soak_operator *operators);
void soak_operator_act(struct soak_operator *operators);
void soak_operator_drain(struct soak_operator *operators, uint32_t target,
                         bool draining);
bool soak_operator_drains(const struct soak_operator *operators,
                          uint32_t target, const struct soak_place *place);
uint32_t soak_operator_key_count(void);
const char *soak_operator_key(uint32_t index);

void soak_check_config(struct soak *soak, struct soak_place *place);
void soak_check_told(struct soak *soak, uint32_t place,
                     const struct fake_target *target);
void soak_check_agreement(struct soak *soak);
void soak_check_request_started(struct soak *soak, struct fake_target *target,
                                struct fake_process *process);
void soak_check_target_stop(struct soak *soak, struct fake_target *target);
void soak_check_probe(struct soak *soak, uint32_t target, uint32_t place);

#endif
