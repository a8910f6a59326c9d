#ifndef RP_ENTRY_REQUEST_H
#define RP_ENTRY_REQUEST_H

#include <ev.h>
#include <microhttpd.h>

#include "call.h"
#include "entry.h"
#include "member.h"
#include "snapshot.h"
#include "steering.h"

/* State of the entry task; internal to it. */
struct rp_entry {
    struct rp_task *task;
    struct rp_context *context;
    struct rp_entry_config config;
    struct ev_loop *ev;
    struct MHD_Daemon *daemon;
    ev_io mhd_io;
    ev_io gone_io;
    ev_timer again; /* the daemon or the kernel has more to do at once */
    ev_timer house; /* once a second: timeouts of connections */
    ev_timer kick;  /* never started; fed to run before the loop sleeps */
    bool kicked;
    bool sent;      /* a message was sent since the daemon ran */
    int gone_epoll; /* tells of callers that closed their connection */
    uint16_t port;
    uint64_t next_call_id;
    GHashTable *requests; /* struct entry_request by call id */
    uint32_t open;        /* requests in progress, address answers included */
    struct rp_snapshot *snapshot;
    struct rp_member_view *members; /* NULL before the first */
    struct rp_steering *steering;
    bool ready;
    bool leaving;
    bool closing; /* every address answer that names this VM has expired */
    int64_t leave_at_ns;
};

/* A caller's connection. */
struct entry_connection {
    struct entry_request *request;
    int socket;
    bool gone; /* the caller closed it */
};

enum entry_phase {
    ENTRY_NEW,
    ENTRY_CONTINUE, /* waits for a reader before it asks for the body */
    ENTRY_BODY,
    ENTRY_WAITING, /* the whole request is read */
    ENTRY_LOCAL,   /* answered without a target */
    ENTRY_ANSWERED,
};

/* One request of a caller. */
struct entry_request {
    struct rp_entry *entry;
    struct MHD_Connection *mhd;
    struct entry_connection *connection;
    char *target;
    struct rp_call *call; /* NULL before the call starts */
    enum entry_phase phase;
    bool suspended;
    bool gone;  /* dispatch knows that the caller has left */
    bool abort; /* close the connection */
    bool has_reply;
    bool body_wanted;
    uint64_t discarded;
    struct rp_call_reply reply;
};

void entry_kick(struct rp_entry *entry);
void entry_suspend(struct entry_request *request);
void entry_resume(struct entry_request *request);
bool entry_send(struct rp_entry *entry, enum rp_message_kind kind,
                const void *body, uint32_t bytes, void (*release)(void *));

enum MHD_Result entry_queue_reply(struct entry_request *request);
enum MHD_Result entry_queue_fault(struct entry_request *request,
                                  uint32_t status, enum rp_outcome outcome,
                                  int64_t retry_after_ms, const char *reason);
enum MHD_Result entry_queue_addresses(struct entry_request *request);

#endif
