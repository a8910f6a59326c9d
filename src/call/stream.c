#include "stream.h"

#include <glib.h>
#include <string.h>

/* Small, since most bodies are. */
#define INITIAL_CAPACITY_BYTES 2048

struct rp_stream {
    uint32_t references;
    uint32_t capacity_bytes; /* a power of two; 0 before the first write */
    uint8_t *ring;
    uint64_t oldest_position; /* oldest byte in the ring */
    uint64_t read_position;
    uint64_t write_position;
    uint64_t max_bytes;
    bool over_limit;
    enum rp_stream_state state;
    void (*on_readable)(void *data);
    void *reader;
    void (*on_writable)(void *data);
    void *writer;
};

/* Creates an empty open stream with one reference. */
struct rp_stream *
rp_stream_new(void)
{
    struct rp_stream *stream = g_new0(struct rp_stream, 1);
    stream->references = 1;
    stream->max_bytes = UINT64_MAX;
    return stream;
}

/* Adds a reference and returns the stream. */
struct rp_stream *
rp_stream_ref(struct rp_stream *stream)
{
    stream->references++;
    return stream;
}

/* Releases a reference; the last one frees the stream. NULL is allowed. */
void
rp_stream_unref(struct rp_stream *stream)
{
    if (stream == NULL || --stream->references > 0) {
        return;
    }
    g_free(stream->ring);
    g_free(stream);
}

/* Sets the callback for new bytes and for the end of the stream. NULL for
 * none; reset it before data becomes invalid. */
void
rp_stream_set_reader(struct rp_stream *stream, void (*on_readable)(void *data),
                     void *data)
{
    stream->on_readable = on_readable;
    stream->reader = data;
}

/* Sets the callback for a read, also one that found nothing, while the stream
 * is open. NULL for none; reset it before data becomes invalid. */
void
rp_stream_set_writer(struct rp_stream *stream, void (*on_writable)(void *data),
                     void *data)
{
    stream->on_writable = on_writable;
    stream->writer = data;
}

static void
notify_reader(struct rp_stream *stream)
{
    if (stream->on_readable != NULL) {
        stream->on_readable(stream->reader);
    }
}

static void
notify_writer(struct rp_stream *stream)
{
    if (stream->on_writable != NULL) {
        stream->on_writable(stream->writer);
    }
}

/* Sets the maximum length of the stream; a write beyond it breaks the
 * stream. */
void
rp_stream_set_limit(struct rp_stream *stream, uint64_t max_bytes)
{
    stream->max_bytes = max_bytes;
    if (stream->write_position > max_bytes) {
        stream->over_limit = true;
        rp_stream_break(stream);
    }
}

/* Returns whether the stream is broken because it exceeded its maximum
 * length. */
bool
rp_stream_over_limit(const struct rp_stream *stream)
{
    return stream->over_limit;
}

/* Returns how many bytes can be written now. */
uint32_t
rp_stream_room(const struct rp_stream *stream)
{
    if (stream->state != RP_STREAM_OPEN) {
        return 0;
    }
    return RP_STREAM_CAPACITY_BYTES -
           (uint32_t)(stream->write_position - stream->read_position);
}

static void
copy_in(struct rp_stream *stream, const uint8_t *bytes, uint32_t count)
{
    uint32_t at =
        (uint32_t)(stream->write_position & (stream->capacity_bytes - 1));
    uint32_t first = MIN(count, stream->capacity_bytes - at);
    memcpy(stream->ring + at, bytes, first);
    memcpy(stream->ring, bytes + first, count - first);
    stream->write_position += count;
}

static void
copy_out(const struct rp_stream *stream, uint64_t from, uint8_t *bytes,
         uint32_t count)
{
    uint32_t at = (uint32_t)(from & (stream->capacity_bytes - 1));
    uint32_t first = MIN(count, stream->capacity_bytes - at);
    memcpy(bytes, stream->ring + at, first);
    memcpy(bytes + first, stream->ring, count - first);
}

/* Grows the ring to hold the retained bytes and count more. At its maximum
 * size, discards the oldest bytes that were read. */
static void
make_room(struct rp_stream *stream, uint32_t count)
{
    uint64_t retained_bytes = stream->write_position - stream->oldest_position;
    uint32_t capacity = MAX(stream->capacity_bytes, INITIAL_CAPACITY_BYTES);
    while (capacity < retained_bytes + count &&
           capacity < RP_STREAM_CAPACITY_BYTES)
    {
        capacity *= 2;
    }
    if (capacity != stream->capacity_bytes) {
        uint8_t *ring = g_malloc(capacity);
        struct rp_stream grown = *stream;
        grown.ring = ring;
        grown.capacity_bytes = capacity;
        grown.write_position = stream->oldest_position;
        for (uint64_t at = stream->oldest_position;
             at < stream->write_position;) {
            uint8_t part[2048];
            uint32_t bytes =
                (uint32_t)MIN(sizeof(part), stream->write_position - at);
            copy_out(stream, at, part, bytes);
            copy_in(&grown, part, bytes);
            at += bytes;
        }
        g_free(stream->ring);
        stream->ring = ring;
        stream->capacity_bytes = capacity;
    }
    if (retained_bytes + count > capacity) {
        stream->oldest_position = stream->write_position + count - capacity;
    }
}

/* Writes as many of count bytes as fit and returns their number. The writer
 * keeps the rest until its callback is called. */
uint32_t
rp_stream_write(struct rp_stream *stream, const void *bytes, uint32_t count)
{
    if (stream->state == RP_STREAM_OPEN &&
        count > stream->max_bytes - stream->write_position)
    {
        stream->over_limit = true;
        rp_stream_break(stream);
    }
    uint32_t accepted = MIN(count, rp_stream_room(stream));
    if (accepted == 0) {
        return 0;
    }
    make_room(stream, accepted);
    copy_in(stream, bytes, accepted);
    notify_reader(stream);
    return accepted;
}

/* Marks the stream as complete. No effect on one that is not open. */
void
rp_stream_end(struct rp_stream *stream)
{
    if (stream->state == RP_STREAM_OPEN) {
        stream->state = RP_STREAM_ENDED;
        notify_reader(stream);
    }
}

/* Marks the stream as broken. No effect on one that is not open. */
void
rp_stream_break(struct rp_stream *stream)
{
    if (stream->state == RP_STREAM_OPEN) {
        stream->state = RP_STREAM_BROKEN;
        notify_reader(stream);
    }
}

/* Returns whether and how the stream has ended. */
enum rp_stream_state
rp_stream_state(const struct rp_stream *stream)
{
    return stream->state;
}

/* Returns the number of bytes written since the start. */
uint64_t
rp_stream_written(const struct rp_stream *stream)
{
    return stream->write_position;
}

/* Returns whether all bytes since the start are retained and the stream is not
 * broken. */
bool
rp_stream_can_rewind(const struct rp_stream *stream)
{
    return stream->oldest_position == 0 && stream->state != RP_STREAM_BROKEN;
}

/* Moves the read position back to the start; only valid when
 * rp_stream_can_rewind. */
void
rp_stream_rewind(struct rp_stream *stream)
{
    g_return_if_fail(stream->oldest_position == 0);
    stream->read_position = 0;
}

/* Returns whether the stream is complete and everything was read. */
bool
rp_stream_at_end(const struct rp_stream *stream)
{
    return stream->state == RP_STREAM_ENDED &&
           stream->read_position == stream->write_position;
}

/* Returns how many bytes can be read now. */
uint32_t
rp_stream_available(const struct rp_stream *stream)
{
    return (uint32_t)(stream->write_position - stream->read_position);
}

/* Copies the first count bytes of the stream, whether read or not. Returns
 * false when they are not all retained. */
bool
rp_stream_peek(const struct rp_stream *stream, void *bytes, uint32_t count)
{
    if (stream->oldest_position > 0 || stream->write_position < count) {
        return false;
    }
    if (count > 0) {
        copy_out(stream, 0, bytes, count);
    }
    return true;
}

/* Reads at most count bytes and returns their number; 0 when none are
 * available at present or the stream has ended. */
uint32_t
rp_stream_read(struct rp_stream *stream, void *bytes, uint32_t count)
{
    uint32_t read_bytes = MIN(count, rp_stream_available(stream));
    if (read_bytes > 0) {
        copy_out(stream, stream->read_position, bytes, read_bytes);
        stream->read_position += read_bytes;
    }
    if (stream->state == RP_STREAM_OPEN) {
        notify_writer(stream);
    }
    return read_bytes;
}
