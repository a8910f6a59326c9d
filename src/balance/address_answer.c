#include "address_answer.h"

#include <string.h>

#include <glib.h>
#include <jansson.h>
#include <xxhash.h>

#include "subset.h"

/* A member so much more loaded than another, in parts per thousand, is
 * named after it. Coarse, since loads are old when they arrive. */
#define LOAD_STEP_PERMILLE 250

struct candidate {
    uint32_t index;
    uint32_t rank;  /* smaller is better */
    uint32_t place; /* in the order of the service */
    uint64_t shuffle;
};

static int
compare_places(gconstpointer a, gconstpointer b)
{
    const struct candidate *left = a;
    const struct candidate *right = b;
    if (left->rank / 4 != right->rank / 4) {
        return left->rank / 4 < right->rank / 4 ? -1 : 1;
    }
    return left->place < right->place ? -1 : left->place > right->place;
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
collect(const struct rp_address_query *question)
{
    GArray *found = g_array_new(FALSE, FALSE, sizeof(struct candidate));
    uint64_t seed = XXH3_64bits(question->service, strlen(question->service));
    for (uint32_t i = 0; i < question->member_count; i++) {
        const struct rp_address_member *member = &question->members[i];
        if (member->state == RP_ADDRESS_UNUSABLE) {
            continue;
        }
        struct candidate candidate = {
            .index = i,
            .rank = (uint32_t)member->state * 4,
            .shuffle = XXH3_64bits_withSeed(member->id, strlen(member->id),
                                            seed ^ question->random),
        };
        g_array_append_val(found, candidate);
    }
    return found;
}

/* Sets each candidate's place in the order in which entry VMs serve the
 * service; see rp_subset_choose. */
static void
set_places(const struct rp_address_query *question, GArray *found)
{
    struct rp_subset_member *members =
        g_new(struct rp_subset_member, found->len + 1);
    uint32_t *order = g_new(uint32_t, found->len + 1);
    for (guint i = 0; i < found->len; i++) {
        uint32_t index = g_array_index(found, struct candidate, i).index;
        members[i].id = question->members[index].id;
        members[i].domain = question->members[index].domain;
    }
    uint32_t count = rp_subset_choose(question->service, members, found->len,
                                      found->len, order);
    for (uint32_t i = 0; i < count; i++) {
        g_array_index(found, struct candidate, order[i]).place = i;
    }
    g_free(order);
    g_free(members);
}

/* The serving members of the service's subset, ranked by the caller's own
 * first and by load. */
static void
rank(const struct rp_address_query *question, GArray *found)
{
    set_places(question, found);
    g_array_sort(found, compare_places);
    for (guint i = 0; i < found->len; i++) {
        struct candidate *candidate =
            &g_array_index(found, struct candidate, i);
        const struct rp_address_member *member =
            &question->members[candidate->index];
        bool outside = i >= MAX(question->subset, 1);
        bool far = question->domain[0] != '\0' &&
                   strcmp(question->domain, member->domain) != 0;
        candidate->rank =
            candidate->rank * 1000 + (outside ? 500 : 0) + (far ? 100 : 0) +
            MIN(member->load_permille, 9999) / LOAD_STEP_PERMILLE;
    }
    g_array_sort(found, compare_ranks);
}

static bool
domain_is_new(const struct rp_address_query *question, const uint32_t *picked,
              uint32_t count, uint32_t index)
{
    for (uint32_t i = 0; i < count; i++) {
        if (strcmp(question->members[picked[i]].domain,
                   question->members[index].domain) == 0)
        {
            return false;
        }
    }
    return true;
}

/* Chooses the members to name, in order of preference, and returns their
 * number. The second is of another failure domain when there is one, so that
 * the loss of a domain leaves the caller an address. Suspect members are
 * named only when there are no others. */
uint32_t
rp_address_answer_pick(const struct rp_address_query *question,
                       uint32_t picked[RP_ADDRESS_ANSWER_COUNT])
{
    GArray *found = collect(question);
    rank(question, found);
    uint32_t count = 0;
    for (guint i = 0; i < found->len && count < RP_ADDRESS_ANSWER_COUNT; i++) {
        uint32_t index = g_array_index(found, struct candidate, i).index;
        if (question->members[index].state == RP_ADDRESS_SUSPECT && i > 0 &&
            question->members[picked[0]].state != RP_ADDRESS_SUSPECT)
        {
            break;
        }
        picked[count++] = index;
    }
    for (guint i = 2; count > 1 && i < found->len; i++) {
        if (domain_is_new(question, picked, 1, picked[1])) {
            break;
        }
        uint32_t index = g_array_index(found, struct candidate, i).index;
        if (question->members[index].state ==
                question->members[picked[1]].state &&
            domain_is_new(question, picked, 1, index))
        {
            for (uint32_t j = 2; j < count; j++) {
                if (picked[j] == index) {
                    picked[j] = picked[1];
                }
            }
            picked[1] = index;
        }
    }
    g_array_unref(found);
    return count;
}

/* Builds the JSON body of an answer, which the caller frees with g_free, or
 * returns NULL when no VM can be named. */
char *
rp_address_answer_format(const struct rp_address_query *question)
{
    uint32_t picked[RP_ADDRESS_ANSWER_COUNT];
    uint32_t count = rp_address_answer_pick(question, picked);
    if (count == 0) {
        return NULL;
    }
    json_t *addresses = json_array();
    for (uint32_t i = 0; i < count; i++) {
        const struct rp_address_member *member = &question->members[picked[i]];
        json_array_append_new(
            addresses, json_pack("{s:s, s:s, s:s, s:s}", "id", member->id,
                                 "address", member->address, "domain",
                                 member->domain, "ticket", member->ticket));
    }
    char digest[32];
    g_snprintf(digest, sizeof(digest), "%016" G_GINT64_MODIFIER "x",
               question->digest);
    json_t *answer = json_pack(
        "{s:s, s:I, s:{s:s, s:I}, s:o}", "service", question->service,
        "ttl_ms", (json_int_t)question->ttl_ms, "config", "digest", digest,
        "revision", (json_int_t)question->revision, "addresses", addresses);
    char *dumped = json_dumps(answer, JSON_COMPACT);
    json_decref(answer);
    char *text = g_strdup(dumped);
    free(dumped);
    return text;
}

/* Parts of the rank of a near candidate; the greatest goes first. */
#define RANK_FAR 1u
#define RANK_SMALL 2u
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
greatest_capacity(const struct rp_address_member *members,
                  uint32_t member_count)
{
    uint32_t greatest = 0;
    for (uint32_t i = 0; i < member_count; i++) {
        if (members[i].state != RP_ADDRESS_UNUSABLE &&
            members[i].state != RP_ADDRESS_SUSPECT)
        {
            greatest = MAX(greatest, members[i].capacity_permille);
        }
    }
    return greatest;
}

static uint32_t
near_rank(const struct rp_address_member *member, const char *domain,
          uint32_t capacity_permille)
{
    bool small = member->capacity_permille < capacity_permille / 2;
    bool far = strcmp(member->domain, domain) != 0;
    return (member->state == RP_ADDRESS_SUSPECT ? RANK_SUSPECT : 0u) +
           (small ? RANK_SMALL : 0u) + (far ? RANK_FAR : 0u);
}

/* Picks up to most members for callers of a name and returns their number:
 * those of the callers' failure domain, and others only when there would be
 * fewer than RP_ADDRESS_LEAST. A member of less than half the greatest
 * capacity is picked only then too: it would be full while others are idle.
 * Every entry VM picks the same ones by rendezvous hashing, so that few decide
 * for a name and know its targets well. Suspect members are picked only when
 * there are no others. */
uint32_t
rp_address_nearest(const struct rp_address_member *members,
                   uint32_t member_count, const char *name, const char *domain,
                   uint32_t *picked, uint32_t most)
{
    GArray *found = g_array_new(FALSE, FALSE, sizeof(struct near_candidate));
    uint64_t seed = XXH3_64bits(name, strlen(name));
    uint32_t capacity = greatest_capacity(members, member_count);
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
        g_array_append_val(found, candidate);
    }
    g_array_sort(found, compare_near);
    uint32_t count = 0;
    for (guint i = 0; i < found->len && count < most; i++) {
        const struct near_candidate *candidate =
            &g_array_index(found, struct near_candidate, i);
        if ((candidate->rank >= RANK_SUSPECT && count > 0) ||
            (candidate->rank > 0 && count >= RP_ADDRESS_LEAST))
        {
            break;
        }
        picked[count++] = candidate->index;
    }
    g_array_unref(found);
    return count;
}
