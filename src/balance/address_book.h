#ifndef RP_ADDRESS_BOOK_H
#define RP_ADDRESS_BOOK_H

#include <stdbool.h>
#include <stdint.h>

#include "address_answer.h"
#include "context.h"
#include "kernel.h"

/* What one task knows of the entry VMs that callers may use: members and
 * configuration by message, decisions by address_answer.c. */
struct rp_address_book;

/* An answer to a question for addresses. */
struct rp_address_reply {
    uint32_t status;
    char *body;         /* JSON, of malloc; NULL with a status that refuses */
    const char *reason; /* with a status that refuses */
    uint32_t max_age_s;
};

#ifdef __cplusplus
extern "C" {
#endif

struct rp_address_book *rp_address_book_new(struct rp_context *context,
                                            uint32_t ttl_ms, int64_t now_ns);
uint32_t rp_address_book_ttl_ms(const struct rp_address_book *book,
                                int64_t now_ns);
void rp_address_book_free(struct rp_address_book *book);
void rp_address_book_handle_message(struct rp_address_book *book,
                                    const struct rp_message *message);
bool rp_address_book_ready(const struct rp_address_book *book);
uint32_t rp_address_book_list(struct rp_address_book *book, const char *name,
                              const char *domain, const char **addresses,
                              uint32_t most, int64_t now_ns);
void rp_address_book_answer(struct rp_address_book *book, const char *target,
                            int64_t now_ns, struct rp_address_reply *reply);

#ifdef __cplusplus
}
#endif

#endif
