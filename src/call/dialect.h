#ifndef RP_DIALECT_H
#define RP_DIALECT_H

#include <stdbool.h>
#include <stdint.h>

#include "call.h"

/* What becomes of a header field. */
enum rp_field_use {
    RP_FIELD_FORWARDED, /* end to end: passed on as it is */
    RP_FIELD_CONSUMED,  /* meant for this system; not passed on */
    RP_FIELD_INVALID,   /* has no value that can be used */
};

/* Adds a header field to a message that is being written. */
typedef void rp_field_add(void *data, const char *name, const char *value);

/* The header fields by which callers, this system and targets tell each other
 * what HTTP has no field for. Each function gets data first. */
struct rp_dialect {
    void *data;
    /* Path of the address answers on the callers' port; NULL for none. */
    const char *address_path;
    /* Targets name the request in each answer that comes of a run; one that
     * does not belongs to another request. */
    bool answers_echo_id;
    /* Answers may end with their connection. */
    bool answers_may_end_with_connection;
    /* Takes one field of a caller's request. */
    enum rp_field_use (*parse_request_field)(void *data, struct rp_call *call,
                                             const char *name,
                                             const char *value);
    /* Adds the fields of a request to a target. left_ms is at least 1. */
    void (*add_attempt_fields)(void *data,
                               const struct rp_attempt_start *start,
                               int64_t left_ms, rp_field_add *add,
                               void *add_data);
    /* Takes one field of a target's answer. BAD refuses the answer. call is
     * NULL for a probe. */
    enum rp_field_use (*parse_answer_field)(void *data,
                                            const struct rp_call *call,
                                            struct rp_answer *answer,
                                            const char *name,
                                            const char *value);
    /* Adds the fields of an answer to a caller. call is NULL for a request
     * that never became one. */
    void (*add_reply_fields)(void *data, const struct rp_call *call,
                             const struct rp_call_reply *reply,
                             rp_field_add *add, void *add_data);
};

#ifdef __cplusplus
extern "C" {
#endif

extern const struct rp_dialect rp_dialect_native;

#ifdef __cplusplus
}
#endif

#endif
