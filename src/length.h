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
    } kinds[RP_LENGTH_KINDS];
    double median_ns; /* of all answers */
};

#ifdef __cplusplus
extern "C" {
#endif

void rp_length_init(struct rp_length *length);
void rp_length_note(struct rp_length *length, uint64_t kind,
                    int64_t duration_ns);
bool rp_length_is_long(const struct rp_length *length, uint64_t kind);
double rp_length_mean_ns(const struct rp_length *length, uint64_t kind);

#ifdef __cplusplus
}
#endif

#endif
