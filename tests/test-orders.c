/*
 * Control quorum under random orders of events, in simulated time: bursts of
 * entries that compact the log, planned stops and replacements, kills,
 * freezes, cuts, and lost or damaged disks, as many at a time as the quorum
 * tolerates. Guards against an acknowledged table that is lost or read in an
 * older version, and against a disk that differs from its replica.
 *
 *   usage: test-orders [-m thorough]
 */
#include <glib.h>
#include <string.h>

#include "fleet-sim.h"
#include "mutation.h"

#define SEEDS 400
#define SEEDS_THOROUGH 4000
#define STEPS 40
#define SETTLE_MS 8000
#define CATCH_UP_MS 4000 /* a disk counts as lost until then */
#define RECOVERY_MS 14000
#define OPERATOR_TIMEOUT_MS 8000
#define BURST_MAX 50 /* entries */
#define AWAY_MAX_MS 2500
#define SHORT_FREEZE_MS 150
#define SUCCESSORS_MAX 8

/* A node that is away and returns at a time. */
struct absence {
    int node;
    uint64_t until;
    enum { ABSENT_DOWN, ABSENT_CUT } kind;
};

struct run {
    struct fleet_sim *sim;
    int disks;           /* of the deployment */
    int tolerated;       /* lost disks at a time */
    uint64_t version;    /* last submitted */
    GArray *absences;    /* struct absence */
    uint64_t lost_until; /* deadline: lost disks have caught up */
    int lost;            /* disks lost until then */
    int successor;       /* joined and not yet in use, -1: none */
    uint64_t successor_ready_at;
    int leaving; /* stops for good, -1: none */
    int replaced;
};

static uint64_t
draw(struct run *r, uint64_t below)
{
    return fleet_sim_random(r->sim, below);
}

static bool
is_away(const struct run *r, int node)
{
    for (guint i = 0; i < r->absences->len; i++) {
        if (g_array_index(r->absences, struct absence, i).node == node) {
            return true;
        }
    }
    return false;
}

/* A random node with a disk that runs, -1: none was found. */
static int
draw_disk(struct run *r)
{
    for (int tries = 0; tries < 20; tries++) {
        int n = (int)draw(r, (uint64_t)r->sim->count);
        const struct fleet_sim_node *node = &r->sim->nodes[n];

        if (node->has_disk && node->up && node->stop_at == 0 &&
            !node->removed && !is_away(r, n)) {
            return n;
        }
    }
    return -1;
}

/* While a node is away, others may not catch up. */
static void
note_disturbance(struct run *r, uint64_t until)
{
    if (r->lost > 0) {
        r->lost_until = MAX(r->lost_until, until + CATCH_UP_MS);
    }
    if (r->successor >= 0) {
        r->successor_ready_at =
            MAX(r->successor_ready_at, until + CATCH_UP_MS);
    }
}

static void
add_absence(struct run *r, int n, int kind, uint64_t until)
{
    struct absence absence = {.node = n, .until = until, .kind = kind};

    g_array_append_val(r->absences, absence);
    note_disturbance(r, until);
}

static void
end_absences(struct run *r, bool all)
{
    for (guint i = r->absences->len; i > 0; i--) {
        struct absence a = g_array_index(r->absences, struct absence, i - 1);

        if (!all && r->sim->now < a.until) {
            continue;
        }
        if (a.kind == ABSENT_DOWN) {
            fleet_sim_start(r->sim, a.node);
        }
        else {
            fleet_sim_isolate(r->sim, a.node, false);
        }
        g_array_remove_index_fast(r->absences, i - 1);
    }
}

/* Loses or damages a disk, if no more are lost than tolerated. */
static void
lose_disk(struct run *r, int n)
{
    uint64_t back_at = r->sim->now + draw(r, 1500);

    if (r->sim->now >= r->lost_until) {
        r->lost = 0;
    }
    if (r->lost == r->tolerated) {
        return;
    }
    r->lost++;
    if (draw(r, 2) == 0) {
        fleet_sim_wipe(r->sim, n);
    }
    else {
        fleet_sim_damage(r->sim, n, 1 + (unsigned)draw(r, 6));
    }
    r->lost_until = MAX(r->lost_until, back_at + CATCH_UP_MS);
    add_absence(r, n, ABSENT_DOWN, back_at);
}

/* Right after an acknowledgement, the node that gave it loses its disk. */
static void
acknowledge_and_lose(struct run *r)
{
    int leader;

    if (!fleet_sim_put(r->sim, ++r->version, AWAY_MAX_MS)) {
        return;
    }
    leader = fleet_sim_leader(r->sim);
    if (leader >= 0 && r->sim->nodes[leader].stop_at == 0) {
        lose_disk(r, leader);
    }
}

static bool
is_any_stopping(const struct fleet_sim *sim)
{
    for (int n = 0; n < sim->count; n++) {
        if (sim->nodes[n].stop_at != 0) {
            return true;
        }
    }
    return false;
}

static bool
is_any_frozen(const struct fleet_sim *sim)
{
    for (int n = 0; n < sim->count; n++) {
        if (sim->now < sim->nodes[n].frozen_until) {
            return true;
        }
    }
    return false;
}

/* Adds a disk; once it had the time to catch up, another one stops for good.
 * Until its end no other node is away. */
static void
replace_as_planned(struct run *r)
{
    int old;

    if (r->successor < 0) {
        if (r->replaced < SUCCESSORS_MAX && r->leaving < 0) {
            r->replaced++;
            r->successor = fleet_sim_join(r->sim, true);
            r->successor_ready_at = r->sim->now + CATCH_UP_MS;
        }
        return;
    }
    old = draw_disk(r);
    if (r->sim->now < r->successor_ready_at || old < 0 ||
        old == r->successor || r->absences->len > 0 ||
        r->sim->now < r->lost_until || is_any_stopping(r->sim) ||
        is_any_frozen(r->sim)) {
        return;
    }
    fleet_sim_stop(r->sim, old);
    r->leaving = old;
    r->successor = -1;
}

/* Marks a node that stopped for good, and starts nodes that only restart. Half
 * of the former are followed by the loss of another disk. */
static void
end_stops(struct run *r)
{
    for (int n = 0; n < r->sim->count; n++) {
        struct fleet_sim_node *node = &r->sim->nodes[n];

        if (node->up || node->removed || is_away(r, n)) {
            continue;
        }
        if (n == r->leaving) {
            node->removed = true;
            r->leaving = -1;
            if (draw(r, 2) == 0) {
                acknowledge_and_lose(r);
            }
        }
        else {
            fleet_sim_start(r->sim, n);
        }
    }
}

static void
run_event(struct run *r)
{
    struct fleet_sim *sim = r->sim;
    int n = draw_disk(r);
    uint64_t away_ms = 20 + draw(r, AWAY_MAX_MS);
    uint64_t entries = 1 + draw(r, BURST_MAX);

    if (n < 0) {
        return;
    }
    switch (draw(r, 12)) {
    case 0:
    case 1:
        while (entries-- > 0) {
            fleet_sim_submit(sim, (int)draw(r, 3), ++r->version);
            fleet_sim_run(sim, sim->now + 5);
        }
        return;
    case 2:
        fleet_sim_read(sim, (int)draw(r, 3));
        return;
    case 3:
        away_ms = r->leaving < 0 ? away_ms : draw(r, SHORT_FREEZE_MS);
        fleet_sim_freeze(sim, n, sim->now + away_ms);
        note_disturbance(r, sim->now + away_ms);
        return;
    case 4:
        if (r->leaving >= 0) {
            return;
        }
        fleet_sim_kill(sim, n);
        add_absence(r, n, ABSENT_DOWN, sim->now + away_ms);
        return;
    case 5:
        if (r->leaving >= 0) {
            return;
        }
        fleet_sim_isolate(sim, n, true);
        add_absence(r, n, ABSENT_CUT, sim->now + away_ms);
        return;
    case 6:
        if (n != r->successor && r->leaving < 0) {
            fleet_sim_stop(sim, n);
        }
        return;
    case 7:
    case 8:
        replace_as_planned(r);
        return;
    case 9:
        acknowledge_and_lose(r);
        return;
    case 10:
        if (n != r->successor) {
            lose_disk(r, n);
        }
        return;
    default:
        return;
    }
}

static void
check_disks(const struct fleet_sim *sim)
{
    for (int n = 0; n < sim->count; n++) {
        const struct fleet_sim_node *node = &sim->nodes[n];

        if (node->up && node->has_disk) {
            sim_disk_check(&node->disk, &node->replica.cons);
        }
    }
}

static void
run_seed(uint64_t seed)
{
    struct fleet_sim_options options = {.nodes = seed % 2 == 0 ? 9 : 7,
                                        .disks = seed % 2 == 0 ? 5 : 3,
                                        .tolerated_disks =
                                            seed % 2 == 0 ? 2 : 1,
                                        .upstreams = 4,
                                        .seed = seed,
                                        .loss = seed % 3 == 0 ? 5 : 0};
    struct run r = {.sim = fleet_sim_new(&options),
                    .disks = options.disks,
                    .tolerated = (options.disks - 1) / 2,
                    .absences =
                        g_array_new(FALSE, FALSE, sizeof(struct absence)),
                    .successor = -1,
                    .leaving = -1};

    fleet_sim_run(r.sim, r.sim->now + SETTLE_MS);
    g_assert_true(fleet_sim_put(r.sim, ++r.version, OPERATOR_TIMEOUT_MS));
    for (unsigned step = 0; step < STEPS; step++) {
        run_event(&r);
        fleet_sim_run(r.sim, r.sim->now + draw(&r, 700));
        end_absences(&r, false);
        end_stops(&r);
    }
    while (is_any_stopping(r.sim)) {
        fleet_sim_run(r.sim, r.sim->now + 5);
    }
    end_absences(&r, true);
    end_stops(&r);
    fleet_sim_run(r.sim, r.sim->now + RECOVERY_MS);
    g_test_message("seed %llu: version %llu, acknowledged %llu, %s",
                   (unsigned long long)seed, (unsigned long long)r.version,
                   (unsigned long long)r.sim->acked_version, r.sim->violation);
    g_assert_true(fleet_sim_get(r.sim, OPERATOR_TIMEOUT_MS));
    g_assert_cmpuint(r.sim->read_version, >=, r.sim->acked_version);
    g_assert_cmpstr(r.sim->violation, ==, "");
    check_disks(r.sim);
    fleet_sim_free(r.sim);
    g_array_free(r.absences, TRUE);
}

/* The seeds of a share of the range, so that shares can run in parallel. */
static void
test_orders(gconstpointer data)
{
    uint64_t share = GPOINTER_TO_UINT(data);
    uint64_t seeds = g_test_thorough() ? SEEDS_THOROUGH : SEEDS;

    for (uint64_t seed = share + 1; seed <= seeds; seed += 4) {
        run_seed(seed);
    }
}

static const struct mutation mutations[] = {
    {"ignore-stopping", FAULT_IGNORE_STOPPING, "/orders/2"},
    {"forget-missing", FAULT_FORGET_MISSING, "/orders/2"},
};

int
main(int argc, char **argv)
{
    mutation_init();
    g_test_init(&argc, &argv, NULL);
    g_test_set_nonfatal_assertions();
    for (guint share = 0; share < 4; share++) {
        char path[32];

        (void)g_snprintf(path, sizeof(path), "/orders/%u", share);
        g_test_add_data_func(path, GUINT_TO_POINTER(share), test_orders);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(mutations); i++) {
        char path[64];

        (void)g_snprintf(path, sizeof(path), "/orders/mutation/%s",
                         mutations[i].name);
        g_test_add_data_func(path, &mutations[i], mutation_test);
    }
    return g_test_run();
}
