#ifndef RP_MHD_LOOP_H
#define RP_MHD_LOOP_H

#include <ev.h>
#include <microhttpd.h>
#include <stdbool.h>

/* Watches the epoll descriptor and the time-outs of a libmicrohttpd daemon
 * that was started with MHD_USE_EPOLL and without a thread of its own. */
struct rp_mhd_loop {
    struct ev_loop *ev;
    struct MHD_Daemon *daemon;
    ev_io io;
    ev_timer timer;
    ev_prepare prepare;
    bool run_scheduled;
};

#ifdef __cplusplus
extern "C" {
#endif

void rp_mhd_loop_start(struct rp_mhd_loop *watch, struct ev_loop *ev,
                       struct MHD_Daemon *daemon);
void rp_mhd_loop_schedule_run(struct rp_mhd_loop *watch);
void rp_mhd_loop_stop(struct rp_mhd_loop *watch);

#ifdef __cplusplus
}
#endif

#endif
