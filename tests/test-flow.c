/*
 * Flows that stay up: scenes of changes and losses over the simulated
 * cluster, with limits on what may break; a trial without pushed records,
 * which must break some; the table and the keepers.
 */
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "flow-load.h"
#include "hash.h"
#include "table.h"

#define ALL "ssssssssssssss"

/* One scene and what it may cost. */
struct flow_case {
    struct flow_scene scene;
    unsigned most_broken; /* of about 9,000 flows */
    unsigned most_late;
    double worst_end;    /* imbalance at the end */
    double most_control; /* bytes/s in the worst minute */
};

static const struct flow_case cases[] = {
    {{"calm", {{0, ACT_END, 0, NULL}}, 15000, false}, 0, 0, 1.15, 300},
    {{"drain", {{2000, ACT_STATES, 0, "slssssssssssss"}}, 20000, false},
     0,
     0,
     1.15,
     2000},
    {{"join", {{2000, ACT_STATES, 0, ALL "s"}}, 20000, false},
     0,
     0,
     1.2,
     2000},
    {{"weights", {{2000, ACT_WEIGHTS, 0, "55555555555559"}}, 20000, false},
     0,
     0,
     1.2,
     2000},
    {{"return",
      {{1000, ACT_STATES, 0, "slssssssssssss"}, {9000, ACT_STATES, 0, ALL}},
      25000,
      false},
     0,
     0,
     1.2,
     2000},
    {{"udp-drain", {{2000, ACT_STATES, 0, "slssssssssssss"}}, 20000, true},
     0,
     0,
     1.15,
     2000},
    {{"stop-entry",
      {{2000, ACT_STOP, 3, NULL}, {9000, ACT_START, 3, NULL}},
      15000,
      false},
     0,
     0,
     1.15,
     2000},
    {{"stop-entry-in-a-drain",
      {{2000, ACT_STATES, 0, "slssssssssssss"}, {2100, ACT_STOP, 3, NULL}},
      20000,
      false},
     0,
     0,
     1.15,
     2000},
    {{"kill-entry",
      {{2000, ACT_KILL, 3, NULL}, {9000, ACT_START, 3, NULL}},
      15000,
      false},
     0,
     0,
     1.15,
     2000},
    {{"second-loss-after-repair",
      {{2000, ACT_STATES, 0, "slssssssssssss"},
       {7000, ACT_KILL, 3, NULL},
       {12500, ACT_KILL, 4, NULL}},
      22000,
      false},
     0,
     0,
     1.15,
     2000},
    {{"views-5s-apart",
      {{2000, ACT_CUT, 1, NULL},
       {2000, ACT_CUT, 5, NULL},
       {2200, ACT_STATES, 0, "slssssssssssss"}},
      25000,
      false},
     3,
     0,
     1.15,
     6000},
    {{"freeze-in-a-drain",
      {{2000, ACT_FREEZE, 2, NULL}, {3000, ACT_STATES, 0, "slssssssssssss"}},
      25000,
      false},
     3,
     0,
     1.15,
     3000},
};

/* The load of all scenes here. */
static struct flow_load
make_load(enum way way, uint64_t seed)
{
    return (struct flow_load){.way = way,
                              .seed = seed,
                              .upstreams = 14,
                              .entries = 11,
                              .halls = 3,
                              .delay_ms = 1,
                              .rtt_ms = 8,
                              .flows = 5000,
                              .new_per_s = 300};
}

/* Runs a case over some seeds. */
static void
test_case(gconstpointer data)
{
    const struct flow_case *c = data;

    for (uint64_t seed = 1; seed <= 3; seed++) {
        struct flow_load load = make_load(WAY_KEEPERS, seed);
        struct flow_result r;

        flow_load_run(&load, &c->scene, &r);
        g_test_message("%s seed %u: broken %u late %u end %.3f control %.0f "
                       "%s",
                       c->scene.name, (unsigned)seed, r.broken,
                       r.late_at_leaving, r.imbalance_end, r.control_worst,
                       r.first_broken);
        g_assert_cmpuint(r.established, >, 5000);
        g_assert_cmpuint(r.broken, <=, c->most_broken);
        g_assert_cmpuint(r.late_at_leaving, <=, c->most_late);
        g_assert_cmpfloat(r.imbalance_end, <=, c->worst_end);
        g_assert_cmpfloat(r.control_worst, <=, c->most_control);
    }
}

/* Random mixes: at most one flow in a thousand breaks over all seeds. */
static void
test_mix(gconstpointer data)
{
    bool apart = GPOINTER_TO_INT(data);
    unsigned broken = 0;
    unsigned established = 0;

    for (uint64_t seed = 1; seed <= (g_test_slow() ? 200 : 6); seed++) {
        struct flow_load load = make_load(WAY_KEEPERS, seed);
        char states[ACTS_MAX][UPSTREAMS_IN_MIX + 1];
        struct flow_scene mix;
        struct flow_result r;

        load.states = "ssssssssssssss--";
        flow_load_mix(seed, 11, &mix, states, apart);
        flow_load_run(&load, &mix, &r);
        broken += r.broken;
        established += r.established;
    }
    g_test_message("broken %u of %u", broken, established);
    g_assert_cmpuint(broken * 1000, <=, established);
}

/* Each part of the steering is needed: without it flows break. */
static void
test_parts(void)
{
    static const enum way ways[] = {WAY_NO_PUSH, WAY_CONSISTENT, WAY_MODULO};

    for (size_t i = 0; i < G_N_ELEMENTS(ways); i++) {
        struct flow_load load = make_load(ways[i], 1);
        struct flow_result r;

        flow_load_run(&load, &cases[1].scene, &r);
        g_test_message("%s: broken %u", flow_load_way(ways[i]), r.broken);
        g_assert_cmpuint(r.broken, >, 0);
    }
}

/* Where packets name their upstream, no flow breaks and nothing new comes to
 * a leaving upstream, with the code of nodes. */
static void
test_evidence(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        struct flow_load load = make_load(WAY_EVIDENCE, 1);
        struct flow_result r;

        if (cases[i].scene.udp) {
            continue;
        }
        flow_load_run(&load, &cases[i].scene, &r);
        g_test_message("%s: broken %u of %u, late %u", cases[i].scene.name,
                       r.broken, r.established, r.late_at_leaving);
        g_assert_cmpuint(r.established, >, 5000);
        g_assert_cmpuint(r.broken, ==, 0);
        g_assert_cmpuint(r.late_at_leaving, ==, 0);
    }
}

/* Each upstream owns its share of the table, and a change moves little. */
static void
test_table(void)
{
    struct table_candidate candidates[15];
    uint32_t size = table_size(15);
    uint16_t *before = g_new(uint16_t, size);
    uint16_t *after = g_new(uint16_t, size);
    uint32_t counts[15] = {0};
    uint32_t moved = 0;

    for (uint64_t i = 0; i < 15; i++) {
        candidates[i].key = hash_pair(HASH_UPSTREAM, i, 80);
        candidates[i].weight = 100;
    }
    table_fill(candidates, 15, size, before);
    candidates[7].weight = 0;
    table_fill(candidates, 15, size, after);
    for (uint32_t i = 0; i < size; i++) {
        counts[before[i]]++;
        moved += before[i] != after[i] && before[i] != 7;
        g_assert_cmpuint(after[i], !=, 7);
    }
    for (int i = 0; i < 15; i++) {
        g_assert_cmpuint(counts[i], >=, size / 15 - 1);
        g_assert_cmpuint(counts[i], <=, size / 15 + 1);
    }
    g_test_message("moved without need: %u of %u", moved, size);
    g_assert_cmpuint(moved, <, size / 10);
    g_free(before);
    g_free(after);
}

/* Keepers stand in distinct halls, and one loss changes one keeper. */
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

/* A handle outlives no upstream: a record of one that left is dead, also
 * when another takes its place in the table. */
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

/* Adds the tables. */
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
        (void)snprintf(path, sizeof(path), "/flow/scene/%s",
                       cases[i].scene.name);
        g_test_add_data_func(path, &cases[i], test_case);
    }
    g_test_add_data_func("/flow/mix", GINT_TO_POINTER(0), test_mix);
    g_test_add_data_func("/flow/mix-views-apart", GINT_TO_POINTER(1),
                         test_mix);
    g_test_add_func("/flow/parts-are-needed", test_parts);
    g_test_add_func("/flow/evidence", test_evidence);
    return g_test_run();
}
