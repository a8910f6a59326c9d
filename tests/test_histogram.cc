#include <gtest/gtest.h>

#include <string>

#include "histogram.h"

namespace {

constexpr int64_t MS = 1000000;

std::string
print(const struct rp_histograms *histograms)
{
    GString *out = g_string_new(nullptr);
    rp_histograms_print(histograms, out);
    std::string text(out->str, out->len);
    g_string_free(out, TRUE);
    return text;
}

// Guards against latencies counted in the wrong bucket, buckets that are not
// cumulative, and latencies outside of all buckets that are lost.
TEST(histogram, buckets_add_up)
{
    struct rp_histograms *histograms = rp_histograms_new();
    for (int64_t latency_ns :
         {INT64_C(-5), 0 * MS, MS / 2, 3 * MS, 999 * MS, 900000 * MS})
    {
        rp_histograms_record(histograms, "maps", "repeatable",
                             RP_RESULT_ANSWERED, latency_ns);
    }
    rp_histograms_record(histograms, "maps", "once", RP_RESULT_NOT_RUN, MS);
    std::string text = print(histograms);
    const std::string labels =
        R"(service="maps",kind="repeatable",result="answered")";
    struct {
        const char *bound;
        int count;
    } cases[] = {{"1", 3},    {"2", 3},     {"5", 4},   {"500", 4},
                 {"1000", 5}, {"60000", 5}, {"+Inf", 6}};
    for (const auto &entry : cases) {
        std::string line = "rosemarypulley_call_ms_bucket{" + labels +
                           ",le=\"" + entry.bound + "\"} " +
                           std::to_string(entry.count) + "\n";
        EXPECT_NE(text.find(line), std::string::npos) << line << text;
    }
    EXPECT_NE(text.find("call_ms_count{" + labels + "} 6\n"),
              std::string::npos);
    EXPECT_NE(text.find(R"(kind="once",result="not_run")"), std::string::npos);
    rp_histograms_free(histograms);
}

// Guards against memory that grows with each service name ever recorded.
TEST(histogram, series_are_bounded)
{
    struct rp_histograms *histograms = rp_histograms_new();
    for (int i = 0; i < 2000; i++) {
        rp_histograms_record(histograms, ("s" + std::to_string(i)).c_str(),
                             "repeatable", RP_RESULT_ANSWERED, MS);
    }
    std::string text = print(histograms);
    size_t count = 0;
    for (size_t at = 0; (at = text.find("call_ms_count", at)) != text.npos;
         at++) {
        count++;
    }
    EXPECT_LE(count, 513u);
    EXPECT_NE(text.find(R"(service="other")"), std::string::npos);
    rp_histograms_free(histograms);
}

} // namespace
