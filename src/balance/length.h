#ifndef RP_LENGTH_H
#define RP_LENGTH_H

#include <stdbool.h>
#include <stdint.h>

#define RP_LENGTH_KINDS 256

/* Learns which kinds of calls of a service run much longer than most. */
struct rp_length {
    struct {
        uint64_t kind;
        double mean_ns;
        uint32_t samples;
        bool is_long;
    } kinds[RP_LENGTH_KINDS];
    double median_ns; /* of all answers */
    double step;      /* by which the median moves for an answer */
    double known;     /* share of answers whose kind was known before */
};

#ifdef __cplusplus
extern "C" {
#endif

void rp_length_init(struct rp_length *length);
void rp_length_record(struct rp_length *length, uint64_t kind,
                      int64_t duration_ns, bool waited);
bool rp_length_may_be_long(const struct rp_length *length, uint64_t kind);
bool rp_length_is_long(const struct rp_length *length, uint64_t kind);

#ifdef __cplusplus
}
#endif

#endif
