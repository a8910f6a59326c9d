#include "steering.h"

#include <string.h>

#include "subset.h"

struct rp_steering {
    GHashTable *widths; /* struct rp_subset_width by name of the service */
};

/* Creates steering state without services. Free it with rp_steering_free. */
struct rp_steering *
rp_steering_new(void)
{
    struct rp_steering *steering = g_new0(struct rp_steering, 1);
    steering->widths =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return steering;
}

/* Frees steering state; NULL is allowed. */
void
rp_steering_free(struct rp_steering *steering)
{
    if (steering == NULL) {
        return;
    }
    g_hash_table_unref(steering->widths);
    g_free(steering);
}

static struct rp_subset_width *
get_width(struct rp_steering *steering, const char *service)
{
    struct rp_subset_width *width =
        g_hash_table_lookup(steering->widths, service);
    if (width == NULL) {
        width = g_new0(struct rp_subset_width, 1);
        g_hash_table_insert(steering->widths, g_strdup(service), width);
    }
    return width;
}

static bool
may_serve(const struct rp_member *member)
{
    bool present = member->info.state == RP_MEMBER_ALIVE ||
                   member->info.state == RP_MEMBER_SUSPECT;
    return present && !member->listed_leaving &&
           (member->is_self || member->info.phase != RP_CONFIG_STARTING);
}

static uint32_t
count_domains(const struct rp_subset_member *members, uint32_t count)
{
    uint32_t domains = 0;
    for (uint32_t i = 0; i < count; i++) {
        bool counted = false;
        for (uint32_t j = 0; j < i && !counted; j++) {
            counted = strcmp(members[i].domain, members[j].domain) == 0;
        }
        domains += !counted;
    }
    return domains;
}

/* Updates the width of a service's subset from the members' reported load, and
 * sets whether this VM is in the subset. The load of the subset's VMs is
 * taken as the load of the service. Where they serve other services too, this
 * overestimates it, and the subset is too wide rather than too narrow. */
void
rp_steering_update(struct rp_steering *steering, const char *service,
                   const struct rp_member_view *view, int64_t now_ns,
                   struct rp_steering_choice *choice)
{
    struct rp_subset_member *members =
        g_new0(struct rp_subset_member, view->count + 1);
    const struct rp_member **sources =
        g_new(const struct rp_member *, view->count + 1);
    uint32_t *order = g_new(uint32_t, view->count + 1);
    uint32_t count = 0;
    for (uint32_t i = 0; i < view->count; i++) {
        const struct rp_member *member = &view->members[i];
        if (may_serve(member)) {
            sources[count] = member;
            members[count].id = member->info.id;
            members[count++].domain = member->info.domain;
        }
    }
    struct rp_subset_width *width = get_width(steering, service);
    rp_subset_choose(service, members, count, count, order);
    double load = 0.0;
    uint32_t suspects = 0;
    for (uint32_t i = 0; i < MIN(width->width, count); i++) {
        const struct rp_member *member = sources[order[i]];
        load += member->info.load_permille / 1000.0;
        suspects += member->info.state == RP_MEMBER_SUSPECT;
    }
    choice->width = rp_subset_update_width(
        width, load, count_domains(members, count), suspects, count, now_ns);
    choice->has_self = false;
    for (uint32_t i = 0; i < MIN(choice->width, count); i++) {
        choice->has_self |= sources[order[i]]->is_self;
    }
    g_free(order);
    g_free(sources);
    g_free(members);
}

/* Returns how many entry VMs choose targets for a service. A VM outside of the
 * subset still has callers with older address answers and counts itself in
 * addition. The result is never above the fleet size. */
uint32_t
rp_steering_deciders(const struct rp_steering_choice *choice,
                     uint32_t fleet_size)
{
    uint32_t deciders = choice->width + (choice->has_self ? 0 : 1);
    return CLAMP(deciders, 1, MAX(fleet_size, 1));
}
