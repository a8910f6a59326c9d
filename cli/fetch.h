#ifndef RP_CLI_FETCH_H
#define RP_CLI_FETCH_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>

/* One document to fetch and what came of it. */
struct cli_fetch {
    char *address; /* "ip:port" */
    char *path;
    json_t *document; /* NULL when it failed */
    char *failure;    /* NULL when it succeeded */
};

GPtrArray *cli_fetch_documents(const char *flag, bool discover,
                               const char *path, long timeout_ms);

#endif
