#include "crossing.h"

#include <math.h>
#include <string.h>

/* Weights of one report in the two averages of a domain's use. The first
 * covers about 8 reports, some 160 ms at 50 calls a second; the difference of
 * the two is the trend. */
#define RECENT_WEIGHT (1.0 / 8)
#define USUAL_WEIGHT (1.0 / 32)
#define LOST_WEIGHT (1.0 / 8)
#define REJECTION_WEIGHT (1.0 / 16)
/* Older data has no effect. Bursts and slow intervals of targets last from
 * 0.15 to 8 s. */
#define MAX_AGE_NS INT64_C(2000000000)
/* A report that is older than the latest one by more than this is ignored,
 * such as a hint of another entry VM: targets change every 150 ms. */
#define MAX_LATENESS_NS INT64_C(150000000)
/* Use of the local slots from which calls may leave, and at which the share
 * rises at its full rate. Targets are slower above 0.8. */
#define LOCAL_HIGH_USE 0.7
#define LOCAL_FULL_USE 0.9
/* Use of the local slots below which the share falls. */
#define LOCAL_LOW_USE 0.6
/* Use of the remote slots: the share rises at its full rate up to the first,
 * not from the second on, and falls from the third on, at its full rate from
 * the fourth on. The domain's own calls wait above 0.8. */
#define REMOTE_FREE_USE 0.45
#define REMOTE_USED_USE 0.65
#define REMOTE_HIGH_USE 0.72
#define REMOTE_FULL_USE 0.82
/* Time lost locally as a share of the latency goal: where it begins to have an
 * effect, and where that is greatest. An eighth is the length of a search. */
#define MIN_LOST_RATIO 0.05
#define MAX_LOST_RATIO 0.125
/* The same for rejections as a share of the calls to local targets. */
#define MIN_REJECTION_RATIO 0.05
#define MAX_REJECTION_RATIO 0.25
/* Change of the share per second. Reports reflect a change after 0.2 to 0.3 s.
 * In that time the remote use rises by less than the distance between its
 * limits, which keeps a fleet that acts alike from oscillating. */
#define RISE_PER_S 0.6
#define FALL_REMOTE_FULL_PER_S 1.2
#define FALL_LOCAL_FREE_PER_S 0.3
/* After a time without calls, at most this time counts as one step in which
 * the share rises. */
#define MAX_RISE_STEP_S 0.1
/* A share of nearly 1 does not hold back any call. */
#define ALL_CALLS_SHARE 0.99
/* Bounds the burst of calls after a time without a crossing. */
#define MAX_CREDIT 3.0
/* What a crossing costs beside its bytes, as a share of the latency goal,
 * while the share is 0. */
#define RESERVE_AIM_SHARE (1.0 / 8)
/* Latency goal of a route without one. */
#define DEFAULT_AIM_NS INT64_C(1000000000)

/* Initializes the state of a service. Without automatic, calls cross by the
 * fixed rule. */
void
rp_crossing_init(struct rp_crossing *crossing, bool automatic)
{
    memset(crossing, 0, sizeof(*crossing));
    crossing->automatic = automatic;
}

/* Returns the index of a remote failure domain, which is added when it is not
 * known. Domains beyond the maximum share the last index. */
uint32_t
rp_crossing_add_domain(struct rp_crossing *crossing, uint64_t name_hash)
{
    for (uint32_t i = 0; i < crossing->domain_count; i++) {
        if (crossing->domains[i].name_hash == name_hash) {
            return i;
        }
    }
    if (crossing->domain_count == RP_CROSSING_MAX_DOMAINS) {
        return RP_CROSSING_MAX_DOMAINS - 1;
    }
    crossing->domains[crossing->domain_count].name_hash = name_hash;
    return crossing->domain_count++;
}

static bool
is_recent(int64_t at_ns, int64_t now_ns)
{
    return now_ns - at_ns <= MAX_AGE_NS;
}

static bool
has_report(const struct rp_crossing_use *use, int64_t now_ns)
{
    return use->reported && is_recent(use->report_ns, now_ns);
}

static double
smooth(double mean, double sample, double weight)
{
    return mean + weight * (sample - mean);
}

/* Returns 0 up to low, 1 from high on, and a value between them in between. */
static double
ramp(double value, double low, double high)
{
    return fmin(fmax((value - low) / (high - low), 0), 1);
}

/* Records the requests, running and queued, that a target of a domain, or of
 * RP_CROSSING_LOCAL, reported at now_ns. */
void
rp_crossing_record_report(struct rp_crossing *crossing, uint32_t domain,
                          double requests, double slots, int64_t now_ns)
{
    struct rp_crossing_use *use = domain == RP_CROSSING_LOCAL
                                      ? &crossing->local
                                      : &crossing->domains[domain].use;
    if (slots <= 0 ||
        (use->reported && use->report_ns - now_ns > MAX_LATENESS_NS)) {
        return;
    }
    double sample = requests / slots;
    if (!has_report(use, now_ns)) {
        use->recent = sample;
        use->usual = sample;
    }
    use->recent = smooth(use->recent, sample, RECENT_WEIGHT);
    use->usual = smooth(use->usual, sample, USUAL_WEIGHT);
    use->reported = true;
    if (now_ns > use->report_ns) {
        use->report_ns = now_ns;
    }
}

/* Records how much time a call has lost because it waits for a local target
 * or goes to a slow one. */
void
rp_crossing_record_lost(struct rp_crossing *crossing, int64_t lost_ns,
                        int64_t aim_ns, int64_t now_ns)
{
    double aim = (double)(aim_ns > 0 ? aim_ns : DEFAULT_AIM_NS);
    if (!is_recent(crossing->lost_ns, now_ns)) {
        crossing->lost_ratio = 0;
    }
    crossing->lost_ratio = smooth(crossing->lost_ratio,
                                  fmin((double)lost_ns / aim, 1), LOST_WEIGHT);
    crossing->lost_ns = now_ns;
}

/* Records whether a local target rejected a call. */
void
rp_crossing_record_local_answer(struct rp_crossing *crossing, bool rejected,
                                int64_t now_ns)
{
    if (!is_recent(crossing->rejection_ns, now_ns)) {
        crossing->rejection_ratio = 0;
    }
    crossing->rejection_ratio =
        smooth(crossing->rejection_ratio, rejected ? 1 : 0, REJECTION_WEIGHT);
    crossing->rejection_ns = now_ns;
}

static double
recent_lost_ratio(const struct rp_crossing *crossing, int64_t now_ns)
{
    return is_recent(crossing->lost_ns, now_ns) ? crossing->lost_ratio : 0;
}

static double
recent_rejection_ratio(const struct rp_crossing *crossing, int64_t now_ns)
{
    return is_recent(crossing->rejection_ns, now_ns)
               ? crossing->rejection_ratio
               : 0;
}

/* Returns how short of room the local domain is, from 0 to 1. */
static double
local_pressure(const struct rp_crossing *crossing, int64_t now_ns)
{
    double pressure = ramp(recent_lost_ratio(crossing, now_ns), MIN_LOST_RATIO,
                           MAX_LOST_RATIO);
    pressure = fmax(pressure, ramp(recent_rejection_ratio(crossing, now_ns),
                                   MIN_REJECTION_RATIO, MAX_REJECTION_RATIO));
    if (has_report(&crossing->local, now_ns)) {
        pressure = fmax(pressure, ramp(crossing->local.recent, LOCAL_HIGH_USE,
                                       LOCAL_FULL_USE));
    }
    return pressure;
}

static bool
local_is_free(const struct rp_crossing *crossing, int64_t now_ns)
{
    return (!has_report(&crossing->local, now_ns) ||
            crossing->local.recent < LOCAL_LOW_USE) &&
           recent_lost_ratio(crossing, now_ns) < MIN_LOST_RATIO &&
           recent_rejection_ratio(crossing, now_ns) < MIN_REJECTION_RATIO;
}

/* Returns the use of a domain as it will soon be: a rise continues for a
 * while, since other entry VMs act on the same reports. */
static double
expected_use(const struct rp_crossing_use *use)
{
    return use->recent + fmax(use->recent - use->usual, 0);
}

static void
update_domain(struct rp_crossing_domain *domain, double pressure,
              bool local_free, double elapsed_s, int64_t now_ns)
{
    if (!has_report(&domain->use, now_ns)) {
        domain->share = 0;
        domain->credit = 0;
        return;
    }
    double use = expected_use(&domain->use);
    double room = 1 - ramp(use, REMOTE_FREE_USE, REMOTE_USED_USE);
    double rise = RISE_PER_S * pressure * room;
    double fall =
        FALL_REMOTE_FULL_PER_S * ramp(use, REMOTE_HIGH_USE, REMOTE_FULL_USE) +
        (local_free ? FALL_LOCAL_FREE_PER_S : 0);
    domain->share +=
        rise * fmin(elapsed_s, MAX_RISE_STEP_S) - fall * elapsed_s;
    domain->share = fmin(fmax(domain->share, 0), 1);
}

/* Records a new call, and updates the shares. */
void
rp_crossing_record_call(struct rp_crossing *crossing, int64_t now_ns)
{
    double elapsed_s =
        crossing->updated_ns == 0 || now_ns < crossing->updated_ns
            ? 0
            : (double)(now_ns - crossing->updated_ns) / 1e9;
    double pressure = local_pressure(crossing, now_ns);
    bool local_free = local_is_free(crossing, now_ns);
    crossing->updated_ns = now_ns;
    for (uint32_t i = 0; i < crossing->domain_count; i++) {
        struct rp_crossing_domain *domain = &crossing->domains[i];
        update_domain(domain, pressure, local_free, elapsed_s, now_ns);
        domain->credit = fmin(domain->credit + domain->share, MAX_CREDIT);
    }
}

/* Records a call sent to a remote domain. */
void
rp_crossing_record_sent(struct rp_crossing *crossing, uint32_t domain)
{
    struct rp_crossing_domain *entry = &crossing->domains[domain];
    entry->credit = fmax(entry->credit - 1, 0);
}

/* Returns whether the fixed rule decides about crossings to a domain: there is
 * no recent report of its targets, or the setting demands it. */
bool
rp_crossing_follows_fixed_rule(const struct rp_crossing *crossing,
                               uint32_t domain, int64_t now_ns)
{
    return !crossing->automatic ||
           !has_report(&crossing->domains[domain].use, now_ns);
}

/* Returns whether the share lets a call go to a domain now. Without a local
 * target that may get calls, every call may. */
bool
rp_crossing_allows(const struct rp_crossing *crossing, uint32_t domain,
                   bool has_local, int64_t now_ns)
{
    const struct rp_crossing_domain *entry = &crossing->domains[domain];
    return !has_local ||
           rp_crossing_follows_fixed_rule(crossing, domain, now_ns) ||
           entry->share >= ALL_CALLS_SHARE || entry->credit >= 1;
}

/* Returns how much longer a call may take at a local target before it crosses:
 * the cost of its bytes, and a reserve that shrinks as the share rises. */
int64_t
rp_crossing_tolerance_ns(const struct rp_crossing *crossing, uint32_t domain,
                         int64_t penalty_ns, int64_t aim_ns)
{
    double aim = (double)(aim_ns > 0 ? aim_ns : DEFAULT_AIM_NS);
    double reserve =
        (1 - crossing->domains[domain].share) * RESERVE_AIM_SHARE * aim;
    return penalty_ns + (int64_t)reserve;
}

/* Returns whether a call gains enough from a remote target. The time that it
 * has waited for a local one counts in favour of that, so that a call does not
 * wait for longer than the tolerance. */
bool
rp_crossing_is_worthwhile(const struct rp_crossing *crossing, uint32_t domain,
                          const struct rp_crossing_call *call)
{
    double gain = call->local_ns - call->remote_ns + (double)call->waited_ns;
    return gain > (double)rp_crossing_tolerance_ns(
                      crossing, domain, call->penalty_ns, call->aim_ns);
}

/* Returns the share of the service's calls that may leave the domain, over all
 * remote domains. */
double
rp_crossing_share(const struct rp_crossing *crossing)
{
    double sum = 0;
    for (uint32_t i = 0; i < crossing->domain_count; i++) {
        sum += crossing->domains[i].share;
    }
    return fmin(sum, 1);
}
