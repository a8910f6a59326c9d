#include <gtest/gtest.h>

#include <netinet/in.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <string>
#include <vector>

#include <ev.h>

extern "C" {
#include "address.h"
#include "call.h"
#include "dialect.h"
#include "entry.h"
#include "snapshot.h"
}

namespace {

const int64_t MS = 1000000;

// An entry task on a loopback address, with a substitute for dispatch that
// keeps the calls until the test answers them.
class vm {
  public:
    vm()
    {
        struct rp_identity identity = {};
        identity.fleet_size = 1;
        g_snprintf(identity.address, sizeof(identity.address),
                   "127.%d.%d.1:18500", 1 + getpid() % 200,
                   getpid() / 200 % 250);
        context = rp_context_new(&identity, 1);
        kernel = rp_kernel_new(context);
        loop = rp_loop_new(kernel);
        dispatch =
            rp_kernel_add_task(kernel, RP_TASK_DISPATCH, &ops, this, nullptr);
        struct rp_entry_config config = {};
        config.dialect = &rp_dialect_native;
        config.max_connections = 100;
        config.address_ttl_ms = 100;
        config.stop_timeout_ns = 1000 * MS;
        entry = rp_entry_new(loop, &config, nullptr);
        configure();
    }

    ~vm()
    {
        end();
    }

    // Ends the process.
    void end()
    {
        if (kernel == nullptr) {
            return;
        }
        for (struct rp_call *call : calls) {
            rp_call_unref(call);
        }
        rp_kernel_free(kernel);
        rp_loop_free(loop);
        rp_context_free(context);
        kernel = nullptr;
    }

    // Returns whether the process may end.
    bool finished() const
    {
        return rp_entry_finished(entry);
    }

    // Returns whether the process ends although requests are in progress.
    bool expired() const
    {
        return rp_loop_now_ns() >= rp_entry_stop_end_ns(entry);
    }

    // Puts a route for "/a" in force, with time limits of callers of 100 ms,
    // or of that long without a request.
    void configure(uint32_t idle_ms = 100)
    {
        struct rp_snapshot_message message = {rp_snapshot_new(), true};
        struct rp_route *route =
            rp_snapshot_add_route(message.snapshot, "a", "", "/a");
        route->timeout_ms = route->max_timeout_ms = 1000;
        route->repeatable_methods = RP_METHODS_IDEMPOTENT;
        rp_route_add_part(route, "a", 1);
        struct rp_caller_limits limits = *rp_snapshot_limits(message.snapshot);
        limits.header_ms = 100;
        limits.idle_ms = idle_ms;
        limits.header_bytes = 65536;
        rp_snapshot_set_limits(message.snapshot, &limits);
        rp_task_send_owned(nullptr, rp_kernel_find_task(kernel, RP_TASK_ENTRY),
                           RP_MSG_SNAPSHOT, &message, sizeof(message),
                           rp_snapshot_message_release);
        run();
    }

    // Returns a new connection to the entry VM, with the usual receive buffer
    // or one of about that size.
    int connect_caller(int buffer_bytes = 0)
    {
        int caller = socket(AF_INET, SOCK_STREAM, 0);
        if (buffer_bytes > 0) {
            setsockopt(caller, SOL_SOCKET, SO_RCVBUF, &buffer_bytes,
                       sizeof(buffer_bytes));
        }
        struct sockaddr_in address = {};
        EXPECT_TRUE(rp_address_parse(context->identity.address, &address));
        EXPECT_EQ(connect(caller, reinterpret_cast<sockaddr *>(&address),
                          sizeof(address)),
                  0);
        return caller;
    }

    // Runs the loop until it has nothing to do at present.
    void run()
    {
        for (int i = 0; i < 20; i++) {
            ev_run(rp_loop_ev(loop), EVRUN_NOWAIT);
        }
    }

    // Runs the loop for 100 ms and returns how often it woke up.
    int count_wakeups()
    {
        int64_t end_ns = rp_loop_now_ns() + 100 * MS;
        int wakeups = 0;
        for (; rp_loop_now_ns() < end_ns; wakeups++) {
            ev_run(rp_loop_ev(loop), EVRUN_ONCE);
        }
        return wakeups;
    }

    // Runs one iteration of the loop.
    void run_once()
    {
        ev_run(rp_loop_ev(loop), EVRUN_NOWAIT);
    }

    // Answers all calls that wait, in order or in reverse order, with bodies
    // of that size.
    void answer_calls(bool reverse, uint32_t body_bytes)
    {
        std::vector<struct rp_call *> waiting;
        waiting.swap(calls);
        if (reverse) {
            std::reverse(waiting.begin(), waiting.end());
        }
        for (struct rp_call *call : waiting) {
            answer(call, body_bytes);
            rp_call_unref(call);
        }
    }

    // Begins to answer the first call that waits. The answer has no length,
    // and its body is returned.
    struct rp_stream *begin_answer(uint32_t status)
    {
        struct rp_call_reply reply = {};
        reply.call_id = calls[0]->id;
        reply.outcome = RP_OUTCOME_NONE;
        reply.answer = rp_answer_new(status);
        reply.answer->body_bytes = RP_LENGTH_UNKNOWN;
        reply.body = rp_stream_new();
        struct rp_stream *body = rp_stream_ref(reply.body);
        send_reply(&reply);
        return body;
    }

    // Lets connections that are opened later queue few bytes in the kernel.
    void shrink_send_buffers()
    {
        for (int fd = 0; fd < 64; fd++) {
            int listens = 0;
            socklen_t bytes = sizeof(listens);
            int size = 1;
            if (getsockopt(fd, SOL_SOCKET, SO_ACCEPTCONN, &listens, &bytes) ==
                    0 &&
                listens != 0)
            {
                setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &size, sizeof(size));
            }
        }
    }

    // Begins a stop that was requested that long ago.
    void stop(int64_t delay_ns = 0)
    {
        rp_kernel_request_stop(kernel, rp_loop_now_ns() - delay_ns);
        run();
    }

    std::vector<struct rp_call *> calls;

  private:
    void send_reply(const struct rp_call_reply *reply)
    {
        rp_task_send_owned(
            dispatch, rp_kernel_find_task(kernel, RP_TASK_ENTRY),
            RP_MSG_CALL_REPLY, reply, sizeof(*reply), rp_call_reply_release);
        run();
    }

    void answer(const struct rp_call *call, uint32_t body_bytes)
    {
        std::string body(body_bytes, 'x');
        struct rp_call_reply reply = {};
        reply.call_id = call->id;
        reply.outcome = RP_OUTCOME_NONE;
        reply.answer = rp_answer_new(200);
        reply.answer->body_bytes = body_bytes;
        reply.body = rp_stream_new();
        EXPECT_EQ(rp_stream_write(reply.body, body.data(), body_bytes),
                  body_bytes);
        rp_stream_end(reply.body);
        send_reply(&reply);
    }

    // Answers as dispatch does when a call may have run.
    void fail(uint64_t call_id)
    {
        struct rp_call_reply reply = {};
        reply.call_id = call_id;
        reply.outcome = RP_OUTCOME_UNKNOWN;
        reply.status = 504;
        reply.reason = "stopping";
        rp_task_send(dispatch, rp_kernel_find_task(kernel, RP_TASK_ENTRY),
                     RP_MSG_CALL_REPLY, &reply, sizeof(reply));
    }

    static void on_message(struct rp_task *, const struct rp_message *message,
                           int64_t, void *data)
    {
        auto instance = static_cast<vm *>(data);
        if (message->kind == RP_MSG_CALL_START) {
            auto start = static_cast<const rp_call_start *>(message->body);
            instance->calls.push_back(rp_call_ref(start->call));
        }
        else if (message->kind == RP_MSG_CALL_ABORT) {
            auto abort = static_cast<const rp_call_abort *>(message->body);
            if (abort->reason == RP_ABORT_STOPPING) {
                instance->fail(abort->call_id);
            }
        }
    }

    static const struct rp_task_ops ops;
    struct rp_context *context;
    struct rp_kernel *kernel;
    struct rp_loop *loop;
    struct rp_task *dispatch;
    struct rp_entry *entry;
};

const struct rp_task_ops vm::ops = {vm::on_message, nullptr, nullptr};

size_t
count(const std::string &text, const std::string &part)
{
    size_t found = 0;
    for (size_t at = 0; (at = text.find(part, at)) != std::string::npos; at++)
    {
        found++;
    }
    return found;
}

// Returns how many complete answers with bodies of that size are in text.
size_t
count_answers(const std::string &text, uint32_t body_bytes)
{
    size_t count = 0;
    size_t at = 0;
    while ((at = text.find("HTTP/1.1 200", at)) != std::string::npos) {
        size_t body = text.find("\r\n\r\n", at);
        if (body == std::string::npos || text.size() - body - 4 < body_bytes) {
            break;
        }
        at = body + 4 + body_bytes;
        count++;
    }
    return count;
}

// Returns what the socket has received, and whether it was closed.
std::string
receive(int caller, bool *closed)
{
    std::string text;
    std::vector<char> bytes(100000);
    ssize_t count;
    while ((count = recv(caller, bytes.data(), bytes.size(), MSG_DONTWAIT)) >
           0) {
        text.append(bytes.data(), static_cast<size_t>(count));
    }
    *closed = count == 0 || errno != EAGAIN;
    return text;
}

// Guards against a request that gets neither an answer nor a refusal: one that
// waits behind earlier ones of its connection, because it may not run beside
// them or there is no room for it, and is not looked at when they are
// answered.
TEST(entry, pipelined_requests_are_all_answered)
{
    const std::string get = "GET /a HTTP/1.1\r\nHost: x\r\n\r\n";
    const std::string unknown = "GET /new/ HTTP/1.1\r\nHost: x\r\n\r\n";
    const std::string post =
        "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc";
    std::string many;
    for (int i = 0; i < 40; i++) {
        many += get;
    }
    struct {
        const char *what;
        std::string requests;
        size_t count;
        bool reverse; /* order in which calls in progress are answered */
        uint32_t body_bytes;
    } cases[] = {
        {"repeatable ones", get + get, 2, false, 10},
        {"without a route", get + unknown, 2, false, 10},
        {"without a route, several", get + unknown + unknown + get, 4, false,
         10},
        {"not repeatable", get + post, 2, false, 10},
        {"all not repeatable", post + post + post, 3, false, 10},
        {"more than run side by side", many, 40, true, 10},
        {"more output than is queued", get + get + get, 3, true, 60000},
    };
    for (const auto &entry : cases) {
        vm vm;
        int caller = vm.connect_caller();
        ASSERT_EQ(
            send(caller, entry.requests.data(), entry.requests.size(), 0),
            static_cast<ssize_t>(entry.requests.size()));
        std::string answers;
        bool closed = false;
        vm.run();
        while (!vm.calls.empty()) {
            vm.answer_calls(entry.reverse, entry.body_bytes);
            answers += receive(caller, &closed);
        }
        EXPECT_EQ(count_answers(answers, entry.body_bytes), entry.count)
            << entry.what;
        EXPECT_FALSE(closed) << entry.what;
        close(caller);
    }
}

// Guards against a request that gets more time than its caller gave it: one
// that waits behind earlier ones of its connection, whose time counted from
// its start.
TEST(entry, the_time_of_a_request_counts_from_its_arrival)
{
    const std::string get = "GET /a HTTP/1.1\r\nHost: x\r\n\r\n";
    const std::string post =
        "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc";
    struct {
        const char *what;
        std::string requests;
    } cases[] = {
        {"one request", get},
        {"beside an earlier one", get + get},
        {"behind an earlier one", post + post},
    };
    for (const auto &entry : cases) {
        vm vm;
        int caller = vm.connect_caller();
        send(caller, entry.requests.data(), entry.requests.size(), 0);
        vm.run();
        int64_t read_ns = rp_loop_now_ns();
        g_usleep(50000);
        while (!vm.calls.empty()) {
            EXPECT_LE(vm.calls.back()->received_ns, read_ns) << entry.what;
            vm.answer_calls(false, 10);
        }
        close(caller);
    }
}

// Guards against a connection that stays open although nothing on it is read
// any more: later requests get neither an answer nor a refusal.
TEST(entry, connection_is_served_or_closed)
{
    const std::string get = "GET /a HTTP/1.1\r\nHost: x\r\n";
    struct {
        const char *what;
        std::string first;
        bool closed; /* instead of serving a second request */
    } cases[] = {
        {"a plain request", get + "\r\n", false},
        {"an offer to upgrade",
         get + "Connection: Upgrade\r\nUpgrade: h2c\r\n\r\n", false},
        {"an offer to upgrade, with a body",
         get + "Connection: Upgrade\r\nUpgrade: h2c\r\nContent-Length: 3\r\n"
               "\r\nabc",
         false},
        {"a tunnel", "CONNECT x:1 HTTP/1.1\r\nHost: x\r\n\r\n", true},
        {"a malformed body of a query for addresses",
         "GET /v1/addresses?service=a HTTP/1.1\r\nHost: x\r\n"
         "Transfer-Encoding: chunked\r\n\r\nz\r\n",
         true},
    };
    for (const auto &entry : cases) {
        vm vm;
        int caller = vm.connect_caller();
        bool closed = false;
        size_t answers = 0;
        for (const std::string &request : {entry.first, get + "\r\n"}) {
            send(caller, request.data(), request.size(), MSG_NOSIGNAL);
            vm.run();
            vm.answer_calls(false, 10);
            vm.run();
            answers += count_answers(receive(caller, &closed), 10);
        }
        EXPECT_EQ(closed, entry.closed) << entry.what;
        EXPECT_EQ(answers, entry.closed ? 0u : 2u) << entry.what;
        close(caller);
    }
}

// Guards against a request that waits in the socket while the process stands
// still and whose connection is ended by a time limit before it is read.
TEST(entry, input_is_read_before_time_limits_apply)
{
    const std::string get = "GET /a HTTP/1.1\r\nHost: x\r\n\r\n";
    struct {
        const char *what;
        std::string before; /* the process stands still */
        std::string meanwhile;
        size_t answers;
        bool closed;
    } cases[] = {
        {"an idle connection", "", "", 0, true},
        {"a request on an idle connection", "", get, 1, false},
        {"two requests on an idle connection", "", get + get, 2, false},
        {"the rest of a header", get.substr(0, 20), get.substr(20), 1, false},
        {"the rest of a header of 40 kB", get.substr(0, 20),
         "t: x\r\nY: " + std::string(40000, 'y') + "\r\n\r\n", 1, false},
        {"a part of a header", get.substr(0, 20), get.substr(20, 5), 0, true},
    };
    for (const auto &entry : cases) {
        vm vm;
        int caller = vm.connect_caller();
        vm.run();
        send(caller, entry.before.data(), entry.before.size(), 0);
        vm.run();
        send(caller, entry.meanwhile.data(), entry.meanwhile.size(), 0);
        g_usleep(300000); // beyond each limit and a check of them
        vm.run();
        vm.answer_calls(false, 10);
        bool closed = false;
        std::string answers = receive(caller, &closed);
        EXPECT_EQ(count_answers(answers, 10), entry.answers) << entry.what;
        EXPECT_EQ(closed, entry.closed) << entry.what;
        close(caller);
    }
}

// Guards against an answer that is cut off after a pause of the process,
// although its caller has read in the meantime.
TEST(entry, output_is_written_before_time_limits_apply)
{
    const std::string get = "GET /a HTTP/1.1\r\nHost: x\r\n\r\n";
    struct {
        const char *what;
        bool reads; /* while the process stands still */
    } cases[] = {
        {"a caller that reads", true},
        {"a caller that reads nothing", false},
    };
    for (const auto &entry : cases) {
        vm vm;
        vm.shrink_send_buffers();
        int caller = vm.connect_caller(1);
        bool closed = false;
        std::string answer;
        send(caller, get.data(), get.size(), 0);
        vm.run();
        vm.answer_calls(false, 50000);
        for (int i = 0; i < 3; i++) {
            g_usleep(300000); // beyond each limit and a check of them
            if (entry.reads) {
                answer += receive(caller, &closed);
            }
            vm.run();
        }
        for (int i = 0; i < 200 && count_answers(answer, 50000) == 0; i++) {
            answer += receive(caller, &closed);
            vm.run();
            g_usleep(1000);
        }
        EXPECT_EQ(count_answers(answer, 50000), entry.reads ? 1u : 0u)
            << entry.what;
        close(caller);
    }
}

// Guards against a connection that is never ended although its caller exceeds
// a limit: one that goes on sending and reads no answer, one that has its
// answer and leaves out the rest of its body, or one that goes on sending
// behind the last answer.
TEST(entry, callers_that_exceed_limits_are_ended)
{
    const std::string get = "GET /a HTTP/1.1\r\nHost: x\r\n\r\n";
    std::string flood;
    while (flood.size() < 4000000) {
        flood += get;
    }
    struct {
        const char *what;
        std::string requests;
        uint32_t body_bytes;
        bool sends; /* one byte after another, as long as it can */
    } cases[] = {
        {"reads nothing", get, 50000, false},
        {"reads nothing and sends", flood, 50000, false},
        {"half a body, answered",
         "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 6\r\n\r\nabc", 10,
         false},
        {"sends behind the last answer",
         "GET /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", 10, true},
        {"sends behind the last answer and reads nothing",
         "GET /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", 50000,
         true},
        {"sends a body after its answer and reads nothing",
         "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 999\r\n\r\nabc",
         50000, true},
    };
    for (const auto &entry : cases) {
        vm vm;
        vm.shrink_send_buffers();
        int caller = vm.connect_caller(1);
        send(caller, entry.requests.data(), entry.requests.size(),
             MSG_DONTWAIT);
        vm.run();
        vm.answer_calls(false, entry.body_bytes);
        bool sends = entry.sends;
        for (int i = 0; i < 8; i++) {
            g_usleep(300000); // beyond each limit and a check of them
            vm.run();
            sends = sends && send(caller, "x", 1, MSG_NOSIGNAL) == 1;
        }
        EXPECT_FALSE(sends) << entry.what;
        bool closed = false;
        for (int i = 0; i < 1000 && !closed; i++) {
            receive(caller, &closed); // what the kernel holds
            g_usleep(1000);
        }
        EXPECT_TRUE(closed) << entry.what;
        close(caller);
    }
}

// Guards against a connection that reads nothing behind the answer that ends
// it: a caller that sends all of its requests before it reads gets a reset.
TEST(entry, input_is_read_behind_an_answer_that_ends_the_connection)
{
    struct {
        const char *what;
        size_t bytes; /* of a request behind another one, of a stopping VM */
    } cases[] = {
        {"fits into the stream", 50000},
        {"fits into the input", 100000},
        {"fits into the socket", 900000},
        {"fits into no socket", 8000000},
    };
    for (const auto &entry : cases) {
        vm vm;
        vm.stop();
        int caller = vm.connect_caller();
        std::string requests = "GET /a HTTP/1.1\r\nHost: x\r\n\r\n"
                               "POST /a HTTP/1.1\r\nHost: x\r\n"
                               "Content-Length: " +
                               std::to_string(entry.bytes) + "\r\n\r\n" +
                               std::string(entry.bytes, 'x');
        size_t sent = 0;
        for (int i = 0; i < 3000 && sent < requests.size(); i++) {
            ssize_t count =
                send(caller, requests.data() + sent, requests.size() - sent,
                     MSG_DONTWAIT | MSG_NOSIGNAL);
            sent += count > 0 ? static_cast<size_t>(count) : 0;
            vm.run();
            if (i == 20) {
                vm.answer_calls(false, 10);
            }
            if (i > 100) {
                g_usleep(1000);
            }
        }
        EXPECT_EQ(sent, requests.size()) << entry.what;
        vm.run();
        vm.answer_calls(false, 10);
        bool closed = false;
        EXPECT_EQ(count_answers(receive(caller, &closed), 10), 1u)
            << entry.what;
        close(caller);
    }
}

// Guards against an entry VM that spends its processor on a connection that it
// cannot accept for want of a file descriptor, or does not accept it later.
TEST(entry, a_connection_waits_for_a_file_descriptor)
{
    const std::string get = "GET /a HTTP/1.1\r\nHost: x\r\n\r\n";
    struct {
        const char *what;
        bool full; /* no file descriptor is left */
        size_t accepted;
    } cases[] = {
        {"descriptors are left", false, 1},
        {"no descriptor is left", true, 0},
    };
    for (const auto &entry : cases) {
        vm vm;
        int caller = vm.connect_caller();
        send(caller, get.data(), get.size(), 0);
        struct rlimit usual;
        ASSERT_EQ(getrlimit(RLIMIT_NOFILE, &usual), 0);
        struct rlimit limit = usual;
        limit.rlim_cur = entry.full ? 0 : usual.rlim_cur;
        ASSERT_EQ(setrlimit(RLIMIT_NOFILE, &limit), 0);
        int wakeups = vm.count_wakeups();
        EXPECT_EQ(setrlimit(RLIMIT_NOFILE, &usual), 0);
        EXPECT_LE(wakeups, 20) << entry.what;
        EXPECT_EQ(vm.calls.size(), entry.accepted) << entry.what;
        g_usleep(300000); // beyond the next attempt to accept
        vm.run();
        EXPECT_EQ(vm.calls.size(), 1u) << entry.what;
        close(caller);
    }
}

// Guards against a request that is sent to a target where the rest of a body
// is due: the target answers before it has read the body and keeps its
// connection. Also guards against a connection that waits for a target that
// has left.
TEST(entry, a_body_is_passed_on_while_its_answer_comes)
{
    const size_t body_bytes = 400000;
    struct {
        const char *what;
        uint32_t status;
        size_t end_bytes; /* of the body, after which the answer ends */
    } cases[] = {
        {"a target that reads all", 200, body_bytes},
        {"no content, a target that reads all", 204, body_bytes},
        {"a target that reads a part", 200, 100000},
        {"no content, a target that reads a part", 204, 100000},
        {"a target that reads nothing", 400, 0},
    };
    for (const auto &entry : cases) {
        vm vm;
        int caller = vm.connect_caller();
        std::string text = "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: " +
                           std::to_string(body_bytes) + "\r\n\r\n" +
                           std::string(body_bytes, 'x') +
                           "GET /a HTTP/1.1\r\nHost: x\r\n\r\n";
        size_t sent = 100;
        send(caller, text.data(), sent, 0);
        vm.run();
        ASSERT_EQ(vm.calls.size(), 1u) << entry.what;
        struct rp_call *call = vm.calls[0];
        struct rp_stream *answer = vm.begin_answer(entry.status);
        size_t read = 0;
        for (int i = 0;
             i < 1000 && (vm.calls.size() < 2 ||
                          rp_stream_state(answer) == RP_STREAM_OPEN);
             i++)
        {
            std::vector<char> part(10000);
            ssize_t count = send(caller, text.data() + sent,
                                 text.size() - sent, MSG_DONTWAIT);
            sent += count > 0 ? static_cast<size_t>(count) : 0;
            if (read < entry.end_bytes) {
                read += rp_stream_read(call->request, part.data(), 10000);
            }
            else {
                rp_stream_end(answer);
            }
            vm.run();
        }
        EXPECT_GE(read, entry.end_bytes) << entry.what;
        EXPECT_EQ(vm.calls.size(), 2u) << entry.what;
        rp_stream_unref(answer);
        close(caller);
    }
}

// Guards against a planned stop that cuts off callers: with a connection that
// waits to be accepted, with a request that waits in a socket, or with an
// answer of which the last bytes are not written yet.
TEST(entry, stop_answers_what_has_arrived)
{
    const std::string get = "GET /a HTTP/1.1\r\nHost: x\r\n\r\n";
    enum when { BEFORE_STOP, BEFORE_PAUSE, IN_PAUSE, AFTER_PAUSE, NEVER };
    struct {
        const char *what;
        enum when connect;
        enum when request;
        const char *answer;
        uint32_t body_bytes; /* of a call's answer, before the stop */
    } cases[] = {
        {"nothing", BEFORE_STOP, NEVER, "", 0},
        {"a kept connection", BEFORE_STOP, IN_PAUSE, "HTTP/1.1 503", 0},
        {"a connection to accept", IN_PAUSE, IN_PAUSE, "HTTP/1.1 503", 0},
        {"a request on its way", IN_PAUSE, AFTER_PAUSE, "HTTP/1.1 503", 0},
        {"an answer to write", BEFORE_STOP, BEFORE_STOP, "HTTP/1.1 200",
         50000},
    };
    for (const auto &entry : cases) {
        vm vm;
        int caller = -1;
        std::string answer;
        bool closed = false;
        vm.shrink_send_buffers();
        for (enum when now :
             {BEFORE_STOP, BEFORE_PAUSE, IN_PAUSE, AFTER_PAUSE}) {
            if (now == BEFORE_PAUSE) {
                vm.stop();
                vm.answer_calls(false, entry.body_bytes);
            }
            if (entry.connect == now) {
                caller = vm.connect_caller(1);
            }
            if (entry.request == now) {
                send(caller, get.data(), get.size(), MSG_NOSIGNAL);
            }
            if (now == IN_PAUSE) {
                g_usleep(700000); // until no connection is accepted any more
            }
            vm.run();
        }
        for (int i = 0; i < 3000 && !vm.finished(); i++) {
            answer += receive(caller, &closed);
            vm.run();
            g_usleep(1000);
        }
        EXPECT_TRUE(vm.finished()) << entry.what;
        vm.end();
        for (int i = 0; i < 1000 && !closed; i++) {
            answer += receive(caller, &closed);
            g_usleep(1000);
        }
        EXPECT_EQ(answer.substr(0, 12), entry.answer) << entry.what;
        EXPECT_GE(answer.size(), entry.body_bytes) << entry.what;
        close(caller);
    }
}

// Guards against answers that are lost with a stopping process because they
// wait behind a slow request of their connection.
TEST(entry, stop_delivers_answers_behind_a_slow_request)
{
    const std::string get = "GET /a HTTP/1.1\r\nHost: x\r\n\r\n";
    struct {
        const char *what;
        size_t requests;
        size_t slow; /* the first ones, without an answer */
    } cases[] = {
        {"no slow request", 2, 0},
        {"a slow request", 3, 1},
        {"only slow requests", 2, 2},
    };
    for (const auto &entry : cases) {
        vm vm;
        int caller = vm.connect_caller();
        for (size_t i = 0; i < entry.requests; i++) {
            send(caller, get.data(), get.size(), 0);
        }
        vm.run();
        vm.stop();
        std::vector<struct rp_call *> slow(vm.calls.begin(),
                                           vm.calls.begin() +
                                               static_cast<long>(entry.slow));
        vm.calls.erase(vm.calls.begin(),
                       vm.calls.begin() + static_cast<long>(entry.slow));
        vm.answer_calls(false, 10);
        std::string answers;
        bool closed = false;
        int64_t end_ns = rp_loop_now_ns() + 890 * MS;
        while (!closed && rp_loop_now_ns() < end_ns) {
            g_usleep(1000);
            vm.run();
            answers += receive(caller, &closed);
        }
        EXPECT_EQ(count(answers, "HTTP/1.1 504"), entry.slow) << entry.what;
        EXPECT_EQ(count(answers, "HTTP/1.1 200"), entry.requests - entry.slow)
            << entry.what;
        for (struct rp_call *call : slow) {
            rp_call_unref(call);
        }
        close(caller);
    }
}

// Guards against a request that is taken late in a stop, passed on to a target
// that needs longer than the stop lasts, and cut without an answer: one
// request each 50 ms of the stop, on connections that are kept open.
TEST(entry, stop_answers_requests_of_each_moment)
{
    const std::string get = "GET /a HTTP/1.1\r\nHost: x\r\n\r\n";
    const std::string post = "POST /a HTTP/1.1\r\nHost: x\r\n"
                             "Content-Length: 3\r\n\r\nabc";
    for (const std::string &text : {get, post}) {
        vm vm;
        vm.configure(5000);
        std::vector<int> callers;
        std::vector<std::string> answers(20);
        std::vector<bool> was_closed(answers.size());
        for (size_t i = 0; i < answers.size(); i++) {
            callers.push_back(vm.connect_caller());
        }
        vm.run();
        vm.stop();
        int64_t start_ns = rp_loop_now_ns();
        size_t sent = 0;
        while (!vm.expired()) {
            bool closed = false;
            if (sent < callers.size() &&
                rp_loop_now_ns() >=
                    start_ns + static_cast<int64_t>(sent) * 50 * MS)
            {
                answers[sent] += receive(callers[sent], &closed);
                was_closed[sent] = closed;
                send(callers[sent++], text.data(), text.size(), MSG_NOSIGNAL);
            }
            vm.run();
            for (size_t i = 0; i < callers.size(); i++) {
                answers[i] += receive(callers[i], &closed);
            }
            g_usleep(1000);
        }
        size_t passed_on = 0;
        for (size_t i = 0; i < answers.size(); i++) {
            std::string status = answers[i].substr(0, 12);
            EXPECT_TRUE(status == "HTTP/1.1 504" || status == "HTTP/1.1 503" ||
                        (status.empty() && (was_closed[i] || i + 1 >= sent)))
                << i << " " << status;
            passed_on += status == "HTTP/1.1 504" ? 1 : 0;
            close(callers[i]);
        }
        EXPECT_EQ(vm.calls.size(), passed_on);
        EXPECT_GT(passed_on, 0u);
    }
}

// Guards against a stop that takes longer than its timeout, and is killed with
// requests in progress, because the process stood still when its signal came.
TEST(entry, stop_timeout_begins_with_the_signal)
{
    const std::string get = "GET /a HTTP/1.1\r\nHost: x\r\n\r\n";
    for (int64_t delay_ms : {0, 300, 600, 1500}) {
        vm vm;
        int caller = vm.connect_caller();
        send(caller, get.data(), get.size(), 0);
        vm.run();
        ASSERT_EQ(vm.calls.size(), 1u);
        int64_t now_ns = rp_loop_now_ns();
        int64_t kill_ns = MAX(now_ns + (1000 - delay_ms) * MS, now_ns);
        vm.stop(delay_ms * MS);
        std::string answers;
        bool closed = false;
        do {
            g_usleep(1000);
            vm.run();
            answers += receive(caller, &closed);
        } while (!closed && rp_loop_now_ns() < kill_ns);
        EXPECT_EQ(count(answers, "HTTP/1.1 504"), 1u) << delay_ms;
        close(caller);
    }
}

// Guards against a process that stood still at the end of a stop and then ends
// before the answers of that end are written.
TEST(entry, stop_ends_after_its_answers)
{
    const std::string get = "GET /a HTTP/1.1\r\nHost: x\r\n\r\n";
    struct {
        const char *what;
        int64_t before_ms; /* run before the pause */
        int64_t pause_ms;
    } cases[] = {
        {"no pause", 0, 0},
        {"a pause over the last answers", 700, 150},
        {"a pause over the end", 700, 400},
        {"a pause over the whole stop", 0, 1200},
    };
    for (const auto &entry : cases) {
        vm vm;
        int caller = vm.connect_caller();
        for (int i = 0; i < 2; i++) {
            send(caller, get.data(), get.size(), 0);
        }
        vm.run();
        vm.stop();
        ASSERT_EQ(vm.calls.size(), 2u) << entry.what;
        struct rp_call *slow = vm.calls.front();
        vm.calls.erase(vm.calls.begin());
        vm.answer_calls(false, 10);
        int64_t pause_ns = rp_loop_now_ns() + entry.before_ms * MS;
        while (rp_loop_now_ns() < pause_ns) {
            g_usleep(1000);
            vm.run_once();
        }
        g_usleep(static_cast<gulong>(entry.pause_ms) * 1000);
        while (!vm.expired()) {
            g_usleep(1000);
            vm.run_once();
        }
        bool closed = false;
        std::string answers = receive(caller, &closed);
        EXPECT_EQ(count(answers, "HTTP/1.1 504"), 1u) << entry.what;
        EXPECT_EQ(count(answers, "HTTP/1.1 200"), 1u) << entry.what;
        rp_call_unref(slow);
        close(caller);
    }
}

// Guards against a second run of a request: one behind an answer that ends the
// connection, which the caller sends again elsewhere, and which is started
// while that answer is still being written.
TEST(entry, nothing_starts_behind_an_answer_that_ends_the_connection)
{
    const std::string get = "GET /a HTTP/1.1\r\nHost: x\r\n\r\n";
    const std::string post =
        "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc";
    struct {
        const char *what;
        std::string requests;
    } cases[] = {
        {"a stop, repeatable", get + get},
        {"a stop, not repeatable", get + post},
    };
    for (const auto &entry : cases) {
        vm vm;
        vm.shrink_send_buffers();
        int caller = vm.connect_caller(1);
        ASSERT_EQ(
            send(caller, entry.requests.data(), entry.requests.size(), 0),
            static_cast<ssize_t>(entry.requests.size()));
        vm.stop();
        vm.run();
        ASSERT_EQ(vm.calls.size(), 1u) << entry.what;
        vm.answer_calls(false, 50000);
        bool closed = false;
        std::string answers;
        while (!closed) {
            answers += receive(caller, &closed);
            vm.run();
            ASSERT_EQ(vm.calls.size(), 0u) << entry.what;
        }
        EXPECT_EQ(count_answers(answers, 50000), 1u) << entry.what;
        close(caller);
    }
}

} // namespace
