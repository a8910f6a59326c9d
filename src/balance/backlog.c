#include "backlog.h"

#include <glib.h>
#include <math.h>

#define DEPARTURE_INTERVAL_WEIGHT (1.0 / 8)
/* A measured rate of departures is used for this long after the last one. */
#define MAX_RATE_AGE_NS INT64_C(10000000000)
/* Time constant of the rate of arrivals, and the number of ranks that are
 * counted by themselves. */
#define ARRIVAL_DECAY_NS 1e9
#define RANKS 4
/* Arrivals of better ranks use at most this part of the departures in the
 * expected wait. */
#define MAX_BETTER_SHARE 0.8
/* A waiting call is refused early if it is expected to wait for this multiple
 * of the time that it may wait. Above 1, since the rate is an estimate. */
#define DROP_RATIO 1.25
/* Share of the time to its deadline that a call may wait. A caller that is
 * refused then still has time for a retry. */
#define MAX_WAIT_SHARE 0.35
/* Time for the answer to reach the caller, which the latency goal includes. */
#define RESPONSE_TRANSIT_NS INT64_C(20000000)

struct waiting_call {
    struct rp_balancer_call call;
    int64_t aim_start_ns; /* latest start that meets the latency goal */
    int64_t order_ns;     /* the same; without a goal, the time of arrival */
    int64_t expires_ns;   /* refused if still queued then */
};

struct rp_backlog {
    GQueue calls; /* of struct waiting_call, in order of arrival */
    uint32_t limit;
    double departure_interval_ns; /* between two calls leaving while others
                                   * wait; 0: unknown */
    double initial_interval_ns;   /* used while that is unknown */
    int64_t last_pop_ns;
    int64_t waiting_since_ns; /* when the backlog was last empty */
    struct {
        double count; /* of calls, decaying */
        int64_t updated_ns;
    } arrivals[RANKS];
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

/* Sets the expected time between two calls that leave, for as long as none has
 * been measured. */
void
rp_backlog_set_initial_interval(struct rp_backlog *backlog, double interval_ns)
{
    backlog->initial_interval_ns = interval_ns;
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
    if (a_late != b_late) {
        return b_late;
    }
    bool a_returning = (a->call.flags & RP_CALL_RETURNING) != 0;
    bool b_returning = (b->call.flags & RP_CALL_RETURNING) != 0;
    if (a_returning != b_returning) {
        return a_returning;
    }
    return a->order_ns < b->order_ns;
}

/* Returns the expected time between two calls that leave. If none has left for
 * longer than that while calls wait, the interval is growing. */
static double
departure_interval_ns(const struct rp_backlog *backlog, int64_t now_ns)
{
    double interval_ns = backlog->departure_interval_ns;
    if (interval_ns <= 0 || now_ns - backlog->last_pop_ns > MAX_RATE_AGE_NS) {
        return backlog->initial_interval_ns;
    }
    if (backlog->calls.length > 0) {
        double elapsed_ns = (double)(now_ns - MAX(backlog->last_pop_ns,
                                                  backlog->waiting_since_ns));
        interval_ns +=
            DEPARTURE_INTERVAL_WEIGHT * MAX(elapsed_ns - interval_ns, 0);
    }
    return interval_ns;
}

static double
decayed_arrivals(const struct rp_backlog *backlog, uint32_t rank,
                 int64_t now_ns)
{
    double age_ns = (double)(now_ns - backlog->arrivals[rank].updated_ns);
    return backlog->arrivals[rank].count * exp(-age_ns / ARRIVAL_DECAY_NS);
}

static void
record_arrival(struct rp_backlog *backlog, uint32_t rank, int64_t now_ns)
{
    uint32_t index = MIN(rank, RANKS - 1);
    backlog->arrivals[index].count =
        decayed_arrivals(backlog, index, now_ns) + 1;
    backlog->arrivals[index].updated_ns = now_ns;
}

/* Returns the expected wait of a call behind others that wait, if calls of the
 * first ranks that arrive in the meantime go before it. */
static double
wait_behind_ns(const struct rp_backlog *backlog, uint32_t ranks,
               uint32_t ahead, int64_t now_ns)
{
    double interval_ns = departure_interval_ns(backlog, now_ns);
    double better = 0;
    for (uint32_t i = 0; i < MIN(ranks, RANKS); i++) {
        better += decayed_arrivals(backlog, i, now_ns);
    }
    double better_share =
        MIN(better * interval_ns / ARRIVAL_DECAY_NS, MAX_BETTER_SHARE);
    return interval_ns * ahead / (1 - better_share);
}

/* Returns the expected wait of a call. One that cannot meet its goal goes
 * behind all others of its rank, later ones included. */
static double
expected_wait_ns(const struct rp_backlog *backlog,
                 const struct waiting_call *waiting, int64_t now_ns)
{
    uint32_t rank = waiting->call.rank;
    uint32_t ahead = 0;
    uint32_t same_or_better = 0;
    for (const GList *link = backlog->calls.head; link != NULL;
         link = link->next) {
        const struct waiting_call *other = link->data;
        if (other != waiting) {
            ahead += !goes_before(waiting, other, now_ns);
            same_or_better += other->call.rank <= rank;
        }
    }
    double wait_ns = wait_behind_ns(backlog, rank, ahead, now_ns);
    return (double)now_ns + wait_ns <= (double)waiting->aim_start_ns
               ? wait_ns
               : wait_behind_ns(backlog, rank + 1, same_or_better, now_ns);
}

static void
set_times(struct waiting_call *waiting, double usual_ns, int64_t now_ns)
{
    const struct rp_balancer_call *call = &waiting->call;
    int64_t latest_start_ns = call->deadline_ns - (int64_t)usual_ns;
    int64_t remaining_ns = call->deadline_ns - now_ns;
    int64_t expires_ns =
        now_ns + (int64_t)(MAX_WAIT_SHARE * (double)remaining_ns);
    int64_t goal_ns = call->goal_ns;
    if (goal_ns == 0 && call->aim_ns > 0) {
        goal_ns = now_ns + call->aim_ns;
    }
    int64_t aim_start_ns = goal_ns - RESPONSE_TRANSIT_NS - (int64_t)usual_ns;
    /* A caller that has returned does so once only, so that it gains nothing
     * from an early refusal. */
    if ((call->flags & RP_CALL_RETURNING) != 0 && goal_ns > 0) {
        expires_ns = MAX(expires_ns, aim_start_ns);
    }
    waiting->expires_ns = MIN(expires_ns, latest_start_ns);
    waiting->aim_start_ns = goal_ns > 0 ? aim_start_ns : waiting->expires_ns;
    waiting->order_ns = goal_ns > 0 ? aim_start_ns : now_ns;
}

/* Returns the waiting call that would be sent last, or NULL. */
static GList *
find_last(struct rp_backlog *backlog, int64_t now_ns)
{
    GList *last = NULL;
    for (GList *link = backlog->calls.head; link != NULL; link = link->next) {
        if (last == NULL || !goes_before(link->data, last->data, now_ns)) {
            last = link;
        }
    }
    return last;
}

/* Returns whether a call may wait although the backlog is full: a returning
 * one displaces a new one that goes after it. */
static bool
may_displace(struct rp_backlog *backlog, const struct waiting_call *waiting,
             int64_t now_ns)
{
    const GList *last = find_last(backlog, now_ns);
    if (last == NULL || backlog->calls.length > backlog->limit ||
        (waiting->call.flags & RP_CALL_RETURNING) == 0)
    {
        return false;
    }
    const struct waiting_call *displaced = last->data;
    return (displaced->call.flags & RP_CALL_RETURNING) == 0 &&
           goes_before(waiting, displaced, now_ns);
}

/* Queues a call, or returns why it is refused: the backlog is full, or the
 * call would leave it too late. usual_ns is the usual time of a call. If a
 * call is displaced, rp_backlog_drop returns it. */
enum rp_refusal
rp_backlog_offer(struct rp_backlog *backlog,
                 const struct rp_balancer_call *call, double usual_ns,
                 int64_t now_ns)
{
    struct waiting_call offered = {.call = *call};
    record_arrival(backlog, call->rank, now_ns);
    set_times(&offered, usual_ns, now_ns);
    if (backlog->calls.length >= backlog->limit &&
        !may_displace(backlog, &offered, now_ns))
    {
        return RP_REFUSAL_QUEUE_FULL;
    }
    if (call->deadline_ns - (int64_t)usual_ns <= now_ns) {
        return RP_REFUSAL_DEADLINE;
    }
    double wait_ns = expected_wait_ns(backlog, &offered, now_ns);
    if ((double)now_ns + wait_ns > (double)offered.expires_ns) {
        return RP_REFUSAL_QUEUE_FULL;
    }
    if (backlog->calls.length == 0) {
        backlog->waiting_since_ns = now_ns;
    }
    struct waiting_call *waiting = g_new(struct waiting_call, 1);
    *waiting = offered;
    g_queue_push_tail(&backlog->calls, waiting);
    return RP_REFUSAL_NONE;
}

/* Removes one call that other calls have displaced or that is not expected to
 * be sent in time any more, and copies it to *call. Returns false when there
 * is none. */
bool
rp_backlog_drop(struct rp_backlog *backlog, int64_t now_ns,
                struct rp_balancer_call *call)
{
    GList *last = find_last(backlog, now_ns);
    if (last == NULL) {
        return false;
    }
    struct waiting_call *waiting = last->data;
    double wait_ns = expected_wait_ns(backlog, waiting, now_ns);
    double left_ns = (double)(waiting->expires_ns - now_ns);
    if (backlog->calls.length <= backlog->limit &&
        wait_ns <= DROP_RATIO * left_ns) {
        return false;
    }
    *call = waiting->call;
    g_free(waiting);
    g_queue_delete_link(&backlog->calls, last);
    return true;
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

/* Removes a call after it has been sent. The interval between two calls shows
 * how fast calls leave only if others waited all the time. */
void
rp_backlog_pop(struct rp_backlog *backlog, uint64_t call_id, int64_t now_ns)
{
    double interval_ns = (double)(now_ns - backlog->last_pop_ns);
    bool has_waited = backlog->last_pop_ns > 0 &&
                      backlog->waiting_since_ns < backlog->last_pop_ns;
    if (has_waited && backlog->departure_interval_ns <= 0) {
        backlog->departure_interval_ns = interval_ns;
    }
    else if (has_waited) {
        backlog->departure_interval_ns +=
            DEPARTURE_INTERVAL_WEIGHT *
            (interval_ns - backlog->departure_interval_ns);
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
    double interval_ns = backlog->departure_interval_ns > 0
                             ? backlog->departure_interval_ns
                             : backlog->initial_interval_ns;
    return (int64_t)(interval_ns * backlog->calls.length);
}

/* Returns the number of queued calls. */
uint32_t
rp_backlog_count(const struct rp_backlog *backlog)
{
    return backlog->calls.length;
}
