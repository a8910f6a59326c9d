#ifndef RP_PLATFORM_ANSWER_H
#define RP_PLATFORM_ANSWER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "record_batch.h"

/* A parsed answer to GET /records. */
struct rp_platform_answer {
    uint64_t revision;      /* of the platform at the time of the answer */
    uint64_t last_revision; /* greatest of the records; 0 without records */
    bool has_more;
    uint32_t malformed;            /* entries that were skipped */
    struct rp_record_batch *batch; /* one reference, owned by the caller */
    /* Records that retire the targets that the platform removed; NULL for
     * none. One reference, owned by the caller. */
    struct rp_record_batch *removed;
    /* The answer is a page of a full listing. Targets that are on none of its
     * pages, from the first to the one without has_more, were removed. */
    bool is_listing;
    bool is_first_page;
};

#ifdef __cplusplus
extern "C" {
#endif

bool rp_platform_answer_parse(const char *text, size_t text_bytes,
                              uint64_t epoch,
                              struct rp_platform_answer *answer,
                              GError **error);

#ifdef __cplusplus
}
#endif

#endif
