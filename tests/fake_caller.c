#include "fake_caller.h"

#include <string.h>

#include "fake_target.h"

#define MS INT64_C(1000000)
#define MAX_TRIES 3
#define MAX_COPIES 3

/* What one ticket, or one request without a ticket, stands for: at most one
 * run when it may not be repeated, and none once its caller was told so. */
struct identity {
    char id[RP_REQUEST_ID_BYTES];
    bool repeatable;
    bool told_not_run;
    uint32_t runs;
    uint32_t copies; /* sent */
    uint32_t open;   /* of them */
    bool whole;
    bool unknown;
    char *ticket; /* NULL without one */
};

struct request {
    uint32_t number;
    uint32_t tries;
    uint32_t runs;
    bool repeatable;
    bool with_ticket;
    bool over;
    const char *path;
    uint32_t answer_bytes;
    uint32_t body_bytes;
    struct identity *current;
};

struct open_call {
    struct fake_callers *callers;
    struct request *request;
    struct identity *identity;
    struct fake_process *process;
    struct rp_call *call;
    struct rp_stream *body; /* of the answer, once it is there */
    char answer_id[RP_REQUEST_ID_BYTES];
    uint64_t read;
    int64_t deadline_ns;
    int64_t read_wait_ns;
    struct fake_process *passed_from; /* for a request passed on */
    struct rp_attempt_start passed;
};

struct fake_callers {
    struct fake_clock *clock;
    GRand *random;
    struct fake_caller_hooks hooks;
    struct fake_caller_totals totals;
    GHashTable *identities; /* by id */
    GPtrArray *requests;
    GHashTable *open; /* struct open_call by call id */
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
free_identity(gpointer data)
{
    struct identity *identity = data;
    g_free(identity->ticket);
    g_free(identity);
}

static void
free_open_call(gpointer data)
{
    struct open_call *open = data;
    rp_call_unref(open->call);
    rp_stream_unref(open->body);
    if (open->passed_from != NULL) {
        rp_attempt_start_release(&open->passed);
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
    callers->identities =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_identity);
    callers->requests = g_ptr_array_new_with_free_func(g_free);
    callers->open = g_hash_table_new_full(NULL, NULL, NULL, free_open_call);
    return callers;
}

/* Frees the callers. */
void
fake_callers_free(struct fake_callers *callers)
{
    g_hash_table_unref(callers->open);
    g_hash_table_unref(callers->identities);
    g_ptr_array_unref(callers->requests);
    g_free(callers);
}

/* Returns what happened so far. */
const struct fake_caller_totals *
fake_callers_totals(const struct fake_callers *callers)
{
    return &callers->totals;
}

/* Lets no further request begin or be repeated. */
void
fake_callers_stop(struct fake_callers *callers)
{
    callers->stopped = true;
}

static void
check(struct fake_callers *callers, bool holds, const char *name,
      const struct identity *identity)
{
    if (!holds) {
        callers->hooks.failed(callers->hooks.data, name, identity->id);
    }
}

static struct request *
request_of(struct fake_callers *callers, const char *request_id)
{
    uint64_t number = g_ascii_strtoull(request_id + 1, NULL, 10);
    return g_ptr_array_index(callers->requests, number);
}

/* Takes note that a target runs the request of a call. */
void
fake_callers_request_started(struct fake_callers *callers,
                             const struct rp_call *call)
{
    struct identity *identity =
        g_hash_table_lookup(callers->identities, call->request_id);
    struct request *request = request_of(callers, call->request_id);
    identity->runs++;
    request->runs++;
    callers->totals.runs++;
    check(callers, !identity->told_not_run, "not-run-is-true", identity);
    check(callers, identity->repeatable || identity->runs <= 1, "at-most-once",
          identity);
    check(callers,
          request->repeatable || !request->with_ticket || request->runs <= 1,
          "at-most-once", identity);
}

static void send_copy(struct fake_callers *callers, struct request *request,
                      struct fake_process *process);

static void
new_identity(struct fake_callers *callers, struct request *request,
             struct fake_process *process)
{
    struct identity *identity = g_new0(struct identity, 1);
    g_snprintf(identity->id, sizeof(identity->id), "r%u.%u", request->number,
               request->tries++);
    identity->repeatable = request->repeatable;
    char prefix[FAKE_TICKET_BYTES];
    if (request->with_ticket &&
        callers->hooks.prefix(callers->hooks.data, process, prefix))
    {
        identity->ticket = g_strdup_printf(
            "%s.%08x%08x%08x%08x", prefix, g_rand_int(callers->random),
            g_rand_int(callers->random), g_rand_int(callers->random),
            g_rand_int(callers->random));
    }
    else {
        request->with_ticket = false;
    }
    g_hash_table_insert(callers->identities, identity->id, identity);
    request->current = identity;
}

static void
try_again(void *data, uint64_t number)
{
    struct fake_callers *callers = data;
    struct request *request = g_ptr_array_index(callers->requests, number);
    struct fake_process *process = callers->hooks.choose(callers->hooks.data);
    if (callers->stopped || request->over || process == NULL) {
        return;
    }
    const struct identity *current = request->current;
    if (current->told_not_run || request->repeatable) {
        if (request->tries >= MAX_TRIES) {
            return;
        }
        new_identity(callers, request, process);
    }
    else if (current->ticket == NULL || current->copies >= MAX_COPIES) {
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
    fake_clock_at(callers->clock, fake_clock_now_ns(callers->clock) + delay_ns,
                  try_again, callers, request->number);
}

static const char *const outcome_names[] = {"whole", "not-run", "unknown"};

static void
finish_call(struct open_call *open, enum rp_outcome outcome)
{
    struct fake_callers *callers = open->callers;
    struct identity *identity = open->identity;
    identity->open--;
    callers->hooks.note(callers->hooks.data, "caller %s %s", identity->id,
                        outcome_names[outcome]);
    if (outcome == RP_OUTCOME_NONE) {
        callers->totals.whole++;
        identity->whole = true;
        open->request->over = true;
        check(callers, identity->runs > 0, "whole-answer", identity);
    }
    else if (outcome == RP_OUTCOME_NOT_RUN) {
        callers->totals.not_run++;
        identity->told_not_run = true;
        check(callers, identity->runs == 0, "not-run-is-true", identity);
    }
    else {
        callers->totals.unknown++;
        identity->unknown = true;
    }
    if (outcome != RP_OUTCOME_NONE) {
        retry_later(callers, open->request);
    }
    g_hash_table_remove(callers->open, GSIZE_TO_POINTER(open->call->id));
}

static void
send_gone(struct open_call *open)
{
    struct rp_call_abort gone = {.call_id = open->call->id,
                                 .reason = RP_ABORT_CALLER_GONE};
    struct rp_kernel *kernel = open->process->kernel;
    rp_task_send(rp_kernel_find_task(kernel, RP_TASK_ENTRY),
                 rp_kernel_find_task(kernel, RP_TASK_DISPATCH),
                 RP_MSG_CALL_ABORT, &gone, sizeof(gone));
}

static struct open_call *
find_open(struct fake_callers *callers, uint64_t call_id)
{
    return g_hash_table_lookup(callers->open, GSIZE_TO_POINTER(call_id));
}

/* The caller waits no longer. */
static void
give_up(struct fake_process *process, void *data, uint64_t number)
{
    struct open_call *open = find_open(data, number);
    if (process != NULL && open != NULL && open->passed_from == NULL) {
        send_gone(open);
        finish_call(open, RP_OUTCOME_UNKNOWN);
    }
}

static void
post_start(struct fake_process *process, void *data, uint64_t number)
{
    struct open_call *open = find_open(data, number);
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
              struct identity *identity, struct fake_process *process,
              const char *method, uint32_t method_flag)
{
    struct open_call *open = g_new0(struct open_call, 1);
    open->callers = callers;
    open->request = request;
    open->identity = identity;
    open->process = fake_process_ref(process);
    open->call =
        rp_call_new(++callers->last_call_id, method, request->path, NULL);
    open->call->method_flag = method_flag;
    g_strlcpy(open->call->request_id, identity->id,
              sizeof(open->call->request_id));
    open->call->ticket = g_strdup(identity->ticket);
    if (request->body_bytes > 0) {
        uint8_t bytes[1024];
        fake_pattern(identity->id, 0, bytes, request->body_bytes);
        open->call->request = rp_stream_new();
        open->call->body_bytes = request->body_bytes;
        rp_stream_write(open->call->request, bytes, request->body_bytes);
        rp_stream_end(open->call->request);
    }
    g_hash_table_insert(callers->open, GSIZE_TO_POINTER(open->call->id), open);
    return open;
}

static void
send_copy(struct fake_callers *callers, struct request *request,
          struct fake_process *process)
{
    struct identity *identity = request->current;
    int service = request->body_bytes > 0   ? 1
                  : request->path[1] == 'm' ? 2
                                            : 0;
    struct open_call *open =
        open_call_new(callers, request, identity, process,
                      services[service].method, services[service].method_flag);
    open->call->timeout_ms =
        (uint32_t)g_rand_int_range(callers->random, 100, 3000);
    open->read_wait_ns = MS;
    if (g_rand_int_range(callers->random, 0, service == 2 ? 3 : 20) == 0) {
        open->call->timeout_ms = 20000;
        open->read_wait_ns = g_rand_int_range(callers->random, 5, 1500) * MS;
    }
    identity->copies++;
    identity->open++;
    callers->totals.sent++;
    callers->hooks.note(callers->hooks.data, "caller %s to entry %u, call %u",
                        identity->id, process->index,
                        (unsigned)open->call->id);
    int64_t now_ns = fake_clock_now_ns(callers->clock);
    int64_t arrive_ns =
        now_ns + INT64_C(1000) * g_rand_int_range(callers->random, 500, 4000);
    uint64_t id = open->call->id;
    fake_process_input_at(process, arrive_ns, post_start, callers, id);
    fake_process_input_at(process,
                          arrive_ns + (open->call->timeout_ms + 300) * MS,
                          give_up, callers, id);
    /* Now and then a caller sends the same ticket to two entry VMs. */
    if (identity->ticket != NULL && identity->copies < MAX_COPIES &&
        g_rand_int_range(callers->random, 0, 12) == 0)
    {
        struct fake_process *other =
            callers->hooks.choose(callers->hooks.data);
        if (other != NULL) {
            send_copy(callers, request, other);
        }
    }
}

/* Begins one request of a random kind. */
void
fake_callers_begin(struct fake_callers *callers)
{
    struct fake_process *process = callers->hooks.choose(callers->hooks.data);
    if (callers->stopped || process == NULL) {
        return;
    }
    int dice = g_rand_int_range(callers->random, 0, 20);
    int service = dice < 9 ? 0 : dice < 19 ? 1 : 2;
    struct request *request = g_new0(struct request, 1);
    request->number = callers->requests->len;
    request->path = services[service].path;
    request->body_bytes = services[service].body_bytes;
    request->repeatable = request->body_bytes == 0;
    request->with_ticket =
        !request->repeatable && g_rand_int_range(callers->random, 0, 5) != 0;
    g_ptr_array_add(callers->requests, request);
    callers->totals.requests++;
    new_identity(callers, request, process);
    send_copy(callers, request, process);
}

static void
check_bytes(struct open_call *open, const uint8_t *bytes, uint32_t count)
{
    uint8_t expected[RP_STREAM_READ_BYTES];
    fake_pattern(open->answer_id, open->read, expected, count);
    check(open->callers, memcmp(bytes, expected, count) == 0, "whole-answer",
          open->identity);
}

static uint64_t
answer_bytes(const struct open_call *open)
{
    return open->request->path[1] == 'm' ? 150000 : 300;
}

static void
read_answer(struct fake_process *process, void *data, uint64_t number)
{
    struct fake_callers *callers = data;
    struct open_call *open = find_open(callers, number);
    if (process == NULL || open == NULL) {
        return;
    }
    uint8_t bytes[RP_STREAM_READ_BYTES];
    uint32_t count = rp_stream_read(open->body, bytes, sizeof(bytes));
    check_bytes(open, bytes, count);
    open->read += count;
    if (rp_stream_at_end(open->body)) {
        check(callers, open->read == answer_bytes(open), "whole-answer",
              open->identity);
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
        process, fake_clock_now_ns(callers->clock) + open->read_wait_ns,
        read_answer, callers, number);
}

/* Brings the answer of the issuer back to the entry VM that passed the
 * request on, as its connection would. */
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
        .call_id = open->passed.call_id,
        .generation = open->passed.generation,
        .answer = answer,
    };
    struct rp_attempt_done done = {
        .call_id = open->passed.call_id,
        .generation = open->passed.generation,
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
            rp_stream_write(open->passed.body, bytes, count);
            answer->body_bytes += count;
        }
        if (!rp_stream_at_end(reply->body)) {
            done.end = RP_END_BROKEN;
        }
    }
    if (done.end == RP_END_COMPLETE) {
        rp_stream_end(open->passed.body);
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

struct relayed {
    struct fake_callers *callers;
    struct rp_call_reply reply; /* holds references */
};

static void
on_relayed(struct fake_process *process, void *data, uint64_t number)
{
    struct relayed *relayed = data;
    struct open_call *open = find_open(relayed->callers, number);
    if (open != NULL) {
        if (process != NULL) {
            relay_reply(open, &relayed->reply);
        }
        g_hash_table_remove(relayed->callers->open, GSIZE_TO_POINTER(number));
    }
    rp_call_reply_release(&relayed->reply);
    g_free(relayed);
}

static void
receive_reply(struct fake_callers *callers, struct fake_process *process,
              const struct rp_call_reply *reply, int64_t now_ns)
{
    struct open_call *open = find_open(callers, reply->call_id);
    if (open == NULL) {
        return; /* the caller has left */
    }
    if (open->passed_from != NULL) {
        struct relayed *relayed = g_new0(struct relayed, 1);
        relayed->callers = callers;
        relayed->reply = *reply;
        if (reply->answer != NULL) {
            rp_answer_ref(reply->answer);
        }
        if (reply->body != NULL) {
            rp_stream_ref(reply->body);
        }
        fake_process_input_at(open->passed_from, now_ns + MS, on_relayed,
                              relayed, reply->call_id);
        return;
    }
    /* The answer of another entry VM that the request was passed on to. */
    const char *passed =
        reply->answer == NULL
            ? NULL
            : rp_fields_get(&reply->answer->fields, "RP-Outcome");
    if (reply->outcome != RP_OUTCOME_NONE || passed != NULL) {
        bool not_run = passed == NULL ? reply->outcome == RP_OUTCOME_NOT_RUN
                                      : strcmp(passed, "not-run") == 0;
        finish_call(open, not_run ? RP_OUTCOME_NOT_RUN : RP_OUTCOME_UNKNOWN);
        return;
    }
    check(callers, now_ns <= open->deadline_ns, "answer-past-deadline",
          open->identity);
    check(callers, open->body == NULL, "one-answer", open->identity);
    /* The body must be the one of this head, and the head of this request. */
    const char *answer_id =
        rp_fields_get(&reply->answer->fields, FAKE_ANSWER_FIELD);
    size_t id_bytes = strlen(open->identity->id);
    check(callers,
          answer_id != NULL &&
              strncmp(answer_id, open->identity->id, id_bytes) == 0 &&
              answer_id[id_bytes] == '/',
          "whole-answer", open->identity);
    g_strlcpy(open->answer_id, answer_id == NULL ? "" : answer_id,
              sizeof(open->answer_id));
    open->body = rp_stream_ref(reply->body);
    fake_process_input_at(process, now_ns, read_answer, callers,
                          reply->call_id);
}

/* Passes a request on from one process to the entry VM that issued its
 * ticket. */
bool
fake_callers_pass_on(struct fake_callers *callers, struct fake_process *from,
                     struct fake_process *to,
                     const struct rp_attempt_start *start)
{
    struct identity *identity =
        g_hash_table_lookup(callers->identities, start->call->request_id);
    struct request *request = request_of(callers, start->call->request_id);
    struct open_call *open =
        open_call_new(callers, request, identity, to, start->call->method,
                      start->call->method_flag);
    int64_t now_ns = fake_clock_now_ns(callers->clock);
    open->call->timeout_ms =
        (uint32_t)MAX((start->deadline_ns - now_ns) / MS, 1);
    open->call->passed_on = true;
    open->passed_from = fake_process_ref(from);
    open->passed = *start;
    rp_call_ref(start->call);
    rp_stream_ref(start->body);
    fake_process_input_at(to, now_ns + MS, post_start, callers,
                          open->call->id);
    return true;
}

/* The connections of callers to a process that was killed are reset. */
void
fake_callers_process_ended(struct fake_callers *callers,
                           struct fake_process *process)
{
    GArray *lost = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    for (uint64_t id = 1; id <= callers->last_call_id; id++) {
        struct open_call *open = find_open(callers, id);
        if (open != NULL && open->process == process) {
            g_array_append_val(lost, id);
        }
    }
    for (guint i = 0; i < lost->len; i++) {
        struct open_call *open =
            find_open(callers, g_array_index(lost, uint64_t, i));
        if (open->passed_from == NULL) {
            finish_call(open, RP_OUTCOME_UNKNOWN);
        }
        else {
            g_hash_table_remove(callers->open,
                                GSIZE_TO_POINTER(open->call->id));
        }
    }
    g_array_unref(lost);
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
