#ifndef RP_REJECTION_H
#define RP_REJECTION_H

#include <stdbool.h>
#include <stdint.h>

/* Rejections by one target. A target that has just rejected a request has no
 * room, whatever load it reports. Initially all zero. */
struct rp_rejection {
    uint32_t consecutive;  /* since the latest success */
    int64_t full_until_ns; /* it is taken to have no room before */
};

/* Returns whether the target is taken to have no room at present. */
static inline bool
rp_rejection_is_full(const struct rp_rejection *rejection, int64_t now_ns)
{
    return now_ns < rejection->full_until_ns;
}

#ifdef __cplusplus
extern "C" {
#endif

void rp_rejection_record(struct rp_rejection *rejection, double turn_ns,
                         int64_t now_ns);
void rp_rejection_record_sent(struct rp_rejection *rejection, double turn_ns,
                              int64_t now_ns);
void rp_rejection_record_success(struct rp_rejection *rejection);
bool rp_rejection_is_lasting(const struct rp_rejection *rejection);

#ifdef __cplusplus
}
#endif

#endif
