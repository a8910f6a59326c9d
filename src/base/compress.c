#include "compress.h"

#include <zlib.h>

/* The fastest level: it already compresses records to a tenth, and CPU time
 * of an entry VM is scarcer than bandwidth. */
#define ZLIB_LEVEL 1

/* Appends the compressed bytes (zlib, RFC 1950). Returns false, with out
 * unchanged, when compression does not make them smaller. */
bool
rp_compress(const uint8_t *bytes, uint32_t byte_count, GByteArray *out)
{
    guint old_length = out->len;
    uLongf compressed = compressBound(byte_count);
    g_byte_array_set_size(out, old_length + (guint)compressed);
    int result = compress2(out->data + old_length, &compressed, bytes,
                           byte_count, ZLIB_LEVEL);
    bool smaller = result == Z_OK && compressed < byte_count;
    g_byte_array_set_size(out, old_length + (smaller ? (guint)compressed : 0));
    return smaller;
}

/* Appends the decompressed output of rp_compress. Returns false, with out
 * unchanged, when it is invalid or its size is not exactly plain_bytes. */
bool
rp_decompress(const uint8_t *bytes, uint32_t byte_count, uint32_t plain_bytes,
              GByteArray *out)
{
    guint old_length = out->len;
    uLongf plain = plain_bytes;
    g_byte_array_set_size(out, old_length + plain_bytes);
    int result = uncompress(out->data + old_length, &plain, bytes, byte_count);
    if (result == Z_OK && plain == plain_bytes) {
        return true;
    }
    g_byte_array_set_size(out, old_length);
    return false;
}
