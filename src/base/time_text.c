#include "time_text.h"

#include <glib.h>
#include <string.h>

/* 2^53 ms, up to which a double is exact and the conversion to an integer is
 * safe. */
#define MAX_TIME_MS 9007199254740992.0

/* Parses a time such as "1500ms" or "2.5s". unit is the unit of a number
 * without one, or NULL if the text must contain it. A time longer than 2^53 ms
 * is read as 2^53 ms. Returns false when the text is malformed. */
bool
rp_time_parse(const char *text, const char *unit, int64_t *time_ms)
{
    char *end = NULL;
    if (text == NULL || !g_ascii_isdigit(text[0])) {
        return false;
    }
    double number = g_ascii_strtod(text, &end);
    const char *parsed_unit = end[0] == '\0' && unit != NULL ? unit : end;
    if (strcmp(parsed_unit, "s") == 0) {
        number *= 1000;
    }
    else if (strcmp(parsed_unit, "ms") != 0) {
        return false;
    }
    *time_ms = (int64_t)(MIN(number, MAX_TIME_MS) + 0.5);
    return true;
}
