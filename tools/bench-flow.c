/*
 * Compares steering policies on the same seeds and workload in simulated
 * time, and prints a table of medians.
 *
 * usage: bench-flow [SEEDS [argoat|meals [SCENARIO|all [POLICY|all]]]]
 */
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "flow-load.h"
#include "median.h"

/* States of the 14 upstreams of both deployments: all serving. */
#define ALL_SERVING "ssssssssssssss"

static const struct flow_scenario scenarios[] = {
    {.name = "calm", .length_ms = 40000},
    {.name = "drain",
     .events = {{2000, LOAD_STATES, 0, "slssssssssssss"}},
     .length_ms = 40000},
    {.name = "join",
     .events = {{2000, LOAD_STATES, 0, ALL_SERVING "s"}},
     .length_ms = 40000},
    {.name = "weights",
     .events = {{2000, LOAD_WEIGHTS, 0, "55555555555559"}},
     .length_ms = 40000},
    {.name = "return",
     .events = {{1000, LOAD_STATES, 0, "slssssssssssss"},
                {12000, LOAD_STATES, 0, ALL_SERVING}},
     .length_ms = 40000},
    {.name = "stop-entry",
     .events = {{2000, LOAD_STOP, 3, NULL}, {15000, LOAD_START, 3, NULL}},
     .length_ms = 40000},
    {.name = "kill-entry",
     .events = {{2000, LOAD_KILL, 3, NULL}, {15000, LOAD_START, 3, NULL}},
     .length_ms = 40000},
    {.name = "drain+kill-2",
     .events = {{2000, LOAD_STATES, 0, "slssssssssssss"},
                {7000, LOAD_KILL, 3, NULL},
                {13000, LOAD_KILL, 4, NULL}},
     .length_ms = 40000},
    {.name = "views-5s-apart",
     .events = {{2000, LOAD_PARTITION, 1, NULL},
                {2000, LOAD_PARTITION, 5, NULL},
                {2200, LOAD_STATES, 0, "slssssssssssss"},
                {9000, LOAD_PARTITION, 2, NULL},
                {9200, LOAD_STATES, 0, ALL_SERVING "s"}},
     .length_ms = 40000},
    {.name = "freeze-entry",
     .events = {{2000, LOAD_FREEZE, 2, NULL},
                {3000, LOAD_STATES, 0, "slssssssssssss"}},
     .length_ms = 40000},
    {.name = "udp-drain",
     .events = {{2000, LOAD_STATES, 0, "slssssssssssss"}},
     .length_ms = 40000,
     .udp = true},
    {.name = "mix"},
    {.name = "mix-views-apart"},
};

/* Columns of a row. */
enum figure {
    BROKEN,
    BROKEN_SHARE,
    LATE,
    MEDIAN,
    WORST,
    END,
    HOPS,
    CONTROL,
    IDLE,
    MEMORY,
    IN_FORCE,
    FIGURES
};

/* Runs a scenario with one policy over all seeds and prints a row. */
static void
run_row(const struct flow_load *base, const struct flow_scenario *scenario,
        enum flow_policy policy, int seeds)
{
    double *values = g_new0(double, (gsize)(FIGURES * seeds));
    double median[FIGURES];
    double broken = 0;
    double established = 0;
    int broken_seeds = 0;

    for (int seed = 0; seed < seeds; seed++) {
        struct flow_load load = *base;
        char states[LOAD_EVENTS_MAX][MIX_UPSTREAMS + 1];
        struct flow_scenario mix;
        struct flow_result r;

        load.policy = policy;
        load.seed = (uint64_t)seed + 1;
        if (strncmp(scenario->name, "mix", 3) == 0) {
            flow_load_random_scenario(load.seed, load.entries, &mix, states,
                                      strcmp(scenario->name, "mix") != 0);
        }
        flow_load_run(&load, scenario->length_ms ? scenario : &mix, &r);
        values[BROKEN * seeds + seed] = r.broken;
        values[BROKEN_SHARE * seeds + seed] =
            100.0 * r.broken / MAX(1, r.established);
        values[LATE * seeds + seed] = r.late_at_leaving;
        values[MEDIAN * seeds + seed] = r.imbalance_median;
        values[WORST * seeds + seed] = r.imbalance_worst;
        values[END * seeds + seed] = r.imbalance_end;
        values[HOPS * seeds + seed] = r.hops_percent;
        values[CONTROL * seeds + seed] = r.control_worst;
        values[IDLE * seeds + seed] = r.control_idle;
        values[MEMORY * seeds + seed] = r.memory_per_flow;
        values[IN_FORCE * seeds + seed] = (double)r.in_force_ms;
        broken += r.broken;
        broken_seeds += r.broken > 0;
        established += r.established;
        if (policy == POLICY_KEEPERS && r.broken > 0) {
            (void)fprintf(stderr, "%s seed %d: %s\n", scenario->name, seed + 1,
                          r.first_broken);
        }
    }
    for (int f = 0; f < FIGURES; f++) {
        median[f] = median_of(values + f * seeds, (size_t)seeds);
    }
    (void)printf("%-15s %-15s %8.0f %7.0f %3d %8.4f %5.0f %6.3f %6.3f %6.3f "
                 "%6.2f %6.0f %5.0f %6.0f %5.0f\n",
                 scenario->name, flow_load_policy_name(policy), median[BROKEN],
                 values[BROKEN * seeds + seeds - 1], broken_seeds,
                 100.0 * broken / MAX(1.0, established), median[LATE],
                 median[MEDIAN], median[WORST], median[END], median[HOPS],
                 median[CONTROL], median[IDLE], median[MEMORY],
                 median[IN_FORCE]);
    (void)fflush(stdout);
    g_free(values);
}

int
main(int argc, char **argv)
{
    int seeds = argc > 1 ? atoi(argv[1]) : 5;
    bool meals = argc > 2 && strcmp(argv[2], "meals") == 0;
    const char *only_scenario = argc > 3 ? argv[3] : "all";
    const char *new_per_s = getenv("BENCH_NEW_PER_S");
    const char *only_policy = argc > 4 ? argv[4] : "all";
    struct flow_load base = {.upstreams = 14,
                             .entries = 11,
                             .halls = meals ? 4 : 3,
                             .delay_ms = 1,
                             .rtt_ms = meals ? 3 : 8,
                             .flows = 28000,
                             .new_per_s = 1000};

    if (new_per_s != NULL) {
        base.new_per_s = (unsigned)atoi(new_per_s);
    }
    (void)printf("%s, %d seeds, %u long flows, %u new/s; medians\n",
                 meals ? "meals" : "argoat", seeds, base.flows,
                 base.new_per_s);
    (void)printf("%-15s %-15s %8s %7s %3s %8s %5s %6s %6s %6s %6s %6s %5s "
                 "%6s %5s\n",
                 "scene", "way", "broken", "max", "sds", "share%", "late",
                 "imb", "worst", "end", "hops%", "ctl/s", "idle", "B/flow",
                 "force");
    for (size_t i = 0; i < G_N_ELEMENTS(scenarios); i++) {
        if (strcmp(only_scenario, "all") != 0 &&
            strcmp(only_scenario, scenarios[i].name) != 0) {
            continue;
        }
        for (int policy = 0; policy < POLICY_COUNT; policy++) {
            if (strcmp(only_policy, "all") == 0 ||
                strcmp(only_policy,
                       flow_load_policy_name((enum flow_policy)policy)) == 0) {
                run_row(&base, &scenarios[i], (enum flow_policy)policy, seeds);
            }
        }
    }
    return 0;
}
