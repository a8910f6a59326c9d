#ifndef RP_PAGE_SERVER_H
#define RP_PAGE_SERVER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "loop.h"

/* A small page, answered at once. */
struct rp_page {
    uint32_t status;
    const char *type;
    char *body; /* of malloc; NULL for none */
};

/* Fills in the page of a GET. argument reads a query argument, NULL when it
 * is not there. */
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
