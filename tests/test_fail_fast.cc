#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <queue>
#include <string>
#include <vector>

extern "C" {
#include "balancer.h"
}

namespace {

const int64_t MS = 1000000;
const int64_t WORK_NS = 40 * MS;
const int64_t FAIL_NS = MS / 2;
const int64_t END_NS = 20000 * MS;
const uint32_t SLOTS = 6;
const uint32_t MAX_RETRIES = 2;

// One entry VM and targets of equal speed, of which the first ones fail each
// request at once and report that they are idle.
class fail_fast_sim {
  public:
    fail_fast_sim(uint32_t targets, uint32_t failing,
                  enum rp_attempt_outcome failure, bool probes)
        : failing(failing), failure(failure), reports_speed(probes),
          running(targets), free_ns(targets, std::vector<int64_t>(SLOTS))
    {
        struct rp_balancer_config config = {"d0", 1, 1, 1000, 1};
        config.probes_per_s = 60;
        config.retry_ratio = 0.2;
        config.retry_allowance = 58;
        config.retry_window_ns = 10000 * MS;
        balancer = rp_balancer_new(&config);
        struct rp_snapshot *snapshot = rp_snapshot_new();
        struct rp_service *service = rp_snapshot_add_service(snapshot, "s");
        service->probe_before_calls = probes;
        for (uint32_t i = 0; i < targets; i++) {
            std::string name = "t" + std::to_string(i);
            rp_service_add_target(service, name.c_str(), name.c_str(), "d0",
                                  "old")
                ->slots = SLOTS;
        }
        rp_balancer_set_service(balancer, service, 0);
        rp_snapshot_unref(snapshot);
    }

    ~fail_fast_sim()
    {
        rp_balancer_free(balancer);
    }

    // load: of the slots of so many targets.
    void run(double load, uint32_t targets)
    {
        double rate = load * static_cast<double>(targets) * SLOTS /
                      static_cast<double>(WORK_NS);
        GRand *random = g_rand_new_with_seed(7);
        int64_t next_ns = 0;
        while (now_ns < END_NS) {
            int64_t due_ns = rp_balancer_due_ns(balancer);
            int64_t event_ns = events.empty() ? INT64_MAX : events.top().at_ns;
            now_ns = std::max(now_ns, std::min({next_ns, due_ns, event_ns}));
            if (next_ns <= now_ns) {
                calls++;
                offer(calls, 0);
                next_ns += static_cast<int64_t>(
                    -std::log(1 - g_rand_double(random)) / rate);
            }
            else if (event_ns <= now_ns) {
                event event = events.top();
                events.pop();
                handle(event);
            }
            poll();
        }
        g_rand_free(random);
    }

    uint64_t calls = 0;
    uint64_t failed = 0;     // refused, or failed after all retries
    uint64_t reached = 0;    // requests that reached a failing target
    int64_t max_wait_ns = 0; // of a refused call

  private:
    struct event {
        int64_t at_ns;
        uint64_t call;
        struct rp_balancer_verdict verdict;
        int64_t sent_ns;
        bool operator<(const event &other) const
        {
            return at_ns > other.at_ns; // the earliest first
        }
    };

    void offer(uint64_t id, uint32_t flags)
    {
        struct rp_balancer_call call = {};
        call.call_id = id;
        offered_ns[id] = now_ns;
        call.kind = 1;
        call.aim_ns = 250 * MS;
        call.deadline_ns = now_ns + 1200 * MS;
        call.flags = RP_CALL_REPEATABLE | flags;
        if (flags != 0) {
            call.avoided[call.avoided_count++] = last_target[id];
        }
        struct rp_balancer_verdict verdict;
        rp_balancer_offer(balancer, &call, now_ns, &verdict);
        apply(id, verdict);
    }

    void apply(uint64_t id, const struct rp_balancer_verdict &verdict)
    {
        if (verdict.action == RP_BALANCER_REFUSE) {
            failed++;
            max_wait_ns = std::max(max_wait_ns, now_ns - offered_ns[id]);
        }
        if (verdict.action != RP_BALANCER_SEND &&
            verdict.action != RP_BALANCER_PROBE) {
            return;
        }
        bool fails = verdict.target < failing;
        bool is_probe = verdict.action == RP_BALANCER_PROBE;
        int64_t end_ns = now_ns + FAIL_NS;
        if (!is_probe) {
            last_target[id] = verdict.target;
            running[verdict.target]++;
            reached += fails ? 1 : 0;
        }
        if (!is_probe && !fails) {
            auto &slots = free_ns[verdict.target];
            auto first = std::min_element(slots.begin(), slots.end());
            end_ns = *first = std::max(now_ns, *first) + WORK_NS;
        }
        events.push({end_ns, id, verdict, now_ns});
    }

    void poll()
    {
        struct rp_balancer_verdict verdict;
        while (rp_balancer_next(balancer, now_ns, &verdict)) {
            apply(verdict.call_id, verdict);
        }
    }

    struct rp_load_report report(uint32_t target) const
    {
        return {target < failing ? 0 : MIN(running[target], SLOTS),
                SLOTS,
                0,
                0,
                RP_TARGET_SERVING,
                reports_speed ? 100u : 0u};
    }

    void handle(const event &event)
    {
        uint32_t target = event.verdict.target;
        struct rp_load_report load = report(target);
        if (event.verdict.action == RP_BALANCER_PROBE) {
            rp_balancer_finish_probe(balancer, target, true, &load, now_ns);
            return;
        }
        running[target]--;
        struct rp_attempt_report done = {};
        done.target = target;
        done.outcome = target < failing ? failure : RP_ATTEMPT_OK;
        done.flags = event.verdict.flags;
        done.kind = 1;
        done.sent_ns = event.sent_ns;
        done.first_byte_ns = now_ns;
        done.slowness = event.verdict.slowness;
        done.near_capacity = event.verdict.near_capacity;
        done.has_load = failure == RP_ATTEMPT_NOT_RUN ||
                        failure == RP_ATTEMPT_ERROR || target >= failing;
        done.load = load;
        rp_balancer_finish(balancer, &done, now_ns);
        if (target >= failing) {
            return;
        }
        if (failure == RP_ATTEMPT_ERROR || ++retries[event.call] > MAX_RETRIES)
        {
            failed++;
            return;
        }
        offer(event.call, RP_CALL_RETRY);
    }

    uint32_t failing;
    enum rp_attempt_outcome failure;
    bool reports_speed;
    struct rp_balancer *balancer;
    int64_t now_ns = 0;
    std::vector<uint32_t> running;
    std::vector<std::vector<int64_t>> free_ns; // of each target's slots
    std::priority_queue<event> events;
    std::map<uint64_t, uint32_t> retries;
    std::map<uint64_t, uint32_t> last_target;
    std::map<uint64_t, int64_t> offered_ns;
};

// Guards against a target that fails each request at once and therefore looks
// the freest: it drew the load, and repeats used up the budget, so that
// callers were refused although the others had room.
TEST(fail_fast, draws_no_load)
{
    struct {
        const char *what;
        enum rp_attempt_outcome failure;
    } failures[] = {
        {"rejects or refuses connections", RP_ATTEMPT_NOT_RUN},
        {"answers 500", RP_ATTEMPT_ERROR},
        {"closes or resets", RP_ATTEMPT_BROKEN},
    };
    for (const auto &kind : failures) {
        for (uint32_t targets : {2u, 3u, 4u, 8u}) {
            for (double load : {0.5, 0.7}) {
                for (bool probes : {false, true}) {
                    fail_fast_sim sim(targets, 1, kind.failure, probes);
                    sim.run(load, targets - 1);
                    EXPECT_LT(sim.failed * 100, sim.calls)
                        << kind.what << ", " << targets << " targets, load "
                        << load << ", probes " << probes;
                    EXPECT_LT(sim.reached * 100, sim.calls)
                        << kind.what << ", " << targets << " targets, load "
                        << load << ", probes " << probes;
                }
            }
        }
    }
}

// Guards against calls that are sent on to be rejected, or wait for that,
// while all targets reject each request.
TEST(fail_fast, refuses_at_once_while_all_targets_reject)
{
    for (uint32_t targets : {1u, 2u, 4u}) {
        for (bool probes : {false, true}) {
            fail_fast_sim sim(targets, targets, RP_ATTEMPT_NOT_RUN, probes);
            sim.run(0.7, targets);
            EXPECT_EQ(sim.failed, sim.calls);
            EXPECT_LT(sim.reached * 20, sim.calls) << targets << probes;
            EXPECT_LE(sim.max_wait_ns, 100 * MS) << targets << probes;
        }
    }
}

} // namespace
