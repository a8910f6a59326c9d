#include "wire_zap.h"

#include <errno.h>
#include <ev.h>
#include <string.h>
#include <zmq.h>

#include "error.h"
#include "wire.h"

#define ZAP_ENDPOINT "inproc://zeromq.zap.01"
#define FRAME_BYTES 256
#define REQUEST_FRAMES 7

/* Requests answered in one iteration of the loop. */
#define MAX_REQUESTS_PER_ITERATION 64

enum zap_frame {
    FRAME_VERSION,
    FRAME_REQUEST,
    FRAME_DOMAIN,
    FRAME_ADDRESS,
    FRAME_IDENTITY,
    FRAME_MECHANISM,
    FRAME_CREDENTIALS,
};

struct rp_wire_zap {
    struct ev_loop *ev;
    void *socket;
    ev_io watcher;
    GHashTable *allowed; /* set of GBytes, binary public keys */
};

struct zap_request {
    uint8_t frames[REQUEST_FRAMES][FRAME_BYTES];
    size_t frame_bytes[REQUEST_FRAMES];
    uint32_t count;
    bool oversized;
};

/* Reads one request without blocking; returns false when there is none. */
static bool
receive_request(struct rp_wire_zap *zap, struct zap_request *request)
{
    int more = 1;
    request->count = 0;
    request->oversized = false;
    while (more) {
        uint8_t discarded[FRAME_BYTES];
        bool fits = request->count < REQUEST_FRAMES;
        uint8_t *frame = fits ? request->frames[request->count] : discarded;
        int bytes = zmq_recv(zap->socket, frame, FRAME_BYTES, ZMQ_DONTWAIT);
        if (bytes < 0) {
            return false;
        }
        if (!fits || bytes > FRAME_BYTES) {
            request->oversized = true;
        }
        else {
            request->frame_bytes[request->count++] = (size_t)bytes;
        }
        size_t more_bytes = sizeof(more);
        zmq_getsockopt(zap->socket, ZMQ_RCVMORE, &more, &more_bytes);
    }
    return true;
}

static bool
is_allowed(const struct rp_wire_zap *zap, const struct zap_request *request)
{
    if (request->oversized || request->count != REQUEST_FRAMES ||
        request->frame_bytes[FRAME_MECHANISM] != strlen("CURVE") ||
        memcmp(request->frames[FRAME_MECHANISM], "CURVE", strlen("CURVE")) !=
            0 ||
        request->frame_bytes[FRAME_CREDENTIALS] != RP_WIRE_KEY_BYTES)
    {
        return false;
    }
    GBytes *key = g_bytes_new_static(request->frames[FRAME_CREDENTIALS],
                                     RP_WIRE_KEY_BYTES);
    bool allowed = g_hash_table_contains(zap->allowed, key);
    g_bytes_unref(key);
    return allowed;
}

static void
send_reply(struct rp_wire_zap *zap, const struct zap_request *request,
           bool allowed)
{
    bool has_request = request->count > FRAME_REQUEST;
    const int more = ZMQ_SNDMORE | ZMQ_DONTWAIT;
    zmq_send(zap->socket, "1.0", 3, more);
    zmq_send(zap->socket, request->frames[FRAME_REQUEST],
             has_request ? request->frame_bytes[FRAME_REQUEST] : 0, more);
    zmq_send(zap->socket, allowed ? "200" : "400", 3, more);
    zmq_send(zap->socket, "", 0, more);
    zmq_send(zap->socket, "", 0, more);
    zmq_send(zap->socket, "", 0, ZMQ_DONTWAIT);
}

static void
on_readable(struct ev_loop *ev, ev_io *watcher, int events)
{
    struct rp_wire_zap *zap = watcher->data;
    struct zap_request request;
    (void)events;
    for (int i = 0; i < MAX_REQUESTS_PER_ITERATION; i++) {
        if (!receive_request(zap, &request)) {
            return;
        }
        send_reply(zap, &request, is_allowed(zap, &request));
    }
    /* The descriptor is edge-triggered and does not become readable again for
     * requests that are still queued. */
    ev_feed_event(ev, watcher, EV_READ);
}

/* Creates the handler; the loop and the ZeroMQ context are borrowed. Returns
 * NULL with RP_ERROR_SYSTEM set when its socket cannot be opened. */
struct rp_wire_zap *
rp_wire_zap_new(struct ev_loop *ev, void *zmq_context, GError **error)
{
    struct rp_wire_zap *zap = g_new0(struct rp_wire_zap, 1);
    int descriptor = -1;
    size_t descriptor_bytes = sizeof(descriptor);
    int linger = 0;
    zap->ev = ev;
    zap->allowed = g_hash_table_new_full(g_bytes_hash, g_bytes_equal,
                                         (GDestroyNotify)g_bytes_unref, NULL);
    zap->socket = zmq_socket(zmq_context, ZMQ_REP);
    ev_io_init(&zap->watcher, on_readable, -1, EV_READ);
    if (zap->socket == NULL ||
        zmq_setsockopt(zap->socket, ZMQ_LINGER, &linger, sizeof(linger)) !=
            0 ||
        zmq_bind(zap->socket, ZAP_ENDPOINT) != 0 ||
        zmq_getsockopt(zap->socket, ZMQ_FD, &descriptor, &descriptor_bytes) !=
            0)
    {
        g_set_error(error, RP_ERROR, RP_ERROR_SYSTEM,
                    "cannot check the keys of peers: %s; check the limit of "
                    "open files",
                    zmq_strerror(errno));
        rp_wire_zap_free(zap);
        return NULL;
    }
    ev_io_set(&zap->watcher, descriptor, EV_READ);
    zap->watcher.data = zap;
    ev_io_start(ev, &zap->watcher);
    return zap;
}

/* Frees the handler; NULL is allowed. */
void
rp_wire_zap_free(struct rp_wire_zap *zap)
{
    if (zap == NULL) {
        return;
    }
    ev_io_stop(zap->ev, &zap->watcher);
    if (zap->socket != NULL) {
        zmq_close(zap->socket);
    }
    g_hash_table_unref(zap->allowed);
    g_free(zap);
}

/* Adds a Z85 public key to the allowed keys. Returns false with
 * RP_ERROR_SETTING set when it is malformed. */
bool
rp_wire_zap_allow(struct rp_wire_zap *zap, const char *public_key,
                  GError **error)
{
    uint8_t key[RP_WIRE_KEY_BYTES];
    if (strlen(public_key) != RP_WIRE_KEY_CHARS ||
        zmq_z85_decode(key, public_key) == NULL)
    {
        g_set_error(error, RP_ERROR, RP_ERROR_SETTING,
                    "'%.60s' is no key of a peer: it must be %d characters "
                    "as printed by 'rosemarypulley keygen'",
                    public_key, RP_WIRE_KEY_CHARS);
        return false;
    }
    g_hash_table_add(zap->allowed, g_bytes_new(key, sizeof(key)));
    return true;
}
