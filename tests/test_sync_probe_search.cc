#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

#include "balancer.h"
#include "sync_probe.h"
#include "transfer_size.h"

// The balancer's search for a target with synchronous probes, from the first
// call of a process on.
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

// The balancer of a process that has just started, in failure domain "near".
struct rp_balancer *
new_balancer()
{
    struct rp_balancer_config config = {};
    config.domain = "near";
    config.fleet_size = 1;
    config.queue_limit = 100;
    config.probes_per_s = 1000;
    return rp_balancer_new(&config);
}

// Publishes targets 10.0.0.1, 10.0.0.2 and so on, one for each domain.
void
publish(struct rp_balancer *balancer, const std::vector<const char *> &domains,
        bool probe_before_calls = true)
{
    struct rp_snapshot *snapshot = rp_snapshot_new();
    struct rp_service *service = rp_snapshot_add_service(snapshot, "a");
    service->probe_before_calls = probe_before_calls;
    for (size_t i = 0; i < domains.size(); i++) {
        std::string address = "10.0.0." + std::to_string(i + 1) + ":1";
        rp_service_add_target(service, address.c_str(), address.c_str(),
                              domains[i], "e")
            ->slots = 6;
    }
    service->estates[0].share_permille = 1000;
    rp_balancer_set_service(balancer, service, 0);
    rp_snapshot_unref(snapshot);
}

// Guards against overload of a few targets after a restart of all entry VMs:
// without any report, each sent its first calls to the same targets without a
// probe. Targets that don't report a slowness aren't probed forever.
TEST(sync_probe_search, first_calls_probe_until_no_slowness_is_reported)
{
    struct {
        const char *what;
        bool probe_before_calls;
        bool reports_slowness;
        enum rp_balancer_action first; // of the first call
        enum rp_balancer_action later; // of a call after five answers
    } cases[] = {
        {"probes disabled", false, false, RP_BALANCER_SEND, RP_BALANCER_SEND},
        {"targets report slowness", true, true, RP_BALANCER_WAIT,
         RP_BALANCER_WAIT},
        {"no slowness reported", true, false, RP_BALANCER_WAIT,
         RP_BALANCER_SEND},
    };
    for (const auto &entry : cases) {
        struct rp_balancer *balancer = new_balancer();
        publish(balancer, {"near", "near"}, entry.probe_before_calls);
        struct rp_balancer_call call = {};
        struct rp_balancer_verdict verdict;
        call.aim_ns = 300 * MS;
        call.deadline_ns = 1000 * MS;
        call.call_id = 1;
        rp_balancer_offer(balancer, &call, 0, &verdict);
        EXPECT_EQ(verdict.action, entry.first) << entry.what;
        int sent = verdict.action == RP_BALANCER_SEND;
        for (int64_t now_ns = 0; now_ns < 100 * MS; now_ns += 5 * MS) {
            while (rp_balancer_next(balancer, now_ns, &verdict)) {
                if (verdict.action == RP_BALANCER_SEND) {
                    sent++;
                    continue;
                }
                struct rp_load_report load = report(0, 100);
                rp_balancer_finish_probe(balancer, verdict.target, true,
                                         entry.reports_slowness ? &load : NULL,
                                         now_ns);
            }
        }
        EXPECT_EQ(sent, 1) << entry.what << ": lost or sent twice";
        for (int i = 0; i < 5 && !entry.reports_slowness; i++) {
            rp_balancer_finish_probe(balancer, 0, true, NULL, 100 * MS);
        }
        call.call_id = 2;
        rp_balancer_offer(balancer, &call, 200 * MS, &verdict);
        EXPECT_EQ(verdict.action, entry.later) << entry.what;
        rp_balancer_free(balancer);
    }
}

// Guards against large bodies that cross failure domains although a target in
// the local one is nearly as fast, and against small ones that avoid remote
// targets as well. Uploads count by their own size, chunked ones by the mean.
TEST(transfer_size, large_bodies_stay_near)
{
    struct {
        const char *what;
        uint64_t answer_bytes;
        uint64_t mean_request_bytes;
        int64_t request_bytes; // -1: unknown
        int64_t aim_ms;
        int64_t remote_penalty_ms;
    } cases[] = {
        {"unknown", 0, 0, 0, 300, 0},
        {"lookup", 400, 0, 0, 250, 0},
        {"page", 5000, 0, 0, 250, 5},
        {"map", 90000, 0, 0, 300, 90},
        {"film", 90000000, 0, 0, 600, 300}, // half of the aim at most
        {"photo upload", 1500, 20000, 60000, 400, 61},
        {"chunked upload", 1500, 20000, -1, 400, 21},
        {"first upload, chunked", 1500, 0, -1, 400, 1},
    };
    for (const auto &entry : cases) {
        struct rp_transfer_size size = {};
        for (int i = 0; i < 50; i++) {
            rp_transfer_size_record_answer(&size, entry.answer_bytes);
            rp_transfer_size_record_request(&size, entry.mean_request_bytes);
        }
        EXPECT_EQ(rp_transfer_size_remote_penalty_ns(
                      &size, entry.request_bytes, MS, entry.aim_ms * MS) /
                      MS,
                  entry.remote_penalty_ms)
            << entry.what;
    }
}

// Checks the remote penalty in the choice between targets that have reported.
TEST(sync_probe_search, choice_includes_the_remote_penalty)
{
    struct {
        const char *what;
        int64_t remote_penalty_ms;
        uint32_t near_slowness;
        uint32_t expected; // 0: near, 1: far
    } cases[] = {
        {"small answer, near as fast", 0, 100, 0},
        {"small answer, near slower", 0, 150, 1},
        {"large answer, near slower", 90, 150, 0},
        {"large answer, near very slow", 90, 500, 1},
    };
    for (const auto &entry : cases) {
        struct rp_balancer *balancer = new_balancer();
        publish(balancer, {"near", "far"});
        struct rp_load_report near = report(0, entry.near_slowness);
        struct rp_load_report far = report(0, 100);
        rp_balancer_record_load(balancer, "10.0.0.1:1", &near, 0, 0);
        rp_balancer_record_load(balancer, "10.0.0.2:1", &far, 0, 0);
        struct rp_balancer_call call = {};
        struct rp_balancer_verdict verdict;
        call.call_id = 1;
        call.aim_ns = 300 * MS;
        call.remote_penalty_ns = entry.remote_penalty_ms * MS;
        call.deadline_ns = 1000 * MS;
        rp_balancer_offer(balancer, &call, 0, &verdict);
        int64_t now_ns = 0;
        while (now_ns < 100 * MS &&
               (!rp_balancer_next(balancer, now_ns, &verdict) ||
                verdict.action != RP_BALANCER_SEND))
        {
            now_ns += 5 * MS;
            rp_balancer_record_load(balancer, "10.0.0.1:1", &near, 0, now_ns);
            rp_balancer_record_load(balancer, "10.0.0.2:1", &far, 0, now_ns);
        }
        EXPECT_EQ(verdict.target, entry.expected) << entry.what;
        rp_balancer_free(balancer);
    }
}

// Guards against a new connection for each call while a target with an open
// one is as good, and against targets that join and are never probed.
TEST(sync_probe_search, probes_over_open_connections_first)
{
    struct rp_balancer *balancer = new_balancer();
    std::map<uint32_t, int> probe_counts;
    uint64_t id = 0;
    auto run = [&](int64_t from_ms, int64_t to_ms) {
        probe_counts.clear();
        for (int64_t ms = from_ms; ms < to_ms; ms += 200) {
            struct rp_balancer_call call = {};
            struct rp_balancer_verdict verdict;
            call.call_id = ++id;
            call.aim_ns = 300 * MS;
            call.deadline_ns = ms * MS + 1000 * MS;
            rp_balancer_offer(balancer, &call, ms * MS, &verdict);
            while (rp_balancer_next(balancer, ms * MS, &verdict) &&
                   verdict.action == RP_BALANCER_PROBE)
            {
                probe_counts[verdict.target]++;
                struct rp_load_report fast = report(0, 100);
                rp_balancer_finish_probe(balancer, verdict.target, true, &fast,
                                         ms * MS);
            }
        }
    };
    std::vector<const char *> domains(20, "near");
    publish(balancer, domains);
    run(0, 8000);
    EXPECT_LE(probe_counts.size(), 2u)
        << "one fast target with a connection suffices";
    domains.push_back("near");
    publish(balancer, domains);
    run(8000, 12000);
    EXPECT_GE(probe_counts[20], 1) << "the new target is probed";
    run(60000, 64000);
    EXPECT_LE(probe_counts.size(), 2u)
        << "after a pause all connections are closed";
    rp_balancer_free(balancer);
}

// Guards against all calls going to a target that fails each immediately, and
// so is idle and reports that it is fast. A target that answers again is used
// again.
TEST(sync_probe_search, cooldown_after_faults)
{
    struct {
        const char *what;
        std::vector<int64_t> faults_ms;
        int64_t at_ms;
        int64_t cooldown_ms;
    } cases[] = {
        {"none", {}, 10, 0},
        {"one", {0}, 100, 400},
        {"one, cooldown over", {0}, 500, 0},
        {"two in a row", {0, 600}, 700, 900},
        {"many in a row", {0, 1, 2, 3, 4, 5, 6}, 6, 4000},
    };
    for (const auto &entry : cases) {
        struct rp_sync_probe_pool pool;
        rp_sync_probe_pool_init(&pool);
        struct rp_sync_probe_target target;
        rp_sync_probe_init(&target, 0);
        for (int64_t fault_ms : entry.faults_ms) {
            rp_sync_probe_record_fault(&target, fault_ms * MS);
        }
        EXPECT_EQ(rp_sync_probe_cooldown_ns(&target, entry.at_ms * MS) / MS,
                  entry.cooldown_ms)
            << entry.what;
        rp_sync_probe_record_answer(&target, &pool, 0, 1, false, 100 * MS,
                                    entry.at_ms * MS);
        EXPECT_EQ(rp_sync_probe_cooldown_ns(&target, entry.at_ms * MS), 0);
    }
}

// Checks the cooldown in the balancer: the other target gets the next calls,
// and a target in cooldown is used when there is no other.
TEST(sync_probe_search, next_calls_avoid_a_target_with_faults)
{
    for (int target_count : {2, 1}) {
        struct rp_balancer *balancer = new_balancer();
        publish(balancer,
                std::vector<const char *>((size_t)target_count, "near"));
        int broken_count = 0;
        int completed_count = 0;
        uint64_t id = 0;
        for (int64_t now_ns = 0; now_ns < 1000 * MS; now_ns += 10 * MS) {
            struct rp_balancer_call call = {};
            struct rp_balancer_verdict verdict;
            call.call_id = ++id;
            call.aim_ns = 300 * MS;
            call.deadline_ns = now_ns + 1000 * MS;
            if (now_ns % (50 * MS) == 0) {
                rp_balancer_offer(balancer, &call, now_ns, &verdict);
            }
            while (rp_balancer_next(balancer, now_ns, &verdict)) {
                struct rp_load_report fast = report(0, 100);
                if (verdict.action == RP_BALANCER_PROBE) {
                    rp_balancer_finish_probe(balancer, verdict.target, true,
                                             &fast, now_ns);
                    continue;
                }
                struct rp_attempt_report attempt_report = {};
                attempt_report.target = verdict.target;
                attempt_report.outcome =
                    verdict.target == 0 ? RP_ATTEMPT_BROKEN : RP_ATTEMPT_OK;
                attempt_report.sent_ns = now_ns;
                attempt_report.slowness = 1;
                (verdict.target == 0 ? broken_count : completed_count)++;
                rp_balancer_finish(balancer, &attempt_report, now_ns);
            }
        }
        if (target_count == 2) {
            EXPECT_LE(broken_count, 2) << "20 calls";
            EXPECT_GE(completed_count, 17);
        }
        else {
            EXPECT_GE(broken_count, 2) << "the only target is still used";
        }
        rp_balancer_free(balancer);
    }
}

} // namespace
