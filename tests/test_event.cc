#include <gtest/gtest.h>

extern "C" {
#include "event.h"
#include "hlc.h"
}

namespace {

// Guards against a ring that hides how many events were overwritten.
TEST(event, ring_keeps_the_latest)
{
    struct rp_event_ring *ring = rp_event_ring_new(4);
    for (int i = 0; i < 10; i++) {
        struct rp_event *event =
            rp_event_add(ring, RP_EVENT_STARTED, i * 1000000, "x");
        event->value = i;
    }
    EXPECT_EQ(rp_event_ring_first_sequence(ring), 6u);
    EXPECT_EQ(rp_event_ring_end_sequence(ring), 10u);
    EXPECT_EQ(rp_event_ring_get(ring, 5), nullptr);
    EXPECT_EQ(rp_event_ring_get(ring, 10), nullptr);
    EXPECT_EQ(rp_event_ring_get(ring, 6)->value, 6);
    rp_event_ring_free(ring);
}

// Guards against a clock that goes back, or adopts a wrong remote clock.
TEST(event, clock_order)
{
    struct {
        struct rp_hlc clock;
        struct rp_hlc remote;
        int64_t wall_ms;
        struct rp_hlc expected;
    } cases[] = {
        {{100, 0}, {50, 9}, 200, {200, 0}},
        {{100, 3}, {50, 9}, 90, {100, 4}},
        {{100, 3}, {150, 9}, 90, {150, 10}},
        {{100, 3}, {100 + 600000, 9}, 100, {100, 4}},
    };
    for (const auto &entry : cases) {
        struct rp_hlc clock = entry.clock;
        struct rp_hlc merged =
            rp_hlc_merge(&clock, entry.remote, entry.wall_ms);
        EXPECT_EQ(rp_hlc_compare(merged, entry.expected), 0)
            << merged.wall_ms << " " << merged.count;
    }
}

} // namespace
