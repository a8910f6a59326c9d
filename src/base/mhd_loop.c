#include "mhd_loop.h"

static void
run_daemon(struct rp_mhd_loop *watch)
{
    watch->run_scheduled = false;
    MHD_run(watch->daemon);
}

static void
on_readable(struct ev_loop *ev, ev_io *watcher, int events)
{
    (void)ev;
    (void)events;
    run_daemon(watcher->data);
}

static void
on_timeout(struct ev_loop *ev, ev_timer *watcher, int events)
{
    (void)ev;
    (void)events;
    run_daemon(watcher->data);
}

static void
on_prepare(struct ev_loop *ev, ev_prepare *watcher, int events)
{
    (void)events;
    struct rp_mhd_loop *watch = watcher->data;
    MHD_UNSIGNED_LONG_LONG timeout_ms;
    if (watch->run_scheduled) {
        return;
    }
    ev_timer_stop(ev, &watch->timer);
    if (MHD_get_timeout(watch->daemon, &timeout_ms) == MHD_YES) {
        ev_timer_set(&watch->timer, (double)timeout_ms / 1e3, 0.0);
        ev_timer_start(ev, &watch->timer);
    }
}

/* Has the daemon run in the next turn of the loop. Needed after
 * MHD_resume_connection, which libmicrohttpd 0.9.75 reports neither by its
 * descriptor nor by its time-out. */
void
rp_mhd_loop_schedule_run(struct rp_mhd_loop *watch)
{
    if (watch->run_scheduled) {
        return;
    }
    watch->run_scheduled = true;
    ev_timer_stop(watch->ev, &watch->timer);
    ev_timer_set(&watch->timer, 0.0, 0.0);
    ev_timer_start(watch->ev, &watch->timer);
}

/* Starts to serve a daemon from a libev loop. Both are borrowed; watch must
 * stay where it is until rp_mhd_loop_stop. */
void
rp_mhd_loop_start(struct rp_mhd_loop *watch, struct ev_loop *ev,
                  struct MHD_Daemon *daemon)
{
    const union MHD_DaemonInfo *info =
        MHD_get_daemon_info(daemon, MHD_DAEMON_INFO_EPOLL_FD);
    watch->ev = ev;
    watch->daemon = daemon;
    watch->run_scheduled = false;
    ev_io_init(&watch->io, on_readable, info->epoll_fd, EV_READ);
    watch->io.data = watch;
    ev_io_start(ev, &watch->io);
    ev_timer_init(&watch->timer, on_timeout, 0.0, 0.0);
    watch->timer.data = watch;
    ev_prepare_init(&watch->prepare, on_prepare);
    watch->prepare.data = watch;
    ev_prepare_start(ev, &watch->prepare);
}

/* Stops serving the daemon, which the caller then stops. */
void
rp_mhd_loop_stop(struct rp_mhd_loop *watch)
{
    ev_io_stop(watch->ev, &watch->io);
    ev_timer_stop(watch->ev, &watch->timer);
    ev_prepare_stop(watch->ev, &watch->prepare);
}
