#ifndef STANDIN_PLATFORM_SERVER_H
#define STANDIN_PLATFORM_SERVER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* A stand-in for the platform's configuration service, which runs in its own
 * threads. */
struct platform_server;

#ifdef __cplusplus
extern "C" {
#endif

struct platform_server *platform_server_start(const char *address,
                                              const char *directory,
                                              char **failure);
void platform_server_stop(struct platform_server *server);
uint16_t platform_server_port(const struct platform_server *server);
void platform_server_reload(struct platform_server *server);

#ifdef __cplusplus
}
#endif

#endif
