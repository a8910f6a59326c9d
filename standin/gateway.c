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

/* Stand-ins for the gateway platform: its store, read from a file, and a
 * target that speaks its header fields. Each connection has a thread, so that
 * handlers may simply wait. */

/* Between two looks at the file or at a request's end. */
#define LOOK_US 10000
#define PAGE_ITEMS 2

struct options {
    const char *address;
    const char *items;
    const char *instance;
    uint32_t life_s;
};

struct item {
    char *value; /* NULL when it was removed */
    uint64_t revision;
};

struct store {
    GMutex lock;
    GTree *items; /* key to struct item, removed ones included */
    uint64_t revision;
    uint64_t forgotten; /* events up to here are no longer told */
    char *text;         /* of the file */
};

struct target {
    GMutex lock;
    const char *instance;
    uint32_t running;
    GHashTable *ran; /* request id to count */
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
put(struct store *store, const char *key, const char *value)
{
    struct item *before = g_tree_lookup(store->items, key);
    if (before != NULL && g_strcmp0(before->value, value) == 0) {
        return;
    }
    struct item *item = g_new0(struct item, 1);
    item->value = g_strdup(value);
    item->revision = ++store->revision;
    g_tree_replace(store->items, g_strdup(key), item);
}

struct removal {
    json_t *root;
    GPtrArray *gone;
};

static gboolean
find_gone(gpointer key, gpointer value, gpointer data)
{
    const struct item *item = value;
    struct removal *removal = data;
    if (item->value != NULL && json_object_get(removal->root, key) == NULL) {
        g_ptr_array_add(removal->gone, key);
    }
    return FALSE;
}

/* Takes over the file if it has changed: an object of keys and their values,
 * of which strings are stored as they are. "forget" drops the history. */
static void
reload(struct store *store, const char *path)
{
    char *text = NULL;
    if (!g_file_get_contents(path, &text, NULL, NULL) ||
        g_strcmp0(text, store->text) == 0)
    {
        g_free(text);
        return;
    }
    json_t *root = json_loads(text, 0, NULL);
    if (root == NULL) {
        g_free(text);
        return; /* half written */
    }
    g_free(store->text);
    store->text = text;
    if (json_is_true(json_object_get(root, "forget"))) {
        store->forgotten = store->revision;
    }
    json_object_del(root, "forget");
    struct removal removal = {root, g_ptr_array_new()};
    g_tree_foreach(store->items, find_gone, &removal);
    for (guint i = 0; i < removal.gone->len; i++) {
        char *key = g_strdup(removal.gone->pdata[i]);
        put(store, key, NULL);
        g_free(key);
    }
    g_ptr_array_unref(removal.gone);
    const char *key;
    json_t *value;
    json_object_foreach(root, key, value)
    {
        char *dumped = json_is_string(value) ? strdup(json_string_value(value))
                                             : json_dumps(value, JSON_COMPACT);
        put(store, key, dumped);
        free(dumped);
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
    char *coded =
        g_base64_encode((const guchar *)item->value, strlen(item->value));
    json_t *packed =
        json_pack("{s:s, s:I, s:I, s:i, s:s}", "key", key, "revision",
                  (json_int_t)item->revision, "created",
                  (json_int_t)item->revision, "lease", 0, "value", coded);
    g_free(coded);
    return packed;
}

struct listing {
    const char *prefix;
    const char *after_key;   /* of a page; else NULL */
    uint64_t after_revision; /* of a watch */
    bool removed;
    size_t most;
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
        (item->value == NULL && !listing->removed) ||
        item->revision <= listing->after_revision)
    {
        return FALSE;
    }
    if (json_array_size(listing->list) == listing->most) {
        listing->more = true;
        return TRUE;
    }
    json_array_append_new(listing->list, pack_item(key, item));
    return FALSE;
}

static const char *
argument(struct MHD_Connection *connection, const char *name)
{
    const char *value =
        MHD_lookup_connection_value(connection, MHD_GET_ARGUMENT_KIND, name);
    return value == NULL ? "" : value;
}

static json_t *
answer_range(struct store *store, struct MHD_Connection *connection)
{
    const char *after = argument(connection, "after");
    struct listing listing = {.prefix = argument(connection, "prefix"),
                              .after_key = after[0] == '\0' ? NULL : after,
                              .most = PAGE_ITEMS,
                              .list = json_array()};
    g_mutex_lock(&store->lock);
    g_tree_foreach(store->items, add_to_listing, &listing);
    json_t *root =
        json_pack("{s:o, s:b, s:I}", "items", listing.list, "morePages",
                  listing.more, "storeRevision", (json_int_t)store->revision);
    g_mutex_unlock(&store->lock);
    return root;
}

/* Returns NULL when the history is gone. */
static json_t *
answer_watch(struct store *store, struct MHD_Connection *connection)
{
    uint64_t after = g_ascii_strtoull(argument(connection, "after"), NULL, 10);
    int64_t until_us =
        g_get_monotonic_time() +
        g_ascii_strtoll(argument(connection, "waitMs"), NULL, 10) * 1000;
    while (true) {
        struct listing listing = {.prefix = argument(connection, "prefix"),
                                  .after_revision = after,
                                  .removed = true,
                                  .most = SIZE_MAX,
                                  .list = json_array()};
        g_mutex_lock(&store->lock);
        bool gone = after < store->forgotten;
        uint64_t revision = store->revision;
        g_tree_foreach(store->items, add_to_listing, &listing);
        g_mutex_unlock(&store->lock);
        if (gone) {
            json_decref(listing.list);
            return NULL;
        }
        if (json_array_size(listing.list) > 0 ||
            g_get_monotonic_time() >= until_us) {
            return json_pack("{s:o, s:I}", "events", listing.list,
                             "storeRevision", (json_int_t)revision);
        }
        json_decref(listing.list);
        usleep(LOOK_US);
    }
}

static enum MHD_Result
queue(struct MHD_Connection *connection, unsigned int status, char *body,
      const char *const *fields)
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
    unsigned int missing = 404;
    if (strcmp(path, "/v1/kv-range") == 0) {
        root = answer_range(store, connection);
    }
    else if (strcmp(path, "/v1/kv-watch") == 0) {
        root = answer_watch(store, connection);
        missing = 410;
    }
    if (root == NULL) {
        return queue(connection, missing, (char *)"", NULL);
    }
    char *text = json_dumps(root, JSON_COMPACT);
    json_decref(root);
    enum MHD_Result result = queue(connection, 200, text, NULL);
    free(text);
    return result;
}

static uint32_t
count_run(struct target *target, const char *id)
{
    g_mutex_lock(&target->lock);
    uint32_t running = ++target->running;
    uint32_t ran = GPOINTER_TO_UINT(g_hash_table_lookup(target->ran, id)) + 1;
    g_hash_table_replace(target->ran, g_strdup(id), GUINT_TO_POINTER(ran));
    g_mutex_unlock(&target->lock);
    return running;
}

static const char *
header(struct MHD_Connection *connection, const char *name)
{
    return MHD_lookup_connection_value(connection, MHD_HEADER_KIND, name);
}

static enum MHD_Result
run_request(struct target *target, struct MHD_Connection *connection)
{
    const char *id = header(connection, "X-Request-Id");
    const char *expected = header(connection, "X-Expect-Instance");
    const char *deadline = header(connection, "X-Deadline-Ms");
    if (id == NULL) {
        const char *const fields[] = {"X-Not-Executed", "1", NULL};
        return queue(connection, 400, (char *)"", fields);
    }
    if (expected != NULL && strcmp(expected, target->instance) != 0) {
        const char *const fields[] = {"X-Instance-Id", target->instance, NULL};
        return queue(connection, 421, (char *)"", fields);
    }
    uint32_t running = count_run(target, id);
    usleep((useconds_t)(g_ascii_strtoull(argument(connection, "sleep_ms"),
                                         NULL, 10) *
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
                                  NULL};
    return queue(connection, 200, (char *)target->instance, fields);
}

static enum MHD_Result
on_target_request(void *data, struct MHD_Connection *connection,
                  const char *path, const char *method, const char *version,
                  const char *upload, size_t *upload_bytes, void **state)
{
    static int first_call;
    (void)method;
    (void)version;
    (void)upload;
    struct target *target = data;
    if (*state == NULL || *upload_bytes > 0) {
        *state = &first_call;
        *upload_bytes = 0;
        return MHD_YES;
    }
    if (strcmp(path, "/health") == 0) {
        char load[32];
        g_mutex_lock(&target->lock);
        g_snprintf(load, sizeof(load), "%u,0,6,100", target->running);
        g_mutex_unlock(&target->lock);
        const char *const fields[] = {"X-Instance-Id", target->instance,
                                      "X-Server-Load", load, NULL};
        return queue(connection, 200, (char *)"", fields);
    }
    if (strcmp(path, "/ran") == 0) {
        char count[16];
        g_mutex_lock(&target->lock);
        g_snprintf(count, sizeof(count), "%u",
                   GPOINTER_TO_UINT(g_hash_table_lookup(
                       target->ran, argument(connection, "id"))));
        g_mutex_unlock(&target->lock);
        return queue(connection, 200, count, NULL);
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
        options->life_s = (uint32_t)g_ascii_strtoull(value, NULL, 10);
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

static const struct argp_option argp_options[] = {
    {"address", 'a', "IP:PORT", 0, "where to listen", 0},
    {"items", 'f', "FILE", 0, "be the store of these items", 0},
    {"instance", 'i', "NAME", 0, "be the target of that name", 0},
    {"life-s", 'l', "SECONDS", 0, "ends by itself after this", 0},
    {0},
};

static struct MHD_Daemon *
start(const char *address, MHD_AccessHandlerCallback handler, void *data)
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

/* Runs as the store of a file, or as a target. */
int
standin_gateway_main(int argc, char **argv)
{
    struct options options = {.address = "", .life_s = 60};
    struct argp argp = {.options = argp_options, .parser = parse_option};
    argp_parse(&argp, argc, argv, 0, NULL, &options);
    struct store store = {
        .items = g_tree_new_full(compare_keys, NULL, g_free, free_item),
        /* Rises from start to start: the store loses nothing. */
        .revision = (uint64_t)(g_get_real_time() / 10000),
    };
    struct target target = {
        .instance = options.instance,
        .ran = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL),
    };
    struct MHD_Daemon *daemon =
        options.items != NULL
            ? start(options.address, on_store_request, &store)
            : start(options.address, on_target_request, &target);
    if (daemon == NULL) {
        fprintf(stderr, "cannot listen at %s: %s\n", options.address,
                strerror(errno));
        return EX_UNAVAILABLE;
    }
    int64_t end_us =
        g_get_monotonic_time() + (int64_t)options.life_s * 1000000;
    while (g_get_monotonic_time() < end_us) {
        if (options.items != NULL) {
            g_mutex_lock(&store.lock);
            reload(&store, options.items);
            g_mutex_unlock(&store.lock);
        }
        usleep(LOOK_US);
    }
    MHD_stop_daemon(daemon);
    g_tree_unref(store.items);
    g_free(store.text);
    g_hash_table_unref(target.ran);
    return 0;
}
