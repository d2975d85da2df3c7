/*
 * Founding happens once. The lowest seed names the disk that founds the
 * quorum, at the first start of a deployment; later, that it hears no leader
 * says nothing of whether there is one. A founder that lost its disk and is
 * told to found again votes by the name that it had, with an empty log: alone
 * it acknowledges tables that nobody else holds, and together with one other
 * disk it forgets what was acknowledged.
 */
#include <glib.h>

#include "cases.h"
#include "fleet-sim.h"
#include "mutation.h"

#define NODES 11
#define DISKS 3
#define SEEDS 8
#define SETTLE_MS 6000  /* from the first start to the first table */
#define OPERATE_MS 8000 /* an operator's call is answered within it */

/* Who is cut off together with the founder, and what is lost. */
struct cut {
    const char *name;
    bool wipe;        /* the founder loses its disk behind the cut */
    bool kill_others; /* the other disks are down meanwhile */
};

static const struct cut cuts[] = {
    {"cut", false, false},
    {"cut-and-wiped", true, false},
    {"wiped-while-others-are-down", true, true},
};

/* Cuts the founder and the lowest seed, which has no disk, from all others. */
static void
cut_off(struct fleet_sim *sim, int founder, int seed, bool cut)
{
    for (int n = 0; n < sim->count; n++) {
        if (n != founder && n != seed) {
            fleet_sim_cut(sim, founder, n, cut);
            fleet_sim_cut(sim, seed, n, cut);
        }
    }
}

/* Plays a cut with one seed. */
static void
play(const struct cut *c, uint64_t seed)
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
    g_assert_true(fleet_sim_put(sim, 1, OPERATE_MS));
    g_assert_true(fleet_sim_put(sim, 2, OPERATE_MS));
    fleet_sim_run(sim, sim->now + 1000);
    cut_off(sim, founder, options.first_seed, true);
    for (int n = 1; n < DISKS && c->kill_others; n++) {
        fleet_sim_kill(sim, n);
    }
    if (c->wipe) {
        fleet_sim_wipe(sim, founder);
        fleet_sim_start(sim, founder);
    }
    until = sim->now + OPERATE_MS;
    while (sim->now < until) {
        fleet_sim_submit(sim, founder, 3);
        fleet_sim_run(sim, sim->now + 100);
        g_assert_cmpuint(sim->acked, ==, 2);
    }
    cut_off(sim, founder, options.first_seed, false);
    for (int n = 1; n < DISKS; n++) {
        fleet_sim_start(sim, n);
    }
    g_assert_true(fleet_sim_get(sim, OPERATE_MS));
    g_assert_cmpuint(sim->read, >=, 2);
    g_assert_cmpstr(sim->broken, ==, "");
    fleet_sim_free(sim);
}

/* Plays a cut with several seeds. */
static void
test_cut(const void *data)
{
    for (uint64_t seed = 1; seed <= SEEDS; seed++) {
        play(data, seed);
    }
}

/* What is left out, and the test that fails by it. */
static const struct mutation mutations[] = {
    {"founded-again", FAULT_BOOTSTRAP_AGAIN, "/founding/cut-and-wiped"},
};

/* Lists the tests. */
int
main(int argc, char **argv)
{
    char path[128];

    mutation_init();
    g_test_init(&argc, &argv, NULL);
    g_test_set_nonfatal_assertions();
    CASES_ADD("/founding/", cuts, test_cut)
    CASES_ADD("/founding/mutation/", mutations, mutation_test)
    return g_test_run();
}
