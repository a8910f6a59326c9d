#include <gtest/gtest.h>

#include <curl/curl.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <string>

#include "upstream.h"

namespace {

const int64_t MS = 1000000;
const size_t ANSWER_BYTES = 1000000;

enum MHD_Result
on_request(void *data, struct MHD_Connection *connection, const char *,
           const char *, const char *, const char *, size_t *, void **)
{
    struct MHD_Response *response = MHD_create_response_from_buffer(
        ANSWER_BYTES, data, MHD_RESPMEM_PERSISTENT);
    enum MHD_Result result = MHD_queue_response(connection, 200, response);
    MHD_destroy_response(response);
    return result;
}

// A substitute for the dispatch task.
struct receiver {
    struct rp_loop *loop;
    struct rp_stream *body;
    uint32_t done_count;
};

void
on_message(struct rp_task *task, const struct rp_message *message,
           int64_t now_ns, void *data)
{
    auto *self = static_cast<receiver *>(data);
    if (message->kind == RP_MSG_ATTEMPT_HEAD) {
        rp_task_set_timer(task, 0, now_ns + 100 * MS);
    }
    if (message->kind == RP_MSG_ATTEMPT_DONE) {
        self->done_count++;
        rp_loop_end(self->loop);
    }
}

void
on_timer(struct rp_task *, uint32_t timer, int64_t, void *data)
{
    auto *self = static_cast<receiver *>(data);
    if (timer == 0) {
        rp_stream_break(self->body);
    }
    else {
        rp_loop_end(self->loop);
    }
}

const struct rp_task_ops receiver_ops = {on_message, on_timer, nullptr};

// Guards against an attempt that keeps its connection, and its request at the
// target, for good: it was cancelled while its answer was paused, and the
// message was lost in a full mailbox.
TEST(upstream, an_attempt_ends_without_its_cancel_message)
{
    curl_global_init(CURL_GLOBAL_DEFAULT);
    std::string text(ANSWER_BYTES, 'x');
    struct sockaddr_in local = {};
    local.sin_family = AF_INET;
    local.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    struct MHD_Daemon *daemon = MHD_start_daemon(
        MHD_USE_INTERNAL_POLLING_THREAD, 0, nullptr, nullptr, on_request,
        &text[0], MHD_OPTION_SOCK_ADDR, &local, MHD_OPTION_END);
    ASSERT_NE(daemon, nullptr);
    uint16_t port =
        MHD_get_daemon_info(daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
    struct rp_identity identity = {};
    identity.fleet_size = 1;
    struct rp_context *context = rp_context_new(&identity, 1);
    struct rp_kernel *kernel = rp_kernel_new(context);
    struct rp_loop *loop = rp_loop_new(kernel);
    receiver dispatch = {loop, rp_stream_new(), 0};
    struct rp_task *task = rp_kernel_add_task(
        kernel, RP_TASK_DISPATCH, &receiver_ops, &dispatch, nullptr);
    struct rp_upstream_config config = {};
    config.dialect = &rp_dialect_native;
    config.max_connections_per_target = 4;
    config.progress_timeout_ms = 60000;
    ASSERT_NE(rp_upstream_new(loop, &config, nullptr), nullptr);
    struct rp_attempt_start start = {};
    start.call_id = 1;
    start.generation = 1;
    start.flags = RP_ATTEMPT_REPEATABLE;
    start.call = rp_call_new(1, "GET", "/a", "");
    start.call->method_flag = RP_METHOD_GET;
    start.body = rp_stream_ref(dispatch.body);
    start.deadline_ns = rp_loop_now_ns() + 60000 * MS;
    g_snprintf(start.address, sizeof(start.address), "127.0.0.1:%u", port);
    rp_task_send_owned(task, rp_kernel_find_task(kernel, RP_TASK_UPSTREAM),
                       RP_MSG_ATTEMPT_START, &start, sizeof(start),
                       rp_attempt_start_release);
    rp_task_set_timer(task, 1, rp_loop_now_ns() + 5000 * MS);
    rp_loop_run(loop);
    EXPECT_EQ(rp_stream_state(dispatch.body), RP_STREAM_BROKEN);
    EXPECT_EQ(dispatch.done_count, 1u);
    rp_kernel_free(kernel);
    rp_loop_free(loop);
    rp_stream_unref(dispatch.body);
    rp_context_free(context);
    MHD_stop_daemon(daemon);
}

} // namespace
