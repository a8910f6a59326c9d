#include "soak_world.h"

/* Faults are drawn at random until SOAK_HEAL_NS; each ends by then. */

static int64_t
fault_end_ns(struct soak *soak, int64_t least_ns, int64_t most_ns)
{
    int64_t end_ns =
        soak_now_ns(soak) + soak_random_ns(soak, least_ns, most_ns);
    return MIN(end_ns, SOAK_HEAL_NS);
}

static uint32_t
random_place(struct soak *soak)
{
    return (uint32_t)g_rand_int_range(soak->random, 0, SOAK_PLACES);
}

static struct fake_target *
random_target(struct soak *soak, uint64_t *index)
{
    *index = (uint64_t)g_rand_int_range(soak->random, 0, SOAK_TARGETS);
    return fake_targets_get(soak->targets, (uint32_t)*index);
}

static void
disturb_all(struct soak *soak, int64_t until_ns)
{
    for (uint32_t i = 0; i < SOAK_PLACES; i++) {
        soak_disturb(soak, i, until_ns);
    }
}

static void
restart(void *data, uint64_t place)
{
    struct soak *soak = data;
    if (soak->places[place].process == NULL && !soak->over) {
        soak_place_start(soak, (uint32_t)place);
    }
}

static void
kill_place(struct soak *soak)
{
    uint32_t place = random_place(soak);
    if (soak->places[place].process == NULL) {
        return;
    }
    soak_place_kill(soak, place);
    fake_clock_at(soak->clock, fault_end_ns(soak, 100 * SOAK_MS, 8 * SOAK_S),
                  restart, soak, place);
}

static void
resume(void *data, uint64_t place)
{
    struct soak *soak = data;
    struct fake_process *process = soak->places[place].process;
    if (process != NULL && process->paused) {
        soak_note(soak, "resume entry %u", (unsigned)place);
        fake_process_resume(process);
    }
}

static void
pause_place(struct soak *soak)
{
    uint32_t place = random_place(soak);
    struct fake_process *process = soak->places[place].process;
    if (process == NULL || process->paused) {
        return;
    }
    soak_note(soak, "pause entry %u", place);
    fake_process_pause(process);
    int64_t end_ns = fault_end_ns(soak, 100 * SOAK_MS, 10 * SOAK_S);
    soak_disturb(soak, place, end_ns);
    fake_clock_at(soak->clock, end_ns, resume, soak, place);
}

static void
kill_stopped(void *data, uint64_t place)
{
    struct soak *soak = data;
    if (soak->places[place].process == NULL || !soak->places[place].stopping) {
        return;
    }
    soak_place_kill(soak, (uint32_t)place);
    fake_clock_at(soak->clock, fault_end_ns(soak, 100 * SOAK_MS, 3 * SOAK_S),
                  restart, soak, place);
}

/* A planned stop: the process is told, finishes what it has, and ends. */
static void
stop_place(struct soak *soak)
{
    uint32_t place = random_place(soak);
    if (soak->places[place].process == NULL || soak->places[place].stopping) {
        return;
    }
    soak_place_stop(soak, place);
    fake_clock_at(soak->clock, fault_end_ns(soak, 6 * SOAK_S, 9 * SOAK_S),
                  kill_stopped, soak, place);
}

static void
heal_target_cut(void *data, uint64_t place)
{
    struct soak *soak = data;
    soak_note(soak, "entry %u reaches the targets", (unsigned)place);
    soak->places[place].cut_from_targets = false;
}

static void
cut_from_targets(struct soak *soak)
{
    uint32_t place = random_place(soak);
    soak_note(soak, "entry %u is cut from the targets", place);
    soak->places[place].cut_from_targets = true;
    fake_clock_at(soak->clock, fault_end_ns(soak, SOAK_S, 6 * SOAK_S),
                  heal_target_cut, soak, place);
}

static void
heal_cuts(void *data, uint64_t number)
{
    (void)number;
    struct soak *soak = data;
    soak_note(soak, "cuts heal");
    for (uint32_t i = 0; i < SOAK_PLACES; i++) {
        for (uint32_t j = 0; j < SOAK_PLACES; j++) {
            soak->network.cut[i][j] = false;
        }
    }
}

/* Cuts the places into two sides, now and then in one direction only. */
static void
cut_network(struct soak *soak)
{
    uint32_t side =
        (uint32_t)g_rand_int_range(soak->random, 1, (1 << SOAK_PLACES) - 1);
    bool one_way = soak_chance(soak, 300);
    soak_note(soak, "cut network, side %x%s", side,
              one_way ? ", one way" : "");
    for (uint32_t i = 0; i < SOAK_PLACES; i++) {
        for (uint32_t j = 0; j < SOAK_PLACES; j++) {
            bool from = (side >> i & 1) != 0;
            bool to = (side >> j & 1) != 0;
            if (from != to && (from || !one_way)) {
                soak->network.cut[i][j] = true;
            }
        }
    }
    int64_t end_ns = fault_end_ns(soak, SOAK_S, 12 * SOAK_S);
    disturb_all(soak, end_ns);
    fake_clock_at(soak->clock, end_ns, heal_cuts, soak, 0);
}

static void
calm_network(void *data, uint64_t number)
{
    (void)number;
    struct soak *soak = data;
    soak_note(soak, "network is calm");
    soak->network.lose_permille = 0;
    soak->network.duplicate_permille = 0;
    soak->network.delay_ns = 0;
}

/* Loss, duplicates, and delays that put messages out of order. */
static void
disturb_network(struct soak *soak)
{
    soak->network.lose_permille =
        (uint32_t)g_rand_int_range(soak->random, 0, 500);
    soak->network.duplicate_permille =
        (uint32_t)g_rand_int_range(soak->random, 0, 500);
    soak->network.delay_ns = soak_random_ns(soak, SOAK_MS, 3 * SOAK_S);
    soak_note(soak, "network loses %u, duplicates %u, delays %d ms",
              soak->network.lose_permille, soak->network.duplicate_permille,
              (int)(soak->network.delay_ns / SOAK_MS));
    int64_t end_ns = fault_end_ns(soak, SOAK_S, 8 * SOAK_S);
    disturb_all(soak, end_ns);
    fake_clock_at(soak->clock, end_ns, calm_network, soak, 0);
}

static void
heal_target(void *data, uint64_t index)
{
    struct soak *soak = data;
    struct fake_target *target =
        fake_targets_get(soak->targets, (uint32_t)index);
    soak_note(soak, "target %s heals", target->address);
    target->dead = false;
    target->silent = false;
    target->shed_permille = 0;
    target->break_permille = 0;
    target->service_ns =
        target->body_bytes > 1000 ? 50 * SOAK_MS : 5 * SOAK_MS;
}

static void
hurt_target(struct soak *soak)
{
    uint64_t index;
    struct fake_target *target = random_target(soak, &index);
    if (target->leaves_ns != 0) {
        return;
    }
    int kind = g_rand_int_range(soak->random, 0, 5);
    static const char *const kinds[] = {"dead", "silent", "sheds", "breaks",
                                        "slow"};
    soak_note(soak, "target %s is %s", target->address, kinds[kind]);
    target->dead = kind == 0;
    target->silent = kind == 1;
    target->shed_permille =
        kind == 2 ? (uint32_t)g_rand_int_range(soak->random, 100, 1001) : 0;
    target->break_permille =
        kind == 3 ? (uint32_t)g_rand_int_range(soak->random, 100, 1001) : 0;
    if (kind == 4) {
        target->service_ns = soak_random_ns(soak, SOAK_MS * 100, SOAK_S);
    }
    fake_clock_at(soak->clock, fault_end_ns(soak, SOAK_S, 8 * SOAK_S),
                  heal_target, soak, index);
}

static void
come_back(void *data, uint64_t index)
{
    struct soak *soak = data;
    struct fake_target *target =
        fake_targets_get(soak->targets, (uint32_t)index);
    soak_note(soak, "target %s is back", target->address);
    target->dead = false;
    target->draining = false;
    target->leaves_ns = 0;
    soak_operator_drain(soak->operators, (uint32_t)index, false);
}

static void
go_away(void *data, uint64_t index)
{
    struct soak *soak = data;
    struct fake_target *target =
        fake_targets_get(soak->targets, (uint32_t)index);
    soak_note(soak, "target %s goes away", target->address);
    soak_check_target_stop(soak, target);
    target->dead = true;
    fake_clock_at(soak->clock, fault_end_ns(soak, SOAK_S, 2 * SOAK_S),
                  come_back, soak, index);
}

static void
drain_target(struct soak *soak)
{
    uint64_t index;
    struct fake_target *target = random_target(soak, &index);
    if (target->leaves_ns != 0 || target->dead || target->silent ||
        soak_now_ns(soak) + 15 * SOAK_S > SOAK_HEAL_NS)
    {
        return;
    }
    bool own_word = g_rand_boolean(soak->random);
    soak_note(soak, "target %s drains by %s", target->address,
              own_word ? "its own word" : "record");
    target->leaves_ns = soak_now_ns(soak);
    if (own_word) {
        target->draining = true;
    }
    else {
        soak_operator_drain(soak->operators, (uint32_t)index, true);
    }
    fake_clock_at(soak->clock, fault_end_ns(soak, 10 * SOAK_S, 14 * SOAK_S),
                  go_away, soak, index);
}

static void
heal_platform(void *data, uint64_t number)
{
    (void)number;
    struct soak *soak = data;
    soak_note(soak, "platform heals");
    fake_platform_set_dead(soak->platform, false);
    fake_platform_set_stale(soak->platform, false);
}

static void
hurt_platform(struct soak *soak)
{
    bool dead = g_rand_boolean(soak->random);
    soak_note(soak, "platform is %s", dead ? "dead" : "stale");
    if (dead) {
        fake_platform_set_dead(soak->platform, true);
    }
    else {
        fake_platform_set_stale(soak->platform, true);
    }
    int64_t end_ns = fault_end_ns(soak, SOAK_S, 15 * SOAK_S);
    disturb_all(soak, end_ns);
    fake_clock_at(soak->clock, end_ns, heal_platform, soak, 0);
}

static void
publish(struct soak *soak)
{
    soak_operator_act(soak->operators);
}

static void (*const faults[])(struct soak *soak) = {
    kill_place,   pause_place,  cut_network,      disturb_network, hurt_target,
    hurt_target,  drain_target, hurt_platform,    publish,         publish,
    drain_target, stop_place,   cut_from_targets,
};

static void
next_fault(void *data, uint64_t number)
{
    (void)number;
    struct soak *soak = data;
    if (soak->over || soak_now_ns(soak) >= SOAK_HEAL_NS) {
        return;
    }
    soak->faults++;
    faults[g_rand_int_range(soak->random, 0, G_N_ELEMENTS(faults))](soak);
    fake_clock_at(soak->clock,
                  soak_now_ns(soak) +
                      soak_random_ns(soak, 50 * SOAK_MS, 1500 * SOAK_MS),
                  next_fault, soak, 0);
}

static void
next_request(void *data, uint64_t number)
{
    (void)number;
    struct soak *soak = data;
    fake_callers_begin(soak->callers);
    if (!soak->over && soak_now_ns(soak) < SOAK_AGREE_NS) {
        fake_clock_at(soak->clock,
                      soak_now_ns(soak) +
                          soak_random_ns(soak, SOAK_MS, 50 * SOAK_MS),
                      next_request, soak, 0);
    }
}

static void
check_agreement(void *data, uint64_t number)
{
    (void)number;
    struct soak *soak = data;
    if (!soak->over) {
        soak_check_agreement(soak);
    }
}

/* Sets up the callers, the faults and the check at the end. */
void
soak_schedule_start(struct soak *soak)
{
    fake_clock_at(soak->clock, 3 * SOAK_S, next_request, soak, 0);
    fake_clock_at(soak->clock, SOAK_FAULTS_FROM_NS, next_fault, soak, 0);
    fake_clock_at(soak->clock, SOAK_AGREE_NS, check_agreement, soak, 0);
}
