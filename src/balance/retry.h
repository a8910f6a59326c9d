#ifndef RP_RETRY_H
#define RP_RETRY_H

#include <stdbool.h>
#include <stdint.h>

/* State of a call that decides whether a further attempt is allowed. */
struct rp_retry_state {
    bool repeatable;   /* by its method and the service's record */
    bool may_have_run; /* a target may have executed an attempt */
    bool body_kept;    /* the request body is buffered or empty */
    uint32_t retries;  /* made so far */
    uint32_t attempts_left;
    int64_t deadline_ns;
};

#ifdef __cplusplus
extern "C" {
#endif

bool rp_retry_allowed(const struct rp_retry_state *state, int64_t now_ns);
int64_t rp_retry_delay_ns(uint32_t retries, bool not_run, uint32_t random);

#ifdef __cplusplus
}
#endif

#endif
