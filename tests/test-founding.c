/*
 * The control quorum is bootstrapped once. Guards against a founder that lost
 * its disk, or is partitioned with the lowest seed, and bootstraps a second
 * quorum, which loses acknowledged tables; and against several nodes that
 * choose a founder.
 */
#include <glib.h>

#include "cases.h"
#include "fleet-sim.h"
#include "mutation.h"

#define NODES 11
#define DISKS 3
#define SEEDS 8
#define SETTLE_MS 6000 /* from the first start to the first submission */
#define OPERATOR_TIMEOUT_MS 8000 /* limit for an operator's request */

/* A partition of the founder and the lowest seed, and the faults during it. */
struct partition {
    const char *name;
    bool wipe;        /* the founder loses its disk */
    bool kill_others; /* the other nodes with a disk are down */
};

static const struct partition partitions[] = {
    {"cut", false, false},
    {"cut-and-wiped", true, false},
    {"wiped-while-others-are-down", true, true},
};

/* Partitions the founder and the lowest seed, which has no disk, from the
 * others, or reunites them. */
static void
set_partitioned(struct fleet_sim *sim, int founder, int seed, bool partitioned)
{
    for (int n = 0; n < sim->count; n++) {
        if (n != founder && n != seed) {
            fleet_sim_partition(sim, founder, n, partitioned);
            fleet_sim_partition(sim, seed, n, partitioned);
        }
    }
}

/* The founder must acknowledge no table during the partition; afterwards
 * the acknowledged table must be read. */
static void
run_partition(const struct partition *c, uint64_t seed)
{
    struct fleet_sim_options options = {.nodes = NODES,
                                        .disks = DISKS,
                                        .first_seed = DISKS,
                                        .upstreams = 6,
                                        .seed = seed};
    struct fleet_sim *sim = fleet_sim_new(&options);
    int founder = 0;
    uint64_t until;

    fleet_sim_run(sim, sim->now + SETTLE_MS);
    g_assert_true(fleet_sim_put(sim, 1, OPERATOR_TIMEOUT_MS));
    g_assert_true(fleet_sim_put(sim, 2, OPERATOR_TIMEOUT_MS));
    fleet_sim_run(sim, sim->now + 1000);
    set_partitioned(sim, founder, options.first_seed, true);
    for (int n = 1; n < DISKS && c->kill_others; n++) {
        fleet_sim_kill(sim, n);
    }
    if (c->wipe) {
        fleet_sim_wipe(sim, founder);
        fleet_sim_start(sim, founder);
    }
    until = sim->now + OPERATOR_TIMEOUT_MS;
    while (sim->now < until) {
        fleet_sim_submit(sim, founder, 3);
        fleet_sim_run(sim, sim->now + 100);
        g_assert_cmpuint(sim->acked_version, ==, 2);
    }
    set_partitioned(sim, founder, options.first_seed, false);
    for (int n = 1; n < DISKS; n++) {
        fleet_sim_start(sim, n);
    }
    g_assert_true(fleet_sim_get(sim, OPERATOR_TIMEOUT_MS));
    g_assert_cmpuint(sim->read_version, >=, 2);
    g_assert_cmpstr(sim->violation, ==, "");
    fleet_sim_free(sim);
}

static void
test_partition(const void *data)
{
    for (uint64_t seed = 1; seed <= SEEDS; seed++) {
        run_partition(data, seed);
    }
}

/* Seeds of the first start. */
struct seed_case {
    const char *name;
    int first_seed;     /* first of three nodes */
    int later_seed;     /* first of those that replace them, -1: none */
    uint64_t change_ms; /* from the start until they are replaced */
};

static const struct seed_case seed_cases[] = {
    {"lowest-addresses", 0, -1, 0},
    {"not-the-lowest-address", 1, -1, 0},
    {"one-disk-among-them", 2, -1, 0},
    {"no-disk-among-them", 3, -1, 0},
    {"highest-addresses", 8, -1, 0},
    {"replaced-by-higher-ones", 0, 5, 500},
    {"replaced-by-lower-ones", 5, 0, 500},
    {"replaced-at-the-founding", 0, 5, FLEET_BOOTSTRAP_DELAY_MS - 5},
};

/* One disk alone must bootstrap the quorum, whichever nodes the seeds are. */
static void
test_seeds(const void *data)
{
    const struct seed_case *c = data;

    for (uint64_t seed = 1; seed <= SEEDS; seed++) {
        struct fleet_sim_options options = {.nodes = NODES,
                                            .disks = DISKS,
                                            .first_seed = c->first_seed,
                                            .upstreams = 6,
                                            .seed = seed};
        struct fleet_sim *sim = fleet_sim_new(&options);
        int founders = 0;

        if (c->later_seed >= 0) {
            fleet_sim_run(sim, sim->now + c->change_ms);
            fleet_sim_set_seeds(sim, c->later_seed);
        }
        fleet_sim_run(sim, sim->now + SETTLE_MS);
        for (int n = 0; n < DISKS; n++) {
            founders += sim->nodes[n].disk.identity == sim->nodes[n].address;
        }
        g_assert_cmpint(founders, ==, 1);
        g_assert_true(fleet_sim_put(sim, 1, OPERATOR_TIMEOUT_MS));
        g_assert_cmpstr(sim->violation, ==, "");
        fleet_sim_free(sim);
    }
}

/* Disabled safeguards and the tests that must detect them. */
static const struct mutation mutations[] = {
    {"founded-again", FAULT_BOOTSTRAP_AGAIN, "/founding/cut-and-wiped"},
};

int
main(int argc, char **argv)
{
    char path[128];

    mutation_init();
    g_test_init(&argc, &argv, NULL);
    g_test_set_nonfatal_assertions();
    CASES_ADD("/founding/", partitions, test_partition)
    CASES_ADD("/founding/seeds/", seed_cases, test_seeds)
    CASES_ADD("/founding/mutation/", mutations, mutation_test)
    return g_test_run();
}
