#ifndef RP_SNAPSHOT_H
#define RP_SNAPSHOT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define RP_SNAPSHOT_MAX_ESTATES 8 /* of one service */

/* Flags for the methods that may be repeated. */
#define RP_METHOD_GET (1u << 0)
#define RP_METHOD_HEAD (1u << 1)
#define RP_METHOD_POST (1u << 2)
#define RP_METHOD_PUT (1u << 3)
#define RP_METHOD_DELETE (1u << 4)
#define RP_METHOD_OPTIONS (1u << 5)
#define RP_METHOD_PATCH (1u << 6)

/* The methods that RFC 9110, section 9.2.2, calls idempotent. */
#define RP_METHODS_IDEMPOTENT                                                 \
    (RP_METHOD_GET | RP_METHOD_HEAD | RP_METHOD_PUT | RP_METHOD_DELETE |      \
     RP_METHOD_OPTIONS)
#define RP_METHODS_ALL UINT32_MAX

enum rp_length_class {
    RP_LENGTH_MEASURED, /* determined from the answers */
    RP_LENGTH_SHORT,
    RP_LENGTH_LONG,
};

/* A server that answers requests of one service. */
struct rp_target {
    char *name;
    char *instance;     /* id of its current run; "" when unknown */
    int64_t started_ms; /* of its current run; 0 when unknown */
    char *address;      /* "ip:port"; unique within a service */
    char *domain;
    uint32_t estate; /* index into the service's estates */
    uint32_t slots;
    uint32_t connections;
    uint32_t cold_ms; /* how long it stays cold, by its record */
    uint64_t version; /* of its record */
    bool draining;
    bool evacuated; /* its failure domain is being evacuated */
};

struct rp_estate {
    char *name;
    uint32_t share_permille; /* of the service's requests */
};

/* A service as described by all accepted records. */
struct rp_service {
    char *name;
    char *host;        /* "" matches every host */
    char *path_prefix; /* begins with "/" */
    uint32_t timeout_ms;
    uint32_t max_timeout_ms;
    uint64_t max_body_bytes;
    uint32_t repeatable_methods;
    enum rp_length_class length_class;
    uint32_t probes_per_10s; /* budget per target, all entry VMs */
    char *probe_path;
    bool probe_before_calls; /* probes return how slow the target is */
    double cold_per_s;       /* calls to a cold target; 0: no limit */
    uint32_t cold_start_ms;  /* how long a target is cold after its start */
    struct rp_estate estates[RP_SNAPSHOT_MAX_ESTATES];
    uint32_t estate_count;
    struct rp_target *targets;
    uint32_t target_count;
};

/* A service that receives a share of a route's calls. */
struct rp_route_part {
    char *service;
    uint32_t weight;
};

/* Which calls go to which services, and how they are handled. A service record
 * defines one route to its service; a routes record defines any number. */
struct rp_route {
    char *name;
    char *host;              /* "" matches every host */
    char *path_prefix;       /* begins with "/" */
    uint32_t timeout_ms;     /* of a call that specifies none */
    uint32_t max_timeout_ms; /* upper limit for the timeout of a call */
    uint32_t aim_ms;         /* target latency of answers; 0: unknown */
    uint64_t max_body_bytes;
    uint32_t repeatable_methods;
    bool repeat_errors; /* answers of 500 or above may be retried */
    uint32_t attempts; /* max. targets of one call; 0: no limit by the route */
    uint32_t rank;     /* priority; 0 is the highest */
    enum rp_length_class length_class;
    struct rp_route_part *parts;
    uint32_t part_count;
};

/* Limits on what callers send and how long they take. */
struct rp_caller_limits {
    uint32_t header_bytes;
    uint64_t body_bytes;
    uint32_t header_ms; /* from the first byte of a header to its end */
    uint32_t idle_ms;   /* of a connection without a request */
};

/* The configuration in force: immutable and reference counted, so that a task
 * may keep it while another one puts a newer one in force. */
struct rp_snapshot;

#ifdef __cplusplus
extern "C" {
#endif

struct rp_snapshot *rp_snapshot_new(void);
struct rp_service *rp_snapshot_add_service(struct rp_snapshot *snapshot,
                                           const char *name);
struct rp_target *rp_service_add_target(struct rp_service *service,
                                        const char *name, const char *address,
                                        const char *domain,
                                        const char *estate);
void rp_snapshot_set_version(struct rp_snapshot *snapshot, uint64_t digest,
                             uint64_t revision);
struct rp_snapshot *rp_snapshot_ref(struct rp_snapshot *snapshot);
void rp_snapshot_unref(struct rp_snapshot *snapshot);
uint64_t rp_snapshot_digest(const struct rp_snapshot *snapshot);
uint64_t rp_snapshot_revision(const struct rp_snapshot *snapshot);
uint32_t rp_snapshot_service_count(const struct rp_snapshot *snapshot);
const struct rp_service *
rp_snapshot_get_service(const struct rp_snapshot *snapshot, uint32_t index);
const struct rp_service *
rp_snapshot_find_service(const struct rp_snapshot *snapshot, const char *name);
struct rp_route *rp_snapshot_add_route(struct rp_snapshot *snapshot,
                                       const char *name, const char *host,
                                       const char *path_prefix);
void rp_route_add_part(struct rp_route *route, const char *service,
                       uint32_t weight);
const struct rp_route *rp_snapshot_match(const struct rp_snapshot *snapshot,
                                         const char *host, const char *path);
bool rp_snapshot_has_route(const struct rp_snapshot *snapshot,
                           const char *name);
void rp_snapshot_add_evacuation(struct rp_snapshot *snapshot,
                                const char *domain);
uint32_t rp_snapshot_evacuation_count(const struct rp_snapshot *snapshot);
const char *rp_snapshot_get_evacuation(const struct rp_snapshot *snapshot,
                                       uint32_t index);
bool rp_snapshot_is_evacuated(const struct rp_snapshot *snapshot,
                              const char *domain);
void rp_snapshot_set_limits(struct rp_snapshot *snapshot,
                            const struct rp_caller_limits *limits);
const struct rp_caller_limits *
rp_snapshot_limits(const struct rp_snapshot *snapshot);

/* Body of RP_MSG_SNAPSHOT: holds one reference, released by the kernel. */
struct rp_snapshot_message {
    struct rp_snapshot *snapshot;
    bool ready; /* the entry process may serve */
};
void rp_snapshot_message_release(void *body);

#ifdef __cplusplus
}
#endif

#endif
