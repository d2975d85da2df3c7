/*
 * Upstream inventory of a fleet, in simulated time: state changes with and
 * without loss of the keeper, retransmission of lost changes, and repair of
 * missing records.
 */
#include <glib.h>
#include <stdio.h>

#include "cases.h"
#include "fleet-sim.h"
#include "mutation.h"

#define SETTLE_MS 6000 /* from the first start to a settled fleet */
#define FEW_UPSTREAMS 18
#define MANY_UPSTREAMS 64
#define UPSTREAMS 640      /* in the repair test */
#define DROPPED_RECORDS 16 /* records dropped at one node */
#define REPAIR_MS 3000     /* until the records are restored */
#define REPAIR_BYTES                                                          \
    60000U                /* limit on bytes of all nodes, with idle traffic */
#define ISOLATED_MS 50    /* how long a node is isolated */
#define RETRANSMIT_MS 350 /* until a lost change has reached all nodes */
#define POLL_MS 100
#define LOST_UPSTREAMS 16      /* stop together with their keeper */
#define MEMBER_REMOVAL_MS 1500 /* until all nodes have removed a member */
#define SUSPICION_MS                                                          \
    150 /* from the last suspicion until all nodes have the new state */
#define NODES 32
#define SILENCE_MS 8000 /* until upstreams without a keeper are silent */

/* A state change of upstream 0. */
struct state_change {
    const char *name;
    unsigned loss;
    bool announce_stop; /* upstream 0 announces its stop */
    bool stop;          /* upstream 0 stops registering */
    bool kill_keeper;   /* its keeper is killed at the same time */
    uint64_t within_ms;
    enum upstream_state state;
};

static const struct state_change state_changes[] = {
    {"ready", 0, false, false, false, 2000, UPSTREAM_READY},
    {"leaving", 0, true, false, false, 2000, UPSTREAM_LEAVING},
    {"leaving-lossy", 100, true, false, false, 3500, UPSTREAM_LEAVING},
    {"stops", 0, false, true, false, 4000, UPSTREAM_SILENT},
    {"stops-with-keeper", 0, false, true, true, 12000, UPSTREAM_SILENT},
    {"keeper-killed", 0, false, false, true, 12000, UPSTREAM_READY},
};

/* All nodes must hold the expected state in time. */
static void
test_state_change(const void *data)
{
    const struct state_change *state_change = data;
    struct fleet_sim_options options = {.nodes = 11,
                                        .disks = 3,
                                        .upstreams = FEW_UPSTREAMS,
                                        .seed = 3,
                                        .loss = state_change->loss};
    struct fleet_sim *sim = fleet_sim_new(&options);
    struct fleet_sim_upstream *u = &sim->upstreams[0];

    fleet_sim_run(sim, sim->now + SETTLE_MS);
    u->leaving = state_change->announce_stop;
    u->up = !state_change->stop;
    if (state_change->kill_keeper) {
        fleet_sim_kill(sim, u->keeper);
    }
    fleet_sim_run(sim, sim->now + state_change->within_ms);
    for (int i = 0; i < sim->count; i++) {
        const struct upstream *record;

        if (!sim->nodes[i].up) {
            continue;
        }
        record = upstream_by_id(&sim->nodes[i].upstreams, u->id);
        g_assert_nonnull(record);
        g_assert_cmpint(record->state, ==, state_change->state);
        g_assert_cmpuint(sim->nodes[i].upstreams.all->len, ==, FEW_UPSTREAMS);
    }
    fleet_sim_free(sim);
}

/* The keeper is isolated when an upstream announces its stop or deregisters:
 * the change must be retransmitted, without an inventory comparison. */
static void
test_lost_change(const void *data)
{
    bool ends = data != NULL;
    struct fleet_sim_options options = {
        .nodes = 11, .disks = 3, .upstreams = FEW_UPSTREAMS, .seed = 3};
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
    fleet_sim_run(sim, sim->now + ISOLATED_MS);
    fleet_sim_isolate(sim, keeper, false);
    /* Disables inventory comparisons. */
    for (int n = 0; n < sim->count; n++) {
        sim->nodes[n].fleet.compare_at = UINT64_MAX;
    }
    fleet_sim_run(sim, sim->now + RETRANSMIT_MS);
    for (int n = 0; n < sim->count; n++) {
        g_assert_cmpint(upstream_by_id(&sim->nodes[n].upstreams, u->id)->state,
                        ==, state);
    }
    fleet_sim_free(sim);
}

/* A keeper restarts: no node may consider its upstreams silent. */
static void
test_keeper_restarts(void)
{
    struct fleet_sim_options options = {
        .nodes = 11, .disks = 3, .upstreams = FEW_UPSTREAMS, .seed = 3};
    struct fleet_sim *sim = fleet_sim_new(&options);
    struct fleet_sim_upstream *u = &sim->upstreams[0];
    uint64_t until;

    u->keeper = sim->count - 1;
    fleet_sim_run(sim, sim->now + SETTLE_MS);
    g_assert_cmpint(u->keeper, ==, sim->count - 1);
    fleet_sim_kill(sim, u->keeper);
    fleet_sim_start(sim, u->keeper);
    until = sim->now + FLEET_MEMBER_TIMEOUT_MS + SILENCE_MS;
    while (sim->now < until) {
        fleet_sim_run(sim, sim->now + POLL_MS);
        for (int i = 0; i < sim->count; i++) {
            const struct upstream *record =
                upstream_by_id(&sim->nodes[i].upstreams, u->id);

            g_assert_true(record == NULL || record->state == UPSTREAM_READY);
        }
    }
    g_assert_cmpint(u->keeper, ==, sim->count - 1);
    fleet_sim_free(sim);
}

/* Counts the records of lost upstreams that are silent, and those that are
 * watched. */
static void
count_lost_records(const struct fleet_sim *sim, unsigned *silent,
                   unsigned *watched)
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

/* A node is lost together with its upstreams: one node watches each of them
 * and announces the result. Guards against every node announcing it, which
 * fills small links. */
static void
test_keeper_and_upstreams_lost(void)
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
    fleet_sim_run(sim, sim->now + FLEET_MEMBER_TIMEOUT_MS + MEMBER_REMOVAL_MS);
    count_lost_records(sim, &silent, &watched);
    g_assert_cmpuint(silent, ==, 0);
    g_assert_cmpuint(watched, ==, LOST_UPSTREAMS);
    fleet_sim_run(sim, sim->now + SILENCE_MS);
    count_lost_records(sim, &silent, &watched);
    g_assert_cmpuint(silent, ==, LOST_UPSTREAMS * (unsigned)lost);
    g_assert_cmpuint(watched, ==, 0);
    fleet_sim_free(sim);
}

/* A node that lacks a few records must receive these, not the whole
 * inventory. */
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
    for (guint i = 0; i < DROPPED_RECORDS; i++) {
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

/* Suspicions from three nodes must make an upstream silent before missed
 * registrations do; its next registration must make it ready. */
static void
test_suspected(void)
{
    struct fleet_sim_options options = {
        .nodes = 11, .disks = 3, .upstreams = FEW_UPSTREAMS, .seed = 3};
    struct fleet_sim *sim = fleet_sim_new(&options);
    struct fleet_sim_upstream *u = &sim->upstreams[0];
    struct upstream_report suspicion = {.quiet_ms = 200};

    fleet_sim_run(sim, sim->now + SETTLE_MS);
    u->up = false;
    suspicion.id = u->id;
    fleet_sim_run(sim, sim->now + 2 * suspicion.quiet_ms);
    for (int n = 0; n < 3; n++) {
        g_array_append_val(sim->nodes[n].upstreams.reports, suspicion);
    }
    fleet_sim_run(sim, sim->now + SUSPICION_MS);
    for (int n = 0; n < sim->count; n++) {
        g_assert_cmpint(upstream_by_id(&sim->nodes[n].upstreams, u->id)->state,
                        ==, UPSTREAM_SILENT);
    }
    u->up = true;
    u->register_at = sim->now;
    fleet_sim_run(sim, sim->now + SUSPICION_MS);
    for (int n = 0; n < sim->count; n++) {
        g_assert_cmpint(upstream_by_id(&sim->nodes[n].upstreams, u->id)->state,
                        ==, UPSTREAM_READY);
    }
    fleet_sim_free(sim);
}

/* Disabled mechanisms and the tests that must detect them. */
static const struct mutation mutations[] = {
    {"no-retransmission", FAULT_NO_RESEND,
     "/fleet/upstream/leaving-push-lost"},
};

int
main(int argc, char **argv)
{
    char path[128];

    mutation_init();
    g_test_init(&argc, &argv, NULL);
    CASES_ADD("/fleet/upstream/", state_changes, test_state_change)
    g_test_add_data_func("/fleet/upstream/leaving-push-lost", NULL,
                         test_lost_change);
    g_test_add_data_func("/fleet/upstream/gone-push-lost", "ends",
                         test_lost_change);
    g_test_add_func("/fleet/upstream/keeper-restarts", test_keeper_restarts);
    g_test_add_func("/fleet/upstream/lost-together",
                    test_keeper_and_upstreams_lost);
    g_test_add_func("/fleet/upstream/repair", test_repair);
    g_test_add_func("/fleet/upstream/suspected", test_suspected);
    CASES_ADD("/fleet/upstream/mutation/", mutations, mutation_test)
    return g_test_run();
}
