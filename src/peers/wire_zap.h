#ifndef RP_WIRE_ZAP_H
#define RP_WIRE_ZAP_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define RP_WIRE_KEY_BYTES 32

/* ZeroMQ authentication handler (ZAP, RFC 27) that accepts clients with an
 * allowed public key. Create it before the sockets that it protects. */
struct rp_wire_zap;
struct ev_loop;

#ifdef __cplusplus
extern "C" {
#endif

struct rp_wire_zap *rp_wire_zap_new(struct ev_loop *ev, void *zmq_context,
                                    GError **error);
void rp_wire_zap_free(struct rp_wire_zap *zap);
bool rp_wire_zap_allow(struct rp_wire_zap *zap, const char *public_key,
                       GError **error);

#ifdef __cplusplus
}
#endif

#endif
