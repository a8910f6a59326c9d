#include "rejection.h"

/* Longest time for which a target is taken to have no room. */
#define MAX_FULL_NS 4e9
/* Shortest time until a slot is free again. */
#define MIN_TURN_NS 1e6
/* Rejections in a row that no full target gives while its slots turn over. */
#define LASTING_REJECTIONS 4
#define MAX_DOUBLINGS 12

/* A slot is free after one turn, if the target is just full. The time doubles
 * with each rejection in a row. */
static int64_t
full_ns(const struct rp_rejection *rejection, double turn_ns)
{
    double time_ns = turn_ns < MIN_TURN_NS ? MIN_TURN_NS : turn_ns;
    for (uint32_t i = 1; i < rejection->consecutive && time_ns < MAX_FULL_NS;
         i++) {
        time_ns *= 2;
    }
    return (int64_t)(time_ns < MAX_FULL_NS ? time_ns : MAX_FULL_NS);
}

/* Records a request that the target rejected. turn_ns is the usual time until
 * one of its slots is free. */
void
rp_rejection_record(struct rp_rejection *rejection, double turn_ns,
                    int64_t now_ns)
{
    if (rejection->consecutive < MAX_DOUBLINGS) {
        rejection->consecutive++;
    }
    rejection->full_until_ns = now_ns + full_ns(rejection, turn_ns);
}

/* Records a request that is sent to the target. After rejections, the next one
 * has to wait for its answer, or for as long as after a further rejection. */
void
rp_rejection_record_sent(struct rp_rejection *rejection, double turn_ns,
                         int64_t now_ns)
{
    if (rejection->consecutive > 0) {
        rejection->full_until_ns = now_ns + full_ns(rejection, turn_ns);
    }
}

/* Records a request that the target has run. */
void
rp_rejection_record_success(struct rp_rejection *rejection)
{
    rejection->consecutive = 0;
    rejection->full_until_ns = 0;
}

/* Returns whether the target rejects more than a full one would. */
bool
rp_rejection_is_lasting(const struct rp_rejection *rejection)
{
    return rejection->consecutive >= LASTING_REJECTIONS;
}
