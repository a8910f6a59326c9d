#include "route.h"

#include <math.h>
#include <string.h>

/* Weight of one answer in the response time of its target. The spread of the
 * average of exponential times is then about 13%. */
#define RESPONSE_WEIGHT (1.0 / 32)
/* One answer counts for at most this multiple of the usual response time, or
 * a single one of a heavy tail would make its target a straggler. */
#define MOST_SAMPLE 5.0
/* The usual response time is a plain mean of the answers at first. */
#define POOL_SAMPLES 256
#define LEAST_POOL_SAMPLES 32
/* With 1/8 the noise of single reports moved load without need. */
#define OTHERS_WEIGHT (1.0 / 32)
/* The means only cover about 8 reports: slow changes of the demand move own
 * requests and totals alike even when reports are old. */
#define MEAN_WEIGHT (1.0 / 8)
#define TRUST_WEIGHT (1.0 / 256)
/* Slopes from none to full trust. In trials the slope was 0.5 to 1 with fresh
 * reports; others send less to a target while this entry VM sends more, so
 * that it does not reach 1. With reports 50 ms old it was 0.1 to 0.2. */
#define NO_TRUST_SLOPE 0.25
#define FULL_TRUST_SLOPE 0.5
/* Ratios of variance and mean of reported totals from none to full trust. It
 * was up to 1.9 with fresh reports and 2 to 20 while 100 entry VMs herded on
 * reports 500 ms old: all went where the load had been low. */
#define NO_TRUST_SWING 2.0
#define FULL_TRUST_SWING 1.5
#define LEAST_LEVEL 0.5
/* Without evidence, as with so many entry VMs that each has one request at a
 * target at most, the trust is one half: own requests and reports together
 * were better than either alone (100 entry VMs at 95%: 27.6 ms at 99 in 100,
 * with full trust 29.7, with none 29.9). */
#define PRIOR_VARIANCE 0.05
#define PRIOR_SLOPE 0.375
#define RETRY_WEIGHT 0.5
/* Starts what the targets have in common. */
void
rp_route_pool_init(struct rp_route_pool *pool, uint32_t deciders)
{
    memset(pool, 0, sizeof(*pool));
    pool->deciders = deciders;
    pool->trust = 0.5;
}

/* Starts the view of a target. local tells that it is in the failure domain
 * of this entry VM; slots of 0 stand for 1. */
void
rp_route_init(struct rp_route_target *target, uint32_t slots, bool local)
{
    memset(target, 0, sizeof(*target));
    target->slots = slots > 0 ? slots : 1;
    target->slots_inverse = 1 / target->slots;
    target->domain_ns = local ? 0 : RP_ROUTE_DOMAIN_NS;
}

/* Counts a request sent to the target. */
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

/* Counts the end of a request, however it ended. */
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
    /* A call may be found to be short only while it runs. */
    target->long_in_flight = MIN(target->long_in_flight, target->in_flight);
    if (!is_long) {
        target->pending_since_ns = now_ns;
    }
}

/* Takes the response time of a short request into the averages of the target
 * and of the pool. */
void
rp_route_record_answer(struct rp_route_target *target,
                       struct rp_route_pool *pool, int64_t response_ns,
                       int64_t now_ns)
{
    double sample = fmax((double)response_ns - target->domain_ns, 1);
    if (pool->samples >= LEAST_POOL_SAMPLES) {
        sample = fmin(sample, MOST_SAMPLE * pool->response_ns);
    }
    if (pool->samples < POOL_SAMPLES) {
        pool->samples++;
    }
    pool->response_ns += (sample - pool->response_ns) / pool->samples;
    if (!target->sampled) {
        target->response_ns = pool->response_ns;
        target->sampled = true;
    }
    /* One request was sent to see whether a straggler has recovered: its
     * answer weighs more, or recovery would take dozens of trials. */
    bool trial = rp_route_is_straggler(target, pool) &&
                 now_ns - target->sample_ns >= RP_ROUTE_RETRY_STRAGGLER_NS;
    double weight = trial ? RETRY_WEIGHT : RESPONSE_WEIGHT;
    target->response_ns += weight * (sample - target->response_ns);
    target->sample_ns = now_ns;
}

/* Learns whether reports are fresh, and whether entry VMs herd on them. A
 * fresh report contains the requests of this entry VM, so that the two vary
 * together: the slope of the reported total over the own count is near 1. It
 * is near 0 when reports lag by more than a few response times, or mislead. */
static void
learn_trust(struct rp_route_target *target, struct rp_route_pool *pool,
            double total)
{
    double own = target->in_flight;
    double own_off = own - target->own_mean;
    double total_off = total - target->total_mean;
    target->own_mean += MEAN_WEIGHT * own_off;
    target->total_mean += MEAN_WEIGHT * total_off;
    pool->covariance +=
        TRUST_WEIGHT * (own_off * total_off - pool->covariance);
    pool->variance += TRUST_WEIGHT * (own_off * own_off - pool->variance);
    pool->total_variance +=
        TRUST_WEIGHT * (total_off * total_off - pool->total_variance);
    pool->total_level += TRUST_WEIGHT * (total - pool->total_level);
    double slope = (pool->covariance + PRIOR_VARIANCE * PRIOR_SLOPE) /
                   (pool->variance + PRIOR_VARIANCE);
    double trust =
        (slope - NO_TRUST_SLOPE) / (FULL_TRUST_SLOPE - NO_TRUST_SLOPE);
    double swing = pool->total_variance / fmax(pool->total_level, LEAST_LEVEL);
    double calm =
        (NO_TRUST_SWING - swing) / (NO_TRUST_SWING - FULL_TRUST_SWING);
    pool->trust = fmin(fmax(fmin(trust, calm), 0), 1);
}

/* Takes a load report that was made age_ns ago. An older one than that known
 * is passed over. */
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
    double others = fmax(total - target->in_flight, 0);
    if (!target->reported) {
        target->own_mean = target->in_flight;
        target->total_mean = total;
    }
    if (age_ns == 0) {
        learn_trust(target, pool, total);
    }
    target->others_mean =
        target->reported ? target->others_mean +
                               OTHERS_WEIGHT * (others - target->others_mean)
                         : others;
    target->others_last = others;
    target->report_ns = made_ns;
    target->reported = true;
}

/* Forgets momentary knowledge after a pause of the process: what was owed is
 * counted from now, as answers may wait in the sockets. */
void
rp_route_forget(struct rp_route_target *target, int64_t now_ns)
{
    target->others_last = target->others_mean;
    target->pending_since_ns = now_ns;
}
