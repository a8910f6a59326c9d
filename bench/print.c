#include <stdio.h>

#include "bench.h"

static double
share(uint64_t part, uint64_t whole)
{
    return whole > 0 ? 100.0 * (double)part / (double)whole : 0;
}

/* Prints one line of figures of a policy. */
void
bench_print(const struct bench_cell *cell, enum sim_policy policy,
            const char *seed)
{
    const struct sim_result *result = cell->results[policy];
    printf("%-16s %-16s %-14s seed %-4s all %7.2f %7.2f %8.2f  short99 %7.2f"
           "  refused %5.2f%% failed %5.2f%% late %5.2f%%",
           cell->deployment->name, cell->regime->name, sim_policy_name(policy),
           seed, sim_quantile(result->all_ms, 0.5),
           sim_quantile(result->all_ms, 0.99),
           sim_quantile(result->all_ms, 0.999),
           sim_quantile(result->short_ms, 0.99),
           share(result->refused, result->calls),
           share(result->failed, result->calls),
           share(result->late, result->calls));
    printf("  retry+hedge %4.2f%%  probes %5.3f%% report %4.1f B",
           share(result->retries + result->hedges, result->calls),
           share(result->probes, result->calls),
           result->calls > 0
               ? (double)result->report_bytes / (double)result->calls
               : 0);
    if (result->crest_best > 0) {
        printf("  goodput %5.1f%% recovery %4.0f ms",
               100.0 * (double)result->crest_answered / result->crest_best,
               result->recovery_ms);
    }
    if (cell->regime->estates) {
        uint64_t sent = result->estate_sent[0] + result->estate_sent[1];
        printf("  new estate %5.2f%%", share(result->estate_sent[1], sent));
    }
    printf("\n");
}
