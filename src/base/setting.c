#include "setting.h"

#include <math.h>
#include <string.h>

#include "address.h"
#include "error.h"
#include "time_text.h"

#define MAX_NAME_BYTES 63
#define MAX_LIST_ITEMS 256
#define CURVE_KEY_BYTES 40
#define HEX_KEY_BYTES 64

struct setting_kind {
    /* Appends which values are accepted if the value is invalid; leaves the
     * text unchanged if it is valid. */
    void (*check)(const char *value, const struct setting_kind *kind,
                  GString *fault);
    int64_t min;
    int64_t max;
    const char *choices;
};

struct setting_entry {
    const char *flag;
    const char *fallback;
    const char *help;
    uint32_t flags;
    struct setting_kind kind;
};

struct rp_settings {
    char *text[RP_SETTING_COUNT];
    enum rp_setting_origin origin[RP_SETTING_COUNT];
};

static void
check_name(const char *value, const struct setting_kind *kind, GString *fault)
{
    (void)kind;
    size_t bytes = strspn(value, "abcdefghijklmnopqrstuvwxyz"
                                 "ABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_ ");
    if (bytes == 0 || value[bytes] != '\0' || bytes > MAX_NAME_BYTES) {
        g_string_append_printf(fault,
                               "use 1 to %d letters, digits, '-', '_' or "
                               "spaces",
                               MAX_NAME_BYTES);
    }
}

static bool
is_address(const char *value)
{
    struct sockaddr_in address;
    return rp_address_parse(value, &address);
}

static void
check_address(const char *value, const struct setting_kind *kind,
              GString *fault)
{
    (void)kind;
    if (!is_address(value)) {
        g_string_append(fault, "write an IPv4 address and a port from 1 to "
                               "65535, such as 10.0.0.7:8080");
    }
}

static void
check_list(const char *value, bool (*is_item)(const char *item),
           const char *remedy, GString *fault)
{
    char **items = g_strsplit(value, ",", MAX_LIST_ITEMS + 1);
    if (g_strv_length(items) > MAX_LIST_ITEMS) {
        g_string_append_printf(fault, "list at most %d", MAX_LIST_ITEMS);
    }
    for (char **item = items; *item != NULL && fault->len == 0; item++) {
        if (!is_item(g_strstrip(*item))) {
            g_string_append_printf(fault, "'%.64s' is not valid; %s", *item,
                                   remedy);
        }
    }
    g_strfreev(items);
}

static void
check_address_list(const char *value, const struct setting_kind *kind,
                   GString *fault)
{
    (void)kind;
    check_list(value, is_address,
               "write IPv4 addresses with ports, separated by commas", fault);
}

static bool
is_file(const char *value)
{
    return g_file_test(value, G_FILE_TEST_IS_REGULAR);
}

static void
check_file_list(const char *value, const struct setting_kind *kind,
                GString *fault)
{
    (void)kind;
    check_list(value, is_file,
               "name files that can be read, separated by commas", fault);
}

static void
check_url(const char *value, const struct setting_kind *kind, GString *fault)
{
    (void)kind;
    if (!g_str_has_prefix(value, "http://") || !is_address(value + 7)) {
        g_string_append(fault, "write http://, an IPv4 address and a port, "
                               "such as http://10.0.0.2:8500");
    }
}

static bool
is_hex_key(const char *value)
{
    return strlen(value) == HEX_KEY_BYTES &&
           strspn(value, "0123456789abcdefABCDEF") == HEX_KEY_BYTES;
}

static void
check_hex_key(const char *value, const struct setting_kind *kind,
              GString *fault)
{
    (void)kind;
    if (!is_hex_key(value)) {
        g_string_append(fault, "write 64 hex digits; 'rosemarypulley keygen' "
                               "generates them");
    }
}

static bool
is_curve_key(const char *value)
{
    /* Z85, the text form that ZeroMQ uses for CURVE keys. */
    return strlen(value) == CURVE_KEY_BYTES &&
           strspn(value, "0123456789abcdefghijklmnopqrstuvwxyz"
                         "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
                         ".-:+=^!/*?&<>()[]{}@%$#") == CURVE_KEY_BYTES;
}

static void
check_curve_key(const char *value, const struct setting_kind *kind,
                GString *fault)
{
    (void)kind;
    if (!is_curve_key(value)) {
        g_string_append(fault, "write the 40 characters of a Z85 key; "
                               "'rosemarypulley keygen' generates them");
    }
}

static void
check_curve_key_list(const char *value, const struct setting_kind *kind,
                     GString *fault)
{
    (void)kind;
    check_list(value, is_curve_key,
               "write Z85 keys of 40 characters, separated by commas", fault);
}

static void
check_number(const char *value, const struct setting_kind *kind,
             GString *fault)
{
    gint64 number;
    if (!g_ascii_string_to_signed(value, 10, kind->min, kind->max, &number,
                                  NULL)) {
        g_string_append_printf(fault,
                               "write a whole number from %" G_GINT64_FORMAT
                               " to %" G_GINT64_FORMAT,
                               kind->min, kind->max);
    }
}

static void
check_time(const char *value, const struct setting_kind *kind, GString *fault)
{
    int64_t time_ms;
    if (!rp_time_parse(value, "ms", &time_ms) || time_ms < kind->min ||
        time_ms > kind->max)
    {
        g_string_append_printf(
            fault,
            "write a time from %" G_GINT64_FORMAT " to %" G_GINT64_FORMAT
            " in ms, or with a unit, such as 1500ms or 2.5s",
            kind->min, kind->max);
    }
}

static bool
parse_decimal(const char *value, double *number)
{
    char *end = NULL;
    *number = g_ascii_strtod(value, &end);
    return end != value && *end == '\0' && isfinite(*number);
}

static void
check_decimal(const char *value, const struct setting_kind *kind,
              GString *fault)
{
    double number;
    if (!parse_decimal(value, &number) || number < (double)kind->min ||
        number > (double)kind->max)
    {
        g_string_append_printf(fault,
                               "write a number from %" G_GINT64_FORMAT
                               " to %" G_GINT64_FORMAT ", such as 0.2",
                               kind->min, kind->max);
    }
}

static void
check_choice(const char *value, const struct setting_kind *kind,
             GString *fault)
{
    char **choices = g_strsplit(kind->choices, "|", -1);
    if (!g_strv_contains((const gchar *const *)choices, value)) {
        g_string_append_printf(fault, "choose one of %s", kind->choices);
    }
    g_strfreev(choices);
}

/* clang-format off */
#define NAME {.check = check_name}
#define ADDRESS {.check = check_address}
#define ADDRESS_LIST {.check = check_address_list}
#define FILE_LIST {.check = check_file_list}
#define URL {.check = check_url}
#define HEX_KEY {.check = check_hex_key}
#define CURVE_KEY {.check = check_curve_key}
#define CURVE_KEY_LIST {.check = check_curve_key_list}
#define NUMBER(from, to) \
    {.check = check_number, .min = (from), .max = (to)}
#define TIME(from, to) \
    {.check = check_time, .min = (from), .max = (to)}
#define DECIMAL(from, to) \
    {.check = check_decimal, .min = (from), .max = (to)}
#define CHOICE(list) {.check = check_choice, .choices = (list)}
/* clang-format on */

static const struct setting_entry entries[RP_SETTING_COUNT] = {
#define RP_SETTING(identifier, flag, kind, fallback, flags, help)             \
    {flag, fallback, help, flags, kind},
#include "setting_list.h"
#undef RP_SETTING
};

/* Creates settings with their defaults. Free them with rp_settings_free. */
struct rp_settings *
rp_settings_new(void)
{
    struct rp_settings *settings = g_new0(struct rp_settings, 1);
    for (int i = 0; i < RP_SETTING_COUNT; i++) {
        settings->text[i] = g_strdup(entries[i].fallback);
    }
    return settings;
}

/* Frees settings; NULL is allowed. */
void
rp_settings_free(struct rp_settings *settings)
{
    if (settings == NULL) {
        return;
    }
    for (int i = 0; i < RP_SETTING_COUNT; i++) {
        g_free(settings->text[i]);
    }
    g_free(settings);
}

/* Returns the flag of a setting without its leading dashes. */
const char *
rp_setting_flag(enum rp_setting setting)
{
    return entries[setting].flag;
}

/* Returns the one-line help text of a setting. */
const char *
rp_setting_help(enum rp_setting setting)
{
    return entries[setting].help;
}

/* Returns the environment variable of a setting; the caller frees it. */
char *
rp_setting_environment_name(enum rp_setting setting)
{
    char *upper = g_ascii_strup(entries[setting].flag, -1);
    g_strdelimit(upper, "-", '_');
    char *name = g_strconcat(RP_SETTING_ENVIRONMENT_PREFIX, upper, NULL);
    g_free(upper);
    return name;
}

static void
set_value(struct rp_settings *settings, enum rp_setting setting,
          const char *value, enum rp_setting_origin origin)
{
    /* A platform that fills in the environment leaves a variable empty where
     * it has no value; the setting is then unchanged. */
    if (value[0] == '\0' && entries[setting].fallback != NULL) {
        return;
    }
    g_free(settings->text[setting]);
    settings->text[setting] = g_strdup(value);
    settings->origin[setting] = origin;
}

/* Applies the environment variables that are set. get returns the value of a
 * variable or NULL. Settings already given as flags are not changed. */
void
rp_settings_read_environment(struct rp_settings *settings,
                             const char *(*get)(const char *name, void *data),
                             void *data)
{
    for (int i = 0; i < RP_SETTING_COUNT; i++) {
        char *name = rp_setting_environment_name(i);
        const char *value = get(name, data);
        g_free(name);
        if (value != NULL && settings->origin[i] != RP_SETTING_FROM_FLAG) {
            set_value(settings, i, value, RP_SETTING_FROM_ENVIRONMENT);
        }
    }
}

/* Sets a value given as a flag, which takes precedence over the
 * environment. */
void
rp_settings_set_flag(struct rp_settings *settings, enum rp_setting setting,
                     const char *value)
{
    set_value(settings, setting, value, RP_SETTING_FROM_FLAG);
}

static void
add_fault(GString *faults, enum rp_setting setting, const char *value,
          const char *remedy)
{
    char *environment = rp_setting_environment_name(setting);
    bool secret = entries[setting].flags & RP_SETTING_SECRET;
    if (value == NULL) {
        g_string_append_printf(faults, "\n  --%s (%s) is not set: %s",
                               entries[setting].flag, environment,
                               entries[setting].help);
    }
    else {
        g_string_append_printf(faults, "\n  --%s (%s) is '%.64s': %s",
                               entries[setting].flag, environment,
                               secret ? "(secret)" : value, remedy);
    }
    g_free(environment);
}

static void
check_key_pair(const struct rp_settings *settings, GString *faults)
{
    bool has_public = settings->text[RP_SETTING_PEER_PUBLIC_KEY][0] != '\0';
    bool has_secret = settings->text[RP_SETTING_PEER_SECRET_KEY][0] != '\0';
    if (has_public == has_secret) {
        return;
    }
    g_string_append_printf(faults,
                           "\n  --%s is missing: set both keys of the pair, "
                           "or neither",
                           has_public ? "peer-secret-key" : "peer-public-key");
}

/* Checks all settings together. Returns false with RP_ERROR_SETTING set; its
 * message lists every fault with its remedy, one per line. */
bool
rp_settings_check(struct rp_settings *settings, GError **error)
{
    GString *faults = g_string_new(NULL);
    GString *remedy = g_string_new(NULL);
    for (int i = 0; i < RP_SETTING_COUNT; i++) {
        const char *value = settings->text[i];
        bool required = entries[i].flags & RP_SETTING_REQUIRED;
        if (value == NULL || value[0] == '\0') {
            if (required) {
                add_fault(faults, i, NULL, NULL);
            }
            continue;
        }
        g_string_truncate(remedy, 0);
        entries[i].kind.check(value, &entries[i].kind, remedy);
        if (remedy->len > 0) {
            add_fault(faults, i, value, remedy->str);
        }
    }
    check_key_pair(settings, faults);
    bool valid = faults->len == 0;
    if (!valid) {
        g_set_error(error, RP_ERROR, RP_ERROR_SETTING,
                    "these settings cannot be used:%s", faults->str);
    }
    g_string_free(faults, TRUE);
    g_string_free(remedy, TRUE);
    return valid;
}

/* Returns the text of a setting, which the settings own; "" or NULL when it is
 * not set. */
const char *
rp_settings_text(const struct rp_settings *settings, enum rp_setting setting)
{
    return settings->text[setting];
}

/* Returns the value of a number, or of a time in milliseconds, that
 * rp_settings_check has accepted. */
int64_t
rp_settings_number(const struct rp_settings *settings, enum rp_setting setting)
{
    int64_t number = 0;
    if (!rp_time_parse(settings->text[setting], "ms", &number)) {
        return g_ascii_strtoll(settings->text[setting], NULL, 10);
    }
    return number;
}

/* Returns a decimal number that rp_settings_check has accepted. */
double
rp_settings_decimal(const struct rp_settings *settings,
                    enum rp_setting setting)
{
    return g_ascii_strtod(settings->text[setting], NULL);
}

/* Appends every setting with its value and origin; secrets are hidden. */
void
rp_settings_print(const struct rp_settings *settings, GString *out)
{
    static const char *const origins[] = {"default", "environment", "flag"};
    for (int i = 0; i < RP_SETTING_COUNT; i++) {
        const char *value = settings->text[i] == NULL ? "" : settings->text[i];
        bool hidden =
            (entries[i].flags & RP_SETTING_SECRET) && value[0] != '\0';
        g_string_append_printf(out, "%-18s %-24s %s\n", entries[i].flag,
                               hidden ? "(secret)" : value,
                               origins[settings->origin[i]]);
    }
}
