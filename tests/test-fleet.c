/*
 * Control quorum of a fleet under faults, in simulated time: bootstrap, voter
 * replacement after disk loss, durability of acknowledged tables and hall
 * orders, linearizable reads, and joins.
 */
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "codec.h"
#include "fault.h"
#include "fleet-sim.h"

#define SEEDS 8
#define MANY_SEEDS 200
#define MUTATION_NODE 7 /* without a disk; its drained halls are checked */
#define SETTLE_MS 6000  /* from the first start to the first submission */
#define OPERATOR_TIMEOUT_MS 8000 /* limit for an operator's request */
#define EVENT_INTERVAL_MS 1000   /* between events */
#define HALL "west"              /* drained by events e and E */
#define RECOVERY_MS 8000
#define FREEZE_MS 3000 /* how long a leader is frozen */
#define DAMAGED_ENTRIES 2
#define CATCH_UP_MS 4000 /* from a successor's start to the stop */
#define KNOWN_UPSTREAMS 18
#define FIRST_DOWN 9   /* nodes from this index on stay down */
#define RESTART_MS 300 /* until nodes without seeds are settled */
#define MANY_UPSTREAMS 64
#define NODES 32
#define JOINERS 10       /* nodes started together */
#define JOIN_MS 500      /* until they are settled */
#define JOIN_BYTES 5000U /* limit for a node without a disk meanwhile */

/* A scenario: `events` has one letter per event. */
struct scenario {
    const char *name;
    int nodes;
    int disks;
    unsigned loss;
    unsigned voters; /* expected at the end */
    const char *events;
};

/*
 * p submit the next version       g read it back
 * k kill the leader               s start all nodes that are down
 * f freeze the leader             w wipe and restart the leader
 * v wipe and restart a follower   r replace the leader by an empty node
 * o kill a follower               i isolate a follower
 * d damage the end of the log of another follower, and restart it
 * D damage the end of the log of the leader, and restart it
 * q as d, and kill the leader
 * t add a disk, and 4 s later stop a follower for good
 * c isolate the leader            h end all partitions
 * e drain a hall                  b undrain it
 * a kill and restart all nodes    . wait
 * F submit the next version to the leader and freeze it
 * E submit the order to drain the hall to the leader and freeze it
 * x kill all; wipe the first voters, as many as the quorum tolerates;
 *   start all
 */
static const struct scenario scenarios[] = {
    {"three-disks", 11, 3, 0, 3, "pg"},
    {"four-disks", 11, 4, 0, 3, "pg"},
    {"five-disks", 12, 5, 0, 5, "pg"},
    {"six-disks", 12, 6, 0, 5, "pg"},
    {"one-disk", 4, 1, 0, 1, "pg"},
    {"lossy", 11, 3, 50, 3, "pgpgpg"},
    {"kill-leader", 11, 3, 5, 3, "pk...gps...pg"},
    {"freeze-leader", 11, 3, 5, 3, "pf.p..gp...pg"},
    {"freeze-leader-with-an-order", 11, 3, 0, 3, "pF......gpF......gp"},
    {"cut-leader", 11, 3, 5, 3, "pc..pg..h..gp"},
    {"wipe-leader", 11, 3, 5, 3, "pw....pgw....pgw....pg"},
    {"wipe-follower", 11, 3, 5, 3, "pv....pgv....pgv....pg"},
    {"replace-leader", 11, 3, 5, 3, "pr......pgr......pgr......pg"},
    {"replace-with-spare", 11, 4, 5, 3, "pr......pgr......pgr......pg"},
    {"kill-all", 11, 3, 5, 3, "pa...gpa...gp"},
    {"kill-all-wipe-one", 11, 3, 5, 3, "px...gp..x...gp"},
    {"kill-all-wipe-two", 12, 5, 5, 5, "px...gp..x...gp"},
    {"kill-all-wipe-two-of-six", 12, 6, 5, 5, "px...gp..x...gp"},
    {"damaged-follower", 11, 3, 5, 3, "pd...pgd...pg"},
    {"damaged-leader", 11, 3, 5, 3, "pD...pgD...pg"},
    {"damaged-follower-and-one-down", 11, 3, 0, 3, "opd..pgs....pg"},
    {"damaged-leader-and-one-down", 11, 3, 0, 3, "opD..pgs....pg"},
    {"damaged-follower-and-leader-down", 11, 3, 0, 3, "pippqh....s...g"},
    {"damaged-follower-two-down", 12, 5, 0, 5, "opod..pgs....pg"},
    {"two-wiped", 12, 5, 5, 5, "pwv......pgwv......pg"},
    {"two-wiped-of-six", 12, 6, 5, 5, "pwv......pgwv......pg"},
    {"halls/drained", 11, 3, 5, 3, "pe."},
    {"halls/undrained", 11, 3, 5, 3, "peb."},
    {"halls/repeated", 11, 3, 5, 3, "peebbbeebe"},
    {"halls/before-first-table", 11, 3, 5, 3, "e.pg"},
    {"halls/one-disk", 4, 1, 0, 1, "pebea."},
    {"halls/lossy", 11, 3, 50, 3, "pebpebpebe"},
    {"halls/kill-leader", 11, 3, 5, 3, "pek...bs...ek...s..."},
    {"halls/freeze-leader", 11, 3, 5, 3, "pef.b....ef.be..."},
    {"halls/order-in-a-frozen-leader", 11, 3, 0, 3, "pE....b.....E....b..."},
    {"halls/cut-leader", 11, 3, 5, 3, "pec..b..h..c...e..h..."},
    {"halls/wipe-leader", 11, 3, 5, 3, "pew....ppw....bew...."},
    {"halls/replace-all-voters", 11, 4, 5, 3, "per......r......r......pr..."},
    {"halls/kill-all", 11, 3, 5, 3, "pea...ppa..."},
    {"halls/kill-all-wipe-two", 12, 5, 5, 5, "pex...pbx...pex..."},
};

/* True when the last order of the scenario drains the hall. */
static bool
ends_drained(const struct scenario *scenario)
{
    const char *event = scenario->events + strlen(scenario->events);

    while (event > scenario->events && strchr("ebE", event[-1]) == NULL) {
        event--;
    }
    return event > scenario->events && event[-1] != 'b';
}

static void
start_all(struct fleet_sim *sim)
{
    for (int i = 0; i < sim->count; i++) {
        fleet_sim_start(sim, i);
    }
}

/* The first or last voter of the configuration that runs and does not lead. */
static int
find_follower(const struct fleet_sim *sim, int leader, bool last)
{
    const wire_config *config = cons_config(&sim->nodes[leader].replica.cons);
    int found = -1;

    for (u_int i = 0; i < config->voters.voters_len; i++) {
        int n = fleet_sim_node_at(sim, config->voters.voters_val[i].replica);

        if (n >= 0 && n != leader && sim->nodes[n].up && (found < 0 || last)) {
            found = n;
        }
    }
    g_assert_cmpint(found, >=, 0);
    return found;
}

/* Wipes and restarts a voter that does not lead. */
static void
wipe_follower(struct fleet_sim *sim, int leader)
{
    int n = find_follower(sim, leader, false);

    fleet_sim_wipe(sim, n);
    fleet_sim_start(sim, n);
}

static void
damage(struct fleet_sim *sim, int n)
{
    fleet_sim_damage(sim, n, DAMAGED_ENTRIES);
    fleet_sim_start(sim, n);
}

/* Restarts all nodes; wipes the first voters, as many as the quorum
 * tolerates. */
static void
restart_wiping_spares(struct fleet_sim *sim, int leader)
{
    const wire_config *config = cons_config(&sim->nodes[leader].replica.cons);
    u_int spare = (config->voters.voters_len - 1) / 2;
    uint32_t wiped[CONS_VOTERS_MAX];

    for (u_int i = 0; i < spare; i++) {
        wiped[i] = config->voters.voters_val[i].replica;
    }
    for (int n = 0; n < sim->count; n++) {
        fleet_sim_kill(sim, n);
        for (u_int i = 0; i < spare; i++) {
            if (sim->nodes[n].address == wiped[i]) {
                fleet_sim_wipe(sim, n);
            }
        }
    }
    start_all(sim);
}

static bool
is_any_up(const struct fleet_sim *sim, const int *nodes, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        if (sim->nodes[nodes[i]].up) {
            return true;
        }
    }
    return false;
}

/* Stops nodes for good and waits for their end. */
static void
stop_for_good(struct fleet_sim *sim, const int *nodes, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        fleet_sim_stop(sim, nodes[i]);
    }
    while (is_any_up(sim, nodes, count)) {
        fleet_sim_run(sim, sim->now + 5);
    }
    for (size_t i = 0; i < count; i++) {
        sim->nodes[nodes[i]].removed = true;
    }
}

/* Runs an event on the leader; a violation when no leader appears in time. */
static void
run_leader_event(struct fleet_sim *sim, char event, uint64_t *version)
{
    uint64_t until = sim->now + OPERATOR_TIMEOUT_MS;
    int leader;

    while ((leader = fleet_sim_leader(sim)) < 0 && sim->now < until) {
        fleet_sim_run(sim, sim->now + 100);
    }
    if (leader < 0) {
        fleet_sim_record_violation(sim, "no leader for the event '%c'", event);
        return;
    }
    switch (event) {
    case 'k':
        fleet_sim_kill(sim, leader);
        return;
    case 'f':
        fleet_sim_freeze(sim, leader, sim->now + FREEZE_MS);
        return;
    case 'F':
        fleet_sim_submit(sim, leader, ++*version);
        fleet_sim_freeze(sim, leader, sim->now + FREEZE_MS);
        return;
    case 'E':
        fleet_sim_submit_hall(sim, leader, HALL, true);
        fleet_sim_freeze(sim, leader, sim->now + FREEZE_MS);
        return;
    case 'w':
        fleet_sim_wipe(sim, leader);
        fleet_sim_start(sim, leader);
        return;
    case 'v':
        wipe_follower(sim, leader);
        return;
    case 'o':
        fleet_sim_kill(sim, find_follower(sim, leader, false));
        return;
    case 'i':
        fleet_sim_isolate(sim, find_follower(sim, leader, false), true);
        return;
    case 'd':
        damage(sim, find_follower(sim, leader, true));
        return;
    case 'D':
        damage(sim, leader);
        return;
    case 'q':
        damage(sim, find_follower(sim, leader, true));
        fleet_sim_kill(sim, leader);
        return;
    case 'r':
        (void)fleet_sim_replace(sim, leader);
        return;
    case 't':
        (void)fleet_sim_join(sim, true);
        fleet_sim_run(sim, sim->now + CATCH_UP_MS);
        leader = find_follower(sim, fleet_sim_leader(sim), false);
        stop_for_good(sim, &leader, 1);
        return;
    case 'x':
        restart_wiping_spares(sim, leader);
        return;
    case 'c':
        fleet_sim_isolate(sim, leader, true);
        return;
    default:
        return;
    }
}

static void
run_event(struct fleet_sim *sim, char event, uint64_t *version)
{
    switch (event) {
    case 'p':
        if (!fleet_sim_put(sim, ++*version, OPERATOR_TIMEOUT_MS)) {
            fleet_sim_record_violation(sim,
                                       "version %llu was not acknowledged",
                                       (unsigned long long)*version);
        }
        return;
    case 'g':
        if (!fleet_sim_get(sim, OPERATOR_TIMEOUT_MS) ||
            sim->read_version < sim->acked_version) {
            fleet_sim_record_violation(sim, "read %llu, acknowledged was %llu",
                                       (unsigned long long)sim->read_version,
                                       (unsigned long long)sim->acked_version);
        }
        return;
    case 'e':
    case 'b':
        if (!fleet_sim_put_hall(sim, HALL, event == 'e',
                                OPERATOR_TIMEOUT_MS)) {
            fleet_sim_record_violation(
                sim, "an order about a hall was not acknowledged");
        }
        return;
    case 's':
        start_all(sim);
        return;
    case 'h':
        memset(sim->partitioned, 0, sizeof(sim->partitioned));
        return;
    case 'a':
        for (int i = 0; i < sim->count; i++) {
            fleet_sim_kill(sim, i);
        }
        start_all(sim);
        return;
    case '.':
        return;
    default:
        run_leader_event(sim, event, version);
        return;
    }
}

/* Runs the events of a scenario; sets `version` to the last version
 * submitted. */
static struct fleet_sim *
run_events(const struct scenario *scenario, uint64_t seed, uint64_t *version)
{
    struct fleet_sim_options options = {.nodes = scenario->nodes,
                                        .disks = scenario->disks,
                                        .upstreams = 6,
                                        .seed = seed,
                                        .loss = scenario->loss};
    struct fleet_sim *sim = fleet_sim_new(&options);

    *version = 0;
    fleet_sim_run(sim, sim->now + SETTLE_MS);
    for (const char *event = scenario->events; *event != '\0'; event++) {
        run_event(sim, *event, version);
        fleet_sim_run(sim, sim->now + EVENT_INTERVAL_MS);
    }
    fleet_sim_run(sim, sim->now + RECOVERY_MS);
    return sim;
}

/* Runs a scenario; at the end all running nodes must hold the last version
 * and the last hall order. */
static void
run_scenario(const struct scenario *scenario, uint64_t seed)
{
    uint64_t version;
    struct fleet_sim *sim = run_events(scenario, seed, &version);
    int leader = fleet_sim_leader(sim);

    g_test_message("%s seed %llu: %s", scenario->name,
                   (unsigned long long)seed, sim->violation);
    g_assert_cmpstr(sim->violation, ==, "");
    g_assert_cmpint(leader, >=, 0);
    g_assert_cmpuint(
        cons_config(&sim->nodes[leader].replica.cons)->voters.voters_len, ==,
        scenario->voters);
    for (int i = 0; i < sim->count; i++) {
        if (sim->nodes[i].up) {
            g_assert_cmpuint(sim->nodes[i].fleet.routes.bundle_version, ==,
                             version);
            g_assert_cmpint(
                hall_is_drained(&sim->nodes[i].upstreams.halls, HALL), ==,
                ends_drained(scenario));
        }
    }
    g_assert_cmpint(fleet_sim_count_stale_halls(sim), ==, 0);
    fleet_sim_free(sim);
}

static void
test_scenario(const void *data)
{
    for (uint64_t seed = 1; seed <= SEEDS; seed++) {
        run_scenario(data, seed);
    }
}

/* A planned replacement: the successors join, then voters stop for good, and
 * right after their end an acknowledged table survives the loss of as many
 * disks as the quorum tolerates. */
struct departure {
    const char *name;
    int disks;
    int successors;
    unsigned lead_ms;    /* from the successors' start to the stop */
    const char *leavers; /* L: the leader, F: a follower; all at once */
    const char *wiped;   /* L: the leader that acknowledged, F: a follower */
    unsigned loss;
};

static const struct departure departures[] = {
    {"follower", 3, 1, 4000, "F", "L", 0},
    {"follower-then-follower", 3, 1, 4000, "F", "F", 0},
    {"leader", 3, 1, 4000, "L", "L", 0},
    {"leader-then-follower", 3, 1, 4000, "L", "F", 0},
    {"lossy", 3, 1, 4000, "F", "L", 20},
    {"leader-lossy", 3, 1, 4000, "L", "L", 20},
    {"successor-just-started", 3, 1, 200, "F", "L", 0},
    {"all-of-three", 3, 3, 4000, "LFF", "L", 0},
    {"two-of-five", 5, 2, 6000, "FF", "LF", 0},
    {"leader-and-follower-of-five", 5, 2, 6000, "LF", "LF", 0},
    {"two-of-five-lossy", 5, 2, 6000, "LF", "FF", 20},
    {"one-of-six", 6, 0, 0, "F", "LF", 0},
};

/* The nodes that letters name: L the leader, F another voter that runs, a
 * different one each time. */
static void
choose_nodes(const struct fleet_sim *sim, const char *letters, int *nodes)
{
    int leader = fleet_sim_leader(sim);
    const wire_config *config;
    u_int next = 0;

    g_assert_cmpint(leader, >=, 0);
    config = cons_config(&sim->nodes[leader].replica.cons);
    for (size_t i = 0; letters[i] != '\0'; i++) {
        nodes[i] = leader;
        while (letters[i] == 'F' &&
               (nodes[i] == leader || !sim->nodes[nodes[i]].up)) {
            g_assert_cmpuint(next, <, config->voters.voters_len);
            nodes[i] = fleet_sim_node_at(
                sim, config->voters.voters_val[next++].replica);
        }
    }
}

static void
run_departure(const struct departure *d, bool tolerance_known, uint64_t seed)
{
    struct fleet_sim_options options = {.nodes = d->disks + 6,
                                        .disks = d->disks,
                                        .upstreams = 6,
                                        .seed = seed,
                                        .loss = d->loss};
    struct fleet_sim *sim;
    size_t leaving = strlen(d->leavers);
    size_t wiped = strlen(d->wiped);
    int nodes[CONS_VOTERS_MAX] = {0};

    options.tolerated_disks = tolerance_known ? (unsigned)wiped : 0;
    sim = fleet_sim_new(&options);
    fleet_sim_run(sim, sim->now + SETTLE_MS);
    g_assert_true(fleet_sim_put(sim, 1, OPERATOR_TIMEOUT_MS));
    fleet_sim_run(sim, sim->now + EVENT_INTERVAL_MS);
    for (int i = 0; i < d->successors; i++) {
        (void)fleet_sim_join(sim, true);
    }
    fleet_sim_run(sim, sim->now + d->lead_ms);
    choose_nodes(sim, d->leavers, nodes);
    stop_for_good(sim, nodes, leaving);
    g_assert_true(fleet_sim_put(sim, 2, OPERATOR_TIMEOUT_MS));
    choose_nodes(sim, d->wiped, nodes);
    for (size_t i = 0; i < wiped; i++) {
        fleet_sim_wipe(sim, nodes[i]);
    }
    fleet_sim_run(sim, sim->now + EVENT_INTERVAL_MS);
    start_all(sim);
    fleet_sim_run(sim, sim->now + RECOVERY_MS);
    g_test_message("%s seed %llu: %s", d->name, (unsigned long long)seed,
                   sim->violation);
    g_assert_true(fleet_sim_get(sim, OPERATOR_TIMEOUT_MS));
    g_assert_cmpuint(sim->read_version, ==, 2);
    g_assert_cmpstr(sim->violation, ==, "");
    fleet_sim_free(sim);
}

static void
test_departure(const void *data)
{
    for (uint64_t seed = 1; seed <= SEEDS; seed++) {
        run_departure(data, false, seed);
        run_departure(data, true, seed);
    }
}

/* Number of voters that leaders replaced. */
static uint64_t
count_replaced(const struct fleet_sim *sim)
{
    uint64_t count = 0;

    for (int n = 0; n < sim->count; n++) {
        count += sim->nodes[n].counters.value[COUNTER_VOTERS_REPLACED];
    }
    return count;
}

/* All disks stop and start again in turn. Without a spare disk no voter is
 * replaced; with one, at most one for each stop. */
static void
test_rolling_restart(void)
{
    for (int disks = 3; disks <= 6; disks++) {
        struct fleet_sim_options options = {
            .nodes = disks + 4, .disks = disks, .upstreams = 6, .seed = 5};
        struct fleet_sim *sim = fleet_sim_new(&options);
        uint64_t version = 0;
        uint64_t before;

        fleet_sim_run(sim, sim->now + SETTLE_MS);
        before = count_replaced(sim);
        for (int n = 0; n < disks; n++) {
            stop_for_good(sim, &n, 1);
            sim->nodes[n].removed = false;
            fleet_sim_run(sim, sim->now + RESTART_MS);
            fleet_sim_start(sim, n);
            fleet_sim_run(sim, sim->now + EVENT_INTERVAL_MS);
            g_assert_true(fleet_sim_put(sim, ++version, OPERATOR_TIMEOUT_MS));
        }
        fleet_sim_run(sim, sim->now + EVENT_INTERVAL_MS);
        g_assert_true(fleet_sim_get(sim, OPERATOR_TIMEOUT_MS));
        g_assert_cmpuint(sim->read_version, ==, version);
        g_assert_cmpstr(sim->violation, ==, "");
        g_test_message("%d disks: %llu voters replaced", disks,
                       (unsigned long long)(count_replaced(sim) - before));
        g_assert_cmpuint(count_replaced(sim) - before, <=,
                         disks % 2 == 0 ? (uint64_t)disks : 0);
        fleet_sim_free(sim);
    }
}

/* Every disk lost its last entries: no replica knows what was committed, so
 * none may lead. */
static void
test_damaged_everywhere(void)
{
    struct fleet_sim_options options = {
        .nodes = 5, .disks = 3, .upstreams = 0, .seed = 3};
    struct fleet_sim *sim = fleet_sim_new(&options);

    fleet_sim_run(sim, sim->now + SETTLE_MS);
    g_assert_true(fleet_sim_put(sim, 1, OPERATOR_TIMEOUT_MS));
    g_assert_true(fleet_sim_put(sim, 2, OPERATOR_TIMEOUT_MS));
    for (int n = 0; n < options.disks; n++) {
        fleet_sim_damage(sim, n, DAMAGED_ENTRIES);
    }
    for (int n = 0; n < options.disks; n++) {
        fleet_sim_start(sim, n);
    }
    g_assert_false(fleet_sim_get(sim, 2 * OPERATOR_TIMEOUT_MS));
    g_assert_cmpstr(sim->violation, ==, "");
    fleet_sim_free(sim);
}

/* The leader's node is replaced three times, 5 s apart: each successor must be
 * a voter before the next leader is lost, however long the election took. */
static void
test_replace_leaders(void)
{
    static const struct scenario scenario = {"replace-leaders",  11, 3, 0, 3,
                                             "pr....r....r....g"};

    for (uint64_t seed = 1; seed <= MANY_SEEDS; seed++) {
        run_scenario(&scenario, seed);
    }
}

/* A safeguard that is disabled, and a scenario that detects it. */
struct mutation {
    const char *name;
    enum fault fault;
    struct scenario scenario;
};

static const struct mutation mutations[] = {
    {"confirm-without-a-quorum",
     FAULT_LEASE_NO_QUORUM,
     {"", 11, 3, 5, 3, "pcpgggggghpcpgggggg"}},
    {"vote-for-a-shorter-log",
     FAULT_VOTE_STALE_LOG,
     {"", 11, 3, 5, 3, "pc...pkh...gs....c...pkh...gs....c...pkh...g"}},
    {"lead-without-damaged-entries",
     FAULT_FORGET_MISSING,
     {"", 11, 3, 0, 3, "pippqh....s...g"}},
    {"wait-for-a-stopping-voter",
     FAULT_IGNORE_STOPPING,
     {"", 11, 3, 0, 3, "ptpw....g"}},
    {"halls-in-memory-only",
     FAULT_HALLS_UNLOGGED,
     {"", 11, 3, 5, 3, "pea...g"}},
};

/* Runs a mutation's scenario; true when an invariant is violated. */
static bool
violates(const struct mutation *m, uint64_t seed, bool disabled)
{
    uint64_t version;
    struct fleet_sim *sim;
    bool violated;

    fault_trials[m->fault] = disabled;
    sim = run_events(&m->scenario, seed, &version);
    fault_trials[m->fault] = false;
    if (ends_drained(&m->scenario) !=
        hall_is_drained(&sim->nodes[MUTATION_NODE].upstreams.halls, HALL)) {
        fleet_sim_record_violation(sim,
                                   "the hall does not follow the last order");
    }
    violated = sim->violation[0] != '\0';
    g_test_message("%s seed %llu, disabled %d: %s", m->name,
                   (unsigned long long)seed, disabled, sim->violation);
    fleet_sim_free(sim);
    return violated;
}

/* Some seed must detect the mutation; none may fail with the safeguard. */
static void
test_mutation(const void *data)
{
    const struct mutation *m = data;
    bool detected = false;

    for (uint64_t seed = 1; seed <= MANY_SEEDS && !detected; seed++) {
        detected = violates(m, seed, true);
        g_assert_false(violates(m, seed, false));
    }
    g_assert_true(detected);
}

/* Nodes that join together must each sync from one node, preferably one with
 * a disk, so that the links of the seeds are not saturated. */
static void
test_join_together(void)
{
    struct fleet_sim_options options = {.nodes = NODES - JOINERS,
                                        .disks = 3,
                                        .upstreams = MANY_UPSTREAMS,
                                        .seed = 7};
    struct fleet_sim *sim = fleet_sim_new(&options);

    fleet_sim_run(sim, sim->now + SETTLE_MS);
    g_assert_true(fleet_sim_put(sim, 1, OPERATOR_TIMEOUT_MS));
    fleet_sim_run(sim, sim->now + EVENT_INTERVAL_MS);
    sim->first_seed = options.disks;
    for (int i = 0; i < options.nodes; i++) {
        sim->nodes[i].bytes_sent = 0;
    }
    for (int i = 0; i < JOINERS; i++) {
        (void)fleet_sim_join(sim, false);
    }
    fleet_sim_run(sim, sim->now + JOIN_MS);
    for (int i = 0; i < sim->count; i++) {
        g_assert_true(sim->nodes[i].fleet.settled);
        if (!sim->nodes[i].has_disk) {
            g_assert_cmpuint(sim->nodes[i].bytes_sent, <, JOIN_BYTES);
        }
    }
    fleet_sim_free(sim);
}

/* Restart of all nodes with the seeds down: a node with a disk contacts the
 * members that it saved, so that they can settle. */
static void
test_restart_without_seeds(void)
{
    struct fleet_sim_options options = {
        .nodes = 12, .disks = 3, .upstreams = KNOWN_UPSTREAMS, .seed = 13};
    struct fleet_sim *sim = fleet_sim_new(&options);

    fleet_sim_run(sim, sim->now + SETTLE_MS);
    /* Followers learn of a commit with the next entry. */
    g_assert_true(fleet_sim_put(sim, 1, OPERATOR_TIMEOUT_MS));
    g_assert_true(fleet_sim_put(sim, 2, OPERATOR_TIMEOUT_MS));
    fleet_sim_run(sim, sim->now + EVENT_INTERVAL_MS);
    for (int n = 0; n < sim->count; n++) {
        fleet_sim_kill(sim, n);
    }
    sim->first_seed = FIRST_DOWN;
    fleet_sim_start(sim, 0);
    for (int n = options.disks; n < FIRST_DOWN; n++) {
        fleet_sim_start(sim, n);
    }
    fleet_sim_run(sim, sim->now + RESTART_MS);
    for (int n = options.disks; n < FIRST_DOWN; n++) {
        g_assert_true(sim->nodes[n].fleet.settled);
        g_assert_cmpuint(sim->nodes[n].fleet.routes.bundle_version, >=, 1);
        g_assert_cmpuint(sim->nodes[n].upstreams.all->len, ==,
                         KNOWN_UPSTREAMS);
    }
    fleet_sim_free(sim);
}

/* fleet_load() must reject a message of another kind. */
static void
test_load_other_kind(void)
{
    struct fleet_sim_options options = {
        .nodes = 1, .disks = 1, .upstreams = 1, .seed = 1};
    struct fleet_sim *sim = fleet_sim_new(&options);
    struct fleet *fleet = &sim->nodes[0].fleet;
    wire_msg msg = {.kind = WIRE_UPSTREAMS};
    GByteArray *bytes = codec_encode(&msg);

    g_assert_false(fleet_load(fleet, sim->now, bytes));
    g_byte_array_unref(bytes);
    bytes = fleet_save(fleet, sim->now);
    g_assert_true(fleet_load(fleet, sim->now, bytes));
    g_byte_array_unref(bytes);
    fleet_sim_free(sim);
}

/* Saved fleet of the previous release, after its checksum: one upstream
 * without a start time. */
static void
test_load_previous_release(void)
{
    struct fleet_sim_options options = {
        .nodes = 1, .disks = 1, .upstreams = 0, .seed = 1};
    struct fleet_sim *sim = fleet_sim_new(&options);
    const struct upstream *upstream;
    GByteArray *bytes;
    char *text;
    gsize length;

    g_assert_true(g_file_get_contents("tests/formats/relays/upstreams", &text,
                                      &length, NULL));
    bytes = g_byte_array_new_take((guint8 *)text, length);
    g_byte_array_remove_range(bytes, 0, sizeof(uint64_t));
    g_assert_true(fleet_load(&sim->nodes[0].fleet, sim->now, bytes));
    upstream = upstream_by_id(&sim->nodes[0].upstreams, 0x5a);
    g_assert_nonnull(upstream);
    g_assert_cmpstr(upstream->hall, ==, "hall-1");
    g_assert_cmpuint(upstream->sequence, ==, 1);
    g_assert_cmpuint(upstream->started_at, ==, 0);
    g_byte_array_unref(bytes);
    fleet_sim_free(sim);
}

/* After a storage failure every pending operator request must be answered,
 * including those whose reply is still queued. */
static void
test_unanswered_requests(void)
{
    struct counters counters = {{0}};
    struct replica replica;
    wire_routes routes = {.bundle_version = 2};
    GArray *tokens;
    size_t count;

    replica_open(&replica, 1, 7, 7, true, 1, NULL, &counters);
    replica_tick(&replica, 2);
    replica_clear(&replica);
    /* A founder is a quorum of one: the reply is in the same batch. */
    replica_submit(&replica, 2 + REPLICA_JOIN_MS, 41, &routes);
    (void)replica_actions(&replica, &count);
    g_assert_cmpuint(count, >, 0);
    tokens = replica_unanswered_tokens(&replica, 0);
    g_assert_cmpuint(tokens->len, ==, 1);
    g_assert_cmpuint(g_array_index(tokens, uint64_t, 0), ==, 41);
    g_array_free(tokens, TRUE);
    tokens = replica_unanswered_tokens(&replica, count);
    g_assert_cmpuint(tokens->len, ==, 0);
    g_array_free(tokens, TRUE);
    replica_close(&replica);
}

/* Runs the storage actions of a replica; the disk must accept each one, and
 * then hold the same log as the replica. */
static void
run_storage_actions(struct replica *replica, struct sim_disk *disk)
{
    size_t count;
    const struct replica_action *all = replica_actions(replica, &count);

    for (size_t i = 0; i < count; i++) {
        if (all[i].kind == REPLICA_CONS) {
            g_assert_true(sim_disk_run(disk, &all[i].cons));
        }
    }
    replica_clear(replica);
    sim_disk_check(disk, &replica->cons);
}

/* A replica that holds a long log compacts it in the tick in which it starts
 * to lead, which appends an entry. Guards against an entry that is stored
 * twice: the next start would find the log damaged. */
static void
test_compact_then_append(void)
{
    struct counters counters = {{0}};
    struct sim_disk disk = {0};
    struct replica replica;
    struct cons_stored stored;
    uint64_t now = 1;

    disk.identity = 7;
    disk.log = g_array_new(FALSE, FALSE, sizeof(struct cons_entry));
    replica_open(&replica, now, 7, 7, true, 1, NULL, &counters);
    replica_tick(&replica, now);
    run_storage_actions(&replica, &disk);
    now += REPLICA_JOIN_MS;
    for (uint64_t version = 1; version <= REPLICA_COMPACT_ENTRIES; version++) {
        wire_routes routes = {.bundle_version = version};

        replica_submit(&replica, now, version, &routes);
        run_storage_actions(&replica, &disk);
    }
    replica_close(&replica);
    sim_disk_load(&disk, &stored);
    replica_open(&replica, now, 7, 7, true, 1, &stored, &counters);
    run_storage_actions(&replica, &disk);
    g_assert_cmpuint(replica.cons.snapshot.index, ==, 0);
    replica_tick(&replica, replica_deadline(&replica));
    g_assert_cmpint(replica.cons.role, ==, CONS_LEADER);
    run_storage_actions(&replica, &disk);
    g_assert_cmpuint(disk.snapshot.index, >=, REPLICA_COMPACT_ENTRIES);
    g_assert_cmpuint(disk.log->len, >, 0);
    replica_close(&replica);
    sim_disk_wipe(&disk);
    g_array_free(disk.log, TRUE);
}

/* Acknowledges all entries of a leader on behalf of other disks. */
static void
acknowledge(struct replica *leader, uint64_t now, const wire_node *disks,
            size_t count)
{
    for (size_t i = 0; i < count; i++) {
        wire_msg msg = {.kind = WIRE_APPEND_REPLY};
        wire_append_reply *reply = &msg.wire_msg_u.append_reply;

        replica_update_disk(leader, now, &disks[i]);
        reply->term = leader->cons.term;
        reply->replica = disks[i].address;
        reply->identity = disks[i].identity;
        reply->round = leader->cons.round;
        reply->ok = true;
        reply->match = cons_last_index(&leader->cons);
        replica_receive(leader, now, &msg);
    }
}

/* A change of the voters is committed in the entry that makes a snapshot due.
 * Guards against a leader that compacts before the log of the other voters
 * records the commit: without its disk they would need the former voters. */
static void
test_compact_after_config(void)
{
    static const wire_node disks[] = {{.address = 8, .identity = 80},
                                      {.address = 9, .identity = 90}};
    struct counters counters = {{0}};
    struct replica leader;
    uint64_t now = 1;
    uint64_t first;

    replica_open(&leader, now, 7, 7, true, 1, NULL, &counters);
    replica_tick(&leader, now);
    now += REPLICA_JOIN_MS;
    for (uint64_t version = 1;
         cons_last_index(&leader.cons) < REPLICA_COMPACT_ENTRIES - 1;
         version++) {
        wire_routes routes = {.bundle_version = version};

        replica_submit(&leader, now, version, &routes);
    }
    replica_update_disk(&leader, now, &disks[0]);
    replica_update_disk(&leader, now, &disks[1]);
    replica_tick(&leader, now);
    acknowledge(&leader, now, disks, G_N_ELEMENTS(disks));
    replica_tick(&leader, now);
    first = leader.cons.config_index;
    g_assert_cmpuint(first, ==, REPLICA_COMPACT_ENTRIES);
    g_assert_cmpuint(cons_config(&leader.cons)->voters.voters_len, ==, 3);
    for (unsigned i = 0; i < 4; i++) {
        acknowledge(&leader, now, disks, G_N_ELEMENTS(disks));
        replica_tick(&leader, ++now);
    }
    g_assert_cmpuint(leader.cons.config_index, ==, first + 1);
    g_assert_cmpuint(leader.cons.commit_index, >=, first + 1);
    replica_close(&leader);
}

/* The voter thread stores entries after a tick, which may compact the log up
 * to an entry that waits to be stored. Guards against a use after free. */
static void
test_compact_while_saving(void)
{
    struct counters counters = {{0}};
    struct sim_disk disk = {0};
    struct replica replica;
    uint64_t now = 1;

    disk.log = g_array_new(FALSE, FALSE, sizeof(struct cons_entry));
    replica_open(&replica, now, 7, 7, true, 1, NULL, &counters);
    replica_tick(&replica, now);
    run_storage_actions(&replica, &disk);
    now += REPLICA_JOIN_MS;
    for (uint64_t version = 1; version <= 3 * REPLICA_COMPACT_ENTRIES;
         version++) {
        wire_routes routes = {.bundle_version = version};

        replica_submit(&replica, now, version, &routes);
        replica_tick(&replica, now);
        run_storage_actions(&replica, &disk);
        if (version % 10 == 0) {
            replica_tick(&replica, ++now);
            run_storage_actions(&replica, &disk);
        }
    }
    g_assert_cmpuint(replica.version, ==, 3 * REPLICA_COMPACT_ENTRIES);
    g_assert_cmpuint(disk.snapshot.index, >, REPLICA_COMPACT_ENTRIES);
    g_assert_cmpuint(disk.snapshot.index + disk.log->len, ==,
                     cons_last_index(&replica.cons));
    replica_close(&replica);
    sim_disk_wipe(&disk);
    g_array_free(disk.log, TRUE);
}

int
main(int argc, char **argv)
{
    char path[128];

    g_test_init(&argc, &argv, NULL);
    for (size_t i = 0; i < G_N_ELEMENTS(scenarios); i++) {
        (void)snprintf(path, sizeof(path), "/fleet/%s", scenarios[i].name);
        g_test_add_data_func(path, &scenarios[i], test_scenario);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(mutations); i++) {
        (void)snprintf(path, sizeof(path), "/fleet/mutation/%s",
                       mutations[i].name);
        g_test_add_data_func(path, &mutations[i], test_mutation);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(departures); i++) {
        (void)snprintf(path, sizeof(path), "/fleet/departure/%s",
                       departures[i].name);
        g_test_add_data_func(path, &departures[i], test_departure);
    }
    g_test_add_func("/fleet/rolling-restart", test_rolling_restart);
    g_test_add_func("/fleet/damaged-everywhere", test_damaged_everywhere);
    g_test_add_func("/fleet/replace-leaders", test_replace_leaders);
    g_test_add_func("/fleet/load-other-kind", test_load_other_kind);
    g_test_add_func("/fleet/load-previous-release",
                    test_load_previous_release);
    g_test_add_func("/fleet/recall", test_restart_without_seeds);
    g_test_add_func("/fleet/join-together", test_join_together);
    g_test_add_func("/fleet/unanswered", test_unanswered_requests);
    g_test_add_func("/fleet/compact-while-saving", test_compact_while_saving);
    g_test_add_func("/fleet/compact-then-append", test_compact_then_append);
    g_test_add_func("/fleet/compact-after-config", test_compact_after_config);
    return g_test_run();
}
