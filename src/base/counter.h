#ifndef RP_COUNTER_H
#define RP_COUNTER_H

#include <glib.h>
#include <stdint.h>

enum rp_counter {
#define RP_COUNTER(identifier, name, kind, help) RP_COUNTER_##identifier,
#include "counter_list.h"
#undef RP_COUNTER
    RP_COUNTER_COUNT
};

enum rp_counter_kind {
    RP_COUNTER_KIND_COUNTER, /* never decreases */
    RP_COUNTER_KIND_GAUGE,   /* current value */
};

struct rp_counters {
    uint64_t value[RP_COUNTER_COUNT];
};

#ifdef __cplusplus
extern "C" {
#endif

void rp_counter_add(struct rp_counters *counters, enum rp_counter counter,
                    uint64_t amount);
void rp_counter_set(struct rp_counters *counters, enum rp_counter counter,
                    uint64_t value);
uint64_t rp_counter_get(const struct rp_counters *counters,
                        enum rp_counter counter);
const char *rp_counter_name(enum rp_counter counter);
const char *rp_counter_help(enum rp_counter counter);
enum rp_counter_kind rp_counter_kind(enum rp_counter counter);
void rp_counter_print(const struct rp_counters *counters, GString *out);

#ifdef __cplusplus
}
#endif

#endif
