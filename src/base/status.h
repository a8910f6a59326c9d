#ifndef RP_STATUS_H
#define RP_STATUS_H

#include <jansson.h>
#include <stdint.h>

#include "kernel.h"

/* Body of RP_MSG_STATUS_WANT, which the task named admin sends to all. */
struct rp_status_want {
    uint64_t request;
};

/* Body of RP_MSG_STATUS_PART: what one task has to say. The object becomes a
 * member of the status document under the name of the section. */
struct rp_status_part {
    uint64_t request;
    const char *section; /* a string literal */
    json_t *object;      /* a reference that the kernel releases */
};

#ifdef __cplusplus
extern "C" {
#endif

void rp_status_reply(struct rp_task *task, const struct rp_message *want,
                     const char *section, json_t *object);
void rp_status_part_release(void *body);

#ifdef __cplusplus
}
#endif

#endif
