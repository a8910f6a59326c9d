#ifndef RP_HINT_POOL_H
#define RP_HINT_POOL_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "target_hint.h"

#define RP_HINT_POOL_LIMIT 2048 /* targets */
#define RP_HINT_MAX_AGE_NS INT64_C(5000000000)

/* The latest hint about each target, from this entry VM or a peer. */
struct rp_hint_pool;

#ifdef __cplusplus
extern "C" {
#endif

struct rp_hint_pool *rp_hint_pool_new(void);
void rp_hint_pool_free(struct rp_hint_pool *pool);
bool rp_hint_pool_offer(struct rp_hint_pool *pool,
                        const struct rp_target_hint *hint, int64_t now_ns);
void rp_hint_pool_begin(struct rp_hint_pool *pool, uint32_t transmit_limit,
                        bool adverse_only, int64_t now_ns);
bool rp_hint_pool_next(struct rp_hint_pool *pool, struct rp_target_hint *hint);
uint32_t rp_hint_pool_count(const struct rp_hint_pool *pool);

#ifdef __cplusplus
}
#endif

#endif
