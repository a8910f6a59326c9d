#ifndef RP_STREAM_H
#define RP_STREAM_H

#include <stdbool.h>
#include <stdint.h>

#define RP_STREAM_CAPACITY_BYTES 65536
#define RP_STREAM_READ_BYTES 16384

/* How a stream ended, if it has. */
enum rp_stream_state {
    RP_STREAM_OPEN,
    RP_STREAM_ENDED,  /* whole: every byte was written */
    RP_STREAM_BROKEN, /* the writer gave up; what was read is not whole */
};

/* A bounded, reference counted byte buffer between one writer and its
 * readers. It keeps what was read until room is needed, so that a body that
 * fits can be read again from its start. No clock, socket or lock inside. */
struct rp_stream;

#ifdef __cplusplus
extern "C" {
#endif

struct rp_stream *rp_stream_new(void);
struct rp_stream *rp_stream_ref(struct rp_stream *stream);
void rp_stream_unref(struct rp_stream *stream);

void rp_stream_set_reader(struct rp_stream *stream,
                          void (*on_readable)(void *data), void *data);
void rp_stream_set_writer(struct rp_stream *stream,
                          void (*on_writable)(void *data), void *data);

void rp_stream_set_limit(struct rp_stream *stream, uint64_t limit_bytes);
bool rp_stream_over_limit(const struct rp_stream *stream);
uint32_t rp_stream_room(const struct rp_stream *stream);
uint32_t rp_stream_write(struct rp_stream *stream, const void *bytes,
                         uint32_t count);
void rp_stream_end(struct rp_stream *stream);
void rp_stream_break(struct rp_stream *stream);
enum rp_stream_state rp_stream_state(const struct rp_stream *stream);
uint64_t rp_stream_written(const struct rp_stream *stream);

bool rp_stream_can_rewind(const struct rp_stream *stream);
void rp_stream_rewind(struct rp_stream *stream);
bool rp_stream_at_end(const struct rp_stream *stream);
uint32_t rp_stream_available(const struct rp_stream *stream);
bool rp_stream_peek(const struct rp_stream *stream, void *bytes,
                    uint32_t count);
uint32_t rp_stream_read(struct rp_stream *stream, void *bytes, uint32_t count);

#ifdef __cplusplus
}
#endif

#endif
