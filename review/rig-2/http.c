#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include "rig.h"

#define READ_BYTES 65536

/* Returns a listening socket, or -1. */
int
rig_listen(const char *ip, int port)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons((uint16_t)port)};
    int on = 1;
    int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    inet_pton(AF_INET, ip, &address.sin_addr);
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (bind(listener, (struct sockaddr *)&address, sizeof(address)) != 0 ||
        listen(listener, 512) != 0)
    {
        close(listener);
        return -1;
    }
    return listener;
}

/* Returns a connection to "ip:port", or -1. */
int
rig_connect(const char *address)
{
    char ip[64];
    int on = 1;
    struct sockaddr_in to = {.sin_family = AF_INET};
    snprintf(ip, sizeof(ip), "%s", address);
    char *colon = strchr(ip, ':');
    if (colon == NULL) {
        return -1;
    }
    *colon = '\0';
    to.sin_port = htons((uint16_t)rig_number(colon + 1));
    inet_pton(AF_INET, ip, &to.sin_addr);
    int connection = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (connect(connection, (struct sockaddr *)&to, sizeof(to)) != 0) {
        close(connection);
        return -1;
    }
    setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return connection;
}

/* Closes a connection with a reset. */
void
rig_reset(int socket)
{
    struct linger reset = {.l_onoff = 1, .l_linger = 0};
    setsockopt(socket, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
    close(socket);
}

bool
rig_write(int socket, const char *bytes, size_t count)
{
    while (count > 0) {
        ssize_t sent = send(socket, bytes, count, MSG_NOSIGNAL);
        if (sent <= 0) {
            return false;
        }
        bytes += sent;
        count -= (size_t)sent;
    }
    return true;
}

/* Reads what comes next. Returns false at the end of the connection or when
 * nothing comes in time. */
bool
rig_read_more(int socket, struct rig_buffer *buffer, int64_t timeout_ms)
{
    if (buffer->count + READ_BYTES > buffer->capacity) {
        size_t capacity = buffer->count + 2 * (size_t)READ_BYTES;
        char *bytes = realloc(buffer->bytes, capacity);
        if (bytes == NULL) {
            return false;
        }
        buffer->bytes = bytes;
        buffer->capacity = capacity;
    }
    struct pollfd readable = {.fd = socket, .events = POLLIN};
    if (timeout_ms <= 0 || poll(&readable, 1, (int)timeout_ms) <= 0) {
        return false;
    }
    ssize_t count = recv(socket, buffer->bytes + buffer->count, READ_BYTES, 0);
    if (count <= 0) {
        return false;
    }
    buffer->count += (size_t)count;
    return true;
}

/* Removes the first bytes of a buffer. */
void
rig_drop(struct rig_buffer *buffer, size_t count)
{
    if (count > 0) {
        memmove(buffer->bytes, buffer->bytes + count, buffer->count - count);
        buffer->count -= count;
    }
}

/* Moves the head of a message from the buffer to head. Returns its length, 0
 * if none comes in time. */
size_t
rig_read_head(int socket, struct rig_buffer *buffer, char *head, size_t size,
              int64_t timeout_ms)
{
    int64_t end_ms = rig_now_ms() + timeout_ms;
    while (true) {
        char *found = NULL;
        if (buffer->count > 0) {
            found = memmem(buffer->bytes, buffer->count, "\r\n\r\n", 4);
        }
        if (found != NULL) {
            size_t bytes = (size_t)(found - buffer->bytes) + 4;
            if (bytes >= size) {
                return 0;
            }
            memcpy(head, buffer->bytes, bytes);
            head[bytes] = '\0';
            rig_drop(buffer, bytes);
            return bytes;
        }
        if (!rig_read_more(socket, buffer, end_ms - rig_now_ms())) {
            return 0;
        }
    }
}

/* Copies the value of a field of a head; empty if it has none. */
bool
rig_get_field(const char *head, const char *name, char *value, size_t size)
{
    size_t name_bytes = strlen(name);
    value[0] = '\0';
    for (const char *line = strstr(head, "\r\n"); line != NULL;
         line = strstr(line + 2, "\r\n"))
    {
        if (strncasecmp(line + 2, name, name_bytes) != 0 ||
            line[2 + name_bytes] != ':')
        {
            continue;
        }
        const char *text = line + 3 + name_bytes;
        text += strspn(text, " ");
        size_t bytes = strcspn(text, "\r");
        bytes = bytes < size ? bytes : size - 1;
        memcpy(value, text, bytes);
        value[bytes] = '\0';
        return true;
    }
    return false;
}

static char
read_escape(const char *text)
{
    char digits[3] = {0};
    memcpy(digits, text + 1, 2);
    return (char)strtol(digits, NULL, 16);
}

/* Copies an argument of the query of a target; empty if it has none. */
void
rig_get_argument(const char *target, const char *name, char *value,
                 size_t size)
{
    size_t name_bytes = strlen(name);
    size_t bytes = 0;
    value[0] = '\0';
    for (const char *at = strchr(target, '?'); at != NULL;
         at = strchr(at, '&')) {
        at++;
        if (strncmp(at, name, name_bytes) != 0 || at[name_bytes] != '=') {
            continue;
        }
        at += name_bytes + 1;
        while (*at != '\0' && *at != '&' && bytes + 1 < size) {
            bool escaped = *at == '%' && strlen(at) >= 3;
            value[bytes] = *at;
            if (escaped) {
                value[bytes] = read_escape(at);
            }
            bytes++;
            at += escaped ? 3 : 1;
        }
        value[bytes] = '\0';
        return;
    }
}

/* Returns the number at the start of a text, 0 if there is none. */
int64_t
rig_number(const char *text)
{
    return strtoll(text, NULL, 10);
}
