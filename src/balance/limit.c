#include "limit.h"

#include <math.h>

#define RECENT_WEIGHT 0.1
#define USUAL_SAMPLES 200
/* The limit falls when recent answers take this multiple of the usual time;
 * the average of 10 exponentially distributed times seldom exceeds it. */
#define SLOW_RATIO 1.6
#define SLOW_ANSWER_FACTOR 0.98
#define REFUSAL_FACTOR 0.8
/* Requests beyond the slots keep slots busy while answers and the next
 * requests travel. With 1.5, entry VMs held calls back while other targets had
 * free slots: the 99th percentile at 95% load was 31.7 ms instead of 25.9. */
#define MAX_PER_SLOT 3.0
#define COLD_START_LIMIT 2.0
/* Slow answers alone do not lower the limit below this. With 1.0, slots were
 * idle while answers travelled, and an entry VM with misleading first answers
 * queued 300 calls while others had no queue. */
#define MIN_SLOW_PER_SLOT 1.5

/* Initializes a limit. The limit of a cold target starts small and grows with
 * each answer. */
void
rp_limit_init(struct rp_limit *limit, uint32_t slots, bool cold)
{
    double count = slots > 0 ? slots : 1;
    limit->min_limit = 1;
    limit->max_limit = ceil(count * MAX_PER_SLOT);
    limit->limit = cold ? fmin(COLD_START_LIMIT, count) : limit->max_limit;
    limit->recent_ns = 0;
    limit->usual_ns = 0;
    limit->samples = 0;
}

/* Adjusts the limit after an answer: it falls while recent answers are much
 * slower than usual ones, and rises by one per round of answers while it is in
 * use. used is the number of requests at the target. Follows the latency
 * gradient of concurrency limits (Netflix, 2018), which is based on TCP Vegas.
 */
void
rp_limit_record_answer(struct rp_limit *limit, double response_ns, double used)
{
    /* The first answers have equal weights; otherwise the first one alone
     * would define the usual time. */
    if (limit->samples < USUAL_SAMPLES) {
        limit->samples++;
    }
    double count = limit->samples;
    limit->recent_ns +=
        fmax(RECENT_WEIGHT, 1 / count) * (response_ns - limit->recent_ns);
    limit->usual_ns += (response_ns - limit->usual_ns) / count;
    if (limit->recent_ns > SLOW_RATIO * limit->usual_ns) {
        double min_slow_limit =
            limit->max_limit / MAX_PER_SLOT * MIN_SLOW_PER_SLOT;
        if (limit->limit > min_slow_limit) {
            limit->limit =
                fmax(limit->limit * SLOW_ANSWER_FACTOR, min_slow_limit);
        }
        return;
    }
    if (used * 2 >= limit->limit) {
        limit->limit = fmin(limit->limit + 1 / limit->limit, limit->max_limit);
    }
}

/* Lowers the limit after the target has shed a request. */
void
rp_limit_record_refusal(struct rp_limit *limit)
{
    limit->limit = fmax(limit->limit * REFUSAL_FACTOR, limit->min_limit);
}
