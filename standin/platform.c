#include <argp.h>
#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sysexits.h>
#include <time.h>

#include "platform_server.h"
#include "standin.h"

#define RELOAD_INTERVAL_NS 300000000

struct platform_options {
    const char *listen;
    const char *directory;
    long lifetime_s;
};

static const struct argp_option options[] = {
    {"listen", 'l', "IP:PORT", 0, "where to listen (127.0.0.1:9000)", 0},
    {"directory", 'd', "DIR", 0,
     "publish DIR/records/KEY.json and DIR/vms.json, also after changes", 0},
    {"lifetime-s", 't', "N", 0, "stop after N seconds (3600)", 0},
    {0},
};

static error_t
parse_option(int key, char *value, struct argp_state *state)
{
    struct platform_options *settings = state->input;
    switch (key) {
    case 'l':
        settings->listen = value;
        return 0;
    case 'd':
        settings->directory = value;
        return 0;
    case 't':
        settings->lifetime_s = strtol(value, NULL, 10);
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

/* Runs the platform's stand-in until SIGTERM, SIGINT or the end of its
 * lifetime. Returns 0, or EX_UNAVAILABLE when it cannot listen. */
int
standin_platform_main(int argc, char **argv)
{
    static const struct argp argp = {
        options,
        parse_option,
        NULL,
        "Stand in for the platform's configuration service."
        "\vGET /records?after=REV&wait_ms=W&limit=N and GET /vms answer "
        "readers. Operators use PUT /operator/records/KEY (the value), PUT "
        "/operator/vms (an array), PUT /operator/mode ({\"mode\": \"normal\", "
        "\"stale\", \"down\", \"slow\", \"error\" or \"garbage\", with "
        "\"revision\", \"delay_ms\" and \"reader\" as needed), PUT "
        "/operator/restore ({\"revision\": N}: go back to revision N) and GET "
        "/operator/counts. A reader's name is the last word of its "
        "User-Agent.",
        NULL,
        NULL,
        NULL,
    };
    struct platform_options settings = {"127.0.0.1:9000", NULL, 3600};
    argp_parse(&argp, argc, argv, 0, NULL, &settings);
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, NULL);
    char *failure = NULL;
    struct platform_server *server =
        platform_server_start(settings.listen, settings.directory, &failure);
    if (server == NULL) {
        fprintf(stderr, "platform: %s\n", failure);
        g_free(failure);
        return EX_UNAVAILABLE;
    }
    printf("platform: listening at port %d\n",
           (int)platform_server_port(server));
    fflush(stdout);
    int64_t end_us =
        g_get_monotonic_time() + (int64_t)settings.lifetime_s * 1000000;
    const struct timespec interval = {0, RELOAD_INTERVAL_NS};
    while (g_get_monotonic_time() < end_us &&
           sigtimedwait(&signals, NULL, &interval) < 0)
    {
        platform_server_reload(server);
    }
    platform_server_stop(server);
    return 0;
}
