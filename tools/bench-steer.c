/*
 * Compares policies of upstream selection in the model of tests/steer-load.h
 * on the same seeds, and prints a table of medians.
 *
 * usage: bench-steer [--seeds N] [--scene NAME] [--way NAME] [--csv]
 *                    [--scenes FILE] [--nodes N] [--without MECHANISM]
 *
 * FILE is a JSON array, comments allowed, of scenarios whose keys are the
 * members of struct steer_scenario. A missing key has the value of the
 * scenario "calm".
 */
#include <glib.h>
#include <json-c/json.h>
#include <popt.h>
#include <stdio.h>
#include <string.h>

#include "fault.h"
#include "median.h"
#include "steer-load.h"

#define SCENARIOS_MAX 32

/* X(member): numeric members of struct steer_scenario that are keys of a
 * scenario. */
#define SCENARIO_MEMBERS(X)                                                   \
    X(nodes)                                                                  \
    X(upstreams)                                                              \
    X(slots)                                                                  \
    X(queue)                                                                  \
    X(callers)                                                                \
    X(per_s)                                                                  \
    X(short_share)                                                            \
    X(work_ms)                                                                \
    X(aim_ms)                                                                 \
    X(budget_ms)                                                              \
    X(length_ms)                                                              \
    X(loss)                                                                   \
    X(slow_at)                                                                \
    X(slow_for)                                                               \
    X(slow_share)                                                             \
    X(slow_times)                                                             \
    X(die_at)                                                                 \
    X(die_share)                                                              \
    X(renew_at)                                                               \
    X(renew_share)

/* 14 upstreams behind 12 nodes. */
#define SMALL_LOAD STEER_SMALL_LOAD, .length_ms = 30000
/* 120 upstreams behind 64 nodes. */
#define LARGE_LOAD                                                            \
    .nodes = 64, .upstreams = 120, .slots = 2, .queue = 8, .callers = 900,    \
    .per_s = 1200, .short_share = 20, .work_ms = 17, .aim_ms = 400,           \
    .budget_ms = 2500, .length_ms = 20000

static struct steer_scenario scenarios[SCENARIOS_MAX] = {
    {.name = "calm", SMALL_LOAD},
    {.name = "lossy", SMALL_LOAD, .loss = 25},
    {.name = "renew", SMALL_LOAD, .renew_at = 5000, .renew_share = 50},
    {.name = "die", SMALL_LOAD, .die_at = 10000, .die_share = 25},
    {.name = "slow",
     SMALL_LOAD,
     .slow_at = 10000,
     .slow_for = 10000,
     .slow_share = 30,
     .slow_times = 4},
    {.name = "slow-high",
     .nodes = 12,
     .upstreams = 14,
     .slots = 2,
     .queue = 8,
     .callers = 660,
     .per_s = 880,
     .short_share = 20,
     .work_ms = 17,
     .aim_ms = 100,
     .budget_ms = 1000,
     .length_ms = 30000,
     .slow_at = 10000,
     .slow_for = 10000,
     .slow_share = 30,
     .slow_times = 4},
    {.name = "grown", LARGE_LOAD},
    {.name = "grown-die", LARGE_LOAD, .die_at = 8000, .die_share = 20},
    {.name = "grown-slow",
     LARGE_LOAD,
     .slow_at = 6000,
     .slow_for = 8000,
     .slow_share = 30,
     .slow_times = 4},
};
static size_t scenario_count = 9;

/* Mechanisms that --without disables. */
static const struct mechanism {
    const char *name;
    enum fault fault;
} mechanisms[] = {
    {"least-work", FAULT_NO_LEAST_WORK},
    {"place", FAULT_NO_RANK},
    {"cold", FAULT_NO_WARMUP_WEIGHT},
    {"took", FAULT_NO_LATENCY},
    {"suspicion", FAULT_NO_SUSPICION},
    {"move", FAULT_NO_REROUTE},
    {"silence", FAULT_NO_REGISTRATION_TIMEOUT},
    {"silent-last", FAULT_SILENT_EQUAL},
    {"doubt", FAULT_NO_SUSPICION_REPORT},
    {"lost", FAULT_KEEP_LOST_FLOWS},
};

/* Disables a mechanism of fault.h; FALSE with a message if the name is
 * unknown. */
static gboolean
disable_mechanism(const char *name)
{
    for (size_t i = 0; i < G_N_ELEMENTS(mechanisms); i++) {
        if (strcmp(name, mechanisms[i].name) == 0) {
            fault_trials[mechanisms[i].fault] = true;
            return TRUE;
        }
    }
    (void)fprintf(stderr, "%s: unknown mechanism\n", name);
    return FALSE;
}

/* Columns of a row. */
enum figure {
    ON_TIME,
    LATE,
    FAILED,
    REJECTED,
    RESETS,
    FALSE_SILENT,
    IMBALANCE,
    NS,
    BYTES,
    FIGURES
};

/* Replaces the built-in scenarios by those of a file; FALSE with a message if
 * the file is invalid. */
static gboolean
read_scenarios(const char *path)
{
    json_object *list = json_object_from_file(path);
    size_t count = 0;

    if (!json_object_is_type(list, json_type_array)) {
        (void)fprintf(stderr, "%s: expected a JSON array of scenes: %s\n",
                      path, json_util_get_last_err());
        return FALSE;
    }
    count = json_object_array_length(list);
    for (scenario_count = 0; scenario_count < MIN(count, SCENARIOS_MAX);
         scenario_count++) {
        json_object *doc = json_object_array_get_idx(list, scenario_count);
        struct steer_scenario *scenario = &scenarios[scenario_count];
        json_object *value;

        *scenario = (struct steer_scenario){.name = "own", SMALL_LOAD};
        if (json_object_object_get_ex(doc, "name", &value)) {
            g_strlcpy(scenario->name, json_object_get_string(value),
                      sizeof(scenario->name));
        }
#define X(member)                                                             \
    if (json_object_object_get_ex(doc, #member, &value)) {                    \
        scenario->member = (unsigned)json_object_get_int(value);              \
    }
        SCENARIO_MEMBERS(X)
#undef X
    }
    json_object_put(list);
    return TRUE;
}

/* Runs a scenario with one policy over all seeds and prints a row. */
static void
run_row(const struct steer_scenario *scenario, enum steer_policy policy,
        int seeds, int csv)
{
    double *values = g_new0(double, (gsize)(FIGURES * seeds));
    double median[FIGURES];

    for (int seed = 0; seed < seeds; seed++) {
        struct steer_result r;
        double asked;

        steer_load_run(scenario, policy, (uint64_t)seed + 1, &r);
        asked = MAX(1, r.requests);
        values[ON_TIME * seeds + seed] = 100.0 * r.on_time / asked;
        values[LATE * seeds + seed] = 100.0 * r.late / asked;
        values[FAILED * seeds + seed] = 100.0 * r.failed / asked;
        values[REJECTED * seeds + seed] = 100.0 * r.rejected / asked;
        values[RESETS * seeds + seed] = r.false_resets;
        values[FALSE_SILENT * seeds + seed] = r.false_silent;
        values[IMBALANCE * seeds + seed] = r.imbalance;
        values[NS * seeds + seed] = r.ns_per_decision;
        values[BYTES * seeds + seed] = r.bytes_per_node_s;
    }
    for (int f = 0; f < FIGURES; f++) {
        median[f] = median_of(values + f * seeds, (size_t)seeds);
    }
    (void)printf(csv ? "%s,%s,%.3f,%.3f,%.3f,%.3f,%.0f,%.0f,%.3f,%.0f,%.0f\n"
                     : "%-12s %-9s %7.2f %6.2f %6.2f %6.2f %6.0f %6.0f %6.2f "
                       "%7.0f %6.0f\n",
                 scenario->name, steer_policy_name(policy), median[ON_TIME],
                 median[LATE], median[FAILED], median[REJECTED],
                 median[RESETS], median[FALSE_SILENT], median[IMBALANCE],
                 median[NS], median[BYTES]);
    (void)fflush(stdout);
    g_free(values);
}

int
main(int argc, const char **argv)
{
    int seeds = 5;
    int nodes = 0;
    int csv = 0;
    char *only_scenario = NULL;
    char *only_policy = NULL;
    char *scenarios_file = NULL;
    char *without = NULL;
    struct poptOption options[] = {
        {"seeds", 's', POPT_ARG_INT, &seeds, 0, "run each row with N seeds",
         "N"},
        {"nodes", 'n', POPT_ARG_INT, &nodes, 0, "run each scene with N nodes",
         "N"},
        {"scene", 0, POPT_ARG_STRING, &only_scenario, 0, "run only this scene",
         "NAME"},
        {"way", 0, POPT_ARG_STRING, &only_policy, 0, "run only this algorithm",
         "NAME"},
        {"scenes", 0, POPT_ARG_STRING, &scenarios_file, 0,
         "read the scenes from a JSON file", "FILE"},
        {"without", 0, POPT_ARG_STRING, &without, 0, "disable this mechanism",
         "NAME"},
        {"csv", 0, POPT_ARG_NONE, &csv, 0, "comma-separated values", NULL},
        POPT_AUTOHELP POPT_TABLEEND};
    poptContext context =
        poptGetContext("bench-steer", argc, argv, options, 0);
    int bad = poptGetNextOpt(context);

    if (bad < -1 || seeds < 1 ||
        (scenarios_file != NULL && !read_scenarios(scenarios_file)) ||
        (without != NULL && !disable_mechanism(without))) {
        poptPrintUsage(context, stderr, 0);
        return 2;
    }
    (void)printf(
        csv ? "scene,way,in_aim,late,failed,turned_away,reset_alive,"
              "silent_alive,imbalance,ns,bytes_s\n"
            : "scene        way       in aim%%  late%%  fail%%  away%% "
              "resets  false   imb  ns/dec B/s/node\n");
    for (size_t i = 0; i < scenario_count; i++) {
        if (only_scenario != NULL &&
            strcmp(only_scenario, scenarios[i].name) != 0) {
            continue;
        }
        if (nodes > 0) {
            scenarios[i].nodes = (unsigned)nodes;
        }
        for (int policy = 0; policy < STEER_POLICIES; policy++) {
            if (only_policy == NULL ||
                strcmp(only_policy,
                       steer_policy_name((enum steer_policy)policy)) == 0) {
                run_row(&scenarios[i], (enum steer_policy)policy, seeds, csv);
            }
        }
    }
    (void)poptFreeContext(context);
    return 0;
}
