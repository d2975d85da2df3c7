/*
 * Nodes that lost contact with the fleet find it again. Guards against nodes
 * that restart together, know only each other and are contacted by nobody: new
 * disks then join them instead of the control quorum, which loses its disks.
 */
#include <glib.h>

#include "cases.h"
#include "fleet-sim.h"
#include "mutation.h"

#define SEEDS 8
#define SETTLE_MS 6000 /* from the first start to the first submission */
#define OPERATOR_TIMEOUT_MS 8000 /* limit for an operator's request */
#define DOWN_MS 7000             /* longer than FLEET_MEMBER_TIMEOUT_MS */
#define REJOIN_MS 4000  /* from a restart until the fleet has the node */
#define REPLACE_MS 5000 /* between replacements of nodes with a disk */
#define APPLY_MS 3000   /* until a table is in force at all nodes */
#define SEED_NODES 3
/* Until a node has noticed the loss of the leader, and so has another one that
 * adopted the leader from its last hello. */
#define STALE_MS                                                              \
    (2 * (FLEET_LEADER_TIMEOUT_MS + FLEET_HELLO_INTERVAL_MS) + 100)
#define TRAFFIC_DISKS 5
#define TRAFFIC_SETTLE_MS 15000 /* longer than FLEET_SEARCH_ALL_MS */
#define TRAFFIC_MS 10000
#define CONTROL_BYTES_S 4096U /* a node's share for control */

/* A group of nodes that is down or partitioned for DOWN_MS, and restarts. */
struct scenario {
    const char *name;
    int nodes;
    int disks;
    int halls;
    unsigned loss;    /* lost messages per 1,000 */
    int first_seed;   /* of the seeds that are set before */
    int first_down;   /* first node of the group */
    int down;         /* nodes of the group */
    bool partitioned; /* they restart while partitioned from the others */
    bool seeds_stay_down;
    bool leader_restarts; /* while the group is down */
    int replaced;         /* nodes with a disk, one at a time afterwards */
};

static const struct scenario scenarios[] = {
    {.name = "seeds-down",
     .nodes = 11,
     .disks = 3,
     .first_seed = 8,
     .first_down = 8,
     .down = 3,
     .replaced = 3},
    {.name = "seeds-partitioned",
     .nodes = 11,
     .disks = 3,
     .first_seed = 8,
     .first_down = 8,
     .down = 3,
     .partitioned = true,
     .replaced = 3},
    {.name = "seeds-down-lossy",
     .nodes = 11,
     .disks = 3,
     .loss = 50,
     .first_seed = 8,
     .first_down = 8,
     .down = 3,
     .replaced = 3},
    {.name = "seeds-and-others-down",
     .nodes = 11,
     .disks = 3,
     .first_seed = 8,
     .first_down = 5,
     .down = 6,
     .replaced = 2},
    {.name = "leader-restarts-meanwhile",
     .nodes = 11,
     .disks = 3,
     .first_seed = 8,
     .first_down = 8,
     .down = 3,
     .leader_restarts = true,
     .replaced = 3},
    {.name = "seeds-stay-down",
     .nodes = 14,
     .disks = 3,
     .first_seed = 11,
     .first_down = 8,
     .down = 6,
     .seeds_stay_down = true},
    {.name = "hall-down",
     .nodes = 60,
     .disks = 5,
     .halls = 5,
     .first_seed = 40,
     .first_down = 40,
     .down = 12,
     .replaced = 3},
    {.name = "most-down",
     .nodes = 60,
     .disks = 5,
     .halls = 5,
     .first_seed = 20,
     .first_down = 10,
     .down = 50,
     .replaced = 3},
};

static bool
is_down_seed(const struct scenario *c, int n)
{
    return c->seeds_stay_down && n >= c->first_seed &&
           n < c->first_seed + SEED_NODES;
}

/* Partitions the group from the other nodes, or reunites them. */
static void
set_partitioned(struct fleet_sim *sim, const struct scenario *c,
                bool partitioned)
{
    for (int n = c->first_down; n < c->first_down + c->down; n++) {
        for (int other = 0; other < sim->count; other++) {
            if (other < c->first_down || other >= c->first_down + c->down) {
                fleet_sim_partition(sim, n, other, partitioned);
            }
        }
    }
}

static void
restart_leader(struct fleet_sim *sim)
{
    int leader = fleet_sim_leader(sim);

    g_assert_cmpint(leader, >=, 0);
    fleet_sim_kill(sim, leader);
    fleet_sim_run(sim, sim->now + DOWN_MS / 2);
    fleet_sim_start(sim, leader);
}

/* Takes the group down, and brings it back after DOWN_MS. */
static void
run_outage(struct fleet_sim *sim, const struct scenario *c)
{
    uint64_t until = sim->now + DOWN_MS;

    if (c->partitioned) {
        set_partitioned(sim, c, true);
    }
    for (int n = c->first_down; n < c->first_down + c->down; n++) {
        fleet_sim_kill(sim, n);
        if (c->partitioned) {
            fleet_sim_start(sim, n);
        }
    }
    if (c->leader_restarts) {
        restart_leader(sim);
    }
    fleet_sim_run(sim, until);
    set_partitioned(sim, c, false);
    for (int n = c->first_down; n < c->first_down + c->down; n++) {
        if (!is_down_seed(c, n)) {
            fleet_sim_start(sim, n);
        }
    }
}

/* Counts the running nodes that do not know the leader, are unknown to it or
 * do not serve the acknowledged table. */
static int
count_apart(const struct fleet_sim *sim)
{
    int leader = fleet_sim_leader(sim);
    int count = 0;

    for (int n = 0; n < sim->count; n++) {
        const struct fleet *fleet = &sim->nodes[n].fleet;

        if (!sim->nodes[n].up || n == leader) {
            continue;
        }
        count +=
            leader < 0 || fleet->leader != sim->nodes[leader].address ||
            !g_hash_table_contains(sim->nodes[leader].fleet.members,
                                   GUINT_TO_POINTER(sim->nodes[n].address)) ||
            !fleet->settled ||
            fleet->routes.bundle_version != sim->acked_version;
    }
    return count;
}

static void
run_scenario(const struct scenario *c, uint64_t seed)
{
    struct fleet_sim_options options = {.nodes = c->nodes,
                                        .disks = c->disks,
                                        .halls = c->halls,
                                        .loss = c->loss,
                                        .upstreams = 6,
                                        .seed = seed};
    struct fleet_sim *sim = fleet_sim_new(&options);

    fleet_sim_run(sim, sim->now + SETTLE_MS);
    g_assert_true(fleet_sim_put(sim, 1, OPERATOR_TIMEOUT_MS));
    fleet_sim_set_seeds(sim, c->first_seed);
    fleet_sim_run(sim, sim->now + 1000);
    run_outage(sim, c);
    fleet_sim_run(sim, sim->now + REJOIN_MS);
    g_assert_cmpint(count_apart(sim), ==, 0);
    g_assert_true(fleet_sim_put(sim, 2, OPERATOR_TIMEOUT_MS));
    for (int n = 0; n < c->replaced; n++) {
        (void)fleet_sim_replace(sim, n);
        fleet_sim_run(sim, sim->now + REPLACE_MS);
    }
    g_assert_true(fleet_sim_get(sim, OPERATOR_TIMEOUT_MS));
    g_assert_cmpuint(sim->read_version, ==, 2);
    fleet_sim_run(sim, sim->now + APPLY_MS);
    g_assert_cmpint(count_apart(sim), ==, 0);
    g_assert_cmpstr(sim->violation, ==, "");
    fleet_sim_free(sim);
}

static void
test_scenario(const void *data)
{
    for (uint64_t seed = 1; seed <= SEEDS; seed++) {
        run_scenario(data, seed);
    }
}

/* Counts the running nodes that know a leader. */
static int
count_with_leader(const struct fleet_sim *sim)
{
    int count = 0;

    for (int n = 0; n < sim->count; n++) {
        count += sim->nodes[n].up && sim->nodes[n].fleet.leader != 0;
    }
    return count;
}

/* Restarts the nodes from an index on one at a time, so that they send their
 * hellos at different times. */
static void
spread_hellos(struct fleet_sim *sim, int first)
{
    for (int n = first; n < sim->count; n++) {
        fleet_sim_kill(sim, n);
        fleet_sim_start(sim, n);
        fleet_sim_run(sim, sim->now + 70);
    }
    fleet_sim_run(sim, sim->now + 1000);
}

/* After the loss of all disks, nodes must not keep telling each other of the
 * last leader; once the disks are back, all must find the new one. */
static void
test_stale_leader(void)
{
    for (uint64_t seed = 1; seed <= SEEDS; seed++) {
        struct fleet_sim_options options = {
            .nodes = 11, .disks = 3, .upstreams = 6, .seed = seed};
        struct fleet_sim *sim = fleet_sim_new(&options);

        fleet_sim_run(sim, sim->now + SETTLE_MS);
        g_assert_true(fleet_sim_put(sim, 1, OPERATOR_TIMEOUT_MS));
        spread_hellos(sim, options.disks);
        for (int n = 0; n < options.disks; n++) {
            fleet_sim_kill(sim, n);
        }
        fleet_sim_run(sim, sim->now + STALE_MS);
        for (int i = 0; i < 20; i++) {
            fleet_sim_run(sim, sim->now + 300);
            g_assert_cmpint(count_with_leader(sim), ==, 0);
        }
        for (int n = 0; n < options.disks; n++) {
            fleet_sim_start(sim, n);
        }
        fleet_sim_run(sim, sim->now + REJOIN_MS);
        g_assert_cmpint(count_apart(sim), ==, 0);
        fleet_sim_free(sim);
    }
}

/* Nodes that stay down, and what the others send meanwhile. */
struct traffic_case {
    const char *name;
    int first_down;
    int down;
};

static const struct traffic_case traffics[] = {
    {"none-down", 0, 0},
    {"disks-down", 0, TRAFFIC_DISKS},
    {"disks-and-seeds-down", 0, TRAFFIC_DISKS + SEED_NODES},
    {"third-down", 200, 100},
    {"most-down", 0, 290},
};

/* A node without a disk must stay within its share for control, also while
 * nobody answers it. */
static void
test_traffic(const void *data)
{
    const struct traffic_case *c = data;
    struct fleet_sim_options options = {.nodes = 300,
                                        .disks = TRAFFIC_DISKS,
                                        .halls = TRAFFIC_DISKS,
                                        .upstreams = 6,
                                        .seed = 1};
    struct fleet_sim *sim = fleet_sim_new(&options);
    uint64_t most = 0;

    fleet_sim_run(sim, sim->now + SETTLE_MS);
    g_assert_true(fleet_sim_put(sim, 1, OPERATOR_TIMEOUT_MS));
    fleet_sim_set_seeds(sim, TRAFFIC_DISKS);
    for (int n = c->first_down; n < c->first_down + c->down; n++) {
        fleet_sim_kill(sim, n);
    }
    fleet_sim_run(sim, sim->now + TRAFFIC_SETTLE_MS);
    for (int n = 0; n < sim->count; n++) {
        sim->nodes[n].bytes_sent = 0;
    }
    fleet_sim_run(sim, sim->now + TRAFFIC_MS);
    for (int n = TRAFFIC_DISKS; n < sim->count; n++) {
        if (sim->nodes[n].up) {
            most = MAX(most, sim->nodes[n].bytes_sent * 1000 / TRAFFIC_MS);
        }
    }
    g_test_message("%s: at most %llu bytes per second", c->name,
                   (unsigned long long)most);
    g_assert_cmpuint(most, <, CONTROL_BYTES_S);
    fleet_sim_free(sim);
}

/* A leader that was not scheduled for a while must not forget the members
 * whose hellos it has not read yet; one that sends none afterwards is lost. */
static void
test_stalled_leader(void)
{
    struct fleet_options options = {.address = 9, .identity = 9, .seed = 1};
    wire_msg hello = {.kind = WIRE_HELLO};
    struct upstream_set upstreams;
    struct fleet fleet;
    uint64_t now = 1000;
    uint64_t until;

    upstream_open(&upstreams, options.address, FLEET_SIM_REGISTRATION_MS);
    fleet_open(&fleet, now, &options, &upstreams);
    fleet_set_leader(&fleet, now, 1, options.address);
    hello.wire_msg_u.hello.self.address = 1;
    fleet_receive(&fleet, now, &hello);
    for (; now < 3000; now += 100) {
        fleet_tick(&fleet, now);
    }
    now += DOWN_MS;
    fleet_tick(&fleet, now);
    g_assert_cmpuint(g_hash_table_size(fleet.members), ==, 1);
    until = now + FLEET_MEMBER_TIMEOUT_MS + 500;
    for (; now < until; now += 100) {
        fleet_tick(&fleet, now);
    }
    g_assert_cmpuint(g_hash_table_size(fleet.members), ==, 0);
    fleet_close(&fleet);
    upstream_close(&upstreams);
}

/* Counts the messages to an address that are to be sent. */
static int
count_sends(struct fleet *fleet, uint32_t to)
{
    size_t count;
    const struct fleet_action *all = fleet_actions(fleet, &count);
    int sends = 0;

    for (size_t i = 0; i < count; i++) {
        sends += all[i].kind == FLEET_SEND && all[i].to == to;
    }
    return sends;
}

/* The voters stored on a disk must be asked for the leader also after a reload
 * of the settings. */
static void
test_reload_keeps_voters(void)
{
    static const uint32_t first_seed = 1;
    static const uint32_t second_seed = 2;
    static const uint32_t voter = 3;
    struct fleet_options options = {.address = 9, .identity = 9, .seed = 1};
    struct upstream_set upstreams;
    struct fleet fleet;

    upstream_open(&upstreams, options.address, FLEET_SIM_REGISTRATION_MS);
    fleet_open(&fleet, 1000, &options, &upstreams);
    fleet_set_seeds(&fleet, &first_seed, 1);
    fleet_add_voter(&fleet, voter);
    fleet_set_seeds(&fleet, &second_seed, 1);
    fleet_tick(&fleet, 1000);
    g_assert_cmpint(count_sends(&fleet, first_seed), ==, 0);
    g_assert_cmpint(count_sends(&fleet, second_seed), ==, 1);
    g_assert_cmpint(count_sends(&fleet, voter), ==, 1);
    fleet_close(&fleet);
    upstream_close(&upstreams);
}

/* Disabled safeguards and the tests that must detect them. */
static const struct mutation mutations[] = {
    {"no-contacts", FAULT_NO_CONTACTS, "/rejoin/seeds-down"},
    {"stale-leader", FAULT_STALE_LEADER, "/rejoin/stale-leader"},
};

int
main(int argc, char **argv)
{
    char path[128];

    mutation_init();
    g_test_init(&argc, &argv, NULL);
    g_test_set_nonfatal_assertions();
    CASES_ADD("/rejoin/", scenarios, test_scenario)
    CASES_ADD("/rejoin/traffic/", traffics, test_traffic)
    g_test_add_func("/rejoin/stale-leader", test_stale_leader);
    g_test_add_func("/rejoin/stalled-leader", test_stalled_leader);
    g_test_add_func("/rejoin/reload-keeps-voters", test_reload_keeps_voters);
    CASES_ADD("/rejoin/mutation/", mutations, mutation_test)
    return g_test_run();
}
