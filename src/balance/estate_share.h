#ifndef RP_ESTATE_SHARE_H
#define RP_ESTATE_SHARE_H

#include <stdbool.h>
#include <stdint.h>

#include "snapshot.h"

/* Error bound: the number of calls that one entry VM has sent to an estate
 * differs from the estate's share by at most this, as long as each estate with
 * a share has a target with room. */
#define RP_ESTATE_SHARE_ERROR 8

struct rp_estate_share {
    uint32_t count;
    double share[RP_SNAPSHOT_MAX_ESTATES];  /* 0 to 1 */
    double credit[RP_SNAPSHOT_MAX_ESTATES]; /* calls below its share */
    uint32_t max_credit_estate; /* estate with the greatest credit */
};

#ifdef __cplusplus
extern "C" {
#endif

void rp_estate_share_set(struct rp_estate_share *shares,
                         const struct rp_estate *estates, uint32_t count);
bool rp_estate_share_allows(const struct rp_estate_share *shares,
                            uint32_t estate);
void rp_estate_share_record_sent(struct rp_estate_share *shares,
                                 uint32_t estate);

#ifdef __cplusplus
}
#endif

#endif
