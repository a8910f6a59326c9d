#ifndef RP_STOP_PLAN_H
#define RP_STOP_PLAN_H

#include <stdbool.h>
#include <stdint.h>

/* Times of a graceful stop: until when a stopping VM accepts connections and
 * requests, and when it ends. Uses no clock, socket or log. */
struct rp_stop_plan {
    int64_t any_request_until_ns; /* requests of any deadline until then */
    int64_t accept_until_ns;      /* connections, and requests that end in
                                     time, until then */
    int64_t answer_ns;            /* calls without an answer get one then */
    int64_t end_ns;
};

#ifdef __cplusplus
extern "C" {
#endif

void rp_stop_plan_init(struct rp_stop_plan *plan, int64_t address_ttl_ns,
                       int64_t timeout_ns, int64_t now_ns);
bool rp_stop_plan_accepts(const struct rp_stop_plan *plan, int64_t deadline_ns,
                          int64_t now_ns);

#ifdef __cplusplus
}
#endif

#endif
