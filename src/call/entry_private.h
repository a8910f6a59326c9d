#ifndef RP_ENTRY_PRIVATE_H
#define RP_ENTRY_PRIVATE_H

/* Shared by the files of the entry task only. */
#include <ev.h>
#include <http_parser.h>

#include "address_book.h"
#include "call.h"
#include "entry.h"
#include "http_rules.h"
#include "snapshot.h"

/* State of the entry task. */
struct rp_entry {
    struct rp_task *task;
    struct rp_context *context;
    struct rp_entry_config config;
    struct ev_loop *ev;
    int listener; /* -1 once it is closed */
    ev_io acceptor;
    ev_timer
        maintenance_timer; /* limits of time, and connections to be freed */
    ev_timer wakeup_timer; /* the kernel has messages to deliver */
    uint16_t port;
    uint64_t next_call_id;
    GHashTable *requests;    /* struct entry_request by call id */
    GHashTable *connections; /* set of struct entry_connection */
    GPtrArray *closed;       /* connections to be freed */
    uint32_t open_requests;  /* requests in progress, local ones included */
    struct rp_address_book *addresses;
    struct rp_snapshot *snapshot; /* NULL before the first */
    struct rp_caller_limits limits;
    bool stopping;
    bool closing; /* every address answer that names this VM has expired */
    int64_t stop_accept_ns;
};

enum entry_phase {
    ENTRY_HEAD, /* the header is being read */
    ENTRY_BODY,
    ENTRY_COMPLETE, /* the whole request has been read */
};

/* An answer that is made without a target. */
struct entry_local_answer {
    uint32_t status;
    const char *type;
    char *body;
    uint32_t max_age_s; /* 0 for none */
};

/* One request of a caller. */
struct entry_request {
    struct entry_connection *connection;
    enum entry_phase phase;
    GString *target;
    struct rp_http_framing framing;
    struct rp_fields fields; /* as read, all of them */
    struct rp_call *call;    /* NULL for a request that is not one */
    bool version_1_1;
    bool is_head;
    bool started;   /* dispatch has the call */
    bool gone_sent; /* dispatch knows that the caller has left */
    bool keep_alive;
    bool has_reply;
    bool has_local;
    bool head_written;
    bool body_written;
    bool chunked; /* the answer's body goes out in chunks */
    bool continue_due;
    uint64_t discarded_bytes;
    struct rp_call_reply reply;
    struct entry_local_answer local;
};

/* A caller's connection. Requests are answered in the order of arrival; those
 * that may be repeated run side by side. */
struct entry_connection {
    struct rp_entry *entry;
    int socket;
    ev_io reader;
    ev_io writer;
    http_parser parser;
    GString *field;
    GString *value;
    GQueue requests;               /* of struct entry_request */
    struct entry_request *reading; /* the last one while it is not whole */
    GByteArray *input;             /* read and not parsed */
    GByteArray *pending_body;      /* of a request, no room for it yet */
    GByteArray *output;
    uint32_t output_sent_bytes;
    int64_t last_activity_ns; /* last byte in either direction */
    int64_t head_start_ns;    /* first byte of a header that is not whole; 0 */
    bool paused;              /* the parser waits for room */
    bool discard_input;       /* nothing more is read as requests */
    bool closing;             /* close when the output is written */
    bool lingering;           /* written and shut down; waits for the caller */
    bool closed;
};

/* entry.c */
bool entry_send(struct rp_entry *entry, enum rp_message_kind kind,
                const void *body, uint32_t bytes, void (*release)(void *));
void entry_send_gone(struct entry_request *request,
                     enum rp_gone_reason reason);
bool entry_start_call(struct entry_request *request, int64_t now_ns);

/* entry_connection.c */
void entry_connection_open(struct rp_entry *entry, int socket, int64_t now_ns);
void entry_connection_close(struct entry_connection *connection);
void entry_connection_free(struct entry_connection *connection);
void entry_connection_advance(struct entry_connection *connection,
                              int64_t now_ns);
void entry_connection_check_time(struct entry_connection *connection,
                                 int64_t now_ns);

/* entry_request.c */
extern const http_parser_settings entry_parser_settings;
struct entry_request *entry_request_add(struct entry_connection *connection);
void entry_request_free(struct entry_request *request);
void entry_request_fail(struct entry_request *request, uint32_t status,
                        const char *reason);
bool entry_request_write_body(struct entry_request *request, const void *bytes,
                              uint32_t count, uint32_t *taken);

/* entry_reply.c */
void entry_reply_write_head(struct entry_request *request);
bool entry_reply_write_body(struct entry_request *request);

#endif
