#include "platform_protocol.h"

#include "error.h"

static char *
records_path(void *data, uint64_t after, int64_t wait_ms, uint32_t limit)
{
    (void)data;
    return g_strdup_printf("/records?after=%" G_GUINT64_FORMAT
                           "&wait_ms=%" G_GINT64_FORMAT "&limit=%u",
                           after, wait_ms, limit);
}

static bool
take_answer(void *data, uint32_t status, uint64_t epoch, const char *text,
            size_t text_bytes, struct rp_platform_answer *answer,
            GError **error)
{
    (void)data;
    if (status != 200) {
        g_set_error(error, RP_ERROR, RP_ERROR_PLATFORM,
                    "the platform answered with status %u; check the platform",
                    status);
        return false;
    }
    return rp_platform_answer_parse(text, text_bytes, epoch, answer, error);
}

/* The project's native protocol, see docs/interfaces.md. */
const struct rp_platform_protocol rp_platform_protocol_native = {
    .vms_path = "/vms",
    .epoch_field = "Platform-Epoch",
    .records_path = records_path,
    .parse_answer = take_answer,
};
