#ifndef RP_DUE_QUEUE_H
#define RP_DUE_QUEUE_H

#include <stdbool.h>
#include <stdint.h>

/* A queue of items ordered by the time at which each is due. */
struct rp_due_item {
    int64_t at_ns;
    uint32_t position; /* 1-based place in the heap; 0 when not queued */
};

struct rp_due_queue {
    struct rp_due_item **heap;
    uint32_t count;
    uint32_t capacity;
};

#ifdef __cplusplus
extern "C" {
#endif

void rp_due_queue_set(struct rp_due_queue *due, struct rp_due_item *item,
                      int64_t at_ns);
void rp_due_queue_remove(struct rp_due_queue *due, struct rp_due_item *item);
struct rp_due_item *rp_due_queue_first(const struct rp_due_queue *due);
void rp_due_queue_clear(struct rp_due_queue *due);

#ifdef __cplusplus
}
#endif

#endif
