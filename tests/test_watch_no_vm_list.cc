#include <gtest/gtest.h>

#include <algorithm>
#include <cstring>
#include <memory>
#include <set>
#include <string>
#include <vector>

extern "C" {
#include "platform_outage.h"
#include "watch.h"
}

namespace {

constexpr int64_t MS = 1000000;
constexpr int64_t SECOND = 1000 * MS;

struct rp_vm_list *
make_list(int count, int domains)
{
    struct rp_vm_list *list = rp_vm_list_new(0);
    for (int i = 0; i < count; i++) {
        struct rp_vm vm = {};
        vm.entry = true;
        g_snprintf(vm.id, sizeof(vm.id), "vm-%d", i);
        g_snprintf(vm.domain, sizeof(vm.domain), "d%d", i % domains);
        rp_vm_list_add(list, &vm);
    }
    return list;
}

// A VM that knows its peers, and reads that end after 4 ms.
struct reader {
    struct rp_watch *watch;
    int64_t now_ns = 0;
    int reads = 0;
    int checks = 0;
    bool platform_up = true;

    reader(const char *id, struct rp_vm_list *list)
    {
        watch = rp_watch_new(id, 0);
        rp_watch_set_no_vm_list(watch, false);
        step(10 * MS); // the first listing
        rp_watch_set_vms(watch, list);
        while (now_ns < 3 * SECOND) { // until the choice counts
            step(now_ns + SECOND / 2);
            rp_watch_record_peer_freshness(watch, now_ns, now_ns);
        }
        step(now_ns + 10 * MS);
        reads = checks = 0;
    }

    ~reader()
    {
        rp_watch_free(watch);
    }

    void step(int64_t until_ns)
    {
        for (; now_ns < until_ns; now_ns += 5 * MS) {
            int64_t wait_ms = 0;
            enum rp_watch_read read = rp_watch_next(watch, now_ns, &wait_ms);
            if (read == RP_WATCH_READ_NONE) {
                continue;
            }
            (read == RP_WATCH_READ_REVISION ? checks : reads)++;
            now_ns += (wait_ms + 4) * MS;
            rp_watch_finish(watch, platform_up, true, false, 0.5, now_ns);
        }
    }
};

// Guards against calls to the store that grow with the fleet, and against a
// fleet without watchers.
TEST(watch_no_vm_list, at_most_five_watch)
{
    struct {
        int vms, domains, watchers;
    } cases[] = {{1, 1, 1}, {3, 3, 3}, {14, 4, 5}, {14, 3, 5}, {98, 4, 5}};
    for (const auto &entry : cases) {
        struct rp_vm_list *list = make_list(entry.vms, entry.domains);
        int watchers = 0;
        for (int i = 0; i < entry.vms; i++) {
            reader each(("vm-" + std::to_string(i)).c_str(), list);
            int64_t wait_ms;
            rp_watch_next(each.watch, each.now_ns, &wait_ms);
            watchers += rp_watch_role(each.watch) == RP_WATCH_CHOSEN;
        }
        EXPECT_EQ(watchers, entry.watchers) << entry.vms;
        rp_vm_list_unref(list);
    }
}

std::string
find_idle(struct rp_vm_list *list, int count)
{
    for (int i = 0; i < count; i++) {
        std::string id = "vm-" + std::to_string(i);
        reader each(id.c_str(), list);
        int64_t wait_ms;
        rp_watch_next(each.watch, each.now_ns, &wait_ms);
        if (rp_watch_role(each.watch) == RP_WATCH_IDLE) {
            return id;
        }
    }
    return "";
}

// Guards against a fleet that starts with a watch by everyone: only the seeds
// watch at first, the rest read once and wait for news of peers. Who knows
// only a few of the others does not take itself for chosen.
TEST(watch_no_vm_list, only_seeds_watch_at_start)
{
    struct rp_vm_list *some = make_list(2, 1); // vm-0 and vm-1
    for (bool is_seed : {false, true}) {
        struct rp_watch *watch = rp_watch_new("vm-1", 0);
        rp_watch_set_no_vm_list(watch, is_seed);
        int listings = 0;
        int watches = 0;
        for (int64_t now_ns = 0; now_ns < 2900 * MS; now_ns += 5 * MS) {
            int64_t wait_ms = 0;
            enum rp_watch_read read = rp_watch_next(watch, now_ns, &wait_ms);
            if (now_ns == 500 * MS) {
                rp_watch_set_vms(watch, some);
            }
            if (read == RP_WATCH_READ_NONE) {
                continue;
            }
            if (read == RP_WATCH_READ_RECORDS) {
                (wait_ms > 0 ? watches : listings)++;
            }
            rp_watch_finish(watch, true, true, false, 0.5, now_ns);
        }
        EXPECT_EQ(listings, 1) << is_seed;
        EXPECT_EQ(watches > 0, is_seed);
        rp_watch_free(watch);
    }
    rp_vm_list_unref(some);
}

// Guards against checks of the revision that grow with the fleet.
TEST(watch_no_vm_list, checks_of_a_large_fleet_are_rare)
{
    struct {
        int vms;
        int checks; // of one VM in 20 s
    } cases[] = {{14, 20}, {98, 3}, {300, 1}};
    for (const auto &entry : cases) {
        struct rp_vm_list *list = make_list(entry.vms, 4);
        reader each(find_idle(list, entry.vms).c_str(), list);
        for (int i = 0; i < 40; i++) {
            each.step(each.now_ns + SECOND / 2);
            rp_watch_record_peer_freshness(each.watch, each.now_ns,
                                           each.now_ns);
        }
        EXPECT_NEAR(each.checks, entry.checks, 1) << entry.vms;
        EXPECT_EQ(each.reads, 0) << entry.vms;
        rp_vm_list_unref(list);
    }
}

// Guards against five pushes of each change: a watcher waits for those before
// it, each for a time of its own.
TEST(watch_no_vm_list, watchers_have_distinct_spread_delays)
{
    struct rp_vm_list *list = make_list(14, 4);
    std::set<int64_t> turns;
    for (int i = 0; i < 14; i++) {
        reader each(("vm-" + std::to_string(i)).c_str(), list);
        int64_t wait_ms;
        rp_watch_next(each.watch, each.now_ns, &wait_ms);
        if (rp_watch_role(each.watch) == RP_WATCH_CHOSEN) {
            turns.insert(rp_watch_spread_delay_ns(each.watch));
        }
    }
    EXPECT_EQ(turns.size(), 5u);
    EXPECT_EQ(*turns.begin(), 0);
    EXPECT_LE(*turns.rbegin(), SECOND / 2);
    rp_vm_list_unref(list);
}

// Guards against a VM that stays behind when peers do not bring what is new:
// it has to read it well before two seconds are over.
TEST(watch_no_vm_list, reads_when_behind)
{
    struct rp_vm_list *list = make_list(14, 4);
    reader each(find_idle(list, 14).c_str(), list);
    for (int i = 0; i < 40; i++) { // watchers are heard every half second
        each.step(each.now_ns + SECOND / 2);
        rp_watch_record_peer_freshness(each.watch, each.now_ns, each.now_ns);
    }
    EXPECT_EQ(each.reads, 0);
    EXPECT_NEAR(each.checks, 20, 1);
    rp_watch_set_behind(each.watch, true, each.now_ns);
    each.step(each.now_ns + 300 * MS);
    EXPECT_EQ(each.reads, 0) << "peers have a moment to bring it";
    each.step(each.now_ns + 700 * MS);
    EXPECT_EQ(each.reads, 1);
    rp_watch_set_behind(each.watch, false, each.now_ns);
    each.step(each.now_ns + SECOND);
    EXPECT_EQ(each.reads, 1);
    rp_vm_list_unref(list);
}

// Guards against a fleet that hears nothing when all watchers are lost, and
// against a VM that takes over while the watchers are only silent for a wait.
TEST(watch_no_vm_list, takes_over_from_lost_watchers)
{
    struct rp_vm_list *list = make_list(14, 4);
    reader each(find_idle(list, 14).c_str(), list);
    rp_watch_record_peer_freshness(each.watch, each.now_ns, each.now_ns);
    int64_t heard_ns = each.now_ns;
    each.step(heard_ns + 3400 * MS);
    EXPECT_EQ(each.reads, 0);
    each.step(heard_ns + 4200 * MS);
    EXPECT_GE(each.reads, 1);
    EXPECT_EQ(rp_watch_role(each.watch), RP_WATCH_PROMOTED);
    rp_vm_list_unref(list);
}

// Guards against watchers that stay after an outage of the platform: where
// many watch, none hears through its peers of later news than its own. Where
// the chosen ones are lost, watching must begin again.
TEST(watch_no_vm_list, promoted_watchers_step_down_after_an_outage)
{
    struct rp_vm_list *list = make_list(14, 4);
    std::string id = find_idle(list, 14);
    ASSERT_NE(id, "");
    for (bool chosen_lost : {false, true}) {
        reader one(id.c_str(), list);
        one.step(one.now_ns + 5 * SECOND); // hears nothing
        ASSERT_EQ(rp_watch_role(one.watch), RP_WATCH_PROMOTED);
        int64_t own_ns = one.now_ns;
        int64_t longest_ns = 0;
        bool stepped_down = false;
        for (int64_t end_ns = one.now_ns + 30 * SECOND; one.now_ns < end_ns;
             one.now_ns += 50 * MS)
        {
            int64_t wait_ms = 0;
            enum rp_watch_read read =
                rp_watch_next(one.watch, one.now_ns, &wait_ms);
            if (read != RP_WATCH_READ_NONE) {
                rp_watch_finish(one.watch, true, true, false, 0.5, one.now_ns);
            }
            if (read == RP_WATCH_READ_RECORDS) {
                longest_ns = std::max(longest_ns, one.now_ns - own_ns);
                own_ns = one.now_ns;
            }
            int64_t others_ns = chosen_lost ? own_ns : one.now_ns - 800 * MS;
            rp_watch_record_peer_freshness(one.watch, others_ns, one.now_ns);
            stepped_down |= rp_watch_role(one.watch) == RP_WATCH_IDLE &&
                            one.now_ns < end_ns - 15 * SECOND;
        }
        EXPECT_TRUE(stepped_down) << chosen_lost;
        if (chosen_lost) {
            // The time after which a way to the platform counts as lost.
            EXPECT_LE(longest_ns, 4500 * MS);
        }
    }
    rp_vm_list_unref(list);
}

// Guards against a store that is back and not read for long.
TEST(watch_no_vm_list, first_retries_are_fast)
{
    struct rp_vm_list *list = make_list(1, 1);
    reader each("vm-0", list);
    each.platform_up = false;
    each.step(each.now_ns + 10 * SECOND);
    // Of up to 3 s each, the first failure; then at least one in a second.
    EXPECT_GE(each.reads, 3);
    rp_vm_list_unref(list);
}

// Guards against targets that are given up while their entries come back after
// an outage, and against removals that are held back without one.
TEST(platform_outage, holds_removals_after_an_outage)
{
    struct {
        const char *what;
        std::vector<bool> reads; // one each second
        int64_t heard_ms;
        int64_t due_ms;
    } cases[] = {
        {"no outage", {true, true, true}, 2500, 2500},
        {"one watch was cut", {true, false, true}, 2500, 2500},
        {"just back", {true, false, false, true}, 3000, 5000},
        {"back for a second", {true, false, false, true}, 4000, 5000},
        {"back for long", {true, false, false, true, true}, 6000, 6000},
        {"still down", {true, false, false, false}, 3000, 3000},
    };
    for (const auto &entry : cases) {
        struct rp_platform_outage lapse = {};
        for (size_t i = 0; i < entry.reads.size(); i++) {
            rp_platform_outage_record_read(&lapse, entry.reads[i],
                                           (int64_t)i * SECOND);
        }
        EXPECT_EQ(
            rp_platform_outage_removal_due_ns(&lapse, entry.heard_ms * MS),
            entry.due_ms * MS)
            << entry.what;
    }
}

} // namespace
