#ifndef RP_DEADLINE_H
#define RP_DEADLINE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Runs of a request in the whole tree of its nested calls, the first one
 * included, unless the caller allows fewer. */
#define RP_DEADLINE_MAX_ATTEMPTS 3u

/* Further attempts of one call after truly not-run ones. They cause no work
 * further down, so they do not use up the attempts of the tree. */
#define RP_DEADLINE_MAX_NOT_RUN_RETRIES 3u

/* Kept back from the time that a target is told, for the answer's way. */
#define RP_DEADLINE_MARGIN_NS INT64_C(2000000)

#define RP_DEADLINE_MAX_TIMEOUT_MS 3600000u

/* What a call may still use on this entry VM. */
struct rp_deadline {
    int64_t deadline_ns;
    uint32_t retries_left; /* attempts beyond the one in progress */
    uint32_t not_run_retries_left;
};

/* What an attempt is told by RP-Timeout-Ms and RP-Attempts-Left. */
struct rp_deadline_grant {
    int64_t deadline_ns; /* when this entry VM gives the attempt up */
    uint32_t timeout_ms;
    uint32_t attempts_left;
};

#ifdef __cplusplus
extern "C" {
#endif

bool rp_deadline_parse_timeout(const char *text, uint32_t *timeout_ms,
                               GError **error);
bool rp_deadline_parse_attempts(const char *text, uint32_t *attempts_left,
                                GError **error);
void rp_deadline_start(struct rp_deadline *deadline, uint32_t timeout_ms,
                       uint32_t max_timeout_ms, uint32_t attempts_left,
                       int64_t received_ns);
bool rp_deadline_expired(const struct rp_deadline *deadline, int64_t now_ns);
uint32_t rp_deadline_split_retries(uint32_t *repeats_left);
bool rp_deadline_grant_attempt(struct rp_deadline *deadline, int64_t now_ns,
                               struct rp_deadline_grant *share);
bool rp_deadline_use_retry(struct rp_deadline *deadline, bool not_run,
                           int64_t now_ns);

#ifdef __cplusplus
}
#endif

#endif
