/*
 * A fleet that finds itself: founding, voters that take over from lost disks,
 * acknowledged tables that survive, reads that are never old, and what nodes
 * know of upstreams. All in simulated time.
 */
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "codec.h"
#include "fault.h"
#include "fleet-sim.h"

#define SEEDS 8
#define MUTATION_SEEDS 200
#define SETTLE_MS 6000  /* from the first start to the first table */
#define OPERATE_MS 8000 /* an operator's call is answered within it */
#define EVENT_MS 1000   /* between two events */
#define HEAL_MS 8000    /* after the last event */
#define FREEZE_MS 3000  /* of a frozen leader */
#define KNOWN_UPSTREAMS 18
#define RECALLED 9    /* nodes from here on stay down */
#define RECALL_MS 300 /* from a start without seeds until all can serve */
#define MANY_UPSTREAMS 64
#define UPSTREAMS 640  /* of a fleet that repairs its records */
#define FORGOTTEN 16   /* records that a node loses */
#define REPAIR_MS 3000 /* it has them again within it */
#define REPAIR_BYTES                                                          \
    60000U /* most that all nodes send meanwhile, of which 50 KB are calm */
#define LOST_PUSH_MS 50   /* in which what a node sends is lost */
#define LOOK_MS 100       /* between two looks at what nodes believe */
#define LOST_UPSTREAMS 16 /* that are lost with their node */
#define DROP_MS 1500      /* after that all know that a node is dropped */
#define DOUBTED_MS 150    /* from the last doubt until all believe it */
#define NODES 32          /* of a fleet with many joins or losses */
#define JOINERS 10        /* nodes that start at the same moment */
#define JOIN_MS 500       /* within it they can serve */
#define JOIN_BYTES                                                            \
    5000U              /* most that a node without a disk sends meanwhile,    \
                          with its share of calm traffic */
#define NOTICE_MS 8000 /* then its upstreams are known to be silent */

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
 * F send the next version to the leader and freeze it before a disk answers
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
};

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
    const wire_config *config = cons_config(&sim->nodes[leader].order.cons);

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
    const wire_config *config = cons_config(&sim->nodes[leader].order.cons);
    u_int spare = (config->voters.voters_len - 1) / 2;
    uint32_t lost[CONS_REPLICAS_MAX];

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
        cons_config(&sim->nodes[leader].order.cons)->voters.voters_len, ==,
        scene->voters);
    for (int i = 0; i < sim->count; i++) {
        if (sim->nodes[i].up) {
            g_assert_cmpuint(sim->nodes[i].fleet.routes.bundle_version, ==,
                             version);
        }
    }
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
     FAULT_VOTE_BEHIND,
     {"", 11, 3, 5, 3, "pc...pkh...gs....c...pkh...gs....c...pkh...g"}},
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
        upstream_deregister(&sim->nodes[keeper].upstreams, sim->now, u->id);
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
    fleet_sim_run(sim, sim->now + FLEET_AGAIN_MS + LOST_PUSH_MS);
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
    until = sim->now + FLEET_LOST_MS + NOTICE_MS;
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
    fleet_sim_run(sim, sim->now + FLEET_LOST_MS + DROP_MS);
    count_lost(sim, &silent, &watched);
    g_assert_cmpuint(silent, ==, 0);
    g_assert_cmpuint(watched, ==, LOST_UPSTREAMS);
    fleet_sim_run(sim, sim->now + NOTICE_MS);
    count_lost(sim, &silent, &watched);
    g_assert_cmpuint(silent, ==, LOST_UPSTREAMS * (unsigned)lost);
    g_assert_cmpuint(watched, ==, 0);
    fleet_sim_free(sim);
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

        g_hash_table_remove(set->by_id, &u->id);
        g_hash_table_remove(set->by_token, GUINT_TO_POINTER(u->token));
        g_ptr_array_remove_index(set->all, 37 * i);
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

/* Three nodes that get no answer of an upstream tell the one that hears it,
 * and all believe it silent long before its registrations are missed. */
static void
test_doubted(void)
{
    struct fleet_sim_options options = {
        .nodes = 11, .disks = 3, .upstreams = KNOWN_UPSTREAMS, .seed = 3};
    struct fleet_sim *sim = fleet_sim_new(&options);
    struct fleet_sim_upstream *u = &sim->upstreams[0];
    struct upstream_doubt doubt = {.quiet_ms = 200};

    fleet_sim_run(sim, sim->now + SETTLE_MS);
    u->up = false;
    doubt.id = u->id;
    fleet_sim_run(sim, sim->now + 2 * doubt.quiet_ms);
    for (int n = 0; n < 3; n++) {
        g_array_append_val(sim->nodes[n].upstreams.doubted, doubt);
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

/* When a disk refuses, every operator who waits is owed an answer: those who
 * wait for a quorum, and those whose answer was not given yet. */
static void
test_unanswered(void)
{
    struct counters counters = {{0}};
    struct order order;
    wire_routes routes = {.bundle_version = 2};
    GArray *tokens;
    size_t count;

    order_open(&order, 1, 7, 7, true, 1, NULL, &counters);
    order_tick(&order, 2);
    order_clear(&order);
    /* A founder alone is its own quorum: answered in the same batch. */
    order_submit(&order, 2 + ORDER_SETTLE_MS, 41, &routes);
    (void)order_actions(&order, &count);
    g_assert_cmpuint(count, >, 0);
    tokens = order_unanswered(&order, 0);
    g_assert_cmpuint(tokens->len, ==, 1);
    g_assert_cmpuint(g_array_index(tokens, uint64_t, 0), ==, 41);
    g_array_free(tokens, TRUE);
    tokens = order_unanswered(&order, count);
    g_assert_cmpuint(tokens->len, ==, 0);
    g_array_free(tokens, TRUE);
    order_close(&order);
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
    for (size_t i = 0; i < G_N_ELEMENTS(knowns); i++) {
        (void)snprintf(path, sizeof(path), "/fleet/upstream/%s",
                       knowns[i].name);
        g_test_add_data_func(path, &knowns[i], test_known);
    }
    g_test_add_data_func("/fleet/upstream/leaving-push-lost", NULL,
                         test_push_lost);
    g_test_add_data_func("/fleet/upstream/gone-push-lost", "ends",
                         test_push_lost);
    g_test_add_func("/fleet/upstream/keeper-restarts", test_keeper_restarts);
    g_test_add_func("/fleet/upstream/lost-together", test_lost_together);
    g_test_add_func("/fleet/upstream/repair", test_repair);
    g_test_add_func("/fleet/kept-of-another-kind", test_kept_of_another_kind);
    g_test_add_func("/fleet/recall", test_recall);
    g_test_add_func("/fleet/upstream/doubted", test_doubted);
    g_test_add_func("/fleet/join-together", test_join_together);
    g_test_add_func("/fleet/unanswered", test_unanswered);
    return g_test_run();
}
