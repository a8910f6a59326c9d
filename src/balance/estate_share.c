#include "estate_share.h"

#include <string.h>

/* Sets the shares in force. Credits are kept only if the shares are unchanged.
 */
void
rp_estate_share_set(struct rp_estate_share *shares,
                    const struct rp_estate *estates, uint32_t count)
{
    struct rp_estate_share updated = {.count = count};
    double sum = 0;
    for (uint32_t i = 0; i < count; i++) {
        sum += estates[i].share_permille;
    }
    bool same = shares->count == count;
    for (uint32_t i = 0; i < count; i++) {
        updated.share[i] =
            sum > 0 ? estates[i].share_permille / sum : 1.0 / count;
        same = same && updated.share[i] == shares->share[i];
    }
    if (!same) {
        *shares = updated;
    }
}

/* Returns whether the next call may go to an estate with every estate staying
 * within RP_ESTATE_SHARE_ERROR. */
bool
rp_estate_share_allows(const struct rp_estate_share *shares, uint32_t estate)
{
    if (shares->count < 2) {
        return true;
    }
    if (estate != shares->max_credit_estate &&
        shares->credit[shares->max_credit_estate] >= RP_ESTATE_SHARE_ERROR - 1)
    {
        return false;
    }
    double after = shares->credit[estate] + shares->share[estate] - 1;
    return shares->share[estate] > 0 && after >= 1 - RP_ESTATE_SHARE_ERROR;
}

/* Records a call sent to an estate. Credits are bounded, so that an estate
 * that had no room for a while is not flooded afterwards. */
void
rp_estate_share_record_sent(struct rp_estate_share *shares, uint32_t estate)
{
    if (shares->count < 2) {
        return;
    }
    for (uint32_t i = 0; i < shares->count; i++) {
        double credit =
            shares->credit[i] + shares->share[i] - (i == estate ? 1 : 0);
        if (credit > RP_ESTATE_SHARE_ERROR) {
            credit = RP_ESTATE_SHARE_ERROR;
        }
        if (credit < -RP_ESTATE_SHARE_ERROR) {
            credit = -RP_ESTATE_SHARE_ERROR;
        }
        shares->credit[i] = credit;
        if (credit > shares->credit[shares->max_credit_estate]) {
            shares->max_credit_estate = i;
        }
    }
}
