#ifndef RP_PLATFORM_ANSWER_H
#define RP_PLATFORM_ANSWER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "record_batch.h"

/* A parsed answer to GET /records. */
struct rp_platform_answer {
    uint64_t revision; /* of the platform, when it answered */
    uint64_t last;     /* greatest revision of the records; 0 without any */
    bool has_more;
    uint32_t malformed;            /* entries left out */
    struct rp_record_batch *batch; /* one reference, of the caller */
    /* Records that retire what the platform removed; NULL for none. One
     * reference, of the caller. */
    struct rp_record_batch *removed;
    /* The answer is a page of a listing of all that there is: what is in none
     * of its pages, the first one to the one without more, is gone. */
    bool is_listing;
    bool is_first_page;
};

#ifdef __cplusplus
extern "C" {
#endif

bool rp_platform_answer_parse(const char *text, size_t text_bytes,
                              struct rp_platform_answer *answer,
                              GError **error);

#ifdef __cplusplus
}
#endif

#endif
