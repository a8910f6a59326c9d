#include "admission.h"

#include <glib.h>

#define DEPARTURE_INTERVAL_WEIGHT (1.0 / 32)
/* Requests that arrived during a pause of the process are read within this
 * time. */
#define BURST_NS 100000000

/* Longer queues only add delay: they do not fill slots better and do not
 * absorb longer bursts (CoDel, Nichols and Jacobson 2012, on standing queues).
 * Long calls tolerate a longer wait. */
static const int64_t max_wait_ns[RP_ADMISSION_CLASSES] = {
    [RP_ADMISSION_SHORT] = 300000000,
    [RP_ADMISSION_LONG] = 5000000000,
};

struct waiting_call {
    struct rp_balancer_call call;
    int64_t latest_start_ns; /* refused if still queued then */
};

struct class_queue {
    GQueue calls;                 /* of struct waiting_call, owned */
    double departure_interval_ns; /* moving average */
    int64_t last_pop_ns; /* INT64_MIN: none since the queue was empty or the
                            process was paused */
    bool alternate_ends; /* pop from both ends alternately until empty */
    bool from_tail;      /* the newest call is next */
};

struct rp_admission {
    struct class_queue queues[RP_ADMISSION_CLASSES];
    uint32_t limit;
    int64_t burst_until_ns; /* a queue that forms before this is a burst */
    int64_t due_ns;         /* no call's latest_start_ns is earlier */
};

/* Creates empty queues that hold up to limit calls each. Free them with
 * rp_admission_free. */
struct rp_admission *
rp_admission_new(uint32_t limit)
{
    struct rp_admission *admission = g_new0(struct rp_admission, 1);
    admission->limit = limit;
    admission->due_ns = INT64_MAX;
    for (int i = 0; i < RP_ADMISSION_CLASSES; i++) {
        g_queue_init(&admission->queues[i].calls);
        admission->queues[i].last_pop_ns = INT64_MIN;
    }
    return admission;
}

/* Frees the queues with the calls in them; NULL is allowed. */
void
rp_admission_free(struct rp_admission *admission)
{
    if (admission == NULL) {
        return;
    }
    for (int i = 0; i < RP_ADMISSION_CLASSES; i++) {
        g_queue_clear_full(&admission->queues[i].calls, g_free);
    }
    g_free(admission);
}

/* Queues a call, or returns why it is refused: the queue is full, or the call
 * would leave it too late for an answer before the deadline.
 * departure_interval_ns is the expected time between two calls leaving the
 * queue, used until the queue has its own average; response_ns is the usual
 * response time. */
enum rp_refusal
rp_admission_offer(struct rp_admission *admission,
                   const struct rp_balancer_call *call,
                   enum rp_admission_class queue_class,
                   double departure_interval_ns, double response_ns,
                   int64_t now_ns)
{
    struct class_queue *queue = &admission->queues[queue_class];
    if (queue->calls.length >= admission->limit) {
        return RP_REFUSAL_QUEUE_FULL;
    }
    if (queue->calls.length == 0) {
        queue->departure_interval_ns = departure_interval_ns;
        queue->last_pop_ns = INT64_MIN;
        queue->alternate_ends = now_ns < admission->burst_until_ns;
        queue->from_tail = false;
    }
    int64_t latest_start_ns = call->deadline_ns - (int64_t)response_ns;
    double expected_ns =
        queue->departure_interval_ns * (queue->calls.length + 1);
    if (expected_ns > (double)max_wait_ns[queue_class]) {
        return RP_REFUSAL_QUEUE_FULL;
    }
    if ((double)now_ns + expected_ns > (double)latest_start_ns) {
        return RP_REFUSAL_DEADLINE;
    }
    struct waiting_call *waiting = g_new(struct waiting_call, 1);
    waiting->call = *call;
    waiting->latest_start_ns =
        MIN(latest_start_ns, now_ns + 2 * max_wait_ns[queue_class]);
    g_queue_push_tail(&queue->calls, waiting);
    admission->due_ns = MIN(admission->due_ns, waiting->latest_start_ns);
    return RP_REFUSAL_NONE;
}

/* Returns the next call of a class, or NULL. It belongs to the queue. */
const struct rp_balancer_call *
rp_admission_peek(const struct rp_admission *admission,
                  enum rp_admission_class queue_class)
{
    const struct class_queue *queue = &admission->queues[queue_class];
    const GList *link =
        queue->from_tail ? queue->calls.tail : queue->calls.head;
    return link != NULL ? &((struct waiting_call *)link->data)->call : NULL;
}

/* Removes the next call of a class after it has been sent. */
void
rp_admission_pop(struct rp_admission *admission,
                 enum rp_admission_class queue_class, int64_t now_ns)
{
    struct class_queue *queue = &admission->queues[queue_class];
    if (queue->last_pop_ns != INT64_MIN) {
        double interval_ns = (double)(now_ns - queue->last_pop_ns);
        queue->departure_interval_ns +=
            DEPARTURE_INTERVAL_WEIGHT *
            (interval_ns - queue->departure_interval_ns);
    }
    queue->last_pop_ns = now_ns;
    g_free(queue->from_tail ? g_queue_pop_tail(&queue->calls)
                            : g_queue_pop_head(&queue->calls));
    queue->alternate_ends = queue->alternate_ends && queue->calls.length > 0;
    queue->from_tail = queue->alternate_ends && !queue->from_tail;
}

static bool
expire_in(struct class_queue *queue, int64_t now_ns, int64_t *due_ns,
          struct rp_balancer_call *call)
{
    for (GList *link = queue->calls.head; link != NULL; link = link->next) {
        struct waiting_call *waiting = link->data;
        if (waiting->latest_start_ns <= now_ns) {
            *call = waiting->call;
            g_free(waiting);
            g_queue_delete_link(&queue->calls, link);
            return true;
        }
        *due_ns = MIN(*due_ns, waiting->latest_start_ns);
    }
    return false;
}

/* Removes one call that can no longer be answered before its deadline and
 * copies it to *call; returns false when there is none. */
bool
rp_admission_expire(struct rp_admission *admission, int64_t now_ns,
                    struct rp_balancer_call *call)
{
    if (now_ns < admission->due_ns) {
        return false;
    }
    int64_t due_ns = INT64_MAX;
    for (int i = 0; i < RP_ADMISSION_CLASSES; i++) {
        if (expire_in(&admission->queues[i], now_ns, &due_ns, call)) {
            return true;
        }
    }
    admission->due_ns = due_ns;
    return false;
}

/* Removes a call; returns false when it is not queued. */
bool
rp_admission_withdraw(struct rp_admission *admission, uint64_t call_id)
{
    for (int i = 0; i < RP_ADMISSION_CLASSES; i++) {
        GQueue *calls = &admission->queues[i].calls;
        for (GList *link = calls->head; link != NULL; link = link->next) {
            struct waiting_call *waiting = link->data;
            if (waiting->call.call_id == call_id) {
                g_free(waiting);
                g_queue_delete_link(calls, link);
                return true;
            }
        }
    }
    return false;
}

/* Handles a pause of the process, which is left out of the departure interval.
 * Calls that arrived during the pause form a burst. Until the queue is empty,
 * the oldest and the newest call leave alternately, so that later calls do not
 * all wait behind the burst. */
void
rp_admission_handle_pause(struct rp_admission *admission, int64_t now_ns)
{
    for (int i = 0; i < RP_ADMISSION_CLASSES; i++) {
        admission->queues[i].last_pop_ns = INT64_MIN;
        admission->queues[i].alternate_ends = true;
    }
    admission->burst_until_ns = now_ns + BURST_NS;
}

/* Returns when rp_admission_expire must be called, or INT64_MAX. */
int64_t
rp_admission_due_ns(const struct rp_admission *admission)
{
    return admission->due_ns;
}

/* Returns the expected time until the queue of a class has drained. */
int64_t
rp_admission_wait_ns(const struct rp_admission *admission,
                     enum rp_admission_class queue_class)
{
    const struct class_queue *queue = &admission->queues[queue_class];
    return (int64_t)(queue->departure_interval_ns * queue->calls.length);
}

/* Returns the number of queued calls of a class. */
uint32_t
rp_admission_count(const struct rp_admission *admission,
                   enum rp_admission_class queue_class)
{
    return admission->queues[queue_class].calls.length;
}
