/*
 * A large fleet in simulated time: 150 nodes, 5 disks, 2,000 upstreams, and
 * the links of the smallest VMs.
 *
 * Guards against restarts in which hellos and inventory exchange saturate the
 * links of the disks, so that no leader is elected, and against inventories
 * that stay incomplete.
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
#define SETTLE_MS 8000 /* from the first start to the first submission */
#define OPERATOR_TIMEOUT_MS 8000 /* limit for an operator's request */
#define LEADER_MS 4000           /* from a restart to a leader */
#define IN_FORCE_MS 8000  /* from a restart to the newest table at all */
#define INVENTORY_MS 8000 /* from a restart to all upstreams at all nodes */
#define RESOLVE_MS 600    /* from a restart: the second retransmission */
#define IDLE_MS 10000
#define IDLE_BYTES_PER_S 8000U /* limit for one node */

/* Starts the fleet and submits two tables. */
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
    g_assert_true(fleet_sim_put(sim, 1, OPERATOR_TIMEOUT_MS));
    fleet_sim_run(sim, sim->now + 2000);
    g_assert_true(fleet_sim_put(sim, 2, OPERATOR_TIMEOUT_MS));
    fleet_sim_run(sim, sim->now + 2000);
    return sim;
}

/* Size of the smallest inventory. */
static guint
min_inventory(const struct fleet_sim *sim)
{
    guint fewest = UPSTREAMS;

    for (int n = 0; n < sim->count; n++) {
        fewest = MIN(fewest, sim->nodes[n].upstreams.all->len);
    }
    return fewest;
}

/* Bytes sent by all nodes. */
static uint64_t
sum_bytes_sent(const struct fleet_sim *sim)
{
    uint64_t bytes = 0;

    for (int n = 0; n < sim->count; n++) {
        bytes += sim->nodes[n].bytes_sent;
    }
    return bytes;
}

/* Restarts the first `count` nodes. */
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

/* Nodes that restart together. */
struct restart_case {
    const char *name;
    int count; /* the first nodes have disks */
};

static const struct restart_case restart_cases[] = {
    {"disks", DISKS},
    {"all", NODES},
};

/* After a restart, a leader, the acknowledged table and the whole inventory
 * must be back in time, without a missed deadline. */
static void
test_restart(const void *data)
{
    const struct restart_case *restart_case = data;
    struct fleet_sim *sim = start();
    uint64_t restarted_at = sim->now;
    uint64_t leader_at = 0;
    uint64_t table_at = 0;
    uint64_t inventory_at = 0;
    uint64_t bytes = sum_bytes_sent(sim);

    restart(sim, restart_case->count);
    while (sim->now < restarted_at + INVENTORY_MS) {
        fleet_sim_run(sim, sim->now + 50);
        if (leader_at == 0 && fleet_sim_leader(sim) >= 0) {
            leader_at = sim->now;
        }
        if (table_at == 0 && fleet_sim_lowest_version(sim) == 2) {
            table_at = sim->now;
        }
        if (inventory_at == 0 && min_inventory(sim) == UPSTREAMS) {
            inventory_at = sim->now;
        }
    }
    g_test_message(
        "%s: leader after %ld ms, table after %ld, all "
        "upstreams after %ld, %.1f KB/s per node",
        restart_case->name, (long)(leader_at - restarted_at),
        (long)(table_at - restarted_at), (long)(inventory_at - restarted_at),
        (double)(sum_bytes_sent(sim) - bytes) / NODES / INVENTORY_MS);
    g_assert_cmpuint(leader_at, !=, 0);
    g_assert_cmpuint(leader_at, <=, restarted_at + LEADER_MS);
    g_assert_cmpuint(table_at, !=, 0);
    g_assert_cmpuint(table_at, <=, restarted_at + IN_FORCE_MS);
    g_assert_cmpuint(inventory_at, !=, 0);
    g_assert_cmpuint(sim->deadlines_missed, ==, 0);
    g_assert_cmpstr(sim->violation, ==, "");
    fleet_sim_free(sim);
}

/* Drops half of a node's records, as if its disk held only the rest. */
static void
drop_half(struct fleet_sim_node *node)
{
    struct upstream_set *set = &node->upstreams;

    for (guint i = set->all->len; i >= 2; i -= 2) {
        struct upstream *u = g_ptr_array_index(set->all, i - 1);

        upstream_drop(set, u);
    }
}

/* All disks lack half of the upstreams that other nodes have: the records
 * must be restored without resending the rest. */
static void
test_incomplete_disks(void)
{
    struct fleet_sim *sim = start();
    uint64_t bytes = sum_bytes_sent(sim);

    for (int n = 0; n < DISKS; n++) {
        drop_half(&sim->nodes[n]);
    }
    fleet_sim_run(sim, sim->now + INVENTORY_MS);
    g_test_message(
        "smallest inventory %u, %.1f KB/s per node", min_inventory(sim),
        (double)(sum_bytes_sent(sim) - bytes) / NODES / INVENTORY_MS);
    g_assert_cmpuint(min_inventory(sim), ==, UPSTREAMS);
    g_assert_cmpuint((sum_bytes_sent(sim) - bytes) * 1000 / NODES /
                         INVENTORY_MS,
                     <, IDLE_BYTES_PER_S);
    fleet_sim_free(sim);
}

/* The idle traffic of a node must not grow with the fleet. */
static void
test_idle(void)
{
    struct fleet_sim *sim = start();
    uint64_t highest = 0;

    fleet_sim_run(sim, sim->now + IDLE_MS);
    for (int n = 0; n < sim->count; n++) {
        sim->nodes[n].bytes_sent = 0;
    }
    fleet_sim_run(sim, sim->now + IDLE_MS);
    for (int n = 0; n < sim->count; n++) {
        if (n != fleet_sim_leader(sim)) {
            highest = MAX(highest, sim->nodes[n].bytes_sent);
        }
    }
    g_test_message("%lu bytes/s at the busiest node other than the leader",
                   (unsigned long)(highest * 1000 / IDLE_MS));
    g_assert_cmpuint(highest * 1000 / IDLE_MS, <, IDLE_BYTES_PER_S);
    g_assert_cmpuint(min_inventory(sim), ==, UPSTREAMS);
    fleet_sim_free(sim);
}

/* A node restarts in an idle fleet: the leader, which sends it everything,
 * must meet its deadlines. */
static void
test_one_restarts(void)
{
    struct fleet_sim *sim = start();

    fleet_sim_run(sim, sim->now + IDLE_MS);
    fleet_sim_kill(sim, NODES - 1);
    fleet_sim_start(sim, NODES - 1);
    fleet_sim_run(sim, sim->now + IDLE_MS);
    g_assert_cmpuint(sim->deadlines_missed, ==, 0);
    fleet_sim_free(sim);
}

/* Upstream of the open flow at a node. */
static uint64_t
flow_upstream(const struct fleet_sim *sim, int n)
{
    return sim->upstreams[n * (UPSTREAMS / NODES)].id;
}

/* Counts the nodes that have the upstream of their flow. */
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

/* All nodes restart, each with an open flow: packets that name an upstream
 * must be forwarded before the inventory is complete. */
static void
test_open_flows(void)
{
    struct fleet_sim *sim = start();
    uint64_t restarted_at = sim->now;
    uint64_t resolved_at = 0;

    restart(sim, NODES);
    while (resolved_at == 0 && sim->now < restarted_at + INVENTORY_MS) {
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
    g_test_message("all flows continue after %ld ms",
                   (long)(resolved_at - restarted_at));
    g_assert_cmpuint(resolved_at, !=, 0);
    g_assert_cmpuint(resolved_at, <=, restarted_at + RESOLVE_MS);
    fleet_sim_free(sim);
}

/* Disabled mechanisms and the tests that must detect them. */
static const struct mutation mutations[] = {
    {"no-comparisons", FAULT_NO_ANTI_ENTROPY, "/size/disks-lack"},
    {"no-resolve", FAULT_NO_RESOLVE, "/size/open-flows"},
};

int
main(int argc, char **argv)
{
    char path[128];

    mutation_init();
    g_test_init(&argc, &argv, NULL);
    g_test_set_nonfatal_assertions();
    CASES_ADD("/size/kill/", restart_cases, test_restart)
    g_test_add_func("/size/disks-lack", test_incomplete_disks);
    g_test_add_func("/size/idle", test_idle);
    g_test_add_func("/size/open-flows", test_open_flows);
    g_test_add_func("/size/one-begins", test_one_restarts);
    CASES_ADD("/size/mutation/", mutations, mutation_test)
    return g_test_run();
}
