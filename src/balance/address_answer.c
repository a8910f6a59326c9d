#include "address_answer.h"

#include <string.h>

#include <glib.h>
#include <jansson.h>
#include <xxhash.h>

#include "subset.h"

/* Members are ranked by load in steps of this size. The steps are coarse
 * because loads are old when they arrive. */
#define LOAD_STEP_PERMILLE 250

struct candidate {
    uint32_t index;
    uint32_t rank;          /* smaller is better */
    uint32_t service_index; /* in the order of the service */
    uint64_t shuffle;
};

static int
compare_service_order(gconstpointer a, gconstpointer b)
{
    const struct candidate *left = a;
    const struct candidate *right = b;
    if (left->rank / 4 != right->rank / 4) {
        return left->rank / 4 < right->rank / 4 ? -1 : 1;
    }
    return left->service_index < right->service_index
               ? -1
               : left->service_index > right->service_index;
}

static int
compare_ranks(gconstpointer a, gconstpointer b)
{
    const struct candidate *left = a;
    const struct candidate *right = b;
    if (left->rank != right->rank) {
        return left->rank < right->rank ? -1 : 1;
    }
    return left->shuffle < right->shuffle ? -1 : 1;
}

static GArray *
collect(const struct rp_address_query *query)
{
    GArray *candidates = g_array_new(FALSE, FALSE, sizeof(struct candidate));
    uint64_t seed = XXH3_64bits(query->service, strlen(query->service));
    for (uint32_t i = 0; i < query->member_count; i++) {
        const struct rp_address_member *member = &query->members[i];
        if (member->state == RP_ADDRESS_UNUSABLE) {
            continue;
        }
        struct candidate candidate = {
            .index = i,
            .rank = (uint32_t)member->state * 4,
            .shuffle = XXH3_64bits_withSeed(member->id, strlen(member->id),
                                            seed ^ query->random),
        };
        g_array_append_val(candidates, candidate);
    }
    return candidates;
}

/* Sets each candidate's index in the order in which entry VMs serve the
 * service; see rp_subset_choose. */
static void
set_service_order(const struct rp_address_query *query, GArray *candidates)
{
    struct rp_subset_member *members =
        g_new(struct rp_subset_member, candidates->len + 1);
    uint32_t *order = g_new(uint32_t, candidates->len + 1);
    for (guint i = 0; i < candidates->len; i++) {
        uint32_t index = g_array_index(candidates, struct candidate, i).index;
        members[i].id = query->members[index].id;
        members[i].domain = query->members[index].domain;
    }
    uint32_t count = rp_subset_choose(query->service, members, candidates->len,
                                      candidates->len, order);
    for (uint32_t i = 0; i < count; i++) {
        g_array_index(candidates, struct candidate, order[i]).service_index =
            i;
    }
    g_free(order);
    g_free(members);
}

/* Sorts the candidates by state, by membership in the service's subset, by the
 * caller's failure domain and by load. */
static void
rank_candidates(const struct rp_address_query *query, GArray *candidates)
{
    set_service_order(query, candidates);
    g_array_sort(candidates, compare_service_order);
    for (guint i = 0; i < candidates->len; i++) {
        struct candidate *candidate =
            &g_array_index(candidates, struct candidate, i);
        const struct rp_address_member *member =
            &query->members[candidate->index];
        bool outside_subset = i >= MAX(query->subset, 1);
        bool remote = query->domain[0] != '\0' &&
                      strcmp(query->domain, member->domain) != 0;
        candidate->rank =
            candidate->rank * 1000 + (outside_subset ? 500 : 0) +
            (remote ? 100 : 0) +
            MIN(member->load_permille, 9999) / LOAD_STEP_PERMILLE;
    }
    g_array_sort(candidates, compare_ranks);
}

static bool
domain_is_new(const struct rp_address_query *query, const uint32_t *picked,
              uint32_t count, uint32_t index)
{
    for (uint32_t i = 0; i < count; i++) {
        if (strcmp(query->members[picked[i]].domain,
                   query->members[index].domain) == 0)
        {
            return false;
        }
    }
    return true;
}

/* Chooses the members to list, in order of preference, and returns their
 * number. The second is in another failure domain when there is one, so that
 * the caller keeps an address when a domain fails. Suspect members are listed
 * only when there are no others. */
uint32_t
rp_address_answer_pick(const struct rp_address_query *query,
                       uint32_t picked[RP_ADDRESS_ANSWER_COUNT])
{
    GArray *candidates = collect(query);
    rank_candidates(query, candidates);
    uint32_t count = 0;
    for (guint i = 0; i < candidates->len && count < RP_ADDRESS_ANSWER_COUNT;
         i++) {
        uint32_t index = g_array_index(candidates, struct candidate, i).index;
        if (query->members[index].state == RP_ADDRESS_SUSPECT && i > 0 &&
            query->members[picked[0]].state != RP_ADDRESS_SUSPECT)
        {
            break;
        }
        picked[count++] = index;
    }
    for (guint i = 2; count > 1 && i < candidates->len; i++) {
        if (domain_is_new(query, picked, 1, picked[1])) {
            break;
        }
        uint32_t index = g_array_index(candidates, struct candidate, i).index;
        if (query->members[index].state == query->members[picked[1]].state &&
            domain_is_new(query, picked, 1, index))
        {
            for (uint32_t j = 2; j < count; j++) {
                if (picked[j] == index) {
                    picked[j] = picked[1];
                }
            }
            picked[1] = index;
        }
    }
    g_array_unref(candidates);
    return count;
}

/* Returns the JSON body of an answer, to be freed with g_free, or NULL when
 * there is no usable VM. */
char *
rp_address_answer_format(const struct rp_address_query *query)
{
    uint32_t picked[RP_ADDRESS_ANSWER_COUNT];
    uint32_t count = rp_address_answer_pick(query, picked);
    if (count == 0) {
        return NULL;
    }
    json_t *addresses = json_array();
    for (uint32_t i = 0; i < count; i++) {
        const struct rp_address_member *member = &query->members[picked[i]];
        json_array_append_new(
            addresses, json_pack("{s:s, s:s, s:s, s:s}", "id", member->id,
                                 "address", member->address, "domain",
                                 member->domain, "ticket", member->ticket));
    }
    char digest[32];
    g_snprintf(digest, sizeof(digest), "%016" G_GINT64_MODIFIER "x",
               query->digest);
    json_t *answer = json_pack(
        "{s:s, s:I, s:{s:s, s:I}, s:o}", "service", query->service, "ttl_ms",
        (json_int_t)query->ttl_ms, "config", "digest", digest, "revision",
        (json_int_t)query->revision, "addresses", addresses);
    char *dumped = json_dumps(answer, JSON_COMPACT);
    json_decref(answer);
    char *text = g_strdup(dumped);
    free(dumped);
    return text;
}

/* Bits of a near candidate's rank; a higher bit outweighs the lower ones. */
#define RANK_REMOTE_DOMAIN 1u
#define RANK_LOW_CAPACITY 2u
#define RANK_SUSPECT 4u

struct near_candidate {
    uint32_t index;
    uint32_t rank; /* smaller is better */
    uint64_t hash;
};

static int
compare_near(gconstpointer a, gconstpointer b)
{
    const struct near_candidate *left = a;
    const struct near_candidate *right = b;
    if (left->rank != right->rank) {
        return left->rank < right->rank ? -1 : 1;
    }
    if (left->hash != right->hash) {
        return left->hash < right->hash ? -1 : 1;
    }
    return 0;
}

static uint32_t
max_capacity(const struct rp_address_member *members, uint32_t member_count)
{
    uint32_t max_permille = 0;
    for (uint32_t i = 0; i < member_count; i++) {
        if (members[i].state != RP_ADDRESS_UNUSABLE &&
            members[i].state != RP_ADDRESS_SUSPECT)
        {
            max_permille = MAX(max_permille, members[i].capacity_permille);
        }
    }
    return max_permille;
}

static uint32_t
near_rank(const struct rp_address_member *member, const char *domain,
          uint32_t capacity_permille)
{
    bool low_capacity = member->capacity_permille < capacity_permille / 2;
    bool remote = strcmp(member->domain, domain) != 0;
    return (member->state == RP_ADDRESS_SUSPECT ? RANK_SUSPECT : 0u) +
           (low_capacity ? RANK_LOW_CAPACITY : 0u) +
           (remote ? RANK_REMOTE_DOMAIN : 0u);
}

/* Picks up to max_count members for callers of a name and returns their
 * number: those in the callers' failure domain, and others only when there
 * would be fewer than RP_ADDRESS_MIN_COUNT. The same holds for a member of
 * less than half the greatest capacity, which would be full while others are
 * idle. Every entry VM picks the same ones by rendezvous hashing, so that few
 * VMs decide for a name and have recent data of its targets. Suspect members
 * are picked only when there are no others. */
uint32_t
rp_address_nearest(const struct rp_address_member *members,
                   uint32_t member_count, const char *name, const char *domain,
                   uint32_t *picked, uint32_t max_count)
{
    GArray *candidates =
        g_array_new(FALSE, FALSE, sizeof(struct near_candidate));
    uint64_t seed = XXH3_64bits(name, strlen(name));
    uint32_t capacity = max_capacity(members, member_count);
    for (uint32_t i = 0; i < member_count; i++) {
        const struct rp_address_member *member = &members[i];
        if (member->state == RP_ADDRESS_UNUSABLE) {
            continue;
        }
        struct near_candidate candidate = {
            .index = i,
            .rank = near_rank(member, domain, capacity),
            .hash = XXH3_64bits_withSeed(member->id, strlen(member->id), seed),
        };
        g_array_append_val(candidates, candidate);
    }
    g_array_sort(candidates, compare_near);
    uint32_t count = 0;
    for (guint i = 0; i < candidates->len && count < max_count; i++) {
        const struct near_candidate *candidate =
            &g_array_index(candidates, struct near_candidate, i);
        if ((candidate->rank >= RANK_SUSPECT && count > 0) ||
            (candidate->rank > 0 && count >= RP_ADDRESS_MIN_COUNT))
        {
            break;
        }
        picked[count++] = candidate->index;
    }
    g_array_unref(candidates);
    return count;
}
