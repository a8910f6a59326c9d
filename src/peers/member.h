#ifndef RP_MEMBER_H
#define RP_MEMBER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "config_task.h"
#include "context.h"
#include "overlay.h"

#define RP_MEMBER_TICKET_BYTES 192
#define RP_MEMBER_LIMIT 4096 /* members in one table, dead ones included */
#define RP_MEMBER_SEED_LIMIT 64
#define RP_MEMBER_MAX_HELPERS 3 /* for the indirect probes of a member */
#define RP_MEMBER_HEARTBEAT_NS INT64_C(500000000)

/* Of two updates with the same incarnation and refutation, the greater state
 * takes precedence. */
enum rp_member_state {
    RP_MEMBER_ALIVE,
    RP_MEMBER_LEAVING, /* completes its calls; callers are sent elsewhere */
    RP_MEMBER_SUSPECT, /* no answer to a probe; not yet declared dead */
    RP_MEMBER_DEAD,
    RP_MEMBER_STATE_COUNT
};

/* A member's own attributes, and the state that other members assign to it.
 *
 * incarnation identifies the process, as in tickets. refutation increases
 * within an incarnation each time the member refutes a suspicion; version
 * increases each time it changes another of its attributes. */
struct rp_member_info {
    char id[RP_ID_BYTES];
    char domain[RP_DOMAIN_BYTES];
    char address[RP_ADDRESS_BYTES];
    char peer_address[RP_ADDRESS_BYTES];
    char ticket_prefix[RP_MEMBER_TICKET_BYTES]; /* "" when there is none */
    uint64_t incarnation;
    uint32_t refutation;
    uint32_t version;
    uint32_t load_permille;     /* busy share of its capacity */
    uint32_t capacity_permille; /* of a core; 0: unknown */
    uint32_t loan_borrower;     /* process that may use loan_ppm; 0: none */
    uint32_t loan_ppm;          /* of the fleet's retry allowance */
    enum rp_member_state state;
    enum rp_config_phase phase;
};

/* A membership update as sent between members. Without a profile, only id,
 * incarnation, refutation, state, version, load and loan are set. */
struct rp_member_update {
    struct rp_member_info info;
    bool has_profile;
    uint32_t age_ms;         /* since the member itself reported this */
    uint32_t ticket_ttl_ms;  /* remaining lifetime of the ticket prefix */
    uint32_t suspector_hash; /* with SUSPECT: the suspecting member */
};

/* A member as published in a view. */
struct rp_member {
    struct rp_member_info info;
    int64_t reported_ns;       /* estimated time of its latest report */
    int64_t ticket_expires_ns; /* of the ticket prefix */
    bool is_self;
    bool is_relay;       /* exchanges heartbeats with other failure domains */
    bool listed_leaving; /* per the platform's list, which may lag */
};

/* Immutable, reference-counted snapshot of all members, sorted by id and
 * including this entry VM. */
struct rp_member_view {
    grefcount references;
    uint64_t digest; /* equal when ids, incarnations and states are equal */
    uint32_t count;
    struct rp_member members[];
};

/* Body of RP_MSG_MEMBERS: holds one reference, released by the kernel. */
struct rp_member_message {
    struct rp_member_view *view;
};

/* Most receivers of heartbeats: those of the overlay and those of the ring of
 * a former version. */
#define RP_MEMBER_RECEIVER_LIMIT                                              \
    (RP_OVERLAY_RECEIVER_LIMIT + RP_NEIGHBOR_LIMIT)

/* A member to probe, and the helpers that probe it indirectly. */
struct rp_member_probe {
    char id[RP_ID_BYTES];
    char peer_address[RP_ADDRESS_BYTES];
    uint64_t incarnation;
    uint32_t helper_count;
    char helper_addresses[RP_MEMBER_MAX_HELPERS][RP_ADDRESS_BYTES];
};

/* A member to forward a broadcast to, and the number of members of its ring
 * that it is responsible for, itself included. */
struct rp_member_branch {
    const struct rp_member_info *info;
    uint32_t span;
};

/* A change of a member's state, for the timeline. */
struct rp_member_change {
    char id[RP_ID_BYTES];
    uint64_t incarnation;
    enum rp_member_state state;
    bool is_new;
};

struct rp_member_table;
struct rp_vm_list;

#ifdef __cplusplus
extern "C" {
#endif

struct rp_member_table *rp_member_table_new(const struct rp_identity *identity,
                                            GRand *random, int64_t now_ns);
void rp_member_table_free(struct rp_member_table *table);
void rp_member_set_single_ring(struct rp_member_table *table);
bool rp_member_add_seed(struct rp_member_table *table,
                        const char *peer_address);
void rp_member_set_listed_vms(struct rp_member_table *table,
                              const struct rp_vm_list *list);

/* Attributes of this entry VM. */
const struct rp_member_info *
rp_member_self(const struct rp_member_table *table);
void rp_member_set_load(struct rp_member_table *table, uint32_t load_permille);
void rp_member_set_loan(struct rp_member_table *table, uint32_t borrower,
                        uint32_t loan_ppm);
void rp_member_set_ticket(struct rp_member_table *table, const char *prefix,
                          int64_t expires_ns);
void rp_member_set_phase(struct rp_member_table *table,
                         enum rp_config_phase phase);
void rp_member_leave(struct rp_member_table *table);

/* Input from peers and from the kernel. */
bool rp_member_apply(struct rp_member_table *table,
                     const struct rp_member_update *update, int64_t now_ns);
bool rp_member_record_liveness(struct rp_member_table *table, const char *id,
                               uint64_t incarnation, int64_t now_ns);
void rp_member_record_heartbeat(struct rp_member_table *table, const char *id,
                                int64_t now_ns);
void rp_member_record_probe(struct rp_member_table *table, const char *id,
                            int64_t now_ns);
void rp_member_record_helper_ack(struct rp_member_table *table,
                                 const char *id);
void rp_member_record_pause(struct rp_member_table *table, int64_t gap_ns,
                            int64_t now_ns);

/* Failure detection and dissemination; rp_member_tick is called once in each
 * heartbeat interval. */
void rp_member_tick(struct rp_member_table *table, int64_t now_ns);
bool rp_member_next_probe(struct rp_member_table *table, int64_t now_ns,
                          struct rp_member_probe *probe);
bool rp_member_is_domain_lost(const struct rp_member_table *table,
                              const char *id);
uint32_t rp_member_doubted_of_domain(const struct rp_member_table *table,
                                     const char *domain,
                                     const struct rp_member_info **doubted,
                                     uint32_t limit);
uint32_t rp_member_remote_suspects(const struct rp_member_table *table,
                                   const struct rp_member_info **suspects,
                                   uint32_t limit, int64_t now_ns);
bool rp_member_next_change(struct rp_member_table *table,
                           struct rp_member_change *change);
uint32_t rp_member_neighbors(
    const struct rp_member_table *table,
    const struct rp_member_info *neighbors[RP_MEMBER_RECEIVER_LIMIT],
    int64_t now_ns);
uint32_t
rp_member_ring_branches(const struct rp_member_table *table, uint32_t span,
                        bool backward,
                        struct rp_member_branch branches[RP_NEIGHBOR_LIMIT]);
uint32_t
rp_member_domain_branches(const struct rp_member_table *table, uint32_t span,
                          bool backward,
                          struct rp_member_branch branches[RP_NEIGHBOR_LIMIT]);
uint32_t rp_member_entry_points(
    const struct rp_member_table *table, uint32_t rank,
    struct rp_member_branch entry_points[RP_OVERLAY_MAX_DOMAINS]);
bool rp_member_is_divided(const struct rp_member_table *table);
bool rp_member_is_relay(const struct rp_member_table *table);
bool rp_member_is_remote_address(const struct rp_member_table *table,
                                 const char *address);
bool rp_member_random_contact(struct rp_member_table *table,
                              char address[RP_ADDRESS_BYTES]);
void rp_member_begin_updates(struct rp_member_table *table,
                             const char *receiver_id, bool with_profiles);
uint32_t rp_member_near(const struct rp_member_table *table,
                        const char **addresses, uint32_t limit);
uint32_t rp_member_contacts(const struct rp_member_table *table,
                            const char **addresses, uint32_t limit);
bool rp_member_next_update(struct rp_member_table *table, int64_t now_ns,
                           struct rp_member_update *update);

/* Queries and views. */
const struct rp_member_info *
rp_member_find(const struct rp_member_table *table, const char *id);
uint32_t rp_member_count(const struct rp_member_table *table,
                         enum rp_member_state state);
uint32_t rp_member_local_health(const struct rp_member_table *table);
uint64_t rp_member_digest(const struct rp_member_table *table);
struct rp_member_view *rp_member_view_new(const struct rp_member_table *table);
struct rp_member_view *rp_member_view_ref(struct rp_member_view *view);
void rp_member_view_unref(struct rp_member_view *view);
const struct rp_member *rp_member_view_find(const struct rp_member_view *view,
                                            const char *id);
void rp_member_message_release(void *body);
const char *rp_member_state_name(enum rp_member_state state);
const char *rp_member_phase_name(enum rp_config_phase phase);

#ifdef __cplusplus
}
#endif

#endif
