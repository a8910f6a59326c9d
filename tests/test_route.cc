#include <gtest/gtest.h>

extern "C" {
#include "route.h"
}

namespace {

constexpr int64_t MS = 1000000;
constexpr double RESPONSE_NS = 5.0 * MS;

struct rp_route_pool
make_pool(uint32_t deciders, double trust)
{
    struct rp_route_pool pool;
    rp_route_pool_init(&pool, deciders);
    pool.response_ns = RESPONSE_NS;
    pool.samples = 256;
    pool.trust = trust;
    return pool;
}

// Guards against a target that stops reporting and whose estimated load then
// decays to the average of all targets.
TEST(route, old_report_decays_to_own_average)
{
    struct rp_route_pool pool = make_pool(4, 1);
    struct rp_route_target target;
    rp_route_init(&target, 6, true);
    struct rp_load_report load = {20, 6, 0, 5000, RP_TARGET_SERVING};
    for (int i = 0; i < 100; i++) {
        rp_route_record_report(&target, &pool, &load, 0, i * MS);
    }
    pool.trust = 1;
    for (int64_t age_ms : {0, 10, 1000, 100000}) {
        EXPECT_NEAR(
            rp_route_remote_in_flight(&target, &pool, (99 + age_ms) * MS), 20,
            0.1)
            << age_ms;
    }
}

// Guards against herding on reports that do not follow local requests.
TEST(route, trust_follows_local_requests)
{
    struct {
        bool fresh;
        double min_trust, max_trust;
    } cases[] = {{true, 0.9, 1}, {false, 0, 0.1}};
    for (const auto &entry : cases) {
        struct rp_route_pool pool = make_pool(4, 0);
        struct rp_route_target target;
        rp_route_init(&target, 6, true);
        for (int i = 0; i < 4000; i++) {
            // Periods of 4 and 7 are not correlated.
            target.in_flight = i % 4;
            uint32_t stale = i % 7;
            struct rp_load_report load = {entry.fresh ? target.in_flight + 2
                                                      : stale,
                                          6, 0, 5000, RP_TARGET_SERVING};
            rp_route_record_report(&target, &pool, &load, 0, i * MS);
        }
        EXPECT_GE(pool.trust, entry.min_trust) << entry.fresh;
        EXPECT_LE(pool.trust, entry.max_trust) << entry.fresh;
    }
}

// Guards against a cost that ranks a more loaded, slower or more distant
// target first.
TEST(route, cost_order)
{
    struct rp_route_pool pool = make_pool(1, 1);
    struct {
        const char *name;
        bool local;
        uint32_t in_flight;
        double response_ns;
        int64_t pending_since_ms;
    } by_rising_cost[] = {
        {"idle and near", true, 0, RESPONSE_NS, 0},
        {"idle and far", false, 0, RESPONSE_NS, 0},
        {"queue of three", true, 8, RESPONSE_NS, 0},
        {"three times slower", true, 5, 3 * RESPONSE_NS, 0},
        {"answer overdue by 50 ms", true, 1, RESPONSE_NS, -70},
    };
    double previous = 0;
    for (const auto &entry : by_rising_cost) {
        struct rp_route_target target;
        rp_route_init(&target, 6, entry.local);
        target.in_flight = entry.in_flight;
        target.response_ns = entry.response_ns;
        target.sampled = true;
        target.pending_since_ns = entry.pending_since_ms * MS;
        double cost = rp_route_cost_ns(&target, &pool, 0, 0);
        EXPECT_GT(cost, previous) << entry.name;
        previous = cost;
    }
}

// Guards against a straggler that is avoided for ever after it has recovered.
TEST(route, straggler_is_avoided_then_retried)
{
    struct rp_route_pool pool = make_pool(1, 1);
    struct rp_route_target target;
    rp_route_init(&target, 6, true);
    int64_t now_ns = 0;
    int answers = 0;
    while (!rp_route_is_straggler(&target, &pool) && answers < 100) {
        rp_route_record_answer(&target, &pool, 15 * MS, now_ns);
        answers++;
    }
    EXPECT_LT(answers, 15);
    double avoided_cost = rp_route_cost_ns(&target, &pool, 0, now_ns + MS);
    now_ns += 1100 * MS;
    EXPECT_LT(rp_route_cost_ns(&target, &pool, 0, now_ns), avoided_cost);
    rp_route_record_answer(&target, &pool, 5 * MS, now_ns);
    EXPECT_FALSE(rp_route_is_straggler(&target, &pool));
}

// Guards against calls that stay counted as long because their kind is found
// to be short while they run: new long calls would then wait without need.
TEST(route, long_calls_that_end_as_short)
{
    struct rp_route_target target;
    rp_route_init(&target, 6, true);
    for (bool ends_as_long : {true, false}) {
        for (int i = 0; i < 3; i++) {
            rp_route_record_sent(&target, true, 0);
        }
        EXPECT_EQ(target.long_in_flight, 3u);
        for (int i = 0; i < 3; i++) {
            rp_route_record_end(&target, ends_as_long, MS);
        }
        EXPECT_EQ(target.long_in_flight, 0u) << ends_as_long;
    }
}

} // namespace
