#include <gtest/gtest.h>

#include <set>
#include <string>
#include <vector>

extern "C" {
#include "address_answer.h"
}

namespace {

struct place {
    const char *domain;
    enum rp_address_state state;
    uint32_t capacity_permille = 0;
};

std::vector<uint32_t>
pick(const std::vector<place> &places, const char *name, uint32_t most)
{
    std::vector<std::string> ids;
    for (size_t i = 0; i < places.size(); i++) {
        ids.push_back("vm-" + std::to_string(i));
    }
    std::vector<struct rp_address_member> members(places.size());
    for (size_t i = 0; i < places.size(); i++) {
        members[i].id = ids[i].c_str();
        members[i].domain = places[i].domain;
        members[i].state = places[i].state;
        members[i].capacity_permille = places[i].capacity_permille;
    }
    std::vector<uint32_t> picked(most);
    picked.resize(rp_address_nearest(members.data(), (uint32_t)members.size(),
                                     name, "near", picked.data(), most));
    return picked;
}

// Guards against callers that are sent to VMs that leave or are silent while
// others serve, or far away without need, and against an empty answer.
TEST(address_nearest, picks_near_ones_that_serve)
{
    const auto SERVING = RP_ADDRESS_SERVING;
    const auto SUSPECT = RP_ADDRESS_SUSPECT;
    const auto UNUSABLE = RP_ADDRESS_UNUSABLE;
    struct {
        const char *what;
        std::vector<place> places;
        uint32_t most;
        std::set<uint32_t> expected;
    } cases[] = {
        {"near first", {{"far", SERVING}, {"near", SERVING}}, 1, {1}},
        {"far fill up", {{"far", SERVING}, {"near", SERVING}}, 2, {0, 1}},
        {"leaving", {{"far", SERVING}, {"near", UNUSABLE}}, 2, {0}},
        {"silent", {{"far", SERVING}, {"near", SUSPECT}}, 2, {0}},
        {"all silent", {{"far", SUSPECT}, {"near", SUSPECT}}, 1, {1}},
        {"none", {{"far", UNUSABLE}}, 2, {}},
        {"enough near",
         {{"near", SERVING}, {"near", SERVING}, {"far", SERVING}},
         5,
         {0, 1}},
        {"greater ones",
         {{"near", SERVING, 100},
          {"near", SERVING, 500},
          {"near", SERVING, 400},
          {"far", SERVING, 500}},
         5,
         {1, 2}},
        {"a great far one before a small near one",
         {{"near", SERVING, 100},
          {"near", SERVING, 500},
          {"far", SERVING, 500}},
         5,
         {1, 2}},
        {"small ones when the great are gone",
         {{"near", SERVING, 100},
          {"near", SUSPECT, 500},
          {"far", UNUSABLE, 500},
          {"near", SERVING, 100}},
         5,
         {0, 3}},
    };
    for (const auto &entry : cases) {
        auto picked = pick(entry.places, "h", entry.most);
        EXPECT_EQ(std::set<uint32_t>(picked.begin(), picked.end()),
                  entry.expected)
            << entry.what;
    }
}

// Guards against a hundred VMs that each decide for every name and know little
// of its targets, and against few VMs that decide for all names.
TEST(address_nearest, names_have_their_own_few)
{
    std::vector<place> places(25, {"near", RP_ADDRESS_SERVING});
    std::set<uint32_t> all;
    for (int name = 0; name < 40; name++) {
        std::string host = "h" + std::to_string(name);
        auto picked = pick(places, host.c_str(), 5);
        EXPECT_EQ(picked.size(), 5u);
        EXPECT_EQ(picked, pick(places, host.c_str(), 5)) << "not the same";
        all.insert(picked.begin(), picked.end());
    }
    EXPECT_GE(all.size(), 24u);
}

} // namespace
