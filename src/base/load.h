#ifndef RP_LOAD_H
#define RP_LOAD_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

enum rp_target_state {
    RP_TARGET_SERVING,
    RP_TARGET_COLD, /* recently started, slower than usual */
    RP_TARGET_DRAINING,
};

/* A target's own load report, from the RP-Load header or a probe answer. */
struct rp_load_report {
    uint32_t in_flight; /* requests that occupy a slot */
    uint32_t slots;
    uint32_t queued;     /* requests waiting for a slot */
    uint32_t service_us; /* recent mean time in a slot */
    enum rp_target_state state;
    /* Current service time in percent of the usual one; 0 if not reported. */
    uint32_t slowness_percent;
    bool has_cold;    /* the target reports whether it is cold */
    uint32_t cold_ms; /* how long it stays cold; 0 if it is not */
};

#ifdef __cplusplus
extern "C" {
#endif

bool rp_load_parse(const char *text, struct rp_load_report *report,
                   GError **error);
void rp_load_format(const struct rp_load_report *report, GString *out);

#ifdef __cplusplus
}
#endif

#endif
