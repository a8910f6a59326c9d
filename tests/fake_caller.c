#include "fake_caller.h"

#include <string.h>

#include "fake_target.h"

#define MS INT64_C(1000000)
#define MAX_SUBMISSIONS 3
#define MAX_COPIES 3

/* A request sent under one request id, with at most one ticket. Unless it is
 * repeatable, it runs at most once over all copies. It does not run after its
 * caller received the outcome "not-run". */
struct submission {
    char id[RP_REQUEST_ID_BYTES];
    bool repeatable;
    bool reported_not_run;
    uint32_t runs;
    uint32_t copies_sent;
    uint32_t open_copies; /* copies without an outcome yet */
    bool is_whole;
    bool is_unknown;
    char *ticket; /* NULL if none */
};

struct request {
    uint32_t number;
    uint32_t submission_count;
    uint32_t runs;
    bool repeatable;
    bool with_ticket;
    bool answered;
    const char *path;
    uint32_t answer_bytes;
    uint32_t body_bytes;
    struct submission *submission; /* the latest */
};

struct open_call {
    struct fake_callers *callers;
    struct request *request;
    struct submission *submission;
    struct fake_process *process;
    struct rp_call *call;
    struct rp_stream *body; /* of the answer; NULL before its head arrives */
    char answer_id[RP_REQUEST_ID_BYTES];
    uint64_t bytes_read;
    int64_t deadline_ns;
    int64_t read_delay_ns;
    struct fake_process *passed_from;     /* NULL unless passed on */
    struct rp_attempt_start passed_start; /* attempt that passed it on */
};

struct fake_callers {
    struct fake_clock *clock;
    GRand *random;
    struct fake_caller_hooks hooks;
    struct fake_caller_totals totals;
    GHashTable *submissions; /* by id */
    GPtrArray *requests;
    GHashTable *open_calls; /* struct open_call by call id */
    uint64_t last_call_id;
    bool stopped;
};

static const struct {
    const char *path;
    const char *method;
    uint32_t method_flag;
    uint32_t body_bytes;
} services[] = {
    {"/lookup/bin", "GET", RP_METHOD_GET, 0},
    {"/refill/log", "POST", RP_METHOD_POST, 700},
    {"/maps/route", "GET", RP_METHOD_GET, 0},
};

static void
free_submission(gpointer data)
{
    struct submission *submission = data;
    g_free(submission->ticket);
    g_free(submission);
}

static void
free_open_call(gpointer data)
{
    struct open_call *open = data;
    rp_call_unref(open->call);
    rp_stream_unref(open->body);
    if (open->passed_from != NULL) {
        rp_attempt_start_release(&open->passed_start);
        fake_process_unref(open->passed_from);
    }
    fake_process_unref(open->process);
    g_free(open);
}

/* Creates the callers of a run. */
struct fake_callers *
fake_callers_new(struct fake_clock *clock, GRand *random,
                 const struct fake_caller_hooks *hooks)
{
    struct fake_callers *callers = g_new0(struct fake_callers, 1);
    callers->clock = clock;
    callers->random = random;
    callers->hooks = *hooks;
    callers->submissions =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_submission);
    callers->requests = g_ptr_array_new_with_free_func(g_free);
    callers->open_calls =
        g_hash_table_new_full(NULL, NULL, NULL, free_open_call);
    return callers;
}

/* Frees the callers. */
void
fake_callers_free(struct fake_callers *callers)
{
    g_hash_table_unref(callers->open_calls);
    g_hash_table_unref(callers->submissions);
    g_ptr_array_unref(callers->requests);
    g_free(callers);
}

/* Returns the totals since the start of the run. */
const struct fake_caller_totals *
fake_callers_totals(const struct fake_callers *callers)
{
    return &callers->totals;
}

/* Stops the callers: no request begins or is repeated after this call. */
void
fake_callers_stop(struct fake_callers *callers)
{
    callers->stopped = true;
}

static void
check(struct fake_callers *callers, bool holds, const char *name,
      const struct submission *submission)
{
    if (!holds) {
        callers->hooks.check_failed(callers->hooks.data, name, submission->id);
    }
}

static struct request *
find_request(struct fake_callers *callers, const char *request_id)
{
    uint64_t number = g_ascii_strtoull(request_id + 1, NULL, 10);
    return g_ptr_array_index(callers->requests, number);
}

/* Records that a target started to run the request of a call. Checks that
 * no submission runs after the outcome "not-run". Also checks that what is not
 * repeatable runs at most once: each submission, and each request whose
 * submissions all have a ticket. */
void
fake_callers_request_started(struct fake_callers *callers,
                             const struct rp_call *call)
{
    struct submission *submission =
        g_hash_table_lookup(callers->submissions, call->request_id);
    struct request *request = find_request(callers, call->request_id);
    submission->runs++;
    request->runs++;
    callers->totals.runs++;
    check(callers, !submission->reported_not_run, "not-run-is-true",
          submission);
    check(callers, submission->repeatable || submission->runs <= 1,
          "at-most-once", submission);
    check(callers,
          request->repeatable || !request->with_ticket || request->runs <= 1,
          "at-most-once", submission);
}

static void send_copy(struct fake_callers *callers, struct request *request,
                      struct fake_process *process);

static void
new_submission(struct fake_callers *callers, struct request *request,
               struct fake_process *process)
{
    struct submission *submission = g_new0(struct submission, 1);
    g_snprintf(submission->id, sizeof(submission->id), "r%u.%u",
               request->number, request->submission_count++);
    submission->repeatable = request->repeatable;
    char prefix[FAKE_TICKET_BYTES];
    if (request->with_ticket &&
        callers->hooks.ticket_prefix(callers->hooks.data, process, prefix))
    {
        submission->ticket = g_strdup_printf(
            "%s.%08x%08x%08x%08x", prefix, g_rand_int(callers->random),
            g_rand_int(callers->random), g_rand_int(callers->random),
            g_rand_int(callers->random));
    }
    else {
        request->with_ticket = false;
    }
    g_hash_table_insert(callers->submissions, submission->id, submission);
    request->submission = submission;
}

static void
retry_request(void *data, uint64_t number)
{
    struct fake_callers *callers = data;
    struct request *request = g_ptr_array_index(callers->requests, number);
    struct fake_process *process =
        callers->hooks.choose_process(callers->hooks.data);
    if (callers->stopped || request->answered || process == NULL) {
        return;
    }
    const struct submission *submission = request->submission;
    if (submission->reported_not_run || request->repeatable) {
        if (request->submission_count >= MAX_SUBMISSIONS) {
            return;
        }
        new_submission(callers, request, process);
    }
    else if (submission->ticket == NULL ||
             submission->copies_sent >= MAX_COPIES) {
        return;
    }
    else {
        callers->totals.repeats++;
    }
    send_copy(callers, request, process);
}

static void
retry_later(struct fake_callers *callers, struct request *request)
{
    int64_t delay_ns = g_rand_int_range(callers->random, 1, 300) * MS;
    if (g_rand_int_range(callers->random, 0, 10) == 0) {
        delay_ns += g_rand_int_range(callers->random, 1, 40000) * MS;
    }
    fake_clock_schedule(callers->clock,
                        fake_clock_now_ns(callers->clock) + delay_ns,
                        retry_request, callers, request->number);
}

static const char *const outcome_names[] = {"whole", "not-run", "unknown"};

static void
finish_call(struct open_call *open, enum rp_outcome outcome)
{
    struct fake_callers *callers = open->callers;
    struct submission *submission = open->submission;
    submission->open_copies--;
    callers->hooks.add_line(callers->hooks.data, "caller %s %s",
                            submission->id, outcome_names[outcome]);
    if (outcome == RP_OUTCOME_NONE) {
        callers->totals.whole++;
        submission->is_whole = true;
        open->request->answered = true;
        check(callers, submission->runs > 0, "whole-answer", submission);
    }
    else if (outcome == RP_OUTCOME_NOT_RUN) {
        callers->totals.not_run++;
        submission->reported_not_run = true;
        check(callers, submission->runs == 0, "not-run-is-true", submission);
    }
    else {
        callers->totals.unknown++;
        submission->is_unknown = true;
    }
    if (outcome != RP_OUTCOME_NONE) {
        retry_later(callers, open->request);
    }
    g_hash_table_remove(callers->open_calls, GSIZE_TO_POINTER(open->call->id));
}

static void
send_call_abort(struct open_call *open)
{
    struct rp_call_abort gone = {.call_id = open->call->id,
                                 .reason = RP_ABORT_CALLER_GONE};
    struct rp_kernel *kernel = open->process->kernel;
    rp_task_send(rp_kernel_find_task(kernel, RP_TASK_ENTRY),
                 rp_kernel_find_task(kernel, RP_TASK_DISPATCH),
                 RP_MSG_CALL_ABORT, &gone, sizeof(gone));
}

static struct open_call *
find_open_call(struct fake_callers *callers, uint64_t call_id)
{
    return g_hash_table_lookup(callers->open_calls, GSIZE_TO_POINTER(call_id));
}

/* Ends a call whose caller has waited past its timeout. */
static void
abandon_call(struct fake_process *process, void *data, uint64_t number)
{
    struct open_call *open = find_open_call(data, number);
    if (process != NULL && open != NULL && open->passed_from == NULL) {
        send_call_abort(open);
        finish_call(open, RP_OUTCOME_UNKNOWN);
    }
}

static void
send_call_start(struct fake_process *process, void *data, uint64_t number)
{
    struct open_call *open = find_open_call(data, number);
    if (process == NULL || open == NULL) {
        return;
    }
    struct rp_call_start start = {.call = rp_call_ref(open->call)};
    open->call->received_ns = fake_clock_now_ns(process->clock);
    open->deadline_ns =
        open->call->received_ns + (int64_t)open->call->timeout_ms * MS;
    struct rp_kernel *kernel = process->kernel;
    rp_task_send_owned(rp_kernel_find_task(kernel, RP_TASK_ENTRY),
                       rp_kernel_find_task(kernel, RP_TASK_DISPATCH),
                       RP_MSG_CALL_START, &start, sizeof(start),
                       rp_call_start_release);
}

static struct open_call *
open_call_new(struct fake_callers *callers, struct request *request,
              struct submission *submission, struct fake_process *process,
              const char *method, uint32_t method_flag)
{
    struct open_call *open = g_new0(struct open_call, 1);
    open->callers = callers;
    open->request = request;
    open->submission = submission;
    open->process = fake_process_ref(process);
    open->call =
        rp_call_new(++callers->last_call_id, method, request->path, NULL);
    open->call->method_flag = method_flag;
    g_strlcpy(open->call->request_id, submission->id,
              sizeof(open->call->request_id));
    open->call->ticket = g_strdup(submission->ticket);
    if (request->body_bytes > 0) {
        uint8_t bytes[1024];
        fake_fill_pattern(submission->id, 0, bytes, request->body_bytes);
        open->call->request = rp_stream_new();
        open->call->body_bytes = request->body_bytes;
        rp_stream_write(open->call->request, bytes, request->body_bytes);
        rp_stream_end(open->call->request);
    }
    g_hash_table_insert(callers->open_calls, GSIZE_TO_POINTER(open->call->id),
                        open);
    return open;
}

static void
send_copy(struct fake_callers *callers, struct request *request,
          struct fake_process *process)
{
    struct submission *submission = request->submission;
    int service = request->body_bytes > 0   ? 1
                  : request->path[1] == 'm' ? 2
                                            : 0;
    struct open_call *open =
        open_call_new(callers, request, submission, process,
                      services[service].method, services[service].method_flag);
    open->call->timeout_ms =
        (uint32_t)g_rand_int_range(callers->random, 100, 3000);
    open->read_delay_ns = MS;
    if (g_rand_int_range(callers->random, 0, service == 2 ? 3 : 20) == 0) {
        open->call->timeout_ms = 20000;
        open->read_delay_ns = g_rand_int_range(callers->random, 5, 1500) * MS;
    }
    submission->copies_sent++;
    submission->open_copies++;
    callers->totals.sent++;
    callers->hooks.add_line(callers->hooks.data,
                            "caller %s to entry %u, call %u", submission->id,
                            process->vm_index, (unsigned)open->call->id);
    int64_t now_ns = fake_clock_now_ns(callers->clock);
    int64_t arrive_ns =
        now_ns + INT64_C(1000) * g_rand_int_range(callers->random, 500, 4000);
    uint64_t id = open->call->id;
    fake_process_input_at(process, arrive_ns, send_call_start, callers, id);
    fake_process_input_at(process,
                          arrive_ns + (open->call->timeout_ms + 300) * MS,
                          abandon_call, callers, id);
    /* With a probability of 1/12 the same ticket is also sent to a second
     * process. */
    if (submission->ticket != NULL && submission->copies_sent < MAX_COPIES &&
        g_rand_int_range(callers->random, 0, 12) == 0)
    {
        struct fake_process *second =
            callers->hooks.choose_process(callers->hooks.data);
        if (second != NULL) {
            send_copy(callers, request, second);
        }
    }
}

/* Begins one request to a random service. */
void
fake_callers_begin_request(struct fake_callers *callers)
{
    struct fake_process *process =
        callers->hooks.choose_process(callers->hooks.data);
    if (callers->stopped || process == NULL) {
        return;
    }
    int draw = g_rand_int_range(callers->random, 0, 20);
    int service = draw < 9 ? 0 : draw < 19 ? 1 : 2;
    struct request *request = g_new0(struct request, 1);
    request->number = callers->requests->len;
    request->path = services[service].path;
    request->body_bytes = services[service].body_bytes;
    request->repeatable = request->body_bytes == 0;
    request->with_ticket =
        !request->repeatable && g_rand_int_range(callers->random, 0, 5) != 0;
    g_ptr_array_add(callers->requests, request);
    callers->totals.requests++;
    new_submission(callers, request, process);
    send_copy(callers, request, process);
}

static void
check_bytes(struct open_call *open, const uint8_t *bytes, uint32_t count)
{
    uint8_t expected[RP_STREAM_READ_BYTES];
    fake_fill_pattern(open->answer_id, open->bytes_read, expected, count);
    check(open->callers, memcmp(bytes, expected, count) == 0, "whole-answer",
          open->submission);
}

static uint64_t
expected_body_bytes(const struct open_call *open)
{
    return open->request->path[1] == 'm' ? 150000 : 300;
}

static void
read_answer(struct fake_process *process, void *data, uint64_t number)
{
    struct fake_callers *callers = data;
    struct open_call *open = find_open_call(callers, number);
    if (process == NULL || open == NULL) {
        return;
    }
    uint8_t bytes[RP_STREAM_READ_BYTES];
    uint32_t count = rp_stream_read(open->body, bytes, sizeof(bytes));
    check_bytes(open, bytes, count);
    open->bytes_read += count;
    if (rp_stream_at_end(open->body)) {
        check(callers, open->bytes_read == expected_body_bytes(open),
              "whole-answer", open->submission);
        finish_call(open, RP_OUTCOME_NONE);
        return;
    }
    if (rp_stream_state(open->body) == RP_STREAM_BROKEN &&
        rp_stream_available(open->body) == 0)
    {
        finish_call(open, RP_OUTCOME_UNKNOWN);
        return;
    }
    fake_process_input_at(
        process, fake_clock_now_ns(callers->clock) + open->read_delay_ns,
        read_answer, callers, number);
}

/* Delivers the issuer's answer to the entry VM that passed the request on, as
 * the connection between them would. */
static void
relay_reply(struct open_call *open, const struct rp_call_reply *reply)
{
    struct rp_answer *answer =
        rp_answer_new(reply->outcome == RP_OUTCOME_NONE ? reply->answer->status
                                                        : reply->status);
    answer->body_bytes = 0;
    if (reply->outcome != RP_OUTCOME_NONE) {
        bool not_run = reply->outcome == RP_OUTCOME_NOT_RUN;
        rp_fields_add(&answer->fields, "RP-Outcome",
                      not_run ? "not-run" : "unknown");
        answer->refused = not_run && reply->status == 503;
    }
    struct rp_attempt_head head = {
        .call_id = open->passed_start.call_id,
        .generation = open->passed_start.generation,
        .answer = answer,
    };
    struct rp_attempt_done done = {
        .call_id = open->passed_start.call_id,
        .generation = open->passed_start.generation,
        .end = RP_END_COMPLETE,
        .first_byte_ns = fake_clock_now_ns(open->callers->clock),
    };
    if (reply->outcome == RP_OUTCOME_NONE) {
        uint32_t position = 0;
        const char *name;
        const char *value;
        while (
            rp_fields_next(&reply->answer->fields, &position, &name, &value)) {
            rp_fields_add(&answer->fields, name, value);
        }
        uint8_t bytes[4096];
        uint32_t count = 0;
        while (rp_stream_state(reply->body) == RP_STREAM_ENDED &&
               (count = rp_stream_read(reply->body, bytes, sizeof(bytes))) > 0)
        {
            rp_stream_write(open->passed_start.body, bytes, count);
            answer->body_bytes += count;
        }
        if (!rp_stream_at_end(reply->body)) {
            done.end = RP_END_BROKEN;
        }
    }
    if (done.end == RP_END_COMPLETE) {
        rp_stream_end(open->passed_start.body);
    }
    struct rp_kernel *kernel = open->passed_from->kernel;
    struct rp_task *upstream = rp_kernel_find_task(kernel, RP_TASK_UPSTREAM);
    struct rp_task *dispatch = rp_kernel_find_task(kernel, RP_TASK_DISPATCH);
    if (!rp_task_send_owned(upstream, dispatch, RP_MSG_ATTEMPT_HEAD, &head,
                            sizeof(head), rp_attempt_head_release))
    {
        rp_answer_unref(answer);
    }
    rp_task_send(upstream, dispatch, RP_MSG_ATTEMPT_DONE, &done, sizeof(done));
}

struct relayed_reply {
    struct fake_callers *callers;
    struct rp_call_reply reply; /* holds references */
};

static void
on_relayed_reply(struct fake_process *process, void *data, uint64_t number)
{
    struct relayed_reply *relayed = data;
    struct open_call *open = find_open_call(relayed->callers, number);
    if (open != NULL) {
        if (process != NULL) {
            relay_reply(open, &relayed->reply);
        }
        g_hash_table_remove(relayed->callers->open_calls,
                            GSIZE_TO_POINTER(number));
    }
    rp_call_reply_release(&relayed->reply);
    g_free(relayed);
}

static void
receive_reply(struct fake_callers *callers, struct fake_process *process,
              const struct rp_call_reply *reply, int64_t now_ns)
{
    struct open_call *open = find_open_call(callers, reply->call_id);
    if (open == NULL) {
        return; /* the call has already ended */
    }
    if (open->passed_from != NULL) {
        struct relayed_reply *relayed = g_new0(struct relayed_reply, 1);
        relayed->callers = callers;
        relayed->reply = *reply;
        if (reply->answer != NULL) {
            rp_answer_ref(reply->answer);
        }
        if (reply->body != NULL) {
            rp_stream_ref(reply->body);
        }
        fake_process_input_at(open->passed_from, now_ns + MS, on_relayed_reply,
                              relayed, reply->call_id);
        return;
    }
    /* Outcome reported by the entry VM that the request was passed on to. */
    const char *outcome_field =
        reply->answer == NULL
            ? NULL
            : rp_fields_get(&reply->answer->fields, "RP-Outcome");
    if (reply->outcome != RP_OUTCOME_NONE || outcome_field != NULL) {
        bool not_run = outcome_field == NULL
                           ? reply->outcome == RP_OUTCOME_NOT_RUN
                           : strcmp(outcome_field, "not-run") == 0;
        finish_call(open, not_run ? RP_OUTCOME_NOT_RUN : RP_OUTCOME_UNKNOWN);
        return;
    }
    check(callers, now_ns <= open->deadline_ns, "answer-past-deadline",
          open->submission);
    check(callers, open->body == NULL, "one-answer", open->submission);
    /* The head must belong to this request. check_bytes compares the body with
     * the pattern of the id in this head. */
    const char *answer_id =
        rp_fields_get(&reply->answer->fields, FAKE_ANSWER_FIELD);
    size_t id_bytes = strlen(open->submission->id);
    check(callers,
          answer_id != NULL &&
              strncmp(answer_id, open->submission->id, id_bytes) == 0 &&
              answer_id[id_bytes] == '/',
          "whole-answer", open->submission);
    g_strlcpy(open->answer_id, answer_id == NULL ? "" : answer_id,
              sizeof(open->answer_id));
    open->body = rp_stream_ref(reply->body);
    fake_process_input_at(process, now_ns, read_answer, callers,
                          reply->call_id);
}

/* Passes a request on from one process to the one that issued its ticket.
 * Returns true. */
bool
fake_callers_pass_on(struct fake_callers *callers, struct fake_process *from,
                     struct fake_process *to,
                     const struct rp_attempt_start *start)
{
    struct submission *submission =
        g_hash_table_lookup(callers->submissions, start->call->request_id);
    struct request *request = find_request(callers, start->call->request_id);
    struct open_call *open =
        open_call_new(callers, request, submission, to, start->call->method,
                      start->call->method_flag);
    int64_t now_ns = fake_clock_now_ns(callers->clock);
    open->call->timeout_ms =
        (uint32_t)MAX((start->deadline_ns - now_ns) / MS, 1);
    open->call->passed_on = true;
    open->passed_from = fake_process_ref(from);
    open->passed_start = *start;
    rp_call_ref(start->call);
    rp_stream_ref(start->body);
    fake_process_input_at(to, now_ns + MS, send_call_start, callers,
                          open->call->id);
    return true;
}

/* Ends the calls to a process that was killed, as reset connections would. */
void
fake_callers_process_ended(struct fake_callers *callers,
                           struct fake_process *process)
{
    GArray *lost_call_ids = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    for (uint64_t id = 1; id <= callers->last_call_id; id++) {
        struct open_call *open = find_open_call(callers, id);
        if (open != NULL && open->process == process) {
            g_array_append_val(lost_call_ids, id);
        }
    }
    for (guint i = 0; i < lost_call_ids->len; i++) {
        struct open_call *open =
            find_open_call(callers, g_array_index(lost_call_ids, uint64_t, i));
        if (open->passed_from == NULL) {
            finish_call(open, RP_OUTCOME_UNKNOWN);
        }
        else {
            g_hash_table_remove(callers->open_calls,
                                GSIZE_TO_POINTER(open->call->id));
        }
    }
    g_array_unref(lost_call_ids);
}

struct entry_task {
    struct fake_callers *callers;
    struct fake_process *process;
};

static void
on_message(struct rp_task *task, const struct rp_message *message,
           int64_t now_ns, void *data)
{
    (void)task;
    struct entry_task *entry = data;
    if (message->kind == RP_MSG_CALL_REPLY) {
        receive_reply(entry->callers, entry->process, message->body, now_ns);
    }
}

static void
on_remove(struct rp_task *task, void *data)
{
    (void)task;
    g_free(data);
}

static const struct rp_task_ops entry_ops = {
    .on_message = on_message,
    .on_remove = on_remove,
};

/* Adds the task "entry" to a process. */
void
fake_callers_attach(struct fake_callers *callers, struct fake_process *process)
{
    struct entry_task *entry = g_new0(struct entry_task, 1);
    entry->callers = callers;
    entry->process = process;
    rp_kernel_add_task(process->kernel, RP_TASK_ENTRY, &entry_ops, entry,
                       NULL);
}
