#include "deadline.h"

#include "error.h"

static bool
parse_number(const char *name, const char *text, guint64 limit,
             uint32_t *number, GError **error)
{
    guint64 value;
    if (!g_ascii_string_to_unsigned(text, 10, 1, limit, &value, NULL)) {
        g_set_error(error, RP_ERROR, RP_ERROR_REQUEST,
                    "%s '%.40s' cannot be used: send a whole number from 1 "
                    "to %" G_GUINT64_FORMAT ", or leave the header out",
                    name, text, limit);
        return false;
    }
    *number = (uint32_t)value;
    return true;
}

/* Reads RP-Timeout-Ms, the remaining time in milliseconds. Zero is refused,
 * since no time is left. Returns false with RP_ERROR_REQUEST set. */
bool
rp_deadline_parse_timeout(const char *text, uint32_t *timeout_ms,
                          GError **error)
{
    return parse_number("RP-Timeout-Ms", text, RP_DEADLINE_MAX_TIMEOUT_MS,
                        timeout_ms, error);
}

/* Reads RP-Attempts-Left, the attempts that the call and all calls nested in
 * it may make together, the first one included. Zero is refused. Returns
 * false with RP_ERROR_REQUEST set. */
bool
rp_deadline_parse_attempts(const char *text, uint32_t *attempts_left,
                           GError **error)
{
    return parse_number("RP-Attempts-Left", text, 1000000, attempts_left,
                        error);
}

/* Sets what a call received at received_ns may use. timeout_ms is cut to
 * max_timeout_ms. attempts_left above RP_DEADLINE_MAX_ATTEMPTS, such as
 * UINT32_MAX for a caller that set none, is cut to it. */
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

/* Returns whether there is no time left. */
bool
rp_deadline_expired(const struct rp_deadline *deadline, int64_t now_ns)
{
    return now_ns >= deadline->deadline_ns;
}

/* Takes half of the repeats, rounded down, for calls nested in an attempt
 * and returns them. Each repeat can then be used in one place of the tree
 * only: a request of n repeats runs at most n + 1 times at any depth, where
 * handing all of them down would allow n to multiply from call to call. */
uint32_t
rp_deadline_split_retries(uint32_t *repeats_left)
{
    uint32_t given = *repeats_left / 2;
    *repeats_left -= given;
    return given;
}

/* Splits off what the next attempt is told. Half of the repeats, rounded
 * down, go with the attempt and are gone here: each repeat can be used in one
 * place of the tree only, so however deep calls are nested, a request of n
 * attempts runs at most n times at any depth. Returns false when too little
 * time is left for an attempt. */
bool
rp_deadline_grant_attempt(struct rp_deadline *deadline, int64_t now_ns,
                          struct rp_deadline_grant *share)
{
    int64_t left_ns = deadline->deadline_ns - now_ns - RP_DEADLINE_MARGIN_NS;
    if (left_ns < 1000000) {
        return false;
    }
    uint32_t given = rp_deadline_split_retries(&deadline->retries_left);
    share->deadline_ns = deadline->deadline_ns;
    share->timeout_ms = (uint32_t)(left_ns / 1000000);
    share->attempts_left = 1 + given;
    return true;
}

/* Takes one further attempt of the same call, after a truly not-run one or
 * another. Returns false when none or no time is left. */
bool
rp_deadline_use_retry(struct rp_deadline *deadline, bool not_run,
                      int64_t now_ns)
{
    uint32_t *left =
        not_run ? &deadline->not_run_retries_left : &deadline->retries_left;
    if (*left == 0 || rp_deadline_expired(deadline, now_ns)) {
        return false;
    }
    (*left)--;
    return true;
}
