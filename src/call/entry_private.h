#ifndef RP_ENTRY_PRIVATE_H
#define RP_ENTRY_PRIVATE_H

/* Internal to the entry task. */
#include <ev.h>
#include <http_parser.h>

#include "address_book.h"
#include "call.h"
#include "entry.h"
#include "http_rules.h"
#include "snapshot.h"
#include "stop_plan.h"

/* State of the entry task. */
struct rp_entry {
    struct rp_task *task;
    struct rp_context *context;
    struct rp_entry_config config;
    struct ev_loop *ev;
    int listener; /* -1 once it is closed */
    ev_io acceptor;
    ev_timer maintenance_timer; /* checks time limits, frees connections */
    ev_timer stop_timer;        /* answers calls before a stop ends */
    ev_timer wakeup_timer; /* wakes the loop so that the kernel delivers */
    uint16_t port;
    uint64_t next_call_id;
    GHashTable *requests;    /* struct entry_request by call id */
    GHashTable *connections; /* set of struct entry_connection */
    GPtrArray *closed;       /* connections to be freed */
    struct rp_address_book *addresses;
    struct rp_snapshot *snapshot; /* NULL until received */
    struct rp_caller_limits limits;
    bool stopping;            /* RP_MSG_STOP was received */
    bool closing;             /* the listener is closed */
    struct rp_stop_plan stop; /* when stopping is set */
    int64_t stop_end_ns;      /* set when the stop timer has run */
};

enum entry_phase {
    ENTRY_HEAD, /* the header is being read */
    ENTRY_BODY,
    ENTRY_COMPLETE, /* the complete request has been read */
};

/* An answer that the entry task makes itself. */
struct entry_local_answer {
    uint32_t status;
    const char *type;
    char *body;
    uint32_t max_age_s; /* 0 for no Cache-Control field */
};

/* One request of a caller. */
struct entry_request {
    struct entry_connection *connection;
    enum entry_phase phase;
    GString *target;
    struct rp_http_framing framing;
    struct rp_fields fields; /* all fields as read */
    struct rp_call *call;    /* NULL when it is not a call */
    bool version_1_1;
    bool is_head;
    bool started;    /* the call was sent to dispatch */
    bool abort_sent; /* RP_MSG_CALL_ABORT was sent */
    bool keep_alive;
    bool has_reply;
    bool has_local;
    bool head_written;
    bool body_written;
    bool chunked;      /* the answer is sent chunked */
    bool continue_due; /* "100 Continue" is still to be sent */
    uint64_t discarded_bytes;
    int64_t read_ns; /* time of the complete header */
    struct rp_call_reply reply;
    struct entry_local_answer local;
};

/* A caller's connection. Requests are answered in order of arrival; those that
 * may be repeated run in parallel. */
struct entry_connection {
    struct rp_entry *entry;
    int socket;
    ev_io reader;
    ev_io writer;
    http_parser parser;
    GString *field;
    GString *value;
    GQueue requests;               /* of struct entry_request */
    struct entry_request *reading; /* the last request while it is
                                    * incomplete */
    GByteArray *input;             /* read but not parsed */
    GByteArray *pending_body;      /* body bytes that its stream has no room
                                    * for */
    GByteArray *output;
    uint32_t output_sent_bytes;
    int64_t last_activity_ns; /* time of the last byte sent, or received while
                               * no output waits */
    int64_t head_start_ns;    /* time of the first byte of an incomplete
                               * header; 0 for none */
    bool paused;              /* the parser is paused until there is room */
    bool discard_input;       /* further input is not parsed */
    bool closing;             /* to be closed when the output is written */
    bool lingering;           /* shut down for writing; waits for the caller */
    bool closed;
    const char *end_reason; /* a constant string; NULL while the connection is
                             * open or when the caller ended it */
};

/* entry.c */
bool entry_send(struct rp_entry *entry, enum rp_message_kind kind,
                const void *body, uint32_t bytes, void (*release)(void *));
void entry_send_abort(struct entry_request *request,
                      enum rp_abort_reason reason);
bool entry_start_call(struct entry_request *request);

/* entry_connection.c */
void entry_connection_open(struct rp_entry *entry, int socket, int64_t now_ns);
void entry_connection_close(struct entry_connection *connection,
                            const char *reason);
void entry_connection_free(struct entry_connection *connection);
void entry_connection_advance(struct entry_connection *connection,
                              int64_t now_ns);
bool entry_connection_is_finished(const struct entry_connection *connection);
void entry_connection_check_time(struct entry_connection *connection,
                                 int64_t now_ns);

/* entry_request.c */
extern const http_parser_settings entry_parser_settings;
struct entry_request *entry_request_add(struct entry_connection *connection);
void entry_request_free(struct entry_request *request);
void entry_request_fail(struct entry_request *request, uint32_t status,
                        const char *reason);
bool entry_request_write_body(struct entry_request *request, const void *bytes,
                              uint32_t count, uint32_t *accepted);

/* entry_reply.c */
void entry_reply_write_head(struct entry_request *request);
bool entry_reply_write_body(struct entry_request *request);

#endif
