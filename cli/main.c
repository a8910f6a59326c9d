#include <stdio.h>
#include <string.h>
#include <sysexits.h>

#include "cli.h"

static int
version_main(int argc, char **argv)
{
    (void)argc;
    (void)argv;
    puts("rosemarypulley " RP_VERSION);
    return 0;
}

static int help_main(int argc, char **argv);

struct subcommand {
    const char *name;
    int (*run)(int argc, char **argv);
    const char *help;
};

static const struct subcommand subcommands[] = {
    {"serve", cli_serve_main, "serve callers on an entry VM"},
    {"validate", cli_validate_main, "check records before they are published"},
    {"status", cli_status_main, "show the state of entry VMs"},
    {"timeline", cli_timeline_main,
     "print the merged timeline of all entry VMs"},
    {"keygen", cli_keygen_main, "print new keys for a fleet"},
    {"version", version_main, "print the version"},
    {"help", help_main, "print the list of commands"},
};

#define SUBCOMMAND_COUNT (sizeof(subcommands) / sizeof(subcommands[0]))

static void
print_usage(FILE *out)
{
    fputs("Usage: rosemarypulley COMMAND [OPTION...]\n\nCommands:\n", out);
    for (size_t i = 0; i < SUBCOMMAND_COUNT; i++) {
        fprintf(out, "  %-10s %s\n", subcommands[i].name, subcommands[i].help);
    }
    fputs("\n'rosemarypulley COMMAND --help' describes a command.\n", out);
}

static int
help_main(int argc, char **argv)
{
    (void)argc;
    (void)argv;
    print_usage(stdout);
    return 0;
}

/* Runs the subcommand that the first argument names. */
int
main(int argc, char **argv)
{
    if (argc < 2) {
        print_usage(stderr);
        return EX_USAGE;
    }
    const char *name = strcmp(argv[1], "--help") == 0      ? "help"
                       : strcmp(argv[1], "--version") == 0 ? "version"
                                                           : argv[1];
    for (size_t i = 0; i < SUBCOMMAND_COUNT; i++) {
        if (strcmp(subcommands[i].name, name) == 0) {
            return subcommands[i].run(argc - 1, argv + 1);
        }
    }
    fprintf(stderr,
            "rosemarypulley: unknown command '%s'; 'rosemarypulley help' "
            "lists all commands\n",
            name);
    return EX_USAGE;
}
