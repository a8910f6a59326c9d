#include <gtest/gtest.h>

#include <vector>

extern "C" {
#include "backlog.h"
}

namespace {

constexpr int64_t MS = 1000000;
constexpr double USUAL_CALL_NS = 100.0 * MS;

struct rp_balancer_call
make_call(uint64_t id, uint32_t rank, int64_t aim_ms, int64_t now_ns)
{
    struct rp_balancer_call call = {};
    call.call_id = id;
    call.rank = rank;
    call.aim_ns = aim_ms * MS;
    call.deadline_ns = now_ns + 1000 * MS;
    return call;
}

// Guards against overload in which every answer is late: calls that can still
// meet their aim go first, and a lower rank always before a higher one.
TEST(backlog, order)
{
    struct {
        const char *what;
        struct {
            uint32_t rank;
            int64_t aim_ms;
            int64_t offered_ms;
        } calls[3];
        int64_t now_ms;
        std::vector<uint64_t> expected;
    } cases[] = {
        {"order of arrival",
         {{1, 300, 0}, {1, 300, 1}, {1, 300, 2}},
         10,
         {1, 2, 3}},
        {"late calls last",
         {{1, 300, 0}, {1, 300, 200}, {1, 300, 210}},
         220,
         {2, 3, 1}},
        {"rank first", {{2, 300, 0}, {1, 300, 1}, {0, 300, 2}}, 10, {3, 2, 1}},
        {"rank before aim",
         {{1, 150, 0}, {2, 300, 100}, {1, 300, 100}},
         150,
         {3, 1, 2}},
        {"call without an aim is never late",
         {{1, 0, 0}, {1, 150, 0}, {1, 300, 0}},
         100,
         {1, 3, 2}},
    };
    for (const auto &entry : cases) {
        struct rp_backlog *backlog = rp_backlog_new(10);
        for (uint64_t i = 0; i < 3; i++) {
            int64_t at_ns = entry.calls[i].offered_ms * MS;
            struct rp_balancer_call call = make_call(
                i + 1, entry.calls[i].rank, entry.calls[i].aim_ms, at_ns);
            ASSERT_EQ(rp_backlog_offer(backlog, &call, USUAL_CALL_NS, at_ns),
                      RP_REFUSAL_NONE)
                << entry.what;
        }
        std::vector<uint64_t> order;
        while (rp_backlog_count(backlog) > 0) {
            uint64_t id =
                rp_backlog_peek(backlog, nullptr, 0, entry.now_ms * MS)
                    ->call_id;
            order.push_back(id);
            rp_backlog_pop(backlog, id, entry.now_ms * MS);
        }
        EXPECT_EQ(order, entry.expected) << entry.what;
        rp_backlog_free(backlog);
    }
}

// Guards against calls that wait until their deadline has nearly passed and
// are then refused, and against refusals while there is room.
TEST(backlog, refuses_early)
{
    struct rp_backlog *backlog = rp_backlog_new(500);
    uint64_t id = 0;
    uint32_t refused = 0;
    // For 4 s, 200 calls/s arrive and 100 calls/s are sent.
    for (int64_t ms = 0; ms < 4000; ms += 5) {
        struct rp_balancer_call call = make_call(++id, 1, 300, ms * MS);
        enum rp_refusal refusal =
            rp_backlog_offer(backlog, &call, USUAL_CALL_NS, ms * MS);
        if (refusal != RP_REFUSAL_NONE) {
            EXPECT_EQ(refusal, RP_REFUSAL_QUEUE_FULL);
            refused++;
        }
        struct rp_balancer_call expired;
        while (rp_backlog_expire(backlog, ms * MS, &expired)) {
            int64_t offered_ns = expired.deadline_ns - 1000 * MS;
            EXPECT_LE(ms * MS - offered_ns, 360 * MS); // 0.35 s, and a step
            refused++;
        }
        const struct rp_balancer_call *next =
            rp_backlog_peek(backlog, nullptr, 0, ms * MS);
        if (ms % 10 == 0 && next != nullptr) {
            rp_backlog_pop(backlog, next->call_id, ms * MS);
        }
    }
    // 800 calls arrived and 400 were sent; those that wait at the end are at
    // most the calls of 0.35 s.
    EXPECT_GE(refused, 360u);
    EXPECT_LE(refused, 400u);
    rp_backlog_free(backlog);
}

// Guards against queuing a call that can't be answered by its deadline, more
// calls than the limit, and a call that stays after its caller has left.
TEST(backlog, bounds)
{
    struct rp_backlog *backlog = rp_backlog_new(2);
    struct rp_balancer_call late = make_call(1, 0, 300, -950 * MS);
    EXPECT_EQ(rp_backlog_offer(backlog, &late, USUAL_CALL_NS, 0),
              RP_REFUSAL_DEADLINE);
    for (uint64_t id = 2; id <= 4; id++) {
        struct rp_balancer_call call = make_call(id, 0, 300, 0);
        EXPECT_EQ(rp_backlog_offer(backlog, &call, USUAL_CALL_NS, 0),
                  id < 4 ? RP_REFUSAL_NONE : RP_REFUSAL_QUEUE_FULL);
    }
    EXPECT_EQ(rp_backlog_due_ns(backlog), 350 * MS);
    EXPECT_TRUE(rp_backlog_withdraw(backlog, 2));
    EXPECT_FALSE(rp_backlog_withdraw(backlog, 2));
    EXPECT_EQ(rp_backlog_count(backlog), 1u);
    rp_backlog_free(backlog);
}

} // namespace
