#ifndef RP_NODE_H
#define RP_NODE_H

#include <glib.h>

#include "adapter.h"
#include "setting.h"

/* One entry process: the kernel, its loop and all tasks. */
struct rp_node;

#ifdef __cplusplus
extern "C" {
#endif

struct rp_node *rp_node_start(const struct rp_settings *settings,
                              const struct rp_adapter *adapter,
                              GError **error);
void rp_node_run(struct rp_node *node);
void rp_node_free(struct rp_node *node);

#ifdef __cplusplus
}
#endif

#endif
