#include "event.h"

#include <glib.h>
#include <stdarg.h>
#include <stdio.h>

struct rp_event_ring {
    struct rp_event *events;
    uint32_t capacity;
    uint64_t end; /* sequence of the next event */
    struct rp_hlc clock;
    int64_t wall_offset_ms;
};

static const char *const event_names[RP_EVENT_COUNT] = {
#define RP_EVENT(identifier, name) name,
#include "event_list.h"
#undef RP_EVENT
};

/* Creates a ring that keeps the latest events; capacity is their number and
 * must not be zero. The caller frees it with rp_event_ring_free. */
struct rp_event_ring *
rp_event_ring_new(uint32_t capacity)
{
    struct rp_event_ring *ring = g_new0(struct rp_event_ring, 1);
    ring->events = g_new0(struct rp_event, capacity);
    ring->capacity = capacity;
    return ring;
}

/* Frees a ring; NULL is allowed. */
void
rp_event_ring_free(struct rp_event_ring *ring)
{
    if (ring == NULL) {
        return;
    }
    g_free(ring->events);
    g_free(ring);
}

/* Tells the ring the present difference between the wall clock and the
 * monotonic clock, in milliseconds. */
void
rp_event_ring_set_wall_offset(struct rp_event_ring *ring,
                              int64_t wall_minus_now_ms)
{
    ring->wall_offset_ms = wall_minus_now_ms;
}

/* Returns the hybrid logical clock of this process, for messages to peers.
 * It belongs to the ring. */
struct rp_hlc *
rp_event_ring_clock(struct rp_event_ring *ring)
{
    return &ring->clock;
}

/* Returns the wall time in milliseconds that belongs to now_ns. */
int64_t
rp_event_ring_wall_ms(const struct rp_event_ring *ring, int64_t now_ns)
{
    return now_ns / 1000000 + ring->wall_offset_ms;
}

static void
copy_name(char *to, const char *from)
{
    g_strlcpy(to, from == NULL ? "" : from, RP_EVENT_NAME_BYTES);
}

/* Adds an event and returns it so that further fields can be set before the
 * next event is added. It replaces the oldest event of a full ring. subject
 * is copied and may be NULL. */
struct rp_event *
rp_event_add(struct rp_event_ring *ring, enum rp_event_kind kind,
             int64_t now_ns, const char *subject)
{
    struct rp_event *event = &ring->events[ring->end % ring->capacity];
    event->kind = kind;
    event->sequence = ring->end++;
    event->hlc =
        rp_hlc_tick(&ring->clock, rp_event_ring_wall_ms(ring, now_ns));
    event->now_ns = now_ns;
    event->value = 0;
    event->request[0] = '\0';
    event->service[0] = '\0';
    event->detail[0] = '\0';
    copy_name(event->subject, subject);
    return event;
}

/* Names the request that an event belongs to. */
void
rp_event_set_request(struct rp_event *event, const char *request)
{
    copy_name(event->request, request);
}

/* Names the service that an event belongs to. */
void
rp_event_set_service(struct rp_event *event, const char *service)
{
    copy_name(event->service, service);
}

/* Sets the text that explains an event; longer texts are cut. */
void
rp_event_set_detail(struct rp_event *event, const char *format, ...)
{
    va_list arguments;
    va_start(arguments, format);
    vsnprintf(event->detail, sizeof(event->detail), format, arguments);
    va_end(arguments);
}

/* Returns the sequence of the oldest event that is still kept. */
uint64_t
rp_event_ring_first_sequence(const struct rp_event_ring *ring)
{
    return ring->end > ring->capacity ? ring->end - ring->capacity : 0;
}

/* Returns the sequence that the next event will have. */
uint64_t
rp_event_ring_end_sequence(const struct rp_event_ring *ring)
{
    return ring->end;
}

/* Returns an event by its sequence, or NULL when the ring no longer or not
 * yet has it. It is valid until the next event is added. */
const struct rp_event *
rp_event_ring_get(const struct rp_event_ring *ring, uint64_t sequence)
{
    if (sequence < rp_event_ring_first_sequence(ring) || sequence >= ring->end)
    {
        return NULL;
    }
    return &ring->events[sequence % ring->capacity];
}

/* Returns the name of an event kind as printed in the time line. */
const char *
rp_event_kind_name(enum rp_event_kind kind)
{
    return event_names[kind];
}
