#include "fake_process.h"

struct delayed_input {
    struct fake_process *process;
    struct fake_input input;
};

/* Creates a process without tasks, with one reference. The caller adds the
 * tasks, then starts the process. */
struct fake_process *
fake_process_new(struct fake_clock *clock, const struct rp_identity *identity,
                 uint32_t seed)
{
    struct fake_process *process = g_new0(struct fake_process, 1);
    process->clock = clock;
    process->context = rp_context_new(identity, seed);
    process->kernel = rp_kernel_new(process->context);
    process->pending_inputs =
        g_array_new(FALSE, FALSE, sizeof(struct fake_input));
    process->wake_ns = RP_KERNEL_NEVER_NS;
    process->reference_count = 1;
    return process;
}

/* Adds a reference and returns the process. */
struct fake_process *
fake_process_ref(struct fake_process *process)
{
    process->reference_count++;
    return process;
}

/* Drops a reference; the last one ends and frees the process. */
void
fake_process_unref(struct fake_process *process)
{
    if (--process->reference_count > 0) {
        return;
    }
    fake_process_end(process);
    g_array_unref(process->pending_inputs);
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
    /* Only the earliest wake-up takes effect; on_wake ignores the others. */
    due_ns = MAX(due_ns, now_ns + 1);
    if (process->wake_ns <= now_ns || due_ns < process->wake_ns) {
        process->wake_ns = due_ns;
        fake_clock_schedule(process->clock, due_ns, on_wake,
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

/* Runs the process's kernel for the first time. */
void
fake_process_start(struct fake_process *process)
{
    run_kernel(process);
}

/* Ends the process immediately, as SIGKILL does, and discards its queued
 * input. */
void
fake_process_end(struct fake_process *process)
{
    if (process->ended) {
        return;
    }
    process->ended = true;
    for (guint i = 0; i < process->pending_inputs->len; i++) {
        struct fake_input *input =
            &g_array_index(process->pending_inputs, struct fake_input, i);
        input->run(NULL, input->data, input->number);
    }
    rp_kernel_free(process->kernel);
    process->kernel = NULL;
    rp_context_free(process->context);
    process->context = NULL;
    g_array_set_size(process->pending_inputs, 0);
}

/* Pauses the process as SIGSTOP does. */
void
fake_process_pause(struct fake_process *process)
{
    process->paused = true;
}

/* Resumes a paused process, as SIGCONT does, and processes the queued
 * input. */
void
fake_process_resume(struct fake_process *process)
{
    if (process->ended || !process->paused) {
        return;
    }
    process->paused = false;
    GArray *pending_inputs = process->pending_inputs;
    process->pending_inputs =
        g_array_new(FALSE, FALSE, sizeof(struct fake_input));
    for (guint i = 0; i < pending_inputs->len; i++) {
        struct fake_input *input =
            &g_array_index(pending_inputs, struct fake_input, i);
        input->run(process, input->data, input->number);
    }
    g_array_unref(pending_inputs);
    process->wake_ns = RP_KERNEL_NEVER_NS;
    run_kernel(process);
}

/* Calls run with the process, then runs its kernel. For a paused process the
 * call is queued until it resumes. If the process has ended, run is called
 * with NULL instead, so that it can free data. */
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
        g_array_append_val(process->pending_inputs, input);
        return;
    }
    run(process, data, number);
    run_kernel(process);
}

static void
on_delayed_input(void *data, uint64_t number)
{
    (void)number;
    struct delayed_input *delayed = data;
    fake_process_input(delayed->process, delayed->input.run,
                       delayed->input.data, delayed->input.number);
    fake_process_unref(delayed->process);
    g_free(delayed);
}

/* Schedules fake_process_input for the virtual time at_ns. */
void
fake_process_input_at(struct fake_process *process, int64_t at_ns,
                      void (*run)(struct fake_process *process, void *data,
                                  uint64_t number),
                      void *data, uint64_t number)
{
    struct delayed_input *delayed = g_new0(struct delayed_input, 1);
    delayed->process = fake_process_ref(process);
    delayed->input = (struct fake_input){run, data, number};
    fake_clock_schedule(process->clock, at_ns, on_delayed_input, delayed, 0);
}
