#ifndef RP_RETURN_TIME_H
#define RP_RETURN_TIME_H

#include <stdbool.h>
#include <stdint.h>

/* When a refused caller should return. Uses no clock, socket or log. */

/* The goal of a call without one. */
#define RP_RETURN_TIME_NO_GOAL INT64_MAX

struct rp_return_time {
    int64_t goal_left_ns; /* until the latency goal has passed */
    int64_t usual_ns;     /* usual time of the route's calls */
    int64_t queue_ns;     /* until the calls that wait now have left */
    bool has_room;        /* targets with free slots reject calls */
};

#ifdef __cplusplus
extern "C" {
#endif

bool rp_return_time_meets_goal(const struct rp_return_time *state);
double rp_return_time_new_call_part(double rejection_rate, double retry_ratio);
int64_t rp_return_time_ns(const struct rp_return_time *state, double random);

#ifdef __cplusplus
}
#endif

#endif
