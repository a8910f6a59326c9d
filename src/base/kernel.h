#ifndef RP_KERNEL_H
#define RP_KERNEL_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "context.h"

#define RP_KERNEL_TIMERS 16
#define RP_KERNEL_NEVER_NS INT64_MAX

enum rp_message_kind {
#define RP_MESSAGE(identifier) RP_MSG_##identifier,
#include "message_list.h"
#undef RP_MESSAGE
    RP_MSG_COUNT
};

/* A message as passed to on_message. The kernel owns the body, which is valid
 * only during the call. */
struct rp_message {
    enum rp_message_kind kind;
    const char *from; /* name of the sending task, "" for the kernel */
    const void *body;
    uint32_t body_bytes;
};

/* Body of RP_MSG_PAUSE_DETECTED, which the kernel delivers to every task
 * before queued messages and due timers. */
struct rp_pause {
    int64_t gap_ns; /* since the previous run of the kernel */
};

/* Body of RP_MSG_STOP. */
struct rp_stop {
    int64_t at_ns; /* when the stop was requested */
};

struct rp_kernel;
struct rp_task;

/* Callbacks of a task; those that it does not need may be NULL. */
struct rp_task_ops {
    void (*on_message)(struct rp_task *task, const struct rp_message *message,
                       int64_t now_ns, void *data);
    void (*on_timer)(struct rp_task *task, uint32_t timer, int64_t now_ns,
                     void *data);
    void (*on_remove)(struct rp_task *task, void *data);
};

#ifdef __cplusplus
extern "C" {
#endif

struct rp_kernel *rp_kernel_new(struct rp_context *context);
void rp_kernel_free(struct rp_kernel *kernel);
struct rp_context *rp_kernel_context(struct rp_kernel *kernel);
struct rp_task *rp_kernel_add_task(struct rp_kernel *kernel, const char *name,
                                   const struct rp_task_ops *ops, void *data,
                                   GError **error);
struct rp_task *rp_kernel_find_task(struct rp_kernel *kernel,
                                    const char *name);
int64_t rp_kernel_run(struct rp_kernel *kernel, int64_t now_ns);
bool rp_kernel_stopping(const struct rp_kernel *kernel);
void rp_kernel_request_stop(struct rp_kernel *kernel, int64_t at_ns);

struct rp_kernel *rp_task_kernel(struct rp_task *task);
struct rp_context *rp_task_context(struct rp_task *task);
const char *rp_task_name(const struct rp_task *task);
void rp_task_set_timer(struct rp_task *task, uint32_t timer, int64_t at_ns);
void rp_task_cancel_timer(struct rp_task *task, uint32_t timer);
bool rp_task_send(struct rp_task *from, struct rp_task *to,
                  enum rp_message_kind kind, const void *body,
                  uint32_t body_bytes);
bool rp_task_send_owned(struct rp_task *from, struct rp_task *to,
                        enum rp_message_kind kind, const void *body,
                        uint32_t body_bytes, void (*release)(void *body));
void rp_task_broadcast(struct rp_task *from, enum rp_message_kind kind,
                       const void *body, uint32_t body_bytes);
bool rp_task_broadcast_owned(struct rp_task *from, enum rp_message_kind kind,
                             const void *body, uint32_t body_bytes,
                             void (*retain)(const void *body),
                             void (*release)(void *body));

#ifdef __cplusplus
}
#endif

#endif
