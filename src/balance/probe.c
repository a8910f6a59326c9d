#include "probe.h"

#include <string.h>
#include <xxhash.h>

/* Number of latest sends that rp_probe_within_budget checks. */
#define SEND_LOG_LENGTH 64

struct probe_target {
    char *key; /* service, newline, address */
    uint32_t service_bytes;
    char *path;
    int64_t interval_ns;
    int64_t last_ns;     /* latest probe, or when the target was added */
    int64_t previous_ns; /* previous probe, or when the target was added */
    int64_t updated_ns;  /* latest update from any source */
    uint64_t sort_hash;  /* sort key, differs between entry VMs */
    bool present;
    bool active; /* not draining by its record, and not evacuated */
};

struct rp_probe {
    uint32_t fleet_size;
    GHashTable *targets; /* by key */
    GPtrArray *order;    /* the same targets, borrowed, sorted by sort_hash */
    uint64_t seed;
    int64_t min_gap_ns; /* between any two probes of this entry VM */
    int64_t last_ns;    /* of the latest probe, pause or start */
    const struct probe_target *latest;
    int64_t send_log_ns[SEND_LOG_LENGTH];
    uint64_t send_count;
};

static void
free_target(gpointer data)
{
    struct probe_target *target = data;
    g_free(target->key);
    g_free(target->path);
    g_free(target);
}

/* Returns the minimum time between two probes of a target by one entry VM, or
 * INT64_MAX when the budget is zero. */
int64_t
rp_probe_interval_ns(uint32_t probes_per_10s, uint32_t fleet_size)
{
    if (probes_per_10s == 0) {
        return INT64_MAX;
    }
    int64_t fleet_ns = INT64_C(10000000000) * MAX(fleet_size, 1);
    return (fleet_ns + probes_per_10s - 1) / probes_per_10s;
}

/* Creates the probe schedule of one entry VM, without targets. fleet_size is
 * the maximum number of entry VMs, from the settings. The order of targets
 * depends on id, so that entry VMs do not all probe a target at once. Free it
 * with rp_probe_free. */
struct rp_probe *
rp_probe_new(uint32_t fleet_size, const char *id, int64_t now_ns)
{
    struct rp_probe *probe = g_new0(struct rp_probe, 1);
    probe->fleet_size = fleet_size;
    probe->seed = XXH3_64bits(id, strlen(id));
    probe->targets =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_target);
    probe->order = g_ptr_array_new();
    probe->min_gap_ns = INT64_MAX;
    probe->last_ns = now_ns;
    return probe;
}

/* Frees a schedule; NULL is allowed. */
void
rp_probe_free(struct rp_probe *probe)
{
    if (probe == NULL) {
        return;
    }
    g_ptr_array_unref(probe->order);
    g_hash_table_unref(probe->targets);
    g_free(probe);
}

static void
add_target(struct rp_probe *probe, const struct rp_service *service,
           const struct rp_target *source, int64_t now_ns)
{
    char *key = g_strdup_printf("%s\n%s", service->name, source->address);
    struct probe_target *target = g_hash_table_lookup(probe->targets, key);
    if (target == NULL) {
        target = g_new0(struct probe_target, 1);
        target->key = key;
        target->sort_hash =
            XXH3_64bits_withSeed(key, strlen(key), probe->seed);
        target->service_bytes = (uint32_t)strlen(service->name);
        target->last_ns = now_ns;
        target->previous_ns = now_ns;
        target->updated_ns = INT64_MIN;
        g_hash_table_insert(probe->targets, key, target);
    }
    else {
        g_free(key);
    }
    g_free(target->path);
    target->path = g_strdup(service->probe_path);
    target->interval_ns =
        rp_probe_interval_ns(service->probes_per_10s, probe->fleet_size);
    target->present = true;
    target->active = !source->draining && !source->evacuated;
}

static gboolean
is_absent(gpointer key, gpointer value, gpointer data)
{
    (void)key;
    (void)data;
    return !((struct probe_target *)value)->present;
}

static int
compare_hash_order(gconstpointer a, gconstpointer b)
{
    const struct probe_target *const *x = a;
    const struct probe_target *const *y = b;
    return (*x)->sort_hash < (*y)->sort_hash
               ? -1
               : (*x)->sort_hash > (*y)->sort_hash;
}

static void
sort_targets(struct rp_probe *probe)
{
    g_ptr_array_set_size(probe->order, 0);
    double probes_per_ns = 0.0;
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, probe->targets);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        struct probe_target *target = value;
        g_ptr_array_add(probe->order, target);
        if (target->interval_ns != INT64_MAX) {
            probes_per_ns += 1.0 / (double)target->interval_ns;
        }
    }
    g_ptr_array_sort(probe->order, compare_hash_order);
    probe->min_gap_ns =
        probes_per_ns > 0.0 ? (int64_t)(1.0 / probes_per_ns) : INT64_MAX;
}

/* Applies the targets and budgets of a configuration. A target that is new or
 * was missing waits one interval for its first probe. */
void
rp_probe_set_snapshot(struct rp_probe *probe,
                      const struct rp_snapshot *snapshot, int64_t now_ns)
{
    for (guint i = 0; i < probe->order->len; i++) {
        struct probe_target *target = g_ptr_array_index(probe->order, i);
        target->present = false;
    }
    for (uint32_t i = 0; i < rp_snapshot_service_count(snapshot); i++) {
        const struct rp_service *service =
            rp_snapshot_get_service(snapshot, i);
        for (uint32_t j = 0; j < service->target_count; j++) {
            add_target(probe, service, &service->targets[j], now_ns);
        }
    }
    probe->latest = NULL;
    probe->send_count = 0; /* the log is valid for one budget only */
    g_hash_table_foreach_remove(probe->targets, is_absent, NULL);
    sort_targets(probe);
}

/* Records that an answer, a probe or a peer reported the state of a target as
 * of observed_ns. Unknown targets are ignored. */
void
rp_probe_record_update(struct rp_probe *probe, const char *service,
                       const char *address, int64_t observed_ns)
{
    char key[RP_SERVICE_BYTES + RP_ADDRESS_BYTES + 1];
    g_snprintf(key, sizeof(key), "%s\n%s", service, address);
    struct probe_target *target = g_hash_table_lookup(probe->targets, key);
    if (target != NULL && observed_ns > target->updated_ns) {
        target->updated_ns = observed_ns;
    }
}

/* Handles a pause of the process: probes that became due meanwhile are not
 * caught up. */
void
rp_probe_handle_pause(struct rp_probe *probe, int64_t now_ns)
{
    probe->last_ns = MAX(probe->last_ns, now_ns);
}

static int64_t
target_due_ns(const struct probe_target *target)
{
    if (!target->active || target->interval_ns == INT64_MAX) {
        return INT64_MAX;
    }
    int64_t due_ns = target->last_ns + target->interval_ns;
    return target->updated_ns == INT64_MIN
               ? due_ns
               : MAX(due_ns, target->updated_ns + RP_PROBE_FRESH_NS);
}

static struct probe_target *
find_stalest_due(const struct rp_probe *probe, int64_t now_ns)
{
    struct probe_target *best = NULL;
    for (guint i = 0; i < probe->order->len; i++) {
        struct probe_target *target = g_ptr_array_index(probe->order, i);
        if (target_due_ns(target) > now_ns) {
            continue;
        }
        if (best == NULL || target->updated_ns < best->updated_ns ||
            (target->updated_ns == best->updated_ns &&
             target->last_ns < best->last_ns))
        {
            best = target;
        }
    }
    return best;
}

/* Chooses the next target to probe now and counts the probe as sent: the
 * target with the oldest update of those that are due. Returns false when none
 * is due. */
bool
rp_probe_next(struct rp_probe *probe, int64_t now_ns,
              struct rp_probe_choice *choice)
{
    if (probe->min_gap_ns == INT64_MAX ||
        now_ns - probe->last_ns < probe->min_gap_ns)
    {
        return false;
    }
    struct probe_target *target = find_stalest_due(probe, now_ns);
    if (target == NULL) {
        return false;
    }
    target->previous_ns = target->last_ns;
    target->last_ns = now_ns;
    probe->last_ns = now_ns;
    probe->latest = target;
    probe->send_log_ns[probe->send_count++ % SEND_LOG_LENGTH] = now_ns;
    g_strlcpy(choice->service, target->key,
              MIN(target->service_bytes + 1, sizeof(choice->service)));
    g_strlcpy(choice->address, target->key + target->service_bytes + 1,
              sizeof(choice->address));
    g_strlcpy(choice->path, target->path, sizeof(choice->path));
    return true;
}

/* Returns when rp_probe_next may next have a target, at the earliest now_ns,
 * or INT64_MAX. */
int64_t
rp_probe_due_ns(const struct rp_probe *probe, int64_t now_ns)
{
    int64_t due_ns = INT64_MAX;
    for (guint i = 0; i < probe->order->len; i++) {
        due_ns =
            MIN(due_ns, target_due_ns(g_ptr_array_index(probe->order, i)));
    }
    if (due_ns == INT64_MAX) {
        return due_ns;
    }
    return MAX(MAX(due_ns, probe->last_ns + probe->min_gap_ns), now_ns);
}

/* Returns whether the latest probe was within the shares of its target and of
 * this entry VM, checked from the send times alone. The owner of the schedule
 * checks it after each send (invariant measuring-budget). */
bool
rp_probe_within_budget(const struct rp_probe *probe)
{
    const struct probe_target *latest = probe->latest;
    if (latest != NULL &&
        latest->last_ns - latest->previous_ns < latest->interval_ns)
    {
        return false;
    }
    uint64_t logged = MIN(probe->send_count, SEND_LOG_LENGTH);
    for (uint64_t back = 1; back < logged; back++) {
        int64_t newest_ns =
            probe->send_log_ns[(probe->send_count - 1) % SEND_LOG_LENGTH];
        int64_t older_ns = probe->send_log_ns[(probe->send_count - 1 - back) %
                                              SEND_LOG_LENGTH];
        if (newest_ns - older_ns < (int64_t)back * probe->min_gap_ns) {
            return false;
        }
    }
    return true;
}
