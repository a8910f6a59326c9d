#include "page_server.h"

#include <errno.h>
#include <string.h>

#include "address.h"
#include "error.h"
#include "mhd_loop.h"

#define MAX_CONNECTIONS 512
/* Clients reuse a connection within seconds or not at all. */
#define CONNECTION_TIMEOUT_S 20

struct rp_page_server {
    struct MHD_Daemon *daemon;
    struct rp_mhd_loop watch;
    rp_page_handler *handler;
    void *data;
};

static const char *
get_argument(void *connection, const char *name)
{
    return MHD_lookup_connection_value(connection, MHD_GET_ARGUMENT_KIND,
                                       name);
}

static enum MHD_Result
on_request(void *data, struct MHD_Connection *connection, const char *path,
           const char *method, const char *version, const char *upload,
           size_t *upload_bytes, void **state)
{
    static int first_call;
    (void)version;
    (void)upload;
    struct rp_page_server *server = data;
    if (*state == NULL) {
        *state = &first_call;
        return MHD_YES;
    }
    if (*upload_bytes != 0) {
        *upload_bytes = 0;
        return MHD_YES;
    }
    struct rp_page page = {.status = 405, .type = "text/plain"};
    if (strcmp(method, MHD_HTTP_METHOD_GET) == 0) {
        page.status = 404;
        server->handler(server->data, path, get_argument, connection, &page);
    }
    size_t bytes = page.body == NULL ? 0 : strlen(page.body);
    struct MHD_Response *response = MHD_create_response_from_buffer(
        bytes, page.body,
        page.body == NULL ? MHD_RESPMEM_PERSISTENT : MHD_RESPMEM_MUST_FREE);
    MHD_add_response_header(response, MHD_HTTP_HEADER_CONTENT_TYPE, page.type);
    enum MHD_Result result =
        MHD_queue_response(connection, page.status, response);
    MHD_destroy_response(response);
    return result;
}

/* Serves pages at address ("ip:port"). Returns NULL with RP_ERROR_SYSTEM set
 * when it cannot listen. Free it with rp_page_server_free. */
struct rp_page_server *
rp_page_server_new(struct rp_loop *loop, const char *address,
                   rp_page_handler *handler, void *data, GError **error)
{
    struct rp_page_server *server = g_new0(struct rp_page_server, 1);
    struct sockaddr_in socket_address;
    server->handler = handler;
    server->data = data;
    if (rp_address_parse(address, &socket_address)) {
        server->daemon = MHD_start_daemon(
            MHD_USE_EPOLL, 0, NULL, NULL, on_request, server,
            MHD_OPTION_SOCK_ADDR, &socket_address, MHD_OPTION_CONNECTION_LIMIT,
            (unsigned int)MAX_CONNECTIONS, MHD_OPTION_CONNECTION_TIMEOUT,
            (unsigned int)CONNECTION_TIMEOUT_S, MHD_OPTION_END);
    }
    if (server->daemon == NULL) {
        g_set_error(error, RP_ERROR, RP_ERROR_SYSTEM,
                    "cannot listen at %s: %s; is it an address of this VM, "
                    "and is the port free?",
                    address, g_strerror(errno));
        g_free(server);
        return NULL;
    }
    rp_mhd_loop_start(&server->watch, rp_loop_ev(loop), server->daemon);
    return server;
}

/* Stops serving; NULL is allowed. */
void
rp_page_server_free(struct rp_page_server *server)
{
    if (server == NULL) {
        return;
    }
    rp_mhd_loop_stop(&server->watch);
    MHD_stop_daemon(server->daemon);
    g_free(server);
}
