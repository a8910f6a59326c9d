#ifndef RP_TRANSFER_SIZE_H
#define RP_TRANSFER_SIZE_H

#include <stdint.h>

/* Mean sizes of a route's request and answer bodies. Uses no clock, socket or
 * log. */
struct rp_transfer_size {
    double request_mean_bytes; /* of the calls whose size was known */
    double answer_mean_bytes;  /* 0: unknown */
};

#ifdef __cplusplus
extern "C" {
#endif

void rp_transfer_size_record_request(struct rp_transfer_size *size,
                                     uint64_t bytes);
void rp_transfer_size_record_answer(struct rp_transfer_size *size,
                                    uint64_t bytes);
int64_t rp_transfer_size_remote_penalty_ns(const struct rp_transfer_size *size,
                                           int64_t request_bytes,
                                           int64_t cost_ns_per_kb,
                                           int64_t aim_ns);

#ifdef __cplusplus
}
#endif

#endif
