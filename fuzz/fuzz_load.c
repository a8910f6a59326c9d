#include <stdlib.h>
#include <string.h>

#include "load.h"

int LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t count);

/* Parses the input as a load report. An accepted report must be the same after
 * formatting and parsing it again. */
int
LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t count)
{
    char *text = g_strndup((const char *)bytes, count);
    struct rp_load_report report = {0};
    GError *error = NULL;
    if (rp_load_parse(text, &report, &error)) {
        struct rp_load_report reparsed = {0};
        GString *formatted = g_string_new(NULL);
        rp_load_format(&report, formatted);
        if (!rp_load_parse(formatted->str, &reparsed, NULL) ||
            reparsed.in_flight != report.in_flight ||
            reparsed.slots != report.slots ||
            reparsed.queued != report.queued ||
            reparsed.service_us != report.service_us ||
            reparsed.state != report.state)
        {
            abort();
        }
        g_string_free(formatted, TRUE);
    }
    g_clear_error(&error);
    g_free(text);
    return 0;
}
