#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "balancer.h"

// The search for a target when bytes between failure domains are dear: large
// bodies stay in the local domain unless it is full, slow for long or failing.
namespace {

constexpr int64_t MS = 1000000;

struct rp_load_report
report(uint32_t running, uint32_t slowness_percent)
{
    struct rp_load_report load = {};
    load.in_flight = running;
    load.slots = 4;
    load.slowness_percent = slowness_percent;
    return load;
}

// A balancer in the domain "near" with targets at 10.0.0.1, 10.0.0.2 and so
// on, one for each domain.
struct rp_balancer *
new_balancer(const std::vector<const char *> &domains)
{
    struct rp_balancer_config config = {};
    config.domain = "near";
    config.fleet_size = 1;
    config.queue_limit = 100;
    config.probes_per_s = 1000;
    struct rp_balancer *balancer = rp_balancer_new(&config);
    struct rp_snapshot *snapshot = rp_snapshot_new();
    struct rp_service *service = rp_snapshot_add_service(snapshot, "a");
    service->probe_before_calls = true;
    for (size_t i = 0; i < domains.size(); i++) {
        std::string address = "10.0.0." + std::to_string(i + 1) + ":1";
        rp_service_add_target(service, address.c_str(), address.c_str(),
                              domains[i], "e")
            ->slots = 4;
    }
    service->estates[0].share_permille = 1000;
    rp_balancer_set_service(balancer, service, 0);
    rp_snapshot_unref(snapshot);
    return balancer;
}

struct rp_balancer_call
make_call(uint64_t id, uint64_t route, int64_t remote_penalty_ms,
          int64_t now_ns)
{
    struct rp_balancer_call call = {};
    call.call_id = id;
    call.route = route;
    call.aim_ns = 400 * MS;
    call.remote_penalty_ns = remote_penalty_ms * MS;
    call.deadline_ns = now_ns + 1500 * MS;
    return call;
}

// Guards against a crossing for which a probe of a local target would have
// been cheaper: a remote target has just answered, the local one has not been
// asked for a while.
TEST(sync_probe_remote, local_targets_are_probed_before_a_crossing)
{
    struct {
        const char *what;
        int64_t remote_penalty_ms;
        uint32_t local_slowness_percent; // that the probe finds
        uint32_t expected;               // 0: local, 1: remote
        int64_t max_wait_ms;
    } cases[] = {
        {"small bodies cross for speed", 1, 100, 1, 0},
        {"page: local is fast", 10, 100, 0, 5},
        {"page: local is slow", 10, 500, 1, 5},
        {"photo: local is fast", 120, 100, 0, 5},
        {"photo: local stays slow", 120, 500, 1, 125},
    };
    for (const auto &entry : cases) {
        struct rp_balancer *balancer = new_balancer({"near", "far"});
        struct rp_load_report fast = report(0, 100);
        struct rp_load_report local = report(0, entry.local_slowness_percent);
        struct rp_balancer_call call =
            make_call(1, 5, entry.remote_penalty_ms, 1000 * MS);
        struct rp_balancer_verdict verdict;
        rp_balancer_record_load(balancer, "10.0.0.1:1", &fast, 0, 0);
        rp_balancer_record_load(balancer, "10.0.0.2:1", &fast, 0, 1000 * MS);
        rp_balancer_offer(balancer, &call, 1000 * MS, &verdict);
        int64_t now_ns = 1000 * MS;
        bool sent = false;
        for (; !sent && now_ns < 1400 * MS; now_ns += MS) {
            rp_balancer_record_load(balancer, "10.0.0.2:1", &fast, 0, now_ns);
            while (!sent && rp_balancer_next(balancer, now_ns, &verdict)) {
                sent = verdict.action == RP_BALANCER_SEND;
                if (verdict.action == RP_BALANCER_PROBE) {
                    EXPECT_EQ(verdict.target, 0u) << entry.what;
                    rp_balancer_finish_probe(balancer, verdict.target, true,
                                             &local, now_ns);
                }
            }
        }
        ASSERT_TRUE(sent) << entry.what;
        EXPECT_EQ(verdict.target, entry.expected) << entry.what;
        EXPECT_LE(now_ns - MS, (1000 + entry.max_wait_ms) * MS) << entry.what;
        rp_balancer_free(balancer);
    }
}

// Guards against waiting where it cannot help: without a local target, a call
// crosses at once.
TEST(sync_probe_remote, crosses_at_once_without_local_targets)
{
    for (int64_t penalty_ms : {0, 10, 200}) {
        struct rp_balancer *balancer = new_balancer({"far", "far"});
        struct rp_load_report fast = report(0, 100);
        rp_balancer_record_load(balancer, "10.0.0.1:1", &fast, 0, 0);
        struct rp_balancer_call call = make_call(1, 5, penalty_ms, 0);
        struct rp_balancer_verdict verdict = {};
        rp_balancer_offer(balancer, &call, 0, &verdict);
        int64_t now_ns = 0;
        for (; now_ns < 100 * MS && verdict.action != RP_BALANCER_SEND;
             now_ns += MS) {
            while (rp_balancer_next(balancer, now_ns, &verdict) &&
                   verdict.action == RP_BALANCER_PROBE)
            {
                rp_balancer_finish_probe(balancer, verdict.target, true, &fast,
                                         now_ns);
            }
        }
        EXPECT_EQ(verdict.action, RP_BALANCER_SEND) << penalty_ms;
        EXPECT_LE(now_ns, 41 * MS) << penalty_ms << ": one search at most";
        rp_balancer_free(balancer);
    }
}

// Guards against head-of-line blocking: an upload waits for a local target,
// while lookups of the same service behind it can go to a remote one.
TEST(sync_probe_remote, lookups_pass_a_waiting_upload)
{
    constexpr uint64_t UPLOAD = 5;
    constexpr uint64_t LOOKUP = 6;
    struct rp_balancer *balancer = new_balancer({"near", "far"});
    struct rp_load_report slow = report(0, 500);
    struct rp_load_report fast = report(0, 100);
    struct rp_balancer_verdict verdict;
    rp_balancer_record_load(balancer, "10.0.0.1:1", &slow, 0, 0);
    rp_balancer_record_load(balancer, "10.0.0.2:1", &fast, 0, 0);
    struct rp_balancer_call upload = make_call(1, UPLOAD, 150, 0);
    rp_balancer_offer(balancer, &upload, 0, &verdict);
    EXPECT_EQ(verdict.action, RP_BALANCER_WAIT);
    while (rp_balancer_next(balancer, 0, &verdict)) {
        ASSERT_EQ(verdict.action, RP_BALANCER_PROBE);
        rp_balancer_finish_probe(balancer, verdict.target, true, &slow, 0);
    }
    for (uint64_t id = 2; id < 5; id++) {
        int64_t now_ns = (int64_t)id * MS;
        struct rp_balancer_call lookup = make_call(id, LOOKUP, 0, now_ns);
        rp_balancer_record_load(balancer, "10.0.0.1:1", &slow, 0, now_ns);
        rp_balancer_record_load(balancer, "10.0.0.2:1", &fast, 0, now_ns);
        rp_balancer_offer(balancer, &lookup, now_ns, &verdict);
        ASSERT_TRUE(rp_balancer_next(balancer, now_ns, &verdict)) << id;
        EXPECT_EQ(verdict.action, RP_BALANCER_SEND) << id;
        EXPECT_EQ(verdict.call_id, id);
        EXPECT_EQ(verdict.target, 1u);
    }
    EXPECT_EQ(rp_balancer_queued(balancer), 1u) << "the upload still waits";
    rp_balancer_free(balancer);
}

} // namespace
