#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bench.h"

/* The bounds of the table of bench targets in docs/design.md, and of the
 * recovery in its part on admission. */
#define EQUAL_RATIO 1.03
#define EQUAL_RATIO_FULL 1.05
#define FULL_LOAD 0.95
#define EXCESS_SHARE 0.5
#define WORSE_RATIO 1.02
#define SHORT_RATIO 1.10
#define LEAST_GOODPUT 0.95
#define MOST_RECOVERY_MS 1000
#define MOST_PROBES 0.01
#define MOST_FURTHER 0.05

#define P99 0.99

/* Prefix of a line of KNOWN-RED.txt that lists a missed bound. */
#define KNOWN_PREFIX "rp-bench --check: "

struct check {
    const char *known; /* contents of the file, NULL for none */
    uint32_t held, known_missed, missed;
};

static bool
is_known(const struct check *check, const char *key)
{
    if (check->known == NULL) {
        return false;
    }
    char **lines = g_strsplit(check->known, "\n", -1);
    bool found = false;
    for (char **line = lines; *line != NULL && !found; line++) {
        found = strcmp(g_strstrip(*line), key) == 0;
    }
    g_strfreev(lines);
    return found;
}

static void
compare(struct check *check, const struct bench_cell *cell, const char *bound,
        double figure, double most)
{
    char *key =
        g_strdup_printf(KNOWN_PREFIX "%s %s %s", cell->deployment->name,
                        cell->regime->name, bound);
    bool holds = figure <= most;
    bool known = is_known(check, key);
    check->held += holds;
    check->known_missed += !holds && known;
    check->missed += !holds && !known;
    const char *verdict = holds
                              ? known ? "holds (listed in KNOWN-RED)" : "holds"
                          : known ? "MISSED (known)"
                                  : "MISSED";
    printf("%s: %.4f, at most %.4f: %s\n", key, figure, most, verdict);
    g_free(key);
}

static double
p99(const struct bench_cell *cell, enum sim_policy policy)
{
    return sim_quantile(cell->results[policy]->all_ms, P99);
}

static double
best_simple(const struct bench_cell *cell)
{
    double best = INFINITY;
    for (int policy = 0; policy < SIM_ALL_KNOWING; policy++) {
        best = fmin(best, p99(cell, policy));
    }
    return best;
}

static void
check_latency(struct check *check, const struct bench_cell *cell)
{
    double own = p99(cell, SIM_BALANCER);
    double floor = p99(cell, SIM_ALL_KNOWING);
    if (cell->regime->equal) {
        double ratio =
            cell->regime->load >= FULL_LOAD ? EQUAL_RATIO_FULL : EQUAL_RATIO;
        compare(check, cell, "p99-over-floor", own, floor * ratio);
        return;
    }
    double simple = best_simple(cell);
    compare(check, cell, "p99-excess", own,
            floor + fmax(simple - floor, 0) * EXCESS_SHARE);
    compare(check, cell, "p99-best-simple", own, simple * WORSE_RATIO);
}

static void
check_costs(struct check *check, const struct bench_cell *cell)
{
    const struct sim_result *result = cell->results[SIM_BALANCER];
    double calls = (double)result->calls;
    compare(check, cell, "probes", (double)result->probes / calls,
            MOST_PROBES);
    if (cell->regime->equal) {
        compare(check, cell, "retries-and-hedges",
                (double)(result->retries + result->hedges) / calls,
                MOST_FURTHER);
    }
}

static void
check_crest(struct check *check, const struct bench_cell *cell)
{
    const struct sim_result *result = cell->results[SIM_BALANCER];
    double goodput = (double)result->crest_answered / result->crest_best;
    compare(check, cell, "goodput-lost", 1 - goodput, 1 - LEAST_GOODPUT);
    compare(check, cell, "answered-late", (double)result->late, 0);
    compare(check, cell, "recovery-ms", result->recovery_ms, MOST_RECOVERY_MS);
}

/* Short work beside maps against the same short calls alone. */
static void
check_short(struct check *check, const struct bench_cell *cells,
            uint32_t count, const struct bench_cell *mixed)
{
    for (uint32_t i = 0; i < count; i++) {
        if (cells[i].deployment == mixed->deployment &&
            cells[i].regime->load == mixed->regime->load &&
            cells[i].regime->long_share == -mixed->regime->long_share)
        {
            compare(
                check, mixed, "short-p99",
                sim_quantile(mixed->results[SIM_BALANCER]->short_ms, P99),
                sim_quantile(cells[i].results[SIM_BALANCER]->short_ms, P99) *
                    SHORT_RATIO);
        }
    }
}

/* Compares figures with the bounds and prints each comparison. Returns
 * EXIT_SUCCESS when all missed bounds are listed as known. */
int
bench_check(const struct bench_cell *cells, uint32_t count,
            const struct bench_options *options)
{
    struct check check = {0};
    char *known = NULL;
    if (options->known_red != NULL) {
        g_file_get_contents(options->known_red, &known, NULL, NULL);
    }
    check.known = known;
    for (uint32_t i = 0; i < count; i++) {
        if (cells[i].regime->crest > 0) {
            check_crest(&check, &cells[i]);
        }
        else if (!cells[i].regime->overload) {
            check_latency(&check, &cells[i]);
        }
        if (cells[i].regime->long_share > 0) {
            check_short(&check, cells, count, &cells[i]);
        }
        check_costs(&check, &cells[i]);
    }
    printf("check: %u bounds hold, %u missed and known, %u missed\n",
           check.held, check.known_missed, check.missed);
    g_free(known);
    return check.missed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
