#include "record_set.h"

#include <string.h>
#include <xxhash.h>

#include "error.h"
#include "record_set_internal.h"

static gint
compare_keys(gconstpointer a, gconstpointer b, gpointer data)
{
    return strcmp(a, b);
}

static void
free_entry(gpointer data)
{
    struct record_entry *entry = data;
    rp_record_free(entry->record);
    g_bytes_unref(entry->value);
    g_free(entry);
}

/* Creates an empty set. Free it with rp_record_set_free. */
struct rp_record_set *
rp_record_set_new(void)
{
    struct rp_record_set *set = g_new0(struct rp_record_set, 1);
    set->entries = g_tree_new_full(compare_keys, NULL, NULL, free_entry);
    return set;
}

/* Frees a set; NULL is allowed. */
void
rp_record_set_free(struct rp_record_set *set)
{
    if (set == NULL) {
        return;
    }
    g_tree_unref(set->entries);
    g_free(set);
}

static uint64_t
content_digest(GBytes *value)
{
    size_t bytes = 0;
    const void *data = g_bytes_get_data(value, &bytes);
    return XXH3_64bits(data, bytes);
}

/* Compares two versions of one key: by version, then by platform revision,
 * then by content. The content decides only between peers that were told
 * different things under the same revision. */
int
rp_record_order_compare(const struct rp_record_order *a,
                        const struct rp_record_order *b)
{
    if (a->version != b->version) {
        return a->version < b->version ? -1 : 1;
    }
    if (a->revision != b->revision) {
        return a->revision < b->revision ? -1 : 1;
    }
    if (a->content != b->content) {
        return a->content < b->content ? -1 : 1;
    }
    return 0;
}

static uint32_t
bucket_of(const char *key)
{
    return (uint32_t)(XXH3_64bits(key, strlen(key)) % RP_RECORD_SET_BUCKETS);
}

static uint64_t
entry_digest(const char *key, const struct rp_record_order *order)
{
    uint64_t parts[4] = {
        XXH3_64bits(key, strlen(key)),
        (uint64_t)order->version,
        order->revision,
        order->content,
    };
    return XXH3_64bits(parts, sizeof(parts));
}

/* Digests are sums, so that they do not depend on the order of arrival and
 * one entry is replaced in constant time. */
static void
add_digest(struct rp_record_set *set, const struct record_entry *entry,
           bool remove)
{
    uint64_t digest = entry_digest(entry->record->key, &entry->order);
    uint64_t change = remove ? UINT64_C(0) - digest : digest;
    set->buckets[bucket_of(entry->record->key)] += change;
    set->digest += change;
}

static bool
has_room(const struct rp_record_set *set, const struct record_entry *before,
         GBytes *value, const char *key, GError **error)
{
    uint64_t bytes = set->bytes + g_bytes_get_size(value);
    if (before == NULL && rp_record_set_count(set) >= RP_RECORD_SET_MAX_KEYS) {
        g_set_error(error, RP_ERROR, RP_ERROR_FULL,
                    "record '%.100s' refused: %d keys are known, retired "
                    "ones included; reuse a retired key, or replace all "
                    "entry VMs to forget retired keys",
                    key, RP_RECORD_SET_MAX_KEYS);
        return false;
    }
    if (before != NULL) {
        bytes -= g_bytes_get_size(before->value);
    }
    if (bytes > RP_RECORD_SET_MAX_BYTES) {
        g_set_error(error, RP_ERROR, RP_ERROR_FULL,
                    "record '%.100s' refused: all records together would "
                    "have more than %u bytes; publish smaller ones",
                    key, RP_RECORD_SET_MAX_BYTES);
        return false;
    }
    return true;
}

static void
put_entry(struct rp_record_set *set, struct record_entry *before,
          struct rp_record *record, GBytes *value,
          const struct rp_record_order *order)
{
    if (before != NULL) {
        add_digest(set, before, true);
        set->bytes -= g_bytes_get_size(before->value);
        set->retired -= before->record->retired ? 1 : 0;
    }
    struct record_entry *entry = g_new0(struct record_entry, 1);
    entry->record = record;
    entry->value = g_bytes_ref(value);
    entry->order = *order;
    add_digest(set, entry, false);
    set->bytes += g_bytes_get_size(value);
    set->retired += record->retired ? 1 : 0;
    set->revision = MAX(set->revision, order->revision);
    /* Replaces the key as well, which belongs to the record. */
    g_tree_replace(set->entries, record->key, entry);
}

static enum rp_record_verdict
renew_entry(struct rp_record_set *set, struct record_entry *entry,
            uint64_t revision)
{
    if (revision <= entry->order.revision) {
        return revision == entry->order.revision ? RP_RECORD_KNOWN
                                                 : RP_RECORD_OLDER;
    }
    add_digest(set, entry, true);
    entry->order.revision = revision;
    add_digest(set, entry, false);
    set->revision = MAX(set->revision, revision);
    return RP_RECORD_RENEWED;
}

/* Offers a published value to the set. It is taken whole or not at all; a
 * refused or older one leaves what is in force untouched. result, when not
 * NULL, says what was compared. Returns RP_RECORD_REFUSED with
 * RP_ERROR_RECORD or RP_ERROR_FULL set when the value is invalid or the set
 * is full. Content that is in force already is not parsed again. */
enum rp_record_verdict
rp_record_set_offer(struct rp_record_set *set,
                    const struct rp_record_item *item,
                    struct rp_record_offer_result *result, GError **error)
{
    struct rp_record_offer_result unused;
    struct rp_record_offer_result *to = result == NULL ? &unused : result;
    memset(to, 0, sizeof(*to));
    to->verdict = RP_RECORD_REFUSED;
    to->offered.revision = item->revision;
    to->offered.content = content_digest(item->value);
    struct record_entry *before = g_tree_lookup(set->entries, item->key);
    if (before != NULL) {
        to->before = before->order;
        if (before->order.content == to->offered.content) {
            to->offered.version = before->order.version;
            to->retired = before->record->retired;
            to->verdict = renew_entry(set, before, item->revision);
            return to->verdict;
        }
    }
    size_t bytes = 0;
    const char *text = g_bytes_get_data(item->value, &bytes);
    struct rp_record *record =
        rp_record_parse(item->key, text, bytes, NULL, error);
    if (record == NULL) {
        return to->verdict;
    }
    to->offered.version = record->version;
    to->retired = record->retired;
    to->conflict = before != NULL && before->order.version == record->version;
    if (before != NULL &&
        rp_record_order_compare(&to->offered, &before->order) < 0)
    {
        to->verdict = RP_RECORD_OLDER;
        rp_record_free(record);
        return to->verdict;
    }
    if (!has_room(set, before, item->value, item->key, error)) {
        rp_record_free(record);
        return to->verdict;
    }
    put_entry(set, before, record, item->value, &to->offered);
    to->verdict = RP_RECORD_ACCEPTED;
    return to->verdict;
}

/* Returns whether a key is known, and its order and retirement; order and
 * retired may be NULL. */
bool
rp_record_set_find(const struct rp_record_set *set, const char *key,
                   struct rp_record_order *order, bool *retired)
{
    const struct record_entry *entry = g_tree_lookup(set->entries, key);
    if (entry == NULL) {
        return false;
    }
    if (order != NULL) {
        *order = entry->order;
    }
    if (retired != NULL) {
        *retired = entry->record->retired;
    }
    return true;
}

struct foreach_state {
    void (*each)(const struct rp_record *record,
                 const struct rp_record_order *order, void *data);
    void *data;
};

static gboolean
call_each(gpointer key, gpointer value, gpointer data)
{
    const struct foreach_state *state = data;
    const struct record_entry *entry = value;
    state->each(entry->record, &entry->order, state->data);
    return FALSE;
}

/* Calls each for every record in order of key, retired ones included. */
void
rp_record_set_foreach(const struct rp_record_set *set,
                      void (*each)(const struct rp_record *record,
                                   const struct rp_record_order *order,
                                   void *data),
                      void *data)
{
    struct foreach_state state = {each, data};
    g_tree_foreach(set->entries, call_each, &state);
}

/* Returns the number of keys, retired ones included. */
uint32_t
rp_record_set_count(const struct rp_record_set *set)
{
    return (uint32_t)g_tree_nnodes(set->entries);
}

/* Returns the number of retired keys. */
uint32_t
rp_record_set_retired_count(const struct rp_record_set *set)
{
    return set->retired;
}

/* Returns the bytes of all values. */
uint64_t
rp_record_set_bytes(const struct rp_record_set *set)
{
    return set->bytes;
}

/* Returns the digest of the set; it is 0 for an empty one. Equal sets have
 * equal digests. */
uint64_t
rp_record_set_digest(const struct rp_record_set *set)
{
    return set->digest;
}

/* Returns the greatest platform revision among the records. */
uint64_t
rp_record_set_revision(const struct rp_record_set *set)
{
    return set->revision;
}

/* Copies the digests of the parts of the set, for a peer to compare. */
void
rp_record_set_buckets(const struct rp_record_set *set,
                      uint64_t buckets[RP_RECORD_SET_BUCKETS])
{
    memcpy(buckets, set->buckets, sizeof(set->buckets));
}

struct export_state {
    const struct rp_record_set *set;
    const uint64_t *peer_buckets;
    uint32_t batch_bytes;
    GPtrArray *batches;
    struct rp_record_batch *last;
};

static gboolean
export_entry(gpointer key, gpointer value, gpointer data)
{
    struct export_state *state = data;
    const struct record_entry *entry = value;
    uint32_t bucket = bucket_of(key);
    if (state->peer_buckets != NULL &&
        state->peer_buckets[bucket] == state->set->buckets[bucket])
    {
        return FALSE;
    }
    uint64_t bytes = g_bytes_get_size(entry->value) + strlen(key);
    if (state->last == NULL ||
        rp_record_batch_bytes(state->last) + bytes > state->batch_bytes)
    {
        state->last = rp_record_batch_new();
        g_ptr_array_add(state->batches, state->last);
    }
    rp_record_batch_add(state->last, key, entry->order.revision, entry->value);
    return FALSE;
}

static void
unref_batch(gpointer data)
{
    rp_record_batch_unref(data);
}

/* Returns the records in the parts that differ from a peer's, or all when
 * peer_buckets is NULL: an array of struct rp_record_batch of about
 * batch_bytes each (a single larger record has a batch of its own), owned by
 * the array, which the caller unrefs. */
GPtrArray *
rp_record_set_export(const struct rp_record_set *set,
                     const uint64_t *peer_buckets, uint32_t batch_bytes)
{
    struct export_state state = {set, peer_buckets, batch_bytes,
                                 g_ptr_array_new_with_free_func(unref_batch),
                                 NULL};
    g_tree_foreach(set->entries, export_entry, &state);
    return state.batches;
}
