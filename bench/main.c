#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bench.h"

#define CHECK_SEEDS 2

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
    {"all", OPTION_ALL, 0, 0, "Run the smaller services too", 0},
    {"check", OPTION_CHECK, 0, 0, "Compare the figures with the bounds", 0},
    {"known-red", OPTION_KNOWN_RED, "FILE", 0,
     "Bounds known to be missed, for --check", 0},
    {"decisions", OPTION_DECISIONS, "TARGETS", 0,
     "Take 1000 decisions between this many targets, for callgrind", 0},
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
        options->seed = (uint32_t)strtoul(arg, NULL, 10);
        break;
    case 'n':
        options->seeds = (uint32_t)strtoul(arg, NULL, 10);
        break;
    case 'c':
        options->calls = (uint32_t)strtoul(arg, NULL, 10);
        break;
    case OPTION_ALL:
        options->all_deployments = true;
        break;
    case OPTION_CHECK:
        options->check = true;
        break;
    case OPTION_KNOWN_RED:
        options->known_red = arg;
        break;
    case OPTION_DECISIONS:
        options->decisions = (uint32_t)strtoul(arg, NULL, 10);
        break;
    default:
        return ARGP_ERR_UNKNOWN;
    }
    return 0;
}

static bool
is_wanted(const char *wanted, const char *name)
{
    return wanted == NULL || strcmp(wanted, name) == 0;
}

/* Finds a cell whose regime differs only in what the simple policies do not
 * see: reports and steering. */
static const struct bench_cell *
find_same(const struct bench_cell *cells, uint32_t count,
          const struct bench_cell *cell)
{
    for (uint32_t i = 0; i < count; i++) {
        struct bench_regime left = *cells[i].regime;
        struct bench_regime right = *cell->regime;
        left.name = right.name;
        left.lag_ns = right.lag_ns;
        left.unsteered = right.unsteered;
        left.equal = right.equal;
        if (cells[i].deployment == cell->deployment &&
            bench_regime_equals(&left, &right))
        {
            return &cells[i];
        }
    }
    return NULL;
}

static void
run_cell(struct bench_cell *cell, const struct bench_cell *same,
         const struct bench_options *options)
{
    char seeds[32];
    uint32_t width = options->width == UINT32_MAX ? cell->deployment->domains
                                                  : options->width;
    g_snprintf(seeds, sizeof(seeds), "%u+%u", options->seed, options->seeds);
    for (int policy = 0; policy < SIM_POLICIES; policy++) {
        if (same != NULL && policy != SIM_BALANCER) {
            cell->results[policy] = sim_result_ref(same->results[policy]);
        }
        else {
            cell->results[policy] = sim_result_new();
        }
        if (!is_wanted(options->policy, sim_policy_name(policy))) {
            continue;
        }
        bool run = same == NULL || policy == SIM_BALANCER;
        for (uint32_t i = 0; run && i < options->seeds; i++) {
            sim_run(cell->regime, cell->deployment, policy, width,
                    options->calls, options->seed + i, cell->results[policy]);
        }
        bench_print(cell, policy, seeds);
    }
    fflush(stdout);
}

static int
run(const struct bench_options *options)
{
    uint32_t most = bench_deployment_count * bench_regime_count;
    struct bench_cell *cells = g_new0(struct bench_cell, most);
    uint32_t count = 0;
    uint32_t deployments =
        options->all_deployments || options->deployment != NULL
            ? bench_deployment_count
            : 2;
    for (uint32_t i = 0; i < deployments; i++) {
        for (uint32_t j = 0; j < bench_regime_count; j++) {
            if (is_wanted(options->deployment, bench_deployments[i].name) &&
                is_wanted(options->regime, bench_regimes[j].name))
            {
                cells[count].regime = &bench_regimes[j];
                cells[count].deployment = &bench_deployments[i];
                run_cell(&cells[count], find_same(cells, count, &cells[count]),
                         options);
                count++;
            }
        }
    }
    int status =
        options->check ? bench_check(cells, count, options) : EXIT_SUCCESS;
    for (uint32_t i = 0; i < count; i++) {
        for (int policy = 0; policy < SIM_POLICIES; policy++) {
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
        .doc = "Runs the decision modules in virtual time against fakes of "
               "targets and prints latencies in ms at 50, 99 and 99.9 in 100 "
               "beside those of simple policies.",
    };
    struct bench_options options = {
        .width = UINT32_MAX,
        .seed = 1,
        .seeds = 3,
        .calls = 100000,
    };
    argp_parse(&argp, argc, argv, 0, NULL, &options);
    if (options.decisions > 0) {
        return bench_decisions(options.decisions);
    }
    if (options.check) {
        options.seeds = CHECK_SEEDS;
    }
    return run(&options);
}
