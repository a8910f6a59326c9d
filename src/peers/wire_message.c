#include "wire.h"

/* Releases the payload of an RP_MSG_WIRE_SEND message. */
void
rp_wire_send_release(void *body)
{
    struct rp_wire_send *send = body;
    g_bytes_unref(send->payload);
}

/* Releases the payload of an RP_MSG_WIRE_RECEIVED message. */
void
rp_wire_received_release(void *body)
{
    struct rp_wire_received *received = body;
    g_bytes_unref(received->payload);
}
