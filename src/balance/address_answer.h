#ifndef RP_ADDRESS_ANSWER_H
#define RP_ADDRESS_ANSWER_H

#include <stdbool.h>
#include <stdint.h>

/* Maximum number of addresses in one answer. */
#define RP_ADDRESS_ANSWER_COUNT 4
/* Minimum number of addresses for callers of one failure domain, if there are
 * so many: they have another one after the loss of an entry VM. */
#define RP_ADDRESS_MIN_COUNT 2

enum rp_address_state {
    RP_ADDRESS_SERVING,
    RP_ADDRESS_PROVISIONAL, /* on an unconfirmed configuration: ranked last */
    RP_ADDRESS_SUSPECT,     /* not responding: used only without others */
    RP_ADDRESS_UNUSABLE,    /* leaving, dead or not ready: never listed */
};

/* An entry VM as a candidate for address answers. The strings are borrowed. */
struct rp_address_member {
    const char *id;
    const char *address; /* for callers, "ip:port" */
    const char *domain;
    const char *ticket; /* prefix issued by that VM; "" when unknown */
    enum rp_address_state state;
    uint64_t incarnation;
    uint32_t load_permille;
    uint32_t capacity_permille; /* of a core; 0: unknown */
};

/* Input of one answer. */
struct rp_address_query {
    const char *service;
    const char *domain; /* of the caller; "" when unknown */
    const struct rp_address_member *members;
    uint32_t member_count;
    uint32_t subset; /* number of entry VMs that serve the service */
    uint32_t ttl_ms;
    uint64_t digest; /* of the configuration in force */
    uint64_t revision;
    uint64_t random; /* spreads callers over equal addresses */
};

#ifdef __cplusplus
extern "C" {
#endif

uint32_t rp_address_answer_pick(const struct rp_address_query *query,
                                uint32_t picked[RP_ADDRESS_ANSWER_COUNT]);
uint32_t rp_address_nearest(const struct rp_address_member *members,
                            uint32_t member_count, const char *name,
                            const char *domain, uint32_t *picked,
                            uint32_t max_count);
char *rp_address_answer_format(const struct rp_address_query *query);

#ifdef __cplusplus
}
#endif

#endif
