#include "loop.h"

#include <ev.h>
#include <time.h>

/* Runs a kernel in a libev loop: before the loop sleeps, everything queued is
 * delivered, and the loop wakes for the kernel's next timer. */
struct rp_loop {
    struct ev_loop *ev;
    struct rp_kernel *kernel;
    ev_prepare prepare;
    ev_timer timer;
    void (*before_sleep)(void *data, int64_t now_ns);
    void *before_sleep_data;
};

static int64_t
read_clock_ns(clockid_t clock)
{
    struct timespec time;
    clock_gettime(clock, &time);
    return (int64_t)time.tv_sec * 1000000000 + time.tv_nsec;
}

/* Returns the current monotonic time. Only tasks that own sockets call this;
 * they pass it on to the code that makes decisions. */
int64_t
rp_loop_now_ns(void)
{
    return read_clock_ns(CLOCK_MONOTONIC);
}

static void
set_clock_offsets(struct rp_kernel *kernel, int64_t now_ns)
{
    rp_kernel_context(kernel)->suspended_ms =
        (read_clock_ns(CLOCK_BOOTTIME) - now_ns) / 1000000;
    int64_t wall_ms = read_clock_ns(CLOCK_REALTIME) / 1000000;
    rp_event_ring_set_wall_offset(rp_kernel_context(kernel)->events,
                                  wall_ms - now_ns / 1000000);
}

static void
on_prepare(struct ev_loop *ev, ev_prepare *watcher, int events)
{
    (void)events;
    struct rp_loop *loop = watcher->data;
    int64_t now_ns = rp_loop_now_ns();
    set_clock_offsets(loop->kernel, now_ns);
    int64_t due_ns = rp_kernel_run(loop->kernel, now_ns);
    if (loop->before_sleep != NULL) {
        loop->before_sleep(loop->before_sleep_data, now_ns);
    }
    double wait_s = due_ns <= now_ns ? 0.0 : (double)(due_ns - now_ns) / 1e9;
    ev_timer_stop(ev, &loop->timer);
    ev_now_update(ev);
    ev_timer_set(&loop->timer, wait_s, 0.0);
    ev_timer_start(ev, &loop->timer);
}

static void
on_timer(struct ev_loop *ev, ev_timer *watcher, int events)
{
    /* The prepare watcher runs the kernel before the next sleep. */
    (void)ev;
    (void)watcher;
    (void)events;
}

/* Creates a libev loop that drives a kernel. The kernel is borrowed. Free
 * the loop with rp_loop_free after the kernel, whose tasks own watchers. */
struct rp_loop *
rp_loop_new(struct rp_kernel *kernel)
{
    struct rp_loop *loop = g_new0(struct rp_loop, 1);
    loop->ev = ev_loop_new(EVFLAG_AUTO | EVFLAG_NOENV);
    loop->kernel = kernel;
    set_clock_offsets(kernel, rp_loop_now_ns());
    ev_prepare_init(&loop->prepare, on_prepare);
    /* Runs after all other prepare watchers, to deliver what they queued. */
    ev_set_priority(&loop->prepare, EV_MINPRI);
    loop->prepare.data = loop;
    ev_prepare_start(loop->ev, &loop->prepare);
    ev_timer_init(&loop->timer, on_timer, 0.0, 0.0);
    return loop;
}

/* Frees the loop; NULL is allowed. */
void
rp_loop_free(struct rp_loop *loop)
{
    if (loop == NULL) {
        return;
    }
    ev_timer_stop(loop->ev, &loop->timer);
    ev_prepare_stop(loop->ev, &loop->prepare);
    ev_loop_destroy(loop->ev);
    g_free(loop);
}

/* Returns the libev loop, for the watchers of tasks that own sockets. */
struct ev_loop *
rp_loop_ev(struct rp_loop *loop)
{
    return loop->ev;
}

/* Returns the kernel that the loop drives. */
struct rp_kernel *
rp_loop_kernel(struct rp_loop *loop)
{
    return loop->kernel;
}

/* Sets a function to call each time before the loop sleeps; NULL for none. */
void
rp_loop_set_before_sleep(struct rp_loop *loop,
                         void (*call)(void *data, int64_t now_ns), void *data)
{
    loop->before_sleep = call;
    loop->before_sleep_data = data;
}

/* Runs until rp_loop_end is called. */
void
rp_loop_run(struct rp_loop *loop)
{
    ev_run(loop->ev, 0);
}

/* Makes rp_loop_run return after the current iteration. */
void
rp_loop_end(struct rp_loop *loop)
{
    ev_break(loop->ev, EVBREAK_ALL);
}
