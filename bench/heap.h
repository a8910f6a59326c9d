#ifndef HEAP_H
#define HEAP_H

#include <stdbool.h>
#include <stdint.h>

enum event_kind {
    EVENT_ARRIVAL,
    EVENT_AT_TARGET,
    EVENT_SERVED,
    EVENT_ANSWER,
    EVENT_CANCEL,
    EVENT_HEDGE,
    EVENT_RETRY,
    EVENT_DUE,
    EVENT_PROBE,
    EVENT_WORLD,
};

struct event {
    int64_t at_ns;
    uint64_t sequence; /* orders equal times, so that a seed defines a run */
    enum event_kind kind;
    uint32_t a; /* operands, see handle in sim.c */
    uint32_t b;
};

/* Events ordered by time. */
struct heap {
    struct event *events;
    uint32_t count;
    uint32_t capacity;
    uint64_t next_sequence;
};

void heap_push(struct heap *heap, int64_t at_ns, enum event_kind kind,
               uint32_t a, uint32_t b);
bool heap_pop(struct heap *heap, struct event *event);
void heap_clear(struct heap *heap);

#endif
