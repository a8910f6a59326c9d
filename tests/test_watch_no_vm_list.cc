#include <gtest/gtest.h>

#include <algorithm>
#include <cstring>
#include <map>
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

// A VM that has the list of its peers, and whose reads take 4 ms beside the
// wait.
struct reader {
    struct rp_watch *watch;
    int64_t now_ns = 0;
    int reads = 0;
    int revision_checks = 0;
    bool platform_up = true;

    reader(const char *id, struct rp_vm_list *list)
    {
        watch = rp_watch_new(id, 0);
        rp_watch_set_no_vm_list(watch, false);
        step(10 * MS); // the first listing
        rp_watch_set_vms(watch, list);
        while (now_ns < 3 * SECOND) { // until the choice applies
            step(now_ns + SECOND / 2);
            rp_watch_record_peer_freshness(watch, now_ns, now_ns);
        }
        step(now_ns + 10 * MS);
        reads = revision_checks = 0;
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
            (read == RP_WATCH_READ_REVISION ? revision_checks : reads)++;
            now_ns += (wait_ms + 4) * MS;
            rp_watch_finish(watch, platform_up, true, false, 0.5, now_ns);
        }
    }
};

// Guards against reads of the store that grow with the fleet, and against a
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

// Guards against a start at which every VM watches: only the seeds watch at
// first, and the others read once and wait for updates from peers. A VM with
// few of its peers in its list doesn't count itself as chosen.
TEST(watch_no_vm_list, only_seeds_watch_at_start)
{
    struct rp_vm_list *partial_list = make_list(2, 1); // vm-0 and vm-1
    for (bool is_seed : {false, true}) {
        struct rp_watch *watch = rp_watch_new("vm-1", 0);
        rp_watch_set_no_vm_list(watch, is_seed);
        int listings = 0;
        int watches = 0;
        for (int64_t now_ns = 0; now_ns < 2900 * MS; now_ns += 5 * MS) {
            int64_t wait_ms = 0;
            enum rp_watch_read read = rp_watch_next(watch, now_ns, &wait_ms);
            if (now_ns == 500 * MS) {
                rp_watch_set_vms(watch, partial_list);
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
    rp_vm_list_unref(partial_list);
}

// Guards against checks of the revision whose total grows with the fleet.
TEST(watch_no_vm_list, checks_of_a_large_fleet_are_rare)
{
    struct {
        int vms;
        int revision_checks; // of one VM in 20 s
    } cases[] = {{14, 20}, {98, 3}, {300, 1}};
    for (const auto &entry : cases) {
        struct rp_vm_list *list = make_list(entry.vms, 4);
        reader each(find_idle(list, entry.vms).c_str(), list);
        for (int i = 0; i < 40; i++) {
            each.step(each.now_ns + SECOND / 2);
            rp_watch_record_peer_freshness(each.watch, each.now_ns,
                                           each.now_ns);
        }
        EXPECT_NEAR(each.revision_checks, entry.revision_checks, 1)
            << entry.vms;
        EXPECT_EQ(each.reads, 0) << entry.vms;
        rp_vm_list_unref(list);
    }
}

// Guards against five pushes of each change: each watcher delays its push by a
// different time, and so waits for the pushes of others.
TEST(watch_no_vm_list, watchers_have_distinct_spread_delays)
{
    struct rp_vm_list *list = make_list(14, 4);
    std::set<int64_t> delays_ns;
    for (int i = 0; i < 14; i++) {
        reader each(("vm-" + std::to_string(i)).c_str(), list);
        int64_t wait_ms;
        rp_watch_next(each.watch, each.now_ns, &wait_ms);
        if (rp_watch_role(each.watch) == RP_WATCH_CHOSEN) {
            delays_ns.insert(rp_watch_spread_delay_ns(each.watch));
        }
    }
    EXPECT_EQ(delays_ns.size(), 5u);
    EXPECT_EQ(*delays_ns.begin(), 0);
    EXPECT_LE(*delays_ns.rbegin(), SECOND / 2);
    rp_vm_list_unref(list);
}

// Guards against a VM that stays behind because its peers don't send the new
// records: it must read them itself well within two seconds.
TEST(watch_no_vm_list, reads_when_behind)
{
    struct rp_vm_list *list = make_list(14, 4);
    reader each(find_idle(list, 14).c_str(), list);
    for (int i = 0; i < 40; i++) { // peer freshness arrives every half second
        each.step(each.now_ns + SECOND / 2);
        rp_watch_record_peer_freshness(each.watch, each.now_ns, each.now_ns);
    }
    EXPECT_EQ(each.reads, 0);
    EXPECT_NEAR(each.revision_checks, 20, 1);
    rp_watch_set_behind(each.watch, true, each.now_ns);
    each.step(each.now_ns + 300 * MS);
    EXPECT_EQ(each.reads, 0) << "peers get time to send the records";
    each.step(each.now_ns + 700 * MS);
    EXPECT_EQ(each.reads, 1);
    rp_watch_set_behind(each.watch, false, each.now_ns);
    each.step(each.now_ns + SECOND);
    EXPECT_EQ(each.reads, 1);
    rp_vm_list_unref(list);
}

// Guards against a fleet that gets no updates after all watchers are lost, and
// against a VM that takes over while the watchers only wait for an answer.
TEST(watch_no_vm_list, takes_over_from_lost_watchers)
{
    struct rp_vm_list *list = make_list(14, 4);
    reader each(find_idle(list, 14).c_str(), list);
    rp_watch_record_peer_freshness(each.watch, each.now_ns, each.now_ns);
    int64_t last_fresh_ns = each.now_ns;
    each.step(last_fresh_ns + 3400 * MS);
    EXPECT_EQ(each.reads, 0);
    each.step(last_fresh_ns + 4200 * MS);
    EXPECT_GE(each.reads, 1);
    EXPECT_EQ(rp_watch_role(each.watch), RP_WATCH_PROMOTED);
    rp_vm_list_unref(list);
}

// Guards against VMs that stay promoted after an outage of the platform: while
// many VMs watch, none receives from its peers a freshness later than its own.
// If the chosen watchers are lost, watching must begin again.
TEST(watch_no_vm_list, promoted_watchers_step_down_after_an_outage)
{
    struct rp_vm_list *list = make_list(14, 4);
    std::string id = find_idle(list, 14);
    ASSERT_NE(id, "");
    for (bool chosen_lost : {false, true}) {
        reader promoted(id.c_str(), list);
        promoted.step(promoted.now_ns + 5 * SECOND); // receives no freshness
        ASSERT_EQ(rp_watch_role(promoted.watch), RP_WATCH_PROMOTED);
        int64_t local_fresh_ns = promoted.now_ns;
        int64_t max_gap_ns = 0;
        bool stepped_down = false;
        for (int64_t end_ns = promoted.now_ns + 30 * SECOND;
             promoted.now_ns < end_ns; promoted.now_ns += 50 * MS)
        {
            int64_t wait_ms = 0;
            enum rp_watch_read read =
                rp_watch_next(promoted.watch, promoted.now_ns, &wait_ms);
            if (read != RP_WATCH_READ_NONE) {
                rp_watch_finish(promoted.watch, true, true, false, 0.5,
                                promoted.now_ns);
            }
            if (read == RP_WATCH_READ_RECORDS) {
                max_gap_ns =
                    std::max(max_gap_ns, promoted.now_ns - local_fresh_ns);
                local_fresh_ns = promoted.now_ns;
            }
            int64_t peer_fresh_ns =
                chosen_lost ? local_fresh_ns : promoted.now_ns - 800 * MS;
            rp_watch_record_peer_freshness(promoted.watch, peer_fresh_ns,
                                           promoted.now_ns);
            stepped_down |= rp_watch_role(promoted.watch) == RP_WATCH_IDLE &&
                            promoted.now_ns < end_ns - 15 * SECOND;
        }
        EXPECT_TRUE(stepped_down) << chosen_lost;
        if (chosen_lost) {
            // The time after which the connection to the platform counts as
            // lost.
            EXPECT_LE(max_gap_ns, 4500 * MS);
        }
    }
    rp_vm_list_unref(list);
}

// Guards against calls of the whole fleet to a platform that is down for all:
// VMs that hear their peers, but no news from any of them, are promoted
// slowly. One that hears nobody is promoted at once.
TEST(watch_no_vm_list, outage_promotes_few_of_a_large_fleet)
{
    struct {
        int vms;
        bool peers_heard;
        int64_t outage_s;
        double min_promoted; // share of the fleet
        double max_promoted;
    } cases[] = {
        {14, true, 9, 0.6, 1.0},     {98, true, 9, 0.5, 1.0},
        {472, true, 4, 0.005, 0.03}, {472, true, 9, 0.1, 0.2},
        {472, false, 5, 0.95, 1.0},
    };
    for (const auto &entry : cases) {
        struct rp_vm_list *list = make_list(entry.vms, 6);
        int promoted = 0;
        for (int i = 0; i < entry.vms; i++) {
            reader each(("vm-" + std::to_string(i)).c_str(), list);
            int64_t fresh_ns = each.now_ns;
            each.platform_up = false;
            while (each.now_ns < fresh_ns + entry.outage_s * SECOND) {
                each.step(each.now_ns + SECOND / 2);
                if (entry.peers_heard) {
                    rp_watch_record_peer_freshness(each.watch, fresh_ns,
                                                   each.now_ns);
                }
            }
            promoted += rp_watch_role(each.watch) == RP_WATCH_PROMOTED;
        }
        EXPECT_GE(promoted, entry.min_promoted * entry.vms) << entry.vms;
        EXPECT_LE(promoted, entry.max_promoted * entry.vms) << entry.vms;
        rp_vm_list_unref(list);
    }
}

// Guards against a store that is available again but isn't read for long.
TEST(watch_no_vm_list, first_retries_are_fast)
{
    struct rp_vm_list *list = make_list(1, 1);
    reader each("vm-0", list);
    each.platform_up = false;
    each.step(each.now_ns + 10 * SECOND);
    // The first read fails after up to 3 s; then the delays are at most 1 s.
    EXPECT_GE(each.reads, 3);
    rp_vm_list_unref(list);
}

// Guards against a platform that refuses each watch and is therefore listed
// without a pause, and against a pause between the pages of a listing, or
// before the listing after a lost history.
TEST(watch_no_vm_list, listings_have_an_interval)
{
    struct {
        const char *what;
        int pages;      // of a listing
        int refused;    // watches in a row
        int64_t min_ms; // from the first refused watch to the last page
        int64_t max_ms;
    } cases[] = {
        {"history lost once", 1, 1, 0, 10},
        {"history lost once, several pages", 4, 1, 0, 30},
        {"each watch is refused", 1, 5, 4000, 4100},
        {"each watch is refused, several pages", 4, 5, 4000, 4100},
    };
    struct rp_vm_list *list = make_list(1, 1);
    for (const auto &entry : cases) {
        reader each("vm-0", list);
        int64_t start_ns = 0;
        for (int i = 0; i < entry.refused; i++) {
            for (int page = 0; page <= entry.pages;) {
                int64_t wait_ms = 0;
                if (rp_watch_next(each.watch, each.now_ns, &wait_ms) !=
                    RP_WATCH_READ_RECORDS) {
                    each.now_ns += 5 * MS;
                    continue;
                }
                EXPECT_EQ(wait_ms > 0, page == 0) << entry.what;
                start_ns = start_ns == 0 ? each.now_ns : start_ns;
                each.now_ns += 4 * MS;
                rp_watch_finish(each.watch, true, true, page < entry.pages,
                                0.5, each.now_ns);
                page++;
            }
        }
        int64_t took_ms = (each.now_ns - start_ns) / MS;
        EXPECT_GE(took_ms, entry.min_ms) << entry.what;
        EXPECT_LE(took_ms, entry.max_ms) << entry.what;
    }
    rp_vm_list_unref(list);
}

// Guards against removing targets whose entries are added again soon after an
// outage, and against holding back removals when there was no outage.
TEST(platform_outage, holds_removals_after_an_outage)
{
    struct {
        const char *what;
        std::vector<bool> reads; // one each second
        int64_t reported_ms;
        int64_t due_ms;
    } cases[] = {
        {"no outage", {true, true, true}, 2500, 2500},
        {"one read failed", {true, false, true}, 2500, 2500},
        {"just restored", {true, false, false, true}, 3000, 5000},
        {"restored for a second", {true, false, false, true}, 4000, 5000},
        {"restored for 3 seconds",
         {true, false, false, true, true},
         6000,
         6000},
        {"still down", {true, false, false, false}, 3000, 3000},
    };
    for (const auto &entry : cases) {
        struct rp_platform_outage outage = {};
        for (size_t i = 0; i < entry.reads.size(); i++) {
            rp_platform_outage_record_read(&outage, entry.reads[i],
                                           (int64_t)i * SECOND);
        }
        EXPECT_EQ(
            rp_platform_outage_removal_due_ns(&outage, entry.reported_ms * MS),
            entry.due_ms * MS)
            << entry.what;
    }
}

// Guards against removing targets whose entries may be back unseen, since the
// platform failed again before a removal that was held back took effect.
TEST(platform_outage, holds_removals_in_another_outage)
{
    struct {
        const char *what;
        std::vector<bool> reads; // one each second; an outage ends at 3 s
        int64_t due_ms;          // of a removal that was held until 5 s
    } cases[] = {
        {"no other outage", {true, false, false, true, true, true}, 5000},
        {"a read fails", {true, false, false, true, false}, 5100},
        {"another outage", {true, false, false, true, false, false}, 5100},
        {"one read failed", {true, false, false, true, false, true}, 5000},
        {"another outage ended",
         {true, false, false, true, false, false, true},
         8000},
    };
    for (const auto &entry : cases) {
        struct rp_platform_outage outage = {};
        for (size_t i = 0; i < entry.reads.size(); i++) {
            rp_platform_outage_record_read(&outage, entry.reads[i],
                                           (int64_t)i * SECOND);
        }
        int64_t now_ns = 5000 * MS;
        EXPECT_EQ(rp_platform_outage_held_due_ns(&outage, now_ns),
                  entry.due_ms * MS)
            << entry.what;
    }
}

// Guards against as many pushes of each change as there are seeds while a
// fleet starts, when only the seeds watch and all see the same changes.
TEST(watch_no_vm_list, seeds_spread_one_after_the_other)
{
    for (uint32_t rank : {0u, 1u, 2u}) {
        struct rp_watch *watch = rp_watch_new("vm-1", 0);
        int64_t wait_ms = 0;
        rp_watch_set_no_vm_list(watch, true);
        rp_watch_set_seed_rank(watch, rank);
        EXPECT_EQ(rp_watch_next(watch, 0, &wait_ms), RP_WATCH_READ_RECORDS);
        EXPECT_EQ(rp_watch_spread_delay_ns(watch), rank * 100 * MS);
        rp_watch_free(watch);
    }
}

// Returns the second in which a starting VM lists the records, or -1 when it
// has them from peers before.
int64_t
listing_second(const std::string &id, bool is_seed, uint32_t capacity_permille,
               bool peers_send_records)
{
    constexpr int64_t PEER_RECORDS_AT_NS = 2 * SECOND;
    struct rp_watch *watch = rp_watch_new(id.c_str(), 0);
    rp_watch_set_no_vm_list(watch, is_seed);
    rp_watch_delay_first_read(
        watch,
        rp_watch_first_read_delay_ns(id.c_str(), is_seed, capacity_permille));
    int64_t at_ns = rp_watch_due_ns(watch);
    if (peers_send_records && at_ns > PEER_RECORDS_AT_NS) {
        rp_watch_record_peer_records(watch, PEER_RECORDS_AT_NS);
        at_ns = rp_watch_due_ns(watch);
    }
    int64_t wait_ms = 0;
    enum rp_watch_read read = rp_watch_next(watch, at_ns, &wait_ms);
    rp_watch_free(watch);
    return read == RP_WATCH_READ_RECORDS ? at_ns / SECOND : -1;
}

// Guards against a herd at the platform: 472 VMs start together, of which 18
// have enough capacity to serve callers. The others get their records from
// peers, or read themselves, spread out, if none come.
TEST(watch_no_vm_list, fleet_that_starts_reads_little)
{
    struct {
        const char *what;
        bool peers_send_records;
        int reads;
        int max_reads_per_s;
    } cases[] = {
        {"peers send records", true, 21, 21},
        {"no peer has records", false, 472, 200},
    };
    constexpr int FLEET = 472;
    constexpr int GREAT = 18;
    constexpr int SEEDS = 3; // small ones
    for (const auto &entry : cases) {
        std::map<int64_t, int> reads_by_second;
        int reads = 0;
        for (int i = 0; i < FLEET; i++) {
            int64_t second = listing_second(
                "vm-" + std::to_string(i), i >= GREAT && i < GREAT + SEEDS,
                i < GREAT ? 500 : 100, entry.peers_send_records);
            reads += second >= 0 ? 1 : 0;
            reads_by_second[second]++;
        }
        EXPECT_EQ(reads, entry.reads) << entry.what;
        reads_by_second.erase(-1);
        for (const auto &second : reads_by_second) {
            EXPECT_LE(second.second, entry.max_reads_per_s) << entry.what;
        }
    }
}

} // namespace
