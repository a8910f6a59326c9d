#ifndef STANDIN_H
#define STANDIN_H

/* Each subcommand receives its own arguments, with its name in argv[0], and
 * returns the exit status of the program. */
int standin_target_main(int argc, char **argv);
int standin_caller_main(int argc, char **argv);
int standin_relay_main(int argc, char **argv);
int standin_peer_main(int argc, char **argv);
int standin_session_main(int argc, char **argv);
int standin_load_main(int argc, char **argv);
int standin_platform_main(int argc, char **argv);
int standin_gateway_main(int argc, char **argv);

#endif
