/*
 * Compares policies of admission control and upstream selection for requests
 * on the same seeds and workload in simulated time, and prints a table of
 * medians.
 *
 * usage: bench-request [SEEDS [argoat|meals [FAULT|load|overload|all]]]
 */
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "median.h"
#include "request-load.h"

static void
print_header(void)
{
    (void)printf("%-13s %-10s %8s %6s %6s %6s %5s %5s %5s %5s %5s %7s %7s "
                 "%5s %6s %6s %6s %6s\n",
                 "scene", "way", "requests", "answ%", "notrun", "unkn", "lost",
                 "twice", "false", "wrong", "late", "p50", "p99", "good",
                 "busy", "retry%", "ret%", "B/s");
}

/* Prints how often each rule refused a request or left its outcome unknown. */
static void
print_rules(const struct request_result *sum)
{
    const char *separator = "              rules:";

    for (int rule = 0; rule < RULE_COUNT; rule++) {
        if (sum->rules[rule] > 0) {
            (void)printf("%s %s %u", separator,
                         ring_rule_name((enum ring_rule)rule),
                         sum->rules[rule]);
            separator = ",";
        }
    }
    if (separator[0] == ',') {
        (void)printf("\n");
    }
}

/* Runs all seeds and prints a row: sums of outcomes, medians of the rest. */
static void
run_row(const char *scenario, const struct request_load *base, int seeds)
{
    double *values[7];
    struct request_result sum = {0};

    for (int i = 0; i < 7; i++) {
        values[i] = g_new0(double, (gsize)seeds);
    }
    for (int s = 0; s < seeds; s++) {
        struct request_load load = *base;
        struct request_result r;

        load.seed = (uint64_t)s + 1;
        request_load_run(&load, &r);
        sum.requests += r.requests;
        sum.answered += r.answered;
        sum.not_run += r.not_run;
        sum.unknown += r.unknown;
        sum.lost += r.lost;
        sum.run_twice += r.run_twice;
        sum.false_not_run += r.false_not_run + r.run_after_refusal;
        sum.wrong += r.wrong;
        sum.late_at_leaving += r.late_at_leaving;
        sum.retried += r.retried;
        for (int rule = 0; rule < RULE_COUNT; rule++) {
            sum.rules[rule] += r.rules[rule];
        }
        sum.returned += r.returned;
        sum.returned_ok += r.returned_ok;
        values[0][s] = r.p50_ms;
        values[1][s] = r.p99_ms;
        values[2][s] = r.goodput;
        values[3][s] = r.busy_imbalance;
        values[4][s] = r.bytes_per_s;
    }
    (void)printf("%-13s %-10s %8u %6.2f %6u %6u %5u %5u %5u %5u %5u %7.1f "
                 "%7.1f %5.2f %6.3f %6.2f %6.1f %6.0f\n",
                 scenario, request_load_policy_name(base->policy),
                 sum.requests, 100.0 * sum.answered / MAX(1, sum.requests),
                 sum.not_run, sum.unknown, sum.lost, sum.run_twice,
                 sum.false_not_run, sum.wrong, sum.late_at_leaving,
                 median_of(values[0], (size_t)seeds),
                 median_of(values[1], (size_t)seeds),
                 median_of(values[2], (size_t)seeds),
                 median_of(values[3], (size_t)seeds),
                 100.0 * sum.retried / MAX(1, sum.requests),
                 100.0 * sum.returned_ok / MAX(1, sum.returned),
                 median_of(values[4], (size_t)seeds));
    if (base->policy == REQ_GATE) {
        print_rules(&sum);
    }
    (void)fflush(stdout);
    for (int i = 0; i < 7; i++) {
        g_free(values[i]);
    }
}

int
main(int argc, char **argv)
{
    int seeds = argc > 1 ? atoi(argv[1]) : 5;
    bool meals = argc > 2 && strcmp(argv[2], "meals") == 0;
    const char *only_group = argc > 3 ? argv[3] : "all";
    bool all = strcmp(only_group, "all") == 0;
    struct request_load base = {.upstreams = 14,
                                .slots = meals ? 2 : 3,
                                .entries = 11,
                                .halls = meals ? 4 : 3,
                                .delay_ms = 1,
                                .caller_ms = meals ? 1 : 3,
                                .length_ms = 30000,
                                .service_ms = 50};

    (void)printf("%s, %d seeds\n", meals ? "meals" : "argoat", seeds);
    print_header();
    for (int policy = 0; policy < REQ_POLICIES; policy++) {
        struct request_load load = base;

        load.policy = (enum request_policy)policy;
        if (all || strcmp(only_group, "load") == 0) {
            load.load = 0.8;
            run_row("load-80%", &load, seeds);
            load.load = 0.9;
            run_row("load-90%", &load, seeds);
        }
        if (all || strcmp(only_group, "overload") == 0) {
            load.load = 0.5;
            load.overload = 2.0;
            load.overload_ms = 60000;
            load.length_ms = 80000;
            run_row("overload-2x", &load, seeds);
        }
    }
    for (int t = 0; t < REQ_FAULTS; t++) {
        const char *name = request_load_fault_name((enum request_fault)t);

        for (int policy = 0; policy < 2; policy++) {
            struct request_load load = base;

            if (!all && strcmp(only_group, name) != 0) {
                continue;
            }
            load.policy = (enum request_policy)policy;
            load.fault = (enum request_fault)t;
            load.load = 0.5;
            load.loss = 2;
            load.duplicates = true;
            if (t == REQ_FREEZE_ENTRY) {
                load.length_ms = 45000;
            }
            run_row(name, &load, seeds);
        }
    }
    return 0;
}
