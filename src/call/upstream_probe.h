#ifndef RP_UPSTREAM_PROBE_H
#define RP_UPSTREAM_PROBE_H

#include <curl/curl.h>

#include "call.h"
#include "dialect.h"
#include "kernel.h"

/* Probes over the connections of the upstream task. */
struct rp_upstream_probes {
    struct rp_task *task;
    const struct rp_dialect *dialect;
    CURLM *multi;
    GHashTable *running;     /* easy handle to struct upstream_probe */
    GPtrArray *idle_handles; /* easy handles */
};

void rp_upstream_probes_init(struct rp_upstream_probes *probes,
                             struct rp_task *task,
                             const struct rp_dialect *dialect, CURLM *multi);
void rp_upstream_probes_clear(struct rp_upstream_probes *probes);
void rp_upstream_probe_start(struct rp_upstream_probes *probes,
                             const struct rp_probe_start *start);
bool rp_upstream_probe_count_read(struct rp_upstream_probes *probes,
                                  CURL *easy, curl_socket_t socket);
bool rp_upstream_probe_finish(struct rp_upstream_probes *probes, CURL *easy,
                              CURLcode result);

#endif
