#include "route.h"

#include <math.h>
#include <string.h>

/* Weight of one answer in the response time of its target. The spread of the
 * average of exponential times is then about 13%. */
#define RESPONSE_WEIGHT (1.0 / 32)
#define POOL_WEIGHT (1.0 / 256)
#define OTHERS_WEIGHT (1.0 / 8)
/* A target below this multiple of the usual response time counts as usual:
 * smaller differences are mostly noise, and following noise moves load
 * without need. Above it, it is a straggler. */
#define STRAGGLER_RATIO 1.5
/* A straggler without traffic is tried again with one request after this. */
#define RETRY_STRAGGLER_NS 1000000000
#define RETRY_WEIGHT 0.5
/* An answer is overdue after this multiple of the usual response time; 2% of
 * exponential times are longer. */
#define OVERDUE_RATIO 4.0
/* Variance of the estimate of others' requests, as a multiple of them. */
#define OTHERS_SPREAD 0.5
#define LEAST_SPREAD 0.02
/* Keeps waits in the cost before the first answer. */
#define LEAST_RESPONSE_NS 100000.0

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
rp_route_sent(struct rp_route_target *target, bool is_long, int64_t now_ns)
{
    if (!is_long && target->in_flight == target->long_in_flight) {
        target->owed_ns = now_ns;
    }
    target->in_flight++;
    target->long_in_flight += is_long;
}

/* Counts the end of a request, however it ended. */
void
rp_route_ended(struct rp_route_target *target, bool is_long, int64_t now_ns)
{
    if (target->in_flight > 0) {
        target->in_flight--;
    }
    if (is_long && target->long_in_flight > 0) {
        target->long_in_flight--;
    }
    if (!is_long) {
        target->owed_ns = now_ns;
    }
}

/* Takes the response time of a short request into the averages of the target
 * and of the pool. */
void
rp_route_answered(struct rp_route_target *target, struct rp_route_pool *pool,
                  int64_t response_ns, int64_t now_ns)
{
    double sample = fmax((double)response_ns - target->domain_ns, 1);
    if (pool->response_ns <= 0) {
        pool->response_ns = sample;
    }
    if (!target->sampled) {
        target->response_ns = pool->response_ns;
        target->sampled = true;
    }
    /* One request was sent to see whether a straggler has recovered: its
     * answer weighs more, or recovery would take dozens of trials. */
    bool trial = rp_route_is_straggler(target, pool) &&
                 now_ns - target->sample_ns >= RETRY_STRAGGLER_NS;
    double weight = trial ? RETRY_WEIGHT : RESPONSE_WEIGHT;
    target->response_ns += weight * (sample - target->response_ns);
    target->sample_ns = now_ns;
    pool->response_ns += POOL_WEIGHT * (sample - pool->response_ns);
}

/* Takes a load report that was made age_ns ago. An older one than that known
 * is passed over. */
void
rp_route_reported(struct rp_route_target *target,
                  const struct rp_load_report *load, int64_t age_ns,
                  int64_t now_ns)
{
    int64_t made_ns = now_ns - age_ns;
    if (target->reported && made_ns < target->report_ns) {
        return;
    }
    double total = (double)load->in_flight + load->queued;
    double others = fmax(total - target->in_flight, 0);
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
    target->owed_ns = now_ns;
}

/* Estimates the requests of other entry VMs at the target. A report loses
 * weight with its age in favour of the target's own average, never of the
 * pool's: a rule that let old reports decay to the pool's mean sent ever more
 * work to a target that had stopped answering (Mitzenmacher, How Useful Is
 * Old Information, 2000). Without any report, others are taken to do as this
 * entry VM does. */
double
rp_route_others(const struct rp_route_target *target,
                const struct rp_route_pool *pool, int64_t now_ns)
{
    if (pool->deciders <= 1) {
        return 0;
    }
    if (!target->reported) {
        return (double)target->in_flight * (pool->deciders - 1);
    }
    double age = (double)(now_ns - target->report_ns);
    double weight = pool->response_ns / (pool->response_ns + age + 1);
    return target->others_mean +
           weight * (target->others_last - target->others_mean);
}

/* Returns whether the target is slower than noise explains. */
bool
rp_route_is_straggler(const struct rp_route_target *target,
                      const struct rp_route_pool *pool)
{
    return target->sampled &&
           target->response_ns > STRAGGLER_RATIO * pool->response_ns;
}

/* Returns the expected time until an answer of the target: network, wait for
 * a slot, time in the slot, and how long an answer is overdue. The wait is the
 * expected excess of requests over slots; others' requests are uncertain, so
 * it rises smoothly as the slots fill. Queue and response time together rank
 * targets as in C3 (NSDI 2015) and Prequal (NSDI 2024). */
double
rp_route_cost_ns(const struct rp_route_target *target,
                 const struct rp_route_pool *pool, double others,
                 int64_t now_ns)
{
    double service = fmax(pool->response_ns, LEAST_RESPONSE_NS);
    if (rp_route_is_straggler(target, pool) &&
        (target->in_flight > 0 ||
         now_ns - target->sample_ns < RETRY_STRAGGLER_NS))
    {
        service = target->response_ns;
    }
    double excess = target->in_flight + others + 1 - target->slots;
    double spread = OTHERS_SPREAD * others + LEAST_SPREAD;
    double waiting = 0.5 * (excess + sqrt(excess * excess + spread));
    double cost =
        target->domain_ns + service * (1 + waiting * target->slots_inverse);
    if (target->in_flight > target->long_in_flight) {
        double overdue = (double)(now_ns - target->owed_ns) -
                         OVERDUE_RATIO * pool->response_ns;
        cost += fmax(overdue, 0);
    }
    return cost;
}
