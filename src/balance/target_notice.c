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
