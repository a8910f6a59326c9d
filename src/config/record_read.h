#ifndef RP_RECORD_READ_H
#define RP_RECORD_READ_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/* Reads JSON objects by tables of fields, for the record parser. Collects all
 * faults, so that an operator sees them at once. */

#define RP_READ_PLACE_BYTES 128

struct rp_reader {
    GPtrArray *faults; /* of char *, "place: fault; remedy" */
    /* Of char *, "place: what is used instead"; NULL until the first one. */
    GPtrArray *warnings;
    uint32_t limit; /* of the faults and of the warnings */
};

struct rp_field;

/* Reads one value into out. place is the path of the value, for faults. */
typedef void rp_field_read(struct rp_reader *reader, const char *place,
                           const json_t *value, const struct rp_field *field,
                           void *out);

struct rp_field {
    const char *name;
    rp_field_read *read;
    size_t offset; /* of the destination within the object's struct */
    int64_t min;   /* of an integer */
    int64_t max;   /* of an integer, or bytes of a string */
    uint32_t bit;  /* in the mask that rp_reader_object returns */
    bool required;
};

void rp_reader_fault(struct rp_reader *reader, const char *place,
                     const char *format, ...)
    __attribute__((format(printf, 3, 4)));
void rp_reader_warn(struct rp_reader *reader, const char *place,
                    const char *format, ...)
    __attribute__((format(printf, 3, 4)));
uint32_t rp_reader_object(struct rp_reader *reader, const char *place,
                          const json_t *object, const struct rp_field *fields,
                          size_t field_count, bool check_required, void *out);
void rp_read_integer(struct rp_reader *reader, const char *place,
                     const json_t *value, const struct rp_field *field,
                     void *out);
void rp_read_clamped(struct rp_reader *reader, const char *place,
                     const json_t *value, const struct rp_field *field,
                     void *out);
void rp_read_boolean(struct rp_reader *reader, const char *place,
                     const json_t *value, const struct rp_field *field,
                     void *out);
void rp_read_text(struct rp_reader *reader, const char *place,
                  const json_t *value, const struct rp_field *field,
                  void *out);
void rp_read_name(struct rp_reader *reader, const char *place,
                  const json_t *value, const struct rp_field *field,
                  void *out);
void rp_read_label(struct rp_reader *reader, const char *place,
                   const json_t *value, const struct rp_field *field,
                   void *out);
void rp_read_path(struct rp_reader *reader, const char *place,
                  const json_t *value, const struct rp_field *field,
                  void *out);
void rp_read_address(struct rp_reader *reader, const char *place,
                     const json_t *value, const struct rp_field *field,
                     void *out);
void rp_read_ignore(struct rp_reader *reader, const char *place,
                    const json_t *value, const struct rp_field *field,
                    void *out);

#endif
