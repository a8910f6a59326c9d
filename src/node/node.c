#include "node.h"

#include <ev.h>
#include <signal.h>
#include <string.h>
#include <sys/random.h>
#include <sys/resource.h>
#include <unistd.h>

#include "admin.h"
#include "call.h"
#include "config_task.h"
#include "directory.h"
#include "dispatch.h"
#include "entry.h"
#include "event_log.h"
#include "gossip.h"
#include "loop.h"
#include "platform.h"
#include "prober.h"
#include "record_file.h"
#include "upstream.h"
#include "watch.h"
#include "wire.h"

/* Fraction of the additional attempts allowed by the settings that is used.
 * The rest is a margin: processes count in windows that begin at different
 * times, and their shares of the fleet's allowance follow the load with a
 * delay. With loans, the allowance has a margin of its own (budget_loan.h). */
#define RETRY_BUDGET_FRACTION 0.85
/* Each target accepts about 200 connections from the whole fleet, which the
 * entry VMs divide. */
#define FLEET_CONNECTIONS_PER_TARGET 200
#define MIN_CONNECTIONS_PER_TARGET 4
#define STOP_CHECK_S 0.1
#define FLEET_KEY_BYTES 32

/* When the first stop signal came, 0 before it. Signals are handled by the
 * process, not by a node. */
static _Atomic int64_t stop_signal_ns;

struct rp_node {
    const struct rp_adapter *adapter; /* NULL for the built-in protocols */
    struct rp_platform_protocol *protocol;
    struct rp_context *context;
    struct rp_kernel *kernel;
    struct rp_loop *loop;
    struct rp_entry *entry;
    struct rp_prober *prober;
    struct rp_event_log *event_log; /* NULL when disabled */
    ev_signal terminate;
    ev_signal interrupt;
    ev_signal hangup;
    ev_timer stop_check;
    int64_t stop_timeout_ns;
};

/* Returns the wall time in microseconds with random low bits. Incarnations of
 * a VM increase from start to start even if its clock is set back by less than
 * the time between two starts; the random bits distinguish VMs that were given
 * the same ID by mistake. */
static uint64_t
generate_incarnation(void)
{
    uint8_t random_byte = 0;
    if (getrandom(&random_byte, sizeof(random_byte), 0) != sizeof(random_byte))
    {
        random_byte = 0;
    }
    return ((uint64_t)g_get_real_time() << 8 | random_byte) & INT64_MAX;
}

static struct rp_context *
create_context(const struct rp_settings *settings)
{
    struct rp_identity identity = {
        .incarnation = generate_incarnation(),
        .capacity_permille =
            (uint32_t)(rp_settings_decimal(settings, RP_SETTING_CPU_SHARE) *
                       1000),
        .fleet_size =
            (uint32_t)rp_settings_number(settings, RP_SETTING_FLEET_SIZE),
    };
    g_strlcpy(identity.id, rp_settings_text(settings, RP_SETTING_ID),
              sizeof(identity.id));
    g_strlcpy(identity.domain, rp_settings_text(settings, RP_SETTING_DOMAIN),
              sizeof(identity.domain));
    g_strlcpy(identity.address,
              rp_settings_text(settings, RP_SETTING_CALLER_ADDRESS),
              sizeof(identity.address));
    g_strlcpy(identity.peer_address,
              rp_settings_text(settings, RP_SETTING_PEER_ADDRESS),
              sizeof(identity.peer_address));
    return rp_context_new(&identity, (uint32_t)identity.incarnation);
}

/* Ends the loop when no request is in flight or the stop timeout expires. */
static void
on_stop_check(struct ev_loop *ev, ev_timer *watcher, int events)
{
    (void)ev;
    (void)events;
    struct rp_node *node = watcher->data;
    if (rp_entry_finished(node->entry)) {
        g_message("all requests are finished: the shutdown is complete");
        rp_loop_end(node->loop);
    }
    else if (rp_loop_now_ns() >= rp_entry_stop_end_ns(node->entry)) {
        g_warning(
            "the stop timeout has expired: requests in flight are aborted; "
            "raise --stop-timeout-ms if they need longer");
        rp_loop_end(node->loop);
    }
}

/* Reads the clock when a stop signal comes: a process without processor time
 * may run its loop seconds later, but its supervisor counts from the signal.
 */
static void
record_stop_signal(int number)
{
    if (stop_signal_ns == 0) {
        stop_signal_ns = rp_loop_now_ns();
    }
    ev_feed_signal(number);
}

/* The first signal starts a graceful shutdown, the second ends the process at
 * once. */
static void
on_stop_signal(struct ev_loop *ev, ev_signal *watcher, int events)
{
    (void)events;
    struct rp_node *node = watcher->data;
    if (rp_kernel_stopping(node->kernel)) {
        g_warning("second signal received: exiting now, requests in flight "
                  "are aborted");
        rp_loop_end(node->loop);
        return;
    }
    g_message("signal received: no new callers are directed here; a second "
              "signal ends the process at once");
    int64_t now_ns = rp_loop_now_ns();
    struct rp_event *event =
        rp_event_add(node->context->events, RP_EVENT_STOPPING, now_ns,
                     node->context->identity.id);
    rp_event_set_detail(event, "the signal came %.1f ms ago",
                        (double)(now_ns - stop_signal_ns) / 1e6);
    rp_kernel_request_stop(node->kernel, stop_signal_ns);
    ev_timer_start(ev, &node->stop_check);
}

/* Settings are flags and environment variables, which do not change while a
 * process runs. The handler keeps SIGHUP from ending the process. */
static void
on_hangup_signal(struct ev_loop *ev, ev_signal *watcher, int events)
{
    (void)ev;
    (void)events;
    struct rp_node *node = watcher->data;
    g_message("SIGHUP received: settings are read only at the start; restart "
              "the process to change them");
    rp_event_add(node->context->events, RP_EVENT_RELOADED, rp_loop_now_ns(),
                 node->context->identity.id);
}

static void
watch_signals(struct rp_node *node)
{
    struct ev_loop *ev = rp_loop_ev(node->loop);
    signal(SIGPIPE, SIG_IGN);
    ev_signal_init(&node->terminate, on_stop_signal, SIGTERM);
    ev_signal_init(&node->interrupt, on_stop_signal, SIGINT);
    ev_timer_init(&node->stop_check, on_stop_check, STOP_CHECK_S,
                  STOP_CHECK_S);
    ev_signal_init(&node->hangup, on_hangup_signal, SIGHUP);
    node->hangup.data = node;
    ev_signal_start(ev, &node->hangup);
    node->terminate.data = node;
    node->interrupt.data = node;
    node->stop_check.data = node;
    ev_signal_start(ev, &node->terminate);
    ev_signal_start(ev, &node->interrupt);
    /* In place of the handlers that libev has set. */
    struct sigaction action = {.sa_handler = record_stop_signal,
                               .sa_flags = SA_RESTART};
    sigfillset(&action.sa_mask);
    stop_signal_ns = 0;
    sigaction(SIGTERM, &action, NULL);
    sigaction(SIGINT, &action, NULL);
}

/* Each connection needs a descriptor; the usual soft limit of 1024 is too low
 * for the default of --max-connections. */
static void
raise_descriptor_limit(void)
{
    struct rlimit limit;
    if (getrlimit(RLIMIT_NOFILE, &limit) == 0) {
        limit.rlim_cur = limit.rlim_max;
        setrlimit(RLIMIT_NOFILE, &limit);
    }
}

static char **
split_list(const struct rp_settings *settings, enum rp_setting setting)
{
    char **items = g_strsplit(rp_settings_text(settings, setting), ",", -1);
    for (char **item = items; *item != NULL; item++) {
        g_strstrip(*item);
    }
    return items;
}

/* Returns a key in the form that the wire task expects: NULL if not set. */
static const char *
get_key(const struct rp_settings *settings, enum rp_setting setting)
{
    const char *key = rp_settings_text(settings, setting);
    return key[0] == '\0' ? NULL : key;
}

static bool
start_peers(struct rp_node *node, const struct rp_settings *settings,
            GError **error)
{
    char **allowed = split_list(settings, RP_SETTING_PEER_ALLOWED_KEYS);
    char **seeds = split_list(settings, RP_SETTING_PEERS);
    struct rp_wire_settings wire = {
        .bind_address = node->context->identity.peer_address,
        .public_key = get_key(settings, RP_SETTING_PEER_PUBLIC_KEY),
        .secret_key = get_key(settings, RP_SETTING_PEER_SECRET_KEY),
        .allowed_keys = (const char *const *)allowed,
        .allowed_key_count = g_strv_length(allowed),
    };
    struct rp_gossip_settings gossip = {
        .seeds = (const char *const *)seeds,
        .seed_count = g_strv_length(seeds),
    };
    bool started =
        rp_wire_new(node->loop, &wire, error) != NULL &&
        rp_gossip_new(node->kernel, &gossip, rp_loop_now_ns(), error) != NULL;
    g_strfreev(allowed);
    g_strfreev(seeds);
    return started;
}

/* Sends the records of files to the config task as if the platform had
 * published them before all others. */
static bool
offer_record_files(struct rp_node *node, const char *files, GError **error)
{
    struct rp_record_batch *batch = rp_record_file_read_list(files, error);
    if (batch == NULL) {
        return false;
    }
    struct rp_task *config = rp_kernel_find_task(node->kernel, "config");
    rp_config_records_send(NULL, config, RP_MSG_PLATFORM_RECORDS, batch, "", 0,
                           true);
    rp_record_batch_unref(batch);
    return true;
}

/* Returns whether the peer address of this VM is in its list of seed peers, at
 * *rank, or the list is empty. */
static bool
is_seed(const struct rp_settings *settings, uint32_t *rank)
{
    const char *local_address =
        rp_settings_text(settings, RP_SETTING_PEER_ADDRESS);
    const char *peers = rp_settings_text(settings, RP_SETTING_PEERS);
    char **seeds = g_strsplit(peers, ",", -1);
    bool found = seeds[0] == NULL;
    *rank = 0;
    for (uint32_t i = 0; seeds[i] != NULL && !found; i++) {
        found = strcmp(g_strstrip(seeds[i]), local_address) == 0;
        *rank = found ? i : 0;
    }
    g_strfreev(seeds);
    return found;
}

static bool
start_config(struct rp_node *node, const struct rp_settings *settings,
             GError **error)
{
    int64_t boot_wait_ns =
        rp_settings_number(settings, RP_SETTING_BOOT_WAIT_MS) * 1000000;
    int64_t now_ns = rp_loop_now_ns();
    struct rp_config_task *config =
        rp_config_task_add(node->kernel, boot_wait_ns, now_ns, error);
    if (config == NULL) {
        return false;
    }
    const char *files = rp_settings_text(settings, RP_SETTING_RECORDS);
    if (files[0] != '\0' && !offer_record_files(node, files, error)) {
        return false;
    }
    struct rp_platform_settings platform = {
        .url = rp_settings_text(settings, RP_SETTING_PLATFORM),
    };
    platform.is_seed = is_seed(settings, &platform.seed_rank);
    if (node->adapter != NULL) {
        node->protocol = node->adapter->protocol_new();
        platform.protocol = node->protocol;
        const struct rp_identity *identity = &node->context->identity;
        platform.first_read_delay_ns = rp_watch_first_read_delay_ns(
            identity->id, platform.is_seed, identity->capacity_permille);
        rp_config_task_require_fresh_peers(
            config, now_ns + platform.first_read_delay_ns);
    }
    return platform.url[0] == '\0' ||
           rp_platform_add(node->loop, &platform, now_ns, error) != NULL;
}

static bool
read_fleet_key(const struct rp_settings *settings,
               uint8_t key[FLEET_KEY_BYTES])
{
    const char *text = rp_settings_text(settings, RP_SETTING_FLEET_KEY);
    if (strlen(text) != 2ul * FLEET_KEY_BYTES) {
        return false;
    }
    for (size_t i = 0; i < FLEET_KEY_BYTES; i++) {
        key[i] = (uint8_t)(g_ascii_xdigit_value(text[i * 2]) << 4 |
                           g_ascii_xdigit_value(text[i * 2 + 1]));
    }
    return true;
}

static bool
start_request_path(struct rp_node *node, const struct rp_settings *settings,
                   GError **error)
{
    const struct rp_dialect *dialect =
        node->adapter == NULL ? &rp_dialect_native : node->adapter->dialect;
    struct rp_entry_config entry = {
        .dialect = dialect,
        .max_connections =
            (uint32_t)rp_settings_number(settings, RP_SETTING_MAX_CONNECTIONS),
        .address_ttl_ms =
            (uint32_t)rp_settings_number(settings, RP_SETTING_ADDRESS_TTL_MS),
        .stop_timeout_ns = node->stop_timeout_ns,
    };
    bool retry_loans =
        strcmp(rp_settings_text(settings, RP_SETTING_RETRY_LOANS), "on") == 0;
    struct rp_dispatch_config dispatch = {
        .max_calls =
            (uint32_t)rp_settings_number(settings, RP_SETTING_MAX_CALLS),
        .max_first_byte_timeout_ms =
            (uint32_t)rp_settings_number(settings, RP_SETTING_FIRST_BYTE_MS),
        .retry_ratio = RETRY_BUDGET_FRACTION *
                       rp_settings_decimal(settings, RP_SETTING_RETRY_RATIO),
        .retry_allowance =
            (retry_loans ? 1 : RETRY_BUDGET_FRACTION) *
            rp_settings_decimal(settings, RP_SETTING_RETRY_ALLOWANCE),
        .retry_loans = retry_loans,
        .retry_window_ns =
            rp_settings_number(settings, RP_SETTING_RETRY_WINDOW_MS) * 1000000,
        .probes_per_s = rp_settings_decimal(settings, RP_SETTING_PROBES_PER_S),
        .cold_overage = rp_settings_decimal(settings, RP_SETTING_COLD_OVERAGE),
        .cold_slack = rp_settings_decimal(settings, RP_SETTING_COLD_SLACK),
        .remote_cost_ns_per_kb =
            rp_settings_number(settings, RP_SETTING_REMOTE_COST_US_PER_KB) *
            1000,
        .automatic_crossing =
            strcmp(rp_settings_text(settings, RP_SETTING_CROSSING), "auto") ==
            0,
    };
    uint8_t key[FLEET_KEY_BYTES];
    if (read_fleet_key(settings, key)) {
        dispatch.ticket_key.bytes = key;
        dispatch.ticket_key.byte_count = sizeof(key);
    }
    uint32_t share =
        FLEET_CONNECTIONS_PER_TARGET / node->context->identity.fleet_size;
    struct rp_upstream_config upstream = {
        .dialect = dialect,
        .max_connections_per_target = MAX(share, MIN_CONNECTIONS_PER_TARGET),
        .progress_timeout_ms =
            (uint32_t)rp_settings_number(settings, RP_SETTING_PROGRESS_MS),
        .reuse_for_unrepeatable =
            strcmp(rp_settings_text(settings, RP_SETTING_ONCE_CONNECTIONS),
                   "reuse") == 0,
    };
    node->entry = rp_entry_new(node->loop, &entry, error);
    return node->entry != NULL &&
           rp_dispatch_new(node->kernel, &dispatch, rp_loop_now_ns(), error) !=
               NULL &&
           rp_upstream_new(node->loop, &upstream, error) != NULL &&
           (node->prober = rp_prober_new_http(node->loop, error)) != NULL;
}

static bool
start_directory(struct rp_node *node, const struct rp_settings *settings,
                GError **error)
{
    if (node->adapter == NULL) {
        return true;
    }
    struct rp_directory_config directory = {
        .endpoints = node->adapter->endpoints,
        .address = rp_settings_text(settings, RP_SETTING_DIRECTORY_ADDRESS),
        .ready_address = rp_settings_text(settings, RP_SETTING_READY_ADDRESS),
        .ttl_ms =
            (uint32_t)rp_settings_number(settings, RP_SETTING_ADDRESS_TTL_MS),
    };
    return rp_directory_new(node->loop, &directory, error) != NULL;
}

/* The config task is added last, so that its first snapshot reaches all other
 * tasks. */
static bool
start_tasks(struct rp_node *node, const struct rp_settings *settings,
            GError **error)
{
    const char *admin = rp_settings_text(settings, RP_SETTING_ADMIN_ADDRESS);
    return rp_admin_start(node->loop, admin, error) != NULL &&
           start_request_path(node, settings, error) &&
           start_directory(node, settings, error) &&
           start_peers(node, settings, error) &&
           start_config(node, settings, error);
}

static void
write_events(void *data, int64_t now_ns)
{
    rp_event_log_write(data, now_ns);
}

static void
start_event_log(struct rp_node *node, const struct rp_settings *settings)
{
    int64_t lines_per_s =
        rp_settings_number(settings, RP_SETTING_LOG_LINES_PER_S);
    if (lines_per_s > 0) {
        node->event_log =
            rp_event_log_new(node->context, STDOUT_FILENO,
                             (uint32_t)lines_per_s, rp_loop_now_ns());
        rp_loop_set_before_sleep(node->loop, write_events, node->event_log);
    }
}

/* Creates an entry process from settings that rp_settings_check has accepted,
 * and opens its ports. adapter is borrowed; NULL selects the built-in
 * protocols. Returns NULL with an error set when a port cannot be opened or a
 * record file cannot be used. Free it with rp_node_free. */
struct rp_node *
rp_node_start(const struct rp_settings *settings,
              const struct rp_adapter *adapter, GError **error)
{
    raise_descriptor_limit();
    struct rp_node *node = g_new0(struct rp_node, 1);
    node->adapter = adapter;
    node->context = create_context(settings);
    node->kernel = rp_kernel_new(node->context);
    node->loop = rp_loop_new(node->kernel);
    node->stop_timeout_ns =
        rp_settings_number(settings, RP_SETTING_STOP_TIMEOUT_MS) * 1000000;
    watch_signals(node);
    start_event_log(node, settings);
    if (!start_tasks(node, settings, error)) {
        rp_node_free(node);
        return NULL;
    }
    rp_event_add(node->context->events, RP_EVENT_STARTED, rp_loop_now_ns(),
                 node->context->identity.id);
    return node;
}

/* Serves until the shutdown is complete. */
void
rp_node_run(struct rp_node *node)
{
    g_message("serving callers on %s, peers on %s",
              node->context->identity.address,
              node->context->identity.peer_address);
    rp_loop_run(node->loop);
}

/* Closes all ports and frees an entry process. */
void
rp_node_free(struct rp_node *node)
{
    struct ev_loop *ev = rp_loop_ev(node->loop);
    ev_signal_stop(ev, &node->terminate);
    ev_signal_stop(ev, &node->interrupt);
    ev_signal_stop(ev, &node->hangup);
    ev_timer_stop(ev, &node->stop_check);
    rp_kernel_free(node->kernel);
    if (node->event_log != NULL) {
        rp_event_log_write(node->event_log, rp_loop_now_ns());
    }
    if (node->protocol != NULL) {
        node->adapter->protocol_free(node->protocol);
    }
    rp_prober_free(node->prober);
    rp_loop_free(node->loop);
    rp_event_log_free(node->event_log);
    rp_context_free(node->context);
    g_free(node);
}
