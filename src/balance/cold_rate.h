#ifndef RP_COLD_RATE_H
#define RP_COLD_RATE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "member.h"

/* Decides whether this entry VM may send a call to a cold target now. The call
 * rate of the target is divided without messages: a few entry VMs, chosen by
 * rendezvous hashing, may send to it, each at its part of the rate. Uses no
 * clock, socket or log. */

/* All entry VMs together send a cold target at most calls_per_s * overage +
 * slack calls in any second. No limit if calls_per_s or overage is 0. */
struct rp_cold_limit {
    double calls_per_s; /* that a cold target is meant to get */
    double overage;
    double slack;
};

/* An entry VM that may be chosen to send to cold targets. */
struct rp_cold_sender {
    uint64_t hash; /* of its id */
    char domain[RP_DOMAIN_BYTES];
    bool is_self;
};

/* What this entry VM knows of the fleet, for cold targets. */
struct rp_cold_fleet {
    GArray *senders;  /* of struct rp_cold_sender; NULL: no members known */
    double reachable; /* living part of all members, from 0 to 1 */
};

/* Per target. */
struct rp_cold_rate {
    int64_t entry_until_ns;  /* end of the cold time by the target's record */
    int64_t report_until_ns; /* the same by the target's latest report */
    int64_t reported_ns;     /* when it made that report */
    bool limited;            /* the service has a limit */
    double calls_per_s;      /* part of this entry VM; 0: may not send */
    double tokens;           /* as of updated_ns, 1 at most */
    int64_t updated_ns;
    uint64_t sent; /* calls sent while the target was cold */
};

#ifdef __cplusplus
extern "C" {
#endif

void rp_cold_fleet_set(struct rp_cold_fleet *fleet,
                       const struct rp_member_view *view, uint32_t fleet_size);
void rp_cold_fleet_clear(struct rp_cold_fleet *fleet);
bool rp_cold_limit_applies(const struct rp_cold_limit *limit);
double rp_cold_fleet_part(const struct rp_cold_fleet *fleet,
                          const struct rp_cold_limit *limit,
                          const char *domain, uint64_t run);

void rp_cold_rate_set_part(struct rp_cold_rate *rate, double calls_per_s,
                           int64_t now_ns);
void rp_cold_rate_record_entry(struct rp_cold_rate *rate, int64_t remaining_ms,
                               int64_t now_ns);
void rp_cold_rate_record_report(struct rp_cold_rate *rate,
                                int64_t remaining_ms, int64_t reported_ns);
int64_t rp_cold_rate_remaining_ns(const struct rp_cold_rate *rate,
                                  int64_t now_ns);
int64_t rp_cold_rate_turn_ns(const struct rp_cold_rate *rate);
bool rp_cold_rate_consume(struct rp_cold_rate *rate, int64_t now_ns);

#ifdef __cplusplus
}
#endif

#endif
