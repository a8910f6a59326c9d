#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "snapshot.h"
#include "split.h"

namespace {

// Guards against shares of a route that drift from their weights, and against
// a part that receives no calls for long.
TEST(split, follows_weights)
{
    struct {
        std::vector<uint32_t> weights;
    } cases[] = {{{90, 10}},
                 {{1, 1, 1}},
                 {{0, 5}},
                 {{997, 2, 1}},
                 {{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12}}};
    for (const auto &entry : cases) {
        struct rp_snapshot *snapshot = rp_snapshot_new();
        struct rp_route *route = rp_snapshot_add_route(snapshot, "r", "", "/");
        uint32_t total = 0;
        for (size_t i = 0; i < entry.weights.size(); i++) {
            rp_route_add_part(route, std::to_string(i).c_str(),
                              entry.weights[i]);
            total += entry.weights[i];
        }
        struct rp_split split = {};
        std::vector<uint32_t> counts(entry.weights.size());
        for (uint32_t i = 1; i <= total * 3; i++) {
            counts[rp_split_choose(&split, route)]++;
            for (size_t part = 0; part < counts.size(); part++) {
                double share = (double)entry.weights[part] / total * i;
                EXPECT_NEAR(counts[part], share, counts.size()) << i;
            }
        }
        rp_split_clear(&split);
        rp_snapshot_unref(snapshot);
    }
}

// Guards against a call that goes to a service although the route's weights
// give it none.
TEST(split, has_no_part_without_a_weight)
{
    struct rp_snapshot *snapshot = rp_snapshot_new();
    struct rp_route *route = rp_snapshot_add_route(snapshot, "r", "", "/");
    rp_route_add_part(route, "a", 0);
    rp_route_add_part(route, "b", 0);
    struct rp_split split = {};
    EXPECT_EQ(rp_split_choose(&split, route), RP_SPLIT_NO_PART);
    rp_split_clear(&split);
    rp_snapshot_unref(snapshot);
}

} // namespace
