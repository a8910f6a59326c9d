#include <argp.h>
#include <errno.h>
#include <microhttpd.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sysexits.h>
#include <unistd.h>

#include <glib.h>
#include <jansson.h>

#include "address.h"
#include "standin.h"

/* Stand-ins for the gateway platform: its store, loaded from a file, and a
 * target that uses its header fields. Each connection has its own thread, so
 * that handlers may block. */

/* Interval between checks of the file, and of the store in a watch. */
#define POLL_INTERVAL_US 10000
#define MAX_PAGE_ITEMS 2

struct options {
    const char *address;
    const char *items;
    const char *instance;
    uint32_t lifetime_s;
};

struct item {
    char *value; /* NULL for a removed item */
    uint64_t revision;
};

struct store {
    GMutex lock;
    GTree *items; /* key to struct item, removed ones included */
    uint64_t revision;
    uint64_t compacted_revision; /* events up to it are not available */
    char *file_text;             /* latest content, NULL before the first */
};

struct target {
    GMutex lock;
    const char *instance;
    uint32_t running;
    uint32_t received;      /* requests, those that are rejected included */
    GHashTable *run_counts; /* request id to number of runs */
    bool leaving;           /* each answer says so */
    bool rejects;           /* each request, with 503 */
    char retry_after[32];   /* of rejections; "" for none */
    int64_t cold_until_us;  /* 0: probes do not tell whether it is cold */
    uint32_t cold_received; /* requests received while it was cold */
};

static void
free_item(gpointer data)
{
    struct item *item = data;
    g_free(item->value);
    g_free(item);
}

static int
compare_keys(gconstpointer a, gconstpointer b, gpointer data)
{
    (void)data;
    return strcmp(a, b);
}

static void
put_item(struct store *store, const char *key, const char *value)
{
    struct item *previous = g_tree_lookup(store->items, key);
    if (previous != NULL && g_strcmp0(previous->value, value) == 0) {
        return;
    }
    struct item *item = g_new0(struct item, 1);
    item->value = g_strdup(value);
    item->revision = ++store->revision;
    g_tree_replace(store->items, g_strdup(key), item);
}

struct removal {
    json_t *root;
    GPtrArray *removed_keys; /* owned by the store */
};

static gboolean
find_removed(gpointer key, gpointer value, gpointer data)
{
    const struct item *item = value;
    struct removal *removal = data;
    if (item->value != NULL && json_object_get(removal->root, key) == NULL) {
        g_ptr_array_add(removal->removed_keys, key);
    }
    return FALSE;
}

/* Updates the store from the file if it has changed. The file is an object of
 * keys and values; strings are stored as they are, other values as JSON. The
 * key "forget" with the value true drops the history of events. */
static void
reload(struct store *store, const char *path)
{
    char *text = NULL;
    if (!g_file_get_contents(path, &text, NULL, NULL) ||
        g_strcmp0(text, store->file_text) == 0)
    {
        g_free(text);
        return;
    }
    json_t *root = json_loads(text, 0, NULL);
    if (root == NULL) {
        g_free(text);
        return; /* may be partially written */
    }
    g_free(store->file_text);
    store->file_text = text;
    if (json_is_true(json_object_get(root, "forget"))) {
        store->compacted_revision = store->revision;
    }
    json_object_del(root, "forget");
    struct removal removal = {root, g_ptr_array_new()};
    g_tree_foreach(store->items, find_removed, &removal);
    for (guint i = 0; i < removal.removed_keys->len; i++) {
        char *key = g_strdup(removal.removed_keys->pdata[i]);
        put_item(store, key, NULL);
        g_free(key);
    }
    g_ptr_array_unref(removal.removed_keys);
    const char *key;
    json_t *value;
    json_object_foreach(root, key, value)
    {
        char *text_value = json_is_string(value)
                               ? strdup(json_string_value(value))
                               : json_dumps(value, JSON_COMPACT);
        put_item(store, key, text_value);
        free(text_value);
    }
    json_decref(root);
}

static json_t *
pack_item(const char *key, const struct item *item)
{
    if (item->value == NULL) {
        return json_pack("{s:s, s:I, s:b}", "key", key, "revision",
                         (json_int_t)item->revision, "removed", 1);
    }
    char *encoded =
        g_base64_encode((const guchar *)item->value, strlen(item->value));
    json_t *packed =
        json_pack("{s:s, s:I, s:I, s:i, s:s}", "key", key, "revision",
                  (json_int_t)item->revision, "created",
                  (json_int_t)item->revision, "lease", 0, "value", encoded);
    g_free(encoded);
    return packed;
}

struct listing {
    const char *prefix;
    const char *after_key;   /* of a page, NULL for none */
    uint64_t after_revision; /* of a watch */
    bool include_removed;
    size_t max_items;
    bool more;
    json_t *list;
};

static gboolean
add_to_listing(gpointer key, gpointer value, gpointer data)
{
    const struct item *item = value;
    struct listing *listing = data;
    if (!g_str_has_prefix(key, listing->prefix) ||
        (listing->after_key != NULL && strcmp(key, listing->after_key) <= 0) ||
        (item->value == NULL && !listing->include_removed) ||
        item->revision <= listing->after_revision)
    {
        return FALSE;
    }
    if (json_array_size(listing->list) == listing->max_items) {
        listing->more = true;
        return TRUE;
    }
    json_array_append_new(listing->list, pack_item(key, item));
    return FALSE;
}

static const char *
query_argument(struct MHD_Connection *connection, const char *name)
{
    const char *value =
        MHD_lookup_connection_value(connection, MHD_GET_ARGUMENT_KIND, name);
    return value == NULL ? "" : value;
}

static json_t *
answer_range(struct store *store, struct MHD_Connection *connection)
{
    const char *after = query_argument(connection, "after");
    struct listing listing = {.prefix = query_argument(connection, "prefix"),
                              .after_key = after[0] == '\0' ? NULL : after,
                              .max_items = MAX_PAGE_ITEMS,
                              .list = json_array()};
    g_mutex_lock(&store->lock);
    g_tree_foreach(store->items, add_to_listing, &listing);
    json_t *root =
        json_pack("{s:o, s:b, s:I}", "items", listing.list, "morePages",
                  listing.more, "storeRevision", (json_int_t)store->revision);
    g_mutex_unlock(&store->lock);
    return root;
}

/* Returns the events after a revision as soon as there are any, or an empty
 * list after the wait time. Returns NULL when the history after that revision
 * is not available. */
static json_t *
answer_watch(struct store *store, struct MHD_Connection *connection)
{
    uint64_t after =
        g_ascii_strtoull(query_argument(connection, "after"), NULL, 10);
    int64_t end_us =
        g_get_monotonic_time() +
        g_ascii_strtoll(query_argument(connection, "waitMs"), NULL, 10) * 1000;
    while (true) {
        struct listing listing = {.prefix =
                                      query_argument(connection, "prefix"),
                                  .after_revision = after,
                                  .include_removed = true,
                                  .max_items = SIZE_MAX,
                                  .list = json_array()};
        g_mutex_lock(&store->lock);
        bool gone = after < store->compacted_revision;
        uint64_t revision = store->revision;
        g_tree_foreach(store->items, add_to_listing, &listing);
        g_mutex_unlock(&store->lock);
        if (gone) {
            json_decref(listing.list);
            return NULL;
        }
        if (json_array_size(listing.list) > 0 ||
            g_get_monotonic_time() >= end_us) {
            return json_pack("{s:o, s:I}", "events", listing.list,
                             "storeRevision", (json_int_t)revision);
        }
        json_decref(listing.list);
        usleep(POLL_INTERVAL_US);
    }
}

static enum MHD_Result
queue_answer(struct MHD_Connection *connection, unsigned int status,
             char *body, const char *const *fields)
{
    struct MHD_Response *response = MHD_create_response_from_buffer(
        strlen(body), body, MHD_RESPMEM_MUST_COPY);
    for (; fields != NULL && fields[0] != NULL; fields += 2) {
        MHD_add_response_header(response, fields[0], fields[1]);
    }
    enum MHD_Result result = MHD_queue_response(connection, status, response);
    MHD_destroy_response(response);
    return result;
}

static enum MHD_Result
on_store_request(void *data, struct MHD_Connection *connection,
                 const char *path, const char *method, const char *version,
                 const char *upload, size_t *upload_bytes, void **state)
{
    (void)method;
    (void)version;
    (void)upload;
    (void)upload_bytes;
    (void)state;
    struct store *store = data;
    json_t *root = NULL;
    unsigned int missing_status = 404;
    if (strcmp(path, "/v1/kv-range") == 0) {
        root = answer_range(store, connection);
    }
    else if (strcmp(path, "/v1/kv-watch") == 0) {
        root = answer_watch(store, connection);
        missing_status = 410;
    }
    if (root == NULL) {
        return queue_answer(connection, missing_status, (char *)"", NULL);
    }
    char *text = json_dumps(root, JSON_COMPACT);
    json_decref(root);
    enum MHD_Result result = queue_answer(connection, 200, text, NULL);
    free(text);
    return result;
}

static uint32_t
start_run(struct target *target, const char *id)
{
    g_mutex_lock(&target->lock);
    uint32_t running = ++target->running;
    uint32_t ran =
        GPOINTER_TO_UINT(g_hash_table_lookup(target->run_counts, id)) + 1;
    g_hash_table_replace(target->run_counts, g_strdup(id),
                         GUINT_TO_POINTER(ran));
    g_mutex_unlock(&target->lock);
    return running;
}

static const char *
header_field(struct MHD_Connection *connection, const char *name)
{
    return MHD_lookup_connection_value(connection, MHD_HEADER_KIND, name);
}

/* Sets what a target says of itself from now on: "/say?leaving=1&rejects=1&
 * retry_after=2.5&cold_ms=3000", each absent one false or none. */
static void
set_words(struct target *target, struct MHD_Connection *connection)
{
    g_mutex_lock(&target->lock);
    target->leaving = query_argument(connection, "leaving")[0] == '1';
    target->rejects = query_argument(connection, "rejects")[0] == '1';
    g_strlcpy(target->retry_after, query_argument(connection, "retry_after"),
              sizeof(target->retry_after));
    guint64 cold_ms =
        g_ascii_strtoull(query_argument(connection, "cold_ms"), NULL, 10);
    if (cold_ms > 0) {
        target->cold_until_us =
            g_get_monotonic_time() + (int64_t)cold_ms * 1000;
        target->cold_received = 0;
    }
    g_mutex_unlock(&target->lock);
}

static enum MHD_Result
run_request(struct target *target, struct MHD_Connection *connection)
{
    const char *id = header_field(connection, "X-Request-Id");
    const char *expected = header_field(connection, "X-Expect-Instance");
    const char *deadline = header_field(connection, "X-Deadline-Ms");
    if (id == NULL) {
        const char *const fields[] = {"X-Not-Executed", "1", NULL};
        return queue_answer(connection, 400, (char *)"", fields);
    }
    if (expected != NULL && strcmp(expected, target->instance) != 0) {
        const char *const fields[] = {"X-Instance-Id", target->instance, NULL};
        return queue_answer(connection, 421, (char *)"", fields);
    }
    g_mutex_lock(&target->lock);
    target->received++;
    target->cold_received +=
        g_get_monotonic_time() < target->cold_until_us ? 1 : 0;
    bool leaving = target->leaving;
    bool rejects = target->rejects;
    char retry_after[sizeof(target->retry_after)];
    g_strlcpy(retry_after, target->retry_after, sizeof(retry_after));
    g_mutex_unlock(&target->lock);
    if (rejects) {
        const char *const fields[] = {"X-Request-Id",
                                      id,
                                      "X-Not-Executed",
                                      "1",
                                      "Server-Leaving",
                                      leaving ? "1" : "0",
                                      retry_after[0] == '\0' ? NULL
                                                             : "Retry-After",
                                      retry_after,
                                      NULL};
        return queue_answer(connection, 503, (char *)"", fields);
    }
    uint32_t running = start_run(target, id);
    usleep((useconds_t)(g_ascii_strtoull(
                            query_argument(connection, "sleep_ms"), NULL, 10) *
                        1000));
    g_mutex_lock(&target->lock);
    target->running--;
    g_mutex_unlock(&target->lock);
    char load[32];
    g_snprintf(load, sizeof(load), "%u,0,6,100", running - 1);
    const char *const fields[] = {"X-Request-Id",
                                  id,
                                  "X-Server-Stamp",
                                  target->instance,
                                  "X-Server-Load",
                                  load,
                                  "Told-Deadline",
                                  deadline == NULL ? "none" : deadline,
                                  leaving ? "Server-Leaving" : NULL,
                                  "1",
                                  NULL};
    return queue_answer(connection, 200, (char *)target->instance, fields);
}

static enum MHD_Result
on_target_request(void *data, struct MHD_Connection *connection,
                  const char *path, const char *method, const char *version,
                  const char *upload, size_t *upload_bytes, void **state)
{
    static int request_marker;
    (void)method;
    (void)version;
    (void)upload;
    struct target *target = data;
    if (*state == NULL || *upload_bytes > 0) {
        *state = &request_marker;
        *upload_bytes = 0;
        return MHD_YES;
    }
    if (strcmp(path, "/health") == 0) {
        char load[32];
        char cold_ms[32];
        g_mutex_lock(&target->lock);
        g_snprintf(load, sizeof(load), "%u,0,6,100", target->running);
        int64_t cold_us = target->cold_until_us - g_get_monotonic_time();
        g_snprintf(cold_ms, sizeof(cold_ms), "%d",
                   cold_us > 0 ? (int)(cold_us / 1000 + 1) : 0);
        bool is_told = target->cold_until_us != 0;
        g_mutex_unlock(&target->lock);
        const char *const fields[] = {"X-Instance-Id",
                                      target->instance,
                                      "X-Server-Load",
                                      load,
                                      is_told ? "X-Cold-Remaining-Ms" : NULL,
                                      cold_ms,
                                      NULL};
        return queue_answer(connection, 200, (char *)"", fields);
    }
    if (strcmp(path, "/say") == 0) {
        set_words(target, connection);
        return queue_answer(connection, 200, (char *)"", NULL);
    }
    bool cold = strcmp(path, "/received-cold") == 0;
    if (cold || strcmp(path, "/received") == 0) {
        char count[16];
        g_mutex_lock(&target->lock);
        g_snprintf(count, sizeof(count), "%u",
                   cold ? target->cold_received : target->received);
        g_mutex_unlock(&target->lock);
        return queue_answer(connection, 200, count, NULL);
    }
    if (strcmp(path, "/ran") == 0) {
        char count[16];
        g_mutex_lock(&target->lock);
        g_snprintf(count, sizeof(count), "%u",
                   GPOINTER_TO_UINT(g_hash_table_lookup(
                       target->run_counts, query_argument(connection, "id"))));
        g_mutex_unlock(&target->lock);
        return queue_answer(connection, 200, count, NULL);
    }
    return run_request(target, connection);
}

static error_t
parse_option(int key, char *value, struct argp_state *state)
{
    struct options *options = state->input;
    switch (key) {
    case 'a':
        options->address = value;
        return 0;
    case 'f':
        options->items = value;
        return 0;
    case 'i':
        options->instance = value;
        return 0;
    case 'l':
        options->lifetime_s = (uint32_t)g_ascii_strtoull(value, NULL, 10);
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

static const struct argp_option argp_options[] = {
    {"address", 'a', "IP:PORT", 0, "where to listen", 0},
    {"items", 'f', "FILE", 0, "run as a store with the items of this file", 0},
    {"instance", 'i', "NAME", 0, "run as a target with this instance name", 0},
    {"life-s", 'l', "SECONDS", 0, "stop after this time (60)", 0},
    {0},
};

static struct MHD_Daemon *
start_daemon(const char *address, MHD_AccessHandlerCallback handler,
             void *data)
{
    struct sockaddr_in socket_address;
    if (!rp_address_parse(address, &socket_address)) {
        return NULL;
    }
    return MHD_start_daemon(MHD_USE_THREAD_PER_CONNECTION |
                                MHD_USE_INTERNAL_POLLING_THREAD,
                            0, NULL, NULL, handler, data, MHD_OPTION_SOCK_ADDR,
                            &socket_address, MHD_OPTION_END);
}

/* Runs as a store when a file of items is given, otherwise as a target. */
int
standin_gateway_main(int argc, char **argv)
{
    struct options options = {.address = "", .lifetime_s = 60};
    struct argp argp = {.options = argp_options, .parser = parse_option};
    argp_parse(&argp, argc, argv, 0, NULL, &options);
    struct store store = {
        .items = g_tree_new_full(compare_keys, NULL, g_free, free_item),
        /* Increases with each start, as in a persistent store. */
        .revision = (uint64_t)(g_get_real_time() / 10000),
    };
    struct target target = {
        .instance = options.instance,
        .run_counts =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL),
    };
    struct MHD_Daemon *daemon =
        options.items != NULL
            ? start_daemon(options.address, on_store_request, &store)
            : start_daemon(options.address, on_target_request, &target);
    if (daemon == NULL) {
        fprintf(stderr, "cannot listen at %s: %s\n", options.address,
                strerror(errno));
        return EX_UNAVAILABLE;
    }
    int64_t end_us =
        g_get_monotonic_time() + (int64_t)options.lifetime_s * 1000000;
    while (g_get_monotonic_time() < end_us) {
        if (options.items != NULL) {
            g_mutex_lock(&store.lock);
            reload(&store, options.items);
            g_mutex_unlock(&store.lock);
        }
        usleep(POLL_INTERVAL_US);
    }
    MHD_stop_daemon(daemon);
    g_tree_unref(store.items);
    g_free(store.file_text);
    g_hash_table_unref(target.run_counts);
    return 0;
}
