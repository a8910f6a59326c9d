#include "hint_pool.h"

#include <string.h>

/* A hint must be newer than the pooled one by this margin. Otherwise the same
 * hint, whose age each member estimates differently, could appear newer each
 * time it is received again. */
#define MIN_NEWER_NS INT64_C(200000000)

struct pooled_hint {
    struct rp_target_hint hint;
    uint32_t transmit_count;
    uint64_t sent_serial;
    uint64_t added_serial;
};

struct rp_hint_pool {
    GHashTable *hints; /* set of struct pooled_hint */
    GPtrArray *outgoing;
    uint32_t outgoing_next;
    uint64_t next_serial;
};

static guint
hash_hint(gconstpointer key)
{
    const struct pooled_hint *pooled = key;
    return g_str_hash(pooled->hint.address) * 31 +
           g_str_hash(pooled->hint.service);
}

static gboolean
equal_hints(gconstpointer a, gconstpointer b)
{
    const struct pooled_hint *left = a;
    const struct pooled_hint *right = b;
    return strcmp(left->hint.address, right->hint.address) == 0 &&
           strcmp(left->hint.service, right->hint.service) == 0;
}

/* Creates an empty pool. Free it with rp_hint_pool_free. */
struct rp_hint_pool *
rp_hint_pool_new(void)
{
    struct rp_hint_pool *pool = g_new0(struct rp_hint_pool, 1);
    pool->hints = g_hash_table_new_full(hash_hint, equal_hints, g_free, NULL);
    pool->outgoing = g_ptr_array_new();
    return pool;
}

/* Frees a pool; NULL is allowed. */
void
rp_hint_pool_free(struct rp_hint_pool *pool)
{
    if (pool == NULL) {
        return;
    }
    g_ptr_array_unref(pool->outgoing);
    g_hash_table_unref(pool->hints);
    g_free(pool);
}

/* Stores a hint in the pool. Returns false when it is too old or not newer
 * than the pooled hint about its target, or when the target is new and the
 * pool is full. */
bool
rp_hint_pool_offer(struct rp_hint_pool *pool,
                   const struct rp_target_hint *hint, int64_t now_ns)
{
    if (now_ns - hint->observed_ns > RP_HINT_MAX_AGE_NS) {
        return false;
    }
    struct pooled_hint key = {.hint = *hint};
    struct pooled_hint *current = g_hash_table_lookup(pool->hints, &key);
    if (current == NULL) {
        if (g_hash_table_size(pool->hints) >= RP_HINT_POOL_LIMIT) {
            return false;
        }
        current = g_new0(struct pooled_hint, 1);
        current->hint = *hint;
        current->added_serial = ++pool->next_serial;
        g_hash_table_add(pool->hints, current);
        return true;
    }
    if (hint->observed_ns < current->hint.observed_ns + MIN_NEWER_NS) {
        return false;
    }
    current->hint = *hint;
    current->transmit_count = 0;
    return true;
}

static int
compare_hints(gconstpointer a, gconstpointer b)
{
    const struct pooled_hint *left = *(struct pooled_hint *const *)a;
    const struct pooled_hint *right = *(struct pooled_hint *const *)b;
    /* Hints that divert calls from a target are sent first. */
    bool left_adverse = left->hint.kind != RP_HINT_LOAD;
    bool right_adverse = right->hint.kind != RP_HINT_LOAD;
    if (left_adverse != right_adverse) {
        return left_adverse ? -1 : 1;
    }
    if (left->transmit_count != right->transmit_count) {
        return left->transmit_count < right->transmit_count ? -1 : 1;
    }
    if (left->sent_serial != right->sent_serial) {
        return left->sent_serial < right->sent_serial ? -1 : 1;
    }
    return left->added_serial < right->added_serial ? -1 : 1;
}

/* Removes expired hints and prepares the hints for one message: those sent
 * fewer than transmit_limit times, in order of priority. With adverse_only,
 * only those that divert calls from a target are sent. */
void
rp_hint_pool_begin(struct rp_hint_pool *pool, uint32_t transmit_limit,
                   bool adverse_only, int64_t now_ns)
{
    GHashTableIter iterator;
    gpointer key;
    g_ptr_array_set_size(pool->outgoing, 0);
    pool->outgoing_next = 0;
    g_hash_table_iter_init(&iterator, pool->hints);
    while (g_hash_table_iter_next(&iterator, &key, NULL)) {
        struct pooled_hint *pooled = key;
        if (now_ns - pooled->hint.observed_ns > RP_HINT_MAX_AGE_NS) {
            g_hash_table_iter_remove(&iterator);
        }
        else if (pooled->transmit_count < transmit_limit &&
                 !(adverse_only && pooled->hint.kind == RP_HINT_LOAD))
        {
            g_ptr_array_add(pool->outgoing, pooled);
        }
    }
    g_ptr_array_sort(pool->outgoing, compare_hints);
}

/* Writes the next hint that rp_hint_pool_begin prepared and counts it as sent.
 * Returns false after the last one. */
bool
rp_hint_pool_next(struct rp_hint_pool *pool, struct rp_target_hint *hint)
{
    if (pool->outgoing_next == pool->outgoing->len) {
        return false;
    }
    struct pooled_hint *pooled =
        g_ptr_array_index(pool->outgoing, pool->outgoing_next++);
    pooled->transmit_count++;
    pooled->sent_serial = ++pool->next_serial;
    *hint = pooled->hint;
    return true;
}

/* Returns the number of targets in the pool. */
uint32_t
rp_hint_pool_count(const struct rp_hint_pool *pool)
{
    return g_hash_table_size(pool->hints);
}
