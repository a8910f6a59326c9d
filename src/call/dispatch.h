#ifndef RP_DISPATCH_H
#define RP_DISPATCH_H

#include <stdbool.h>

#include "kernel.h"
#include "ticket.h"

struct rp_balancer;
struct rp_dispatch;

struct rp_dispatch_config {
    uint32_t max_first_byte_timeout_ms; /* maximum first-byte timeout; 0 for
                                           the default */
    uint32_t max_calls; /* in progress at once; 0 for the maximum */
    /* Limits of retries and hedges; see struct rp_balancer_config. */
    double retry_ratio;
    double retry_allowance;
    int64_t retry_window_ns; /* 0 for the defaults */
    bool retry_loans;        /* divide retry_allowance by budget_loan.h */
    double probes_per_s;     /* to one target, from all entry VMs together */
    int64_t remote_cost_ns_per_kb; /* delay that a kilobyte across failure
                                    * domains is worth */
    double cold_overage; /* limit of calls to cold targets, see cold_rate.h; */
    double cold_slack;   /* none if the overage is 0 */
    bool automatic_crossing;         /* see struct rp_crossing */
    struct rp_ticket_key ticket_key; /* no bytes: tickets are refused;
                                      * borrowed */
};

#ifdef __cplusplus
extern "C" {
#endif

struct rp_dispatch *rp_dispatch_new(struct rp_kernel *kernel,
                                    const struct rp_dispatch_config *config,
                                    int64_t now_ns, GError **error);
uint32_t rp_dispatch_call_count(const struct rp_dispatch *dispatch);
void rp_dispatch_each_service(struct rp_dispatch *dispatch,
                              void (*visit)(const char *service,
                                            struct rp_balancer *balancer,
                                            void *data),
                              void *data);

#ifdef __cplusplus
}
#endif

#endif
