#ifndef RP_PROBER_H
#define RP_PROBER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "kernel.h"
#include "loop.h"
#include "probe.h"

#define RP_TASK_PROBER "prober"

/* Maximum number of probes in flight. */
#define RP_PROBER_MAX_IN_FLIGHT 16
#define RP_PROBER_TIMEOUT_MS 1000

/* Result of a probe. */
struct rp_probe_result {
    uint64_t probe_id;
    bool answered; /* a whole answer with a status below 500 */
    bool has_load;
    struct rp_load_report load;
};

/* Transport of probes: libcurl, or a simulation in virtual time. */
struct rp_prober_transport {
    /* Starts a probe, whose result is passed to rp_prober_finish. Returns
     * false when it cannot be started. */
    bool (*start)(void *data, uint64_t probe_id,
                  const struct rp_probe_choice *choice);
    void (*free)(void *data);
    void *data;
};

struct rp_prober;

#ifdef __cplusplus
extern "C" {
#endif

struct rp_prober *rp_prober_new(struct rp_kernel *kernel,
                                const struct rp_prober_transport *transport,
                                int64_t now_ns, GError **error);
struct rp_prober *rp_prober_new_http(struct rp_loop *loop, GError **error);
void rp_prober_free(struct rp_prober *prober);
void rp_prober_finish(struct rp_prober *prober,
                      const struct rp_probe_result *result, int64_t now_ns);

#ifdef __cplusplus
}
#endif

#endif
