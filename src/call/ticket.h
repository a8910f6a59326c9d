#ifndef RP_TICKET_H
#define RP_TICKET_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "context.h"

#define RP_TICKET_NONCE_BYTES 16
#define RP_TICKET_PREFIX_BYTES 160 /* with the terminating zero */
#define RP_TICKET_TEXT_BYTES 200
#define RP_TICKET_DEFAULT_MAX_TICKETS 65536
#define RP_TICKET_MAX_BODY_BYTES 4096 /* longest body kept for replay */
#define RP_TICKET_MAX_HEAD_BYTES 4096 /* longest head kept for replay */

/* A new prefix is issued every 5 s. Address answers contain it until 15 s
 * after the start of its period, and callers cache an answer for 5 s. It is
 * accepted until 30 s after the end of its period, which leaves time for a
 * caller to retry. */
#define RP_TICKET_PERIOD_NS INT64_C(5000000000)
#define RP_TICKET_ADVERTISED_NS INT64_C(15000000000)
#define RP_TICKET_LIFETIME_NS INT64_C(30000000000)

/* The key shared by all entry VMs of a fleet. The bytes are borrowed. */
struct rp_ticket_key {
    const uint8_t *bytes;
    size_t byte_count;
};

/* A parsed ticket "id.incarnation.serial.mac.nonce" with a valid MAC. */
struct rp_ticket {
    char id[RP_ID_BYTES];
    uint64_t incarnation;
    uint64_t serial;
    uint8_t nonce[RP_TICKET_NONCE_BYTES];
};

enum rp_ticket_route {
    RP_TICKET_ROUTE_LOCAL,  /* decided by rp_ticket_table_claim */
    RP_TICKET_ROUTE_REMOTE, /* forward once, to the entry VM ticket.id */
    RP_TICKET_ROUTE_OLD_INCARNATION, /* outcome unknown */
};

enum rp_ticket_verdict {
    RP_TICKET_RUN,      /* not seen before: the claim has an entry */
    RP_TICKET_RUNNING,  /* the same request is in progress */
    RP_TICKET_REPLAY,   /* complete: the claim has the answer */
    RP_TICKET_NOT_RUN,  /* refused before; it will never run */
    RP_TICKET_UNKNOWN,  /* may have run; it will not run again */
    RP_TICKET_FULL,     /* table full: not run, and never will be */
    RP_TICKET_MISMATCH, /* the ticket was used for another request */
};

/* An answer kept for replay. In a claim the bytes belong to the table and are
 * valid until the next call on it. The table does not parse the head. */
struct rp_ticket_answer {
    uint32_t status;
    uint32_t head_count; /* fields in the head */
    const void *head;
    uint32_t head_bytes;
    const void *body;
    uint32_t body_bytes;
};

struct rp_ticket_entry;

struct rp_ticket_claim {
    enum rp_ticket_verdict verdict;
    struct rp_ticket_entry *entry;  /* with RUN; valid until finished */
    struct rp_ticket_answer answer; /* with REPLAY */
};

struct rp_ticket_config {
    const char *id;
    uint64_t incarnation;
    struct rp_ticket_key key;
    uint32_t max_tickets;      /* 0 for RP_TICKET_DEFAULT_MAX_TICKETS */
    uint64_t max_replay_bytes; /* for all stored answers; 0 for 16 MiB */
};

struct rp_ticket_table;

#ifdef __cplusplus
extern "C" {
#endif

bool rp_ticket_parse(const struct rp_ticket_key *key, const char *text,
                     struct rp_ticket *ticket, GError **error);
bool rp_ticket_prefix_check(const struct rp_ticket_key *key, const char *text,
                            const char *id, uint64_t incarnation);

struct rp_ticket_table *
rp_ticket_table_new(const struct rp_ticket_config *config, int64_t now_ns);
void rp_ticket_table_free(struct rp_ticket_table *table);
int64_t rp_ticket_table_prefix(struct rp_ticket_table *table, int64_t now_ns,
                               char prefix[RP_TICKET_PREFIX_BYTES]);
enum rp_ticket_route rp_ticket_table_route(const struct rp_ticket_table *table,
                                           const struct rp_ticket *ticket);
void rp_ticket_table_claim(struct rp_ticket_table *table,
                           const struct rp_ticket *ticket,
                           uint64_t request_digest, int64_t now_ns,
                           struct rp_ticket_claim *claim);
uint32_t rp_ticket_table_count(const struct rp_ticket_table *table);

bool rp_ticket_attempt_begin(struct rp_ticket_entry *entry);
void rp_ticket_attempt_not_run(struct rp_ticket_entry *entry);
void rp_ticket_finish_done(struct rp_ticket_table *table,
                           struct rp_ticket_entry *entry,
                           const struct rp_ticket_answer *answer);
void rp_ticket_finish_unknown(struct rp_ticket_table *table,
                              struct rp_ticket_entry *entry);
bool rp_ticket_finish_not_run(struct rp_ticket_table *table,
                              struct rp_ticket_entry *entry);

#ifdef __cplusplus
}
#endif

#endif
