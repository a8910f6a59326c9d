#include <gtest/gtest.h>

#include <algorithm>
#include <set>
#include <string>
#include <vector>

extern "C" {
#include "byte_budget.h"
#include "hint_pool.h"
#include "member.h"
#include "neighbor.h"
}

namespace {

constexpr int64_t MS = 1000000;
constexpr int64_t S = 1000 * MS;

// Guards against a member that some others cannot reach, and against a
// degree that grows faster than the logarithm of the fleet.
TEST(neighbor, circulant_graph)
{
    struct {
        uint32_t count;
        uint32_t degree;
    } cases[] = {{1, 0}, {2, 1}, {3, 2}, {4, 2}, {14, 4}, {50, 6}, {4096, 12}};
    for (const auto &entry : cases) {
        uint32_t neighbors[RP_NEIGHBOR_LIMIT];
        std::set<uint32_t> reached = {0};
        ASSERT_EQ(rp_neighbor_degree(entry.count), entry.degree);
        for (uint32_t step = 0; step < entry.degree; step++) {
            for (uint32_t from : std::set<uint32_t>(reached)) {
                uint32_t found =
                    rp_neighbor_select(entry.count, from, neighbors);
                ASSERT_EQ(found, entry.degree);
                for (uint32_t i = 0; i < found; i++) {
                    ASSERT_TRUE(
                        rp_neighbor_sends_to(entry.count, from, neighbors[i]));
                    reached.insert(neighbors[i]);
                }
            }
        }
        EXPECT_EQ(reached.size(), entry.count);
    }
}

// Guards against pushes that reach a member twice or not at all, in either
// direction and from any origin, and against an origin that sends to all.
TEST(neighbor, branches_reach_each_member_once)
{
    for (uint32_t count : {1u, 2u, 3u, 14u, 98u, 129u, 300u}) {
        for (bool backward : {false, true}) {
            uint32_t origin = count / 3;
            std::vector<int> copies(count);
            std::vector<std::pair<uint32_t, uint32_t>> to_do = {
                {origin, 4096}};
            while (!to_do.empty()) {
                auto [from, span] = to_do.back();
                to_do.pop_back();
                struct rp_neighbor_branch branches[RP_NEIGHBOR_LIMIT];
                uint32_t found = rp_neighbor_branches(count, from, span,
                                                      backward, branches);
                ASSERT_LE(found, rp_neighbor_degree(count));
                for (uint32_t i = 0; i < found; i++) {
                    copies[branches[i].position]++;
                    to_do.push_back({branches[i].position, branches[i].span});
                }
            }
            copies[origin]++;
            EXPECT_EQ(copies, std::vector<int>(count, 1)) << count;
        }
    }
}

class member : public ::testing::Test {
  protected:
    member()
    {
        struct rp_identity identity = {};
        g_strlcpy(identity.id, "self", sizeof(identity.id));
        g_strlcpy(identity.peer_address, "10.0.0.1:1", 64);
        identity.incarnation = 5;
        random = g_rand_new_with_seed(1);
        table = rp_member_table_new(&identity, random, now_ns);
    }

    ~member() override
    {
        rp_member_table_free(table);
        g_rand_free(random);
    }

    static struct rp_member_update said(const char *id, uint64_t incarnation,
                                        uint32_t refutation,
                                        enum rp_member_state state,
                                        uint32_t accuser = 0)
    {
        struct rp_member_update update = {};
        g_strlcpy(update.info.id, id, sizeof(update.info.id));
        g_snprintf(update.info.peer_address, 64, "10.0.0.9:%s", id);
        update.info.incarnation = incarnation;
        update.info.refutation = refutation;
        update.info.state = state;
        update.info.version = 1;
        update.has_profile = true;
        update.suspector_hash = accuser;
        return update;
    }

    void apply(const struct rp_member_update &update)
    {
        rp_member_apply(table, &update, now_ns);
    }

    enum rp_member_state state(const char *id)
    {
        return rp_member_find(table, id)->state;
    }

    /* Lets time pass; members of heard_ids are heard in each interval. */
    void pass(int64_t duration_ns, const std::vector<const char *> &heard_ids,
              uint64_t incarnation = 1)
    {
        for (int64_t end_ns = now_ns + duration_ns; now_ns < end_ns;) {
            now_ns += RP_MEMBER_HEARTBEAT_NS;
            for (const char *id : heard_ids) {
                rp_member_record_liveness(table, id, incarnation, now_ns);
            }
            rp_member_tick(table, now_ns);
            struct rp_member_probe probe;
            while (rp_member_next_probe(table, now_ns, &probe)) {
                probed.push_back(probe.id);
                rp_member_record_helper_ack(table, probe.id);
            }
        }
    }

    int64_t now_ns = 100 * S;
    GRand *random;
    struct rp_member_table *table;
    std::vector<std::string> probed;
};

// Guards against views that depend on the order in which statements arrive,
// and against old ones undoing newer ones.
TEST_F(member, updates_merge_in_any_order)
{
    struct {
        const char *name;
        struct rp_member_update first;
        struct rp_member_update second;
        enum rp_member_state expected;
    } cases[] = {
        {"suspect beats alive", said("a", 1, 0, RP_MEMBER_ALIVE),
         said("a", 1, 0, RP_MEMBER_SUSPECT), RP_MEMBER_SUSPECT},
        {"refutation beats suspect", said("b", 1, 0, RP_MEMBER_SUSPECT),
         said("b", 1, 1, RP_MEMBER_ALIVE), RP_MEMBER_ALIVE},
        {"later process beats all", said("c", 1, 9, RP_MEMBER_SUSPECT),
         said("c", 2, 0, RP_MEMBER_ALIVE), RP_MEMBER_ALIVE},
        {"leaving beats alive", said("d", 1, 1, RP_MEMBER_ALIVE),
         said("d", 1, 1, RP_MEMBER_LEAVING), RP_MEMBER_LEAVING},
        {"a rumoured death is a suspicion first",
         said("e", 1, 0, RP_MEMBER_ALIVE), said("e", 1, 0, RP_MEMBER_DEAD),
         RP_MEMBER_SUSPECT},
    };
    for (const auto &entry : cases) {
        apply(entry.first);
        apply(entry.second);
        apply(entry.first); // late
        EXPECT_EQ(state(entry.first.info.id), entry.expected) << entry.name;
    }
    apply(said("unknown", 1, 0, RP_MEMBER_DEAD));
    EXPECT_EQ(rp_member_find(table, "unknown"), nullptr);
}

// Guards against a VM given up by mistake staying given up.
TEST_F(member, suspicion_of_self_is_refuted)
{
    apply(said("self", 5, 0, RP_MEMBER_SUSPECT));
    EXPECT_EQ(rp_member_self(table)->refutation, 1u);
    apply(said("self", 5, 0, RP_MEMBER_DEAD)); // late
    EXPECT_EQ(rp_member_self(table)->refutation, 1u);
    apply(said("self", 4, 7, RP_MEMBER_DEAD)); // of an earlier process
    EXPECT_EQ(rp_member_self(table)->refutation, 1u);
    rp_member_leave(table);
    apply(said("self", 5, 2, RP_MEMBER_DEAD));
    EXPECT_EQ(rp_member_self(table)->state, RP_MEMBER_LEAVING);
    EXPECT_EQ(rp_member_self(table)->refutation, 3u);
}

// Guards against removal without suspicion, and against one that never comes.
TEST_F(member, silence_probe_suspect_dead)
{
    for (const char *id : {"a", "b", "c"}) {
        apply(said(id, 1, 0, RP_MEMBER_ALIVE));
    }
    pass(3 * S, {"b", "c", "a"});
    EXPECT_TRUE(probed.empty());
    pass(1500 * MS, {"b", "c"});
    EXPECT_TRUE(probed.empty());
    pass(500 * MS, {"b", "c"});
    EXPECT_EQ(probed, std::vector<std::string>{"a"});
    EXPECT_EQ(state("a"), RP_MEMBER_ALIVE);
    pass(500 * MS, {"b", "c"});
    EXPECT_EQ(state("a"), RP_MEMBER_SUSPECT);
    // Without confirmation it takes three times as long.
    pass(4 * S, {"b", "c"});
    EXPECT_EQ(state("a"), RP_MEMBER_SUSPECT);
    struct rp_member_update update = said("a", 1, 0, RP_MEMBER_SUSPECT, 1);
    apply(update);
    update.suspector_hash = 2;
    apply(update);
    pass(500 * MS, {"b", "c"});
    EXPECT_EQ(state("a"), RP_MEMBER_DEAD);
    EXPECT_EQ(state("b"), RP_MEMBER_ALIVE);
}

// Guards against a probe's answer being ignored.
TEST_F(member, answered_probe_prevents_suspicion)
{
    for (const char *id : {"a", "b"}) {
        apply(said(id, 1, 0, RP_MEMBER_ALIVE));
    }
    while (probed.empty()) {
        pass(500 * MS, {"b"});
    }
    rp_member_record_liveness(table, "a", 1, now_ns);
    pass(1500 * MS, {"b"});
    EXPECT_EQ(state("a"), RP_MEMBER_ALIVE);
}

// Guards against a VM that was paused itself taking all others for dead.
TEST_F(member, pause_causes_no_suspicion)
{
    for (const char *id : {"a", "b", "c"}) {
        apply(said(id, 1, 0, RP_MEMBER_ALIVE));
    }
    apply(said("d", 1, 0, RP_MEMBER_SUSPECT));
    pass(2 * S, {"a", "b", "c", "d"});
    now_ns += 20 * S;
    rp_member_record_pause(table, 20 * S, now_ns);
    probed.clear();
    struct rp_member_update update;
    rp_member_begin_updates(table, "", false);
    while (rp_member_next_update(table, now_ns, &update)) {
        EXPECT_STRNE(update.info.id, "d") << "spread before it was re-checked";
    }
    struct rp_member_probe probe;
    ASSERT_TRUE(rp_member_next_probe(table, now_ns, &probe));
    EXPECT_STREQ(probe.id, "d");
    rp_member_record_helper_ack(table, "d");
    rp_member_tick(table, now_ns);
    pass(S, {"a", "b", "c"});
    for (const char *id : {"a", "b", "c"}) {
        EXPECT_EQ(state(id), RP_MEMBER_ALIVE);
    }
    // It bears silence twice as long, since it may be its own.
    EXPECT_EQ(rp_member_local_health(table), 1u);
    probed.clear();
    pass(2500 * MS, {"b", "c"});
    EXPECT_EQ(std::count(probed.begin(), probed.end(), "a"), 0);
}

// Guards against a slow VM that goes from suspect to alive and back.
TEST_F(member, a_slow_member_does_not_flap)
{
    for (const char *id : {"a", "b"}) {
        apply(said(id, 1, 0, RP_MEMBER_ALIVE));
    }
    int suspicions = 0;
    uint32_t refutation = 0;
    for (int i = 0; i < 30; i++) {
        pass(4 * S, {"b"}); // one sign of life in 4 s
        rp_member_record_liveness(table, "a", 1, now_ns);
        if (state("a") != RP_MEMBER_ALIVE) {
            suspicions++;
            apply(said("a", 1, ++refutation, RP_MEMBER_ALIVE));
        }
    }
    EXPECT_LE(suspicions, 2) << "in 2 minutes";
}

// Guards against an accusation with older evidence than one's own view
// taking a member out, as those of the other side do after a partition.
TEST_F(member, fresher_evidence_wins)
{
    struct {
        uint32_t accuser_age_ms;
        enum rp_member_state expected;
    } cases[] = {{60000, RP_MEMBER_ALIVE}, {0, RP_MEMBER_SUSPECT}};
    apply(said("a", 1, 0, RP_MEMBER_ALIVE));
    for (const auto &entry : cases) {
        struct rp_member_update update = said("a", 1, 0, RP_MEMBER_DEAD);
        update.age_ms = entry.accuser_age_ms;
        apply(update);
        EXPECT_EQ(state("a"), entry.expected) << entry.accuser_age_ms;
    }
}

// Guards against a load that is older than the one known, and against
// statements without a profile erasing it.
TEST_F(member, profiles_and_loads)
{
    struct rp_member_update update = said("a", 1, 0, RP_MEMBER_ALIVE);
    update.info.load_permille = 100;
    apply(update);
    now_ns += 10 * S;
    update.has_profile = false;
    update.info.peer_address[0] = '\0';
    update.info.load_permille = 300;
    apply(update);
    update.age_ms = 5000;
    update.info.load_permille = 200;
    apply(update);
    EXPECT_EQ(rp_member_find(table, "a")->load_permille, 300u);
    EXPECT_STREQ(rp_member_find(table, "a")->peer_address, "10.0.0.9:a");
}

// Guards against a table that grows without bound.
TEST_F(member, table_is_bounded)
{
    for (uint32_t i = 0; i < RP_MEMBER_LIMIT + 10; i++) {
        apply(said(std::to_string(i).c_str(), 1, 0, RP_MEMBER_ALIVE));
    }
    EXPECT_EQ(rp_member_count(table, RP_MEMBER_ALIVE),
              (uint32_t)RP_MEMBER_LIMIT);
}

// Guards against a view that changes under its readers.
TEST_F(member, views_are_immutable)
{
    apply(said("b", 1, 0, RP_MEMBER_ALIVE));
    apply(said("a", 1, 0, RP_MEMBER_ALIVE));
    struct rp_member_view *view = rp_member_view_new(table);
    apply(said("a", 1, 0, RP_MEMBER_SUSPECT));
    ASSERT_EQ(view->count, 3u);
    EXPECT_EQ(rp_member_view_find(view, "a")->info.state, RP_MEMBER_ALIVE);
    EXPECT_TRUE(rp_member_view_find(view, "self")->is_self);
    EXPECT_EQ(rp_member_view_find(view, "c"), nullptr);
    EXPECT_NE(view->digest, rp_member_digest(table));
    rp_member_view_unref(view);
}

// Guards against spending beyond the budget, and against records that are
// larger than the burst never being sent.
TEST(byte_budget, burst_rate_and_debt)
{
    struct rp_byte_budget budget;
    rp_byte_budget_init(&budget, 1000, 10000, 0);
    EXPECT_TRUE(rp_byte_budget_consume(&budget, 5000, 0));
    EXPECT_TRUE(rp_byte_budget_consume(&budget, 5000, 0));
    EXPECT_FALSE(rp_byte_budget_consume(&budget, 1, 0));
    EXPECT_FALSE(rp_byte_budget_consume(&budget, 1001, S));
    EXPECT_TRUE(rp_byte_budget_consume(&budget, 1000, S));
    EXPECT_FALSE(rp_byte_budget_consume(&budget, 50000, 2 * S));
    EXPECT_TRUE(rp_byte_budget_consume(&budget, 50000, 7 * S));
    EXPECT_FALSE(rp_byte_budget_consume(&budget, 1, 50 * S));
    EXPECT_TRUE(rp_byte_budget_consume(&budget, 1, 53 * S));
    int64_t taken = 0;
    for (int64_t now_ns = 1000 * S; now_ns < 1100 * S; now_ns += 10 * MS) {
        taken += rp_byte_budget_consume(&budget, 100, now_ns) ? 100 : 0;
    }
    EXPECT_LE(taken, 100 * 1000 + 10000);
    EXPECT_GE(taken, 100 * 1000);
}

// Guards against hints that go round for ever, and against old ones being
// taken for news.
TEST(hint_pool, newest_wins_and_old_expire)
{
    struct rp_hint_pool *pool = rp_hint_pool_new();
    struct rp_target_hint hint = {};
    g_strlcpy(hint.address, "10.1.0.1:80", sizeof(hint.address));
    struct {
        int64_t seen_ms;
        bool news;
    } cases[] = {{8000, true},  {8000, false}, {7000, false},
                 {8100, false}, {8300, true},  {4000, false}};
    for (const auto &entry : cases) {
        hint.observed_ns = entry.seen_ms * MS;
        EXPECT_EQ(rp_hint_pool_offer(pool, &hint, 10 * S), entry.news)
            << entry.seen_ms;
    }
    int sent = 0;
    for (int i = 0; i < 10; i++) {
        rp_hint_pool_begin(pool, 4, 10 * S);
        sent += rp_hint_pool_next(pool, &hint);
    }
    EXPECT_EQ(sent, 4);
    rp_hint_pool_begin(pool, 100, 14 * S);
    EXPECT_EQ(rp_hint_pool_count(pool), 0u);
    rp_hint_pool_free(pool);
}

} // namespace
