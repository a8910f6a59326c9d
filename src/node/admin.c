#include "admin.h"

#include <errno.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "address.h"
#include "error.h"
#include "event_json.h"
#include "mhd_loop.h"
#include "snapshot.h"
#include "status.h"

#define CONNECTION_LIMIT 32
#define CONNECTION_TIMEOUT_S 10

/* Parts of a status document arrive in the same run of the kernel; this is
 * the time after which it is sent with the parts that are there. */
#define STATUS_WAIT_NS INT64_C(20000000)

struct status_request {
    uint64_t number;
    struct MHD_Connection *connection;
    json_t *document;
    int64_t due_ns;
    bool complete;
};

struct rp_admin {
    struct rp_task *task;
    struct MHD_Daemon *daemon;
    struct rp_mhd_loop watch;
    GQueue requests; /* of struct status_request, oldest first */
    uint64_t next_request;
    bool ready;
};

static enum MHD_Result
queue_text(struct MHD_Connection *connection, unsigned int status,
           const char *type, char *text, size_t bytes)
{
    struct MHD_Response *response =
        MHD_create_response_from_buffer(bytes, text, MHD_RESPMEM_MUST_COPY);
    MHD_add_response_header(response, MHD_HTTP_HEADER_CONTENT_TYPE, type);
    enum MHD_Result result = MHD_queue_response(connection, status, response);
    MHD_destroy_response(response);
    return result;
}

static enum MHD_Result
queue_json(struct MHD_Connection *connection, unsigned int status,
           json_t *document)
{
    char *text = json_dumps(document, JSON_COMPACT | JSON_SORT_KEYS);
    enum MHD_Result result =
        queue_text(connection, status, "application/json", text, strlen(text));
    free(text);
    return result;
}

static enum MHD_Result
answer_metrics(struct rp_admin *admin, struct MHD_Connection *connection)
{
    struct rp_context *context = rp_task_context(admin->task);
    rp_counter_set(&context->counters, RP_COUNTER_EVENTS_OVERWRITTEN,
                   rp_event_ring_first_sequence(context->events));
    GString *text = g_string_new(NULL);
    rp_counter_print(&context->counters, text);
    rp_histograms_print(context->histograms, text);
    enum MHD_Result result =
        queue_text(connection, MHD_HTTP_OK, "text/plain; version=0.0.4",
                   text->str, text->len);
    g_string_free(text, TRUE);
    return result;
}

static const char *
get_argument(struct MHD_Connection *connection, const char *name)
{
    return MHD_lookup_connection_value(connection, MHD_GET_ARGUMENT_KIND,
                                       name);
}

static int64_t
get_number(struct MHD_Connection *connection, const char *name)
{
    const char *text = get_argument(connection, name);
    return text == NULL ? 0 : g_ascii_strtoll(text, NULL, 10);
}

static enum MHD_Result
answer_timeline(struct rp_admin *admin, struct MHD_Connection *connection)
{
    struct rp_event_filter filter = {
        .request = get_argument(connection, "request"),
        .service = get_argument(connection, "service"),
        .subject = get_argument(connection, "subject"),
        .since_ms = get_number(connection, "since_ms"),
        .until_ms = get_number(connection, "until_ms"),
        .first_sequence = (uint64_t)MAX(get_number(connection, "after"), 0),
    };
    json_t *document =
        rp_event_json_list(rp_task_context(admin->task), &filter);
    enum MHD_Result result = queue_json(connection, MHD_HTTP_OK, document);
    json_decref(document);
    return result;
}

static enum MHD_Result
start_status(struct rp_admin *admin, struct MHD_Connection *connection,
             void **state)
{
    struct rp_context *context = rp_task_context(admin->task);
    struct status_request *request = g_new0(struct status_request, 1);
    request->number = admin->next_request++;
    request->connection = connection;
    request->due_ns = rp_loop_now_ns() + STATUS_WAIT_NS;
    request->document =
        json_pack("{s:s, s:s, s:s, s:s}", "id", context->identity.id, "domain",
                  context->identity.domain, "address",
                  context->identity.address, "version", RP_VERSION);
    g_queue_push_tail(&admin->requests, request);
    struct rp_status_request want = {.request_id = request->number};
    rp_task_broadcast(admin->task, RP_MSG_STATUS_REQUEST, &want, sizeof(want));
    rp_task_set_timer(admin->task, 0, request->due_ns);
    *state = request;
    MHD_suspend_connection(connection);
    return MHD_YES;
}

static enum MHD_Result
answer_health(struct rp_admin *admin, struct MHD_Connection *connection)
{
    bool stopping = rp_kernel_stopping(rp_task_kernel(admin->task));
    const char *text = stopping       ? "stopping\n"
                       : admin->ready ? "ready\n"
                                      : "starting\n";
    unsigned int status =
        admin->ready && !stopping ? MHD_HTTP_OK : MHD_HTTP_SERVICE_UNAVAILABLE;
    return queue_text(connection, status, "text/plain", (char *)text,
                      strlen(text));
}

static char not_found[] =
    "unknown path; use /metrics, /status, /timeline or /healthz\n";
static char not_allowed[] = "only GET is served here\n";

static enum MHD_Result
on_request(void *data, struct MHD_Connection *connection, const char *path,
           const char *method, const char *version, const char *upload,
           size_t *upload_bytes, void **state)
{
    static int first_call;
    struct rp_admin *admin = data;
    if (*state == NULL) {
        *state = &first_call;
        return MHD_YES;
    }
    if (*upload_bytes != 0) {
        *upload_bytes = 0;
        return MHD_YES;
    }
    if (strcmp(method, MHD_HTTP_METHOD_GET) != 0) {
        return queue_text(connection, MHD_HTTP_METHOD_NOT_ALLOWED,
                          "text/plain", not_allowed, strlen(not_allowed));
    }
    if (*state != &first_call) {
        struct status_request *request = *state;
        return queue_json(connection, MHD_HTTP_OK, request->document);
    }
    if (strcmp(path, "/metrics") == 0) {
        return answer_metrics(admin, connection);
    }
    if (strcmp(path, "/timeline") == 0) {
        return answer_timeline(admin, connection);
    }
    if (strcmp(path, "/status") == 0) {
        return start_status(admin, connection, state);
    }
    if (strcmp(path, "/healthz") == 0) {
        return answer_health(admin, connection);
    }
    return queue_text(connection, MHD_HTTP_NOT_FOUND, "text/plain", not_found,
                      strlen(not_found));
}

static void
free_request(gpointer data)
{
    struct status_request *request = data;
    json_decref(request->document);
    g_free(request);
}

static void
on_request_end(void *data, struct MHD_Connection *connection, void **state,
               enum MHD_RequestTerminationCode code)
{
    struct rp_admin *admin = data;
    if (*state != NULL && g_queue_remove(&admin->requests, *state)) {
        free_request(*state);
    }
    *state = NULL;
}

static void
on_message(struct rp_task *task, const struct rp_message *message,
           int64_t now_ns, void *data)
{
    struct rp_admin *admin = data;
    if (message->kind == RP_MSG_SNAPSHOT) {
        const struct rp_snapshot_message *body = message->body;
        admin->ready = body->ready;
        return;
    }
    if (message->kind != RP_MSG_STATUS_SECTION) {
        return;
    }
    const struct rp_status_section *part = message->body;
    for (GList *link = admin->requests.head; link != NULL; link = link->next) {
        struct status_request *request = link->data;
        if (request->number == part->request_id) {
            json_object_set(request->document, part->name, part->object);
        }
    }
}

static void
on_timer(struct rp_task *task, uint32_t timer, int64_t now_ns, void *data)
{
    struct rp_admin *admin = data;
    int64_t next_ns = RP_KERNEL_NEVER_NS;
    for (GList *link = admin->requests.head; link != NULL; link = link->next) {
        struct status_request *request = link->data;
        if (request->complete) {
            continue;
        }
        if (request->due_ns > now_ns) {
            next_ns = MIN(next_ns, request->due_ns);
            continue;
        }
        request->complete = true;
        MHD_resume_connection(request->connection);
        rp_mhd_loop_schedule_run(&admin->watch);
    }
    rp_task_set_timer(task, 0, next_ns);
}

static void
on_remove(struct rp_task *task, void *data)
{
    struct rp_admin *admin = data;
    for (GList *link = admin->requests.head; link != NULL; link = link->next) {
        struct status_request *request = link->data;
        if (!request->complete) {
            MHD_resume_connection(request->connection);
        }
    }
    rp_mhd_loop_stop(&admin->watch);
    MHD_stop_daemon(admin->daemon);
    g_queue_clear_full(&admin->requests, free_request);
    g_free(admin);
}

static const struct rp_task_ops admin_ops = {
    .on_message = on_message,
    .on_timer = on_timer,
    .on_remove = on_remove,
};

/* Starts the task named admin, which serves operators on address ("ip:port")
 * with /metrics, /status, /timeline and /healthz. It belongs to the loop's
 * kernel. Returns NULL with RP_ERROR_SYSTEM set when it cannot listen. */
struct rp_admin *
rp_admin_start(struct rp_loop *loop, const char *address, GError **error)
{
    struct rp_admin *admin = g_new0(struct rp_admin, 1);
    struct sockaddr_in socket_address;
    if (rp_address_parse(address, &socket_address)) {
        admin->daemon = MHD_start_daemon(
            MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, NULL, NULL,
            on_request, admin, MHD_OPTION_SOCK_ADDR, &socket_address,
            MHD_OPTION_CONNECTION_LIMIT, (unsigned int)CONNECTION_LIMIT,
            MHD_OPTION_CONNECTION_TIMEOUT, (unsigned int)CONNECTION_TIMEOUT_S,
            MHD_OPTION_NOTIFY_COMPLETED, on_request_end, admin,
            MHD_OPTION_END);
    }
    if (admin->daemon == NULL) {
        g_set_error(error, RP_ERROR, RP_ERROR_SYSTEM,
                    "cannot listen on admin address %s: %s; choose a free "
                    "address with --admin-address",
                    address, g_strerror(errno));
        g_free(admin);
        return NULL;
    }
    rp_mhd_loop_start(&admin->watch, rp_loop_ev(loop), admin->daemon);
    admin->task = rp_kernel_add_task(rp_loop_kernel(loop), "admin", &admin_ops,
                                     admin, error);
    return admin;
}
