#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bench.h"

/* Bounds from docs/design.md: the table of bench targets, and the recovery
 * time in the part on admission. */
/* p99 to that of SIM_ALL_KNOWING when targets are equal. */
#define MAX_EQUAL_RATIO 1.03
#define MAX_EQUAL_RATIO_FULL 1.05
#define FULL_LOAD 0.95
/* p99 above that of SIM_ALL_KNOWING to the same of the best simple policy. */
#define MAX_EXCESS_FRACTION 0.5
/* p99 to that of the best simple policy. */
#define MAX_SIMPLE_RATIO 1.02
/* p99 of short calls to that without maps. */
#define MAX_SHORT_RATIO 1.10
#define MIN_GOODPUT 0.95
#define MAX_RECOVERY_MS 1000
#define MAX_PROBES_PER_CALL 0.01
/* Calls that are refused or failed beside a target that fails each request at
 * once, up to this load. */
#define MAX_UNSERVED_PER_CALL 0.01
#define FAST_FAILURE_LOAD 0.7
#define MAX_EXTRA_ATTEMPTS_PER_CALL 0.05

#define P99_QUANTILE 0.99

/* Prefix of a line of KNOWN-RED.txt that lists a missed bound. */
#define KNOWN_PREFIX "rp-bench --check: "

struct check {
    const char *known; /* contents of KNOWN-RED.txt, NULL for none */
    uint32_t met_count, known_missed_count, missed_count;
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
check_bound(struct check *check, const struct bench_cell *cell,
            const char *bound, double value, double max)
{
    char *key =
        g_strdup_printf(KNOWN_PREFIX "%s %s %s", cell->deployment->name,
                        cell->regime->name, bound);
    bool holds = value <= max;
    bool known = is_known(check, key);
    check->met_count += holds;
    check->known_missed_count += !holds && known;
    check->missed_count += !holds && !known;
    const char *verdict = holds
                              ? known ? "holds (listed in KNOWN-RED)" : "holds"
                          : known ? "MISSED (known)"
                                  : "MISSED";
    printf("%s: %.4f, at most %.4f: %s\n", key, value, max, verdict);
    g_free(key);
}

static double
p99_ms(const struct bench_cell *cell, enum sim_policy policy)
{
    return sim_quantile(cell->results[policy]->all_ms, P99_QUANTILE);
}

static double
best_simple_p99_ms(const struct bench_cell *cell)
{
    double best = INFINITY;
    for (int policy = 0; policy < SIM_ALL_KNOWING; policy++) {
        best = fmin(best, p99_ms(cell, policy));
    }
    return best;
}

static void
check_latency(struct check *check, const struct bench_cell *cell)
{
    double balancer_ms = p99_ms(cell, SIM_BALANCER);
    double all_knowing_ms = p99_ms(cell, SIM_ALL_KNOWING);
    if (cell->regime->equal_targets) {
        double ratio = cell->regime->load >= FULL_LOAD ? MAX_EQUAL_RATIO_FULL
                                                       : MAX_EQUAL_RATIO;
        check_bound(check, cell, "p99-over-floor", balancer_ms,
                    all_knowing_ms * ratio);
        return;
    }
    double simple_ms = best_simple_p99_ms(cell);
    check_bound(check, cell, "p99-excess", balancer_ms,
                all_knowing_ms +
                    fmax(simple_ms - all_knowing_ms, 0) * MAX_EXCESS_FRACTION);
    check_bound(check, cell, "p99-best-simple", balancer_ms,
                simple_ms * MAX_SIMPLE_RATIO);
}

static void
check_overhead(struct check *check, const struct bench_cell *cell)
{
    const struct sim_result *result = cell->results[SIM_BALANCER];
    double calls = (double)result->calls;
    check_bound(check, cell, "probes", (double)result->probes / calls,
                MAX_PROBES_PER_CALL);
    if (cell->regime->fast_failure != RP_ATTEMPT_OK &&
        cell->regime->load <= FAST_FAILURE_LOAD)
    {
        check_bound(check, cell, "unserved",
                    (double)(result->refused + result->failed) / calls,
                    MAX_UNSERVED_PER_CALL);
    }
    if (cell->regime->equal_targets) {
        check_bound(check, cell, "retries-and-hedges",
                    (double)(result->retries + result->hedges) / calls,
                    MAX_EXTRA_ATTEMPTS_PER_CALL);
    }
}

static void
check_peak(struct check *check, const struct bench_cell *cell)
{
    const struct sim_result *result = cell->results[SIM_BALANCER];
    double goodput = (double)result->peak_answered / result->peak_capacity;
    check_bound(check, cell, "goodput-lost", 1 - goodput, 1 - MIN_GOODPUT);
    check_bound(check, cell, "answered-late", (double)result->late, 0);
    check_bound(check, cell, "recovery-ms", result->recovery_ms,
                MAX_RECOVERY_MS);
}

/* Compares short calls that run together with maps with the same short calls
 * alone. */
static void
check_short(struct check *check, const struct bench_cell *cells,
            uint32_t count, const struct bench_cell *mixed)
{
    for (uint32_t i = 0; i < count; i++) {
        if (cells[i].deployment == mixed->deployment &&
            cells[i].regime->load == mixed->regime->load &&
            cells[i].regime->long_fraction == -mixed->regime->long_fraction)
        {
            check_bound(check, mixed, "short-p99",
                        sim_quantile(mixed->results[SIM_BALANCER]->short_ms,
                                     P99_QUANTILE),
                        sim_quantile(cells[i].results[SIM_BALANCER]->short_ms,
                                     P99_QUANTILE) *
                            MAX_SHORT_RATIO);
        }
    }
}

/* Checks results against the bounds and prints each comparison. Returns
 * EXIT_SUCCESS when all missed bounds are listed in options->known_red, and
 * EXIT_FAILURE otherwise. */
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
        if (cells[i].regime->peak_factor > 0) {
            check_peak(&check, &cells[i]);
        }
        else if (!cells[i].regime->overload) {
            check_latency(&check, &cells[i]);
        }
        if (cells[i].regime->long_fraction > 0) {
            check_short(&check, cells, count, &cells[i]);
        }
        check_overhead(&check, &cells[i]);
    }
    printf("check: %u bounds hold, %u missed and known, %u missed\n",
           check.met_count, check.known_missed_count, check.missed_count);
    g_free(known);
    return check.missed_count == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
