/*
 * Data halls that operators empty: which names are one's, what orders make of
 * the list, which of two lists holds, that new flows keep away, and that data
 * of the release before, which knew no such orders, is still read. Tables of
 * cases.
 */
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "cases.h"
#include "codec.h"
#include "evidence-verify.h"
#include "fixture.h"
#include "hash.h"
#include "mutation.h"
#include "replica.h"
#include "sim-disk.h"
#include "store.h"

#define OLD_REPLICA 0x7f000901U /* 127.0.9.1, of the folder that is kept */
#define OLD_VERSION 73U         /* of the last table in it */
#define OLD_FOLDER "tests/formats/relays"
#define COPY_MS 100 /* so soon a copy goes the way of the first packet */

/* Names. */
struct name_case {
    const char *name;
    const char *text;
    bool is_hall;
};

static const struct name_case names[] = {
    {"plain", "cesson", true},
    {"hyphen-and-digit", "zg-dvorana-a.2", true},
    {"longest",
     "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcde", true},
    {"too-long",
     "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef",
     false},
    {"empty", "", false},
    {"space", "a b", false},
    {"slash", "a/b", false},
    {"quote", "a\"", false},
    {"escape", "a\\", false},
    {"percent", "a%20b", false},
    {"line", "a\nb", false},
    {"not-ascii", "ces\xc3\xa9", false},
};

/* Checks one name. */
static void
test_name(const void *data)
{
    const struct name_case *c = data;

    g_assert_cmpint(hall_is_name(c->text), ==, c->is_hall);
}

/* Orders, one an entry from index 10 on: a letter names the hall, a capital
 * one takes it back. */
struct apply_case {
    const char *name;
    const char *orders;
    const char *emptied; /* at the end, in order */
    uint64_t revision;
};

static const struct apply_case applies[] = {
    {"none", "", "", 0},
    {"one", "a", "a", 10},
    {"sent-again", "aaa", "a", 10},
    {"taken-back", "aA", "", 11},
    {"taken-back-again", "aAA", "", 11},
    {"taken-back-never-emptied", "A", "", 0},
    {"two", "ab", "ab", 11},
    {"first-of-two-back", "abA", "b", 12},
    {"emptied-once-more", "abAa", "ba", 13},
    {"as-many-as-there-is-room", "abcdefghijklmnop", "abcdefghijklmnop", 25},
    {"one-too-many", "abcdefghijklmnopq", "abcdefghijklmnop", 25},
};

/* Applies orders. */
static void
apply(struct hall_set *set, const char *orders)
{
    for (uint64_t i = 0; orders[i] != '\0'; i++) {
        char name[2] = {(char)g_ascii_tolower(orders[i]), '\0'};
        wire_hall_order order = {
            .hall = name, .emptied = g_ascii_islower(orders[i]), .wall = i};

        (void)hall_apply(set, 10 + i, &order);
    }
}

/* Checks which halls are emptied. */
static void
check_emptied(const struct hall_set *set, const char *emptied)
{
    g_assert_cmpuint(set->count, ==, strlen(emptied));
    for (size_t i = 0; i < set->count; i++) {
        char name[2] = {emptied[i], '\0'};

        g_assert_cmpstr(set->all[i].name, ==, name);
        g_assert_true(hall_is_drained(set, set->all[i].name));
    }
    g_assert_false(hall_is_drained(set, "elsewhere"));
}

/* Plays one case. */
static void
test_apply(const void *data)
{
    const struct apply_case *c = data;
    struct hall_set set = {0};

    apply(&set, c->orders);
    check_emptied(&set, c->emptied);
    g_assert_cmpuint(set.revision, ==, c->revision);
}

/* A node that holds one list is told another. */
struct take_case {
    const char *name;
    const char *held; /* orders */
    const char *told; /* orders */
    const char *emptied;
};

static const struct take_case takes[] = {
    {"first", "", "a", "a"},
    {"newer", "a", "ab", "ab"},
    {"withdrawal-after-its-order", "a", "aA", ""},
    {"withdrawal-overtaken-by-its-order", "aA", "a", ""},
    {"older", "abc", "a", "abc"},
    {"the-same", "ab", "ab", "ab"},
    {"nothing-known-there", "a", "", "a"},
};

/* Plays one case. */
static void
test_take(const void *data)
{
    const struct take_case *c = data;
    struct hall_set held = {0};
    struct hall_set told = {0};
    wire_hall room[HALL_MAX];
    wire_halls packed;
    bool is_newer;

    apply(&held, c->held);
    apply(&told, c->told);
    hall_pack(&told, room, &packed);
    is_newer = told.revision > held.revision;
    g_assert_cmpint(hall_update(&held, &packed), ==, is_newer);
    check_emptied(&held, c->emptied);
}

/* Empties halls, each named by its letter, at an entry. */
static void
empty(struct fixture *f, const char *orders)
{
    struct hall_set set = {0};
    wire_hall room[HALL_MAX];
    wire_halls packed;

    apply(&set, orders);
    hall_pack(&set, room, &packed);
    (void)upstream_drain_halls(&f->upstreams, NOW, &packed);
}

/* New flows and copies of a first packet. Upstream 1 is in hall "a", upstream
 * 2 in "b". */
struct flow_case {
    const char *name;
    const char *before;  /* orders before the first packet */
    const char *between; /* orders between it and its copy */
    bool in_use;         /* the flow is open, and a packet of it comes */
    uint64_t first;      /* upstream of the first packet, 0: refused */
    uint64_t second;     /* of the copy, or of the packet */
    enum ring_rule rule; /* of the first */
    uint32_t emptied;    /* passed over by the first */
};

static const struct flow_case flows[] = {
    {"none-emptied", "", "", false, 1, 1, RULE_LEAST_WORK, 0},
    {"first-hall", "a", "", false, 2, 2, RULE_LEAST_WORK, 1},
    {"second-hall", "b", "", false, 1, 1, RULE_LEAST_WORK, 1},
    {"both", "ab", "", false, 0, 0, RULE_HALLS_DRAINED, 2},
    {"another-one", "c", "", false, 1, 1, RULE_LEAST_WORK, 0},
    {"taken-back", "aA", "", false, 1, 1, RULE_LEAST_WORK, 0},
    {"copy-leaves-the-hall", "", "a", false, 1, 2, RULE_LEAST_WORK, 0},
    {"open-flow-stays", "", "a", true, 1, 1, RULE_LEAST_WORK, 0},
    {"open-flow-stays-when-both-are", "", "ab", true, 1, 1, RULE_LEAST_WORK,
     0},
};

/* Plays one case. */
static void
test_flow(const void *data)
{
    const struct flow_case *c = data;
    struct evidence_packet packet = fixture_packet(7, true, 0, 0);
    struct evidence_verdict verdict;
    struct fixture f;

    fixture_open(&f, 2);
    g_strlcpy(upstream_by_id(&f.upstreams, 1)->hall, "a", HALL_NAME_MAX);
    g_strlcpy(upstream_by_id(&f.upstreams, 2)->hall, "b", HALL_NAME_MAX);
    upstream_by_id(&f.upstreams, 2)->open = 1;
    empty(&f, c->before);
    evidence_steer(&f.ev, NOW, &packet, &verdict);
    g_assert_cmpint(verdict.rule, ==, c->rule);
    g_assert_cmpuint(verdict.drained, ==, c->emptied);
    g_assert_cmpint(verdict.action, ==,
                    c->first != 0 ? EVIDENCE_FORWARD : EVIDENCE_REFUSE);
    if (c->first != 0) {
        g_assert_cmpuint(verdict.upstream->id, ==, c->first);
        empty(&f, c->between);
        packet = fixture_packet(7, !c->in_use,
                                c->in_use ? upstream_token(c->first) : 0, 1);
        evidence_steer(&f.ev, NOW + COPY_MS, &packet, &verdict);
        g_assert_cmpuint(verdict.upstream->id, ==, c->second);
    }
    fixture_close(&f);
}

/* An upstream that registers in an emptied hall is known as such, whoever told
 * of it. */
static void
test_registers_there(void)
{
    wire_upstream record = {.id = 9,
                            .sequence = 1,
                            .slots = 2,
                            .state = UPSTREAM_READY,
                            .keeper = SELF + 1,
                            .service = "feed",
                            .hall = "a"};
    struct fixture f;

    fixture_open(&f, 0);
    empty(&f, "a");
    g_assert_true(upstream_merge(&f.upstreams, NOW, &record));
    g_assert_true(upstream_by_id(&f.upstreams, 9)->drained);
    fixture_close(&f);
}

/* Upstreams of a hall that is taken back count as cold for as long as their
 * service says, also when a registration that was sent before says otherwise;
 * and that is what other nodes are told. */
static void
test_back(void)
{
    static const struct warmup_limit limit = {.warmup_ms = 2000};
    const struct upstream *one;
    wire_upstream told;
    struct fixture f;

    fixture_open(&f, 2);
    one = upstream_by_id(&f.upstreams, 1);
    upstream_set_warmup_limit(&f.upstreams, one->service, &limit);
    empty(&f, "h");
    g_strlcpy(upstream_by_id(&f.upstreams, 1)->hall, "h", HALL_NAME_MAX);
    empty(&f, "hh");
    g_assert_false(upstream_is_warming_up(one, NOW));
    empty(&f, "ha");
    g_assert_true(one->drained);
    empty(&f, "haH");
    g_assert_false(one->drained);
    g_assert_true(upstream_is_warming_up(one, NOW));
    g_assert_true(upstream_is_warming_up(one, NOW + 1999));
    g_assert_false(upstream_is_warming_up(one, NOW + 2000));
    g_assert_false(
        upstream_is_warming_up(upstream_by_id(&f.upstreams, 2), NOW + 1));
    upstream_pack(&f.upstreams, NOW + 500, one, &told);
    g_assert_cmpuint(told.warm_ms, ==, 1500);
    fixture_close(&f);
}

/* A decision that is recomputed when halls are emptied. */
struct verify_case {
    const char *name;
    enum ring_rule rule;
    const char *then;       /* orders when it was made */
    const char *now;        /* orders now */
    uint64_t chosen;        /* 0: none */
    enum evidence_proof is; /* the proof */
};

static const struct verify_case verifies[] = {
    {"open-hall", RULE_LEAST_WORK, "b", "b", 1, EVIDENCE_PROVED},
    {"emptied-hall", RULE_LEAST_WORK, "a", "a", 1, EVIDENCE_DISPROVED},
    {"emptied-since", RULE_LEAST_WORK, "", "a", 1, EVIDENCE_PROVED},
    {"moved-off-to-an-emptied-hall", RULE_REROUTED, "a", "a", 1,
     EVIDENCE_DISPROVED},
    {"refused", RULE_HALLS_DRAINED, "ab", "ab", 0, EVIDENCE_PROVED},
    {"refused-though-open", RULE_HALLS_DRAINED, "c", "c", 0,
     EVIDENCE_DISPROVED},
    {"refused-and-taken-back", RULE_HALLS_DRAINED, "ab", "abA", 0,
     EVIDENCE_OTHER_HALLS},
};

/* Recomputes one decision. */
static void
test_verify(const void *data)
{
    const struct verify_case *c = data;
    struct hall_set then = {0};
    struct ring_record record = {.rule = (uint8_t)c->rule,
                                 .version = 1,
                                 .peer = c->chosen,
                                 .service = hash_name("feed"),
                                 .route_address = ROUTE_ADDRESS,
                                 .route_port = ROUTE_PORT};
    struct fixture f;

    apply(&then, c->then);
    record.halls = then.revision;
    fixture_open(&f, 2);
    g_strlcpy(upstream_by_id(&f.upstreams, 1)->hall, "a", HALL_NAME_MAX);
    g_strlcpy(upstream_by_id(&f.upstreams, 2)->hall, "b", HALL_NAME_MAX);
    empty(&f, c->now);
    g_assert_cmpint(evidence_verify(f.ev.table, &f.upstreams, &record), ==,
                    c->is);
    fixture_close(&f);
}

/* Copies the folder that is kept, so that opening it changes nothing there. */
static char *
copy_folder(void)
{
    static const char *const files[] = {"identity", "vote", "log", "snapshot"};
    char *path = g_dir_make_tmp("ridgeridge-hall-XXXXXX", NULL);

    for (size_t i = 0; i < G_N_ELEMENTS(files); i++) {
        char *from = g_build_filename(OLD_FOLDER, files[i], NULL);
        char *to = g_build_filename(path, files[i], NULL);
        char *bytes;
        gsize length;

        g_assert_true(g_file_get_contents(from, &bytes, &length, NULL));
        g_assert_true(g_file_set_contents(to, bytes, (gssize)length, NULL));
        g_free(bytes);
        g_free(from);
        g_free(to);
    }
    return path;
}

/* A data folder of the release before is read: its snapshot, and the entries
 * after it. Orders go on from there, and a snapshot with halls is read too. */
static void
test_old_folder(void)
{
    static const struct hall_order order = {.hall = "west", .drained = true};
    struct counters counters = {{0}};
    struct status st = {STATUS_OK, ""};
    char *path = copy_folder();
    struct cons_stored stored;
    struct store store;
    struct replica voter;
    uint64_t now = 1;

    g_assert_cmpint(
        store_open(&store, path, STORE_TAIL_TOLERANT, &stored, &st), ==,
        STATUS_OK);
    replica_open(&voter, now, OLD_REPLICA, store.identity, true, 1, &stored,
                 &counters);
    now = replica_deadline(&voter);
    replica_tick(&voter, now);
    g_assert_cmpuint(voter.version, ==, OLD_VERSION);
    g_assert_cmpuint(voter.halls.revision, ==, 0);
    replica_submit_hall(&voter, now + REPLICA_JOIN_MS, 1, &order);
    g_assert_true(hall_is_drained(&voter.halls, "west"));
    replica_close(&voter);
    store_close(&store);
    g_free(path);
}

/* A log that is made a snapshot keeps the table and the halls. */
static void
test_snapshot(void)
{
    struct counters counters = {{0}};
    struct cons_stored stored = {0};
    struct replica voter;
    struct replica next;
    uint64_t now = 1;

    replica_open(&voter, now, 7, 7, true, 1, NULL, &counters);
    replica_tick(&voter, now);
    now += REPLICA_JOIN_MS;
    for (uint64_t i = 1; i <= REPLICA_COMPACT_ENTRIES; i++) {
        wire_routes routes = {.bundle_version = i};
        struct hall_order order = {.hall = "west", .drained = i % 2 == 0};

        replica_submit(&voter, now, i, &routes);
        replica_submit_hall(&voter, now, i, &order);
        replica_clear(&voter);
        replica_tick(&voter, ++now);
        replica_clear(&voter);
    }
    g_assert_cmpuint(voter.cons.snapshot.index, >, 0);
    sim_copy_snapshot(&voter.cons.snapshot, &stored.snapshot);
    stored.term = voter.cons.term;
    stored.log = g_array_new(FALSE, FALSE, sizeof(struct cons_entry));
    replica_open(&next, now, 7, 7, true, 1, &stored, &counters);
    g_assert_cmpuint(next.version, >=, REPLICA_COMPACT_ENTRIES / 2);
    g_assert_cmpuint(next.halls.revision, >, 0);
    g_assert_cmpuint(next.halls.revision, <=, next.cons.snapshot.index);
    replica_close(&voter);
    replica_close(&next);
}

/* Operators who empty more halls than there is room for are refused; those who
 * take one back, or send an order again, are not. */
static void
test_room(void)
{
    struct counters counters = {{0}};
    struct replica voter;
    uint64_t now = REPLICA_JOIN_MS + 1;
    size_t count;

    replica_open(&voter, 1, 7, 7, true, 1, NULL, &counters);
    replica_tick(&voter, 1);
    for (uint64_t i = 0; i <= HALL_MAX + 1; i++) {
        struct hall_order order = {.drained = true};
        const struct replica_action *last;

        replica_clear(&voter);
        (void)snprintf(order.hall, sizeof(order.hall), "hall-%u",
                       (unsigned)(i <= HALL_MAX ? i : 0));
        replica_submit_hall(&voter, now, i + 1, &order);
        last = replica_actions(&voter, &count) + count - 1;
        g_assert_cmpint(last->kind, ==, REPLICA_REPLY);
        g_assert_cmpint(last->status.kind, ==,
                        i == HALL_MAX ? STATUS_REFUSED : STATUS_OK);
    }
    g_assert_cmpuint(voter.halls.count, ==, HALL_MAX);
    replica_close(&voter);
}

/* What is left out, and a test above that must fail then. */
static const struct mutation mutations[] = {
    {"ordered", FAULT_HALLS_UNVERSIONED,
     "/hall/take/withdrawal-overtaken-by-its-order"},
    {"logged", FAULT_HALLS_UNLOGGED, "/hall/snapshot"},
    {"kept-away", FAULT_HALLS_IGNORED, "/hall/flow/first-hall"},
};

/* Lists the tests. */
int
main(int argc, char **argv)
{
    char path[128];

    mutation_begin();
    g_test_init(&argc, &argv, NULL);
    CASES_ADD("/hall/name/", names, test_name)
    CASES_ADD("/hall/apply/", applies, test_apply)
    CASES_ADD("/hall/take/", takes, test_take)
    CASES_ADD("/hall/flow/", flows, test_flow)
    CASES_ADD("/hall/verify/", verifies, test_verify)
    g_test_add_func("/hall/registers-there", test_registers_there);
    g_test_add_func("/hall/back", test_back);
    g_test_add_func("/hall/old-folder", test_old_folder);
    g_test_add_func("/hall/snapshot", test_snapshot);
    g_test_add_func("/hall/room", test_room);
    CASES_ADD("/hall/mutation/", mutations, mutation_test)
    return g_test_run();
}
