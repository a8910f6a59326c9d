#include "event_json.h"

#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

/* Greatest number of events in one answer: about 1 MB of JSON. */
#define ANSWER_LIMIT 4096

static bool
matches_text(const char *wanted, const char *text)
{
    return wanted == NULL || strcmp(wanted, text) == 0;
}

static bool
matches(const struct rp_event_filter *filter, const struct rp_event *event)
{
    return matches_text(filter->request, event->request) &&
           matches_text(filter->service, event->service) &&
           matches_text(filter->subject, event->subject) &&
           event->hlc.wall_ms >= filter->since_ms &&
           (filter->until_ms == 0 || event->hlc.wall_ms < filter->until_ms);
}

static void
set_text(json_t *object, const char *key, const char *text)
{
    if (text[0] == '\0') {
        return;
    }
    char *valid = g_utf8_make_valid(text, -1);
    json_object_set_new(object, key, json_string(valid));
    g_free(valid);
}

static json_t *
event_to_json(const struct rp_event *event)
{
    json_t *object = json_pack(
        "{s:s, s:I, s:I, s:i, s:I}", "event", rp_event_kind_name(event->kind),
        "sequence", (json_int_t)event->sequence, "wall_ms",
        (json_int_t)event->hlc.wall_ms, "count", (int)event->hlc.count,
        "value", (json_int_t)event->value);
    set_text(object, "request", event->request);
    set_text(object, "service", event->service);
    set_text(object, "subject", event->subject);
    set_text(object, "detail", event->detail);
    return object;
}

/* Returns a document with the events that match, oldest first, and with what
 * the ring has lost: "first" is the oldest sequence still kept. The caller
 * owns the reference. */
json_t *
rp_event_json_list(const struct rp_context *context,
                   const struct rp_event_filter *filter)
{
    const struct rp_event_ring *ring = context->events;
    uint64_t first = rp_event_ring_first_sequence(ring);
    uint64_t end = rp_event_ring_end_sequence(ring);
    json_t *events = json_array();
    for (uint64_t i = MAX(first, filter->first_sequence);
         i < end && json_array_size(events) < ANSWER_LIMIT; i++)
    {
        const struct rp_event *event = rp_event_ring_get(ring, i);
        if (matches(filter, event)) {
            json_array_append_new(events, event_to_json(event));
        }
    }
    char incarnation[24];
    g_snprintf(incarnation, sizeof(incarnation), "%" G_GUINT64_FORMAT,
               context->identity.incarnation);
    return json_pack(
        "{s:s, s:s, s:s, s:I, s:I, s:o}", "id", context->identity.id,
        "incarnation", incarnation, "domain", context->identity.domain,
        "first", (json_int_t)first, "end", (json_int_t)end, "events", events);
}

/* Appends an event as one line of JSON, which also names this VM. */
void
rp_event_json_line(const struct rp_context *context,
                   const struct rp_event *event, GString *out)
{
    json_t *object = event_to_json(event);
    json_object_set_new(object, "id", json_string(context->identity.id));
    char *text = json_dumps(object, JSON_COMPACT);
    g_string_append(out, text);
    g_string_append_c(out, '\n');
    free(text);
    json_decref(object);
}
