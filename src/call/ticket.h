#ifndef RP_TICKET_H
#define RP_TICKET_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "context.h"

#define RP_TICKET_NONCE_BYTES 16
#define RP_TICKET_PREFIX_BYTES 160 /* greatest text, with the final zero */
#define RP_TICKET_TEXT_BYTES 200
#define RP_TICKET_DEFAULT_MAX_TICKETS 65536
#define RP_TICKET_MAX_BODY_BYTES 4096 /* greatest answer kept for replay */
#define RP_TICKET_MAX_HEAD_BYTES 4096 /* greatest head kept for replay */

/* A new prefix is issued every 5 s. Address answers name it for 15 s from
 * the start of its period and are kept by callers for 5 s. It is accepted
 * for 30 s from the end of its period; the rest is for a caller's repeats. */
#define RP_TICKET_PERIOD_NS INT64_C(5000000000)
#define RP_TICKET_ADVERTISED_NS INT64_C(15000000000)
#define RP_TICKET_LIFETIME_NS INT64_C(30000000000)

/* The key that all entry VMs of a fleet share. The bytes are borrowed. */
struct rp_ticket_key {
    const uint8_t *bytes;
    size_t byte_count;
};

/* A ticket "id.incarnation.serial.mac.nonce" whose mac was right. */
struct rp_ticket {
    char id[RP_ID_BYTES];
    uint64_t incarnation;
    uint64_t serial;
    uint8_t nonce[RP_TICKET_NONCE_BYTES];
};

enum rp_ticket_route {
    RP_TICKET_ROUTE_LOCAL,  /* rp_ticket_claim decides */
    RP_TICKET_ROUTE_REMOTE, /* pass on to the entry VM ticket.id, one hop */
    RP_TICKET_ROUTE_OLD_INCARNATION, /* issued before this process: answer
                                        unknown */
};

enum rp_ticket_verdict {
    RP_TICKET_RUN,      /* first time seen: the claim holds an entry */
    RP_TICKET_RUNNING,  /* the same request is in progress */
    RP_TICKET_REPLAY,   /* done: the claim holds the answer */
    RP_TICKET_NOT_RUN,  /* was refused before; it will never run */
    RP_TICKET_UNKNOWN,  /* may have run; it will not run again */
    RP_TICKET_FULL,     /* not run, and will never run */
    RP_TICKET_MISMATCH, /* the ticket was used for another request */
};

/* An answer kept for replay. In a claim the bytes belong to the table and
 * are valid until its next call. The table does not look into the head. */
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
    uint32_t max_tickets; /* tickets; 0 for RP_TICKET_DEFAULT_MAX_TICKETS */
    uint64_t max_replay_bytes; /* bytes of kept answers; 0 for 16 MiB */
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
