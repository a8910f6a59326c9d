#ifndef RP_CALL_H
#define RP_CALL_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "balancer.h"
#include "context.h"
#include "load.h"
#include "stream.h"
#include "target_hint.h"

/* Names of the tasks that a call passes through. */
#define RP_TASK_ENTRY "entry"
#define RP_TASK_DISPATCH "dispatch"
#define RP_TASK_UPSTREAM "upstream"

#define RP_REQUEST_ID_BYTES 64
#define RP_TICKET_BYTES 256
#define RP_INSTANCE_BYTES 208
#define RP_ATTEMPTS_UNSET UINT32_MAX
#define RP_LENGTH_UNKNOWN INT64_C(-1)

/* End-to-end header fields in order of arrival, as "name\0value\0" pairs in
 * one buffer. */
struct rp_fields {
    GString *text;
    uint32_t count;
};

/* One request of a caller. The entry task sets it before it sends
 * RP_MSG_CALL_START; only the request stream changes afterwards. Reference
 * counted. */
struct rp_call {
    uint64_t id;
    uint32_t references;
    uint32_t method_flag; /* RP_METHOD_..., 0 for any other method */
    char *method;
    char *target; /* path with query, as the caller sent it */
    char *host;   /* "" when the caller sent none */
    struct rp_fields fields;
    char request_id[RP_REQUEST_ID_BYTES];
    bool request_id_given;  /* sent by the caller */
    char *ticket;           /* NULL when the caller sent none */
    bool passed_on;         /* by another entry VM: not passed on again */
    uint32_t timeout_ms;    /* RP-Timeout-Ms; 0 when the caller sent none */
    uint32_t attempts_left; /* RP-Attempts-Left or RP_ATTEMPTS_UNSET */
    int64_t received_ns;
    int64_t body_bytes;        /* announced; RP_LENGTH_UNKNOWN when chunked */
    struct rp_stream *request; /* NULL when there is no body */
};

/* Outcome of a request, given in answers that the system itself makes. */
enum rp_outcome {
    RP_OUTCOME_NONE, /* the answer is from a target */
    RP_OUTCOME_NOT_RUN,
    RP_OUTCOME_UNKNOWN,
};

/* The head of a target's answer. Reference counted. The body follows in the
 * stream that was given at the start of the attempt. */
struct rp_answer {
    uint32_t references;
    uint32_t status;
    bool refused; /* the target states that it did not run the request */
    bool has_load;
    bool echoes_request_id;  /* the answer contains the request id */
    bool leaving;            /* the target states that it ends soon */
    enum rp_outcome outcome; /* set by another entry VM; else NONE */
    int64_t body_bytes;      /* announced; RP_LENGTH_UNKNOWN when chunked */
    int64_t retry_after_ms;  /* of a rejection; 0 when it has none */
    struct rp_load_report load;
    struct rp_fields fields;
};

/* RP_MSG_CALL_START, entry to dispatch: holds one reference. */
struct rp_call_start {
    struct rp_call *call;
};

enum rp_abort_reason {
    RP_ABORT_CALLER_GONE,     /* the caller closed its connection */
    RP_ABORT_BODY_INCOMPLETE, /* the caller did not complete its body */
    RP_ABORT_BODY_TOO_LARGE,  /* the body is too large: still to be answered */
    RP_ABORT_STOPPING,        /* the stop ends soon: still to be answered */
};

/* RP_MSG_CALL_ABORT, entry to dispatch. After RP_ABORT_CALLER_GONE and
 * RP_ABORT_BODY_INCOMPLETE there is no answer: the entry task ignores replies
 * to the call. */
struct rp_call_abort {
    uint64_t call_id;
    enum rp_abort_reason reason;
};

/* RP_MSG_CALL_REPLY, dispatch to entry: holds one reference to answer and one
 * to body. Sent exactly once for each call, unless the call is aborted. If the
 * body breaks later, the caller's connection is closed. */
struct rp_call_reply {
    uint64_t call_id;
    enum rp_outcome outcome;  /* NONE: answer and body are set */
    uint32_t status;          /* with an outcome: status of the answer */
    int64_t retry_after_ms;   /* with an outcome; 0 when there is none */
    const char *reason;       /* with an outcome: a constant string */
    struct rp_answer *answer; /* else NULL */
    struct rp_stream *body;   /* else NULL */
};

/* Flags of an attempt. */
#define RP_ATTEMPT_FRESH (1u << 0)      /* use a new connection */
#define RP_ATTEMPT_REPEATABLE (1u << 1) /* may reuse a connection */
#define RP_ATTEMPT_PASS_ON (1u << 2)    /* to the ticket issuer */

/* RP_MSG_ATTEMPT_START, dispatch to upstream: holds one reference to call and
 * one to body. Upstream reads call->request from its current position and
 * writes the answer's body to body. */
struct rp_attempt_start {
    uint64_t call_id;
    uint32_t generation;
    uint32_t flags;
    struct rp_call *call;
    struct rp_stream *body;
    int64_t deadline_ns;
    uint32_t number;        /* RP-Attempt: 1 for the first */
    uint32_t attempts_left; /* RP-Attempts-Left for the target */
    char address[RP_ADDRESS_BYTES];
    char instance[RP_INSTANCE_BYTES]; /* of the target; "" when unknown */
};

/* RP_MSG_ATTEMPT_CANCEL, dispatch to upstream. No ATTEMPT_DONE follows. */
struct rp_attempt_cancel {
    uint64_t call_id;
    uint32_t generation;
    bool silent; /* no byte in time: avoid connections this old */
};

/* RP_MSG_ATTEMPT_HEAD, upstream to dispatch: holds one reference. */
struct rp_attempt_head {
    uint64_t call_id;
    uint32_t generation;
    bool reused; /* the connection had served another request */
    struct rp_answer *answer;
};

enum rp_attempt_end {
    RP_END_COMPLETE,       /* the complete answer is in the body stream */
    RP_END_NOT_SENT,       /* no byte of the request left this process */
    RP_END_BROKEN,         /* connection lost or answer truncated */
    RP_END_SILENT,         /* no progress in time */
    RP_END_REQUEST_BROKEN, /* the request body was not complete */
    RP_END_MALFORMED,      /* the answer violates HTTP or a limit */
};

/* RP_MSG_ATTEMPT_DONE, upstream to dispatch; exactly one for each attempt
 * that was not cancelled, after its ATTEMPT_HEAD if there is one. */
struct rp_attempt_done {
    uint64_t call_id;
    uint32_t generation;
    enum rp_attempt_end end;
    bool reused;
    bool leaving; /* also stated by an interim answer, or one broken off */
    int64_t first_byte_ns; /* 0 when there was none */
    uint64_t body_bytes;
};

#define RP_PROBE_START_PATH_BYTES 256

/* RP_MSG_PROBE_START, dispatch to upstream: probe a target over the
 * connections that calls use. */
struct rp_probe_start {
    char service[RP_SERVICE_BYTES];
    char address[RP_ADDRESS_BYTES];
    char path[RP_PROBE_START_PATH_BYTES];
    uint32_t target; /* index in the balancer of the service */
};

/* RP_MSG_PROBE_DONE, upstream to dispatch; exactly one for each start. */
struct rp_probe_done {
    char service[RP_SERVICE_BYTES];
    uint32_t target;
    bool answered; /* complete; status below 500 or with a load report */
    bool has_load;
    bool leaving;           /* the target states that it ends soon */
    int64_t retry_after_ms; /* of a rejection; 0 when it has none */
    struct rp_load_report load;
};

#ifdef __cplusplus
extern "C" {
#endif

void rp_fields_add(struct rp_fields *fields, const char *name,
                   const char *value);
bool rp_fields_next(const struct rp_fields *fields, uint32_t *position,
                    const char **name, const char **value);
const char *rp_fields_get(const struct rp_fields *fields, const char *name);
void rp_fields_clear(struct rp_fields *fields);

struct rp_call *rp_call_new(uint64_t id, const char *method,
                            const char *target, const char *host);
struct rp_call *rp_call_ref(struct rp_call *call);
void rp_call_unref(struct rp_call *call);

struct rp_answer *rp_answer_new(uint32_t status);
struct rp_answer *rp_answer_ref(struct rp_answer *answer);
void rp_answer_unref(struct rp_answer *answer);

void rp_call_start_release(void *body);
void rp_call_reply_release(void *body);
void rp_attempt_start_release(void *body);
void rp_attempt_head_release(void *body);

#ifdef __cplusplus
}
#endif

#endif
