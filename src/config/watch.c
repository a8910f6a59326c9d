#include "watch.h"

#include <glib.h>
#include <string.h>
#include <xxhash.h>

/* A watcher reads in cycles: three reads of the records, then one of the list
 * of VMs. The wait times spread the three answers evenly over the cycle, so
 * that the freshness is at most 1.34 s old with one watcher. */
#define CYCLE_READS 4
/* The NO_LIST_ constants apply to a platform that has no list of VMs, where
 * watchers read records only. A read whose connection has gone silent fails
 * after this wait time plus the read timeout. */
#define NO_LIST_WAIT_MS 2000
/* It is rare that all of these watchers fail at once; other VMs are then
 * promoted after the delays below. */
#define NO_LIST_MAX_WATCHERS 5u
#define NO_LIST_MIN_READ_INTERVAL_NS INT64_C(700000000)
/* A listing that follows a watch takes many times as long as the watch, and a
 * platform that refuses each watch would be listed without a pause. */
#define NO_LIST_MIN_LISTING_INTERVAL_NS INT64_C(1000000000)
/* Interval at which a VM that does not watch reads the platform's revision. */
#define MIN_REVISION_INTERVAL_NS INT64_C(1000000000)
/* The interval is at least this times the number of entry VMs, so that a large
 * fleet reads the revision at most 14 times a second in total. */
#define REVISION_INTERVAL_PER_VM_NS INT64_C(70000000)
/* A VM that does not watch reads records itself when peers have not delivered
 * a known later revision within the delay. The delay is longer by up to the
 * spread, depending on the hash of the VM's id, so that the VMs do not read at
 * the same time. */
#define CATCH_UP_DELAY_NS INT64_C(400000000)
#define CATCH_UP_SPREAD_NS INT64_C(300000000)
/* A watcher's freshness reaches every VM within one wait time and two hops
 * between peers. */
#define NO_LIST_MAX_FRESHNESS_AGE_NS RP_WATCH_MAX_PEER_AGE_NS
#define NO_LIST_PROMOTION_SPREAD_NS INT64_C(500000000)
/* While peers are heard and none of them has news, most likely the platform is
 * down for all: the VMs are then promoted over this time for each of them, 14
 * a second, so that hundreds do not call a platform that is down. */
#define PROMOTION_SPREAD_PER_VM_NS INT64_C(70000000)
/* Three heartbeat intervals without one: this VM is cut off from its peers,
 * and does not wait for them. */
#define MAX_PEER_SILENCE_NS INT64_C(1500000000)
#define NO_LIST_MIN_PROMOTED_NS INT64_C(5000000000)
#define NO_LIST_DEMOTION_SPREAD_NS INT64_C(5000000000)
#define NO_LIST_MIN_BACKOFF_NS INT64_C(500000000)
#define NO_LIST_MAX_BACKOFF_NS INT64_C(1000000000)
/* For this time after its start a VM knows too few members to determine
 * whether it is chosen, since membership spreads in ceil(log2 fleet)
 * heartbeats. Only the seeds watch until then. */
#define NO_LIST_SETTLE_NS INT64_C(3000000000)
/* A watcher delays spreading changes by this for each watcher that ranks
 * before it. A push takes some milliseconds for each of the ceil(log2 fleet)
 * hops. */
#define NO_LIST_SPREAD_DELAY_PER_RANK_NS INT64_C(100000000)
/* A starting VM with less capacity than this, in permille of a core, gets its
 * records from peers and reads the platform only if they send none: callers
 * are directed to greater VMs, which read at once. Otherwise hundreds of VMs
 * that start together would each read all records. The wait covers a few
 * heartbeats on the way from the first VM that has read. */
#define IMMEDIATE_READ_CAPACITY_PERMILLE 200u
#define PEER_RECORDS_WAIT_NS INT64_C(3000000000)
#define PEER_RECORDS_SPREAD_NS INT64_C(3000000000)
static const int64_t cycle_wait_ms[CYCLE_READS - 1] = {333, 667, 1000};

/* A promoted VM watches for at least one to two times this long, by the hash
 * of its id, so that promoted VMs do not stop at the same time. */
#define MIN_PROMOTED_NS INT64_C(10000000000)
/* A freshness received from peers may originate from this VM's own reads
 * unless it is later than those by this much. */
#define MIN_FRESHNESS_LEAD_NS INT64_C(300000000)

struct rp_watch {
    char *local_id;
    double id_hash; /* of local_id, from 0 to 1 */
    enum rp_watch_role role;
    bool chosen;
    bool is_seed;          /* watches before any member is known */
    int64_t settle_end_ns; /* until then, only seeds watch */
    uint32_t chosen_rank;  /* among the chosen VMs, from 0 */
    bool has_vms;
    bool no_vm_list; /* the platform provides no list of VMs */
    bool has_records;
    bool has_more_pages; /* of records, after those read so far */
    enum rp_watch_read reading;
    uint32_t cycle_slot; /* position in the cycle, modulo CYCLE_READS */
    uint32_t consecutive_failures;
    int64_t min_read_start_ns;    /* earliest start of the next read */
    int64_t min_listing_start_ns; /* of the next listing after a watch */
    int64_t idle_read_ns;         /* next read of the list of VMs while idle */
    int64_t idle_interval_ns;
    int64_t latest_fresh_ns; /* latest, from reads of this VM or its peers */
    int64_t local_fresh_ns;  /* from reads of this VM */
    int64_t peer_heard_ns;   /* last time that a peer reported a freshness */
    int64_t fleet_spread_ns; /* of promotions while peers are heard */
    int64_t peer_fresher_ns; /* last time that a peer's freshness was later */
    int64_t promotion_start_ns;
    int64_t revision_interval_ns;
    int64_t revision_read_ns; /* next read of the revision while idle */
    int64_t behind_since_ns;  /* 0 when not behind */
};

struct candidate {
    const struct rp_vm *vm;
    uint64_t weight;
    uint32_t rank; /* within its failure domain */
};

static gint
compare_in_domain(gconstpointer left, gconstpointer right)
{
    const struct candidate *a = left;
    const struct candidate *b = right;
    int order = strcmp(a->vm->domain, b->vm->domain);
    if (order != 0) {
        return order;
    }
    if (a->weight != b->weight) {
        return a->weight > b->weight ? -1 : 1;
    }
    return strcmp(a->vm->id, b->vm->id);
}

static gint
compare_ranks(gconstpointer left, gconstpointer right)
{
    const struct candidate *a = left;
    const struct candidate *b = right;
    if (a->rank != b->rank) {
        return a->rank < b->rank ? -1 : 1;
    }
    if (a->weight != b->weight) {
        return a->weight > b->weight ? -1 : 1;
    }
    return strcmp(a->vm->id, b->vm->id);
}

/* Chooses the watchers among the live entry VMs by rendezvous hashing (Thaler
 * and Ravishankar, 1998): the greatest RP_WATCH_MAX_PER_DOMAIN hashes of each
 * failure domain, and of these at most RP_WATCH_MAX_WATCHERS, the first of
 * each domain before the second ones. A VM that joins or leaves changes few
 * choices. Returns the number of watchers; they belong to the list. */
uint32_t
rp_watch_choose(const struct rp_vm_list *list,
                const struct rp_vm *chosen[RP_WATCH_MAX_WATCHERS])
{
    GArray *candidates = g_array_new(FALSE, FALSE, sizeof(struct candidate));
    for (uint32_t i = 0; i < rp_vm_list_count(list); i++) {
        const struct rp_vm *vm = rp_vm_list_get(list, i);
        if (vm->entry && !vm->leaving) {
            struct candidate candidate = {
                vm, XXH3_64bits(vm->id, strlen(vm->id)), 0};
            g_array_append_val(candidates, candidate);
        }
    }
    g_array_sort(candidates, compare_in_domain);
    for (guint i = 1; i < candidates->len; i++) {
        struct candidate *all = (struct candidate *)candidates->data;
        bool same_domain =
            strcmp(all[i].vm->domain, all[i - 1].vm->domain) == 0;
        all[i].rank = same_domain ? all[i - 1].rank + 1 : 0;
    }
    g_array_sort(candidates, compare_ranks);
    uint32_t count = 0;
    for (guint i = 0; i < candidates->len && count < RP_WATCH_MAX_WATCHERS;
         i++) {
        const struct candidate *candidate =
            &g_array_index(candidates, struct candidate, i);
        if (candidate->rank < RP_WATCH_MAX_PER_DOMAIN) {
            chosen[count++] = candidate->vm;
        }
    }
    g_array_unref(candidates);
    return count;
}

/* Returns a hash of an id as a number from 0 to 1. */
static double
hash_of_id(const char *id)
{
    uint64_t hash = XXH3_64bits_withSeed(id, strlen(id), 1);
    return (double)(hash >> 11) / (double)(UINT64_C(1) << 53);
}

/* Creates the state of a VM that starts now; local_id is copied. Free it with
 * rp_watch_free. */
struct rp_watch *
rp_watch_new(const char *local_id, int64_t now_ns)
{
    struct rp_watch *watch = g_new0(struct rp_watch, 1);
    watch->local_id = g_strdup(local_id);
    uint64_t hash = XXH3_64bits_withSeed(local_id, strlen(local_id), 1);
    watch->id_hash = hash_of_id(local_id);
    watch->cycle_slot = (uint32_t)(hash % CYCLE_READS);
    watch->min_read_start_ns = now_ns;
    watch->settle_end_ns = now_ns + NO_LIST_SETTLE_NS;
    watch->idle_interval_ns = RP_WATCH_MIN_IDLE_INTERVAL_NS;
    watch->latest_fresh_ns = now_ns;
    watch->local_fresh_ns = now_ns;
    watch->peer_fresher_ns = now_ns;
    watch->peer_heard_ns = now_ns;
    watch->fleet_spread_ns = NO_LIST_PROMOTION_SPREAD_NS;
    return watch;
}

/* Frees the state; NULL is allowed. */
void
rp_watch_free(struct rp_watch *watch)
{
    if (watch == NULL) {
        return;
    }
    g_free(watch->local_id);
    g_free(watch);
}

/* Updates whether this VM is chosen, and the read intervals, from a new list
 * of VMs. The list is not kept. */
void
rp_watch_set_vms(struct rp_watch *watch, const struct rp_vm_list *list)
{
    const struct rp_vm *chosen[RP_WATCH_MAX_WATCHERS];
    uint32_t count = rp_watch_choose(list, chosen);
    if (watch->no_vm_list) {
        count = MIN(count, NO_LIST_MAX_WATCHERS);
    }
    watch->chosen = false;
    for (uint32_t i = 0; i < count; i++) {
        if (strcmp(chosen[i]->id, watch->local_id) == 0) {
            watch->chosen = true;
            watch->chosen_rank = i;
        }
    }
    watch->has_vms = true;
    uint32_t entry_vms = 0;
    for (uint32_t i = 0; i < rp_vm_list_count(list); i++) {
        entry_vms += rp_vm_list_get(list, i)->entry ? 1 : 0;
    }
    watch->idle_interval_ns =
        MAX(RP_WATCH_MIN_IDLE_INTERVAL_NS,
            entry_vms * RP_WATCH_IDLE_INTERVAL_PER_VM_NS);
    watch->revision_interval_ns =
        MAX(MIN_REVISION_INTERVAL_NS, entry_vms * REVISION_INTERVAL_PER_VM_NS);
    watch->fleet_spread_ns = MAX(NO_LIST_PROMOTION_SPREAD_NS,
                                 entry_vms * PROMOTION_SPREAD_PER_VM_NS -
                                     NO_LIST_PROMOTION_SPREAD_NS);
}

/* Configures the watch for a platform that has no list of VMs; the caller
 * passes the members to rp_watch_set_vms instead. For the first 3 s only seeds
 * watch: a fleet that starts as a whole has a few of them. is_seed says
 * whether the other VMs are configured with the peer address of this one. */
void
rp_watch_set_no_vm_list(struct rp_watch *watch, bool is_seed)
{
    watch->no_vm_list = true;
    watch->has_vms = true;
    watch->is_seed = is_seed;
    watch->revision_interval_ns = MIN_REVISION_INTERVAL_NS;
}

/* Sets the position of this VM among the seeds, which all watch for the first
 * 3 s and spread changes in this order. */
void
rp_watch_set_seed_rank(struct rp_watch *watch, uint32_t rank)
{
    watch->chosen_rank = rank;
}

/* Returns how long this VM delays spreading the changes that it has read. It
 * then spreads only those that no other watcher has spread meanwhile. */
int64_t
rp_watch_spread_delay_ns(const struct rp_watch *watch)
{
    return watch->no_vm_list && watch->role == RP_WATCH_CHOSEN
               ? watch->chosen_rank * NO_LIST_SPREAD_DELAY_PER_RANK_NS
               : 0;
}

/* Sets whether this VM may lack records that its peers or the platform have.
 */
void
rp_watch_set_behind(struct rp_watch *watch, bool behind, int64_t now_ns)
{
    if (!behind) {
        watch->behind_since_ns = 0;
    }
    else if (watch->behind_since_ns == 0) {
        watch->behind_since_ns = now_ns;
    }
}

/* Records the freshness that a peer reported, converted to this VM's monotonic
 * time. */
void
rp_watch_record_peer_freshness(struct rp_watch *watch, int64_t fresh_ns,
                               int64_t now_ns)
{
    watch->peer_heard_ns = now_ns;
    watch->latest_fresh_ns =
        MAX(watch->latest_fresh_ns, MIN(fresh_ns, now_ns));
    if (fresh_ns > watch->local_fresh_ns + MIN_FRESHNESS_LEAD_NS) {
        watch->peer_fresher_ns = now_ns;
    }
}

/* Records that this process was paused for gap_ns. It received nothing
 * meanwhile, so the pause is not counted in the age of the freshness. */
void
rp_watch_record_pause(struct rp_watch *watch, int64_t gap_ns)
{
    watch->latest_fresh_ns += gap_ns;
    watch->local_fresh_ns += gap_ns;
    watch->peer_heard_ns += gap_ns;
}

static int64_t
promotion_due_ns(const struct rp_watch *watch)
{
    if (watch->no_vm_list) {
        int64_t stale_ns =
            watch->latest_fresh_ns + NO_LIST_MAX_FRESHNESS_AGE_NS;
        int64_t silent_ns =
            MAX(stale_ns, watch->peer_heard_ns + MAX_PEER_SILENCE_NS);
        return MIN(stale_ns + (int64_t)(watch->id_hash *
                                        (double)watch->fleet_spread_ns),
                   silent_ns + (int64_t)(watch->id_hash *
                                         (double)NO_LIST_PROMOTION_SPREAD_NS));
    }
    return watch->latest_fresh_ns + RP_WATCH_MAX_FRESHNESS_AGE_NS +
           (int64_t)(watch->id_hash * (double)RP_WATCH_MAX_PROMOTION_DELAY_NS);
}

static int64_t
demotion_due_ns(const struct rp_watch *watch)
{
    if (watch->no_vm_list) {
        return watch->promotion_start_ns + NO_LIST_MIN_PROMOTED_NS;
    }
    return watch->promotion_start_ns + MIN_PROMOTED_NS +
           (int64_t)(watch->id_hash * (double)MIN_PROMOTED_NS);
}

/* Returns when a promoted VM stops watching although no peer has reported a
 * later freshness. With many watchers, a freshness received from peers is
 * older than that of the VM's own reads, from which it may even originate. If
 * no other VM watches, the freshness gets stale and this VM is promoted
 * again. */
static int64_t
forced_demotion_ns(const struct rp_watch *watch)
{
    if (!watch->no_vm_list) {
        return INT64_MAX;
    }
    return demotion_due_ns(watch) +
           (int64_t)(watch->id_hash * (double)NO_LIST_DEMOTION_SPREAD_NS);
}

static bool
is_chosen(const struct rp_watch *watch, int64_t now_ns)
{
    return watch->no_vm_list && now_ns < watch->settle_end_ns ? watch->is_seed
                                                              : watch->chosen;
}

static void
update_role(struct rp_watch *watch, int64_t now_ns)
{
    if (is_chosen(watch, now_ns)) {
        watch->role = RP_WATCH_CHOSEN;
        return;
    }
    if (watch->role == RP_WATCH_CHOSEN) {
        watch->role = RP_WATCH_IDLE;
    }
    if (watch->role == RP_WATCH_IDLE && now_ns >= promotion_due_ns(watch)) {
        watch->role = RP_WATCH_PROMOTED;
        watch->promotion_start_ns = now_ns;
    }
    if (watch->role == RP_WATCH_PROMOTED &&
        ((now_ns >= demotion_due_ns(watch) &&
          now_ns - watch->peer_fresher_ns < RP_WATCH_MAX_FRESHNESS_AGE_NS) ||
         now_ns >= forced_demotion_ns(watch)))
    {
        watch->role = RP_WATCH_IDLE;
        watch->idle_read_ns = now_ns + watch->idle_interval_ns;
    }
}

static int64_t
catch_up_due_ns(const struct rp_watch *watch)
{
    if (watch->behind_since_ns == 0) {
        return INT64_MAX;
    }
    return watch->behind_since_ns + CATCH_UP_DELAY_NS +
           (int64_t)(watch->id_hash * (double)CATCH_UP_SPREAD_NS);
}

/* Chooses the next read of a VM that has records and does not watch. */
static enum rp_watch_read
choose_idle_read(struct rp_watch *watch, int64_t now_ns)
{
    if (now_ns >= catch_up_due_ns(watch)) {
        watch->behind_since_ns = now_ns;
        return RP_WATCH_READ_RECORDS;
    }
    if (now_ns < watch->revision_read_ns) {
        return RP_WATCH_READ_NONE;
    }
    watch->revision_read_ns = now_ns + watch->revision_interval_ns;
    return RP_WATCH_READ_REVISION;
}

/* Returns how long after its start a VM leaves the first read of a platform
 * without a list of VMs to others. */
int64_t
rp_watch_first_read_delay_ns(const char *local_id, bool is_seed,
                             uint32_t capacity_permille)
{
    if (is_seed || capacity_permille >= IMMEDIATE_READ_CAPACITY_PERMILLE) {
        return 0;
    }
    return PEER_RECORDS_WAIT_NS +
           (int64_t)(hash_of_id(local_id) * (double)PEER_RECORDS_SPREAD_NS);
}

/* Keeps this VM from its first read until a time, unless peers send it their
 * records before. */
void
rp_watch_delay_first_read(struct rp_watch *watch, int64_t until_ns)
{
    watch->min_read_start_ns = MAX(watch->min_read_start_ns, until_ns);
}

/* Records that this VM has all records of a peer and needs no listing of its
 * own. */
void
rp_watch_record_peer_records(struct rp_watch *watch, int64_t now_ns)
{
    if (watch->has_records) {
        return;
    }
    watch->has_records = true;
    watch->min_read_start_ns = now_ns;
    watch->revision_read_ns = now_ns + MIN_REVISION_INTERVAL_NS;
}

static enum rp_watch_read
choose_read(struct rp_watch *watch, int64_t now_ns, int64_t *wait_ms)
{
    *wait_ms = 0;
    if (!watch->has_vms && !watch->has_records) {
        /* Both are needed at first. The reads alternate after failures, so
         * that one that fails does not block the other. The list comes first,
         * since it contains the peers' addresses. */
        return watch->consecutive_failures % 2 == 0 ? RP_WATCH_READ_VMS
                                                    : RP_WATCH_READ_RECORDS;
    }
    if (!watch->has_records || watch->has_more_pages) {
        return RP_WATCH_READ_RECORDS;
    }
    if (!watch->has_vms) {
        return RP_WATCH_READ_VMS;
    }
    if (watch->no_vm_list && watch->role == RP_WATCH_IDLE) {
        return choose_idle_read(watch, now_ns);
    }
    if (watch->role == RP_WATCH_IDLE) {
        return now_ns >= watch->idle_read_ns ? RP_WATCH_READ_VMS
                                             : RP_WATCH_READ_NONE;
    }
    if (watch->no_vm_list) {
        *wait_ms = NO_LIST_WAIT_MS;
        return RP_WATCH_READ_RECORDS;
    }
    uint32_t slot = watch->cycle_slot++ % CYCLE_READS;
    if (slot == CYCLE_READS - 1) {
        return RP_WATCH_READ_VMS;
    }
    *wait_ms = cycle_wait_ms[slot];
    return RP_WATCH_READ_RECORDS;
}

/* Returns the read that must start now, or RP_WATCH_READ_NONE. wait_ms
 * receives how long the platform may wait before it answers. There is one read
 * at a time; the caller reports its end with rp_watch_finish. */
enum rp_watch_read
rp_watch_next(struct rp_watch *watch, int64_t now_ns, int64_t *wait_ms)
{
    update_role(watch, now_ns);
    if (watch->reading != RP_WATCH_READ_NONE ||
        now_ns < watch->min_read_start_ns) {
        return RP_WATCH_READ_NONE;
    }
    watch->reading = choose_read(watch, now_ns, wait_ms);
    if (watch->reading != RP_WATCH_READ_NONE) {
        /* Pages of one listing are read without a delay. */
        bool is_immediate = watch->has_more_pages || !watch->has_records ||
                            watch->reading == RP_WATCH_READ_REVISION;
        watch->min_read_start_ns =
            now_ns + (!watch->no_vm_list ? RP_WATCH_MIN_READ_INTERVAL_NS
                      : is_immediate     ? 0
                                         : NO_LIST_MIN_READ_INTERVAL_NS);
        watch->idle_read_ns = now_ns + watch->idle_interval_ns;
    }
    return watch->reading;
}

/* Without a list of VMs the backoff is shorter, so that the VMs are up to date
 * again soon after an outage of the platform. */
static int64_t
max_retry_delay_ns(const struct rp_watch *watch)
{
    if (watch->no_vm_list) {
        int64_t delay_ns = NO_LIST_MIN_BACKOFF_NS
                           << MIN(watch->consecutive_failures - 1, 8);
        return MIN(delay_ns, NO_LIST_MAX_BACKOFF_NS);
    }
    return MIN(RP_WATCH_MIN_READ_INTERVAL_NS
                   << MIN(watch->consecutive_failures, 8),
               RP_WATCH_MAX_BACKOFF_NS);
}

/* Records the end of a read. fresh: the answer's revision was not lower than
 * one seen before. has_more_pages: further pages follow. jitter: a random
 * number from 0 to 1 for the delay after a failure. */
void
rp_watch_finish(struct rp_watch *watch, bool succeeded, bool fresh,
                bool has_more_pages, double jitter, int64_t now_ns)
{
    enum rp_watch_read reading = watch->reading;
    watch->reading = RP_WATCH_READ_NONE;
    if (reading == RP_WATCH_READ_REVISION) {
        return;
    }
    if (!succeeded) {
        watch->consecutive_failures++;
        int64_t max_delay_ns = max_retry_delay_ns(watch);
        /* From half of the maximum to the maximum. */
        int64_t delay_ns =
            max_delay_ns / 2 + (int64_t)(jitter * (double)max_delay_ns / 2);
        watch->min_read_start_ns =
            MAX(watch->min_read_start_ns, now_ns + delay_ns);
        return;
    }
    watch->consecutive_failures = 0;
    if (reading != RP_WATCH_READ_RECORDS) {
        return;
    }
    bool is_next_page = watch->has_more_pages || !watch->has_records;
    watch->has_more_pages = has_more_pages;
    if (has_more_pages && watch->no_vm_list) {
        watch->min_read_start_ns =
            is_next_page ? now_ns : MAX(now_ns, watch->min_listing_start_ns);
        watch->min_listing_start_ns =
            MAX(watch->min_listing_start_ns,
                watch->min_read_start_ns + NO_LIST_MIN_LISTING_INTERVAL_NS);
    }
    if (!has_more_pages && !watch->has_records) {
        watch->has_records = true;
        watch->revision_read_ns = now_ns + MIN_REVISION_INTERVAL_NS;
    }
    if (fresh && !has_more_pages) {
        watch->local_fresh_ns = now_ns;
        watch->latest_fresh_ns = now_ns;
    }
}

/* Returns when rp_watch_next must be called again if nothing is recorded
 * before; INT64_MAX while a read is in progress. */
int64_t
rp_watch_due_ns(const struct rp_watch *watch)
{
    if (watch->reading != RP_WATCH_READ_NONE) {
        return INT64_MAX;
    }
    bool idle = watch->role == RP_WATCH_IDLE && watch->has_vms &&
                watch->has_records && !watch->has_more_pages;
    if (!idle) {
        return watch->min_read_start_ns;
    }
    int64_t idle_ns = watch->no_vm_list ? MIN(watch->revision_read_ns,
                                              catch_up_due_ns(watch))
                                        : watch->idle_read_ns;
    int64_t due_ns = MIN(idle_ns, promotion_due_ns(watch));
    return MAX(watch->min_read_start_ns, due_ns);
}

/* Returns whether and why this VM watches. */
enum rp_watch_role
rp_watch_role(const struct rp_watch *watch)
{
    return watch->role;
}

/* Returns the latest time, in this VM's monotonic time, at which this VM or a
 * peer has read the current state of the platform. */
int64_t
rp_watch_fresh_ns(const struct rp_watch *watch)
{
    return watch->latest_fresh_ns;
}
