#ifndef RP_BACKLOG_H
#define RP_BACKLOG_H

#include <stdbool.h>
#include <stdint.h>

#include "balancer.h"

/* Calls that wait while targets are probed or busy. A lower rank goes first,
 * and within a rank the calls that can still meet their latency goal: under
 * overload, a queue in order of arrival makes every call late. Among those,
 * callers that return after a refusal go first, then the nearest goal. Late
 * calls are sent when there is room, and refused after a bounded wait. Uses no
 * clock, socket or log. */
struct rp_backlog;

#ifdef __cplusplus
extern "C" {
#endif

struct rp_backlog *rp_backlog_new(uint32_t limit);
void rp_backlog_free(struct rp_backlog *backlog);
enum rp_refusal rp_backlog_offer(struct rp_backlog *backlog,
                                 const struct rp_balancer_call *call,
                                 double usual_ns, int64_t now_ns);
void rp_backlog_set_initial_interval(struct rp_backlog *backlog,
                                     double interval_ns);
const struct rp_balancer_call *rp_backlog_peek(struct rp_backlog *backlog,
                                               const uint64_t *held_routes,
                                               uint32_t held_count,
                                               int64_t now_ns);
void rp_backlog_pop(struct rp_backlog *backlog, uint64_t call_id,
                    int64_t now_ns);
bool rp_backlog_expire(struct rp_backlog *backlog, int64_t now_ns,
                       struct rp_balancer_call *call);
bool rp_backlog_drop(struct rp_backlog *backlog, int64_t now_ns,
                     struct rp_balancer_call *call);
bool rp_backlog_withdraw(struct rp_backlog *backlog, uint64_t call_id);
int64_t rp_backlog_due_ns(const struct rp_backlog *backlog);
int64_t rp_backlog_wait_ns(const struct rp_backlog *backlog);
uint32_t rp_backlog_count(const struct rp_backlog *backlog);

#ifdef __cplusplus
}
#endif

#endif
