#ifndef RP_SETTING_H
#define RP_SETTING_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define RP_SETTING_ENVIRONMENT_PREFIX "ROSEMARYPULLEY_"

/* Flags of a setting. */
#define RP_SETTING_REQUIRED (1u << 0)
#define RP_SETTING_SECRET (1u << 1) /* never printed */

enum rp_setting {
#define RP_SETTING(identifier, flag, kind, fallback, flags, help)             \
    RP_SETTING_##identifier,
#include "setting_list.h"
#undef RP_SETTING
    RP_SETTING_COUNT
};

enum rp_setting_origin {
    RP_SETTING_FROM_DEFAULT,
    RP_SETTING_FROM_ENVIRONMENT,
    RP_SETTING_FROM_FLAG,
};

struct rp_settings;

#ifdef __cplusplus
extern "C" {
#endif

struct rp_settings *rp_settings_new(void);
void rp_settings_free(struct rp_settings *settings);
void rp_settings_read_environment(struct rp_settings *settings,
                                  const char *(*get)(const char *name,
                                                     void *data),
                                  void *data);
void rp_settings_set_flag(struct rp_settings *settings,
                          enum rp_setting setting, const char *value);
bool rp_settings_check(struct rp_settings *settings, GError **error);
const char *rp_settings_text(const struct rp_settings *settings,
                             enum rp_setting setting);
int64_t rp_settings_number(const struct rp_settings *settings,
                           enum rp_setting setting);
double rp_settings_decimal(const struct rp_settings *settings,
                           enum rp_setting setting);
void rp_settings_print(const struct rp_settings *settings, GString *out);

const char *rp_setting_flag(enum rp_setting setting);
const char *rp_setting_help(enum rp_setting setting);
char *rp_setting_environment_name(enum rp_setting setting);

#ifdef __cplusplus
}
#endif

#endif
