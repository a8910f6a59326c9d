#ifndef STANDIN_PLATFORM_STORE_H
#define STANDIN_PLATFORM_STORE_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/* State of the platform's stand-in: a log of all published values, which
 * allows answers as of any earlier revision, and the list of VMs. Not
 * thread-safe. */
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
uint64_t platform_store_epoch(const struct platform_store *store);
void platform_store_set_epoch(struct platform_store *store, uint64_t epoch);
bool platform_store_restore(struct platform_store *store, uint64_t revision);
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
