#include "event_log.h"

#include <errno.h>
#include <limits.h>
#include <poll.h>
#include <stdbool.h>
#include <string.h>
#include <unistd.h>

#include "event_json.h"

/* Lines that may come at once, in seconds of the rate. */
#define BURST_S 4
/* Lines that wait for a slow reader. */
#define PENDING_BYTES 262144u

struct rp_event_log {
    struct rp_context *context;
    int descriptor;
    uint32_t lines_per_s;
    double tokens;
    int64_t token_ns;
    uint64_t next; /* sequence of the next event */
    GString *pending;
};

/* Creates a log of the events from now on. The context and the descriptor are
 * borrowed. Free it with rp_event_log_free. */
struct rp_event_log *
rp_event_log_new(struct rp_context *context, int descriptor,
                 uint32_t lines_per_s, int64_t now_ns)
{
    struct rp_event_log *log = g_new0(struct rp_event_log, 1);
    log->context = context;
    log->descriptor = descriptor;
    log->lines_per_s = lines_per_s;
    log->tokens = (double)lines_per_s * BURST_S;
    log->token_ns = now_ns;
    log->next = rp_event_ring_end_sequence(context->events);
    log->pending = g_string_new(NULL);
    return log;
}

/* Returns the bytes of the whole lines that one write takes, so that a reader
 * who stamps what each write brings sees no line in two parts. A line that is
 * longer is cut. */
static size_t
next_bytes(const GString *pending)
{
    size_t most = MIN(pending->len, PIPE_BUF);
    const char *end = memrchr(pending->str, '\n', most);
    return end == NULL ? most : (size_t)(end + 1 - pending->str);
}

/* A pipe that is writable takes PIPE_BUF bytes without blocking. */
static void
write_pending(struct rp_event_log *log)
{
    while (log->pending->len > 0) {
        struct pollfd ready = {.fd = log->descriptor, .events = POLLOUT};
        if (poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0) {
            return;
        }
        ssize_t bytes = write(log->descriptor, log->pending->str,
                              next_bytes(log->pending));
        if (bytes < 0 && errno != EINTR) {
            return; /* the lines stay until the bound drops later ones */
        }
        if (bytes > 0) {
            g_string_erase(log->pending, 0, bytes);
        }
    }
}

/* Writes what the reader takes at once, and frees the log; NULL is allowed. */
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
    if (log->tokens < 1 || log->pending->len > PENDING_BYTES) {
        rp_counter_add(&log->context->counters, RP_COUNTER_LOG_DROPPED, 1);
        return;
    }
    log->tokens -= 1;
    rp_event_json_line(log->context, event, log->pending);
}

/* Writes the events that have come since the last call. */
void
rp_event_log_write(struct rp_event_log *log, int64_t now_ns)
{
    const struct rp_event_ring *ring = log->context->events;
    double gained =
        (double)(now_ns - log->token_ns) / 1e9 * (double)log->lines_per_s;
    log->token_ns = now_ns;
    log->tokens =
        MIN(log->tokens + gained, (double)log->lines_per_s * BURST_S);
    uint64_t first = rp_event_ring_first_sequence(ring);
    if (log->next < first) {
        rp_counter_add(&log->context->counters, RP_COUNTER_LOG_DROPPED,
                       first - log->next);
        log->next = first;
    }
    while (log->next < rp_event_ring_end_sequence(ring)) {
        add_line(log, rp_event_ring_get(ring, log->next++));
    }
    write_pending(log);
}
