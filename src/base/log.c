#include "log.h"

#include <glib.h>
#include <jansson.h>
#include <stdio.h>
#include <string.h>

/* GLib has one log writer per process, so its options are global. */
static struct log_options {
    bool json;
    GLogLevelFlags min_level; /* larger flags are less severe */
    char *id;
} options;

struct log_level {
    const char *name;
    GLogLevelFlags flag;
};

static const struct log_level levels[] = {
    {"critical", G_LOG_LEVEL_CRITICAL}, {"warning", G_LOG_LEVEL_WARNING},
    {"message", G_LOG_LEVEL_MESSAGE},   {"info", G_LOG_LEVEL_INFO},
    {"debug", G_LOG_LEVEL_DEBUG},
};

static const char *
level_name(GLogLevelFlags flags)
{
    if (flags & G_LOG_LEVEL_ERROR) {
        return "error";
    }
    for (guint i = 0; i < G_N_ELEMENTS(levels); i++) {
        if (flags & levels[i].flag) {
            return levels[i].name;
        }
    }
    return "message";
}

/* Returns one log line without its line break, in the format "json" or
 * "text"; the caller frees it. */
char *
rp_log_format_line(const char *format, const char *level, const char *id,
                   const char *time, const char *message)
{
    if (strcmp(format, "json") != 0) {
        return g_strdup_printf("%s %s %s %s", time, level, id, message);
    }
    json_t *line = json_pack("{s:s, s:s, s:s, s:s}", "time", time, "level",
                             level, "id", id, "message", message);
    if (line == NULL) { /* the message is not UTF-8 */
        char *valid = g_utf8_make_valid(message, -1);
        line = json_pack("{s:s, s:s, s:s, s:s}", "time", time, "level", level,
                         "id", id, "message", valid);
        g_free(valid);
    }
    char *text = json_dumps(line, JSON_COMPACT);
    json_decref(line);
    char *copy = g_strdup(text);
    free(text);
    return copy;
}

static GLogWriterOutput
write_log(GLogLevelFlags flags, const GLogField *fields, gsize field_count,
          gpointer data)
{
    (void)data;
    if ((flags & G_LOG_LEVEL_MASK) > options.min_level) {
        return G_LOG_WRITER_HANDLED;
    }
    const char *message = "";
    for (gsize i = 0; i < field_count; i++) {
        if (strcmp(fields[i].key, "MESSAGE") == 0) {
            message = fields[i].value;
        }
    }
    GDateTime *now = g_date_time_new_now_utc();
    char *time = g_date_time_format(now, "%Y-%m-%dT%H:%M:%S.%fZ");
    char *line =
        rp_log_format_line(options.json ? "json" : "text", level_name(flags),
                           options.id, time, message);
    fprintf(stdout, "%s\n", line);
    fflush(stdout);
    g_free(line);
    g_free(time);
    g_date_time_unref(now);
    return G_LOG_WRITER_HANDLED;
}

/* Directs the log of this process to standard output. format is "text" or
 * "json", level the minimum level that is written, id the ID of the entry VM.
 * Must be called once, before the first log line. */
void
rp_log_open(const char *format, const char *level, const char *id)
{
    options.json = strcmp(format, "json") == 0;
    options.min_level = G_LOG_LEVEL_INFO;
    for (guint i = 0; i < G_N_ELEMENTS(levels); i++) {
        if (strcmp(levels[i].name, level) == 0) {
            options.min_level = levels[i].flag;
        }
    }
    options.id = g_strdup(id);
    g_log_set_writer_func(write_log, NULL, NULL);
}
