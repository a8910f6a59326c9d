#ifndef RP_BYTE_BUDGET_H
#define RP_BYTE_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

/* A token bucket. It starts full. */
struct rp_byte_budget {
    uint32_t bytes_per_s;
    uint32_t burst_bytes;
    int64_t tokens_millibytes; /* below zero: in debt */
    int64_t refilled_ns;
};

#ifdef __cplusplus
extern "C" {
#endif

void rp_byte_budget_init(struct rp_byte_budget *budget, uint32_t bytes_per_s,
                         uint32_t burst_bytes, int64_t now_ns);
bool rp_byte_budget_consume(struct rp_byte_budget *budget, uint32_t bytes,
                            int64_t now_ns);

#ifdef __cplusplus
}
#endif

#endif
