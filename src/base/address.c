#include "address.h"

#include <arpa/inet.h>
#include <glib.h>
#include <stdint.h>
#include <string.h>

/* Parses an IPv4 address with a port, "ip:port". Returns false, and leaves
 * address unchanged, when the text is anything else. */
bool
rp_address_parse(const char *text, struct sockaddr_in *address)
{
    const char *colon = strchr(text, ':');
    char host[INET_ADDRSTRLEN];
    if (colon == NULL || (size_t)(colon - text) >= sizeof(host)) {
        return false;
    }
    memcpy(host, text, (size_t)(colon - text));
    host[colon - text] = '\0';
    guint64 port;
    struct sockaddr_in parsed = {.sin_family = AF_INET};
    if (inet_pton(AF_INET, host, &parsed.sin_addr) != 1 ||
        !g_ascii_string_to_unsigned(colon + 1, 10, 1, UINT16_MAX, &port, NULL))
    {
        return false;
    }
    parsed.sin_port = htons((uint16_t)port);
    *address = parsed;
    return true;
}
