#include "fake_clock.h"

struct clock_event {
    int64_t at_ns;
    uint64_t sequence;
    void (*run)(void *data, uint64_t number);
    void *data;
    uint64_t number;
};

struct fake_clock {
    int64_t now_ns;
    uint64_t sequence;
    GArray *heap; /* of struct clock_event */
};

static struct clock_event *
event_at(struct fake_clock *clock, guint index)
{
    return &g_array_index(clock->heap, struct clock_event, index);
}

static bool
is_before(const struct clock_event *a, const struct clock_event *b)
{
    return a->at_ns != b->at_ns ? a->at_ns < b->at_ns
                                : a->sequence < b->sequence;
}

/* Creates a clock that starts at 1 s. */
struct fake_clock *
fake_clock_new(void)
{
    struct fake_clock *clock = g_new0(struct fake_clock, 1);
    clock->now_ns = INT64_C(1000000000);
    clock->heap = g_array_new(FALSE, FALSE, sizeof(struct clock_event));
    return clock;
}

/* Frees a clock; events that have not run are dropped. */
void
fake_clock_free(struct fake_clock *clock)
{
    g_array_unref(clock->heap);
    g_free(clock);
}

/* Returns the current virtual time. */
int64_t
fake_clock_now_ns(const struct fake_clock *clock)
{
    return clock->now_ns;
}

static void
swap(struct fake_clock *clock, guint a, guint b)
{
    struct clock_event event = *event_at(clock, a);
    *event_at(clock, a) = *event_at(clock, b);
    *event_at(clock, b) = event;
}

/* Schedules an event. A time in the past is raised to the current time. */
void
fake_clock_schedule(struct fake_clock *clock, int64_t at_ns,
                    void (*run)(void *data, uint64_t number), void *data,
                    uint64_t number)
{
    struct clock_event event = {
        .at_ns = MAX(at_ns, clock->now_ns),
        .sequence = clock->sequence++,
        .run = run,
        .data = data,
        .number = number,
    };
    g_array_append_val(clock->heap, event);
    guint index = clock->heap->len - 1;
    while (index > 0 &&
           is_before(event_at(clock, index), event_at(clock, (index - 1) / 2)))
    {
        swap(clock, index, (index - 1) / 2);
        index = (index - 1) / 2;
    }
}

static void
sift_down(struct fake_clock *clock)
{
    guint index = 0;
    guint count = clock->heap->len;
    for (;;) {
        guint first = index;
        for (guint child = 2 * index + 1;
             child <= 2 * index + 2 && child < count; child++)
        {
            if (is_before(event_at(clock, child), event_at(clock, first))) {
                first = child;
            }
        }
        if (first == index) {
            return;
        }
        swap(clock, index, first);
        index = first;
    }
}

/* Runs the next event. If no event is scheduled before end_ns, advances the
 * clock to end_ns and returns false. */
bool
fake_clock_step(struct fake_clock *clock, int64_t end_ns)
{
    if (clock->heap->len == 0 || event_at(clock, 0)->at_ns >= end_ns) {
        clock->now_ns = MAX(clock->now_ns, end_ns);
        return false;
    }
    struct clock_event event = *event_at(clock, 0);
    swap(clock, 0, clock->heap->len - 1);
    g_array_set_size(clock->heap, clock->heap->len - 1);
    sift_down(clock);
    clock->now_ns = event.at_ns;
    event.run(event.data, event.number);
    return true;
}
