/*
 * Draining of data halls: names, the list of drained halls and its revisions,
 * steering away from them, and durability of orders in the replicated log,
 * with data folders of a release without such orders.
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

#define OLD_REPLICA 0x7f000901U /* 127.0.9.1, replica of OLD_FOLDER */
#define OLD_VERSION 73U         /* of the last table in OLD_FOLDER */
#define OLD_FOLDER "tests/formats/relays"
#define RETRANSMIT_MS 100 /* too soon for a reroute */

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

static void
test_name(const void *data)
{
    const struct name_case *c = data;

    g_assert_cmpint(hall_is_name(c->text), ==, c->is_hall);
}

/* Orders in log entries from index 10 on: a letter drains the hall of that
 * name, its capital undrains it. */
struct apply_case {
    const char *name;
    const char *orders;
    const char *drained; /* at the end, in order */
    uint64_t revision;
};

static const struct apply_case applies[] = {
    {"none", "", "", 0},
    {"one", "a", "a", 10},
    {"repeated", "aaa", "a", 10},
    {"undrained", "aA", "", 11},
    {"undrain-repeated", "aAA", "", 11},
    {"undrain-of-undrained", "A", "", 0},
    {"two", "ab", "ab", 11},
    {"first-of-two-undrained", "abA", "b", 12},
    {"drained-again", "abAa", "ba", 13},
    {"full", "abcdefghijklmnop", "abcdefghijklmnop", 25},
    {"one-too-many", "abcdefghijklmnopq", "abcdefghijklmnop", 25},
};

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

static void
check_drained(const struct hall_set *set, const char *drained)
{
    g_assert_cmpuint(set->count, ==, strlen(drained));
    for (size_t i = 0; i < set->count; i++) {
        char name[2] = {drained[i], '\0'};

        g_assert_cmpstr(set->all[i].name, ==, name);
        g_assert_true(hall_is_drained(set, set->all[i].name));
    }
    g_assert_false(hall_is_drained(set, "elsewhere"));
}

/* Replicas must reach the same list and revision from the same log. */
static void
test_apply(const void *data)
{
    const struct apply_case *c = data;
    struct hall_set set = {0};

    apply(&set, c->orders);
    check_drained(&set, c->drained);
    g_assert_cmpuint(set.revision, ==, c->revision);
}

/* A node receives a list of drained halls. */
struct update_case {
    const char *name;
    const char *current;  /* orders */
    const char *received; /* orders */
    const char *drained;  /* afterwards */
};

static const struct update_case updates[] = {
    {"first", "", "a", "a"},
    {"newer", "a", "ab", "ab"},
    {"undrain-after-drain", "a", "aA", ""},
    {"drain-arrives-after-undrain", "aA", "a", ""},
    {"older", "abc", "a", "abc"},
    {"same", "ab", "ab", "ab"},
    {"received-empty", "a", "", "a"},
};

/* An older list must not replace a newer one. */
static void
test_update(const void *data)
{
    const struct update_case *c = data;
    struct hall_set current = {0};
    struct hall_set received = {0};
    wire_hall room[HALL_MAX];
    wire_halls packed;
    bool is_newer;

    apply(&current, c->current);
    apply(&received, c->received);
    hall_pack(&received, room, &packed);
    is_newer = received.revision > current.revision;
    g_assert_cmpint(hall_update(&current, &packed), ==, is_newer);
    check_drained(&current, c->drained);
}

/* Sets the drained halls of an entry to the result of orders. */
static void
drain(struct fixture *f, const char *orders)
{
    struct hall_set set = {0};
    wire_hall room[HALL_MAX];
    wire_halls packed;

    apply(&set, orders);
    hall_pack(&set, room, &packed);
    (void)upstream_drain_halls(&f->upstreams, NOW, &packed);
}

/* A first packet and a second one. Upstream 1 is in hall "a", upstream 2 in
 * hall "b". */
struct flow_case {
    const char *name;
    const char *before;  /* orders before the first packet */
    const char *between; /* orders between the packets */
    bool is_open;        /* the second is of the open flow, else retransmits */
    uint64_t first;      /* upstream of the first packet, 0: refused */
    uint64_t second;     /* upstream of the second packet */
    enum ring_rule rule; /* of the first packet */
    uint32_t drained;    /* upstreams in drained halls for the first packet */
};

static const struct flow_case flows[] = {
    {"none", "", "", false, 1, 1, RULE_LEAST_WORK, 0},
    {"first-hall", "a", "", false, 2, 2, RULE_LEAST_WORK, 1},
    {"second-hall", "b", "", false, 1, 1, RULE_LEAST_WORK, 1},
    {"both", "ab", "", false, 0, 0, RULE_HALLS_DRAINED, 2},
    {"other-hall", "c", "", false, 1, 1, RULE_LEAST_WORK, 0},
    {"undrained", "aA", "", false, 1, 1, RULE_LEAST_WORK, 0},
    {"retransmission-leaves-the-hall", "", "a", false, 1, 2, RULE_LEAST_WORK,
     0},
    {"open-flow-stays", "", "a", true, 1, 1, RULE_LEAST_WORK, 0},
    {"open-flow-stays-with-both-drained", "", "ab", true, 1, 1,
     RULE_LEAST_WORK, 0},
};

/* New flows must avoid drained halls; open flows must stay. */
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
    drain(&f, c->before);
    evidence_steer(&f.ev, NOW, &packet, &verdict);
    g_assert_cmpint(verdict.rule, ==, c->rule);
    g_assert_cmpuint(verdict.drained, ==, c->drained);
    g_assert_cmpint(verdict.action, ==,
                    c->first != 0 ? EVIDENCE_FORWARD : EVIDENCE_REFUSE);
    if (c->first != 0) {
        g_assert_cmpuint(verdict.upstream->id, ==, c->first);
        drain(&f, c->between);
        packet = fixture_packet(7, !c->is_open,
                                c->is_open ? upstream_token(c->first) : 0, 1);
        evidence_steer(&f.ev, NOW + RETRANSMIT_MS, &packet, &verdict);
        g_assert_cmpuint(verdict.upstream->id, ==, c->second);
    }
    fixture_close(&f);
}

/* An upstream merged from another node into a drained hall must be drained. */
static void
test_merge_in_drained_hall(void)
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
    drain(&f, "a");
    g_assert_true(upstream_merge(&f.upstreams, NOW, &record));
    g_assert_true(upstream_by_id(&f.upstreams, 9)->drained);
    fixture_close(&f);
}

/* Upstreams of an undrained hall must warm up for the time of their service,
 * and be announced so to other nodes. */
static void
test_undrain(void)
{
    static const struct warmup_limit limit = {.warmup_ms = 2000};
    const struct upstream *one;
    wire_upstream record;
    struct fixture f;

    fixture_open(&f, 2);
    one = upstream_by_id(&f.upstreams, 1);
    upstream_set_warmup_limit(&f.upstreams, one->service, &limit);
    drain(&f, "h");
    g_strlcpy(upstream_by_id(&f.upstreams, 1)->hall, "h", HALL_NAME_MAX);
    drain(&f, "hh");
    g_assert_false(upstream_is_warming_up(one, NOW));
    drain(&f, "ha");
    g_assert_true(one->drained);
    drain(&f, "haH");
    g_assert_false(one->drained);
    g_assert_true(upstream_is_warming_up(one, NOW));
    g_assert_true(upstream_is_warming_up(one, NOW + 1999));
    g_assert_false(upstream_is_warming_up(one, NOW + 2000));
    g_assert_false(
        upstream_is_warming_up(upstream_by_id(&f.upstreams, 2), NOW + 1));
    upstream_pack(&f.upstreams, NOW + 500, one, &record);
    g_assert_cmpuint(record.warm_ms, ==, 1500);
    fixture_close(&f);
}

/* A recorded decision with drained halls and the result of its verification.
 */
struct verify_case {
    const char *name;
    enum ring_rule rule;
    const char *then; /* orders at the decision */
    const char *now;  /* orders at the verification */
    uint64_t chosen;  /* 0: none */
    enum evidence_proof proof;
};

static const struct verify_case verifies[] = {
    {"open-hall", RULE_LEAST_WORK, "b", "b", 1, EVIDENCE_PROVED},
    {"drained-hall", RULE_LEAST_WORK, "a", "a", 1, EVIDENCE_DISPROVED},
    {"drained-since", RULE_LEAST_WORK, "", "a", 1, EVIDENCE_PROVED},
    {"rerouted-to-a-drained-hall", RULE_REROUTED, "a", "a", 1,
     EVIDENCE_DISPROVED},
    {"refused", RULE_HALLS_DRAINED, "ab", "ab", 0, EVIDENCE_PROVED},
    {"refused-though-open", RULE_HALLS_DRAINED, "c", "c", 0,
     EVIDENCE_DISPROVED},
    {"refused-and-undrained", RULE_HALLS_DRAINED, "ab", "abA", 0,
     EVIDENCE_OTHER_HALLS},
};

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
    record.halls_revision = then.revision;
    fixture_open(&f, 2);
    g_strlcpy(upstream_by_id(&f.upstreams, 1)->hall, "a", HALL_NAME_MAX);
    g_strlcpy(upstream_by_id(&f.upstreams, 2)->hall, "b", HALL_NAME_MAX);
    drain(&f, c->now);
    g_assert_cmpint(evidence_verify(f.ev.table, &f.upstreams, &record), ==,
                    c->proof);
    fixture_close(&f);
}

/* Copies OLD_FOLDER, so that the test does not change it. */
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

/* A data folder of a release without orders must load, snapshot and log, and
 * accept orders. */
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

/* A snapshot must hold the table and the drained halls of the log that it
 * replaces. */
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
    sim_disk_copy_snapshot(&voter.cons.snapshot, &stored.snapshot);
    stored.term = voter.cons.term;
    stored.log = g_array_new(FALSE, FALSE, sizeof(struct cons_entry));
    replica_open(&next, now, 7, 7, true, 1, &stored, &counters);
    g_assert_cmpuint(next.version, >=, REPLICA_COMPACT_ENTRIES / 2);
    g_assert_cmpuint(next.halls.revision, >, 0);
    g_assert_cmpuint(next.halls.revision, <=, next.cons.snapshot.index);
    replica_close(&voter);
    replica_close(&next);
}

/* An order beyond HALL_MAX must be refused; a repeated one must not. */
static void
test_full(void)
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
        g_assert_cmpint(last->reply.status.kind, ==,
                        i == HALL_MAX ? STATUS_REFUSED : STATUS_OK);
    }
    g_assert_cmpuint(voter.halls.count, ==, HALL_MAX);
    replica_close(&voter);
}

static const struct mutation mutations[] = {
    {"revision", FAULT_HALLS_UNVERSIONED,
     "/hall/update/drain-arrives-after-undrain"},
    {"log", FAULT_HALLS_UNLOGGED, "/hall/snapshot"},
    {"steering", FAULT_HALLS_IGNORED, "/hall/flow/first-hall"},
};

int
main(int argc, char **argv)
{
    char path[128];

    mutation_init();
    g_test_init(&argc, &argv, NULL);
    CASES_ADD("/hall/name/", names, test_name)
    CASES_ADD("/hall/apply/", applies, test_apply)
    CASES_ADD("/hall/update/", updates, test_update)
    CASES_ADD("/hall/flow/", flows, test_flow)
    CASES_ADD("/hall/verify/", verifies, test_verify)
    g_test_add_func("/hall/merge", test_merge_in_drained_hall);
    g_test_add_func("/hall/undrain", test_undrain);
    g_test_add_func("/hall/old-folder", test_old_folder);
    g_test_add_func("/hall/snapshot", test_snapshot);
    g_test_add_func("/hall/full", test_full);
    CASES_ADD("/hall/mutation/", mutations, mutation_test)
    return g_test_run();
}
