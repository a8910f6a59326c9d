#include "estate_share.h"

#include <string.h>

/* Sets the shares in force. What the estates are owed is kept only while the
 * shares stay the same. */
void
rp_estate_share_set(struct rp_estate_share *shares,
                    const struct rp_estate *estates, uint32_t count)
{
    struct rp_estate_share fresh = {.count = count};
    double sum = 0;
    for (uint32_t i = 0; i < count; i++) {
        sum += estates[i].share_permille;
    }
    bool same = shares->count == count;
    for (uint32_t i = 0; i < count; i++) {
        fresh.share[i] =
            sum > 0 ? estates[i].share_permille / sum : 1.0 / count;
        same = same && fresh.share[i] == shares->share[i];
    }
    if (!same) {
        *shares = fresh;
    }
}

/* Returns whether the next call may go to an estate within the stated error of
 * every estate. */
bool
rp_estate_share_allows(const struct rp_estate_share *shares, uint32_t estate)
{
    if (shares->count < 2) {
        return true;
    }
    if (estate != shares->most_owed &&
        shares->credit[shares->most_owed] >= RP_ESTATE_SHARE_ERROR - 1)
    {
        return false;
    }
    double after = shares->credit[estate] + shares->share[estate] - 1;
    return shares->share[estate] > 0 && after >= 1 - RP_ESTATE_SHARE_ERROR;
}

/* Counts a call sent to an estate. Credit is bounded, so that an estate that
 * could take no work for a while is not flooded when it can. */
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
        if (credit > shares->credit[shares->most_owed]) {
            shares->most_owed = i;
        }
    }
}
