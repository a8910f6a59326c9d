#include "status.h"

/* Releases the document in the body of an RP_MSG_STATUS_SECTION message. */
void
rp_status_section_release(void *body)
{
    struct rp_status_section *section = body;
    json_decref(section->object);
}

/* Answers an RP_MSG_STATUS_REQUEST message with one section of the status
 * document. name is a string literal; the function takes ownership of the
 * reference to object. */
void
rp_status_reply(struct rp_task *task, const struct rp_message *request,
                const char *name, json_t *object)
{
    const struct rp_status_request *body = request->body;
    struct rp_status_section section = {
        .request_id = body->request_id,
        .name = name,
        .object = object,
    };
    struct rp_task *to =
        rp_kernel_find_task(rp_task_kernel(task), request->from);
    if (!rp_task_send_owned(task, to, RP_MSG_STATUS_SECTION, &section,
                            sizeof(section), rp_status_section_release))
    {
        json_decref(object);
    }
}
