#include "record_set.h"

#include <string.h>
#include <xxhash.h>

#include "error.h"
#include "record_set_internal.h"
#include "revision.h"

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

static bool
is_position_known(const struct rp_record_position *position)
{
    return position->started_ms > 0 || position->sequence > 0;
}

static int
compare_positions(const struct rp_record_position *a,
                  const struct rp_record_position *b)
{
    if (a->started_ms != b->started_ms) {
        return a->started_ms < b->started_ms ? -1 : 1;
    }
    if (a->sequence != b->sequence) {
        return a->sequence < b->sequence ? -1 : 1;
    }
    return 0;
}

/* Returns whether a value of a later epoch of the platform replaces one of an
 * earlier epoch. The copy from which the platform came back may be older than
 * the earlier value, which the positions show: the later value then has a
 * lower one, or the same one although the target was removed after it. */
static bool
replaces_earlier_epoch(const struct rp_record_order *later,
                       const struct rp_record_order *earlier)
{
    if (later->retired || !is_position_known(&later->position) ||
        !is_position_known(&earlier->position))
    {
        return true;
    }
    int order = compare_positions(&later->position, &earlier->position);
    return order > 0 || (order == 0 && !earlier->retired);
}

/* Compares two values of one key. Values of one epoch of the platform, and
 * those whose versions the operators number, are ordered by version, then by
 * platform revision. Of one revision, the greatest position decides, since VMs
 * that had different entries of a target give its removal different ones; then
 * a removal comes after an entry, and the content decides the rest. Values of
 * two epochs are ordered by their writer's numbers where these are known, else
 * by epoch. This is a total order as long as those numbers rise within each
 * epoch, not if they fall there or are known for some values only.
 * Returns -1, 0 or 1. */
int
rp_record_order_compare(const struct rp_record_order *a,
                        const struct rp_record_order *b)
{
    if (a->epoch_bound && !rp_revision_same_epoch(a->revision, b->revision)) {
        if (a->revision > b->revision) {
            return replaces_earlier_epoch(a, b) ? 1 : -1;
        }
        return replaces_earlier_epoch(b, a) ? -1 : 1;
    }
    if (a->version != b->version) {
        return a->version < b->version ? -1 : 1;
    }
    if (a->revision != b->revision) {
        return a->revision < b->revision ? -1 : 1;
    }
    int order = compare_positions(&a->position, &b->position);
    if (order != 0) {
        return order;
    }
    if (a->retired != b->retired) {
        return a->retired ? 1 : -1;
    }
    if (a->content != b->content) {
        return a->content < b->content ? -1 : 1;
    }
    return 0;
}

static uint32_t
find_bucket(const char *key)
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

/* Adds an entry's digest to the sums of its bucket and of the set, or
 * subtracts it. Sums do not depend on the order of arrival, and an entry is
 * replaced in constant time. */
static void
add_digest(struct rp_record_set *set, const struct record_entry *entry,
           bool is_removal)
{
    uint64_t digest = entry_digest(entry->record->key, &entry->order);
    uint64_t change = is_removal ? UINT64_C(0) - digest : digest;
    set->bucket_digests[find_bucket(entry->record->key)] += change;
    set->digest += change;
}

static bool
has_room(const struct rp_record_set *set, const struct record_entry *previous,
         GBytes *value, const char *key, GError **error)
{
    uint64_t bytes = set->bytes + g_bytes_get_size(value);
    if (previous == NULL && rp_record_set_count(set) >= RP_RECORD_SET_MAX_KEYS)
    {
        g_set_error(error, RP_ERROR, RP_ERROR_FULL,
                    "record '%.100s' refused: the limit of %d keys is "
                    "reached, retired ones included; reuse a retired key, or "
                    "replace all entry VMs to forget retired keys",
                    key, RP_RECORD_SET_MAX_KEYS);
        return false;
    }
    if (previous != NULL) {
        bytes -= g_bytes_get_size(previous->value);
    }
    if (bytes > RP_RECORD_SET_MAX_BYTES) {
        g_set_error(error, RP_ERROR, RP_ERROR_FULL,
                    "record '%.100s' refused: the records would exceed %u "
                    "bytes in total; publish smaller ones",
                    key, RP_RECORD_SET_MAX_BYTES);
        return false;
    }
    return true;
}

static void
put_entry(struct rp_record_set *set, struct record_entry *previous,
          struct rp_record *record, GBytes *value,
          const struct rp_record_order *order)
{
    if (previous != NULL) {
        add_digest(set, previous, true);
        set->bytes -= g_bytes_get_size(previous->value);
        set->retired_count -= previous->record->retired ? 1 : 0;
    }
    struct record_entry *entry = g_new0(struct record_entry, 1);
    entry->record = record;
    entry->value = g_bytes_ref(value);
    entry->order = *order;
    add_digest(set, entry, false);
    set->bytes += g_bytes_get_size(value);
    set->retired_count += record->retired ? 1 : 0;
    set->revision = MAX(set->revision, order->revision);
    /* Replaces the key as well, which belongs to the record. */
    g_tree_replace(set->entries, record->key, entry);
}

static enum rp_record_verdict
raise_revision(struct rp_record_set *set, struct record_entry *entry,
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

static void
set_order(struct rp_record_order *order, const struct rp_record *record)
{
    order->version = record->version;
    order->epoch_bound =
        record->kind == RP_RECORD_ROUTES || record->kind == RP_RECORD_TARGET;
    order->retired = record->retired;
    order->position = record->position;
}

static bool
is_same_version(const struct rp_record_order *a,
                const struct rp_record_order *b)
{
    return a->version == b->version &&
           (!a->epoch_bound ||
            rp_revision_same_epoch(a->revision, b->revision));
}

/* Offers a published value to the set. It is accepted as a whole or not at
 * all; a refused or older value leaves the record in force unchanged. result,
 * when not NULL, receives the verdict and what it was based on. Returns
 * RP_RECORD_REFUSED with RP_ERROR_RECORD or RP_ERROR_FULL set when the value
 * is invalid or the set is full. Content that is in force already is not
 * parsed again. */
enum rp_record_verdict
rp_record_set_offer(struct rp_record_set *set,
                    const struct rp_record_item *item,
                    struct rp_record_offer_result *result, GError **error)
{
    struct rp_record_offer_result unused;
    struct rp_record_offer_result *out = result == NULL ? &unused : result;
    memset(out, 0, sizeof(*out));
    out->verdict = RP_RECORD_REFUSED;
    out->offered.revision = item->revision;
    out->offered.content = content_digest(item->value);
    struct record_entry *previous = g_tree_lookup(set->entries, item->key);
    if (previous != NULL) {
        out->previous = previous->order;
        if (previous->order.content == out->offered.content) {
            set_order(&out->offered, previous->record);
            out->retired = previous->record->retired;
            out->verdict = raise_revision(set, previous, item->revision);
            return out->verdict;
        }
    }
    size_t bytes = 0;
    const char *text = g_bytes_get_data(item->value, &bytes);
    struct rp_record *record =
        rp_record_parse(item->key, text, bytes, NULL, error);
    if (record == NULL) {
        return out->verdict;
    }
    set_order(&out->offered, record);
    out->retired = record->retired;
    out->conflict =
        previous != NULL && is_same_version(&previous->order, &out->offered);
    if (previous != NULL &&
        rp_record_order_compare(&out->offered, &previous->order) < 0)
    {
        out->verdict = RP_RECORD_OLDER;
        rp_record_free(record);
        return out->verdict;
    }
    if (!has_room(set, previous, item->value, item->key, error)) {
        rp_record_free(record);
        return out->verdict;
    }
    put_entry(set, previous, record, item->value, &out->offered);
    out->verdict = RP_RECORD_ACCEPTED;
    return out->verdict;
}

/* Returns the value that retires a target which the platform removed at a
 * revision. It has the position of the record in force, so that an older copy
 * of the platform does not bring the target back. The caller unrefs it. NULL
 * when the set has no target of that key. */
GBytes *
rp_record_set_format_removal(const struct rp_record_set *set, const char *key,
                             uint64_t revision)
{
    const struct record_entry *entry = g_tree_lookup(set->entries, key);
    if (entry == NULL || entry->record->kind != RP_RECORD_TARGET) {
        return NULL;
    }
    char *text =
        rp_record_format_retired(entry->record, rp_revision_counter(revision));
    return g_bytes_new_take(text, strlen(text));
}

/* Returns whether the set has a key. order and retired, when not NULL, receive
 * the record's order and whether it is retired. */
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
    return set->retired_count;
}

/* Returns the total size of all values in bytes. */
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

/* Copies the digests of the set's buckets, which a peer compares with its
 * own. */
void
rp_record_set_buckets(const struct rp_record_set *set,
                      uint64_t buckets[RP_RECORD_SET_BUCKETS])
{
    memcpy(buckets, set->bucket_digests, sizeof(set->bucket_digests));
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
    uint32_t bucket = find_bucket(key);
    if (state->peer_buckets != NULL &&
        state->peer_buckets[bucket] == state->set->bucket_digests[bucket])
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

/* Returns the records of the buckets whose digests differ from a peer's, or
 * all records when peer_buckets is NULL, as an array of struct rp_record_batch
 * of about batch_bytes each; a larger record has a batch to itself. The caller
 * unrefs the array, which owns the batches. */
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
