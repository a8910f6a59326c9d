#ifndef RP_BUDGET_LOAN_H
#define RP_BUDGET_LOAN_H

#include <stdint.h>

#include "member.h"

/* Division of the allowance of further attempts among the entry VMs. Each VM
 * owns an equal part. One that has hardly any calls lends its part to a VM
 * that has many, and states this with the load in its heartbeats. A loan is
 * valid for RP_BUDGET_LOAN_TERM_NS after the lender's report. Uses no clock,
 * socket or log. */

/* Reports of a member reach all others within this time. */
#define RP_BUDGET_LOAN_TERM_NS INT64_C(8000000000)
/* Part of the allowance that members divide once they have run for a loan's
 * term and a window, and the part that they divide before. Both together are
 * 1, so that the sum holds when any number of members restart: a process does
 * not know what the earlier one with its id has used or lent. */
#define RP_BUDGET_LOAN_SETTLED 0.85
#define RP_BUDGET_LOAN_NEW 0.15

struct rp_budget_loan {
    int64_t start_ns;  /* of the process */
    int64_t window_ns; /* in which further attempts are counted */
    uint32_t max_members;
    int64_t max_members_ns; /* when max_members was last seen */
    int64_t quiet_since_ns; /* INT64_MAX while the local load is not low */
    int64_t usable_ns;      /* the own part may not be used or lent before */
    uint32_t borrower;      /* hash of the member's process; 0: none */
};

/* Shares are parts, from 0 to 1, of the allowance of the whole fleet. */
struct rp_budget_loan_state {
    double own_share;
    double borrowed_share;
    int64_t borrowed_until_ns;
    uint32_t borrower; /* to be told to all members, with lent_ppm */
    uint32_t lent_ppm; /* of the allowance of the whole fleet */
};

#ifdef __cplusplus
extern "C" {
#endif

void rp_budget_loan_init(struct rp_budget_loan *loan, int64_t window_ns,
                         int64_t now_ns);
void rp_budget_loan_update(struct rp_budget_loan *loan,
                           const struct rp_member_view *view,
                           uint32_t fleet_size, int64_t last_attempt_ns,
                           int64_t now_ns, struct rp_budget_loan_state *state);

#ifdef __cplusplus
}
#endif

#endif
