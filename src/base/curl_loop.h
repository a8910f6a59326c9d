#ifndef RP_CURL_LOOP_H
#define RP_CURL_LOOP_H

#include <curl/curl.h>
#include <ev.h>
#include <stdbool.h>

/* A libcurl multi handle driven by a libev loop. */
struct rp_curl_loop {
    struct ev_loop *ev;
    CURLM *multi;
    ev_timer timer;
    void (*on_done)(CURL *easy, CURLcode result, void *data);
    /* Called before a socket of a transfer is read; NULL for none. Returns
     * false when it removed the easy handle. */
    bool (*on_readable)(CURL *easy, curl_socket_t socket, void *data);
    void *data;
};

#ifdef __cplusplus
extern "C" {
#endif

void rp_curl_loop_start(struct rp_curl_loop *loop, struct ev_loop *ev,
                        void (*on_done)(CURL *easy, CURLcode result,
                                        void *data),
                        void *data);
bool rp_curl_loop_is_small_read(curl_socket_t socket);
void rp_curl_loop_run(struct rp_curl_loop *loop);
void rp_curl_loop_stop(struct rp_curl_loop *loop);

#ifdef __cplusplus
}
#endif

#endif
