#include "load.h"

#include <string.h>

#include "error.h"

/* Maximum of any number in a report. Larger ones are a fault of the target and
 * would distort the load balancing. */
#define MAX_VALUE 1000000000u

static const char *const state_names[] = {"serving", "cold", "draining"};

static bool
parse_state(const char *text, enum rp_target_state *state)
{
    for (guint i = 0; i < G_N_ELEMENTS(state_names); i++) {
        if (strcmp(text, state_names[i]) == 0) {
            *state = (enum rp_target_state)i;
            return true;
        }
    }
    return false;
}

static bool
parse_field(const char *key, const char *value, struct rp_load_report *report)
{
    if (strcmp(key, "state") == 0) {
        return parse_state(value, &report->state);
    }
    uint32_t *field = strcmp(key, "inflight") == 0     ? &report->in_flight
                      : strcmp(key, "slots") == 0      ? &report->slots
                      : strcmp(key, "queue") == 0      ? &report->queued
                      : strcmp(key, "service_us") == 0 ? &report->service_us
                      : strcmp(key, "slowness_percent") == 0
                          ? &report->slowness_percent
                      : strcmp(key, "cold_ms") == 0 ? &report->cold_ms
                                                    : NULL;
    if (field == NULL) {
        return true; /* a field of a later version */
    }
    guint64 number;
    if (!g_ascii_string_to_unsigned(value, 10, 0, MAX_VALUE, &number, NULL)) {
        return false;
    }
    *field = (uint32_t)number;
    report->has_cold |= field == &report->cold_ms;
    return true;
}

/* Parses a report such as "inflight=3, slots=6, queue=0, service_us=4200,
 * state=serving". Unknown fields are ignored; missing ones are zero.
 * Returns false with RP_ERROR_TARGET set, and the report unchanged, when a
 * field is malformed or out of range. */
bool
rp_load_parse(const char *text, struct rp_load_report *report, GError **error)
{
    struct rp_load_report parsed = {0};
    char **fields = g_strsplit(text, ",", 16);
    bool valid = true;
    for (char **field = fields; *field != NULL && valid; field++) {
        char *key = g_strstrip(*field);
        char *equals = strchr(key, '=');
        if (equals == NULL) {
            valid = false;
            break;
        }
        *equals = '\0';
        valid = parse_field(key, equals + 1, &parsed);
    }
    g_strfreev(fields);
    if (!valid) {
        g_set_error(error, RP_ERROR, RP_ERROR_TARGET,
                    "load report '%.80s' is malformed: the target must send "
                    "key=value pairs separated by commas, numbers up to %u",
                    text, MAX_VALUE);
        return false;
    }
    *report = parsed;
    return true;
}

/* Appends a report in the form that rp_load_parse accepts, without
 * slowness_percent. */
void
rp_load_format(const struct rp_load_report *report, GString *out)
{
    g_string_append_printf(
        out, "inflight=%u, slots=%u, queue=%u, service_us=%u, state=%s",
        report->in_flight, report->slots, report->queued, report->service_us,
        state_names[report->state]);
    if (report->has_cold) {
        g_string_append_printf(out, ", cold_ms=%u", report->cold_ms);
    }
}
