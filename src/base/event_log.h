#ifndef RP_EVENT_LOG_H
#define RP_EVENT_LOG_H

#include <stdint.h>

#include "context.h"

/* Writes the events of the time line as lines of JSON to a descriptor. Never
 * blocks: lines that the reader does not take, or that come faster than the
 * rate, are dropped and counted. */
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
