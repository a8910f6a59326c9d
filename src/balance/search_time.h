#ifndef RP_SEARCH_TIME_H
#define RP_SEARCH_TIME_H

#include <stdbool.h>
#include <stdint.h>

/* How long a call searches for a fast target while only slow ones have room.
 * Uses no clock, socket or log. */

/* A search of one call. */
struct rp_search_terms {
    int64_t offered_ns; /* when the search began */
    int64_t aim_ns;     /* latency goal of the call; 0: unknown */
    double usual_ns;    /* time of the call on a fast target */
    double expected_ns; /* time of the call on the best target with room */
};

#ifdef __cplusplus
extern "C" {
#endif

bool rp_search_time_applies(uint32_t slots);
bool rp_search_time_continues(const struct rp_search_terms *terms,
                              int64_t now_ns);

#ifdef __cplusplus
}
#endif

#endif
