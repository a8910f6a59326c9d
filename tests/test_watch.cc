#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>
#include <string>
#include <vector>

extern "C" {
#include "watch.h"
}

namespace {

constexpr int64_t MS = 1000000;
constexpr int64_t SECOND = 1000000000;

struct rp_vm_list *
make_list(int count, int domains)
{
    struct rp_vm_list *list = rp_vm_list_new(0);
    for (int i = 0; i < count; i++) {
        struct rp_vm vm = {};
        vm.entry = true;
        g_snprintf(vm.id, sizeof(vm.id), "vm-%d", i);
        g_snprintf(vm.domain, sizeof(vm.domain), "domain-%d", i % domains);
        rp_vm_list_add(list, &vm);
    }
    return list;
}

// Guards against a number of watchers that grows with the fleet, and against a
// failure domain without a watcher.
TEST(watch, choice)
{
    struct {
        int vms;
        int domains;
        uint32_t watchers;
    } cases[] = {{0, 1, 0},  {1, 1, 1},   {3, 3, 3},    {14, 4, 8},
                 {14, 3, 6}, {50, 10, 8}, {2000, 10, 8}};
    for (const auto &entry : cases) {
        struct rp_vm_list *list = make_list(entry.vms, entry.domains);
        const struct rp_vm *chosen[RP_WATCH_MAX_WATCHERS];
        uint32_t count = rp_watch_choose(list, chosen);
        EXPECT_EQ(count, entry.watchers) << entry.vms;
        for (uint32_t i = 0; i < count; i++) {
            int same = 0;
            for (uint32_t j = 0; j < count; j++) {
                same += strcmp(chosen[i]->domain, chosen[j]->domain) == 0;
            }
            EXPECT_LE(same, entry.domains >= 8 ? 1 : RP_WATCH_MAX_PER_DOMAIN);
        }
        rp_vm_list_unref(list);
    }
}

/* The watches of a fleet in virtual time, with a platform that answers after
 * the wait, and peers that receive the freshness up to a second late. */
struct fleet {
    struct node {
        struct rp_watch *watch;
        int64_t read_end_ns = 0;
        enum rp_watch_read read = RP_WATCH_READ_NONE;
        int64_t last_read_start_ns = -SECOND;
        bool dead = false;
        bool has_list = false;
    };
    std::vector<node> nodes;
    struct rp_vm_list *list;
    int64_t now_ns = 0;
    bool platform_down = false;
    bool peers_cut = false;
    int reads = 0;
    int64_t min_read_interval_ns = INT64_MAX;
    int64_t step_ns = 10 * MS;
    /* Age of the latest freshness in the fleet. */
    int64_t max_freshness_age_ns = 0;

    fleet(int count, int domains) : list(make_list(count, domains))
    {
        for (int i = 0; i < count; i++) {
            node each;
            each.watch = rp_watch_new(rp_vm_list_get(list, i)->id, 0);
            nodes.push_back(each);
        }
    }

    ~fleet()
    {
        for (auto &each : nodes) {
            rp_watch_free(each.watch);
        }
        rp_vm_list_unref(list);
    }

    int promoted_count()
    {
        int count = 0;
        for (auto &each : nodes) {
            bool is = rp_watch_role(each.watch) == RP_WATCH_PROMOTED;
            count += is && !each.dead ? 1 : 0;
        }
        return count;
    }

    void step_node(node &each, unsigned random)
    {
        if (each.read != RP_WATCH_READ_NONE && now_ns >= each.read_end_ns) {
            bool vms = each.read == RP_WATCH_READ_VMS;
            each.read = RP_WATCH_READ_NONE;
            rp_watch_finish(each.watch, !platform_down, true, false,
                            random % 1000 / 1000.0, now_ns);
            // The list doesn't change, and the choice takes 1 ms for 2,000
            // VMs.
            if (vms && !platform_down && !each.has_list) {
                each.has_list = true;
                rp_watch_set_vms(each.watch, list);
            }
        }
        int64_t wait_ms = 0;
        enum rp_watch_read read = rp_watch_next(each.watch, now_ns, &wait_ms);
        if (read != RP_WATCH_READ_NONE) {
            each.read = read;
            each.read_end_ns = now_ns + (wait_ms + 3) * MS;
            min_read_interval_ns = std::min(min_read_interval_ns,
                                            now_ns - each.last_read_start_ns);
            each.last_read_start_ns = now_ns;
            reads++;
        }
    }

    void run(int seconds)
    {
        unsigned random = 1;
        reads = 0;
        max_freshness_age_ns = 0;
        for (int64_t end_ns = now_ns + seconds * SECOND; now_ns < end_ns;
             now_ns += step_ns)
        {
            int64_t best_ns = 0;
            for (auto &each : nodes) {
                random = random * 1103515245 + 12345;
                if (!each.dead) {
                    step_node(each, random >> 8);
                    best_ns = std::max(best_ns, rp_watch_fresh_ns(each.watch));
                }
            }
            max_freshness_age_ns =
                std::max(max_freshness_age_ns, now_ns - best_ns);
            for (auto &each : nodes) {
                if (now_ns % (500 * MS) == 0 && !peers_cut && !each.dead) {
                    rp_watch_record_peer_freshness(
                        each.watch, best_ns - SECOND / 2, now_ns);
                }
            }
        }
    }
};

// Guards against reads that grow with the fleet in ordinary operation, and
// against a VM that reads more than once a second because its peers are
// silent, the platform is down, or all VMs start together. Prints the figures
// of docs/decisions.md.
TEST(watch, reads_per_second)
{
    struct {
        int vms;
        int domains;
        double ordinary; // maximum reads per second
    } cases[] = {{1, 1, 1.0},  {3, 3, 3.0},    {14, 4, 9.6},
                 {14, 3, 8.1}, {50, 10, 11.6}, {2000, 10, 12.2}};
    for (const auto &entry : cases) {
        fleet fleet(entry.vms, entry.domains);
        fleet.step_ns = entry.vms > 100 ? 100 * MS : 10 * MS;
        fleet.run(10);
        double start = fleet.reads / 10.0;
        fleet.run(120);
        double ordinary = fleet.reads / 120.0;
        double max_age_s = fleet.max_freshness_age_ns / 1e9;
        fleet.peers_cut = true;
        fleet.run(20);
        fleet.run(60);
        double cut = fleet.reads / 60.0;
        fleet.peers_cut = false;
        fleet.platform_down = true;
        fleet.run(20);
        fleet.run(60);
        double down = fleet.reads / 60.0;
        fleet.platform_down = false;
        fleet.run(60);
        fleet.run(120);
        double after = fleet.reads / 120.0;
        printf("vms=%d domains=%d reads/s: start=%.2f ordinary=%.2f "
               "peers-cut=%.2f platform-down=%.2f after=%.2f "
               "freshness-age-s=%.2f\n",
               entry.vms, entry.domains, start, ordinary, cut, down, after,
               max_age_s);
        EXPECT_LE(ordinary, entry.ordinary);
        EXPECT_LE(after, entry.ordinary);
        EXPECT_LE(cut, entry.vms);
        EXPECT_LE(down, entry.vms);
        EXPECT_GE(fleet.min_read_interval_ns, SECOND);
        EXPECT_LE(max_age_s, 1.5);
    }
}

// Guards against a fleet that gets no updates while all watchers are dead but
// still listed, and against promoted VMs that never stop watching.
TEST(watch, promotion_replaces_dead_watchers)
{
    fleet fleet(14, 4);
    fleet.run(30);
    const struct rp_vm *chosen[RP_WATCH_MAX_WATCHERS];
    uint32_t count = rp_watch_choose(fleet.list, chosen);
    for (uint32_t i = 0; i < count; i++) {
        fleet.nodes[atoi(chosen[i]->id + 3)].dead = true;
    }
    fleet.run(60);
    EXPECT_LE(fleet.max_freshness_age_ns, 6 * SECOND);
    fleet.run(120);
    EXPECT_LE(fleet.max_freshness_age_ns, 4 * SECOND);
    // One or two VMs watch instead of eight; the others read the list every
    // 4 s.
    EXPECT_LE(fleet.promoted_count(), 2);
    EXPECT_LE(fleet.reads / 120.0, 2 + 4 * 0.25 + 0.05);
    for (auto &each : fleet.nodes) {
        each.dead = false;
    }
    fleet.run(60);
    EXPECT_EQ(fleet.promoted_count(), 0);
}

// Guards against a promotion, and so a burst of reads, because the process was
// paused.
TEST(watch, pause_does_not_promote)
{
    for (bool pause_recorded : {false, true}) {
        struct rp_watch *watch = rp_watch_new("vm-99", 0);
        struct rp_vm_list *list = make_list(14, 4);
        int64_t wait_ms;
        int64_t now_ns = 0;
        for (int i = 0; i < 2; i++, now_ns += SECOND) {
            ASSERT_NE(rp_watch_next(watch, now_ns, &wait_ms),
                      RP_WATCH_READ_NONE);
            rp_watch_finish(watch, true, true, false, 0, now_ns);
            rp_watch_set_vms(watch, list);
        }
        now_ns += 20 * SECOND;
        if (pause_recorded) {
            rp_watch_record_pause(watch, 20 * SECOND);
        }
        rp_watch_next(watch, now_ns, &wait_ms);
        EXPECT_EQ(rp_watch_role(watch),
                  pause_recorded ? RP_WATCH_IDLE : RP_WATCH_PROMOTED);
        rp_vm_list_unref(list);
        rp_watch_free(watch);
    }
}

} // namespace
