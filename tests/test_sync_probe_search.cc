#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

#include "answer_size.h"
#include "balancer.h"
#include "sync_probe.h"

// The search for a target as the balancer makes it, from the first call of a
// process on.
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
        bool ask = true)
{
    struct rp_snapshot *snapshot = rp_snapshot_new();
    struct rp_service *service = rp_snapshot_add_service(snapshot, "a");
    service->probe_before_calls = ask;
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

// Guards against the crowd after a restart of all entry VMs: each knew nothing
// and sent its first calls to the same targets unasked. Targets that do not
// tell their speed are not asked for ever.
TEST(sync_probe_search, first_calls_probe_until_no_slowness_is_reported)
{
    struct {
        const char *what;
        bool wanted;
        bool tells;
        enum rp_balancer_action first; // of the first call
        enum rp_balancer_action later; // of a call after five answers
    } cases[] = {
        {"not wanted", false, false, RP_BALANCER_SEND, RP_BALANCER_SEND},
        {"targets tell", true, true, RP_BALANCER_WAIT, RP_BALANCER_WAIT},
        {"targets are silent", true, false, RP_BALANCER_WAIT,
         RP_BALANCER_SEND},
    };
    for (const auto &entry : cases) {
        struct rp_balancer *balancer = new_balancer();
        publish(balancer, {"near", "near"}, entry.wanted);
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
                                         entry.tells ? &load : NULL, now_ns);
            }
        }
        EXPECT_EQ(sent, 1) << entry.what << ": lost or sent twice";
        for (int i = 0; i < 5 && !entry.tells; i++) {
            rp_balancer_finish_probe(balancer, 0, true, NULL, 100 * MS);
        }
        call.call_id = 2;
        rp_balancer_offer(balancer, &call, 200 * MS, &verdict);
        EXPECT_EQ(verdict.action, entry.later) << entry.what;
        rp_balancer_free(balancer);
    }
}

// Guards against large answers that cross failure domains although a target
// near by is nearly as quick, and against small ones that wait for that.
TEST(answer_size, large_answers_stay_near)
{
    struct {
        const char *what;
        uint64_t answer_bytes;
        int64_t aim_ms;
        int64_t far_ms;
    } cases[] = {
        {"not known", 0, 300, 0},     {"lookup", 400, 250, 0},
        {"page", 5000, 250, 5},       {"map", 90000, 300, 90},
        {"film", 90000000, 600, 300}, // half of the aim at most
    };
    for (const auto &entry : cases) {
        struct rp_answer_size size = {};
        for (int i = 0; i < 50; i++) {
            rp_answer_size_record(&size, entry.answer_bytes);
        }
        EXPECT_EQ(rp_answer_size_remote_penalty_ns(&size, entry.aim_ms * MS) /
                      MS,
                  entry.far_ms)
            << entry.what;
    }
}

// The same in the choice: both targets are known, the near one is slower.
TEST(sync_probe_search, choice_includes_the_remote_penalty)
{
    struct {
        const char *what;
        int64_t far_ms;
        uint32_t near_slowness;
        uint32_t expected; // 0: near, 1: far
    } cases[] = {
        {"small answer, near as quick", 0, 100, 0},
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
        call.remote_penalty_ns = entry.far_ms * MS;
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

// Guards against a new connection for each call where a target with an open
// one serves as well, and against targets that have joined and are never
// asked.
TEST(sync_probe_search, probes_over_open_connections_first)
{
    struct rp_balancer *balancer = new_balancer();
    std::map<uint32_t, int> asked;
    uint64_t id = 0;
    auto run = [&](int64_t from_ms, int64_t to_ms) {
        asked.clear();
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
                asked[verdict.target]++;
                struct rp_load_report quick = report(0, 100);
                rp_balancer_finish_probe(balancer, verdict.target, true,
                                         &quick, ms * MS);
            }
        }
    };
    std::vector<const char *> domains(20, "near");
    publish(balancer, domains);
    run(0, 8000);
    EXPECT_LE(asked.size(), 2u) << "one quick target with a connection serves";
    domains.push_back("near");
    publish(balancer, domains);
    run(8000, 12000);
    EXPECT_GE(asked[20], 1) << "the new target is asked";
    run(60000, 64000);
    EXPECT_LE(asked.size(), 2u) << "after a pause all connections are closed";
    rp_balancer_free(balancer);
}

// Guards against orders that all go to a target that breaks them off at once:
// it is idle and says that it is quick. One that answers again is used again.
TEST(sync_probe_search, cooldown_after_faults)
{
    struct {
        const char *what;
        std::vector<int64_t> faults_ms;
        int64_t at_ms;
        int64_t rest_ms;
    } cases[] = {
        {"none", {}, 10, 0},
        {"one", {0}, 100, 400},
        {"one, over", {0}, 500, 0},
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
                  entry.rest_ms)
            << entry.what;
        rp_sync_probe_record_answer(&target, &pool, 1, false, 100 * MS,
                                    entry.at_ms * MS);
        EXPECT_EQ(rp_sync_probe_cooldown_ns(&target, entry.at_ms * MS), 0);
    }
}

// The same through the balancer: the other target gets the next calls, and the
// resting one is used when there is no other.
TEST(sync_probe_search, next_calls_avoid_a_target_with_faults)
{
    for (int targets : {2, 1}) {
        struct rp_balancer *balancer = new_balancer();
        publish(balancer, std::vector<const char *>((size_t)targets, "near"));
        int broken = 0;
        int whole = 0;
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
                struct rp_load_report quick = report(0, 100);
                if (verdict.action == RP_BALANCER_PROBE) {
                    rp_balancer_finish_probe(balancer, verdict.target, true,
                                             &quick, now_ns);
                    continue;
                }
                struct rp_attempt_report ended = {};
                ended.target = verdict.target;
                ended.outcome =
                    verdict.target == 0 ? RP_ATTEMPT_BROKEN : RP_ATTEMPT_OK;
                ended.sent_ns = now_ns;
                ended.slowness = 1;
                (verdict.target == 0 ? broken : whole)++;
                rp_balancer_finish(balancer, &ended, now_ns);
            }
        }
        if (targets == 2) {
            EXPECT_LE(broken, 2) << "20 calls";
            EXPECT_GE(whole, 17);
        }
        else {
            EXPECT_GE(broken, 2) << "the only target is still used";
        }
        rp_balancer_free(balancer);
    }
}

} // namespace
