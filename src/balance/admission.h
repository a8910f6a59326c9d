#ifndef RP_ADMISSION_H
#define RP_ADMISSION_H

#include <stdbool.h>
#include <stdint.h>

#include "balancer.h"

enum rp_admission_class {
    RP_ADMISSION_SHORT,
    RP_ADMISSION_LONG,
    RP_ADMISSION_CLASSES
};

/* Calls waiting for a target, in one bounded queue per class. */
struct rp_admission;

#ifdef __cplusplus
extern "C" {
#endif

struct rp_admission *rp_admission_new(uint32_t limit);
void rp_admission_free(struct rp_admission *admission);
enum rp_refusal rp_admission_offer(struct rp_admission *admission,
                                   const struct rp_balancer_call *call,
                                   enum rp_admission_class queue_class,
                                   double departure_interval_ns,
                                   double response_ns, int64_t now_ns);
const struct rp_balancer_call *
rp_admission_peek(const struct rp_admission *admission,
                  enum rp_admission_class queue_class);
void rp_admission_pop(struct rp_admission *admission,
                      enum rp_admission_class queue_class, int64_t now_ns);
bool rp_admission_expire(struct rp_admission *admission, int64_t now_ns,
                         struct rp_balancer_call *call);
bool rp_admission_withdraw(struct rp_admission *admission, uint64_t call_id);
void rp_admission_handle_pause(struct rp_admission *admission, int64_t now_ns);
int64_t rp_admission_due_ns(const struct rp_admission *admission);
int64_t rp_admission_wait_ns(const struct rp_admission *admission,
                             enum rp_admission_class queue_class);
uint32_t rp_admission_count(const struct rp_admission *admission,
                            enum rp_admission_class queue_class);

#ifdef __cplusplus
}
#endif

#endif
