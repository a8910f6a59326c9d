#include "cold_rate.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

/* Entry VMs that may send to a cold target. One more costs one call of the
 * limit, because each may have saved up one; with a single one, its loss would
 * leave the target without calls until the others notice. */
#define SENDERS 2u
/* Part of the limit that all entry VMs with the same view use together. Two
 * disjoint views with all of the fleet's budget stay within the limit: that
 * occurs while a partition is being noticed. */
#define MAX_VIEW_PART 0.5
/* An entry VM with a smaller part does not send. Among many that know nobody
 * each would have such a part, and all together would exceed the limit. */
#define MIN_CALLS_PER_S 0.1

static bool
is_alive(const struct rp_member *member)
{
    return member->info.state != RP_MEMBER_DEAD;
}

/* Sets what is known of the fleet from the members. Callers are directed to
 * members with at least half of the greatest capacity, so only these send.
 * fleet_size is the number of entry VMs if fewer are known. Members that are
 * believed dead count as a part of the fleet that may be sending on the other
 * side of a partition. */
void
rp_cold_fleet_set(struct rp_cold_fleet *fleet,
                  const struct rp_member_view *view, uint32_t fleet_size)
{
    if (fleet->senders == NULL) {
        fleet->senders =
            g_array_new(FALSE, TRUE, sizeof(struct rp_cold_sender));
    }
    g_array_set_size(fleet->senders, 0);
    uint32_t max_capacity = 0;
    uint32_t alive = 0;
    for (uint32_t i = 0; i < view->count; i++) {
        const struct rp_member *member = &view->members[i];
        max_capacity = MAX(max_capacity, member->info.capacity_permille);
        alive += is_alive(member) ? 1 : 0;
    }
    for (uint32_t i = 0; i < view->count; i++) {
        const struct rp_member *member = &view->members[i];
        const struct rp_member_info *info = &member->info;
        if (!is_alive(member) || info->state == RP_MEMBER_LEAVING ||
            info->capacity_permille < max_capacity / 2)
        {
            continue;
        }
        struct rp_cold_sender sender = {
            .hash = XXH3_64bits(info->id, strlen(info->id)),
            .is_self = member->is_self,
        };
        g_strlcpy(sender.domain, info->domain, sizeof(sender.domain));
        g_array_append_val(fleet->senders, sender);
    }
    fleet->reachable =
        (double)alive / (double)MAX(MAX(view->count, fleet_size), 1);
}

/* Releases what is known of the fleet. */
void
rp_cold_fleet_clear(struct rp_cold_fleet *fleet)
{
    if (fleet->senders != NULL) {
        g_array_unref(fleet->senders);
    }
    memset(fleet, 0, sizeof(*fleet));
}

/* Returns whether cold targets have a limit. */
bool
rp_cold_limit_applies(const struct rp_cold_limit *limit)
{
    return limit->calls_per_s > 0 && limit->overage > 0;
}

static const struct rp_cold_sender *
get_sender(const struct rp_cold_fleet *fleet, uint32_t index)
{
    return &g_array_index(fleet->senders, struct rp_cold_sender, index);
}

static uint64_t
score(const struct rp_cold_sender *sender, uint64_t run)
{
    return XXH3_64bits_withSeed(&sender->hash, sizeof(sender->hash), run);
}

/* Returns the number of senders, of a failure domain unless it is NULL, that
 * come before this entry VM for a run of a target, or UINT32_MAX if this
 * entry VM is not one of them. *count is set to their number. */
static uint32_t
rank_of_self(const struct rp_cold_fleet *fleet, const char *domain,
             uint64_t run, uint32_t *count)
{
    const struct rp_cold_sender *self = NULL;
    *count = 0;
    for (guint i = 0; i < fleet->senders->len; i++) {
        const struct rp_cold_sender *sender = get_sender(fleet, i);
        if (domain == NULL || strcmp(sender->domain, domain) == 0) {
            *count += 1;
            self = sender->is_self ? sender : self;
        }
    }
    if (self == NULL) {
        return UINT32_MAX;
    }
    uint32_t rank = 0;
    uint64_t own_score = score(self, run);
    for (guint i = 0; i < fleet->senders->len; i++) {
        const struct rp_cold_sender *sender = get_sender(fleet, i);
        if ((domain == NULL || strcmp(sender->domain, domain) == 0) &&
            score(sender, run) > own_score)
        {
            rank++;
        }
    }
    return rank;
}

/* Returns the calls per second that this entry VM may send to a target of a
 * failure domain while it is cold, or 0. run identifies the run of the target.
 * Entry VMs of the target's failure domain come first, since others prefer
 * targets of their own.
 *
 * A sender with rate r and one saved call sends at most r + 1 calls in any
 * second. All senders of a view together are given MAX_VIEW_PART of the limit
 * at most, and no more than the reachable part of the fleet, so that the sum
 * over all sides of a partition is within the limit. */
double
rp_cold_fleet_part(const struct rp_cold_fleet *fleet,
                   const struct rp_cold_limit *limit, const char *domain,
                   uint64_t run)
{
    if (!rp_cold_limit_applies(limit) || fleet->senders == NULL) {
        return 0;
    }
    uint32_t candidates;
    uint32_t rank = rank_of_self(fleet, domain, run, &candidates);
    if (candidates == 0) {
        rank = rank_of_self(fleet, NULL, run, &candidates);
    }
    double max_calls = (limit->calls_per_s * limit->overage + limit->slack) *
                       fmin(MAX_VIEW_PART, fleet->reachable);
    double part = 0;
    uint32_t senders = 0;
    for (uint32_t i = MIN(SENDERS, candidates); i > 0 && senders == 0; i--) {
        part = fmin(limit->calls_per_s, max_calls - i) / i;
        senders = part >= MIN_CALLS_PER_S ? i : 0;
    }
    return rank < senders ? part : 0;
}

/* Returns the tokens of a target at a time. */
static double
tokens_at(const struct rp_cold_rate *rate, int64_t now_ns)
{
    double gained_tokens =
        (double)(now_ns - rate->updated_ns) / 1e9 * rate->calls_per_s;
    return fmin(rate->tokens + fmax(gained_tokens, 0), 1);
}

/* Sets the part of this entry VM. One that may send from now on begins without
 * a saved call: another view may still have another sender in its place. */
void
rp_cold_rate_set_part(struct rp_cold_rate *rate, double calls_per_s,
                      int64_t now_ns)
{
    rate->tokens = rate->calls_per_s > 0 ? tokens_at(rate, now_ns) : 0;
    rate->calls_per_s = calls_per_s;
    rate->updated_ns = now_ns;
}

/* Records the remaining cold time that the record of a target gives. */
void
rp_cold_rate_record_entry(struct rp_cold_rate *rate, int64_t remaining_ms,
                          int64_t now_ns)
{
    rate->entry_until_ns = now_ns + remaining_ms * 1000000;
}

/* Records the remaining cold time that a target itself reported at a time,
 * unless a later report is known. */
void
rp_cold_rate_record_report(struct rp_cold_rate *rate, int64_t remaining_ms,
                           int64_t reported_ns)
{
    if (reported_ns >= rate->reported_ns) {
        rate->reported_ns = reported_ns;
        rate->report_until_ns = reported_ns + remaining_ms * 1000000;
    }
}

/* Returns how long a target stays cold, 0 if it is not. The record and the
 * target's own reports may differ; the later end counts. */
int64_t
rp_cold_rate_remaining_ns(const struct rp_cold_rate *rate, int64_t now_ns)
{
    int64_t until_ns = MAX(rate->entry_until_ns, rate->report_until_ns);
    return MAX(until_ns - now_ns, 0);
}

/* Returns when this entry VM may send the next call to a target: a time that
 * has passed if it may now, else the time of its next turn or the end of the
 * cold time. It changes only when something is recorded. */
int64_t
rp_cold_rate_turn_ns(const struct rp_cold_rate *rate)
{
    if (!rate->limited) {
        return INT64_MIN;
    }
    int64_t until_ns = MAX(rate->entry_until_ns, rate->report_until_ns);
    double wait_ns = fmax(1 - rate->tokens, 0) / rate->calls_per_s * 1e9;
    if (rate->calls_per_s <= 0 ||
        wait_ns >= (double)(until_ns - rate->updated_ns)) {
        return until_ns;
    }
    return rate->updated_ns + (int64_t)ceil(wait_ns);
}

/* Takes the turn of a call that is sent to a target. Returns false if the
 * target is cold and it is not this entry VM's turn. */
bool
rp_cold_rate_consume(struct rp_cold_rate *rate, int64_t now_ns)
{
    if (!rate->limited || rp_cold_rate_remaining_ns(rate, now_ns) == 0) {
        return true;
    }
    if (rp_cold_rate_turn_ns(rate) > now_ns) {
        return false;
    }
    rate->tokens = tokens_at(rate, now_ns) - 1;
    rate->updated_ns = now_ns;
    rate->sent++;
    return true;
}
