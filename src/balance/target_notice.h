#ifndef RP_TARGET_NOTICE_H
#define RP_TARGET_NOTICE_H

#include <stdbool.h>
#include <stdint.h>

/* What a target has said of itself in its answers. It holds for the target's
 * current run. Initially all zero. */
struct rp_target_notice {
    bool leaving; /* it ends soon */
};

#ifdef __cplusplus
extern "C" {
#endif

bool rp_target_notice_record_leaving(struct rp_target_notice *notice);
void rp_target_notice_clear(struct rp_target_notice *notice);

#ifdef __cplusplus
}
#endif

#endif
