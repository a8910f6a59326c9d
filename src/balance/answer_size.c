#include "answer_size.h"

/* Weight of one answer; the mean covers about the last 16. */
#define MEAN_WEIGHT (1.0 / 16)
/* Extra wait that is accepted per byte to stay within a failure domain, 1 ms
 * per kilobyte: traffic between failure domains is charged for and shares
 * links with other traffic. */
#define REMOTE_NS_PER_BYTE 1000.0
/* Upper bound of this wait as a share of the call's latency goal. */
#define MAX_AIM_SHARE 0.5

/* Records the size of a complete answer. */
void
rp_answer_size_record(struct rp_answer_size *size, uint64_t bytes)
{
    if (size->mean_bytes <= 0) {
        size->mean_bytes = (double)bytes;
    }
    size->mean_bytes += MEAN_WEIGHT * ((double)bytes - size->mean_bytes);
}

/* Returns how much longer a call with the latency goal aim_ns may wait for a
 * target in the local failure domain than for a remote one. */
int64_t
rp_answer_size_remote_penalty_ns(const struct rp_answer_size *size,
                                 int64_t aim_ns)
{
    double penalty_ns = size->mean_bytes * REMOTE_NS_PER_BYTE;
    double max_ns = MAX_AIM_SHARE * (double)aim_ns;
    return (int64_t)(penalty_ns < max_ns ? penalty_ns : max_ns);
}
