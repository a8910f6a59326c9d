#include "usual_time.h"

#include <string.h>

/* The median moves by this share per call, faster at first because it starts
 * from a single sample. */
#define INITIAL_MEDIAN_STEP 0.3
#define MEDIAN_STEP 0.02
#define INITIAL_SAMPLES 16
/* Latency goals are 2.3 to 4.3 times the usual time in the deployments that
 * the program is built for. */
#define USUAL_PER_GOAL (1.0 / 3)
/* Fewer samples say little about a route. */
#define MIN_SAMPLES 4

/* Initializes an empty table. */
void
rp_usual_time_init(struct rp_usual_time *times)
{
    memset(times, 0, sizeof(*times));
}

/* Sets the latency goal of a route, from which its usual time is estimated
 * until there are answers. A route whose place in the table is used by another
 * one has no estimate. */
void
rp_usual_time_set_goal(struct rp_usual_time *times, uint64_t route,
                       double goal_ns)
{
    uint32_t slot = route % RP_USUAL_TIME_ROUTES;
    if (times->routes[slot].samples == 0) {
        times->routes[slot].route = route;
    }
    if (times->routes[slot].route == route) {
        times->routes[slot].goal_ns = goal_ns;
    }
}

/* Records the time of a call. A new route replaces an old one in the same slot
 * of the table. */
void
rp_usual_time_record(struct rp_usual_time *times, uint64_t route,
                     double time_ns)
{
    uint32_t slot = route % RP_USUAL_TIME_ROUTES;
    if (times->routes[slot].route != route) {
        times->routes[slot].route = route;
        times->routes[slot].samples = 0;
        times->routes[slot].goal_ns = 0;
    }
    if (times->routes[slot].samples == 0) {
        times->routes[slot].median_ns = time_ns;
    }
    times->routes[slot].samples++;
    double step = times->routes[slot].samples < INITIAL_SAMPLES
                      ? INITIAL_MEDIAN_STEP
                      : MEDIAN_STEP;
    times->routes[slot].median_ns *=
        time_ns > times->routes[slot].median_ns ? 1 + step : 1 - step;
}

/* Returns the median time of a route's calls. With few answers, returns an
 * estimate from its latency goal, or 0 if that is unknown. */
double
rp_usual_time_ns(const struct rp_usual_time *times, uint64_t route)
{
    uint32_t slot = route % RP_USUAL_TIME_ROUTES;
    if (times->routes[slot].route != route) {
        return 0;
    }
    return times->routes[slot].samples < MIN_SAMPLES
               ? USUAL_PER_GOAL * times->routes[slot].goal_ns
               : times->routes[slot].median_ns;
}
