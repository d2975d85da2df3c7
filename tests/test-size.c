/*
 * A fleet at size, in simulated time: 150 nodes, 5 disks, 2,000 upstreams,
 * with the links of the smallest VMs.
 *
 * What was seen: ten seconds after all nodes had been killed, most of them
 * still worked by the table before the one that was acknowledged last, and a
 * third of the requests were not served.
 *
 * How it came about: no leader was elected any more. All nodes looked for one,
 * ten times a second at each disk, and each disk answered each of these hellos
 * with all that the two inventories differed in: 110 MB a second on a link of
 * 12.5. Votes were lost in the same queue, so nodes went on looking. What
 * differed stayed so: a disk kept a third of the upstreams, nodes only sent
 * what they held and never asked for what they lacked, and in a fleet of 300 a
 * pair of nodes met once in 150 s.
 *
 * What proved it: bytes by what they were for, of each disk of 301 nodes with
 * 3,000 upstreams; and this test, which shows the same with half of them.
 */
#include <glib.h>

#include "cases.h"
#include "fleet-sim.h"
#include "mutation.h"

#define NODES 150
#define DISKS 5
#define UPSTREAMS 2000
#define LINK_KB_S 275U        /* 2.2 Mbit/s */
#define DISK_LINK_KB_S 12500U /* 100 Mbit/s */
#define SETTLE_MS 8000        /* from the first start to the first table */
#define OPERATE_MS 8000       /* an operator's call is answered within it */
#define LEADER_MS 4000        /* from a start of all to a leader */
#define IN_FORCE_MS 8000      /* from a start of all to the newest table */
#define KNOWN_MS 8000         /* and to all upstreams at all nodes */
#define OPEN_FLOWS_MS                                                         \
    600 /* and to open flows that go on: the second copy of                   \
           their data, which callers send after 0.6 s */
#define CALM_MS 10000
#define BYTES_CALM 8000U /* a second, most that a node may send */

/* Starts the fleet, and puts two tables. */
static struct fleet_sim *
start(void)
{
    struct fleet_sim_options options = {.nodes = NODES,
                                        .disks = DISKS,
                                        .upstreams = UPSTREAMS,
                                        .seed = 23,
                                        .link_kb_s = LINK_KB_S,
                                        .disk_link_kb_s = DISK_LINK_KB_S};
    struct fleet_sim *sim = fleet_sim_new(&options);

    fleet_sim_run(sim, sim->now + SETTLE_MS);
    g_assert_true(fleet_sim_put(sim, 1, OPERATE_MS));
    fleet_sim_run(sim, sim->now + 2000);
    g_assert_true(fleet_sim_put(sim, 2, OPERATE_MS));
    fleet_sim_run(sim, sim->now + 2000);
    return sim;
}

/* The fewest upstreams that a node knows. */
static guint
fewest_known(const struct fleet_sim *sim)
{
    guint fewest = UPSTREAMS;

    for (int n = 0; n < sim->count; n++) {
        fewest = MIN(fewest, sim->nodes[n].upstreams.all->len);
    }
    return fewest;
}

/* Bytes that all nodes sent so far. */
static uint64_t
sent(const struct fleet_sim *sim)
{
    uint64_t bytes = 0;

    for (int n = 0; n < sim->count; n++) {
        bytes += sim->nodes[n].bytes_sent;
    }
    return bytes;
}

/* Kills a number of nodes at once, the first ones, and starts them. */
static void
restart(struct fleet_sim *sim, int count)
{
    for (int n = 0; n < count; n++) {
        fleet_sim_kill(sim, n);
    }
    for (int n = 0; n < count; n++) {
        fleet_sim_start(sim, n);
    }
}

/* What is killed. */
struct kill {
    const char *name;
    int count; /* of nodes; the first have disks */
};

static const struct kill kills[] = {
    {"disks", DISKS},
    {"all", NODES},
};

/* After a kill there is a leader in time, and then all nodes work by the table
 * that was acknowledged and know all upstreams. */
static void
test_kill(const void *data)
{
    const struct kill *kill = data;
    struct fleet_sim *sim = start();
    uint64_t killed_at = sim->now;
    uint64_t leader_at = 0;
    uint64_t table_at = 0;
    uint64_t known_at = 0;
    uint64_t bytes = sent(sim);

    restart(sim, kill->count);
    while (sim->now < killed_at + KNOWN_MS) {
        fleet_sim_run(sim, sim->now + 50);
        if (leader_at == 0 && fleet_sim_leader(sim) >= 0) {
            leader_at = sim->now;
        }
        if (table_at == 0 && fleet_sim_lowest_version(sim) == 2) {
            table_at = sim->now;
        }
        if (known_at == 0 && fewest_known(sim) == UPSTREAMS) {
            known_at = sim->now;
        }
    }
    g_test_message("%s: a leader after %ld ms, the table after %ld, all "
                   "upstreams after %ld, %.1f KB a node and second",
                   kill->name, (long)(leader_at - killed_at),
                   (long)(table_at - killed_at), (long)(known_at - killed_at),
                   (double)(sent(sim) - bytes) / NODES / KNOWN_MS);
    g_assert_cmpuint(leader_at, !=, 0);
    g_assert_cmpuint(leader_at, <=, killed_at + LEADER_MS);
    g_assert_cmpuint(table_at, !=, 0);
    g_assert_cmpuint(table_at, <=, killed_at + IN_FORCE_MS);
    g_assert_cmpuint(known_at, !=, 0);
    g_assert_cmpuint(sim->deadlines_missed, ==, 0);
    g_assert_cmpstr(sim->broken, ==, "");
    fleet_sim_free(sim);
}

/* Loses half of a node's records, as a disk that holds no more does. */
static void
forget_half(struct fleet_sim_node *node)
{
    struct upstream_set *set = &node->upstreams;

    for (guint i = set->all->len; i >= 2; i -= 2) {
        struct upstream *u = g_ptr_array_index(set->all, i - 1);

        upstream_drop(set, u);
    }
}

/* The leader and all other disks lack half of the upstreams, and other nodes
 * know them: they are told, and the others are not told what they know. */
static void
test_disks_lack(void)
{
    struct fleet_sim *sim = start();
    uint64_t bytes = sent(sim);

    for (int n = 0; n < DISKS; n++) {
        forget_half(&sim->nodes[n]);
    }
    fleet_sim_run(sim, sim->now + KNOWN_MS);
    g_test_message("the fewest %u, %.1f KB a node and second",
                   fewest_known(sim),
                   (double)(sent(sim) - bytes) / NODES / KNOWN_MS);
    g_assert_cmpuint(fewest_known(sim), ==, UPSTREAMS);
    g_assert_cmpuint((sent(sim) - bytes) * 1000 / NODES / KNOWN_MS, <,
                     BYTES_CALM);
    fleet_sim_free(sim);
}

/* While nothing happens, what a node sends does not grow with the fleet. */
static void
test_calm(void)
{
    struct fleet_sim *sim = start();
    uint64_t most = 0;

    fleet_sim_run(sim, sim->now + CALM_MS);
    for (int n = 0; n < sim->count; n++) {
        sim->nodes[n].bytes_sent = 0;
    }
    fleet_sim_run(sim, sim->now + CALM_MS);
    for (int n = 0; n < sim->count; n++) {
        if (n != fleet_sim_leader(sim)) {
            most = MAX(most, sim->nodes[n].bytes_sent);
        }
    }
    g_test_message("%lu bytes a second at the busiest that does not lead",
                   (unsigned long)(most * 1000 / CALM_MS));
    g_assert_cmpuint(most * 1000 / CALM_MS, <, BYTES_CALM);
    g_assert_cmpuint(fewest_known(sim), ==, UPSTREAMS);
    fleet_sim_free(sim);
}

/* One node begins anew in a fleet that is at rest: the leader, which is to
 * tell all of it, meets that deadline. */
static void
test_one_begins(void)
{
    struct fleet_sim *sim = start();

    fleet_sim_run(sim, sim->now + CALM_MS);
    fleet_sim_kill(sim, NODES - 1);
    fleet_sim_start(sim, NODES - 1);
    fleet_sim_run(sim, sim->now + CALM_MS);
    g_assert_cmpuint(sim->deadlines_missed, ==, 0);
    fleet_sim_free(sim);
}

/* The upstream of a flow that a node carries. */
static uint64_t
flow_upstream(const struct fleet_sim *sim, int n)
{
    return sim->upstreams[n * (UPSTREAMS / NODES)].id;
}

/* Nodes that know the upstream of a flow of theirs. */
static int
count_resolved(const struct fleet_sim *sim)
{
    int count = 0;

    for (int n = 0; n < sim->count; n++) {
        count += upstream_by_id(&sim->nodes[n].upstreams,
                                flow_upstream(sim, n)) != NULL;
    }
    return count;
}

/* All nodes are killed and begin at once, each with a caller whose flow is
 * open: its packets, which name an upstream, go on long before the node has
 * the whole inventory. */
static void
test_open_flows(void)
{
    struct fleet_sim *sim = start();
    uint64_t killed_at = sim->now;
    uint64_t resolved_at = 0;

    restart(sim, NODES);
    while (resolved_at == 0 && sim->now < killed_at + KNOWN_MS) {
        fleet_sim_run(sim, sim->now + 10);
        for (int n = 0; n < NODES; n++) {
            if (upstream_by_id(&sim->nodes[n].upstreams,
                               flow_upstream(sim, n)) == NULL) {
                fleet_resolve(&sim->nodes[n].fleet, sim->now,
                              upstream_token(flow_upstream(sim, n)));
                fleet_broadcast_changes(&sim->nodes[n].fleet, sim->now);
            }
        }
        if (count_resolved(sim) == NODES) {
            resolved_at = sim->now;
        }
    }
    g_test_message("all flows go on after %ld ms",
                   (long)(resolved_at - killed_at));
    g_assert_cmpuint(resolved_at, !=, 0);
    g_assert_cmpuint(resolved_at, <=, killed_at + OPEN_FLOWS_MS);
    fleet_sim_free(sim);
}

/* What is left out, and the test that fails by it. */
static const struct mutation mutations[] = {
    {"no-comparisons", FAULT_NO_ANTI_ENTROPY, "/size/disks-lack"},
    {"no-resolve", FAULT_NO_RESOLVE, "/size/open-flows"},
};

/* Lists the tests. */
int
main(int argc, char **argv)
{
    char path[128];

    mutation_init();
    g_test_init(&argc, &argv, NULL);
    g_test_set_nonfatal_assertions();
    CASES_ADD("/size/kill/", kills, test_kill)
    g_test_add_func("/size/disks-lack", test_disks_lack);
    g_test_add_func("/size/calm", test_calm);
    g_test_add_func("/size/open-flows", test_open_flows);
    g_test_add_func("/size/one-begins", test_one_begins);
    CASES_ADD("/size/mutation/", mutations, mutation_test)
    return g_test_run();
}
