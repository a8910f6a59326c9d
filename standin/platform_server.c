#include "platform_server.h"

#include <arpa/inet.h>
#include <jansson.h>
#include <microhttpd.h>
#include <stdlib.h>
#include <string.h>

#include "platform_store.h"

#define MAX_WAIT_MS 30000
#define MAX_PAGE_RECORDS 1024
#define MAX_UPLOAD_BYTES 2097152u
#define MAX_READERS 4096u
/* Approximate limit of the platform over all readers. */
#define MAX_READS_PER_S 2000
#define CONNECTION_TIMEOUT_S 60u

/* Ways to answer a reader. */
enum mode_kind {
    MODE_NORMAL,
    MODE_STALE,   /* as of an earlier revision and list of VMs */
    MODE_DOWN,    /* connections are closed */
    MODE_SLOW,    /* after a delay */
    MODE_ERROR,   /* status 500 */
    MODE_GARBAGE, /* status 200 and no JSON */
};

static const char *const mode_names[] = {"normal", "stale", "down",
                                         "slow",   "error", "garbage"};

struct mode {
    enum mode_kind kind;
    uint64_t revision; /* of MODE_STALE */
    int64_t delay_ms;  /* of MODE_SLOW */
};

struct reader_counts {
    uint64_t records;
    uint64_t vms;
    int64_t second;     /* of the monotonic clock */
    uint32_t in_second; /* reads in that second */
    uint32_t max_in_second;
};

struct platform_server {
    struct MHD_Daemon *daemon;
    GMutex lock; /* guards all fields below */
    GCond changed;
    struct platform_store *store;
    char *directory;
    struct mode mode;
    GHashTable *reader_modes;  /* reader to struct mode */
    GHashTable *reader_counts; /* reader to struct reader_counts */
    struct reader_counts total;
    uint64_t refused_reads;
    uint32_t waiting_reads;
    bool stopping;
};

/* The received part of a request's body. */
struct request {
    GByteArray *body;
    bool too_large;
};

static struct MHD_Response *
create_response(const char *text)
{
    struct MHD_Response *response = MHD_create_response_from_buffer(
        strlen(text), (void *)text, MHD_RESPMEM_MUST_COPY);
    MHD_add_response_header(response, "Content-Type", "application/json");
    return response;
}

static enum MHD_Result
answer_text(struct MHD_Connection *connection, unsigned status,
            const char *text)
{
    struct MHD_Response *response = create_response(text);
    enum MHD_Result result = MHD_queue_response(connection, status, response);
    MHD_destroy_response(response);
    return result;
}

static enum MHD_Result
answer_json(struct MHD_Connection *connection, json_t *document)
{
    char *text = json_dumps(document, JSON_COMPACT);
    json_decref(document);
    enum MHD_Result result = answer_text(connection, MHD_HTTP_OK, text);
    free(text);
    return result;
}

static enum MHD_Result
answer_in_epoch(struct MHD_Connection *connection, json_t *document,
                uint64_t epoch)
{
    char *text = json_dumps(document, JSON_COMPACT);
    char number[21];
    json_decref(document);
    struct MHD_Response *response = create_response(text);
    free(text);
    g_snprintf(number, sizeof(number), "%" G_GUINT64_FORMAT, epoch);
    MHD_add_response_header(response, "Platform-Epoch", number);
    enum MHD_Result result =
        MHD_queue_response(connection, MHD_HTTP_OK, response);
    MHD_destroy_response(response);
    return result;
}

/* Returns the name of a reader, which is the last word of its User-Agent, or
 * an empty string. */
static const char *
reader_name(struct MHD_Connection *connection)
{
    const char *agent =
        MHD_lookup_connection_value(connection, MHD_HEADER_KIND, "User-Agent");
    const char *blank = agent == NULL ? NULL : strrchr(agent, ' ');
    return blank == NULL ? "" : blank + 1;
}

static uint64_t
query_number(struct MHD_Connection *connection, const char *name,
             uint64_t fallback)
{
    const char *text =
        MHD_lookup_connection_value(connection, MHD_GET_ARGUMENT_KIND, name);
    return text == NULL ? fallback : g_ascii_strtoull(text, NULL, 10);
}

static bool
count_in_second(struct reader_counts *counts, int64_t second)
{
    if (counts->second != second) {
        counts->second = second;
        counts->in_second = 0;
    }
    counts->in_second++;
    counts->max_in_second = MAX(counts->max_in_second, counts->in_second);
    return counts->in_second <= MAX_READS_PER_S;
}

static bool
count_read(struct platform_server *server, const char *reader, bool vms)
{
    struct reader_counts *counts =
        g_hash_table_lookup(server->reader_counts, reader);
    if (counts == NULL &&
        g_hash_table_size(server->reader_counts) < MAX_READERS) {
        counts = g_new0(struct reader_counts, 1);
        g_hash_table_insert(server->reader_counts, g_strdup(reader), counts);
    }
    int64_t second = g_get_monotonic_time() / 1000000;
    server->total.vms += vms ? 1 : 0;
    server->total.records += vms ? 0 : 1;
    if (counts != NULL) {
        counts->vms += vms ? 1 : 0;
        counts->records += vms ? 0 : 1;
        count_in_second(counts, second);
    }
    bool allowed = count_in_second(&server->total, second);
    server->refused_reads += allowed ? 0 : 1;
    return allowed;
}

static struct mode
reader_mode(struct platform_server *server, const char *reader)
{
    const struct mode *mode =
        g_hash_table_lookup(server->reader_modes, reader);
    return mode == NULL ? server->mode : *mode;
}

/* Waits until there is a revision after the given one, the reader's mode
 * becomes MODE_DOWN, the time is over, or the server stops. Returns the mode
 * of the reader. The caller holds the lock. */
static struct mode
wait_for_update(struct platform_server *server, const char *reader,
                uint64_t after, int64_t wait_ms)
{
    int64_t end_us = g_get_monotonic_time() + wait_ms * 1000;
    struct mode mode = reader_mode(server, reader);
    server->waiting_reads++;
    while (!server->stopping) {
        uint64_t revision = platform_store_revision(server->store);
        if (mode.kind == MODE_STALE) {
            revision = MIN(revision, mode.revision);
        }
        if (revision > after || mode.kind == MODE_DOWN ||
            !g_cond_wait_until(&server->changed, &server->lock, end_us))
        {
            break;
        }
        mode = reader_mode(server, reader);
    }
    server->waiting_reads--;
    return mode;
}

static enum MHD_Result
answer_faulty(struct MHD_Connection *connection, const struct mode *mode)
{
    if (mode->kind == MODE_ERROR) {
        return answer_text(connection, MHD_HTTP_INTERNAL_SERVER_ERROR, "{}");
    }
    if (mode->kind == MODE_GARBAGE) {
        return answer_text(connection, MHD_HTTP_OK, "<html>welcome</html>");
    }
    return MHD_NO; /* closes the connection */
}

static enum MHD_Result
answer_read(struct platform_server *server, struct MHD_Connection *connection,
            bool vms)
{
    const char *reader = reader_name(connection);
    uint64_t after = query_number(connection, "after", 0);
    uint64_t wait_ms = query_number(connection, "wait_ms", 0);
    uint64_t limit = query_number(connection, "limit", MAX_PAGE_RECORDS);
    g_mutex_lock(&server->lock);
    if (!count_read(server, reader, vms)) {
        g_mutex_unlock(&server->lock);
        return answer_text(connection, MHD_HTTP_TOO_MANY_REQUESTS, "{}");
    }
    struct mode mode = reader_mode(server, reader);
    if (mode.kind == MODE_SLOW) {
        g_mutex_unlock(&server->lock);
        g_usleep((gulong)mode.delay_ms * 1000);
        g_mutex_lock(&server->lock);
    }
    else if (!vms && mode.kind <= MODE_STALE) {
        mode = wait_for_update(server, reader, after,
                               (int64_t)MIN(wait_ms, MAX_WAIT_MS));
    }
    bool faulty = mode.kind == MODE_DOWN || mode.kind == MODE_ERROR ||
                  mode.kind == MODE_GARBAGE;
    bool stale = mode.kind == MODE_STALE;
    json_t *document = NULL;
    if (!faulty && vms) {
        document =
            platform_store_vms(server->store, stale, g_get_real_time() / 1000);
    }
    else if (!faulty) {
        document = platform_store_records(
            server->store, after, (uint32_t)CLAMP(limit, 1, MAX_PAGE_RECORDS),
            stale ? mode.revision : UINT64_MAX);
    }
    uint64_t epoch = platform_store_epoch(server->store);
    g_mutex_unlock(&server->lock);
    return faulty ? answer_faulty(connection, &mode)
                  : answer_in_epoch(connection, document, epoch);
}

static void
pack_counts(gpointer key, gpointer value, gpointer data)
{
    const struct reader_counts *counts = value;
    json_object_set_new(data, key,
                        json_pack("{s:I, s:I, s:i}", "records",
                                  (json_int_t)counts->records, "vms",
                                  (json_int_t)counts->vms, "most_in_a_second",
                                  (int)counts->max_in_second));
}

static enum MHD_Result
answer_counts(struct platform_server *server,
              struct MHD_Connection *connection)
{
    json_t *document = json_object();
    json_t *readers = json_object();
    g_mutex_lock(&server->lock);
    json_object_set_new(
        document, "revision",
        json_integer((json_int_t)platform_store_revision(server->store)));
    json_object_set_new(document, "refused",
                        json_integer((json_int_t)server->refused_reads));
    json_object_set_new(document, "waiting",
                        json_integer(server->waiting_reads));
    pack_counts("all", &server->total, document);
    g_hash_table_foreach(server->reader_counts, pack_counts, readers);
    g_mutex_unlock(&server->lock);
    json_object_set_new(document, "readers", readers);
    return answer_json(connection, document);
}

static bool
parse_mode(const json_t *document, uint64_t revision, struct mode *mode)
{
    const char *name = json_string_value(json_object_get(document, "mode"));
    const json_t *as_of = json_object_get(document, "revision");
    const json_t *delay = json_object_get(document, "delay_ms");
    for (size_t i = 0; i < G_N_ELEMENTS(mode_names) && name != NULL; i++) {
        if (strcmp(mode_names[i], name) == 0) {
            mode->kind = (enum mode_kind)i;
            mode->revision = json_is_integer(as_of)
                                 ? (uint64_t)json_integer_value(as_of)
                                 : revision;
            mode->delay_ms =
                json_is_integer(delay) ? json_integer_value(delay) : 1000;
            return mode->delay_ms >= 0 && mode->delay_ms <= MAX_WAIT_MS;
        }
    }
    return false;
}

static bool
set_mode(struct platform_server *server, const json_t *document)
{
    struct mode mode;
    const char *reader =
        json_string_value(json_object_get(document, "reader"));
    if (!parse_mode(document, platform_store_revision(server->store), &mode)) {
        return false;
    }
    if (mode.kind == MODE_STALE) {
        platform_store_freeze_vms(server->store);
    }
    if (reader != NULL) {
        if (g_hash_table_size(server->reader_modes) >= MAX_READERS) {
            return false;
        }
        g_hash_table_insert(server->reader_modes, g_strdup(reader),
                            g_memdup2(&mode, sizeof(mode)));
    }
    else {
        server->mode = mode;
        g_hash_table_remove_all(server->reader_modes);
    }
    return true;
}

static bool
restore(struct platform_server *server, const json_t *document)
{
    const json_t *revision = json_object_get(document, "revision");
    const json_t *epoch = json_object_get(document, "epoch");
    if (!json_is_integer(revision) || json_integer_value(revision) < 0 ||
        !platform_store_restore(server->store,
                                (uint64_t)json_integer_value(revision)))
    {
        return false;
    }
    if (json_is_integer(epoch)) { /* else the next one */
        platform_store_set_epoch(server->store,
                                 (uint64_t)json_integer_value(epoch));
    }
    return true;
}

/* Handles PUT below /operator/: publishes a record, replaces the list of VMs,
 * sets the mode of answers, or goes back to an earlier revision. Returns the
 * revision (at least 1), or 0 when the request is invalid. */
static uint64_t
apply_operator_request(struct platform_server *server, const char *path,
                       const char *body, size_t body_bytes)
{
    static const char records[] = "/operator/records/";
    bool applied = false;
    g_mutex_lock(&server->lock);
    if (g_str_has_prefix(path, records)) {
        applied = platform_store_put(server->store, path + strlen(records),
                                     body, body_bytes) != 0;
    }
    else {
        json_t *document = json_loadb(body, body_bytes, 0, NULL);
        if (strcmp(path, "/operator/vms") == 0) {
            applied = platform_store_set_vms(server->store, document,
                                             g_get_real_time() / 1000);
        }
        else if (strcmp(path, "/operator/mode") == 0) {
            applied = set_mode(server, document);
        }
        else if (strcmp(path, "/operator/restore") == 0) {
            applied = restore(server, document);
        }
        json_decref(document);
    }
    uint64_t revision = platform_store_revision(server->store);
    g_cond_broadcast(&server->changed);
    g_mutex_unlock(&server->lock);
    return applied ? MAX(revision, 1) : 0;
}

static enum MHD_Result
answer_operator(struct platform_server *server,
                struct MHD_Connection *connection, const char *path,
                const struct request *request)
{
    uint64_t revision = 0;
    if (!request->too_large) {
        revision = apply_operator_request(server, path,
                                          (const char *)request->body->data,
                                          request->body->len);
    }
    if (revision == 0) {
        return answer_text(connection, MHD_HTTP_BAD_REQUEST,
                           "{\"error\":\"unknown path, malformed body, or a "
                           "value of more than 1 MB; see rp-standin platform "
                           "--help\"}\n");
    }
    return answer_json(connection,
                       json_pack("{s:I}", "revision", (json_int_t)revision));
}

static enum MHD_Result
on_request(void *data, struct MHD_Connection *connection, const char *path,
           const char *method, const char *version, const char *upload,
           size_t *upload_bytes, void **state)
{
    struct platform_server *server = data;
    struct request *request = *state;
    if (request == NULL) {
        request = g_new0(struct request, 1);
        request->body = g_byte_array_new();
        *state = request;
        return MHD_YES;
    }
    if (*upload_bytes > 0) {
        if (request->body->len + *upload_bytes > MAX_UPLOAD_BYTES) {
            request->too_large = true;
        }
        else {
            g_byte_array_append(request->body, (const guint8 *)upload,
                                (guint)*upload_bytes);
        }
        *upload_bytes = 0;
        return MHD_YES;
    }
    bool is_get = strcmp(method, "GET") == 0;
    if (is_get && strcmp(path, "/records") == 0) {
        return answer_read(server, connection, false);
    }
    if (is_get && strcmp(path, "/vms") == 0) {
        return answer_read(server, connection, true);
    }
    if (is_get && strcmp(path, "/operator/counts") == 0) {
        return answer_counts(server, connection);
    }
    if (strcmp(method, "PUT") == 0 && g_str_has_prefix(path, "/operator/")) {
        return answer_operator(server, connection, path, request);
    }
    return answer_text(connection, MHD_HTTP_NOT_FOUND, "{}");
}

static void
on_completed(void *data, struct MHD_Connection *connection, void **state,
             enum MHD_RequestTerminationCode code)
{
    struct request *request = *state;
    if (request != NULL) {
        g_byte_array_unref(request->body);
        g_free(request);
    }
    *state = NULL;
}

static bool
parse_address(const char *text, struct sockaddr_in *address)
{
    const char *colon = strrchr(text, ':');
    guint64 port = 0;
    if (colon == NULL ||
        !g_ascii_string_to_unsigned(colon + 1, 10, 0, 65535, &port, NULL))
    {
        return false;
    }
    char *host = g_strndup(text, (gsize)(colon - text));
    memset(address, 0, sizeof(*address));
    address->sin_family = AF_INET;
    address->sin_port = htons((uint16_t)port);
    bool valid = inet_pton(AF_INET, host, &address->sin_addr) == 1;
    g_free(host);
    return valid;
}

static void
free_server(struct platform_server *server)
{
    platform_store_free(server->store);
    g_hash_table_unref(server->reader_modes);
    g_hash_table_unref(server->reader_counts);
    g_free(server->directory);
    g_mutex_clear(&server->lock);
    g_cond_clear(&server->changed);
    g_free(server);
}

/* Starts a server at "ip:port"; port 0 selects a free one. directory has the
 * initial values and may be NULL. Returns NULL and sets failure to an
 * allocated text when the address cannot be used. */
struct platform_server *
platform_server_start(const char *address, const char *directory,
                      char **failure)
{
    struct sockaddr_in socket_address;
    if (!parse_address(address, &socket_address)) {
        *failure = g_strdup_printf("'%s' is not an IPv4 number and port; "
                                   "write 127.0.0.1:9000",
                                   address);
        return NULL;
    }
    struct platform_server *server = g_new0(struct platform_server, 1);
    g_mutex_init(&server->lock);
    g_cond_init(&server->changed);
    server->store = platform_store_new();
    server->directory = g_strdup(directory);
    server->reader_modes =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    server->reader_counts =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    platform_server_reload(server);
    server->daemon = MHD_start_daemon(
        MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD |
            MHD_USE_ITC,
        0, NULL, NULL, on_request, server, MHD_OPTION_SOCK_ADDR,
        &socket_address, MHD_OPTION_NOTIFY_COMPLETED, on_completed, NULL,
        MHD_OPTION_CONNECTION_TIMEOUT, CONNECTION_TIMEOUT_S,
        MHD_OPTION_THREAD_STACK_SIZE, (size_t)262144,
        MHD_OPTION_LISTENING_ADDRESS_REUSE, 1u, MHD_OPTION_END);
    if (server->daemon == NULL) {
        *failure = g_strdup_printf("cannot listen at %s; choose a free port",
                                   address);
        free_server(server);
        return NULL;
    }
    return server;
}

/* Stops and frees the server; NULL is allowed. */
void
platform_server_stop(struct platform_server *server)
{
    if (server == NULL) {
        return;
    }
    g_mutex_lock(&server->lock);
    server->stopping = true;
    g_cond_broadcast(&server->changed);
    g_mutex_unlock(&server->lock);
    MHD_stop_daemon(server->daemon);
    free_server(server);
}

/* Returns the listening port. */
uint16_t
platform_server_port(const struct platform_server *server)
{
    return MHD_get_daemon_info(server->daemon, MHD_DAEMON_INFO_BIND_PORT)
        ->port;
}

/* Publishes changed files of the directory. */
void
platform_server_reload(struct platform_server *server)
{
    if (server->directory == NULL) {
        return;
    }
    g_mutex_lock(&server->lock);
    if (platform_store_load(server->store, server->directory)) {
        g_cond_broadcast(&server->changed);
    }
    g_mutex_unlock(&server->lock);
}
