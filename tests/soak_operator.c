#include "soak_world.h"

#include <string.h>

/* Operators that publish new versions of records. Two of them can publish the
 * same version concurrently with different content. */
struct soak_operator {
    struct soak *soak;
    uint32_t version[SOAK_MAX_KEYS];
    uint32_t share_permille[3];
    uint32_t timeout_ms[3];
    bool draining[SOAK_TARGETS];
    /* Version of the targets record that drains a target; 0 if none. */
    uint32_t drain_version[SOAK_TARGETS];
};

static const char *const service_names[] = {"lookup", "refill", "maps"};

static const char *const keys[] = {
    "service/lookup",   "service/refill",   "service/maps",
    "targets/lookup/a", "targets/refill/a", "targets/maps/a",
    "targets/lookup/b", "targets/refill/b", "targets/maps/b",
    "share/lookup",     "share/refill",     "share/maps",
    "v1/refill",
};

/* Returns the number of published keys. */
uint32_t
soak_operator_key_count(void)
{
    return G_N_ELEMENTS(keys);
}

/* Returns a key by its index. */
const char *
soak_operator_key(uint32_t index)
{
    return keys[index];
}

static void
append_service(struct soak_operator *operators, GString *text,
               uint32_t service)
{
    g_string_append_printf(
        text,
        "\"kind\":\"service\",\"name\":\"%s\","
        "\"match\":{\"host\":\"\",\"path_prefix\":\"/%s\"},"
        "\"timeout_ms\":%u,\"max_timeout_ms\":20000,"
        "\"max_body_bytes\":65536,\"repeatable_methods\":[\"GET\"],"
        "\"length_class\":\"%s\",\"probes_per_10s\":%d,"
        "\"probe_path\":\"/load\"}",
        service_names[service], service_names[service],
        operators->timeout_ms[service], service == 2 ? "long" : "short",
        SOAK_PROBES_PER_10S);
}

/* Targets 0 to 3 belong to lookup, 4 to 8 to refill, 9 to 11 to maps. Targets
 * with an odd index belong to estate b, the others to estate a. */
static uint32_t
service_of(uint32_t target)
{
    return target < 4 ? 0 : target < 9 ? 1 : 2;
}

static void
append_targets(struct soak_operator *operators, GString *text,
               uint32_t service, uint32_t estate)
{
    g_string_append_printf(text,
                           "\"kind\":\"targets\",\"service\":\"%s\","
                           "\"estate\":\"%c\",\"targets\":[",
                           service_names[service], 'a' + (char)estate);
    bool first = true;
    for (uint32_t i = 0; i < SOAK_TARGETS; i++) {
        if (service_of(i) != service || i % 2 != estate) {
            continue;
        }
        const struct fake_target *target =
            fake_targets_get(operators->soak->targets, i);
        g_string_append_printf(
            text,
            "%s{\"name\":\"t%u\",\"address\":\"%s\",\"domain\":\"d%u\","
            "\"slots\":6,\"connections\":200,\"state\":\"%s\"}",
            first ? "" : ",", i, target->address, i % 3,
            operators->draining[i] ? "draining" : "serving");
        first = false;
    }
    g_string_append(text, "]}");
}

static void
append_v1_record(GString *text)
{
    g_string_append(text, "\"service\":\"refill\",\"prefix\":\"/refill\","
                          "\"servers\":[{\"host\":\"10.1.0.8\",\"port\":80,"
                          "\"domain\":\"d0\",\"slots\":6}]}");
}

static void
publish(struct soak_operator *operators, uint32_t key, uint32_t version)
{
    GString *text = g_string_new(NULL);
    g_string_append_printf(text, "{\"schema\":%d,\"version\":%u,",
                           key == 12 ? 1 : 2, version);
    if (key < 3) {
        append_service(operators, text, key);
    }
    else if (key < 9) {
        append_targets(operators, text, key % 3, key / 3 - 1);
    }
    else if (key < 12) {
        uint32_t share = operators->share_permille[key - 9];
        g_string_append_printf(text,
                               "\"kind\":\"share\",\"service\":\"%s\","
                               "\"shares\":{\"a\":%u,\"b\":%u}}",
                               service_names[key - 9], share, 1000 - share);
    }
    else {
        append_v1_record(text);
    }
    uint64_t revision =
        fake_platform_publish(operators->soak->platform, keys[key], text->str);
    soak_add_line(operators->soak,
                  "operators publishes %s version %u revision %u", keys[key],
                  version, (unsigned)revision);
    g_string_free(text, TRUE);
}

/* Creates the operators and publishes the first version of each key. */
struct soak_operator *
soak_operator_new(struct soak *soak)
{
    struct soak_operator *operators = g_new0(struct soak_operator, 1);
    operators->soak = soak;
    for (uint32_t i = 0; i < 3; i++) {
        operators->share_permille[i] = 500;
        operators->timeout_ms[i] = 2000;
    }
    for (uint32_t key = 0; key < G_N_ELEMENTS(keys); key++) {
        publish(operators, key, ++operators->version[key]);
    }
    return operators;
}

/* Frees the operators. */
void
soak_operator_free(struct soak_operator *operators)
{
    g_free(operators);
}

/* Publishes a new version of a random service or share record. In a quarter of
 * the calls two operators publish the same version with different content. */
void
soak_operator_change_record(struct soak_operator *operators)
{
    GRand *random = operators->soak->random;
    uint32_t service = (uint32_t)g_rand_int_range(random, 0, 3);
    bool share = g_rand_boolean(random);
    uint32_t key = share ? 9 + service : service;
    uint32_t publish_count = g_rand_int_range(random, 0, 4) == 0 ? 2 : 1;
    operators->version[key]++;
    for (uint32_t i = 0; i < publish_count; i++) {
        operators->share_permille[service] =
            (uint32_t)g_rand_int_range(random, 100, 901);
        operators->timeout_ms[service] =
            (uint32_t)g_rand_int_range(random, 500, 3000);
        publish(operators, key, operators->version[key]);
    }
}

static uint32_t
targets_key_of(uint32_t target)
{
    return 3 + service_of(target) + 3 * (target % 2);
}

/* Publishes a targets record in which the target drains or serves. */
void
soak_operator_set_draining(struct soak_operator *operators, uint32_t target,
                           bool draining)
{
    uint32_t key = targets_key_of(target);
    operators->draining[target] = draining;
    publish(operators, key, ++operators->version[key]);
    operators->drain_version[target] = draining ? operators->version[key] : 0;
}

/* Returns whether a record that drains the target is in force on a VM. */
bool
soak_operator_is_drain_applied(const struct soak_operator *operators,
                               uint32_t target, const struct soak_vm *vm)
{
    return operators->drain_version[target] > 0 &&
           vm->orders[targets_key_of(target)].version >=
               operators->drain_version[target];
}
