#include "due_queue.h"

#include <glib.h>

static void
place(struct rp_due_queue *due, struct rp_due_item *item, uint32_t position)
{
    due->heap[position - 1] = item;
    item->position = position;
}

static void
move_up(struct rp_due_queue *due, struct rp_due_item *item)
{
    uint32_t position = item->position;
    while (position > 1 && due->heap[position / 2 - 1]->at_ns > item->at_ns) {
        place(due, due->heap[position / 2 - 1], position);
        position /= 2;
    }
    place(due, item, position);
}

static void
move_down(struct rp_due_queue *due, struct rp_due_item *item)
{
    uint32_t position = item->position;
    while (position * 2 <= due->count) {
        uint32_t child = position * 2;
        if (child < due->count &&
            due->heap[child]->at_ns < due->heap[child - 1]->at_ns)
        {
            child++;
        }
        if (due->heap[child - 1]->at_ns >= item->at_ns) {
            break;
        }
        place(due, due->heap[child - 1], position);
        position = child;
    }
    place(due, item, position);
}

/* Queues an item, or moves one that is queued, to the given time. The item
 * is borrowed and must be removed before it goes. */
void
rp_due_queue_set(struct rp_due_queue *due, struct rp_due_item *item,
                 int64_t at_ns)
{
    item->at_ns = at_ns;
    if (item->position == 0) {
        if (due->count == due->capacity) {
            due->capacity = MAX(64, due->capacity * 2);
            due->heap =
                g_renew(struct rp_due_item *, due->heap, due->capacity);
        }
        due->count++;
        place(due, item, due->count);
    }
    move_up(due, item);
    move_down(due, item);
}

/* Takes an item out of the queue; one that is not queued is left alone. */
void
rp_due_queue_remove(struct rp_due_queue *due, struct rp_due_item *item)
{
    uint32_t position = item->position;
    if (position == 0) {
        return;
    }
    item->position = 0;
    struct rp_due_item *last = due->heap[--due->count];
    if (last != item) {
        place(due, last, position);
        move_up(due, last);
        move_down(due, last);
    }
}

/* Returns the item that is due first, or NULL. */
struct rp_due_item *
rp_due_queue_first(const struct rp_due_queue *due)
{
    return due->count == 0 ? NULL : due->heap[0];
}

/* Frees the queue's own memory. */
void
rp_due_queue_clear(struct rp_due_queue *due)
{
    g_free(due->heap);
    due->heap = NULL;
    due->count = 0;
    due->capacity = 0;
}
