#include "config_status.h"

#include "record.h"
#include "revision.h"

#define MAX_REFUSALS 64u

struct rp_config_refusals {
    GHashTable *reasons; /* key to text */
};

/* Creates an empty list. Free it with rp_config_refusals_free. */
struct rp_config_refusals *
rp_config_refusals_new(void)
{
    struct rp_config_refusals *refusals = g_new0(struct rp_config_refusals, 1);
    refusals->reasons =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return refusals;
}

/* Frees the list; NULL is allowed. */
void
rp_config_refusals_free(struct rp_config_refusals *refusals)
{
    if (refusals == NULL) {
        return;
    }
    g_hash_table_unref(refusals->reasons);
    g_free(refusals);
}

/* Records the reason of a key's refusal. A full list of MAX_REFUSALS keys
 * ignores further keys until some are removed; the timeline has all refusals.
 */
void
rp_config_refusals_put(struct rp_config_refusals *refusals, const char *key,
                       const char *reason)
{
    if (g_hash_table_size(refusals->reasons) < MAX_REFUSALS ||
        g_hash_table_contains(refusals->reasons, key))
    {
        g_hash_table_insert(refusals->reasons, g_strdup(key),
                            g_strdup(reason));
    }
}

/* Removes the refusal of a key, after a newer version was accepted. */
void
rp_config_refusals_remove(struct rp_config_refusals *refusals, const char *key)
{
    g_hash_table_remove(refusals->reasons, key);
}

static void
add_revision(json_t *object, uint64_t revision)
{
    json_object_set_new(
        object, "revision",
        json_integer((json_int_t)rp_revision_counter(revision)));
    json_object_set_new(object, "epoch",
                        json_integer((json_int_t)rp_revision_epoch(revision)));
}

static void
add_record(const struct rp_record *record, const struct rp_record_order *order,
           void *data)
{
    json_t *object = json_object();
    json_object_set_new(object, "key", json_string(record->key));
    json_object_set_new(object, "version", json_integer(record->version));
    add_revision(object, order->revision);
    json_object_set_new(
        object, "schema",
        json_integer(record->kind == RP_RECORD_SCHEMA1_SERVICE ? 1 : 2));
    json_object_set_new(object, "retired", json_boolean(record->retired));
    json_array_append_new(data, object);
}

static json_t *
refused_keys(const struct rp_config_refusals *refusals)
{
    json_t *refused = json_array();
    GList *keys = g_list_sort(g_hash_table_get_keys(refusals->reasons),
                              (GCompareFunc)g_strcmp0);
    for (GList *link = keys; link != NULL; link = link->next) {
        const char *reason =
            g_hash_table_lookup(refusals->reasons, link->data);
        json_t *object = json_object();
        json_object_set_new(object, "key", json_string(link->data));
        json_object_set_new(object, "reason", json_string(reason));
        json_array_append_new(refused, object);
    }
    g_list_free(keys);
    return refused;
}

/* Returns the section "config" of the status document; the caller owns the
 * reference. */
json_t *
rp_config_status(const struct rp_record_set *set, enum rp_config_phase phase,
                 const struct rp_config_refusals *refusals,
                 const GPtrArray *warnings, int64_t platform_age_ms)
{
    static const char *const names[] = {"starting", "provisional", "in force"};
    char digest[17];
    g_snprintf(digest, sizeof(digest), "%016" G_GINT64_MODIFIER "x",
               rp_record_set_digest(set));
    json_t *status = json_object();
    json_object_set_new(status, "state", json_string(names[phase]));
    json_object_set_new(status, "digest", json_string(digest));
    add_revision(status, rp_record_set_revision(set));
    json_object_set_new(status, "platform_age_ms",
                        json_integer(platform_age_ms));
    json_t *records = json_array();
    rp_record_set_foreach(set, add_record, records);
    json_object_set_new(status, "records", records);
    json_object_set_new(status, "refused", refused_keys(refusals));
    json_t *warning_list = json_array();
    for (guint i = 0; warnings != NULL && i < warnings->len; i++) {
        json_array_append_new(warning_list,
                              json_string(g_ptr_array_index(warnings, i)));
    }
    json_object_set_new(status, "warnings", warning_list);
    return status;
}
