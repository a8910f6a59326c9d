#include "transfer_size.h"

#include <stdbool.h>

/* Weight of one body; the means cover about the last 16. */
#define MEAN_WEIGHT (1.0 / 16)
/* Upper bound of the penalty as a share of the call's latency goal. */
#define MAX_AIM_SHARE 0.5
#define BYTES_PER_KB 1000.0

static void
record(double *mean_bytes, uint64_t bytes)
{
    if (*mean_bytes <= 0) {
        *mean_bytes = (double)bytes;
    }
    *mean_bytes += MEAN_WEIGHT * ((double)bytes - *mean_bytes);
}

/* Records the size of a request body. */
void
rp_transfer_size_record_request(struct rp_transfer_size *size, uint64_t bytes)
{
    record(&size->request_mean_bytes, bytes);
}

/* Records the size of a complete answer. */
void
rp_transfer_size_record_answer(struct rp_transfer_size *size, uint64_t bytes)
{
    record(&size->answer_mean_bytes, bytes);
}

/* Returns how much longer a call with the latency goal aim_ns may wait for a
 * target in the local failure domain than for a remote one. request_bytes is
 * the size of its body, negative when unknown, as with a chunked one. */
int64_t
rp_transfer_size_remote_penalty_ns(const struct rp_transfer_size *size,
                                   int64_t request_bytes,
                                   int64_t cost_ns_per_kb, int64_t aim_ns)
{
    bool known = request_bytes >= 0;
    double bytes = size->answer_mean_bytes +
                   (known ? (double)request_bytes : size->request_mean_bytes);
    double penalty_ns = bytes / BYTES_PER_KB * (double)cost_ns_per_kb;
    double max_ns = MAX_AIM_SHARE * (double)aim_ns;
    return (int64_t)(penalty_ns < max_ns ? penalty_ns : max_ns);
}
