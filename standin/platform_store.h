#ifndef STANDIN_PLATFORM_STORE_H
#define STANDIN_PLATFORM_STORE_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/* What the stand-in of the platform holds: the log of all published values,
 * so that it can answer as it would have at any earlier revision, and the
 * list of VMs. Not safe for several threads at once. */
struct platform_store;

#ifdef __cplusplus
extern "C" {
#endif

struct platform_store *platform_store_new(void);
void platform_store_free(struct platform_store *store);
bool platform_store_load(struct platform_store *store, const char *directory);
uint64_t platform_store_put(struct platform_store *store, const char *key,
                            const char *value, size_t value_bytes);
uint64_t platform_store_revision(const struct platform_store *store);
bool platform_store_set_vms(struct platform_store *store, json_t *vms,
                            int64_t as_of_ms);
json_t *platform_store_records(const struct platform_store *store,
                               uint64_t after, uint32_t limit,
                               uint64_t as_of_revision);
json_t *platform_store_vms(const struct platform_store *store, bool stale,
                           int64_t as_of_ms);
void platform_store_freeze_vms(struct platform_store *store);

#ifdef __cplusplus
}
#endif

#endif
