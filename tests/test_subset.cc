#include <gtest/gtest.h>

#include <set>
#include <string>
#include <vector>

extern "C" {
#include "subset.h"
}

namespace {

struct fleet {
    std::vector<std::string> ids, domains;
    std::vector<struct rp_subset_member> members;

    fleet(uint32_t count, uint32_t domain_count, uint32_t excluded)
    {
        for (uint32_t i = 0; i < count; i++) {
            if (i != excluded) {
                ids.push_back("vm" + std::to_string(i));
                domains.push_back("d" + std::to_string(i % domain_count));
            }
        }
        for (size_t i = 0; i < ids.size(); i++) {
            members.push_back({ids[i].c_str(), domains[i].c_str()});
        }
    }

    std::vector<std::string> choose(const char *service, uint32_t width)
    {
        std::vector<uint32_t> chosen(width);
        uint32_t count =
            rp_subset_choose(service, members.data(), (uint32_t)members.size(),
                             width, chosen.data());
        std::vector<std::string> result;
        for (uint32_t i = 0; i < count; i++) {
            result.push_back(ids[chosen[i]]);
        }
        return result;
    }
};

// Guards against subsets within one failure domain, and against the same VMs
// serving every service.
TEST(subset, spreads_over_domains_and_services)
{
    fleet all(14, 4, 99);
    std::set<std::string> used;
    for (int service = 0; service < 20; service++) {
        std::string name = "s" + std::to_string(service);
        std::set<int> domains;
        for (const auto &id : all.choose(name.c_str(), 4)) {
            domains.insert(std::stoi(id.substr(2)) % 4);
            used.insert(id);
        }
        EXPECT_EQ(domains.size(), 4u) << name;
    }
    EXPECT_GE(used.size(), 12u);
    EXPECT_EQ(all.choose("s", 20).size(), 14u);
    EXPECT_EQ(fleet(0, 1, 99).choose("s", 4).size(), 0u);
}

// Guards against the failure of a VM moving callers of other VMs.
TEST(subset, failure_replaces_one)
{
    for (uint32_t failed = 0; failed < 14; failed++) {
        auto before = fleet(14, 4, 99).choose("s", 4);
        auto after = fleet(14, 4, failed).choose("s", 4);
        std::set<std::string> kept(before.begin(), before.end());
        kept.erase("vm" + std::to_string(failed));
        for (const auto &id : kept) {
            EXPECT_TRUE(std::count(after.begin(), after.end(), id)) << failed;
        }
    }
}

// Guards against a subset that stays narrow at peak load or on failures, or
// that narrows while callers still use old answers.
TEST(subset, width)
{
    struct rp_subset_width width = {};
    struct {
        int64_t at_s;
        double load;
        uint32_t suspects, expected;
    } steps[] = {
        {0, 0.1, 0, 4},   {1, 4.0, 0, 8},   {2, 100, 0, 14},
        {3, 0.1, 0, 14},  {11, 0.1, 0, 14}, {12, 0.1, 0, 13},
        {13, 0.1, 0, 13}, {22, 0.1, 0, 12}, {23, 0.1, 9, 13},
    };
    for (const auto &step : steps) {
        EXPECT_EQ(rp_subset_update_width(&width, step.load, 4, step.suspects,
                                         14, step.at_s * 1000000000),
                  step.expected)
            << step.at_s;
    }
}

} // namespace
