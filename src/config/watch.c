#include "watch.h"

#include <glib.h>
#include <string.h>
#include <xxhash.h>

/* A watching VM reads in cycles of four: three reads of records and one of
 * the list of VMs. The waits spread the answers of the three evenly over the
 * cycle, so that the freshness is never older than 1.34 s with one watcher. */
#define CYCLE 4
/* Without a list of VMs there are only watches of records. A waiting one that
 * went silent is noticed after this time and the timeout of a read. */
#define UNLISTED_WAIT_MS 2000
/* Watchers without a list of VMs. All of five being lost at once is rare, and
 * what the others then do is in the lines below. */
#define UNLISTED_WATCHERS 5u
/* A VM that does not watch asks for the revision at this interval, and reads
 * what peers have not brought after the delay; the delay is longer by up to
 * the spread, so that not all read at once. */
#define UNLISTED_INTERVAL_NS INT64_C(700000000)
#define CHECK_NS INT64_C(1000000000)
/* Share of each VM in that interval, so that those of a large fleet together
 * ask no more than 14 times a second. */
#define CHECK_SHARE_NS INT64_C(70000000)
#define BEHIND_NS INT64_C(400000000)
#define BEHIND_SPREAD_NS INT64_C(300000000)
/* News of the watchers' freshness are at most a wait and two hops old. */
#define UNLISTED_STALE_NS INT64_C(3500000000)
#define UNLISTED_STALE_SPREAD_NS INT64_C(500000000)
#define UNLISTED_PROMOTED_NS INT64_C(5000000000)
#define UNLISTED_TRIAL_SPREAD_NS INT64_C(5000000000)
#define UNLISTED_RETRY_NS INT64_C(500000000)
#define UNLISTED_BACKOFF_NS INT64_C(1000000000)
/* Until this time after its start a VM knows too few others to tell whether it
 * is chosen: news of members need ceil(log2 fleet) heartbeats. The seeds watch
 * meanwhile. */
#define UNLISTED_SETTLE_NS INT64_C(3000000000)
/* Wait of each watcher for those of lower rank to spread what changed; a push
 * takes some milliseconds for each of the ceil(log2 fleet) steps. */
#define UNLISTED_TURN_NS INT64_C(100000000)
static const int64_t cycle_wait_ms[CYCLE - 1] = {333, 667, 1000};

/* A promoted VM goes on for this long, and up to twice as long by hash, so
 * that several promoted ones do not stop at the same time. */
#define PROMOTED_NS INT64_C(10000000000)
/* Freshness that is newer than the own by this much is not an echo of the
 * own. */
#define ECHO_NS INT64_C(300000000)

struct rp_watch {
    char *own_id;
    double hash; /* of the own id, from 0 to 1 */
    enum rp_watch_role role;
    bool chosen;
    bool is_seed;      /* watches before others are known */
    int64_t settle_ns; /* until then the choice does not count */
    uint32_t rank;     /* among the chosen */
    bool has_vms;
    bool unlisted; /* the platform has no list of VMs */
    bool has_records;
    bool more; /* pages of records are left */
    enum rp_watch_read reading;
    uint32_t slot; /* place in the cycle */
    uint32_t failures;
    int64_t next_ns; /* no read starts before */
    int64_t idle_ns; /* next read while idle */
    int64_t idle_interval_ns;
    int64_t fresh_ns;     /* best known */
    int64_t own_fresh_ns; /* by own reads */
    int64_t others_ns;    /* last time that others were fresher */
    int64_t promoted_ns;
    int64_t check_interval_ns;
    int64_t check_ns;  /* next read of the revision while idle */
    int64_t behind_ns; /* since when a later revision is known; 0 for none */
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
 * failure domain, and of these RP_WATCH_MAX_WATCHERS, the first of each domain
 * before the second ones. One VM more or less changes few choices. Returns
 * their number. */
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
        bool same = strcmp(all[i].vm->domain, all[i - 1].vm->domain) == 0;
        all[i].rank = same ? all[i - 1].rank + 1 : 0;
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

/* Creates the state of a VM that starts now. Free it with rp_watch_free. */
struct rp_watch *
rp_watch_new(const char *own_id, int64_t now_ns)
{
    struct rp_watch *watch = g_new0(struct rp_watch, 1);
    watch->own_id = g_strdup(own_id);
    uint64_t hash = XXH3_64bits_withSeed(own_id, strlen(own_id), 1);
    watch->hash = (double)(hash >> 11) / (double)(UINT64_C(1) << 53);
    watch->slot = (uint32_t)(hash % CYCLE);
    watch->next_ns = now_ns;
    watch->settle_ns = now_ns + UNLISTED_SETTLE_NS;
    watch->idle_interval_ns = RP_WATCH_IDLE_NS;
    watch->fresh_ns = now_ns;
    watch->own_fresh_ns = now_ns;
    watch->others_ns = now_ns;
    return watch;
}

/* Frees the state; NULL is allowed. */
void
rp_watch_free(struct rp_watch *watch)
{
    if (watch == NULL) {
        return;
    }
    g_free(watch->own_id);
    g_free(watch);
}

/* Takes note of a new list of VMs, from the platform. */
void
rp_watch_set_vms(struct rp_watch *watch, const struct rp_vm_list *list)
{
    const struct rp_vm *chosen[RP_WATCH_MAX_WATCHERS];
    uint32_t count = rp_watch_choose(list, chosen);
    if (watch->unlisted) {
        count = MIN(count, UNLISTED_WATCHERS);
    }
    watch->chosen = false;
    for (uint32_t i = 0; i < count; i++) {
        if (strcmp(chosen[i]->id, watch->own_id) == 0) {
            watch->chosen = true;
            watch->rank = i;
        }
    }
    watch->has_vms = true;
    uint32_t entry_vms = 0;
    for (uint32_t i = 0; i < rp_vm_list_count(list); i++) {
        entry_vms += rp_vm_list_get(list, i)->entry ? 1 : 0;
    }
    watch->idle_interval_ns =
        MAX(RP_WATCH_IDLE_NS, entry_vms * RP_WATCH_IDLE_SHARE_NS);
    watch->check_interval_ns = MAX(CHECK_NS, entry_vms * CHECK_SHARE_NS);
}

/* Takes note that the platform has no list of VMs. Until rp_watch_set_vms has
 * told of the others, only seeds watch, whose addresses all others are given:
 * a fleet that starts at once has a few of them. */
void
rp_watch_set_no_vm_list(struct rp_watch *watch, bool is_seed)
{
    watch->unlisted = true;
    watch->has_vms = true;
    watch->is_seed = is_seed;
    watch->check_interval_ns = CHECK_NS;
}

/* Returns how long changes that this VM has read may wait, so that it spreads
 * only those that no other watcher has spread in the meantime. */
int64_t
rp_watch_spread_delay_ns(const struct rp_watch *watch)
{
    return watch->unlisted && watch->role == RP_WATCH_CHOSEN
               ? watch->rank * UNLISTED_TURN_NS
               : 0;
}

/* Takes note of whether others know of more than this VM holds. */
void
rp_watch_set_behind(struct rp_watch *watch, bool behind, int64_t now_ns)
{
    if (!behind) {
        watch->behind_ns = 0;
    }
    else if (watch->behind_ns == 0) {
        watch->behind_ns = now_ns;
    }
}

/* Takes note of the freshness that a peer knows of, in own monotonic time. */
void
rp_watch_record_peer_freshness(struct rp_watch *watch, int64_t fresh_ns,
                               int64_t now_ns)
{
    watch->fresh_ns = MAX(watch->fresh_ns, MIN(fresh_ns, now_ns));
    if (fresh_ns > watch->own_fresh_ns + ECHO_NS) {
        watch->others_ns = now_ns;
    }
}

/* Takes note that this process did not run for gap_ns and so heard nothing:
 * its old freshness says nothing about the watchers. */
void
rp_watch_record_pause(struct rp_watch *watch, int64_t gap_ns)
{
    watch->fresh_ns += gap_ns;
    watch->own_fresh_ns += gap_ns;
}

static int64_t
promotion_ns(const struct rp_watch *watch)
{
    if (watch->unlisted) {
        return watch->fresh_ns + UNLISTED_STALE_NS +
               (int64_t)(watch->hash * (double)UNLISTED_STALE_SPREAD_NS);
    }
    return watch->fresh_ns + RP_WATCH_STALE_NS +
           (int64_t)(watch->hash * (double)RP_WATCH_DELAY_NS);
}

static int64_t
promotion_end_ns(const struct rp_watch *watch)
{
    if (watch->unlisted) {
        return watch->promoted_ns + UNLISTED_PROMOTED_NS;
    }
    return watch->promoted_ns + PROMOTED_NS +
           (int64_t)(watch->hash * (double)PROMOTED_NS);
}

/* When a promoted VM stops although nobody is known to be fresher. Where many
 * watch, what it hears through its peers is older than what it reads itself,
 * and may be an echo of the own. If nobody else watches, the freshness gets
 * stale and this VM is promoted again. */
static int64_t
promotion_trial_ns(const struct rp_watch *watch)
{
    if (!watch->unlisted) {
        return INT64_MAX;
    }
    return promotion_end_ns(watch) +
           (int64_t)(watch->hash * (double)UNLISTED_TRIAL_SPREAD_NS);
}

static bool
is_chosen(const struct rp_watch *watch, int64_t now_ns)
{
    return watch->unlisted && now_ns < watch->settle_ns ? watch->is_seed
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
    if (watch->role == RP_WATCH_IDLE && now_ns >= promotion_ns(watch)) {
        watch->role = RP_WATCH_PROMOTED;
        watch->promoted_ns = now_ns;
    }
    if (watch->role == RP_WATCH_PROMOTED &&
        ((now_ns >= promotion_end_ns(watch) &&
          now_ns - watch->others_ns < RP_WATCH_STALE_NS) ||
         now_ns >= promotion_trial_ns(watch)))
    {
        watch->role = RP_WATCH_IDLE;
        watch->idle_ns = now_ns + watch->idle_interval_ns;
    }
}

static int64_t
behind_due_ns(const struct rp_watch *watch)
{
    if (watch->behind_ns == 0) {
        return INT64_MAX;
    }
    return watch->behind_ns + BEHIND_NS +
           (int64_t)(watch->hash * (double)BEHIND_SPREAD_NS);
}

/* What a VM that has records and does not watch reads. */
static enum rp_watch_read
choose_idle_read(struct rp_watch *watch, int64_t now_ns)
{
    if (now_ns >= behind_due_ns(watch)) {
        watch->behind_ns = now_ns;
        return RP_WATCH_READ_RECORDS;
    }
    if (now_ns < watch->check_ns) {
        return RP_WATCH_READ_NONE;
    }
    watch->check_ns = now_ns + watch->check_interval_ns;
    return RP_WATCH_READ_REVISION;
}

static enum rp_watch_read
choose_read(struct rp_watch *watch, int64_t now_ns, int64_t *wait_ms)
{
    *wait_ms = 0;
    if (!watch->has_vms && !watch->has_records) {
        /* Both are needed at first; take turns, so that one that fails does
         * not keep the other back. The list comes first, since it names the
         * peers. */
        return watch->failures % 2 == 0 ? RP_WATCH_READ_VMS
                                        : RP_WATCH_READ_RECORDS;
    }
    if (!watch->has_records || watch->more) {
        return RP_WATCH_READ_RECORDS;
    }
    if (!watch->has_vms) {
        return RP_WATCH_READ_VMS;
    }
    if (watch->unlisted && watch->role == RP_WATCH_IDLE) {
        return choose_idle_read(watch, now_ns);
    }
    if (watch->role == RP_WATCH_IDLE) {
        return now_ns >= watch->idle_ns ? RP_WATCH_READ_VMS
                                        : RP_WATCH_READ_NONE;
    }
    if (watch->unlisted) {
        *wait_ms = UNLISTED_WAIT_MS;
        return RP_WATCH_READ_RECORDS;
    }
    uint32_t slot = watch->slot++ % CYCLE;
    if (slot == CYCLE - 1) {
        return RP_WATCH_READ_VMS;
    }
    *wait_ms = cycle_wait_ms[slot];
    return RP_WATCH_READ_RECORDS;
}

/* Returns the read that must start now, with the time the platform may wait
 * before it answers, or RP_WATCH_READ_NONE. The caller reports its end by
 * rp_watch_finish; there is one read at a time. */
enum rp_watch_read
rp_watch_next(struct rp_watch *watch, int64_t now_ns, int64_t *wait_ms)
{
    update_role(watch, now_ns);
    if (watch->reading != RP_WATCH_READ_NONE || now_ns < watch->next_ns) {
        return RP_WATCH_READ_NONE;
    }
    watch->reading = choose_read(watch, now_ns, wait_ms);
    if (watch->reading != RP_WATCH_READ_NONE) {
        /* The pages of one listing follow each other at once. */
        bool at_once = watch->more || !watch->has_records ||
                       watch->reading == RP_WATCH_READ_REVISION;
        watch->next_ns = now_ns + (!watch->unlisted ? RP_WATCH_READ_INTERVAL_NS
                                   : at_once        ? 0
                                                    : UNLISTED_INTERVAL_NS);
        watch->idle_ns = now_ns + watch->idle_interval_ns;
    }
    return watch->reading;
}

/* A platform without a list of VMs is watched by all, who have to be up to
 * date again soon after it is back. */
static int64_t
longest_delay_ns(const struct rp_watch *watch)
{
    if (watch->unlisted) {
        int64_t delay_ns = UNLISTED_RETRY_NS << MIN(watch->failures - 1, 8);
        return MIN(delay_ns, UNLISTED_BACKOFF_NS);
    }
    return MIN(RP_WATCH_READ_INTERVAL_NS << MIN(watch->failures, 8),
               RP_WATCH_BACKOFF_NS);
}

/* Reports the end of a read. fresh says that the answer was not older than
 * what was known already, more that pages are left; jitter is a random number
 * from 0 to 1 for the delay after a failure. */
void
rp_watch_finish(struct rp_watch *watch, bool succeeded, bool fresh, bool more,
                double jitter, int64_t now_ns)
{
    enum rp_watch_read reading = watch->reading;
    watch->reading = RP_WATCH_READ_NONE;
    if (reading == RP_WATCH_READ_REVISION) {
        return;
    }
    if (!succeeded) {
        watch->failures++;
        int64_t longest = longest_delay_ns(watch);
        /* Between half of it and all of it. */
        int64_t delay = longest / 2 + (int64_t)(jitter * (double)longest / 2);
        watch->next_ns = MAX(watch->next_ns, now_ns + delay);
        return;
    }
    watch->failures = 0;
    if (reading != RP_WATCH_READ_RECORDS) {
        return;
    }
    watch->more = more;
    if (more && watch->unlisted) {
        watch->next_ns = now_ns; /* also after the end of a history */
    }
    if (!more && !watch->has_records) {
        watch->has_records = true;
        watch->check_ns = now_ns + CHECK_NS;
    }
    if (fresh && !more) {
        watch->own_fresh_ns = now_ns;
        watch->fresh_ns = now_ns;
    }
}

/* Returns when rp_watch_next may have something new without news. */
int64_t
rp_watch_due_ns(const struct rp_watch *watch)
{
    if (watch->reading != RP_WATCH_READ_NONE) {
        return INT64_MAX;
    }
    bool idle = watch->role == RP_WATCH_IDLE && watch->has_vms &&
                watch->has_records && !watch->more;
    if (!idle) {
        return watch->next_ns;
    }
    int64_t idle_ns = watch->unlisted
                          ? MIN(watch->check_ns, behind_due_ns(watch))
                          : watch->idle_ns;
    int64_t due_ns = MIN(idle_ns, promotion_ns(watch));
    return MAX(watch->next_ns, due_ns);
}

/* Returns whether this VM watches, and why. */
enum rp_watch_role
rp_watch_role(const struct rp_watch *watch)
{
    return watch->role;
}

/* Returns the time of the best known freshness, in own monotonic time. */
int64_t
rp_watch_fresh_ns(const struct rp_watch *watch)
{
    return watch->fresh_ns;
}
