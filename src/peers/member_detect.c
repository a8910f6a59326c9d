#include <math.h>
#include <string.h>

#include "member_table.h"
#include "neighbor.h"

/* Failure detection: detects silent members, selects members to probe and
 * declares suspects dead. Dadgar, Phillips, Currey, "Lifeguard: Local Health
 * Awareness for More Accurate Failure Detection", 2018. */

#define HEARTBEAT_NS RP_MEMBER_HEARTBEAT_NS

/* Three heartbeats may be missed; half an interval allows for the network
 * delay. */
#define MAX_SILENCE_NS (3 * HEARTBEAT_NS + HEARTBEAT_NS / 2)
#define PROBE_TIMEOUT_NS HEARTBEAT_NS
#define MAX_LOCAL_HEALTH 8
#define LOCAL_HEALTH_DECAY_NS INT64_C(5000000000)
#define SILENCE_FACTOR_DECAY_NS INT64_C(60000000000)

/* Without confirmations the suspicion timeout is this many times longer. */
#define MAX_SUSPICION_FACTOR 3.0
#define MAX_CONFIRMATIONS 2

/* After a pause of this process, no failure decision is made for this long, so
 * that queued heartbeats are processed first. */
#define GRACE_NS (2 * HEARTBEAT_NS)

/* Members of a former version send heartbeats along one ring over all members,
 * also in a fleet that is divided by failure domains, and probe those that do
 * not send to them by that rule. Single probes and heartbeats of the kind also
 * come from members with another view, so that several of them are needed. */
#define MIN_RING_SIGNS 3
#define RING_SIGN_TIMEOUT_NS INT64_C(10000000000)
/* A silent member that answers this many probes in a row sends by another
 * rule. It is then probed at longer intervals. */
#define MIN_ANSWERED_PROBES 3
#define ANSWERED_SILENCE_NS INT64_C(10000000000)

/* A domain is reachable if one of its members has been heard for this long. */
#define REACHABLE_NS (2 * HEARTBEAT_NS)

/* Dead members are retained and contacted at times, in case a partition
 * heals. */
#define DEAD_RETENTION_NS INT64_C(3600000000000)
#define UNLISTED_DEAD_RETENTION_NS INT64_C(600000000000)

static int64_t
scale_by_local_health(const struct rp_member_table *table, int64_t duration_ns)
{
    return duration_ns * (int64_t)(1 + table->local_health);
}

/* Raises the local health multiplier after a sign that this process itself is
 * slow, so that it tolerates longer silence of other members. */
void
rp_member_degrade_local_health(struct rp_member_table *table, int64_t now_ns)
{
    table->local_health = MIN(table->local_health + 1, MAX_LOCAL_HEALTH);
    table->local_health_changed_ns = now_ns;
}

/* Records direct evidence that a member is alive: a message from it or its
 * probe acknowledgement. This ends a probe but not a suspicion, which takes a
 * refutation that reaches all members. Returns whether the member is suspect
 * or dead here and must be sent that state so that it can refute it. */
bool
rp_member_record_liveness(struct rp_member_table *table, const char *id,
                          uint64_t incarnation, int64_t now_ns)
{
    struct member_entry *entry = rp_member_find_entry(table, id);
    if (entry == NULL || entry == table->self ||
        entry->member.info.incarnation != incarnation)
    {
        return false;
    }
    entry->silent_since_ns = now_ns;
    entry->heard_ns = now_ns;
    if (entry->probing && table->local_health > 0) {
        table->local_health--;
        table->local_health_changed_ns = now_ns;
    }
    if (entry->probing) {
        entry->answered_probes++;
        entry->ring_heartbeats = 0;
    }
    entry->probing = false;
    entry->probe_due = false;
    return entry->member.info.state >= RP_MEMBER_SUSPECT;
}

static bool
is_owed_by_overlay(const struct rp_member_table *table,
                   const struct member_entry *from,
                   const struct member_entry *to)
{
    return rp_overlay_sends_to(rp_member_overlay(table), from->position,
                               to->position);
}

/* Records a regular heartbeat of a member: one that it sends in each interval.
 * One that the overlay does not make it send is a sign of the former rule. */
void
rp_member_record_heartbeat(struct rp_member_table *table, const char *id,
                           int64_t now_ns)
{
    struct member_entry *entry = rp_member_find_entry(table, id);
    if (entry == NULL || entry == table->self) {
        return;
    }
    entry->answered_probes = 0;
    if (entry->member.info.state != RP_MEMBER_DEAD &&
        !is_owed_by_overlay(table, entry, table->self))
    {
        entry->ring_heartbeats =
            MIN(entry->ring_heartbeats + 1, MIN_RING_SIGNS);
        entry->ring_heartbeat_ns = now_ns;
    }
}

/* Records a probe of this entry VM by another member. One from a member to
 * which the overlay owes no heartbeats is a sign of the former rule. */
void
rp_member_record_probe(struct rp_member_table *table, const char *id,
                       int64_t now_ns)
{
    struct member_entry *entry = rp_member_find_entry(table, id);
    if (entry == NULL || entry == table->self ||
        entry->member.info.state == RP_MEMBER_DEAD ||
        is_owed_by_overlay(table, table->self, entry))
    {
        return;
    }
    if (now_ns - entry->ring_probe_ns > 2 * RING_SIGN_TIMEOUT_NS) {
        entry->ring_probes = 0;
    }
    entry->ring_probes = MIN(entry->ring_probes + 1, MIN_RING_SIGNS);
    entry->ring_probe_ns = now_ns;
}

/* Returns whether a member has shown that it expects heartbeats by the former
 * rule. This is forgotten after a time, so that it has to probe again. */
bool
rp_member_follows_ring(const struct rp_member_table *table,
                       const struct member_entry *entry, int64_t now_ns)
{
    (void)table;
    return entry->ring_probes >= MIN_RING_SIGNS &&
           now_ns - entry->ring_probe_ns <= RING_SIGN_TIMEOUT_NS;
}

/* Records that a helper has received the request to probe a member. This shows
 * that the connectivity of this process is not the cause of the silence. */
void
rp_member_record_helper_ack(struct rp_member_table *table, const char *id)
{
    struct member_entry *entry = rp_member_find_entry(table, id);
    if (entry != NULL && entry->probing) {
        entry->helper_acks++;
    }
}

/* Records a pause of this process. Silence timers restart, because the pause
 * may have caused the silence, and suspects are probed again before their
 * suspicions are sent. */
void
rp_member_record_pause(struct rp_member_table *table, int64_t gap_ns,
                       int64_t now_ns)
{
    rp_member_degrade_local_health(table, now_ns);
    table->grace_until_ns = now_ns + GRACE_NS;
    for (guint i = 0; i < table->entries->len; i++) {
        struct member_entry *entry = g_ptr_array_index(table->entries, i);
        entry->silent_since_ns = now_ns;
        entry->probing = false;
        entry->suspect_since_ns += gap_ns;
        entry->probe_due = entry->member.info.state == RP_MEMBER_SUSPECT;
    }
}

static int64_t
suspicion_ns(const struct rp_member_table *table,
             const struct member_entry *entry)
{
    uint32_t member_count = table->ring->len;
    double min_ns = 4.0 * (double)HEARTBEAT_NS * MAX(1.0, log10(member_count));
    double max_ns = MAX_SUSPICION_FACTOR * min_ns;
    /* In a fleet of two, no other member can confirm a suspicion. */
    uint32_t max_confirmations =
        MIN(MAX_CONFIRMATIONS, member_count > 2 ? member_count - 2 : 0);
    if (max_confirmations == 0) {
        return scale_by_local_health(table, (int64_t)min_ns);
    }
    uint32_t confirmations =
        entry->suspector_count > 0 ? entry->suspector_count - 1 : 0;
    double progress = log(confirmations + 1.0) / log(max_confirmations + 1.0);
    return scale_by_local_health(
        table, (int64_t)MAX(min_ns, max_ns - (max_ns - min_ns) * progress));
}

/* Returns whether the silence of a member is a sign of its loss: it sends to
 * this one by the overlay, or has been heard to send by the former rule. */
static bool
is_expected(const struct rp_member_table *table,
            const struct member_entry *entry, int64_t now_ns)
{
    return is_owed_by_overlay(table, entry, table->self) ||
           (entry->ring_heartbeats >= MIN_RING_SIGNS &&
            now_ns - entry->ring_heartbeat_ns <= RING_SIGN_TIMEOUT_NS &&
            rp_neighbor_sends_to(table->ring->len, entry->position,
                                 table->self->position));
}

static void
check_silence(struct rp_member_table *table, struct member_entry *entry,
              int64_t now_ns)
{
    bool sends_to_self = is_expected(table, entry, now_ns);
    if (sends_to_self && !entry->sends_to_self) {
        entry->silent_since_ns = MAX(entry->silent_since_ns, now_ns);
    }
    entry->sends_to_self = sends_to_self;
    int64_t tolerated_ns =
        scale_by_local_health(table, MAX_SILENCE_NS) * entry->silence_factor;
    if (entry->answered_probes >= MIN_ANSWERED_PROBES &&
        rp_member_is_divided(table))
    {
        tolerated_ns = MAX(tolerated_ns, ANSWERED_SILENCE_NS);
    }
    if (sends_to_self && !entry->probing && !entry->probe_due &&
        now_ns - entry->silent_since_ns > tolerated_ns)
    {
        entry->probe_due = true;
    }
}

/* Has the members of another failure domain probed when no news has come from
 * any of them for the tolerated silence: the domain may be cut off, and
 * without this, each new relay of it would have to be found lost in turn. */
static void
check_domain(struct rp_member_table *table, const struct member_entry *lost,
             int64_t now_ns)
{
    if (!rp_member_is_divided(table) ||
        lost->domain_hash == table->self->domain_hash)
    {
        return;
    }
    for (int pass = 0; pass < 2; pass++) {
        for (guint i = 0; i < table->ring->len; i++) {
            struct member_entry *entry = g_ptr_array_index(table->ring, i);
            if (entry->domain_hash != lost->domain_hash) {
                continue;
            }
            if (pass == 0 &&
                now_ns - entry->member.reported_ns < MAX_SILENCE_NS) {
                return;
            }
            if (pass == 1 && !entry->probing &&
                entry->member.info.state < RP_MEMBER_SUSPECT)
            {
                entry->probe_due = true;
            }
        }
    }
}

static void
check_probe(struct rp_member_table *table, struct member_entry *entry,
            int64_t now_ns)
{
    if (!entry->probing || now_ns < entry->probe_deadline_ns) {
        return;
    }
    bool sends_by_overlay = is_owed_by_overlay(table, entry, table->self);
    entry->probing = false;
    if (entry->helper_count > 0 && entry->helper_acks == 0) {
        rp_member_degrade_local_health(table, now_ns);
    }
    if (entry->member.info.state < RP_MEMBER_SUSPECT) {
        entry->suspector_count = 0;
        rp_member_entry_set_state(table, entry, RP_MEMBER_SUSPECT, now_ns);
        if (sends_by_overlay) {
            check_domain(table, entry, now_ns);
        }
    }
    rp_member_entry_add_suspector(entry, (uint32_t)table->self->hash);
}

static void
check_suspicion(struct rp_member_table *table, struct member_entry *entry,
                int64_t now_ns)
{
    if (entry->member.info.state == RP_MEMBER_SUSPECT &&
        now_ns - entry->suspect_since_ns > suspicion_ns(table, entry))
    {
        rp_member_entry_set_state(table, entry, RP_MEMBER_DEAD, now_ns);
    }
}

static void
check_entry(struct rp_member_table *table, struct member_entry *entry,
            int64_t now_ns)
{
    if (entry->member.info.state != RP_MEMBER_DEAD) {
        check_silence(table, entry, now_ns);
        check_probe(table, entry, now_ns);
        check_suspicion(table, entry, now_ns);
    }
    if (entry->silence_factor > 1 &&
        now_ns - entry->silence_factor_changed_ns > SILENCE_FACTOR_DECAY_NS)
    {
        entry->silence_factor /= 2;
        entry->silence_factor_changed_ns = now_ns;
    }
}

static void
remove_expired_dead(struct rp_member_table *table, int64_t now_ns)
{
    for (guint i = table->entries->len; i > 0; i--) {
        struct member_entry *entry = g_ptr_array_index(table->entries, i - 1);
        int64_t retention_ns =
            entry->is_listed ? DEAD_RETENTION_NS : UNLISTED_DEAD_RETENTION_NS;
        if (entry->member.info.state == RP_MEMBER_DEAD &&
            now_ns - entry->dead_since_ns > retention_ns)
        {
            rp_member_entry_remove(table, entry);
        }
    }
}

/* Returns whether the table is that of a fleet that the overlay divides by
 * failure domains while all its members are alive. */
static bool
may_be_divided(const struct rp_member_table *table)
{
    return !table->overlay->is_single_ring &&
           table->entries->len >= RP_OVERLAY_MIN_MEMBERS;
}

/* Returns whether a member is of another failure domain that is regarded as
 * lost: none of its members is considered alive. A message from it shows that
 * the domain has returned. */
bool
rp_member_is_domain_lost(const struct rp_member_table *table, const char *id)
{
    const struct member_entry *from = rp_member_find_entry(table, id);
    if (from == NULL || from->domain_hash == table->self->domain_hash ||
        !may_be_divided(table))
    {
        return false;
    }
    for (guint i = 0; i < table->entries->len; i++) {
        const struct member_entry *entry =
            g_ptr_array_index(table->entries, i);
        if (entry->domain_hash == from->domain_hash &&
            entry->member.info.state < RP_MEMBER_SUSPECT)
        {
            return false;
        }
    }
    return true;
}

/* Writes the suspect and dead members of a failure domain and returns their
 * number. Each has to refute this itself: members of its domain that hear it
 * regularly ignore the suspicion as outdated and do not pass it on. The
 * pointers are valid until the table changes. */
uint32_t
rp_member_doubted_of_domain(const struct rp_member_table *table,
                            const char *domain,
                            const struct rp_member_info **doubted,
                            uint32_t limit)
{
    uint32_t count = 0;
    for (guint i = 0; i < table->entries->len && count < limit; i++) {
        const struct member_entry *entry =
            g_ptr_array_index(table->entries, i);
        if (entry->member.info.state >= RP_MEMBER_SUSPECT &&
            strcmp(entry->member.info.domain, domain) == 0)
        {
            doubted[count++] = &entry->member.info;
        }
    }
    return count;
}

static bool
is_domain_reachable(const struct rp_member_table *table, uint64_t domain_hash,
                    int64_t now_ns)
{
    for (guint i = 0; i < table->ring->len; i++) {
        const struct member_entry *entry = g_ptr_array_index(table->ring, i);
        if (entry->domain_hash == domain_hash && entry->heard_ns > 0 &&
            now_ns - entry->heard_ns <= REACHABLE_NS)
        {
            return true;
        }
    }
    return false;
}

/* Writes the suspect members of other failure domains that are reachable, and
 * returns their number, 0 if this entry VM is not a relay. Relays tell them,
 * as only they exchange messages with other domains. The pointers are valid
 * until the table changes. */
uint32_t
rp_member_remote_suspects(const struct rp_member_table *table,
                          const struct rp_member_info **suspects,
                          uint32_t limit, int64_t now_ns)
{
    uint32_t count = 0;
    if (!rp_member_is_relay(table)) {
        return 0;
    }
    for (guint i = 0; i < table->ring->len && count < limit; i++) {
        const struct member_entry *entry = g_ptr_array_index(table->ring, i);
        if (entry->member.info.state == RP_MEMBER_SUSPECT &&
            entry->domain_hash != table->self->domain_hash &&
            is_domain_reachable(table, entry->domain_hash, now_ns))
        {
            suspects[count++] = &entry->member.info;
        }
    }
    return count;
}

/* Runs failure detection for all members; called once in each heartbeat
 * interval. A member is probed after three missed heartbeats, becomes suspect
 * when the probe fails, and dead after the suspicion timeout: 4 heartbeat
 * intervals times log10 of the member count, three times as long without
 * confirmations, multiplied by 1 + the local health. */
void
rp_member_tick(struct rp_member_table *table, int64_t now_ns)
{
    if (now_ns < table->grace_until_ns) {
        return;
    }
    if (table->local_health > 0 &&
        now_ns - table->local_health_changed_ns > LOCAL_HEALTH_DECAY_NS)
    {
        table->local_health--;
        table->local_health_changed_ns = now_ns;
    }
    for (guint i = 0; i < table->entries->len; i++) {
        struct member_entry *entry = g_ptr_array_index(table->entries, i);
        if (entry != table->self) {
            check_entry(table, entry, now_ns);
        }
    }
    remove_expired_dead(table, now_ns);
}

static void
choose_helpers(struct rp_member_table *table,
               const struct member_entry *subject,
               struct rp_member_probe *probe)
{
    uint32_t candidate_count = 0;
    for (guint i = 0; i < table->ring->len; i++) {
        struct member_entry *entry = g_ptr_array_index(table->ring, i);
        if (entry == table->self || entry == subject ||
            entry->member.info.state >= RP_MEMBER_SUSPECT)
        {
            continue;
        }
        /* Reservoir sampling: each candidate has the same chance. */
        uint32_t slot = candidate_count++;
        if (slot >= RP_MEMBER_MAX_HELPERS) {
            slot = (uint32_t)g_rand_int_range(table->random, 0,
                                              (gint32)candidate_count);
        }
        if (slot < RP_MEMBER_MAX_HELPERS) {
            g_strlcpy(probe->helper_addresses[slot],
                      entry->member.info.peer_address, RP_ADDRESS_BYTES);
        }
    }
    probe->helper_count = MIN(candidate_count, RP_MEMBER_MAX_HELPERS);
}

/* Writes the next member to probe, with the helpers for indirect probes, and
 * starts the probe timeout. Returns false when no probe is due. */
bool
rp_member_next_probe(struct rp_member_table *table, int64_t now_ns,
                     struct rp_member_probe *probe)
{
    for (guint i = 0; i < table->ring->len; i++) {
        struct member_entry *entry = g_ptr_array_index(table->ring, i);
        if (!entry->probe_due) {
            continue;
        }
        memset(probe, 0, sizeof(*probe));
        g_strlcpy(probe->id, entry->member.info.id, sizeof(probe->id));
        g_strlcpy(probe->peer_address, entry->member.info.peer_address,
                  sizeof(probe->peer_address));
        probe->incarnation = entry->member.info.incarnation;
        choose_helpers(table, entry, probe);
        entry->probe_due = false;
        entry->probing = true;
        entry->probe_deadline_ns =
            now_ns + scale_by_local_health(table, PROBE_TIMEOUT_NS);
        entry->helper_count = probe->helper_count;
        entry->helper_acks = 0;
        return true;
    }
    return false;
}
