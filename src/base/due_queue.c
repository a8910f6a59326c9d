#include "due_queue.h"

#include <glib.h>

static void
place(struct rp_due_queue *queue, struct rp_due_item *item, uint32_t position)
{
    queue->heap[position - 1] = item;
    item->position = position;
}

static void
move_up(struct rp_due_queue *queue, struct rp_due_item *item)
{
    uint32_t position = item->position;
    while (position > 1 && queue->heap[position / 2 - 1]->at_ns > item->at_ns)
    {
        place(queue, queue->heap[position / 2 - 1], position);
        position /= 2;
    }
    place(queue, item, position);
}

static void
move_down(struct rp_due_queue *queue, struct rp_due_item *item)
{
    uint32_t position = item->position;
    while (position * 2 <= queue->count) {
        uint32_t child = position * 2;
        if (child < queue->count &&
            queue->heap[child]->at_ns < queue->heap[child - 1]->at_ns)
        {
            child++;
        }
        if (queue->heap[child - 1]->at_ns >= item->at_ns) {
            break;
        }
        place(queue, queue->heap[child - 1], position);
        position = child;
    }
    place(queue, item, position);
}

/* Adds an item, or changes the time of one that is already queued. The item is
 * borrowed and must be removed before it is freed. */
void
rp_due_queue_set(struct rp_due_queue *queue, struct rp_due_item *item,
                 int64_t at_ns)
{
    item->at_ns = at_ns;
    if (item->position == 0) {
        if (queue->count == queue->capacity) {
            queue->capacity = MAX(64, queue->capacity * 2);
            queue->heap =
                g_renew(struct rp_due_item *, queue->heap, queue->capacity);
        }
        queue->count++;
        place(queue, item, queue->count);
    }
    move_up(queue, item);
    move_down(queue, item);
}

/* Removes an item; does nothing if it is not queued. */
void
rp_due_queue_remove(struct rp_due_queue *queue, struct rp_due_item *item)
{
    uint32_t position = item->position;
    if (position == 0) {
        return;
    }
    item->position = 0;
    struct rp_due_item *last = queue->heap[--queue->count];
    if (last != item) {
        place(queue, last, position);
        move_up(queue, last);
        move_down(queue, last);
    }
}

/* Returns the item that is due first, or NULL if the queue is empty. */
struct rp_due_item *
rp_due_queue_first(const struct rp_due_queue *queue)
{
    return queue->count == 0 ? NULL : queue->heap[0];
}

/* Empties the queue and frees its memory, but not the items. */
void
rp_due_queue_clear(struct rp_due_queue *queue)
{
    g_free(queue->heap);
    queue->heap = NULL;
    queue->count = 0;
    queue->capacity = 0;
}
