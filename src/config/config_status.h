#ifndef RP_CONFIG_STATUS_H
#define RP_CONFIG_STATUS_H

#include <glib.h>
#include <jansson.h>
#include <stdint.h>

#include "config_task.h"

/* The latest refusal of each key, for operators. */
struct rp_config_refusals;

#ifdef __cplusplus
extern "C" {
#endif

struct rp_config_refusals *rp_config_refusals_new(void);
void rp_config_refusals_free(struct rp_config_refusals *refusals);
void rp_config_refusals_put(struct rp_config_refusals *refusals,
                            const char *key, const char *reason);
void rp_config_refusals_remove(struct rp_config_refusals *refusals,
                               const char *key);
json_t *rp_config_status(const struct rp_record_set *set,
                         enum rp_config_phase phase,
                         const struct rp_config_refusals *refusals,
                         const GPtrArray *warnings, int64_t platform_age_ms);

#ifdef __cplusplus
}
#endif

#endif
