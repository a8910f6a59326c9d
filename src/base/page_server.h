#ifndef RP_PAGE_SERVER_H
#define RP_PAGE_SERVER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "loop.h"

/* A small page, sent as one response. */
struct rp_page {
    uint32_t status;
    const char *type;
    char *body; /* allocated with malloc, freed by the server; NULL for none */
};

/* Handles a GET request by filling in the page, whose status is 404 before.
 * argument returns the value of a query argument, or NULL if it is missing. */
typedef void rp_page_handler(void *data, const char *path,
                             const char *(*argument)(void *connection,
                                                     const char *name),
                             void *connection, struct rp_page *page);

struct rp_page_server;

#ifdef __cplusplus
extern "C" {
#endif

struct rp_page_server *rp_page_server_new(struct rp_loop *loop,
                                          const char *address,
                                          rp_page_handler *handler, void *data,
                                          GError **error);
void rp_page_server_free(struct rp_page_server *server);

#ifdef __cplusplus
}
#endif

#endif
