#ifndef RP_STATUS_H
#define RP_STATUS_H

#include <jansson.h>
#include <stdint.h>

#include "kernel.h"

/* Body of RP_MSG_STATUS_REQUEST, which the task named admin sends to all. */
struct rp_status_request {
    uint64_t request_id;
};

/* Body of RP_MSG_STATUS_SECTION: what one task has to say. The object becomes
 * a member of the status document under the name of the section. */
struct rp_status_section {
    uint64_t request_id;
    const char *name; /* a string literal */
    json_t *object;   /* a reference that the kernel releases */
};

#ifdef __cplusplus
extern "C" {
#endif

void rp_status_reply(struct rp_task *task, const struct rp_message *want,
                     const char *section, json_t *object);
void rp_status_section_release(void *body);

#ifdef __cplusplus
}
#endif

#endif
