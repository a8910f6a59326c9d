#include "deadline.h"

#include "error.h"

static bool
parse_number(const char *name, const char *text, guint64 max, uint32_t *number,
             GError **error)
{
    guint64 value;
    if (!g_ascii_string_to_unsigned(text, 10, 1, max, &value, NULL)) {
        g_set_error(error, RP_ERROR, RP_ERROR_REQUEST,
                    "%s '%.40s' cannot be used: send a whole number from 1 "
                    "to %" G_GUINT64_FORMAT ", or leave the header out",
                    name, text, max);
        return false;
    }
    *number = (uint32_t)value;
    return true;
}

/* Parses RP-Timeout-Ms, the remaining time in milliseconds. Zero is invalid,
 * since no time would be left. Returns false with RP_ERROR_REQUEST set. */
bool
rp_deadline_parse_timeout(const char *text, uint32_t *timeout_ms,
                          GError **error)
{
    return parse_number("RP-Timeout-Ms", text, RP_DEADLINE_MAX_TIMEOUT_MS,
                        timeout_ms, error);
}

/* Parses RP-Attempts-Left, the number of attempts that the call and all calls
 * nested in it may make together, including the first. Zero is invalid.
 * Returns false with RP_ERROR_REQUEST set. */
bool
rp_deadline_parse_attempts(const char *text, uint32_t *attempts_left,
                           GError **error)
{
    return parse_number("RP-Attempts-Left", text, 1000000, attempts_left,
                        error);
}

/* Sets the limits of a call received at received_ns. timeout_ms is capped at
 * max_timeout_ms. attempts_left is capped at RP_DEADLINE_MAX_ATTEMPTS; pass
 * UINT32_MAX when the caller set none. */
void
rp_deadline_start(struct rp_deadline *deadline, uint32_t timeout_ms,
                  uint32_t max_timeout_ms, uint32_t attempts_left,
                  int64_t received_ns)
{
    uint32_t attempts = CLAMP(attempts_left, 1, RP_DEADLINE_MAX_ATTEMPTS);
    deadline->deadline_ns =
        received_ns + (int64_t)MIN(timeout_ms, max_timeout_ms) * 1000000;
    deadline->retries_left = attempts - 1;
    deadline->not_run_retries_left = RP_DEADLINE_MAX_NOT_RUN_RETRIES;
}

/* Returns whether the deadline has passed. */
bool
rp_deadline_expired(const struct rp_deadline *deadline, int64_t now_ns)
{
    return now_ns >= deadline->deadline_ns;
}

/* Moves half of the retries, rounded down, to the calls nested in an attempt
 * and returns their number. Each retry can then be used in one place of the
 * tree only: a request with n retries runs at most n + 1 times at any depth.
 * Passing all of them down would multiply them from call to call. */
uint32_t
rp_deadline_split_retries(uint32_t *retries_left)
{
    uint32_t nested_retries = *retries_left / 2;
    *retries_left -= nested_retries;
    return nested_retries;
}

/* Sets the limits of the next attempt. Half of the retries, rounded down, move
 * to the attempt; see rp_deadline_split_retries. Returns false when too little
 * time is left for an attempt. */
bool
rp_deadline_grant_attempt(struct rp_deadline *deadline, int64_t now_ns,
                          struct rp_deadline_grant *grant)
{
    int64_t left_ns = deadline->deadline_ns - now_ns - RP_DEADLINE_MARGIN_NS;
    if (left_ns < 1000000) {
        return false;
    }
    uint32_t nested_retries =
        rp_deadline_split_retries(&deadline->retries_left);
    grant->deadline_ns = deadline->deadline_ns;
    grant->timeout_ms = (uint32_t)(left_ns / 1000000);
    grant->attempts_left = 1 + nested_retries;
    return true;
}

/* Uses one retry of the call. not_run: the previous attempt certainly did not
 * run. Returns false when no such retry or no time is left. */
bool
rp_deadline_use_retry(struct rp_deadline *deadline, bool not_run,
                      int64_t now_ns)
{
    uint32_t *retries =
        not_run ? &deadline->not_run_retries_left : &deadline->retries_left;
    if (*retries == 0 || rp_deadline_expired(deadline, now_ns)) {
        return false;
    }
    (*retries)--;
    return true;
}
