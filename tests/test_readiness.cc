#include <gtest/gtest.h>

#include <string>
#include <vector>

extern "C" {
#include "readiness.h"
}

namespace {

constexpr int64_t SECOND = 1000000000;

struct phase_report {
    const char *id;
    enum rp_config_phase phase;
    int64_t at_ns;
};

// Guards against a new VM that serves an old platform state while others have
// a newer one in force, and against a VM that never becomes ready.
TEST(readiness, start_rule)
{
    constexpr auto STARTING = RP_CONFIG_STARTING;
    constexpr auto PROVISIONAL = RP_CONFIG_PROVISIONAL;
    constexpr auto IN_FORCE = RP_CONFIG_IN_FORCE;
    struct {
        const char *name;
        std::vector<const char *> vms; // "-id" is leaving
        bool platform_read;
        std::vector<phase_report> reports;
        const char *synced_peer; // peer whose records were all received
        int64_t now_ns;
        enum rp_config_phase expected;
    } cases[] = {
        {"no data", {}, false, {}, nullptr, 60 * SECOND, STARTING},
        {"platform only", {}, true, {}, nullptr, SECOND, STARTING},
        {"(c) too early",
         {"a", "b"},
         true,
         {},
         nullptr,
         30 * SECOND - 1,
         STARTING},
        {"(c) boot wait over",
         {"a", "b"},
         true,
         {},
         nullptr,
         30 * SECOND,
         PROVISIONAL},
        {"(a) synced",
         {"a", "b"},
         false,
         {{"b", IN_FORCE, 0}},
         "b",
         SECOND,
         IN_FORCE},
        {"(a) reported but not synced",
         {"a", "b"},
         true,
         {{"b", IN_FORCE, 0}},
         nullptr,
         SECOND,
         STARTING},
        {"(a) synced with a provisional peer",
         {"a", "b", "c"},
         false,
         {{"b", PROVISIONAL, 0}},
         "b",
         SECOND,
         STARTING},
        {"(b) all are starting",
         {"a", "b", "c"},
         true,
         {{"b", STARTING, 0}, {"c", PROVISIONAL, 0}},
         nullptr,
         SECOND,
         IN_FORCE},
        {"(b) without any data",
         {"a", "b"},
         false,
         {{"b", STARTING, 0}},
         nullptr,
         SECOND,
         STARTING},
        {"(b) one is silent",
         {"a", "b", "c"},
         true,
         {{"b", STARTING, 0}},
         nullptr,
         SECOND,
         STARTING},
        {"(b) one is in force",
         {"a", "b", "c"},
         true,
         {{"b", STARTING, 0}, {"c", IN_FORCE, 0}},
         nullptr,
         SECOND,
         STARTING},
        {"(b) report too old",
         {"a", "b"},
         true,
         {{"b", STARTING, 0}},
         nullptr,
         11 * SECOND,
         STARTING},
        {"(b) leaving VMs do not count",
         {"a", "-b"},
         true,
         {},
         nullptr,
         SECOND,
         IN_FORCE},
        {"(b) list older than this VM",
         {"b"},
         true,
         {{"b", STARTING, 0}},
         nullptr,
         SECOND,
         STARTING},
        {"(b) empty list", {}, true, {}, nullptr, SECOND, STARTING},
        {"(b) alone", {"a"}, true, {}, nullptr, 0, IN_FORCE},
    };
    for (const auto &entry : cases) {
        struct rp_readiness *readiness = rp_readiness_new("a", 30 * SECOND, 0);
        struct rp_vm_list *list = rp_vm_list_new(0);
        for (const char *id : entry.vms) {
            struct rp_vm vm = {};
            vm.entry = true;
            vm.leaving = id[0] == '-';
            g_strlcpy(vm.id, vm.leaving ? id + 1 : id, sizeof(vm.id));
            rp_vm_list_add(list, &vm);
        }
        rp_readiness_set_vms(readiness, list);
        if (entry.platform_read) {
            rp_readiness_record_platform_read(readiness);
        }
        for (const auto &report : entry.reports) {
            rp_readiness_record_peer_phase(readiness, report.id, report.phase,
                                           report.at_ns);
        }
        if (entry.synced_peer != nullptr) {
            rp_readiness_record_peer_sync(readiness, entry.synced_peer);
        }
        EXPECT_EQ(rp_readiness_phase(readiness, entry.now_ns), entry.expected)
            << entry.name;
        rp_vm_list_unref(list);
        rp_readiness_free(readiness);
    }
}

// Guards against a timer that stays due after the boot wait of a VM without
// any data, which would use a whole core.
TEST(readiness, no_timer_without_data)
{
    struct rp_readiness *readiness = rp_readiness_new("a", 30 * SECOND, 0);
    EXPECT_EQ(rp_readiness_phase(readiness, 40 * SECOND), RP_CONFIG_STARTING);
    EXPECT_EQ(rp_readiness_due_ns(readiness), INT64_MAX);
    rp_readiness_record_platform_read(readiness);
    EXPECT_EQ(rp_readiness_due_ns(readiness), 30 * SECOND);
    EXPECT_EQ(rp_readiness_phase(readiness, 40 * SECOND),
              RP_CONFIG_PROVISIONAL);
    EXPECT_EQ(rp_readiness_due_ns(readiness), INT64_MAX);
    rp_readiness_free(readiness);
}

// Guards against a ready VM that becomes unready and refuses calls.
TEST(readiness, phase_only_rises)
{
    struct rp_readiness *readiness = rp_readiness_new("a", 30 * SECOND, 0);
    rp_readiness_record_platform_read(readiness);
    EXPECT_EQ(rp_readiness_phase(readiness, 31 * SECOND),
              RP_CONFIG_PROVISIONAL);
    rp_readiness_record_peer_phase(readiness, "b", RP_CONFIG_IN_FORCE,
                                   32 * SECOND);
    EXPECT_EQ(rp_readiness_phase(readiness, 32 * SECOND),
              RP_CONFIG_PROVISIONAL);
    rp_readiness_record_peer_sync(readiness, "b");
    EXPECT_EQ(rp_readiness_phase(readiness, 33 * SECOND), RP_CONFIG_IN_FORCE);
    rp_readiness_record_peer_phase(readiness, "b", RP_CONFIG_STARTING,
                                   34 * SECOND);
    EXPECT_EQ(rp_readiness_phase(readiness, 99 * SECOND), RP_CONFIG_IN_FORCE);
    EXPECT_EQ(rp_readiness_due_ns(readiness), INT64_MAX);
    rp_readiness_free(readiness);
}

} // namespace
