#include "context.h"

/* Number of events in the timeline, about 1.5 MB. */
#define EVENT_CAPACITY 4096

/* Creates the shared state of one entry process. The identity is copied; the
 * seed makes random choices repeatable. Free it with rp_context_free. */
struct rp_context *
rp_context_new(const struct rp_identity *identity, uint32_t seed)
{
    struct rp_context *context = g_new0(struct rp_context, 1);
    context->identity = *identity;
    context->histograms = rp_histograms_new();
    context->events = rp_event_ring_new(EVENT_CAPACITY);
    context->random = g_rand_new_with_seed(seed);
    return context;
}

/* Frees the shared state; NULL is allowed. */
void
rp_context_free(struct rp_context *context)
{
    if (context == NULL) {
        return;
    }
    rp_histograms_free(context->histograms);
    rp_event_ring_free(context->events);
    g_rand_free(context->random);
    g_free(context);
}
