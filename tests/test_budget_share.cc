#include <gtest/gtest.h>

#include <vector>

#include "budget_share.h"

namespace {

double
share(const std::vector<uint32_t> &loads, uint32_t self, uint32_t fleet_size)
{
    auto *view = (struct rp_member_view *)g_malloc0(
        sizeof(struct rp_member_view) +
        loads.size() * sizeof(struct rp_member));
    view->count = (uint32_t)loads.size();
    for (uint32_t i = 0; i < view->count; i++) {
        view->members[i].info.load_permille = loads[i];
        view->members[i].is_self = i == self;
    }
    double result = rp_budget_share(view, fleet_size);
    g_free(view);
    return result;
}

// Guards against budgets that stay unused at members without callers while
// members with callers refuse, and against shares that add up to more than the
// budget.
TEST(budget_share, follows_load_and_adds_up_to_one)
{
    std::vector<uint32_t> load_at_8(98); // callers at 8 of 98
    for (int i = 0; i < 8; i++) {
        load_at_8[i * 12] = 25;
    }
    struct {
        const char *what;
        std::vector<uint32_t> loads;
        uint32_t self;
        uint32_t fleet_size;
        double expected;
    } cases[] = {
        {"no load yet", {0, 0, 0, 0}, 1, 4, 0.25},
        {"equal load", {7, 7, 7, 7}, 2, 4, 0.25},
        {"all load local", {9, 0}, 0, 2, 0.75},
        {"no local load", {9, 0}, 1, 2, 0.25},
        {"no other member in the view", {0}, 0, 14, 1.0 / 14},
        {"loaded, as 8 of 98", load_at_8, 12, 14, 0.5 / 98 + 0.5 / 8},
        {"idle, 8 of 98 loaded", load_at_8, 1, 14, 0.5 / 98},
    };
    for (const auto &entry : cases) {
        EXPECT_NEAR(share(entry.loads, entry.self, entry.fleet_size),
                    entry.expected, 1e-9)
            << entry.what;
        double total = 0;
        for (uint32_t i = 0; i < entry.loads.size(); i++) {
            total += share(entry.loads, i, entry.fleet_size);
        }
        EXPECT_LE(total, 1 + 1e-9) << entry.what;
    }
}

// Guards against more further attempts than the budget of the fleet in the
// first seconds of traffic: loads of others spread slowly among hundreds of
// members, and each of those with callers saw itself as the only one.
TEST(budget_share, unknown_loads_do_not_multiply_a_budget)
{
    constexpr uint32_t FLEET = 472;
    constexpr uint32_t GREAT = 18;
    auto *view = (struct rp_member_view *)g_malloc0(
        sizeof(struct rp_member_view) + FLEET * sizeof(struct rp_member));
    view->count = FLEET;
    for (uint32_t i = 0; i < FLEET; i++) {
        struct rp_member_info *info = &view->members[i].info;
        info->capacity_permille = i < GREAT ? 500 : 100;
        g_snprintf(info->domain, sizeof(info->domain), "d%u", i % 6);
    }
    double total = 0;
    for (uint32_t i = 0; i < FLEET; i++) {
        view->members[i].is_self = true;
        view->members[i].info.load_permille = i < GREAT ? 9 : 0;
        double share = rp_budget_share(view, 14);
        total += share;
        EXPECT_GE(share, i < GREAT ? 0.5 / GREAT : 0.1 / FLEET);
        view->members[i].is_self = false;
        view->members[i].info.load_permille = 0; // unknown to the next
    }
    EXPECT_LE(total, 1.5 + 1e-9);
    g_free(view);
}

} // namespace
