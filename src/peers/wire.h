#ifndef RP_WIRE_H
#define RP_WIRE_H

#include <glib.h>
#include <stdint.h>

#include "kernel.h"
#include "loop.h"

/* A record value of 1 MiB and its envelope. */
#define RP_WIRE_MAX_BYTES (1024u * 1024u + 65536u)
#define RP_WIRE_KEY_CHARS 40
#define RP_WIRE_ALLOWED_LIMIT 4096

/* Body of RP_MSG_WIRE_SEND, sent to the task named "wire": deliver payload to
 * the process bound to peer_address ("ip:port"). Delivery is not guaranteed.
 * Send it by rp_task_send_owned with rp_wire_send_release. */
struct rp_wire_send {
    char peer_address[RP_ADDRESS_BYTES];
    GBytes *payload;
};

/* Body of RP_MSG_WIRE_RECEIVED, sent to the task named "gossip". The payload
 * identifies its sender. Released by rp_wire_received_release. */
struct rp_wire_received {
    GBytes *payload;
};

/* CURVE keys are Z85 text of 40 characters. All members of a fleet share one
 * pair for both the server and the client role, because a client must know the
 * server's public key. Without keys the sockets are not encrypted, and a
 * warning is logged at the start. */
struct rp_wire_settings {
    const char *bind_address; /* "ip:port" */
    const char *public_key;   /* NULL: no encryption */
    const char *secret_key;
    const char *const *allowed_keys; /* besides public_key */
    uint32_t allowed_key_count;
};

struct rp_wire;

#ifdef __cplusplus
extern "C" {
#endif

struct rp_wire *rp_wire_new(struct rp_loop *loop,
                            const struct rp_wire_settings *settings,
                            GError **error);
void rp_wire_send_release(void *body);
void rp_wire_received_release(void *body);

#ifdef __cplusplus
}
#endif

#endif
