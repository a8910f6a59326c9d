#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bench.h"

#define CHECK_SEED_COUNT 2

enum { OPTION_CHECK = 256, OPTION_KNOWN_RED, OPTION_DECISIONS, OPTION_ALL };

static const struct argp_option options_list[] = {
    {"regime", 'r', "NAME", 0, "Run only this regime", 0},
    {"deployment", 'd', "NAME", 0, "Run only this deployment", 0},
    {"policy", 'p', "NAME", 0, "Run only this policy", 0},
    {"width", 'w', "N", 0,
     "Entry VMs that callers are steered to; 0 for all (default: one for each "
     "failure domain)",
     0},
    {"seed", 's', "N", 0, "First seed (default 1)", 0},
    {"seeds", 'n', "N", 0, "Number of seeds (default 3)", 0},
    {"calls", 'c', "N", 0, "Calls in a run (default 100000)", 0},
    {"all", OPTION_ALL, 0, 0, "Run the smaller services as well", 0},
    {"check", OPTION_CHECK, 0, 0, "Compare the results with the bounds", 0},
    {"known-red", OPTION_KNOWN_RED, "FILE", 0,
     "File that lists bounds known to be missed, for --check", 0},
    {"decisions", OPTION_DECISIONS, "TARGETS", 0,
     "Only offer 1000 calls to a balancer with this number of targets, for "
     "callgrind",
     0},
    {0},
};

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
    struct bench_options *options = state->input;
    switch (key) {
    case 'r':
        options->regime = arg;
        break;
    case 'd':
        options->deployment = arg;
        break;
    case 'p':
        options->policy = arg;
        break;
    case 'w':
        options->width = (uint32_t)strtoul(arg, NULL, 10);
        break;
    case 's':
        options->first_seed = (uint32_t)strtoul(arg, NULL, 10);
        break;
    case 'n':
        options->seed_count = (uint32_t)strtoul(arg, NULL, 10);
        break;
    case 'c':
        options->calls_per_run = (uint32_t)strtoul(arg, NULL, 10);
        break;
    case OPTION_ALL:
        options->include_small = true;
        break;
    case OPTION_CHECK:
        options->check = true;
        break;
    case OPTION_KNOWN_RED:
        options->known_red = arg;
        break;
    case OPTION_DECISIONS:
        options->decision_targets = (uint32_t)strtoul(arg, NULL, 10);
        break;
    default:
        return ARGP_ERR_UNKNOWN;
    }
    return 0;
}

static bool
is_selected(const char *selected, const char *name)
{
    return selected == NULL || strcmp(selected, name) == 0;
}

/* Returns a cell whose regime differs only in load reports and steering, which
 * don't affect the simple policies, or NULL. */
static const struct bench_cell *
find_equivalent(const struct bench_cell *cells, uint32_t count,
                const struct bench_cell *cell)
{
    for (uint32_t i = 0; i < count; i++) {
        struct bench_regime left = *cells[i].regime;
        struct bench_regime right = *cell->regime;
        left.name = right.name;
        left.report_lag_ns = right.report_lag_ns;
        left.unsteered = right.unsteered;
        left.equal_targets = right.equal_targets;
        if (cells[i].deployment == cell->deployment &&
            bench_regime_equals(&left, &right))
        {
            return &cells[i];
        }
    }
    return NULL;
}

static void
run_cell(struct bench_cell *cell, const struct bench_cell *equivalent,
         const struct bench_options *options)
{
    char seeds[32];
    uint32_t width = options->width == UINT32_MAX ? cell->deployment->domains
                                                  : options->width;
    g_snprintf(seeds, sizeof(seeds), "%u+%u", options->first_seed,
               options->seed_count);
    for (int policy = 0; policy < SIM_POLICY_COUNT; policy++) {
        if (equivalent != NULL && policy != SIM_BALANCER) {
            cell->results[policy] =
                sim_result_ref(equivalent->results[policy]);
        }
        else {
            cell->results[policy] = sim_result_new();
        }
        if (!is_selected(options->policy, sim_policy_name(policy))) {
            continue;
        }
        bool run = equivalent == NULL || policy == SIM_BALANCER;
        for (uint32_t i = 0; run && i < options->seed_count; i++) {
            sim_run(cell->regime, cell->deployment, policy, width,
                    options->calls_per_run, options->first_seed + i,
                    cell->results[policy]);
        }
        bench_print_policy(cell, policy, seeds);
    }
    fflush(stdout);
}

static int
run(const struct bench_options *options)
{
    uint32_t max_cells = bench_deployment_count * bench_regime_count;
    struct bench_cell *cells = g_new0(struct bench_cell, max_cells);
    uint32_t count = 0;
    uint32_t deployments =
        options->include_small || options->deployment != NULL
            ? bench_deployment_count
            : 2;
    for (uint32_t i = 0; i < deployments; i++) {
        for (uint32_t j = 0; j < bench_regime_count; j++) {
            if (is_selected(options->deployment, bench_deployments[i].name) &&
                is_selected(options->regime, bench_regimes[j].name))
            {
                cells[count].regime = &bench_regimes[j];
                cells[count].deployment = &bench_deployments[i];
                run_cell(&cells[count],
                         find_equivalent(cells, count, &cells[count]),
                         options);
                count++;
            }
        }
    }
    int status =
        options->check ? bench_check(cells, count, options) : EXIT_SUCCESS;
    for (uint32_t i = 0; i < count; i++) {
        for (int policy = 0; policy < SIM_POLICY_COUNT; policy++) {
            sim_result_unref(cells[i].results[policy]);
        }
    }
    g_free(cells);
    return status;
}

int
main(int argc, char **argv)
{
    static const struct argp argp = {
        .options = options_list,
        .parser = parse_option,
        .doc = "Simulates the decision modules in virtual time with fake "
               "targets and prints latencies in ms (median, p99 and p99.9) "
               "beside those of simple policies.",
    };
    struct bench_options options = {
        .width = UINT32_MAX,
        .first_seed = 1,
        .seed_count = 3,
        .calls_per_run = 100000,
    };
    argp_parse(&argp, argc, argv, 0, NULL, &options);
    if (options.decision_targets > 0) {
        return bench_run_decisions(options.decision_targets);
    }
    if (options.check) {
        options.seed_count = CHECK_SEED_COUNT;
    }
    return run(&options);
}
