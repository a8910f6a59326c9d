#ifndef RP_ADMIN_H
#define RP_ADMIN_H

#include "loop.h"

struct rp_admin;

#ifdef __cplusplus
extern "C" {
#endif

struct rp_admin *rp_admin_start(struct rp_loop *loop, const char *address,
                                GError **error);

#ifdef __cplusplus
}
#endif

#endif
