/* Two machines lose their path to the store just before a worker reports
 * draining. Does a request reach that worker later than `drain` after the
 * store's acknowledgement, sent on by a machine that was not cut off? */
#include <stdlib.h>
#include <string.h>

#include "../rig-2/rig.h"

#define MACHINES 6
/* The core_cut: its count and length. */
#define MAX_CUT 2
#define CUT_MS 6190
/* A read with staleOk is this old. */
#define STALE_MS 3000
#define SERVES_ON_MS 6000
#define MIN_SERVED 500

static struct rig_worker *leaving;
static volatile int64_t ack_ms = -1;
static volatile bool is_cut[MACHINES];
static volatile int arrivals;
static volatile int late;
static volatile int64_t latest_ms;

static void
record_run(struct rig_worker *worker, const char *id)
{
    int64_t after_ms = rig_now_ms() - ack_ms;
    int64_t machine = rig_number(id + 1);
    if (worker != leaving || ack_ms < 0) {
        return;
    }
    __sync_fetch_and_add(&arrivals, 1);
    if (after_ms <= RIG_DRAIN_MS || is_cut[machine]) {
        return;
    }
    __sync_fetch_and_add(&late, 1);
    latest_ms = after_ms;
    rig_record("late: request %s, sent on by machine %d, reaches the leaving "
               "worker %lld ms after the acknowledgement",
               id, (int)machine + 1, (long long)after_ms);
}

static void
publish_config(void)
{
    static const char *const services[] = {"binwatch"};
    char *text = NULL;
    size_t bytes = 0;
    FILE *out = rig_config_begin(&text, &bytes, 3, "hulo84.example");
    rig_config_rule(out, true, "r-1", "/leny950/", "binwatch");
    rig_config_end(out, services, 1);
    rig_store_put("op/config", text);
    free(text);
}

/* Chooses machines that watch the store, as the store sees it. */
static void
choose_machines(void)
{
    int chosen = 0;
    for (int i = 0; i < MACHINES; i++) {
        bool watches = rig_watch_begun_ms(i) > rig_now_ms() - 3000;
        is_cut[i] = watches && chosen < MAX_CUT;
        chosen += is_cut[i] ? 1 : 0;
        if (watches) {
            rig_record("machine %d watches the store", i + 1);
        }
    }
    if (chosen == 0) {
        rig_give_up("no machine watches the store");
    }
}

/* Waits until the store has answered one of these machines. */
static void
await_answer(void)
{
    int64_t begin_ms = rig_now_ms();
    bool answered = false;
    while (!answered && rig_now_ms() < begin_ms + 2500) {
        for (int i = 0; i < MACHINES; i++) {
            answered |= is_cut[i] && rig_watch_answered_ms(i) >= begin_ms;
        }
        rig_sleep_ms(1);
    }
}

static void
cut(bool on)
{
    for (int i = 0; i < MACHINES && rig_trouble(); i++) {
        if (is_cut[i]) {
            rig_store_cut(i, on);
            rig_record("the path from machine %d to the store is %s", i + 1,
                       on ? "cut" : "whole again");
        }
    }
}

int
main(int argc, char **argv)
{
    static struct rig_traffic traffic = {.machines = MACHINES,
                                         .clients = 4,
                                         .pause_ms = 40,
                                         .host = "hulo84.example",
                                         .path = "/leny950/2f"};
    rig_start("draining beside a cut", argc > 1 ? argv[1] : "record.txt");
    rig_on_run = record_run;
    rig_stale_lag_ms = STALE_MS;
    publish_config();
    for (int i = 0; i < 4; i++) {
        leaving = rig_worker_new("binwatch", 20);
        rig_worker_publish(leaving, "ready");
    }
    for (int i = 0; i < MACHINES; i++) {
        rig_machine_start(i, 3);
    }
    rig_await_ready(MACHINES);
    rig_traffic_start(&traffic);
    rig_sleep_ms(15000);
    choose_machines();
    await_answer();
    int64_t cut_ms = rig_now_ms();
    cut(true);
    rig_sleep_until(cut_ms + 500);
    leaving->leaving = true;
    rig_worker_publish(leaving, "draining");
    ack_ms = rig_now_ms();
    rig_record("worker %s is draining; the store has acknowledged it",
               leaving->id);
    rig_sleep_until(cut_ms + CUT_MS);
    cut(false);
    rig_sleep_until(ack_ms + SERVES_ON_MS);
    traffic.stop = true;
    rig_record("%u requests served, %u not; the worker ran %d after the "
               "acknowledgement, %d of them late, the last after %lld ms",
               traffic.served, traffic.failed, arrivals, late,
               (long long)latest_ms);
    if (traffic.served < MIN_SERVED) {
        rig_give_up("too few requests are served");
    }
    rig_record("DRAIN: %s", late > 0 ? "broken" : "held");
    return rig_end(late > 0 ? RIG_BROKEN : RIG_HELD);
}
