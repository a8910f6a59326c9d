#ifndef RP_LOOP_H
#define RP_LOOP_H

#include "kernel.h"

struct ev_loop;
struct rp_loop;

#ifdef __cplusplus
extern "C" {
#endif

struct rp_loop *rp_loop_new(struct rp_kernel *kernel);
void rp_loop_free(struct rp_loop *loop);
struct ev_loop *rp_loop_ev(struct rp_loop *loop);
struct rp_kernel *rp_loop_kernel(struct rp_loop *loop);
void rp_loop_run(struct rp_loop *loop);
void rp_loop_end(struct rp_loop *loop);
int64_t rp_loop_now_ns(void);

void rp_loop_set_before_sleep(struct rp_loop *loop,
                              void (*call)(void *data, int64_t now_ns),
                              void *data);

#ifdef __cplusplus
}
#endif

#endif
