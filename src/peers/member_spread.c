#include <string.h>

#include "member_table.h"
#include "neighbor.h"
#include "vm_list.h"

/* Whom this member sends to, and what about. */

/* Each piece of news is sent this often times log2 of the members by each of
 * them (SWIM, section 4.1), after which it is known everywhere. */
#define TRANSMIT_FACTOR 3

/* Addresses and tickets that are no news go with one update in this many. */
#define PROFILE_EVERY 4

/* Writes the members that this one sends heartbeats to and returns their
 * number. The pointers are valid until the table changes. */
uint32_t
rp_member_neighbors(const struct rp_member_table *table,
                    const struct rp_member_info **neighbors, uint32_t limit)
{
    uint32_t positions[RP_NEIGHBOR_LIMIT];
    uint32_t count =
        rp_neighbor_select(table->ring->len, table->self->position, positions);
    count = MIN(count, limit);
    for (uint32_t i = 0; i < count; i++) {
        struct member_entry *entry =
            g_ptr_array_index(table->ring, positions[i]);
        neighbors[i] = &entry->member.info;
    }
    return count;
}

/* Writes the members to which this one passes on what it has for span members
 * in one direction, and returns their number. */
uint32_t
rp_member_branches(const struct rp_member_table *table, uint32_t span,
                   bool backward, struct rp_member_branch *branches,
                   uint32_t limit)
{
    struct rp_neighbor_branch positions[RP_NEIGHBOR_LIMIT];
    uint32_t count = rp_neighbor_branches(
        table->ring->len, table->self->position, span, backward, positions);
    count = MIN(count, limit);
    for (uint32_t i = 0; i < count; i++) {
        struct member_entry *entry =
            g_ptr_array_index(table->ring, positions[i].position);
        branches[i].info = &entry->member.info;
        branches[i].span = positions[i].span;
    }
    return count;
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

/* Chooses at random the address of a VM that may be there though it is not
 * known to be: a seed, one of the platform's list, or a dead member. Without
 * this the sides of a healed partition would not find each other. Returns
 * false when there is none. */
bool
rp_member_next_contact(struct rp_member_table *table,
                       char address[RP_ADDRESS_BYTES])
{
    uint32_t seen = 0;
    for (guint i = 0; i < table->seeds->len + table->listed->len; i++) {
        const char *candidate =
            i < table->seeds->len
                ? table->seeds->data + (gsize)i * RP_ADDRESS_BYTES
                : g_array_index(table->listed, struct rp_vm,
                                i - table->seeds->len)
                      .peer;
        if (candidate[0] != '\0' && !is_live_address(table, candidate) &&
            g_rand_int_range(table->random, 0, (gint32)++seen) == 0)
        {
            g_strlcpy(address, candidate, RP_ADDRESS_BYTES);
        }
    }
    for (guint i = 0; i < table->entries->len; i++) {
        struct member_entry *entry = g_ptr_array_index(table->entries, i);
        if (entry->member.info.state == RP_MEMBER_DEAD &&
            g_rand_int_range(table->random, 0, (gint32)++seen) == 0)
        {
            g_strlcpy(address, entry->member.info.peer_address,
                      RP_ADDRESS_BYTES);
        }
    }
    return seen > 0;
}

static int
compare_outgoing(gconstpointer a, gconstpointer b)
{
    const struct member_entry *left = *(struct member_entry *const *)a;
    const struct member_entry *right = *(struct member_entry *const *)b;
    if (left->transmits != right->transmits) {
        return left->transmits < right->transmits ? -1 : 1;
    }
    if (left->sent_serial != right->sent_serial) {
        return left->sent_serial < right->sent_serial ? -1 : 1;
    }
    return 0;
}

/* Prepares the updates for one message to a member: first this entry VM
 * itself, then the receiver if it must refute something, then what is new,
 * then the rest in turn. to_id may be "" when it is not known; full asks for
 * the profile of each. */
void
rp_member_begin_updates(struct rp_member_table *table, const char *to_id,
                        bool full)
{
    table->transmit_limit =
        TRANSMIT_FACTOR * MAX(1, rp_neighbor_degree(table->entries->len));
    table->outgoing_full = full;
    g_ptr_array_set_size(table->outgoing, 0);
    for (guint i = 0; i < table->entries->len; i++) {
        struct member_entry *entry = g_ptr_array_index(table->entries, i);
        /* All that is past the limit is in one class, sent in turn. */
        entry->transmits = MIN(entry->transmits, table->transmit_limit);
        if (entry != table->self) {
            g_ptr_array_add(table->outgoing, entry);
        }
    }
    g_ptr_array_sort(table->outgoing, compare_outgoing);
    struct member_entry *to = rp_member_entry(table, to_id);
    if (to != NULL && to != table->self &&
        to->member.info.state >= RP_MEMBER_SUSPECT &&
        g_ptr_array_remove(table->outgoing, to))
    {
        g_ptr_array_insert(table->outgoing, 0, to);
    }
    g_ptr_array_insert(table->outgoing, 0, table->self);
    table->outgoing_next = 0;
}

static uint32_t
clamp_ms(int64_t ns)
{
    return (uint32_t)CLAMP(ns / 1000000, 0, G_MAXINT32);
}

/* Writes the next update of the message that rp_member_begin_updates began
 * and counts it as sent. Returns false after the last one. Suspicions are
 * held back after a pause of this process until they have been re-checked. */
bool
rp_member_next_update(struct rp_member_table *table, int64_t now_ns,
                      struct rp_member_update *update)
{
    while (table->outgoing_next < table->outgoing->len) {
        struct member_entry *entry =
            g_ptr_array_index(table->outgoing, table->outgoing_next++);
        struct rp_member *member = &entry->member;
        if (now_ns < table->quiet_until_ns &&
            member->info.state >= RP_MEMBER_SUSPECT) {
            continue;
        }
        if (entry == table->self) {
            member->heard_ns = now_ns;
        }
        update->info = member->info;
        update->has_profile =
            table->outgoing_full || entry->transmits < table->transmit_limit ||
            g_rand_int_range(table->random, 0, PROFILE_EVERY) == 0;
        update->age_ms = clamp_ms(now_ns - member->heard_ns);
        update->ticket_ttl_ms = clamp_ms(member->ticket_expires_ns - now_ns);
        update->suspector_hash =
            entry->accuser_count == 0
                ? 0
                : entry->accusers[entry->transmits % entry->accuser_count];
        entry->transmits++;
        entry->sent_serial = ++table->next_sent_serial;
        return true;
    }
    return false;
}

/* Writes the peer addresses of listed entry VMs that are not leaving, and of
 * the seeds if none is listed; returns their number. They are valid until
 * the next list. */
uint32_t
rp_member_contacts(const struct rp_member_table *table, const char **addresses,
                   uint32_t limit)
{
    uint32_t count = 0;
    for (guint i = 0; i < table->listed->len && count < limit; i++) {
        const struct rp_vm *vm =
            &g_array_index(table->listed, struct rp_vm, i);
        if (!vm->leaving && vm->peer[0] != '\0') {
            addresses[count++] = vm->peer;
        }
    }
    if (table->listed->len > 0) {
        return count;
    }
    while (count < MIN(table->seeds->len, limit)) {
        addresses[count] =
            table->seeds->data + (gsize)count * RP_ADDRESS_BYTES;
        count++;
    }
    return count;
}
