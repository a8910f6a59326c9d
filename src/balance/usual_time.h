#ifndef RP_USUAL_TIME_H
#define RP_USUAL_TIME_H

#include <stdint.h>

#define RP_USUAL_TIME_ROUTES 64

/* Median time of the calls of each route to a service. Routes of one service
 * differ: short lookups may share it with long uploads. Uses no clock, socket
 * or log. */
struct rp_usual_time {
    struct {
        uint64_t route; /* hash of the route's name */
        double median_ns;
        uint32_t samples;
        double goal_ns; /* latency goal of the route; 0: unknown */
    } routes[RP_USUAL_TIME_ROUTES];
};

#ifdef __cplusplus
extern "C" {
#endif

void rp_usual_time_init(struct rp_usual_time *times);
void rp_usual_time_set_goal(struct rp_usual_time *times, uint64_t route,
                            double goal_ns);
void rp_usual_time_record(struct rp_usual_time *times, uint64_t route,
                          double time_ns);
double rp_usual_time_ns(const struct rp_usual_time *times, uint64_t route);

#ifdef __cplusplus
}
#endif

#endif
