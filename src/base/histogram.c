#include "histogram.h"

#include <gsl/gsl_histogram.h>
#include <stdbool.h>

/* 51 services of the design size, two kinds and five results; later ones are
 * counted under the service "other". */
#define SERIES_LIMIT 512u
/* Upper bounds of the buckets in ms, of which the last holds all the rest:
 * three for each power of ten, from a call on an idle VM to a minute. */
static const double bounds_ms[] = {0,    1,     2,     5,     10,   20,
                                   50,   100,   200,   500,   1000, 2000,
                                   5000, 10000, 20000, 60000, 1e12};
#define BUCKETS (G_N_ELEMENTS(bounds_ms) - 1)

static const char *const result_names[RP_RESULT_COUNT] = {
    "answered", "target_error", "not_run", "unknown", "left"};

struct series {
    gsl_histogram *buckets;
    double sum_ms;
};

struct rp_histograms {
    GHashTable *series; /* struct series by label text */
};

static void
free_series(gpointer data)
{
    struct series *series = data;
    gsl_histogram_free(series->buckets);
    g_free(series);
}

/* Creates an empty set of histograms. Free it with rp_histograms_free. */
struct rp_histograms *
rp_histograms_new(void)
{
    struct rp_histograms *histograms = g_new0(struct rp_histograms, 1);
    histograms->series =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_series);
    return histograms;
}

/* Frees the histograms; NULL is allowed. */
void
rp_histograms_free(struct rp_histograms *histograms)
{
    if (histograms == NULL) {
        return;
    }
    g_hash_table_unref(histograms->series);
    g_free(histograms);
}

static struct series *
find_series(struct rp_histograms *histograms, const char *service,
            const char *kind, enum rp_call_result result)
{
    char labels[256];
    g_snprintf(labels, sizeof(labels),
               "service=\"%.100s\",kind=\"%s\",result=\"%s\"", service, kind,
               result_names[result]);
    struct series *series = g_hash_table_lookup(histograms->series, labels);
    if (series != NULL) {
        return series;
    }
    series = g_new0(struct series, 1);
    series->buckets = gsl_histogram_alloc(BUCKETS);
    gsl_histogram_set_ranges(series->buckets, bounds_ms, BUCKETS + 1);
    g_hash_table_insert(histograms->series, g_strdup(labels), series);
    return series;
}

/* Counts a call that ended latency_ns after it was received. kind tells apart
 * calls of one service and is a constant of the caller. */
void
rp_histograms_record(struct rp_histograms *histograms, const char *service,
                     const char *kind, enum rp_call_result result,
                     int64_t latency_ns)
{
    /* Services may come and go for as long as the process runs. */
    bool full = g_hash_table_size(histograms->series) >= SERIES_LIMIT;
    struct series *series =
        find_series(histograms, full ? "other" : service, kind, result);
    double latency_ms = (double)MAX(latency_ns, 0) / 1e6;
    gsl_histogram_increment(series->buckets, latency_ms);
    series->sum_ms += latency_ms;
}

static void
print_series(const char *labels, const struct series *series, GString *out)
{
    double count = 0;
    for (size_t i = 0; i < BUCKETS; i++) {
        count += gsl_histogram_get(series->buckets, i);
        if (i + 1 < BUCKETS) {
            g_string_append_printf(
                out, "rosemarypulley_call_ms_bucket{%s,le=\"%g\"} %.0f\n",
                labels, bounds_ms[i + 1], count);
        }
    }
    g_string_append_printf(
        out,
        "rosemarypulley_call_ms_bucket{%s,le=\"+Inf\"} %.0f\n"
        "rosemarypulley_call_ms_sum{%s} %.3f\n"
        "rosemarypulley_call_ms_count{%s} %.0f\n",
        labels, count, labels, series->sum_ms, labels, count);
}

/* Appends all histograms in the Prometheus text format. */
void
rp_histograms_print(const struct rp_histograms *histograms, GString *out)
{
    g_string_append(out,
                    "# HELP rosemarypulley_call_ms Time from the receipt of a "
                    "call to its end, in milliseconds\n"
                    "# TYPE rosemarypulley_call_ms histogram\n");
    GHashTableIter iterator;
    gpointer labels;
    gpointer series;
    g_hash_table_iter_init(&iterator, histograms->series);
    while (g_hash_table_iter_next(&iterator, &labels, &series)) {
        print_series(labels, series, out);
    }
}
