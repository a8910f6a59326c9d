#include "gossip.h"

#include <string.h>

#include "error.h"
#include "gossip_internal.h"
#include "platform.h"
#include "status.h"
#include "vm_list.h"
#include "wire.h"

#define TIMER_TICK 0
#define TIMER_JOIN 1

/* A starting member requests all members several times, because members that
 * start at the same time become known only gradually. When the platform starts
 * a whole fleet, all members are up within 0.3 s. */
#define MAX_JOIN_QUERIES 3
#define JOIN_INTERVAL_NS INT64_C(400000000)
#define MAX_JOIN_DELAY_MS 100

/* Every fourth heartbeat interval, a heartbeat is sent to an address that may
 * belong to an unknown member; a member without live peers sends one in each
 * interval. */
#define CONTACT_TICKS 4
#define PEER_SWEEP_TICKS 120
#define QUERY_TICKS 2
#define MAX_QUERIES_PER_ROUND 16

/* As the lists that are requested (gossip_members.c). */
#define MIN_ANNOUNCED_MEMBERS 4
#define MIN_ANNOUNCE_INTERVAL_NS INT64_C(100000000)

/* Between heartbeats that a relay sends because of news. */
#define MIN_RELAY_INTERVAL_NS INT64_C(100000000)

#define GRACE_NS (2 * RP_MEMBER_HEARTBEAT_NS)

static const char *const view_readers[] = {
    "platform", "entry", "directory", "dispatch", "config", "prober", "admin"};

static void
publish_members(struct rp_gossip *gossip)
{
    struct rp_member_view *view = rp_member_view_new(gossip->members);
    for (guint i = 0; i < G_N_ELEMENTS(view_readers); i++) {
        struct rp_member_message message = {rp_member_view_ref(view)};
        if (!rp_task_send_owned(
                gossip->task,
                rp_kernel_find_task(gossip->kernel, view_readers[i]),
                RP_MSG_MEMBERS, &message, sizeof(message),
                rp_member_message_release))
        {
            rp_member_message_release(&message);
        }
    }
    rp_member_view_unref(view);
}

static enum rp_event_kind
change_event_kind(const struct rp_member_change *change)
{
    switch (change->state) {
    case RP_MEMBER_LEAVING:
        return RP_EVENT_MEMBER_LEAVING;
    case RP_MEMBER_SUSPECT:
        return RP_EVENT_MEMBER_SUSPECT;
    case RP_MEMBER_DEAD:
        return RP_EVENT_MEMBER_DEAD;
    default:
        return change->is_new ? RP_EVENT_MEMBER_JOINED : RP_EVENT_MEMBER_ALIVE;
    }
}

/* Sends heartbeats at once from a relay that has learned of a suspicion, a
 * death or a departure. Otherwise such news would wait for a tick at each
 * relay on their way to the members of other domains. */
static void
relay_news(struct rp_gossip *gossip, int64_t now_ns)
{
    if (now_ns - gossip->news_relayed_ns >= MIN_RELAY_INTERVAL_NS &&
        rp_member_is_relay(gossip->members))
    {
        gossip->news_relayed_ns = now_ns;
        rp_gossip_send_heartbeats(gossip, now_ns);
    }
}

/* Adds pending changes of members to the timeline. Returns whether there were
 * any. */
static bool
report_changes(struct rp_gossip *gossip, int64_t now_ns)
{
    struct rp_member_change change;
    bool changed = false;
    bool is_urgent = false;
    while (rp_member_next_change(gossip->members, &change)) {
        struct rp_event *event =
            rp_event_add(gossip->context->events, change_event_kind(&change),
                         now_ns, change.id);
        event->value = (int64_t)change.incarnation;
        rp_event_set_detail(event, "%s, incarnation %" G_GUINT64_FORMAT,
                            rp_member_state_name(change.state),
                            change.incarnation);
        changed = true;
        is_urgent |= !change.is_new;
    }
    if (is_urgent) {
        relay_news(gossip, now_ns);
    }
    return changed;
}

static void
set_gauges(struct rp_gossip *gossip)
{
    struct rp_counters *counters = &gossip->context->counters;
    const struct rp_member_table *members = gossip->members;
    rp_counter_set(counters, RP_COUNTER_MEMBERS_ALIVE,
                   rp_member_count(members, RP_MEMBER_ALIVE));
    rp_counter_set(counters, RP_COUNTER_MEMBERS_LEAVING,
                   rp_member_count(members, RP_MEMBER_LEAVING));
    rp_counter_set(counters, RP_COUNTER_MEMBERS_SUSPECT,
                   rp_member_count(members, RP_MEMBER_SUSPECT));
    rp_counter_set(counters, RP_COUNTER_MEMBERS_DEAD,
                   rp_member_count(members, RP_MEMBER_DEAD));
    rp_counter_set(counters, RP_COUNTER_LOCAL_HEALTH,
                   rp_member_local_health(members));
    rp_counter_set(counters, RP_COUNTER_HINTS_POOLED,
                   rp_hint_pool_count(gossip->hints));
}

static gboolean
is_removed_peer(gpointer key, gpointer value, gpointer data)
{
    (void)value;
    struct rp_gossip *gossip = data;
    return rp_member_find(gossip->members, key) == NULL;
}

/* Queries the next entry VMs of the platform's list for their configuration
 * digest. A starting VM needs answers from all of them. */
static void
query_listed_vms(struct rp_gossip *gossip, int64_t now_ns)
{
    const char *addresses[RP_MEMBER_LIMIT];
    uint32_t count =
        rp_member_contacts(gossip->members, addresses, RP_MEMBER_LIMIT);
    for (uint32_t i = 0; i < MIN(count, MAX_QUERIES_PER_ROUND); i++) {
        rp_gossip_send_heartbeat(
            gossip, "", addresses[gossip->next_query_index++ % count],
            HEARTBEAT_REQUEST_ANSWER | HEARTBEAT_PROFILES, now_ns);
    }
}

static void
on_tick(struct rp_gossip *gossip, int64_t now_ns)
{
    char address[RP_ADDRESS_BYTES];
    gossip->ticks++;
    rp_member_tick(gossip->members, now_ns);
    rp_gossip_send_heartbeats(gossip, now_ns);
    rp_gossip_send_remote_claims(gossip, now_ns);
    rp_gossip_send_probes(gossip, now_ns);
    bool alone = rp_member_count(gossip->members, RP_MEMBER_ALIVE) < 2;
    if ((alone || gossip->ticks % CONTACT_TICKS == 0) &&
        rp_member_random_contact(gossip->members, address))
    {
        rp_gossip_send_heartbeat(gossip, "", address, HEARTBEAT_PROFILES,
                                 now_ns);
    }
    if (gossip->config.phase == RP_CONFIG_STARTING &&
        gossip->ticks % QUERY_TICKS == 1)
    {
        query_listed_vms(gossip, now_ns);
    }
    if (gossip->ticks % PEER_SWEEP_TICKS == 0) {
        g_hash_table_foreach_remove(gossip->peers, is_removed_peer, gossip);
    }
    report_changes(gossip, now_ns);
    publish_members(gossip);
    set_gauges(gossip);
}

/* Sends heartbeats at once when several more members are known to be alive
 * than when this was last done, so that the neighbours request the list. In a
 * fleet that is divided by failure domains, lists of other domains arrive at
 * the relays only. */
static void
announce_members(struct rp_gossip *gossip, int64_t now_ns)
{
    uint32_t count = rp_member_count(gossip->members, RP_MEMBER_ALIVE);
    if (count < gossip->announced_count + MIN_ANNOUNCED_MEMBERS) {
        gossip->announced_count = MIN(gossip->announced_count, count);
        return;
    }
    if (now_ns - gossip->members_announced_ns < MIN_ANNOUNCE_INTERVAL_NS ||
        !rp_member_is_divided(gossip->members))
    {
        return;
    }
    gossip->members_announced_ns = now_ns;
    gossip->announced_count = count;
    rp_gossip_send_heartbeats(gossip, now_ns);
}

static void
on_received(struct rp_gossip *gossip, const struct rp_wire_received *received,
            int64_t now_ns)
{
    rp_gossip_receive(gossip, received->payload, now_ns);
    announce_members(gossip, now_ns);
    if (report_changes(gossip, now_ns)) {
        publish_members(gossip);
    }
}

static void
on_local_state(struct rp_gossip *gossip, const struct rp_local_state *state)
{
    if (state->flags & RP_LOCAL_STATE_LOAD) {
        rp_member_set_load(gossip->members, state->load_permille);
    }
    if (state->flags & RP_LOCAL_STATE_LOAN) {
        rp_member_set_loan(gossip->members, state->loan_borrower,
                           state->loan_ppm);
    }
    if (state->flags & RP_LOCAL_STATE_TICKET) {
        rp_member_set_ticket(gossip->members, state->ticket_prefix,
                             state->ticket_expires_ns);
    }
}

static void
on_status(struct rp_gossip *gossip, const struct rp_message *request,
          int64_t now_ns)
{
    struct rp_member_view *view = rp_member_view_new(gossip->members);
    json_t *members = json_array();
    for (uint32_t i = 0; i < view->count; i++) {
        const struct rp_member *member = &view->members[i];
        json_array_append_new(
            members,
            json_pack("{s:s, s:s, s:s, s:s, s:s, s:I, s:i, s:b, s:I}", "id",
                      member->info.id, "domain", member->info.domain,
                      "address", member->info.address, "state",
                      rp_member_state_name(member->info.state), "phase",
                      rp_member_phase_name(member->info.phase), "incarnation",
                      (json_int_t)member->info.incarnation, "load_permille",
                      (int)member->info.load_permille, "relay",
                      member->is_relay, "age_ms",
                      (json_int_t)((now_ns - member->reported_ns) / 1000000)));
    }
    rp_member_view_unref(view);
    rp_status_reply(gossip->task, request, "members", members);
}

static void
on_pause(struct rp_gossip *gossip, const struct rp_pause *pause,
         int64_t now_ns)
{
    gossip->pause_end_ns = now_ns;
    gossip->grace_until_ns = now_ns + GRACE_NS;
    rp_member_record_pause(gossip->members, pause->gap_ns, now_ns);
    rp_gossip_send_probes(gossip, now_ns);
}

static void
on_message(struct rp_task *task, const struct rp_message *message,
           int64_t now_ns, void *data)
{
    (void)task;
    struct rp_gossip *gossip = data;
    switch (message->kind) {
    case RP_MSG_WIRE_RECEIVED:
        on_received(gossip, message->body, now_ns);
        break;
    case RP_MSG_CONFIG_STATE:
        gossip->config = *(const struct rp_config_state *)message->body;
        rp_member_set_phase(gossip->members, gossip->config.phase);
        break;
    case RP_MSG_CONFIG_SYNC_REQUEST:
        rp_gossip_send_config_sync_request(gossip, message->body, now_ns);
        break;
    case RP_MSG_CONFIG_RECORDS:
        rp_gossip_send_records(gossip, message->body, now_ns);
        break;
    case RP_MSG_CONFIG_PUSH:
        rp_gossip_push_records(gossip, message->body, now_ns);
        break;
    case RP_MSG_PLATFORM_FRESHNESS: {
        const struct rp_platform_freshness *freshness = message->body;
        rp_gossip_record_platform(gossip, freshness->fresh_ns,
                                  freshness->revision, false);
        break;
    }
    case RP_MSG_PLATFORM_VMS:
        rp_member_set_listed_vms(
            gossip->members,
            ((const struct rp_vm_list_message *)message->body)->list);
        break;
    case RP_MSG_TARGET_HINT:
        rp_hint_pool_offer(gossip->hints, message->body, now_ns);
        break;
    case RP_MSG_LOCAL_STATE:
        on_local_state(gossip, message->body);
        break;
    case RP_MSG_PAUSE_DETECTED:
        on_pause(gossip, message->body, now_ns);
        break;
    case RP_MSG_STOP:
        rp_member_leave(gossip->members);
        rp_gossip_send_heartbeats(gossip, now_ns);
        publish_members(gossip);
        break;
    case RP_MSG_STATUS_REQUEST:
        on_status(gossip, message, now_ns);
        break;
    default:
        break;
    }
}

static void
on_timer(struct rp_task *task, uint32_t timer, int64_t now_ns, void *data)
{
    struct rp_gossip *gossip = data;
    if (timer == TIMER_JOIN) {
        rp_gossip_query_contact(gossip, now_ns);
        if (++gossip->join_query_count < MAX_JOIN_QUERIES) {
            rp_task_set_timer(task, TIMER_JOIN, now_ns + JOIN_INTERVAL_NS);
        }
        return;
    }
    on_tick(gossip, now_ns);
    rp_task_set_timer(task, TIMER_TICK, now_ns + RP_MEMBER_HEARTBEAT_NS);
}

static void
free_gossip(struct rp_gossip *gossip)
{
    rp_member_table_free(gossip->members);
    rp_hint_pool_free(gossip->hints);
    g_hash_table_unref(gossip->peers);
    g_free(gossip);
}

static void
on_remove(struct rp_task *task, void *data)
{
    (void)task;
    free_gossip(data);
}

static const struct rp_task_ops gossip_ops = {
    .on_message = on_message,
    .on_timer = on_timer,
    .on_remove = on_remove,
};

/* Registers the task named gossip, which owns the membership table. It sends
 * and receives through the task named wire, which must exist; the settings are
 * copied. Returns NULL with error set when there are too many seeds or the
 * task cannot be added. The task is freed with the kernel. */
struct rp_gossip *
rp_gossip_new(struct rp_kernel *kernel,
              const struct rp_gossip_settings *settings, int64_t now_ns,
              GError **error)
{
    if (settings->seed_count > RP_MEMBER_SEED_LIMIT) {
        g_set_error(error, RP_ERROR, RP_ERROR_SETTING,
                    "%u peers are given and the limit is %d; a few that run "
                    "all the time are enough",
                    settings->seed_count, RP_MEMBER_SEED_LIMIT);
        return NULL;
    }
    struct rp_gossip *gossip = g_new0(struct rp_gossip, 1);
    struct rp_context *context = rp_kernel_context(kernel);
    gossip->kernel = kernel;
    gossip->context = context;
    gossip->wire = rp_kernel_find_task(kernel, "wire");
    gossip->members =
        rp_member_table_new(&context->identity, context->random, now_ns);
    if (settings->single_ring) {
        rp_member_set_single_ring(gossip->members);
    }
    gossip->hints = rp_hint_pool_new();
    gossip->peers =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    gossip->config.phase = RP_CONFIG_STARTING;
    gossip->next_malformed_event_ns = now_ns;
    rp_byte_budget_init(&gossip->push_budget, RP_GOSSIP_PUSH_BYTES_PER_S,
                        RP_GOSSIP_PUSH_BURST_BYTES, now_ns);
    rp_byte_budget_init(&gossip->repair_budget, RP_GOSSIP_REPAIR_BYTES_PER_S,
                        RP_GOSSIP_REPAIR_BURST_BYTES, now_ns);
    rp_byte_budget_init(&gossip->members_budget, RP_GOSSIP_MEMBERS_BYTES_PER_S,
                        RP_GOSSIP_MEMBERS_BURST_BYTES, now_ns);
    rp_byte_budget_init(&gossip->answer_budget, RP_GOSSIP_ANSWER_BYTES_PER_S,
                        RP_GOSSIP_ANSWER_BURST_BYTES, now_ns);
    gossip->task =
        rp_kernel_add_task(kernel, "gossip", &gossip_ops, gossip, error);
    if (gossip->task == NULL) {
        free_gossip(gossip);
        return NULL;
    }
    for (uint32_t i = 0; i < settings->seed_count; i++) {
        rp_member_add_seed(gossip->members, settings->seeds[i]);
    }
    /* Random offsets keep members that start together from sending at the same
     * time. */
    int64_t offset_ns =
        (int64_t)g_rand_int_range(context->random, 0, 500) * 1000000;
    rp_task_set_timer(gossip->task, TIMER_TICK, now_ns + offset_ns);
    offset_ns =
        (int64_t)g_rand_int_range(context->random, 0, MAX_JOIN_DELAY_MS) *
        1000000;
    rp_task_set_timer(gossip->task, TIMER_JOIN, now_ns + offset_ns);
    return gossip;
}

/* Returns the membership table, owned by gossip. */
const struct rp_member_table *
rp_gossip_members(const struct rp_gossip *gossip)
{
    return gossip->members;
}
