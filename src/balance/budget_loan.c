#include "budget_loan.h"

#include <glib.h>
#include <string.h>
#include <xxhash.h>

/* A process learns of the other members in its first second. Until then it
 * takes the fleet for smaller than it is. */
#define LEARN_MEMBERS_NS INT64_C(2000000000)
/* A member lends when its load has been low for this long. */
#define QUIET_NS INT64_C(2000000000)
/* Load below this part of the greatest load is low; a member with at least
 * twice that has calls of its own that need the budget. */
#define LOW_LOAD_RATIO 0.125
/* Members that are given up leave the view after some time. Their part stays
 * theirs for longer, since they may run on the other side of a partition. */
#define KEEP_MEMBERS_NS INT64_C(600000000000)
/* Time until the end of a loan is in the heartbeats, with a reserve for
 * reports that are delayed on their way. */
#define PUBLISH_NS INT64_C(2000000000)
/* A loan that ends sooner is left out, so that it does not end the others:
 * the state is updated with each heartbeat interval. */
#define MIN_REMAINING_NS (2 * RP_MEMBER_HEARTBEAT_NS)
#define PPM 1e6

/* Initializes the state of a process that starts at now_ns. */
void
rp_budget_loan_init(struct rp_budget_loan *loan, int64_t window_ns,
                    int64_t now_ns)
{
    memset(loan, 0, sizeof(*loan));
    loan->start_ns = now_ns;
    loan->window_ns = window_ns;
    loan->quiet_since_ns = INT64_MAX;
}

/* Identifies a process, not a member: after a restart, the new process does
 * not know what the earlier one used of a loan. */
static uint32_t
hash_process(const struct rp_member_info *info)
{
    uint64_t hash =
        XXH3_64bits_withSeed(info->id, strlen(info->id), info->incarnation);
    return (uint32_t)hash == 0 ? 1 : (uint32_t)hash;
}

static const struct rp_member *
find_self(const struct rp_member_view *view)
{
    for (uint32_t i = 0; i < view->count; i++) {
        if (view->members[i].is_self) {
            return &view->members[i];
        }
    }
    return NULL;
}

static uint32_t
max_load(const struct rp_member_view *view)
{
    uint32_t load = 0;
    for (uint32_t i = 0; i < view->count; i++) {
        const struct rp_member *member = &view->members[i];
        if (member->is_self || member->info.state == RP_MEMBER_ALIVE) {
            load = MAX(load, member->info.load_permille);
        }
    }
    return load;
}

static bool
is_low(const struct rp_member_info *info, uint32_t max_permille)
{
    return info->load_permille == 0 ||
           info->load_permille < LOW_LOAD_RATIO * max_permille;
}

static bool
may_borrow(const struct rp_member *member, uint32_t max_permille)
{
    return !member->is_self && member->info.state == RP_MEMBER_ALIVE &&
           member->info.load_permille > 0 &&
           member->info.load_permille >= 2 * LOW_LOAD_RATIO * max_permille;
}

/* Chooses the member that borrows this one's part. The lenders, in the order
 * of their ids, are spread over the borrowers in proportion to their load. */
static uint32_t
choose_borrower(const struct rp_member_view *view, uint32_t max_permille)
{
    uint32_t lenders = 0;
    uint32_t position = 0;
    double total = 0;
    for (uint32_t i = 0; i < view->count; i++) {
        const struct rp_member *member = &view->members[i];
        if (member->is_self) {
            position = lenders;
        }
        if (may_borrow(member, max_permille)) {
            total += member->info.load_permille;
        }
        else {
            lenders++;
        }
    }
    double left = total * (position + 0.5) / MAX(lenders, 1);
    for (uint32_t i = 0; i < view->count; i++) {
        const struct rp_member *member = &view->members[i];
        if (!may_borrow(member, max_permille)) {
            continue;
        }
        left -= member->info.load_permille;
        if (left < 0) {
            return hash_process(&member->info);
        }
    }
    return 0;
}

static bool
is_borrower_valid(const struct rp_budget_loan *loan,
                  const struct rp_member_view *view, uint32_t max_permille)
{
    for (uint32_t i = 0; i < view->count; i++) {
        const struct rp_member *member = &view->members[i];
        if (hash_process(&member->info) == loan->borrower) {
            /* Suspicions are often refuted. */
            return (member->info.state == RP_MEMBER_ALIVE ||
                    member->info.state == RP_MEMBER_SUSPECT) &&
                   !is_low(&member->info, max_permille);
        }
    }
    return false;
}

/* Returns the part that each member owns. It does not depend on loads, which
 * members see differently. */
static double
equal_part(struct rp_budget_loan *loan, const struct rp_member_view *view,
           uint32_t fleet_size, int64_t now_ns)
{
    uint32_t members = MAX(view->count, fleet_size);
    if (members >= loan->max_members ||
        now_ns - loan->max_members_ns > KEEP_MEMBERS_NS)
    {
        loan->max_members = members;
        loan->max_members_ns = now_ns;
    }
    int64_t age_ns = now_ns - loan->start_ns;
    if (age_ns < LEARN_MEMBERS_NS) {
        return 0;
    }
    bool is_new = age_ns < RP_BUDGET_LOAN_TERM_NS + loan->window_ns;
    return (is_new ? RP_BUDGET_LOAN_NEW : RP_BUDGET_LOAN_SETTLED) /
           MAX(loan->max_members, 1);
}

static void
add_loans(const struct rp_member_view *view, const struct rp_member *self,
          int64_t now_ns, struct rp_budget_loan_state *state)
{
    uint32_t hash = hash_process(&self->info);
    state->borrowed_until_ns = INT64_MAX;
    for (uint32_t i = 0; i < view->count; i++) {
        const struct rp_member *member = &view->members[i];
        int64_t until_ns = member->reported_ns + RP_BUDGET_LOAN_TERM_NS;
        if (member->is_self || member->info.loan_borrower != hash ||
            until_ns < now_ns + MIN_REMAINING_NS)
        {
            continue;
        }
        state->borrowed_share += member->info.loan_ppm / PPM;
        state->borrowed_until_ns = MIN(state->borrowed_until_ns, until_ns);
    }
    state->borrowed_share = MIN(state->borrowed_share, 1.0);
}

/* Decides what this entry VM may use of the fleet's allowance and what it
 * lends. Call it with each new view, which follows each heartbeat interval.
 * last_attempt_ns is when the VM last sent a further attempt, INT64_MIN if it
 * has not.
 *
 * In each window, a member's part counts for one user only. The part is lent
 * when the owner has sent no further attempt for a window. After a loan it is
 * left unused until the loan has expired in all views, and for a window more,
 * since what the borrower used last counts for that long. The borrower's view
 * decides when a loan ends, so that lost or late reports, a partition or the
 * end of a process can only shorten it. */
void
rp_budget_loan_update(struct rp_budget_loan *loan,
                      const struct rp_member_view *view, uint32_t fleet_size,
                      int64_t last_attempt_ns, int64_t now_ns,
                      struct rp_budget_loan_state *state)
{
    memset(state, 0, sizeof(*state));
    const struct rp_member *self = find_self(view);
    if (self == NULL) {
        return;
    }
    double part = equal_part(loan, view, fleet_size, now_ns);
    uint32_t max_permille = max_load(view);
    if (!is_low(&self->info, max_permille)) {
        loan->quiet_since_ns = INT64_MAX;
    }
    else if (loan->quiet_since_ns == INT64_MAX) {
        loan->quiet_since_ns = now_ns;
    }
    bool is_busy =
        self->info.load_permille > 0 &&
        self->info.load_permille >= 2 * LOW_LOAD_RATIO * max_permille;
    if (loan->borrower != 0 &&
        (is_busy || !is_borrower_valid(loan, view, max_permille)))
    {
        loan->borrower = 0;
        loan->usable_ns =
            now_ns + RP_BUDGET_LOAN_TERM_NS + PUBLISH_NS + loan->window_ns;
    }
    bool is_unused = last_attempt_ns == INT64_MIN ||
                     now_ns - last_attempt_ns > loan->window_ns;
    if (loan->borrower == 0 && part > 0 && is_unused &&
        now_ns >= loan->usable_ns && loan->quiet_since_ns != INT64_MAX &&
        now_ns - loan->quiet_since_ns >= QUIET_NS)
    {
        loan->borrower = choose_borrower(view, max_permille);
    }
    if (loan->borrower != 0) {
        state->borrower = loan->borrower;
        state->lent_ppm = (uint32_t)(part * PPM);
    }
    else if (now_ns >= loan->usable_ns) {
        state->own_share = part;
    }
    add_loans(view, self, now_ns, state);
}
