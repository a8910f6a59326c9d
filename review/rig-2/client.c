#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <unistd.h>

#include "rig.h"

#define DEADLINE_MS 1200

struct client {
    struct rig_traffic *traffic;
    int machine;
    int number;
};

/* Sends a GET request. */
bool
rig_send(int socket, const char *host, const char *path, const char *id,
         int deadline_ms)
{
    char text[1024];
    int bytes = snprintf(text, sizeof(text),
                         "GET %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\n"
                         "X-Deadline-Ms: %d\r\n\r\n",
                         path, host, id, deadline_ms);
    return rig_write(socket, text, (size_t)bytes);
}

static bool
await_bytes(int socket, struct rig_buffer *buffer, size_t count,
            int64_t end_ms)
{
    while (buffer->count < count) {
        if (!rig_read_more(socket, buffer, end_ms - rig_now_ms())) {
            return false;
        }
    }
    return true;
}

/* Reads a body in chunks. Returns whether it is whole. */
static bool
read_chunks(int socket, struct rig_buffer *buffer, int64_t end_ms)
{
    size_t size = 1;
    while (size > 0) {
        char *line_end = NULL;
        while (line_end == NULL) {
            if (!await_bytes(socket, buffer, buffer->count + 1, end_ms)) {
                return false;
            }
            line_end = memmem(buffer->bytes, buffer->count, "\r\n", 2);
        }
        size = strtoul(buffer->bytes, NULL, 16);
        size_t frame = (size_t)(line_end - buffer->bytes) + 2 + size + 2;
        if (!await_bytes(socket, buffer, frame, end_ms)) {
            return false;
        }
        rig_drop(buffer, frame);
    }
    return true;
}

/* Reads the next answer of a connection. */
void
rig_read(int socket, struct rig_buffer *buffer, int64_t timeout_ms,
         struct rig_reply *reply)
{
    char head[16384];
    char value[64];
    int64_t end_ms = rig_now_ms() + timeout_ms;
    memset(reply, 0, sizeof(*reply));
    if (rig_read_head(socket, buffer, head, sizeof(head), timeout_ms) < 12) {
        return;
    }
    reply->status = (int)rig_number(head + 9);
    reply->stamped =
        rig_get_field(head, "X-Server-Stamp", value, sizeof(value));
    rig_get_field(head, "Transfer-Encoding", value, sizeof(value));
    if (strcasecmp(value, "chunked") == 0) {
        reply->whole = read_chunks(socket, buffer, end_ms);
        return;
    }
    rig_get_field(head, "Content-Length", value, sizeof(value));
    size_t bytes = (size_t)rig_number(value);
    if (!await_bytes(socket, buffer, bytes, end_ms)) {
        return;
    }
    size_t kept = sizeof(reply->body) - 1;
    kept = bytes < kept ? bytes : kept;
    if (kept > 0) {
        memcpy(reply->body, buffer->bytes, kept);
    }
    rig_drop(buffer, bytes);
    reply->whole = true;
}

/* Sends a GET request over a connection of its own and reads its answer. */
void
rig_call(const char *address, const char *host, const char *path,
         const char *id, int deadline_ms, struct rig_reply *reply)
{
    struct rig_buffer buffer = {0};
    memset(reply, 0, sizeof(*reply));
    int64_t sent_ms = rig_now_ms();
    int socket = rig_connect(address);
    if (socket >= 0) {
        if (rig_send(socket, host, path, id, deadline_ms)) {
            rig_read(socket, &buffer, deadline_ms, reply);
        }
        close(socket);
    }
    reply->sent_ms = sent_ms;
    free(buffer.bytes);
}

static void *
run_client(void *data)
{
    struct client *client = data;
    struct rig_traffic *traffic = client->traffic;
    struct rig_buffer buffer = {0};
    int socket = -1;
    for (int i = 0; !traffic->stop; i++) {
        char id[64];
        struct rig_reply reply = {0};
        snprintf(id, sizeof(id), "m%d-c%d-%d", client->machine, client->number,
                 i);
        if (socket < 0) {
            socket = rig_connect(rig_front(client->machine));
            buffer.count = 0;
        }
        if (socket >= 0 &&
            rig_send(socket, traffic->host, traffic->path, id, DEADLINE_MS))
        {
            rig_read(socket, &buffer, DEADLINE_MS, &reply);
        }
        bool served = reply.status == 200 && reply.whole && reply.stamped;
        __sync_fetch_and_add(served ? &traffic->served : &traffic->failed, 1);
        if (!reply.whole && socket >= 0) {
            close(socket);
            socket = -1;
        }
        rig_sleep_ms(traffic->pause_ms);
    }
    free(buffer.bytes);
    free(client);
    return NULL;
}

/* Starts the clients. */
void
rig_traffic_start(struct rig_traffic *traffic)
{
    for (int i = 0; i < traffic->machines * traffic->clients; i++) {
        struct client *client = calloc(1, sizeof(*client));
        client->traffic = traffic;
        client->machine = i / traffic->clients;
        client->number = i;
        rig_spawn(run_client, client);
    }
}
