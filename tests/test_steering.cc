#include <gtest/gtest.h>

#include <string>
#include <vector>

extern "C" {
#include "steering.h"
}

namespace {

constexpr int64_t S = 1000000000;

struct vm {
    const char *domain;
    enum rp_member_state state;
    enum rp_config_phase phase;
    uint32_t load_permille;
};

struct rp_member_view *
make_view(const std::vector<vm> &vms)
{
    auto *view = static_cast<struct rp_member_view *>(
        g_malloc0(sizeof(struct rp_member_view) +
                  vms.size() * sizeof(struct rp_member)));
    view->count = static_cast<uint32_t>(vms.size());
    for (uint32_t i = 0; i < view->count; i++) {
        struct rp_member *member = &view->members[i];
        g_snprintf(member->info.id, RP_ID_BYTES, "vm-%02u", i);
        g_strlcpy(member->info.domain, vms[i].domain, RP_DOMAIN_BYTES);
        member->info.state = vms[i].state;
        member->info.phase = vms[i].phase;
        member->info.load_permille = vms[i].load_permille;
        member->is_self = i == 0;
    }
    return view;
}

uint32_t
width_of(struct rp_steering *steering, const std::vector<vm> &vms,
         int64_t now_ns, bool *has_self = nullptr)
{
    struct rp_member_view *view = make_view(vms);
    struct rp_steering_choice choice;
    rp_steering_update(steering, "s", view, now_ns, &choice);
    g_free(view);
    if (has_self != nullptr) {
        *has_self = choice.has_self;
    }
    return choice.width;
}

const vm idle_a = {"a", RP_MEMBER_ALIVE, RP_CONFIG_IN_FORCE, 10};
const vm idle_b = {"b", RP_MEMBER_ALIVE, RP_CONFIG_IN_FORCE, 10};
const vm busy_a = {"a", RP_MEMBER_ALIVE, RP_CONFIG_IN_FORCE, 900};
const vm busy_b = {"b", RP_MEMBER_ALIVE, RP_CONFIG_IN_FORCE, 900};
const vm suspect_a = {"a", RP_MEMBER_SUSPECT, RP_CONFIG_IN_FORCE, 10};
const vm suspect_b = {"b", RP_MEMBER_SUSPECT, RP_CONFIG_IN_FORCE, 10};
const vm starting_a = {"a", RP_MEMBER_ALIVE, RP_CONFIG_STARTING, 10};
const vm dead_a = {"a", RP_MEMBER_DEAD, RP_CONFIG_IN_FORCE, 10};
const vm leaving_a = {"a", RP_MEMBER_LEAVING, RP_CONFIG_IN_FORCE, 10};

// Guards against a subset that stays narrow in a rush or when its entry VMs
// fall silent, and against one that counts VMs which cannot serve.
TEST(steering, width)
{
    struct {
        std::vector<vm> members;
        uint32_t least;
        uint32_t most;
    } cases[] = {
        {{idle_a, idle_a, idle_a, idle_b, idle_b, idle_b}, 2, 2},
        {{busy_a, busy_a, busy_a, busy_b, busy_b, busy_b}, 4, 6},
        {{idle_a, suspect_a, suspect_a, suspect_b, suspect_b, suspect_b},
         3,
         6},
        {{idle_a, starting_a, dead_a, leaving_a, dead_a}, 1, 1},
        {{idle_a}, 1, 1},
    };
    for (const auto &entry : cases) {
        struct rp_steering *steering = rp_steering_new();
        uint32_t width = 0;
        for (int64_t i = 0; i < 5; i++) {
            width = width_of(steering, entry.members, i * S);
        }
        EXPECT_GE(width, entry.least) << entry.members.size();
        EXPECT_LE(width, entry.most) << entry.members.size();
        rp_steering_free(steering);
    }
}

// Guards against callers being moved by each short rise and fall of load.
TEST(steering, narrows_after_a_delay)
{
    const std::vector<vm> idle = {idle_a, idle_a, idle_a,
                                  idle_b, idle_b, idle_b};
    const std::vector<vm> busy = {busy_a, busy_a, busy_a,
                                  busy_b, busy_b, busy_b};
    struct rp_steering *steering = rp_steering_new();
    uint32_t wide = 0;
    for (int64_t i = 0; i < 5; i++) {
        wide = width_of(steering, busy, i * S);
    }
    EXPECT_EQ(width_of(steering, idle, 9 * S), wide);
    EXPECT_EQ(width_of(steering, idle, 15 * S), wide - 1);
    rp_steering_free(steering);
}

// Guards against a share of the limits that leaves out this VM's own part.
TEST(steering, deciders)
{
    struct {
        struct rp_steering_choice choice;
        uint32_t fleet_size;
        uint32_t expected;
    } cases[] = {
        {{3, true}, 14, 3},  {{3, false}, 14, 4}, {{14, false}, 14, 14},
        {{0, false}, 14, 1}, {{2, true}, 0, 1},
    };
    for (const auto &entry : cases) {
        EXPECT_EQ(rp_steering_deciders(&entry.choice, entry.fleet_size),
                  entry.expected)
            << entry.choice.width;
    }
}

} // namespace
