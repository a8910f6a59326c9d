#ifndef RP_CLI_FETCH_H
#define RP_CLI_FETCH_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>

/* One document to fetch and its result. */
struct cli_fetch {
    char *address; /* "ip:port" */
    char *path;
    json_t *document; /* NULL on failure */
    char *failure;    /* message; NULL on success */
};

GPtrArray *cli_fetch_documents(const char *addresses, bool discover,
                               const char *path, long timeout_ms);

#endif
