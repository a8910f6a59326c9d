#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "gateway.h"
#include "record.h"

int LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t count);

/* Drops warnings, because each invalid configuration logs some. */
static GLogWriterOutput
drop_log(GLogLevelFlags level, const GLogField *fields, gsize count,
         gpointer data)
{
    (void)level;
    (void)fields;
    (void)count;
    (void)data;
    return G_LOG_WRITER_HANDLED;
}

int LLVMFuzzerInitialize(int *argc, char ***argv);

int
LLVMFuzzerInitialize(int *argc, char ***argv)
{
    (void)argc;
    (void)argv;
    g_log_set_writer_func(drop_log, NULL, NULL);
    return 0;
}

static void
check_record(const char *key, char *text)
{
    if (text == NULL) {
        return;
    }
    struct rp_record *record =
        rp_record_parse(key, text, strlen(text), NULL, NULL);
    rp_record_free(record);
    free(text);
}

static void
parse_answers(const uint8_t *bytes, size_t count)
{
    struct rp_platform_protocol *store = rp_gateway_store_new();
    for (int round = 0; round < 3; round++) {
        struct rp_platform_answer answer;
        g_free(store->records_path(store->data, 1, 0, 1));
        if (store->parse_answer(store->data, 200, 0, (const char *)bytes,
                                count, &answer, NULL))
        {
            rp_record_batch_unref(answer.batch);
            rp_record_batch_unref(answer.removed);
        }
    }
    rp_gateway_store_free(store);
}

/* Translates the input with the adapter as a target, as routes and as answers
 * of the store, and parses the resulting records. */
int
LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t count)
{
    check_record("target/i-1", rp_gateway_target_record(
                                   "i-1", (const char *)bytes, count, 1));
    check_record("routes", rp_gateway_routes_record((const char *)bytes, count,
                                                    1, NULL));
    parse_answers(bytes, count);
    return 0;
}
