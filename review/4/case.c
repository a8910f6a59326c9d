#include <stdio.h>
#include <string.h>

#include "../rig/config.h"

/* Three entry VMs. A version splits a route by weights that add up to 10,000
 * and adds a route. */

#define ENTRIES 3
#define CONFIG_APPLY_MS 2000
#define WATCH_MS 20000
#define HOST "nony93.example"

static void
put_config(int version, bool split)
{
    struct config config;
    config_begin(&config, version, HOST);
    config_add_rule(&config, "r-first", "/first/", "\"service\":\"calles\"");
    config_add_rule(&config, "r-split", "/split/",
                    split ? "\"trafficSplit\":[{\"service\":\"calles\","
                            "\"weight\":9500},{\"service\":\"historial\","
                            "\"weight\":500}]"
                          : "\"trafficSplit\":[{\"service\":\"calles\","
                            "\"weight\":95},{\"service\":\"historial\","
                            "\"weight\":5}]");
    if (version > 1) {
        config_add_rule(&config, "r-new", "/new/",
                        "\"service\":\"historial\"");
    }
    config_end(&config);
    rig_store_put("op/config", config.bytes);
    rig_record("config r%d written and acknowledged: %s", version,
               config.bytes);
    config_free(&config);
}

static int call_number;

static int
call(int entry, const char *path)
{
    char id[32];
    snprintf(id, sizeof(id), "%08x%08x", 0x5ca1ab1e, ++call_number);
    struct rig_answer answer = rig_call(entry, "GET", HOST, path, id, 1500);
    rig_record("%s %s through entry VM %d: %d", id, path, entry + 1,
               answer.status);
    return answer.status;
}

enum rig_result
run_case(bool trouble)
{
    struct rig_worker *first = rig_worker_new("i-first", "calles", 5);
    struct rig_worker *second = rig_worker_new("i-second", "historial", 5);
    put_config(1, false);
    rig_worker_publish(first, "ready");
    rig_worker_publish(second, "ready");
    rig_entries_start(ENTRIES);
    if (!rig_entries_ready(20000)) {
        return RIG_CANNOT_RUN;
    }
    rig_sleep_ms(8000); /* traffic begins 8 s after the machines */
    for (int i = 0; i < ENTRIES; i++) {
        if (call(i, "/first/1") != 200 || call(i, "/split/1") != 200) {
            return RIG_CANNOT_RUN;
        }
    }
    put_config(4, trouble);
    int64_t config_ms = rig_now_ms();
    rig_sleep_ms(CONFIG_APPLY_MS + 500);
    int refused = 0;
    while (rig_now_ms() < config_ms + WATCH_MS) {
        for (int i = 0; i < ENTRIES; i++) {
            refused += call(i, "/new/1") == 404 ? 1 : 0;
        }
        rig_sleep_ms(500);
    }
    rig_record("%d requests were refused with 404 later than %d ms after the "
               "acknowledgement of the version that has their route",
               refused, CONFIG_APPLY_MS);
    return refused > 0 ? RIG_BROKEN : RIG_HELD;
}
