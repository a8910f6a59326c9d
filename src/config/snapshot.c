#include "snapshot.h"

#include <string.h>

/* Defaults while no record sets these limits. Browsers and proxies commonly
 * allow 32 KiB of header and keep idle connections for about a minute. */
#define DEFAULT_HEADER_BYTES 32768u
#define DEFAULT_IDLE_MS 75000u

struct rp_snapshot {
    grefcount references;
    GPtrArray *services;    /* of struct rp_service, in order of addition */
    GHashTable *by_name;    /* borrowed names to borrowed services */
    GPtrArray *routes;      /* of struct rp_route, in order of addition */
    GPtrArray *evacuations; /* of char *, domains in order of addition */
    struct rp_caller_limits limits;
    uint64_t digest;
    uint64_t revision;
};

static void
free_service(gpointer data)
{
    struct rp_service *service = data;
    for (uint32_t i = 0; i < service->target_count; i++) {
        g_free(service->targets[i].name);
        g_free(service->targets[i].instance);
        g_free(service->targets[i].address);
        g_free(service->targets[i].domain);
    }
    for (uint32_t i = 0; i < service->estate_count; i++) {
        g_free(service->estates[i].name);
    }
    g_free(service->targets);
    g_free(service->name);
    g_free(service->host);
    g_free(service->path_prefix);
    g_free(service->probe_path);
    g_free(service);
}

static void
free_route(gpointer data)
{
    struct rp_route *route = data;
    for (uint32_t i = 0; i < route->part_count; i++) {
        g_free(route->parts[i].service);
    }
    g_free(route->parts);
    g_free(route->name);
    g_free(route->host);
    g_free(route->path_prefix);
    g_free(route);
}

/* Creates an empty snapshot with one reference. It may be changed until it is
 * shared. */
struct rp_snapshot *
rp_snapshot_new(void)
{
    struct rp_snapshot *snapshot = g_new0(struct rp_snapshot, 1);
    g_ref_count_init(&snapshot->references);
    snapshot->services = g_ptr_array_new_with_free_func(free_service);
    snapshot->by_name = g_hash_table_new(g_str_hash, g_str_equal);
    snapshot->routes = g_ptr_array_new_with_free_func(free_route);
    snapshot->evacuations = g_ptr_array_new_with_free_func(g_free);
    snapshot->limits = (struct rp_caller_limits){
        .header_bytes = DEFAULT_HEADER_BYTES,
        .body_bytes = UINT64_MAX,
        .header_ms = DEFAULT_IDLE_MS,
        .idle_ms = DEFAULT_IDLE_MS,
    };
    return snapshot;
}

/* Adds a service with the default limits and returns it for the caller to fill
 * in. It belongs to the snapshot. */
struct rp_service *
rp_snapshot_add_service(struct rp_snapshot *snapshot, const char *name)
{
    struct rp_service *service = g_new0(struct rp_service, 1);
    service->name = g_strdup(name);
    service->host = g_strdup("");
    service->path_prefix = g_strdup_printf("/%s", name);
    service->timeout_ms = 10000;
    service->max_timeout_ms = 60000;
    service->max_body_bytes = UINT64_C(1024) * 1024;
    service->repeatable_methods = RP_METHODS_IDEMPOTENT;
    service->probes_per_10s = 5;
    service->probe_path = g_strdup("/load");
    g_ptr_array_add(snapshot->services, service);
    g_hash_table_insert(snapshot->by_name, service->name, service);
    return service;
}

static uint32_t
find_or_add_estate(struct rp_service *service, const char *name)
{
    for (uint32_t i = 0; i < service->estate_count; i++) {
        if (strcmp(service->estates[i].name, name) == 0) {
            return i;
        }
    }
    /* The record parser and builder never pass more estates. For other
     * callers, further estates are merged into the last one. */
    if (service->estate_count == RP_SNAPSHOT_MAX_ESTATES) {
        return RP_SNAPSHOT_MAX_ESTATES - 1;
    }
    service->estates[service->estate_count].name = g_strdup(name);
    return service->estate_count++;
}

/* Adds a target with 6 slots and 200 connections and returns it for the caller
 * to fill in. The pointer is valid until the next target is added. */
struct rp_target *
rp_service_add_target(struct rp_service *service, const char *name,
                      const char *address, const char *domain,
                      const char *estate)
{
    service->targets =
        g_renew(struct rp_target, service->targets, service->target_count + 1);
    struct rp_target *target = &service->targets[service->target_count++];
    memset(target, 0, sizeof(*target));
    target->name = g_strdup(name);
    target->instance = g_strdup("");
    target->address = g_strdup(address);
    target->domain = g_strdup(domain);
    target->estate = find_or_add_estate(service, estate);
    target->slots = 6;
    target->connections = 200;
    return target;
}

/* Sets the digest of the accepted records and the platform's revision. */
void
rp_snapshot_set_version(struct rp_snapshot *snapshot, uint64_t digest,
                        uint64_t revision)
{
    snapshot->digest = digest;
    snapshot->revision = revision;
}

/* Adds a reference and returns the snapshot. */
struct rp_snapshot *
rp_snapshot_ref(struct rp_snapshot *snapshot)
{
    g_ref_count_inc(&snapshot->references);
    return snapshot;
}

/* Releases a reference; the last one frees the snapshot. NULL is allowed. */
void
rp_snapshot_unref(struct rp_snapshot *snapshot)
{
    if (snapshot == NULL || !g_ref_count_dec(&snapshot->references)) {
        return;
    }
    g_hash_table_unref(snapshot->by_name);
    g_ptr_array_unref(snapshot->routes);
    g_ptr_array_unref(snapshot->evacuations);
    g_ptr_array_unref(snapshot->services);
    g_free(snapshot);
}

/* Returns the digest of the accepted records; equal digests mean equal
 * configurations. */
uint64_t
rp_snapshot_digest(const struct rp_snapshot *snapshot)
{
    return snapshot->digest;
}

/* Returns the greatest platform revision among the accepted records. */
uint64_t
rp_snapshot_revision(const struct rp_snapshot *snapshot)
{
    return snapshot->revision;
}

/* Returns the number of services. */
uint32_t
rp_snapshot_service_count(const struct rp_snapshot *snapshot)
{
    return snapshot->services->len;
}

/* Returns a service by its position. */
const struct rp_service *
rp_snapshot_get_service(const struct rp_snapshot *snapshot, uint32_t index)
{
    return g_ptr_array_index(snapshot->services, index);
}

/* Returns the service of that name, or NULL. */
const struct rp_service *
rp_snapshot_find_service(const struct rp_snapshot *snapshot, const char *name)
{
    return g_hash_table_lookup(snapshot->by_name, name);
}

/* Adds a route without parts and with the default limits and returns it for
 * the caller to fill in. It belongs to the snapshot. */
struct rp_route *
rp_snapshot_add_route(struct rp_snapshot *snapshot, const char *name,
                      const char *host, const char *path_prefix)
{
    struct rp_route *route = g_new0(struct rp_route, 1);
    route->name = g_strdup(name);
    route->host = g_strdup(host);
    route->path_prefix = g_strdup(path_prefix);
    route->timeout_ms = 10000;
    route->max_timeout_ms = 60000;
    route->max_body_bytes = UINT64_MAX;
    route->repeatable_methods = RP_METHODS_IDEMPOTENT;
    g_ptr_array_add(snapshot->routes, route);
    return route;
}

/* Adds a service that receives a share of the route's calls, in proportion to
 * weight. */
void
rp_route_add_part(struct rp_route *route, const char *service, uint32_t weight)
{
    route->parts =
        g_renew(struct rp_route_part, route->parts, route->part_count + 1);
    struct rp_route_part *part = &route->parts[route->part_count++];
    part->service = g_strdup(service);
    part->weight = weight;
}

/* Returns whether there is a route of that name. */
bool
rp_snapshot_has_route(const struct rp_snapshot *snapshot, const char *name)
{
    for (uint32_t i = 0; i < snapshot->routes->len; i++) {
        const struct rp_route *route = g_ptr_array_index(snapshot->routes, i);
        if (strcmp(route->name, name) == 0) {
            return true;
        }
    }
    return false;
}

/* Adds a failure domain that is being evacuated, unless the snapshot has it.
 */
void
rp_snapshot_add_evacuation(struct rp_snapshot *snapshot, const char *domain)
{
    if (!rp_snapshot_is_evacuated(snapshot, domain)) {
        g_ptr_array_add(snapshot->evacuations, g_strdup(domain));
    }
}

/* Returns the number of failure domains that are being evacuated. */
uint32_t
rp_snapshot_evacuation_count(const struct rp_snapshot *snapshot)
{
    return snapshot->evacuations->len;
}

/* Returns an evacuated failure domain by its position. */
const char *
rp_snapshot_get_evacuation(const struct rp_snapshot *snapshot, uint32_t index)
{
    return g_ptr_array_index(snapshot->evacuations, index);
}

/* Returns whether a failure domain is being evacuated. */
bool
rp_snapshot_is_evacuated(const struct rp_snapshot *snapshot,
                         const char *domain)
{
    return g_ptr_array_find_with_equal_func(snapshot->evacuations, domain,
                                            g_str_equal, NULL);
}

/* Sets the limits for callers. */
void
rp_snapshot_set_limits(struct rp_snapshot *snapshot,
                       const struct rp_caller_limits *limits)
{
    snapshot->limits = *limits;
}

/* Returns the limits for callers. */
const struct rp_caller_limits *
rp_snapshot_limits(const struct rp_snapshot *snapshot)
{
    return &snapshot->limits;
}

static bool
path_has_prefix(const char *path, const char *prefix, size_t prefix_bytes)
{
    if (strncmp(path, prefix, prefix_bytes) != 0) {
        return false;
    }
    /* "/bins" matches "/bins", "/bins/7" and "/bins?x", not "/binside". */
    char next = path[prefix_bytes];
    return prefix_bytes == 0 || prefix[prefix_bytes - 1] == '/' ||
           next == '\0' || next == '/' || next == '?';
}

/* Returns the route of a request: the one with the longest matching path
 * prefix, and of these one for the request's host before one for any host;
 * NULL when none matches. host may be NULL and may contain a port. */
const struct rp_route *
rp_snapshot_match(const struct rp_snapshot *snapshot, const char *host,
                  const char *path)
{
    const struct rp_route *best = NULL;
    size_t best_rank = 0;
    size_t host_bytes = host == NULL ? 0 : strcspn(host, ":");
    for (uint32_t i = 0; i < snapshot->routes->len; i++) {
        const struct rp_route *route = g_ptr_array_index(snapshot->routes, i);
        size_t prefix_bytes = strlen(route->path_prefix);
        if (!path_has_prefix(path, route->path_prefix, prefix_bytes)) {
            continue;
        }
        bool any_host = route->host[0] == '\0';
        if (!any_host &&
            (strlen(route->host) != host_bytes ||
             g_ascii_strncasecmp(route->host, host, host_bytes) != 0))
        {
            continue;
        }
        size_t rank = prefix_bytes * 2 + (any_host ? 1 : 2);
        if (rank > best_rank) {
            best = route;
            best_rank = rank;
        }
    }
    return best;
}

/* Releases the reference in the body of an RP_MSG_SNAPSHOT message. */
void
rp_snapshot_message_release(void *body)
{
    struct rp_snapshot_message *message = body;
    rp_snapshot_unref(message->snapshot);
}
