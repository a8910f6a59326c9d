#include <string.h>
#include <xxhash.h>

#include "member_table.h"

static const char *const state_names[RP_MEMBER_STATE_COUNT] = {
    "alive", "leaving", "suspect", "dead"};

static const char *const phase_names[(RP_CONFIG_IN_FORCE + 1)] = {
    "starting", "provisional", "in-force"};

/* Returns the attributes of a member, or NULL when it is not in the table. */
const struct rp_member_info *
rp_member_find(const struct rp_member_table *table, const char *id)
{
    struct member_entry *entry = rp_member_find_entry(table, id);
    return entry == NULL ? NULL : &entry->member.info;
}

/* Returns the number of members in a state, including this entry VM. */
uint32_t
rp_member_count(const struct rp_member_table *table,
                enum rp_member_state state)
{
    uint32_t count = 0;
    for (guint i = 0; i < table->entries->len; i++) {
        struct member_entry *entry = g_ptr_array_index(table->entries, i);
        count += entry->member.info.state == state;
    }
    return count;
}

/* Returns Lifeguard's local health multiplier: 0 when this process is healthy,
 * up to 8 when its own slowness may explain the silence of other members. */
uint32_t
rp_member_local_health(const struct rp_member_table *table)
{
    return table->local_health;
}

/* Returns a digest of all members that are not dead. Tables with equal ids,
 * incarnations, refutations and states have equal digests. */
uint64_t
rp_member_digest(const struct rp_member_table *table)
{
    uint64_t digest = 0;
    for (guint i = 0; i < table->ring->len; i++) {
        struct member_entry *entry = g_ptr_array_index(table->ring, i);
        const struct rp_member_info *info = &entry->member.info;
        uint64_t words[] = {entry->hash, info->incarnation, info->refutation,
                            (uint64_t)info->state};
        digest += XXH64(words, sizeof(words), 0);
    }
    return digest;
}

static int
compare_ids(const void *a, const void *b)
{
    const struct rp_member *left = a;
    const struct rp_member *right = b;
    return strcmp(left->info.id, right->info.id);
}

/* Creates an immutable copy of the table. The caller owns one reference. */
struct rp_member_view *
rp_member_view_new(const struct rp_member_table *table)
{
    struct rp_member_view *view = g_malloc(
        sizeof(*view) + table->entries->len * sizeof(view->members[0]));
    const struct rp_overlay *overlay = rp_member_overlay(table);
    g_ref_count_init(&view->references);
    view->digest = rp_member_digest(table);
    view->count = table->entries->len;
    for (guint i = 0; i < table->entries->len; i++) {
        struct member_entry *entry = g_ptr_array_index(table->entries, i);
        view->members[i] = entry->member;
        view->members[i].is_relay =
            entry->member.info.state != RP_MEMBER_DEAD &&
            rp_overlay_is_relay(overlay, entry->position);
    }
    qsort(view->members, view->count, sizeof(view->members[0]), compare_ids);
    return view;
}

/* Adds a reference and returns the view. */
struct rp_member_view *
rp_member_view_ref(struct rp_member_view *view)
{
    g_ref_count_inc(&view->references);
    return view;
}

/* Releases a reference; the last one frees the view. NULL is allowed. */
void
rp_member_view_unref(struct rp_member_view *view)
{
    if (view != NULL && g_ref_count_dec(&view->references)) {
        g_free(view);
    }
}

/* Returns the member with the given id, or NULL. */
const struct rp_member *
rp_member_view_find(const struct rp_member_view *view, const char *id)
{
    uint32_t low = 0;
    uint32_t high = view->count;
    while (low < high) {
        uint32_t middle = low + (high - low) / 2;
        int order = strcmp(id, view->members[middle].info.id);
        if (order == 0) {
            return &view->members[middle];
        }
        if (order < 0) {
            high = middle;
        }
        else {
            low = middle + 1;
        }
    }
    return NULL;
}

/* Releases the reference in the body of an RP_MSG_MEMBERS message. */
void
rp_member_message_release(void *body)
{
    struct rp_member_message *message = body;
    rp_member_view_unref(message->view);
}

/* Returns the name of a state as shown in status. */
const char *
rp_member_state_name(enum rp_member_state state)
{
    return state_names[state];
}

/* Returns the name of a phase as shown in status. */
const char *
rp_member_phase_name(enum rp_config_phase phase)
{
    return phase_names[phase];
}
