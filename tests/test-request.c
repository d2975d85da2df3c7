/*
 * Guards against requests that run twice, false refusals and responses that
 * reach the wrong caller while entries and upstreams fail in the simulated
 * cluster. Mutation tests disable a safeguard, which at least one seed must
 * detect.
 */
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "fault.h"
#include "request-load.h"

/* A fault and the share of requests that must be answered nevertheless. */
struct request_case {
    double answered; /* percent, at least */
    enum request_fault fault;
    unsigned loss; /* of 1,000 messages */
};

static const struct request_case cases[] = {
    {99.9, REQ_NO_FAULT, 0},        {99.9, REQ_NO_FAULT, 20},
    {99.0, REQ_KILL_ENTRY, 5},      {88.0, REQ_KILL_TWO, 5},
    {99.0, REQ_FREEZE_ENTRY, 5},    {96.0, REQ_STOP_ENTRIES, 2},
    {99.5, REQ_PARTITION_ENTRY, 5}, {98.0, REQ_FREEZE_UPSTREAM, 5},
    {90.0, REQ_SHED_UPSTREAMS, 5},  {94.0, REQ_TRUNCATE_RESPONSES, 5},
    {99.5, REQ_DRAIN, 5},           {20.0, REQ_ENTRY_CHURN, 10},
};

static struct request_load
make_load(enum request_fault fault, uint64_t seed, unsigned loss)
{
    return (struct request_load){.fault = fault,
                                 .seed = seed,
                                 .upstreams = 14,
                                 .slots = 3,
                                 .entries = 11,
                                 .halls = 3,
                                 .delay_ms = 1,
                                 .caller_ms = 3,
                                 .load = 0.3,
                                 .length_ms =
                                     fault == REQ_FREEZE_ENTRY ? 40000 : 20000,
                                 .service_ms = 50,
                                 .loss = loss,
                                 .duplicates = true};
}

static unsigned
violations(const struct request_result *r)
{
    return r->run_twice + r->false_not_run + r->run_after_refusal + r->wrong +
           r->late_at_leaving;
}

static void
test_case(gconstpointer data)
{
    const struct request_case *c = data;

    for (uint64_t seed = 1; seed <= (g_test_slow() ? 60 : 3); seed++) {
        struct request_load load = make_load(c->fault, seed, c->loss);
        struct request_result r;
        double answered;

        request_load_run(&load, &r);
        answered = 100.0 * r.answered / r.requests;
        g_test_message("%s seed %u: %u requests, %.2f%% answered, %u not "
                       "run, %u unknown, %u lost, %u violations",
                       request_load_fault_name(c->fault), (unsigned)seed,
                       r.requests, answered, r.not_run, r.unknown, r.lost,
                       violations(&r));
        g_assert_cmpuint(violations(&r), ==, 0);
        g_assert_cmpfloat(answered, >=, c->answered);
    }
}

/* The scenarios can detect double execution: naive retries cause some. */
static void
test_naive(void)
{
    struct request_load load = make_load(REQ_KILL_ENTRY, 1, 0);
    struct request_result r;

    load.policy = REQ_NAIVE;
    request_load_run(&load, &r);
    g_assert_cmpuint(r.run_twice, >, 0);
}

/* A planned stop of an entry must not lose requests. */
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

/* Guards against congestion collapse at twice the capacity, and against
 * Retry-After times after which callers are refused again. */
static void
test_overload(void)
{
    struct request_load load = make_load(REQ_NO_FAULT, 1, 0);
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
    g_assert_cmpuint(violations(&r), ==, 0);
}

/* Disabled safeguards, and the injected fault that exposes their absence. */
struct mutation {
    const char *name;
    enum request_fault fault;
    enum fault disabled[2]; /* FAULT_NONE: only one */
};

static const struct mutation mutations[] = {
    {"one-grant-is-enough", REQ_NO_FAULT, {FAULT_NO_MAJORITY, FAULT_NONE}},
    {"earlier-epochs-are-not-read",
     REQ_ENTRY_CHURN,
     {FAULT_NO_OLD_EPOCHS, FAULT_NONE}},
    {"no-fence-between-epochs",
     REQ_ENTRY_CHURN,
     {FAULT_NO_FENCE, FAULT_NO_OLD_EPOCHS}},
};

static void
disable_safeguards(const struct mutation *m, bool disable)
{
    for (size_t i = 0; i < G_N_ELEMENTS(m->disabled); i++) {
        if (m->disabled[i] != FAULT_NONE) {
            fault_trials[m->disabled[i]] = disable;
        }
    }
}

/* At least one seed must detect the disabled safeguard. */
static void
test_mutation(gconstpointer data)
{
    const struct mutation *m = data;

    for (uint64_t seed = 1; seed <= 20; seed++) {
        struct request_load load = make_load(m->fault, seed, 20);
        struct request_result r;

        disable_safeguards(m, true);
        request_load_run(&load, &r);
        disable_safeguards(m, false);
        if (violations(&r) > 0) {
            g_test_message("%s: seed %u: %u run twice, %u falsely refused",
                           m->name, (unsigned)seed, r.run_twice,
                           r.false_not_run);
            return;
        }
    }
    g_test_message("no seed detects %s", m->name);
    g_test_fail();
}

int
main(int argc, char **argv)
{
    char path[128];

    g_test_init(&argc, &argv, NULL);
    g_test_set_nonfatal_assertions();
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        (void)snprintf(path, sizeof(path), "/request/scenario/%s-loss-%u",
                       request_load_fault_name(cases[i].fault), cases[i].loss);
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
