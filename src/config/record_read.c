#include "record_read.h"

#include <math.h>
#include <string.h>

#include "record.h"

#define MAX_NAME_BYTES RP_RECORD_MAX_LABEL_BYTES
#define LABEL_CHARACTERS                                                      \
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-"

static void add_text(const struct rp_reader *reader, GPtrArray *texts,
                     const char *place, const char *format, va_list arguments)
    __attribute__((format(printf, 4, 0)));

static void
add_text(const struct rp_reader *reader, GPtrArray *texts, const char *place,
         const char *format, va_list arguments)
{
    if (texts->len >= reader->limit) {
        return;
    }
    char *text = g_strdup_vprintf(format, arguments);
    g_ptr_array_add(
        texts, g_strdup_printf("%s: %s", place[0] ? place : "record", text));
    g_free(text);
}

/* Adds a fault. The formatted text contains the fault and then the remedy.
 * Faults above the limit are dropped. */
void
rp_reader_fault(struct rp_reader *reader, const char *place,
                const char *format, ...)
{
    va_list arguments;
    va_start(arguments, format);
    add_text(reader, reader->faults, place, format, arguments);
    va_end(arguments);
}

/* Adds a warning about a value that is used in another form. The formatted
 * text contains what is used. Warnings above the limit are dropped. */
void
rp_reader_warn(struct rp_reader *reader, const char *place, const char *format,
               ...)
{
    if (reader->warnings == NULL) {
        reader->warnings = g_ptr_array_new_with_free_func(g_free);
    }
    va_list arguments;
    va_start(arguments, format);
    add_text(reader, reader->warnings, place, format, arguments);
    va_end(arguments);
}

static const struct rp_field *
find_field(const struct rp_field *fields, size_t field_count, const char *name)
{
    for (size_t i = 0; i < field_count; i++) {
        if (strcmp(fields[i].name, name) == 0) {
            return &fields[i];
        }
    }
    return NULL;
}

static void
join_place(char *out, const char *place, const char *name)
{
    g_snprintf(out, RP_READ_PLACE_BYTES, "%s%s%.40s", place,
               place[0] == '\0' ? "" : ".", name);
}

/* Reads an object by a table of fields into the struct at out. Returns the
 * mask of the bits of the fields that the object has. Unknown fields are
 * faults, since most are misspelt; missing required fields are faults if
 * check_required is set. */
uint32_t
rp_reader_object(struct rp_reader *reader, const char *place,
                 const json_t *object, const struct rp_field *fields,
                 size_t field_count, bool check_required, void *out)
{
    char field_place[RP_READ_PLACE_BYTES];
    uint32_t present = 0;
    if (!json_is_object(object)) {
        rp_reader_fault(reader, place, "is not an object; write {...}");
        return 0;
    }
    const char *name;
    json_t *value;
    json_object_foreach((json_t *)object, name, value)
    {
        const struct rp_field *field = find_field(fields, field_count, name);
        join_place(field_place, place, name);
        if (field == NULL) {
            rp_reader_fault(reader, field_place,
                            "unknown field; remove it or correct its name "
                            "(docs/records.md lists them)");
            continue;
        }
        present |= field->bit;
        field->read(reader, field_place, value, field,
                    (char *)out + field->offset);
    }
    for (size_t i = 0; i < field_count && check_required; i++) {
        if (fields[i].required &&
            json_object_get(object, fields[i].name) == NULL) {
            join_place(field_place, place, fields[i].name);
            rp_reader_fault(reader, field_place, "is missing; add the field");
        }
    }
    return present;
}

/* Reads an integer between the field's min and max into an int64_t. */
void
rp_read_integer(struct rp_reader *reader, const char *place,
                const json_t *value, const struct rp_field *field, void *out)
{
    if (!json_is_integer(value) || json_integer_value(value) < field->min ||
        json_integer_value(value) > field->max)
    {
        rp_reader_fault(reader, place,
                        "must be an integer from %" G_GINT64_FORMAT
                        " to %" G_GINT64_FORMAT "; correct the value",
                        field->min, field->max);
        return;
    }
    *(int64_t *)out = json_integer_value(value);
}

/* Reads a number into an int64_t. A fraction is rounded down; a value outside
 * the field's range is replaced by the nearest bound, with a warning. */
void
rp_read_clamped(struct rp_reader *reader, const char *place,
                const json_t *value, const struct rp_field *field, void *out)
{
    if (!json_is_number(value)) {
        rp_reader_fault(reader, place, "must be a number; correct the value");
        return;
    }
    int64_t number;
    if (json_is_integer(value)) {
        number = CLAMP(json_integer_value(value), field->min, field->max);
    }
    else {
        number = (int64_t)CLAMP(floor(json_real_value(value)),
                                (double)field->min, (double)field->max);
    }
    *(int64_t *)out = number;
    if (json_number_value(value) < (double)field->min ||
        json_number_value(value) > (double)field->max)
    {
        rp_reader_warn(
            reader, place,
            "%g is outside of the range from %" G_GINT64_FORMAT
            " to %" G_GINT64_FORMAT "; %" G_GINT64_FORMAT " is used",
            json_number_value(value), field->min, field->max, number);
    }
}

/* Reads true or false into a bool. */
void
rp_read_boolean(struct rp_reader *reader, const char *place,
                const json_t *value, const struct rp_field *field, void *out)
{
    if (!json_is_boolean(value)) {
        rp_reader_fault(reader, place,
                        "must be true or false; correct the value");
        return;
    }
    *(bool *)out = json_is_true(value);
}

static bool
text_is_printable(const char *text)
{
    for (; *text != '\0'; text++) {
        if ((unsigned char)*text < 0x20 || *text == 0x7f) {
            return false;
        }
    }
    return true;
}

static void
replace_text(void *out, const char *text)
{
    char **destination = out;
    g_free(*destination);
    *destination = g_strdup(text);
}

/* Reads a string of at least min and at most max bytes without control
 * characters into a char *. */
void
rp_read_text(struct rp_reader *reader, const char *place, const json_t *value,
             const struct rp_field *field, void *out)
{
    const char *text = json_string_value(value);
    size_t bytes = text == NULL ? 0 : strlen(text);
    if (text == NULL || bytes < (size_t)field->min ||
        bytes > (size_t)field->max || !text_is_printable(text))
    {
        rp_reader_fault(reader, place,
                        "must be a string of %" G_GINT64_FORMAT
                        " to %" G_GINT64_FORMAT
                        " bytes without control characters; correct the value",
                        field->min, field->max);
        return;
    }
    replace_text(out, text);
}

static bool
text_is_name(const char *text)
{
    size_t bytes = strlen(text);
    return bytes >= 1 && bytes <= MAX_NAME_BYTES && g_ascii_isalnum(text[0]) &&
           strspn(text, "abcdefghijklmnopqrstuvwxyz0123456789._-") == bytes;
}

/* Reads a name, as used in keys and status pages, into a char *. */
void
rp_read_name(struct rp_reader *reader, const char *place, const json_t *value,
             const struct rp_field *field, void *out)
{
    const char *text = json_string_value(value);
    if (text == NULL || !text_is_name(text)) {
        rp_reader_fault(reader, place,
                        "must be a name of 1 to %d characters a-z 0-9 . _ - "
                        "that begins with a letter or digit; correct the "
                        "value",
                        MAX_NAME_BYTES);
        return;
    }
    replace_text(out, text);
}

/* Returns whether a text may name a service, route or target in a record of
 * schema 3. */
bool
rp_record_is_label(const char *text)
{
    size_t bytes = strlen(text);
    return bytes >= 1 && bytes <= RP_RECORD_MAX_LABEL_BYTES &&
           strspn(text, LABEL_CHARACTERS) == bytes;
}

/* Reads a label of schema 3 into a char *: a name that may have capitals and
 * begin with any character, since other programs choose it. */
void
rp_read_label(struct rp_reader *reader, const char *place, const json_t *value,
              const struct rp_field *field, void *out)
{
    const char *text = json_string_value(value);
    if (text == NULL || !rp_record_is_label(text)) {
        rp_reader_fault(reader, place,
                        "must be a name of 1 to %d characters a-z A-Z 0-9 . _ "
                        "-; correct the value",
                        RP_RECORD_MAX_LABEL_BYTES);
        return;
    }
    replace_text(out, text);
}

/* Reads an absolute URL path into a char *. */
void
rp_read_path(struct rp_reader *reader, const char *place, const json_t *value,
             const struct rp_field *field, void *out)
{
    const char *text = json_string_value(value);
    if (text == NULL || text[0] != '/' || strlen(text) > (size_t)field->max ||
        !text_is_printable(text) || strpbrk(text, " ?#\\\"") != NULL)
    {
        rp_reader_fault(reader, place,
                        "must be a path of at most %" G_GINT64_FORMAT
                        " bytes that begins with / and has no space, ?, # "
                        "or \\; correct the value",
                        field->max);
        return;
    }
    replace_text(out, text);
}

/* Returns whether a text is "ip:port" or "[ipv6]:port". */
bool
rp_record_is_address(const char *text)
{
    const char *colon = strrchr(text, ':');
    guint64 port;
    if (colon == NULL || colon == text || colon - text > 41 ||
        !g_ascii_string_to_unsigned(colon + 1, 10, 1, 65535, &port, NULL))
    {
        return false;
    }
    char host[48];
    memcpy(host, text, (size_t)(colon - text));
    host[colon - text] = '\0';
    size_t bytes = strlen(host);
    if (host[0] == '[') {
        if (host[bytes - 1] != ']') {
            return false;
        }
        host[bytes - 1] = '\0';
        return strchr(host, ':') != NULL && g_hostname_is_ip_address(host + 1);
    }
    return strchr(host, ':') == NULL && g_hostname_is_ip_address(host);
}

/* Reads "ip:port" or "[ipv6]:port" into a char *. Host names are refused,
 * since they are never resolved. */
void
rp_read_address(struct rp_reader *reader, const char *place,
                const json_t *value, const struct rp_field *field, void *out)
{
    const char *text = json_string_value(value);
    if (text == NULL || !rp_record_is_address(text)) {
        rp_reader_fault(reader, place,
                        "'%.60s' is not an IP number and port; write "
                        "\"10.0.0.1:8080\" or \"[fd00::1]:8080\"",
                        text == NULL ? "" : text);
        return;
    }
    replace_text(out, text);
}

/* Accepts any value; for fields that are read elsewhere. */
void
rp_read_ignore(struct rp_reader *reader, const char *place,
               const json_t *value, const struct rp_field *field, void *out)
{
}
