/*
 * What the nodes of a fleet know of upstreams, in simulated time: who leaves,
 * dies or is doubted, with and without the node that hears it, and records
 * that a node lacks.
 */
#include <glib.h>
#include <stdio.h>

#include "cases.h"
#include "fleet-sim.h"
#include "mutation.h"

#define SETTLE_MS 6000 /* from the first start to the first table */
#define KNOWN_UPSTREAMS 18
#define MANY_UPSTREAMS 64
#define UPSTREAMS 640  /* of a fleet that repairs its records */
#define FORGOTTEN 16   /* records that a node loses */
#define REPAIR_MS 3000 /* it has them again within it */
#define REPAIR_BYTES                                                          \
    60000U /* most that all nodes send meanwhile, of which 50 KB are calm */
#define LOST_PUSH_MS 50   /* in which what a node sends is lost */
#define RESENT_MS 350     /* what was lost is known within it */
#define LOOK_MS 100       /* between two looks at what nodes believe */
#define LOST_UPSTREAMS 16 /* that are lost with their node */
#define DROP_MS 1500      /* after that all know that a node is dropped */
#define DOUBTED_MS 150    /* from the last doubt until all believe it */
#define NODES 32          /* of a fleet with many joins or losses */
#define NOTICE_MS 8000    /* then its upstreams are known to be silent */

/* What becomes known of upstreams. */
struct known {
    const char *name;
    unsigned loss;
    bool leave;       /* upstream 0 says that it leaves */
    bool die;         /* upstream 0 says nothing any more */
    bool lose_keeper; /* at the same moment its keeper dies */
    uint64_t within_ms;
    enum upstream_state state;
};

static const struct known knowns[] = {
    {"ready", 0, false, false, false, 2000, UPSTREAM_READY},
    {"leaving", 0, true, false, false, 2000, UPSTREAM_LEAVING},
    {"leaving-lossy", 100, true, false, false, 3500, UPSTREAM_LEAVING},
    {"dies", 0, false, true, false, 4000, UPSTREAM_SILENT},
    {"dies-with-keeper", 0, false, true, true, 12000, UPSTREAM_SILENT},
    {"keeper-dies", 0, false, false, true, 12000, UPSTREAM_READY},
};

/* Checks that all nodes believe the same of upstream 0. */
static void
test_known(const void *data)
{
    const struct known *known = data;
    struct fleet_sim_options options = {.nodes = 11,
                                        .disks = 3,
                                        .upstreams = KNOWN_UPSTREAMS,
                                        .seed = 3,
                                        .loss = known->loss};
    struct fleet_sim *sim = fleet_sim_new(&options);
    struct fleet_sim_upstream *u = &sim->upstreams[0];

    fleet_sim_run(sim, sim->now + SETTLE_MS);
    u->leaving = known->leave;
    u->up = !known->die;
    if (known->lose_keeper) {
        fleet_sim_kill(sim, u->keeper);
    }
    fleet_sim_run(sim, sim->now + known->within_ms);
    for (int i = 0; i < sim->count; i++) {
        const struct upstream *found;

        if (!sim->nodes[i].up) {
            continue;
        }
        found = upstream_by_id(&sim->nodes[i].upstreams, u->id);
        g_assert_nonnull(found);
        g_assert_cmpint(found->state, ==, known->state);
        g_assert_cmpuint(sim->nodes[i].upstreams.all->len, ==,
                         KNOWN_UPSTREAMS);
    }
    fleet_sim_free(sim);
}

/* An upstream says that it leaves, or ends, while all that its keeper sends is
 * lost: all know it a moment after, without a comparison that finds it. */
static void
test_push_lost(const void *data)
{
    bool ends = data != NULL;
    struct fleet_sim_options options = {
        .nodes = 11, .disks = 3, .upstreams = KNOWN_UPSTREAMS, .seed = 3};
    struct fleet_sim *sim = fleet_sim_new(&options);
    struct fleet_sim_upstream *u = &sim->upstreams[0];
    enum upstream_state state = ends ? UPSTREAM_GONE : UPSTREAM_LEAVING;
    int keeper;

    fleet_sim_run(sim, sim->now + SETTLE_MS);
    keeper = u->keeper;
    fleet_sim_isolate(sim, keeper, true);
    if (ends) {
        u->up = false;
        (void)upstream_deregister(&sim->nodes[keeper].upstreams, sim->now,
                                  u->id, 0);
    }
    else {
        u->leaving = true;
        u->register_at = sim->now;
    }
    fleet_sim_run(sim, sim->now + LOST_PUSH_MS);
    fleet_sim_isolate(sim, keeper, false);
    /* What comparisons find is not looked for here. */
    for (int n = 0; n < sim->count; n++) {
        sim->nodes[n].fleet.compare_at = UINT64_MAX;
    }
    fleet_sim_run(sim, sim->now + RESENT_MS);
    for (int n = 0; n < sim->count; n++) {
        g_assert_cmpint(upstream_by_id(&sim->nodes[n].upstreams, u->id)->state,
                        ==, state);
    }
    fleet_sim_free(sim);
}

/* A keeper that restarts at once still hears its upstreams: nobody may believe
 * that they are silent. */
static void
test_keeper_restarts(void)
{
    struct fleet_sim_options options = {
        .nodes = 11, .disks = 3, .upstreams = KNOWN_UPSTREAMS, .seed = 3};
    struct fleet_sim *sim = fleet_sim_new(&options);
    struct fleet_sim_upstream *u = &sim->upstreams[0];
    uint64_t until;

    u->keeper = sim->count - 1;
    fleet_sim_run(sim, sim->now + SETTLE_MS);
    g_assert_cmpint(u->keeper, ==, sim->count - 1);
    fleet_sim_kill(sim, u->keeper);
    fleet_sim_start(sim, u->keeper);
    until = sim->now + FLEET_MEMBER_TIMEOUT_MS + NOTICE_MS;
    while (sim->now < until) {
        fleet_sim_run(sim, sim->now + LOOK_MS);
        for (int i = 0; i < sim->count; i++) {
            const struct upstream *found =
                upstream_by_id(&sim->nodes[i].upstreams, u->id);

            g_assert_true(found == NULL || found->state == UPSTREAM_READY);
        }
    }
    g_assert_cmpint(u->keeper, ==, sim->count - 1);
    fleet_sim_free(sim);
}

/* Counts the nodes' records of lost upstreams that are silent, or watched. */
static void
count_lost(const struct fleet_sim *sim, unsigned *silent, unsigned *watched)
{
    *silent = 0;
    *watched = 0;
    for (int i = 0; i < LOST_UPSTREAMS; i++) {
        for (int n = 0; n < sim->count; n++) {
            const struct upstream *u;

            if (!sim->nodes[n].up) {
                continue;
            }
            u = upstream_by_id(&sim->nodes[n].upstreams, sim->upstreams[i].id);
            if (u != NULL) {
                *silent += u->state == UPSTREAM_SILENT;
                *watched += u->expire_at != 0;
            }
        }
    }
}

/* When a node is lost together with the upstreams that registered with it, one
 * node watches them and tells the others. If each did, all would tell all,
 * which fills small links (seen: packets of callers 200 ms late). */
static void
test_lost_together(void)
{
    struct fleet_sim_options options = {.nodes = NODES / 2,
                                        .disks = 3,
                                        .upstreams = MANY_UPSTREAMS,
                                        .seed = 5};
    struct fleet_sim *sim = fleet_sim_new(&options);
    int lost = sim->count - 1;
    unsigned silent;
    unsigned watched;

    for (int i = 0; i < LOST_UPSTREAMS; i++) {
        sim->upstreams[i].keeper = lost;
    }
    fleet_sim_run(sim, sim->now + SETTLE_MS);
    fleet_sim_kill(sim, lost);
    for (int i = 0; i < LOST_UPSTREAMS; i++) {
        sim->upstreams[i].up = false;
    }
    fleet_sim_run(sim, sim->now + FLEET_MEMBER_TIMEOUT_MS + DROP_MS);
    count_lost(sim, &silent, &watched);
    g_assert_cmpuint(silent, ==, 0);
    g_assert_cmpuint(watched, ==, LOST_UPSTREAMS);
    fleet_sim_run(sim, sim->now + NOTICE_MS);
    count_lost(sim, &silent, &watched);
    g_assert_cmpuint(silent, ==, LOST_UPSTREAMS * (unsigned)lost);
    g_assert_cmpuint(watched, ==, 0);
    fleet_sim_free(sim);
}

/* A node that lacks a few records of many is sent these, not all. */
static void
test_repair(void)
{
    struct fleet_sim_options options = {
        .nodes = 16, .disks = 3, .upstreams = UPSTREAMS, .seed = 11};
    struct fleet_sim *sim = fleet_sim_new(&options);
    int n = sim->count - 1;
    struct upstream_set *set = &sim->nodes[n].upstreams;
    uint64_t bytes = 0;

    fleet_sim_run(sim, sim->now + SETTLE_MS);
    g_assert_cmpuint(set->all->len, ==, UPSTREAMS);
    for (guint i = 0; i < FORGOTTEN; i++) {
        struct upstream *u = g_ptr_array_index(set->all, 37 * i);

        upstream_drop(set, u);
    }
    for (int i = 0; i < sim->count; i++) {
        sim->nodes[i].bytes_sent = 0;
    }
    fleet_sim_run(sim, sim->now + REPAIR_MS);
    for (int i = 0; i < sim->count; i++) {
        bytes += sim->nodes[i].bytes_sent;
    }
    g_assert_cmpuint(set->all->len, ==, UPSTREAMS);
    g_test_message("bytes %lu", (unsigned long)bytes);
    g_assert_cmpuint(bytes, <, REPAIR_BYTES);
    fleet_sim_free(sim);
}

/* Three nodes that get no answer of an upstream tell the one that hears it,
 * and all believe it silent long before its registrations are missed. */
static void
test_doubted(void)
{
    struct fleet_sim_options options = {
        .nodes = 11, .disks = 3, .upstreams = KNOWN_UPSTREAMS, .seed = 3};
    struct fleet_sim *sim = fleet_sim_new(&options);
    struct fleet_sim_upstream *u = &sim->upstreams[0];
    struct upstream_suspicion doubt = {.quiet_ms = 200};

    fleet_sim_run(sim, sim->now + SETTLE_MS);
    u->up = false;
    doubt.id = u->id;
    fleet_sim_run(sim, sim->now + 2 * doubt.quiet_ms);
    for (int n = 0; n < 3; n++) {
        g_array_append_val(sim->nodes[n].upstreams.suspicions, doubt);
    }
    fleet_sim_run(sim, sim->now + DOUBTED_MS);
    for (int n = 0; n < sim->count; n++) {
        g_assert_cmpint(upstream_by_id(&sim->nodes[n].upstreams, u->id)->state,
                        ==, UPSTREAM_SILENT);
    }
    u->up = true;
    u->register_at = sim->now;
    fleet_sim_run(sim, sim->now + DOUBTED_MS);
    for (int n = 0; n < sim->count; n++) {
        g_assert_cmpint(upstream_by_id(&sim->nodes[n].upstreams, u->id)->state,
                        ==, UPSTREAM_READY);
    }
    fleet_sim_free(sim);
}

/* What is left out, and the test that fails by it. */
static const struct mutation mutations[] = {
    {"no-resend", FAULT_NO_RESEND, "/fleet/upstream/leaving-push-lost"},
};

/* Lists the tests. */
int
main(int argc, char **argv)
{
    char path[128];

    mutation_init();
    g_test_init(&argc, &argv, NULL);
    CASES_ADD("/fleet/upstream/", knowns, test_known)
    g_test_add_data_func("/fleet/upstream/leaving-push-lost", NULL,
                         test_push_lost);
    g_test_add_data_func("/fleet/upstream/gone-push-lost", "ends",
                         test_push_lost);
    g_test_add_func("/fleet/upstream/keeper-restarts", test_keeper_restarts);
    g_test_add_func("/fleet/upstream/lost-together", test_lost_together);
    g_test_add_func("/fleet/upstream/repair", test_repair);
    g_test_add_func("/fleet/upstream/doubted", test_doubted);
    CASES_ADD("/fleet/upstream/mutation/", mutations, mutation_test)
    return g_test_run();
}
