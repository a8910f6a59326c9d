#include "target_notice.h"

#include <string.h>

/* Forgets all notices, for a new run of the target. */
void
rp_target_notice_clear(struct rp_target_notice *notice)
{
    memset(notice, 0, sizeof(*notice));
}

/* Records that the target is leaving. A later answer without the notice does
 * not take it back. Returns whether this was not known. */
bool
rp_target_notice_record_leaving(struct rp_target_notice *notice)
{
    bool is_new = !notice->leaving;
    notice->leaving = true;
    return is_new;
}

/* Records that the target wants no requests for wait_ms, of which at most a
 * day counts. A shorter wait does not end a longer one, since the answer with
 * it may have been sent earlier. Returns whether the target was open. */
bool
rp_target_notice_record_wait(struct rp_target_notice *notice, int64_t wait_ms,
                             int64_t now_ns)
{
    bool was_open = !rp_target_notice_is_closed(notice, now_ns);
    if (wait_ms <= 0) {
        return false;
    }
    if (wait_ms > RP_TARGET_NOTICE_MAX_WAIT_MS) {
        wait_ms = RP_TARGET_NOTICE_MAX_WAIT_MS;
    }
    int64_t until_ns = now_ns + wait_ms * 1000000;
    if (until_ns > notice->closed_until_ns) {
        notice->closed_until_ns = until_ns;
    }
    return was_open;
}

/* Returns whether the target wants no requests at present. */
bool
rp_target_notice_is_closed(const struct rp_target_notice *notice,
                           int64_t now_ns)
{
    return now_ns < notice->closed_until_ns;
}
