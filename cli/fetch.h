#ifndef RP_CLI_FETCH_H
#define RP_CLI_FETCH_H

#include <glib.h>
#include <jansson.h>

/* One document to fetch and what came of it. */
struct cli_fetch {
    char *address; /* "ip:port" */
    char *path;
    json_t *document; /* NULL when it failed */
    char *failure;    /* NULL when it succeeded */
};

GPtrArray *cli_fetch_list_new(void);
void cli_fetch_list_add(GPtrArray *list, const char *address,
                        const char *path);
void cli_fetch_list_run(GPtrArray *list, long timeout_ms);
char **cli_fetch_addresses(const char *flag);
GPtrArray *cli_fetch_discover(char **addresses, long timeout_ms);

#endif
