#include "kernel.h"

#include <string.h>

#include "error.h"

/* Bodies up to this size are stored in the queue entry; larger ones are
 * allocated. */
#define INLINE_BODY_BYTES 256
#define MAX_QUEUED_MESSAGES 16384 /* for each task */
#define MAX_TASKS 32

/* The kernel runs at least this often, so that a much longer gap between two
 * runs means that the process was paused and not idle. */
#define MAX_RUN_INTERVAL_NS INT64_C(100000000)
#define MIN_PAUSE_NS INT64_C(500000000)

struct rp_task {
    struct rp_kernel *kernel;
    char *name;
    const struct rp_task_ops *ops;
    void *data;
    uint32_t queued_messages;
    int64_t timer_at_ns[RP_KERNEL_TIMERS];
};

struct queue_entry {
    struct rp_task *to;
    struct rp_task *from;
    enum rp_message_kind kind;
    uint32_t body_bytes;
    void (*release)(void *body);
    void *large_body;
    _Alignas(16) uint8_t inline_body[INLINE_BODY_BYTES];
};

struct rp_kernel {
    struct rp_context *context;
    struct rp_task *tasks[MAX_TASKS];
    uint32_t task_count;
    struct queue_entry *queue;
    uint32_t queue_capacity; /* a power of two */
    uint64_t queue_head;
    uint64_t queue_tail;
    int64_t next_timer_ns; /* no timer is due before this time */
    int64_t last_run_ns;
    bool has_run;
    bool stopping;
};

/* Creates a kernel without tasks. The context is borrowed and must outlive
 * the kernel. Free it with rp_kernel_free. */
struct rp_kernel *
rp_kernel_new(struct rp_context *context)
{
    struct rp_kernel *kernel = g_new0(struct rp_kernel, 1);
    kernel->context = context;
    kernel->queue_capacity = 256;
    kernel->queue = g_new(struct queue_entry, kernel->queue_capacity);
    kernel->next_timer_ns = RP_KERNEL_NEVER_NS;
    return kernel;
}

static void *
entry_body(struct queue_entry *entry)
{
    return entry->large_body != NULL ? entry->large_body : entry->inline_body;
}

static void
entry_clear(struct queue_entry *entry)
{
    if (entry->release != NULL) {
        entry->release(entry_body(entry));
    }
    g_free(entry->large_body);
}

/* Removes all tasks, last added first, and frees the kernel. Bodies of
 * messages that were not delivered are released. */
void
rp_kernel_free(struct rp_kernel *kernel)
{
    if (kernel == NULL) {
        return;
    }
    for (uint32_t i = kernel->task_count; i > 0; i--) {
        struct rp_task *task = kernel->tasks[i - 1];
        if (task->ops->on_remove != NULL) {
            task->ops->on_remove(task, task->data);
        }
    }
    uint64_t mask = kernel->queue_capacity - 1;
    for (uint64_t i = kernel->queue_head; i != kernel->queue_tail; i++) {
        entry_clear(&kernel->queue[i & mask]);
    }
    for (uint32_t i = 0; i < kernel->task_count; i++) {
        g_free(kernel->tasks[i]->name);
        g_free(kernel->tasks[i]);
    }
    g_free(kernel->queue);
    g_free(kernel);
}

/* Returns the context that the kernel was created with. */
struct rp_context *
rp_kernel_context(struct rp_kernel *kernel)
{
    return kernel->context;
}

/* Returns the task of that name, or NULL. */
struct rp_task *
rp_kernel_find_task(struct rp_kernel *kernel, const char *name)
{
    for (uint32_t i = 0; i < kernel->task_count; i++) {
        if (strcmp(kernel->tasks[i]->name, name) == 0) {
            return kernel->tasks[i];
        }
    }
    return NULL;
}

/* Registers a task under a unique name, which is copied. ops and data are
 * borrowed. Returns NULL with RP_ERROR_FULL or RP_ERROR_SETTING set when the
 * table is full or the name is taken. */
struct rp_task *
rp_kernel_add_task(struct rp_kernel *kernel, const char *name,
                   const struct rp_task_ops *ops, void *data, GError **error)
{
    if (kernel->task_count == MAX_TASKS) {
        g_set_error(error, RP_ERROR, RP_ERROR_FULL,
                    "cannot add task '%s': the kernel already has the maximum "
                    "of %d tasks; raise MAX_TASKS",
                    name, MAX_TASKS);
        return NULL;
    }
    if (rp_kernel_find_task(kernel, name) != NULL) {
        g_set_error(error, RP_ERROR, RP_ERROR_SETTING,
                    "cannot add task '%s': the name is taken; choose another",
                    name);
        return NULL;
    }
    struct rp_task *task = g_new0(struct rp_task, 1);
    task->kernel = kernel;
    task->name = g_strdup(name);
    task->ops = ops;
    task->data = data;
    for (int i = 0; i < RP_KERNEL_TIMERS; i++) {
        task->timer_at_ns[i] = RP_KERNEL_NEVER_NS;
    }
    kernel->tasks[kernel->task_count++] = task;
    return task;
}

/* Returns the kernel that a task is registered with. */
struct rp_kernel *
rp_task_kernel(struct rp_task *task)
{
    return task->kernel;
}

/* Returns the context that all tasks of the kernel share. */
struct rp_context *
rp_task_context(struct rp_task *task)
{
    return task->kernel->context;
}

/* Returns the name that a task is registered under. */
const char *
rp_task_name(const struct rp_task *task)
{
    return task->name;
}

/* Sets one of a task's RP_KERNEL_TIMERS timers to fire once at the given
 * monotonic time, which replaces its previous time. A task with many
 * deadlines keeps them in an rp_due_queue and sets a timer for the first. */
void
rp_task_set_timer(struct rp_task *task, uint32_t timer, int64_t at_ns)
{
    g_return_if_fail(timer < RP_KERNEL_TIMERS);
    task->timer_at_ns[timer] = at_ns;
    if (at_ns < task->kernel->next_timer_ns) {
        task->kernel->next_timer_ns = at_ns;
    }
}

/* Cancels a timer; does nothing if it is not set. */
void
rp_task_cancel_timer(struct rp_task *task, uint32_t timer)
{
    g_return_if_fail(timer < RP_KERNEL_TIMERS);
    task->timer_at_ns[timer] = RP_KERNEL_NEVER_NS;
}

static void
grow_queue(struct rp_kernel *kernel)
{
    uint32_t capacity = kernel->queue_capacity * 2;
    struct queue_entry *queue = g_new(struct queue_entry, capacity);
    uint32_t count = 0;
    for (uint64_t i = kernel->queue_head; i != kernel->queue_tail; i++) {
        queue[count++] = kernel->queue[i & (kernel->queue_capacity - 1)];
    }
    g_free(kernel->queue);
    kernel->queue = queue;
    kernel->queue_capacity = capacity;
    kernel->queue_head = 0;
    kernel->queue_tail = count;
}

/* Sends a message whose body holds references. The body is copied byte by
 * byte; release is called on the copy after delivery. Returns false, and
 * leaves the references with the sender, when the mailbox is full or to is
 * NULL. from may be NULL; the receiver then gets an empty sender name. */
bool
rp_task_send_owned(struct rp_task *from, struct rp_task *to,
                   enum rp_message_kind kind, const void *body,
                   uint32_t body_bytes, void (*release)(void *body))
{
    if (to == NULL) {
        return false;
    }
    struct rp_kernel *kernel = to->kernel;
    if (to->queued_messages >= MAX_QUEUED_MESSAGES) {
        rp_counter_add(&kernel->context->counters, RP_COUNTER_MAILBOX_FULL, 1);
        return false;
    }
    if (kernel->queue_tail - kernel->queue_head == kernel->queue_capacity) {
        grow_queue(kernel);
    }
    struct queue_entry *entry =
        &kernel->queue[kernel->queue_tail & (kernel->queue_capacity - 1)];
    kernel->queue_tail++;
    to->queued_messages++;
    entry->to = to;
    entry->from = from;
    entry->kind = kind;
    entry->body_bytes = body_bytes;
    entry->release = release;
    entry->large_body = NULL;
    if (body_bytes > INLINE_BODY_BYTES) {
        entry->large_body = g_memdup2(body, body_bytes);
    }
    else if (body_bytes > 0) {
        memcpy(entry->inline_body, body, body_bytes);
    }
    return true;
}

/* Sends a message whose body is plain data; it is copied. Returns false when
 * the mailbox is full or to is NULL; the sender must then refuse or drop the
 * work and count it. */
bool
rp_task_send(struct rp_task *from, struct rp_task *to,
             enum rp_message_kind kind, const void *body, uint32_t body_bytes)
{
    return rp_task_send_owned(from, to, kind, body, body_bytes, NULL);
}

/* Sends a message whose body is plain data to every other task. A task whose
 * mailbox is full does not receive it. */
void
rp_task_broadcast(struct rp_task *from, enum rp_message_kind kind,
                  const void *body, uint32_t body_bytes)
{
    struct rp_kernel *kernel = from->kernel;
    for (uint32_t i = 0; i < kernel->task_count; i++) {
        if (kernel->tasks[i] != from) {
            rp_task_send(from, kernel->tasks[i], kind, body, body_bytes);
        }
    }
}

/* Sends a message whose body holds references to every other task. retain is
 * called on the body before each send and takes one more reference; the
 * sender keeps its own. Returns false when at least one mailbox was
 * full. */
bool
rp_task_broadcast_owned(struct rp_task *from, enum rp_message_kind kind,
                        const void *body, uint32_t body_bytes,
                        void (*retain)(const void *body),
                        void (*release)(void *body))
{
    struct rp_kernel *kernel = from->kernel;
    bool sent = true;
    for (uint32_t i = 0; i < kernel->task_count; i++) {
        if (kernel->tasks[i] == from) {
            continue;
        }
        retain(body);
        if (!rp_task_send_owned(from, kernel->tasks[i], kind, body, body_bytes,
                                release))
        {
            void *copy = g_memdup2(body, body_bytes);
            release(copy);
            g_free(copy);
            sent = false;
        }
    }
    return sent;
}

static void
deliver(const struct rp_message *message, struct rp_task *to, int64_t now_ns)
{
    if (to->ops->on_message != NULL) {
        to->ops->on_message(to, message, now_ns, to->data);
    }
}

/* Delivers RP_MSG_PAUSE_DETECTED ahead of queued messages and due timers, so
 * that each task revalidates its state before it acts on it. */
static void
report_pause(struct rp_kernel *kernel, int64_t gap_ns, int64_t now_ns)
{
    struct rp_context *context = kernel->context;
    rp_counter_add(&context->counters, RP_COUNTER_PAUSES, 1);
    rp_counter_add(&context->counters, RP_COUNTER_PAUSED_MS,
                   (uint64_t)(gap_ns / 1000000));
    struct rp_event *event =
        rp_event_add(context->events, RP_EVENT_PAUSE_DETECTED, now_ns,
                     context->identity.id);
    event->value = gap_ns / 1000000;
    rp_event_set_detail(event,
                        "process was paused for %" G_GINT64_FORMAT " ms",
                        gap_ns / 1000000);
    struct rp_pause pause = {.gap_ns = gap_ns};
    struct rp_message message = {
        .kind = RP_MSG_PAUSE_DETECTED,
        .from = "",
        .body = &pause,
        .body_bytes = sizeof(pause),
    };
    for (uint32_t i = 0; i < kernel->task_count; i++) {
        deliver(&message, kernel->tasks[i], now_ns);
    }
}

static void
fire_timers(struct rp_kernel *kernel, int64_t now_ns)
{
    if (now_ns < kernel->next_timer_ns) {
        return;
    }
    for (uint32_t i = 0; i < kernel->task_count; i++) {
        struct rp_task *task = kernel->tasks[i];
        for (uint32_t timer = 0; timer < RP_KERNEL_TIMERS; timer++) {
            if (task->timer_at_ns[timer] > now_ns) {
                continue;
            }
            task->timer_at_ns[timer] = RP_KERNEL_NEVER_NS;
            if (task->ops->on_timer != NULL) {
                task->ops->on_timer(task, timer, now_ns, task->data);
            }
        }
    }
    kernel->next_timer_ns = RP_KERNEL_NEVER_NS;
    for (uint32_t i = 0; i < kernel->task_count; i++) {
        for (uint32_t timer = 0; timer < RP_KERNEL_TIMERS; timer++) {
            kernel->next_timer_ns = MIN(kernel->next_timer_ns,
                                        kernel->tasks[i]->timer_at_ns[timer]);
        }
    }
}

static void
deliver_queued(struct rp_kernel *kernel, int64_t now_ns)
{
    while (kernel->queue_head != kernel->queue_tail) {
        /* Copied because a receiver may send and so reallocate the queue. */
        struct queue_entry entry =
            kernel->queue[kernel->queue_head & (kernel->queue_capacity - 1)];
        kernel->queue_head++;
        entry.to->queued_messages--;
        struct rp_message message = {
            .kind = entry.kind,
            .from = entry.from == NULL ? "" : entry.from->name,
            .body = entry_body(&entry),
            .body_bytes = entry.body_bytes,
        };
        deliver(&message, entry.to, now_ns);
        entry_clear(&entry);
    }
}

/* Moves the first messages of the queue behind the others. */
static void
move_to_end(struct rp_kernel *kernel, uint64_t count)
{
    uint64_t mask = kernel->queue_capacity - 1;
    for (uint64_t i = 0; i < count; i++) {
        kernel->queue[kernel->queue_tail++ & mask] =
            kernel->queue[kernel->queue_head++ & mask];
    }
}

/* Delivers all queued messages and fires all due timers. now_ns is the
 * current monotonic time and must not decrease. Returns the time at which it
 * must run again at the latest. If more than 500 ms have passed since the
 * previous run, every task first receives RP_MSG_PAUSE_DETECTED, then what the
 * tasks send in reply to it. */
int64_t
rp_kernel_run(struct rp_kernel *kernel, int64_t now_ns)
{
    int64_t gap_ns = now_ns - kernel->last_run_ns;
    if (kernel->has_run && gap_ns > MIN_PAUSE_NS) {
        uint64_t waiting = kernel->queue_tail - kernel->queue_head;
        report_pause(kernel, gap_ns, now_ns);
        move_to_end(kernel, waiting);
    }
    kernel->has_run = true;
    kernel->last_run_ns = now_ns;
    deliver_queued(kernel, now_ns);
    fire_timers(kernel, now_ns);
    deliver_queued(kernel, now_ns);
    return MIN(kernel->next_timer_ns, now_ns + MAX_RUN_INTERVAL_NS);
}

/* Returns whether a stop has been requested. */
bool
rp_kernel_stopping(const struct rp_kernel *kernel)
{
    return kernel->stopping;
}

/* Sends RP_MSG_STOP to all tasks, so that they finish their work in progress.
 * at_ns is when the stop was requested. Calls after the first have no
 * effect. */
void
rp_kernel_request_stop(struct rp_kernel *kernel, int64_t at_ns)
{
    if (kernel->stopping) {
        return;
    }
    kernel->stopping = true;
    struct rp_stop stop = {.at_ns = at_ns};
    for (uint32_t i = 0; i < kernel->task_count; i++) {
        rp_task_send(NULL, kernel->tasks[i], RP_MSG_STOP, &stop, sizeof(stop));
    }
}
