#ifndef RP_DIALECT_H
#define RP_DIALECT_H

#include <stdbool.h>
#include <stdint.h>

#include "call.h"

/* How a header field is handled. */
enum rp_field_use {
    RP_FIELD_FORWARDED, /* end to end: forwarded unchanged */
    RP_FIELD_CONSUMED,  /* for this system; not forwarded */
    RP_FIELD_INVALID,   /* has an invalid value */
};

/* Adds a header field to a message that is being written. */
typedef void rp_field_add(void *data, const char *name, const char *value);

/* The header fields by which callers, this system and targets exchange data
 * that HTTP has no field for. Each function gets data as its first
 * argument. */
struct rp_dialect {
    void *data;
    /* Path of the address query on the callers' port; NULL for none. */
    const char *address_path;
    /* Targets repeat the request id in each answer that results from a run; an
     * answer without it belongs to another request. */
    bool answers_echo_id;
    /* Answers may be delimited by the end of the connection. */
    bool answers_may_end_with_connection;
    /* Parses one field of a caller's request. */
    enum rp_field_use (*parse_request_field)(void *data, struct rp_call *call,
                                             const char *name,
                                             const char *value);
    /* Adds the fields of a request to a target. left_ms is the time until the
     * deadline, at least 1. */
    void (*add_attempt_fields)(void *data,
                               const struct rp_attempt_start *start,
                               int64_t left_ms, rp_field_add *add,
                               void *add_data);
    /* Parses one field of a target's answer. RP_FIELD_INVALID refuses the
     * answer. call is NULL for a probe. */
    enum rp_field_use (*parse_answer_field)(void *data,
                                            const struct rp_call *call,
                                            struct rp_answer *answer,
                                            const char *name,
                                            const char *value);
    /* Adds the fields of an answer to a caller. call is NULL for a request
     * that did not become a call. */
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
