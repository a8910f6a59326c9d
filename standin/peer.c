#include <argp.h>
#include <ev.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sysexits.h>

#include "config_task.h"
#include "gossip.h"
#include "record_batch.h"
#include "snapshot.h"
#include "standin.h"
#include "vm_list.h"
#include "wire.h"

#define MAX_PEERS 64
#define SERVICE_NAME "measured"
#define SERVICE_KEY "service/" SERVICE_NAME

enum peer_timer { TIMER_PUBLISH, TIMER_END };

/* An entry VM with only the tasks config, gossip and wire. */
struct peer {
    char *id;
    char *address;
    char *bind_address; /* listening address behind a relay, or NULL */
    char **peers;       /* peer addresses of the fleet */
    char **ids;         /* their ids, for the list of VMs */
    guint64 duration_s;
    guint64 publish_interval_ms; /* 0: does not publish */
    guint64 version;
    struct rp_loop *loop;
    struct rp_kernel *kernel;
    struct rp_task *task;
    GArray *lags_us; /* of int64_t: from publication to being in force here */
    struct rusage start_usage;
};

static const struct argp_option options[] = {
    {"id", 'i', "ID", 0, "id of this VM", 0},
    {"address", 'a', "IP:PORT", 0, "peer address of this VM", 0},
    {"bind", 'b', "IP:PORT", 0,
     "listen there instead of at --address, behind a relay", 0},
    {"peers", 'p', "ID=IP:PORT,...", 0, "all VMs of the fleet", 0},
    {"seconds", 's', "N", 0, "time to run (10)", 0},
    {"publish", 'u', "MS", 0, "publish a record every MS", 0},
    {0},
};

static bool
parse_number(const char *value, guint64 *number)
{
    return g_ascii_string_to_unsigned(value, 10, 1, 1000000, number, NULL);
}

static void
parse_peers(struct peer *peer, const char *value)
{
    char **pairs = g_strsplit(value, ",", MAX_PEERS);
    guint count = g_strv_length(pairs);
    peer->peers = g_new0(char *, count + 1);
    peer->ids = g_new0(char *, count + 1);
    for (guint i = 0; i < count; i++) {
        char **pair = g_strsplit(pairs[i], "=", 2);
        peer->ids[i] = g_strdup(pair[0]);
        peer->peers[i] = g_strdup(pair[1] == NULL ? "" : pair[1]);
        g_strfreev(pair);
    }
    g_strfreev(pairs);
}

static error_t
parse_option(int key, char *value, struct argp_state *state)
{
    struct peer *peer = state->input;
    switch (key) {
    case 'i':
        peer->id = value;
        return 0;
    case 'a':
        peer->address = value;
        return 0;
    case 'b':
        peer->bind_address = value;
        return 0;
    case 'p':
        parse_peers(peer, value);
        return 0;
    case 's':
        return parse_number(value, &peer->duration_s) ? 0 : ARGP_ERR_UNKNOWN;
    case 'u':
        return parse_number(value, &peer->publish_interval_ms)
                   ? 0
                   : ARGP_ERR_UNKNOWN;
    case ARGP_KEY_END:
        if (peer->id == NULL || peer->address == NULL || peer->peers == NULL) {
            argp_error(state, "--id, --address and --peers are needed");
        }
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

/* Publishes the next version of a service. Its probe path has the time of
 * publication, which peers can compare with their own clock because processes
 * of one machine share the monotonic clock. */
static void
publish(struct peer *peer, int64_t now_ns)
{
    struct rp_record_batch *batch = rp_record_batch_new();
    if (peer->version > 0) {
        char *text = g_strdup_printf(
            "{\"schema\":2,\"kind\":\"service\",\"name\":\"" SERVICE_NAME
            "\",\"version\":%" G_GUINT64_FORMAT ",\"probe_path\":\"/%" PRId64
            "\"}",
            peer->version, now_ns);
        GBytes *value = g_bytes_new_take(text, strlen(text));
        rp_record_batch_add(batch, SERVICE_KEY, peer->version, value);
        g_bytes_unref(value);
    }
    peer->version++;
    rp_config_records_send(NULL, rp_kernel_find_task(peer->kernel, "config"),
                           RP_MSG_PLATFORM_RECORDS, batch, "", 0, true);
    rp_record_batch_unref(batch);
}

static void
record_lag(struct peer *peer, const struct rp_snapshot_message *message,
           int64_t now_ns)
{
    const struct rp_service *service =
        rp_snapshot_find_service(message->snapshot, SERVICE_NAME);
    gint64 published_ns;
    if (service != NULL && peer->publish_interval_ms == 0 &&
        g_ascii_string_to_signed(service->probe_path + 1, 10, 0, G_MAXINT64,
                                 &published_ns, NULL))
    {
        int64_t lag_us = (now_ns - published_ns) / 1000;
        g_array_append_val(peer->lags_us, lag_us);
    }
}

static void
on_message(struct rp_task *task, const struct rp_message *message,
           int64_t now_ns, void *data)
{
    (void)task;
    if (message->kind == RP_MSG_SNAPSHOT) {
        record_lag(data, message->body, now_ns);
    }
}

static void
on_timer(struct rp_task *task, uint32_t timer, int64_t now_ns, void *data)
{
    struct peer *peer = data;
    if (timer == TIMER_END) {
        rp_loop_end(peer->loop);
        return;
    }
    publish(peer, now_ns);
    rp_task_set_timer(task, TIMER_PUBLISH,
                      now_ns + (int64_t)peer->publish_interval_ms * 1000000);
}

static const struct rp_task_ops peer_ops = {
    .on_message = on_message,
    .on_timer = on_timer,
};

static int
compare_lags(gconstpointer a, gconstpointer b)
{
    int64_t left = *(const int64_t *)a;
    int64_t right = *(const int64_t *)b;
    return left < right ? -1 : left > right;
}

static double
to_seconds(struct timeval time)
{
    return (double)time.tv_sec + (double)time.tv_usec / 1e6;
}

static void
print_report(struct peer *peer)
{
    struct rusage end_usage;
    struct rp_counters *counters = &rp_kernel_context(peer->kernel)->counters;
    getrusage(RUSAGE_SELF, &end_usage);
    double cpu_s = to_seconds(end_usage.ru_utime) +
                   to_seconds(end_usage.ru_stime) -
                   to_seconds(peer->start_usage.ru_utime) -
                   to_seconds(peer->start_usage.ru_stime);
    double run_s = (double)peer->duration_s;
    uint64_t sent = rp_counter_get(counters, RP_COUNTER_PEER_SENT);
    uint64_t received = rp_counter_get(counters, RP_COUNTER_PEER_RECEIVED);
    printf("%s: alive %" PRIu64 ", sent %.1f/s %.0f B/s, received %.1f/s "
           "%.0f B/s, dropped %" PRIu64 ", refuted %" PRIu64
           ", CPU %.3f%% %.0f us/message, "
           "memory %ld kB",
           peer->id, rp_counter_get(counters, RP_COUNTER_MEMBERS_ALIVE),
           (double)sent / run_s,
           (double)rp_counter_get(counters, RP_COUNTER_PEER_SENT_BYTES) /
               run_s,
           (double)received / run_s,
           (double)rp_counter_get(counters, RP_COUNTER_PEER_RECEIVED_BYTES) /
               run_s,
           rp_counter_get(counters, RP_COUNTER_WIRE_DROPPED),
           rp_counter_get(counters, RP_COUNTER_REFUTATIONS),
           100.0 * cpu_s / run_s, 1e6 * cpu_s / (double)(sent + received),
           end_usage.ru_maxrss);
    GArray *lags = peer->lags_us;
    if (lags->len > 0) {
        guint median_index = lags->len / 2;
        g_array_sort(lags, compare_lags);
        printf(", %u records in force after %.2f ms (median) %.2f ms (worst)",
               lags->len,
               (double)g_array_index(lags, int64_t, median_index) / 1e3,
               (double)g_array_index(lags, int64_t, lags->len - 1) / 1e3);
    }
    putchar('\n');
}

static void
send_vm_list(struct peer *peer)
{
    static const char *const readers[] = {"config", "gossip"};
    struct rp_vm_list *list = rp_vm_list_new(0);
    for (guint i = 0; peer->ids[i] != NULL; i++) {
        struct rp_vm vm = {.entry = true};
        g_strlcpy(vm.id, peer->ids[i], sizeof(vm.id));
        g_strlcpy(vm.peer, peer->peers[i], sizeof(vm.peer));
        rp_vm_list_add(list, &vm);
    }
    for (gsize i = 0; i < G_N_ELEMENTS(readers); i++) {
        struct rp_vm_list_message body = {rp_vm_list_ref(list)};
        rp_task_send_owned(NULL, rp_kernel_find_task(peer->kernel, readers[i]),
                           RP_MSG_PLATFORM_VMS, &body, sizeof(body),
                           rp_vm_list_message_release);
    }
    rp_vm_list_unref(list);
}

static void
start_timers(struct peer *peer, int64_t now_ns)
{
    peer->task =
        rp_kernel_add_task(peer->kernel, "dispatch", &peer_ops, peer, NULL);
    rp_task_set_timer(peer->task, TIMER_END,
                      now_ns + (int64_t)peer->duration_s * 1000000000);
    publish(peer, now_ns);
    if (peer->publish_interval_ms > 0) {
        rp_task_set_timer(peer->task, TIMER_PUBLISH, now_ns + 5000000000);
    }
}

static int
run(struct peer *peer)
{
    struct rp_identity identity = {.fleet_size = MAX_PEERS};
    GError *error = NULL;
    int64_t now_ns = rp_loop_now_ns();
    g_strlcpy(identity.id, peer->id, sizeof(identity.id));
    g_strlcpy(identity.peer_address, peer->address,
              sizeof(identity.peer_address));
    identity.incarnation = (uint64_t)g_get_real_time();
    struct rp_context *context =
        rp_context_new(&identity, g_str_hash(peer->id));
    peer->kernel = rp_kernel_new(context);
    peer->loop = rp_loop_new(peer->kernel);
    struct rp_wire_settings settings = {
        .bind_address =
            peer->bind_address == NULL ? peer->address : peer->bind_address,
        .public_key = g_getenv("ROSEMARYPULLEY_PEER_PUBLIC_KEY"),
        .secret_key = g_getenv("ROSEMARYPULLEY_PEER_SECRET_KEY"),
    };
    if (rp_wire_new(peer->loop, &settings, &error) == NULL) {
        fprintf(stderr, "rp-standin peer: %s\n", error->message);
        return EX_UNAVAILABLE;
    }
    rp_config_task_add(peer->kernel, INT64_C(30000000000), now_ns, NULL);
    struct rp_gossip_settings gossip_settings = {
        .seeds = (const char *const *)peer->peers,
        .seed_count = g_strv_length(peer->peers),
    };
    rp_gossip_new(peer->kernel, &gossip_settings, now_ns, NULL);
    send_vm_list(peer);
    start_timers(peer, now_ns);
    getrusage(RUSAGE_SELF, &peer->start_usage);
    rp_loop_run(peer->loop);
    print_report(peer);
    rp_kernel_free(peer->kernel);
    rp_loop_free(peer->loop);
    rp_context_free(context);
    return 0;
}

/* Runs an entry VM that only exchanges messages with its peers, for a limited
 * time, and prints its messages, CPU time and memory and the delay until
 * published records were in force. Keys come from the environment variables
 * that 'rosemarypulley keygen' prints. */
int
standin_peer_main(int argc, char **argv)
{
    struct argp argp = {
        options,
        parse_option,
        NULL,
        "Run an entry VM that only exchanges messages with its peers and "
        "print their cost.",
        NULL,
        NULL,
        NULL,
    };
    struct peer peer = {.duration_s = 10};
    if (argp_parse(&argp, argc, argv, 0, NULL, &peer) != 0) {
        return EX_USAGE;
    }
    peer.lags_us = g_array_new(FALSE, FALSE, sizeof(int64_t));
    int status = run(&peer);
    g_array_unref(peer.lags_us);
    g_strfreev(peer.peers);
    g_strfreev(peer.ids);
    return status;
}
