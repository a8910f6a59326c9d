#include <gtest/gtest.h>

#include <algorithm>
#include <numeric>
#include <random>
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

struct joined {
    uint64_t digest;
    struct rp_record_order in_force;
    std::vector<std::pair<uint64_t, std::string>> values; // all, by revision
};

std::vector<std::pair<uint64_t, std::string>>
list_values(const struct rp_record_set *set)
{
    std::vector<std::pair<uint64_t, std::string>> values;
    const uint64_t no_buckets[RP_RECORD_SET_BUCKETS] = {};
    GPtrArray *batches = rp_record_set_export(set, no_buckets, 65536);
    for (guint i = 0; i < batches->len; i++) {
        auto batch = static_cast<struct rp_record_batch *>(
            g_ptr_array_index(batches, i));
        for (uint32_t j = 0; j < rp_record_batch_count(batch); j++) {
            auto item = rp_record_batch_get(batch, j);
            gsize bytes;
            auto text = static_cast<const char *>(
                g_bytes_get_data(item->value, &bytes));
            values.emplace_back(item->revision, std::string(text, bytes));
        }
    }
    g_ptr_array_unref(batches);
    std::sort(values.begin(), values.end());
    return values;
}

joined
join(const std::vector<value> &items)
{
    struct rp_record_set *set = rp_record_set_new();
    for (const auto &item : items) {
        offer(set, item, nullptr);
    }
    joined result = {};
    result.digest = rp_record_set_digest(set);
    result.values = list_values(set);
    EXPECT_TRUE(
        rp_record_set_find(set, "target/t", &result.in_force, nullptr));
    rp_record_set_free(set);
    return result;
}

/* Joins a part of the values on each of two VMs, which then send each other
 * the records that differ. */
joined
exchange(const std::vector<value> &items)
{
    struct rp_record_set *sets[2] = {rp_record_set_new(), rp_record_set_new()};
    for (size_t i = 0; i < items.size(); i++) {
        offer(sets[i % 2], items[i], nullptr);
    }
    for (int to : {0, 1}) {
        uint64_t buckets[RP_RECORD_SET_BUCKETS];
        rp_record_set_buckets(sets[to], buckets);
        GPtrArray *batches =
            rp_record_set_export(sets[1 - to], buckets, 65536);
        for (guint i = 0; i < batches->len; i++) {
            auto batch = static_cast<struct rp_record_batch *>(
                g_ptr_array_index(batches, i));
            for (uint32_t j = 0; j < rp_record_batch_count(batch); j++) {
                rp_record_set_offer(sets[to], rp_record_batch_get(batch, j),
                                    nullptr, nullptr);
            }
        }
        g_ptr_array_unref(batches);
    }
    EXPECT_EQ(rp_record_set_digest(sets[0]), rp_record_set_digest(sets[1]));
    joined result = {};
    result.digest = rp_record_set_digest(sets[0]);
    EXPECT_TRUE(
        rp_record_set_find(sets[0], "target/t", &result.in_force, nullptr));
    rp_record_set_free(sets[0]);
    rp_record_set_free(sets[1]);
    return result;
}

bool
is_same(const joined &a, const joined &b)
{
    return a.digest == b.digest && a.in_force.content == b.in_force.content &&
           a.in_force.revision == b.in_force.revision;
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
            joined expected = join({removal});
            EXPECT_TRUE(is_same(join({removal, less_known}), expected))
                << entry.what;
            EXPECT_TRUE(is_same(join({less_known, removal}), expected))
                << entry.what;
            std::vector<value> items = {removal, less_known, copy};
            joined all = join(items);
            EXPECT_EQ(all.in_force.content, expected.in_force.content)
                << entry.what << ", counter " << counter;
            std::vector<size_t> order = {0, 1, 2};
            do {
                joined other =
                    join({items[order[0]], items[order[1]], items[order[2]]});
                EXPECT_TRUE(is_same(other, all))
                    << entry.what << ", counter " << counter;
            } while (std::next_permutation(order.begin(), order.end()));
        }
    }
}

// Guards against a value in force that depends on the order of arrival, so
// that entry VMs which have the same values exchange them without end: any
// values of three epochs, with positions that fall or are unknown.
TEST(record_order, any_values_join_to_the_same_in_every_order)
{
    std::mt19937 random(25);
    auto pick = [&](int count) { return (int)(random() % count); };
    for (int round = 0; round < 1000; round++) {
        std::vector<value> items((size_t)(3 + pick(2)));
        for (auto &item : items) {
            bool is_known = pick(3) > 0;
            item = {(uint64_t)(1 + pick(3)),
                    (uint64_t)(20 + pick(4)),
                    is_known ? 7 + pick(2) : 0,
                    is_known ? 3 + pick(2) : 0,
                    pick(3) == 0,
                    pick(2)};
        }
        joined expected = join(items);
        std::vector<size_t> order(items.size());
        std::iota(order.begin(), order.end(), 0);
        do {
            std::vector<value> permuted;
            for (size_t i : order) {
                permuted.push_back(items[i]);
            }
            joined other = join(permuted);
            ASSERT_TRUE(is_same(other, expected)) << "round " << round << "\n"
                                                  << describe(permuted);
            ASSERT_EQ(other.values, expected.values) << describe(permuted);
        } while (std::next_permutation(order.begin(), order.end()));
        ASSERT_TRUE(is_same(exchange(items), expected)) << describe(items);
    }
}

// Guards against an order of publication that is not total, also for positions
// that fall or are unknown.
TEST(record_order, is_total)
{
    std::vector<value> values;
    for (uint64_t epoch : {1, 2, 3}) {
        for (uint64_t counter : {20, 21}) {
            for (int64_t position : {0, 73, 75, 81}) {
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
    for (size_t i = 0; i < values.size(); i++) {
        for (size_t j = 0; j < values.size(); j++) {
            ASSERT_EQ(compare(i, j), -compare(j, i))
                << describe({values[i], values[j]});
            ASSERT_EQ(compare(i, j) == 0, i == j);
            for (size_t k = 0; k < values.size() && compare(i, j) < 0; k++) {
                ASSERT_FALSE(compare(j, k) < 0 && compare(i, k) >= 0)
                    << describe({values[i], values[j], values[k]});
            }
        }
    }
}

// Guards against VMs that differ for good: one of them has a value that is not
// in force, and its peers, which agree with each other, do not ask it.
TEST(record_order, digest_covers_the_values_in_force)
{
    value entry = {2, 45, 7, 3, false, 0};
    struct {
        const char *what;
        value extra;
        bool same; // digest
    } cases[] = {
        {"removal before the entry", {2, 44, 7, 2, true, 0}, true},
        {"entry of an earlier epoch", {1, 60, 7, 2, false, 0}, true},
        {"removal of an earlier epoch", {1, 60, 7, 2, true, 0}, true},
        {"copy of a later epoch", {3, 20, 7, 1, false, 0}, true},
        {"removal after the entry", {2, 46, 7, 3, true, 0}, false},
        {"later entry", {2, 46, 7, 4, false, 0}, false},
    };
    for (const auto &test : cases) {
        joined more = join({entry, test.extra});
        EXPECT_EQ(more.digest == join({entry}).digest, test.same) << test.what;
        EXPECT_EQ(more.values.size(),
                  test.extra.counter == 46 && !test.extra.retired ? 1u : 2u)
            << test.what;
    }
}

} // namespace
