#include <gtest/gtest.h>

#include <cstring>
#include <string>

#include "ticket.h"

namespace {

constexpr int64_t S = 1000000000;
const std::string NONCE = "00112233445566778899aabbccddeeff";
const uint8_t key_bytes[] = "fleet key of the tests, 32 bytes";
const struct rp_ticket_key key = {key_bytes, 32};

class ticket_test : public ::testing::Test {
  protected:
    ticket_test()
    {
        struct rp_ticket_config config = {"bilbo.1", 7, key, 3, 5000};
        table = rp_ticket_table_new(&config, START);
    }

    ~ticket_test() override
    {
        rp_ticket_table_free(table);
    }

    std::string prefix(int64_t now_ns)
    {
        char text[RP_TICKET_PREFIX_BYTES];
        rp_ticket_table_prefix(table, now_ns, text);
        return text;
    }

    struct rp_ticket_claim claim(const std::string &text, int64_t now_ns,
                                 uint64_t digest = 1)
    {
        struct rp_ticket ticket;
        struct rp_ticket_claim result = {};
        EXPECT_TRUE(rp_ticket_parse(&key, text.c_str(), &ticket, nullptr));
        EXPECT_EQ(rp_ticket_table_route(table, &ticket),
                  RP_TICKET_ROUTE_LOCAL);
        rp_ticket_table_claim(table, &ticket, digest, now_ns, &result);
        return result;
    }

    std::string ticket(int number, int64_t now_ns)
    {
        char nonce[33];
        snprintf(nonce, sizeof(nonce), "%032x", number);
        return prefix(now_ns) + "." + nonce;
    }

    static constexpr int64_t START = 500 * S;
    struct rp_ticket_table *table;
};

// Guards against accepting forged, truncated or malformed tickets.
TEST_F(ticket_test, parse)
{
    std::string valid_ticket = prefix(START) + "." + NONCE;
    std::string flipped = valid_ticket;
    size_t mac_end = prefix(START).size() - 1;
    flipped[mac_end] = flipped[mac_end] == '0' ? '1' : '0';
    struct {
        std::string text;
        bool valid;
    } cases[] = {
        {valid_ticket, true},
        {prefix(START) + ".00112233445566778899AABBCCDDEEFF", true},
        {"", false},
        {"....", false},
        {prefix(START), false},
        {prefix(START) + ".", false},
        {valid_ticket + "0", false},
        {valid_ticket.substr(0, valid_ticket.size() - 1), false},
        {valid_ticket.substr(0, valid_ticket.size() - 1) + "g", false},
        {valid_ticket.substr(1), false},
        {flipped, false},
        {"bilbo.1.8" + valid_ticket.substr(strlen("bilbo.1.7")), false},
        {"bilbo.1.+7" + valid_ticket.substr(strlen("bilbo.1.7")), false},
        {std::string(100000, '.'), false},
    };
    for (const auto &entry : cases) {
        struct rp_ticket ticket;
        GError *error = nullptr;
        EXPECT_EQ(rp_ticket_parse(&key, entry.text.c_str(), &ticket, &error),
                  entry.valid)
            << entry.text.substr(0, 120);
        EXPECT_EQ(error == nullptr, entry.valid);
        g_clear_error(&error);
    }
    struct rp_ticket_key other = {key_bytes, 31};
    struct rp_ticket ticket;
    EXPECT_FALSE(
        rp_ticket_parse(&other, valid_ticket.c_str(), &ticket, nullptr));
}

// Guards against an incarnation accepting a ticket that it didn't issue.
TEST_F(ticket_test, route)
{
    struct rp_ticket ticket;
    std::string text = prefix(START) + "." + NONCE;
    ASSERT_TRUE(rp_ticket_parse(&key, text.c_str(), &ticket, nullptr));
    EXPECT_EQ(rp_ticket_table_route(table, &ticket), RP_TICKET_ROUTE_LOCAL);
    ticket.incarnation = 6;
    EXPECT_EQ(rp_ticket_table_route(table, &ticket),
              RP_TICKET_ROUTE_OLD_INCARNATION);
    strcpy(ticket.id, "bilbo.2");
    EXPECT_EQ(rp_ticket_table_route(table, &ticket), RP_TICKET_ROUTE_REMOTE);
}

// Guards against sending callers a prefix that is forged, of another
// incarnation, or about to expire.
TEST_F(ticket_test, peer_prefix)
{
    std::string text = prefix(START);
    struct {
        std::string text;
        const char *id;
        uint64_t incarnation;
        bool valid;
    } cases[] = {
        {text, "bilbo.1", 7, true},  {text, "bilbo.1", 8, false},
        {text, "bilbo.2", 7, false}, {text + "0", "bilbo.1", 7, false},
        {"", "bilbo.1", 7, false},
    };
    for (const auto &entry : cases) {
        EXPECT_EQ(rp_ticket_prefix_check(&key, entry.text.c_str(), entry.id,
                                         entry.incarnation),
                  entry.valid)
            << entry.text;
    }
    char local_prefix[RP_TICKET_PREFIX_BYTES];
    EXPECT_EQ(rp_ticket_table_prefix(table, START + 4 * S, local_prefix),
              START + 15 * S);
}

// Guards against a second run of a request: checks the verdict of a repeated
// claim for each end of the first one, before and after the prefix expires.
TEST_F(ticket_test, repeats)
{
    struct {
        const char *end;
        uint32_t body_bytes;
        enum rp_ticket_verdict repeat;
    } cases[] = {
        {"none", 0, RP_TICKET_RUNNING},
        {"done", 5, RP_TICKET_REPLAY},
        {"done", 0, RP_TICKET_REPLAY},
        {"done", RP_TICKET_MAX_BODY_BYTES, RP_TICKET_REPLAY},
        {"done", RP_TICKET_MAX_BODY_BYTES + 1, RP_TICKET_UNKNOWN},
        {"unknown", 0, RP_TICKET_UNKNOWN},
        {"not run", 0, RP_TICKET_NOT_RUN},
    };
    std::string body(RP_TICKET_MAX_BODY_BYTES + 1, 'x');
    int64_t now_ns = START;
    for (const auto &entry : cases) {
        std::string text = ticket(1, now_ns);
        struct rp_ticket_claim first = claim(text, now_ns);
        ASSERT_EQ(first.verdict, RP_TICKET_RUN);
        std::string end = entry.end;
        EXPECT_TRUE(rp_ticket_attempt_begin(first.entry));
        EXPECT_FALSE(rp_ticket_attempt_begin(first.entry));
        struct rp_ticket_answer answer = {201, 1,           "a\0b",
                                          4,   body.data(), entry.body_bytes};
        if (end == "done") {
            rp_ticket_finish_done(table, first.entry, &answer);
        }
        else if (end == "unknown") {
            rp_ticket_finish_unknown(table, first.entry);
        }
        else if (end == "not run") {
            rp_ticket_attempt_not_run(first.entry);
            EXPECT_TRUE(rp_ticket_finish_not_run(table, first.entry));
        }
        struct rp_ticket_claim repeat = claim(text, now_ns + 34 * S);
        EXPECT_EQ(repeat.verdict, entry.repeat) << end << entry.body_bytes;
        if (repeat.verdict == RP_TICKET_REPLAY) {
            EXPECT_EQ(repeat.answer.status, 201u);
            EXPECT_EQ(memcmp(repeat.answer.head, "a\0b", 4), 0);
            EXPECT_EQ(repeat.answer.body_bytes, entry.body_bytes);
        }
        EXPECT_EQ(claim(text, now_ns + 34 * S, 2).verdict, RP_TICKET_MISMATCH);
        now_ns += 35 * S;
        EXPECT_EQ(claim(text, now_ns).verdict,
                  end == "none" ? RP_TICKET_RUNNING : RP_TICKET_UNKNOWN);
        if (end == "none") {
            rp_ticket_finish_unknown(table, first.entry);
            EXPECT_EQ(claim(text, now_ns).verdict, RP_TICKET_UNKNOWN);
        }
        EXPECT_EQ(rp_ticket_table_count(table), 0u);
    }
}

// Guards against a not-run verdict when an attempt may have run.
TEST_F(ticket_test, exposed_claim_is_never_not_run)
{
    std::string text = ticket(1, START);
    struct rp_ticket_claim first = claim(text, START);
    ASSERT_TRUE(rp_ticket_attempt_begin(first.entry));
    EXPECT_FALSE(rp_ticket_finish_not_run(table, first.entry));
    EXPECT_EQ(claim(text, START).verdict, RP_TICKET_UNKNOWN);
}

// Guards against a full table that forgets tickets, and against running a copy
// of a refused request after its caller has received not-run.
TEST_F(ticket_test, full_table_refuses_for_good)
{
    std::string refused = ticket(9, START);
    std::string unseen = ticket(10, START);
    for (int i = 0; i < 3; i++) {
        struct rp_ticket_claim first = claim(ticket(i, START), START);
        ASSERT_EQ(first.verdict, RP_TICKET_RUN);
        rp_ticket_finish_unknown(table, first.entry);
    }
    EXPECT_EQ(claim(refused, START).verdict, RP_TICKET_FULL);
    EXPECT_EQ(claim(ticket(0, START), START).verdict, RP_TICKET_UNKNOWN);
    EXPECT_EQ(claim(refused, START + 34 * S).verdict, RP_TICKET_FULL);
    EXPECT_EQ(claim(unseen, START + 34 * S).verdict, RP_TICKET_FULL);
    EXPECT_EQ(claim(refused, START + 35 * S).verdict, RP_TICKET_UNKNOWN);
    int64_t later = START + 70 * S;
    EXPECT_EQ(claim(ticket(11, later), later).verdict, RP_TICKET_RUN);
}

// Guards against a prefix that never changes or that expires early, and
// against accepting a serial that hasn't been issued yet.
TEST_F(ticket_test, serials)
{
    EXPECT_EQ(prefix(START), prefix(START + 5 * S - 1));
    EXPECT_NE(prefix(START), prefix(START + 5 * S));
    EXPECT_EQ(claim(ticket(1, START), START + 34 * S).verdict, RP_TICKET_RUN);
    EXPECT_EQ(claim(ticket(2, START), START + 35 * S).verdict,
              RP_TICKET_UNKNOWN);
    int64_t future = START + 100 * S;
    EXPECT_EQ(claim(ticket(3, future), START + 40 * S).verdict,
              RP_TICKET_UNKNOWN);
}

// Guards against stored answers beyond their budget.
TEST_F(ticket_test, replay_budget)
{
    std::string body(3000, 'x');
    struct rp_ticket_answer answer = {200, 0, "", 0, body.data(), 3000};
    enum rp_ticket_verdict expected[] = {RP_TICKET_REPLAY, RP_TICKET_UNKNOWN};
    for (int i = 0; i < 2; i++) {
        struct rp_ticket_claim first = claim(ticket(i, START), START);
        rp_ticket_finish_done(table, first.entry, &answer);
        EXPECT_EQ(claim(ticket(i, START), START).verdict, expected[i]);
    }
}

} // namespace
