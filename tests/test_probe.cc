#include <gtest/gtest.h>

#include <deque>
#include <map>
#include <string>
#include <vector>

#include "probe.h"

namespace {

constexpr int64_t MS = 1000000;
constexpr int64_t S = 1000000000;
constexpr int64_t NEVER = INT64_MAX / 2;

struct rp_snapshot *
make_snapshot(int targets, uint32_t probes_per_10s)
{
    struct rp_snapshot *snapshot = rp_snapshot_new();
    struct rp_service *service = rp_snapshot_add_service(snapshot, "s");
    service->probes_per_10s = probes_per_10s;
    g_free(service->probe_path);
    service->probe_path = g_strdup("/load");
    for (int i = 0; i < targets; i++) {
        std::string address = "127.0.0.1:" + std::to_string(1000 + i);
        rp_service_add_target(service, address.c_str(), address.c_str(),
                              "bilbo", "new");
    }
    return snapshot;
}

struct window_case {
    const char *name;
    int targets;
    uint32_t probes_per_10s;
    uint32_t fleet_size;
    int64_t pause_from_ns; /* start of a pause of 30 s */
    int64_t restart_ns;    /* time of a restart */
};

// Guards against more probes than the share in any window: at the start, in
// steady state, after a pause, after a restart, and after a configuration
// change.
TEST(probe, share_holds_in_any_window)
{
    const window_case cases[] = {
        {"plain", 5, 10, 2, NEVER, NEVER},
        {"share below one in 10 s", 3, 10, 14, NEVER, NEVER},
        {"pause", 5, 10, 2, 20 * S, NEVER},
        {"restart", 5, 10, 2, NEVER, 21 * S},
        {"one entry VM", 1, 50, 1, NEVER, NEVER},
        {"nothing allowed", 5, 0, 2, NEVER, NEVER},
    };
    for (const auto &entry : cases) {
        struct rp_snapshot *snapshot =
            make_snapshot(entry.targets, entry.probes_per_10s);
        struct rp_probe *probe = rp_probe_new(entry.fleet_size, "vm", 0);
        rp_probe_set_snapshot(probe, snapshot, 0);
        int64_t interval_ns =
            rp_probe_interval_ns(entry.probes_per_10s, entry.fleet_size);
        std::map<std::string, std::vector<int64_t>> sent;
        std::vector<int64_t> all;
        for (int64_t now_ns = 0; now_ns < 120 * S; now_ns += 10 * MS) {
            if (now_ns >= entry.pause_from_ns &&
                now_ns < entry.pause_from_ns + 30 * S) {
                continue;
            }
            if (now_ns == entry.pause_from_ns + 30 * S) {
                rp_probe_handle_pause(probe, now_ns);
            }
            if (now_ns == entry.restart_ns) {
                rp_probe_free(probe);
                probe = rp_probe_new(entry.fleet_size, "vm", now_ns);
                rp_probe_set_snapshot(probe, snapshot, now_ns);
            }
            if (now_ns % (7 * S) == 0) {
                rp_probe_set_snapshot(probe, snapshot, now_ns);
            }
            struct rp_probe_choice choice;
            while (rp_probe_next(probe, now_ns, &choice)) {
                sent[choice.address].push_back(now_ns);
                all.push_back(now_ns);
                EXPECT_TRUE(rp_probe_within_budget(probe)) << entry.name;
                EXPECT_STREQ(choice.path, "/load");
            }
        }
        for (const auto &target : sent) {
            for (size_t i = 1; i < target.second.size(); i++) {
                EXPECT_GE(target.second[i] - target.second[i - 1], interval_ns)
                    << entry.name << " " << target.first;
            }
        }
        for (size_t i = 1; i < all.size(); i++) {
            EXPECT_GE(all[i] - all[i - 1], interval_ns / entry.targets)
                << entry.name;
        }
        /* The lower bound allows for the wait of one interval after a start,
         * the pause, and pacing in steps of 10 ms. */
        size_t expected =
            entry.probes_per_10s == 0 ? 0 : (size_t)(60 * S / interval_ns);
        EXPECT_GE(sent["127.0.0.1:1000"].size(), expected) << entry.name;
        rp_probe_free(probe);
        rp_snapshot_unref(snapshot);
    }
}

// Guards against probes of targets whose state is known from answers or peers,
// and against a target without updates that is not probed.
TEST(probe, selects_target_without_update)
{
    struct rp_snapshot *snapshot = make_snapshot(3, 10);
    struct rp_probe *probe = rp_probe_new(1, "vm", 0);
    rp_probe_set_snapshot(probe, snapshot, 0);
    struct {
        int64_t now_ns;
        int64_t seen_ns[3]; /* -1 for no update */
        const char *chosen; /* "" for none */
    } steps[] = {
        {S - 1, {-1, -1, -1}, ""},
        {2 * S, {2 * S, 1500 * MS, -1}, "127.0.0.1:1002"},
        {2400 * MS, {-1, -1, -1}, ""},
        {2600 * MS, {-1, -1, 2100 * MS}, "127.0.0.1:1001"},
        {3000 * MS, {2900 * MS, 2900 * MS, 2900 * MS}, ""},
    };
    for (const auto &step : steps) {
        for (int i = 0; i < 3; i++) {
            if (step.seen_ns[i] >= 0) {
                std::string address = "127.0.0.1:" + std::to_string(1000 + i);
                rp_probe_record_update(probe, "s", address.c_str(),
                                       step.seen_ns[i]);
            }
        }
        struct rp_probe_choice choice = {};
        rp_probe_next(probe, step.now_ns, &choice);
        EXPECT_STREQ(choice.address, step.chosen) << step.now_ns;
        EXPECT_GE(rp_probe_due_ns(probe, step.now_ns), step.now_ns);
    }
    rp_probe_free(probe);
    rp_snapshot_unref(snapshot);
}

// Guards against all entry VMs probing the same target at the same time, which
// happens when each probes the targets in the order of their addresses.
TEST(probe, entry_vms_probe_in_different_orders)
{
    struct rp_snapshot *snapshot = make_snapshot(12, 10);
    std::map<std::string, int> first;
    for (int vm = 0; vm < 14; vm++) {
        std::string id = "vm-" + std::to_string(vm);
        struct rp_probe *probe = rp_probe_new(14, id.c_str(), 0);
        rp_probe_set_snapshot(probe, snapshot, 0);
        struct rp_probe_choice choice = {};
        EXPECT_TRUE(rp_probe_next(probe, 100 * S, &choice));
        first[choice.address]++;
        rp_probe_free(probe);
    }
    EXPECT_GE(first.size(), 6u);
    for (const auto &entry : first) {
        EXPECT_LE(entry.second, 4) << entry.first;
    }
    rp_snapshot_unref(snapshot);
}

} // namespace
