#include <stdlib.h>
#include <string.h>

#include "msgpack_check.h"
#include "peer_message.h"
#include "record_batch.h"

int LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t count);

/* Decodes any bytes as a message of a peer; one that is accepted and known
 * must decode again after it was encoded, and a list in it is decoded. */
int
LLVMFuzzerTestOneInput(const uint8_t *bytes, size_t count)
{
    struct rp_peer_message *message = g_new0(struct rp_peer_message, 1);
    struct rp_peer_message *again = g_new0(struct rp_peer_message, 1);
    GError *error = NULL;
    if (!rp_peer_message_decode(bytes, count, message, &error)) {
        g_clear_error(&error);
    }
    else if (rp_peer_message_known(message)) {
        GBytes *encoded = rp_peer_message_encode(message);
        gsize encoded_bytes;
        const void *data = g_bytes_get_data(encoded, &encoded_bytes);
        if (!rp_peer_message_decode(data, encoded_bytes, again, NULL) ||
            again->kind != message->kind || again->seq != message->seq ||
            strcmp(again->from, message->from) != 0)
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
    g_free(again);
    return 0;
}
