#include "regime.h"

#define MS INT64_C(1000000)

const struct bench_deployment bench_deployments[] = {
    {"bantay-lookups", 12, 4},
    {"cubetas-coverage", 10, 3},
    {"bantay-maps", 8, 4},
    {"cubetas-routes", 6, 3},
};
const uint32_t bench_deployment_count =
    sizeof(bench_deployments) / sizeof(bench_deployments[0]);

const struct bench_regime bench_regimes[] = {
    {.name = "steady-50", .load = 0.5, .equal_targets = true},
    {.name = "steady-80", .load = 0.8, .equal_targets = true},
    {.name = "steady-95", .load = 0.95, .equal_targets = true},
    {.name = "straggler", .load = 0.8, .straggler_factor = 3},
    {.name = "deciders-100", .load = 0.8, .decider_count = 100},
    {.name = "deciders-100-95", .load = 0.95, .decider_count = 100},
    {.name = "unsteered-14", .load = 0.8, .unsteered = true},
    {.name = "unsteered-14-95", .load = 0.95, .unsteered = true},
    {.name = "unsteered-100",
     .load = 0.8,
     .decider_count = 100,
     .unsteered = true},
    {.name = "unsteered-100-95",
     .load = 0.95,
     .decider_count = 100,
     .unsteered = true},
    {.name = "unsteered-100-lag",
     .load = 0.8,
     .decider_count = 100,
     .report_lag_ns = 500 * MS,
     .unsteered = true},
    {.name = "heavy-tail", .load = 0.8, .service_sigma = 1.2},
    {.name = "noise", .load = 0.6, .noise_factor = 4},
    {.name = "maps", .load = 0.7, .long_fraction = 0.02},
    {.name = "short-alone", .load = 0.7, .long_fraction = -0.02},
    {.name = "maps-rush", .load = 1.5, .long_fraction = 0.1, .overload = true},
    {.name = "rush-alone", .load = 1.5, .long_fraction = -0.1},
    {.name = "rain", .load = 0.3, .peak_factor = 10},
    {.name = "fast-failer", .load = 0.7, .fast_failure = RP_ATTEMPT_ERROR},
    {.name = "fast-failer-50", .load = 0.5, .fast_failure = RP_ATTEMPT_ERROR},
    {.name = "fast-failer-90", .load = 0.9, .fast_failure = RP_ATTEMPT_ERROR},
    {.name = "fast-rejecter", .load = 0.7, .fast_failure = RP_ATTEMPT_NOT_RUN},
    {.name = "fast-rejecter-50",
     .load = 0.5,
     .fast_failure = RP_ATTEMPT_NOT_RUN},
    {.name = "fast-rejecter-90",
     .load = 0.9,
     .fast_failure = RP_ATTEMPT_NOT_RUN},
    {.name = "cold-half", .load = 0.5, .cold_factor = 4},
    {.name = "estates", .load = 0.5, .estate_handover = true},
    {.name = "lag-5ms", .load = 0.8, .report_lag_ns = 5 * MS},
    {.name = "lag-50ms", .load = 0.8, .report_lag_ns = 50 * MS},
    {.name = "lag-500ms", .load = 0.8, .report_lag_ns = 500 * MS},
    {.name = "lag-2s", .load = 0.8, .report_lag_ns = 2000 * MS},
    {.name = "lag-2s-95", .load = 0.95, .report_lag_ns = 2000 * MS},
    {.name = "pause", .load = 0.7, .pause_ns = 300 * MS},
};
const uint32_t bench_regime_count =
    sizeof(bench_regimes) / sizeof(bench_regimes[0]);

/* Returns whether two regimes are equal in all fields but name and overload.
 */
bool
bench_regime_equals(const struct bench_regime *left,
                    const struct bench_regime *right)
{
    return left->load == right->load &&
           left->peak_factor == right->peak_factor &&
           left->long_fraction == right->long_fraction &&
           left->service_sigma == right->service_sigma &&
           left->straggler_factor == right->straggler_factor &&
           left->noise_factor == right->noise_factor &&
           left->cold_factor == right->cold_factor &&
           left->report_lag_ns == right->report_lag_ns &&
           left->pause_ns == right->pause_ns &&
           left->decider_count == right->decider_count &&
           left->unsteered == right->unsteered &&
           left->fast_failure == right->fast_failure &&
           left->estate_handover == right->estate_handover &&
           left->equal_targets == right->equal_targets;
}
