#include "soak_world.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#define KEPT_LINES 3000

/* Adds a line to the time line. */
void
soak_note(struct soak *soak, const char *format, ...)
{
    char text[512];
    va_list arguments;
    va_start(arguments, format);
    int length = g_snprintf(text, sizeof(text), "%9.3f ",
                            (double)soak_now_ns(soak) / 1e9);
    g_vsnprintf(text + length, sizeof(text) - (gulong)length, format,
                arguments);
    va_end(arguments);
    XXH3_64bits_update(soak->digest, text, strlen(text) + 1);
    soak->line_count++;
    if (soak->print) {
        puts(text);
    }
    g_queue_push_tail(soak->lines, g_strdup(text));
    if (g_queue_get_length(soak->lines) > KEPT_LINES) {
        g_free(g_queue_pop_head(soak->lines));
    }
}

/* Prints the latest lines. */
void
soak_print_lines(struct soak *soak)
{
    for (GList *line = soak->lines->head; line != NULL; line = line->next) {
        puts(line->data);
    }
}

/* Takes note that a check failed. */
void
soak_fail(struct soak *soak, const char *check, const char *detail)
{
    soak->failures++;
    soak_note(soak, "FAILED %s: %s", check, detail);
}

/* Returns the present virtual time. */
int64_t
soak_now_ns(const struct soak *soak)
{
    return fake_clock_now_ns(soak->clock);
}

/* Returns the place of a target in the list. */
uint32_t
soak_target_index(const struct soak *soak, const struct fake_target *target)
{
    uint32_t index = 0;
    while (fake_targets_get(soak->targets, index) != target) {
        index++;
    }
    return index;
}

/* Returns true with the given chance. */
bool
soak_chance(struct soak *soak, uint32_t permille)
{
    return (uint32_t)g_rand_int_range(soak->random, 0, 1000) < permille;
}

/* Returns a random time span. */
int64_t
soak_random_ns(struct soak *soak, int64_t least_ns, int64_t most_ns)
{
    return least_ns + (int64_t)(g_rand_double(soak->random) *
                                (double)(most_ns - least_ns));
}

/* Takes note that a place is disturbed until a time, so that it cannot be
 * expected to know what happens meanwhile. */
void
soak_disturb(struct soak *soak, uint32_t place, int64_t until_ns)
{
    int64_t *until = &soak->places[place].disturbed_until_ns;
    *until = MAX(*until, until_ns);
}

static void
note_events(struct soak *soak, struct soak_place *place)
{
    const struct rp_event_ring *events = place->process->context->events;
    for (; place->events_seen < rp_event_ring_end_sequence(events);
         place->events_seen++)
    {
        const struct rp_event *event =
            rp_event_ring_get(events, place->events_seen);
        if (event != NULL) {
            soak_note(soak, "entry %u %s %s %s: %s", place->index,
                      rp_event_kind_name(event->kind), event->subject,
                      event->request, event->detail);
        }
    }
}

static void
after_run(struct fake_process *process, void *data)
{
    struct soak *soak = data;
    struct soak_place *place = &soak->places[process->index];
    note_events(soak, place);
    soak_check_config(soak, place);
}

struct probe_start {
    struct soak *soak;
    struct soak_place *place;
};

struct late_probe {
    struct soak *soak;
    struct rp_prober *prober;
    struct fake_target *target;
    struct rp_probe_result result;
};

static void
finish_probe(struct fake_process *process, void *data, uint64_t number)
{
    (void)number;
    struct late_probe *late = data;
    if (process != NULL) {
        if (late->result.has_load &&
            late->result.load.state == RP_TARGET_DRAINING) {
            soak_check_told(late->soak, process->index, late->target);
        }
        rp_prober_finish(late->prober, &late->result,
                         fake_clock_now_ns(process->clock));
    }
    g_free(late);
}

static bool
start_probe(void *data, uint64_t probe_id,
            const struct rp_probe_choice *choice)
{
    struct probe_start *start = data;
    struct soak *soak = start->soak;
    struct fake_process *process = start->place->process;
    struct late_probe *late = g_new0(struct late_probe, 1);
    late->soak = soak;
    late->prober = start->place->prober;
    late->result.probe_id = probe_id;
    for (uint32_t i = 0; i < fake_targets_count(soak->targets); i++) {
        struct fake_target *target = fake_targets_get(soak->targets, i);
        if (strcmp(target->address, choice->address) != 0) {
            continue;
        }
        soak_check_probe(soak, i, start->place->index);
        late->target = target;
        late->result.answered = !target->dead;
        late->result.has_load = !target->dead;
        fake_targets_load(target, &late->result.load);
    }
    int64_t way_ns = soak_random_ns(soak, SOAK_MS, 4 * SOAK_MS);
    fake_process_input_at(process, soak_now_ns(soak) + way_ns, finish_probe,
                          late, 0);
    return true;
}

static void
add_tasks(struct soak *soak, struct soak_place *place)
{
    struct fake_process *process = place->process;
    struct rp_kernel *kernel = process->kernel;
    int64_t now_ns = soak_now_ns(soak);
    const char *seeds[SOAK_PLACES];
    for (uint32_t i = 0; i < SOAK_PLACES; i++) {
        seeds[i] = soak->network.address[i];
    }
    struct rp_gossip_settings gossip = {seeds, SOAK_PLACES};
    struct rp_dispatch_config dispatch = {
        .ticket_key = {(const uint8_t *)"key of the soak's fleet, 32 bytes",
                       32},
    };
    struct probe_start *start = g_new0(struct probe_start, 1);
    start->soak = soak;
    start->place = place;
    struct rp_prober_transport transport = {start_probe, g_free, start};
    fake_network_attach(&soak->network, process);
    fake_platform_attach(soak->platform, process, place->index < 2);
    fake_targets_attach(soak->targets, process);
    fake_callers_attach(soak->callers, process);
    place->config = rp_config_task_add(kernel, 30 * SOAK_S, now_ns, NULL);
    place->gossip = rp_gossip_new(kernel, &gossip, now_ns, NULL);
    place->dispatch = rp_dispatch_new(kernel, &dispatch, now_ns, NULL);
    place->prober = rp_prober_new(kernel, &transport, now_ns, NULL);
}

/* Starts an entry process at a place. */
void
soak_place_start(struct soak *soak, uint32_t index)
{
    struct soak_place *place = &soak->places[index];
    struct rp_identity identity = {.incarnation = ++place->incarnation,
                                   .fleet_size = SOAK_PLACES};
    g_snprintf(identity.id, sizeof(identity.id), "vm-%u", index);
    g_snprintf(identity.domain, sizeof(identity.domain), "d%u", index % 3);
    g_snprintf(identity.address, sizeof(identity.address), "10.0.0.%u:80",
               index);
    g_strlcpy(identity.peer_address, soak->network.address[index],
              sizeof(identity.peer_address));
    place->process =
        fake_process_new(soak->clock, &identity, g_rand_int(soak->random));
    place->process->index = index;
    place->process->after_run = after_run;
    place->process->data = soak;
    place->events_seen = 0;
    memset(place->orders, 0, sizeof(place->orders));
    memset(place->told_ns, 0, sizeof(place->told_ns));
    soak_note(soak, "start entry %u incarnation %u", index,
              (unsigned)place->incarnation);
    soak_disturb(soak, index, soak_now_ns(soak));
    add_tasks(soak, place);
    fake_process_start(place->process);
}

/* Kills the entry process at a place. */
void
soak_place_kill(struct soak *soak, uint32_t index)
{
    struct soak_place *place = &soak->places[index];
    struct fake_process *process = place->process;
    if (process == NULL) {
        return;
    }
    soak_note(soak, "kill entry %u", index);
    place->process = NULL;
    place->stopping = false;
    soak->network.at[index] = NULL;
    fake_process_end(process);
    rp_prober_free(place->prober);
    fake_callers_process_ended(soak->callers, process);
    fake_process_unref(process);
}

static void
request_stop(struct fake_process *process, void *data, uint64_t number)
{
    (void)data;
    (void)number;
    if (process != NULL) {
        rp_kernel_request_stop(process->kernel);
    }
}

/* Stops the entry process at a place gracefully; it is killed later. */
void
soak_place_stop(struct soak *soak, uint32_t index)
{
    struct soak_place *place = &soak->places[index];
    soak_note(soak, "stop entry %u", index);
    place->stopping = true;
    fake_process_input(place->process, request_stop, NULL, 0);
    soak_set_list(soak);
}

static struct fake_process *
choose_process(void *data)
{
    struct soak *soak = data;
    return soak->places[g_rand_int_range(soak->random, 0, SOAK_PLACES)]
        .process;
}

/* Any entry process answers with the prefixes that it knows by gossip. */
static bool
write_prefix(void *data, struct fake_process *process,
             char prefix[FAKE_TICKET_BYTES])
{
    struct soak *soak = data;
    uint32_t index = (uint32_t)g_rand_int_range(soak->random, 0, SOAK_PLACES);
    const struct soak_place *place = &soak->places[index];
    if (place->process == NULL || soak_chance(soak, 500)) {
        place = &soak->places[process->index];
    }
    struct rp_member_view *view =
        rp_member_view_new(rp_gossip_members(place->gossip));
    const struct rp_member *member =
        rp_member_view_find(view, process->context->identity.id);
    bool found = member != NULL && member->info.ticket_prefix[0] != '\0' &&
                 member->ticket_expires_ns > soak_now_ns(soak);
    if (found) {
        g_strlcpy(prefix, member->info.ticket_prefix, FAKE_TICKET_BYTES);
    }
    rp_member_view_unref(view);
    return found;
}

static void
on_failed(void *data, const char *check, const char *detail)
{
    soak_fail(data, check, detail);
}

static void
on_ran(void *data, struct fake_target *target, const struct rp_call *call,
       struct fake_process *process)
{
    struct soak *soak = data;
    soak_note(soak, "target %s runs %s", target->address, call->request_id);
    fake_callers_request_started(soak->callers, call);
    soak_check_request_started(soak, target, process);
}

static void
on_told(void *data, struct fake_process *process,
        const struct fake_target *target)
{
    soak_check_told(data, process->index, target);
}

static bool
is_cut(void *data, struct fake_process *process,
       const struct fake_target *target)
{
    (void)target;
    const struct soak *soak = data;
    return soak->places[process->index].cut_from_targets;
}

static bool
pass_on(void *data, struct fake_process *process,
        const struct rp_attempt_start *start)
{
    struct soak *soak = data;
    for (uint32_t i = 0; i < SOAK_PLACES; i++) {
        struct fake_process *to = soak->places[i].process;
        if (to != NULL && !soak->network.cut[process->index][i] &&
            strcmp(to->context->identity.address, start->address) == 0)
        {
            soak_note(soak, "entry %u passes %s on to entry %u",
                      process->index, start->call->request_id, i);
            return fake_callers_pass_on(soak->callers, process, to, start);
        }
    }
    return false;
}

static void
note_caller(void *data, const char *format, ...)
{
    char text[256];
    va_list arguments;
    va_start(arguments, format);
    g_vsnprintf(text, sizeof(text), format, arguments);
    va_end(arguments);
    soak_note(data, "%s", text);
}

static void
add_targets(struct soak *soak)
{
    static const char *const services[] = {"lookup", "refill", "maps"};
    for (uint32_t i = 0; i < SOAK_TARGETS; i++) {
        char address[RP_ADDRESS_BYTES];
        g_snprintf(address, sizeof(address), "10.1.0.%u:80", i);
        uint32_t service = i < 4 ? 0 : i < 9 ? 1 : 2;
        struct fake_target *target =
            fake_targets_add(soak->targets, address, services[service]);
        if (service == 2) {
            target->body_bytes = 150000;
            target->service_ns = 50 * SOAK_MS;
        }
        soak->probe_logs[i].sent_ns =
            g_array_new(FALSE, FALSE, sizeof(int64_t));
    }
}

/* Takes the present state of the places into the platform's list. */
void
soak_set_list(struct soak *soak)
{
    struct rp_vm_list *list = rp_vm_list_new(1);
    for (uint32_t i = 0; i < SOAK_PLACES; i++) {
        struct rp_vm vm = {.entry = true, .leaving = soak->places[i].stopping};
        g_snprintf(vm.id, sizeof(vm.id), "vm-%u", i);
        g_snprintf(vm.domain, sizeof(vm.domain), "d%u", i % 3);
        g_snprintf(vm.address, sizeof(vm.address), "10.0.0.%u:80", i);
        g_strlcpy(vm.peer, soak->network.address[i], sizeof(vm.peer));
        rp_vm_list_add(list, &vm);
    }
    fake_platform_set_list(soak->platform, list);
}

/* Creates the world of one run. */
struct soak *
soak_new(uint64_t seed, bool print)
{
    struct soak *soak = g_new0(struct soak, 1);
    guint32 seeds[] = {(guint32)seed, (guint32)(seed >> 32)};
    soak->seed = seed;
    soak->print = print;
    soak->clock = fake_clock_new();
    soak->random = g_rand_new_with_seed_array(seeds, G_N_ELEMENTS(seeds));
    soak->lines = g_queue_new();
    soak->digest = XXH3_createState();
    XXH3_64bits_reset(soak->digest);
    soak->network.clock = soak->clock;
    soak->network.random = soak->random;
    soak->network.place_count = SOAK_PLACES;
    for (uint32_t i = 0; i < SOAK_PLACES; i++) {
        soak->places[i].index = i;
        g_snprintf(soak->network.address[i], RP_ADDRESS_BYTES,
                   "10.0.1.%u:7000", i);
    }
    struct fake_target_hooks target_hooks = {on_ran, on_told, on_failed,
                                             is_cut, pass_on, soak};
    struct fake_caller_hooks caller_hooks = {choose_process, write_prefix,
                                             on_failed, note_caller, soak};
    soak->targets = fake_targets_new(soak->clock, soak->random, &target_hooks);
    soak->callers = fake_callers_new(soak->clock, soak->random, &caller_hooks);
    soak->platform = fake_platform_new(soak->clock);
    add_targets(soak);
    soak_set_list(soak);
    soak->operators = soak_operator_new(soak);
    return soak;
}

/* Frees the world. */
void
soak_free(struct soak *soak)
{
    soak->over = true;
    fake_callers_stop(soak->callers);
    for (uint32_t i = 0; i < SOAK_PLACES; i++) {
        soak_place_kill(soak, i);
    }
    /* What is still under way is freed by the processes' absence. */
    while (fake_clock_step(soak->clock, INT64_MAX)) {
    }
    soak_operator_free(soak->operators);
    fake_callers_free(soak->callers);
    fake_targets_free(soak->targets);
    fake_platform_free(soak->platform);
    for (uint32_t i = 0; i < SOAK_TARGETS; i++) {
        g_array_unref(soak->probe_logs[i].sent_ns);
    }
    g_queue_free_full(soak->lines, g_free);
    XXH3_freeState(soak->digest);
    g_rand_free(soak->random);
    fake_clock_free(soak->clock);
    g_free(soak);
}

/* Runs the schedule to its end and returns the digest of the time line. */
uint64_t
soak_run(struct soak *soak)
{
    for (uint32_t i = 0; i < SOAK_PLACES; i++) {
        soak_place_start(soak, i);
    }
    soak_schedule_start(soak);
    while (soak->failures == 0 && fake_clock_step(soak->clock, SOAK_END_NS)) {
    }
    for (uint32_t i = 0; i < SOAK_PLACES; i++) {
        if (soak->places[i].process != NULL) {
            const struct rp_counters *counters =
                &soak->places[i].process->context->counters;
            XXH3_64bits_update(soak->digest, counters, sizeof(*counters));
        }
    }
    return XXH3_64bits_digest(soak->digest);
}
