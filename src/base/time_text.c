#include "time_text.h"

#include <glib.h>
#include <string.h>

/* Greatest time that is taken, so that it can be converted: 2^53 ms, up to
 * which a double is exact. */
#define MOST_MS 9007199254740992.0

/* Reads a time such as "1500ms" or "2.5s". unit is that of a number without
 * one, or NULL when it must be given. Returns false when the text is anything
 * else, or longer than any time that is meant. */
bool
rp_time_parse(const char *text, const char *unit, int64_t *time_ms)
{
    char *end = NULL;
    if (text == NULL || !g_ascii_isdigit(text[0])) {
        return false;
    }
    double number = g_ascii_strtod(text, &end);
    const char *given = end[0] == '\0' && unit != NULL ? unit : end;
    if (strcmp(given, "s") == 0) {
        number *= 1000;
    }
    else if (strcmp(given, "ms") != 0) {
        return false;
    }
    if (number > MOST_MS) {
        return false;
    }
    *time_ms = (int64_t)(number + 0.5);
    return true;
}
