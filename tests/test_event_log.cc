#include <gtest/gtest.h>

#include <fcntl.h>
#include <string>
#include <unistd.h>

extern "C" {
#include "event_log.h"
}

namespace {

constexpr int64_t MS = 1000000;

class event_log : public ::testing::Test {
  protected:
    event_log()
    {
        struct rp_identity identity = {};
        g_strlcpy(identity.id, "vm-1", sizeof(identity.id));
        context = rp_context_new(&identity, 1);
        EXPECT_EQ(pipe(ends), 0);
    }

    ~event_log() override
    {
        rp_context_free(context);
        close(ends[0]);
        close(ends[1]);
    }

    std::string read_all()
    {
        std::string text;
        char bytes[65536];
        fcntl(ends[0], F_SETFL, O_NONBLOCK);
        for (ssize_t count; (count = read(ends[0], bytes, sizeof(bytes))) > 0;)
        {
            text.append(bytes, (size_t)count);
        }
        return text;
    }

    struct rp_context *context;
    int ends[2];
};

// Guards against a decision without its line, and a line that is not JSON of
// its own.
TEST_F(event_log, one_line_for_each_event)
{
    struct rp_event_log *log = rp_event_log_new(context, ends[1], 100, 0);
    struct rp_event *event = rp_event_add(context->events, RP_EVENT_CALL_SENT,
                                          5 * MS, "10.0.0.1:80");
    rp_event_set_request(event, "id-1");
    rp_event_set_detail(event, "line\nbreak \"quoted\"");
    rp_event_add(context->events, RP_EVENT_STARTED, 6 * MS, "vm-1");
    rp_event_log_write(log, 6 * MS);
    std::string text = read_all();
    EXPECT_EQ(std::count(text.begin(), text.end(), '\n'), 2);
    EXPECT_NE(text.find(R"("request":"id-1")"), std::string::npos);
    EXPECT_NE(text.find(R"(line\nbreak \"quoted\")"), std::string::npos);
    EXPECT_NE(text.find(R"("id":"vm-1")"), std::string::npos);
    rp_event_log_free(log);
}

// Guards against a log that grows with the load.
TEST_F(event_log, rate_is_bounded_and_drops_are_counted)
{
    struct rp_event_log *log = rp_event_log_new(context, ends[1], 10, 0);
    int64_t lines = 0;
    for (int second = 0; second < 10; second++) {
        for (int i = 0; i < 500; i++) {
            rp_event_add(context->events, RP_EVENT_STARTED, 0, "x");
        }
        rp_event_log_write(log, second * 1000 * MS);
        std::string text = read_all();
        lines += std::count(text.begin(), text.end(), '\n');
    }
    EXPECT_LE(lines, 10 * 10 + 40); // four seconds' worth at once
    EXPECT_EQ(rp_counter_get(&context->counters, RP_COUNTER_LOG_DROPPED),
              5000u - (uint64_t)lines);
    rp_event_log_free(log);
}

// Guards against a process that stands still because nobody reads its log.
TEST_F(event_log, full_pipe_does_not_block)
{
    struct rp_event_log *log = rp_event_log_new(context, ends[1], 100000, 0);
    for (int round = 0; round < 100; round++) {
        for (int i = 0; i < 100; i++) {
            rp_event_add(context->events, RP_EVENT_STARTED, 0,
                         std::string(60, 'x').c_str());
        }
        rp_event_log_write(log, round * MS); // would hang here
    }
    EXPECT_GT(rp_counter_get(&context->counters, RP_COUNTER_LOG_DROPPED), 0u);
    rp_event_log_free(log);
}

// Guards against lines that reach the reader in two parts, between which those
// of other processes come.
TEST_F(event_log, each_write_holds_whole_lines)
{
    int packets[2]; // each read takes what one write brought
    ASSERT_EQ(pipe2(packets, O_DIRECT | O_NONBLOCK), 0);
    struct rp_event_log *log = rp_event_log_new(context, packets[1], 1000, 0);
    for (int i = 0; i < 200; i++) {
        rp_event_add(context->events, RP_EVENT_STARTED, 0,
                     std::string((size_t)(i % 60), 'x').c_str());
    }
    rp_event_log_write(log, 0);
    char bytes[65536];
    int writes = 0;
    for (ssize_t count; (count = read(packets[0], bytes, sizeof(bytes))) > 0;
         writes++)
    {
        EXPECT_EQ(bytes[count - 1], '\n') << "write " << writes;
    }
    EXPECT_GE(writes, 5);
    rp_event_log_free(log);
    close(packets[0]);
    close(packets[1]);
}

// Guards against the last lines before the end of a process being lost while
// a slow reader has made room for them.
TEST_F(event_log, free_writes_pending_lines)
{
    // More than one fill of the pipe of 64 KiB, and less than two.
    constexpr int LINES = 600;
    struct rp_event_log *log = rp_event_log_new(context, ends[1], 100000, 0);
    for (int i = 0; i < LINES; i++) {
        rp_event_add(context->events, RP_EVENT_STARTED, 0,
                     std::string(60, 'x').c_str());
    }
    rp_event_log_write(log, 0);
    std::string text = read_all();
    ASSERT_LT(std::count(text.begin(), text.end(), '\n'), LINES)
        << "the pipe holds all, so that nothing waits";
    rp_event_log_free(log);
    text += read_all();
    EXPECT_EQ(std::count(text.begin(), text.end(), '\n'), LINES);
}

} // namespace
