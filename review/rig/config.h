#ifndef CONFIG_H
#define CONFIG_H

#include "rig.h"

/* The text of an operator's configuration, built part by part. */
struct config {
    char *bytes;
    size_t count;
    size_t capacity;
};

void config_begin(struct config *config, int version, const char *host);
void config_add_rule(struct config *config, const char *name,
                     const char *prefix, const char *destination);
void config_add_text(struct config *config, const char *text);
void config_end(struct config *config);
void config_free(struct config *config);

#endif
