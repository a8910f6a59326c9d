#ifndef RP_BALANCER_H
#define RP_BALANCER_H

#include <stdbool.h>
#include <stdint.h>

#include "cold_rate.h"
#include "crossing.h"
#include "load.h"
#include "snapshot.h"

/* Decides for one entry VM and one service which target gets a call, when it
 * is sent, and which calls are refused. Uses no clock, socket or log of its
 * own: callers pass the time. */
struct rp_balancer;

#define RP_BALANCER_MAX_AVOIDED 4
#define RP_BALANCER_NO_TARGET UINT32_MAX

struct rp_balancer_config {
    const char *domain;   /* failure domain of this entry VM */
    uint32_t fleet_size;  /* entry VMs that may share the targets */
    uint32_t deciders;    /* entry VMs that send to the service now */
    uint32_t queue_limit; /* calls that may wait */
    uint64_t seed;
    double probes_per_s; /* synchronous probes to one target, whole fleet */
    /* Limit of further attempts per window: retry_ratio times the fresh calls
     * of this entry VM, plus this VM's part of retry_allowance for the whole
     * fleet. */
    double retry_ratio;
    double retry_allowance;
    int64_t retry_window_ns; /* 0: all three have their defaults */
    double cold_overage;     /* see struct rp_cold_limit */
    double cold_slack;
    bool automatic_crossing; /* see struct rp_crossing */
};

/* Retry limits of a configuration whose retry_window_ns is 0. */
#define RP_BALANCER_DEFAULT_RETRY_RATIO 0.1
#define RP_BALANCER_DEFAULT_RETRY_ALLOWANCE 42.0
#define RP_BALANCER_DEFAULT_RETRY_WINDOW_NS INT64_C(10000000000)

/* Flags of a call. */
#define RP_CALL_REPEATABLE (1u << 0)
#define RP_CALL_LONG (1u << 1)  /* runs much longer than most calls */
#define RP_CALL_RETRY (1u << 2) /* a further attempt of a call */
#define RP_CALL_HEDGE (1u << 3)
#define RP_CALL_RETURNING (1u << 4) /* its caller has been refused before */

struct rp_balancer_call {
    uint64_t call_id;
    /* Hash of what separates long from short calls, such as the path. */
    uint64_t kind;
    uint64_t route; /* hash of the route's name */
    int64_t deadline_ns;
    int64_t aim_ns;            /* latency goal; 0: unknown */
    int64_t goal_ns;           /* when the goal has passed, which counts from
                                * the caller's first attempt; 0: unknown */
    int64_t remote_penalty_ns; /* extra cost of remote targets */
    int64_t offered_ns;        /* set by rp_balancer_offer */
    uint32_t rank;             /* 0 goes first */
    uint32_t flags;
    uint32_t avoided[RP_BALANCER_MAX_AVOIDED]; /* targets already tried */
    uint32_t avoided_count;
};

enum rp_balancer_action {
    RP_BALANCER_SEND,
    RP_BALANCER_WAIT, /* queued; rp_balancer_next returns the verdict later */
    RP_BALANCER_REFUSE,
    RP_BALANCER_PROBE, /* probe the target and pass the result to
                          rp_balancer_finish_probe */
};

enum rp_refusal {
    RP_REFUSAL_NONE,
    RP_REFUSAL_NO_TARGET, /* no target of the service can be used */
    RP_REFUSAL_QUEUE_FULL,
    RP_REFUSAL_DEADLINE, /* the call cannot finish before it */
    RP_REFUSAL_BUDGET,   /* retry or hedge over its budget */
    RP_REFUSAL_COLD,     /* the targets are cold, and it is not our turn */
};

struct rp_balancer_verdict {
    uint64_t call_id;
    enum rp_balancer_action action;
    enum rp_refusal refusal;
    uint32_t target; /* index of the target, stable for the balancer's life */
    int64_t retry_after_ns; /* with REFUSE: delay before the caller retries */
    double slowness; /* with SEND: expected slowness of the target; copy it to
                        rp_attempt_report */
    bool near_capacity;    /* with SEND: few free slots; copy it as well */
    double load;           /* with SEND: estimated requests at the target */
    int64_t report_age_ns; /* with SEND; -1 without a report */
    bool cold;             /* with SEND: the target is cold */
    /* With SEND to a remote target of a service with synchronous probes. */
    enum rp_crossing_reason crossing;
    uint32_t flags; /* of the call, and RP_CALL_LONG if it counts as long; copy
                       them to rp_attempt_report */
};

enum rp_attempt_outcome {
    RP_ATTEMPT_OK,      /* whole answer, status below 500 */
    RP_ATTEMPT_ERROR,   /* whole answer, status 500 or more */
    RP_ATTEMPT_NOT_RUN, /* target rejected it unprocessed, or connect failed */
    RP_ATTEMPT_BROKEN,  /* answer truncated or connection lost */
    RP_ATTEMPT_TIMEOUT, /* no answer in time */
    RP_ATTEMPT_CANCELLED, /* cancelled here: caller gone or other hedge won */
    RP_ATTEMPT_SILENT,    /* reused connection was dead; a new one worked */
};

struct rp_attempt_report {
    uint32_t target;
    enum rp_attempt_outcome outcome;
    uint32_t flags; /* of the call */
    uint64_t kind;
    uint64_t route;
    int64_t sent_ns;
    int64_t first_byte_ns; /* 0 when there was none */
    double slowness;       /* copied from the verdict */
    bool near_capacity;    /* copied from the verdict */
    bool has_load;
    struct rp_load_report load;
};

/* State of a target as the status page shows it. */
struct rp_balancer_target_view {
    const char *name;
    const char *address;
    const char *estate;
    /* serving, cold, draining, closed, ejected, suspect, gone */
    const char *state;
    uint32_t in_flight;
    uint32_t limit;
    int64_t report_age_ns; /* -1 when there is none */
    uint64_t sent;
    /* Of targets whose calls are limited while they are cold. */
    bool cold_limited;
    int64_t cold_ns;         /* how long it stays cold; 0 if it is not */
    double cold_calls_per_s; /* this VM's part; 0: it may not send */
    uint64_t cold_sent;      /* calls sent while it was cold */
};

#ifdef __cplusplus
extern "C" {
#endif

struct rp_balancer *rp_balancer_new(const struct rp_balancer_config *config);
void rp_balancer_free(struct rp_balancer *balancer);
void rp_balancer_set_service(struct rp_balancer *balancer,
                             const struct rp_service *service, int64_t now_ns);
void rp_balancer_set_share(struct rp_balancer *balancer, double share);
void rp_balancer_set_retry_share(struct rp_balancer *balancer, double own,
                                 double borrowed, int64_t borrowed_until_ns);
int64_t rp_balancer_last_retry_ns(const struct rp_balancer *balancer);
void rp_balancer_set_cold_fleet(struct rp_balancer *balancer,
                                const struct rp_cold_fleet *fleet,
                                int64_t now_ns);
void rp_balancer_set_deciders(struct rp_balancer *balancer, uint32_t deciders,
                              int64_t now_ns);

void rp_balancer_offer(struct rp_balancer *balancer,
                       const struct rp_balancer_call *call, int64_t now_ns,
                       struct rp_balancer_verdict *verdict);
bool rp_balancer_next(struct rp_balancer *balancer, int64_t now_ns,
                      struct rp_balancer_verdict *verdict);
bool rp_balancer_consume_retry(struct rp_balancer *balancer, int64_t now_ns);
int64_t rp_balancer_return_ns(struct rp_balancer *balancer,
                              const struct rp_balancer_call *call,
                              int64_t now_ns);
bool rp_balancer_consume_turn(struct rp_balancer *balancer, uint32_t target,
                              int64_t now_ns, bool *cold);
void rp_balancer_withdraw(struct rp_balancer *balancer, uint64_t call_id,
                          int64_t now_ns);
int64_t rp_balancer_due_ns(const struct rp_balancer *balancer);
int64_t rp_balancer_hedge_delay_ns(const struct rp_balancer *balancer,
                                   const struct rp_balancer_call *call);

void rp_balancer_finish(struct rp_balancer *balancer,
                        const struct rp_attempt_report *report,
                        int64_t now_ns);
void rp_balancer_finish_probe(struct rp_balancer *balancer, uint32_t target,
                              bool answered, const struct rp_load_report *load,
                              int64_t now_ns);
bool rp_balancer_record_leaving(struct rp_balancer *balancer, uint32_t target);
bool rp_balancer_record_wait(struct rp_balancer *balancer, uint32_t target,
                             int64_t wait_ms, int64_t now_ns);
void rp_balancer_record_cold(struct rp_balancer *balancer, uint32_t target,
                             uint32_t remaining_ms, int64_t now_ns);
void rp_balancer_record_load(struct rp_balancer *balancer, const char *address,
                             const struct rp_load_report *load, int64_t age_ns,
                             int64_t now_ns);
void rp_balancer_handle_pause(struct rp_balancer *balancer, int64_t gap_ns,
                              int64_t now_ns);

uint32_t rp_balancer_target_count(const struct rp_balancer *balancer);
const char *rp_balancer_target_address(const struct rp_balancer *balancer,
                                       uint32_t target);
const char *rp_balancer_target_instance(const struct rp_balancer *balancer,
                                        uint32_t target);
bool rp_balancer_target_is_remote(const struct rp_balancer *balancer,
                                  uint32_t target);
bool rp_balancer_target_usable(const struct rp_balancer *balancer,
                               uint32_t target);
bool rp_balancer_target_open(const struct rp_balancer *balancer,
                             uint32_t target, int64_t now_ns);
void rp_balancer_view(const struct rp_balancer *balancer, uint32_t target,
                      int64_t now_ns, struct rp_balancer_target_view *view);
uint32_t rp_balancer_queued(const struct rp_balancer *balancer);
const struct rp_crossing *
rp_balancer_crossing(const struct rp_balancer *balancer);

#ifdef __cplusplus
}
#endif

#endif
