#ifndef RP_DEADLINE_H
#define RP_DEADLINE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Maximum number of runs of a request in its whole tree of nested calls,
 * including the first, unless the caller allows fewer. */
#define RP_DEADLINE_MAX_ATTEMPTS 3u

/* Maximum number of retries of one call after attempts that certainly did not
 * run. Such attempts cause no nested calls, so they do not count against the
 * attempts of the tree. */
#define RP_DEADLINE_MAX_NOT_RUN_RETRIES 3u

/* Subtracted from the timeout sent to a target, for the answer to arrive. */
#define RP_DEADLINE_MARGIN_NS INT64_C(2000000)

#define RP_DEADLINE_MAX_TIMEOUT_MS 3600000u

/* Remaining time and retries of a call on this entry VM. */
struct rp_deadline {
    int64_t deadline_ns;
    uint32_t retries_left;         /* after attempts that may have run */
    uint32_t not_run_retries_left; /* after attempts that did not run */
};

/* Limits of one attempt, sent as RP-Timeout-Ms and RP-Attempts-Left. */
struct rp_deadline_grant {
    int64_t deadline_ns; /* when this entry VM cancels the attempt */
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
uint32_t rp_deadline_split_retries(uint32_t *retries_left);
bool rp_deadline_grant_attempt(struct rp_deadline *deadline, int64_t now_ns,
                               struct rp_deadline_grant *grant);
bool rp_deadline_use_retry(struct rp_deadline *deadline, bool not_run,
                           int64_t now_ns);

#ifdef __cplusplus
}
#endif

#endif
