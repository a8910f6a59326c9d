#include "curl_loop.h"

#include <glib.h>
#include <stdint.h>
#include <sys/socket.h>

#define SMALL_READ_BYTES 64

static void
report_done(struct rp_curl_loop *loop)
{
    CURLMsg *message;
    int remaining;
    while ((message = curl_multi_info_read(loop->multi, &remaining)) != NULL) {
        if (message->msg == CURLMSG_DONE) {
            loop->on_done(message->easy_handle, message->data.result,
                          loop->data);
        }
    }
}

/* Runs pending work of libcurl, such as transfers that were just resumed, and
 * reports completed transfers. */
void
rp_curl_loop_run(struct rp_curl_loop *loop)
{
    int running;
    curl_multi_socket_action(loop->multi, CURL_SOCKET_TIMEOUT, 0, &running);
    report_done(loop);
}

static void
on_timer(struct ev_loop *ev, ev_timer *watcher, int events)
{
    (void)ev;
    (void)events;
    rp_curl_loop_run(watcher->data);
}

static int
set_timer(CURLM *multi, long timeout_ms, void *data)
{
    (void)multi;
    struct rp_curl_loop *loop = data;
    ev_timer_stop(loop->ev, &loop->timer);
    if (timeout_ms >= 0) {
        ev_timer_set(&loop->timer, (double)timeout_ms / 1e3, 0.0);
        ev_timer_start(loop->ev, &loop->timer);
    }
    return 0;
}

/* A socket that libcurl uses for a transfer. */
struct curl_socket {
    ev_io io; /* first member */
    CURL *easy;
};

static void
on_socket(struct ev_loop *ev, ev_io *watcher, int events)
{
    (void)ev;
    struct rp_curl_loop *loop = watcher->data;
    const struct curl_socket *socket = (const struct curl_socket *)watcher;
    if ((events & EV_READ) != 0 && loop->on_readable != NULL &&
        !loop->on_readable(socket->easy, watcher->fd, loop->data))
    {
        return; /* the watcher is gone with the transfer */
    }
    int mask = (events & EV_READ ? CURL_CSELECT_IN : 0) |
               (events & EV_WRITE ? CURL_CSELECT_OUT : 0);
    int running;
    curl_multi_socket_action(loop->multi, watcher->fd, mask, &running);
    report_done(loop);
}

static int
set_socket(CURL *easy, curl_socket_t socket, int what, void *data,
           void *socket_data)
{
    struct rp_curl_loop *loop = data;
    ev_io *watcher = socket_data;
    if (what == CURL_POLL_REMOVE) {
        if (watcher != NULL) {
            ev_io_stop(loop->ev, watcher);
            curl_multi_assign(loop->multi, socket, NULL);
            g_free(watcher);
        }
        return 0;
    }
    int events = (what & CURL_POLL_IN ? EV_READ : 0) |
                 (what & CURL_POLL_OUT ? EV_WRITE : 0);
    if (watcher == NULL) {
        watcher = (ev_io *)g_new0(struct curl_socket, 1);
        ev_io_init(watcher, on_socket, socket, events);
        watcher->data = loop;
        curl_multi_assign(loop->multi, socket, watcher);
    }
    else {
        ev_io_stop(loop->ev, watcher);
        ev_io_set(watcher, socket, events);
    }
    ((struct curl_socket *)watcher)->easy = easy;
    ev_io_start(loop->ev, watcher);
    return 0;
}

/* Returns whether fewer than 64 bytes can be read. Such reads are not counted
 * against a limit of reads, since a peer may send its framing byte by byte. */
bool
rp_curl_loop_is_small_read(curl_socket_t socket)
{
    uint8_t bytes[SMALL_READ_BYTES];
    ssize_t count =
        recv(socket, bytes, sizeof(bytes), MSG_PEEK | MSG_DONTWAIT);
    return count >= 0 && (size_t)count < sizeof(bytes);
}

/* Creates a multi handle under a libev loop, which is borrowed. on_done is
 * called for each completed transfer and must remove the easy handle. loop
 * must not be moved until rp_curl_loop_stop. */
void
rp_curl_loop_start(struct rp_curl_loop *loop, struct ev_loop *ev,
                   void (*on_done)(CURL *easy, CURLcode result, void *data),
                   void *data)
{
    loop->ev = ev;
    loop->on_done = on_done;
    loop->on_readable = NULL;
    loop->data = data;
    loop->multi = curl_multi_init();
    ev_timer_init(&loop->timer, on_timer, 0.0, 0.0);
    loop->timer.data = loop;
    curl_multi_setopt(loop->multi, CURLMOPT_SOCKETFUNCTION, set_socket);
    curl_multi_setopt(loop->multi, CURLMOPT_SOCKETDATA, loop);
    curl_multi_setopt(loop->multi, CURLMOPT_TIMERFUNCTION, set_timer);
    curl_multi_setopt(loop->multi, CURLMOPT_TIMERDATA, loop);
}

/* Closes all connections. All easy handles must have been removed. */
void
rp_curl_loop_stop(struct rp_curl_loop *loop)
{
    curl_multi_cleanup(loop->multi);
    ev_timer_stop(loop->ev, &loop->timer);
}
