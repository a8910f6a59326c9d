#ifndef RP_PLATFORM_PROTOCOL_H
#define RP_PLATFORM_PROTOCOL_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "platform_answer.h"

/* Requests to a kind of platform and the parsing of its answers. Each function
 * receives data as its first argument. */
struct rp_platform_protocol {
    void *data;
    /* Path of the list of VMs; NULL when the platform has none. */
    const char *vms_path;
    /* Name of the answers' header field with the platform's epoch, a number
     * that rises when the platform comes back from an older copy of its data;
     * NULL when it has none. */
    const char *epoch_field;
    /* Returns the path and query of a read of at most limit records with
     * revision counters above after. Without any, the platform waits for one
     * up to wait_ms. The caller frees the string. */
    char *(*records_path)(void *data, uint64_t after, int64_t wait_ms,
                          uint32_t limit);
    /* Makes the next read the first one of a new listing. NULL when a read
     * after revision 0 is one. */
    void (*restart_listing)(void *data);
    /* Makes the next read return changes after its revision although nothing
     * was listed: peers have sent the records up to there. Returns false while
     * a listing has begun. NULL when the platform needs no listing. */
    bool (*skip_listing)(void *data);
    /* Path of a cheap read that returns only the revision, which may lag; NULL
     * when the platform has none, and always when it has a list of VMs. */
    const char *revision_path;
    /* Returns the revision counter in the answer to revision_path, 0 for
     * none. */
    uint64_t (*parse_revision)(void *data, uint32_t status, const char *text,
                               size_t text_bytes);
    /* Parses the answer to records_path, whose revisions are of an epoch.
     * Returns false with an error set when the read failed or the answer is
     * malformed. */
    bool (*parse_answer)(void *data, uint32_t status, uint64_t epoch,
                         const char *text, size_t text_bytes,
                         struct rp_platform_answer *answer, GError **error);
};

#ifdef __cplusplus
extern "C" {
#endif

extern const struct rp_platform_protocol rp_platform_protocol_native;

#ifdef __cplusplus
}
#endif

#endif
