/*
 * Steering in the simulated load of steer-load.h: each mechanism must improve
 * its figure, and a seed must reproduce its run.
 */
#include <glib.h>

#include "cases.h"
#include "fault.h"
#include "steer-load.h"

#define SEEDS 3

#define LOAD STEER_SMALL_LOAD, .length_ms = 20000
#define CRASHES .die_at = 6000, .die_share = 25
#define SLOWDOWN                                                              \
    .slow_at = 6000, .slow_for = 8000, .slow_share = 30, .slow_times = 4

/* A mechanism, and the least factors by which figures grow without it. */
struct mechanism_case {
    const char *name;
    enum fault fault;
    struct steer_scenario scenario;
    unsigned failed_factor;  /* failed requests; 0: not compared */
    double late_factor;      /* late requests; 0: not compared */
    double imbalance_factor; /* 0: not compared */
};

static const struct mechanism_case mechanisms[] = {
    {"suspicion-report", FAULT_NO_SUSPICION_REPORT, {LOAD, CRASHES}, 4, 0, 0},
    {"lost", FAULT_KEEP_LOST_FLOWS, {LOAD, CRASHES}, 4, 0, 0},
    {"registration-timeout",
     FAULT_NO_REGISTRATION_TIMEOUT,
     {LOAD, CRASHES},
     4,
     0,
     0},
    {"latency", FAULT_NO_LATENCY, {LOAD, SLOWDOWN}, 0, 1.2, 0},
    {"least-work", FAULT_NO_LEAST_WORK, {LOAD}, 0, 0, 1.2},
};

/* Sums the figures of all seeds. */
static void
run_seeds(const struct steer_scenario *scenario, struct steer_result *sum)
{
    *sum = (struct steer_result){0};
    for (uint64_t seed = 1; seed <= SEEDS; seed++) {
        struct steer_result r;

        steer_load_run(scenario, STEER_LEAST_WORK, seed, &r);
        g_assert_cmpuint(r.requests, >, 0);
        g_assert_cmpuint(r.false_resets, ==, 0);
        sum->failed += r.failed;
        sum->late += r.late;
        sum->imbalance += r.imbalance;
    }
}

/* Runs a scenario with and without a mechanism. */
static void
test_mechanism(const void *data)
{
    const struct mechanism_case *c = data;
    struct steer_result with;
    struct steer_result without;

    run_seeds(&c->scenario, &with);
    fault_trials[c->fault] = true;
    run_seeds(&c->scenario, &without);
    g_test_message("%s: failed %u -> %u, late %u -> %u", c->name, with.failed,
                   without.failed, with.late, without.late);
    fault_trials[c->fault] = false;
    if (c->failed_factor != 0) {
        g_assert_cmpuint(without.failed, >, c->failed_factor * with.failed);
    }
    if (c->late_factor > 0) {
        g_assert_cmpfloat(without.late, >, c->late_factor * with.late);
    }
    if (c->imbalance_factor > 0) {
        g_assert_cmpfloat(without.imbalance, >,
                          c->imbalance_factor * with.imbalance);
    }
}

/* The same seed gives the same result. */
static void
test_determinism(void)
{
    static const struct steer_scenario scenario = {LOAD, CRASHES, .loss = 25};
    struct steer_result first;
    struct steer_result second;

    steer_load_run(&scenario, STEER_LEAST_WORK, 7, &first);
    steer_load_run(&scenario, STEER_LEAST_WORK, 7, &second);
    g_assert_cmpuint(first.requests, ==, second.requests);
    g_assert_cmpuint(first.on_time, ==, second.on_time);
    g_assert_cmpuint(first.failed, ==, second.failed);
    g_assert_cmpfloat(first.imbalance, ==, second.imbalance);
}

int
main(int argc, char **argv)
{
    char path[128];

    g_test_init(&argc, &argv, NULL);
    CASES_ADD("/steer/mechanism/", mechanisms, test_mechanism)
    g_test_add_func("/steer/determinism", test_determinism);
    return g_test_run();
}
