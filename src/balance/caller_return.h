#ifndef RP_CALLER_RETURN_H
#define RP_CALLER_RETURN_H

#include <stdint.h>

/* Recognizes callers of a route that return after a refusal: less time is left
 * to them than callers have at first. Initially all zero. Uses no clock,
 * socket or log. */
struct rp_caller_return {
    /* The two longest remaining times of the latest calls and of those
     * before. */
    uint32_t longest_ms[2][2];
    uint32_t calls; /* in the first of the two groups */
};

#ifdef __cplusplus
extern "C" {
#endif

uint32_t rp_caller_return_elapsed_ms(struct rp_caller_return *callers,
                                     uint32_t remaining_ms);

#ifdef __cplusplus
}
#endif

#endif
