/*
 * A fleet that finds itself: founding, voters that take over from lost disks,
 * acknowledged tables that survive, reads that are never old, and nodes that
 * join. All in simulated time.
 */
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "codec.h"
#include "fault.h"
#include "fleet-sim.h"

#define SEEDS 8
#define MUTATION_SEEDS 200
#define MUTATION_NODE 7 /* without a disk: what it holds at the end counts */
#define SETTLE_MS 6000  /* from the first start to the first table */
#define OPERATE_MS 8000 /* an operator's call is answered within it */
#define EVENT_MS 1000   /* between two events */
#define HALL "west"     /* that is emptied */
#define HEAL_MS 8000    /* after the last event */
#define FREEZE_MS 3000  /* of a frozen leader */
#define KNOWN_UPSTREAMS 18
#define RECALLED 9    /* nodes from here on stay down */
#define RECALL_MS 300 /* from a start without seeds until all can serve */
#define MANY_UPSTREAMS 64
#define NODES 32    /* of a fleet with many joins or losses */
#define JOINERS 10  /* nodes that start at the same moment */
#define JOIN_MS 500 /* within it they can serve */
#define JOIN_BYTES                                                            \
    5000U /* most that a node without a disk sends meanwhile,                 \
             with its share of calm traffic */

/* One scene; what happens is a string of letters, a second apart. */
struct scene {
    const char *name;
    int nodes;
    int disks;
    unsigned loss;
    unsigned voters; /* that are expected at the end */
    const char *events;
};

/*
 * p put the next version       g read it back
 * k kill the leader            s start all that are down
 * f freeze the leader for 3 s  w wipe the leader, start it empty
 * v wipe a voter that follows  r replace the leader by an empty node
 * c cut the leader off         h heal all cuts
 * e empty a hall                b take it back
 * F send the next version to the leader and freeze it before a disk answers
 * E send the order to empty the hall to the leader and freeze it likewise
 * a kill all and start them    . wait
 * x kill all; as many voters as a quorum can spare lose their disks, the
 *   oldest first; start all
 */
static const struct scene scenes[] = {
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
    {"two-wiped", 12, 5, 5, 5, "pwv......pgwv......pg"},
    {"two-wiped-of-six", 12, 6, 5, 5, "pwv......pgwv......pg"},
    {"halls/emptied", 11, 3, 5, 3, "pe."},
    {"halls/taken-back", 11, 3, 5, 3, "peb."},
    {"halls/again-and-again", 11, 3, 5, 3, "peebbbeebe"},
    {"halls/before-any-table", 11, 3, 5, 3, "e.pg"},
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

/* Says whether the hall is emptied at the end: the last order holds. */
static bool
ends_emptied(const struct scene *scene)
{
    const char *event = scene->events + strlen(scene->events);

    while (event > scene->events && strchr("ebE", event[-1]) == NULL) {
        event--;
    }
    return event > scene->events && event[-1] != 'b';
}

/* Starts all that are down. */
static void
start_all(struct fleet_sim *sim)
{
    for (int i = 0; i < sim->count; i++) {
        fleet_sim_start(sim, i);
    }
}

/* Loses the disk of a voter that follows. */
static void
wipe_follower(struct fleet_sim *sim, int leader)
{
    const wire_config *config = cons_config(&sim->nodes[leader].replica.cons);

    for (u_int i = 0; i < config->voters.voters_len; i++) {
        uint32_t replica = config->voters.voters_val[i].replica;

        for (int n = 0; n < sim->count; n++) {
            if (n != leader && sim->nodes[n].up &&
                sim->nodes[n].address == replica) {
                fleet_sim_wipe(sim, n);
                fleet_sim_start(sim, n);
                return;
            }
        }
    }
}

/* Kills all nodes; voters that a quorum can spare lose their disks. */
static void
power_off(struct fleet_sim *sim, int leader)
{
    const wire_config *config = cons_config(&sim->nodes[leader].replica.cons);
    u_int spare = (config->voters.voters_len - 1) / 2;
    uint32_t lost[CONS_VOTERS_MAX];

    for (u_int i = 0; i < spare; i++) {
        lost[i] = config->voters.voters_val[i].replica;
    }
    for (int n = 0; n < sim->count; n++) {
        fleet_sim_kill(sim, n);
        for (u_int i = 0; i < spare; i++) {
            if (sim->nodes[n].address == lost[i]) {
                fleet_sim_wipe(sim, n);
            }
        }
    }
    start_all(sim);
}

/* Lets an event happen to the leader, which must be there in time. */
static void
happen_to_leader(struct fleet_sim *sim, char event, uint64_t *version)
{
    uint64_t until = sim->now + OPERATE_MS;
    int leader;

    while ((leader = fleet_sim_leader(sim)) < 0 && sim->now < until) {
        fleet_sim_run(sim, sim->now + 100);
    }
    if (leader < 0) {
        fleet_sim_note(sim, "no leader for the event '%c'", event);
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
        fleet_sim_order_hall(sim, leader, HALL, true);
        fleet_sim_freeze(sim, leader, sim->now + FREEZE_MS);
        return;
    case 'w':
        fleet_sim_wipe(sim, leader);
        fleet_sim_start(sim, leader);
        return;
    case 'v':
        wipe_follower(sim, leader);
        return;
    case 'r':
        (void)fleet_sim_replace(sim, leader);
        return;
    case 'x':
        power_off(sim, leader);
        return;
    case 'c':
        fleet_sim_isolate(sim, leader, true);
        return;
    default:
        return;
    }
}

/* Lets one event happen. */
static void
happen(struct fleet_sim *sim, char event, uint64_t *version)
{
    switch (event) {
    case 'p':
        if (!fleet_sim_put(sim, ++*version, OPERATE_MS)) {
            fleet_sim_note(sim, "version %llu was not acknowledged",
                           (unsigned long long)*version);
        }
        return;
    case 'g':
        if (!fleet_sim_get(sim, OPERATE_MS) || sim->read < sim->acked) {
            fleet_sim_note(sim, "read %llu, acknowledged was %llu",
                           (unsigned long long)sim->read,
                           (unsigned long long)sim->acked);
        }
        return;
    case 'e':
    case 'b':
        if (!fleet_sim_put_hall(sim, HALL, event == 'e', OPERATE_MS)) {
            fleet_sim_note(sim, "an order about a hall was not acknowledged");
        }
        return;
    case 's':
        start_all(sim);
        return;
    case 'h':
        memset(sim->cut, 0, sizeof(sim->cut));
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
        happen_to_leader(sim, event, version);
        return;
    }
}

/* Plays the events of a scene with one seed; counts the versions sent. */
static struct fleet_sim *
play_events(const struct scene *scene, uint64_t seed, uint64_t *version)
{
    struct fleet_sim_options options = {.nodes = scene->nodes,
                                        .disks = scene->disks,
                                        .upstreams = 6,
                                        .seed = seed,
                                        .loss = scene->loss};
    struct fleet_sim *sim = fleet_sim_new(&options);

    *version = 0;
    fleet_sim_run(sim, sim->now + SETTLE_MS);
    for (const char *event = scene->events; *event != '\0'; event++) {
        happen(sim, *event, version);
        fleet_sim_run(sim, sim->now + EVENT_MS);
    }
    fleet_sim_run(sim, sim->now + HEAL_MS);
    return sim;
}

/* Plays a scene with one seed; all promises must hold. */
static void
play(const struct scene *scene, uint64_t seed)
{
    uint64_t version;
    struct fleet_sim *sim = play_events(scene, seed, &version);
    int leader = fleet_sim_leader(sim);

    g_test_message("%s seed %llu: %s", scene->name, (unsigned long long)seed,
                   sim->broken);
    g_assert_cmpstr(sim->broken, ==, "");
    g_assert_cmpint(leader, >=, 0);
    g_assert_cmpuint(
        cons_config(&sim->nodes[leader].replica.cons)->voters.voters_len, ==,
        scene->voters);
    for (int i = 0; i < sim->count; i++) {
        if (sim->nodes[i].up) {
            g_assert_cmpuint(sim->nodes[i].fleet.routes.bundle_version, ==,
                             version);
            g_assert_cmpint(
                hall_is_drained(&sim->nodes[i].upstreams.halls, HALL), ==,
                ends_emptied(scene));
        }
    }
    g_assert_cmpint(fleet_sim_count_other_halls(sim), ==, 0);
    fleet_sim_free(sim);
}

/* Plays a scene with several seeds. */
static void
test_scene(const void *data)
{
    for (uint64_t seed = 1; seed <= SEEDS; seed++) {
        play(data, seed);
    }
}

/* A safeguard left out, and the events that show it. */
struct mutation {
    const char *name;
    enum fault fault;
    struct scene scene;
};

static const struct mutation mutations[] = {
    {"confirm-without-a-quorum",
     FAULT_LEASE_NO_QUORUM,
     {"", 11, 3, 5, 3, "pcpgggggghpcpgggggg"}},
    {"vote-for-a-shorter-log",
     FAULT_VOTE_STALE_LOG,
     {"", 11, 3, 5, 3, "pc...pkh...gs....c...pkh...gs....c...pkh...g"}},
    {"halls-in-memory-alone",
     FAULT_HALLS_UNLOGGED,
     {"", 11, 3, 5, 3, "pea...g"}},
};

/* Plays the events of a mutation, with or without its safeguard; says whether
 * a promise broke. */
static bool
breaks(const struct mutation *m, uint64_t seed, bool left_out)
{
    uint64_t version;
    struct fleet_sim *sim;
    bool broken;

    fault_trials[m->fault] = left_out;
    sim = play_events(&m->scene, seed, &version);
    fault_trials[m->fault] = false;
    if (ends_emptied(&m->scene) !=
        hall_is_drained(&sim->nodes[MUTATION_NODE].upstreams.halls, HALL)) {
        fleet_sim_note(sim, "the hall is not as it was ordered");
    }
    broken = sim->broken[0] != '\0';
    g_test_message("%s seed %llu, left out %d: %s", m->name,
                   (unsigned long long)seed, left_out, sim->broken);
    fleet_sim_free(sim);
    return broken;
}

/* Looks for a seed that catches the mutation, and breaks nothing with the
 * safeguard in place. */
static void
test_mutation(const void *data)
{
    const struct mutation *m = data;
    bool caught = false;

    for (uint64_t seed = 1; seed <= MUTATION_SEEDS && !caught; seed++) {
        caught = breaks(m, seed, true);
        g_assert_false(breaks(m, seed, false));
    }
    g_assert_true(caught);
}

/* Many nodes that join at once, by seeds with small links: each asks one node
 * for what it lacks, a disk's if there is one, so that a seed's link stays
 * free for packets. */
static void
test_join_together(void)
{
    struct fleet_sim_options options = {.nodes = NODES - JOINERS,
                                        .disks = 3,
                                        .upstreams = MANY_UPSTREAMS,
                                        .seed = 7};
    struct fleet_sim *sim = fleet_sim_new(&options);

    fleet_sim_run(sim, sim->now + SETTLE_MS);
    g_assert_true(fleet_sim_put(sim, 1, OPERATE_MS));
    fleet_sim_run(sim, sim->now + EVENT_MS);
    sim->first_seed = options.disks;
    for (int i = 0; i < options.nodes; i++) {
        sim->nodes[i].bytes_sent = 0;
    }
    for (int i = 0; i < JOINERS; i++) {
        (void)fleet_sim_join(sim);
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

/* After a loss of power the seeds may be the last to come back: a node with a
 * disk greets those that it knew, so that they can serve. */
static void
test_recall(void)
{
    struct fleet_sim_options options = {
        .nodes = 12, .disks = 3, .upstreams = KNOWN_UPSTREAMS, .seed = 13};
    struct fleet_sim *sim = fleet_sim_new(&options);

    fleet_sim_run(sim, sim->now + SETTLE_MS);
    /* One disk knows that a table was committed by the next one's entry. */
    g_assert_true(fleet_sim_put(sim, 1, OPERATE_MS));
    g_assert_true(fleet_sim_put(sim, 2, OPERATE_MS));
    fleet_sim_run(sim, sim->now + EVENT_MS);
    for (int n = 0; n < sim->count; n++) {
        fleet_sim_kill(sim, n);
    }
    /* One disk, and nodes whose seeds stay down. */
    sim->first_seed = RECALLED;
    fleet_sim_start(sim, 0);
    for (int n = options.disks; n < RECALLED; n++) {
        fleet_sim_start(sim, n);
    }
    fleet_sim_run(sim, sim->now + RECALL_MS);
    for (int n = options.disks; n < RECALLED; n++) {
        g_assert_true(sim->nodes[n].fleet.settled);
        g_assert_cmpuint(sim->nodes[n].fleet.routes.bundle_version, >=, 1);
        g_assert_cmpuint(sim->nodes[n].upstreams.all->len, ==,
                         KNOWN_UPSTREAMS);
    }
    fleet_sim_free(sim);
}

/* A file of another kind than what is stored of a fleet is not taken. */
static void
test_kept_of_another_kind(void)
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

/* What the release before stored of its fleet is read: one upstream, which did
 * not say when it was born. A checksum stands before it. */
static void
test_kept_by_release_before(void)
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

/* When a disk refuses, every operator who waits is owed an answer: those who
 * wait for a quorum, and those whose answer was not given yet. */
static void
test_unanswered(void)
{
    struct counters counters = {{0}};
    struct replica replica;
    wire_routes routes = {.bundle_version = 2};
    GArray *tokens;
    size_t count;

    replica_open(&replica, 1, 7, 7, true, 1, NULL, &counters);
    replica_tick(&replica, 2);
    replica_clear(&replica);
    /* A founder alone is its own quorum: answered in the same batch. */
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

/* Carries out what a voter asks for as its thread does, on a disk; all that a
 * disk is told to store must still be in the log. */
static void
carry_out(struct replica *replica, struct sim_disk *disk)
{
    size_t count;
    const struct replica_action *all = replica_actions(replica, &count);

    for (size_t i = 0; i < count; i++) {
        const struct cons_action *action = &all[i].cons;

        if (all[i].kind != REPLICA_CONS) {
            continue;
        }
        if (action->kind == CONS_SAVE_ENTRIES) {
            g_assert_nonnull(cons_entry_at(&replica->cons, action->index));
            sim_disk_append(disk, &replica->cons, action->index,
                            action->count);
        }
        else if (action->kind == CONS_SAVE_SNAPSHOT) {
            sim_disk_snapshot(disk, &replica->cons);
        }
    }
    replica_clear(replica);
}

/* The voter's thread takes a job, lets time pass and only then stores entries:
 * a log that has grown long is not made a snapshot while an entry of it waits
 * to be stored. Seen: a node with the only disk of its deployment ended with a
 * fault of memory at its 62nd table. */
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
    carry_out(&replica, &disk);
    now += REPLICA_JOIN_MS;
    for (uint64_t version = 1; version <= 3 * REPLICA_COMPACT_ENTRIES;
         version++) {
        wire_routes routes = {.bundle_version = version};

        replica_submit(&replica, now, version, &routes);
        replica_tick(&replica, now);
        carry_out(&replica, &disk);
        if (version % 10 == 0) {
            replica_tick(&replica, ++now);
            carry_out(&replica, &disk);
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

/* Lists the tests. */
int
main(int argc, char **argv)
{
    char path[128];

    g_test_init(&argc, &argv, NULL);
    for (size_t i = 0; i < G_N_ELEMENTS(scenes); i++) {
        (void)snprintf(path, sizeof(path), "/fleet/%s", scenes[i].name);
        g_test_add_data_func(path, &scenes[i], test_scene);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(mutations); i++) {
        (void)snprintf(path, sizeof(path), "/fleet/mutation/%s",
                       mutations[i].name);
        g_test_add_data_func(path, &mutations[i], test_mutation);
    }
    g_test_add_func("/fleet/kept-of-another-kind", test_kept_of_another_kind);
    g_test_add_func("/fleet/kept-by-release-before",
                    test_kept_by_release_before);
    g_test_add_func("/fleet/recall", test_recall);
    g_test_add_func("/fleet/join-together", test_join_together);
    g_test_add_func("/fleet/unanswered", test_unanswered);
    g_test_add_func("/fleet/compact-while-saving", test_compact_while_saving);
    return g_test_run();
}
