#ifndef RP_COMPRESS_H
#define RP_COMPRESS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

bool rp_compress(const uint8_t *bytes, uint32_t byte_count, GByteArray *out);
bool rp_decompress(const uint8_t *bytes, uint32_t byte_count,
                   uint32_t plain_bytes, GByteArray *out);

#ifdef __cplusplus
}
#endif

#endif
