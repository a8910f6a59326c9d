#include "heap.h"

#include <glib.h>

static bool
is_before(const struct event *a, const struct event *b)
{
    return a->at_ns != b->at_ns ? a->at_ns < b->at_ns
                                : a->sequence < b->sequence;
}

/* Adds an event. */
void
heap_push(struct heap *heap, int64_t at_ns, enum event_kind kind, uint32_t a,
          uint32_t b)
{
    if (heap->count == heap->capacity) {
        heap->capacity = heap->capacity > 0 ? heap->capacity * 2 : 1024;
        heap->events = g_renew(struct event, heap->events, heap->capacity);
    }
    struct event event = {at_ns, heap->next_sequence++, kind, a, b};
    uint32_t i = heap->count++;
    while (i > 0 && is_before(&event, &heap->events[(i - 1) / 2])) {
        heap->events[i] = heap->events[(i - 1) / 2];
        i = (i - 1) / 2;
    }
    heap->events[i] = event;
}

/* Removes the earliest event and copies it to event. Returns false when the
 * heap is empty. */
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
            is_before(&heap->events[child + 1], &heap->events[child]))
        {
            child++;
        }
        if (!is_before(&heap->events[child], &last)) {
            break;
        }
        heap->events[i] = heap->events[child];
        i = child;
    }
    heap->events[i] = last;
    return true;
}

/* Frees all events; the heap is empty afterwards. */
void
heap_clear(struct heap *heap)
{
    g_free(heap->events);
    *heap = (struct heap){0};
}
