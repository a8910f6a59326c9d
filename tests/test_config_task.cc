#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

extern "C" {
#include "config_task.h"
#include "invariant.h"
#include "snapshot.h"
#include "target_hint.h"
#include "vm_list.h"
}

namespace {

constexpr int64_t MS = 1000000;

/* An entry VM with the config task and a stand-in for gossip that carries
 * messages to the other VMs of the test at once. */
struct vm {
    std::string id;
    struct rp_context *context;
    struct rp_kernel *kernel;
    struct rp_config_task *config;
    struct rp_task *gossip;
    std::vector<std::unique_ptr<vm>> *fleet;
    struct rp_snapshot *snapshot = nullptr;
    bool ready = false;
    bool cut = false; // no messages to and from this VM
    uint32_t spread = 0;
    uint32_t snapshots = 0;         // that were put in force
    std::vector<std::string> hints; // addresses of draining targets
};

vm *
find(std::vector<std::unique_ptr<vm>> *fleet, const char *id)
{
    for (auto &other : *fleet) {
        if (other->id == id) {
            return other.get();
        }
    }
    return nullptr;
}

void
carry(vm *from, vm *to, enum rp_message_kind kind,
      const struct rp_config_records *records)
{
    if (to == nullptr || from->cut || to->cut) {
        return;
    }
    rp_config_records_send(
        to->gossip, rp_kernel_find_task(to->kernel, "config"), kind,
        records->batch, from->id.c_str(), records->part, records->last);
}

void
on_gossip_message(struct rp_task *, const struct rp_message *message, int64_t,
                  void *data)
{
    vm *self = static_cast<vm *>(data);
    if (message->kind == RP_MSG_SNAPSHOT) {
        auto body =
            static_cast<const struct rp_snapshot_message *>(message->body);
        rp_snapshot_unref(self->snapshot);
        self->snapshot = rp_snapshot_ref(body->snapshot);
        self->ready = body->ready;
        self->snapshots++;
    }
    if (message->kind == RP_MSG_TARGET_HINT) {
        auto body = static_cast<const struct rp_target_hint *>(message->body);
        EXPECT_EQ(body->kind, RP_HINT_DRAINING);
        self->hints.push_back(body->address);
    }
    if (message->kind == RP_MSG_CONFIG_PUSH) {
        auto body =
            static_cast<const struct rp_config_records *>(message->body);
        self->spread++;
        for (auto &other : *self->fleet) {
            if (other.get() != self && other->id != body->peer) {
                carry(self, other.get(), RP_MSG_CONFIG_RECORDS, body);
            }
        }
    }
    if (message->kind == RP_MSG_CONFIG_RECORDS) {
        auto body =
            static_cast<const struct rp_config_records *>(message->body);
        carry(self, find(self->fleet, body->peer), RP_MSG_CONFIG_RECORDS,
              body);
    }
    if (message->kind == RP_MSG_CONFIG_SYNC_REQUEST) {
        struct rp_config_sync_request want =
            *static_cast<const struct rp_config_sync_request *>(message->body);
        vm *to = find(self->fleet, want.peer);
        if (to != nullptr && !to->cut && !self->cut) {
            g_strlcpy(want.peer, self->id.c_str(), sizeof(want.peer));
            rp_task_send(to->gossip, rp_kernel_find_task(to->kernel, "config"),
                         RP_MSG_CONFIG_SYNC_REQUEST, &want, sizeof(want));
        }
    }
}

const struct rp_task_ops gossip_ops = {on_gossip_message, nullptr, nullptr};

class config_task : public ::testing::Test {
  protected:
    ~config_task() override
    {
        for (auto &each : fleet) {
            rp_kernel_free(each->kernel);
            rp_snapshot_unref(each->snapshot);
            rp_context_free(each->context);
        }
    }

    vm *start(const char *id)
    {
        auto each = std::make_unique<vm>();
        struct rp_identity identity = {};
        g_strlcpy(identity.id, id, sizeof(identity.id));
        each->id = id;
        each->context = rp_context_new(&identity, 1);
        each->kernel = rp_kernel_new(each->context);
        each->config =
            rp_config_task_add(each->kernel, 30000 * MS, now_ns, nullptr);
        each->gossip = rp_kernel_add_task(each->kernel, "gossip", &gossip_ops,
                                          each.get(), nullptr);
        each->fleet = &fleet;
        fleet.push_back(std::move(each));
        return fleet.back().get();
    }

    void list(vm *to, const std::vector<const char *> &ids)
    {
        struct rp_vm_list *vms = rp_vm_list_new(0);
        for (const char *id : ids) {
            struct rp_vm each = {};
            each.entry = true;
            g_strlcpy(each.id, id, sizeof(each.id));
            rp_vm_list_add(vms, &each);
        }
        struct rp_vm_list_message body = {vms};
        rp_task_send_owned(nullptr, rp_kernel_find_task(to->kernel, "config"),
                           RP_MSG_PLATFORM_VMS, &body, sizeof(body),
                           rp_vm_list_message_release);
    }

    // The platform answers one VM with these versions of a record.
    void answer(vm *to,
                const std::vector<std::pair<std::string, uint64_t>> &values,
                const char *key = "service/a")
    {
        struct rp_record_batch *batch = rp_record_batch_new();
        for (const auto &value : values) {
            GBytes *bytes =
                g_bytes_new(value.first.data(), value.first.size());
            rp_record_batch_add(batch, key, value.second, bytes);
            g_bytes_unref(bytes);
        }
        rp_config_records_send(nullptr,
                               rp_kernel_find_task(to->kernel, "config"),
                               RP_MSG_PLATFORM_RECORDS, batch, "", 0, true);
        rp_record_batch_unref(batch);
    }

    // Heartbeats of all to all, then time passes.
    void run(int64_t duration_ms)
    {
        for (int64_t end_ns = now_ns + duration_ms * MS; now_ns < end_ns;
             now_ns += 100 * MS)
        {
            for (auto &from : fleet) {
                for (auto &to : fleet) {
                    if (from != to && !from->cut && !to->cut) {
                        beat(from.get(), to.get());
                    }
                }
            }
            for (int turn = 0; turn < 8; turn++) {
                for (auto &each : fleet) {
                    rp_kernel_run(each->kernel, now_ns);
                }
            }
        }
    }

    void beat(vm *from, vm *to)
    {
        struct rp_config_peer_state peer = {};
        g_strlcpy(peer.id, from->id.c_str(), sizeof(peer.id));
        peer.phase = rp_config_task_phase(from->config);
        peer.digest = rp_record_set_digest(rp_config_task_set(from->config));
        peer.revision =
            rp_record_set_revision(rp_config_task_set(from->config));
        rp_task_send(to->gossip, rp_kernel_find_task(to->kernel, "config"),
                     RP_MSG_CONFIG_PEER_STATE, &peer, sizeof(peer));
    }

    uint64_t digest(vm *of)
    {
        return rp_record_set_digest(rp_config_task_set(of->config));
    }

    uint32_t timeout(vm *of)
    {
        const struct rp_service *service =
            of->snapshot == nullptr
                ? nullptr
                : rp_snapshot_find_service(of->snapshot, "a");
        return service == nullptr ? 0 : service->timeout_ms;
    }

    std::vector<std::unique_ptr<vm>> fleet;
    int64_t now_ns = 1000 * MS;
};

std::string
service(int version, int timeout_ms, size_t comment_bytes = 0)
{
    return R"({"schema":2,"kind":"service","name":"a","version":)" +
           std::to_string(version) +
           ",\"timeout_ms\":" + std::to_string(timeout_ms) +
           ",\"comment\":\"" + std::string(comment_bytes, 'x') + "\"}";
}

// Guards against nodes that stay apart when the platform answers them
// differently, and against a push that does not reach the others.
TEST_F(config_task, different_answers_converge)
{
    vm *a = start("a");
    vm *b = start("b");
    vm *c = start("c");
    for (vm *each : {a, b, c}) {
        list(each, {"a", "b", "c"});
    }
    answer(a, {{service(1, 100), 1}});
    answer(b, {{service(2, 200), 2}});
    answer(c, {});
    run(3000);
    for (vm *each : {a, b, c}) {
        EXPECT_TRUE(each->ready);
        EXPECT_EQ(timeout(each), 200u);
    }
    answer(c, {{service(3, 300), 3}});
    run(200); // a turn of messages, and one until the build is due
    EXPECT_EQ(timeout(a), 300u);
    EXPECT_EQ(timeout(b), 300u);
    EXPECT_GE(c->spread, 1u);
}

// Guards against a new VM that puts an old platform state in force while the
// others have a newer one.
TEST_F(config_task, start_while_the_platform_is_stale)
{
    vm *a = start("a");
    list(a, {"a"});
    answer(a, {{service(1, 100), 1}, {service(5, 500), 5}});
    run(1000);
    ASSERT_TRUE(a->ready);
    vm *b = start("b");
    b->cut = true;
    list(b, {"a"});
    answer(b, {{service(1, 100), 1}});
    run(29000);
    EXPECT_FALSE(b->ready);
    b->cut = false;
    run(1000);
    EXPECT_TRUE(b->ready);
    EXPECT_EQ(rp_config_task_phase(b->config), RP_CONFIG_IN_FORCE);
    EXPECT_EQ(timeout(b), 500u);
    EXPECT_EQ(timeout(a), 500u);
}

// Guards against a VM that never serves when no peer can be reached, and
// against one that keeps its provisional state after that.
TEST_F(config_task, provisional_until_a_peer_is_reachable)
{
    vm *a = start("a");
    list(a, {"a"});
    answer(a, {{service(5, 500), 5}});
    vm *b = start("b");
    b->cut = true;
    list(b, {"a", "b"});
    answer(b, {{service(1, 100), 1}});
    run(31000);
    EXPECT_TRUE(b->ready);
    EXPECT_EQ(rp_config_task_phase(b->config), RP_CONFIG_PROVISIONAL);
    EXPECT_EQ(timeout(b), 100u);
    b->cut = false;
    run(1000);
    EXPECT_EQ(rp_config_task_phase(b->config), RP_CONFIG_IN_FORCE);
    EXPECT_EQ(timeout(b), 500u);
}

// Guards against a large record that small later ones overtake: releases that
// change a target every 200 ms beside a new configuration. The VM's revision
// is as late as its peers' then, and records change all the time.
TEST_F(config_task, large_record_is_fetched_amid_small_updates)
{
    vm *a = start("a");
    vm *b = start("b");
    for (vm *each : {a, b}) {
        list(each, {"a", "b"});
    }
    answer(a, {{service(1, 100), 1}});
    run(1000);
    ASSERT_EQ(timeout(b), 100u);
    answer(a, {{service(2, 200, 70000), 2}}); // too large to be pushed
    int64_t known_ns = now_ns;
    for (int revision = 3; timeout(b) != 200 && revision < 20; revision++) {
        std::string target =
            R"({"schema":3,"kind":"target","name":"t","service":"a",)"
            R"("address":"10.0.0.1:80","domain":"d","version":)" +
            std::to_string(revision) + "}";
        for (vm *each : {a, b}) {
            answer(each, {{target, revision}}, "target/t");
        }
        run(200);
    }
    EXPECT_EQ(timeout(b), 200u);
    EXPECT_LE(now_ns - known_ns, 1000 * MS);
}

// Guards against targets that stay in force although a listing of all there is
// lacks them, and against a listing that retires what is newer than it.
TEST_F(config_task, listing_retires_missing_targets)
{
    vm *a = start("a");
    list(a, {"a"});
    answer(a, {{service(1, 100), 1}});
    struct {
        const char *name;
        int revision;
        bool listed;
        bool expected;
    } cases[] = {{"t1", 5, true, true},
                 {"t2", 5, false, false},
                 {"t3", 9, false, true}}; // came after the listing
    GHashTable *keys =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, nullptr);
    for (const auto &entry : cases) {
        std::string name = entry.name;
        answer(a,
               {{R"({"schema":3,"kind":"target","service":"a","name":")" +
                     name + R"(","address":"10.0.0.)" + name.substr(1) +
                     R"(:80","domain":"d","version":)" +
                     std::to_string(entry.revision) + "}",
                 entry.revision}},
               ("target/" + name).c_str());
        if (entry.listed) {
            g_hash_table_add(keys, g_strdup(("target/" + name).c_str()));
        }
    }
    run(200);
    struct rp_config_listing listing = {keys, 7};
    rp_task_send_owned(nullptr, rp_kernel_find_task(a->kernel, "config"),
                       RP_MSG_PLATFORM_LISTING, &listing, sizeof(listing),
                       rp_config_listing_release);
    run(200);
    const struct rp_service *service =
        rp_snapshot_find_service(a->snapshot, "a");
    for (const auto &entry : cases) {
        bool present = false;
        for (uint32_t i = 0; i < service->target_count; i++) {
            present |= std::string(service->targets[i].name) == entry.name;
        }
        EXPECT_EQ(present, entry.expected) << entry.name;
    }
}

// Guards against a VM without platform that ignores its peers.
TEST_F(config_task, peers_replace_an_unreachable_platform)
{
    vm *a = start("a");
    list(a, {"a"});
    answer(a, {{service(1, 100), 1}});
    run(1000);
    vm *b = start("b");
    run(1000);
    EXPECT_TRUE(b->ready);
    EXPECT_EQ(timeout(b), 100u);
}

// Guards against invalid values that disturb what is in force, and against a
// report for each of many reads of one bad value.
TEST_F(config_task, refusals_and_conflicts_are_reported_once)
{
    vm *a = start("a");
    list(a, {"a"});
    answer(a, {{service(1, 100), 1}});
    for (int i = 0; i < 5; i++) {
        answer(a, {{"{", 2}, {service(2, -1), 3}, {service(1, 101), 0}});
        run(100);
    }
    struct rp_counters *counters = &a->context->counters;
    EXPECT_EQ(rp_counter_get(counters, RP_COUNTER_RECORDS_REFUSED), 2u);
    EXPECT_EQ(rp_counter_get(counters, RP_COUNTER_RECORDS_CONFLICTING), 1u);
    EXPECT_EQ(timeout(a), 100u);
}

// Guards against large values that are pushed to every neighbour or that
// never arrive.
TEST_F(config_task, one_megabyte_values_spread_on_demand)
{
    vm *a = start("a");
    vm *b = start("b");
    for (vm *each : {a, b}) {
        list(each, {"a", "b"});
        answer(each, {{service(1, 100), 1}});
    }
    run(2000);
    size_t frame = service(2, 200).size();
    answer(a, {{service(2, 200, RP_RECORD_MAX_BYTES - frame), 2}});
    run(3000);
    EXPECT_EQ(a->spread, 0u);
    EXPECT_EQ(timeout(b), 200u);
    answer(a, {{service(3, 300, RP_RECORD_MAX_BYTES), 3}});
    run(3000);
    EXPECT_EQ(timeout(a), 200u);
    EXPECT_EQ(digest(a), digest(b));
}

// Guards against a starting VM that takes a part of a peer's state for the
// whole, and one that pushes what it reads to everyone.
TEST_F(config_task, answer_with_a_lost_part_is_incomplete)
{
    vm *b = start("b");
    list(b, {"a", "b"});
    struct rp_task *config = rp_kernel_find_task(b->kernel, "config");
    struct rp_record_batch *none = rp_record_batch_new();
    struct rp_config_peer_state peer = {"a", RP_CONFIG_IN_FORCE, 7};
    struct {
        const char *what;
        std::vector<uint32_t> parts; // the highest is the last
        bool ready;
    } cases[] = {
        {"first lost", {1, 2}, false},
        {"middle lost", {0, 2}, false},
        {"whole", {0, 1, 2}, true},
    };
    for (const auto &entry : cases) {
        now_ns += 3000 * MS; // past the time-out of the last comparison
        rp_task_send(nullptr, config, RP_MSG_CONFIG_PEER_STATE, &peer,
                     sizeof(peer));
        rp_kernel_run(b->kernel, now_ns);
        for (uint32_t part : entry.parts) {
            rp_config_records_send(nullptr, config, RP_MSG_CONFIG_RECORDS,
                                   none, "a", part, part == 2);
        }
        rp_kernel_run(b->kernel, now_ns);
        EXPECT_EQ(b->ready, entry.ready) << entry.what;
    }
    rp_record_batch_unref(none);
}

// Guards against a rush of pushed records when VMs start.
TEST_F(config_task, a_starting_vm_does_not_push)
{
    vm *b = start("b");
    start("a");
    answer(b, {{service(1, 100), 1}});
    run(500);
    EXPECT_FALSE(b->ready);
    EXPECT_EQ(b->spread, 0u);
}

// Guards against a task that keeps an old configuration because its mailbox
// was full for a moment.
TEST_F(config_task, snapshot_is_resent_after_a_full_mailbox)
{
    vm *a = start("a");
    list(a, {"a"});
    answer(a, {{service(1, 100), 1}});
    struct rp_config_sync_request unused = {};
    while (rp_task_send(nullptr, a->gossip, RP_MSG_PAUSE_DETECTED, &unused, 1))
    {
    }
    // The config task comes first in the queue, while the mailbox is full.
    rp_kernel_run(a->kernel, now_ns);
    EXPECT_EQ(a->snapshot, nullptr);
    now_ns += 200 * MS;
    rp_kernel_run(a->kernel, now_ns);
    rp_kernel_run(a->kernel, now_ns);
    ASSERT_NE(a->snapshot, nullptr);
    EXPECT_EQ(timeout(a), 100u);
}

// Guards against a VM that goes on sending work to a target that the list
// says is leaving, or that keeps the news from its peers.
TEST_F(config_task, leaving_targets_drain_at_once)
{
    vm *a = start("a");
    list(a, {"a"});
    std::string targets =
        R"({"schema":2,"kind":"targets","service":"a","estate":"n",)"
        R"("version":1,"targets":[)"
        R"({"name":"x","address":"10.0.0.1:80","domain":"d"},)"
        R"({"name":"y","address":"10.0.0.2:80","domain":"d"}]})";
    answer(a, {{service(1, 100), 1}});
    answer(a, {{targets, 2}}, "targets/a/n");
    run(200);
    for (bool leaving : {true, false}) {
        struct rp_vm_list *vms = rp_vm_list_new(0);
        struct rp_vm each = {};
        each.leaving = leaving;
        g_strlcpy(each.address, "10.0.0.2:80", sizeof(each.address));
        rp_vm_list_add(vms, &each);
        struct rp_vm_list_message body = {vms};
        rp_task_send_owned(nullptr, rp_kernel_find_task(a->kernel, "config"),
                           RP_MSG_PLATFORM_VMS, &body, sizeof(body),
                           rp_vm_list_message_release);
        a->hints.clear();
        rp_kernel_run(a->kernel, now_ns);
        auto found = rp_snapshot_find_service(a->snapshot, "a");
        EXPECT_FALSE(found->targets[0].draining);
        EXPECT_EQ(found->targets[1].draining, leaving);
        EXPECT_EQ(a->hints, leaving ? std::vector<std::string>{"10.0.0.2:80"}
                                    : std::vector<std::string>{});
    }
}

// Guards against a snapshot for each of a series of changes: on small VMs the
// builds took seconds, and the last of the changes came into force after them.
TEST_F(config_task, series_of_changes_is_coalesced)
{
    vm *a = start("a");
    list(a, {"a"});
    answer(a, {{service(1, 100), 1}});
    run(31000);
    ASSERT_EQ(timeout(a), 100u);
    uint32_t before = a->snapshots;
    for (int version = 2; version <= 200; version++) {
        answer(a, {{service(version, 100 + version), (uint64_t)version}});
    }
    run(200);
    EXPECT_EQ(timeout(a), 300u);
    EXPECT_LE(a->snapshots - before, 2u);
}

} // namespace
