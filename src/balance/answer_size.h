#ifndef RP_ANSWER_SIZE_H
#define RP_ANSWER_SIZE_H

#include <stdint.h>

/* How large the answers of a route are, learned from its answers. No clock,
 * socket or log. */
struct rp_answer_size {
    double mean_bytes; /* 0: not known yet */
};

#ifdef __cplusplus
extern "C" {
#endif

void rp_answer_size_record(struct rp_answer_size *size, uint64_t bytes);
int64_t rp_answer_size_remote_penalty_ns(const struct rp_answer_size *size,
                                         int64_t aim_ns);

#ifdef __cplusplus
}
#endif

#endif
