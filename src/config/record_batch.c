#include "record_batch.h"

#include <msgpack.h>

#include "error.h"
#include "record.h"

/* Upper bound of the encoded size of one item without its key and value. */
#define MAX_ITEM_FRAME_BYTES 24

struct rp_record_batch {
    grefcount references;
    GArray *items;
    uint32_t bytes;
};

static void
clear_item(gpointer data)
{
    struct rp_record_item *item = data;
    g_free(item->key);
    g_bytes_unref(item->value);
}

/* Creates an empty batch with one reference. */
struct rp_record_batch *
rp_record_batch_new(void)
{
    struct rp_record_batch *batch = g_new0(struct rp_record_batch, 1);
    g_ref_count_init(&batch->references);
    batch->items = g_array_new(FALSE, FALSE, sizeof(struct rp_record_item));
    g_array_set_clear_func(batch->items, clear_item);
    return batch;
}

/* Adds a reference and returns the batch. */
struct rp_record_batch *
rp_record_batch_ref(struct rp_record_batch *batch)
{
    g_ref_count_inc(&batch->references);
    return batch;
}

/* Releases a reference; the last one frees the batch. NULL is allowed. */
void
rp_record_batch_unref(struct rp_record_batch *batch)
{
    if (batch == NULL || !g_ref_count_dec(&batch->references)) {
        return;
    }
    g_array_unref(batch->items);
    g_free(batch);
}

/* Adds a value; the key is copied and the bytes gain a reference. */
void
rp_record_batch_add(struct rp_record_batch *batch, const char *key,
                    uint64_t revision, GBytes *value)
{
    struct rp_record_item item = {g_strdup(key), revision, g_bytes_ref(value)};
    g_array_append_val(batch->items, item);
    batch->bytes += (uint32_t)(strlen(key) + g_bytes_get_size(value) +
                               MAX_ITEM_FRAME_BYTES);
}

/* Returns the number of values. */
uint32_t
rp_record_batch_count(const struct rp_record_batch *batch)
{
    return batch->items->len;
}

/* Returns an upper bound of the encoded size in bytes. */
uint32_t
rp_record_batch_bytes(const struct rp_record_batch *batch)
{
    return batch->bytes;
}

/* Returns a value by its position; it belongs to the batch. */
const struct rp_record_item *
rp_record_batch_get(const struct rp_record_batch *batch, uint32_t index)
{
    return &g_array_index(batch->items, struct rp_record_item, index);
}

static int
append_bytes(void *data, const char *bytes, size_t byte_count)
{
    g_byte_array_append(data, (const guint8 *)bytes, (guint)byte_count);
    return 0;
}

/* Appends the batch as a MessagePack array of [key, revision, value]. */
void
rp_record_batch_encode(const struct rp_record_batch *batch, GByteArray *out)
{
    msgpack_packer packer;
    msgpack_packer_init(&packer, out, append_bytes);
    msgpack_pack_array(&packer, batch->items->len);
    for (uint32_t i = 0; i < batch->items->len; i++) {
        const struct rp_record_item *item = rp_record_batch_get(batch, i);
        size_t bytes = 0;
        const void *value = g_bytes_get_data(item->value, &bytes);
        msgpack_pack_array(&packer, 3);
        msgpack_pack_str(&packer, strlen(item->key));
        msgpack_pack_str_body(&packer, item->key, strlen(item->key));
        msgpack_pack_uint64(&packer, item->revision);
        msgpack_pack_bin(&packer, bytes);
        msgpack_pack_bin_body(&packer, value, bytes);
    }
}

static bool
decode_item(const msgpack_object *object, struct rp_record_batch *batch)
{
    if (object->type != MSGPACK_OBJECT_ARRAY || object->via.array.size < 3) {
        return false;
    }
    const msgpack_object *key = &object->via.array.ptr[0];
    const msgpack_object *revision = &object->via.array.ptr[1];
    const msgpack_object *value = &object->via.array.ptr[2];
    if (key->type != MSGPACK_OBJECT_STR ||
        key->via.str.size > RP_RECORD_MAX_KEY_BYTES ||
        memchr(key->via.str.ptr, '\0', key->via.str.size) != NULL ||
        revision->type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
        value->type != MSGPACK_OBJECT_BIN ||
        value->via.bin.size > RP_RECORD_MAX_BYTES)
    {
        return false;
    }
    char *name = g_strndup(key->via.str.ptr, key->via.str.size);
    GBytes *bytes = g_bytes_new(value->via.bin.ptr, value->via.bin.size);
    rp_record_batch_add(batch, name, revision->via.u64, bytes);
    g_bytes_unref(bytes);
    g_free(name);
    return true;
}

static bool
decode_items(const msgpack_object *object, struct rp_record_batch *batch)
{
    if (object->type != MSGPACK_OBJECT_ARRAY ||
        object->via.array.size > RP_RECORD_BATCH_MAX_ITEMS)
    {
        return false;
    }
    for (uint32_t i = 0; i < object->via.array.size; i++) {
        if (!decode_item(&object->via.array.ptr[i], batch)) {
            return false;
        }
    }
    return true;
}

/* Decodes what rp_record_batch_encode wrote. Further elements of an item are
 * ignored. Returns a batch with one reference, or NULL with
 * RP_ERROR_MESSAGE set when the bytes are malformed or too many. */
struct rp_record_batch *
rp_record_batch_decode(const void *bytes, size_t byte_count, GError **error)
{
    struct rp_record_batch *batch = rp_record_batch_new();
    bool valid = false;
    if (byte_count <= RP_RECORD_BATCH_MAX_BYTES) {
        msgpack_unpacked unpacked;
        msgpack_unpacked_init(&unpacked);
        valid = msgpack_unpack_next(&unpacked, bytes, byte_count, NULL) ==
                    MSGPACK_UNPACK_SUCCESS &&
                decode_items(&unpacked.data, batch);
        msgpack_unpacked_destroy(&unpacked);
    }
    if (!valid) {
        rp_record_batch_unref(batch);
        g_set_error(
            error, RP_ERROR, RP_ERROR_MESSAGE,
            "%zu bytes are not a valid batch of records of at most %u "
            "bytes; check that the peer runs a release of this project",
            byte_count, RP_RECORD_BATCH_MAX_BYTES);
        return NULL;
    }
    return batch;
}
