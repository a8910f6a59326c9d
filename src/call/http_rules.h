#ifndef RP_HTTP_RULES_H
#define RP_HTTP_RULES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define RP_HTTP_MAX_HEADER_BYTES 32768

/* Framing information from the header fields of one message. Zero it before
 * the first field; the strings are borrowed. */
struct rp_http_framing {
    uint32_t field_bytes;
    uint32_t max_field_bytes; /* for all fields; 0 for the default */
    uint32_t host_count;
    uint32_t content_length_count;
    uint32_t transfer_encoding_count;
    uint32_t connection_count;
    uint64_t content_length;
    bool malformed;
    bool length_malformed;
    bool chunked; /* the only transfer coding is "chunked" */
    bool trailer;
    bool expect_continue;
    bool expect_other;
    const char *connection;
};

/* Why a message is refused. */
enum rp_http_fault {
    RP_HTTP_NO_FAULT,
    RP_HTTP_MALFORMED_FIELD,
    RP_HTTP_HEADER_TOO_LARGE,
    RP_HTTP_FRAMING,
    RP_HTTP_HOST,
    RP_HTTP_TRAILER,
    RP_HTTP_EXPECTATION,
    RP_HTTP_UNDELIMITED,
};

#ifdef __cplusplus
extern "C" {
#endif

void rp_http_record_field(struct rp_http_framing *framing, const char *name,
                          size_t name_bytes, const char *value,
                          size_t value_bytes);
enum rp_http_fault rp_http_check_request(const struct rp_http_framing *framing,
                                         bool version_1_1);
enum rp_http_fault rp_http_check_answer(const struct rp_http_framing *framing,
                                        uint32_t status, bool head,
                                        bool may_end_with_connection);
uint32_t rp_http_fault_status(enum rp_http_fault fault);
const char *rp_http_fault_text(enum rp_http_fault fault);

uint32_t rp_http_method_flag(const char *method);
bool rp_http_method_valid(const char *method);
bool rp_http_target_valid(const char *target);
bool rp_http_is_hop_by_hop(const struct rp_http_framing *framing,
                           const char *name);
bool rp_http_is_rp_field(const char *name);
bool rp_http_parse_number(const char *text, uint64_t max, uint64_t *number);
uint32_t rp_http_parse_status(const char *line);
bool rp_http_request_id_valid(const char *text);

#ifdef __cplusplus
}
#endif

#endif
