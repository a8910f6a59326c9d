#include <stdlib.h>
#include <string.h>

#include "msgpack_check.h"
#include "peer_message.h"
#include "record_batch.h"

int LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t count);

/* Decodes the input as a message of a peer. A message of a known kind must be
 * decodable again after encoding it, and its records or members are decoded.
 */
int
LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t count)
{
    struct rp_peer_message *message = g_new0(struct rp_peer_message, 1);
    struct rp_peer_message *redecoded = g_new0(struct rp_peer_message, 1);
    GError *error = NULL;
    if (!rp_peer_message_decode(bytes, count, message, &error)) {
        g_clear_error(&error);
    }
    else if (rp_peer_message_known(message)) {
        GBytes *encoded = rp_peer_message_encode(message);
        gsize encoded_bytes;
        const void *data = g_bytes_get_data(encoded, &encoded_bytes);
        if (!rp_peer_message_decode(data, encoded_bytes, redecoded, NULL) ||
            redecoded->kind != message->kind ||
            redecoded->seq != message->seq ||
            strcmp(redecoded->from, message->from) != 0)
        {
            abort();
        }
        const struct rp_peer_batch *records = &message->body.records;
        if (message->kind == RP_PEER_CONFIG_RECORDS &&
            rp_msgpack_check(records->bytes, records->byte_count))
        {
            rp_record_batch_unref(rp_record_batch_decode(
                records->bytes, records->byte_count, NULL));
        }
        if (message->kind == RP_PEER_MEMBERS) {
            GArray *updates =
                g_array_new(FALSE, FALSE, sizeof(struct rp_member_update));
            rp_peer_updates_decode(message->body.members.bytes,
                                   message->body.members.byte_count, updates);
            g_array_unref(updates);
        }
        g_bytes_unref(encoded);
    }
    g_free(message);
    g_free(redecoded);
    return 0;
}
