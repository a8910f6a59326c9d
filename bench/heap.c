#include "heap.h"

#include <glib.h>

static bool
before(const struct event *a, const struct event *b)
{
    return a->at_ns != b->at_ns ? a->at_ns < b->at_ns : a->order < b->order;
}

/* Adds an event. */
void
heap_push(struct heap *heap, int64_t at_ns, enum event_kind kind, uint32_t a,
          uint32_t b)
{
    if (heap->count == heap->room) {
        heap->room = heap->room > 0 ? heap->room * 2 : 1024;
        heap->events = g_renew(struct event, heap->events, heap->room);
    }
    struct event event = {at_ns, heap->order++, kind, a, b};
    uint32_t i = heap->count++;
    while (i > 0 && before(&event, &heap->events[(i - 1) / 2])) {
        heap->events[i] = heap->events[(i - 1) / 2];
        i = (i - 1) / 2;
    }
    heap->events[i] = event;
}

/* Takes the earliest event; returns false when there is none. */
bool
heap_pop(struct heap *heap, struct event *event)
{
    if (heap->count == 0) {
        return false;
    }
    *event = heap->events[0];
    struct event last = heap->events[--heap->count];
    uint32_t i = 0;
    while (2 * i + 1 < heap->count) {
        uint32_t child = 2 * i + 1;
        if (child + 1 < heap->count &&
            before(&heap->events[child + 1], &heap->events[child]))
        {
            child++;
        }
        if (!before(&heap->events[child], &last)) {
            break;
        }
        heap->events[i] = heap->events[child];
        i = child;
    }
    heap->events[i] = last;
    return true;
}

/* Frees all events. */
void
heap_clear(struct heap *heap)
{
    g_free(heap->events);
    *heap = (struct heap){0};
}
