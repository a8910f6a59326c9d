#include "member.h"

#include <string.h>

#include "member_table.h"
#include "neighbor.h"
#include "vm_list.h"

#define CHANGE_LIMIT 256
#define LISTED_LIMIT RP_MEMBER_LIMIT
#define PATIENCE_MAX 8

/* Heartbeats of others that may still be under way to an accuser. */
#define FRESHER_NS (4 * RP_MEMBER_HEARTBEAT_NS)

static void
free_entry(gpointer data)
{
    g_free(data);
}

static int
compare_entries(gconstpointer a, gconstpointer b)
{
    const struct member_entry *left = *(struct member_entry *const *)a;
    const struct member_entry *right = *(struct member_entry *const *)b;
    if (left->hash != right->hash) {
        return left->hash < right->hash ? -1 : 1;
    }
    return strcmp(left->member.info.id, right->member.info.id);
}

static void
rebuild_ring(struct rp_member_table *table)
{
    g_ptr_array_set_size(table->ring, 0);
    for (guint i = 0; i < table->entries->len; i++) {
        struct member_entry *entry = g_ptr_array_index(table->entries, i);
        if (entry->member.info.state == RP_MEMBER_DEAD) {
            entry->position = UINT32_MAX;
            continue;
        }
        entry->position = table->ring->len;
        g_ptr_array_add(table->ring, entry);
    }
}

static struct member_entry *
add_entry(struct rp_member_table *table, const struct rp_member_info *info,
          int64_t now_ns)
{
    struct member_entry *entry = g_new0(struct member_entry, 1);
    entry->member.info = *info;
    entry->hash = rp_neighbor_hash(info->id);
    entry->patience = 1;
    entry->expect_ns = now_ns;
    guint place = 0;
    while (place < table->entries->len &&
           compare_entries(&table->entries->pdata[place], &entry) < 0)
    {
        place++;
    }
    g_ptr_array_insert(table->entries, (gint)place, entry);
    g_hash_table_insert(table->by_id, entry->member.info.id, entry);
    rebuild_ring(table);
    return entry;
}

/* Creates a table that knows only this entry VM, alive and starting. random
 * is borrowed. Free it with rp_member_table_free. */
struct rp_member_table *
rp_member_table_new(const struct rp_identity *identity, GRand *random,
                    int64_t now_ns)
{
    struct rp_member_table *table = g_new0(struct rp_member_table, 1);
    table->random = random;
    table->entries = g_ptr_array_new_with_free_func(free_entry);
    table->by_id = g_hash_table_new(g_str_hash, g_str_equal);
    table->ring = g_ptr_array_new();
    table->outgoing = g_ptr_array_new();
    table->seeds = g_array_new(FALSE, TRUE, RP_ADDRESS_BYTES);
    table->listed = g_array_new(FALSE, TRUE, sizeof(struct rp_vm));
    table->changes = g_array_new(FALSE, TRUE, sizeof(struct rp_member_change));
    table->health_ns = now_ns;
    table->quiet_until_ns = now_ns;
    struct rp_member_info info = {
        .incarnation = identity->incarnation,
        .capacity_permille = identity->capacity_permille,
        .version = 1,
        .state = RP_MEMBER_ALIVE,
        .phase = RP_CONFIG_STARTING,
    };
    g_strlcpy(info.id, identity->id, sizeof(info.id));
    g_strlcpy(info.domain, identity->domain, sizeof(info.domain));
    g_strlcpy(info.address, identity->address, sizeof(info.address));
    g_strlcpy(info.peer_address, identity->peer_address,
              sizeof(info.peer_address));
    table->self = add_entry(table, &info, now_ns);
    table->self->member.is_self = true;
    table->self->member.heard_ns = now_ns;
    return table;
}

/* Frees a table; NULL is allowed. */
void
rp_member_table_free(struct rp_member_table *table)
{
    if (table == NULL) {
        return;
    }
    g_array_unref(table->changes);
    g_array_unref(table->listed);
    g_array_unref(table->seeds);
    g_ptr_array_unref(table->outgoing);
    g_ptr_array_unref(table->ring);
    g_hash_table_unref(table->by_id);
    g_ptr_array_unref(table->entries);
    g_free(table);
}

/* Adds a peer address from the settings at which other members may be found.
 * Returns false when there are RP_MEMBER_SEED_LIMIT already. */
bool
rp_member_add_seed(struct rp_member_table *table, const char *peer_address)
{
    if (table->seeds->len == RP_MEMBER_SEED_LIMIT) {
        return false;
    }
    char address[RP_ADDRESS_BYTES] = "";
    g_strlcpy(address, peer_address, sizeof(address));
    g_array_append_val(table->seeds, address);
    return true;
}

/* Takes over the platform's list of VMs. It lags: it never makes a member
 * alive or dead, it only says whom else to contact, who is leaving and who
 * need not be remembered. Entries past the limit are left out. */
void
rp_member_set_listed(struct rp_member_table *table,
                     const struct rp_vm_list *list)
{
    g_array_set_size(table->listed, 0);
    for (uint32_t i = 0; i < rp_vm_list_count(list); i++) {
        const struct rp_vm *vm = rp_vm_list_get(list, i);
        if (vm->entry && table->listed->len < LISTED_LIMIT &&
            strcmp(vm->id, table->self->member.info.id) != 0)
        {
            g_array_append_vals(table->listed, vm, 1);
        }
    }
    for (guint i = 0; i < table->entries->len; i++) {
        struct member_entry *entry = g_ptr_array_index(table->entries, i);
        entry->listed = false;
        entry->member.listed_leaving = false;
    }
    for (guint i = 0; i < table->listed->len; i++) {
        const struct rp_vm *vm =
            &g_array_index(table->listed, struct rp_vm, i);
        struct member_entry *entry = rp_member_entry(table, vm->id);
        if (entry != NULL) {
            entry->listed = true;
            entry->member.listed_leaving = vm->leaving;
        }
    }
}

/* Returns what this entry VM says about itself. */
const struct rp_member_info *
rp_member_self(const struct rp_member_table *table)
{
    return &table->self->member.info;
}

/* Sets the busy share of this entry VM. It travels with the next heartbeats
 * and is not spread ahead of other news. */
void
rp_member_set_load(struct rp_member_table *table, uint32_t load_permille)
{
    struct rp_member_info *info = &table->self->member.info;
    info->load_permille = load_permille;
}

/* Sets the ticket prefix that other entry VMs may hand out for this one. */
void
rp_member_set_ticket(struct rp_member_table *table, const char *prefix,
                     int64_t expires_ns)
{
    struct rp_member *self = &table->self->member;
    g_strlcpy(self->info.ticket_prefix, prefix,
              sizeof(self->info.ticket_prefix));
    self->ticket_expires_ns = expires_ns;
    self->info.version++;
    table->self->transmits = 0;
}

/* Sets how far the start of this entry VM is. */
void
rp_member_set_phase(struct rp_member_table *table, enum rp_config_phase phase)
{
    struct rp_member_info *info = &table->self->member.info;
    if (info->phase != phase) {
        info->phase = phase;
        info->version++;
        table->self->transmits = 0;
    }
}

/* Announces that this entry VM is leaving; there is no way back within the
 * incarnation. */
void
rp_member_leave(struct rp_member_table *table)
{
    struct rp_member_info *info = &table->self->member.info;
    if (info->state != RP_MEMBER_LEAVING) {
        info->state = RP_MEMBER_LEAVING;
        info->refutation++;
        table->self->transmits = 0;
    }
}

/* Returns the entry of that id, or NULL. */
struct member_entry *
rp_member_entry(const struct rp_member_table *table, const char *id)
{
    return g_hash_table_lookup(table->by_id, id);
}

static void
note_change(struct rp_member_table *table, const struct member_entry *entry,
            bool is_new)
{
    if (table->changes->len == CHANGE_LIMIT) {
        g_array_remove_index(table->changes, 0);
    }
    struct rp_member_change change = {
        .incarnation = entry->member.info.incarnation,
        .state = entry->member.info.state,
        .is_new = is_new,
    };
    g_strlcpy(change.id, entry->member.info.id, sizeof(change.id));
    g_array_append_val(table->changes, change);
}

/* Changes a member's state, with all that follows: news to spread, the ring
 * of the neighbour rule, patience with a member that was suspected wrongly. */
void
rp_member_entry_set_state(struct rp_member_table *table,
                          struct member_entry *entry,
                          enum rp_member_state state, int64_t now_ns)
{
    enum rp_member_state old = entry->member.info.state;
    if (old == state) {
        return;
    }
    entry->member.info.state = state;
    entry->transmits = 0;
    entry->probing = false;
    entry->probe_wanted = false;
    if (state == RP_MEMBER_SUSPECT) {
        entry->suspect_ns = now_ns;
    }
    else if (state == RP_MEMBER_DEAD) {
        entry->dead_ns = now_ns;
    }
    else if (old == RP_MEMBER_SUSPECT || old == RP_MEMBER_DEAD) {
        entry->patience = MIN(entry->patience * 2, PATIENCE_MAX);
        entry->patience_ns = now_ns;
        entry->accuser_count = 0;
    }
    if (old == RP_MEMBER_DEAD || state == RP_MEMBER_DEAD) {
        rebuild_ring(table);
    }
    note_change(table, entry, false);
}

/* Removes a member from the table; it is freed. */
void
rp_member_entry_remove(struct rp_member_table *table,
                       struct member_entry *entry)
{
    g_ptr_array_set_size(table->outgoing, 0);
    g_hash_table_remove(table->by_id, entry->member.info.id);
    g_ptr_array_remove(table->entries, entry);
    rebuild_ring(table);
}

/* Adds one of those who say that they do not hear a suspect. Independent
 * accusers shorten the suspicion (Lifeguard). */
void
rp_member_entry_accuse(struct member_entry *entry, uint32_t accuser_hash)
{
    for (uint32_t i = 0; i < entry->accuser_count; i++) {
        if (entry->accusers[i] == accuser_hash) {
            return;
        }
    }
    if (entry->accuser_count < RP_MEMBER_ACCUSERS) {
        entry->accusers[entry->accuser_count++] = accuser_hash;
        entry->transmits = 0;
    }
}

static bool
make_room(struct rp_member_table *table)
{
    if (table->entries->len < RP_MEMBER_LIMIT) {
        return true;
    }
    struct member_entry *oldest = NULL;
    for (guint i = 0; i < table->entries->len; i++) {
        struct member_entry *entry = g_ptr_array_index(table->entries, i);
        if (entry->member.info.state == RP_MEMBER_DEAD &&
            (oldest == NULL || entry->dead_ns < oldest->dead_ns))
        {
            oldest = entry;
        }
    }
    if (oldest != NULL) {
        rp_member_entry_remove(table, oldest);
    }
    return oldest != NULL;
}

/* Contradicts a suspicion of this entry VM. One that comes round again with
 * an older refutation was answered already. */
static bool
refute(struct rp_member_table *table, const struct rp_member_update *update,
       int64_t now_ns)
{
    struct rp_member_info *info = &table->self->member.info;
    if (update->info.incarnation != info->incarnation ||
        update->info.refutation < info->refutation ||
        update->info.state <= info->state)
    {
        return false;
    }
    info->refutation = update->info.refutation + 1;
    table->self->transmits = 0;
    rp_member_worsen_health(table, now_ns);
    return true;
}

/* Returns whether this VM knows of signs of life so much later than those
 * that an accusation rests on that it need not be believed. */
static bool
outdated_accusation(const struct member_entry *entry,
                    const struct rp_member_update *update, int64_t now_ns)
{
    int64_t said_ns = now_ns - (int64_t)update->age_ms * 1000000;
    return update->info.state >= RP_MEMBER_SUSPECT &&
           entry->member.info.state < RP_MEMBER_SUSPECT &&
           said_ns < entry->member.heard_ns - FRESHER_NS;
}

static bool
about_same_incarnation(struct rp_member_table *table,
                       struct member_entry *entry,
                       const struct rp_member_update *update, int64_t now_ns)
{
    struct rp_member_info *info = &entry->member.info;
    const struct rp_member_info *said = &update->info;
    /* A death is a suspicion here until the own suspicion time is over. */
    enum rp_member_state state = MIN(said->state, RP_MEMBER_SUSPECT);
    bool news = false;
    if (outdated_accusation(entry, update, now_ns)) {
        return false;
    }
    if (said->refutation > info->refutation ||
        (said->refutation == info->refutation && state > info->state))
    {
        if (said->refutation > info->refutation) {
            /* A suspicion after a refutation is a new one. */
            entry->suspect_ns = now_ns;
            entry->accuser_count = 0;
        }
        info->refutation = said->refutation;
        entry->transmits = 0;
        rp_member_entry_set_state(table, entry, state, now_ns);
        news = true;
    }
    if (said->refutation == info->refutation && state == RP_MEMBER_SUSPECT &&
        info->state == RP_MEMBER_SUSPECT)
    {
        rp_member_entry_accuse(entry, update->suspector_hash);
    }
    return news;
}

static bool
same_profile(const struct rp_member_info *a, const struct rp_member_info *b)
{
    return a->phase == b->phase &&
           strcmp(a->ticket_prefix, b->ticket_prefix) == 0 &&
           strcmp(a->address, b->address) == 0 &&
           strcmp(a->peer_address, b->peer_address) == 0 &&
           strcmp(a->domain, b->domain) == 0;
}

static bool
take_profile(struct member_entry *entry, const struct rp_member_update *update,
             int64_t now_ns)
{
    struct rp_member *member = &entry->member;
    int64_t said_ns = now_ns - (int64_t)update->age_ms * 1000000;
    /* Signs of life that a suspect has not refuted the suspicion with do not
     * count, or the suspicion would seem to rest on them when passed on. */
    bool unrefuted = member->info.state >= RP_MEMBER_SUSPECT &&
                     update->info.state < RP_MEMBER_SUSPECT;
    if (said_ns > member->heard_ns && !unrefuted) {
        member->heard_ns = said_ns;
        member->info.load_permille = update->info.load_permille;
    }
    if (!update->has_profile || update->info.version <= member->info.version) {
        return false;
    }
    bool news = !same_profile(&member->info, &update->info);
    struct rp_member_info info = update->info;
    info.state = member->info.state;
    info.refutation = member->info.refutation;
    info.load_permille = member->info.load_permille;
    member->info = info;
    member->ticket_expires_ns =
        now_ns + (int64_t)update->ticket_ttl_ms * 1000000;
    return news;
}

static bool
add_member(struct rp_member_table *table,
           const struct rp_member_update *update, int64_t now_ns)
{
    /* A member that is dead and not known here needs no memory. */
    if (!update->has_profile || update->info.state == RP_MEMBER_DEAD ||
        !make_room(table))
    {
        return false;
    }
    struct member_entry *entry = add_entry(table, &update->info, now_ns);
    entry->member.heard_ns = now_ns - (int64_t)update->age_ms * 1000000;
    entry->member.ticket_expires_ns =
        now_ns + (int64_t)update->ticket_ttl_ms * 1000000;
    if (update->info.state == RP_MEMBER_SUSPECT) {
        entry->suspect_ns = now_ns;
        rp_member_entry_accuse(entry, update->suspector_hash);
    }
    for (guint i = 0; i < table->listed->len; i++) {
        const struct rp_vm *vm =
            &g_array_index(table->listed, struct rp_vm, i);
        if (strcmp(vm->id, update->info.id) == 0) {
            entry->listed = true;
            entry->member.listed_leaving = vm->leaving;
        }
    }
    note_change(table, entry, true);
    return true;
}

static void
start_incarnation(struct rp_member_table *table, struct member_entry *entry,
                  const struct rp_member_update *update, int64_t now_ns)
{
    struct rp_member_info info = update->info;
    info.state = entry->member.info.state;
    entry->member.info = info;
    entry->member.heard_ns = now_ns - (int64_t)update->age_ms * 1000000;
    entry->member.ticket_expires_ns =
        now_ns + (int64_t)update->ticket_ttl_ms * 1000000;
    entry->transmits = 0;
    entry->expect_ns = now_ns;
    entry->accuser_count = 0;
    entry->probing = false;
    entry->probe_wanted = false;
    rp_member_entry_set_state(
        table, entry, MIN(update->info.state, RP_MEMBER_SUSPECT), now_ns);
    if (update->info.state >= RP_MEMBER_SUSPECT) {
        rp_member_entry_accuse(entry, update->suspector_hash);
    }
    entry->patience = 1; /* a new process has no history */
}

/* Takes over a statement about a member. The order of arrival does not
 * matter: what is known is the greatest of all statements by incarnation,
 * refutation and state, and by version for the rest. Returns whether it was
 * news that should be spread.
 *
 * Das, Gupta, Motivala, "SWIM", 2002. */
bool
rp_member_apply(struct rp_member_table *table,
                const struct rp_member_update *update, int64_t now_ns)
{
    struct member_entry *entry = rp_member_entry(table, update->info.id);
    if (entry == NULL) {
        return add_member(table, update, now_ns);
    }
    if (entry == table->self) {
        return refute(table, update, now_ns);
    }
    uint64_t known = entry->member.info.incarnation;
    if (update->info.incarnation < known) {
        return false;
    }
    if (update->info.incarnation > known) {
        if (!update->has_profile) {
            return false;
        }
        start_incarnation(table, entry, update, now_ns);
        return true;
    }
    bool news = about_same_incarnation(table, entry, update, now_ns);
    if (take_profile(entry, update, now_ns)) {
        entry->transmits = 0;
        news = true;
    }
    return news;
}

/* Takes the oldest change of a member's state that was not taken yet. At
 * most 256 are kept. */
bool
rp_member_next_change(struct rp_member_table *table,
                      struct rp_member_change *change)
{
    if (table->changes->len == 0) {
        return false;
    }
    *change = g_array_index(table->changes, struct rp_member_change, 0);
    g_array_remove_index(table->changes, 0);
    return true;
}
