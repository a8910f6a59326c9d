#ifndef RP_HISTOGRAM_H
#define RP_HISTOGRAM_H

#include <glib.h>
#include <stdint.h>

/* Outcome of a call as reported to its caller. */
enum rp_call_result {
    RP_RESULT_ANSWERED,     /* a target's answer with a status below 500 */
    RP_RESULT_TARGET_ERROR, /* a target's answer of 500 or above */
    RP_RESULT_NOT_RUN,      /* refused by this entry VM */
    RP_RESULT_UNKNOWN,      /* failed in this entry VM, may have run */
    RP_RESULT_CALLER_GONE,  /* disconnected before the answer */
    RP_RESULT_COUNT
};

/* Latency histograms of calls by service, kind and result. */
struct rp_histograms;

#ifdef __cplusplus
extern "C" {
#endif

struct rp_histograms *rp_histograms_new(void);
void rp_histograms_free(struct rp_histograms *histograms);
void rp_histograms_record(struct rp_histograms *histograms,
                          const char *service, const char *kind,
                          enum rp_call_result result, int64_t latency_ns);
void rp_histograms_print(const struct rp_histograms *histograms, GString *out);

#ifdef __cplusplus
}
#endif

#endif
