#include "revision.h"

#include <glib.h>

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

/* Writes a revision for people: its counter, and its epoch if it has one. */
void
rp_revision_format(uint64_t revision, char text[RP_REVISION_TEXT_BYTES])
{
    uint64_t epoch = rp_revision_epoch(revision);
    if (epoch == 0) {
        g_snprintf(text, RP_REVISION_TEXT_BYTES, "%" G_GUINT64_FORMAT,
                   rp_revision_counter(revision));
        return;
    }
    g_snprintf(text, RP_REVISION_TEXT_BYTES,
               "%" G_GUINT64_FORMAT " of epoch %" G_GUINT64_FORMAT,
               rp_revision_counter(revision), epoch);
}
