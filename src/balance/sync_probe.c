#include "sync_probe.h"

#include <math.h>
#include <string.h>

/* Weight of one report in the means of a service, which cover about the last
 * 64 reports. */
#define REPORT_WEIGHT (1.0 / 64)
/* The median moves by this share per answer, faster at first because it starts
 * from a single sample. */
#define INITIAL_MEDIAN_STEP 0.3
#define MEDIAN_STEP 0.02
#define MIN_SAMPLES 16
/* Time of a call before the first answer. */
#define DEFAULT_USUAL_NS 100000000.0
/* Weight of one answer in the excess of a target. A call of several times the
 * usual length has no effect after a few more answers. */
#define EXCESS_WEIGHT 0.25
/* A smaller excess is ignored, because reports show it sooner. */
#define MIN_EXCESS_RATIO 1.5
/* Limits the effect of a single answer on the mean. */
#define MAX_EXCESS_RATIO 10.0
/* Lower bound of the slowness by which a response time is divided. */
#define MIN_SLOWNESS 0.1
/* Time constant of the decay of an excess. */
#define EXCESS_DECAY_NS 1000000000.0
/* Targets slow down when nearly all slots are in use. */
#define NEAR_CAPACITY_UTILIZATION 0.8
/* Time on a target near capacity as a multiple of the usual time: its initial
 * value, its upper bound and the weight of one answer. */
#define INITIAL_NEAR_CAPACITY_COST 1.2
#define MAX_NEAR_CAPACITY_COST 3.0
#define NEAR_CAPACITY_WEIGHT (1.0 / 32)
/* A request beyond the slots keeps a slot busy while the next request is on
 * its way. */
#define MAX_REQUESTS_BEYOND_SLOTS 1.0
/* A call that takes longer than this multiple of the usual time either runs
 * several times as long or runs on a machine that has just become slow. */
#define HEDGE_DELAY_RATIO 1.7
/* Most calls end before this multiple, so that an earlier hedge is wasted. */
#define MIN_HEDGE_DELAY_RATIO 1.3
/* Time that most hedges take as a multiple of the usual time, and the time for
 * the request and the answer to travel, which the latency goal includes. */
#define HEDGE_DURATION_RATIO 1.2
#define HEDGE_TRANSIT_NS INT64_C(20000000)
/* Mean utilization above which hedges would displace fresh calls. */
#define HEDGE_MAX_UTILIZATION 0.7
/* After this many answers without a slowness, the service's targets are
 * assumed not to report it. */
#define MAX_ANSWERS_WITHOUT_SLOWNESS 3
/* Cooldown of a target after a failed call, doubled for each consecutive one.
 * The first is short, since targets fail single calls; the last is as long as
 * the replacement of a target takes. */
#define BASE_COOLDOWN_NS INT64_C(500000000)
#define MAX_CONSECUTIVE_FAULTS 4
/* A target that fails a part of its calls seldom fails this many in a row. */
#define FAILING_FAULTS 3
/* Lets a new process probe targets for its first calls. */
#define INITIAL_PROBE_TOKENS 2.0
/* Largest burst of probes after an idle time, in seconds of the rate. */
#define PROBE_BURST_S 4.0

/* Initializes the shared state of a service without data. */
void
rp_sync_probe_pool_init(struct rp_sync_probe_pool *pool)
{
    memset(pool, 0, sizeof(*pool));
    pool->slowness = 1;
    rp_usual_time_init(&pool->routes);
    pool->near_capacity_cost = INITIAL_NEAR_CAPACITY_COST;
}

/* Returns whether targets are probed before calls. Until the first report
 * they are, if the record allows it: otherwise all processes that have just
 * started would send their first calls without any load data. */
bool
rp_sync_probe_in_use(const struct rp_sync_probe_pool *pool)
{
    return pool->has_slowness ||
           (pool->enabled &&
            pool->answers_without_slowness < MAX_ANSWERS_WITHOUT_SLOWNESS);
}

/* Records a probe answer that carries no slowness. */
void
rp_sync_probe_record_missing_slowness(struct rp_sync_probe_pool *pool)
{
    pool->answers_without_slowness++;
}

/* Initializes a target without data. */
void
rp_sync_probe_init(struct rp_sync_probe_target *target, int64_t now_ns)
{
    memset(target, 0, sizeof(*target));
    target->slowness = 1;
    target->excess_ratio = 1;
    target->tokens_updated_ns = now_ns;
    target->probe_tokens = INITIAL_PROBE_TOKENS;
}

static double
smooth(double mean, double sample, double weight)
{
    return mean + weight * (sample - mean);
}

/* Records a load report made at now_ns. Reports without a slowness are
 * ignored. */
void
rp_sync_probe_record_report(struct rp_sync_probe_target *target,
                            struct rp_sync_probe_pool *pool,
                            const struct rp_load_report *load, int64_t now_ns)
{
    if (load->slowness_percent == 0) {
        return;
    }
    target->reported = true;
    target->report_ns = now_ns;
    target->slowness = load->slowness_percent / 100.0;
    target->reported_requests = (double)load->in_flight + load->queued;
    target->probe_failures = 0;
    if (load->slots > 0) {
        pool->mean_utilization =
            smooth(pool->mean_utilization,
                   target->reported_requests / load->slots, REPORT_WEIGHT);
    }
    pool->slowness = smooth(pool->slowness, target->slowness, REPORT_WEIGHT);
    pool->has_slowness = true;
}

/* Records a request sent to the target. */
void
rp_sync_probe_record_sent(struct rp_sync_probe_target *target, int64_t now_ns)
{
    target->sends_ns[target->send_count++ % RP_SYNC_PROBE_RECENT_SENDS] =
        now_ns;
    if (target->consecutive_faults >= FAILING_FAULTS) {
        target->fault_ns = now_ns; /* one call at a time */
    }
}

/* Records the response time of a request of a route. expected_slowness and
 * near_capacity are those of the target when the request was sent. */
void
rp_sync_probe_record_answer(struct rp_sync_probe_target *target,
                            struct rp_sync_probe_pool *pool, uint64_t route,
                            double expected_slowness, bool near_capacity,
                            int64_t response_ns, int64_t now_ns)
{
    double time = (double)response_ns / fmax(expected_slowness, MIN_SLOWNESS);
    if (near_capacity && pool->samples >= MIN_SAMPLES) {
        double cost = fmin(time / rp_sync_probe_usual_ns(pool, route),
                           2 * MAX_NEAR_CAPACITY_COST);
        pool->near_capacity_cost =
            smooth(pool->near_capacity_cost, cost, NEAR_CAPACITY_WEIGHT);
        pool->near_capacity_cost =
            fmax(1, fmin(pool->near_capacity_cost, MAX_NEAR_CAPACITY_COST));
        time /= pool->near_capacity_cost;
    }
    if (pool->samples == 0) {
        pool->usual_ns = time;
    }
    pool->samples++;
    double step =
        pool->samples < MIN_SAMPLES ? INITIAL_MEDIAN_STEP : MEDIAN_STEP;
    pool->usual_ns *= time > pool->usual_ns ? 1 + step : 1 - step;
    rp_usual_time_record(&pool->routes, route, time);
    double usual = rp_sync_probe_usual_ns(pool, route);
    double excess = fmin(time / fmax(usual, 1), MAX_EXCESS_RATIO);
    target->excess_ratio = smooth(target->excess_ratio, excess, EXCESS_WEIGHT);
    target->excess_ns = now_ns;
    target->consecutive_faults = 0;
}

/* Records a call that the target answered with an error or broke off. A target
 * that fails calls at once is idle and reports a high speed, so that without a
 * cooldown every search would prefer it. */
void
rp_sync_probe_record_fault(struct rp_sync_probe_target *target, int64_t now_ns)
{
    target->consecutive_faults +=
        target->consecutive_faults < MAX_CONSECUTIVE_FAULTS ? 1 : 0;
    target->fault_ns = now_ns;
}

/* Returns the remaining cooldown after faults, or 0. A target in cooldown is
 * the last choice rather than excluded, since all targets may have faults. */
int64_t
rp_sync_probe_cooldown_ns(const struct rp_sync_probe_target *target,
                          int64_t now_ns)
{
    if (target->consecutive_faults == 0) {
        return 0;
    }
    int64_t end_ns = target->fault_ns +
                     (BASE_COOLDOWN_NS << (target->consecutive_faults - 1));
    return end_ns > now_ns ? end_ns - now_ns : 0;
}

/* Returns whether the target is in the cooldown of several faults in a row. It
 * then gets calls only if there is no other target. */
bool
rp_sync_probe_is_failing(const struct rp_sync_probe_target *target,
                         int64_t now_ns)
{
    return target->consecutive_faults >= FAILING_FAULTS &&
           rp_sync_probe_cooldown_ns(target, now_ns) > 0;
}

/* Returns whether one more request brings a target with this load near its
 * capacity. */
bool
rp_sync_probe_is_near_capacity(double load, double slots)
{
    return load + 1 > NEAR_CAPACITY_UTILIZATION * slots;
}

/* Returns the maximum number of requests at a target: its slots plus
 * MAX_REQUESTS_BEYOND_SLOTS, or fewer where targets near capacity have a lower
 * throughput. */
double
rp_sync_probe_max_load(const struct rp_sync_probe_pool *pool, double slots)
{
    double below_capacity = floor(NEAR_CAPACITY_UTILIZATION * slots);
    if (below_capacity >= 1 &&
        pool->near_capacity_cost * below_capacity > slots) {
        return below_capacity;
    }
    return slots + MAX_REQUESTS_BEYOND_SLOTS;
}

static double
mean_usual_ns(const struct rp_sync_probe_pool *pool)
{
    return pool->samples > 0 ? pool->usual_ns : DEFAULT_USUAL_NS;
}

/* Returns the time of a route's calls at usual speed. It is that of all calls
 * of the service while the route has few answers, and a default before the
 * first answer. */
double
rp_sync_probe_usual_ns(const struct rp_sync_probe_pool *pool, uint64_t route)
{
    double usual_ns = rp_usual_time_ns(&pool->routes, route);
    if (usual_ns > 0) {
        return usual_ns;
    }
    return mean_usual_ns(pool);
}

/* Returns whether the target's report is recent enough to use without a probe.
 */
bool
rp_sync_probe_is_fresh(const struct rp_sync_probe_target *target,
                       int64_t now_ns)
{
    return target->reported &&
           now_ns - target->report_ns <= RP_SYNC_PROBE_FRESH_NS;
}

static double
report_weight(const struct rp_sync_probe_target *target, int64_t now_ns)
{
    if (!target->reported) {
        return 0;
    }
    double age_ns = (double)(now_ns - target->report_ns);
    return exp(-age_ns / (double)RP_SYNC_PROBE_DECAY_NS);
}

/* Estimates the requests at the target: the reported number, which decays to
 * the mean of the service, plus local sends since the report. */
double
rp_sync_probe_load(const struct rp_sync_probe_target *target,
                   const struct rp_sync_probe_pool *pool, double slots,
                   int64_t now_ns)
{
    double weight = report_weight(target, now_ns);
    uint32_t sent_since = 0;
    uint32_t count = target->send_count < RP_SYNC_PROBE_RECENT_SENDS
                         ? target->send_count
                         : RP_SYNC_PROBE_RECENT_SENDS;
    int64_t from_ns =
        target->reported ? target->report_ns : now_ns - RP_SYNC_PROBE_DECAY_NS;
    if (now_ns - from_ns > RP_SYNC_PROBE_DECAY_NS) {
        from_ns = now_ns - RP_SYNC_PROBE_DECAY_NS;
    }
    for (uint32_t i = 0; i < count; i++) {
        sent_since += target->sends_ns[i] >= from_ns ? 1 : 0;
    }
    return weight * target->reported_requests +
           (1 - weight) * pool->mean_utilization * slots + sent_since;
}

/* Estimates the slowness of a call that starts now; 1: usual speed. */
double
rp_sync_probe_slowness(const struct rp_sync_probe_target *target,
                       const struct rp_sync_probe_pool *pool, int64_t now_ns)
{
    double weight = report_weight(target, now_ns);
    return weight * target->slowness + (1 - weight) * pool->slowness;
}

/* Returns the expected response time: the time of a route's call, longer on a
 * slow target or near capacity, and the wait for a slot. */
double
rp_sync_probe_expected_ns(const struct rp_sync_probe_target *target,
                          const struct rp_sync_probe_pool *pool,
                          uint64_t route, double slots, int64_t now_ns)
{
    double usual = rp_sync_probe_usual_ns(pool, route);
    double load = rp_sync_probe_load(target, pool, slots, now_ns);
    double expected_ns = usual * rp_sync_probe_slowness(target, pool, now_ns);
    double trust =
        exp(-(double)(now_ns - target->excess_ns) / EXCESS_DECAY_NS);
    double excess = 1 + trust * (target->excess_ratio - 1);
    if (excess > MIN_EXCESS_RATIO) {
        expected_ns *= excess;
    }
    if (rp_sync_probe_is_near_capacity(load, slots)) {
        expected_ns *= pool->near_capacity_cost;
    }
    double queued = fmax(load + 1 - slots, 0);
    return expected_ns +
           queued * mean_usual_ns(pool) * pool->slowness / fmax(slots, 1);
}

/* Returns whether utilization is low enough for hedges. */
bool
rp_sync_probe_allows_hedge(const struct rp_sync_probe_pool *pool)
{
    return pool->mean_utilization < HEDGE_MAX_UTILIZATION;
}

/* Returns how long a route's call to a fast target may go without an answer
 * before a hedge is worthwhile, or INT64_MAX while that is unknown. It is
 * sooner if the hedge would otherwise miss the latency goal aim_ns, 0 for
 * none. At targets with few slots, half of the goal is used until enough calls
 * have been answered: it leaves as much time to the hedge. */
int64_t
rp_sync_probe_hedge_delay_ns(const struct rp_sync_probe_pool *pool,
                             uint64_t route, int64_t aim_ns)
{
    if (pool->samples < MIN_SAMPLES) {
        return pool->coarse && aim_ns > 0 ? aim_ns / 2 : INT64_MAX;
    }
    double usual_ns = rp_sync_probe_usual_ns(pool, route);
    double latest_ns =
        (double)(aim_ns - HEDGE_TRANSIT_NS) - HEDGE_DURATION_RATIO * usual_ns;
    double delay_ns = HEDGE_DELAY_RATIO * usual_ns;
    if (aim_ns > 0 && latest_ns < delay_ns) {
        delay_ns = fmax(latest_ns, MIN_HEDGE_DELAY_RATIO * usual_ns);
    }
    return (int64_t)delay_ns;
}

/* Returns whether the target's budget allows a probe and none is in flight. */
bool
rp_sync_probe_may_probe(const struct rp_sync_probe_target *target,
                        double probes_per_s, int64_t now_ns)
{
    double gained_tokens =
        (double)(now_ns - target->tokens_updated_ns) / 1e9 * probes_per_s;
    return target->probe_ns == 0 && target->probe_tokens + gained_tokens >= 1;
}

/* Consumes a probe of the target's budget and records its start. */
void
rp_sync_probe_record_start(struct rp_sync_probe_target *target,
                           struct rp_sync_probe_pool *pool,
                           double probes_per_s, int64_t now_ns)
{
    double gained_tokens =
        (double)(now_ns - target->tokens_updated_ns) / 1e9 * probes_per_s;
    double max_tokens =
        fmax(PROBE_BURST_S * probes_per_s, INITIAL_PROBE_TOKENS);
    target->tokens_updated_ns = now_ns;
    target->probe_tokens =
        fmin(target->probe_tokens + gained_tokens, max_tokens) - 1;
    target->probe_ns = now_ns;
    pool->probes_in_flight++;
}

/* Records the end of a probe; answered: it got an answer in time. */
void
rp_sync_probe_record_end(struct rp_sync_probe_target *target,
                         struct rp_sync_probe_pool *pool, bool answered,
                         int64_t now_ns)
{
    if (target->probe_ns != 0 && pool->probes_in_flight > 0) {
        pool->probes_in_flight--;
    }
    target->probe_ns = 0;
    if (answered) {
        target->probe_failures = 0;
        return;
    }
    target->probe_failures++;
    target->probe_failed_ns = now_ns;
}
