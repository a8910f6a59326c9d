#include <string.h>

#include "record_set.h"
#include "record_set_internal.h"

/* A target as one record describes it. Of the candidates with the same
 * address, one is used. */
struct candidate {
    const struct rp_record_target *target;
    const struct rp_record *record;
    struct rp_record_order order;
};

/* All records of one service. */
struct service_records {
    const struct rp_record *schema1; /* the service and its targets */
    const struct rp_record *service;
    const struct rp_record *share;
    const struct rp_record_pool *pool; /* of the routes record */
    GArray *candidates;                /* of struct candidate */
};

/* All records, grouped by service. */
struct record_groups {
    GTree *services; /* name to struct service_records */
    const struct rp_record *routes;
    GPtrArray *evacuations; /* of const struct rp_record *, by key */
    GPtrArray *warnings;    /* may be NULL */
};

static void
free_service_records(gpointer data)
{
    struct service_records *records = data;
    g_array_unref(records->candidates);
    g_free(records);
}

static struct service_records *
find_or_add_service(GTree *services, char *name)
{
    struct service_records *records = g_tree_lookup(services, name);
    if (records == NULL) {
        records = g_new0(struct service_records, 1);
        records->candidates =
            g_array_new(FALSE, FALSE, sizeof(struct candidate));
        g_tree_insert(services, name, records);
    }
    return records;
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
collect_routes(struct record_groups *groups, const struct rp_record *record)
{
    groups->routes = record;
    for (uint32_t i = 0; i < record->pool_count; i++) {
        struct rp_record_pool *pool = &record->pools[i];
        find_or_add_service(groups->services, pool->name)->pool = pool;
    }
}

static gboolean
collect_entry(gpointer key, gpointer value, gpointer data)
{
    const struct record_entry *entry = value;
    const struct rp_record *record = entry->in_force->record;
    if (record->retired) {
        return FALSE;
    }
    struct record_groups *groups = data;
    for (guint i = 0; record->warnings != NULL && i < record->warnings->len;
         i++) {
        warn(groups->warnings, "%s: %s", record->key,
             (const char *)g_ptr_array_index(record->warnings, i));
    }
    if (record->kind == RP_RECORD_ROUTES) {
        collect_routes(groups, record);
        return FALSE;
    }
    if (record->kind == RP_RECORD_EVACUATION) {
        g_ptr_array_add(groups->evacuations, (gpointer)record);
        return FALSE;
    }
    struct service_records *records =
        find_or_add_service(groups->services, record->service);
    switch (record->kind) {
    case RP_RECORD_SCHEMA1_SERVICE:
        records->schema1 = record;
        break;
    case RP_RECORD_SERVICE:
        records->service = record;
        break;
    case RP_RECORD_SHARE:
        records->share = record;
        break;
    case RP_RECORD_TARGETS:
    case RP_RECORD_ROUTES:
    case RP_RECORD_TARGET:
    case RP_RECORD_EVACUATION:
        break;
    }
    for (uint32_t i = 0; i < record->target_count; i++) {
        struct candidate candidate = {&record->targets[i], record,
                                      entry->in_force->order};
        g_array_append_val(records->candidates, candidate);
    }
    return FALSE;
}

/* Sorts by address. The first candidate of each address is used: schemas 2 and
 * 3 before schema 1, then the one published last. */
static gint
compare_candidates(gconstpointer left, gconstpointer right)
{
    const struct candidate *a = left;
    const struct candidate *b = right;
    int order = strcmp(a->target->address, b->target->address);
    if (order != 0) {
        return order;
    }
    bool a_is_schema1 = a->record->kind == RP_RECORD_SCHEMA1_SERVICE;
    bool b_is_schema1 = b->record->kind == RP_RECORD_SCHEMA1_SERVICE;
    if (a_is_schema1 != b_is_schema1) {
        return a_is_schema1 ? 1 : -1;
    }
    if (a->order.revision != b->order.revision) {
        return a->order.revision > b->order.revision ? -1 : 1;
    }
    return strcmp(a->record->key, b->record->key);
}

static void
replace_text(char **destination, const char *text)
{
    g_free(*destination);
    *destination = g_strdup(text);
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
has_room_for_estate(const struct rp_service *service, const char *estate)
{
    for (uint32_t i = 0; i < service->estate_count; i++) {
        if (strcmp(service->estates[i].name, estate) == 0) {
            return true;
        }
    }
    return service->estate_count < RP_SNAPSHOT_MAX_ESTATES;
}

static void
add_targets(struct rp_service *service, struct service_records *records,
            GPtrArray *warnings)
{
    g_array_sort(records->candidates, compare_candidates);
    const char *address = "";
    for (guint i = 0; i < records->candidates->len; i++) {
        const struct candidate *candidate =
            &g_array_index(records->candidates, struct candidate, i);
        const struct rp_record_target *source = candidate->target;
        const char *estate = candidate->record->estate;
        if (strcmp(address, source->address) == 0) {
            continue;
        }
        address = source->address;
        if (!has_room_for_estate(service, estate)) {
            warn(warnings,
                 "service '%s': estate '%s' is ignored, since a service has "
                 "at most %d; retire targets records of other estates",
                 service->name, estate, RP_SNAPSHOT_MAX_ESTATES);
            continue;
        }
        struct rp_target *target = rp_service_add_target(
            service, source->name, source->address, source->domain, estate);
        target->slots = (uint32_t)source->slots;
        target->connections =
            (uint32_t)(records->pool == NULL ? source->connections
                                             : records->pool->connections);
        target->cold_ms = (uint32_t)source->cold_ms;
        target->version = (uint64_t)candidate->record->version;
        if (source->instance != NULL) {
            replace_text(&target->instance, source->instance);
        }
        target->started_ms = candidate->record->position.started_ms;
        target->draining = source->draining;
    }
}

static uint64_t
find_permille(const struct rp_record *share, const char *estate)
{
    for (uint32_t i = 0; i < share->share_count; i++) {
        if (strcmp(share->shares[i].estate, estate) == 0) {
            return share->shares[i].permille;
        }
    }
    return 0;
}

/* Converts weights to parts per thousand that add up to 1000. The rest from
 * rounding is added to the estate with the greatest weight. */
static void
set_permille(struct rp_service *service, const uint64_t *weights,
             uint64_t total)
{
    uint32_t greatest = 0;
    uint32_t assigned = 0;
    for (uint32_t i = 0; i < service->estate_count; i++) {
        uint32_t permille = (uint32_t)(weights[i] * 1000 / total);
        service->estates[i].share_permille = permille;
        assigned += permille;
        greatest = weights[i] > weights[greatest] ? i : greatest;
    }
    service->estates[greatest].share_permille += 1000 - assigned;
}

/* Sets the estates' shares of the requests. The share of an estate without
 * serving targets is distributed over the others in proportion, so that during
 * a handover requests have a target in whichever order its records arrive. */
static void
set_shares(struct rp_service *service, const struct rp_record *share,
           GPtrArray *warnings)
{
    uint64_t slots[RP_SNAPSHOT_MAX_ESTATES] = {0};
    uint64_t weights[RP_SNAPSHOT_MAX_ESTATES] = {0};
    uint64_t total_slots = 0;
    uint64_t total = 0;
    for (uint32_t i = 0; i < service->target_count; i++) {
        const struct rp_target *target = &service->targets[i];
        bool is_serving = !target->draining && !target->evacuated;
        slots[target->estate] += is_serving ? target->slots : 0;
        total_slots += is_serving ? target->slots : 0;
    }
    for (uint32_t i = 0; i < service->estate_count && share != NULL; i++) {
        uint64_t permille = find_permille(share, service->estates[i].name);
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
             "shares are proportional to slots; publish targets or correct "
             "the share record",
             service->name);
    }
    for (uint32_t i = 0; i < service->estate_count; i++) {
        slots[i] = total_slots > 0 ? slots[i] : 1;
        total += slots[i];
    }
    if (total > 0) {
        set_permille(service, slots, total);
    }
}

static uint32_t
count_serving(const struct rp_service *service, GHashTable *leaving_addresses)
{
    uint32_t serving = 0;
    for (uint32_t i = 0; i < service->target_count; i++) {
        const struct rp_target *target = &service->targets[i];
        bool is_leaving =
            leaving_addresses != NULL &&
            g_hash_table_contains(leaving_addresses, target->address);
        serving += target->draining || target->evacuated || is_leaving ? 0 : 1;
    }
    return serving;
}

/* Drains the targets that the list of VMs reports as leaving. The list lags
 * and has no defined order with the records, so it is ignored when no serving
 * target would remain. */
static void
apply_leaving(struct rp_service *service, GHashTable *leaving_addresses,
              GPtrArray *warnings)
{
    if (leaving_addresses == NULL || count_serving(service, NULL) == 0) {
        return;
    }
    if (count_serving(service, leaving_addresses) == 0) {
        warn(warnings,
             "service '%s': the list of VMs reports all serving targets as "
             "leaving and is ignored; publish targets that stay",
             service->name);
        return;
    }
    for (uint32_t i = 0; i < service->target_count; i++) {
        struct rp_target *target = &service->targets[i];
        if (g_hash_table_contains(leaving_addresses, target->address)) {
            target->draining = true;
        }
    }
}

struct build_state {
    struct rp_snapshot *snapshot;
    GHashTable *leaving_addresses;
    GHashTable *target_domains; /* borrowed names */
    GPtrArray *warnings;
};

/* Marks the targets whose failure domain is being evacuated. */
static void
apply_evacuations(struct rp_service *service, const struct build_state *state)
{
    for (uint32_t i = 0; i < service->target_count; i++) {
        struct rp_target *target = &service->targets[i];
        g_hash_table_add(state->target_domains, target->domain);
        target->evacuated =
            rp_snapshot_is_evacuated(state->snapshot, target->domain);
    }
}

/* A domain without targets is most likely misspelled. */
static void
warn_about_empty_domains(const struct build_state *state)
{
    uint32_t count = rp_snapshot_evacuation_count(state->snapshot);
    for (uint32_t i = 0; i < count; i++) {
        const char *domain = rp_snapshot_get_evacuation(state->snapshot, i);
        if (!g_hash_table_contains(state->target_domains, domain)) {
            warn(state->warnings,
                 "failure domain '%s' is evacuated but has no targets; check "
                 "its name",
                 domain);
        }
    }
}

/* Adds the route that a service record defines for its service. */
static void
add_service_route(struct rp_snapshot *snapshot,
                  const struct rp_service *service)
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
add_route(struct rp_snapshot *snapshot, const struct rp_record_route *source)
{
    struct rp_route *route = rp_snapshot_add_route(
        snapshot, source->name, source->host == NULL ? "" : source->host,
        source->path_prefix);
    route->timeout_ms = (uint32_t)source->timeout_ms;
    route->max_timeout_ms = route->timeout_ms;
    route->aim_ms = (uint32_t)source->aim_ms;
    route->repeatable_methods = source->repeatable ? RP_METHODS_ALL : 0;
    route->repeat_errors = source->repeatable;
    route->length_class =
        source->long_answers ? RP_LENGTH_LONG : RP_LENGTH_MEASURED;
    route->attempts = (uint32_t)source->attempts;
    route->rank = (uint32_t)source->rank;
    for (uint32_t i = 0; i < source->part_count; i++) {
        rp_route_add_part(route, source->parts[i].service,
                          (uint32_t)source->parts[i].weight);
    }
}

static void
apply_routes(struct rp_snapshot *snapshot, const struct rp_record *record)
{
    for (uint32_t i = 0; i < record->route_count; i++) {
        add_route(snapshot, &record->routes[i]);
    }
    const struct rp_record_limits *source = &record->limits;
    struct rp_caller_limits limits = *rp_snapshot_limits(snapshot);
    if (source->header_bytes >= 0) {
        limits.header_bytes = (uint32_t)source->header_bytes;
    }
    if (source->body_bytes >= 0) {
        limits.body_bytes = (uint64_t)source->body_bytes;
    }
    if (source->header_ms >= 0) {
        limits.header_ms = (uint32_t)source->header_ms;
    }
    if (source->idle_ms >= 0) {
        limits.idle_ms = (uint32_t)source->idle_ms;
    }
    rp_snapshot_set_limits(snapshot, &limits);
}

static gboolean
build_service(gpointer key, gpointer value, gpointer data)
{
    struct build_state *state = data;
    struct service_records *records = value;
    if (records->schema1 == NULL && records->service == NULL &&
        records->pool == NULL)
    {
        warn(state->warnings,
             "service '%s' has targets or shares but no service record, so "
             "it is not in force; publish 'service/%s' or add it to 'routes'",
             (const char *)key, (const char *)key);
        return FALSE;
    }
    struct rp_service *service = rp_snapshot_add_service(state->snapshot, key);
    if (records->schema1 != NULL) {
        apply_settings(service, &records->schema1->settings);
    }
    if (records->service != NULL) {
        apply_settings(service, &records->service->settings);
    }
    service->max_timeout_ms =
        MAX(service->max_timeout_ms, service->timeout_ms);
    if (records->pool != NULL && records->pool->probe_path != NULL) {
        replace_text(&service->probe_path, records->pool->probe_path);
    }
    if (records->pool != NULL) {
        /* Its targets are probed before calls, not at intervals. */
        service->probes_per_10s = 0;
        service->probe_before_calls = records->pool->probe_path != NULL;
        service->cold_per_s = records->pool->cold_per_s;
        service->cold_start_ms = (uint32_t)records->pool->cold_start_ms;
    }
    if (records->schema1 != NULL || records->service != NULL) {
        add_service_route(state->snapshot, service);
    }
    add_targets(service, records, state->warnings);
    if (service->target_count == 0) {
        warn(state->warnings,
             "service '%s' has no targets; publish a targets record",
             service->name);
    }
    apply_evacuations(service, state);
    apply_leaving(service, state->leaving_addresses, state->warnings);
    set_shares(service, records->share, state->warnings);
    return FALSE;
}

static gint
compare_names(gconstpointer a, gconstpointer b, gpointer data)
{
    return strcmp(a, b);
}

/* Builds the configuration that all records of the set describe together. For
 * each service it is the union of the schemas: schema 2 overrides schema 1
 * field by field, and of targets with the same address one is used. Services
 * are in order of name and targets in order of address, so that equal sets
 * give equal snapshots. leaving_addresses, when not NULL, is the set of target
 * addresses that the list of VMs reports as leaving; these targets drain.
 * warnings, when not NULL, receives allocated strings about inconsistent
 * records. Returns a snapshot with one reference. */
struct rp_snapshot *
rp_record_set_build(const struct rp_record_set *set,
                    GHashTable *leaving_addresses, GPtrArray *warnings)
{
    struct record_groups groups = {
        .services =
            g_tree_new_full(compare_names, NULL, NULL, free_service_records),
        .evacuations = g_ptr_array_new(),
        .warnings = warnings,
    };
    g_tree_foreach(set->entries, collect_entry, &groups);
    struct build_state state = {rp_snapshot_new(), leaving_addresses,
                                g_hash_table_new(g_str_hash, g_str_equal),
                                warnings};
    for (guint i = 0; i < groups.evacuations->len; i++) {
        const struct rp_record *record =
            g_ptr_array_index(groups.evacuations, i);
        rp_snapshot_add_evacuation(state.snapshot, record->domain);
    }
    g_tree_foreach(groups.services, build_service, &state);
    warn_about_empty_domains(&state);
    if (groups.routes != NULL) {
        apply_routes(state.snapshot, groups.routes);
    }
    g_tree_unref(groups.services);
    g_ptr_array_unref(groups.evacuations);
    g_hash_table_unref(state.target_domains);
    rp_snapshot_set_version(state.snapshot, set->digest, set->revision);
    return state.snapshot;
}
