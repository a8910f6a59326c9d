#include "length.h"

#include <math.h>
#include <string.h>

#define MEAN_WEIGHT (1.0 / 16)
/* The median moves by large steps at first, so that a short first call does
 * not hold it down. */
#define INITIAL_MEDIAN_STEP 0.5
#define MEDIAN_STEP_FACTOR 0.9
#define MIN_MEDIAN_STEP 0.02
/* A kind becomes long when its mean is this multiple of the median of all
 * calls. The mean of exponentially distributed times is 1.4 times their
 * median, that of lognormal ones with a sigma of 1.2 twice. */
#define LONG_RATIO 8.0
/* A long kind stays long down to this multiple. */
#define SHORT_AGAIN_RATIO 4.0
/* The first answers of a long kind come from its shortest calls. */
#define MIN_SAMPLES 16
#define KNOWN_WEIGHT (1.0 / 64)
/* Unknown kinds are treated as long only while at least this share of calls is
 * of known kinds: where every call has a kind of its own, the table is of no
 * use. */
#define MIN_KNOWN_RATIO 0.5

/* Initializes an empty table. */
void
rp_length_init(struct rp_length *length)
{
    memset(length, 0, sizeof(*length));
    length->known_ratio = 1;
    length->median_step = INITIAL_MEDIAN_STEP;
}

static void
classify(struct rp_length *length, uint32_t slot)
{
    double ratio =
        length->kinds[slot].is_long ? SHORT_AGAIN_RATIO : LONG_RATIO;
    length->kinds[slot].is_long =
        length->kinds[slot].samples >= MIN_SAMPLES &&
        length->kinds[slot].mean_ns > ratio * length->median_ns;
}

/* Records how long a call of a kind took at the target. waited: calls were
 * queued there. Such durations are ignored once the kind is known, because
 * short calls take long then. A new kind replaces an old one in the same slot
 * of the table. */
void
rp_length_record(struct rp_length *length, uint64_t kind, int64_t duration_ns,
                 bool waited)
{
    double duration = fmax((double)duration_ns, 1);
    uint32_t slot = kind % RP_LENGTH_KINDS;
    bool known =
        length->kinds[slot].kind == kind && length->kinds[slot].samples > 0;
    length->known_ratio +=
        KNOWN_WEIGHT * ((known ? 1 : 0) - length->known_ratio);
    if (known && waited && length->kinds[slot].samples >= MIN_SAMPLES) {
        return;
    }
    if (length->median_ns <= 0) {
        length->median_ns = duration;
    }
    length->median_ns *= duration > length->median_ns
                             ? 1 + length->median_step
                             : 1 - length->median_step;
    length->median_step =
        fmax(length->median_step * MEDIAN_STEP_FACTOR, MIN_MEDIAN_STEP);
    if (!known) {
        length->kinds[slot].kind = kind;
        length->kinds[slot].mean_ns = 0;
        length->kinds[slot].samples = 0;
        length->kinds[slot].is_long = false;
    }
    if (length->kinds[slot].samples < MIN_SAMPLES) {
        length->kinds[slot].samples++;
    }
    length->kinds[slot].mean_ns +=
        fmax(MEAN_WEIGHT, 1.0 / length->kinds[slot].samples) *
        (duration - length->kinds[slot].mean_ns);
    classify(length, slot);
}

/* Returns whether calls of a kind are known to run much longer than most. */
bool
rp_length_is_long(const struct rp_length *length, uint64_t kind)
{
    uint32_t slot = kind % RP_LENGTH_KINDS;
    return length->kinds[slot].kind == kind && length->kinds[slot].is_long;
}

/* Returns whether calls of a kind are long or the kind is not known yet.
 * Otherwise new long calls could take all slots before the first of them ends.
 */
bool
rp_length_may_be_long(const struct rp_length *length, uint64_t kind)
{
    uint32_t slot = kind % RP_LENGTH_KINDS;
    if (length->kinds[slot].kind == kind &&
        length->kinds[slot].samples >= MIN_SAMPLES)
    {
        return length->kinds[slot].is_long;
    }
    return length->known_ratio >= MIN_KNOWN_RATIO;
}
