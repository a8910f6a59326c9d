#ifndef STANDIN_TARGET_H
#define STANDIN_TARGET_H

#include <ev.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "load.h"

/* Faults of an answer that a request selects by name; see fault_names in
 * target_fault.c. */
enum target_fault {
    FAULT_NONE,
    FAULT_CLOSE_BEFORE,
    FAULT_IN_HEAD,
    FAULT_AFTER_HEAD,
    FAULT_IN_BODY,
    FAULT_CHUNK_EDGE,
    FAULT_IN_CHUNK,
    FAULT_BAD_CHUNK,
    FAULT_SHORT_LENGTH,
    FAULT_RESET,
    FAULT_RESET_BODY,
    FAULT_SILENT,
    FAULT_SILENT_BODY,
    FAULT_REFUSE,
    FAULT_CLOSE_REUSED,
    FAULT_SILENT_REUSED,
    FAULT_TWO_LENGTHS,
    FAULT_LENGTH_AND_CHUNKED,
    FAULT_NO_LENGTH,
    FAULT_TRAILER,
    FAULT_GARBAGE,
    FAULT_BAD_STATUS,
    FAULT_INTERIM_BAD_STATUS,
    FAULT_BIG_HEAD,
    FAULT_INTERIM,
    FAULT_SWITCH,
    FAULT_EARLY,
    FAULT_SECOND_COPY,
    FAULT_SECOND_REFUSAL,
    FAULT_ENDLESS_FIELDS,
    FAULT_ENDLESS_LINE,
    FAULT_ENDLESS_INTERIM,
    FAULT_ENDLESS_EXTENSION,
    FAULT_ENDLESS_TRAILER,
    FAULT_ENDLESS_GARBAGE,
    FAULT_ENDLESS_BODY,
    FAULT_ENDLESS_REFUSAL,
    FAULT_COUNT
};

/* Parameters of a request, from its head and its query. */
struct target_request {
    char method[16];
    char path[128];
    char id[80];
    enum target_fault fault;
    uint32_t attempt;
    uint32_t sleep_ms;
    uint32_t rate_bytes_s; /* of the answer's body; 0: unlimited */
    uint64_t answer_bytes; /* length of the answer's body */
    uint32_t status;
    char status_text[16]; /* of an answer with FAULT_BAD_STATUS */
    bool answer_chunked;
    bool keep_alive;
    bool anonymous;  /* the answer does not repeat the request id */
    bool has_length; /* Content-Length of the request */
    bool body_chunked;
    bool expects_continue;
    uint64_t body_left_bytes; /* of the body, or of the present chunk */
    uint64_t body_bytes;
    uint64_t body_hash;
    int64_t deadline_ns; /* 0: none */
};

struct target;

/* A connection; it serves one request at a time. */
struct target_connection {
    struct target *target;
    ev_io io;
    ev_timer timer;
    ev_timer late_timer; /* of a second answer */
    struct target_request late_request;
    const char *endless; /* sent until the peer closes; NULL for none */
    GByteArray *in;
    GByteArray *out;
    guint out_sent_bytes;
    uint32_t served_count;
    int state;               /* enum connection_state */
    uint64_t produced_bytes; /* body bytes appended to out */
    uint64_t total_bytes;    /* length of the body */
    bool close_after_flush;
    bool in_slot;
    bool queued;
    bool reset_on_close; /* with RST instead of FIN */
    int64_t slot_start_ns;
    struct target_request request;
};

struct target {
    struct ev_loop *ev;
    ev_io listen;
    ev_timer end_timer;
    uint32_t slots;
    uint32_t queue_limit;
    uint32_t default_sleep_ms;
    uint32_t in_flight;
    double mean_service_us; /* moving average */
    bool draining;
    uint32_t cold_ms;      /* of a cold time: after the start and "/cold" */
    int64_t cold_until_ns; /* 0: cold times are not reported */
    uint32_t cold_most;    /* requests in any second of a cold time, at most */
    GArray *cold_arrivals_ns;
    GQueue queue;           /* of struct target_connection */
    GHashTable *run_counts; /* request id to number of runs */
    uint64_t run_total;
    uint64_t refused_total;
    uint64_t cancelled_total;
    uint64_t flooded_total; /* bytes of endless answers */
    uint64_t connections_total;
    uint32_t connections_open;
};

void target_fill_load(const struct target *target,
                      struct rp_load_report *report);
bool target_parse_head(const char *head, struct target_request *request);
enum target_fault target_fault_parse(const char *name);
bool target_fault_before_body(struct target_connection *connection);
void target_write_head(struct target_connection *connection,
                       const struct target_request *request);
void target_write_body_part(struct target_connection *connection);
bool target_fault_in_body(struct target_connection *connection);
void target_write_second_answer(struct target_connection *connection);
void target_write_endless(struct target_connection *connection,
                          guint max_bytes);
void target_fill_body(const struct target_request *request, uint64_t offset,
                      uint8_t *bytes, uint32_t count);
void target_print(struct target_connection *connection, const char *format,
                  ...) __attribute__((format(printf, 2, 3)));

#endif
