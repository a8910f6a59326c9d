#include <gtest/gtest.h>

#include <vector>

extern "C" {
#include "target_notice.h"
}

namespace {

const int64_t MS = 1000000;
const int64_t DAY_MS = 86400000;

// Guards against a target that gets requests in the time for which it wanted
// none, and against one that gets none for good.
TEST(target_notice, closes_for_the_longest_wait)
{
    struct wait {
        int64_t at_ms;
        int64_t wait_ms;
        bool was_open;
    };
    struct {
        const char *what;
        std::vector<wait> waits;
        int64_t closed_until_ms;
    } cases[] = {
        {"no wait", {}, 0},
        {"one", {{0, 3000, true}}, 3000},
        {"a fraction", {{0, 250, true}}, 250},
        {"no time", {{0, 0, false}}, 0},
        {"a negative time", {{0, -5, false}}, 0},
        {"a shorter one later", {{0, 3000, true}, {1000, 500, false}}, 3000},
        {"a longer one later", {{0, 3000, true}, {1000, 5000, false}}, 6000},
        {"one after its end", {{0, 3000, true}, {3000, 1000, true}}, 4000},
        {"hours", {{0, DAY_MS / 4, true}}, DAY_MS / 4},
        {"a week", {{0, 7 * DAY_MS, true}}, DAY_MS},
        {"more than a clock holds", {{0, INT64_MAX, true}}, DAY_MS},
    };
    for (const auto &entry : cases) {
        struct rp_target_notice notice = {};
        for (const auto &wait : entry.waits) {
            EXPECT_EQ(rp_target_notice_record_wait(&notice, wait.wait_ms,
                                                   wait.at_ms * MS),
                      wait.was_open)
                << entry.what << wait.at_ms;
        }
        EXPECT_EQ(notice.closed_until_ns, entry.closed_until_ms * MS)
            << entry.what;
        if (entry.closed_until_ms > 0) {
            EXPECT_TRUE(rp_target_notice_is_closed(
                &notice, entry.closed_until_ms * MS - 1));
        }
        EXPECT_FALSE(
            rp_target_notice_is_closed(&notice, entry.closed_until_ms * MS));
        rp_target_notice_clear(&notice);
        EXPECT_FALSE(rp_target_notice_is_closed(&notice, 0)) << entry.what;
    }
}

} // namespace
