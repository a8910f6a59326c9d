#include <gtest/gtest.h>

#include <set>
#include <string>
#include <vector>

extern "C" {
#include "address_answer.h"
#include "address_book.h"
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
TEST(address_nearest, picks_near_serving_vms)
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
TEST(address_nearest, spreads_names_over_vms)
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

// Guards against callers that stay with what a process names that has just
// started and knows few others, and against a longer time than is set.
TEST(address_book, ttl_is_short_after_start)
{
    const int64_t START_NS = 5000000000;
    struct {
        uint32_t set_ms;
        int64_t age_ms;
        uint32_t expected_ms;
    } cases[] = {
        {2000, 0, 400},      {2000, 1999, 400}, {2000, 2000, 2000},
        {300, 0, 300},       {300, 5000, 300},  {5000, 1000, 400},
        {5000, 60000, 5000},
    };
    struct rp_identity identity = {};
    struct rp_context *context = rp_context_new(&identity, 1);
    for (const auto &entry : cases) {
        struct rp_address_book *book =
            rp_address_book_new(context, entry.set_ms, START_NS);
        EXPECT_EQ(
            rp_address_book_ttl_ms(book, START_NS + entry.age_ms * 1000000),
            entry.expected_ms)
            << entry.set_ms << " ms set, " << entry.age_ms << " ms old";
        rp_address_book_free(book);
    }
    rp_context_free(context);
}

} // namespace
