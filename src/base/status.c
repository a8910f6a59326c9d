#include "status.h"

/* Releases the document in the body of an RP_MSG_STATUS_PART message. */
void
rp_status_part_release(void *body)
{
    struct rp_status_part *part = body;
    json_decref(part->object);
}

/* Answers an RP_MSG_STATUS_WANT message with one section of the status
 * document. section is a string literal; the reference to object is taken
 * over. */
void
rp_status_reply(struct rp_task *task, const struct rp_message *want,
                const char *section, json_t *object)
{
    const struct rp_status_want *body = want->body;
    struct rp_status_part part = {
        .request = body->request,
        .section = section,
        .object = object,
    };
    struct rp_task *to = rp_kernel_find_task(rp_task_kernel(task), want->from);
    if (!rp_task_send_owned(task, to, RP_MSG_STATUS_PART, &part, sizeof(part),
                            rp_status_part_release))
    {
        json_decref(object);
    }
}
