#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "rig.h"

#define STORE_PORT 18642
#define MAX_PAGE_ITEMS 500
/* The store keeps the events of this time. */
#define HISTORY_MS 20000
#define FIRST_REVISION 1000
#define MAX_SOCKETS 64

/* A change of an item; all are kept, in the order of their revisions. */
struct change {
    char *key;
    char *value; /* base64; NULL for a removal */
    uint64_t revision;
    int64_t at_ms;
};

/* The path of one machine to the store. */
struct path {
    int listener;
    bool cut;
    int sockets[MAX_SOCKETS]; /* 0: none */
    int64_t watch_begun_ms;
    int64_t watch_answered_ms;
};

struct connection {
    struct path *path;
    int socket;
    int slot;
};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static struct change *changes;
static size_t change_count;
static uint64_t revision = FIRST_REVISION;
static bool silent;
static int64_t silence_end_ms = -1;
static struct path paths[RIG_MAX_MACHINES];

/* Reads with staleOk are this much behind. */
volatile int64_t rig_stale_lag_ms;

static char *
encode_base64(const char *text)
{
    static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqr"
                                 "stuvwxyz0123456789+/";
    size_t count = strlen(text);
    char *encoded = malloc((count + 2) / 3 * 4 + 1);
    char *at = encoded;
    for (size_t i = 0; i < count; i += 3) {
        uint32_t bits = 0;
        for (size_t j = i; j < i + 3; j++) {
            bits = bits << 8 | (j < count ? (unsigned char)text[j] : 0);
        }
        *at++ = digits[bits >> 18];
        *at++ = digits[bits >> 12 & 63];
        *at++ = digits[bits >> 6 & 63];
        *at++ = digits[bits & 63];
    }
    for (size_t i = count; i % 3 != 0; i++) {
        at[-1 - (ptrdiff_t)(i - count)] = '=';
    }
    *at = '\0';
    return encoded;
}

static void
add_change(const char *key, const char *value)
{
    char *encoded = value == NULL ? NULL : encode_base64(value);
    pthread_mutex_lock(&lock);
    struct change *grown =
        realloc(changes, (change_count + 1) * sizeof(*changes));
    if (grown == NULL) {
        rig_give_up("out of memory");
    }
    changes = grown;
    changes[change_count++] =
        (struct change){strdup(key), encoded, ++revision, rig_now_ms()};
    pthread_mutex_unlock(&lock);
}

/* Writes an item; the store has acknowledged it on return. */
void
rig_store_put(const char *key, const char *value)
{
    if (strlen(value) > RIG_VALUE_BYTES) {
        rig_give_up("a value is larger than the store takes");
    }
    add_change(key, value);
}

/* Removes an item; the store has acknowledged it on return. */
void
rig_store_remove(const char *key)
{
    add_change(key, NULL);
}

/* While the store is silent, no request gets an answer, also later. */
void
rig_store_silence(bool on)
{
    pthread_mutex_lock(&lock);
    silent = on;
    silence_end_ms = rig_now_ms();
    pthread_mutex_unlock(&lock);
}

/* Cuts the path of a machine to the store, or mends it. Its connections, also
 * new ones, are reset. */
void
rig_store_cut(int machine, bool on)
{
    struct path *path = &paths[machine];
    pthread_mutex_lock(&lock);
    path->cut = on;
    for (int i = 0; on && i < MAX_SOCKETS; i++) {
        if (path->sockets[i] != 0) {
            shutdown(path->sockets[i], SHUT_RDWR);
        }
    }
    pthread_mutex_unlock(&lock);
}

/* Returns when the latest watch of a machine came, -1 for none. */
int64_t
rig_watch_begun_ms(int machine)
{
    return paths[machine].watch_begun_ms;
}

/* Returns when a watch of a machine was answered last, -1 for none. */
int64_t
rig_watch_answered_ms(int machine)
{
    return paths[machine].watch_answered_ms;
}

static void
write_item(FILE *out, const struct change *item, bool first)
{
    fprintf(out, "%s{\"key\":\"%s\",\"revision\":%llu", first ? "" : ",",
            item->key, (unsigned long long)item->revision);
    if (item->value == NULL) {
        fputs(",\"removed\":true}", out);
    }
    else {
        fprintf(out, ",\"created\":%llu,\"lease\":0,\"value\":\"%s\"}",
                (unsigned long long)item->revision, item->value);
    }
}

static bool
is_latest(size_t index, size_t count)
{
    for (size_t i = index + 1; i < count; i++) {
        if (strcmp(changes[i].key, changes[index].key) == 0) {
            return false;
        }
    }
    return true;
}

static int
compare_keys(const void *a, const void *b)
{
    const size_t *left = a;
    const size_t *right = b;
    return strcmp(changes[*left].key, changes[*right].key);
}

/* Returns how many of the changes a stale read shows. */
static size_t
count_stale(void)
{
    int64_t as_of_ms = rig_now_ms() - rig_stale_lag_ms;
    size_t count = change_count;
    while (count > 0 && changes[count - 1].at_ms > as_of_ms) {
        count--;
    }
    return count;
}

/* Writes the answer to GET /v1/kv-range. The lock is held. */
static void
write_range(FILE *out, const char *target)
{
    char prefix[256];
    char after[256];
    char stale[8];
    rig_get_argument(target, "prefix", prefix, sizeof(prefix));
    rig_get_argument(target, "after", after, sizeof(after));
    rig_get_argument(target, "staleOk", stale, sizeof(stale));
    size_t count = stale[0] == '1' ? count_stale() : change_count;
    size_t *found = calloc(count + 1, sizeof(*found));
    size_t found_count = 0;
    for (size_t i = 0; i < count; i++) {
        if (strncmp(changes[i].key, prefix, strlen(prefix)) == 0 &&
            strcmp(changes[i].key, after) > 0 && changes[i].value != NULL &&
            is_latest(i, count))
        {
            found[found_count++] = i;
        }
    }
    qsort(found, found_count, sizeof(*found), compare_keys);
    fputs("{\"items\":[", out);
    for (size_t i = 0; i < found_count && i < MAX_PAGE_ITEMS; i++) {
        write_item(out, &changes[found[i]], i == 0);
    }
    uint64_t as_of = count > 0 ? changes[count - 1].revision : FIRST_REVISION;
    fprintf(out, "],\"morePages\":%s,\"storeRevision\":%llu}",
            found_count > MAX_PAGE_ITEMS ? "true" : "false",
            (unsigned long long)as_of);
    free(found);
}

/* Returns whether events after a revision are no longer kept. */
static bool
is_forgotten(uint64_t after)
{
    int64_t kept_from_ms = rig_now_ms() - HISTORY_MS;
    for (size_t i = 0; i < change_count && changes[i].at_ms < kept_from_ms;
         i++) {
        if (changes[i].revision > after) {
            return true;
        }
    }
    return false;
}

static void
write_events(FILE *out, uint64_t after)
{
    bool first = true;
    fputs("{\"events\":[", out);
    for (size_t i = 0; i < change_count; i++) {
        if (changes[i].revision > after) {
            write_item(out, &changes[i], first);
            first = false;
        }
    }
    fprintf(out, "],\"storeRevision\":%llu}", (unsigned long long)revision);
}

/* Writes the answer to GET /v1/kv-watch, as soon as there is an event or the
 * wait ends. Returns its status, 0 if the connection ended before. */
static int
write_watch(FILE *out, const char *target, int socket)
{
    char after_text[32];
    char wait_text[32];
    rig_get_argument(target, "after", after_text, sizeof(after_text));
    rig_get_argument(target, "waitMs", wait_text, sizeof(wait_text));
    uint64_t after = (uint64_t)rig_number(after_text);
    int64_t end_ms = rig_now_ms() + rig_number(wait_text);
    int status = 0;
    while (status == 0) {
        pthread_mutex_lock(&lock);
        if (is_forgotten(after)) {
            fputs("{}", out);
            status = 410;
        }
        else if (revision > after || rig_now_ms() >= end_ms) {
            write_events(out, after);
            status = 200;
        }
        pthread_mutex_unlock(&lock);
        struct pollfd ended = {.fd = socket, .events = POLLIN | POLLRDHUP};
        if (status == 0 && poll(&ended, 1, 2) > 0) {
            return 0;
        }
    }
    return status;
}

/* Answers one request. Returns false when the connection ends. */
static bool
answer(const struct connection *connection, const char *target)
{
    struct path *path = connection->path;
    int64_t received_ms = rig_now_ms();
    bool is_watch = strncmp(target, "/v1/kv-watch?", 13) == 0;
    char *body = NULL;
    size_t body_bytes = 0;
    int status = 200;
    FILE *out = open_memstream(&body, &body_bytes);
    if (is_watch) {
        path->watch_begun_ms = received_ms;
        status = write_watch(out, target, connection->socket);
    }
    else {
        pthread_mutex_lock(&lock);
        write_range(out, target);
        pthread_mutex_unlock(&lock);
    }
    fclose(out);
    char head[160];
    int head_bytes =
        snprintf(head, sizeof(head),
                 "HTTP/1.1 %s\r\nContent-Type: application/json\r\n"
                 "Content-Length: %zu\r\n\r\n",
                 status == 410 ? "410 Gone" : "200 OK", body_bytes);
    bool is_lost = silent || received_ms < silence_end_ms;
    if (is_lost) {
        /* The connection stays silent until the machine closes it. */
        struct pollfd ended = {.fd = connection->socket, .events = POLLRDHUP};
        poll(&ended, 1, 60000);
    }
    bool sent = status != 0 && !is_lost && !path->cut &&
                rig_write(connection->socket, head, (size_t)head_bytes) &&
                rig_write(connection->socket, body, body_bytes);
    if (sent && is_watch) {
        path->watch_answered_ms = rig_now_ms();
    }
    free(body);
    return sent;
}

static void
set_slot(struct connection *connection, int value)
{
    int *sockets = connection->path->sockets;
    pthread_mutex_lock(&lock);
    if (value == 0) {
        sockets[connection->slot] = 0;
    }
    for (int i = 0; value != 0 && i < MAX_SOCKETS; i++) {
        if (sockets[i] == 0) {
            sockets[i] = value;
            connection->slot = i;
            value = 0;
        }
    }
    pthread_mutex_unlock(&lock);
}

static void *
run_connection(void *data)
{
    struct connection *connection = data;
    struct rig_buffer buffer = {0};
    char head[8192];
    set_slot(connection, connection->socket);
    while (rig_read_head(connection->socket, &buffer, head, sizeof(head),
                         600000) > 0 &&
           !connection->path->cut)
    {
        char *target = strchr(head, ' ');
        char *end = target == NULL ? NULL : strchr(target + 1, ' ');
        if (end == NULL) {
            break;
        }
        *end = '\0';
        if (!answer(connection, target + 1)) {
            break;
        }
    }
    set_slot(connection, 0);
    rig_reset(connection->socket);
    free(buffer.bytes);
    free(connection);
    return NULL;
}

static void *
run_path(void *data)
{
    struct path *path = data;
    while (true) {
        int socket = accept4(path->listener, NULL, NULL, SOCK_CLOEXEC);
        if (socket < 0) {
            continue;
        }
        if (path->cut) {
            rig_reset(socket);
            continue;
        }
        struct connection *connection = calloc(1, sizeof(*connection));
        connection->path = path;
        connection->socket = socket;
        rig_spawn(run_connection, connection);
    }
    return NULL;
}

/* Opens the path of a machine to the store. */
void
rig_store_open(int machine)
{
    struct path *path = &paths[machine];
    char ip[32];
    snprintf(ip, sizeof(ip), "127.79.%d.%d", rig_net(), machine + 1);
    path->listener = rig_listen(ip, STORE_PORT);
    path->watch_begun_ms = -1;
    path->watch_answered_ms = -1;
    if (path->listener < 0) {
        rig_give_up("the address of the store is in use");
    }
    rig_spawn(run_path, path);
}

/* Begins the text of a configuration, which the caller frees. */
FILE *
rig_config_begin(char **text, size_t *bytes, int version, const char *host)
{
    FILE *out = open_memstream(text, bytes);
    fprintf(out,
            "{\"version\":\"r%d\",\"limits\":{\"maxHeaderBytes\":16384,"
            "\"maxBodyBytes\":67108864,\"headerTimeout\":\"3000ms\","
            "\"idleTimeout\":\"15000ms\"},\"listeners\":[{\"host\":\"%s\","
            "\"rules\":[",
            version, host);
    return out;
}

/* Adds a rule for safe requests. */
void
rig_config_rule(FILE *out, bool first, const char *name, const char *prefix,
                const char *service)
{
    fprintf(out,
            "%s{\"name\":\"%s\",\"kind\":\"safe\",\"targetLatency\":"
            "\"600ms\",\"priority\":2,\"match\":{\"prefix\":\"%s\"},"
            "\"action\":{\"service\":\"%s\",\"timeout\":\"1500ms\","
            "\"maxAttempts\":2}}",
            first ? "" : ",", name, prefix, service);
}

/* Ends the text of a configuration. */
void
rig_config_end(FILE *out, const char *const *services, int count)
{
    fputs("]}],\"clusters\":[", out);
    for (int i = 0; i < count; i++) {
        fprintf(out,
                "%s{\"name\":\"%s\",\"healthPath\":\"/health\","
                "\"maxConnections\":3600}",
                i == 0 ? "" : ",", services[i]);
    }
    fputs("]}", out);
    fclose(out);
}
