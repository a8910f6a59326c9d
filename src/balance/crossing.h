#ifndef RP_CROSSING_H
#define RP_CROSSING_H

#include <stdbool.h>
#include <stdint.h>

/* Decides for one entry VM and one service which calls may leave the failure
 * domain. Uses no clock, socket or log. */

#define RP_CROSSING_MAX_DOMAINS 10
/* The failure domain of this entry VM. */
#define RP_CROSSING_LOCAL UINT32_MAX

enum rp_crossing_reason {
    RP_CROSSING_NONE,       /* the target is local */
    RP_CROSSING_NO_LOCAL,   /* no local target may get calls */
    RP_CROSSING_LOCAL_FULL, /* none of them has room */
    RP_CROSSING_LOCAL_SLOW, /* those with room are slower */
    RP_CROSSING_REASON_COUNT
};

/* Reported use of the slots of a failure domain. */
struct rp_crossing_use {
    double recent; /* requests per slot, moving average */
    double usual;  /* the same over a longer time */
    int64_t report_ns;
    bool reported;
};

/* What may go to one remote failure domain. */
struct rp_crossing_domain {
    uint64_t name_hash;
    struct rp_crossing_use use;
    double share;  /* of this VM's calls that may go there, 0 to 1 */
    double credit; /* calls that may go there now */
};

struct rp_crossing {
    bool automatic; /* otherwise, calls cross by the fixed rule */
    struct rp_crossing_use local;
    double lost_ratio;      /* time lost locally / latency goal, average */
    int64_t lost_ns;        /* when it was last recorded */
    double rejection_ratio; /* of calls to local targets, moving average */
    int64_t rejection_ns;
    int64_t updated_ns; /* 0: never */
    struct rp_crossing_domain domains[RP_CROSSING_MAX_DOMAINS];
    uint32_t domain_count;
};

/* A call that could go to a remote target now. */
struct rp_crossing_call {
    int64_t waited_ns;  /* since it was offered */
    int64_t aim_ns;     /* latency goal; 0: unknown */
    int64_t penalty_ns; /* cost of its bytes */
    double local_ns;    /* expected time at the best local target */
    double remote_ns;   /* at the remote target, without the penalty */
};

#ifdef __cplusplus
extern "C" {
#endif

void rp_crossing_init(struct rp_crossing *crossing, bool automatic);
uint32_t rp_crossing_add_domain(struct rp_crossing *crossing,
                                uint64_t name_hash);
void rp_crossing_record_report(struct rp_crossing *crossing, uint32_t domain,
                               double requests, double slots, int64_t now_ns);
void rp_crossing_record_lost(struct rp_crossing *crossing, int64_t lost_ns,
                             int64_t aim_ns, int64_t now_ns);
void rp_crossing_record_local_answer(struct rp_crossing *crossing,
                                     bool rejected, int64_t now_ns);
void rp_crossing_record_call(struct rp_crossing *crossing, int64_t now_ns);
void rp_crossing_record_sent(struct rp_crossing *crossing, uint32_t domain);
bool rp_crossing_follows_fixed_rule(const struct rp_crossing *crossing,
                                    uint32_t domain, int64_t now_ns);
bool rp_crossing_allows(const struct rp_crossing *crossing, uint32_t domain,
                        bool has_local, int64_t now_ns);
int64_t rp_crossing_tolerance_ns(const struct rp_crossing *crossing,
                                 uint32_t domain, int64_t penalty_ns,
                                 int64_t aim_ns);
bool rp_crossing_is_worthwhile(const struct rp_crossing *crossing,
                               uint32_t domain,
                               const struct rp_crossing_call *call);
double rp_crossing_share(const struct rp_crossing *crossing);

#ifdef __cplusplus
}
#endif

#endif
