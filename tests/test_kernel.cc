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
