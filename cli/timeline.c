#include <argp.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sysexits.h>

#include "cli.h"
#include "fetch.h"

#define FETCH_TIMEOUT_MS 3000

struct timeline_options {
    const char *at;
    const char *request;
    const char *service;
    const char *subject;
    const char *since;
    const char *until;
    bool json;
    bool only_listed;
};

/* One event and the id of the entry VM that recorded it. */
struct line {
    json_t *event;
    const char *id;
};

static const struct argp_option options[] = {
    {"at", 'a', "IP:PORT,...", 0, "admin addresses to query", 0},
    {"only-listed", 'o', NULL, 0, "do not query the members that they list",
     0},
    {"request", 'r', "ID", 0, "only events of this request", 0},
    {"service", 's', "NAME", 0, "only events of this service", 0},
    {"subject", 't', "NAME", 0,
     "only events of this target, member or record key", 0},
    {"since", 'S', "MS", 0, "from this wall time, in ms since 1970 (UTC)", 0},
    {"until", 'U', "MS", 0, "before this wall time, in ms since 1970 (UTC)",
     0},
    {"json", 'j', NULL, 0, "print JSON, one event per line", 0},
    {0},
};

static error_t
parse_option(int key, char *value, struct argp_state *state)
{
    struct timeline_options *arguments = state->input;
    switch (key) {
    case 'a':
        arguments->at = value;
        return 0;
    case 'o':
        arguments->only_listed = true;
        return 0;
    case 'r':
        arguments->request = value;
        return 0;
    case 's':
        arguments->service = value;
        return 0;
    case 't':
        arguments->subject = value;
        return 0;
    case 'S':
        arguments->since = value;
        return 0;
    case 'U':
        arguments->until = value;
        return 0;
    case 'j':
        arguments->json = true;
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

static void
append_argument(GString *path, const char *name, const char *value)
{
    if (value == NULL) {
        return;
    }
    char *escaped = g_uri_escape_string(value, NULL, FALSE);
    g_string_append_printf(path, "&%s=%s", name, escaped);
    g_free(escaped);
}

static json_int_t
get_number(json_t *object, const char *key)
{
    return json_integer_value(json_object_get(object, key));
}

static const char *
get_text(json_t *object, const char *key)
{
    const char *text = json_string_value(json_object_get(object, key));
    return text == NULL ? "" : text;
}

static int
compare_lines(gconstpointer a, gconstpointer b)
{
    static const char *const keys[] = {"wall_ms", "count", "sequence"};
    const struct line *left = a;
    const struct line *right = b;
    for (size_t i = 0; i < G_N_ELEMENTS(keys); i++) {
        json_int_t difference = get_number(left->event, keys[i]) -
                                get_number(right->event, keys[i]);
        if (difference != 0) {
            return difference < 0 ? -1 : 1;
        }
    }
    return strcmp(left->id, right->id);
}

static void
print_json(const struct line *line)
{
    json_object_set_new(line->event, "id", json_string(line->id));
    char *text = json_dumps(line->event, JSON_COMPACT | JSON_SORT_KEYS);
    puts(text);
    free(text);
}

static void
print_text(const struct line *line)
{
    json_int_t wall_ms = get_number(line->event, "wall_ms");
    GDateTime *time = g_date_time_new_from_unix_utc(wall_ms / 1000);
    char *clock = g_date_time_format(time, "%Y-%m-%d %H:%M:%S");
    printf("%s.%03d/%-3d %-10s %-22s", clock, (int)(wall_ms % 1000),
           (int)get_number(line->event, "count"), line->id,
           get_text(line->event, "event"));
    static const char *const keys[] = {"service", "subject", "request",
                                       "detail"};
    for (size_t i = 0; i < G_N_ELEMENTS(keys); i++) {
        const char *text = get_text(line->event, keys[i]);
        if (text[0] != '\0') {
            printf(" %s", text);
        }
    }
    putchar('\n');
    g_free(clock);
    g_date_time_unref(time);
}

static void
collect_lines(const struct cli_fetch *fetch, GArray *lines)
{
    const char *id = get_text(fetch->document, "id");
    json_int_t lost_events = get_number(fetch->document, "first");
    if (lost_events > 0) {
        fprintf(stderr,
                "timeline: %s keeps its latest events only; the first "
                "%" JSON_INTEGER_FORMAT " are lost\n",
                id, lost_events);
    }
    size_t index;
    json_t *event;
    json_array_foreach(json_object_get(fetch->document, "events"), index,
                       event)
    {
        struct line line = {.event = event, .id = id};
        g_array_append_val(lines, line);
    }
}

static GPtrArray *
fetch_all(const struct timeline_options *arguments)
{
    GString *path = g_string_new("/timeline?after=0");
    append_argument(path, "request", arguments->request);
    append_argument(path, "service", arguments->service);
    append_argument(path, "subject", arguments->subject);
    append_argument(path, "since_ms", arguments->since);
    append_argument(path, "until_ms", arguments->until);
    GPtrArray *fetches = cli_fetch_documents(
        arguments->at, !arguments->only_listed, path->str, FETCH_TIMEOUT_MS);
    g_string_free(path, TRUE);
    return fetches;
}

/* Prints the merged timeline of all entry VMs that answer. VMs that do not
 * answer and the number of overwritten events are reported on standard error.
 * Returns 0, or EX_UNAVAILABLE when a VM did not answer. */
int
cli_timeline_main(int argc, char **argv)
{
    static const struct argp argp = {
        options,
        parse_option,
        NULL,
        "Print the merged timeline of the events of all entry VMs, in the "
        "order of their hybrid logical clocks.",
        NULL,
        NULL,
        NULL,
    };
    struct timeline_options arguments = {0};
    argp_parse(&argp, argc, argv, 0, NULL, &arguments);
    GPtrArray *fetches = fetch_all(&arguments);
    GArray *lines = g_array_new(FALSE, FALSE, sizeof(struct line));
    int status = 0;
    for (guint i = 0; i < fetches->len; i++) {
        const struct cli_fetch *fetch = g_ptr_array_index(fetches, i);
        if (fetch->document == NULL) {
            fprintf(stderr, "timeline: %s did not answer: %s\n",
                    fetch->address, fetch->failure);
            status = EX_UNAVAILABLE;
            continue;
        }
        collect_lines(fetch, lines);
    }
    g_array_sort(lines, compare_lines);
    for (guint i = 0; i < lines->len; i++) {
        const struct line *line = &g_array_index(lines, struct line, i);
        if (arguments.json) {
            print_json(line);
        }
        else {
            print_text(line);
        }
    }
    g_array_unref(lines);
    g_ptr_array_unref(fetches);
    return status;
}
