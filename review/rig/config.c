#include "config.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

void
config_add_text(struct config *config, const char *text)
{
    size_t count = strlen(text);
    if (config->count + count + 1 > config->capacity) {
        config->capacity = (config->count + count + 1) * 2;
        config->bytes = realloc(config->bytes, config->capacity);
    }
    memcpy(config->bytes + config->count, text, count + 1);
    config->count += count;
}

/* Begins a configuration with one host and the services calles and historial.
 */
void
config_begin(struct config *config, int version, const char *host)
{
    char text[1024];
    memset(config, 0, sizeof(*config));
    snprintf(text, sizeof(text),
             "{\"version\":\"r%d\",\"limits\":{\"maxHeaderBytes\":16384,"
             "\"maxBodyBytes\":67108864,\"headerTimeout\":\"3000ms\","
             "\"idleTimeout\":\"15000ms\"},\"clusters\":["
             "{\"name\":\"calles\",\"healthPath\":\"/health\","
             "\"maxConnections\":220},"
             "{\"name\":\"historial\",\"healthPath\":\"/health\","
             "\"maxConnections\":220}],"
             "\"listeners\":[{\"host\":\"%s\",\"rules\":[",
             version, host);
    config_add_text(config, text);
}

/* Adds a rule for safe requests. destination is the part of its action that
 * names a service or a trafficSplit. */
void
config_add_rule(struct config *config, const char *name, const char *prefix,
                const char *destination)
{
    char text[1024];
    bool first = config->bytes[config->count - 1] == '[';
    snprintf(text, sizeof(text),
             "%s{\"name\":\"%s\",\"kind\":\"safe\",\"targetLatency\":"
             "\"600ms\",\"priority\":2,\"match\":{\"prefix\":\"%s\"},"
             "\"action\":{%s,\"timeout\":\"1500ms\",\"maxAttempts\":2}}",
             first ? "" : ",", name, prefix, destination);
    config_add_text(config, text);
}

void
config_end(struct config *config)
{
    config_add_text(config, "]}]}");
}

void
config_free(struct config *config)
{
    free(config->bytes);
}
