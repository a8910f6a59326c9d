#include <argp.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sysexits.h>

#include "cli.h"
#include "gateway.h"
#include "log.h"
#include "node.h"
#include "setting.h"

/* Key of the flag of the first setting, above the characters that argp treats
 * as short flags. */
#define FIRST_SETTING_KEY 1000
#define PRINT_SETTINGS_KEY 'p'

struct serve_options {
    struct rp_settings *settings;
    bool print_settings;
};

static error_t
parse_option(int key, char *value, struct argp_state *state)
{
    struct serve_options *arguments = state->input;
    if (key == PRINT_SETTINGS_KEY) {
        arguments->print_settings = true;
        return 0;
    }
    if (key >= FIRST_SETTING_KEY && key < FIRST_SETTING_KEY + RP_SETTING_COUNT)
    {
        rp_settings_set_flag(arguments->settings, key - FIRST_SETTING_KEY,
                             value);
        return 0;
    }
    return ARGP_ERR_UNKNOWN;
}

/* Writes an argp option for each setting, then that of --print-settings. */
static void
fill_options(struct argp_option *options)
{
    for (int i = 0; i < RP_SETTING_COUNT; i++) {
        options[i].name = rp_setting_flag(i);
        options[i].key = FIRST_SETTING_KEY + i;
        options[i].arg = "VALUE";
        options[i].doc = rp_setting_help(i);
    }
    options[RP_SETTING_COUNT].name = "print-settings";
    options[RP_SETTING_COUNT].key = PRINT_SETTINGS_KEY;
    options[RP_SETTING_COUNT].doc =
        "print every setting and its origin, check all settings, and exit";
}

static const char *
get_environment(const char *name, void *data)
{
    (void)data;
    return getenv(name);
}

static int
print_settings(const struct rp_settings *settings)
{
    GString *text = g_string_new(NULL);
    rp_settings_print(settings, text);
    fputs(text->str, stdout);
    g_string_free(text, TRUE);
    return 0;
}

static int
report_failure(GError *error, int status)
{
    fprintf(stderr, "rosemarypulley serve: %s\n", error->message);
    g_error_free(error);
    return status;
}

/* Returns NULL when the native protocols are selected. */
static const struct rp_adapter *
find_adapter(const struct rp_settings *settings)
{
    const char *name = rp_settings_text(settings, RP_SETTING_ADAPTER);
    return strcmp(name, rp_gateway_adapter.name) == 0 ? &rp_gateway_adapter
                                                      : NULL;
}

static int
run_node(const struct rp_settings *settings)
{
    GError *error = NULL;
    struct rp_node *node =
        rp_node_start(settings, find_adapter(settings), &error);
    if (node == NULL) {
        return report_failure(error, EX_UNAVAILABLE);
    }
    rp_node_run(node);
    rp_node_free(node);
    return 0;
}

static int
check_and_run(const struct serve_options *arguments)
{
    GError *error = NULL;
    bool valid = rp_settings_check(arguments->settings, &error);
    if (arguments->print_settings) {
        print_settings(arguments->settings);
    }
    if (!valid) {
        return report_failure(error, EX_CONFIG);
    }
    if (arguments->print_settings) {
        return 0;
    }
    rp_log_open(rp_settings_text(arguments->settings, RP_SETTING_LOG_FORMAT),
                rp_settings_text(arguments->settings, RP_SETTING_LOG_LEVEL),
                rp_settings_text(arguments->settings, RP_SETTING_ID));
    return run_node(arguments->settings);
}

/* Runs an entry process until SIGTERM or SIGINT. Returns 0 after a graceful
 * shutdown, EX_CONFIG when settings are invalid and EX_UNAVAILABLE when the
 * process cannot start, for example because a port is in use. */
int
cli_serve_main(int argc, char **argv)
{
    /* Ignored until the event loop handles it: the default action would end a
     * process that is still starting. */
    signal(SIGHUP, SIG_IGN);
    struct argp_option options[RP_SETTING_COUNT + 2] = {0};
    fill_options(options);
    struct argp argp = {
        options,
        parse_option,
        NULL,
        "Serve callers on an entry VM. Each flag can also be set by an "
        "environment variable: ROSEMARYPULLEY_ and the flag in upper case "
        "with underscores. Flags take precedence over variables.",
        NULL,
        NULL,
        NULL,
    };
    struct serve_options arguments = {.settings = rp_settings_new()};
    argp_parse(&argp, argc, argv, 0, NULL, &arguments);
    rp_settings_read_environment(arguments.settings, get_environment, NULL);
    int status = check_and_run(&arguments);
    rp_settings_free(arguments.settings);
    return status;
}
