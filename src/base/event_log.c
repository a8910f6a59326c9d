#include "event_log.h"

#include <errno.h>
#include <limits.h>
#include <poll.h>
#include <stdbool.h>
#include <string.h>
#include <unistd.h>

#include "event_json.h"

/* Burst of the rate limit, in seconds at the full rate. */
#define MAX_BURST_S 4
/* Buffer for lines that a slow reader has not read yet. */
#define MAX_PENDING_BYTES 262144u

struct rp_event_log {
    struct rp_context *context;
    int descriptor;
    uint32_t lines_per_s;
    double tokens;
    int64_t refilled_ns;
    uint64_t next_sequence; /* of the next event to write */
    GString *pending;
};

/* Creates a log of the events added from now on. The context and the
 * descriptor are borrowed. Free it with rp_event_log_free. */
struct rp_event_log *
rp_event_log_new(struct rp_context *context, int descriptor,
                 uint32_t lines_per_s, int64_t now_ns)
{
    struct rp_event_log *log = g_new0(struct rp_event_log, 1);
    log->context = context;
    log->descriptor = descriptor;
    log->lines_per_s = lines_per_s;
    log->tokens = (double)lines_per_s * MAX_BURST_S;
    log->refilled_ns = now_ns;
    log->next_sequence = rp_event_ring_end_sequence(context->events);
    log->pending = g_string_new(NULL);
    return log;
}

/* Returns the number of bytes for one write: whole lines of at most
 * PIPE_BUF bytes, so that a reader that timestamps each read never gets part
 * of a line. A line longer than PIPE_BUF is split. */
static size_t
next_write_bytes(const GString *pending)
{
    size_t max_bytes = MIN(pending->len, PIPE_BUF);
    const char *end = memrchr(pending->str, '\n', max_bytes);
    return end == NULL ? max_bytes : (size_t)(end + 1 - pending->str);
}

/* A writable pipe accepts PIPE_BUF bytes without blocking. */
static void
write_pending(struct rp_event_log *log)
{
    while (log->pending->len > 0) {
        struct pollfd ready = {.fd = log->descriptor, .events = POLLOUT};
        if (poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0) {
            return;
        }
        ssize_t bytes = write(log->descriptor, log->pending->str,
                              next_write_bytes(log->pending));
        if (bytes < 0 && errno != EINTR) {
            return; /* lines are kept; add_line drops new ones */
        }
        if (bytes > 0) {
            g_string_erase(log->pending, 0, bytes);
        }
    }
}

/* Writes as many pending lines as possible without blocking, and frees the
 * log; NULL is allowed. */
void
rp_event_log_free(struct rp_event_log *log)
{
    if (log == NULL) {
        return;
    }
    write_pending(log);
    g_string_free(log->pending, TRUE);
    g_free(log);
}

static void
add_line(struct rp_event_log *log, const struct rp_event *event)
{
    if (log->tokens < 1 || log->pending->len > MAX_PENDING_BYTES) {
        rp_counter_add(&log->context->counters, RP_COUNTER_LOG_DROPPED, 1);
        return;
    }
    log->tokens -= 1;
    rp_event_json_line(log->context, event, log->pending);
}

/* Writes the events added since the previous call. */
void
rp_event_log_write(struct rp_event_log *log, int64_t now_ns)
{
    const struct rp_event_ring *ring = log->context->events;
    double new_tokens =
        (double)(now_ns - log->refilled_ns) / 1e9 * (double)log->lines_per_s;
    log->refilled_ns = now_ns;
    log->tokens =
        MIN(log->tokens + new_tokens, (double)log->lines_per_s * MAX_BURST_S);
    uint64_t first = rp_event_ring_first_sequence(ring);
    if (log->next_sequence < first) {
        rp_counter_add(&log->context->counters, RP_COUNTER_LOG_DROPPED,
                       first - log->next_sequence);
        log->next_sequence = first;
    }
    while (log->next_sequence < rp_event_ring_end_sequence(ring)) {
        add_line(log, rp_event_ring_get(ring, log->next_sequence++));
    }
    write_pending(log);
}
