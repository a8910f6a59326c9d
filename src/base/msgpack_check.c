#include "msgpack_check.h"

#include <string.h>

struct cursor {
    const uint8_t *next;
    size_t bytes_left;
};

static bool
read_number(struct cursor *cursor, uint32_t width, uint32_t *number)
{
    if (cursor->bytes_left < width) {
        return false;
    }
    *number = 0;
    for (uint32_t i = 0; i < width; i++) {
        *number = (*number << 8) | *cursor->next++;
    }
    cursor->bytes_left -= width;
    return true;
}

static bool
skip(struct cursor *cursor, size_t bytes)
{
    if (cursor->bytes_left < bytes) {
        return false;
    }
    cursor->next += bytes;
    cursor->bytes_left -= bytes;
    return true;
}

/* Encodings that begin with 0xc0 to 0xdf: size of the length field, number of
 * bytes that always follow, and elements for each unit of the length, 0 when
 * the length counts bytes. */
struct encoding {
    uint8_t length_width;
    uint8_t fixed_bytes;
    uint8_t elements;
};

static const struct encoding encodings[32] = {
    {0, 0, 0},  {0, 0, 0}, {0, 0, 0}, {0, 0, 0}, /* nil, unused, bool */
    {1, 0, 0},  {2, 0, 0}, {4, 0, 0},            /* bin */
    {1, 1, 0},  {2, 1, 0}, {4, 1, 0},            /* ext */
    {0, 4, 0},  {0, 8, 0},                       /* float */
    {0, 1, 0},  {0, 2, 0}, {0, 4, 0}, {0, 8, 0}, /* uint */
    {0, 1, 0},  {0, 2, 0}, {0, 4, 0}, {0, 8, 0}, /* int */
    {0, 2, 0},  {0, 3, 0}, {0, 5, 0}, {0, 9, 0}, /* fixext */
    {0, 17, 0},                                  /* fixext 16 */
    {1, 0, 0},  {2, 0, 0}, {4, 0, 0},            /* str */
    {2, 0, 1},  {4, 0, 1},                       /* array */
    {2, 0, 2},  {4, 0, 2},                       /* map */
};

/* Reads one object without its elements, whose number it returns in
 * elements. */
static bool
read_object(struct cursor *cursor, uint64_t *elements)
{
    uint32_t head;
    *elements = 0;
    if (!read_number(cursor, 1, &head)) {
        return false;
    }
    if (head < 0x80 || head >= 0xe0) {
        return true; /* small integer */
    }
    if (head < 0xa0) {
        *elements = (uint64_t)(head & 15) * (head < 0x90 ? 2 : 1);
        return true;
    }
    if (head < 0xc0) {
        return skip(cursor, head & 31);
    }
    const struct encoding *encoding = &encodings[head - 0xc0];
    uint32_t length = 0;
    if (head == 0xc1 || !read_number(cursor, encoding->length_width, &length))
    {
        return false;
    }
    if (encoding->elements > 0) {
        *elements = (uint64_t)length * encoding->elements;
        return true;
    }
    return skip(cursor, (size_t)length + encoding->fixed_bytes);
}

/* Returns whether the bytes are one whole MessagePack object, nested at most
 * RP_MSGPACK_MAX_DEPTH deep, in which no array or map claims more elements
 * than there are bytes left. The library allocates memory for the claimed
 * number before it reads the elements; without this check a message of five
 * bytes would make it request 128 GiB. */
bool
rp_msgpack_check(const void *bytes, size_t byte_count)
{
    struct cursor cursor = {bytes, byte_count};
    uint64_t elements_left[RP_MSGPACK_MAX_DEPTH + 1];
    uint32_t depth = 0;
    elements_left[0] = 1;
    while (true) {
        while (elements_left[depth] == 0) {
            if (depth == 0) {
                return cursor.bytes_left == 0;
            }
            depth--;
        }
        elements_left[depth]--;
        uint64_t elements;
        if (!read_object(&cursor, &elements) || elements > cursor.bytes_left) {
            return false;
        }
        if (elements > 0) {
            if (depth == RP_MSGPACK_MAX_DEPTH) {
                return false;
            }
            elements_left[++depth] = elements;
        }
    }
}
