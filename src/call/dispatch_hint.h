#ifndef RP_DISPATCH_HINT_H
#define RP_DISPATCH_HINT_H

#include "dispatch_call.h"
#include "target_hint.h"

#ifdef __cplusplus
extern "C" {
#endif

void dispatch_hint_receive(struct rp_dispatch *dispatch,
                           const struct rp_target_hint *hint, int64_t now_ns);
void dispatch_hint_send(struct rp_dispatch *dispatch,
                        struct dispatch_service *service, const char *address,
                        const struct rp_load_report *load, int64_t observed_ns,
                        int64_t now_ns);
void dispatch_drain_record_notice(struct rp_dispatch *dispatch,
                                  struct dispatch_service *service,
                                  uint32_t target, int64_t now_ns);
void dispatch_hint_record_wait(struct rp_dispatch *dispatch,
                               struct dispatch_service *service,
                               uint32_t target, int64_t wait_ms,
                               int64_t now_ns);
void dispatch_hint_check_open(struct rp_dispatch *dispatch,
                              struct dispatch_service *service,
                              const char *address, int64_t now_ns);
void dispatch_drain_apply_records(struct dispatch_service *service,
                                  int64_t now_ns);
void dispatch_drain_record_sent(struct rp_dispatch *dispatch,
                                struct dispatch_service *service,
                                const char *address, int64_t now_ns);
void dispatch_drain_record_ended(struct dispatch_service *service,
                                 const char *address);

#ifdef __cplusplus
}
#endif

#endif
