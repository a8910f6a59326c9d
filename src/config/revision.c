#include "revision.h"

/* Returns the revision of a counter in an epoch, neither of which exceeds its
 * maximum. */
uint64_t
rp_revision_make(uint64_t epoch, uint64_t counter)
{
    return (epoch << RP_REVISION_COUNTER_BITS) | counter;
}

/* Returns the epoch of a revision; 0 on a platform without epochs. */
uint64_t
rp_revision_epoch(uint64_t revision)
{
    return revision >> RP_REVISION_COUNTER_BITS;
}

/* Returns the platform's counter of changes at a revision. */
uint64_t
rp_revision_counter(uint64_t revision)
{
    return revision & RP_REVISION_MAX_COUNTER;
}

/* Returns whether the counters of two revisions are comparable. */
bool
rp_revision_same_epoch(uint64_t a, uint64_t b)
{
    return rp_revision_epoch(a) == rp_revision_epoch(b);
}
