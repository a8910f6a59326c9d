#include <gtest/gtest.h>

#include <string>
#include <vector>

extern "C" {
#include "kernel.h"
}

namespace {

struct event_recorder {
    std::vector<std::string> events;
};

void
on_message(struct rp_task *, const struct rp_message *message, int64_t,
           void *data)
{
    static_cast<event_recorder *>(data)->events.push_back(
        message->kind == RP_MSG_PAUSE_DETECTED ? "pause" : "message");
}

void
on_timer(struct rp_task *, uint32_t timer, int64_t, void *data)
{
    static_cast<event_recorder *>(data)->events.push_back(
        "timer " + std::to_string(timer));
}

const struct rp_task_ops ops = {on_message, on_timer, nullptr};

class kernel_test : public ::testing::Test {
  protected:
    kernel_test()
    {
        struct rp_identity identity = {};
        context = rp_context_new(&identity, 1);
        kernel = rp_kernel_new(context);
    }

    ~kernel_test() override
    {
        rp_kernel_free(kernel);
        rp_context_free(context);
    }

    struct rp_context *context;
    struct rp_kernel *kernel;
};

constexpr int64_t MS = 1000000;

// Guards against tasks that act on outdated state after a pause because the
// pause message arrives after timers and other messages.
TEST_F(kernel_test, pause_comes_before_timers_and_messages)
{
    struct {
        int64_t gap_ms;
        std::vector<std::string> expected;
    } cases[] = {
        {100, {"message", "timer 3"}},
        {500, {"message", "timer 3"}},
        {501, {"pause", "message", "timer 3"}},
    };
    int64_t now_ns = 0;
    event_recorder recorder;
    struct rp_task *task =
        rp_kernel_add_task(kernel, "a", &ops, &recorder, nullptr);
    rp_kernel_run(kernel, now_ns);
    for (const auto &entry : cases) {
        recorder.events.clear();
        rp_task_set_timer(task, 3, now_ns + 50 * MS);
        rp_task_send(nullptr, task, RP_MSG_STOP, nullptr, 0);
        now_ns += entry.gap_ms * MS;
        rp_kernel_run(kernel, now_ns);
        EXPECT_EQ(recorder.events, entry.expected) << entry.gap_ms;
    }
}

struct replier {
    struct rp_task *to;
    uint32_t replies;
};

void
reply_to_pause(struct rp_task *task, const struct rp_message *message, int64_t,
               void *data)
{
    auto *self = static_cast<replier *>(data);
    for (uint32_t i = 0;
         message->kind == RP_MSG_PAUSE_DETECTED && i < self->replies; i++)
    {
        rp_task_send(task, self->to, RP_MSG_SNAPSHOT, nullptr, 0);
    }
}

void
record_kind(struct rp_task *, const struct rp_message *message, int64_t,
            void *data)
{
    static_cast<std::vector<enum rp_message_kind> *>(data)->push_back(
        message->kind);
}

// Guards against messages that waited during a pause and are handled by the
// state from before it, although a task has replaced that state.
TEST_F(kernel_test, replies_to_a_pause_come_before_waiting_messages)
{
    const struct rp_task_ops replier_ops = {reply_to_pause, nullptr, nullptr};
    const struct rp_task_ops kind_ops = {record_kind, nullptr, nullptr};
    std::vector<enum rp_message_kind> kinds;
    replier data = {nullptr, 0};
    rp_kernel_add_task(kernel, "replier", &replier_ops, &data, nullptr);
    data.to = rp_kernel_add_task(kernel, "b", &kind_ops, &kinds, nullptr);
    int64_t now_ns = 0;
    rp_kernel_run(kernel, now_ns);
    struct {
        uint32_t waiting;
        uint32_t replies;
    } cases[] = {{0, 1}, {1, 0}, {1, 1}, {3, 2}, {200, 56}, {300, 300}};
    for (const auto &entry : cases) {
        data.replies = entry.replies;
        std::vector<enum rp_message_kind> expected(1, RP_MSG_PAUSE_DETECTED);
        expected.insert(expected.end(), entry.replies, RP_MSG_SNAPSHOT);
        for (uint32_t i = 0; i < entry.waiting; i++) {
            enum rp_message_kind kind =
                i == 0 ? RP_MSG_CALL_START : RP_MSG_STOP;
            rp_task_send(nullptr, data.to, kind, nullptr, 0);
            expected.push_back(kind);
        }
        kinds.clear();
        now_ns += 501 * MS;
        rp_kernel_run(kernel, now_ns);
        EXPECT_EQ(kinds, expected) << entry.waiting << ", " << entry.replies;
    }
}

// Guards against an unbounded mailbox and against uncounted loss.
TEST_F(kernel_test, full_mailbox_refuses_and_counts)
{
    event_recorder recorder;
    struct rp_task *task =
        rp_kernel_add_task(kernel, "a", &ops, &recorder, nullptr);
    size_t accepted = 0;
    while (rp_task_send(nullptr, task, RP_MSG_STOP, nullptr, 0)) {
        accepted++;
    }
    EXPECT_EQ(rp_counter_get(&context->counters, RP_COUNTER_MAILBOX_FULL), 1u);
    rp_kernel_run(kernel, 0);
    EXPECT_EQ(recorder.events.size(), accepted);
}

// Guards against two tasks with the same name.
TEST_F(kernel_test, names_are_unique_and_found)
{
    event_recorder recorder;
    GError *error = nullptr;
    struct rp_task *task =
        rp_kernel_add_task(kernel, "a", &ops, &recorder, nullptr);
    EXPECT_EQ(rp_kernel_find_task(kernel, "a"), task);
    EXPECT_EQ(rp_kernel_find_task(kernel, "b"), nullptr);
    EXPECT_EQ(rp_kernel_add_task(kernel, "a", &ops, &recorder, &error),
              nullptr);
    ASSERT_NE(error, nullptr);
    g_error_free(error);
}

int released;

void
release_body(void *)
{
    released++;
}

// Guards against leaked references in delivered and undelivered messages.
TEST_F(kernel_test, owned_bodies_are_released_once)
{
    event_recorder recorder;
    struct rp_task *task =
        rp_kernel_add_task(kernel, "a", &ops, &recorder, nullptr);
    char large[1000] = {};
    for (uint32_t bytes : {8u, 256u, 257u, 1000u}) {
        released = 0;
        rp_task_send_owned(nullptr, task, RP_MSG_STOP, large, bytes,
                           release_body);
        rp_kernel_run(kernel, 0);
        EXPECT_EQ(released, 1) << bytes;
    }
}

} // namespace
