#include <gtest/gtest.h>

#include <vector>

#include "balancer.h"
#include "sync_probe.h"

namespace {

constexpr int64_t MS = 1000000;

struct rp_load_report
report(uint32_t running, uint32_t slowness_percent)
{
    struct rp_load_report load = {};
    load.in_flight = running;
    load.slots = 6;
    load.slowness_percent = slowness_percent;
    return load;
}

struct rp_sync_probe_pool
make_pool()
{
    struct rp_sync_probe_pool pool;
    rp_sync_probe_pool_init(&pool);
    pool.has_slowness = true;
    pool.usual_ns = 100.0 * MS;
    pool.samples = 100;
    pool.slowness = 2;
    pool.mean_utilization = 0.3;
    return pool;
}

// Guards against work for a target that is slow, near capacity or full while a
// fast one is available.
TEST(sync_probe, expected_time_orders_targets)
{
    struct {
        const char *what;
        uint32_t running;
        uint32_t slowness_percent;
        int64_t age_ms;
    } fast_to_slow[] = {
        {"idle and fast", 0, 100, 0},
        {"near capacity and fast", 5, 100, 0},
        {"fast, report 150 ms old", 0, 100, 150},
        {"slow, report 150 ms old", 0, 500, 150},
        {"idle and slow", 0, 500, 0},
        {"full and slow", 12, 500, 0},
    };
    struct rp_sync_probe_pool pool = make_pool();
    double previous_ns = 0;
    for (const auto &entry : fast_to_slow) {
        struct rp_sync_probe_target target;
        rp_sync_probe_init(&target, 0);
        struct rp_load_report load =
            report(entry.running, entry.slowness_percent);
        struct rp_sync_probe_pool unused = pool;
        rp_sync_probe_record_report(&target, &unused, &load, 0);
        double expected =
            rp_sync_probe_expected_ns(&target, &pool, 0, 6, entry.age_ms * MS);
        EXPECT_GT(expected, previous_ns) << entry.what;
        previous_ns = expected;
    }
}

// Guards against a burst of calls all going to the target that was last found
// idle: calls that this VM has sent since the report add to its load.
TEST(sync_probe, local_calls_count_until_the_next_report)
{
    struct rp_sync_probe_pool pool = make_pool();
    struct rp_sync_probe_target target;
    rp_sync_probe_init(&target, 0);
    struct rp_load_report load = report(1, 100);
    rp_sync_probe_record_report(&target, &pool, &load, 10 * MS);
    EXPECT_NEAR(rp_sync_probe_load(&target, &pool, 6, 10 * MS), 1, 0.01);
    for (int i = 0; i < 3; i++) {
        rp_sync_probe_record_sent(&target, 11 * MS);
    }
    EXPECT_NEAR(rp_sync_probe_load(&target, &pool, 6, 11 * MS), 4, 0.1);
    rp_sync_probe_record_report(&target, &pool, &load, 12 * MS);
    EXPECT_NEAR(rp_sync_probe_load(&target, &pool, 6, 12 * MS), 1, 0.01);
}

// Guards against preferring a target whose response times are long although it
// reports that it is fast.
TEST(sync_probe, response_times_override_reports)
{
    struct rp_sync_probe_pool pool = make_pool();
    struct rp_sync_probe_target slow;
    struct rp_sync_probe_target usual;
    rp_sync_probe_init(&slow, 0);
    rp_sync_probe_init(&usual, 0);
    struct rp_load_report load = report(0, 100);
    for (int i = 0; i < 5; i++) {
        rp_sync_probe_record_answer(&slow, &pool, 0, 1, false, 600 * MS,
                                    i * MS);
        rp_sync_probe_record_answer(&usual, &pool, 0, 1, false, 100 * MS,
                                    i * MS);
    }
    rp_sync_probe_record_report(&slow, &pool, &load, 5 * MS);
    rp_sync_probe_record_report(&usual, &pool, &load, 5 * MS);
    EXPECT_GT(rp_sync_probe_expected_ns(&slow, &pool, 0, 6, 5 * MS),
              2 * rp_sync_probe_expected_ns(&usual, &pool, 0, 6, 5 * MS));
    // The target is used again when these response times are old.
    EXPECT_LT(rp_sync_probe_expected_ns(&slow, &pool, 0, 6, 8000 * MS),
              1.2 * rp_sync_probe_expected_ns(&usual, &pool, 0, 6, 8000 * MS));
}

// Guards against filling targets whose throughput falls near capacity: above
// four requests in six slots each request takes twice as long.
TEST(sync_probe, learns_the_cost_near_capacity)
{
    struct {
        double cost;
        double max_load; // requests on a target with six slots
    } cases[] = {{1.0, 7}, {1.3, 7}, {1.8, 4}, {2.5, 4}};
    for (const auto &entry : cases) {
        struct rp_sync_probe_pool pool = make_pool();
        struct rp_sync_probe_target target;
        rp_sync_probe_init(&target, 0);
        for (int i = 0; i < 300; i++) {
            bool near_capacity = i % 3 == 0;
            int64_t usual_ms = 90 + i % 20;
            rp_sync_probe_record_answer(
                &target, &pool, 0, 1, near_capacity,
                (int64_t)((near_capacity ? entry.cost : 1) * usual_ms * MS),
                i * MS);
        }
        EXPECT_EQ(rp_sync_probe_max_load(&pool, 6), entry.max_load)
            << entry.cost;
        EXPECT_NEAR(pool.usual_ns / MS, 100, 15) << entry.cost;
    }
}

// Guards against hedges that start so late that they cannot meet the latency
// goal, and against hedges of calls that take the usual time.
TEST(sync_probe, hedges_can_meet_the_latency_goal)
{
    struct {
        const char *what;
        int64_t aim_ms;
        int64_t min_ms;
        int64_t max_ms;
    } cases[] = {
        {"no goal", 0, 170, 170},
        {"goal of three times the usual time", 330, 170, 170},
        {"goal of 2.7 times: the hedge ends in time", 270, 130, 150},
        {"goal that no hedge can meet", 200, 130, 130},
    };
    for (const auto &entry : cases) {
        struct rp_sync_probe_pool pool = make_pool();
        int64_t delay_ns =
            rp_sync_probe_hedge_delay_ns(&pool, 1, entry.aim_ms * MS);
        EXPECT_GE(delay_ns, entry.min_ms * MS - 1) << entry.what;
        EXPECT_LE(delay_ns, entry.max_ms * MS) << entry.what;
    }
}

// Guards against more probes of a target than its rate allows in any period.
TEST(sync_probe, probe_rate_is_limited)
{
    for (double rate : {0.5, 4.0, 30.0}) {
        struct rp_sync_probe_target target;
        struct rp_sync_probe_pool pool = make_pool();
        rp_sync_probe_init(&target, 0);
        int probes = 0;
        for (int ms = 0; ms < 60000; ms++) {
            if (rp_sync_probe_may_probe(&target, rate, ms * MS)) {
                rp_sync_probe_record_start(&target, &pool, rate, ms * MS);
                rp_sync_probe_record_end(&target, &pool, true, ms * MS);
                probes++;
            }
        }
        EXPECT_LE(probes, rate * 60 + 3) << rate; // burst of two at the start
        EXPECT_GE(probes, rate * 60 - 2) << rate;
    }
}

class sync_probe_balancer : public ::testing::Test {
  protected:
    sync_probe_balancer()
    {
        struct rp_balancer_config config = {};
        config.domain = "d0";
        config.fleet_size = 1;
        config.deciders = 1;
        config.queue_limit = 100;
        config.seed = 1;
        config.probes_per_s = 1000;
        config.retry_ratio = 0.2;
        config.retry_allowance = 4;
        config.retry_window_ns = 10000 * MS;
        balancer = rp_balancer_new(&config);
        snapshot = rp_snapshot_new();
        struct rp_service *service = rp_snapshot_add_service(snapshot, "a");
        for (const char *address : {"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"})
        {
            rp_service_add_target(service, address, address, "d0", "e");
        }
        service->estates[0].share_permille = 1000;
        rp_balancer_set_service(balancer, service, 0);
        struct rp_load_report load = report(0, 100);
        rp_balancer_record_load(balancer, "10.0.0.1:1", &load, 0, 0);
        now_ns = 1000 * MS; // the report isn't fresh any more
    }

    ~sync_probe_balancer() override
    {
        rp_balancer_free(balancer);
        rp_snapshot_unref(snapshot);
    }

    enum rp_balancer_action offer(uint64_t id, uint32_t flags = 0)
    {
        struct rp_balancer_call call = {};
        struct rp_balancer_verdict verdict;
        call.call_id = id;
        call.aim_ns = 300 * MS;
        call.deadline_ns = now_ns + 1000 * MS;
        call.flags = RP_CALL_REPEATABLE | flags;
        rp_balancer_offer(balancer, &call, now_ns, &verdict);
        return verdict.action;
    }

    struct rp_balancer *balancer;
    struct rp_snapshot *snapshot;
    int64_t now_ns;
};

// Guards against calls that start on a machine that is slow at the moment: the
// call goes to the first target that reports that it is fast.
TEST_F(sync_probe_balancer, sends_to_the_first_fast_target)
{
    struct rp_balancer_verdict verdict;
    EXPECT_EQ(offer(1), RP_BALANCER_WAIT);
    ASSERT_TRUE(rp_balancer_next(balancer, now_ns, &verdict));
    ASSERT_EQ(verdict.action, RP_BALANCER_PROBE);
    EXPECT_FALSE(rp_balancer_next(balancer, now_ns, &verdict))
        << "more than one probe at a time for a call";
    struct rp_load_report slow = report(0, 500);
    rp_balancer_finish_probe(balancer, verdict.target, true, &slow, now_ns);
    uint32_t first = verdict.target;
    ASSERT_TRUE(rp_balancer_next(balancer, now_ns, &verdict));
    ASSERT_EQ(verdict.action, RP_BALANCER_PROBE);
    EXPECT_NE(verdict.target, first);
    struct rp_load_report fast = report(1, 100);
    uint32_t second = verdict.target;
    rp_balancer_finish_probe(balancer, second, true, &fast, now_ns);
    ASSERT_TRUE(rp_balancer_next(balancer, now_ns, &verdict));
    EXPECT_EQ(verdict.action, RP_BALANCER_SEND);
    EXPECT_EQ(verdict.target, second);
    EXPECT_EQ(verdict.call_id, 1u);
}

// Guards against a search that delays a call for too long because every target
// is slow or doesn't answer probes.
TEST_F(sync_probe_balancer, search_ends_in_time)
{
    for (bool answers : {false, true}) {
        struct rp_balancer_verdict verdict;
        now_ns += 1000 * MS;
        int64_t start_ns = now_ns;
        EXPECT_EQ(offer(answers ? 2 : 1), RP_BALANCER_WAIT);
        bool sent = false;
        while (!sent && now_ns < start_ns + 500 * MS) {
            while (rp_balancer_next(balancer, now_ns, &verdict)) {
                if (verdict.action == RP_BALANCER_SEND) {
                    sent = true;
                    break;
                }
                struct rp_load_report slow = report(0, 500);
                ASSERT_EQ(verdict.action, RP_BALANCER_PROBE);
                if (answers) {
                    rp_balancer_finish_probe(balancer, verdict.target, true,
                                             &slow, now_ns);
                }
            }
            now_ns += 5 * MS;
        }
        EXPECT_TRUE(sent) << answers;
        // An eighth of the aim, and a step.
        EXPECT_LE(now_ns - start_ns, 300 * MS / 8 + 15 * MS) << answers;
    }
}

// Guards against calls that are sent without a probe because the target that
// is best by old reports has no probe left, although other targets have.
TEST_F(sync_probe_balancer, probes_another_when_a_budget_is_used_up)
{
    rp_balancer_set_share(balancer,
                          1.0 / 2000); // two probes a target, then none
    struct rp_balancer_verdict verdict;
    std::vector<int> probe_counts(3);
    for (uint64_t id = 1; id <= 6; id++) {
        ASSERT_EQ(offer(id), RP_BALANCER_WAIT);
        ASSERT_TRUE(rp_balancer_next(balancer, now_ns, &verdict));
        ASSERT_EQ(verdict.action, RP_BALANCER_PROBE) << id;
        probe_counts[verdict.target]++;
        struct rp_load_report fast = report(0, 100);
        rp_balancer_finish_probe(balancer, verdict.target, true, &fast,
                                 now_ns);
        ASSERT_TRUE(rp_balancer_next(balancer, now_ns, &verdict));
        EXPECT_EQ(verdict.action, RP_BALANCER_SEND);
        now_ns += 20 * MS;
    }
    EXPECT_EQ(probe_counts, std::vector<int>({2, 2, 2}));
}

// Guards against hedges beyond the allowance for retries and hedges.
TEST_F(sync_probe_balancer, hedges_have_a_budget)
{
    int accepted = 0;
    for (uint64_t id = 1; id <= 20; id++) {
        accepted += offer(id, RP_CALL_HEDGE) == RP_BALANCER_WAIT;
        rp_balancer_withdraw(balancer, id, now_ns);
    }
    EXPECT_EQ(accepted, 4);
}

// Guards against requests that name the previous target of an address, against
// counting its faults for the new one, and against a probe in flight that
// counts forever.
TEST_F(sync_probe_balancer, address_is_reused_by_another_target)
{
    struct rp_balancer_verdict verdict;
    EXPECT_EQ(offer(1), RP_BALANCER_WAIT);
    ASSERT_TRUE(rp_balancer_next(balancer, now_ns, &verdict));
    ASSERT_EQ(verdict.action, RP_BALANCER_PROBE);
    struct rp_snapshot *changed = rp_snapshot_new();
    struct rp_service *service = rp_snapshot_add_service(changed, "a");
    for (const char *address : {"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"}) {
        struct rp_target *target =
            rp_service_add_target(service, address, address, "d0", "e");
        g_free(target->instance);
        target->instance = g_strdup("next");
    }
    service->estates[0].share_permille = 1000;
    rp_balancer_set_service(balancer, service, now_ns);
    for (uint32_t i = 0; i < 3; i++) {
        EXPECT_STREQ(rp_balancer_target_instance(balancer, i), "next");
    }
    ASSERT_TRUE(rp_balancer_next(balancer, now_ns, &verdict));
    EXPECT_EQ(verdict.action, RP_BALANCER_PROBE)
        << "the old probe still counts";
    rp_snapshot_unref(changed);
}

// Guards against budgets that grow with the fleet: a hundred entry VMs
// together have the same allowance as one.
TEST_F(sync_probe_balancer, allowance_is_divided_by_the_fleet)
{
    rp_balancer_set_share(balancer, 1.0 / 100);
    int accepted = 0;
    for (uint64_t id = 1; id <= 20; id++) {
        accepted += offer(id, RP_CALL_HEDGE) == RP_BALANCER_WAIT;
        rp_balancer_withdraw(balancer, id, now_ns);
    }
    EXPECT_EQ(accepted, 0); // 4 / 100 of a hedge
}

} // namespace
