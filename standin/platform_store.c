#include "platform_store.h"

#include <string.h>

#define VALUE_MAX_BYTES 1048576u
#define LOG_LIMIT 100000u

struct published {
    char *key;
    GBytes *value;
};

struct platform_store {
    GArray *log;        /* of struct published; revision n is at n - 1 */
    GHashTable *loaded; /* key to checksum of its file */
    json_t *loaded_vms; /* of the file; NULL when there is none */
    json_t *vms;
    json_t *frozen_vms;
    int64_t vms_as_of_ms;
    int64_t frozen_as_of_ms;
};

static void
clear_published(gpointer data)
{
    struct published *published = data;
    g_free(published->key);
    g_bytes_unref(published->value);
}

/* Creates an empty store at revision 0. */
struct platform_store *
platform_store_new(void)
{
    struct platform_store *store = g_new0(struct platform_store, 1);
    store->log = g_array_new(FALSE, FALSE, sizeof(struct published));
    g_array_set_clear_func(store->log, clear_published);
    store->loaded =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    store->vms = json_array();
    return store;
}

/* Frees the store; NULL is allowed. */
void
platform_store_free(struct platform_store *store)
{
    if (store == NULL) {
        return;
    }
    g_array_unref(store->log);
    g_hash_table_unref(store->loaded);
    json_decref(store->loaded_vms);
    json_decref(store->vms);
    json_decref(store->frozen_vms);
    g_free(store);
}

/* Returns the revision of the latest value. */
uint64_t
platform_store_revision(const struct platform_store *store)
{
    return store->log->len;
}

static const struct published *
get_published(const struct platform_store *store, uint64_t revision)
{
    return &g_array_index(store->log, struct published, revision - 1);
}

/* Publishes a value and returns its revision, or 0 when it is too large, is
 * no UTF-8, or the log is full. */
uint64_t
platform_store_put(struct platform_store *store, const char *key,
                   const char *value, size_t value_bytes)
{
    if (value_bytes > VALUE_MAX_BYTES || store->log->len >= LOG_LIMIT ||
        !g_utf8_validate_len(value, value_bytes, NULL))
    {
        return 0;
    }
    struct published published = {g_strdup(key),
                                  g_bytes_new(value, value_bytes)};
    g_array_append_val(store->log, published);
    return store->log->len;
}

/* A file is published again only when the file itself has changed: a value
 * that was put under its key since is newer than the file. */
static bool
file_has_changed(struct platform_store *store, const char *key,
                 const char *value, size_t value_bytes)
{
    char *checksum = g_compute_checksum_for_data(
        G_CHECKSUM_SHA256, (const guchar *)value, value_bytes);
    const char *loaded = g_hash_table_lookup(store->loaded, key);
    if (loaded != NULL && strcmp(loaded, checksum) == 0) {
        g_free(checksum);
        return false;
    }
    g_hash_table_insert(store->loaded, g_strdup(key), checksum);
    return true;
}

static bool
load_file(struct platform_store *store, const char *path, const char *key)
{
    char *value = NULL;
    gsize bytes = 0;
    if (!g_file_get_contents(path, &value, &bytes, NULL)) {
        return false;
    }
    bool changed = file_has_changed(store, key, value, bytes) &&
                   platform_store_put(store, key, value, bytes) != 0;
    g_free(value);
    return changed;
}

static gint
compare_names(gconstpointer a, gconstpointer b)
{
    return strcmp(*(const char *const *)a, *(const char *const *)b);
}

static bool
load_directory(struct platform_store *store, const char *path,
               const char *prefix, int depth)
{
    GDir *directory = g_dir_open(path, 0, NULL);
    GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
    const char *name;
    while (directory != NULL && (name = g_dir_read_name(directory)) != NULL) {
        g_ptr_array_add(names, g_strdup(name));
    }
    /* In order of name, so that revisions are the same in each run. */
    g_ptr_array_sort(names, compare_names);
    bool changed = false;
    for (guint i = 0; i < names->len; i++) {
        name = g_ptr_array_index(names, i);
        char *inner = g_build_filename(path, name, NULL);
        char *key = g_strconcat(prefix, name, NULL);
        if (g_file_test(inner, G_FILE_TEST_IS_DIR)) {
            char *deeper = g_strconcat(key, "/", NULL);
            changed = (depth < 4 &&
                       load_directory(store, inner, deeper, depth + 1)) ||
                      changed;
            g_free(deeper);
        }
        else if (g_str_has_suffix(key, ".json")) {
            key[strlen(key) - strlen(".json")] = '\0';
            changed = load_file(store, inner, key) || changed;
        }
        g_free(key);
        g_free(inner);
    }
    g_ptr_array_unref(names);
    if (directory != NULL) {
        g_dir_close(directory);
    }
    return changed;
}

/* Publishes the files below DIRECTORY/records that are new or have changed,
 * KEY.json being the value of KEY, and takes DIRECTORY/vms.json as the list
 * of VMs. Returns whether anything has changed. */
bool
platform_store_load(struct platform_store *store, const char *directory)
{
    char *records = g_build_filename(directory, "records", NULL);
    char *vms_path = g_build_filename(directory, "vms.json", NULL);
    bool changed = load_directory(store, records, "", 0);
    json_t *vms = json_load_file(vms_path, 0, NULL);
    if (vms != NULL && !json_equal(vms, store->loaded_vms)) {
        json_decref(store->loaded_vms);
        store->loaded_vms = json_incref(vms);
        platform_store_set_vms(store, vms, g_get_real_time() / 1000);
        changed = true;
    }
    json_decref(vms);
    g_free(vms_path);
    g_free(records);
    return changed;
}

/* Replaces the list of VMs, which gains a reference. as_of_ms is the wall
 * time. Returns false when it is no array. */
bool
platform_store_set_vms(struct platform_store *store, json_t *vms,
                       int64_t as_of_ms)
{
    if (!json_is_array(vms)) {
        return false;
    }
    json_decref(store->vms);
    store->vms = json_incref(vms);
    store->vms_as_of_ms = as_of_ms;
    return true;
}

/* Keeps the present list of VMs for stale answers. */
void
platform_store_freeze_vms(struct platform_store *store)
{
    json_decref(store->frozen_vms);
    store->frozen_vms = json_incref(store->vms);
    store->frozen_as_of_ms = g_get_real_time() / 1000;
}

/* Returns the answer to GET /records as of an earlier or the present
 * revision: the latest value of each key, in order of revision. */
json_t *
platform_store_records(const struct platform_store *store, uint64_t after,
                       uint32_t limit, uint64_t as_of_revision)
{
    uint64_t end = MIN(as_of_revision, platform_store_revision(store));
    GHashTable *latest = g_hash_table_new(g_str_hash, g_str_equal);
    for (uint64_t revision = after + 1; revision <= end; revision++) {
        g_hash_table_insert(latest, get_published(store, revision)->key,
                            GUINT_TO_POINTER(revision));
    }
    json_t *records = json_array();
    bool more = false;
    for (uint64_t revision = after + 1; revision <= end; revision++) {
        const struct published *each = get_published(store, revision);
        if (GPOINTER_TO_UINT(g_hash_table_lookup(latest, each->key)) !=
            revision) {
            continue;
        }
        if (json_array_size(records) >= limit) {
            more = true;
            break;
        }
        size_t bytes = 0;
        const char *value = g_bytes_get_data(each->value, &bytes);
        json_t *record = json_object();
        json_object_set_new(record, "key", json_string(each->key));
        json_object_set_new(record, "revision",
                            json_integer((json_int_t)revision));
        json_object_set_new(record, "value", json_stringn(value, bytes));
        json_array_append_new(records, record);
    }
    g_hash_table_unref(latest);
    json_t *answer = json_object();
    json_object_set_new(answer, "revision", json_integer((json_int_t)end));
    json_object_set_new(answer, "more", json_boolean(more));
    json_object_set_new(answer, "records", records);
    return answer;
}

/* Returns the answer to GET /vms at the wall time as_of_ms, or the frozen
 * one. */
json_t *
platform_store_vms(const struct platform_store *store, bool stale,
                   int64_t as_of_ms)
{
    bool frozen = stale && store->frozen_vms != NULL;
    json_t *answer = json_object();
    json_object_set_new(
        answer, "as_of_ms",
        json_integer(frozen ? store->frozen_as_of_ms : as_of_ms));
    json_object_set(answer, "vms", frozen ? store->frozen_vms : store->vms);
    return answer;
}
