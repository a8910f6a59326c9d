#include <stdio.h>
#include <stdlib.h>

#include "bench.h"

#define DECISION_COUNT 1000
#define CALL_INTERVAL_NS 70000

/* Offers calls to a balancer with this number of targets, which have requests
 * in flight and load reports of different ages, so that callgrind can count
 * the instructions of rp_balancer_offer. Returns an exit status. */
int
bench_run_decisions(uint32_t targets)
{
    struct rp_snapshot *snapshot = rp_snapshot_new();
    struct rp_service *service = rp_snapshot_add_service(snapshot, "s");
    for (uint32_t i = 0; i < targets; i++) {
        char name[32];
        g_snprintf(name, sizeof(name), "t%u", i);
        rp_service_add_target(service, name, name, i % 2 ? "d0" : "d1",
                              i % 3 ? "old" : "new")
            ->slots = FAKE_TARGET_SLOTS;
    }
    service->estates[0].share_permille = 500;
    service->estates[1].share_permille = 500;
    struct rp_balancer_config config = {
        .domain = "d0", .fleet_size = 14, .deciders = 4, .queue_limit = 100};
    struct rp_balancer *balancer = rp_balancer_new(&config);
    rp_balancer_set_service(balancer, service, 0);
    uint32_t sent_count = 0;
    for (uint32_t i = 0; i < DECISION_COUNT; i++) {
        int64_t now_ns = (int64_t)i * CALL_INTERVAL_NS;
        struct rp_balancer_call call = {
            .call_id = i, .kind = 1, .deadline_ns = now_ns + 1000000000};
        struct rp_balancer_verdict verdict;
        rp_balancer_offer(balancer, &call, now_ns, &verdict);
        if (verdict.action != RP_BALANCER_SEND) {
            continue;
        }
        sent_count++;
        struct rp_attempt_report report = {
            .target = verdict.target,
            .outcome = RP_ATTEMPT_OK,
            .kind = 1,
            .sent_ns = now_ns,
            .first_byte_ns = now_ns + 5000000,
            .has_load = true,
            .load = {.in_flight = i % 6, .slots = FAKE_TARGET_SLOTS}};
        rp_balancer_finish(balancer, &report, now_ns + 5000000);
    }
    printf("%u decisions between %u targets, %u sent\n", DECISION_COUNT,
           targets, sent_count);
    rp_balancer_free(balancer);
    rp_snapshot_unref(snapshot);
    return sent_count > 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
