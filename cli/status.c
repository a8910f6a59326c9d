#include <argp.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sysexits.h>

#include "cli.h"
#include "fetch.h"

#define FETCH_TIMEOUT_MS 3000

struct status_options {
    const char *at;
    bool all;
    bool json;
};

static const struct argp_option options[] = {
    {"at", 'a', "IP:PORT,...", 0, "admin addresses to query", 0},
    {"all", 'A', NULL, 0, "query also the members that they list", 0},
    {"json", 'j', NULL, 0, "print JSON, one document per line", 0},
    {0},
};

static error_t
parse_option(int key, char *value, struct argp_state *state)
{
    struct status_options *arguments = state->input;
    switch (key) {
    case 'a':
        arguments->at = value;
        return 0;
    case 'A':
        arguments->all = true;
        return 0;
    case 'j':
        arguments->json = true;
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

static const char *
get_text(json_t *object, const char *key)
{
    const char *text = json_string_value(json_object_get(object, key));
    return text == NULL ? "-" : text;
}

static long long
get_number(json_t *object, const char *key)
{
    return json_integer_value(json_object_get(object, key));
}

static void
print_config(json_t *document)
{
    json_t *config = json_object_get(document, "config");
    printf("%s (%s, %s) version %s\n", get_text(document, "id"),
           get_text(document, "domain"), get_text(document, "address"),
           get_text(document, "version"));
    printf("  configuration: %s, digest %s, revision %lld, platform heard "
           "%lld ms ago\n",
           get_text(config, "state"), get_text(config, "digest"),
           get_number(config, "revision"),
           get_number(config, "platform_age_ms"));
    size_t index;
    json_t *record;
    json_array_foreach(json_object_get(config, "records"), index, record)
    {
        printf("    record %-32s version %-6lld schema %lld%s\n",
               get_text(record, "key"), get_number(record, "version"),
               get_number(record, "schema"),
               json_is_true(json_object_get(record, "retired")) ? " retired"
                                                                : "");
    }
    json_array_foreach(json_object_get(config, "refused"), index, record)
    {
        printf("    refused %-31s %s\n", get_text(record, "key"),
               get_text(record, "reason"));
    }
    json_array_foreach(json_object_get(config, "warnings"), index, record)
    {
        printf("    warning %s\n", json_string_value(record));
    }
}

/* Prints what is known of a target whose calls are limited while it is cold.
 */
static void
print_cold(const json_t *target)
{
    if (json_object_get(target, "cold_ms") != NULL) {
        printf(", cold for %lld ms, %.2f calls/s of here, %lld sent cold",
               get_number(target, "cold_ms"),
               json_number_value(json_object_get(target, "cold_calls_per_s")),
               get_number(target, "cold_sent"));
    }
}

static void
print_service(json_t *service)
{
    printf("  service %s: queued %lld, in progress %lld\n",
           get_text(service, "name"), get_number(service, "queued"),
           get_number(service, "in_progress"));
    json_t *crossing = json_object_get(service, "crossing");
    if (crossing != NULL) { /* absent in earlier releases */
        printf("    crossing %s: up to %lld/1000 of the calls, local use "
               "%lld/1000\n",
               get_text(crossing, "rule"),
               get_number(crossing, "share_permille"),
               get_number(crossing, "local_use_permille"));
    }
    size_t index;
    json_t *item;
    json_array_foreach(json_object_get(service, "estates"), index, item)
    {
        printf("    estate %-10s share wanted %lld/1000, given %lld/1000\n",
               get_text(item, "name"), get_number(item, "wanted_permille"),
               get_number(item, "given_permille"));
    }
    json_array_foreach(json_object_get(service, "targets"), index, item)
    {
        printf("    target %-14s %-21s %-8s %-9s in flight %lld of %lld, "
               "sent %lld, report age %lld ms",
               get_text(item, "name"), get_text(item, "address"),
               get_text(item, "estate"), get_text(item, "state"),
               get_number(item, "in_flight"), get_number(item, "limit"),
               get_number(item, "sent"), get_number(item, "report_age_ms"));
        print_cold(item);
        putchar('\n');
    }
}

static void
print_document(json_t *document)
{
    print_config(document);
    size_t index;
    json_t *item;
    json_array_foreach(json_object_get(document, "services"), index, item)
    {
        print_service(item);
    }
    json_array_foreach(json_object_get(document, "members"), index, item)
    {
        printf("  peer %-10s %-21s %-12s %-8s heard %lld ms ago\n",
               get_text(item, "id"), get_text(item, "address"),
               get_text(item, "domain"), get_text(item, "state"),
               get_number(item, "age_ms"));
    }
}

/* Shows the state of entry VMs. Returns 0; EX_UNAVAILABLE when one did not
 * answer; 1 when the digests of the configurations differ or a VM has no
 * configuration in force. */
int
cli_status_main(int argc, char **argv)
{
    static const struct argp argp = {
        options,
        parse_option,
        NULL,
        "Show the configuration in force, services, targets, budgets and "
        "peers of one or all entry VMs.",
        NULL,
        NULL,
        NULL,
    };
    struct status_options arguments = {0};
    argp_parse(&argp, argc, argv, 0, NULL, &arguments);
    GPtrArray *fetches = cli_fetch_documents(arguments.at, arguments.all,
                                             "/status", FETCH_TIMEOUT_MS);
    const char *previous_digest = NULL;
    int status = 0;
    for (guint i = 0; i < fetches->len; i++) {
        const struct cli_fetch *fetch = g_ptr_array_index(fetches, i);
        if (fetch->document == NULL) {
            fprintf(stderr, "status: %s did not answer: %s\n", fetch->address,
                    fetch->failure);
            status = EX_UNAVAILABLE;
            continue;
        }
        if (arguments.json) {
            char *text =
                json_dumps(fetch->document, JSON_COMPACT | JSON_SORT_KEYS);
            puts(text);
            free(text);
        }
        else {
            print_document(fetch->document);
        }
        json_t *config = json_object_get(fetch->document, "config");
        const char *digest = get_text(config, "digest");
        bool differs =
            previous_digest != NULL && strcmp(previous_digest, digest) != 0;
        bool not_in_force = strcmp(get_text(config, "state"), "in force") != 0;
        if (status == 0 && (differs || not_in_force)) {
            status = 1;
        }
        previous_digest = digest;
    }
    g_ptr_array_unref(fetches);
    return status;
}
