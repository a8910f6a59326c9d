#include <string.h>

#include "record_set.h"
#include "record_set_internal.h"

/* A target as one record gives it, before the union by address. */
struct candidate {
    const struct rp_record_target *target;
    const struct rp_record *record;
    struct rp_record_order order;
};

/* All records of one service. */
struct service_parts {
    const struct rp_record *old;
    const struct rp_record *service;
    const struct rp_record *share;
    const struct rp_record_pool *pool; /* of the routes record */
    GArray *candidates;                /* of struct candidate */
};

/* All records, by service. */
struct all_parts {
    GTree *services; /* name to struct service_parts */
    const struct rp_record *routes;
};

static void
free_parts(gpointer data)
{
    struct service_parts *parts = data;
    g_array_unref(parts->candidates);
    g_free(parts);
}

static struct service_parts *
find_parts(GTree *services, char *name)
{
    struct service_parts *parts = g_tree_lookup(services, name);
    if (parts == NULL) {
        parts = g_new0(struct service_parts, 1);
        parts->candidates =
            g_array_new(FALSE, FALSE, sizeof(struct candidate));
        g_tree_insert(services, name, parts);
    }
    return parts;
}

static void
collect_routes(struct all_parts *all, const struct rp_record *record)
{
    all->routes = record;
    for (uint32_t i = 0; i < record->pool_count; i++) {
        struct rp_record_pool *pool = &record->pools[i];
        find_parts(all->services, pool->name)->pool = pool;
    }
}

static gboolean
collect_entry(gpointer key, gpointer value, gpointer data)
{
    const struct record_entry *entry = value;
    const struct rp_record *record = entry->record;
    if (record->retired) {
        return FALSE;
    }
    struct all_parts *all = data;
    if (record->kind == RP_RECORD_ROUTES) {
        collect_routes(all, record);
        return FALSE;
    }
    struct service_parts *parts = find_parts(all->services, record->service);
    switch (record->kind) {
    case RP_RECORD_OLD_SERVICE:
        parts->old = record;
        break;
    case RP_RECORD_SERVICE:
        parts->service = record;
        break;
    case RP_RECORD_SHARE:
        parts->share = record;
        break;
    case RP_RECORD_TARGETS:
    case RP_RECORD_ROUTES:
    case RP_RECORD_TARGET:
        break;
    }
    for (uint32_t i = 0; i < record->target_count; i++) {
        struct candidate candidate = {&record->targets[i], record,
                                      entry->order};
        g_array_append_val(parts->candidates, candidate);
    }
    return FALSE;
}

/* Sorts by address, the candidate that counts first: schema 2 before
 * schema 1, then the one published last. */
static gint
compare_candidates(gconstpointer left, gconstpointer right)
{
    const struct candidate *a = left;
    const struct candidate *b = right;
    int order = strcmp(a->target->address, b->target->address);
    if (order != 0) {
        return order;
    }
    bool a_old = a->record->kind == RP_RECORD_OLD_SERVICE;
    bool b_old = b->record->kind == RP_RECORD_OLD_SERVICE;
    if (a_old != b_old) {
        return a_old ? 1 : -1;
    }
    if (a->order.revision != b->order.revision) {
        return a->order.revision > b->order.revision ? -1 : 1;
    }
    return strcmp(a->record->key, b->record->key);
}

static void warn(GPtrArray *warnings, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

static void
warn(GPtrArray *warnings, const char *format, ...)
{
    if (warnings == NULL || warnings->len >= RP_RECORD_MAX_FAULTS) {
        return;
    }
    va_list arguments;
    va_start(arguments, format);
    g_ptr_array_add(warnings, g_strdup_vprintf(format, arguments));
    va_end(arguments);
}

static void
replace_text(char **to, const char *text)
{
    g_free(*to);
    *to = g_strdup(text);
}

static void
apply_settings(struct rp_service *service,
               const struct rp_record_service *settings)
{
    uint32_t fields = settings->fields;
    if ((fields & RP_RECORD_HAS_HOST) != 0 && settings->host != NULL) {
        replace_text(&service->host, settings->host);
    }
    if ((fields & RP_RECORD_HAS_PATH_PREFIX) != 0) {
        replace_text(&service->path_prefix, settings->path_prefix);
    }
    if ((fields & RP_RECORD_HAS_TIMEOUT) != 0) {
        service->timeout_ms = (uint32_t)settings->timeout_ms;
    }
    if ((fields & RP_RECORD_HAS_MAX_TIMEOUT) != 0) {
        service->max_timeout_ms = (uint32_t)settings->max_timeout_ms;
    }
    if ((fields & RP_RECORD_HAS_MAX_BODY) != 0) {
        service->max_body_bytes = (uint64_t)settings->max_body_bytes;
    }
    if ((fields & RP_RECORD_HAS_METHODS) != 0) {
        service->repeatable_methods = settings->repeatable_methods;
    }
    if ((fields & RP_RECORD_HAS_LENGTH_CLASS) != 0) {
        service->length_class = settings->length_class;
    }
    if ((fields & RP_RECORD_HAS_PROBES) != 0) {
        service->probes_per_10s = (uint32_t)settings->probes_per_10s;
    }
    if ((fields & RP_RECORD_HAS_PROBE_PATH) != 0) {
        replace_text(&service->probe_path, settings->probe_path);
    }
}

static bool
has_estate_room(const struct rp_service *service, const char *estate)
{
    for (uint32_t i = 0; i < service->estate_count; i++) {
        if (strcmp(service->estates[i].name, estate) == 0) {
            return true;
        }
    }
    return service->estate_count < RP_SNAPSHOT_MAX_ESTATES;
}

static void
add_targets(struct rp_service *service, struct service_parts *parts,
            GPtrArray *warnings)
{
    g_array_sort(parts->candidates, compare_candidates);
    const char *address = "";
    for (guint i = 0; i < parts->candidates->len; i++) {
        const struct candidate *candidate =
            &g_array_index(parts->candidates, struct candidate, i);
        const struct rp_record_target *from = candidate->target;
        const char *estate = candidate->record->estate;
        if (strcmp(address, from->address) == 0) {
            continue;
        }
        address = from->address;
        if (!has_estate_room(service, estate)) {
            warn(warnings,
                 "service '%s': estate '%s' is left out, since a service has "
                 "at most %d; retire targets records of other estates",
                 service->name, estate, RP_SNAPSHOT_MAX_ESTATES);
            continue;
        }
        struct rp_target *target = rp_service_add_target(
            service, from->name, from->address, from->domain, estate);
        target->slots = (uint32_t)from->slots;
        target->connections =
            (uint32_t)(parts->pool == NULL ? from->connections
                                           : parts->pool->connections);
        target->cold_ms = (uint32_t)from->cold_ms;
        if (from->instance != NULL) {
            replace_text(&target->instance, from->instance);
        }
        target->draining = from->draining;
    }
}

static uint64_t
record_share(const struct rp_record *share, const char *estate)
{
    for (uint32_t i = 0; i < share->share_count; i++) {
        if (strcmp(share->shares[i].estate, estate) == 0) {
            return share->shares[i].permille;
        }
    }
    return 0;
}

/* Turns weights into parts per thousand that add up to 1000; what rounding
 * leaves goes to the greatest weight. */
static void
set_permille(struct rp_service *service, const uint64_t *weights,
             uint64_t total)
{
    uint32_t greatest = 0;
    uint32_t given = 0;
    for (uint32_t i = 0; i < service->estate_count; i++) {
        uint32_t permille = (uint32_t)(weights[i] * 1000 / total);
        service->estates[i].share_permille = permille;
        given += permille;
        greatest = weights[i] > weights[greatest] ? i : greatest;
    }
    service->estates[greatest].share_permille += 1000 - given;
}

/* An estate whose targets are all draining, or that has none, can take no
 * share: the others take it in proportion, so that the order in which the
 * records of a handover arrive never leaves requests without a target. */
static void
set_shares(struct rp_service *service, const struct rp_record *share,
           GPtrArray *warnings)
{
    uint64_t slots[RP_SNAPSHOT_MAX_ESTATES] = {0};
    uint64_t weights[RP_SNAPSHOT_MAX_ESTATES] = {0};
    uint64_t all_slots = 0;
    uint64_t total = 0;
    for (uint32_t i = 0; i < service->target_count; i++) {
        const struct rp_target *target = &service->targets[i];
        slots[target->estate] += target->draining ? 0 : target->slots;
        all_slots += target->draining ? 0 : target->slots;
    }
    for (uint32_t i = 0; i < service->estate_count && share != NULL; i++) {
        uint64_t permille = record_share(share, service->estates[i].name);
        weights[i] = slots[i] > 0 ? permille : 0;
        total += weights[i];
    }
    if (total > 0) {
        set_permille(service, weights, total);
        return;
    }
    if (share != NULL) {
        warn(warnings,
             "service '%s': no estate with a share has serving targets, so "
             "shares follow slots; publish targets or correct the share "
             "record",
             service->name);
    }
    for (uint32_t i = 0; i < service->estate_count; i++) {
        slots[i] = all_slots > 0 ? slots[i] : 1;
        total += slots[i];
    }
    if (total > 0) {
        set_permille(service, slots, total);
    }
}

static uint32_t
count_serving(const struct rp_service *service, GHashTable *leaving)
{
    uint32_t serving = 0;
    for (uint32_t i = 0; i < service->target_count; i++) {
        const struct rp_target *target = &service->targets[i];
        bool leaves =
            leaving != NULL && g_hash_table_contains(leaving, target->address);
        serving += target->draining || leaves ? 0 : 1;
    }
    return serving;
}

/* The list of VMs lags and is not ordered against the records. It drains
 * targets, but never the last one that serves. */
static void
apply_leaving(struct rp_service *service, GHashTable *leaving,
              GPtrArray *warnings)
{
    if (leaving == NULL || count_serving(service, NULL) == 0) {
        return;
    }
    if (count_serving(service, leaving) == 0) {
        warn(warnings,
             "service '%s': the list of VMs says that all serving targets "
             "leave, which is not followed; publish targets that stay",
             service->name);
        return;
    }
    for (uint32_t i = 0; i < service->target_count; i++) {
        struct rp_target *target = &service->targets[i];
        if (g_hash_table_contains(leaving, target->address)) {
            target->draining = true;
        }
    }
}

struct build_state {
    struct rp_snapshot *snapshot;
    GHashTable *leaving;
    GPtrArray *warnings;
};

/* The route that a service record gives to its own service. */
static void
add_own_route(struct rp_snapshot *snapshot, const struct rp_service *service)
{
    struct rp_route *route = rp_snapshot_add_route(
        snapshot, service->name, service->host, service->path_prefix);
    route->timeout_ms = service->timeout_ms;
    route->max_timeout_ms = service->max_timeout_ms;
    route->max_body_bytes = service->max_body_bytes;
    route->repeatable_methods = service->repeatable_methods;
    route->length_class = service->length_class;
    rp_route_add_part(route, service->name, 1);
}

static void
add_route(struct rp_snapshot *snapshot, const struct rp_record_route *from)
{
    struct rp_route *route = rp_snapshot_add_route(
        snapshot, from->name, from->host == NULL ? "" : from->host,
        from->path_prefix);
    route->timeout_ms = (uint32_t)from->timeout_ms;
    route->max_timeout_ms = route->timeout_ms;
    route->aim_ms = (uint32_t)from->aim_ms;
    route->repeatable_methods = from->repeatable ? RP_METHODS_ALL : 0;
    route->repeat_errors = from->repeatable;
    route->length_class =
        from->long_answers ? RP_LENGTH_LONG : RP_LENGTH_MEASURED;
    route->attempts = (uint32_t)from->attempts;
    route->rank = (uint32_t)from->rank;
    for (uint32_t i = 0; i < from->part_count; i++) {
        rp_route_add_part(route, from->parts[i].service,
                          (uint32_t)from->parts[i].weight);
    }
}

static void
apply_routes(struct rp_snapshot *snapshot, const struct rp_record *record)
{
    for (uint32_t i = 0; i < record->route_count; i++) {
        add_route(snapshot, &record->routes[i]);
    }
    if (record->limits.header_bytes > 0) {
        struct rp_caller_limits limits = {
            .header_bytes = (uint32_t)record->limits.header_bytes,
            .body_bytes = (uint64_t)record->limits.body_bytes,
            .header_ms = (uint32_t)record->limits.header_ms,
            .idle_ms = (uint32_t)record->limits.idle_ms,
        };
        rp_snapshot_set_limits(snapshot, &limits);
    }
}

static gboolean
build_service(gpointer key, gpointer value, gpointer data)
{
    struct build_state *state = data;
    struct service_parts *parts = value;
    if (parts->old == NULL && parts->service == NULL && parts->pool == NULL) {
        warn(state->warnings,
             "service '%s' has targets or shares but no service record, so "
             "it is not in force; publish 'service/%s' or name it in "
             "'routes'",
             (const char *)key, (const char *)key);
        return FALSE;
    }
    struct rp_service *service = rp_snapshot_add_service(state->snapshot, key);
    if (parts->old != NULL) {
        apply_settings(service, &parts->old->settings);
    }
    if (parts->service != NULL) {
        apply_settings(service, &parts->service->settings);
    }
    service->max_timeout_ms =
        MAX(service->max_timeout_ms, service->timeout_ms);
    if (parts->pool != NULL && parts->pool->probe_path != NULL) {
        replace_text(&service->probe_path, parts->pool->probe_path);
    }
    if (parts->pool != NULL) {
        /* Its targets are asked before calls, not at intervals. */
        service->probes_per_10s = 0;
        service->probe_before_calls = parts->pool->probe_path != NULL;
    }
    if (parts->old != NULL || parts->service != NULL) {
        add_own_route(state->snapshot, service);
    }
    add_targets(service, parts, state->warnings);
    if (service->target_count == 0) {
        warn(state->warnings,
             "service '%s' has no targets; publish a targets record",
             service->name);
    }
    apply_leaving(service, state->leaving, state->warnings);
    set_shares(service, parts->share, state->warnings);
    return FALSE;
}

static gint
compare_names(gconstpointer a, gconstpointer b, gpointer data)
{
    return strcmp(a, b);
}

/* Builds the configuration that all records of the set together describe:
 * for each service the union of both schemas, in which schema 2 overrides
 * schema 1 field by field and targets are united by address. Services are in
 * order of name, targets in order of address, so that equal sets give equal
 * snapshots. leaving, when not NULL, is a set of addresses that the list of
 * VMs says are leaving; they drain. warnings, when not NULL, receives
 * allocated strings about records that do not fit together. Returns a snapshot
 * with one reference. */
struct rp_snapshot *
rp_record_set_build(const struct rp_record_set *set, GHashTable *leaving,
                    GPtrArray *warnings)
{
    struct all_parts all = {
        .services = g_tree_new_full(compare_names, NULL, NULL, free_parts),
    };
    g_tree_foreach(set->entries, collect_entry, &all);
    struct build_state state = {rp_snapshot_new(), leaving, warnings};
    g_tree_foreach(all.services, build_service, &state);
    if (all.routes != NULL) {
        apply_routes(state.snapshot, all.routes);
    }
    g_tree_unref(all.services);
    rp_snapshot_set_version(state.snapshot, set->digest, set->revision);
    return state.snapshot;
}
