#include "platform_store.h"

#include <string.h>

#define MAX_VALUE_BYTES 1048576u
#define MAX_LOG_ENTRIES 100000u

struct log_entry {
    char *key;
    GBytes *value;
};

struct platform_store {
    GArray *log; /* of struct log_entry; revision n has index n - 1 */
    GHashTable *file_checksums; /* key to SHA-256 of its file */
    uint64_t epoch;             /* rises with each restore, from 1 */
    json_t *file_vms;           /* content of vms.json, NULL for none */
    json_t *vms;
    json_t *frozen_vms; /* for stale answers, NULL for none */
    int64_t vms_as_of_ms;
    int64_t frozen_as_of_ms;
};

static void
clear_log_entry(gpointer data)
{
    struct log_entry *log_entry = data;
    g_free(log_entry->key);
    g_bytes_unref(log_entry->value);
}

/* Creates an empty store at revision 0, to be freed with
 * platform_store_free. */
struct platform_store *
platform_store_new(void)
{
    struct platform_store *store = g_new0(struct platform_store, 1);
    store->epoch = 1;
    store->log = g_array_new(FALSE, FALSE, sizeof(struct log_entry));
    g_array_set_clear_func(store->log, clear_log_entry);
    store->file_checksums =
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
    g_hash_table_unref(store->file_checksums);
    json_decref(store->file_vms);
    json_decref(store->vms);
    json_decref(store->frozen_vms);
    g_free(store);
}

/* Returns the revision of the latest value, 0 for an empty store. */
uint64_t
platform_store_revision(const struct platform_store *store)
{
    return store->log->len;
}

/* Returns the epoch, which rises with each restore. */
uint64_t
platform_store_epoch(const struct platform_store *store)
{
    return store->epoch;
}

/* Sets the epoch that answers have from now on. */
void
platform_store_set_epoch(struct platform_store *store, uint64_t epoch)
{
    store->epoch = epoch;
}

/* Goes back to the values as of a revision, as if the store came back from a
 * copy of that time. Returns false when there is no such revision. */
bool
platform_store_restore(struct platform_store *store, uint64_t revision)
{
    if (revision > store->log->len) {
        return false;
    }
    g_array_set_size(store->log, (guint)revision);
    store->epoch++;
    return true;
}

static const struct log_entry *
get_log_entry(const struct platform_store *store, uint64_t revision)
{
    return &g_array_index(store->log, struct log_entry, revision - 1);
}

/* Publishes a value and returns its revision, or 0 when it is larger than
 * MAX_VALUE_BYTES, is not UTF-8, or the log is full. */
uint64_t
platform_store_put(struct platform_store *store, const char *key,
                   const char *value, size_t value_bytes)
{
    if (value_bytes > MAX_VALUE_BYTES || store->log->len >= MAX_LOG_ENTRIES ||
        !g_utf8_validate_len(value, value_bytes, NULL))
    {
        return 0;
    }
    struct log_entry log_entry = {g_strdup(key),
                                  g_bytes_new(value, value_bytes)};
    g_array_append_val(store->log, log_entry);
    return store->log->len;
}

/* Returns whether a file has changed since it was last loaded, and stores its
 * checksum. Comparing with the published value instead would let an unchanged
 * file replace a value that was put later under the same key. */
static bool
file_has_changed(struct platform_store *store, const char *key,
                 const char *value, size_t value_bytes)
{
    char *checksum = g_compute_checksum_for_data(
        G_CHECKSUM_SHA256, (const guchar *)value, value_bytes);
    const char *known_checksum =
        g_hash_table_lookup(store->file_checksums, key);
    if (known_checksum != NULL && strcmp(known_checksum, checksum) == 0) {
        g_free(checksum);
        return false;
    }
    g_hash_table_insert(store->file_checksums, g_strdup(key), checksum);
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
    /* Loading in order of names makes revisions the same in each run. */
    g_ptr_array_sort(names, compare_names);
    bool changed = false;
    for (guint i = 0; i < names->len; i++) {
        name = g_ptr_array_index(names, i);
        char *child_path = g_build_filename(path, name, NULL);
        char *key = g_strconcat(prefix, name, NULL);
        if (g_file_test(child_path, G_FILE_TEST_IS_DIR)) {
            char *child_prefix = g_strconcat(key, "/", NULL);
            changed = (depth < 4 && load_directory(store, child_path,
                                                   child_prefix, depth + 1)) ||
                      changed;
            g_free(child_prefix);
        }
        else if (g_str_has_suffix(key, ".json")) {
            key[strlen(key) - strlen(".json")] = '\0';
            changed = load_file(store, child_path, key) || changed;
        }
        g_free(key);
        g_free(child_path);
    }
    g_ptr_array_unref(names);
    if (directory != NULL) {
        g_dir_close(directory);
    }
    return changed;
}

/* Publishes new and changed files DIRECTORY/records/KEY.json as values of KEY,
 * and sets the list of VMs from DIRECTORY/vms.json when it has changed.
 * Returns whether anything has changed. */
bool
platform_store_load(struct platform_store *store, const char *directory)
{
    char *records = g_build_filename(directory, "records", NULL);
    char *vms_path = g_build_filename(directory, "vms.json", NULL);
    bool changed = load_directory(store, records, "", 0);
    json_t *vms = json_load_file(vms_path, 0, NULL);
    if (vms != NULL && !json_equal(vms, store->file_vms)) {
        json_decref(store->file_vms);
        store->file_vms = json_incref(vms);
        platform_store_set_vms(store, vms, g_get_real_time() / 1000);
        changed = true;
    }
    json_decref(vms);
    g_free(vms_path);
    g_free(records);
    return changed;
}

/* Replaces the list of VMs and takes a reference to vms. as_of_ms is the wall
 * time. Returns false when vms is not an array. */
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

/* Stores the present list of VMs for stale answers. */
void
platform_store_freeze_vms(struct platform_store *store)
{
    json_decref(store->frozen_vms);
    store->frozen_vms = json_incref(store->vms);
    store->frozen_as_of_ms = g_get_real_time() / 1000;
}

/* Returns the answer to GET /records as of as_of_revision, UINT64_MAX for the
 * latest: the last value of each key since after, in order of revision, at
 * most limit of them. The caller releases it. */
json_t *
platform_store_records(const struct platform_store *store, uint64_t after,
                       uint32_t limit, uint64_t as_of_revision)
{
    uint64_t end = MIN(as_of_revision, platform_store_revision(store));
    GHashTable *latest = g_hash_table_new(g_str_hash, g_str_equal);
    for (uint64_t revision = after + 1; revision <= end; revision++) {
        g_hash_table_insert(latest, get_log_entry(store, revision)->key,
                            GUINT_TO_POINTER(revision));
    }
    json_t *records = json_array();
    bool more = false;
    for (uint64_t revision = after + 1; revision <= end; revision++) {
        const struct log_entry *entry = get_log_entry(store, revision);
        if (GPOINTER_TO_UINT(g_hash_table_lookup(latest, entry->key)) !=
            revision) {
            continue;
        }
        if (json_array_size(records) >= limit) {
            more = true;
            break;
        }
        size_t bytes = 0;
        const char *value = g_bytes_get_data(entry->value, &bytes);
        json_t *record = json_object();
        json_object_set_new(record, "key", json_string(entry->key));
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

/* Returns the answer to GET /vms at the wall time as_of_ms, or with the frozen
 * list when stale is set and there is one. The caller releases it. */
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
