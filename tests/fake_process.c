#include "fake_process.h"

struct late_input {
    struct fake_process *process;
    struct fake_input input;
};

/* Creates a process without tasks; add them, then start it. */
struct fake_process *
fake_process_new(struct fake_clock *clock, const struct rp_identity *identity,
                 uint32_t seed)
{
    struct fake_process *process = g_new0(struct fake_process, 1);
    process->clock = clock;
    process->context = rp_context_new(identity, seed);
    process->kernel = rp_kernel_new(process->context);
    process->waiting = g_array_new(FALSE, FALSE, sizeof(struct fake_input));
    process->wake_ns = RP_KERNEL_NEVER_NS;
    process->references = 1;
    return process;
}

/* Takes one more reference and returns the process. */
struct fake_process *
fake_process_ref(struct fake_process *process)
{
    process->references++;
    return process;
}

/* Gives up a reference. */
void
fake_process_unref(struct fake_process *process)
{
    if (--process->references > 0) {
        return;
    }
    fake_process_end(process);
    g_array_unref(process->waiting);
    g_free(process);
}

static void on_wake(void *data, uint64_t number);

static void
run_kernel(struct fake_process *process)
{
    int64_t now_ns = fake_clock_now_ns(process->clock);
    int64_t due_ns = rp_kernel_run(process->kernel, now_ns);
    if (process->after_run != NULL) {
        process->after_run(process, process->data);
    }
    if (process->ended || due_ns == RP_KERNEL_NEVER_NS) {
        return;
    }
    /* At most one wake for each time; an earlier one replaces a later. */
    due_ns = MAX(due_ns, now_ns + 1);
    if (process->wake_ns <= now_ns || due_ns < process->wake_ns) {
        process->wake_ns = due_ns;
        fake_clock_at(process->clock, due_ns, on_wake,
                      fake_process_ref(process), (uint64_t)due_ns);
    }
}

static void
on_wake(void *data, uint64_t number)
{
    struct fake_process *process = data;
    if (!process->ended && !process->paused &&
        process->wake_ns == (int64_t)number) {
        run_kernel(process);
    }
    fake_process_unref(process);
}

/* Runs the process for the first time. */
void
fake_process_start(struct fake_process *process)
{
    run_kernel(process);
}

/* Ends the process at once, as SIGKILL does. */
void
fake_process_end(struct fake_process *process)
{
    if (process->ended) {
        return;
    }
    process->ended = true;
    for (guint i = 0; i < process->waiting->len; i++) {
        struct fake_input *input =
            &g_array_index(process->waiting, struct fake_input, i);
        input->run(NULL, input->data, input->number);
    }
    rp_kernel_free(process->kernel);
    process->kernel = NULL;
    rp_context_free(process->context);
    process->context = NULL;
    g_array_set_size(process->waiting, 0);
}

/* Stops the process as SIGSTOP does. */
void
fake_process_pause(struct fake_process *process)
{
    process->paused = true;
}

/* Lets a paused process go on, with all that came meanwhile. */
void
fake_process_resume(struct fake_process *process)
{
    if (process->ended || !process->paused) {
        return;
    }
    process->paused = false;
    GArray *waiting = process->waiting;
    process->waiting = g_array_new(FALSE, FALSE, sizeof(struct fake_input));
    for (guint i = 0; i < waiting->len; i++) {
        struct fake_input *input =
            &g_array_index(waiting, struct fake_input, i);
        input->run(process, input->data, input->number);
    }
    g_array_unref(waiting);
    process->wake_ns = RP_KERNEL_NEVER_NS;
    run_kernel(process);
}

/* Calls run in the process and lets its kernel deliver what that caused; a
 * paused process does so when it goes on. When the process has ended, run is
 * called with NULL, so that it can free what it was given. */
void
fake_process_input(struct fake_process *process,
                   void (*run)(struct fake_process *process, void *data,
                               uint64_t number),
                   void *data, uint64_t number)
{
    if (process->ended) {
        run(NULL, data, number);
        return;
    }
    if (process->paused) {
        struct fake_input input = {run, data, number};
        g_array_append_val(process->waiting, input);
        return;
    }
    run(process, data, number);
    run_kernel(process);
}

static void
on_late_input(void *data, uint64_t number)
{
    (void)number;
    struct late_input *late = data;
    fake_process_input(late->process, late->input.run, late->input.data,
                       late->input.number);
    fake_process_unref(late->process);
    g_free(late);
}

/* Does fake_process_input at a later time. */
void
fake_process_input_at(struct fake_process *process, int64_t at_ns,
                      void (*run)(struct fake_process *process, void *data,
                                  uint64_t number),
                      void *data, uint64_t number)
{
    struct late_input *late = g_new0(struct late_input, 1);
    late->process = fake_process_ref(process);
    late->input = (struct fake_input){run, data, number};
    fake_clock_at(process->clock, at_ns, on_late_input, late, 0);
}
