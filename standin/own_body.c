#include "own_body.h"

#include <string.h>

/* Returns whether an answer's body is what the target's stand-in makes for
 * this request: its id and a dot, repeated. */
bool
standin_own_body_check(const char *body, size_t bytes, const char *id)
{
    size_t period = strlen(id) + 1;
    for (size_t i = 0; i < bytes; i++) {
        size_t at = i % period;
        int expected = at == period - 1 ? '.' : id[at];
        if (body[i] != expected) {
            return false;
        }
    }
    return true;
}
