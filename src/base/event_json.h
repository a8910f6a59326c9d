#ifndef RP_EVENT_JSON_H
#define RP_EVENT_JSON_H

#include <jansson.h>

#include "context.h"

/* Which events are wanted; NULL and zero fields match everything. */
struct rp_event_filter {
    const char *request;
    const char *service;
    const char *subject;     /* target, member or record key */
    int64_t since_ms;        /* wall time in milliseconds */
    int64_t until_ms;        /* 0: no end */
    uint64_t first_sequence; /* sequences from here on */
};

#ifdef __cplusplus
extern "C" {
#endif

json_t *rp_event_json_list(const struct rp_context *context,
                           const struct rp_event_filter *filter);

void rp_event_json_line(const struct rp_context *context,
                        const struct rp_event *event, GString *out);

#ifdef __cplusplus
}
#endif

#endif
