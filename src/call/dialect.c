#include "dialect.h"

#include <string.h>

#include "deadline.h"
#include "http_rules.h"

/* The dialect described in docs/interfaces.md, whose fields begin with
 * "RP-". */

static enum rp_field_use
parse_number(const char *value, uint64_t max, uint32_t *number)
{
    uint64_t parsed;
    if (!rp_http_parse_number(value, max, &parsed)) {
        return RP_FIELD_INVALID;
    }
    *number = (uint32_t)parsed;
    return RP_FIELD_CONSUMED;
}

static enum rp_field_use
parse_request_field(void *data, struct rp_call *call, const char *name,
                    const char *value)
{
    (void)data;
    if (!rp_http_is_rp_field(name)) {
        return RP_FIELD_FORWARDED;
    }
    if (g_ascii_strcasecmp(name, "RP-Timeout-Ms") == 0) {
        enum rp_field_use use =
            parse_number(value, RP_DEADLINE_MAX_TIMEOUT_MS, &call->timeout_ms);
        call->timeout_ms = MAX(call->timeout_ms, 1);
        return use;
    }
    if (g_ascii_strcasecmp(name, "RP-Attempts-Left") == 0) {
        return parse_number(value, 1000, &call->attempts_left);
    }
    if (g_ascii_strcasecmp(name, "RP-Ticket") == 0) {
        if (strlen(value) >= RP_TICKET_BYTES) {
            return RP_FIELD_INVALID;
        }
        g_free(call->ticket);
        call->ticket = g_strdup(value);
    }
    else if (g_ascii_strcasecmp(name, "RP-Request-Id") == 0) {
        if (!rp_http_request_id_valid(value)) {
            return RP_FIELD_INVALID;
        }
        g_strlcpy(call->request_id, value, sizeof(call->request_id));
    }
    else if (g_ascii_strcasecmp(name, "RP-Passed-On") == 0) {
        call->passed_on = true;
    }
    return RP_FIELD_CONSUMED;
}

static void
add_number(rp_field_add *add, void *add_data, const char *name, int64_t number)
{
    char text[32];
    g_snprintf(text, sizeof(text), "%" G_GINT64_FORMAT, number);
    add(add_data, name, text);
}

static void
add_attempt_fields(void *data, const struct rp_attempt_start *start,
                   int64_t left_ms, rp_field_add *add, void *add_data)
{
    (void)data;
    const struct rp_call *call = start->call;
    add_number(add, add_data, "RP-Timeout-Ms", left_ms);
    add_number(add, add_data, "RP-Attempts-Left", start->attempts_left);
    add_number(add, add_data, "RP-Attempt", start->number);
    add(add_data, "RP-Request-Id", call->request_id);
    if ((start->flags & RP_ATTEMPT_PASS_ON) != 0 && call->ticket != NULL) {
        add(add_data, "RP-Ticket", call->ticket);
        add(add_data, "RP-Passed-On", "1");
    }
}

static enum rp_field_use
parse_answer_field(void *data, const struct rp_call *call,
                   struct rp_answer *answer, const char *name,
                   const char *value)
{
    (void)data;
    if (!rp_http_is_rp_field(name)) {
        return RP_FIELD_FORWARDED;
    }
    if (g_ascii_strcasecmp(name, "RP-Request-Id") == 0) {
        /* A probe sends no id: an answer with one is not its own. */
        answer->echoes_request_id =
            call != NULL && strcmp(value, call->request_id) == 0;
        return answer->echoes_request_id ? RP_FIELD_CONSUMED
                                         : RP_FIELD_INVALID;
    }
    if (g_ascii_strcasecmp(name, "RP-Load") == 0) {
        answer->has_load = rp_load_parse(value, &answer->load, NULL);
    }
    else if (g_ascii_strcasecmp(name, "RP-Outcome") == 0) {
        bool not_run = strcmp(value, "not-run") == 0;
        answer->refused = answer->status == 503 && not_run;
        answer->outcome = not_run ? RP_OUTCOME_NOT_RUN : RP_OUTCOME_UNKNOWN;
    }
    else if (g_ascii_strcasecmp(name, "RP-Retry-After-Ms") == 0) {
        uint64_t number;
        if (rp_http_parse_number(value, RP_DEADLINE_MAX_TIMEOUT_MS, &number)) {
            answer->retry_after_ms = (int64_t)number;
        }
    }
    return RP_FIELD_CONSUMED;
}

static void
add_outcome(enum rp_outcome outcome, int64_t retry_after_ms, rp_field_add *add,
            void *add_data)
{
    add(add_data, "RP-Outcome",
        outcome == RP_OUTCOME_NOT_RUN ? "not-run" : "unknown");
    if (retry_after_ms > 0) {
        add_number(add, add_data, "Retry-After",
                   (retry_after_ms + 999) / 1000);
        add_number(add, add_data, "RP-Retry-After-Ms", retry_after_ms);
    }
}

static void
add_reply_fields(void *data, const struct rp_call *call,
                 const struct rp_call_reply *reply, rp_field_add *add,
                 void *add_data)
{
    (void)data;
    if (call != NULL) {
        add(add_data, "RP-Request-Id", call->request_id);
    }
    if (reply->outcome != RP_OUTCOME_NONE) {
        add_outcome(reply->outcome, reply->retry_after_ms, add, add_data);
    }
    else if (reply->answer->outcome != RP_OUTCOME_NONE) {
        /* Set by the entry VM that the request was passed on to. */
        add_outcome(reply->answer->outcome, reply->answer->retry_after_ms, add,
                    add_data);
    }
}

/* The native dialect, used when no adapter is configured. */
const struct rp_dialect rp_dialect_native = {
    .address_path = "/v1/addresses",
    .parse_request_field = parse_request_field,
    .add_attempt_fields = add_attempt_fields,
    .parse_answer_field = parse_answer_field,
    .add_reply_fields = add_reply_fields,
};
