#include "overlay.h"

#include <glib.h>
#include <xxhash.h>

/* Which members exchange messages. In a large fleet with several failure
 * domains, the members of a domain form a circulant ring (neighbor.c), and a
 * few relays of each domain exchange messages with those of the other domains,
 * so that the traffic between domains does not grow with the fleet. Otherwise
 * all members form one ring. The rule depends only on the live members and
 * their domains, so that members with the same view agree on it. */

struct overlay_node {
    uint32_t domain; /* index */
    uint32_t rank;   /* position within the ring of its domain */
    bool can_relay;
    uint64_t score; /* for the choice of relays */
};

struct overlay_domain {
    uint64_t hash;
    uint32_t first; /* in the order of positions by domain */
    uint32_t count;
    uint32_t relays[RP_OVERLAY_RELAYS]; /* positions, greatest score first */
    uint32_t relay_count;
};

struct rp_overlay {
    bool is_divided;
    GArray *nodes; /* of struct overlay_node, by position */
    GArray *order; /* of uint32_t: positions, domain after domain */
    uint32_t domain_count;
    struct overlay_domain domains[RP_OVERLAY_MAX_DOMAINS];
};

/* Creates an overlay without members. Free it with rp_overlay_free. */
struct rp_overlay *
rp_overlay_new(void)
{
    struct rp_overlay *overlay = g_new0(struct rp_overlay, 1);
    overlay->nodes = g_array_new(FALSE, TRUE, sizeof(struct overlay_node));
    overlay->order = g_array_new(FALSE, TRUE, sizeof(uint32_t));
    return overlay;
}

/* Frees an overlay; NULL is allowed. */
void
rp_overlay_free(struct rp_overlay *overlay)
{
    if (overlay == NULL) {
        return;
    }
    g_array_unref(overlay->order);
    g_array_unref(overlay->nodes);
    g_free(overlay);
}

static struct overlay_node *
get_node(const struct rp_overlay *overlay, uint32_t position)
{
    return &g_array_index(overlay->nodes, struct overlay_node, position);
}

/* Returns the index of a domain, which is added if it is new. Returns
 * RP_OVERLAY_MAX_DOMAINS when there are too many. */
static uint32_t
find_or_add_domain(struct rp_overlay *overlay, uint64_t hash)
{
    uint32_t index = 0;
    while (index < overlay->domain_count &&
           overlay->domains[index].hash != hash) {
        index++;
    }
    if (index == overlay->domain_count && index < RP_OVERLAY_MAX_DOMAINS) {
        overlay->domains[index] = (struct overlay_domain){.hash = hash};
        overlay->domain_count++;
    }
    return index;
}

static bool
is_preferred(const struct overlay_node *a, const struct overlay_node *b)
{
    return a->can_relay != b->can_relay ? a->can_relay : a->score > b->score;
}

/* Adds a member to the relays of its domain if it is among the first by score
 * (rendezvous hashing: the end of a relay changes no other choice). Suspect
 * and leaving members are chosen only where there are no others. */
static void
offer_relay(struct rp_overlay *overlay, struct overlay_domain *domain,
            uint32_t position)
{
    uint32_t at = domain->relay_count;
    const struct overlay_node *node = get_node(overlay, position);
    while (at > 0 &&
           is_preferred(node, get_node(overlay, domain->relays[at - 1]))) {
        at--;
    }
    if (at == RP_OVERLAY_RELAYS) {
        return;
    }
    domain->relay_count = MIN(domain->relay_count + 1, RP_OVERLAY_RELAYS);
    for (uint32_t i = domain->relay_count - 1; i > at; i--) {
        domain->relays[i] = domain->relays[i - 1];
    }
    domain->relays[at] = position;
}

static void
order_by_domain(struct rp_overlay *overlay)
{
    uint32_t next[RP_OVERLAY_MAX_DOMAINS];
    uint32_t first = 0;
    for (uint32_t i = 0; i < overlay->domain_count; i++) {
        overlay->domains[i].first = first;
        next[i] = first;
        first += overlay->domains[i].count;
    }
    g_array_set_size(overlay->order, overlay->nodes->len);
    for (uint32_t i = 0; i < overlay->nodes->len; i++) {
        struct overlay_node *node = get_node(overlay, i);
        struct overlay_domain *domain = &overlay->domains[node->domain];
        node->rank = next[node->domain] - domain->first;
        g_array_index(overlay->order, uint32_t, next[node->domain]++) = i;
        offer_relay(overlay, domain, i);
    }
}

/* Replaces the members: all that are not dead, in the order of the ring.
 * Without may_divide, they form one ring in any case. */
void
rp_overlay_update(struct rp_overlay *overlay,
                  const struct rp_overlay_member *members, uint32_t count,
                  bool may_divide)
{
    overlay->domain_count = 0;
    overlay->is_divided = may_divide && count >= RP_OVERLAY_MIN_MEMBERS;
    g_array_set_size(overlay->nodes, count);
    for (uint32_t i = 0; i < count && overlay->is_divided; i++) {
        struct overlay_node *node = get_node(overlay, i);
        node->domain = find_or_add_domain(overlay, members[i].domain);
        node->can_relay = members[i].can_relay;
        node->score = XXH64(&members[i].hash, sizeof(members[i].hash), 1);
        if (node->domain == RP_OVERLAY_MAX_DOMAINS) {
            overlay->is_divided = false;
            break;
        }
        overlay->domains[node->domain].count++;
    }
    overlay->is_divided =
        overlay->is_divided && overlay->domain_count >= 2 &&
        count >= overlay->domain_count * RP_OVERLAY_MIN_DOMAIN_MEMBERS;
    if (overlay->is_divided) {
        order_by_domain(overlay);
    }
}

/* Returns whether the fleet is divided by failure domains. */
bool
rp_overlay_is_divided(const struct rp_overlay *overlay)
{
    return overlay->is_divided;
}

/* Returns the relay rank of a member, RP_OVERLAY_RELAYS for none. */
static uint32_t
relay_rank(const struct rp_overlay *overlay, uint32_t position)
{
    const struct overlay_domain *domain =
        &overlay->domains[get_node(overlay, position)->domain];
    for (uint32_t i = 0; i < domain->relay_count; i++) {
        if (domain->relays[i] == position) {
            return i;
        }
    }
    return RP_OVERLAY_RELAYS;
}

/* Returns whether a member exchanges messages with other domains. */
bool
rp_overlay_is_relay(const struct rp_overlay *overlay, uint32_t position)
{
    return overlay->is_divided &&
           relay_rank(overlay, position) < RP_OVERLAY_RELAYS;
}

/* Returns whether two members are in the same ring. */
bool
rp_overlay_same_domain(const struct rp_overlay *overlay, uint32_t a,
                       uint32_t b)
{
    return !overlay->is_divided ||
           get_node(overlay, a)->domain == get_node(overlay, b)->domain;
}

/* Returns whether relay from sends to relay to of another domain: those of the
 * same rank, and where one domain has fewer relays, these in turn to all of
 * the other. */
static bool
is_relay_pair(const struct overlay_domain *from_domain, uint32_t from_rank,
              const struct overlay_domain *to_domain, uint32_t to_rank)
{
    uint32_t pairs = MAX(from_domain->relay_count, to_domain->relay_count);
    for (uint32_t i = 0; i < pairs; i++) {
        if (i % from_domain->relay_count == from_rank &&
            i % to_domain->relay_count == to_rank)
        {
            return true;
        }
    }
    return false;
}

static uint32_t
add_remote_receivers(const struct rp_overlay *overlay, uint32_t self,
                     uint32_t receivers[RP_OVERLAY_RECEIVER_LIMIT])
{
    uint32_t count = 0;
    uint32_t rank = relay_rank(overlay, self);
    uint32_t own_domain = get_node(overlay, self)->domain;
    for (uint32_t i = 0; rank < RP_OVERLAY_RELAYS && i < overlay->domain_count;
         i++)
    {
        const struct overlay_domain *domain = &overlay->domains[i];
        for (uint32_t j = 0; i != own_domain && j < domain->relay_count; j++) {
            if (is_relay_pair(&overlay->domains[own_domain], rank, domain, j))
            {
                receivers[count++] = domain->relays[j];
            }
        }
    }
    return count;
}

static uint32_t
position_at(const struct rp_overlay *overlay,
            const struct overlay_domain *domain, uint32_t rank)
{
    return g_array_index(overlay->order, uint32_t, domain->first + rank);
}

/* Writes the positions of the members to which the member at position self
 * sends heartbeats, and returns their number. Relays of other domains come
 * first, so that news are sent to them before others of the same tick. */
uint32_t
rp_overlay_receivers(const struct rp_overlay *overlay, uint32_t self,
                     uint32_t receivers[RP_OVERLAY_RECEIVER_LIMIT])
{
    if (!overlay->is_divided) {
        return rp_neighbor_select(overlay->nodes->len, self, receivers);
    }
    const struct overlay_node *node = get_node(overlay, self);
    const struct overlay_domain *domain = &overlay->domains[node->domain];
    uint32_t count = add_remote_receivers(overlay, self, receivers);
    uint32_t ranks[RP_NEIGHBOR_LIMIT];
    uint32_t degree = rp_neighbor_select(domain->count, node->rank, ranks);
    for (uint32_t i = 0; i < degree; i++) {
        receivers[count++] = position_at(overlay, domain, ranks[i]);
    }
    return count;
}

/* Returns whether the member at position to is among the receivers of the
 * member at position from. */
bool
rp_overlay_sends_to(const struct rp_overlay *overlay, uint32_t from,
                    uint32_t to)
{
    if (!overlay->is_divided) {
        return rp_neighbor_sends_to(overlay->nodes->len, from, to);
    }
    const struct overlay_node *sender = get_node(overlay, from);
    const struct overlay_node *receiver = get_node(overlay, to);
    const struct overlay_domain *domain = &overlay->domains[sender->domain];
    if (sender->domain == receiver->domain) {
        return rp_neighbor_sends_to(domain->count, sender->rank,
                                    receiver->rank);
    }
    uint32_t from_rank = relay_rank(overlay, from);
    uint32_t to_rank = relay_rank(overlay, to);
    return from_rank < RP_OVERLAY_RELAYS && to_rank < RP_OVERLAY_RELAYS &&
           is_relay_pair(domain, from_rank,
                         &overlay->domains[receiver->domain], to_rank);
}

/* Writes the members to which the member at position self forwards a broadcast
 * for span members of its ring, as rp_neighbor_branches does, and returns
 * their number. */
uint32_t
rp_overlay_branches(const struct rp_overlay *overlay, uint32_t self,
                    uint32_t span, bool backward,
                    struct rp_neighbor_branch branches[RP_NEIGHBOR_LIMIT])
{
    if (!overlay->is_divided) {
        return rp_neighbor_branches(overlay->nodes->len, self, span, backward,
                                    branches);
    }
    const struct overlay_node *node = get_node(overlay, self);
    const struct overlay_domain *domain = &overlay->domains[node->domain];
    uint32_t count = rp_neighbor_branches(domain->count, node->rank, span,
                                          backward, branches);
    for (uint32_t i = 0; i < count; i++) {
        branches[i].position =
            position_at(overlay, domain, branches[i].position);
    }
    return count;
}

/* Writes the relay of the given rank in each other domain, with the size of
 * the domain as its span, and returns their number. A broadcast enters a
 * domain there. Where a domain has fewer relays, ranks start again. */
uint32_t
rp_overlay_entry_points(
    const struct rp_overlay *overlay, uint32_t self, uint32_t rank,
    struct rp_neighbor_branch entry_points[RP_OVERLAY_MAX_DOMAINS])
{
    uint32_t count = 0;
    for (uint32_t i = 0; overlay->is_divided && i < overlay->domain_count; i++)
    {
        const struct overlay_domain *domain = &overlay->domains[i];
        if (i != get_node(overlay, self)->domain) {
            entry_points[count].position =
                domain->relays[rank % domain->relay_count];
            entry_points[count++].span = domain->count;
        }
    }
    return count;
}
