#include "member.h"

#include <string.h>
#include <xxhash.h>

#include "member_table.h"
#include "neighbor.h"
#include "vm_list.h"

#define MAX_CHANGES 256
#define MAX_LISTED_VMS RP_MEMBER_LIMIT
#define MAX_SILENCE_FACTOR 8

/* A suspicion is ignored if it is based on a report older than the local one
 * by more than this. Smaller differences arise because a member's heartbeats
 * reach the suspector later. */
#define MAX_REPORT_LAG_NS (4 * RP_MEMBER_HEARTBEAT_NS)

/* A smaller change of a load makes no difference to the choice of addresses
 * (address_answer.c). A changed load is sent with priority to about as many
 * receivers as a member has. */
#define MIN_LOAD_CHANGE_PERMILLE 50
#define LOAD_TRANSMITS 8

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

static uint64_t
hash_domain(const char *domain)
{
    return XXH64(domain, strlen(domain), 0);
}

static void
rebuild_ring(struct rp_member_table *table)
{
    table->overlay->is_outdated = true;
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

/* Returns the overlay of the members that are not dead, by their positions in
 * the ring. It is valid until the table changes. */
const struct rp_overlay *
rp_member_overlay(const struct rp_member_table *table)
{
    struct member_overlay *current = table->overlay;
    if (!current->is_outdated) {
        return current->overlay;
    }
    struct rp_overlay_member *members =
        g_new(struct rp_overlay_member, table->ring->len);
    for (guint i = 0; i < table->ring->len; i++) {
        const struct member_entry *entry = g_ptr_array_index(table->ring, i);
        members[i].hash = entry->hash;
        members[i].domain = entry->domain_hash;
        members[i].can_relay = entry->member.info.state == RP_MEMBER_ALIVE;
    }
    rp_overlay_update(current->overlay, members, table->ring->len,
                      !current->is_single_ring);
    g_free(members);
    current->is_outdated = false;
    return current->overlay;
}

static struct member_entry *
add_entry(struct rp_member_table *table, const struct rp_member_info *info,
          int64_t now_ns)
{
    struct member_entry *entry = g_new0(struct member_entry, 1);
    entry->member.info = *info;
    entry->hash = rp_neighbor_hash(info->id);
    entry->domain_hash = hash_domain(info->domain);
    entry->silence_factor = 1;
    entry->silent_since_ns = now_ns;
    guint insert_index = 0;
    while (insert_index < table->entries->len &&
           compare_entries(&table->entries->pdata[insert_index], &entry) < 0)
    {
        insert_index++;
    }
    g_ptr_array_insert(table->entries, (gint)insert_index, entry);
    g_hash_table_insert(table->by_id, entry->member.info.id, entry);
    rebuild_ring(table);
    return entry;
}

/* Creates a table that contains only this entry VM, alive and starting. random
 * is borrowed. Free the table with rp_member_table_free. */
struct rp_member_table *
rp_member_table_new(const struct rp_identity *identity, GRand *random,
                    int64_t now_ns)
{
    struct rp_member_table *table = g_new0(struct rp_member_table, 1);
    table->random = random;
    table->entries = g_ptr_array_new_with_free_func(free_entry);
    table->by_id = g_hash_table_new(g_str_hash, g_str_equal);
    table->ring = g_ptr_array_new();
    table->overlay = g_new0(struct member_overlay, 1);
    table->overlay->overlay = rp_overlay_new();
    table->outgoing = g_ptr_array_new();
    table->seeds = g_array_new(FALSE, TRUE, RP_ADDRESS_BYTES);
    table->listed_vms = g_array_new(FALSE, TRUE, sizeof(struct rp_vm));
    table->changes = g_array_new(FALSE, TRUE, sizeof(struct rp_member_change));
    table->local_health_changed_ns = now_ns;
    table->grace_until_ns = now_ns;
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
    table->self->member.reported_ns = now_ns;
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
    g_array_unref(table->listed_vms);
    g_array_unref(table->seeds);
    g_ptr_array_unref(table->outgoing);
    rp_overlay_free(table->overlay->overlay);
    g_free(table->overlay);
    g_ptr_array_unref(table->ring);
    g_hash_table_unref(table->by_id);
    g_ptr_array_unref(table->entries);
    g_free(table);
}

/* Keeps all members in one ring, as versions before the division by failure
 * domains do. */
void
rp_member_set_single_ring(struct rp_member_table *table)
{
    table->overlay->is_single_ring = true;
    table->overlay->is_outdated = true;
}

/* Adds a configured peer address through which other members may be found.
 * Returns false when the table already has RP_MEMBER_SEED_LIMIT seeds. */
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

/* Replaces the list of entry VMs with the platform's. Because the list may
 * lag, it never makes a member alive or dead: it only provides addresses to
 * contact, marks members that are leaving, and determines how long dead
 * members are retained. Entries beyond RP_MEMBER_LIMIT are ignored. */
void
rp_member_set_listed_vms(struct rp_member_table *table,
                         const struct rp_vm_list *list)
{
    g_array_set_size(table->listed_vms, 0);
    for (uint32_t i = 0; i < rp_vm_list_count(list); i++) {
        const struct rp_vm *vm = rp_vm_list_get(list, i);
        if (vm->entry && table->listed_vms->len < MAX_LISTED_VMS &&
            strcmp(vm->id, table->self->member.info.id) != 0)
        {
            g_array_append_vals(table->listed_vms, vm, 1);
        }
    }
    for (guint i = 0; i < table->entries->len; i++) {
        struct member_entry *entry = g_ptr_array_index(table->entries, i);
        entry->is_listed = false;
        entry->member.listed_leaving = false;
    }
    for (guint i = 0; i < table->listed_vms->len; i++) {
        const struct rp_vm *vm =
            &g_array_index(table->listed_vms, struct rp_vm, i);
        struct member_entry *entry = rp_member_find_entry(table, vm->id);
        if (entry != NULL) {
            entry->is_listed = true;
            entry->member.listed_leaving = vm->leaving;
        }
    }
}

/* Returns the attributes of this entry VM. */
const struct rp_member_info *
rp_member_self(const struct rp_member_table *table)
{
    return &table->self->member.info;
}

/* Sets the busy share of this entry VM. It is sent with the next heartbeats
 * and gets no priority over other updates. */
void
rp_member_set_load(struct rp_member_table *table, uint32_t load_permille)
{
    struct rp_member_info *info = &table->self->member.info;
    info->load_permille = load_permille;
}

/* Sets the process that may use a part of this entry VM's retry allowance; 0
 * for none. It is sent with the next heartbeats; see budget_loan.h. */
void
rp_member_set_loan(struct rp_member_table *table, uint32_t borrower,
                   uint32_t loan_ppm)
{
    struct rp_member_info *info = &table->self->member.info;
    info->loan_borrower = borrower;
    info->loan_ppm = borrower == 0 ? 0 : loan_ppm;
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
    table->self->transmit_count = 0;
}

/* Sets the configuration phase of this entry VM. */
void
rp_member_set_phase(struct rp_member_table *table, enum rp_config_phase phase)
{
    struct rp_member_info *info = &table->self->member.info;
    if (info->phase != phase) {
        info->phase = phase;
        info->version++;
        table->self->transmit_count = 0;
    }
}

/* Announces that this entry VM is leaving. This cannot be undone within the
 * incarnation. */
void
rp_member_leave(struct rp_member_table *table)
{
    struct rp_member_info *info = &table->self->member.info;
    if (info->state != RP_MEMBER_LEAVING) {
        info->state = RP_MEMBER_LEAVING;
        table->overlay->is_outdated = true;
        info->refutation++;
        table->self->transmit_count = 0;
    }
}

/* Returns the entry with the given id, or NULL. */
struct member_entry *
rp_member_find_entry(const struct rp_member_table *table, const char *id)
{
    return g_hash_table_lookup(table->by_id, id);
}

static void
record_change(struct rp_member_table *table, const struct member_entry *entry,
              bool is_new)
{
    if (table->changes->len == MAX_CHANGES) {
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

/* Changes a member's state, schedules its dissemination and updates the ring.
 * The tolerated silence of a member that was suspected wrongly is doubled. */
void
rp_member_entry_set_state(struct rp_member_table *table,
                          struct member_entry *entry,
                          enum rp_member_state state, int64_t now_ns)
{
    enum rp_member_state old_state = entry->member.info.state;
    if (old_state == state) {
        return;
    }
    entry->member.info.state = state;
    table->overlay->is_outdated = true;
    entry->transmit_count = 0;
    entry->probing = false;
    entry->probe_due = false;
    if (state == RP_MEMBER_SUSPECT) {
        entry->suspect_since_ns = now_ns;
    }
    else if (state == RP_MEMBER_DEAD) {
        entry->dead_since_ns = now_ns;
    }
    else if (old_state == RP_MEMBER_SUSPECT || old_state == RP_MEMBER_DEAD) {
        entry->silence_factor =
            MIN(entry->silence_factor * 2, MAX_SILENCE_FACTOR);
        entry->silence_factor_changed_ns = now_ns;
        entry->suspector_count = 0;
    }
    if (old_state == RP_MEMBER_DEAD || state == RP_MEMBER_DEAD) {
        rebuild_ring(table);
    }
    record_change(table, entry, false);
}

/* Removes a member from the table and frees its entry. */
void
rp_member_entry_remove(struct rp_member_table *table,
                       struct member_entry *entry)
{
    g_ptr_array_set_size(table->outgoing, 0);
    g_hash_table_remove(table->by_id, entry->member.info.id);
    g_ptr_array_remove(table->entries, entry);
    rebuild_ring(table);
}

/* Records a member that suspects this one, unless it is recorded already.
 * Independent suspectors shorten the suspicion timeout (Lifeguard). */
void
rp_member_entry_add_suspector(struct member_entry *entry,
                              uint32_t suspector_hash)
{
    for (uint32_t i = 0; i < entry->suspector_count; i++) {
        if (entry->suspectors[i] == suspector_hash) {
            return;
        }
    }
    if (entry->suspector_count < RP_MEMBER_MAX_SUSPECTORS) {
        entry->suspectors[entry->suspector_count++] = suspector_hash;
        entry->transmit_count = 0;
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
            (oldest == NULL || entry->dead_since_ns < oldest->dead_since_ns))
        {
            oldest = entry;
        }
    }
    if (oldest != NULL) {
        rp_member_entry_remove(table, oldest);
    }
    return oldest != NULL;
}

/* Refutes a suspicion of this entry VM. A suspicion with an older refutation
 * has been refuted already and is ignored. A former process of this VM may
 * have a greater incarnation, if the clock was set back since: this one then
 * takes a still greater incarnation, since members ignore lower ones. */
static bool
refute(struct rp_member_table *table, const struct rp_member_update *update,
       int64_t now_ns)
{
    struct rp_member_info *info = &table->self->member.info;
    if (update->info.incarnation > info->incarnation) {
        info->incarnation = update->info.incarnation + 1;
        table->self->transmit_count = 0;
        return true;
    }
    if (update->info.incarnation != info->incarnation ||
        update->info.refutation < info->refutation ||
        update->info.state <= info->state)
    {
        return false;
    }
    info->refutation = update->info.refutation + 1;
    table->self->transmit_count = 0;
    rp_member_degrade_local_health(table, now_ns);
    return true;
}

/* Returns whether an update is a suspicion of a live member that is based on a
 * report older than the local one by more than MAX_REPORT_LAG_NS. */
static bool
is_outdated_suspicion(const struct member_entry *entry,
                      const struct rp_member_update *update, int64_t now_ns)
{
    int64_t reported_ns = now_ns - (int64_t)update->age_ms * 1000000;
    return update->info.state >= RP_MEMBER_SUSPECT &&
           entry->member.info.state < RP_MEMBER_SUSPECT &&
           reported_ns < entry->member.reported_ns - MAX_REPORT_LAG_NS;
}

static bool
apply_to_same_incarnation(struct rp_member_table *table,
                          struct member_entry *entry,
                          const struct rp_member_update *update,
                          int64_t now_ns)
{
    struct rp_member_info *info = &entry->member.info;
    const struct rp_member_info *reported = &update->info;
    /* A reported death counts as a suspicion until the local suspicion
     * timeout has passed. */
    enum rp_member_state state = MIN(reported->state, RP_MEMBER_SUSPECT);
    bool changed = false;
    if (is_outdated_suspicion(entry, update, now_ns)) {
        return false;
    }
    if (reported->refutation > info->refutation ||
        (reported->refutation == info->refutation && state > info->state))
    {
        if (reported->refutation > info->refutation) {
            /* A suspicion after a refutation is a new one. */
            entry->suspect_since_ns = now_ns;
            entry->suspector_count = 0;
        }
        info->refutation = reported->refutation;
        entry->transmit_count = 0;
        rp_member_entry_set_state(table, entry, state, now_ns);
        changed = true;
    }
    if (reported->refutation == info->refutation &&
        state == RP_MEMBER_SUSPECT && info->state == RP_MEMBER_SUSPECT)
    {
        rp_member_entry_add_suspector(entry, update->suspector_hash);
    }
    return changed;
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

/* Gives a load that has changed priority over loads that have not. */
static void
mark_changed_load(struct member_entry *entry)
{
    uint32_t load = entry->member.info.load_permille;
    uint32_t marked = entry->marked_load_permille;
    if (MAX(load, marked) - MIN(load, marked) >= MIN_LOAD_CHANGE_PERMILLE) {
        entry->marked_load_permille = load;
        entry->load_transmits_left = LOAD_TRANSMITS;
    }
}

static bool
apply_profile(struct rp_member_table *table, struct member_entry *entry,
              const struct rp_member_update *update, int64_t now_ns)
{
    struct rp_member *member = &entry->member;
    int64_t reported_ns = now_ns - (int64_t)update->age_ms * 1000000;
    /* A report that does not refute a suspicion leaves reported_ns as it is;
     * otherwise the suspicion, when forwarded, would appear to be based on
     * this later report. */
    bool unrefuted = member->info.state >= RP_MEMBER_SUSPECT &&
                     update->info.state < RP_MEMBER_SUSPECT;
    if (reported_ns > member->reported_ns && !unrefuted) {
        member->reported_ns = reported_ns;
        member->info.load_permille = update->info.load_permille;
        member->info.loan_borrower = update->info.loan_borrower;
        member->info.loan_ppm = update->info.loan_ppm;
        mark_changed_load(entry);
    }
    if (!update->has_profile || update->info.version <= member->info.version) {
        return false;
    }
    bool changed = !same_profile(&member->info, &update->info);
    struct rp_member_info info = update->info;
    info.state = member->info.state;
    info.refutation = member->info.refutation;
    info.load_permille = member->info.load_permille;
    info.loan_borrower = member->info.loan_borrower;
    info.loan_ppm = member->info.loan_ppm;
    member->info = info;
    entry->domain_hash = hash_domain(info.domain);
    table->overlay->is_outdated = true;
    member->ticket_expires_ns =
        now_ns + (int64_t)update->ticket_ttl_ms * 1000000;
    return changed;
}

static bool
add_member(struct rp_member_table *table,
           const struct rp_member_update *update, int64_t now_ns)
{
    /* A dead member that is not in the table need not be added. */
    if (!update->has_profile || update->info.state == RP_MEMBER_DEAD ||
        !make_room(table))
    {
        return false;
    }
    struct member_entry *entry = add_entry(table, &update->info, now_ns);
    entry->member.reported_ns = now_ns - (int64_t)update->age_ms * 1000000;
    entry->member.ticket_expires_ns =
        now_ns + (int64_t)update->ticket_ttl_ms * 1000000;
    if (update->info.state == RP_MEMBER_SUSPECT) {
        entry->suspect_since_ns = now_ns;
        rp_member_entry_add_suspector(entry, update->suspector_hash);
    }
    for (guint i = 0; i < table->listed_vms->len; i++) {
        const struct rp_vm *vm =
            &g_array_index(table->listed_vms, struct rp_vm, i);
        if (strcmp(vm->id, update->info.id) == 0) {
            entry->is_listed = true;
            entry->member.listed_leaving = vm->leaving;
        }
    }
    record_change(table, entry, true);
    return true;
}

static void
start_incarnation(struct rp_member_table *table, struct member_entry *entry,
                  const struct rp_member_update *update, int64_t now_ns)
{
    struct rp_member_info info = update->info;
    info.state = entry->member.info.state;
    entry->member.info = info;
    entry->domain_hash = hash_domain(info.domain);
    table->overlay->is_outdated = true;
    entry->ring_heartbeats = 0;
    entry->ring_probes = 0;
    entry->answered_probes = 0;
    entry->member.reported_ns = now_ns - (int64_t)update->age_ms * 1000000;
    entry->member.ticket_expires_ns =
        now_ns + (int64_t)update->ticket_ttl_ms * 1000000;
    entry->transmit_count = 0;
    entry->silent_since_ns = now_ns;
    entry->suspector_count = 0;
    entry->probing = false;
    entry->probe_due = false;
    rp_member_entry_set_state(
        table, entry, MIN(update->info.state, RP_MEMBER_SUSPECT), now_ns);
    if (update->info.state >= RP_MEMBER_SUSPECT) {
        rp_member_entry_add_suspector(entry, update->suspector_hash);
    }
    entry->silence_factor = 1; /* does not carry over to a new process */
}

/* Applies an update about a member. The order of arrival does not matter: the
 * table keeps the greatest update by incarnation, refutation and state, and by
 * version for the other attributes. Returns whether the update changed the
 * table and should be disseminated.
 *
 * Das, Gupta, Motivala, "SWIM", 2002. */
bool
rp_member_apply(struct rp_member_table *table,
                const struct rp_member_update *update, int64_t now_ns)
{
    struct member_entry *entry = rp_member_find_entry(table, update->info.id);
    if (entry == NULL) {
        return add_member(table, update, now_ns);
    }
    if (entry == table->self) {
        return refute(table, update, now_ns);
    }
    uint64_t known_incarnation = entry->member.info.incarnation;
    if (update->info.incarnation < known_incarnation) {
        return false;
    }
    if (update->info.incarnation > known_incarnation) {
        if (!update->has_profile) {
            return false;
        }
        start_incarnation(table, entry, update, now_ns);
        return true;
    }
    bool changed = apply_to_same_incarnation(table, entry, update, now_ns);
    if (apply_profile(table, entry, update, now_ns)) {
        entry->transmit_count = 0;
        changed = true;
    }
    return changed;
}

/* Removes the oldest pending change of a member's state and writes it to
 * change. Returns false when there is none. At most 256 are kept. */
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
