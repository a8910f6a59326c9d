#include "counter.h"

struct counter_entry {
    const char *name;
    const char *help;
    enum rp_counter_kind kind;
};

static const struct counter_entry counter_entries[RP_COUNTER_COUNT] = {
#define RP_COUNTER(identifier, name, kind, help)                              \
    {name, help, RP_COUNTER_KIND_##kind},
#include "counter_list.h"
#undef RP_COUNTER
};

/* Adds an amount to a counter. */
void
rp_counter_add(struct rp_counters *counters, enum rp_counter counter,
               uint64_t amount)
{
    counters->value[counter] += amount;
}

/* Sets the current value of a gauge. */
void
rp_counter_set(struct rp_counters *counters, enum rp_counter counter,
               uint64_t value)
{
    counters->value[counter] = value;
}

/* Returns the current value of a counter or gauge. */
uint64_t
rp_counter_get(const struct rp_counters *counters, enum rp_counter counter)
{
    return counters->value[counter];
}

/* Returns the metric name without the prefix "rosemarypulley_". Its last word
 * before "_total" is the unit. */
const char *
rp_counter_name(enum rp_counter counter)
{
    return counter_entries[counter].name;
}

/* Returns the one-line help text. */
const char *
rp_counter_help(enum rp_counter counter)
{
    return counter_entries[counter].help;
}

/* Returns whether the value is a counter or a gauge. */
enum rp_counter_kind
rp_counter_kind(enum rp_counter counter)
{
    return counter_entries[counter].kind;
}

/* Appends all counters in the Prometheus text format. */
void
rp_counter_print(const struct rp_counters *counters, GString *out)
{
    for (int i = 0; i < RP_COUNTER_COUNT; i++) {
        const struct counter_entry *entry = &counter_entries[i];
        const char *kind =
            entry->kind == RP_COUNTER_KIND_GAUGE ? "gauge" : "counter";
        g_string_append_printf(out, "# HELP rosemarypulley_%s %s\n",
                               entry->name, entry->help);
        g_string_append_printf(out, "# TYPE rosemarypulley_%s %s\n",
                               entry->name, kind);
        g_string_append_printf(out,
                               "rosemarypulley_%s %" G_GUINT64_FORMAT "\n",
                               entry->name, counters->value[i]);
    }
}
