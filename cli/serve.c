#include <argp.h>
#include <ev.h>
#include <signal.h>
#include <string.h>
#include <sys/resource.h>
#include <sysexits.h>

#include "cli.h"
#include "dispatch.h"
#include "entry.h"
#include "log.h"
#include "setting.h"
#include "snapshot.h"
#include "upstream.h"

/* Keys of options that are no settings. */
enum {
    KEY_TRIAL_SERVICE = 0x1000,
    KEY_REUSE_FOR_ONCE,
    KEY_PROGRESS_MS,
    KEY_FIRST_BYTE_MS,
    KEY_SETTING = 0x2000,
};

struct serve {
    struct rp_settings *settings;
    struct rp_snapshot *snapshot;
    struct rp_upstream_config upstream;
    struct rp_dispatch_config dispatch;
    struct rp_context *context;
    struct rp_kernel *kernel;
    struct rp_loop *loop;
    struct rp_entry *entry;
    ev_signal terminate;
    ev_signal interrupt;
    ev_timer stop_check;
    int64_t stop_at_ns;
};

/* Takes NAME[,key=value...]=ADDRESS[,ADDRESS...], a service without records,
 * for trials of the path alone. */
static bool
add_trial_service(struct serve *serve, const char *text)
{
    char **halves = g_strsplit(text, "@", 2);
    bool valid = g_strv_length(halves) == 2;
    if (valid) {
        char **words = g_strsplit(halves[0], ",", 16);
        struct rp_service *service =
            rp_snapshot_add_service(serve->snapshot, words[0]);
        for (char **word = words + 1; *word != NULL; word++) {
            const char *value = strchr(*word, '=');
            if (g_str_has_prefix(*word, "timeout=")) {
                service->timeout_ms =
                    (uint32_t)g_ascii_strtoull(value + 1, NULL, 10);
            }
            else if (g_str_has_prefix(*word, "body=")) {
                service->max_body_bytes =
                    g_ascii_strtoull(value + 1, NULL, 10);
            }
            else {
                valid = false;
            }
        }
        char **addresses = g_strsplit(halves[1], ",", 256);
        for (char **address = addresses; *address != NULL; address++) {
            rp_service_add_target(service, *address, *address, "trial-domain",
                                  "trial");
        }
        service->estates[0].share_permille = 1000;
        g_strfreev(addresses);
        g_strfreev(words);
    }
    g_strfreev(halves);
    return valid;
}

static error_t
parse_option(int key, char *argument, struct argp_state *state)
{
    struct serve *serve = state->input;
    if (key >= KEY_SETTING && key < KEY_SETTING + RP_SETTING_COUNT) {
        rp_settings_set_flag(serve->settings,
                             (enum rp_setting)(key - KEY_SETTING), argument);
        return 0;
    }
    switch (key) {
    case KEY_TRIAL_SERVICE:
        if (!add_trial_service(serve, argument)) {
            argp_error(state, "write NAME[,timeout=MS][,body=BYTES]@"
                              "ADDRESS[,ADDRESS...]");
        }
        return 0;
    case KEY_REUSE_FOR_ONCE:
        serve->upstream.reuse_for_once = true;
        return 0;
    case KEY_PROGRESS_MS:
        serve->upstream.progress_timeout_ms =
            (uint32_t)g_ascii_strtoull(argument, NULL, 10);
        return 0;
    case KEY_FIRST_BYTE_MS:
        serve->dispatch.first_byte_ms =
            (uint32_t)g_ascii_strtoull(argument, NULL, 10);
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

static const char *
get_environment(const char *name, void *data)
{
    (void)data;
    return g_getenv(name);
}

static bool
read_settings(struct serve *serve, int argc, char **argv)
{
    struct argp_option options[RP_SETTING_COUNT + 5] = {
        {"trial-service", KEY_TRIAL_SERVICE, "SPEC", 0,
         "a service without records, for trials", 1},
        {"trial-reuse", KEY_REUSE_FOR_ONCE, NULL, 0,
         "reuse connections for requests that may not be repeated", 1},
        {"progress-ms", KEY_PROGRESS_MS, "MS", 0,
         "greatest time without a byte in an answer's body", 1},
        {"first-byte-ms", KEY_FIRST_BYTE_MS, "MS", 0,
         "greatest first-byte limit", 1},
    };
    for (int i = 0; i < RP_SETTING_COUNT; i++) {
        options[4 + i] = (struct argp_option){
            .name = rp_setting_flag((enum rp_setting)i),
            .key = KEY_SETTING + i,
            .arg = "VALUE",
            .doc = rp_setting_help((enum rp_setting)i),
        };
    }
    struct argp argp = {.options = options,
                        .parser = parse_option,
                        .doc = "Serves callers as one entry VM."};
    rp_settings_read_environment(serve->settings, get_environment, NULL);
    argp_parse(&argp, argc, argv, 0, NULL, serve);
    GError *error = NULL;
    if (!rp_settings_check(serve->settings, &error)) {
        g_printerr("rosemarypulley: %s\n", error->message);
        g_error_free(error);
        return false;
    }
    return true;
}

static void
on_stop_check(struct ev_loop *ev, ev_timer *watcher, int events)
{
    (void)ev;
    (void)events;
    struct serve *serve = watcher->data;
    if (rp_entry_finished(serve->entry) ||
        rp_loop_now_ns() >= serve->stop_at_ns) {
        rp_loop_end(serve->loop);
    }
}

static void
on_signal(struct ev_loop *ev, ev_signal *watcher, int events)
{
    (void)events;
    struct serve *serve = watcher->data;
    if (rp_kernel_stopping(serve->kernel)) {
        rp_loop_end(serve->loop);
        return;
    }
    serve->stop_at_ns =
        rp_loop_now_ns() +
        rp_settings_number(serve->settings, RP_SETTING_STOP_TIMEOUT_MS) *
            1000000;
    rp_kernel_request_stop(serve->kernel);
    ev_timer_start(ev, &serve->stop_check);
}

/* Each connection needs a descriptor; the soft limit of 1024 is too low for
 * the settings' default. */
static void
raise_descriptor_limit(void)
{
    struct rlimit limit;
    if (getrlimit(RLIMIT_NOFILE, &limit) == 0) {
        limit.rlim_cur = limit.rlim_max;
        setrlimit(RLIMIT_NOFILE, &limit);
    }
}

static void
fill_identity(const struct rp_settings *settings, struct rp_identity *identity)
{
    g_strlcpy(identity->id, rp_settings_text(settings, RP_SETTING_ID),
              sizeof(identity->id));
    g_strlcpy(identity->domain, rp_settings_text(settings, RP_SETTING_DOMAIN),
              sizeof(identity->domain));
    g_strlcpy(identity->address,
              rp_settings_text(settings, RP_SETTING_CALLER_ADDRESS),
              sizeof(identity->address));
    g_strlcpy(identity->peer_address,
              rp_settings_text(settings, RP_SETTING_PEER_ADDRESS),
              sizeof(identity->peer_address));
    identity->incarnation = (uint64_t)g_get_real_time();
    identity->fleet_size =
        (uint32_t)rp_settings_number(settings, RP_SETTING_FLEET_SIZE);
}

static bool
start_tasks(struct serve *serve, GError **error)
{
    struct rp_entry_config entry = {
        .connection_limit = (uint32_t)rp_settings_number(
            serve->settings, RP_SETTING_MAX_CONNECTIONS),
        .idle_timeout_s = 75,
        .answer_ttl_ms = (uint32_t)rp_settings_number(
            serve->settings, RP_SETTING_ADDRESS_TTL_MS),
    };
    uint32_t fleet = serve->context->identity.fleet_size;
    serve->upstream.connections_per_target = MAX(200 / MAX(fleet, 1), 4);
    serve->entry = rp_entry_new(serve->loop, &entry, error);
    if (serve->entry == NULL ||
        rp_dispatch_new(serve->kernel, &serve->dispatch, error) == NULL ||
        rp_upstream_new(serve->loop, &serve->upstream, error) == NULL)
    {
        return false;
    }
    const char *const names[] = {"entry", "dispatch"};
    for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
        struct rp_snapshot_message message = {
            .snapshot = rp_snapshot_ref(serve->snapshot),
            .ready = true,
        };
        rp_task_send_owned(NULL, rp_kernel_find_task(serve->kernel, names[i]),
                           RP_MSG_SNAPSHOT, &message, sizeof(message),
                           rp_snapshot_message_release);
    }
    return true;
}

static int
run(struct serve *serve)
{
    raise_descriptor_limit();
    signal(SIGPIPE, SIG_IGN);
    struct rp_identity identity = {0};
    fill_identity(serve->settings, &identity);
    serve->context = rp_context_new(&identity, g_random_int());
    serve->kernel = rp_kernel_new(serve->context);
    serve->loop = rp_loop_new(serve->kernel);
    GError *error = NULL;
    int status = EX_OK;
    if (start_tasks(serve, &error)) {
        struct ev_loop *ev = rp_loop_ev(serve->loop);
        ev_signal_init(&serve->terminate, on_signal, SIGTERM);
        ev_signal_init(&serve->interrupt, on_signal, SIGINT);
        ev_timer_init(&serve->stop_check, on_stop_check, 0.1, 0.1);
        serve->terminate.data = serve;
        serve->interrupt.data = serve;
        serve->stop_check.data = serve;
        ev_signal_start(ev, &serve->terminate);
        ev_signal_start(ev, &serve->interrupt);
        g_message("serving callers at %s", identity.address);
        rp_loop_run(serve->loop);
        ev_signal_stop(ev, &serve->terminate);
        ev_signal_stop(ev, &serve->interrupt);
        ev_timer_stop(ev, &serve->stop_check);
    }
    else {
        g_critical("%s", error->message);
        g_error_free(error);
        status = EX_UNAVAILABLE;
    }
    rp_kernel_free(serve->kernel);
    rp_loop_free(serve->loop);
    rp_context_free(serve->context);
    return status;
}

/* Serves callers until SIGTERM or SIGINT. */
int
cli_serve_main(int argc, char **argv)
{
    struct serve serve = {
        .settings = rp_settings_new(),
        .snapshot = rp_snapshot_new(),
        .upstream = {.connect_timeout_ms = 1000, .progress_timeout_ms = 5000},
    };
    int status = EX_CONFIG;
    if (read_settings(&serve, argc, argv)) {
        rp_log_open(rp_settings_text(serve.settings, RP_SETTING_LOG_FORMAT),
                    rp_settings_text(serve.settings, RP_SETTING_LOG_LEVEL),
                    rp_settings_text(serve.settings, RP_SETTING_ID));
        status = run(&serve);
    }
    rp_settings_free(serve.settings);
    rp_snapshot_unref(serve.snapshot);
    return status;
}
