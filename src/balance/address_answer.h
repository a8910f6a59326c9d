#ifndef RP_ADDRESS_ANSWER_H
#define RP_ADDRESS_ANSWER_H

#include <stdbool.h>
#include <stdint.h>

/* Addresses in one answer. */
#define RP_ADDRESS_ANSWER_COUNT 4
/* Addresses that callers of one failure domain get where there are so many, so
 * that the loss of one entry VM leaves them another. */
#define RP_ADDRESS_LEAST 2

enum rp_address_state {
    RP_ADDRESS_SERVING,
    RP_ADDRESS_PROVISIONAL, /* on an unconfirmed configuration: last */
    RP_ADDRESS_SUSPECT,     /* silent: only when nothing else is left */
    RP_ADDRESS_UNUSABLE,    /* leaving, dead or not ready: never named */
};

/* An entry VM as address answers see it. The strings are borrowed. */
struct rp_address_member {
    const char *id;
    const char *address; /* for callers, "ip:port" */
    const char *domain;
    const char *ticket; /* prefix issued by that VM; "" when unknown */
    enum rp_address_state state;
    uint64_t incarnation;
    uint32_t load_permille;
    uint32_t capacity_permille; /* of a core; 0: not told */
};

/* What one answer is made from. */
struct rp_address_query {
    const char *service;
    const char *domain; /* of the caller; "" when it named none */
    const struct rp_address_member *members;
    uint32_t member_count;
    uint32_t subset; /* entry VMs that serve a service at present */
    uint32_t ttl_ms;
    uint64_t digest; /* of the configuration in force */
    uint64_t revision;
    uint64_t random; /* spreads callers over equal addresses */
};

#ifdef __cplusplus
extern "C" {
#endif

uint32_t rp_address_answer_pick(const struct rp_address_query *question,
                                uint32_t picked[RP_ADDRESS_ANSWER_COUNT]);
uint32_t rp_address_nearest(const struct rp_address_member *members,
                            uint32_t member_count, const char *name,
                            const char *domain, uint32_t *picked,
                            uint32_t most);
char *rp_address_answer_format(const struct rp_address_query *question);

#ifdef __cplusplus
}
#endif

#endif
