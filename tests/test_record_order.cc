#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

extern "C" {
#include "record_set.h"
#include "revision.h"
}

namespace {

/* A value of the key "target/t". Its start is 0 when unknown. */
struct value {
    uint64_t epoch;
    uint64_t counter;
    int64_t started_ms;
    int64_t sequence;
    bool retired;
    int content; // tells values apart that are equal otherwise
};

std::string
text_of(const value &item)
{
    std::string text = R"({"schema":3,"kind":"target","name":"t","version":)" +
                       std::to_string(item.counter) + R"(,"comment":")" +
                       std::to_string(item.content) + '"';
    if (item.started_ms > 0) {
        text += R"(,"started_ms":)" + std::to_string(item.started_ms) +
                R"(,"sequence":)" + std::to_string(item.sequence);
    }
    return text + (item.retired ? R"(,"retired":true})"
                                : R"(,"service":"a","address":"10.0.0.1:80",)"
                                  R"("domain":"d"})");
}

void
offer(struct rp_record_set *set, const value &item,
      struct rp_record_order *order)
{
    std::string text = text_of(item);
    GBytes *bytes = g_bytes_new(text.data(), text.size());
    struct rp_record_item raw = {const_cast<char *>("target/t"),
                                 rp_revision_make(item.epoch, item.counter),
                                 bytes};
    struct rp_record_offer_result result;
    GError *error = nullptr;
    rp_record_set_offer(set, &raw, &result, &error);
    EXPECT_EQ(error, nullptr) << text << error->message;
    if (order != nullptr) {
        *order = result.offered;
    }
    g_bytes_unref(bytes);
}

uint64_t
join(const std::vector<value> &items)
{
    struct rp_record_set *set = rp_record_set_new();
    for (const auto &item : items) {
        offer(set, item, nullptr);
    }
    uint64_t digest = rp_record_set_digest(set);
    rp_record_set_free(set);
    return digest;
}

std::string
describe(const std::vector<value> &items)
{
    std::string text;
    for (const auto &item : items) {
        text += "epoch " + std::to_string(item.epoch) + ": " + text_of(item) +
                "\n";
    }
    return text;
}

// Guards against a removal that VMs know with different positions, since some
// of them had an older entry of the target or none: whether a copy of the
// platform brings the target back must not depend on the digests, nor on the
// order of arrival.
TEST(record_order, removal_with_the_greatest_position_is_in_force)
{
    struct {
        const char *what;
        value less_known; // the same removal as made by another VM
    } cases[] = {
        {"VM without the target", {1, 0, 0, 0, true, 0}},
        {"VM with an older entry", {1, 0, 7, 1, true, 0}},
        {"VM with an entry of an earlier start", {1, 0, 6, 9, true, 0}},
    };
    for (const auto &entry : cases) {
        /* Several counters, since one digest may be right by chance. */
        for (uint64_t counter = 50; counter < 58; counter++) {
            value removal = {1, counter, 7, 3, true, 0};
            value less_known = entry.less_known;
            less_known.counter = counter;
            value copy = {2, 20, 7, 3, false, 0};
            uint64_t expected = join({removal});
            EXPECT_EQ(join({removal, less_known}), expected) << entry.what;
            EXPECT_EQ(join({less_known, removal}), expected) << entry.what;
            std::vector<value> items = {removal, less_known, copy};
            std::vector<size_t> order = {0, 1, 2};
            do {
                EXPECT_EQ(
                    join({items[order[0]], items[order[1]], items[order[2]]}),
                    expected)
                    << entry.what << ", counter " << counter;
            } while (std::next_permutation(order.begin(), order.end()));
        }
    }
}

bool
is_before(const value &a, const value &b)
{
    return a.started_ms != b.started_ms ? a.started_ms < b.started_ms
                                        : a.sequence < b.sequence;
}

/* Returns whether two values can be of one target whose numbers rise: within
 * an epoch with the platform's counter, and past those of a removed target
 * before it is added again; and whether a removal in a later epoch was made
 * by a VM that knew the target's last entry. */
bool
have_rising_numbers(const value &a, const value &b)
{
    if (a.epoch > b.epoch || (a.epoch == b.epoch && a.counter > b.counter)) {
        return have_rising_numbers(b, a);
    }
    if (a.epoch != b.epoch) {
        return !b.retired || !is_before(b, a);
    }
    return a.counter == b.counter || is_before(a, b) ||
           (!is_before(b, a) && !a.retired);
}

// Guards against an order that is not transitive, so that the value in force
// depends on the order of arrival: any three values, of up to three epochs, of
// a target whose numbers rise. Numbers that fall within an epoch, and unknown
// ones among known ones, are not covered: for them the order has cycles.
TEST(record_order, is_total_for_rising_numbers)
{
    std::vector<value> values;
    for (uint64_t epoch : {1, 2, 3}) {
        for (uint64_t counter : {20, 21}) {
            for (int64_t position : {73, 75, 81}) {
                for (bool retired : {false, true}) {
                    for (int content : {0, 1}) {
                        values.push_back({epoch, counter, position / 10,
                                          position % 10, retired, content});
                    }
                }
            }
        }
    }
    std::vector<struct rp_record_order> orders(values.size());
    for (size_t i = 0; i < values.size(); i++) {
        struct rp_record_set *set = rp_record_set_new();
        offer(set, values[i], &orders[i]);
        rp_record_set_free(set);
    }
    auto compare = [&](size_t a, size_t b) {
        return rp_record_order_compare(&orders[a], &orders[b]);
    };
    auto rising = [&](size_t a, size_t b) {
        return have_rising_numbers(values[a], values[b]);
    };
    size_t triples = 0;
    for (size_t i = 0; i < values.size(); i++) {
        for (size_t j = 0; j < values.size(); j++) {
            ASSERT_EQ(compare(i, j), -compare(j, i))
                << describe({values[i], values[j]});
            ASSERT_EQ(compare(i, j) == 0, i == j);
            for (size_t k = 0; k < values.size() && rising(i, j); k++) {
                if (!rising(j, k) || !rising(i, k)) {
                    continue;
                }
                triples++;
                bool is_cycle = compare(i, j) < 0 && compare(j, k) < 0 &&
                                compare(i, k) >= 0;
                ASSERT_FALSE(is_cycle)
                    << describe({values[i], values[j], values[k]});
                /* The sets follow the order; joining all would be slow. */
                if (triples % 97 == 0) {
                    std::vector<value> items = {values[i], values[j],
                                                values[k]};
                    uint64_t expected = join(items);
                    EXPECT_EQ(join({items[0], items[2], items[1]}), expected);
                    EXPECT_EQ(join({items[1], items[0], items[2]}), expected);
                    EXPECT_EQ(join({items[1], items[2], items[0]}), expected);
                    EXPECT_EQ(join({items[2], items[0], items[1]}), expected);
                    EXPECT_EQ(join({items[2], items[1], items[0]}), expected);
                }
            }
        }
    }
    EXPECT_GT(triples, 10000u);
}

} // namespace
