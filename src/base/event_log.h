#ifndef RP_EVENT_LOG_H
#define RP_EVENT_LOG_H

#include <stdint.h>

#include "context.h"

/* Writes timeline events as lines of JSON to a file descriptor. Never blocks:
 * lines above the rate limit, or beyond the buffer for a slow reader, are
 * dropped and counted. */
struct rp_event_log;

#ifdef __cplusplus
extern "C" {
#endif

struct rp_event_log *rp_event_log_new(struct rp_context *context,
                                      int descriptor, uint32_t lines_per_s,
                                      int64_t now_ns);
void rp_event_log_free(struct rp_event_log *log);
void rp_event_log_write(struct rp_event_log *log, int64_t now_ns);

#ifdef __cplusplus
}
#endif

#endif
