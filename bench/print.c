#include <stdio.h>

#include "bench.h"

static double
percent(uint64_t part, uint64_t whole)
{
    return whole > 0 ? 100.0 * (double)part / (double)whole : 0;
}

/* Prints one line with the results of a policy. seeds names the seeds of the
 * runs. */
void
bench_print_policy(const struct bench_cell *cell, enum sim_policy policy,
                   const char *seeds)
{
    const struct sim_result *result = cell->results[policy];
    printf("%-16s %-16s %-14s seed %-4s all %7.2f %7.2f %8.2f  short99 %7.2f"
           "  refused %5.2f%% failed %5.2f%% late %5.2f%%",
           cell->deployment->name, cell->regime->name, sim_policy_name(policy),
           seeds, sim_quantile(result->all_ms, 0.5),
           sim_quantile(result->all_ms, 0.99),
           sim_quantile(result->all_ms, 0.999),
           sim_quantile(result->short_ms, 0.99),
           percent(result->refused, result->calls),
           percent(result->failed, result->calls),
           percent(result->late, result->calls));
    printf("  retry+hedge %4.2f%%  probes %5.3f%% report %4.1f B",
           percent(result->retries + result->hedges, result->calls),
           percent(result->probes, result->calls),
           result->calls > 0
               ? (double)result->report_bytes / (double)result->calls
               : 0);
    if (result->peak_capacity > 0) {
        printf("  goodput %5.1f%% recovery %4.0f ms",
               100.0 * (double)result->peak_answered / result->peak_capacity,
               result->recovery_ms);
    }
    if (cell->regime->estate_handover) {
        uint64_t sent =
            result->estate_attempts[0] + result->estate_attempts[1];
        printf("  new estate %5.2f%%",
               percent(result->estate_attempts[1], sent));
    }
    printf("\n");
}
