#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

extern "C" {
#include "estate_share.h"
#include "hedge.h"
#include "length.h"
#include "limit.h"
#include "outlier.h"
#include "retry.h"
#include "retry_budget.h"
}

namespace {

constexpr int64_t MS = 1000000;

// Guards against a limit that ignores refusals, and against one that slow
// answers reduce so far that slots stay idle.
TEST(limit, adapts)
{
    struct {
        const char *name;
        bool cold;
        int fast, slow, refused;
        double min_limit, max_limit;
    } cases[] = {
        {"warm", false, 0, 0, 0, 18, 18},
        {"cold start", true, 0, 0, 0, 2, 2},
        {"cold start grows with answers", true, 40, 0, 0, 6, 18},
        {"slow answers", false, 100, 100, 0, 9, 10},
        {"refusals", false, 0, 0, 50, 1, 1},
    };
    for (const auto &entry : cases) {
        struct rp_limit limit;
        rp_limit_init(&limit, 6, entry.cold);
        for (int i = 0; i < entry.fast; i++) {
            rp_limit_record_answer(&limit, 5 * MS, limit.limit);
        }
        for (int i = 0; i < entry.slow; i++) {
            rp_limit_record_answer(&limit, (10 + i) * MS, limit.limit);
        }
        for (int i = 0; i < entry.refused; i++) {
            rp_limit_record_refusal(&limit);
        }
        EXPECT_GE(limit.limit, entry.min_limit) << entry.name;
        EXPECT_LE(limit.limit, entry.max_limit) << entry.name;
    }
}

// Guards against an entry VM that uses the shares of others, and against an
// entry VM without load reports that may send nothing.
TEST(limit, fair_share)
{
    struct {
        uint32_t local;
        double remote, fair_share;
        bool within_pool_share, allowed;
    } cases[] = {
        {0, 0, 4.5, false, true},  {4, 14, 4.5, true, true},
        {5, 14, 4.5, true, false}, {4, 14, 4.5, false, false},
        {0, 18, 0.2, true, true},  {1, 18, 0.2, true, false},
        {18, 0, 18, true, false},  {10, 7, 4.5, false, true},
    };
    struct rp_limit limit;
    rp_limit_init(&limit, 6, false);
    for (const auto &entry : cases) {
        EXPECT_EQ(rp_limit_allows(&limit, entry.local, entry.remote,
                                  entry.fair_share, entry.within_pool_share),
                  entry.allowed)
            << entry.local << " " << entry.remote << " " << entry.fair_share;
    }
}

// Guards against ejecting targets for a fault that the whole pool has, and
// against ejecting a failing target too late.
TEST(outlier, ejection)
{
    struct {
        double pool_failure_rate;
        int successes, failures;
        bool ejected;
    } cases[] = {
        {0, 0, 2, false},  {0, 0, 3, true},     {0, 50, 3, true},
        {0, 50, 1, false}, {0.9, 0, 20, false},
    };
    for (const auto &entry : cases) {
        struct rp_outlier outlier;
        rp_outlier_init(&outlier);
        bool ejected = false;
        for (int i = 0; i < entry.successes; i++) {
            rp_outlier_record_success(&outlier);
        }
        for (int i = 0; i < entry.failures; i++) {
            ejected =
                rp_outlier_record_failure(&outlier, entry.pool_failure_rate);
        }
        EXPECT_EQ(ejected, entry.ejected)
            << entry.pool_failure_rate << entry.failures;
    }
    EXPECT_EQ(rp_outlier_max_ejected(12), 3u);
    EXPECT_EQ(rp_outlier_max_ejected(3), 0u);
}

// Guards against a target that keeps failing and is retried at a constant
// rate.
TEST(outlier, ejection_time_doubles_up_to_a_bound)
{
    struct rp_outlier outlier;
    rp_outlier_init(&outlier);
    int64_t now_ns = 0;
    for (int64_t expected_ms : {500, 1000, 2000, 4000, 8000, 16000, 16000}) {
        rp_outlier_eject(&outlier, 0, now_ns);
        EXPECT_EQ(outlier.ejected_until_ns - now_ns, expected_ms * MS);
        now_ns = outlier.ejected_until_ns;
        EXPECT_FALSE(rp_outlier_is_ejected(&outlier, now_ns));
    }
}

// Guards against retries that amplify a fault: more than 10% of the fresh
// calls plus the allowance.
TEST(retry_budget, limits_retries)
{
    for (int fresh : {0, 10, 100, 1000}) {
        struct rp_retry_budget budget;
        rp_retry_budget_init(&budget, 0.1, 3, 10000 * MS);
        int consumed = 0;
        for (int i = 0; i < fresh; i++) {
            rp_retry_budget_record_call(&budget, 0);
            consumed += rp_retry_budget_consume(&budget, 0);
        }
        EXPECT_LE(consumed, 3 + fresh / 10) << fresh;
        EXPECT_GE(consumed, fresh / 10) << fresh;
    }
}

// Guards against a window with more retries than its budget because a quiet
// time saved them up or two windows each allowed them. Retries are attempted
// all the time, as when many targets fail, while the call rate changes.
TEST(retry_budget, holds_in_every_window)
{
    struct {
        int calls_per_s[3]; // in 10 s each
    } cases[] = {{{40, 40, 40}}, {{100, 10, 10}}, {{0, 0, 50}}, {{5, 90, 1}}};
    for (const auto &entry : cases) {
        struct rp_retry_budget budget;
        // The ratio is a tenth below the bound of 0.2, as in deploy/.
        rp_retry_budget_init(&budget, 0.18, 4, 10000 * MS);
        std::vector<int64_t> fresh;
        std::vector<int64_t> consumed;
        for (int ms = 0; ms < 30000; ms++) {
            int rate = entry.calls_per_s[ms / 10000];
            if (rate > 0 && ms % (1000 / rate) == 0) {
                rp_retry_budget_record_call(&budget, ms * MS);
                fresh.push_back(ms);
            }
            if (rp_retry_budget_consume(&budget, ms * MS)) {
                consumed.push_back(ms);
            }
        }
        EXPECT_GT(consumed.size(), 0u);
        // The stated bound counts the fresh calls of the window or of the
        // preceding one.
        for (int from = -10000; from < 30000; from += 100) {
            auto within = [](const std::vector<int64_t> &times, int start) {
                return std::count_if(
                    times.begin(), times.end(), [start](int64_t ms) {
                        return ms >= start && ms < start + 10000;
                    });
            };
            double calls =
                std::max({within(fresh, from), within(fresh, from - 5000),
                          within(fresh, from - 10000)});
            EXPECT_LE(within(consumed, from), 0.2 * calls + 4) << from;
        }
    }
}

// Guards against synchronized retries and unbounded retry delays.
TEST(retry, backoff)
{
    struct {
        uint32_t retries;
        bool not_run;
        uint32_t random;
        int64_t min_us;
        int64_t max_us;
    } cases[] = {
        {0, true, UINT32_MAX, 0, 0},
        {0, false, UINT32_MAX, 3900, 4000},
        {1, false, UINT32_MAX, 7900, 8000},
        {1, true, UINT32_MAX / 2, 3900, 4000},
        {50, false, UINT32_MAX, 99900, 100000},
    };
    for (const auto &entry : cases) {
        int64_t delay_us =
            rp_retry_delay_ns(entry.retries, entry.not_run, entry.random) /
            1000;
        EXPECT_GE(delay_us, entry.min_us) << entry.retries;
        EXPECT_LE(delay_us, entry.max_us) << entry.retries;
    }
}

// Guards against hedges at high slot utilization, and against more hedges
// than their share of the calls.
TEST(hedge, late_and_within_budget)
{
    struct rp_hedge hedge;
    rp_hedge_init(&hedge);
    EXPECT_EQ(rp_hedge_delay_ns(&hedge, 0.5), INT64_MAX);
    int consumed = 0;
    for (int i = 0; i < 20000; i++) {
        rp_hedge_record_call(&hedge);
        rp_hedge_record_response(&hedge, (i * 37 % 100 + 1) * MS);
        consumed += rp_hedge_consume(&hedge, 0.5);
    }
    EXPECT_NEAR((double)rp_hedge_delay_ns(&hedge, 0.5), 98.0 * MS, 6.0 * MS);
    EXPECT_EQ(rp_hedge_delay_ns(&hedge, 0.9), INT64_MAX);
    EXPECT_FALSE(rp_hedge_consume(&hedge, 0.9));
    EXPECT_LE(consumed, 400);
}

// Guards against long kinds of calls that count as short, and short ones that
// count as long.
TEST(length, learns_long_kinds)
{
    struct {
        int64_t other_ms;
        bool is_long;
    } cases[] = {{5, false}, {20, false}, {150, true}};
    for (const auto &entry : cases) {
        struct rp_length length;
        rp_length_init(&length);
        for (int i = 0; i < 1000; i++) {
            rp_length_record(&length, 1, (1 + i % 10) * MS, false);
            if (i % 20 == 0) {
                rp_length_record(&length, 2, entry.other_ms * MS, false);
            }
        }
        EXPECT_FALSE(rp_length_is_long(&length, 1));
        EXPECT_EQ(rp_length_is_long(&length, 2), entry.is_long)
            << entry.other_ms;
        EXPECT_FALSE(rp_length_is_long(&length, 3));
        EXPECT_TRUE(rp_length_may_be_long(&length, 3));
    }
}

// Guards against queueing at the targets that makes short kinds look long or
// hides long ones, and against all calls counting as long when kinds never
// repeat.
TEST(length, waiting_and_new_kinds)
{
    struct rp_length length;
    rp_length_init(&length);
    for (int i = 0; i < 1000; i++) {
        rp_length_record(&length, 1, 5 * MS, false);
        rp_length_record(&length, 1, 5 * MS, false);
        rp_length_record(&length, 2, 150 * MS, false);
    }
    for (int i = 0; i < 1000; i++) {
        rp_length_record(&length, 1, 200 * MS, true);
        rp_length_record(&length, 2, 400 * MS, true);
    }
    EXPECT_FALSE(rp_length_may_be_long(&length, 1));
    EXPECT_TRUE(rp_length_is_long(&length, 2));
    for (uint64_t kind = 10; kind < 400; kind++) {
        rp_length_record(&length, kind, 5 * MS, false);
    }
    EXPECT_FALSE(rp_length_may_be_long(&length, 1000));
}

// Guards against an estate's calls that differ from its share by more than
// the stated error.
TEST(estate_share, stays_within_stated_error)
{
    struct {
        uint32_t permille[3];
        uint32_t count;
    } cases[] = {{{900, 100, 0}, 2}, {{1, 999, 0}, 2}, {{500, 300, 200}, 3}};
    for (const auto &entry : cases) {
        struct rp_estate estates[3] = {};
        for (uint32_t i = 0; i < entry.count; i++) {
            estates[i].share_permille = entry.permille[i];
        }
        struct rp_estate_share shares = {};
        rp_estate_share_set(&shares, estates, entry.count);
        double sent[3] = {};
        for (int call = 1; call <= 10000; call++) {
            uint32_t estate = entry.count - 1; // prefers the last one
            while (!rp_estate_share_allows(&shares, estate)) {
                ASSERT_GT(estate, 0u);
                estate--;
            }
            rp_estate_share_record_sent(&shares, estate);
            sent[estate]++;
            for (uint32_t i = 0; i < entry.count; i++) {
                ASSERT_LE(
                    std::abs(sent[i] - call * entry.permille[i] / 1000.0),
                    RP_ESTATE_SHARE_ERROR);
            }
        }
    }
}

} // namespace
