#ifndef RP_TARGET_NOTICE_H
#define RP_TARGET_NOTICE_H

#include <stdbool.h>
#include <stdint.h>

/* What a target has said of itself in its answers. It holds for the target's
 * current run. Initially all zero. */
struct rp_target_notice {
    bool leaving;            /* it ends soon */
    int64_t closed_until_ns; /* it wants no requests before; 0 for none */
};

/* Greatest wait that a target may ask for. */
#define RP_TARGET_NOTICE_MAX_WAIT_MS INT64_C(86400000)

#ifdef __cplusplus
extern "C" {
#endif

bool rp_target_notice_record_leaving(struct rp_target_notice *notice);
bool rp_target_notice_record_wait(struct rp_target_notice *notice,
                                  int64_t wait_ms, int64_t now_ns);
bool rp_target_notice_is_closed(const struct rp_target_notice *notice,
                                int64_t now_ns);
void rp_target_notice_clear(struct rp_target_notice *notice);

#ifdef __cplusplus
}
#endif

#endif
