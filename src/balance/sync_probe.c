#include "sync_probe.h"

#include <math.h>
#include <string.h>

/* Of one report in the means of a service, which are those of about the last
 * 64 reports. */
#define MEAN_WEIGHT (1.0 / 64)
/* The median moves by this share for each answer; quickly for the first ones,
 * which start from a single sample. */
#define FIRST_STEP 0.3
#define STEP 0.02
#define FIRST_SAMPLES 16
/* Time of a call before the first answer: a guess. */
#define UNKNOWN_USUAL_NS 100000000.0
/* Of one answer in the excess of a target: a run of several times the usual
 * length is forgotten after a few answers. */
#define EXCESS_WEIGHT 0.25
/* A smaller excess is left to the reports, which tell it sooner. Set by
 * judgement, not measured. */
#define EXCESS_TRUSTED 1.5
/* Bounds what a single answer can do to the mean. */
#define MOST_EXCESS 10.0
/* Least slowness that a time is divided by. */
#define LEAST_SLOWNESS 0.1
/* Time constant with which an excess is forgotten. */
#define EXCESS_MEMORY_NS 1000000000.0
/* Targets slow down when nearly all slots are taken. */
#define CROWDED_SHARE 0.8
/* Time on a crowded target as a multiple of the usual: a guess before the
 * first answers, a bound for what they can make of it, and the weight of one.
 */
#define FIRST_CROWDED_COST 1.2
#define MOST_CROWDED_COST 3.0
#define CROWDED_WEIGHT (1.0 / 32)
/* Requests beyond the slots keep a slot from being idle while the next
 * request is on its way. */
#define BEYOND_SLOTS 1.0
/* A call that has taken this multiple of the usual time is one of the few that
 * run several times as long, or met a machine that had just become slow. */
#define HEDGE_LATE 1.7
/* Mean share of slots in use above which hedges would displace fresh calls. */
#define HEDGE_MOST_CROWDED 0.7
/* Answers without a speed after which the targets of a service are taken not
 * to tell it. */
#define UNTOLD_ANSWERS 3
/* Rest of a target after a call that it failed, doubled for each further one
 * in a row. The first is forgotten soon, since targets fail single calls; the
 * last is as long as a target takes to be replaced. */
#define FIRST_REST_NS INT64_C(500000000)
#define MOST_FAULTS 4
/* For the first calls of a process that knows no target yet. */
#define FIRST_PROBES 2.0
/* Probes that may come at once after a quiet time, in seconds of the rate. */
#define PROBE_BURST_S 4.0

/* Starts without knowledge of the service. */
void
rp_sync_probe_pool_init(struct rp_sync_probe_pool *pool)
{
    memset(pool, 0, sizeof(*pool));
    pool->slowness = 1;
    pool->crowded_cost = FIRST_CROWDED_COST;
}

/* Returns whether targets are asked before calls. Until the first report that
 * is tried where it is wanted: a process that has just started would else send
 * its first calls to targets of which it knows nothing, together with all
 * others that have just started. */
bool
rp_sync_probe_in_use(const struct rp_sync_probe_pool *pool)
{
    return pool->has_slowness ||
           (pool->wanted && pool->untold < UNTOLD_ANSWERS);
}

/* Takes note of an answer that does not tell the speed of its target. */
void
rp_sync_probe_untold(struct rp_sync_probe_pool *pool)
{
    pool->untold++;
}

/* Starts without knowledge of the target. */
void
rp_sync_probe_init(struct rp_sync_probe_target *target, int64_t now_ns)
{
    memset(target, 0, sizeof(*target));
    target->slowness = 1;
    target->excess = 1;
    target->token_ns = now_ns;
    target->probe_tokens = FIRST_PROBES;
}

static double
smooth(double mean, double sample, double weight)
{
    return mean + weight * (sample - mean);
}

/* Takes over a report that an answer brought. */
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
    target->at_target = (double)load->in_flight + load->queued;
    target->failures = 0;
    if (load->slots > 0) {
        pool->mean_utilization =
            smooth(pool->mean_utilization, target->at_target / load->slots,
                   MEAN_WEIGHT);
    }
    pool->slowness = smooth(pool->slowness, target->slowness, MEAN_WEIGHT);
    pool->has_slowness = true;
}

/* Takes note of a request sent to the target. */
void
rp_sync_probe_record_sent(struct rp_sync_probe_target *target, int64_t now_ns)
{
    target->sends_ns[target->send_count++ % RP_SYNC_PROBE_SENDS] = now_ns;
}

/* Takes note of the time of an answer to a request that was sent to a target
 * of the given slowness. */
void
rp_sync_probe_record_answer(struct rp_sync_probe_target *target,
                            struct rp_sync_probe_pool *pool,
                            double expected_slowness, bool crowded,
                            int64_t response_ns, int64_t now_ns)
{
    double usual =
        (double)response_ns / fmax(expected_slowness, LEAST_SLOWNESS);
    if (crowded && pool->samples >= FIRST_SAMPLES) {
        double cost = fmin(usual / pool->usual_ns, 2 * MOST_CROWDED_COST);
        pool->crowded_cost = smooth(pool->crowded_cost, cost, CROWDED_WEIGHT);
        pool->crowded_cost =
            fmax(1, fmin(pool->crowded_cost, MOST_CROWDED_COST));
        usual /= pool->crowded_cost;
    }
    if (pool->samples == 0) {
        pool->usual_ns = usual;
    }
    pool->samples++;
    double step = pool->samples < FIRST_SAMPLES ? FIRST_STEP : STEP;
    pool->usual_ns *= usual > pool->usual_ns ? 1 + step : 1 - step;
    double excess = fmin(usual / fmax(pool->usual_ns, 1), MOST_EXCESS);
    target->excess = smooth(target->excess, excess, EXCESS_WEIGHT);
    target->excess_ns = now_ns;
    target->faults = 0;
}

/* Takes note of a call that the target answered with an error or broke off.
 * One that fails at once is idle and says that it is quick, so that every
 * search would find it first. */
void
rp_sync_probe_record_fault(struct rp_sync_probe_target *target, int64_t now_ns)
{
    target->faults += target->faults < MOST_FAULTS ? 1 : 0;
    target->fault_ns = now_ns;
}

/* Returns for how much longer a target rests after faults; 0 for one that does
 * not. A resting one is the last choice, not excluded: all may have faults. */
int64_t
rp_sync_probe_cooldown_ns(const struct rp_sync_probe_target *target,
                          int64_t now_ns)
{
    if (target->faults == 0) {
        return 0;
    }
    int64_t end_ns =
        target->fault_ns + (FIRST_REST_NS << (target->faults - 1));
    return end_ns > now_ns ? end_ns - now_ns : 0;
}

/* Returns whether one more request crowds a target with that load. */
bool
rp_sync_probe_is_crowded(double load, double slots)
{
    return load + 1 > CROWDED_SHARE * slots;
}

/* Returns how many requests a target is given at most: one more than its
 * slots, or fewer where a crowded target does less work in all than one that
 * is not. */
double
rp_sync_probe_max_load(const struct rp_sync_probe_pool *pool, double slots)
{
    double uncrowded = floor(CROWDED_SHARE * slots);
    if (uncrowded >= 1 && pool->crowded_cost * uncrowded > slots) {
        return uncrowded;
    }
    return slots + BEYOND_SLOTS;
}

/* Returns the time of a call at usual speed, also before the first answer. */
double
rp_sync_probe_usual_ns(const struct rp_sync_probe_pool *pool)
{
    return pool->samples > 0 ? pool->usual_ns : UNKNOWN_USUAL_NS;
}

/* Returns whether the report is worth following without asking again. */
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
    return exp(-age_ns / (double)RP_SYNC_PROBE_MEMORY_NS);
}

/* Estimates the requests at the target: those of the report, which are
 * forgotten in favour of the mean of the service, and own ones since. */
double
rp_sync_probe_load(const struct rp_sync_probe_target *target,
                   const struct rp_sync_probe_pool *pool, double slots,
                   int64_t now_ns)
{
    double weight = report_weight(target, now_ns);
    uint32_t since = 0;
    uint32_t count = target->send_count < RP_SYNC_PROBE_SENDS
                         ? target->send_count
                         : RP_SYNC_PROBE_SENDS;
    int64_t from_ns = target->reported ? target->report_ns
                                       : now_ns - RP_SYNC_PROBE_MEMORY_NS;
    if (now_ns - from_ns > RP_SYNC_PROBE_MEMORY_NS) {
        from_ns = now_ns - RP_SYNC_PROBE_MEMORY_NS;
    }
    for (uint32_t i = 0; i < count; i++) {
        since += target->sends_ns[i] >= from_ns ? 1 : 0;
    }
    return weight * target->at_target +
           (1 - weight) * pool->mean_utilization * slots + since;
}

/* Estimates how slow a call would be that started now; 1 is usual. */
double
rp_sync_probe_slowness(const struct rp_sync_probe_target *target,
                       const struct rp_sync_probe_pool *pool, int64_t now_ns)
{
    double weight = report_weight(target, now_ns);
    return weight * target->slowness + (1 - weight) * pool->slowness;
}

/* Returns the expected time until an answer: the time of a call, longer on a
 * slow or crowded target, and the wait for a slot. */
double
rp_sync_probe_expected_ns(const struct rp_sync_probe_target *target,
                          const struct rp_sync_probe_pool *pool, double slots,
                          int64_t now_ns)
{
    double usual = rp_sync_probe_usual_ns(pool);
    double load = rp_sync_probe_load(target, pool, slots, now_ns);
    double run = usual * rp_sync_probe_slowness(target, pool, now_ns);
    double trust =
        exp(-(double)(now_ns - target->excess_ns) / EXCESS_MEMORY_NS);
    double excess = 1 + trust * (target->excess - 1);
    if (excess > EXCESS_TRUSTED) {
        run *= excess;
    }
    if (rp_sync_probe_is_crowded(load, slots)) {
        run *= pool->crowded_cost;
    }
    double behind = fmax(load + 1 - slots, 0);
    return run + behind * usual * pool->slowness / fmax(slots, 1);
}

/* Returns whether hedges leave enough slots to fresh calls. */
bool
rp_sync_probe_has_room(const struct rp_sync_probe_pool *pool)
{
    return pool->mean_utilization < HEDGE_MOST_CROWDED;
}

/* Returns after how long without an answer a call to a quick target is better
 * tried at another one, or INT64_MAX when that is not known. */
int64_t
rp_sync_probe_hedge_delay_ns(const struct rp_sync_probe_pool *pool)
{
    if (pool->samples < FIRST_SAMPLES) {
        return INT64_MAX;
    }
    return (int64_t)(HEDGE_LATE * pool->usual_ns);
}

/* Returns whether the target's budget has a probe. */
bool
rp_sync_probe_may_probe(const struct rp_sync_probe_target *target,
                        double probes_per_s, int64_t now_ns)
{
    double gained = (double)(now_ns - target->token_ns) / 1e9 * probes_per_s;
    return target->probe_ns == 0 && target->probe_tokens + gained >= 1;
}

/* Takes a probe out of the target's budget and notes that it is on its way. */
void
rp_sync_probe_record_start(struct rp_sync_probe_target *target,
                           struct rp_sync_probe_pool *pool,
                           double probes_per_s, int64_t now_ns)
{
    double gained = (double)(now_ns - target->token_ns) / 1e9 * probes_per_s;
    double most = fmax(PROBE_BURST_S * probes_per_s, FIRST_PROBES);
    target->token_ns = now_ns;
    target->probe_tokens = fmin(target->probe_tokens + gained, most) - 1;
    target->probe_ns = now_ns;
    pool->probes++;
}

/* Takes note of the end of a probe. */
void
rp_sync_probe_record_end(struct rp_sync_probe_target *target,
                         struct rp_sync_probe_pool *pool, bool answered,
                         int64_t now_ns)
{
    if (target->probe_ns != 0 && pool->probes > 0) {
        pool->probes--;
    }
    target->probe_ns = 0;
    if (answered) {
        target->failures = 0;
        return;
    }
    target->failures++;
    target->failed_ns = now_ns;
}
