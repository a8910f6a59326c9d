#include "platform_answer.h"

#include <jansson.h>
#include <string.h>

#include "error.h"
#include "record.h"
#include "revision.h"

static bool
add_entry(const json_t *entry, uint64_t epoch,
          struct rp_platform_answer *answer)
{
    const json_t *key = json_object_get(entry, "key");
    const json_t *value = json_object_get(entry, "value");
    json_int_t counter =
        json_integer_value(json_object_get(entry, "revision"));
    if (!json_is_string(key) || !json_is_string(value) || counter < 1 ||
        (uint64_t)counter > RP_REVISION_MAX_COUNTER ||
        json_string_length(key) > RP_RECORD_MAX_KEY_BYTES)
    {
        return false;
    }
    GBytes *bytes =
        g_bytes_new(json_string_value(value), json_string_length(value));
    uint64_t revision = rp_revision_make(epoch, (uint64_t)counter);
    rp_record_batch_add(answer->batch, json_string_value(key), revision,
                        bytes);
    g_bytes_unref(bytes);
    answer->last_revision = MAX(answer->last_revision, revision);
    return true;
}

/* Parses the platform's answer to GET /records in an epoch. Malformed entries
 * are skipped and counted; the record set checks the values. On success the
 * caller unrefs answer->batch. Returns false with RP_ERROR_PLATFORM set when
 * the text is not such an answer. */
bool
rp_platform_answer_parse(const char *text, size_t text_bytes, uint64_t epoch,
                         struct rp_platform_answer *answer, GError **error)
{
    json_error_t json_error = {0};
    memset(answer, 0, sizeof(*answer));
    json_t *root = json_loadb(text, text_bytes, JSON_ALLOW_NUL, &json_error);
    const json_t *records = json_object_get(root, "records");
    const json_t *revision = json_object_get(root, "revision");
    if (!json_is_array(records) || !json_is_integer(revision) ||
        json_integer_value(revision) < 0 ||
        (uint64_t)json_integer_value(revision) > RP_REVISION_MAX_COUNTER)
    {
        g_set_error(error, RP_ERROR, RP_ERROR_PLATFORM,
                    "the platform's answer to GET /records is malformed "
                    "(%s); check the address of the platform",
                    root == NULL ? json_error.text
                                 : "no \"revision\" or no \"records\"");
        json_decref(root);
        return false;
    }
    answer->batch = rp_record_batch_new();
    answer->revision =
        rp_revision_make(epoch, (uint64_t)json_integer_value(revision));
    size_t index;
    json_t *entry;
    json_array_foreach((json_t *)records, index, entry)
    {
        answer->malformed += add_entry(entry, epoch, answer) ? 0 : 1;
    }
    /* After a page without records, the same page would be read again without
     * end. */
    answer->has_more = json_is_true(json_object_get(root, "more")) &&
                       rp_record_batch_count(answer->batch) > 0;
    json_decref(root);
    return true;
}
