#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

extern "C" {
#include "error.h"
#include "record_set.h"
}

namespace {

struct published {
    std::string key;
    uint64_t revision;
    std::string value;
};

published
service(int version, uint64_t revision, const char *extra_fields = "")
{
    return {"service/a", revision,
            R"({"schema":2,"kind":"service","name":"a","version":)" +
                std::to_string(version) + extra_fields + "}"};
}

published
targets(const char *estate, int version, uint64_t revision,
        const std::string &list)
{
    return {std::string("targets/a/") + estate, revision,
            std::string(R"({"schema":2,"kind":"targets","service":"a",)") +
                R"("estate":")" + estate + R"(","version":)" +
                std::to_string(version) + R"(,"targets":[)" + list + "]}"};
}

std::string
target(const char *name, const char *address, const char *extra_fields = "")
{
    return std::string(R"({"name":")") + name + R"(","domain":"d",)" +
           R"("address":")" + address + "\"" + extra_fields + "}";
}

published
share(int version, uint64_t revision, const char *shares)
{
    return {"share/a", revision,
            R"({"schema":2,"kind":"share","service":"a","version":)" +
                std::to_string(version) + R"(,"shares":)" + shares + "}"};
}

published
schema_1(int version, uint64_t revision, const char *extra_fields = "")
{
    return {"v1/a", revision,
            R"({"schema":1,"service":"a","prefix":"/old-a","timeout_s":7,)"
            R"("servers":[{"host":"10.0.0.1","port":80,"domain":"d"},)"
            R"({"host":"10.0.0.2","port":80,"domain":"d"}],"version":)" +
                std::to_string(version) + extra_fields + "}"};
}

enum rp_record_verdict
offer(struct rp_record_set *set, const published &item,
      struct rp_record_offer_result *result = nullptr)
{
    GBytes *value = g_bytes_new(item.value.data(), item.value.size());
    struct rp_record_item raw = {const_cast<char *>(item.key.c_str()),
                                 item.revision, value};
    GError *error = nullptr;
    enum rp_record_verdict verdict =
        rp_record_set_offer(set, &raw, result, &error);
    EXPECT_EQ(error != nullptr, verdict == RP_RECORD_REFUSED);
    g_clear_error(&error);
    g_bytes_unref(value);
    return verdict;
}

class record_set : public ::testing::Test {
  protected:
    record_set() : set(rp_record_set_new())
    {
    }

    ~record_set() override
    {
        rp_record_set_free(set);
    }

    struct rp_record_set *set;
};

// Guards against a configuration that reverts because of races between two
// operators, retired records that are offered again, or old versions from a
// late peer.
TEST_F(record_set, join_order)
{
    const char *retired = R"(,"retired":true)";
    struct {
        const char *name;
        published item;
        enum rp_record_verdict verdict;
        bool conflict;
    } cases[] = {
        {"first", service(5, 10), RP_RECORD_ACCEPTED, false},
        {"again", service(5, 10), RP_RECORD_KNOWN, false},
        {"late peer, older version", service(4, 11), RP_RECORD_OLDER, false},
        {"two operators, same version, published later",
         service(5, 12, R"(,"timeout_ms":5)"), RP_RECORD_ACCEPTED, true},
        {"the loser of the race again", service(5, 10), RP_RECORD_OLDER, true},
        {"same content, later revision", service(5, 13, R"(,"timeout_ms":5)"),
         RP_RECORD_RENEWED, false},
        {"same content, earlier revision",
         service(5, 12, R"(,"timeout_ms":5)"), RP_RECORD_OLDER, false},
        {"invalid", service(9, 20, R"(,"timeout_ms":-1)"), RP_RECORD_REFUSED,
         false},
        {"retired", service(7, 21, retired), RP_RECORD_ACCEPTED, false},
        {"retired record comes back", service(6, 22), RP_RECORD_OLDER, false},
        {"published anew", service(8, 23), RP_RECORD_ACCEPTED, false},
    };
    for (const auto &entry : cases) {
        struct rp_record_offer_result result;
        EXPECT_EQ(offer(set, entry.item, &result), entry.verdict)
            << entry.name;
        EXPECT_EQ(result.conflict, entry.conflict) << entry.name;
    }
}

// Guards against entry VMs that end up with different records because the
// platform's answers or their order differed.
TEST_F(record_set, same_result_in_every_order)
{
    std::vector<published> items = {
        service(1, 1),
        service(2, 2),
        service(2, 3, R"(,"timeout_ms":5)"),
        service(2, 3, R"(,"timeout_ms":6)"), // split platform
        service(3, 1, R"(,"retired":true)"),
    };
    std::vector<int> order = {0, 1, 2, 3, 4};
    uint64_t digest = 0;
    do {
        struct rp_record_set *other = rp_record_set_new();
        for (int i : order) {
            offer(other, items[i]);
        }
        digest = digest == 0 ? rp_record_set_digest(other) : digest;
        ASSERT_EQ(rp_record_set_digest(other), digest);
        rp_record_set_free(other);
    } while (std::next_permutation(order.begin(), order.end()));
}

// Guards against invalid records that replace or remove those in force.
TEST_F(record_set, refusal_keeps_records_in_force)
{
    offer(set, service(1, 1));
    uint64_t digest = rp_record_set_digest(set);
    EXPECT_EQ(offer(set, {"service/a", 2, "{"}), RP_RECORD_REFUSED);
    EXPECT_EQ(offer(set, {"service/a", 2, std::string(1 << 21, ' ')}),
              RP_RECORD_REFUSED);
    EXPECT_EQ(rp_record_set_digest(set), digest);
    EXPECT_EQ(rp_record_set_count(set), 1u);
}

// Guards against a set that grows without bound, and against a full set that
// refuses new versions of its keys.
TEST_F(record_set, bounds)
{
    for (int i = 0; i <= RP_RECORD_SET_MAX_KEYS; i++) {
        std::string name = "s" + std::to_string(i);
        published item = {"service/" + name, 1,
                          R"({"schema":2,"kind":"service","version":1,)"
                          R"("name":")" +
                              name + "\"}"};
        EXPECT_EQ(offer(set, item), i < RP_RECORD_SET_MAX_KEYS
                                        ? RP_RECORD_ACCEPTED
                                        : RP_RECORD_REFUSED);
    }
    published retire = {"service/s0", 2,
                        R"({"schema":2,"kind":"service","version":2,)"
                        R"("name":"s0","retired":true})"};
    EXPECT_EQ(offer(set, retire), RP_RECORD_ACCEPTED);
    EXPECT_EQ(rp_record_set_retired_count(set), 1u);
    std::string filler(RP_RECORD_MAX_BYTES - 200, 'x');
    std::string extra_fields = R"(,"comment":")" + filler + "\"";
    int accepted = 0;
    for (int i = 1; i <= 30; i++) {
        std::string name = "s" + std::to_string(i);
        published item = {"service/" + name, 3,
                          R"({"schema":2,"kind":"service","version":2,)"
                          R"("name":")" +
                              name + "\"" + extra_fields + "}"};
        accepted += offer(set, item) == RP_RECORD_ACCEPTED ? 1 : 0;
    }
    EXPECT_EQ(accepted, 23);
    EXPECT_LE(rp_record_set_bytes(set), RP_RECORD_SET_MAX_BYTES);
}

// Guards against peers whose records stay different, and against an export of
// all records when few differ.
TEST_F(record_set, export_repairs_a_peer)
{
    struct rp_record_set *peer = rp_record_set_new();
    for (int i = 0; i < 300; i++) {
        std::string name = "s" + std::to_string(i);
        published item = {"service/" + name, 1,
                          R"({"schema":2,"kind":"service","version":1,)"
                          R"("name":")" +
                              name + "\"}"};
        offer(set, item);
        if (i != 17) {
            offer(peer, item);
        }
    }
    uint64_t buckets[RP_RECORD_SET_BUCKETS];
    rp_record_set_buckets(peer, buckets);
    GPtrArray *batches = rp_record_set_export(set, buckets, 4096);
    uint32_t sent = 0;
    for (guint i = 0; i < batches->len; i++) {
        GByteArray *bytes = g_byte_array_new();
        rp_record_batch_encode(
            static_cast<struct rp_record_batch *>(batches->pdata[i]), bytes);
        EXPECT_LE(bytes->len, 4096u + 16);
        struct rp_record_batch *batch =
            rp_record_batch_decode(bytes->data, bytes->len, nullptr);
        ASSERT_NE(batch, nullptr);
        for (uint32_t j = 0; j < rp_record_batch_count(batch); j++) {
            rp_record_set_offer(peer, rp_record_batch_get(batch, j), nullptr,
                                nullptr);
            sent++;
        }
        EXPECT_EQ(rp_record_batch_decode(bytes->data, bytes->len - 1, nullptr),
                  nullptr);
        rp_record_batch_unref(batch);
        g_byte_array_unref(bytes);
    }
    EXPECT_EQ(rp_record_set_digest(peer), rp_record_set_digest(set));
    EXPECT_LT(sent, 20u);
    g_ptr_array_unref(batches);
    rp_record_set_free(peer);
}

// Guards against a union of schema 1 and schema 2 records that loses targets
// or settings of one of them, counts a target twice, or gives a share to an
// estate without usable targets.
TEST_F(record_set, union_of_both_schemas)
{
    std::string one = target("n1", "10.0.1.1:80");
    std::string moved = target("m1", "10.0.0.1:80", R"(,"state":"draining")");
    const char *retired = R"(,"retired":true)";
    struct {
        const char *name;
        std::vector<published> items;
        const char *expected;
    } cases[] = {
        {"schema 1 alone", {schema_1(1, 1)}, "/old-a 7000 old=1000 2/0"},
        {"schema 2 alone",
         {service(1, 1), targets("new", 1, 2, one)},
         "/a 10000 new=1000 1/0"},
        {"share by slots",
         {schema_1(1, 1), targets("new", 1, 2, one)},
         "/old-a 7000 old=667 new=333 3/0"},
        {"schema 2 overrides field by field",
         {schema_1(1, 1), service(1, 2, R"(,"timeout_ms":5)")},
         "/old-a 5 old=1000 2/0"},
        {"one address in both schemas",
         {schema_1(1, 1), targets("new", 1, 2, moved)},
         "/old-a 7000 new=0 old=1000 2/1"},
        {"share record",
         {schema_1(1, 1), targets("new", 1, 2, one),
          share(1, 3, R"({"old":900,"new":100})")},
         "/old-a 7000 old=900 new=100 3/0"},
        {"share of an estate that has no targets yet",
         {schema_1(1, 1), share(1, 3, R"({"new":1000})")},
         "/old-a 7000 old=1000 2/0 warned"},
        {"share of an estate whose targets all drain",
         {schema_1(1, 1),
          targets("new", 1, 2,
                  target("n1", "10.0.1.1:80", R"(,"state":"draining")")),
          share(1, 3, R"({"old":100,"new":900})")},
         "/old-a 7000 old=1000 new=0 3/1"},
        {"share when the old estate is retired",
         {schema_1(2, 4, retired), service(1, 1), targets("new", 1, 2, one),
          share(1, 3, R"({"old":900,"new":100})")},
         "/a 10000 new=1000 1/0"},
        {"targets without a service",
         {targets("new", 1, 2, one)},
         "none warned"},
    };
    for (const auto &entry : cases) {
        struct rp_record_set *built = rp_record_set_new();
        for (const auto &item : entry.items) {
            EXPECT_EQ(offer(built, item), RP_RECORD_ACCEPTED) << entry.name;
        }
        GPtrArray *warnings = g_ptr_array_new_with_free_func(g_free);
        struct rp_snapshot *snapshot =
            rp_record_set_build(built, nullptr, warnings);
        const struct rp_service *a = rp_snapshot_find_service(snapshot, "a");
        std::string text = a == nullptr ? "none" : a->path_prefix;
        if (a != nullptr) {
            text += " " + std::to_string(a->timeout_ms);
            for (uint32_t i = 0; i < a->estate_count; i++) {
                text += std::string(" ") + a->estates[i].name + "=" +
                        std::to_string(a->estates[i].share_permille);
            }
            uint32_t draining = 0;
            for (uint32_t i = 0; i < a->target_count; i++) {
                draining += a->targets[i].draining ? 1 : 0;
            }
            text += " " + std::to_string(a->target_count) + "/" +
                    std::to_string(draining);
        }
        text += warnings->len > 0 ? " warned" : "";
        EXPECT_EQ(text, entry.expected) << entry.name;
        EXPECT_EQ(rp_snapshot_digest(snapshot), rp_record_set_digest(built));
        g_ptr_array_unref(warnings);
        rp_snapshot_unref(snapshot);
        rp_record_set_free(built);
    }
}

// Guards against new work for a target that is leaving per the list of VMs,
// and against a wrong list that drains all targets of a service.
TEST_F(record_set, vm_list_drains_targets)
{
    struct {
        std::vector<const char *> leaving;
        std::vector<bool> draining; // 10.0.0.1, 10.0.0.2
    } cases[] = {
        {{}, {false, false}},
        {{"10.0.0.1:80"}, {true, false}},
        {{"10.0.0.1:80", "10.0.0.9:80"}, {true, false}},
        {{"10.0.0.1:80", "10.0.0.2:80"}, {false, false}},
    };
    offer(set, schema_1(1, 1));
    for (const auto &entry : cases) {
        GHashTable *leaving = g_hash_table_new(g_str_hash, g_str_equal);
        for (const char *address : entry.leaving) {
            g_hash_table_add(leaving, const_cast<char *>(address));
        }
        struct rp_snapshot *snapshot =
            rp_record_set_build(set, leaving, nullptr);
        const struct rp_service *a = rp_snapshot_get_service(snapshot, 0);
        for (uint32_t i = 0; i < a->target_count; i++) {
            EXPECT_EQ(a->targets[i].draining, entry.draining[i])
                << a->targets[i].address << entry.leaving.size();
        }
        rp_snapshot_unref(snapshot);
        g_hash_table_unref(leaving);
    }
}

} // namespace
