#include "route.h"

#include <math.h>
#include <string.h>

/* Weight of one answer in the response time of its target. The average of
 * exponentially distributed times then has a spread of about 13%. */
#define RESPONSE_WEIGHT (1.0 / 32)
/* One answer counts for at most this multiple of the usual response time, so
 * that a single slow answer does not make its target a straggler. */
#define MAX_SAMPLE_RATIO 5.0
/* Up to this number of answers, the usual response time is their plain mean.
 */
#define POOL_SAMPLES 256
#define MIN_POOL_SAMPLES 32
/* Small, because with 1/8 the noise of single reports moved load without need.
 */
#define REMOTE_WEIGHT (1.0 / 32)
/* The means cover about 8 reports only: slow changes of demand move local
 * requests and totals alike even when reports are old. */
#define MEAN_WEIGHT (1.0 / 8)
#define TRUST_WEIGHT (1.0 / 256)
/* Slopes for no trust and for full trust. With fresh reports the slope is 0.5
 * to 1; it stays below 1 because other entry VMs send less to a target while
 * this one sends more. With reports 50 ms old it is 0.1 to 0.2. */
#define NO_TRUST_SLOPE 0.25
#define FULL_TRUST_SLOPE 0.5
/* Ratios of variance to mean of reported totals for no trust and for full
 * trust. The ratio is up to 1.9 with fresh reports, and 2 to 20 when 100 entry
 * VMs follow reports 500 ms old and all choose the targets whose load was low.
 */
#define NO_TRUST_DISPERSION 2.0
#define FULL_TRUST_DISPERSION 1.5
#define MIN_TOTAL_MEAN 0.5
/* Without evidence, as with so many entry VMs that each has at most one
 * request at a target, the trust is one half. For 100 entry VMs at 95% load
 * this gave a 99th percentile of 27.6 ms, full trust 29.7 and no trust 29.9.
 */
#define PRIOR_VARIANCE 0.05
#define PRIOR_SLOPE 0.375
#define STRAGGLER_RETRY_WEIGHT 0.5

/* Initializes the state that all targets of a service share. */
void
rp_route_pool_init(struct rp_route_pool *pool, uint32_t deciders)
{
    memset(pool, 0, sizeof(*pool));
    pool->deciders = deciders;
    pool->trust = 0.5;
}

/* Initializes a target. local: it is in the failure domain of this entry VM.
 * slots of 0 stand for 1. */
void
rp_route_init(struct rp_route_target *target, uint32_t slots, bool local)
{
    memset(target, 0, sizeof(*target));
    target->slots = slots > 0 ? slots : 1;
    target->slots_inverse = 1 / target->slots;
    target->cross_domain_ns = local ? 0 : RP_ROUTE_CROSS_DOMAIN_NS;
}

/* Records a request sent to the target. */
void
rp_route_record_sent(struct rp_route_target *target, bool is_long,
                     int64_t now_ns)
{
    if (!is_long && target->in_flight == target->long_in_flight) {
        target->pending_since_ns = now_ns;
    }
    target->in_flight++;
    target->long_in_flight += is_long;
}

/* Records the end of a request, whatever its outcome. */
void
rp_route_record_end(struct rp_route_target *target, bool is_long,
                    int64_t now_ns)
{
    if (target->in_flight > 0) {
        target->in_flight--;
    }
    if (is_long && target->long_in_flight > 0) {
        target->long_in_flight--;
    }
    /* A call that was sent as long may end as a short one. */
    target->long_in_flight = MIN(target->long_in_flight, target->in_flight);
    if (!is_long) {
        target->pending_since_ns = now_ns;
    }
}

/* Adds the response time of a short request to the averages of the target and
 * of all targets. */
void
rp_route_record_answer(struct rp_route_target *target,
                       struct rp_route_pool *pool, int64_t response_ns,
                       int64_t now_ns)
{
    double sample = fmax((double)response_ns - target->cross_domain_ns, 1);
    if (pool->samples >= MIN_POOL_SAMPLES) {
        sample = fmin(sample, MAX_SAMPLE_RATIO * pool->response_ns);
    }
    if (pool->samples < POOL_SAMPLES) {
        pool->samples++;
    }
    pool->response_ns += (sample - pool->response_ns) / pool->samples;
    if (!target->sampled) {
        target->response_ns = pool->response_ns;
        target->sampled = true;
    }
    /* The answer to a straggler's trial request weighs more; otherwise
     * recovery would take dozens of trials. */
    bool trial = rp_route_is_straggler(target, pool) &&
                 now_ns - target->sample_ns >= RP_ROUTE_STRAGGLER_RETRY_NS;
    double weight = trial ? STRAGGLER_RETRY_WEIGHT : RESPONSE_WEIGHT;
    target->response_ns += weight * (sample - target->response_ns);
    target->sample_ns = now_ns;
}

/* Updates the trust in reports by whether they are fresh and whether entry VMs
 * herd on them. A fresh report contains the requests of this entry VM, so that
 * the slope of the reported total over the local count is near 1. It is near 0
 * when reports lag by more than a few response times or are wrong. */
static void
update_trust(struct rp_route_target *target, struct rp_route_pool *pool,
             double total)
{
    double local = target->in_flight;
    double local_offset = local - target->local_mean;
    double total_offset = total - target->total_mean;
    target->local_mean += MEAN_WEIGHT * local_offset;
    target->total_mean += MEAN_WEIGHT * total_offset;
    pool->covariance +=
        TRUST_WEIGHT * (local_offset * total_offset - pool->covariance);
    pool->variance +=
        TRUST_WEIGHT * (local_offset * local_offset - pool->variance);
    pool->total_variance +=
        TRUST_WEIGHT * (total_offset * total_offset - pool->total_variance);
    pool->total_mean += TRUST_WEIGHT * (total - pool->total_mean);
    double slope = (pool->covariance + PRIOR_VARIANCE * PRIOR_SLOPE) /
                   (pool->variance + PRIOR_VARIANCE);
    double slope_trust =
        (slope - NO_TRUST_SLOPE) / (FULL_TRUST_SLOPE - NO_TRUST_SLOPE);
    double dispersion =
        pool->total_variance / fmax(pool->total_mean, MIN_TOTAL_MEAN);
    double dispersion_trust = (NO_TRUST_DISPERSION - dispersion) /
                              (NO_TRUST_DISPERSION - FULL_TRUST_DISPERSION);
    pool->trust = fmin(fmax(fmin(slope_trust, dispersion_trust), 0), 1);
}

/* Records a load report that was made age_ns ago. Reports older than the
 * latest one are ignored. */
void
rp_route_record_report(struct rp_route_target *target,
                       struct rp_route_pool *pool,
                       const struct rp_load_report *load, int64_t age_ns,
                       int64_t now_ns)
{
    int64_t made_ns = now_ns - age_ns;
    if (target->reported && made_ns < target->report_ns) {
        return;
    }
    double total = (double)load->in_flight + load->queued;
    double remote = fmax(total - target->in_flight, 0);
    if (!target->reported) {
        target->local_mean = target->in_flight;
        target->total_mean = total;
    }
    if (age_ns == 0) {
        update_trust(target, pool, total);
    }
    target->remote_mean =
        target->reported ? target->remote_mean +
                               REMOTE_WEIGHT * (remote - target->remote_mean)
                         : remote;
    target->remote_last = remote;
    target->report_ns = made_ns;
    target->reported = true;
}

/* Handles a pause of the process: replaces the latest report by the average
 * and restarts the wait for answers, which may be unread in the sockets. */
void
rp_route_handle_pause(struct rp_route_target *target, int64_t now_ns)
{
    target->remote_last = target->remote_mean;
    target->pending_since_ns = now_ns;
}
