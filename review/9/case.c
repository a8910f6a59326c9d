/* The store is silent for a time. Once it has been without disruption for
 * `contact` again, the entry of a worker is removed. Does a request reach the
 * worker later than `drain` after that? */
#include <stdlib.h>
#include <string.h>

#include "../rig-2/rig.h"

#define MACHINES 2
/* The platform_down: its greatest length. */
#define MAX_SILENCE_MS 4500
#define SERVES_ON_MS 5000
#define MIN_SERVED 500

static struct rig_worker *leaving;
static volatile int64_t ack_ms = -1;
static volatile int arrivals;
static volatile int late;
static volatile int64_t latest_ms;

static void
record_run(struct rig_worker *worker, const char *id)
{
    int64_t after_ms = rig_now_ms() - ack_ms;
    if (worker != leaving || ack_ms < 0) {
        return;
    }
    __sync_fetch_and_add(&arrivals, 1);
    if (after_ms <= RIG_DRAIN_MS) {
        return;
    }
    __sync_fetch_and_add(&late, 1);
    latest_ms = after_ms;
    rig_record("late: request %s reaches the worker %lld ms after its entry "
               "was removed",
               id, (long long)after_ms);
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

/* Waits until all machines have begun a watch since a time. */
static bool
await_watches(int64_t since_ms, int64_t until_ms)
{
    bool all = false;
    while (!all && rig_now_ms() < until_ms) {
        all = true;
        for (int i = 0; i < MACHINES; i++) {
            all = all && rig_watch_begun_ms(i) >= since_ms;
        }
        rig_sleep_ms(1);
    }
    return all;
}

/* Silences the store until all machines have tried again. */
static void
silence(void)
{
    int64_t begin_ms = rig_now_ms();
    rig_store_silence(true);
    rig_record("the store is silent");
    await_watches(begin_ms, begin_ms + MAX_SILENCE_MS - 200);
    rig_sleep_ms(100);
    rig_store_silence(false);
    rig_record("the store answers again after %lld ms",
               (long long)(rig_now_ms() - begin_ms));
}

int
main(int argc, char **argv)
{
    static struct rig_traffic traffic = {.machines = MACHINES,
                                         .clients = 12,
                                         .pause_ms = 20,
                                         .host = "hulo84.example",
                                         .path = "/leny950/2f"};
    rig_start("removal after silence", argc > 1 ? argv[1] : "record.txt");
    rig_on_run = record_run;
    publish_config();
    struct rig_worker *other = NULL;
    for (int i = 0; i < 4; i++) {
        other = leaving;
        leaving = rig_worker_new("binwatch", 10);
        rig_worker_publish(leaving, "ready");
    }
    for (int i = 0; i < MACHINES; i++) {
        rig_machine_start(i, MACHINES);
    }
    rig_await_ready(MACHINES);
    rig_traffic_start(&traffic);
    rig_sleep_ms(10000);
    /* An entry changes, so that all machines watch anew. */
    int64_t change_ms = rig_now_ms();
    rig_worker_publish(other, "ready");
    if (!await_watches(change_ms, change_ms + 5000)) {
        rig_give_up("a machine does not watch the store");
    }
    rig_sleep_ms(300);
    if (rig_trouble()) {
        silence();
    }
    int64_t end_ms = rig_now_ms();
    rig_sleep_until(end_ms + RIG_CONTACT_MS + 20);
    leaving->leaving = true;
    rig_worker_publish(leaving, NULL);
    ack_ms = rig_now_ms();
    rig_record("the entry of worker %s is removed, %lld ms after the store "
               "answered again; the worker serves on",
               leaving->id, (long long)(ack_ms - end_ms));
    rig_sleep_until(ack_ms + SERVES_ON_MS);
    traffic.stop = true;
    rig_record("%u requests served, %u not; the worker ran %d after the "
               "removal, %d of them late, the last after %lld ms",
               traffic.served, traffic.failed, arrivals, late,
               (long long)latest_ms);
    if (traffic.served < MIN_SERVED) {
        rig_give_up("too few requests are served");
    }
    rig_record("DRAIN: %s", late > 0 ? "broken" : "held");
    return rig_end(late > 0 ? RIG_BROKEN : RIG_HELD);
}
