#include "call.h"

#include <string.h>

/* Appends a field; the strings are copied. */
void
rp_fields_add(struct rp_fields *fields, const char *name, const char *value)
{
    if (fields->text == NULL) {
        fields->text = g_string_sized_new(256);
    }
    g_string_append_len(fields->text, name, (gssize)strlen(name) + 1);
    g_string_append_len(fields->text, value, (gssize)strlen(value) + 1);
    fields->count++;
}

/* Gets the next field and advances *position, which is 0 for the first.
 * Returns false after the last. The strings belong to the list. */
bool
rp_fields_next(const struct rp_fields *fields, uint32_t *position,
               const char **name, const char **value)
{
    if (fields->text == NULL || *position >= fields->text->len) {
        return false;
    }
    *name = fields->text->str + *position;
    *value = *name + strlen(*name) + 1;
    *position += (uint32_t)(strlen(*name) + strlen(*value) + 2);
    return true;
}

/* Returns the value of the first field with that name, ignoring case, or
 * NULL. */
const char *
rp_fields_get(const struct rp_fields *fields, const char *name)
{
    uint32_t position = 0;
    const char *field;
    const char *value;
    while (rp_fields_next(fields, &position, &field, &value)) {
        if (g_ascii_strcasecmp(field, name) == 0) {
            return value;
        }
    }
    return NULL;
}

/* Frees the fields; the list is empty afterwards. */
void
rp_fields_clear(struct rp_fields *fields)
{
    if (fields->text != NULL) {
        g_string_free(fields->text, TRUE);
    }
    fields->text = NULL;
    fields->count = 0;
}

/* Creates a call with one reference and no body, limits or fields. The
 * strings are copied; host may be NULL. */
struct rp_call *
rp_call_new(uint64_t id, const char *method, const char *target,
            const char *host)
{
    struct rp_call *call = g_new0(struct rp_call, 1);
    call->id = id;
    call->references = 1;
    call->method = g_strdup(method);
    call->target = g_strdup(target);
    call->host = g_strdup(host == NULL ? "" : host);
    call->attempts_left = RP_ATTEMPTS_UNSET;
    return call;
}

/* Adds a reference and returns the call. */
struct rp_call *
rp_call_ref(struct rp_call *call)
{
    call->references++;
    return call;
}

/* Releases a reference; the last one frees the call. NULL is allowed. */
void
rp_call_unref(struct rp_call *call)
{
    if (call == NULL || --call->references > 0) {
        return;
    }
    g_free(call->method);
    g_free(call->target);
    g_free(call->host);
    g_free(call->ticket);
    rp_fields_clear(&call->fields);
    rp_stream_unref(call->request);
    g_free(call);
}

/* Creates the head of an answer with one reference and no fields. */
struct rp_answer *
rp_answer_new(uint32_t status)
{
    struct rp_answer *answer = g_new0(struct rp_answer, 1);
    answer->references = 1;
    answer->status = status;
    answer->body_bytes = RP_LENGTH_UNKNOWN;
    return answer;
}

/* Adds a reference and returns the answer. */
struct rp_answer *
rp_answer_ref(struct rp_answer *answer)
{
    answer->references++;
    return answer;
}

/* Releases a reference; the last one frees the answer. NULL is allowed. */
void
rp_answer_unref(struct rp_answer *answer)
{
    if (answer == NULL || --answer->references > 0) {
        return;
    }
    rp_fields_clear(&answer->fields);
    g_free(answer);
}

/* Releases the reference in the body of an RP_MSG_CALL_START message. */
void
rp_call_start_release(void *body)
{
    struct rp_call_start *start = body;
    rp_call_unref(start->call);
}

/* Releases the references in the body of an RP_MSG_CALL_REPLY message. */
void
rp_call_reply_release(void *body)
{
    struct rp_call_reply *reply = body;
    rp_answer_unref(reply->answer);
    rp_stream_unref(reply->body);
}

/* Releases the references in the body of an RP_MSG_ATTEMPT_START message. */
void
rp_attempt_start_release(void *body)
{
    struct rp_attempt_start *start = body;
    rp_call_unref(start->call);
    rp_stream_unref(start->body);
}

/* Releases the reference in the body of an RP_MSG_ATTEMPT_HEAD message. */
void
rp_attempt_head_release(void *body)
{
    struct rp_attempt_head *head = body;
    rp_answer_unref(head->answer);
}
