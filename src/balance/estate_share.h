#ifndef RP_ESTATE_SHARE_H
#define RP_ESTATE_SHARE_H

#include <stdbool.h>
#include <stdint.h>

#include "snapshot.h"

/* Stated error: at any time the calls that one entry VM has sent to an estate
 * differ from its share by at most this many, as long as each estate with a
 * share has a target that can take work. */
#define RP_ESTATE_SHARE_ERROR 8

struct rp_estate_share {
    uint32_t count;
    double share[RP_SNAPSHOT_MAX_ESTATES];  /* 0 to 1 */
    double credit[RP_SNAPSHOT_MAX_ESTATES]; /* calls owed to the estate */
    uint32_t most_owed; /* estate with the greatest credit */
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
