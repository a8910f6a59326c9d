#include "length.h"

#include <math.h>
#include <string.h>

#define MEAN_WEIGHT (1.0 / 16)
/* The median moves by large steps at first, so that it does not stay near a
 * first answer that was short by chance. */
#define FIRST_STEP 0.5
#define STEP_FALL 0.9
#define LEAST_STEP 0.02
/* A kind is long when its mean is this multiple of the median of all calls.
 * The mean of exponential times is 1.4 times their median, that of lognormal
 * ones with a sigma of 1.2 twice. */
#define LONG_RATIO 8.0
/* A long kind stays long down to this multiple. */
#define SHORT_RATIO 4.0
/* The first answers of a long kind are those of its shortest calls. */
#define LEAST_SAMPLES 16
#define KNOWN_WEIGHT (1.0 / 64)
/* Unknown kinds are held to be long only while most kinds are known: where
 * each call is a kind of its own, nothing can be learned. */
#define LEAST_KNOWN 0.5

/* Starts without knowledge. */
void
rp_length_init(struct rp_length *length)
{
    memset(length, 0, sizeof(*length));
    length->known = 1;
    length->step = FIRST_STEP;
}

static void
judge(struct rp_length *length, uint32_t slot)
{
    double ratio = length->kinds[slot].is_long ? SHORT_RATIO : LONG_RATIO;
    length->kinds[slot].is_long =
        length->kinds[slot].samples >= LEAST_SAMPLES &&
        length->kinds[slot].mean_ns > ratio * length->median_ns;
}

/* Takes note of how long a call of a kind took at the target. waited tells
 * that calls queued there: once the kind is known, such answers tell nothing,
 * as short calls take long then. A new kind displaces an old one with the
 * same place in the table, which is learned again when it returns. */
void
rp_length_record(struct rp_length *length, uint64_t kind, int64_t duration_ns,
                 bool waited)
{
    double duration = fmax((double)duration_ns, 1);
    uint32_t slot = kind % RP_LENGTH_KINDS;
    bool known =
        length->kinds[slot].kind == kind && length->kinds[slot].samples > 0;
    length->known += KNOWN_WEIGHT * ((known ? 1 : 0) - length->known);
    if (known && waited && length->kinds[slot].samples >= LEAST_SAMPLES) {
        return;
    }
    if (length->median_ns <= 0) {
        length->median_ns = duration;
    }
    length->median_ns *=
        duration > length->median_ns ? 1 + length->step : 1 - length->step;
    length->step = fmax(length->step * STEP_FALL, LEAST_STEP);
    if (!known) {
        length->kinds[slot].kind = kind;
        length->kinds[slot].mean_ns = 0;
        length->kinds[slot].samples = 0;
        length->kinds[slot].is_long = false;
    }
    if (length->kinds[slot].samples < LEAST_SAMPLES) {
        length->kinds[slot].samples++;
    }
    length->kinds[slot].mean_ns +=
        fmax(MEAN_WEIGHT, 1.0 / length->kinds[slot].samples) *
        (duration - length->kinds[slot].mean_ns);
    judge(length, slot);
}

/* Returns whether calls of a kind are known to run much longer than most. */
bool
rp_length_is_long(const struct rp_length *length, uint64_t kind)
{
    uint32_t slot = kind % RP_LENGTH_KINDS;
    return length->kinds[slot].kind == kind && length->kinds[slot].is_long;
}

/* Returns whether calls of a kind are long or not known yet. New long calls
 * would otherwise take all slots before the first of them has ended. */
bool
rp_length_may_be_long(const struct rp_length *length, uint64_t kind)
{
    uint32_t slot = kind % RP_LENGTH_KINDS;
    if (length->kinds[slot].kind == kind &&
        length->kinds[slot].samples >= LEAST_SAMPLES)
    {
        return length->kinds[slot].is_long;
    }
    return length->known >= LEAST_KNOWN;
}
