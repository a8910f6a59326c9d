#include "retry.h"

#include <glib.h>

/* Delay before a retry: doubles each time, with full jitter, so that callers
 * of a failed target do not return together. */
#define BASE_DELAY_NS INT64_C(4000000)
#define MAX_DELAY_NS INT64_C(100000000)

/* Returns whether a call whose attempts have all failed may be retried: it is
 * repeatable or was not executed, and there is time left. */
bool
rp_retry_allowed(const struct rp_retry_state *state, int64_t now_ns)
{
    return (state->repeatable || !state->may_have_run) && state->body_kept &&
           state->attempts_left > 0 && now_ns < state->deadline_ns;
}

/* Returns the delay before a further attempt. The first retry after an attempt
 * that was not executed goes to another target at once. random is any 32
 * random bits. */
int64_t
rp_retry_delay_ns(uint32_t retries, bool not_run, uint32_t random)
{
    if (retries == 0 && not_run) {
        return 0;
    }
    int64_t max_delay_ns =
        MIN(BASE_DELAY_NS << MIN(retries, 10), MAX_DELAY_NS);
    return max_delay_ns * (int64_t)(random >> 16) / 65536;
}
