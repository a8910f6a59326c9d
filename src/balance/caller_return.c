#include "caller_return.h"

#include <glib.h>
#include <string.h>

/* The first remaining time is that of the last 32 to 64 calls. */
#define CALLS_PER_GROUP 32
/* Smaller differences come from the way to this entry VM. */
#define TOLERANCE_MS 8

static void
insert(uint32_t longest_ms[2], uint32_t remaining_ms)
{
    if (remaining_ms > longest_ms[0]) {
        longest_ms[1] = longest_ms[0];
        longest_ms[0] = remaining_ms;
    }
    else if (remaining_ms > longest_ms[1]) {
        longest_ms[1] = remaining_ms;
    }
}

/* Records a call with the remaining time that its caller stated, and returns
 * how long ago the caller made its first attempt; 0 if this is the first. The
 * first remaining time of the route is the second longest of the latest calls,
 * so that a single caller with more time does not make all others look as if
 * they returned. */
uint32_t
rp_caller_return_elapsed_ms(struct rp_caller_return *callers,
                            uint32_t remaining_ms)
{
    if (callers->calls == CALLS_PER_GROUP) {
        memcpy(callers->longest_ms[1], callers->longest_ms[0],
               sizeof(callers->longest_ms[1]));
        memset(callers->longest_ms[0], 0, sizeof(callers->longest_ms[0]));
        callers->calls = 0;
    }
    callers->calls++;
    insert(callers->longest_ms[0], remaining_ms);
    uint32_t longest_ms[2] = {callers->longest_ms[0][0],
                              callers->longest_ms[0][1]};
    insert(longest_ms, callers->longest_ms[1][0]);
    insert(longest_ms, callers->longest_ms[1][1]);
    uint32_t first_ms = longest_ms[1];
    return first_ms > remaining_ms + TOLERANCE_MS ? first_ms - remaining_ms
                                                  : 0;
}
