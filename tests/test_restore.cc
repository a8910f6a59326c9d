#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

extern "C" {
#include "config_task.h"
#include "platform_outage.h"
#include "record_set.h"
#include "revision.h"
#include "snapshot.h"
}

namespace {

constexpr int64_t MS = 1000000;

/* A value that the platform published in an epoch. */
struct published {
    const char *name;
    std::string key;
    uint64_t epoch;
    uint64_t counter;
    std::string fields; // after kind and version
};

std::string
text_of(const published &item)
{
    std::string kind = item.key == "routes" ? "routes" : "target";
    return R"({"schema":3,"kind":")" + kind + R"(","version":)" +
           std::to_string(item.counter) + "," + item.fields + "}";
}

published
routes(const char *name, uint64_t epoch, uint64_t counter, int sequence,
       const char *path_prefix)
{
    return {
        name, "routes", epoch, counter,
        R"("sequence":)" + std::to_string(sequence) +
            R"(,"services":[{"name":"a"}],"routes":[{"name":"r","host":)" +
            R"("h","path_prefix":")" + path_prefix +
            R"(","repeatable":true,"timeout_ms":100,"attempts":1,"services":{"a":1}}])"};
}

published
target(const char *name, uint64_t epoch, uint64_t counter,
       const std::string &position, const char *state = "serving")
{
    return {name, "target/t", epoch, counter,
            R"("service":"a","name":"t","address":"10.0.0.1:80",)" +
                (R"("domain":"d","state":")" + std::string(state)) + "\"" +
                position};
}

published
removal(const char *name, uint64_t epoch, uint64_t counter,
        const std::string &position)
{
    return {name, "target/t", epoch, counter,
            R"("name":"t","retired":true)" + position};
}

std::string
position(int64_t started_ms, int64_t sequence)
{
    return R"(,"started_ms":)" + std::to_string(started_ms) +
           R"(,"sequence":)" + std::to_string(sequence);
}

void
offer(struct rp_record_set *set, const published &item)
{
    std::string text = text_of(item);
    GBytes *value = g_bytes_new(text.data(), text.size());
    struct rp_record_item raw = {const_cast<char *>(item.key.c_str()),
                                 rp_revision_make(item.epoch, item.counter),
                                 value};
    GError *error = nullptr;
    rp_record_set_offer(set, &raw, nullptr, &error);
    EXPECT_EQ(error, nullptr) << text << error->message;
    g_bytes_unref(value);
}

// Guards against epochs that change the order of a platform without them, and
// against a counter that spills into the epoch.
TEST(revision, rises_with_the_epoch)
{
    struct {
        uint64_t epoch;
        uint64_t counter;
    } rising[] = {{0, 0},
                  {0, 41},
                  {0, RP_REVISION_MAX_COUNTER},
                  {1, 0},
                  {1, 41},
                  {2, 33},
                  {RP_REVISION_MAX_EPOCH, RP_REVISION_MAX_COUNTER}};
    uint64_t previous = 0;
    for (const auto &entry : rising) {
        uint64_t revision = rp_revision_make(entry.epoch, entry.counter);
        EXPECT_GE(revision, previous);
        EXPECT_LE(revision, (uint64_t)INT64_MAX);
        EXPECT_EQ(rp_revision_epoch(revision), entry.epoch);
        EXPECT_EQ(rp_revision_counter(revision), entry.counter);
        previous = revision;
    }
}

// Guards against a platform that comes back from an older copy and thereby
// reverts routes, blocks the routes that are published next, or brings back a
// target that drains, has left or has moved; the same in every order of
// arrival.
TEST(restore, values_in_force_after_an_older_copy)
{
    struct {
        const char *what;
        std::vector<published> items;
        const char *in_force;
    } cases[] = {
        {"copy with older routes",
         {routes("new", 1, 41, 12, "/new/"), routes("copy", 2, 33, 10, "/")},
         "new"},
        {"routes published next have a lower counter",
         {routes("new", 1, 41, 12, "/new/"), routes("copy", 2, 33, 10, "/"),
          routes("next", 2, 34, 14, "/next/")},
         "next"},
        {"routes published next have the same counter",
         {routes("new", 1, 41, 12, "/new/"),
          routes("next", 2, 41, 14, "/next/")},
         "next"},
        {"routes published again",
         {routes("new", 1, 41, 12, "/new/"),
          routes("again", 2, 34, 12, "/new/")},
         "again"},
        {"routes of unknown position",
         {routes("new", 1, 41, 0, "/new/"), routes("next", 2, 33, 0, "/")},
         "next"},
        {"target drains, the copy says that it serves",
         {target("drains", 1, 50, position(7, 9), "draining"),
          target("copy", 2, 20, position(7, 1))},
         "drains"},
        {"target was removed, the copy has it",
         {target("serves", 1, 20, position(7, 1)),
          removal("left", 1, 50, position(7, 1)),
          target("copy", 2, 20, position(7, 1))},
         "left"},
        {"removed target reports again",
         {removal("left", 1, 50, position(7, 1)),
          target("copy", 2, 20, position(7, 1)),
          target("reports", 2, 25, position(7, 9))},
         "reports"},
        {"removed target starts again under its name",
         {removal("left", 1, 50, position(7, 9)),
          target("starts", 2, 25, position(8, 1))},
         "starts"},
        {"target starts again, then the copy",
         {target("starts", 1, 50, position(8, 1)),
          target("copy", 2, 20, position(7, 9))},
         "starts"},
        {"removed in the later epoch",
         {target("drains", 1, 50, position(7, 9), "draining"),
          removal("left", 2, 22, position(7, 9))},
         "left"},
        {"removed in the later epoch, by a VM that had an older entry",
         {target("drains", 1, 50, position(7, 9), "draining"),
          removal("left", 2, 22, position(7, 1))},
         "left"},
        {"target of unknown position",
         {target("serves", 1, 50, ""), target("again", 2, 20, "")},
         "again"},
        {"entry of another start in the same epoch",
         {target("first", 1, 20, position(8, 9)),
          target("clock went back", 1, 21, position(7, 1))},
         "clock went back"},
        {"two copies",
         {target("drains", 1, 50, position(7, 9), "draining"),
          target("copy", 2, 20, position(7, 1)),
          target("copy of the copy", 3, 20, position(7, 1))},
         "drains"},
    };
    for (const auto &entry : cases) {
        std::vector<size_t> order(entry.items.size());
        for (size_t i = 0; i < order.size(); i++) {
            order[i] = i;
        }
        struct rp_record_order expected = {};
        for (const auto &item : entry.items) {
            if (std::string(item.name) == entry.in_force) {
                struct rp_record_set *set = rp_record_set_new();
                offer(set, item);
                EXPECT_TRUE(rp_record_set_find(set, item.key.c_str(),
                                               &expected, nullptr));
                rp_record_set_free(set);
            }
        }
        uint64_t digest = 0;
        do {
            struct rp_record_set *set = rp_record_set_new();
            for (size_t i : order) {
                offer(set, entry.items[i]);
            }
            struct rp_record_order in_force = {};
            EXPECT_TRUE(rp_record_set_find(set, entry.items[0].key.c_str(),
                                           &in_force, nullptr));
            EXPECT_EQ(in_force.content, expected.content) << entry.what;
            EXPECT_EQ(in_force.revision, expected.revision) << entry.what;
            digest = digest == 0 ? rp_record_set_digest(set) : digest;
            EXPECT_EQ(rp_record_set_digest(set), digest) << entry.what;
            rp_record_set_free(set);
        } while (std::next_permutation(order.begin(), order.end()));
    }
}

// Guards against a removal that peers cannot compare with an older copy, since
// the platform removes a key without a word on the target's position.
TEST(restore, removal_has_the_position_of_the_target)
{
    struct rp_record_set *set = rp_record_set_new();
    uint64_t revision = rp_revision_make(1, 50);
    EXPECT_EQ(rp_record_set_format_removal(set, "target/t", revision),
              nullptr);
    offer(set, target("serves", 1, 20, position(7, 3)));
    GBytes *value = rp_record_set_format_removal(set, "target/t", revision);
    ASSERT_NE(value, nullptr);
    gsize bytes = 0;
    const char *text =
        static_cast<const char *>(g_bytes_get_data(value, &bytes));
    struct rp_record *record =
        rp_record_parse("target/t", text, bytes, nullptr, nullptr);
    ASSERT_NE(record, nullptr);
    EXPECT_TRUE(record->retired);
    EXPECT_EQ(record->version, 50);
    EXPECT_EQ(record->position.started_ms, 7);
    EXPECT_EQ(record->position.sequence, 3);
    rp_record_free(record);
    g_bytes_unref(value);
    rp_record_set_free(set);
}

class restore_task : public ::testing::Test {
  protected:
    restore_task()
    {
        struct rp_identity identity = {};
        g_strlcpy(identity.id, "a", sizeof(identity.id));
        context = rp_context_new(&identity, 1);
        kernel = rp_kernel_new(context);
        config = rp_config_task_add(kernel, 0, now_ns, nullptr);
    }

    ~restore_task() override
    {
        rp_kernel_free(kernel);
        rp_context_free(context);
    }

    void send(enum rp_message_kind kind, const published &item)
    {
        std::string text = text_of(item);
        GBytes *bytes = g_bytes_new(text.data(), text.size());
        struct rp_record_batch *batch = rp_record_batch_new();
        rp_record_batch_add(batch, item.key.c_str(),
                            rp_revision_make(item.epoch, item.counter), bytes);
        rp_config_records_send(nullptr, rp_kernel_find_task(kernel, "config"),
                               kind, batch, "", 0, true);
        rp_record_batch_unref(batch);
        g_bytes_unref(bytes);
        rp_kernel_run(kernel, now_ns += MS);
    }

    void send_listing(const std::vector<const char *> &keys, uint64_t epoch,
                      uint64_t counter)
    {
        struct rp_config_listing listing = {
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, nullptr),
            rp_revision_make(epoch, counter)};
        for (const char *key : keys) {
            g_hash_table_add(listing.keys, g_strdup(key));
        }
        rp_task_send_owned(nullptr, rp_kernel_find_task(kernel, "config"),
                           RP_MSG_PLATFORM_LISTING, &listing, sizeof(listing),
                           rp_config_listing_release);
        rp_kernel_run(kernel, now_ns += MS);
    }

    bool is_retired()
    {
        bool retired = false;
        EXPECT_TRUE(rp_record_set_find(rp_config_task_set(config), "target/t",
                                       nullptr, &retired));
        return retired;
    }

    std::vector<std::string> older_records()
    {
        std::vector<std::string> details;
        struct rp_event_ring *events = context->events;
        for (uint64_t i = rp_event_ring_first_sequence(events);
             i < rp_event_ring_end_sequence(events); i++)
        {
            const struct rp_event *event = rp_event_ring_get(events, i);
            if (event->kind == RP_EVENT_RECORD_OLDER) {
                details.push_back(event->detail);
            }
        }
        return details;
    }

    struct rp_context *context;
    struct rp_kernel *kernel;
    struct rp_config_task *config;
    int64_t now_ns = 1000 * MS;
};

// Guards against calls to a target that had left when the platform came back
// from a copy in which it serves.
TEST_F(restore_task, copy_does_not_bring_back_a_removed_target)
{
    send(RP_MSG_PLATFORM_RECORDS, target("serves", 1, 20, position(7, 3)));
    send(RP_MSG_PLATFORM_REMOVALS, removal("left", 1, 50, ""));
    EXPECT_TRUE(is_retired());
    for (int i = 0; i < 2; i++) {
        send(RP_MSG_PLATFORM_RECORDS, target("copy", 2, 20, position(7, 3)));
        EXPECT_TRUE(is_retired());
    }
    EXPECT_EQ(older_records(),
              std::vector<std::string>{
                  "revision 20 of epoch 2 from the platform is older than "
                  "revision 50 of epoch 1 in force: number 3 of its writer, "
                  "not after 3"});
    send(RP_MSG_PLATFORM_RECORDS, target("reports", 2, 30, position(7, 4)));
    EXPECT_FALSE(is_retired());
}

// Guards against targets that stay in force although the restored platform
// does not have them, and against a listing of the copy that retires a target
// which was added again after it.
TEST_F(restore_task, listing_of_the_copy_retires_what_is_not_added_again)
{
    for (bool added_again : {true, false}) {
        send(RP_MSG_PLATFORM_RECORDS,
             target("serves", 1, added_again ? 40 : 60, position(7, 3)));
        if (added_again) {
            send(RP_MSG_PLATFORM_RECORDS,
                 target("again", 2, 36, position(7, 4)));
        }
        send_listing({}, added_again ? 2 : 3, 33);
        EXPECT_EQ(is_retired(), !added_again);
    }
}

// Guards against a target of the lost time that comes back to all VMs from one
// that was cut off from them and from the platform since before the restore.
TEST_F(restore_task, listing_retires_what_a_peer_has_of_an_earlier_epoch)
{
    struct {
        const char *what;
        std::vector<const char *> listed;
        published entry; // of the peer
        bool retired;
    } cases[] = {
        {"gone in the copy", {}, target("lost", 1, 40, position(7, 3)), true},
        {"added again since the listing",
         {},
         target("again", 2, 36, position(7, 4)),
         false},
        {"newer than that of the copy",
         {"target/t"},
         target("drains", 1, 41, position(7, 5), "draining"),
         false},
    };
    for (const auto &entry : cases) {
        send_listing(entry.listed, 2, 33);
        send(RP_MSG_CONFIG_RECORDS, entry.entry);
        EXPECT_EQ(is_retired(), entry.retired) << entry.what;
    }
}

// Guards against a gauge that shows an epoch and a counter as one number of
// 13 digits, which matches no revision of the platform.
TEST_F(restore_task, gauges_show_the_revision_of_the_platform)
{
    struct {
        published item;
        uint64_t epoch;
        uint64_t counter;
    } cases[] = {
        {target("serves", 0, 40, position(7, 3)), 0, 40},
        {target("serves", 1, 41, position(7, 4)), 1, 41},
        {target("restored", 2, 20, position(7, 5)), 2, 20},
    };
    for (const auto &entry : cases) {
        send(RP_MSG_PLATFORM_RECORDS, entry.item);
        rp_kernel_run(kernel, now_ns += 100 * MS);
        EXPECT_EQ(
            rp_counter_get(&context->counters, RP_COUNTER_CONFIG_REVISION),
            entry.counter);
        EXPECT_EQ(rp_counter_get(&context->counters, RP_COUNTER_CONFIG_EPOCH),
                  entry.epoch);
    }
}

// Guards against the loss of a target that the restored platform has, by a
// removal of the lost time that was held back: nothing in the platform changes
// until the target drains, so that it would get no calls for good.
TEST_F(restore_task, removal_of_an_earlier_epoch_retires_no_later_entry)
{
    struct {
        const char *what;
        published entry; // in force when the removal arrives
        bool retired;
    } cases[] = {
        {"entry of the copy", target("copy", 2, 20, position(7, 3)), false},
        {"entry written again", target("again", 3, 36, position(7, 4)), false},
        {"entry of its own epoch", target("serves", 4, 40, position(7, 5)),
         true},
    };
    for (const auto &entry : cases) {
        send(RP_MSG_PLATFORM_RECORDS, entry.entry);
        uint64_t epoch =
            entry.retired ? entry.entry.epoch : entry.entry.epoch - 1;
        send(RP_MSG_PLATFORM_REMOVALS, removal("held back", epoch, 50, ""));
        EXPECT_EQ(is_retired(), entry.retired) << entry.what;
    }
}

// Guards against removing targets that the copy lacks before they could report
// again, also when the platform was away too shortly for a failed read.
TEST(restore, removals_wait)
{
    struct rp_platform_outage outage = {};
    rp_platform_outage_record_read(&outage, true, 0);
    rp_platform_outage_record_restore(&outage, 3000 * MS);
    rp_platform_outage_record_read(&outage, true, 3000 * MS);
    EXPECT_EQ(rp_platform_outage_removal_due_ns(&outage, 3000 * MS),
              5000 * MS);
    EXPECT_EQ(rp_platform_outage_removal_due_ns(&outage, 6000 * MS),
              6000 * MS);
}

} // namespace
