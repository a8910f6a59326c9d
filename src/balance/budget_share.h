#ifndef RP_BUDGET_SHARE_H
#define RP_BUDGET_SHARE_H

#include <stdint.h>

#include "member.h"

#ifdef __cplusplus
extern "C" {
#endif

double rp_budget_share(const struct rp_member_view *view, uint32_t fleet_size);

#ifdef __cplusplus
}
#endif

#endif
