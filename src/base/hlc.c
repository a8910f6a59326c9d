#include "hlc.h"

/* Remote values further ahead than this are ignored, so that one VM with a
 * wrong wall clock cannot move the clocks of all VMs into the future. */
#define MAX_DRIFT_MS 60000

/* Advances the clock for a local event or a message to be sent and returns
 * the new value. wall_ms is the current wall time in milliseconds.
 *
 * Kulkarni et al., "Logical Physical Clocks and Consistent Snapshots in
 * Globally Distributed Databases", 2014. */
struct rp_hlc
rp_hlc_tick(struct rp_hlc *clock, int64_t wall_ms)
{
    if (wall_ms > clock->wall_ms) {
        clock->wall_ms = wall_ms;
        clock->count = 0;
    }
    else {
        clock->count++;
    }
    return *clock;
}

/* Advances the clock past the value of a received message and returns the new
 * value. A remote value more than a minute ahead of wall_ms is ignored. */
struct rp_hlc
rp_hlc_merge(struct rp_hlc *clock, struct rp_hlc remote, int64_t wall_ms)
{
    if (remote.wall_ms > wall_ms + MAX_DRIFT_MS) {
        return rp_hlc_tick(clock, wall_ms);
    }
    if (rp_hlc_compare(remote, *clock) > 0) {
        *clock = remote;
    }
    return rp_hlc_tick(clock, wall_ms);
}

/* Returns a negative number, zero or a positive number when a is before,
 * equal to or after b. */
int
rp_hlc_compare(struct rp_hlc a, struct rp_hlc b)
{
    if (a.wall_ms != b.wall_ms) {
        return a.wall_ms < b.wall_ms ? -1 : 1;
    }
    if (a.count != b.count) {
        return a.count < b.count ? -1 : 1;
    }
    return 0;
}
