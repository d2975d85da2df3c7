/*
 * Requests that run at most once, refusals that are true, answers that are
 * the caller's own: scenes of losses over the simulated cluster; and the same
 * with one safeguard left out, which some seed must catch.
 */
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "fault.h"
#include "request-load.h"

/* One scene and the share of requests that must be answered. */
struct request_case {
    double answered; /* percent, at least */
    enum request_trouble trouble;
    unsigned loss; /* of 1,000 messages */
};

static const struct request_case cases[] = {
    {99.9, REQ_CALM, 0},         {99.9, REQ_CALM, 20},
    {99.0, REQ_KILL_ENTRY, 5},   {88.0, REQ_KILL_TWO, 5},
    {99.0, REQ_FREEZE_ENTRY, 5}, {96.0, REQ_STOP_ENTRIES, 2},
    {99.5, REQ_CUT_ENTRY, 5},    {98.0, REQ_FREEZE_UPSTREAM, 5},
    {90.0, REQ_SHED_STORM, 5},   {94.0, REQ_CUT_ANSWERS, 5},
    {99.5, REQ_DRAIN, 5},        {20.0, REQ_EPOCHS, 10},
};

/* A load of the size of today, at half of capacity. */
static struct request_load
make_load(enum request_trouble trouble, uint64_t seed, unsigned loss)
{
    return (struct request_load){
        .trouble = trouble,
        .seed = seed,
        .upstreams = 14,
        .slots = 3,
        .entries = 11,
        .halls = 3,
        .delay_ms = 1,
        .caller_ms = 3,
        .load = 0.3,
        .length_ms = trouble == REQ_FREEZE_ENTRY ? 40000 : 20000,
        .service_ms = 50,
        .loss = loss,
        .duplicates = true};
}

/* Counts what must never happen. */
static unsigned
broken_promises(const struct request_result *r)
{
    return r->run_twice + r->false_not_run + r->run_after_refusal + r->wrong +
           r->late_at_leaving;
}

/* Runs a case over some seeds. */
static void
test_case(gconstpointer data)
{
    const struct request_case *c = data;

    for (uint64_t seed = 1; seed <= (g_test_slow() ? 60 : 3); seed++) {
        struct request_load load = make_load(c->trouble, seed, c->loss);
        struct request_result r;
        double answered;

        request_load_run(&load, &r);
        answered = 100.0 * r.answered / r.requests;
        g_test_message("%s seed %u: %u requests, %.2f%% answered, %u not "
                       "run, %u unknown, %u lost, broken promises %u",
                       request_load_trouble(c->trouble), (unsigned)seed,
                       r.requests, answered, r.not_run, r.unknown, r.lost,
                       broken_promises(&r));
        g_assert_cmpuint(broken_promises(&r), ==, 0);
        g_assert_cmpfloat(answered, >=, c->answered);
    }
}

/* The naive way breaks promises where ours does not. */
static void
test_naive(void)
{
    struct request_load load = make_load(REQ_KILL_ENTRY, 1, 0);
    struct request_result r;

    load.way = REQ_NAIVE;
    request_load_run(&load, &r);
    g_assert_cmpuint(r.run_twice, >, 0);
}

/* A planned stop of one entry leaves no request without its answer. */
static void
test_one_stop(void)
{
    struct request_load load = make_load(REQ_STOP_ENTRIES, 1, 0);
    struct request_result r;

    load.length_ms = 3400; /* one stop, at 1,000 ms */
    load.duplicates = false;
    request_load_run(&load, &r);
    g_assert_cmpuint(r.requests, >, 500);
    g_assert_cmpuint(r.answered, ==, r.requests);
}

/* Under twice the capacity most of it goes to answers, refusals come at
 * once, and callers who come back as told are answered. */
static void
test_overload(void)
{
    struct request_load load = make_load(REQ_CALM, 1, 0);
    struct request_result r;

    load.load = 0.5;
    load.overload = 2.0;
    load.overload_ms = 20000;
    load.length_ms = 40000;
    load.duplicates = false;
    request_load_run(&load, &r);
    g_test_message("goodput %.3f, returned %u, ok %u, retried %u", r.goodput,
                   r.returned, r.returned_ok, r.retried);
    g_assert_cmpfloat(r.goodput, >=, 0.88);
    g_assert_cmpuint(r.returned, >, 1000);
    g_assert_cmpfloat((double)r.returned_ok, >=, 0.85 * r.returned);
    g_assert_cmpuint(r.retried * 10, <=, r.requests);
    g_assert_cmpuint(broken_promises(&r), ==, 0);
}

/* Safeguards left out, and the trouble that shows it. */
struct mutation {
    const char *name;
    enum request_trouble trouble;
    enum fault faults[2]; /* FAULT_NONE: no second one */
};

static const struct mutation mutations[] = {
    {"one-grant-is-enough", REQ_CALM, {FAULT_NO_MAJORITY, FAULT_NONE}},
    {"earlier-epochs-are-not-read",
     REQ_EPOCHS,
     {FAULT_NO_OLD_EPOCHS, FAULT_NONE}},
    {"no-fence-between-epochs",
     REQ_EPOCHS,
     {FAULT_NO_FENCE, FAULT_NO_OLD_EPOCHS}},
};

/* Leaves the safeguards of a mutation out, or puts them back. */
static void
set_faults(const struct mutation *m, bool left_out)
{
    for (size_t i = 0; i < G_N_ELEMENTS(m->faults); i++) {
        if (m->faults[i] != FAULT_NONE) {
            fault_trials[m->faults[i]] = left_out;
        }
    }
}

/* Looks for a seed that catches the mutation. */
static void
test_mutation(gconstpointer data)
{
    const struct mutation *m = data;

    for (uint64_t seed = 1; seed <= 20; seed++) {
        struct request_load load = make_load(m->trouble, seed, 20);
        struct request_result r;

        set_faults(m, true);
        request_load_run(&load, &r);
        set_faults(m, false);
        if (broken_promises(&r) > 0) {
            g_test_message("%s: seed %u: twice %u, false %u", m->name,
                           (unsigned)seed, r.run_twice, r.false_not_run);
            return;
        }
    }
    g_test_message("no seed catches %s", m->name);
    g_test_fail();
}

/* Adds the tables. */
int
main(int argc, char **argv)
{
    char path[128];

    g_test_init(&argc, &argv, NULL);
    g_test_set_nonfatal_assertions();
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        (void)snprintf(path, sizeof(path), "/request/scene/%s-loss-%u",
                       request_load_trouble(cases[i].trouble), cases[i].loss);
        g_test_add_data_func(path, &cases[i], test_case);
    }
    g_test_add_func("/request/naive-breaks", test_naive);
    g_test_add_func("/request/one-planned-stop", test_one_stop);
    g_test_add_func("/request/overload", test_overload);
    for (size_t i = 0; i < G_N_ELEMENTS(mutations); i++) {
        (void)snprintf(path, sizeof(path), "/request/mutation/%s",
                       mutations[i].name);
        g_test_add_data_func(path, &mutations[i], test_mutation);
    }
    return g_test_run();
}
