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
free_value(gpointer data)
{
    struct record_value *value = data;
    rp_record_free(value->record);
    g_bytes_unref(value->bytes);
    g_free(value);
}

static void
free_entry(gpointer data)
{
    struct record_entry *entry = data;
    g_ptr_array_unref(entry->values);
    g_free(entry->key);
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

/* Compares two values of one key by the order of their publication, which is a
 * total order. Values of one epoch of the platform, and those whose versions
 * the operators number, are ordered by version, then by platform revision. Of
 * one revision, the greatest position decides, since VMs that had different
 * entries of a target give its removal different ones; then a removal comes
 * after an entry, and the content decides the rest. Returns -1, 0 or 1. */
int
rp_record_order_compare(const struct rp_record_order *a,
                        const struct rp_record_order *b)
{
    if (a->epoch_bound && !rp_revision_same_epoch(a->revision, b->revision)) {
        return a->revision < b->revision ? -1 : 1;
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

/* Returns whether the value that was published next replaces the one in force.
 * In a later epoch of the platform it may be of the copy from which the
 * platform came back, and older than the one in force, which the positions
 * show. known is the greatest position up to the value in force. */
static bool
replaces(const struct rp_record_order *next,
         const struct rp_record_order *in_force,
         const struct rp_record_position *known)
{
    if (rp_revision_same_epoch(next->revision, in_force->revision) ||
        next->retired || !is_position_known(&next->position) ||
        !is_position_known(known))
    {
        return true;
    }
    int order = compare_positions(&next->position, known);
    return order > 0 || (order == 0 && !in_force->retired);
}

/* Sets which of an entry's values is in force. A pairwise order of the values
 * would have cycles, since counters decide within an epoch and positions
 * between epochs. */
static void
choose_value(struct record_entry *entry)
{
    const struct record_value *chosen = g_ptr_array_index(entry->values, 0);
    struct rp_record_position known = chosen->order.position;
    for (guint i = 1; i < entry->values->len; i++) {
        const struct record_value *next = g_ptr_array_index(entry->values, i);
        if (!replaces(&next->order, &chosen->order, &known)) {
            continue;
        }
        chosen = next;
        /* A removal may be of a VM that had an older entry or none. */
        if (!next->order.retired ||
            compare_positions(&next->order.position, &known) > 0)
        {
            known = next->order.position;
        }
    }
    entry->in_force = chosen;
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

/* Adds a value's digest to the sums of its bucket and of the set, or subtracts
 * it. Sums do not depend on the order of arrival, and a value is replaced in
 * constant time. */
static void
add_digest(struct rp_record_set *set, const char *key,
           const struct rp_record_order *order, bool is_removal)
{
    uint64_t digest = entry_digest(key, order);
    uint64_t change = is_removal ? UINT64_C(0) - digest : digest;
    set->bucket_digests[find_bucket(key)] += change;
    set->digest += change;
}

static bool
has_room(const struct rp_record_set *set, bool is_new_key,
         const struct record_value *previous, GBytes *value,
         const struct rp_record *record, GError **error)
{
    const char *key = record->key;
    uint64_t bytes = set->bytes + g_bytes_get_size(value);
    bool is_evacuation = record->kind == RP_RECORD_EVACUATION;
    uint32_t max_keys = RP_RECORD_SET_MAX_KEYS +
                        (is_evacuation ? RP_RECORD_SET_EVACUATION_KEYS : 0);
    uint64_t max_bytes = RP_RECORD_SET_MAX_BYTES +
                         (is_evacuation ? RP_RECORD_SET_EVACUATION_BYTES : 0);
    if (is_new_key && rp_record_set_count(set) >= max_keys) {
        g_set_error(error, RP_ERROR, RP_ERROR_FULL,
                    "record '%.100s' refused: the limit of %d keys is "
                    "reached, retired ones included; reuse a retired key, or "
                    "replace all entry VMs to forget retired keys",
                    key, (int)max_keys);
        return false;
    }
    if (previous != NULL) {
        bytes -= g_bytes_get_size(previous->bytes);
    }
    if (bytes > max_bytes) {
        g_set_error(error, RP_ERROR, RP_ERROR_FULL,
                    "record '%.100s' refused: the records would exceed "
                    "%" G_GUINT64_FORMAT
                    " bytes in total; publish smaller ones",
                    key, max_bytes);
        return false;
    }
    return true;
}

static gint
compare_values(gconstpointer a, gconstpointer b)
{
    const struct record_value *const *left = a;
    const struct record_value *const *right = b;
    return rp_record_order_compare(&(*left)->order, &(*right)->order);
}

static void
remove_value(struct rp_record_set *set, struct record_entry *entry,
             struct record_value *value)
{
    set->bytes -= g_bytes_get_size(value->bytes);
    g_ptr_array_remove(entry->values, value);
}

static uint64_t
lowest_epoch(const struct record_entry *entry)
{
    const struct record_value *first = g_ptr_array_index(entry->values, 0);
    return rp_revision_epoch(first->order.revision);
}

static bool
has_all_epochs(const struct record_entry *entry)
{
    uint32_t epochs = 0;
    const struct record_value *previous = NULL;
    for (guint i = 0; i < entry->values->len; i++) {
        const struct record_value *value = g_ptr_array_index(entry->values, i);
        if (previous == NULL ||
            !rp_revision_same_epoch(previous->order.revision,
                                    value->order.revision))
        {
            epochs++;
        }
        previous = value;
    }
    return epochs >= RP_RECORD_SET_MAX_EPOCHS;
}

/* Keeps the greatest epochs, in whatever order they arrive. */
static void
remove_lowest_epoch(struct rp_record_set *set, struct record_entry *entry)
{
    uint64_t epoch = lowest_epoch(entry);
    while (entry->values->len > 0 && lowest_epoch(entry) == epoch) {
        remove_value(set, entry, g_ptr_array_index(entry->values, 0));
    }
}

/* Returns the value that an offered one competes with, or NULL. The greatest
 * entry and the greatest removal of each epoch are kept. */
static struct record_value *
find_rival(const struct record_entry *entry,
           const struct rp_record_order *offered)
{
    for (guint i = 0; entry != NULL && i < entry->values->len; i++) {
        struct record_value *value = g_ptr_array_index(entry->values, i);
        if (!offered->epoch_bound ||
            (rp_revision_same_epoch(value->order.revision,
                                    offered->revision) &&
             value->order.retired == offered->retired))
        {
            return value;
        }
    }
    return NULL;
}

static struct record_value *
find_content(const struct record_entry *entry,
             const struct rp_record_order *offered)
{
    for (guint i = 0; entry != NULL && i < entry->values->len; i++) {
        struct record_value *value = g_ptr_array_index(entry->values, i);
        if (value->order.content == offered->content &&
            (!value->order.epoch_bound ||
             rp_revision_same_epoch(value->order.revision, offered->revision)))
        {
            return value;
        }
    }
    return NULL;
}

static void
put_value(struct rp_record_set *set, struct record_entry *entry,
          struct rp_record *record, GBytes *bytes,
          const struct rp_record_order *order)
{
    struct record_value *value = g_new0(struct record_value, 1);
    value->record = record;
    value->bytes = g_bytes_ref(bytes);
    value->order = *order;
    set->bytes += g_bytes_get_size(bytes);
    set->revision = MAX(set->revision, order->revision);
    g_ptr_array_add(entry->values, value);
}

static struct record_entry *
add_entry(struct rp_record_set *set, const char *key)
{
    struct record_entry *entry = g_new0(struct record_entry, 1);
    entry->key = g_strdup(key);
    entry->values = g_ptr_array_new_with_free_func(free_value);
    g_tree_insert(set->entries, entry->key, entry);
    return entry;
}

/* Chooses the value in force after a change of an entry's values. Returns the
 * verdict on the offered one. */
static enum rp_record_verdict
settle_entry(struct rp_record_set *set, struct record_entry *entry,
             const struct rp_record_order *before)
{
    g_ptr_array_sort(entry->values, compare_values);
    choose_value(entry);
    const struct rp_record_order *after = &entry->in_force->order;
    if (before != NULL) {
        add_digest(set, entry->key, before, true);
        set->retired_count -= before->retired ? 1 : 0;
    }
    add_digest(set, entry->key, after, false);
    set->retired_count += after->retired ? 1 : 0;
    if (before == NULL || after->content != before->content) {
        return RP_RECORD_ACCEPTED;
    }
    return after->revision == before->revision ? RP_RECORD_KEPT
                                               : RP_RECORD_RENEWED;
}

static enum rp_record_verdict
raise_revision(struct rp_record_set *set, struct record_entry *entry,
               struct record_value *value, uint64_t revision)
{
    if (revision <= value->order.revision) {
        return revision == value->order.revision ? RP_RECORD_KNOWN
                                                 : RP_RECORD_OLDER;
    }
    struct rp_record_order before = entry->in_force->order;
    value->order.revision = revision;
    set->revision = MAX(set->revision, revision);
    return settle_entry(set, entry, &before);
}

static void
set_order(struct rp_record_order *order, const struct rp_record *record)
{
    order->version = record->version;
    order->epoch_bound = record->kind == RP_RECORD_ROUTES ||
                         record->kind == RP_RECORD_TARGET ||
                         record->kind == RP_RECORD_EVACUATION;
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

static bool
is_new_epoch(const struct record_entry *entry,
             const struct rp_record_order *offered)
{
    if (!offered->epoch_bound) {
        return false;
    }
    for (guint i = 0; i < entry->values->len; i++) {
        const struct record_value *value = g_ptr_array_index(entry->values, i);
        if (rp_revision_same_epoch(value->order.revision, offered->revision)) {
            return false;
        }
    }
    return true;
}

/* Returns whether an offered value is not kept: a greater one takes its place,
 * or its epoch is below those that are kept. */
static bool
is_older(const struct record_entry *entry, const struct record_value *rival,
         const struct rp_record_order *offered)
{
    if (rival != NULL) {
        return rp_record_order_compare(offered, &rival->order) < 0;
    }
    return entry != NULL && has_all_epochs(entry) &&
           rp_revision_epoch(offered->revision) < lowest_epoch(entry);
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
    struct record_entry *entry = g_tree_lookup(set->entries, item->key);
    if (entry != NULL) {
        out->previous = entry->in_force->order;
    }
    struct record_value *known = find_content(entry, &out->offered);
    if (known != NULL) {
        set_order(&out->offered, known->record);
        out->retired = known->record->retired;
        out->verdict = raise_revision(set, entry, known, item->revision);
        return out->verdict;
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
        entry != NULL && is_same_version(&out->previous, &out->offered);
    struct record_value *rival = find_rival(entry, &out->offered);
    if (is_older(entry, rival, &out->offered)) {
        out->verdict = RP_RECORD_OLDER;
        rp_record_free(record);
        return out->verdict;
    }
    if (!has_room(set, entry == NULL, rival, item->value, record, error)) {
        rp_record_free(record);
        return out->verdict;
    }
    bool is_new_key = entry == NULL;
    if (is_new_key) {
        entry = add_entry(set, item->key);
    }
    if (rival != NULL) {
        remove_value(set, entry, rival);
    }
    else if (!is_new_key && is_new_epoch(entry, &out->offered) &&
             has_all_epochs(entry))
    {
        remove_lowest_epoch(set, entry);
    }
    put_value(set, entry, record, item->value, &out->offered);
    out->verdict =
        settle_entry(set, entry, is_new_key ? NULL : &out->previous);
    return out->verdict;
}

/* Returns the value that retires a target or an evacuation which the platform
 * removed at a revision. It has the position of the record in force, so that
 * an older copy of the platform does not bring a target back. The caller
 * unrefs it. NULL when the set has no target or evacuation of that key. */
GBytes *
rp_record_set_format_removal(const struct rp_record_set *set, const char *key,
                             uint64_t revision)
{
    const struct record_entry *entry = g_tree_lookup(set->entries, key);
    if (entry == NULL ||
        (entry->in_force->record->kind != RP_RECORD_TARGET &&
         entry->in_force->record->kind != RP_RECORD_EVACUATION))
    {
        return NULL;
    }
    char *text = rp_record_format_retired(entry->in_force->record,
                                          rp_revision_counter(revision));
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
        *order = entry->in_force->order;
    }
    if (retired != NULL) {
        *retired = entry->in_force->order.retired;
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
    state->each(entry->in_force->record, &entry->in_force->order, state->data);
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

/* Returns the greatest platform revision among the values. */
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

static void
export_value(struct export_state *state, const char *key,
             const struct record_value *value)
{
    uint64_t bytes = g_bytes_get_size(value->bytes) + strlen(key);
    if (state->last == NULL ||
        rp_record_batch_bytes(state->last) + bytes > state->batch_bytes)
    {
        state->last = rp_record_batch_new();
        g_ptr_array_add(state->batches, state->last);
    }
    rp_record_batch_add(state->last, key, value->order.revision, value->bytes);
}

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
    for (guint i = 0; i < entry->values->len; i++) {
        export_value(state, key, g_ptr_array_index(entry->values, i));
    }
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
