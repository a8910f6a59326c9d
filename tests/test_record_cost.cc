#include <gtest/gtest.h>

#include <malloc.h>

#include <cstdio>
#include <ctime>
#include <string>
#include <vector>

extern "C" {
#include "record_set.h"
}

namespace {

struct published {
    std::string key;
    std::string value;
};

/* Returns four records for each service; half of its targets are in records of
 * schema 1, half in those of schema 2. */
std::vector<published>
make_records(int services, int targets)
{
    std::vector<published> all;
    int first = 0;
    for (int i = 0; i < services; i++) {
        std::string name = "service-" + std::to_string(i);
        int count = targets * (i + 1) / services - first;
        std::string old_list;
        std::string new_list;
        for (int j = first; j < first + count; j++) {
            std::string n = std::to_string(j);
            std::string port = std::to_string(10000 + j);
            if (j % 2 == 0) {
                old_list += (old_list.empty() ? "" : ",") +
                            (R"({"host":"10.0.0.1","port":)" + port) +
                            R"(,"name":"worker-)" + n +
                            R"(","domain":"domain-1","slots":6})";
            }
            else {
                new_list += (new_list.empty() ? "" : ",") +
                            (R"({"address":"10.0.0.1:)" + port) +
                            R"(","name":"worker-)" + n +
                            R"(","domain":"domain-1","slots":6,)"
                            R"("connections":200,"state":"serving"})";
            }
        }
        first += count;
        all.push_back({"v1/" + name, R"({"schema":1,"version":1,"service":")" +
                                         name + R"(","prefix":"/)" + name +
                                         R"(","timeout_s":10,"servers":[)" +
                                         old_list + "]}"});
        all.push_back({"service/" + name,
                       R"({"schema":2,"kind":"service","version":1,"name":")" +
                           name + R"(","match":{"path_prefix":"/)" + name +
                           R"("},"timeout_ms":2000,"max_timeout_ms":5000,)"
                           R"("length_class":"short","probes_per_10s":5})"});
        all.push_back({"targets/" + name + "/new",
                       R"({"schema":2,"kind":"targets","version":1,)"
                       R"("estate":"new","service":")" +
                           name + R"(","targets":[)" + new_list + "]}"});
        all.push_back(
            {"share/" + name,
             R"({"schema":2,"kind":"share","version":1,"service":")" + name +
                 R"(","shares":{"old":500,"new":500}})"});
    }
    return all;
}

double
cpu_us()
{
    struct timespec time;
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return time.tv_sec * 1e6 + time.tv_nsec / 1e3;
}

void
offer_all(struct rp_record_set *set, const std::vector<published> &all,
          uint64_t revision)
{
    for (const auto &each : all) {
        GBytes *value = g_bytes_new(each.value.data(), each.value.size());
        struct rp_record_item item = {const_cast<char *>(each.key.c_str()),
                                      revision, value};
        EXPECT_NE(rp_record_set_offer(set, &item, nullptr, nullptr),
                  RP_RECORD_REFUSED);
        g_bytes_unref(value);
    }
}

// Guards against a record set that exceeds the 64 MB of an entry VM. Prints
// the figures of docs/decisions.md; times depend on the machine and are not
// checked.
TEST(record_cost, memory_is_bounded)
{
    for (int scale : {10, 3, 1}) {
        int services = 51 / scale;
        int targets = 500 / scale;
        std::vector<published> all = make_records(services, targets);
        size_t bytes = 0;
        for (const auto &each : all) {
            bytes += each.value.size();
        }
        struct mallinfo2 before = mallinfo2();
        struct rp_record_set *set = rp_record_set_new();
        double start_us = cpu_us();
        offer_all(set, all, 1);
        double parsed_us = cpu_us();
        struct mallinfo2 with_set = mallinfo2();
        const int rounds = 20;
        for (int i = 0; i < rounds; i++) {
            offer_all(set, all, 1);
        }
        double reoffered_us = cpu_us();
        for (int i = 0; i < rounds; i++) {
            rp_snapshot_unref(rp_record_set_build(set, nullptr, nullptr));
        }
        double built_us = cpu_us();
        struct mallinfo2 without_snapshot = mallinfo2();
        struct rp_snapshot *snapshot =
            rp_record_set_build(set, nullptr, nullptr);
        struct mallinfo2 with_snapshot = mallinfo2();
        size_t set_bytes = with_set.uordblks - before.uordblks;
        size_t snapshot_bytes =
            with_snapshot.uordblks - without_snapshot.uordblks;
        printf("services=%d targets=%d records=%zu value_bytes=%zu "
               "parse_and_join_us=%.0f known_again_us=%.0f build_us=%.0f "
               "set_bytes=%zu snapshot_bytes=%zu\n",
               services, targets, all.size(), bytes, parsed_us - start_us,
               (reoffered_us - parsed_us) / rounds,
               (built_us - reoffered_us) / rounds, set_bytes, snapshot_bytes);
        EXPECT_LT(set_bytes, 1000000u);
        EXPECT_LT(snapshot_bytes, 1000000u);
        rp_snapshot_unref(snapshot);
        rp_record_set_free(set);
    }
}

} // namespace
