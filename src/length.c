#include "length.h"

#include <math.h>
#include <string.h>

#define MEAN_WEIGHT (1.0 / 16)
#define MEDIAN_STEP 0.02
/* A kind is long when its mean is this multiple of the median of all calls.
 * The mean of exponential times is 1.4 times their median, that of lognormal
 * ones with a sigma of 1.2 twice. */
#define LONG_RATIO 8.0
#define LEAST_SAMPLES 3

/* Starts without knowledge: every kind counts as short. */
void
rp_length_init(struct rp_length *length)
{
    memset(length, 0, sizeof(*length));
}

/* Takes note of how long a call of a kind took at the target. A new kind
 * displaces an old one with the same place in the table, which is then
 * learned again when it returns. */
void
rp_length_note(struct rp_length *length, uint64_t kind, int64_t duration_ns)
{
    double duration = fmax((double)duration_ns, 1);
    if (length->median_ns <= 0) {
        length->median_ns = duration;
    }
    length->median_ns *=
        duration > length->median_ns ? 1 + MEDIAN_STEP : 1 - MEDIAN_STEP;
    uint32_t slot = kind % RP_LENGTH_KINDS;
    if (length->kinds[slot].kind != kind || length->kinds[slot].samples == 0) {
        length->kinds[slot].kind = kind;
        length->kinds[slot].mean_ns = duration;
        length->kinds[slot].samples = 1;
        return;
    }
    length->kinds[slot].mean_ns +=
        MEAN_WEIGHT * (duration - length->kinds[slot].mean_ns);
    if (length->kinds[slot].samples < LEAST_SAMPLES) {
        length->kinds[slot].samples++;
    }
}

/* Returns whether calls of a kind run much longer than most. */
bool
rp_length_is_long(const struct rp_length *length, uint64_t kind)
{
    uint32_t slot = kind % RP_LENGTH_KINDS;
    return length->kinds[slot].kind == kind &&
           length->kinds[slot].samples >= LEAST_SAMPLES &&
           length->kinds[slot].mean_ns > LONG_RATIO * length->median_ns;
}

/* Returns the mean time of a kind in ns, or 0 when it is not known. */
double
rp_length_mean_ns(const struct rp_length *length, uint64_t kind)
{
    uint32_t slot = kind % RP_LENGTH_KINDS;
    return length->kinds[slot].kind == kind ? length->kinds[slot].mean_ns : 0;
}
