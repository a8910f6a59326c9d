#include "soak_world.h"

/* Random faults start until SOAK_FAULTS_END_NS; each of them ends by then. */

static int64_t
random_fault_end_ns(struct soak *soak, int64_t min_ns, int64_t max_ns)
{
    int64_t end_ns = soak_now_ns(soak) + soak_random_ns(soak, min_ns, max_ns);
    return MIN(end_ns, SOAK_FAULTS_END_NS);
}

static uint32_t
random_vm(struct soak *soak)
{
    return (uint32_t)g_rand_int_range(soak->random, 0, SOAK_VMS);
}

static struct fake_target *
random_target(struct soak *soak, uint64_t *index)
{
    *index = (uint64_t)g_rand_int_range(soak->random, 0, SOAK_TARGETS);
    return fake_targets_get(soak->targets, (uint32_t)*index);
}

static void
disturb_all_vms(struct soak *soak, int64_t until_ns)
{
    for (uint32_t i = 0; i < SOAK_VMS; i++) {
        soak_disturb(soak, i, until_ns);
    }
}

static void
restart_process(void *data, uint64_t vm_index)
{
    struct soak *soak = data;
    if (soak->vms[vm_index].process == NULL && !soak->stopped) {
        soak_process_start(soak, (uint32_t)vm_index);
    }
}

static void
kill_process(struct soak *soak)
{
    uint32_t vm_index = random_vm(soak);
    if (soak->vms[vm_index].process == NULL) {
        return;
    }
    soak_process_kill(soak, vm_index);
    fake_clock_schedule(soak->clock,
                        random_fault_end_ns(soak, 100 * SOAK_MS, 8 * SOAK_S),
                        restart_process, soak, vm_index);
}

static void
resume_process(void *data, uint64_t vm_index)
{
    struct soak *soak = data;
    struct fake_process *process = soak->vms[vm_index].process;
    if (process != NULL && process->paused) {
        soak_add_line(soak, "resume entry %u", (unsigned)vm_index);
        fake_process_resume(process);
    }
}

static void
pause_process(struct soak *soak)
{
    uint32_t vm_index = random_vm(soak);
    struct fake_process *process = soak->vms[vm_index].process;
    if (process == NULL || process->paused) {
        return;
    }
    soak_add_line(soak, "pause entry %u", vm_index);
    fake_process_pause(process);
    int64_t end_ns = random_fault_end_ns(soak, 100 * SOAK_MS, 10 * SOAK_S);
    soak_disturb(soak, vm_index, end_ns);
    fake_clock_schedule(soak->clock, end_ns, resume_process, soak, vm_index);
}

static void
kill_stopping_process(void *data, uint64_t vm_index)
{
    struct soak *soak = data;
    if (soak->vms[vm_index].process == NULL || !soak->vms[vm_index].stopping) {
        return;
    }
    soak_process_kill(soak, (uint32_t)vm_index);
    fake_clock_schedule(soak->clock,
                        random_fault_end_ns(soak, 100 * SOAK_MS, 3 * SOAK_S),
                        restart_process, soak, vm_index);
}

/* Stops a process as planned: it finishes its open calls and is killed
 * later. */
static void
stop_process(struct soak *soak)
{
    uint32_t vm_index = random_vm(soak);
    if (soak->vms[vm_index].process == NULL || soak->vms[vm_index].stopping) {
        return;
    }
    soak_process_stop(soak, vm_index);
    fake_clock_schedule(soak->clock,
                        random_fault_end_ns(soak, 6 * SOAK_S, 9 * SOAK_S),
                        kill_stopping_process, soak, vm_index);
}

static void
end_target_cut(void *data, uint64_t vm_index)
{
    struct soak *soak = data;
    soak_add_line(soak, "entry %u reaches the targets", (unsigned)vm_index);
    soak->vms[vm_index].cut_from_targets = false;
}

static void
start_target_cut(struct soak *soak)
{
    uint32_t vm_index = random_vm(soak);
    soak_add_line(soak, "entry %u is cut from the targets", vm_index);
    soak->vms[vm_index].cut_from_targets = true;
    fake_clock_schedule(soak->clock,
                        random_fault_end_ns(soak, SOAK_S, 6 * SOAK_S),
                        end_target_cut, soak, vm_index);
}

static void
end_network_cuts(void *data, uint64_t number)
{
    (void)number;
    struct soak *soak = data;
    soak_add_line(soak, "cuts heal");
    for (uint32_t i = 0; i < SOAK_VMS; i++) {
        for (uint32_t j = 0; j < SOAK_VMS; j++) {
            soak->network.cut[i][j] = false;
        }
    }
}

/* Cuts the network between two random sets of VMs; in 30% of the cuts only one
 * direction is cut. */
static void
start_network_cut(struct soak *soak)
{
    uint32_t side_mask =
        (uint32_t)g_rand_int_range(soak->random, 1, (1 << SOAK_VMS) - 1);
    bool one_way = soak_chance(soak, 300);
    soak_add_line(soak, "cut network, side %x%s", side_mask,
                  one_way ? ", one way" : "");
    for (uint32_t i = 0; i < SOAK_VMS; i++) {
        for (uint32_t j = 0; j < SOAK_VMS; j++) {
            bool from = (side_mask >> i & 1) != 0;
            bool to = (side_mask >> j & 1) != 0;
            if (from != to && (from || !one_way)) {
                soak->network.cut[i][j] = true;
            }
        }
    }
    int64_t end_ns = random_fault_end_ns(soak, SOAK_S, 12 * SOAK_S);
    disturb_all_vms(soak, end_ns);
    fake_clock_schedule(soak->clock, end_ns, end_network_cuts, soak, 0);
}

static void
end_network_disturbance(void *data, uint64_t number)
{
    (void)number;
    struct soak *soak = data;
    soak_add_line(soak, "network is calm");
    soak->network.loss_permille = 0;
    soak->network.duplicate_permille = 0;
    soak->network.max_delay_ns = 0;
}

/* Starts random loss, duplication and delay of messages; the delay also
 * reorders them. */
static void
start_network_disturbance(struct soak *soak)
{
    soak->network.loss_permille =
        (uint32_t)g_rand_int_range(soak->random, 0, 500);
    soak->network.duplicate_permille =
        (uint32_t)g_rand_int_range(soak->random, 0, 500);
    soak->network.max_delay_ns = soak_random_ns(soak, SOAK_MS, 3 * SOAK_S);
    soak_add_line(soak, "network loses %u, duplicates %u, delays %d ms",
                  soak->network.loss_permille,
                  soak->network.duplicate_permille,
                  (int)(soak->network.max_delay_ns / SOAK_MS));
    int64_t end_ns = random_fault_end_ns(soak, SOAK_S, 8 * SOAK_S);
    disturb_all_vms(soak, end_ns);
    fake_clock_schedule(soak->clock, end_ns, end_network_disturbance, soak, 0);
}

static void
end_target_fault(void *data, uint64_t index)
{
    struct soak *soak = data;
    struct fake_target *target =
        fake_targets_get(soak->targets, (uint32_t)index);
    soak_add_line(soak, "target %s heals", target->address);
    target->dead = false;
    target->silent = false;
    target->shed_permille = 0;
    target->wait_ms = 0;
    target->break_permille = 0;
    target->service_ns =
        target->body_bytes > 1000 ? 50 * SOAK_MS : 5 * SOAK_MS;
}

static void
start_target_fault(struct soak *soak)
{
    uint64_t index;
    struct fake_target *target = random_target(soak, &index);
    if (target->leaving_since_ns != 0) {
        return;
    }
    int kind = g_rand_int_range(soak->random, 0, 5);
    static const char *const kinds[] = {"dead", "silent", "sheds", "breaks",
                                        "slow"};
    soak_add_line(soak, "target %s is %s", target->address, kinds[kind]);
    target->dead = kind == 0;
    target->silent = kind == 1;
    target->shed_permille =
        kind == 2 ? (uint32_t)g_rand_int_range(soak->random, 100, 1001) : 0;
    /* Two of three that shed ask for a wait, up to 3 s. */
    target->wait_ms =
        target->shed_permille % 3 > 0 ? target->shed_permille * 3 : 0;
    target->break_permille =
        kind == 3 ? (uint32_t)g_rand_int_range(soak->random, 100, 1001) : 0;
    if (kind == 4) {
        target->service_ns = soak_random_ns(soak, SOAK_MS * 100, SOAK_S);
    }
    fake_clock_schedule(soak->clock,
                        random_fault_end_ns(soak, SOAK_S, 8 * SOAK_S),
                        end_target_fault, soak, index);
}

static void
restore_target(void *data, uint64_t index)
{
    struct soak *soak = data;
    struct fake_target *target =
        fake_targets_get(soak->targets, (uint32_t)index);
    soak_add_line(soak, "target %s is back", target->address);
    target->dead = false;
    target->draining = false;
    target->leaving_since_ns = 0;
    soak_operator_set_draining(soak->operators, (uint32_t)index, false);
}

static void
remove_target(void *data, uint64_t index)
{
    struct soak *soak = data;
    struct fake_target *target =
        fake_targets_get(soak->targets, (uint32_t)index);
    soak_add_line(soak, "target %s goes away", target->address);
    soak_check_target_stop(soak, target);
    target->dead = true;
    fake_clock_schedule(soak->clock,
                        random_fault_end_ns(soak, SOAK_S, 2 * SOAK_S),
                        restore_target, soak, index);
}

static void
drain_target(struct soak *soak)
{
    uint64_t index;
    struct fake_target *target = random_target(soak, &index);
    if (target->leaving_since_ns != 0 || target->dead || target->silent ||
        soak_now_ns(soak) + 15 * SOAK_S > SOAK_FAULTS_END_NS)
    {
        return;
    }
    bool by_target = g_rand_boolean(soak->random);
    soak_add_line(soak, "target %s drains by %s", target->address,
                  by_target ? "its own word" : "record");
    target->leaving_since_ns = soak_now_ns(soak);
    if (by_target) {
        target->draining = true;
    }
    else {
        soak_operator_set_draining(soak->operators, (uint32_t)index, true);
    }
    fake_clock_schedule(soak->clock,
                        random_fault_end_ns(soak, 10 * SOAK_S, 14 * SOAK_S),
                        remove_target, soak, index);
}

static void
end_platform_fault(void *data, uint64_t number)
{
    (void)number;
    struct soak *soak = data;
    soak_add_line(soak, "platform heals");
    fake_platform_set_dead(soak->platform, false);
    fake_platform_set_stale(soak->platform, false);
}

static void
start_platform_fault(struct soak *soak)
{
    bool dead = g_rand_boolean(soak->random);
    soak_add_line(soak, "platform is %s", dead ? "dead" : "stale");
    if (dead) {
        fake_platform_set_dead(soak->platform, true);
    }
    else {
        fake_platform_set_stale(soak->platform, true);
    }
    int64_t end_ns = random_fault_end_ns(soak, SOAK_S, 15 * SOAK_S);
    disturb_all_vms(soak, end_ns);
    fake_clock_schedule(soak->clock, end_ns, end_platform_fault, soak, 0);
}

static void
change_record(struct soak *soak)
{
    soak_operator_change_record(soak->operators);
}

static void (*const faults[])(struct soak *soak) = {
    kill_process,       pause_process,
    start_network_cut,  start_network_disturbance,
    start_target_fault, start_target_fault,
    drain_target,       start_platform_fault,
    change_record,      change_record,
    drain_target,       stop_process,
    start_target_cut,
};

static void
inject_fault(void *data, uint64_t number)
{
    (void)number;
    struct soak *soak = data;
    if (soak->stopped || soak_now_ns(soak) >= SOAK_FAULTS_END_NS) {
        return;
    }
    soak->fault_count++;
    faults[g_rand_int_range(soak->random, 0, G_N_ELEMENTS(faults))](soak);
    fake_clock_schedule(soak->clock,
                        soak_now_ns(soak) +
                            soak_random_ns(soak, 50 * SOAK_MS, 1500 * SOAK_MS),
                        inject_fault, soak, 0);
}

static void
begin_request(void *data, uint64_t number)
{
    (void)number;
    struct soak *soak = data;
    fake_callers_begin_request(soak->callers);
    if (!soak->stopped && soak_now_ns(soak) < SOAK_AGREEMENT_NS) {
        fake_clock_schedule(soak->clock,
                            soak_now_ns(soak) +
                                soak_random_ns(soak, SOAK_MS, 50 * SOAK_MS),
                            begin_request, soak, 0);
    }
}

static void
check_agreement(void *data, uint64_t number)
{
    (void)number;
    struct soak *soak = data;
    if (!soak->stopped) {
        soak_check_agreement(soak);
    }
}

/* Schedules the first request, the first fault and the agreement check. */
void
soak_schedule_start(struct soak *soak)
{
    fake_clock_schedule(soak->clock, 3 * SOAK_S, begin_request, soak, 0);
    fake_clock_schedule(soak->clock, SOAK_FIRST_FAULT_NS, inject_fault, soak,
                        0);
    fake_clock_schedule(soak->clock, SOAK_AGREEMENT_NS, check_agreement, soak,
                        0);
}
