#ifndef RP_UPSTREAM_ATTEMPT_H
#define RP_UPSTREAM_ATTEMPT_H

#include <curl/curl.h>

#include "call.h"
#include "dialect.h"
#include "http_rules.h"

struct rp_upstream;

/* One attempt as a libcurl transfer; internal to the upstream task. */
struct rp_upstream_attempt {
    struct rp_upstream *upstream;
    const struct rp_dialect *dialect;
    CURL *easy;
    struct curl_slist *headers;
    struct rp_call *call;
    struct rp_stream *body;
    struct rp_answer *answer;
    struct rp_http_framing framing;
    uint32_t generation;
    uint32_t flags;
    uint32_t send_count;         /* times that libcurl was about to send */
    uint32_t reads_without_body; /* since the latest byte of the body */
    int paused;                  /* CURLPAUSE_... bits */
    uint32_t status;
    bool has_request_body;
    bool reused;    /* the connection had served another request */
    bool resumable; /* in the list of attempts to resume */
    bool head_complete;
    bool malformed;
    int64_t started_ns;
    int64_t first_byte_ns;
    int64_t progress_ns;
    char address[RP_ADDRESS_BYTES];
};

CURL *rp_upstream_easy_new(uint32_t connect_timeout_ms);
void rp_upstream_attempt_init(struct rp_upstream_attempt *attempt,
                              const struct rp_attempt_start *start, bool fresh,
                              int64_t max_connection_age_s, int64_t now_ns);
void rp_upstream_attempt_clear(struct rp_upstream_attempt *attempt);
void rp_upstream_attempt_resume(struct rp_upstream_attempt *attempt);
bool rp_upstream_attempt_count_read(struct rp_upstream_attempt *attempt,
                                    curl_socket_t socket);
bool rp_upstream_attempt_stalled(const struct rp_upstream_attempt *attempt,
                                 int64_t limit_ns, int64_t now_ns);
enum rp_attempt_end
rp_upstream_attempt_end(const struct rp_upstream_attempt *attempt,
                        CURLcode code);
void rp_upstream_report_head(struct rp_upstream_attempt *attempt);

#endif
