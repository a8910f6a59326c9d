#include <gtest/gtest.h>

#include "stop_plan.h"

namespace {

constexpr int64_t MS = 1000000;
constexpr int64_t STOP = 1000 * MS;

// Guards against requests that a stopping VM accepts shortly before its end
// and then cuts off or answers as unknown, and against callers that are turned
// away although their request would have finished.
TEST(stop_plan, accepts_only_what_can_finish)
{
    struct {
        const char *pattern;
        int64_t ttl_ms;
        int64_t timeout_ms;
        int64_t arrival_ms; // after the stop signal
        int64_t deadline_ms;
        bool accepted;
    } cases[] = {
        {"at the signal", 2000, 6000, 0, 20000, true},
        {"short call in the window", 2000, 6000, 2900, 4100, true},
        {"after the window", 2000, 6000, 3000, 3600, false},
        {"long-lived answers do not extend the window", 5000, 6000, 3000, 3600,
         false},
        {"just before the end", 5000, 6000, 5446, 6000, false},
        {"long timeout: short call", 5000, 10000, 4900, 9000, true},
        {"long timeout: call beyond the last answers", 5000, 10000, 4900, 9200,
         false},
        {"long timeout: call beyond the end", 5000, 10000, 4900, 9600, false},
        {"long timeout: call beyond the end, early", 5000, 10000, 2900, 22900,
         true},
        {"window ends with the answers", 1000, 30000, 2000, 2500, false},
        {"no timeout", 5000, 0, 0, 1, false},
    };
    for (const auto &entry : cases) {
        struct rp_stop_plan plan;
        rp_stop_plan_init(&plan, entry.ttl_ms * MS, entry.timeout_ms * MS,
                          STOP);
        EXPECT_EQ(rp_stop_plan_accepts(&plan, STOP + entry.deadline_ms * MS,
                                       STOP + entry.arrival_ms * MS),
                  entry.accepted)
            << entry.pattern;
    }
}

// Guards against a process that is killed with requests in flight because it
// waits for as long as its supervisor does, or that leaves too early for
// requests of the first seconds.
TEST(stop_plan, ends_before_it_is_killed)
{
    struct {
        int64_t timeout_ms;
        int64_t min_end_ms;
        int64_t max_end_ms;
    } cases[] = {
        {6000, 5000, 5750}, // not before the last sixth
        {10000, 8334, 9750}, {30000, 25000, 29750},
        {1000, 834, 950},    {0, 0, 0},
    };
    for (const auto &entry : cases) {
        struct rp_stop_plan plan;
        rp_stop_plan_init(&plan, 5000 * MS, entry.timeout_ms * MS, STOP);
        EXPECT_GE(plan.end_ns, STOP + entry.min_end_ms * MS);
        EXPECT_LE(plan.end_ns, STOP + entry.max_end_ms * MS);
        EXPECT_LE(plan.any_request_until_ns, plan.accept_until_ns);
        EXPECT_LE(plan.accept_until_ns, plan.end_ns);
        EXPECT_GE(plan.answer_ns, STOP + entry.timeout_ms * MS * 5 / 6);
        EXPECT_LE(plan.answer_ns, plan.end_ns);
    }
}

} // namespace
