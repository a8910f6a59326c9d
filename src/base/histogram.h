#ifndef RP_HISTOGRAM_H
#define RP_HISTOGRAM_H

#include <glib.h>
#include <stdint.h>

/* How calls end, as told to their callers. */
enum rp_call_result {
    RP_RESULT_ANSWERED,     /* a target's answer with a status below 500 */
    RP_RESULT_TARGET_ERROR, /* a target's answer of 500 or above */
    RP_RESULT_NOT_RUN,      /* refused here */
    RP_RESULT_UNKNOWN,      /* failed here and may have run */
    RP_RESULT_CALLER_GONE,  /* the caller left before the answer */
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
