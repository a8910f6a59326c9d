#include <stdlib.h>
#include <string.h>

#include "load.h"

int LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t count);

/* Parses any text as a load report; what is accepted must read back the same
 * after formatting. */
int
LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t count)
{
    char *text = g_strndup((const char *)bytes, count);
    struct rp_load_report report = {0};
    GError *error = NULL;
    if (rp_load_parse(text, &report, &error)) {
        struct rp_load_report again = {0};
        GString *formatted = g_string_new(NULL);
        rp_load_format(&report, formatted);
        if (!rp_load_parse(formatted->str, &again, NULL) ||
            again.in_flight != report.in_flight ||
            again.slots != report.slots || again.queued != report.queued ||
            again.service_us != report.service_us ||
            again.state != report.state)
        {
            abort();
        }
        g_string_free(formatted, TRUE);
    }
    g_clear_error(&error);
    g_free(text);
    return 0;
}
