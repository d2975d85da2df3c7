/*
 * One truth about the bundle in force: control replicas and entries under
 * kills, freezes, cuts, lost disks and racing operators, with invariants
 * checked all along; and the same with one safeguard left out, which some
 * seed must catch.
 */
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "fault.h"
#include "hash.h"
#include "sim.h"

#define RUN_MS 40000
#define STEP_MS 25

/* What the invariants remember. */
struct truth {
    struct sim *sim;
    GHashTable *leaders;                /* term to replica */
    GHashTable *committed;              /* index to hash of the entry */
    GHashTable *outcomes;               /* submission to its first outcome */
    GHashTable *digests;                /* version to table digest */
    uint64_t entry_view[SIM_NODES_MAX]; /* version * 8 + step by start */
    uint64_t entry_start[SIM_NODES_MAX];
    uint64_t disk_version[SIM_NODES_MAX];
    uint64_t applied; /* the furthest committed state ever seen: */
    uint64_t current, prev_version;
    uint32_t step;
    GArray *members; /* uint64_t */
    char broken[256];
    unsigned submissions;
    unsigned accepted;
    GHashTable *waiting; /* token to submission */
};

/* Notes the first broken invariant. */
static void note_broken(struct truth *t, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

static void
note_broken(struct truth *t, const char *format, ...)
{
    va_list args;

    if (t->broken[0] != '\0') {
        return;
    }
    va_start(args, format);
    (void)vsnprintf(t->broken, sizeof(t->broken), format, args);
    va_end(args);
}

/* Remembers a value under a key; false when another one was there. */
static bool
same(GHashTable *table, uint64_t key, uint64_t value)
{
    uint64_t *had = g_hash_table_lookup(table, &key);

    if (had != NULL) {
        return *had == value;
    }
    g_hash_table_insert(table, g_memdup2(&key, sizeof(key)),
                        g_memdup2(&value, sizeof(value)));
    return true;
}

/* Hash of a log entry. */
static uint64_t
entry_hash(const struct cons_entry *entry)
{
    gsize length = 0;
    const void *bytes = g_bytes_get_data(entry->command, &length);

    return hash_pair(HASH_NAME, entry->term,
                     hash_bytes(HASH_NAME, bytes, length));
}

/* One leader a term; committed entries never differ. */
static void
check_replica(struct truth *t, int index)
{
    const struct cons *cons = &t->sim->nodes[index].core.cons;
    uint64_t from = cons->commit_index > 20 ? cons->commit_index - 20 : 1;

    if (cons->role == CONS_LEADER &&
        !same(t->leaders, cons->term, cons->self)) {
        note_broken(t, "two leaders in term %llu",
                    (unsigned long long)cons->term);
    }
    for (uint64_t i = from; i <= cons->commit_index; i++) {
        const struct cons_entry *entry = cons_entry_at(cons, i);

        if (entry != NULL && !same(t->committed, i, entry_hash(entry))) {
            note_broken(t, "entry %llu committed twice, differently",
                        (unsigned long long)i);
        }
    }
}

/* Place of a step in their order. */
static int
step_order(uint32_t step)
{
    return step >= FLOW_STEP_FLIP ? (int)step - 1 : MIN((int)step, 2);
}

/* The furthest committed state of any replica that is up. */
static const struct control_core *
furthest(const struct truth *t)
{
    const struct control_core *best = NULL;

    for (int i = 0; i < t->sim->options.controls; i++) {
        const struct sim_node *node = &t->sim->nodes[i];

        if (node->up &&
            (best == NULL || node->core.state.applied > best->state.applied)) {
            best = &node->core;
        }
    }
    return best;
}

/* Remembers the furthest committed state. */
static void
note_furthest(struct truth *t)
{
    const struct control_core *best = furthest(t);
    const wire_epoch *epoch;

    if (best == NULL || best->state.applied <= t->applied) {
        return;
    }
    t->applied = best->state.applied;
    t->current = best->state.current;
    t->prev_version = best->state.prev_version;
    t->step = best->state.step;
    epoch = control_state_epoch(&best->state);
    g_array_set_size(t->members, 0);
    for (u_int i = 0; epoch != NULL && i < epoch->members.members_len; i++) {
        g_array_append_val(t->members, epoch->members.members_val[i].id);
    }
}

/* Says whether an entry is in the furthest epoch. */
static bool
is_member(const struct truth *t, uint64_t id)
{
    for (guint i = 0; i < t->members->len; i++) {
        if (g_array_index(t->members, uint64_t, i) == id) {
            return true;
        }
    }
    return false;
}

/* An entry with a lease is in the epoch, and at most one step behind. */
static void
check_lease(struct truth *t, int index)
{
    const struct sim_node *node = &t->sim->nodes[index];
    uint64_t version = flow_version(node->entry->flow);
    int behind =
        step_order(t->step) - step_order(flow_step(node->entry->flow));
    bool ok = true;

    if (t->sim->now >= node->entry->lease_deadline ||
        t->sim->now < node->frozen_until) {
        return;
    }
    if (!is_member(t, node->id)) {
        note_broken(t, "an entry with a lease is not in the epoch");
    }
    if (version == t->current) {
        ok = behind <= 1;
    }
    else if (version < t->current) {
        ok = version == t->prev_version && t->step == FLOW_STEP_ANNOUNCE;
    }
    if (!ok) {
        note_broken(t, "a lease %d steps behind: version %llu of %llu", behind,
                    (unsigned long long)version,
                    (unsigned long long)t->current);
    }
}

/* An entry never goes back, and equal versions have equal tables. */
static void
check_entry(struct truth *t, int index)
{
    const struct sim_node *node = &t->sim->nodes[index];
    struct flow *flow = node->entry->flow;
    uint64_t version = flow_version(flow);
    uint64_t view = version * 8 + (uint64_t)step_order(flow_step(flow));

    if (t->entry_start[index] == node->id && view < t->entry_view[index]) {
        note_broken(t, "an entry went back");
    }
    /* Before it has heard from control it has no version, and no lease. */
    if (version != 0 && version < t->disk_version[index]) {
        note_broken(t, "an entry went back over a restart");
    }
    t->entry_start[index] = node->id;
    t->entry_view[index] = view;
    if (node->saved_text == NULL) {
        t->disk_version[index] = 0;
    }
    else if (version != 0) {
        t->disk_version[index] = version;
    }
    if (version > 0 &&
        !same(t->digests, version, flow_table_digest(flow, 0))) {
        note_broken(t, "two tables for version %llu",
                    (unsigned long long)version);
    }
    check_lease(t, index);
}

/* Checks all invariants. */
static void
check_all(struct truth *t)
{
    note_furthest(t);
    for (int i = 0; i < t->sim->count; i++) {
        if (!t->sim->nodes[i].up) {
            continue;
        }
        if (t->sim->nodes[i].control) {
            check_replica(t, i);
        }
        else {
            check_entry(t, i);
        }
    }
}

/* An operator got an answer: the same submission, the same outcome. */
static void
on_replied(void *data, int node, uint64_t token, const struct status *status)
{
    struct truth *t = data;
    const char *submission = g_hash_table_lookup(t->waiting, &token);
    const char *first;
    char *text;

    (void)node;
    if (submission == NULL || status->kind == STATUS_NO_ANSWER ||
        status->kind == STATUS_UNCONFIRMED) {
        return;
    }
    text = g_strdup_printf("%d %s", status->kind, status->message);
    first = g_hash_table_lookup(t->outcomes, submission);
    if (first == NULL) {
        g_hash_table_insert(t->outcomes, g_strdup(submission), text);
        t->accepted += status->kind == STATUS_OK;
        return;
    }
    if (strcmp(first, text) != 0) {
        note_broken(t, "submission %s: first \"%s\", then \"%s\"", submission,
                    first, text);
    }
    g_free(text);
}

/* An operator submits, races another, or sends an old one again. */
static void
operate(struct truth *t)
{
    struct sim *sim = t->sim;
    const struct control_core *best = furthest(t);
    uint64_t token = ++sim->sequence;
    uint64_t base = best ? best->state.current : 0;
    char id[64];
    char states[8] = "sssss";
    char *text;

    if (sim_random(sim, 3) == 0) {
        (void)sim_sign_off(sim, token);
        return;
    }
    if (sim_random(sim, 3) != 0 || t->submissions == 0) {
        t->submissions++;
    }
    /* Racing submissions share a version but differ in the text. */
    (void)snprintf(id, sizeof(id), "s%u", t->submissions);
    states[t->submissions % 4] = 'l';
    text = sim_bundle(base + 1 + t->submissions % 2, base, states, NULL, 3,
                      false);
    g_hash_table_insert(t->waiting, g_memdup2(&token, sizeof(token)),
                        g_strdup(id));
    (void)sim_submit(sim, text, id, "ana", token);
    g_free(text);
}

/* How rough a run is: chances of 1,000 each STEP_MS. */
struct weather {
    unsigned kill, freeze, cut, one_way, wipe, operate, voters, split;
};

/* Says whether a disk may be lost: a quorum of disks must always last, and
 * the replica wiped before must have been admitted again. */
static bool
may_wipe(const struct sim *sim)
{
    const struct sim_node *node;
    int voters = 0;

    for (int i = 0; i < sim->options.controls; i++) {
        node = &sim->nodes[i];
        if (!node->up) {
            return false;
        }
        voters += cons_is_voter(&node->core.cons, (uint32_t)i + 1,
                                node->disk.identity);
    }
    return voters == sim->options.controls;
}

/* Cuts the network into two halves at random. */
static void
split(struct sim *sim)
{
    uint64_t side = sim_random(sim, 0);

    for (int i = 0; i < sim->count; i++) {
        for (int j = 0; j < sim->count; j++) {
            sim_cut(sim, i, j, (side >> i & 1) != (side >> j & 1));
        }
    }
}

/* Lets one kind of trouble happen. */
static void
trouble(struct truth *t, const struct weather *w)
{
    struct sim *sim = t->sim;
    int node = (int)sim_random(sim, (uint64_t)sim->count);
    int other = (int)sim_random(sim, (uint64_t)sim->count);

    if (sim_random(sim, 1000) < w->kill) {
        sim_kill(sim, node);
    }
    if (sim_random(sim, 1000) < w->kill * 2) {
        sim_start(sim, (int)sim_random(sim, (uint64_t)sim->count));
    }
    if (sim_random(sim, 1000) < w->freeze) {
        sim_freeze(sim, node, sim->now + 100 + sim_random(sim, 12000));
    }
    if (sim_random(sim, 1000) < w->cut) {
        sim_isolate(sim, node, true);
    }
    if (sim_random(sim, 1000) < w->one_way) {
        sim_cut(sim, node, other, true);
    }
    if (sim_random(sim, 1000) < w->split) {
        split(sim);
    }
    if (sim_random(sim, 1000) < (w->cut + w->one_way + w->split / 4) * 2) {
        for (int i = 0; i < sim->count; i++) {
            sim_isolate(sim, i, false);
        }
    }
    if (sim_random(sim, 1000) < w->wipe && node < sim->options.controls &&
        (fault_is(FAULT_COUNT_ANY_IDENTITY) || may_wipe(sim))) {
        sim_wipe(sim, node);
    }
    if (sim_random(sim, 1000) < w->operate) {
        operate(t);
    }
    if (sim_random(sim, 1000) < w->voters && sim_leader(sim) >= 0) {
        struct control_core *core = &sim->nodes[sim_leader(sim)].core;
        uint32_t replica =
            1 + (uint32_t)sim_random(sim, (uint64_t)sim->options.controls);
        const struct sim_node *peer = &sim->nodes[replica - 1];
        bool voter = cons_is_voter(&core->cons, replica, peer->disk.identity);

        control_core_change_voters(core, sim->now, 0, replica,
                                   voter ? 0 : peer->disk.identity);
        sim_act(sim, sim_leader(sim));
    }
}

/* Frees what a run remembers. */
static void
truth_free(struct truth *t)
{
    g_hash_table_destroy(t->leaders);
    g_hash_table_destroy(t->committed);
    g_hash_table_destroy(t->outcomes);
    g_hash_table_destroy(t->digests);
    g_hash_table_destroy(t->waiting);
    g_array_free(t->members, TRUE);
    sim_free(t->sim);
}

/* Runs one seed; the first broken invariant stays in `broken`. */
static void
run_seed(struct truth *t, const struct sim_options *base, uint64_t seed,
         const struct weather *w, uint64_t length)
{
    struct sim_options options = *base;
    uint64_t end;

    memset(t, 0, sizeof(*t));
    t->leaders =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    t->committed =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    t->digests =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    t->waiting =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    t->members = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    t->outcomes =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    options.seed = seed;
    options.hooks.replied = on_replied;
    options.hooks.data = t;
    t->sim = sim_new(&options);
    end = t->sim->now + length;
    while (t->sim->now < end && t->broken[0] == '\0') {
        sim_run(t->sim, t->sim->now + STEP_MS);
        /* A leader may be killed right after it let an entry know. */
        note_furthest(t);
        trouble(t, w);
        check_all(t);
    }
}

/* After the trouble: all nodes come back, and a bundle gets through. */
static bool
recovers(struct truth *t)
{
    struct sim *sim = t->sim;
    const struct control_core *best;
    char *text;
    bool ok;

    for (int i = 0; i < sim->count; i++) {
        sim_isolate(sim, i, false);
        sim_freeze(sim, i, 0);
        sim_start(sim, i);
    }
    /* A roll-out that waited for lost entries goes on first. */
    for (int i = 0; i < 40; i++) {
        sim_run(sim, sim->now + 1000);
        (void)sim_sign_off(sim, 0);
        best = furthest(t);
        if (best->state.step == FLOW_STEP_SETTLED &&
            !best->state.has_pending && i > 5) {
            break;
        }
    }
    best = furthest(t);
    text = sim_bundle(best->state.current + 5, best->state.current, "sssss",
                      NULL, 3, false);
    ok = sim_roll_out(sim, text, 30000);
    g_free(text);
    check_all(t);
    return ok;
}

/* ---- tables of cases ---- */

struct scene {
    const char *name;
    int controls, founders, entries;
    unsigned loss;
    struct weather weather;
};

static const struct scene scenes[] = {
    {"calm", 3, 0, 3, 0, {0, 0, 0, 0, 0, 100, 0, 0}},
    {"kills", 3, 0, 3, 5, {25, 0, 0, 0, 0, 60, 0, 0}},
    {"freezes", 3, 0, 3, 5, {0, 25, 0, 0, 0, 60, 0, 0}},
    {"cuts", 5, 0, 4, 10, {0, 0, 10, 10, 0, 60, 0, 10}},
    {"lost-disks", 5, 0, 2, 5, {10, 0, 0, 0, 20, 60, 0, 0}},
    {"all-mixed", 5, 0, 11, 10, {12, 8, 4, 6, 10, 60, 0, 5}},
    {"voters-change", 5, 3, 2, 10, {10, 5, 3, 3, 0, 60, 20, 0}},
};

/* Runs a scene over some seeds. */
static void
test_scene(gconstpointer data)
{
    const struct scene *s = data;
    int seeds = g_test_slow() ? 500 : 40;

    if (s->entries > 4 && !g_test_slow()) {
        seeds = 25;
    }
    for (int seed = 1; seed <= seeds; seed++) {
        struct sim_options options = {.controls = s->controls,
                                      .founders = s->founders,
                                      .entries = s->entries,
                                      .halls = 3,
                                      .loss = s->loss,
                                      .delay_ms = 1,
                                      .jitter_ms = 4,
                                      .flow_capacity = 1024};
        struct truth t;

        run_seed(&t, &options, (uint64_t)seed, &s->weather, RUN_MS);
        if (t.broken[0] != '\0') {
            g_test_message("%s seed %d: %s", s->name, seed, t.broken);
            g_test_fail();
        }
        else if (!recovers(&t)) {
            const struct control_core *best = furthest(&t);

            g_test_message(
                "%s seed %d: does not recover: leader %d version "
                "%llu step %u pending %d epoch members %u",
                s->name, seed, sim_leader(t.sim),
                (unsigned long long)best->state.current, best->state.step,
                best->state.has_pending,
                control_state_epoch(&best->state)
                    ? control_state_epoch(&best->state)->members.members_len
                    : 0);
            g_test_fail();
        }
        if (t.broken[0] != '\0') {
            g_test_message("%s seed %d after recovery: %s", s->name, seed,
                           t.broken);
            g_test_fail();
        }
        truth_free(&t);
    }
}

/* A safeguard left out, and the weather that shows it. */
struct mutation {
    const char *name;
    enum fault fault;
    struct weather weather;
    unsigned jitter_ms; /* 0: as in the scenes */
};

static const struct mutation mutations[] = {
    {"count-a-wiped-replica",
     FAULT_COUNT_ANY_IDENTITY,
     {25, 0, 10, 0, 40, 100, 0, 0},
     0},
    {"vote-for-a-shorter-log",
     FAULT_VOTE_STALE_LOG,
     {25, 10, 10, 0, 0, 100, 0, 0},
     0},
    {"vote-twice-in-a-term",
     FAULT_VOTE_TWICE,
     {25, 10, 10, 10, 0, 100, 0, 0},
     400},
    {"acknowledge-unsynced",
     FAULT_ACK_UNSYNCED,
     {60, 0, 5, 0, 0, 100, 0, 0},
     0},
    {"renew-a-lease-without-a-quorum",
     FAULT_LEASE_NO_QUORUM,
     {5, 5, 0, 0, 0, 60, 0, 15},
     0},
    {"drop-an-entry-before-its-lease-ends",
     FAULT_EVICT_EARLY,
     {5, 20, 10, 10, 0, 60, 0, 0},
     0},
    {"step-without-waiting",
     FAULT_NO_BARRIER,
     {5, 10, 10, 10, 0, 100, 0, 0},
     0},
};

/* Looks for a seed that catches the mutation. */
static void
test_mutation(gconstpointer data)
{
    const struct mutation *m = data;

    for (int seed = 1; seed <= 120; seed++) {
        struct sim_options options = {.controls = m->jitter_ms ? 5 : 3,
                                      .entries = 3,
                                      .halls = 3,
                                      .loss = 10,
                                      .delay_ms = 1,
                                      .jitter_ms =
                                          m->jitter_ms ? m->jitter_ms : 4,
                                      .flow_capacity = 1024};
        struct truth t;
        bool caught;

        fault_trials[m->fault] = true;
        run_seed(&t, &options, (uint64_t)seed, &m->weather, RUN_MS);
        fault_trials[m->fault] = false;
        caught = t.broken[0] != '\0';
        if (caught) {
            g_test_message("%s: seed %d: %s", m->name, seed, t.broken);
        }
        truth_free(&t);
        if (caught) {
            return;
        }
    }
    g_test_message("no seed catches %s", m->name);
    g_test_fail();
}

/* A replica that is its own quorum commits an entry before its shell has
 * stored it: the log is not made a snapshot meanwhile. */
static void
test_compact_while_saving(void)
{
    const uint32_t self = 1;
    wire_voter voter = {.replica = self, .identity = self};
    wire_config founders = {.voters = {.voters_len = 1, .voters_val = &voter}};
    struct counters counters = {{0}};
    struct control_core core;
    uint64_t now = 1;

    control_core_open(&core, now, self, self, &self, 1, &founders, 1, NULL,
                      &counters);
    for (unsigned i = 0; i < 3 * CONTROL_COMPACT_ENTRIES; i++) {
        wire_sign_off sign = {.bundle_version = i + 1, .operator_name = "one"};
        size_t count;
        const struct control_action *all;

        now += 1000;
        control_core_tick(&core, now);
        control_core_clear(&core);
        control_core_sign_off(&core, now, i + 1, &sign);
        all = control_core_actions(&core, &count);
        for (size_t j = 0; j < count; j++) {
            if (all[j].kind == CONTROL_CONS &&
                all[j].cons.kind == CONS_SAVE_ENTRIES) {
                g_assert_nonnull(cons_entry_at(&core.cons, all[j].cons.index));
            }
        }
        control_core_clear(&core);
    }
    g_assert_cmpuint(core.cons.snapshot.index, >, CONTROL_COMPACT_ENTRIES);
    control_core_close(&core);
}

/* Adds the tables. */
int
main(int argc, char **argv)
{
    char path[128];

    g_test_init(&argc, &argv, NULL);
    g_test_set_nonfatal_assertions();
    for (size_t i = 0; i < G_N_ELEMENTS(scenes); i++) {
        (void)snprintf(path, sizeof(path), "/control/%s", scenes[i].name);
        g_test_add_data_func(path, &scenes[i], test_scene);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(mutations); i++) {
        (void)snprintf(path, sizeof(path), "/control/mutation/%s",
                       mutations[i].name);
        g_test_add_data_func(path, &mutations[i], test_mutation);
    }
    g_test_add_func("/control/compact-while-saving",
                    test_compact_while_saving);
    return g_test_run();
}
