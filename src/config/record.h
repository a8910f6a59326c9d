#ifndef RP_RECORD_H
#define RP_RECORD_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "snapshot.h"

/* Size of the greatest value that the platform stores. */
#define RP_RECORD_MAX_BYTES 1048576u
/* Valid records have up to 4 levels. Slightly deeper ones are parsed as well,
 * since the faults of their fields are more specific than the depth. */
#define RP_RECORD_MAX_DEPTH 8
/* Four times the workers in the design size. */
#define RP_RECORD_MAX_TARGETS 2048
#define RP_RECORD_MAX_KEY_BYTES 200
#define RP_RECORD_MAX_FAULTS 50
#define RP_RECORD_MAX_LABEL_BYTES 63

enum rp_record_kind {
    RP_RECORD_SCHEMA1_SERVICE, /* schema 1, key "v1/NAME" */
    RP_RECORD_SERVICE,         /* schema 2, key "service/NAME" */
    RP_RECORD_TARGETS,         /* schema 2, key "targets/SERVICE/ESTATE" */
    RP_RECORD_SHARE,           /* schema 2, key "share/SERVICE" */
    RP_RECORD_ROUTES,          /* schema 3, key "routes" */
    RP_RECORD_TARGET,          /* schema 3, key "target/NAME" */
    RP_RECORD_EVACUATION,      /* schema 3, key "evacuation/NAME" */
};

/* Which fields of the service a record contains. */
#define RP_RECORD_HAS_HOST (1u << 0)
#define RP_RECORD_HAS_PATH_PREFIX (1u << 1)
#define RP_RECORD_HAS_TIMEOUT (1u << 2)
#define RP_RECORD_HAS_MAX_TIMEOUT (1u << 3)
#define RP_RECORD_HAS_MAX_BODY (1u << 4)
#define RP_RECORD_HAS_METHODS (1u << 5)
#define RP_RECORD_HAS_LENGTH_CLASS (1u << 6)
#define RP_RECORD_HAS_PROBES (1u << 7)
#define RP_RECORD_HAS_PROBE_PATH (1u << 8)

struct rp_record_service {
    uint32_t fields; /* mask of RP_RECORD_HAS_... */
    char *host;
    char *path_prefix;
    int64_t timeout_ms;
    int64_t max_timeout_ms;
    int64_t max_body_bytes;
    uint32_t repeatable_methods;
    enum rp_length_class length_class;
    int64_t probes_per_10s;
    char *probe_path;
};

struct rp_record_target {
    char *name;
    char *instance; /* NULL when not specified */
    char *address;  /* "ip:port" */
    char *domain;
    int64_t slots;
    int64_t connections;
    int64_t cold_ms;
    bool draining;
};

struct rp_record_share {
    char *estate;
    uint32_t permille;
};

/* A service of a routes record: the settings shared by its targets. */
struct rp_record_pool {
    char *name;
    char *probe_path;
    int64_t connections;   /* that a target accepts from the whole fleet */
    double cold_per_s;     /* calls that a cold target is meant to get */
    int64_t cold_start_ms; /* how long a target is cold after its start */
};

/* A service that receives a share of a route's calls. */
struct rp_record_part {
    char *service;
    int64_t weight;
};

/* One route of a routes record. */
struct rp_record_route {
    char *name;
    char *host;
    char *path_prefix;
    bool repeatable;
    bool long_answers;
    int64_t timeout_ms;
    int64_t aim_ms;
    int64_t attempts;
    int64_t rank;
    struct rp_record_part *parts;
    uint32_t part_count;
};

/* Limits on callers; those that the record does not have are -1. */
struct rp_record_limits {
    int64_t header_bytes;
    int64_t body_bytes;
    int64_t header_ms;
    int64_t idle_ms;
};

/* Position of a record of schema 3 among those of its writer, which numbers
 * them itself: the platform's revisions do not order what it published before
 * and after it came back from an older copy. Both are 0 when unknown. */
struct rp_record_position {
    int64_t started_ms; /* start of a target, in Unix time; 0 for routes */
    int64_t sequence;   /* counts from each start; of routes, the operators'
                         * version */
};

/* One published record that has passed all checks. Fields that its kind does
 * not have are empty. */
struct rp_record {
    enum rp_record_kind kind;
    char *key;
    char *service;
    char *estate;
    char *name;   /* of an evacuation */
    char *domain; /* that is evacuated */
    int64_t version;
    struct rp_record_position position;
    bool retired;
    struct rp_record_service settings;
    struct rp_record_target *targets;
    uint32_t target_count;
    struct rp_record_share shares[RP_SNAPSHOT_MAX_ESTATES];
    uint32_t share_count;
    struct rp_record_pool *pools;
    uint32_t pool_count;
    struct rp_record_route *routes;
    uint32_t route_count;
    struct rp_record_limits limits;
    /* Of char *: values that are not used as they are published, each as
     * "place: value; what is used instead". NULL for none. */
    GPtrArray *warnings;
};

#ifdef __cplusplus
extern "C" {
#endif

struct rp_record *rp_record_parse(const char *key, const char *text,
                                  size_t text_bytes, GPtrArray *faults,
                                  GError **error);
void rp_record_free(struct rp_record *record);
char *rp_record_format_retired(const struct rp_record *record,
                               uint64_t version);
const char *rp_record_kind_name(enum rp_record_kind kind);
bool rp_record_is_label(const char *text);
bool rp_record_is_address(const char *text);

#ifdef __cplusplus
}
#endif

#endif
