#include "record_file.h"

#include <stdbool.h>

#include "error.h"
#include "record.h"

static bool
read_file(struct rp_record_batch *batch, const char *file, GError **error)
{
    char *text = NULL;
    gsize bytes = 0;
    if (!g_file_get_contents(file, &text, &bytes, error)) {
        return false;
    }
    GError *fault = NULL;
    struct rp_record *record =
        rp_record_parse(NULL, text, bytes, NULL, &fault);
    GBytes *value = g_bytes_new_take(text, bytes);
    if (record != NULL) {
        rp_record_batch_add(batch, record->key, 0, value);
    }
    else {
        g_set_error(error, RP_ERROR, RP_ERROR_RECORD,
                    "%s: %s; 'rosemarypulley validate' lists all faults", file,
                    fault->message);
        g_error_free(fault);
    }
    g_bytes_unref(value);
    rp_record_free(record);
    return record != NULL;
}

/* Reads files of one record each; files is a list of names separated by
 * commas. The records get revision 0, so that a published record of the same
 * version takes precedence. Returns a batch that the caller unrefs, or NULL
 * with an error set that contains the file name. */
struct rp_record_batch *
rp_record_file_read_list(const char *files, GError **error)
{
    struct rp_record_batch *batch = rp_record_batch_new();
    char **names = g_strsplit(files, ",", -1);
    bool valid = true;
    for (char **name = names; *name != NULL && valid; name++) {
        valid = read_file(batch, g_strstrip(*name), error);
    }
    g_strfreev(names);
    if (!valid) {
        rp_record_batch_unref(batch);
        return NULL;
    }
    return batch;
}
