#include "subset.h"

#include <glib.h>
#include <math.h>
#include <string.h>
#include <xxhash.h>

/* Share of an entry VM's capacity that a service may use before another entry
 * VM is added. */
#define MAX_LOAD_PER_ENTRY 0.5
/* Time for which a width must not have been needed before the subset narrows:
 * twice the validity of an address answer, so that callers have moved. */
#define NARROW_DELAY_NS 10000000000

struct candidate {
    uint64_t hash;
    uint64_t domain;
    uint32_t index;
    uint32_t rank; /* within its failure domain */
};

static int
compare_in_domain(const void *left, const void *right)
{
    const struct candidate *a = left;
    const struct candidate *b = right;
    if (a->domain != b->domain) {
        return a->domain < b->domain ? -1 : 1;
    }
    return a->hash < b->hash ? -1 : a->hash > b->hash;
}

static int
compare_rank(const void *left, const void *right)
{
    const struct candidate *a = left;
    const struct candidate *b = right;
    if (a->rank != b->rank) {
        return a->rank < b->rank ? -1 : 1;
    }
    return a->hash < b->hash ? -1 : a->hash > b->hash;
}

/* Chooses which entry VMs serve a service, in order of preference: a
 * rendezvous hash of the ids gives each service another order (Thaler and
 * Ravishankar, 1998), and the failure domains alternate. Entry VMs that agree
 * on the members choose the same ones without a message, and the failure of
 * one changes only its own place. chosen has room for width indices into
 * members. Returns the number of indices. */
uint32_t
rp_subset_choose(const char *service, const struct rp_subset_member *members,
                 uint32_t count, uint32_t width, uint32_t *chosen)
{
    if (count == 0) {
        return 0;
    }
    uint64_t seed = XXH3_64bits(service, strlen(service));
    struct candidate *candidates = g_new0(struct candidate, count);
    for (uint32_t i = 0; i < count; i++) {
        const char *id = members[i].id;
        const char *domain = members[i].domain;
        candidates[i].index = i;
        candidates[i].hash = XXH3_64bits_withSeed(id, strlen(id), seed);
        candidates[i].domain = XXH3_64bits(domain, strlen(domain));
    }
    qsort(candidates, count, sizeof(*candidates), compare_in_domain);
    for (uint32_t i = 1; i < count; i++) {
        if (candidates[i].domain == candidates[i - 1].domain) {
            candidates[i].rank = candidates[i - 1].rank + 1;
        }
    }
    qsort(candidates, count, sizeof(*candidates), compare_rank);
    uint32_t chosen_count = MIN(width, count);
    for (uint32_t i = 0; i < chosen_count; i++) {
        chosen[i] = candidates[i].index;
    }
    g_free(candidates);
    return chosen_count;
}

/* Updates and returns how many entry VMs serve a service. load is the
 * service's load in capacities of one entry VM, suspects the number of entry
 * VMs in the subset that may have failed, count the number of entry VMs. The
 * subset has at least one entry VM in each failure domain and two in all. It
 * widens at once and narrows by one at a time. */
uint32_t
rp_subset_update_width(struct rp_subset_width *width, double load,
                       uint32_t domains, uint32_t suspects, uint32_t count,
                       int64_t now_ns)
{
    uint32_t needed = (uint32_t)fmin(ceil(load / MAX_LOAD_PER_ENTRY), count);
    needed = MAX(needed, MAX(domains, 2)) + suspects;
    needed = MIN(needed, count);
    if (needed >= width->width) {
        width->width = needed;
        width->last_needed_ns = now_ns;
    }
    else if (now_ns - width->last_needed_ns >= NARROW_DELAY_NS) {
        width->width--;
        width->last_needed_ns = now_ns;
    }
    return width->width;
}
