#include "expected_body.h"

#include <string.h>

/* Returns whether body is the beginning of what the target's stand-in sends
 * for the request with this id: the id and a dot, repeated. */
bool
standin_body_matches(const char *body, size_t bytes, const char *id)
{
    size_t period = strlen(id) + 1;
    for (size_t i = 0; i < bytes; i++) {
        size_t position = i % period;
        int expected = position == period - 1 ? '.' : id[position];
        if (body[i] != expected) {
            return false;
        }
    }
    return true;
}
