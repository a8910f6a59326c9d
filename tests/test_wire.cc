#include <gtest/gtest.h>

#include <ev.h>
#include <memory>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <zmq.h>

extern "C" {
#include "error.h"
#include "wire.h"
}

namespace {

struct keys {
    char public_key[RP_WIRE_KEY_CHARS + 1] = "";
    char secret_key[RP_WIRE_KEY_CHARS + 1] = "";
};

keys
new_keys()
{
    keys pair;
    zmq_curve_keypair(pair.public_key, pair.secret_key);
    return pair;
}

void
on_gossip_message(struct rp_task *, const struct rp_message *message, int64_t,
                  void *data)
{
    if (message->kind == RP_MSG_WIRE_RECEIVED) {
        auto body =
            static_cast<const struct rp_wire_received *>(message->body);
        gsize bytes;
        auto text =
            static_cast<const char *>(g_bytes_get_data(body->payload, &bytes));
        *static_cast<std::string *>(data) += std::string(text, bytes) + ";";
    }
}

const struct rp_task_ops gossip_ops = {on_gossip_message, nullptr, nullptr};

/* A process: a loop with the wire task, and a substitute for the gossip task
 * that records received messages. */
struct process {
    process(const std::string &port, const keys *pair,
            const char *const *allowed, uint32_t allowed_count)
    {
        struct rp_identity identity = {};
        address = "127.0.0.1:" + port;
        context = rp_context_new(&identity, 1);
        kernel = rp_kernel_new(context);
        loop = rp_loop_new(kernel);
        struct rp_wire_settings settings = {
            address.c_str(), pair != nullptr ? pair->public_key : nullptr,
            pair != nullptr ? pair->secret_key : nullptr, allowed,
            allowed_count};
        wire = rp_wire_new(loop, &settings, &error);
        gossip = rp_kernel_add_task(kernel, "gossip", &gossip_ops, &received,
                                    nullptr);
    }

    ~process()
    {
        rp_kernel_free(kernel);
        rp_loop_free(loop);
        rp_context_free(context);
        g_clear_error(&error);
    }

    void send(const process &to, const std::string &text)
    {
        struct rp_wire_send body = {};
        g_strlcpy(body.peer_address, to.address.c_str(),
                  sizeof(body.peer_address));
        body.payload = g_bytes_new(text.data(), text.size());
        rp_task_send_owned(gossip, rp_kernel_find_task(kernel, "wire"),
                           RP_MSG_WIRE_SEND, &body, sizeof(body),
                           rp_wire_send_release);
    }

    uint64_t count(enum rp_counter counter) const
    {
        return rp_counter_get(&context->counters, counter);
    }

    std::string address;
    std::string received;
    GError *error = nullptr;
    struct rp_context *context;
    struct rp_kernel *kernel;
    struct rp_loop *loop;
    struct rp_wire *wire;
    struct rp_task *gossip;
};

/* Runs both loops, with a pause in each iteration, until done() or the time
 * limit, which is far above the usual time, is over. */
template <typename Done>
bool
run_loops(process *a, process *b, Done done, useconds_t pause_us = 1000)
{
    int64_t end_ns = rp_loop_now_ns() + INT64_C(15000000000);
    while (!done() && rp_loop_now_ns() < end_ns) {
        ev_run(rp_loop_ev(a->loop), EVRUN_NOWAIT);
        ev_run(rp_loop_ev(b->loop), EVRUN_NOWAIT);
        usleep(pause_us);
    }
    return done();
}

std::string
free_port()
{
    struct sockaddr_in address = {};
    socklen_t bytes = sizeof(address);
    int descriptor = socket(AF_INET, SOCK_STREAM, 0);
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    bind(descriptor, reinterpret_cast<struct sockaddr *>(&address), bytes);
    getsockname(descriptor, reinterpret_cast<struct sockaddr *>(&address),
                &bytes);
    close(descriptor);
    return std::to_string(ntohs(address.sin_port));
}

// Guards against a process without an allowed key reading or writing gossip,
// and against refusals that aren't counted.
TEST(wire, keys)
{
    keys fleet = new_keys();
    keys other = new_keys();
    keys mixed = fleet; // has the server's public key but not its secret
    memcpy(mixed.secret_key, other.secret_key, sizeof(mixed.secret_key));
    struct {
        const char *name;
        const keys *client;
        const keys *server;
        bool delivered;
        bool refused;
    } cases[] = {
        {"plain", nullptr, nullptr, true, false},
        {"same pair", &fleet, &fleet, true, false},
        {"other pair", &other, &fleet, false, true},
        {"public key without its secret key", &mixed, &fleet, false, true},
        {"plain client", nullptr, &fleet, false, true},
        {"plain server", &fleet, nullptr, false, true},
    };
    for (const auto &entry : cases) {
        process client(free_port(), entry.client, nullptr, 0);
        process server(free_port(), entry.server, nullptr, 0);
        ASSERT_EQ(client.error, nullptr) << client.error->message;
        ASSERT_EQ(server.error, nullptr) << server.error->message;
        client.send(server, "hello");
        run_loops(&client, &server, [&] {
            return !server.received.empty() ||
                   server.count(RP_COUNTER_WIRE_REFUSED) > 0;
        });
        EXPECT_EQ(server.received, entry.delivered ? "hello;" : "")
            << entry.name;
        EXPECT_EQ(server.count(RP_COUNTER_WIRE_REFUSED) > 0, entry.refused)
            << entry.name;
    }
}

// Guards against accepting any valid key pair: only listed keys may connect,
// also when the client has the server's public key.
TEST(wire, allowed_keys)
{
    keys fleet = new_keys();
    keys listed = new_keys();
    keys unlisted = new_keys();
    const char *allowed[] = {listed.public_key};
    struct {
        const char *name;
        const keys *client;
        bool delivered;
    } cases[] = {
        {"same as the server", &fleet, true},
        {"listed", &listed, true},
        {"unlisted", &unlisted, false},
    };
    for (const auto &entry : cases) {
        process server(free_port(), &fleet, allowed, 1);
        ASSERT_EQ(server.error, nullptr) << server.error->message;
        void *context = zmq_ctx_new();
        void *client = zmq_socket(context, ZMQ_DEALER);
        zmq_setsockopt(client, ZMQ_CURVE_SERVERKEY, fleet.public_key, 41);
        zmq_setsockopt(client, ZMQ_CURVE_PUBLICKEY, entry.client->public_key,
                       41);
        zmq_setsockopt(client, ZMQ_CURVE_SECRETKEY, entry.client->secret_key,
                       41);
        int linger = 0;
        zmq_setsockopt(client, ZMQ_LINGER, &linger, sizeof(linger));
        zmq_connect(client, ("tcp://" + server.address).c_str());
        zmq_send(client, "hello", 5, 0);
        run_loops(&server, &server, [&] {
            return !server.received.empty() ||
                   server.count(RP_COUNTER_WIRE_REFUSED) > 0;
        });
        EXPECT_EQ(server.received, entry.delivered ? "hello;" : "")
            << entry.name;
        EXPECT_EQ(server.count(RP_COUNTER_WIRE_REFUSED) > 0, !entry.delivered)
            << entry.name;
        zmq_close(client);
        zmq_ctx_term(context);
    }
}

// Guards against treating a malformed key as no key, which would leave the
// peer port open.
TEST(wire, malformed_keys)
{
    keys fleet = new_keys();
    struct {
        std::string public_key;
        std::string secret_key;
        const char *allowed;
    } cases[] = {
        {"short", fleet.secret_key, fleet.public_key},
        {fleet.public_key, "short", fleet.public_key},
        {fleet.public_key, "", fleet.public_key},
        {fleet.public_key, std::string(40, '~'), fleet.public_key},
        {fleet.public_key, fleet.secret_key, "short"},
    };
    for (const auto &entry : cases) {
        keys pair;
        g_strlcpy(pair.public_key, entry.public_key.c_str(), 41);
        g_strlcpy(pair.secret_key, entry.secret_key.c_str(), 41);
        process process(free_port(), &pair, &entry.allowed, 1);
        ASSERT_NE(process.error, nullptr) << entry.public_key;
        EXPECT_EQ(process.error->code, RP_ERROR_SETTING);
        EXPECT_EQ(process.wire, nullptr);
    }
}

// Guards against an unreachable peer blocking its neighbours or using up their
// memory: above the high-water mark messages are dropped and counted.
TEST(wire, peer_gone)
{
    process client(free_port(), nullptr, nullptr, 0);
    auto server = std::make_unique<process>(free_port(), nullptr, nullptr, 0);
    std::string address = server->address;
    std::string port = address.substr(address.find(':') + 1);
    server->address = "127.0.0.1:1"; // nothing listens there
    for (int i = 0; i < 1000; i++) {
        client.send(*server, "lost");
    }
    ev_run(rp_loop_ev(client.loop), EVRUN_NOWAIT);
    EXPECT_EQ(client.count(RP_COUNTER_WIRE_DROPPED), 1000u - 64u);

    // A peer that starts later is connected to automatically.
    server.reset();
    process unstarted_peer(free_port(), nullptr, nullptr, 0);
    unstarted_peer.address = address;
    client.send(unstarted_peer, "early");
    ev_run(rp_loop_ev(client.loop), EVRUN_NOWAIT);
    process late_peer(port, nullptr, nullptr, 0);
    ASSERT_EQ(late_peer.error, nullptr) << late_peer.error->message;
    EXPECT_TRUE(run_loops(&client, &late_peer,
                          [&] { return late_peer.received == "early;"; }));
}

// Guards against messages left unread in the socket after a burst, against
// reordering, and against messages that are dropped although the peer has
// read the earlier ones, when bursts follow each other at once.
TEST(wire, burst_in_order)
{
    for (useconds_t pause_us : {1000u, 0u}) {
        process client(free_port(), nullptr, nullptr, 0);
        process server(free_port(), nullptr, nullptr, 0);
        client.send(server, "first");
        ASSERT_TRUE(run_loops(&client, &server,
                              [&] { return !server.received.empty(); }));
        std::string expected = "first;";
        for (int round = 0; round < 20; round++) {
            // Below half the high-water mark, at which credit is returned.
            for (int i = 0; i < 30; i++) {
                std::string text = std::to_string(round * 30 + i);
                client.send(server, text);
                expected += text + ";";
            }
            ASSERT_TRUE(run_loops(
                &client, &server, [&] { return server.received == expected; },
                pause_us))
                << round << ", pause " << pause_us;
        }
        EXPECT_EQ(client.count(RP_COUNTER_WIRE_DROPPED), 0u);
    }
}

} // namespace
