#include "answer_size.h"

/* Weight of one answer: the mean is that of about the last 16. */
#define WEIGHT (1.0 / 16)
/* Traffic between failure domains is paid for and shares links with others, so
 * that a call may wait this long for each byte that it keeps within a domain:
 * 1 ms for a kilobyte. */
#define FAR_NS_PER_BYTE 1000.0
/* Part of the aim that this wait takes at most. */
#define MOST_AIM_SHARE 0.5

/* Takes note of the size of a whole answer. */
void
rp_answer_size_record(struct rp_answer_size *size, uint64_t bytes)
{
    if (size->mean_bytes <= 0) {
        size->mean_bytes = (double)bytes;
    }
    size->mean_bytes += WEIGHT * ((double)bytes - size->mean_bytes);
}

/* Returns how much longer the wait for a target in the own failure domain may
 * be than for one in another, where answers are wanted within aim_ns. */
int64_t
rp_answer_size_remote_penalty_ns(const struct rp_answer_size *size,
                                 int64_t aim_ns)
{
    double far_ns = size->mean_bytes * FAR_NS_PER_BYTE;
    double most_ns = MOST_AIM_SHARE * (double)aim_ns;
    return (int64_t)(far_ns < most_ns ? far_ns : most_ns);
}
