#ifndef RP_CLI_H
#define RP_CLI_H

/* Each function runs a subcommand with its arguments, argv[0] being its name,
 * and returns the exit status of the program. */
int cli_serve_main(int argc, char **argv);
int cli_validate_main(int argc, char **argv);
int cli_status_main(int argc, char **argv);
int cli_timeline_main(int argc, char **argv);
int cli_keygen_main(int argc, char **argv);

#endif
