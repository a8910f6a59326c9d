#include "platform_answer.h"

#include <jansson.h>
#include <string.h>

#include "error.h"
#include "record.h"

static bool
add_entry(const json_t *entry, struct rp_platform_answer *answer)
{
    const json_t *key = json_object_get(entry, "key");
    const json_t *value = json_object_get(entry, "value");
    json_int_t revision =
        json_integer_value(json_object_get(entry, "revision"));
    if (!json_is_string(key) || !json_is_string(value) || revision < 1 ||
        json_string_length(key) > RP_RECORD_MAX_KEY_BYTES)
    {
        return false;
    }
    GBytes *bytes =
        g_bytes_new(json_string_value(value), json_string_length(value));
    rp_record_batch_add(answer->batch, json_string_value(key),
                        (uint64_t)revision, bytes);
    g_bytes_unref(bytes);
    answer->last = MAX(answer->last, (uint64_t)revision);
    return true;
}

/* Parses the platform's answer to GET /records. Malformed entries are left
 * out and counted; the values are checked by the record set. Returns false
 * with RP_ERROR_PLATFORM set when it is no such answer; else the caller
 * unrefs answer->batch. */
bool
rp_platform_answer_parse(const char *text, size_t text_bytes,
                         struct rp_platform_answer *answer, GError **error)
{
    json_error_t failure = {0};
    memset(answer, 0, sizeof(*answer));
    json_t *root = json_loadb(text, text_bytes, JSON_ALLOW_NUL, &failure);
    const json_t *records = json_object_get(root, "records");
    const json_t *revision = json_object_get(root, "revision");
    if (!json_is_array(records) || !json_is_integer(revision) ||
        json_integer_value(revision) < 0)
    {
        g_set_error(error, RP_ERROR, RP_ERROR_PLATFORM,
                    "the platform's answer to GET /records is malformed "
                    "(%s); check the address of the platform",
                    root == NULL ? failure.text
                                 : "no \"revision\" or no \"records\"");
        json_decref(root);
        return false;
    }
    answer->batch = rp_record_batch_new();
    answer->revision = (uint64_t)json_integer_value(revision);
    size_t index;
    json_t *entry;
    json_array_foreach((json_t *)records, index, entry)
    {
        answer->malformed += add_entry(entry, answer) ? 0 : 1;
    }
    /* A page without records would be asked for again and again. */
    answer->has_more = json_is_true(json_object_get(root, "more")) &&
                       rp_record_batch_count(answer->batch) > 0;
    json_decref(root);
    return true;
}
