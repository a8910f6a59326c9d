#include <argp.h>
#include <glib.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <sysexits.h>

#include "cli.h"
#include "record.h"
#include "record_set.h"

struct validate_options {
    char **files;
    int file_count;
    bool quiet;
};

static const struct argp_option options[] = {
    {"quiet", 'q', NULL, 0, "print only faults", 0},
    {0},
};

static error_t
parse_option(int key, char *value, struct argp_state *state)
{
    struct validate_options *arguments = state->input;
    switch (key) {
    case 'q':
        arguments->quiet = true;
        return 0;
    case ARGP_KEY_ARGS:
        arguments->files = state->argv + state->next;
        arguments->file_count = state->argc - state->next;
        return 0;
    case ARGP_KEY_NO_ARGS:
        argp_usage(state);
        return EINVAL;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

static void
print_faults(const char *file, const GPtrArray *faults)
{
    for (guint i = 0; i < faults->len; i++) {
        printf("%s: %s\n", file, (const char *)g_ptr_array_index(faults, i));
    }
}

/* Adds a valid record to the set of all files, which is checked for
 * consistency. Two files with the same key hold two versions of one record. */
static bool
add_to_set(struct rp_record_set *set, const char *file, const char *key,
           GBytes *value)
{
    GError *error = NULL;
    struct rp_record_item item = {(char *)key, 1, value};
    struct rp_record_offer_result result;
    rp_record_set_offer(set, &item, &result, &error);
    if (error != NULL) {
        printf("%s: %s\n", file, error->message);
        g_error_free(error);
        return false;
    }
    if (result.conflict) {
        printf("%s: version: %" G_GINT64_FORMAT
               " of '%s' is also in another file, with different content; "
               "give one of the two a higher version\n",
               file, result.offered.version, key);
        return false;
    }
    return true;
}

static bool
check_file(struct rp_record_set *set, const char *file, bool quiet)
{
    char *text = NULL;
    gsize text_bytes = 0;
    GError *error = NULL;
    if (!g_file_get_contents(file, &text, &text_bytes, &error)) {
        printf("%s: cannot be read: %s; check the name\n", file,
               error->message);
        g_error_free(error);
        return false;
    }
    GPtrArray *faults = g_ptr_array_new_with_free_func(g_free);
    struct rp_record *record =
        rp_record_parse(NULL, text, text_bytes, faults, NULL);
    print_faults(file, faults);
    g_ptr_array_unref(faults);
    GBytes *value = g_bytes_new_take(text, text_bytes);
    bool valid = record != NULL && add_to_set(set, file, record->key, value);
    if (valid && !quiet) {
        printf("%s: ok: key %s, version %" G_GINT64_FORMAT "%s\n", file,
               record->key, record->version,
               record->retired ? ", retired" : "");
    }
    g_bytes_unref(value);
    rp_record_free(record);
    return valid;
}

/* Checks files of one record each and prints each fault with file, place and
 * remedy, then inconsistencies between records, which are warnings since
 * records may be published one by one. Returns 0, or 1 when a file cannot be
 * read or its record would be refused. */
int
cli_validate_main(int argc, char **argv)
{
    static const struct argp argp = {
        options,
        parse_option,
        "FILE...",
        "Check records before they are published."
        "\vEach file holds one record of any schema and kind; "
        "docs/records.md describes them. The exit status is 1 when a record "
        "would be refused.",
        NULL,
        NULL,
        NULL,
    };
    struct validate_options arguments = {0};
    argp_parse(&argp, argc, argv, 0, NULL, &arguments);
    struct rp_record_set *set = rp_record_set_new();
    int status = 0;
    for (int i = 0; i < arguments.file_count; i++) {
        if (!check_file(set, arguments.files[i], arguments.quiet)) {
            status = 1;
        }
    }
    GPtrArray *warnings = g_ptr_array_new_with_free_func(g_free);
    rp_snapshot_unref(rp_record_set_build(set, NULL, warnings));
    for (guint i = 0; i < warnings->len && !arguments.quiet; i++) {
        printf("warning: %s\n", (const char *)g_ptr_array_index(warnings, i));
    }
    g_ptr_array_unref(warnings);
    rp_record_set_free(set);
    return status;
}
