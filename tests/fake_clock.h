#ifndef FAKE_CLOCK_H
#define FAKE_CLOCK_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Virtual time. Events run in order of their time; events of the same time run
 * in the order in which they were scheduled, so that a run is repeatable. */
struct fake_clock;

#ifdef __cplusplus
extern "C" {
#endif

struct fake_clock *fake_clock_new(void);
void fake_clock_free(struct fake_clock *clock);
int64_t fake_clock_now_ns(const struct fake_clock *clock);
void fake_clock_schedule(struct fake_clock *clock, int64_t at_ns,
                         void (*run)(void *data, uint64_t number), void *data,
                         uint64_t number);
bool fake_clock_step(struct fake_clock *clock, int64_t end_ns);

#ifdef __cplusplus
}
#endif

#endif
