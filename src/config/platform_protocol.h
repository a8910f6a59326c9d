#ifndef RP_PLATFORM_PROTOCOL_H
#define RP_PLATFORM_PROTOCOL_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "platform_answer.h"

/* How a platform is asked for what it holds, and what its answers mean. Each
 * function gets data first. */
struct rp_platform_protocol {
    void *data;
    /* Path of the list of VMs; NULL when the platform has none. */
    const char *vms_path;
    /* Returns path and query of the next read of records later than after, for
     * which the platform may wait. The caller frees it. */
    char *(*records_path)(void *data, uint64_t after, int64_t wait_ms,
                          uint32_t limit);
    /* Path of a cheap read that tells only the revision and may lag; NULL when
     * the platform has none, and always when it lists VMs. */
    const char *revision_path;
    /* Returns the revision that its answer tells, 0 for none. */
    uint64_t (*parse_revision)(void *data, uint32_t status, const char *text,
                               size_t text_bytes);
    /* Takes the answer to a read. Returns false with an error set when it
     * brings nothing. */
    bool (*parse_answer)(void *data, uint32_t status, const char *text,
                         size_t text_bytes, struct rp_platform_answer *answer,
                         GError **error);
};

#ifdef __cplusplus
extern "C" {
#endif

extern const struct rp_platform_protocol rp_platform_protocol_native;

#ifdef __cplusplus
}
#endif

#endif
