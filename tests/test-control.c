/*
 * Guards against split brain, lost commits, conflicting outcomes and leases of
 * outdated entries while control replicas and entries are killed, frozen,
 * partitioned and lose their disks. Mutation tests disable a safeguard, which
 * at least one seed must detect.
 */
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "fault.h"
#include "hash.h"
#include "sim.h"

#define RUN_MS 40000
#define STEP_MS 25

/* State of the invariant checker. */
struct checker {
    struct sim *sim;
    GHashTable *leaders;   /* term to replica */
    GHashTable *committed; /* index to hash of the entry */
    GHashTable *outcomes;  /* submission to its first outcome */
    GHashTable *digests;   /* version to table digest */
    uint64_t entry_progress[SIM_NODES_MAX]; /* version * 8 + step */
    uint64_t entry_start[SIM_NODES_MAX];
    uint64_t disk_version[SIM_NODES_MAX];
    /* From the state with the highest applied index so far. */
    uint64_t applied;
    uint64_t current, prev_version;
    uint32_t step;
    GArray *members;     /* uint64_t */
    char violation[256]; /* the first violation, "" when there is none */
    unsigned submissions;
    unsigned accepted;
    GHashTable *waiting; /* token to submission */
};

static void record_violation(struct checker *c, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

static void
record_violation(struct checker *c, const char *format, ...)
{
    va_list args;

    if (c->violation[0] != '\0') {
        return;
    }
    va_start(args, format);
    (void)vsnprintf(c->violation, sizeof(c->violation), format, args);
    va_end(args);
}

/* Stores a key's first value; false when the key has another value. */
static bool
matches_first(GHashTable *table, uint64_t key, uint64_t value)
{
    uint64_t *first = g_hash_table_lookup(table, &key);

    if (first != NULL) {
        return *first == value;
    }
    g_hash_table_insert(table, g_memdup2(&key, sizeof(key)),
                        g_memdup2(&value, sizeof(value)));
    return true;
}

static uint64_t
entry_hash(const struct cons_entry *entry)
{
    gsize length = 0;
    const void *bytes = g_bytes_get_data(entry->command, &length);

    return hash_pair(HASH_NAME, entry->term,
                     hash_bytes(HASH_NAME, bytes, length));
}

/* Election safety and state machine safety of Raft: at most one leader per
 * term, equal committed entries at equal indexes. */
static void
check_replica(struct checker *c, int index)
{
    const struct cons *cons = &c->sim->nodes[index].core.cons;
    uint64_t from = cons->commit_index > 20 ? cons->commit_index - 20 : 1;

    if (cons->role == CONS_LEADER &&
        !matches_first(c->leaders, cons->term, cons->self)) {
        record_violation(c, "two leaders in term %llu",
                         (unsigned long long)cons->term);
    }
    for (uint64_t i = from; i <= cons->commit_index; i++) {
        const struct cons_entry *entry = cons_entry_at(cons, i);

        if (entry != NULL &&
            !matches_first(c->committed, i, entry_hash(entry))) {
            record_violation(c, "different committed entries at index %llu",
                             (unsigned long long)i);
        }
    }
}

/* Rank of a rollout step. */
static int
step_rank(uint32_t step)
{
    return step >= FLOW_STEP_FLIP ? (int)step - 1 : MIN((int)step, 2);
}

/* The running replica with the highest applied index, NULL when none runs. */
static const struct control_core *
most_applied(const struct checker *c)
{
    const struct control_core *best = NULL;

    for (int i = 0; i < c->sim->options.controls; i++) {
        const struct sim_node *node = &c->sim->nodes[i];

        if (node->up &&
            (best == NULL || node->core.state.applied > best->state.applied)) {
            best = &node->core;
        }
    }
    return best;
}

static void
record_most_applied(struct checker *c)
{
    const struct control_core *best = most_applied(c);
    const wire_epoch *epoch;

    if (best == NULL || best->state.applied <= c->applied) {
        return;
    }
    c->applied = best->state.applied;
    c->current = best->state.current;
    c->prev_version = best->state.prev_version;
    c->step = best->state.step;
    epoch = control_state_epoch(&best->state);
    g_array_set_size(c->members, 0);
    for (u_int i = 0; epoch != NULL && i < epoch->members.members_len; i++) {
        g_array_append_val(c->members, epoch->members.members_val[i].id);
    }
}

/* Member of the last epoch that any replica has applied. */
static bool
is_member(const struct checker *c, uint64_t id)
{
    for (guint i = 0; i < c->members->len; i++) {
        if (g_array_index(c->members, uint64_t, i) == id) {
            return true;
        }
    }
    return false;
}

/* An entry with a lease is in the epoch and at most one step behind. */
static void
check_lease(struct checker *c, int index)
{
    const struct sim_node *node = &c->sim->nodes[index];
    uint64_t version = flow_version(node->entry->flow);
    int lag = step_rank(c->step) - step_rank(flow_step(node->entry->flow));
    bool ok = true;

    if (c->sim->now >= node->entry->lease_deadline ||
        c->sim->now < node->frozen_until) {
        return;
    }
    if (!is_member(c, node->id)) {
        record_violation(c, "an entry outside the epoch holds a lease");
    }
    if (version == c->current) {
        ok = lag <= 1;
    }
    else if (version < c->current) {
        ok = version == c->prev_version && c->step == FLOW_STEP_ANNOUNCE;
    }
    if (!ok) {
        record_violation(
            c, "an entry %d steps behind holds a lease: version %llu of %llu",
            lag, (unsigned long long)version, (unsigned long long)c->current);
    }
}

/* The version and step of an entry never decrease, and entries with equal
 * versions have equal tables. */
static void
check_entry(struct checker *c, int index)
{
    const struct sim_node *node = &c->sim->nodes[index];
    struct flow *flow = node->entry->flow;
    uint64_t version = flow_version(flow);
    uint64_t progress = version * 8 + (uint64_t)step_rank(flow_step(flow));

    if (c->entry_start[index] == node->id &&
        progress < c->entry_progress[index]) {
        record_violation(c, "the version or step of an entry decreased");
    }
    /* An entry has version 0 and no lease before its first reply. */
    if (version != 0 && version < c->disk_version[index]) {
        record_violation(c, "the version of an entry decreased by a restart");
    }
    c->entry_start[index] = node->id;
    c->entry_progress[index] = progress;
    if (node->saved_text == NULL) {
        c->disk_version[index] = 0;
    }
    else if (version != 0) {
        c->disk_version[index] = version;
    }
    if (version > 0 &&
        !matches_first(c->digests, version, flow_table_digest(flow, 0))) {
        record_violation(c, "different tables for version %llu",
                         (unsigned long long)version);
    }
    check_lease(c, index);
}

static void
check_all(struct checker *c)
{
    record_most_applied(c);
    for (int i = 0; i < c->sim->count; i++) {
        if (!c->sim->nodes[i].up) {
            continue;
        }
        if (c->sim->nodes[i].control) {
            check_replica(c, i);
        }
        else {
            check_entry(c, i);
        }
    }
}

/* Replies to the same submission must be equal. */
static void
on_replied(void *data, int node, uint64_t token, const struct status *status)
{
    struct checker *c = data;
    const char *submission = g_hash_table_lookup(c->waiting, &token);
    const char *first;
    char *text;

    (void)node;
    if (submission == NULL || status->kind == STATUS_NO_ANSWER ||
        status->kind == STATUS_UNCONFIRMED) {
        return;
    }
    text = g_strdup_printf("%d %s", status->kind, status->message);
    first = g_hash_table_lookup(c->outcomes, submission);
    if (first == NULL) {
        g_hash_table_insert(c->outcomes, g_strdup(submission), text);
        c->accepted += status->kind == STATUS_OK;
        return;
    }
    if (strcmp(first, text) != 0) {
        record_violation(c, "submission %s: first \"%s\", then \"%s\"",
                         submission, first, text);
    }
    g_free(text);
}

/* Signs off, submits a bundle, or resends a submission. */
static void
act_as_operator(struct checker *c)
{
    struct sim *sim = c->sim;
    const struct control_core *best = most_applied(c);
    uint64_t token = ++sim->sequence;
    uint64_t base = best ? best->state.current : 0;
    char id[64];
    char states[8] = "sssss";
    char *text;

    if (sim_random(sim, 3) == 0) {
        (void)sim_sign_off(sim, token);
        return;
    }
    if (sim_random(sim, 3) != 0 || c->submissions == 0) {
        c->submissions++;
    }
    /* Concurrent submissions may have equal versions but different texts. */
    (void)snprintf(id, sizeof(id), "s%u", c->submissions);
    states[c->submissions % 4] = 'l';
    text = sim_bundle(base + 1 + c->submissions % 2, base, states, NULL, 3,
                      false);
    g_hash_table_insert(c->waiting, g_memdup2(&token, sizeof(token)),
                        g_strdup(id));
    (void)sim_submit(sim, text, id, "ana", token);
    g_free(text);
}

/* Probabilities per STEP_MS, in 1/1000. */
struct fault_rates {
    unsigned kill, freeze, isolate, link_down, wipe, operator_action;
    unsigned change_voters, partition;
};

/* At most one disk is lost at a time: all replicas must be up and voters with
 * their current identities. */
static bool
may_wipe_disk(const struct sim *sim)
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

/* Partitions the network into two random sides. */
static void
partition_randomly(struct sim *sim)
{
    uint64_t side = sim_random(sim, 0);

    for (int i = 0; i < sim->count; i++) {
        for (int j = 0; j < sim->count; j++) {
            sim_set_link_down(sim, i, j, (side >> i & 1) != (side >> j & 1));
        }
    }
}

static void
inject_faults(struct checker *c, const struct fault_rates *rates)
{
    struct sim *sim = c->sim;
    int node = (int)sim_random(sim, (uint64_t)sim->count);
    int other = (int)sim_random(sim, (uint64_t)sim->count);

    if (sim_random(sim, 1000) < rates->kill) {
        sim_kill(sim, node);
    }
    if (sim_random(sim, 1000) < rates->kill * 2) {
        sim_start(sim, (int)sim_random(sim, (uint64_t)sim->count));
    }
    if (sim_random(sim, 1000) < rates->freeze) {
        sim_freeze(sim, node, sim->now + 100 + sim_random(sim, 12000));
    }
    if (sim_random(sim, 1000) < rates->isolate) {
        sim_isolate(sim, node, true);
    }
    if (sim_random(sim, 1000) < rates->link_down) {
        sim_set_link_down(sim, node, other, true);
    }
    if (sim_random(sim, 1000) < rates->partition) {
        partition_randomly(sim);
    }
    if (sim_random(sim, 1000) <
        (rates->isolate + rates->link_down + rates->partition / 4) * 2) {
        for (int i = 0; i < sim->count; i++) {
            sim_isolate(sim, i, false);
        }
    }
    if (sim_random(sim, 1000) < rates->wipe && node < sim->options.controls &&
        (fault_is(FAULT_COUNT_ANY_IDENTITY) || may_wipe_disk(sim))) {
        sim_wipe(sim, node);
    }
    if (sim_random(sim, 1000) < rates->operator_action) {
        act_as_operator(c);
    }
    if (sim_random(sim, 1000) < rates->change_voters && sim_leader(sim) >= 0) {
        struct control_core *core = &sim->nodes[sim_leader(sim)].core;
        uint32_t replica =
            1 + (uint32_t)sim_random(sim, (uint64_t)sim->options.controls);
        const struct sim_node *peer = &sim->nodes[replica - 1];
        bool voter = cons_is_voter(&core->cons, replica, peer->disk.identity);

        control_core_change_voters(core, sim->now, 0, replica,
                                   voter ? 0 : peer->disk.identity);
        sim_run_actions(sim, sim_leader(sim));
    }
}

static void
checker_free(struct checker *c)
{
    g_hash_table_destroy(c->leaders);
    g_hash_table_destroy(c->committed);
    g_hash_table_destroy(c->outcomes);
    g_hash_table_destroy(c->digests);
    g_hash_table_destroy(c->waiting);
    g_array_free(c->members, TRUE);
    sim_free(c->sim);
}

/* Runs a seed until the first violation or for `length` ms. */
static void
run_seed(struct checker *c, const struct sim_options *base, uint64_t seed,
         const struct fault_rates *rates, uint64_t length)
{
    struct sim_options options = *base;
    uint64_t end;

    memset(c, 0, sizeof(*c));
    c->leaders =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    c->committed =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    c->digests =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    c->waiting =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    c->members = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    c->outcomes =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    options.seed = seed;
    options.hooks.replied = on_replied;
    options.hooks.data = c;
    c->sim = sim_new(&options);
    end = c->sim->now + length;
    while (c->sim->now < end && c->violation[0] == '\0') {
        sim_run(c->sim, c->sim->now + STEP_MS);
        /* The next fault may kill the only replica with this state. */
        record_most_applied(c);
        inject_faults(c, rates);
        check_all(c);
    }
}

/* Restores all nodes and links; a bundle must come into force after that. */
static bool
recovers_after_faults(struct checker *c)
{
    struct sim *sim = c->sim;
    const struct control_core *best;
    char *text;
    bool ok;

    for (int i = 0; i < sim->count; i++) {
        sim_isolate(sim, i, false);
        sim_freeze(sim, i, 0);
        sim_start(sim, i);
    }
    /* A pending rollout must complete first. */
    for (int i = 0; i < 40; i++) {
        sim_run(sim, sim->now + 1000);
        (void)sim_sign_off(sim, 0);
        best = most_applied(c);
        if (best->state.step == FLOW_STEP_SETTLED &&
            !best->state.has_pending && i > 5) {
            break;
        }
    }
    best = most_applied(c);
    text = sim_bundle(best->state.current + 5, best->state.current, "sssss",
                      NULL, 3, false);
    ok = sim_roll_out(sim, text, 30000);
    g_free(text);
    check_all(c);
    return ok;
}

/* ---- tables of cases ---- */

struct scenario {
    const char *name;
    int controls, initial_voters, entries;
    unsigned loss;
    struct fault_rates fault_rates;
};

static const struct scenario scenarios[] = {
    {"calm", 3, 0, 3, 0, {0, 0, 0, 0, 0, 100, 0, 0}},
    {"kills", 3, 0, 3, 5, {25, 0, 0, 0, 0, 60, 0, 0}},
    {"freezes", 3, 0, 3, 5, {0, 25, 0, 0, 0, 60, 0, 0}},
    {"cuts", 5, 0, 4, 10, {0, 0, 10, 10, 0, 60, 0, 10}},
    {"lost-disks", 5, 0, 2, 5, {10, 0, 0, 0, 20, 60, 0, 0}},
    {"all-mixed", 5, 0, 11, 10, {12, 8, 4, 6, 10, 60, 0, 5}},
    {"voters-change", 5, 3, 2, 10, {10, 5, 3, 3, 0, 60, 20, 0}},
};

static void
test_scenario(gconstpointer data)
{
    const struct scenario *s = data;
    int seeds = g_test_slow() ? 500 : 40;

    if (s->entries > 4 && !g_test_slow()) {
        seeds = 25;
    }
    for (int seed = 1; seed <= seeds; seed++) {
        struct sim_options options = {.controls = s->controls,
                                      .initial_voters = s->initial_voters,
                                      .entries = s->entries,
                                      .halls = 3,
                                      .loss = s->loss,
                                      .delay_ms = 1,
                                      .jitter_ms = 4,
                                      .flow_capacity = 1024};
        struct checker c;

        run_seed(&c, &options, (uint64_t)seed, &s->fault_rates, RUN_MS);
        if (c.violation[0] != '\0') {
            g_test_message("%s seed %d: %s", s->name, seed, c.violation);
            g_test_fail();
        }
        else if (!recovers_after_faults(&c)) {
            const struct control_core *best = most_applied(&c);

            g_test_message(
                "%s seed %d: no recovery: leader %d, version "
                "%llu, step %u, pending %d, %u epoch members",
                s->name, seed, sim_leader(c.sim),
                (unsigned long long)best->state.current, best->state.step,
                best->state.has_pending,
                control_state_epoch(&best->state)
                    ? control_state_epoch(&best->state)->members.members_len
                    : 0);
            g_test_fail();
        }
        if (c.violation[0] != '\0') {
            g_test_message("%s seed %d after recovery: %s", s->name, seed,
                           c.violation);
            g_test_fail();
        }
        checker_free(&c);
    }
}

/* A disabled safeguard, and the fault rates that expose its absence. */
struct mutation {
    const char *name;
    enum fault fault;
    struct fault_rates fault_rates;
    unsigned jitter_ms; /* 0: as in the scenarios */
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

/* At least one seed must detect the disabled safeguard. */
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
        struct checker c;
        bool detected;

        fault_trials[m->fault] = true;
        run_seed(&c, &options, (uint64_t)seed, &m->fault_rates, RUN_MS);
        fault_trials[m->fault] = false;
        detected = c.violation[0] != '\0';
        if (detected) {
            g_test_message("%s: seed %d: %s", m->name, seed, c.violation);
        }
        checker_free(&c);
        if (detected) {
            return;
        }
    }
    g_test_message("no seed detects %s", m->name);
    g_test_fail();
}

/* Runs the storage actions of a replica; the disk must accept each one, and
 * then hold the same log as the replica. */
static void
run_storage_actions(struct control_core *core, struct sim_disk *disk)
{
    size_t count;
    const struct control_action *all = control_core_actions(core, &count);

    for (size_t i = 0; i < count; i++) {
        if (all[i].kind == CONTROL_CONS) {
            g_assert_true(sim_disk_run(disk, &all[i].cons));
        }
    }
    control_core_clear(core);
    sim_disk_check(disk, &core->cons);
}

/* A single voter commits an entry before it is stored, and the leader may
 * append one after a compaction: here a new epoch, as an entry joins. Guards
 * against an entry that is missing on the disk or stored twice. */
static void
test_compact_while_saving(void)
{
    struct sim_disk disk = {0};
    const uint32_t self = 1;
    wire_voter voter = {.replica = self, .identity = self};
    wire_config initial_voters = {
        .voters = {.voters_len = 1, .voters_val = &voter}};
    struct counters counters = {{0}};
    struct control_core core;
    uint64_t now = 1;

    disk.log = g_array_new(FALSE, FALSE, sizeof(struct cons_entry));
    control_core_open(&core, now, self, self, &self, 1, &initial_voters, 1,
                      NULL, &counters);
    for (unsigned i = 0; i < 3 * CONTROL_COMPACT_ENTRIES; i++) {
        wire_sign_off sign = {.bundle_version = i + 1, .operator_name = "one"};
        wire_msg report = {.kind = WIRE_REPORT,
                           .wire_msg_u.report.self = {.id = i + 1,
                                                      .name = "entry",
                                                      .hall = "hall",
                                                      .address = i + 1}};

        now += 1000;
        control_core_tick(&core, now);
        run_storage_actions(&core, &disk);
        control_core_sign_off(&core, now, i + 1, &sign);
        run_storage_actions(&core, &disk);
        control_core_receive(&core, now, &report);
        run_storage_actions(&core, &disk);
    }
    g_assert_cmpuint(core.cons.snapshot.index, >, CONTROL_COMPACT_ENTRIES);
    control_core_close(&core);
    sim_disk_wipe(&disk);
    g_free(disk.snapshot.config.voters.voters_val);
    g_array_free(disk.log, TRUE);
}

int
main(int argc, char **argv)
{
    char path[128];

    g_test_init(&argc, &argv, NULL);
    g_test_set_nonfatal_assertions();
    for (size_t i = 0; i < G_N_ELEMENTS(scenarios); i++) {
        (void)snprintf(path, sizeof(path), "/control/%s", scenarios[i].name);
        g_test_add_data_func(path, &scenarios[i], test_scenario);
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
