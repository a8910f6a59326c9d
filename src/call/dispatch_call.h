#ifndef RP_DISPATCH_CALL_H
#define RP_DISPATCH_CALL_H

#include "budget_loan.h"
#include "call.h"
#include "caller_return.h"
#include "dispatch.h"
#include "due_queue.h"
#include "member.h"
#include "split.h"
#include "ticket.h"
#include "transfer_size.h"

/* Maximum number of attempts of one call, including those over a fresh
 * connection. */
#define RP_DISPATCH_MAX_ATTEMPTS 8

/* Maximum burst of a service's attempts over a fresh connection, made when the
 * connection of an attempt has received no byte in time. */
#define DISPATCH_MAX_FRESH_CONNECTION_TOKENS 10.0

/* A service and its balancer. It is kept when the service is retired, since
 * calls in progress refer to it. */
struct dispatch_service {
    char *name;
    struct rp_balancer *balancer;
    GHashTable *targets;              /* struct dispatch_target by address */
    const struct rp_service *service; /* in the snapshot; NULL when retired */
    double fresh_connection_tokens; /* for attempts over a fresh connection */
};

/* State of a route, kept as long as its name is in the configuration. */
struct dispatch_route_state {
    struct rp_split split;
    struct rp_transfer_size transfer_size;
    struct rp_caller_return callers;
};

/* Copy of the properties of a route, which may change while the call runs. */
struct dispatch_route {
    char *name;
    uint64_t hash;   /* of the name */
    uint32_t aim_ms; /* 0 when unknown */
    uint32_t rank;
    bool repeat_errors;
};

/* Result of admitting a call's ticket. */
struct dispatch_ticket {
    struct rp_ticket_entry *entry;  /* claimed on this VM; NULL without a
                                     * claim */
    char pass_on[RP_ADDRESS_BYTES]; /* address of the issuer; "" to run it
                                     * here */
};

enum attempt_state {
    ATTEMPT_RUNNING,
    ATTEMPT_BUFFERED, /* small answer, passed on when it is complete */
    ATTEMPT_ENDED,
};

struct dispatch_attempt {
    enum attempt_state state;
    uint32_t generation;
    uint32_t target;
    uint32_t flags;              /* RP_CALL_... of the verdict */
    uint32_t partner_generation; /* of the silent attempt that this one
                                  * repeats over a fresh connection; 0 for
                                  * none */
    bool owns_slot;              /* its end is still to be reported to the
                                  * balancer */
    bool head_received;
    bool not_run;        /* the target certainly did not run it */
    bool partner_silent; /* its partner had no byte in time */
    double slowness;     /* of the verdict */
    bool near_capacity;  /* of the verdict */
    int64_t sent_ns;
    int64_t head_ns; /* time of the head, when head_received is set */
    struct rp_answer *answer;
    struct rp_stream *body;
};

enum call_state {
    CALL_QUEUED,      /* queued at the balancer */
    CALL_RUNNING,     /* one or more attempts in progress */
    CALL_RETRY_DELAY, /* waits until a retry is due */
    CALL_REPLIED,     /* the body of the answer is in progress */
};

struct dispatch_call {
    struct rp_due_item due; /* first member */
    struct rp_dispatch *dispatch;
    struct rp_call *call;
    struct dispatch_service *service;
    struct dispatch_route route;
    enum call_state state;
    bool repeatable;
    bool may_have_run;
    bool retried_stale; /* retried for a connection closed while idle */
    bool hedge_queued;  /* at the balancer, beside the running attempt */
    bool finished;      /* answered or aborted; to be removed */
    uint32_t flags;     /* RP_CALL_... */
    uint64_t kind;
    uint32_t offer_flags; /* RP_CALL_RETRY when it is queued as a retry */
    uint32_t retries;
    uint32_t attempts_left;
    int64_t deadline_ns;
    int64_t elapsed_ns; /* from the caller's first attempt to this one */
    int64_t first_byte_timeout_ns;
    int64_t hedge_due_ns;
    int64_t first_byte_due_ns;
    int64_t retry_due_ns;
    struct dispatch_ticket ticket;
    uint32_t winner; /* index of the attempt that is passed on */
    uint32_t attempt_count;
    struct dispatch_attempt attempts[RP_DISPATCH_MAX_ATTEMPTS];
};

struct rp_dispatch {
    struct rp_task *task;
    struct rp_context *context;
    struct rp_dispatch_config config;
    GHashTable *calls;    /* struct dispatch_call by id */
    GHashTable *services; /* struct dispatch_service by name */
    GHashTable *routes;   /* struct dispatch_route_state by name */
    struct rp_snapshot *snapshot;
    struct rp_due_queue due;
    struct rp_ticket_table *tickets; /* NULL without a fleet key */
    uint8_t *key_bytes;
    struct rp_member_view *members; /* NULL until received */
    struct rp_steering *steering;
    struct rp_budget_loan loan;
    struct rp_budget_loan_state loan_state;
    struct rp_cold_fleet cold_fleet; /* empty without a limit of cold calls */
    int64_t pause_end_ns;            /* end of the latest pause; 0 for none */
    uint32_t calls_since_local_state;
    int64_t balancer_due_ns;
    bool ready;
};

void dispatch_call_begin(struct dispatch_call *call, int64_t now_ns);
void dispatch_call_verdict(struct dispatch_call *call,
                           const struct rp_balancer_verdict *verdict,
                           int64_t now_ns);
void dispatch_call_head(struct dispatch_call *call,
                        const struct rp_attempt_head *head, int64_t now_ns);
void dispatch_call_done(struct dispatch_call *call,
                        const struct rp_attempt_done *done, int64_t now_ns);
void dispatch_call_due(struct dispatch_call *call, int64_t now_ns);
void dispatch_call_abort(struct dispatch_call *call,
                         enum rp_abort_reason reason, int64_t now_ns);
void dispatch_call_free(struct dispatch_call *call);

void dispatch_attempt_report(struct dispatch_call *call,
                             struct dispatch_attempt *attempt,
                             enum rp_attempt_outcome outcome,
                             int64_t first_byte_ns, int64_t now_ns);
void dispatch_attempt_cancel(struct dispatch_call *call,
                             struct dispatch_attempt *attempt, bool silent);
struct dispatch_attempt *dispatch_attempt_add(struct dispatch_call *call,
                                              uint32_t target, uint32_t flags,
                                              int64_t now_ns);
bool dispatch_attempt_send(struct dispatch_call *call,
                           struct dispatch_attempt *attempt, bool fresh,
                           int64_t now_ns);
bool dispatch_call_not_run(const struct dispatch_call *call);
bool dispatch_call_passed_on(const struct dispatch_call *call);
void dispatch_call_record_not_run(struct dispatch_call *call);

bool dispatch_ticket_admit(struct rp_dispatch *dispatch,
                           const struct rp_call *call,
                           struct dispatch_ticket *result, int64_t now_ns);
void dispatch_ticket_done(struct dispatch_call *call,
                          const struct rp_answer *head,
                          const struct rp_stream *body);
void dispatch_ticket_refuse(struct rp_dispatch *dispatch,
                            const struct rp_call *call, uint32_t status,
                            int64_t retry_after_ms, const char *reason,
                            int64_t now_ns);
void dispatch_ticket_end(struct dispatch_call *call, bool not_run);
void dispatch_send_local_state(struct rp_dispatch *dispatch,
                               uint32_t load_permille, int64_t now_ns);

struct dispatch_route_state *dispatch_route_state(struct rp_dispatch *dispatch,
                                                  const char *name);
void dispatch_remove_call(struct dispatch_call *call);
void dispatch_poll_balancer(struct rp_dispatch *dispatch,
                            struct dispatch_service *service, int64_t now_ns);
void dispatch_refuse(struct rp_dispatch *dispatch, uint64_t call_id,
                     enum rp_outcome outcome, uint32_t status,
                     int64_t retry_after_ms, const char *reason);

#endif
