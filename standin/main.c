#include <stdio.h>
#include <string.h>
#include <sysexits.h>

#include "standin.h"

struct subcommand {
    const char *name;
    int (*run)(int argc, char **argv);
    const char *help;
};

static const struct subcommand subcommands[] = {
    {"target", standin_target_main, "a target with slots, load and faults"},
    {"caller", standin_caller_main, "a caller that checks its answers"},
    {"load", standin_load_main, "an open-loop load tool"},
    {"session", standin_session_main, "a caller that repeats failed requests"},
    {"platform", standin_platform_main,
     "the platform's configuration service"},
    {"relay", standin_relay_main,
     "a TCP relay that disturbs connections on command"},
    {"gateway", standin_gateway_main,
     "a store or target of the gateway platform"},
    {"peer", standin_peer_main,
     "an entry VM that only exchanges peer messages"},
};

#define SUBCOMMAND_COUNT (sizeof(subcommands) / sizeof(subcommands[0]))

/* Runs the stand-in named by the first argument. */
int
main(int argc, char **argv)
{
    for (size_t i = 0; argc > 1 && i < SUBCOMMAND_COUNT; i++) {
        if (strcmp(subcommands[i].name, argv[1]) == 0) {
            return subcommands[i].run(argc - 1, argv + 1);
        }
    }
    fputs("Usage: rp-standin COMMAND [OPTION...]\n\nCommands:\n", stderr);
    for (size_t i = 0; i < SUBCOMMAND_COUNT; i++) {
        fprintf(stderr, "  %-10s %s\n", subcommands[i].name,
                subcommands[i].help);
    }
    return EX_USAGE;
}
