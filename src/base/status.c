#include "status.h"

/* Releases the document in the body of an RP_MSG_STATUS_SECTION message. */
void
rp_status_section_release(void *body)
{
    struct rp_status_section *part = body;
    json_decref(part->object);
}

/* Answers an RP_MSG_STATUS_REQUEST message with one section of the status
 * document. section is a string literal; the reference to object is taken
 * over. */
void
rp_status_reply(struct rp_task *task, const struct rp_message *want,
                const char *section, json_t *object)
{
    const struct rp_status_request *body = want->body;
    struct rp_status_section part = {
        .request_id = body->request_id,
        .name = section,
        .object = object,
    };
    struct rp_task *to = rp_kernel_find_task(rp_task_kernel(task), want->from);
    if (!rp_task_send_owned(task, to, RP_MSG_STATUS_SECTION, &part,
                            sizeof(part), rp_status_section_release))
    {
        json_decref(object);
    }
}
