/*
 * Guards against flows that change their upstream while entries fail and
 * bundles change in the simulated cluster, against uneven load, and against
 * faults of the Maglev table and of the choice of keepers.
 */
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "flow-load.h"
#include "hash.h"
#include "table.h"

#define ALL_SERVING "ssssssssssssss"

/* A scenario and the limits of its result. */
struct flow_case {
    struct flow_scenario scenario;
    unsigned max_broken; /* of about 9,000 flows */
    unsigned max_late;
    double max_end_imbalance; /* max / mean of the upstreams' open flows */
    double max_control;       /* bytes/s in the worst minute */
};

static const struct flow_case cases[] = {
    {{"calm", {{0, LOAD_END, 0, NULL}}, 15000, false}, 0, 0, 1.15, 300},
    {{"drain", {{2000, LOAD_STATES, 0, "slssssssssssss"}}, 20000, false},
     0,
     0,
     1.15,
     2000},
    {{"join", {{2000, LOAD_STATES, 0, ALL_SERVING "s"}}, 20000, false},
     0,
     0,
     1.2,
     2000},
    {{"weights", {{2000, LOAD_WEIGHTS, 0, "55555555555559"}}, 20000, false},
     0,
     0,
     1.2,
     2000},
    {{"return",
      {{1000, LOAD_STATES, 0, "slssssssssssss"},
       {9000, LOAD_STATES, 0, ALL_SERVING}},
      25000,
      false},
     0,
     0,
     1.2,
     2000},
    {{"udp-drain", {{2000, LOAD_STATES, 0, "slssssssssssss"}}, 20000, true},
     0,
     0,
     1.15,
     2000},
    {{"stop-entry",
      {{2000, LOAD_STOP, 3, NULL}, {9000, LOAD_START, 3, NULL}},
      15000,
      false},
     0,
     0,
     1.15,
     2000},
    {{"stop-entry-in-a-drain",
      {{2000, LOAD_STATES, 0, "slssssssssssss"}, {2100, LOAD_STOP, 3, NULL}},
      20000,
      false},
     0,
     0,
     1.15,
     2000},
    {{"kill-entry",
      {{2000, LOAD_KILL, 3, NULL}, {9000, LOAD_START, 3, NULL}},
      15000,
      false},
     0,
     0,
     1.15,
     2000},
    {{"second-loss-after-repair",
      {{2000, LOAD_STATES, 0, "slssssssssssss"},
       {7000, LOAD_KILL, 3, NULL},
       {12500, LOAD_KILL, 4, NULL}},
      22000,
      false},
     0,
     0,
     1.15,
     2000},
    {{"views-5s-apart",
      {{2000, LOAD_PARTITION, 1, NULL},
       {2000, LOAD_PARTITION, 5, NULL},
       {2200, LOAD_STATES, 0, "slssssssssssss"}},
      25000,
      false},
     3,
     0,
     1.15,
     6000},
    {{"freeze-in-a-drain",
      {{2000, LOAD_FREEZE, 2, NULL}, {3000, LOAD_STATES, 0, "slssssssssssss"}},
      25000,
      false},
     3,
     0,
     1.15,
     3000},
};

static struct flow_load
make_load(enum flow_policy policy, uint64_t seed)
{
    return (struct flow_load){.policy = policy,
                              .seed = seed,
                              .upstreams = 14,
                              .entries = 11,
                              .halls = 3,
                              .delay_ms = 1,
                              .rtt_ms = 8,
                              .flows = 5000,
                              .new_per_s = 300};
}

static void
test_case(gconstpointer data)
{
    const struct flow_case *c = data;

    for (uint64_t seed = 1; seed <= 3; seed++) {
        struct flow_load load = make_load(POLICY_KEEPERS, seed);
        struct flow_result r;

        flow_load_run(&load, &c->scenario, &r);
        g_test_message(
            "%s seed %u: broken %u, late %u, imbalance at end %.3f, "
            "control %.0f bytes/s %s",
            c->scenario.name, (unsigned)seed, r.broken, r.late_at_leaving,
            r.imbalance_end, r.control_worst, r.first_broken);
        g_assert_cmpuint(r.established, >, 5000);
        g_assert_cmpuint(r.broken, <=, c->max_broken);
        g_assert_cmpuint(r.late_at_leaving, <=, c->max_late);
        g_assert_cmpfloat(r.imbalance_end, <=, c->max_end_imbalance);
        g_assert_cmpfloat(r.control_worst, <=, c->max_control);
    }
}

/* Random events may break at most 0.1 percent of the flows. */
static void
test_mix(gconstpointer data)
{
    bool partitions = GPOINTER_TO_INT(data);
    unsigned broken = 0;
    unsigned established = 0;

    for (uint64_t seed = 1; seed <= (g_test_slow() ? 200 : 6); seed++) {
        struct flow_load load = make_load(POLICY_KEEPERS, seed);
        char states[LOAD_EVENTS_MAX][MIX_UPSTREAMS + 1];
        struct flow_scenario mix;
        struct flow_result r;

        load.states = "ssssssssssssss--";
        flow_load_random_scenario(seed, 11, &mix, states, partitions);
        flow_load_run(&load, &mix, &r);
        broken += r.broken;
        established += r.established;
    }
    g_test_message("broken %u of %u", broken, established);
    g_assert_cmpuint(broken * 1000, <=, established);
}

/* The scenarios can detect broken flows: each simpler policy breaks some. */
static void
test_ablation(void)
{
    static const enum flow_policy policies[] = {
        POLICY_NO_PUSH, POLICY_CONSISTENT, POLICY_MODULO};

    for (size_t i = 0; i < G_N_ELEMENTS(policies); i++) {
        struct flow_load load = make_load(policies[i], 1);
        struct flow_result r;

        flow_load_run(&load, &cases[1].scenario, &r);
        g_test_message("%s: broken %u", flow_load_policy_name(policies[i]),
                       r.broken);
        g_assert_cmpuint(r.broken, >, 0);
    }
}

/* Steering by evidence tokens must break no flow and assign no new flow to a
 * leaving upstream. */
static void
test_evidence(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct flow_load load = make_load(POLICY_EVIDENCE, 1);
        struct flow_result r;

        if (cases[i].scenario.udp) {
            continue;
        }
        flow_load_run(&load, &cases[i].scenario, &r);
        g_test_message("%s: broken %u of %u, late %u", cases[i].scenario.name,
                       r.broken, r.established, r.late_at_leaving);
        g_assert_cmpuint(r.established, >, 5000);
        g_assert_cmpuint(r.broken, ==, 0);
        g_assert_cmpuint(r.late_at_leaving, ==, 0);
    }
}

/* Guards against uneven shares of the table, and against more remapped buckets
 * than the removal of an upstream requires. */
static void
test_table(void)
{
    struct table_candidate candidates[15];
    uint32_t size = table_size(15);
    uint16_t *before = g_new(uint16_t, size);
    uint16_t *after = g_new(uint16_t, size);
    uint32_t counts[15] = {0};
    uint32_t remapped = 0;

    for (uint64_t i = 0; i < 15; i++) {
        candidates[i].key = hash_pair(HASH_UPSTREAM, i, 80);
        candidates[i].weight = 100;
    }
    table_fill(candidates, 15, size, before);
    candidates[7].weight = 0;
    table_fill(candidates, 15, size, after);
    for (uint32_t i = 0; i < size; i++) {
        counts[before[i]]++;
        remapped += before[i] != after[i] && before[i] != 7;
        g_assert_cmpuint(after[i], !=, 7);
    }
    for (int i = 0; i < 15; i++) {
        g_assert_cmpuint(counts[i], >=, size / 15 - 1);
        g_assert_cmpuint(counts[i], <=, size / 15 + 1);
    }
    g_test_message("remapped unnecessarily: %u of %u buckets", remapped, size);
    g_assert_cmpuint(remapped, <, size / 10);
    g_free(before);
    g_free(after);
}

/* The keepers of a key are in distinct halls, and the loss of a member
 * replaces at most one of them. */
static void
test_keepers(void)
{
    struct member_set set = {0};
    struct member_set fewer = {0};
    struct member members[11] = {{0}};
    const struct member *a[MEMBER_KEEPERS];
    const struct member *b[MEMBER_KEEPERS];

    for (uint64_t i = 0; i < 11; i++) {
        members[i].id = hash_pair(HASH_NAME, i, 7);
        members[i].hall = i % 3;
    }
    member_set_assign(&set, 1, members, 11);
    member_set_assign(&fewer, 2, members, 10);
    for (uint64_t key = 0; key < 2000; key++) {
        int same = 0;

        g_assert_cmpuint(member_keepers(&set, key, 3, a), ==, 3);
        g_assert_cmpuint(member_keepers(&fewer, key, 3, b), ==, 3);
        g_assert_true(a[0]->hall != a[1]->hall && a[1]->hall != a[2]->hall &&
                      a[0]->hall != a[2]->hall);
        for (int i = 0; i < 3; i++) {
            for (int j = 0; j < 3; j++) {
                same += a[i]->id == b[j]->id;
            }
        }
        g_assert_cmpint(same, >=, 2);
    }
    member_set_clear(&set);
    member_set_clear(&fewer);
}

/* A stale upstream id must not resolve, not even after another upstream has
 * reused its slot (ABA). */
static void
test_handles(void)
{
    struct counters counters = {{0}};
    struct flow_options options = {
        .self = 1, .capacity = 1024, .counters = &counters};
    struct flow *flow = flow_new(&options);
    static const char *const states[] = {"ss", "-s", "-ss"};
    upstream_id old = FLOW_NO_UPSTREAM;
    upstream_id owner;
    struct status st;

    for (uint64_t v = 1; v <= 3; v++) {
        char *text = sim_bundle(v, v - 1, states[v - 1], NULL, 3, false);
        struct bundle bundle;

        g_assert_cmpint(bundle_read("t", text, strlen(text), &bundle, &st), ==,
                        STATUS_OK);
        g_assert_true(flow_apply(flow, v, &bundle, NULL, FLOW_STEP_SETTLED));
        for (uint64_t h = 1; v == 1 && h < 100; h++) {
            flow_owners(flow, 0, h, &owner, &old);
            if (flow_upstream(flow, old)->address == 0x0a010001) {
                break;
            }
        }
        g_assert_true((flow_upstream(flow, old) != NULL) == (v == 1));
        bundle_free(&bundle);
        g_free(text);
    }
    flow_free(flow);
}

int
main(int argc, char **argv)
{
    char path[128];

    g_test_init(&argc, &argv, NULL);
    g_test_set_nonfatal_assertions();
    g_test_add_func("/flow/table", test_table);
    g_test_add_func("/flow/keepers", test_keepers);
    g_test_add_func("/flow/handles", test_handles);
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        (void)snprintf(path, sizeof(path), "/flow/scenario/%s",
                       cases[i].scenario.name);
        g_test_add_data_func(path, &cases[i], test_case);
    }
    g_test_add_data_func("/flow/mix", GINT_TO_POINTER(0), test_mix);
    g_test_add_data_func("/flow/mix-views-apart", GINT_TO_POINTER(1),
                         test_mix);
    g_test_add_func("/flow/ablation", test_ablation);
    g_test_add_func("/flow/evidence", test_evidence);
    return g_test_run();
}
