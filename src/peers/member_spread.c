#include <string.h>

#include "member_table.h"
#include "neighbor.h"
#include "vm_list.h"

/* Dissemination: selects receivers and the updates sent to them. */

/* Each member sends an update this factor times log2 of the member count, so
 * that it reaches all members with high probability (SWIM, section 4.1). */
#define TRANSMIT_FACTOR 3

/* Unchanged addresses and tickets are included in one update in this many. */
#define UPDATES_PER_PROFILE 4

static const struct rp_member_info *
get_info(const struct rp_member_table *table, uint32_t position)
{
    const struct member_entry *entry =
        g_ptr_array_index(table->ring, position);
    return &entry->member.info;
}

/* Writes the members to which this entry VM sends heartbeats and returns their
 * number: the receivers of the overlay, and those of the ring over all members
 * that a former version expects to hear from, where they ask for it. The
 * pointers are valid until the table changes. */
uint32_t
rp_member_neighbors(
    const struct rp_member_table *table,
    const struct rp_member_info *neighbors[RP_MEMBER_RECEIVER_LIMIT],
    int64_t now_ns)
{
    const struct rp_overlay *overlay = rp_member_overlay(table);
    uint32_t positions[RP_OVERLAY_RECEIVER_LIMIT];
    uint32_t self = table->self->position;
    uint32_t count = rp_overlay_receivers(overlay, self, positions);
    for (uint32_t i = 0; i < count; i++) {
        neighbors[i] = get_info(table, positions[i]);
    }
    if (!rp_overlay_is_divided(overlay)) {
        return count;
    }
    uint32_t degree = rp_neighbor_select(table->ring->len, self, positions);
    for (uint32_t i = 0; i < degree; i++) {
        const struct member_entry *entry =
            g_ptr_array_index(table->ring, positions[i]);
        if (!rp_overlay_sends_to(overlay, self, positions[i]) &&
            rp_member_follows_ring(table, entry, now_ns))
        {
            neighbors[count++] = &entry->member.info;
        }
    }
    return count;
}

static void
get_branches(const struct rp_member_table *table,
             const struct rp_neighbor_branch *positions, uint32_t count,
             struct rp_member_branch *branches)
{
    for (uint32_t i = 0; i < count; i++) {
        branches[i].info = get_info(table, positions[i].position);
        branches[i].span = positions[i].span;
    }
}

/* Writes the members to which this entry VM forwards a broadcast for span
 * members in one direction of the ring over all members, and returns their
 * number. The pointers are valid until the table changes. */
uint32_t
rp_member_ring_branches(const struct rp_member_table *table, uint32_t span,
                        bool backward,
                        struct rp_member_branch branches[RP_NEIGHBOR_LIMIT])
{
    struct rp_neighbor_branch positions[RP_NEIGHBOR_LIMIT];
    uint32_t count = rp_neighbor_branches(
        table->ring->len, table->self->position, span, backward, positions);
    get_branches(table, positions, count, branches);
    return count;
}

/* As rp_member_ring_branches, for the ring of the own failure domain. Without
 * a division by domains both rings are the same. */
uint32_t
rp_member_domain_branches(const struct rp_member_table *table, uint32_t span,
                          bool backward,
                          struct rp_member_branch branches[RP_NEIGHBOR_LIMIT])
{
    struct rp_neighbor_branch positions[RP_NEIGHBOR_LIMIT];
    uint32_t count =
        rp_overlay_branches(rp_member_overlay(table), table->self->position,
                            span, backward, positions);
    get_branches(table, positions, count, branches);
    return count;
}

/* Writes the relay of the given rank in each other failure domain, with the
 * size of the domain as its span, and returns their number, 0 without a
 * division by domains. The pointers are valid until the table changes. */
uint32_t
rp_member_entry_points(
    const struct rp_member_table *table, uint32_t rank,
    struct rp_member_branch entry_points[RP_OVERLAY_MAX_DOMAINS])
{
    struct rp_neighbor_branch positions[RP_OVERLAY_MAX_DOMAINS];
    uint32_t count = rp_overlay_entry_points(
        rp_member_overlay(table), table->self->position, rank, positions);
    get_branches(table, positions, count, entry_points);
    return count;
}

/* Returns whether the live members are divided by failure domains
 * (overlay.h). */
bool
rp_member_is_divided(const struct rp_member_table *table)
{
    return rp_overlay_is_divided(rp_member_overlay(table));
}

/* Returns whether this entry VM is a relay of its failure domain. */
bool
rp_member_is_relay(const struct rp_member_table *table)
{
    return rp_overlay_is_relay(rp_member_overlay(table),
                               table->self->position);
}

/* Returns the failure domain of the VM with a peer address, "" when it is
 * unknown: seeds have none. */
static const char *
find_domain(const struct rp_member_table *table, const char *address)
{
    for (guint i = 0; i < table->entries->len; i++) {
        const struct member_entry *entry =
            g_ptr_array_index(table->entries, i);
        if (strcmp(entry->member.info.peer_address, address) == 0) {
            return entry->member.info.domain;
        }
    }
    for (guint i = 0; i < table->listed_vms->len; i++) {
        const struct rp_vm *vm =
            &g_array_index(table->listed_vms, struct rp_vm, i);
        if (strcmp(vm->peer, address) == 0) {
            return vm->domain;
        }
    }
    return "";
}

/* Returns whether the VM with a peer address is in another failure domain than
 * this one. An unknown domain counts as another one. */
bool
rp_member_is_remote_address(const struct rp_member_table *table,
                            const char *address)
{
    return strcmp(find_domain(table, address),
                  table->self->member.info.domain) != 0;
}

static bool
is_live_address(const struct rp_member_table *table, const char *address)
{
    for (guint i = 0; i < table->ring->len; i++) {
        struct member_entry *entry = g_ptr_array_index(table->ring, i);
        if (strcmp(entry->member.info.peer_address, address) == 0) {
            return true;
        }
    }
    return false;
}

/* Writes a random address of a VM that may be running although it is not a
 * live member: a seed, an entry of the platform's list or a dead member. This
 * lets the sides of a healed partition find each other. Returns false when
 * there is no such address. */
bool
rp_member_random_contact(struct rp_member_table *table,
                         char address[RP_ADDRESS_BYTES])
{
    uint32_t candidate_count = 0;
    for (guint i = 0; i < table->seeds->len + table->listed_vms->len; i++) {
        const char *candidate =
            i < table->seeds->len
                ? table->seeds->data + (gsize)i * RP_ADDRESS_BYTES
                : g_array_index(table->listed_vms, struct rp_vm,
                                i - table->seeds->len)
                      .peer;
        if (candidate[0] != '\0' && !is_live_address(table, candidate) &&
            g_rand_int_range(table->random, 0, (gint32)++candidate_count) == 0)
        {
            g_strlcpy(address, candidate, RP_ADDRESS_BYTES);
        }
    }
    for (guint i = 0; i < table->entries->len; i++) {
        struct member_entry *entry = g_ptr_array_index(table->entries, i);
        if (entry->member.info.state == RP_MEMBER_DEAD &&
            g_rand_int_range(table->random, 0, (gint32)++candidate_count) == 0)
        {
            g_strlcpy(address, entry->member.info.peer_address,
                      RP_ADDRESS_BYTES);
        }
    }
    return candidate_count > 0;
}

static int
compare_outgoing(gconstpointer a, gconstpointer b)
{
    const struct member_entry *left = *(struct member_entry *const *)a;
    const struct member_entry *right = *(struct member_entry *const *)b;
    if (left->priority != right->priority) {
        return left->priority < right->priority ? -1 : 1;
    }
    if (left->transmit_count != right->transmit_count) {
        return left->transmit_count < right->transmit_count ? -1 : 1;
    }
    if (left->sent_serial != right->sent_serial) {
        return left->sent_serial < right->sent_serial ? -1 : 1;
    }
    return 0;
}

/* Returns the priority of an update in a divided fleet, which is large: first
 * suspicions, their refutations, deaths and departures, then in turn changed
 * loads and other news. After a start of the whole fleet the members that
 * joined fill the heartbeats for a minute, and loads would wait behind them.
 */
static uint32_t
update_priority(const struct rp_member_table *table,
                const struct member_entry *entry)
{
    const struct rp_member_info *info = &entry->member.info;
    bool is_news = entry->transmit_count < table->transmit_limit;
    bool has_changed_load = entry->load_transmits_left > 0;
    if (is_news && (info->state != RP_MEMBER_ALIVE || info->refutation > 0)) {
        return 0;
    }
    if (table->loads_first ? has_changed_load : is_news) {
        return 1;
    }
    return has_changed_load || is_news ? 2 : 3;
}

/* Prepares the updates for one message: first this entry VM, then the receiver
 * if it is suspect or dead and must refute that, then recent updates, then the
 * remaining members in rotation. receiver_id is "" when it is unknown;
 * with_profiles adds the profile to each update. */
void
rp_member_begin_updates(struct rp_member_table *table, const char *receiver_id,
                        bool with_profiles)
{
    table->transmit_limit =
        TRANSMIT_FACTOR * MAX(1, rp_neighbor_degree(table->entries->len));
    table->outgoing_with_profiles = with_profiles;
    bool is_divided = rp_member_is_divided(table);
    table->loads_first = !table->loads_first;
    g_ptr_array_set_size(table->outgoing, 0);
    for (guint i = 0; i < table->entries->len; i++) {
        struct member_entry *entry = g_ptr_array_index(table->entries, i);
        /* Entries past the limit share one class and are sent in rotation. */
        entry->transmit_count =
            MIN(entry->transmit_count, table->transmit_limit);
        entry->priority = is_divided ? update_priority(table, entry) : 0;
        if (entry != table->self) {
            g_ptr_array_add(table->outgoing, entry);
        }
    }
    g_ptr_array_sort(table->outgoing, compare_outgoing);
    struct member_entry *receiver = rp_member_find_entry(table, receiver_id);
    if (receiver != NULL && receiver != table->self &&
        receiver->member.info.state >= RP_MEMBER_SUSPECT &&
        g_ptr_array_remove(table->outgoing, receiver))
    {
        g_ptr_array_insert(table->outgoing, 0, receiver);
    }
    g_ptr_array_insert(table->outgoing, 0, table->self);
    table->outgoing_next = 0;
}

static uint32_t
clamp_ms(int64_t ns)
{
    return (uint32_t)CLAMP(ns / 1000000, 0, G_MAXINT32);
}

/* Writes the next update of the message that rp_member_begin_updates prepared
 * and counts it as sent. Returns false after the last one. During the grace
 * period after a pause of this process, suspect and dead members are skipped
 * until they have been probed again. */
bool
rp_member_next_update(struct rp_member_table *table, int64_t now_ns,
                      struct rp_member_update *update)
{
    while (table->outgoing_next < table->outgoing->len) {
        struct member_entry *entry =
            g_ptr_array_index(table->outgoing, table->outgoing_next++);
        struct rp_member *member = &entry->member;
        if (now_ns < table->grace_until_ns &&
            member->info.state >= RP_MEMBER_SUSPECT) {
            continue;
        }
        if (entry == table->self) {
            member->reported_ns = now_ns;
        }
        update->info = member->info;
        update->has_profile =
            table->outgoing_with_profiles ||
            entry->transmit_count < table->transmit_limit ||
            g_rand_int_range(table->random, 0, UPDATES_PER_PROFILE) == 0;
        update->age_ms = clamp_ms(now_ns - member->reported_ns);
        update->ticket_ttl_ms = clamp_ms(member->ticket_expires_ns - now_ns);
        update->suspector_hash =
            entry->suspector_count == 0
                ? 0
                : entry->suspectors[entry->transmit_count %
                                    entry->suspector_count];
        entry->transmit_count++;
        if (entry->load_transmits_left > 0) {
            entry->load_transmits_left--;
        }
        entry->sent_serial = ++table->next_sent_serial;
        return true;
    }
    return false;
}

/* Writes the peer addresses of listed entry VMs that are not leaving, or of
 * the seeds if the list is empty, and returns their number. The pointers are
 * valid until the list or the seeds change. */
uint32_t
rp_member_contacts(const struct rp_member_table *table, const char **addresses,
                   uint32_t limit)
{
    uint32_t count = 0;
    for (guint i = 0; i < table->listed_vms->len && count < limit; i++) {
        const struct rp_vm *vm =
            &g_array_index(table->listed_vms, struct rp_vm, i);
        if (!vm->leaving && vm->peer[0] != '\0') {
            addresses[count++] = vm->peer;
        }
    }
    if (table->listed_vms->len > 0) {
        return count;
    }
    while (count < MIN(table->seeds->len, limit)) {
        addresses[count] =
            table->seeds->data + (gsize)count * RP_ADDRESS_BYTES;
        count++;
    }
    return count;
}

/* Writes the peer addresses of the other live members of the own failure
 * domain and returns their number. The pointers are valid until the table
 * changes. */
uint32_t
rp_member_near(const struct rp_member_table *table, const char **addresses,
               uint32_t limit)
{
    uint32_t count = 0;
    for (guint i = 0; i < table->ring->len && count < limit; i++) {
        const struct member_entry *entry = g_ptr_array_index(table->ring, i);
        if (entry != table->self &&
            entry->domain_hash == table->self->domain_hash) {
            addresses[count++] = entry->member.info.peer_address;
        }
    }
    return count;
}
