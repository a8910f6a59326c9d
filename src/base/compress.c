#include "compress.h"

#include <zlib.h>

/* The fastest level: records shrink to a tenth with it, and the processor time
 * of an entry VM is scarcer than bytes. */
#define LEVEL 1

/* Appends the bytes compressed (zlib, RFC 1950). Returns false, with out
 * unchanged, when they would not be fewer. */
bool
rp_compress(const uint8_t *bytes, uint32_t byte_count, GByteArray *out)
{
    guint before = out->len;
    uLongf compressed = compressBound(byte_count);
    g_byte_array_set_size(out, before + (guint)compressed);
    int result =
        compress2(out->data + before, &compressed, bytes, byte_count, LEVEL);
    bool smaller = result == Z_OK && compressed < byte_count;
    g_byte_array_set_size(out, before + (smaller ? (guint)compressed : 0));
    return smaller;
}

/* Appends the plain bytes of what rp_compress made. Returns false, with out
 * unchanged, when they are not exactly plain_bytes. */
bool
rp_decompress(const uint8_t *bytes, uint32_t byte_count, uint32_t plain_bytes,
              GByteArray *out)
{
    guint before = out->len;
    uLongf plain = plain_bytes;
    g_byte_array_set_size(out, before + plain_bytes);
    int result = uncompress(out->data + before, &plain, bytes, byte_count);
    if (result == Z_OK && plain == plain_bytes) {
        return true;
    }
    g_byte_array_set_size(out, before);
    return false;
}
