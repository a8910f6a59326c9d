#include "backlog.h"

#include <glib.h>

#define DEPARTURE_INTERVAL_WEIGHT (1.0 / 16)
/* If two calls leave further apart than this, no call was waiting for room
 * between them. */
#define IDLE_NS INT64_C(500000000)
/* Share of the time to its deadline that a call may wait. A caller that is
 * refused then still has time for a retry. */
#define MAX_WAIT_SHARE 0.35
/* Time for the answer to reach the caller, which the latency goal includes. */
#define RESPONSE_TRANSIT_NS INT64_C(20000000)

struct waiting_call {
    struct rp_balancer_call call;
    int64_t aim_start_ns; /* latest start that meets aim_ns */
    int64_t expires_ns;   /* refused if still queued then */
};

struct rp_backlog {
    GQueue calls; /* of struct waiting_call, in order of arrival */
    uint32_t limit;
    double departure_interval_ns; /* between two calls leaving under load; 0:
                                     unknown */
    int64_t last_pop_ns;
};

/* Creates an empty backlog for up to limit calls. Free it with
 * rp_backlog_free. */
struct rp_backlog *
rp_backlog_new(uint32_t limit)
{
    struct rp_backlog *backlog = g_new0(struct rp_backlog, 1);
    g_queue_init(&backlog->calls);
    backlog->limit = limit;
    return backlog;
}

/* Frees a backlog with the calls in it; NULL is allowed. */
void
rp_backlog_free(struct rp_backlog *backlog)
{
    if (backlog == NULL) {
        return;
    }
    g_queue_clear_full(&backlog->calls, g_free);
    g_free(backlog);
}

static uint32_t
count_ahead(const struct rp_backlog *backlog,
            const struct rp_balancer_call *call)
{
    uint32_t ahead = 0;
    for (const GList *link = backlog->calls.head; link != NULL;
         link = link->next) {
        const struct waiting_call *waiting = link->data;
        ahead += waiting->call.rank <= call->rank;
    }
    return ahead;
}

/* Queues a call, or returns why it is refused: the backlog is full, or the
 * call would leave it too late. usual_ns is the usual time of a call. */
enum rp_refusal
rp_backlog_offer(struct rp_backlog *backlog,
                 const struct rp_balancer_call *call, double usual_ns,
                 int64_t now_ns)
{
    if (backlog->calls.length >= backlog->limit) {
        return RP_REFUSAL_QUEUE_FULL;
    }
    int64_t remaining_ns = call->deadline_ns - now_ns;
    int64_t latest_start_ns = call->deadline_ns - (int64_t)usual_ns;
    int64_t expires_ns =
        now_ns + (int64_t)(MAX_WAIT_SHARE * (double)remaining_ns);
    expires_ns = MIN(expires_ns, latest_start_ns);
    double expected_wait_ns =
        backlog->departure_interval_ns * count_ahead(backlog, call);
    if (latest_start_ns <= now_ns) {
        return RP_REFUSAL_DEADLINE;
    }
    if ((double)now_ns + expected_wait_ns > (double)expires_ns) {
        return RP_REFUSAL_QUEUE_FULL;
    }
    struct waiting_call *waiting = g_new(struct waiting_call, 1);
    waiting->call = *call;
    waiting->expires_ns = expires_ns;
    waiting->aim_start_ns =
        call->aim_ns > 0
            ? now_ns + call->aim_ns - RESPONSE_TRANSIT_NS - (int64_t)usual_ns
            : expires_ns;
    g_queue_push_tail(&backlog->calls, waiting);
    return RP_REFUSAL_NONE;
}

static bool
goes_before(const struct waiting_call *a, const struct waiting_call *b,
            int64_t now_ns)
{
    if (a->call.rank != b->call.rank) {
        return a->call.rank < b->call.rank;
    }
    bool a_late = a->aim_start_ns < now_ns;
    bool b_late = b->aim_start_ns < now_ns;
    return a_late != b_late && b_late;
}

static bool
is_held(const struct waiting_call *waiting, const uint64_t *held_routes,
        uint32_t held_count)
{
    for (uint32_t i = 0; i < held_count; i++) {
        if (waiting->call.route == held_routes[i]) {
            return true;
        }
    }
    return false;
}

/* Returns the next call that is not of one of the held routes, or NULL. It
 * belongs to the backlog. */
const struct rp_balancer_call *
rp_backlog_peek(struct rp_backlog *backlog, const uint64_t *held_routes,
                uint32_t held_count, int64_t now_ns)
{
    const struct waiting_call *best = NULL;
    for (const GList *link = backlog->calls.head; link != NULL;
         link = link->next) {
        const struct waiting_call *waiting = link->data;
        if (!is_held(waiting, held_routes, held_count) &&
            (best == NULL || goes_before(waiting, best, now_ns)))
        {
            best = waiting;
        }
    }
    return best == NULL ? NULL : &best->call;
}

static GList *
find_call(struct rp_backlog *backlog, uint64_t call_id)
{
    for (GList *link = backlog->calls.head; link != NULL; link = link->next) {
        const struct waiting_call *waiting = link->data;
        if (waiting->call.call_id == call_id) {
            return link;
        }
    }
    return NULL;
}

/* Removes a call after it has been sent. */
void
rp_backlog_pop(struct rp_backlog *backlog, uint64_t call_id, int64_t now_ns)
{
    int64_t interval_ns = now_ns - backlog->last_pop_ns;
    if (backlog->last_pop_ns != 0 && interval_ns < IDLE_NS) {
        backlog->departure_interval_ns +=
            DEPARTURE_INTERVAL_WEIGHT *
            ((double)interval_ns - backlog->departure_interval_ns);
    }
    else {
        backlog->departure_interval_ns = 0;
    }
    backlog->last_pop_ns = now_ns;
    rp_backlog_withdraw(backlog, call_id);
}

/* Removes one call that has waited too long and copies it to *call; returns
 * false when there is none. */
bool
rp_backlog_expire(struct rp_backlog *backlog, int64_t now_ns,
                  struct rp_balancer_call *call)
{
    for (GList *link = backlog->calls.head; link != NULL; link = link->next) {
        struct waiting_call *waiting = link->data;
        if (waiting->expires_ns <= now_ns) {
            *call = waiting->call;
            g_free(waiting);
            g_queue_delete_link(&backlog->calls, link);
            return true;
        }
    }
    return false;
}

/* Removes a call; returns false when it is not queued. */
bool
rp_backlog_withdraw(struct rp_backlog *backlog, uint64_t call_id)
{
    GList *link = find_call(backlog, call_id);
    if (link == NULL) {
        return false;
    }
    g_free(link->data);
    g_queue_delete_link(&backlog->calls, link);
    return true;
}

/* Returns when rp_backlog_expire must be called, or INT64_MAX. */
int64_t
rp_backlog_due_ns(const struct rp_backlog *backlog)
{
    int64_t due_ns = INT64_MAX;
    for (const GList *link = backlog->calls.head; link != NULL;
         link = link->next) {
        const struct waiting_call *waiting = link->data;
        due_ns = MIN(due_ns, waiting->expires_ns);
    }
    return due_ns;
}

/* Returns the expected time until the backlog has drained. */
int64_t
rp_backlog_wait_ns(const struct rp_backlog *backlog)
{
    return (int64_t)(backlog->departure_interval_ns * backlog->calls.length);
}

/* Returns the number of queued calls. */
uint32_t
rp_backlog_count(const struct rp_backlog *backlog)
{
    return backlog->calls.length;
}
