#include "record.h"

#include <math.h>
#include <stddef.h>
#include <string.h>

#include "error.h"
#include "record_read.h"
#include "revision.h"

#define MAX_TIMEOUT_MS 3600000
#define MAX_BODY_BYTES (INT64_C(1024) * 1024 * 1024)
#define MAX_SLOTS 1024
#define MAX_CONNECTIONS 10000
#define MAX_CALLS_PER_S 1000000
#define MAX_VERSION INT64_C(1000000000000)
/* Greatest integer that all JSON libraries preserve. */
#define MAX_EXACT_INTEGER INT64_C(9007199254740991)
#define MAX_WEIGHT 1000000
#define MAX_ATTEMPTS 100
#define MAX_RANK INT32_MAX
#define MAX_HEADER_BYTES INT64_C(1048576)
/* A probe's path is sent in a buffer of RP_PROBE_START_PATH_BYTES. */
#define MAX_PROBE_PATH_BYTES 255
/* Estate of all targets that are published in records of their own. */
#define TARGET_RECORD_ESTATE "published"

/* Slots and connections of the targets in both workloads of the design. */
#define DEFAULT_SLOTS 6
#define DEFAULT_CONNECTIONS 200

static const char *const kind_names[] = {
    "service (schema 1)", "service", "targets", "share", "routes", "target",
    "evacuation"};

/* Returns the name of a kind as used in messages. */
const char *
rp_record_kind_name(enum rp_record_kind kind)
{
    return kind_names[kind];
}

/* Returns the text of a record that retires a target or an evacuation of
 * schema 3, with the position of the record that it replaces. The caller frees
 * it with g_free. */
char *
rp_record_format_retired(const struct rp_record *record, uint64_t version)
{
    if (record->kind == RP_RECORD_EVACUATION) {
        return g_strdup_printf("{\"schema\":3,\"kind\":\"evacuation\","
                               "\"version\":%" G_GUINT64_FORMAT
                               ",\"name\":\"%s\",\"retired\":true}",
                               version, record->name);
    }
    return g_strdup_printf(
        "{\"schema\":3,\"kind\":\"target\","
        "\"version\":%" G_GUINT64_FORMAT
        ",\"name\":\"%s\",\"started_ms\":%" G_GINT64_FORMAT
        ",\"sequence\":%" G_GINT64_FORMAT ",\"retired\":true}",
        version, record->targets[0].name, record->position.started_ms,
        record->position.sequence);
}

static void
free_target(struct rp_record_target *target)
{
    g_free(target->name);
    g_free(target->instance);
    g_free(target->address);
    g_free(target->domain);
}

static void
free_routes(struct rp_record *record)
{
    for (uint32_t i = 0; i < record->pool_count; i++) {
        g_free(record->pools[i].name);
        g_free(record->pools[i].probe_path);
    }
    for (uint32_t i = 0; i < record->route_count; i++) {
        struct rp_record_route *route = &record->routes[i];
        for (uint32_t j = 0; j < route->part_count; j++) {
            g_free(route->parts[j].service);
        }
        g_free(route->parts);
        g_free(route->name);
        g_free(route->host);
        g_free(route->path_prefix);
    }
    g_free(record->pools);
    g_free(record->routes);
}

/* Frees a record; NULL is allowed. */
void
rp_record_free(struct rp_record *record)
{
    if (record == NULL) {
        return;
    }
    for (uint32_t i = 0; i < record->target_count; i++) {
        free_target(&record->targets[i]);
    }
    for (uint32_t i = 0; i < record->share_count; i++) {
        g_free(record->shares[i].estate);
    }
    free_routes(record);
    g_free(record->targets);
    if (record->warnings != NULL) {
        g_ptr_array_unref(record->warnings);
    }
    g_free(record->settings.host);
    g_free(record->settings.path_prefix);
    g_free(record->settings.probe_path);
    g_free(record->key);
    g_free(record->service);
    g_free(record->estate);
    g_free(record->name);
    g_free(record->domain);
    g_free(record);
}

static const struct {
    const char *name;
    uint32_t method;
} methods[] = {
    {"GET", RP_METHOD_GET},       {"HEAD", RP_METHOD_HEAD},
    {"POST", RP_METHOD_POST},     {"PUT", RP_METHOD_PUT},
    {"DELETE", RP_METHOD_DELETE}, {"OPTIONS", RP_METHOD_OPTIONS},
    {"PATCH", RP_METHOD_PATCH},
};

static uint32_t
find_method(const char *name)
{
    for (size_t i = 0; i < G_N_ELEMENTS(methods) && name != NULL; i++) {
        if (strcmp(methods[i].name, name) == 0) {
            return methods[i].method;
        }
    }
    return 0;
}

static void
read_methods(struct rp_reader *reader, const char *place, const json_t *value,
             const struct rp_field *field, void *out)
{
    uint32_t mask = 0;
    if (!json_is_array(value)) {
        rp_reader_fault(reader, place,
                        "must be an array of methods; write [\"GET\"]");
        return;
    }
    for (size_t i = 0; i < json_array_size(value); i++) {
        uint32_t method =
            find_method(json_string_value(json_array_get(value, i)));
        if (method == 0) {
            rp_reader_fault(reader, place,
                            "has an unknown method at [%zu]; use GET, HEAD, "
                            "POST, PUT, DELETE, OPTIONS or PATCH",
                            i);
        }
        mask |= method;
    }
    *(uint32_t *)out = mask;
}

static void
read_length_class(struct rp_reader *reader, const char *place,
                  const json_t *value, const struct rp_field *field, void *out)
{
    static const char *const names[] = {"measured", "short", "long"};
    const char *text = json_string_value(value);
    for (size_t i = 0; i < G_N_ELEMENTS(names) && text != NULL; i++) {
        if (strcmp(text, names[i]) == 0) {
            *(enum rp_length_class *)out = (enum rp_length_class)i;
            return;
        }
    }
    rp_reader_fault(reader, place,
                    "must be one of \"measured\", \"short\" and \"long\"; "
                    "correct the value");
}

static void
read_target_state(struct rp_reader *reader, const char *place,
                  const json_t *value, const struct rp_field *field, void *out)
{
    const char *text = json_string_value(value);
    bool draining = text != NULL && strcmp(text, "draining") == 0;
    if (!draining && (text == NULL || strcmp(text, "serving") != 0)) {
        rp_reader_fault(reader, place,
                        "must be \"serving\" or \"draining\"; correct the "
                        "value");
        return;
    }
    *(bool *)out = draining;
}

static void
read_match(struct rp_reader *reader, const char *place, const json_t *value,
           const struct rp_field *field, void *out)
{
    static const struct rp_field fields[] = {
        {"host", rp_read_text, offsetof(struct rp_record_service, host), 0,
         253, RP_RECORD_HAS_HOST, false},
        {"path_prefix", rp_read_path,
         offsetof(struct rp_record_service, path_prefix), 1, 1024,
         RP_RECORD_HAS_PATH_PREFIX, false},
    };
    struct rp_record_service *settings = out;
    settings->fields |= rp_reader_object(reader, place, value, fields,
                                         G_N_ELEMENTS(fields), true, settings);
}

static void
read_shares(struct rp_reader *reader, const char *place, const json_t *value,
            const struct rp_field *field, void *out)
{
    struct rp_record *record = out;
    size_t count = json_object_size(value);
    if (!json_is_object(value) || count == 0 ||
        count > RP_SNAPSHOT_MAX_ESTATES) {
        rp_reader_fault(reader, place,
                        "must be an object of 1 to %d estates and their "
                        "shares; write {\"old\": 900, \"new\": 100}",
                        RP_SNAPSHOT_MAX_ESTATES);
        return;
    }
    int64_t sum = 0;
    const char *estate;
    json_t *share;
    json_object_foreach((json_t *)value, estate, share)
    {
        static const struct rp_field permille = {"",   NULL, 0,    0,
                                                 1000, 0,    false};
        char entry_place[RP_READ_PLACE_BYTES];
        g_snprintf(entry_place, sizeof(entry_place), "%s.%.40s", place,
                   estate);
        struct rp_record_share *destination =
            &record->shares[record->share_count++];
        json_t *name = json_string(estate);
        rp_read_name(reader, entry_place, name, &permille,
                     &destination->estate);
        json_decref(name);
        int64_t number = 0;
        rp_read_integer(reader, entry_place, share, &permille, &number);
        destination->permille = (uint32_t)number;
        sum += number;
    }
    if (sum != 1000) {
        rp_reader_fault(reader, place,
                        "shares add up to %" G_GINT64_FORMAT
                        " and not to 1000; they are parts per thousand of "
                        "the service's requests",
                        sum);
    }
}

struct schema1_server {
    char *host;
    int64_t port;
    char *name;
    char *domain;
    int64_t slots;
    int64_t connections;
    bool drain;
};

static void
read_ip(struct rp_reader *reader, const char *place, const json_t *value,
        const struct rp_field *field, void *out)
{
    const char *text = json_string_value(value);
    if (text == NULL || !g_hostname_is_ip_address(text)) {
        rp_reader_fault(reader, place,
                        "'%.60s' is not an IP number; host names are not "
                        "looked up, write the number",
                        text == NULL ? "" : text);
        return;
    }
    char **host = out;
    g_free(*host);
    *host = g_strdup(text);
}

static void
read_schema1_server(struct rp_reader *reader, const char *place,
                    const json_t *value, struct rp_record_target *target)
{
#define SERVER(member) offsetof(struct schema1_server, member)
    static const struct rp_field fields[] = {
        {"host", read_ip, SERVER(host), 0, 0, 0, true},
        {"port", rp_read_integer, SERVER(port), 1, 65535, 0, true},
        {"name", rp_read_name, SERVER(name), 0, 0, 0, false},
        {"domain", rp_read_text, SERVER(domain), 1, 63, 0, true},
        {"slots", rp_read_integer, SERVER(slots), 1, MAX_SLOTS, 0, false},
        {"connections", rp_read_integer, SERVER(connections), 1,
         MAX_CONNECTIONS, 0, false},
        {"drain", rp_read_boolean, SERVER(drain), 0, 0, 0, false},
    };
#undef SERVER
    struct schema1_server server = {.slots = DEFAULT_SLOTS,
                                    .connections = DEFAULT_CONNECTIONS};
    rp_reader_object(reader, place, value, fields, G_N_ELEMENTS(fields), true,
                     &server);
    const char *host = server.host == NULL ? "" : server.host;
    target->address =
        g_strdup_printf(strchr(host, ':') == NULL ? "%s:%d" : "[%s]:%d", host,
                        (int)server.port);
    target->name =
        server.name != NULL ? server.name : g_strdup(target->address);
    target->domain = server.domain;
    target->slots = server.slots;
    target->connections = server.connections;
    target->draining = server.drain;
    g_free(server.host);
}

static void
read_target(struct rp_reader *reader, const char *place, const json_t *value,
            struct rp_record_target *target)
{
#define TARGET(member) offsetof(struct rp_record_target, member)
    static const struct rp_field fields[] = {
        {"name", rp_read_name, TARGET(name), 0, 0, 0, true},
        {"address", rp_read_address, TARGET(address), 0, 0, 0, true},
        {"domain", rp_read_text, TARGET(domain), 1, 63, 0, true},
        {"slots", rp_read_integer, TARGET(slots), 1, MAX_SLOTS, 0, false},
        {"connections", rp_read_integer, TARGET(connections), 1,
         MAX_CONNECTIONS, 0, false},
        {"state", read_target_state, TARGET(draining), 0, 0, 0, false},
    };
#undef TARGET
    target->slots = DEFAULT_SLOTS;
    target->connections = DEFAULT_CONNECTIONS;
    rp_reader_object(reader, place, value, fields, G_N_ELEMENTS(fields), true,
                     target);
}

/* Two entries with the same address would count its slots twice. */
static void
check_unique(struct rp_reader *reader, const char *place,
             const struct rp_record *record)
{
    GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);
    for (uint32_t i = 0; i < record->target_count; i++) {
        const struct rp_record_target *target = &record->targets[i];
        if (target->address != NULL &&
            !g_hash_table_add(seen, target->address)) {
            rp_reader_fault(reader, place,
                            "[%u] repeats the address %s; remove one of the "
                            "two",
                            i, target->address);
        }
    }
    g_hash_table_remove_all(seen);
    for (uint32_t i = 0; i < record->target_count; i++) {
        const struct rp_record_target *target = &record->targets[i];
        if (target->name != NULL && !g_hash_table_add(seen, target->name)) {
            rp_reader_fault(reader, place,
                            "[%u] repeats the name '%s'; rename one of the "
                            "two",
                            i, target->name);
        }
    }
    g_hash_table_unref(seen);
}

static void
read_target_list(struct rp_reader *reader, const char *place,
                 const json_t *value, const struct rp_field *field, void *out)
{
    struct rp_record *record = out;
    size_t count = json_array_size(value);
    if (!json_is_array(value) || count > RP_RECORD_MAX_TARGETS) {
        rp_reader_fault(reader, place,
                        "must be an array of at most %d entries; split the "
                        "service if it has more",
                        RP_RECORD_MAX_TARGETS);
        return;
    }
    record->targets = g_new0(struct rp_record_target, count);
    record->target_count = (uint32_t)count;
    for (size_t i = 0; i < count; i++) {
        char entry_place[RP_READ_PLACE_BYTES];
        g_snprintf(entry_place, sizeof(entry_place), "%s[%zu]", place, i);
        const json_t *entry = json_array_get(value, i);
        if (record->kind == RP_RECORD_SCHEMA1_SERVICE) {
            read_schema1_server(reader, entry_place, entry,
                                &record->targets[i]);
        }
        else {
            read_target(reader, entry_place, entry, &record->targets[i]);
        }
    }
    check_unique(reader, place, record);
}

/* Returns the factor that makes weights whole numbers up to MAX_WEIGHT and
 * keeps their proportions; 1 when they are. */
static double
weight_scale(const json_t *weights)
{
    double greatest = 0;
    bool all_fit = true;
    const char *service;
    json_t *weight;
    json_object_foreach((json_t *)weights, service, weight)
    {
        double number = json_number_value(weight);
        greatest = MAX(greatest, number);
        all_fit = all_fit && number <= MAX_WEIGHT && number == floor(number);
    }
    return all_fit ? 1 : MAX_WEIGHT / greatest;
}

static void
read_weight(struct rp_reader *reader, const char *place, const json_t *value,
            double scale, int64_t *weight)
{
    double number = json_number_value(value);
    if (!json_is_number(value)) {
        rp_reader_fault(reader, place,
                        "must be a number from 0 on; correct the value");
        return;
    }
    if (number < 0) {
        rp_reader_warn(reader, place, "%g is below 0; 0 is used", number);
        return;
    }
    /* The smallest share is not rounded down to none. */
    *weight = number > 0 ? (int64_t)MAX(round(number * scale), 1) : 0;
}

static void
read_parts(struct rp_reader *reader, const char *place, const json_t *value,
           const struct rp_field *field, void *out)
{
    struct rp_record_route *route = out;
    size_t count = json_object_size(value);
    if (!json_is_object(value) || count == 0) {
        rp_reader_fault(reader, place,
                        "must be an object of services and their weights; "
                        "write {\"lookups\": 1}");
        return;
    }
    route->parts = g_new0(struct rp_record_part, count);
    double scale = weight_scale(value);
    int64_t sum = 0;
    const char *service;
    json_t *entry;
    json_object_foreach((json_t *)value, service, entry)
    {
        char entry_place[RP_READ_PLACE_BYTES];
        g_snprintf(entry_place, sizeof(entry_place), "%s.%.40s", place,
                   service);
        struct rp_record_part *part = &route->parts[route->part_count++];
        json_t *name = json_string(service);
        rp_read_label(reader, entry_place, name, NULL, &part->service);
        json_decref(name);
        read_weight(reader, entry_place, entry, scale, &part->weight);
        sum += part->weight;
    }
    if (sum == 0) {
        rp_reader_warn(reader, place,
                       "no weight is above 0; the route's requests are "
                       "rejected");
    }
}

/* Reads a path for probes. One that cannot be requested is left out. */
static void
read_probe_path(struct rp_reader *reader, const char *place,
                const json_t *value, const struct rp_field *field, void *out)
{
    const char *text = json_string_value(value);
    bool is_valid =
        text != NULL && text[0] == '/' && strlen(text) <= (size_t)field->max;
    for (const char *c = text; is_valid && *c != '\0'; c++) {
        is_valid = g_ascii_isgraph(*c) && *c != '#';
    }
    if (!is_valid) {
        rp_reader_warn(reader, place,
                       "is not a path of at most %" G_GINT64_FORMAT
                       " visible ASCII characters that begins with /; the "
                       "service's targets are not probed",
                       field->max);
        return;
    }
    rp_read_text(reader, place, value, field, out);
}

/* Reads the host or the path prefix of a route, of which begin is the start.
 * It may have any characters: one that no request has does not match. */
static void
read_match_text(struct rp_reader *reader, const char *place,
                const json_t *value, const char *begin, char **out)
{
    const char *text = json_string_value(value);
    if (text == NULL || !g_str_has_prefix(text, begin)) {
        rp_reader_fault(reader, place,
                        "must be a string that begins with \"%s\"; correct "
                        "the value",
                        begin);
        return;
    }
    g_free(*out);
    *out = g_strdup(text);
}

static void
read_host(struct rp_reader *reader, const char *place, const json_t *value,
          const struct rp_field *field, void *out)
{
    read_match_text(reader, place, value, "", out);
}

static void
read_prefix(struct rp_reader *reader, const char *place, const json_t *value,
            const struct rp_field *field, void *out)
{
    read_match_text(reader, place, value, "/", out);
}

static void
read_routes(struct rp_reader *reader, const char *place, const json_t *value,
            const struct rp_field *field, void *out)
{
#define ROUTE(member) offsetof(struct rp_record_route, member)
    static const struct rp_field fields[] = {
        {"name", rp_read_label, ROUTE(name), 0, 0, 0, true},
        {"host", read_host, ROUTE(host), 0, 0, 0, false},
        {"path_prefix", read_prefix, ROUTE(path_prefix), 0, 0, 0, true},
        {"repeatable", rp_read_boolean, ROUTE(repeatable), 0, 0, 0, true},
        {"long", rp_read_boolean, ROUTE(long_answers), 0, 0, 0, false},
        {"timeout_ms", rp_read_clamped, ROUTE(timeout_ms), 1, MAX_TIMEOUT_MS,
         0, true},
        {"aim_ms", rp_read_clamped, ROUTE(aim_ms), 0, MAX_TIMEOUT_MS, 0,
         false},
        {"attempts", rp_read_clamped, ROUTE(attempts), 1, MAX_ATTEMPTS, 0,
         true},
        {"rank", rp_read_clamped, ROUTE(rank), 0, MAX_RANK, 0, false},
        {"services", read_parts, 0, 0, 0, 0, true},
    };
#undef ROUTE
    struct rp_record *record = out;
    size_t count = json_array_size(value);
    if (!json_is_array(value)) {
        rp_reader_fault(reader, place,
                        "must be an array of routes; write [{...}]");
        return;
    }
    record->routes = g_new0(struct rp_record_route, count);
    record->route_count = (uint32_t)count;
    for (size_t i = 0; i < count; i++) {
        char entry_place[RP_READ_PLACE_BYTES];
        g_snprintf(entry_place, sizeof(entry_place), "%s[%zu]", place, i);
        rp_reader_object(reader, entry_place, json_array_get(value, i), fields,
                         G_N_ELEMENTS(fields), true, &record->routes[i]);
    }
}

/* Reads a number that may have a fraction into a double. One outside of the
 * field's range is replaced by the nearest bound, with a warning. */
static void
read_call_rate(struct rp_reader *reader, const char *place,
               const json_t *value, const struct rp_field *field, void *out)
{
    double number = json_number_value(value);
    if (!json_is_number(value)) {
        rp_reader_fault(reader, place, "must be a number; correct the value");
        return;
    }
    double used = CLAMP(number, (double)field->min, (double)field->max);
    if (used != number) {
        rp_reader_warn(reader, place,
                       "%g is outside of the range from %" G_GINT64_FORMAT
                       " to %" G_GINT64_FORMAT "; %g is used",
                       number, field->min, field->max, used);
    }
    *(double *)out = used;
}

static void
read_pools(struct rp_reader *reader, const char *place, const json_t *value,
           const struct rp_field *field, void *out)
{
#define POOL(member) offsetof(struct rp_record_pool, member)
    static const struct rp_field fields[] = {
        {"name", rp_read_label, POOL(name), 0, 0, 0, true},
        {"probe_path", read_probe_path, POOL(probe_path), 1,
         MAX_PROBE_PATH_BYTES, 0, false},
        {"connections", rp_read_clamped, POOL(connections), 1, MAX_CONNECTIONS,
         0, false},
        {"cold_per_s", read_call_rate, POOL(cold_per_s), 0, MAX_CALLS_PER_S, 0,
         false},
        {"cold_start_ms", rp_read_clamped, POOL(cold_start_ms), 0,
         MAX_TIMEOUT_MS, 0, false},
    };
#undef POOL
    struct rp_record *record = out;
    size_t count = json_array_size(value);
    if (!json_is_array(value)) {
        rp_reader_fault(reader, place,
                        "must be an array of services; write [{...}]");
        return;
    }
    record->pools = g_new0(struct rp_record_pool, count);
    record->pool_count = (uint32_t)count;
    for (size_t i = 0; i < count; i++) {
        char entry_place[RP_READ_PLACE_BYTES];
        g_snprintf(entry_place, sizeof(entry_place), "%s[%zu]", place, i);
        record->pools[i].connections = DEFAULT_CONNECTIONS;
        rp_reader_object(reader, entry_place, json_array_get(value, i), fields,
                         G_N_ELEMENTS(fields), true, &record->pools[i]);
    }
}

static void
read_limits(struct rp_reader *reader, const char *place, const json_t *value,
            const struct rp_field *field, void *out)
{
#define LIMIT(member) offsetof(struct rp_record_limits, member)
    static const struct rp_field fields[] = {
        {"header_bytes", rp_read_clamped, LIMIT(header_bytes), 256,
         MAX_HEADER_BYTES, 0, false},
        {"body_bytes", rp_read_clamped, LIMIT(body_bytes), 0,
         MAX_EXACT_INTEGER, 0, false},
        {"header_ms", rp_read_clamped, LIMIT(header_ms), 1, MAX_TIMEOUT_MS, 0,
         false},
        {"idle_ms", rp_read_clamped, LIMIT(idle_ms), 1, MAX_TIMEOUT_MS, 0,
         false},
    };
#undef LIMIT
    rp_reader_object(reader, place, value, fields, G_N_ELEMENTS(fields), true,
                     out);
}

/* Reads the target of a target record, whose fields are in the same object as
 * the fields of the record. */
static void
read_single_target(struct rp_reader *reader, const json_t *root,
                   struct rp_record *record)
{
#define TARGET(member) offsetof(struct rp_record_target, member)
    static const struct rp_field fields[] = {
        {"name", rp_read_label, TARGET(name), 0, 0, 0, true},
        {"instance", rp_read_text, TARGET(instance), 1, 200, 0, false},
        {"address", rp_read_address, TARGET(address), 0, 0, 0, true},
        {"domain", rp_read_text, TARGET(domain), 1, 63, 0, true},
        {"slots", rp_read_clamped, TARGET(slots), 1, MAX_SLOTS, 0, false},
        {"cold_ms", rp_read_clamped, TARGET(cold_ms), 0, MAX_TIMEOUT_MS, 0,
         false},
        {"state", read_target_state, TARGET(draining), 0, 0, 0, false},
        {"schema", rp_read_ignore, 0, 0, 0, 0, false},
        {"version", rp_read_ignore, 0, 0, 0, 0, false},
        {"kind", rp_read_ignore, 0, 0, 0, 0, false},
        {"service", rp_read_ignore, 0, 0, 0, 0, false},
        {"started_ms", rp_read_ignore, 0, 0, 0, 0, false},
        {"sequence", rp_read_ignore, 0, 0, 0, 0, false},
        {"retired", rp_read_ignore, 0, 0, 0, 0, false},
        {"comment", rp_read_ignore, 0, 0, 0, 0, false},
    };
#undef TARGET
    record->targets = g_new0(struct rp_record_target, 1);
    record->targets[0].slots = DEFAULT_SLOTS;
    record->targets[0].connections = DEFAULT_CONNECTIONS;
    record->target_count = 1;
    rp_reader_object(reader, "", root, fields, G_N_ELEMENTS(fields),
                     !record->retired, &record->targets[0]);
}

static void
read_schema1_estate(struct rp_reader *reader, const char *place,
                    const json_t *value, const struct rp_field *field,
                    void *out)
{
    const char *text = json_string_value(value);
    if (text == NULL || strcmp(text, "old") != 0) {
        rp_reader_fault(reader, place,
                        "must be \"old\" in schema 1; publish targets of "
                        "other estates as schema 2 targets records");
    }
}

static void
read_timeout_s(struct rp_reader *reader, const char *place,
               const json_t *value, const struct rp_field *field, void *out)
{
    int64_t *timeout_ms = out;
    rp_read_integer(reader, place, value, field, timeout_ms);
    *timeout_ms *= 1000;
}

#define RECORD(member) offsetof(struct rp_record, member)
#define SETTING(member) offsetof(struct rp_record, settings.member)

#define COMMON_FIELDS(max_version)                                            \
    {"schema", rp_read_ignore, 0, 0, 0, 0, true}, {"version",                 \
                                                   rp_read_integer,           \
                                                   RECORD(version),           \
                                                   1,                         \
                                                   max_version,               \
                                                   0,                         \
                                                   true},                     \
        {"retired", rp_read_boolean, RECORD(retired), 0, 0, 0, false},        \
    {                                                                         \
        "comment", rp_read_ignore, 0, 0, 0, 0, false                          \
    }

static const struct rp_field schema1_fields[] = {
    COMMON_FIELDS(MAX_VERSION),
    {"service", rp_read_name, RECORD(service), 0, 0, 0, true},
    {"estate", read_schema1_estate, 0, 0, 0, 0, false},
    {"prefix", rp_read_path, SETTING(path_prefix), 1, 1024,
     RP_RECORD_HAS_PATH_PREFIX, true},
    {"timeout_s", read_timeout_s, SETTING(timeout_ms), 1,
     MAX_TIMEOUT_MS / 1000, RP_RECORD_HAS_TIMEOUT, false},
    {"servers", read_target_list, 0, 0, 0, 0, true},
};

static const struct rp_field service_fields[] = {
    COMMON_FIELDS(MAX_VERSION),
    {"kind", rp_read_ignore, 0, 0, 0, 0, true},
    {"name", rp_read_name, RECORD(service), 0, 0, 0, true},
    {"match", read_match, RECORD(settings), 0, 0, 0, false},
    {"timeout_ms", rp_read_integer, SETTING(timeout_ms), 1, MAX_TIMEOUT_MS,
     RP_RECORD_HAS_TIMEOUT, false},
    {"max_timeout_ms", rp_read_integer, SETTING(max_timeout_ms), 1,
     MAX_TIMEOUT_MS, RP_RECORD_HAS_MAX_TIMEOUT, false},
    {"max_body_bytes", rp_read_integer, SETTING(max_body_bytes), 0,
     MAX_BODY_BYTES, RP_RECORD_HAS_MAX_BODY, false},
    {"repeatable_methods", read_methods, SETTING(repeatable_methods), 0, 0,
     RP_RECORD_HAS_METHODS, false},
    {"length_class", read_length_class, SETTING(length_class), 0, 0,
     RP_RECORD_HAS_LENGTH_CLASS, false},
    {"probes_per_10s", rp_read_integer, SETTING(probes_per_10s), 0, 1000,
     RP_RECORD_HAS_PROBES, false},
    {"probe_path", rp_read_path, SETTING(probe_path), 1, 1024,
     RP_RECORD_HAS_PROBE_PATH, false},
};

static const struct rp_field targets_fields[] = {
    COMMON_FIELDS(MAX_VERSION),
    {"kind", rp_read_ignore, 0, 0, 0, 0, true},
    {"service", rp_read_name, RECORD(service), 0, 0, 0, true},
    {"estate", rp_read_name, RECORD(estate), 0, 0, 0, true},
    {"targets", read_target_list, 0, 0, 0, 0, true},
};

static const struct rp_field share_fields[] = {
    COMMON_FIELDS(MAX_VERSION),
    {"kind", rp_read_ignore, 0, 0, 0, 0, true},
    {"service", rp_read_name, RECORD(service), 0, 0, 0, true},
    {"shares", read_shares, 0, 0, 0, 0, true},
};

static const struct rp_field routes_fields[] = {
    COMMON_FIELDS(RP_REVISION_MAX_COUNTER),
    {"kind", rp_read_ignore, 0, 0, 0, 0, true},
    {"sequence", rp_read_clamped, RECORD(position.sequence), 0,
     MAX_EXACT_INTEGER, 0, false},
    {"limits", read_limits, RECORD(limits), 0, 0, 0, false},
    {"services", read_pools, 0, 0, 0, 0, true},
    {"routes", read_routes, 0, 0, 0, 0, true},
};

/* read_single_target reads the fields that are ignored here. */
static const struct rp_field target_fields[] = {
    COMMON_FIELDS(RP_REVISION_MAX_COUNTER),
    {"kind", rp_read_ignore, 0, 0, 0, 0, true},
    {"service", rp_read_label, RECORD(service), 0, 0, 0, true},
    {"name", rp_read_ignore, 0, 0, 0, 0, true},
    {"instance", rp_read_ignore, 0, 0, 0, 0, false},
    {"address", rp_read_ignore, 0, 0, 0, 0, true},
    {"domain", rp_read_ignore, 0, 0, 0, 0, true},
    {"slots", rp_read_ignore, 0, 0, 0, 0, false},
    {"cold_ms", rp_read_ignore, 0, 0, 0, 0, false},
    {"state", rp_read_ignore, 0, 0, 0, 0, false},
    {"started_ms", rp_read_clamped, RECORD(position.started_ms), 0,
     MAX_EXACT_INTEGER, 0, false},
    {"sequence", rp_read_clamped, RECORD(position.sequence), 0,
     MAX_EXACT_INTEGER, 0, false},
};

static const struct rp_field evacuation_fields[] = {
    COMMON_FIELDS(RP_REVISION_MAX_COUNTER),
    {"kind", rp_read_ignore, 0, 0, 0, 0, true},
    {"name", rp_read_label, RECORD(name), 0, 0, 0, true},
    {"domain", rp_read_text, RECORD(domain), 1, RP_RECORD_MAX_LABEL_BYTES, 0,
     true},
};

static const struct {
    const struct rp_field *fields;
    size_t count;
    const char *key_fields[2]; /* also required in a retired record */
} tables[] = {
    [RP_RECORD_SCHEMA1_SERVICE] = {schema1_fields,
                                   G_N_ELEMENTS(schema1_fields),
                                   {"service", NULL}},
    [RP_RECORD_SERVICE] = {service_fields,
                           G_N_ELEMENTS(service_fields),
                           {"name", NULL}},
    [RP_RECORD_TARGETS] = {targets_fields,
                           G_N_ELEMENTS(targets_fields),
                           {"service", "estate"}},
    [RP_RECORD_SHARE] = {share_fields,
                         G_N_ELEMENTS(share_fields),
                         {"service", NULL}},
    [RP_RECORD_ROUTES] = {routes_fields,
                          G_N_ELEMENTS(routes_fields),
                          {NULL, NULL}},
    [RP_RECORD_TARGET] = {target_fields,
                          G_N_ELEMENTS(target_fields),
                          {"name", NULL}},
    [RP_RECORD_EVACUATION] = {evacuation_fields,
                              G_N_ELEMENTS(evacuation_fields),
                              {"name", NULL}},
};

static bool
read_kind(struct rp_reader *reader, const json_t *root,
          enum rp_record_kind *kind)
{
    json_int_t schema = json_integer_value(json_object_get(root, "schema"));
    const char *name = json_string_value(json_object_get(root, "kind"));
    if (schema == 1) {
        *kind = RP_RECORD_SCHEMA1_SERVICE;
        return true;
    }
    if (schema != 2 && schema != 3) {
        rp_reader_fault(reader, "schema",
                        "must be 1, 2 or 3; publish the record in a schema "
                        "that this release supports");
        return false;
    }
    int first = schema == 2 ? RP_RECORD_SERVICE : RP_RECORD_ROUTES;
    int last = schema == 2 ? RP_RECORD_SHARE : RP_RECORD_EVACUATION;
    for (int i = first; i <= last; i++) {
        if (name != NULL && strcmp(name, kind_names[i]) == 0) {
            *kind = (enum rp_record_kind)i;
            return true;
        }
    }
    rp_reader_fault(reader, "kind",
                    schema == 2
                        ? "must be \"service\", \"targets\" or \"share\"; "
                          "correct the value"
                        : "must be \"routes\", \"target\" or "
                          "\"evacuation\"; correct the value");
    return false;
}

static char *
record_key(const struct rp_record *record)
{
    switch (record->kind) {
    case RP_RECORD_SCHEMA1_SERVICE:
        return g_strdup_printf("v1/%s", record->service);
    case RP_RECORD_SERVICE:
        return g_strdup_printf("service/%s", record->service);
    case RP_RECORD_TARGETS:
        return g_strdup_printf("targets/%s/%s", record->service,
                               record->estate);
    case RP_RECORD_SHARE:
        return g_strdup_printf("share/%s", record->service);
    case RP_RECORD_ROUTES:
        return g_strdup("routes");
    case RP_RECORD_TARGET:
        return g_strdup_printf("target/%s", record->targets[0].name);
    case RP_RECORD_EVACUATION:
        return g_strdup_printf("evacuation/%s", record->name);
    }
    return NULL;
}

static bool
has_key_fields(const struct rp_record *record)
{
    switch (record->kind) {
    case RP_RECORD_ROUTES:
        return true;
    case RP_RECORD_TARGET:
        return record->targets[0].name != NULL;
    case RP_RECORD_EVACUATION:
        return record->name != NULL;
    case RP_RECORD_TARGETS:
        return record->service != NULL && record->estate != NULL;
    default:
        return record->service != NULL;
    }
}

static void
check_key(struct rp_reader *reader, const json_t *root, const char *key,
          struct rp_record *record)
{
    for (int i = 0; i < 2; i++) {
        const char *name = tables[record->kind].key_fields[i];
        if (record->retired && name != NULL &&
            json_object_get(root, name) == NULL) {
            rp_reader_fault(reader, name, "is missing; add the field");
        }
    }
    if (record->retired && json_object_get(root, "version") == NULL) {
        rp_reader_fault(reader, "version", "is missing; add the field");
    }
    if (!has_key_fields(record)) {
        return;
    }
    record->key = record_key(record);
    if (key != NULL && strcmp(key, record->key) != 0) {
        rp_reader_fault(reader, "",
                        "is published under the key '%.80s' but describes "
                        "'%s'; publish it under that key or correct its "
                        "names",
                        key, record->key);
    }
}

static void
check_timeouts(struct rp_reader *reader,
               const struct rp_record_service *settings)
{
    uint32_t both = RP_RECORD_HAS_TIMEOUT | RP_RECORD_HAS_MAX_TIMEOUT;
    if ((settings->fields & both) == both &&
        settings->timeout_ms > settings->max_timeout_ms)
    {
        rp_reader_fault(reader, "timeout_ms",
                        "is greater than max_timeout_ms; lower one or raise "
                        "the other");
    }
}

static struct rp_record *
read_record(struct rp_reader *reader, const json_t *root, const char *key)
{
    enum rp_record_kind kind;
    if (!json_is_object(root)) {
        rp_reader_fault(reader, "", "is not an object; write {...}");
        return NULL;
    }
    if (!read_kind(reader, root, &kind)) {
        return NULL;
    }
    struct rp_record *record = g_new0(struct rp_record, 1);
    record->kind = kind;
    record->limits = (struct rp_record_limits){-1, -1, -1, -1};
    bool retired = json_is_true(json_object_get(root, "retired"));
    uint32_t fields = rp_reader_object(reader, "", root, tables[kind].fields,
                                       tables[kind].count, !retired, record);
    record->settings.fields |= fields;
    if (kind == RP_RECORD_SCHEMA1_SERVICE) {
        record->estate = g_strdup("old");
    }
    if (kind == RP_RECORD_TARGET) {
        record->estate = g_strdup(TARGET_RECORD_ESTATE);
        read_single_target(reader, root, record);
    }
    check_key(reader, root, key, record);
    check_timeouts(reader, &record->settings);
    return record;
}

/* Returns the nesting depth of a JSON text without recursion. jansson's parser
 * recurses up to 2048 levels, so the depth is checked before it runs. */
static uint32_t
find_max_depth(const char *text, size_t text_bytes)
{
    uint32_t depth = 0;
    uint32_t max_depth = 0;
    bool in_string = false;
    for (size_t i = 0; i < text_bytes; i++) {
        char c = text[i];
        if (in_string) {
            i += c == '\\' ? 1 : 0;
            in_string = c != '"';
        }
        else if (c == '"') {
            in_string = true;
        }
        else if (c == '{' || c == '[') {
            depth++;
            max_depth = MAX(max_depth, depth);
        }
        else if ((c == '}' || c == ']') && depth > 0) {
            depth--;
        }
    }
    return max_depth;
}

static json_t *
load_json(struct rp_reader *reader, const char *text, size_t text_bytes)
{
    if (text_bytes > RP_RECORD_MAX_BYTES) {
        rp_reader_fault(reader, "",
                        "has %zu bytes, more than the limit of %u; split the "
                        "service",
                        text_bytes, RP_RECORD_MAX_BYTES);
        return NULL;
    }
    if (find_max_depth(text, text_bytes) > RP_RECORD_MAX_DEPTH) {
        rp_reader_fault(reader, "",
                        "is nested more than %d levels deep; no field needs "
                        "that, see docs/records.md",
                        RP_RECORD_MAX_DEPTH);
        return NULL;
    }
    json_error_t failure;
    json_t *root =
        json_loadb(text, text_bytes, JSON_REJECT_DUPLICATES, &failure);
    if (root == NULL) {
        char place[RP_READ_PLACE_BYTES];
        g_snprintf(place, sizeof(place), "line %d, column %d", failure.line,
                   failure.column);
        rp_reader_fault(reader, place, "%s; correct the JSON", failure.text);
    }
    return root;
}

/* Parses and checks a record of any schema and kind. key is the platform's
 * key, which must match the names in the record; NULL skips this check.
 * faults, when not NULL, receives every fault as an allocated string "place:
 * fault; remedy" (RP_RECORD_MAX_FAULTS at most). Returns a record that the
 * caller frees with rp_record_free, or NULL with RP_ERROR_RECORD set, whose
 * message contains the key, the first fault and the number of further ones. */
struct rp_record *
rp_record_parse(const char *key, const char *text, size_t text_bytes,
                GPtrArray *faults, GError **error)
{
    GPtrArray *found = g_ptr_array_new_with_free_func(g_free);
    struct rp_reader reader = {found, NULL, RP_RECORD_MAX_FAULTS};
    struct rp_record *record = NULL;
    json_t *root = load_json(&reader, text, text_bytes);
    if (root != NULL) {
        record = read_record(&reader, root, key);
        json_decref(root);
    }
    if (record != NULL) {
        record->warnings = g_steal_pointer(&reader.warnings);
    }
    if (found->len > 0) {
        const char *first = g_ptr_array_index(found, 0);
        g_set_error(error, RP_ERROR, RP_ERROR_RECORD,
                    "record '%.100s' refused: %s (%u further faults; "
                    "'rosemarypulley validate' lists them)",
                    key == NULL ? "" : key, first, found->len - 1);
        rp_record_free(record);
        record = NULL;
    }
    for (guint i = 0; i < found->len && faults != NULL; i++) {
        g_ptr_array_add(faults, g_strdup(g_ptr_array_index(found, i)));
    }
    g_ptr_array_unref(found);
    return record;
}
