#ifndef RP_DISPATCH_STATUS_H
#define RP_DISPATCH_STATUS_H

#include <jansson.h>
#include <stdint.h>

#include "dispatch.h"

json_t *rp_dispatch_status(const struct rp_dispatch *dispatch, int64_t now_ns);

#endif
