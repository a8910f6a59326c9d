#include <math.h>
#include <string.h>

#include "member_table.h"
#include "neighbor.h"

/* Failure detection: which members are silent, whom to ask about them and
 * when to give them up. Dadgar, Phillips, Currey, "Lifeguard: Local Health
 * Awareness for More Accurate Failure Detection", 2018. */

#define HEARTBEAT_NS RP_MEMBER_HEARTBEAT_NS

/* Three heartbeats may be missed; half an interval is for the way. */
#define SILENCE_NS (3 * HEARTBEAT_NS + HEARTBEAT_NS / 2)
#define PROBE_NS HEARTBEAT_NS
#define LOCAL_HEALTH_MAX 8
#define LOCAL_HEALTH_DECAY_NS INT64_C(5000000000)
#define PATIENCE_DECAY_NS INT64_C(60000000000)

/* Without a confirmation a suspicion lasts this many times longer. */
#define SUSPICION_MAX_FACTOR 3.0
#define SUSPICION_CONFIRMATIONS 2

/* After a pause, what was seen before it is not acted upon for this long, so
 * that waiting heartbeats are read first. */
#define QUIET_NS (2 * HEARTBEAT_NS)

/* A dead member is contacted now and then, in case a partition heals. */
#define DEAD_KEEP_NS INT64_C(3600000000000)
#define DEAD_KEEP_UNLISTED_NS INT64_C(600000000000)

static int64_t
scale(const struct rp_member_table *table, int64_t duration_ns)
{
    return duration_ns * (int64_t)(1 + table->local_health);
}

/* Notes a sign that this process itself is slow, so that it bears the
 * silence of others for longer. */
void
rp_member_worsen_health(struct rp_member_table *table, int64_t now_ns)
{
    table->local_health = MIN(table->local_health + 1, LOCAL_HEALTH_MAX);
    table->health_ns = now_ns;
}

/* Notes a direct sign of life, by any message or by a probe's answer. It ends
 * a probe but not a suspicion: that takes a refutation, so that all members
 * learn of it. Returns true when the member is known as suspect or dead and
 * should be told so at once. */
bool
rp_member_record_liveness(struct rp_member_table *table, const char *id,
                          uint64_t incarnation, int64_t now_ns)
{
    struct member_entry *entry = rp_member_entry(table, id);
    if (entry == NULL || entry == table->self ||
        entry->member.info.incarnation != incarnation)
    {
        return false;
    }
    entry->expect_ns = now_ns;
    if (entry->probing && table->local_health > 0) {
        table->local_health--;
        table->health_ns = now_ns;
    }
    entry->probing = false;
    entry->probe_wanted = false;
    return entry->member.info.state >= RP_MEMBER_SUSPECT;
}

/* Notes that a helper has received the request to probe a member: then this
 * process can be heard, and the silence is the member's. */
void
rp_member_record_helper_ack(struct rp_member_table *table, const char *id)
{
    struct member_entry *entry = rp_member_entry(table, id);
    if (entry != NULL && entry->probing) {
        entry->helper_answers++;
    }
}

/* Notes a pause of this process. Nobody is judged by a silence that may have
 * been its own, and suspects are probed again before they are spread. */
void
rp_member_record_pause(struct rp_member_table *table, int64_t gap_ns,
                       int64_t now_ns)
{
    rp_member_worsen_health(table, now_ns);
    table->quiet_until_ns = now_ns + QUIET_NS;
    for (guint i = 0; i < table->entries->len; i++) {
        struct member_entry *entry = g_ptr_array_index(table->entries, i);
        entry->expect_ns = now_ns;
        entry->probing = false;
        entry->suspect_ns += gap_ns;
        entry->probe_wanted = entry->member.info.state == RP_MEMBER_SUSPECT;
    }
}

static int64_t
suspicion_ns(const struct rp_member_table *table,
             const struct member_entry *entry)
{
    uint32_t count = table->ring->len;
    double least = 4.0 * (double)HEARTBEAT_NS * MAX(1.0, log10(count));
    double most = SUSPICION_MAX_FACTOR * least;
    /* Nobody else can confirm in a fleet of two. */
    uint32_t wanted = MIN(SUSPICION_CONFIRMATIONS, count > 2 ? count - 2 : 0);
    if (wanted == 0) {
        return scale(table, (int64_t)least);
    }
    uint32_t seen = entry->accuser_count > 0 ? entry->accuser_count - 1 : 0;
    double share = log(seen + 1.0) / log(wanted + 1.0);
    return scale(table, (int64_t)MAX(least, most - (most - least) * share));
}

static void
judge_silence(struct rp_member_table *table, struct member_entry *entry,
              int64_t now_ns)
{
    bool expected = rp_neighbor_sends_to(table->ring->len, entry->position,
                                         table->self->position);
    if (expected && !entry->expected) {
        entry->expect_ns = MAX(entry->expect_ns, now_ns);
    }
    entry->expected = expected;
    int64_t borne_ns = scale(table, SILENCE_NS) * entry->patience;
    if (expected && !entry->probing && !entry->probe_wanted &&
        now_ns - entry->expect_ns > borne_ns)
    {
        entry->probe_wanted = true;
    }
}

static void
judge_probe(struct rp_member_table *table, struct member_entry *entry,
            int64_t now_ns)
{
    if (!entry->probing || now_ns < entry->probe_deadline_ns) {
        return;
    }
    entry->probing = false;
    if (entry->helper_count > 0 && entry->helper_answers == 0) {
        rp_member_worsen_health(table, now_ns);
    }
    if (entry->member.info.state < RP_MEMBER_SUSPECT) {
        entry->accuser_count = 0;
        rp_member_entry_set_state(table, entry, RP_MEMBER_SUSPECT, now_ns);
    }
    rp_member_entry_accuse(entry, (uint32_t)table->self->hash);
}

static void
judge_suspicion(struct rp_member_table *table, struct member_entry *entry,
                int64_t now_ns)
{
    if (entry->member.info.state == RP_MEMBER_SUSPECT &&
        now_ns - entry->suspect_ns > suspicion_ns(table, entry))
    {
        rp_member_entry_set_state(table, entry, RP_MEMBER_DEAD, now_ns);
    }
}

static void
judge_entry(struct rp_member_table *table, struct member_entry *entry,
            int64_t now_ns)
{
    if (entry->member.info.state != RP_MEMBER_DEAD) {
        judge_silence(table, entry, now_ns);
        judge_probe(table, entry, now_ns);
        judge_suspicion(table, entry, now_ns);
    }
    if (entry->patience > 1 && now_ns - entry->patience_ns > PATIENCE_DECAY_NS)
    {
        entry->patience /= 2;
        entry->patience_ns = now_ns;
    }
}

static void
forget_dead(struct rp_member_table *table, int64_t now_ns)
{
    for (guint i = table->entries->len; i > 0; i--) {
        struct member_entry *entry = g_ptr_array_index(table->entries, i - 1);
        int64_t keep_ns = entry->listed ? DEAD_KEEP_NS : DEAD_KEEP_UNLISTED_NS;
        if (entry->member.info.state == RP_MEMBER_DEAD &&
            now_ns - entry->dead_ns > keep_ns)
        {
            rp_member_entry_remove(table, entry);
        }
    }
}

/* Judges all members; called once in each heartbeat interval. A member
 * becomes a probe's subject after three missed heartbeats, suspect when the
 * probe fails too, and dead after the suspicion time: 4 heartbeats times
 * log10 of the members, three times as long without confirmation by others,
 * all times the local health multiplier. */
void
rp_member_tick(struct rp_member_table *table, int64_t now_ns)
{
    if (now_ns < table->quiet_until_ns) {
        return;
    }
    if (table->local_health > 0 &&
        now_ns - table->health_ns > LOCAL_HEALTH_DECAY_NS)
    {
        table->local_health--;
        table->health_ns = now_ns;
    }
    for (guint i = 0; i < table->entries->len; i++) {
        struct member_entry *entry = g_ptr_array_index(table->entries, i);
        if (entry != table->self) {
            judge_entry(table, entry, now_ns);
        }
    }
    forget_dead(table, now_ns);
}

static void
choose_helpers(struct rp_member_table *table, const struct member_entry *about,
               struct rp_member_probe *probe)
{
    uint32_t seen = 0;
    for (guint i = 0; i < table->ring->len; i++) {
        struct member_entry *entry = g_ptr_array_index(table->ring, i);
        if (entry == table->self || entry == about ||
            entry->member.info.state >= RP_MEMBER_SUSPECT)
        {
            continue;
        }
        /* Reservoir sampling: each candidate has the same chance. */
        uint32_t slot = seen++;
        if (slot >= RP_MEMBER_HELPERS) {
            slot = (uint32_t)g_rand_int_range(table->random, 0, (gint32)seen);
        }
        if (slot < RP_MEMBER_HELPERS) {
            g_strlcpy(probe->helper_addresses[slot],
                      entry->member.info.peer_address, RP_ADDRESS_BYTES);
        }
    }
    probe->helper_count = MIN(seen, RP_MEMBER_HELPERS);
}

/* Takes the next member to be probed, with the helpers to ask about it, and
 * starts its time limit. Returns false when there is none. */
bool
rp_member_next_probe(struct rp_member_table *table, int64_t now_ns,
                     struct rp_member_probe *probe)
{
    for (guint i = 0; i < table->ring->len; i++) {
        struct member_entry *entry = g_ptr_array_index(table->ring, i);
        if (!entry->probe_wanted) {
            continue;
        }
        memset(probe, 0, sizeof(*probe));
        g_strlcpy(probe->id, entry->member.info.id, sizeof(probe->id));
        g_strlcpy(probe->peer_address, entry->member.info.peer_address,
                  sizeof(probe->peer_address));
        probe->incarnation = entry->member.info.incarnation;
        choose_helpers(table, entry, probe);
        entry->probe_wanted = false;
        entry->probing = true;
        entry->probe_deadline_ns = now_ns + scale(table, PROBE_NS);
        entry->helper_count = probe->helper_count;
        entry->helper_answers = 0;
        return true;
    }
    return false;
}
