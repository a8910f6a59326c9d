#ifndef RP_MSGPACK_CHECK_H
#define RP_MSGPACK_CHECK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define RP_MSGPACK_MAX_DEPTH 8

#ifdef __cplusplus
extern "C" {
#endif

bool rp_msgpack_check(const void *bytes, size_t byte_count);

#ifdef __cplusplus
}
#endif

#endif
