/*
 * Large routing tables, in simulated time, with links that fill and datagrams
 * that hold 65,507 bytes.
 *
 * What was seen: a fleet of 96 nodes had a table of 4,245 routes, 36.8 KB
 * packed. A change was acknowledged, all nodes were killed, and twelve seconds
 * later two of them still worked by the table before; a third of all requests
 * failed meanwhile. On another day the leader reset open flows of upstreams
 * that lived.
 *
 * How it came about: a replica that lacked two such tables was to be sent both
 * in one message, which no datagram holds; it was dropped, and made again for
 * the next round, for ever. And whoever saw that another node had an older
 * table sent it all of it, again and again while it was being read: fourteen
 * copies for each node filled the links, and rounds of consensus, hellos and
 * registrations waited behind them, so that nodes took the silence for the end
 * of a leader or of an upstream.
 *
 * What proved it: the leader's log (message-too-large, twice in each round)
 * and the bytes that nodes sent; here, tests that fail by the one or by the
 * other alone.
 */
#include <glib.h>

#include "cases.h"
#include "codec.h"
#include "fleet-sim.h"
#include "mutation.h"
#include "node.h"
#include "platform/platform.h"
#include "route-wire.h"

#define TABLE_BYTES 36800U        /* 4,245 routes, packed */
#define LARGE_TABLE_BYTES 150000U /* more than two datagrams */
#define NODES 96
#define DISKS 5
#define LINK_KB_S 275U        /* 2.2 Mbit/s */
#define DISK_LINK_KB_S 12500U /* 100 Mbit/s */
#define APPLY_MS 400U    /* 840 KB of JSON on 0.038 of a core: 0.3 to 1 s */
#define SETTLE_MS 6000   /* from the first start to the first table */
#define OPERATE_MS 8000  /* an operator's call is answered within it */
#define PAUSE_MS 1000    /* between two events */
#define HEAL_MS 8000     /* after the last event */
#define IN_FORCE_MS 4000 /* from the acknowledgement to all nodes */
#define BACK_MS 4000     /* from a start of all to the newest table at all */
#define VOTE_WAIT_US                                                          \
    100000U          /* longest wait of consensus at a link: half of          \
                        the time between a leader's rounds */
#define COPIES_MAX 2 /* of one table, for each node */

/* Starts a fleet of a few nodes, with large tables and wide links. */
static struct fleet_sim *
start_few(uint64_t seed)
{
    struct fleet_sim_options options = {.nodes = 12,
                                        .disks = DISKS,
                                        .upstreams = 6,
                                        .seed = seed,
                                        .table_bytes = TABLE_BYTES};
    struct fleet_sim *sim = fleet_sim_new(&options);

    fleet_sim_run(sim, sim->now + SETTLE_MS);
    return sim;
}

/* Starts a fleet of 96 nodes or more, with the links of the smallest VMs. */
static struct fleet_sim *
start_many(int nodes, unsigned table_bytes, uint64_t seed)
{
    struct fleet_sim_options options = {.nodes = nodes,
                                        .disks = DISKS,
                                        .upstreams = 150,
                                        .seed = seed,
                                        .table_bytes = table_bytes,
                                        .apply_ms = APPLY_MS,
                                        .link_kb_s = LINK_KB_S,
                                        .disk_link_kb_s = DISK_LINK_KB_S};
    struct fleet_sim *sim = fleet_sim_new(&options);

    fleet_sim_run(sim, sim->now + SETTLE_MS);
    return sim;
}

/* Puts versions, one after the other. */
static void
put(struct fleet_sim *sim, uint64_t first, uint64_t last)
{
    for (uint64_t version = first; version <= last; version++) {
        g_assert_true(fleet_sim_put(sim, version, OPERATE_MS));
    }
}

/* Runs until all nodes work by a version; returns how long that took, or
 * `limit_ms`. */
static uint64_t
run_until_in_force(struct fleet_sim *sim, uint64_t version, uint64_t limit_ms)
{
    uint64_t began = sim->now;

    while (fleet_sim_lowest_version(sim) < version &&
           sim->now < began + limit_ms) {
        fleet_sim_run(sim, sim->now + 20);
    }
    return sim->now - began;
}

/* A disk that follows, other than `not_this`. */
static int
follower(const struct fleet_sim *sim, int not_this)
{
    int leader = fleet_sim_leader(sim);

    for (int n = 0; n < DISKS; n++) {
        if (n != leader && n != not_this && sim->nodes[n].up) {
            return n;
        }
    }
    g_assert_not_reached();
}

/* An empty disk is brought up to date and votes, whatever the log weighs; then
 * two others may be lost. */
static void
test_wiped(void)
{
    for (uint64_t seed = 1; seed <= 4; seed++) {
        struct fleet_sim *sim = start_few(seed);
        int wiped;
        int lost;

        put(sim, 1, 4);
        wiped = follower(sim, -1);
        fleet_sim_wipe(sim, wiped);
        fleet_sim_start(sim, wiped);
        fleet_sim_run(sim, sim->now + HEAL_MS);
        lost = fleet_sim_leader(sim);
        g_assert_true(cons_is_voter(&sim->nodes[lost].replica.cons,
                                    sim->nodes[wiped].address,
                                    sim->nodes[wiped].disk.identity));
        fleet_sim_kill(sim, follower(sim, wiped));
        fleet_sim_kill(sim, lost);
        put(sim, 5, 5);
        g_assert_cmpstr(sim->broken, ==, "");
        fleet_sim_free(sim);
    }
}

/* Two voters miss two tables, then two of the others lose their disks while
 * all nodes lose power: what was acknowledged is in force again in time. */
static void
test_two_behind(void)
{
    for (uint64_t seed = 1; seed <= 4; seed++) {
        struct fleet_sim *sim = start_few(seed);
        int leader;
        int behind[2];

        put(sim, 1, 1);
        fleet_sim_run(sim, sim->now + PAUSE_MS);
        leader = fleet_sim_leader(sim);
        behind[0] = follower(sim, -1);
        behind[1] = follower(sim, behind[0]);
        for (int i = 0; i < 2; i++) {
            fleet_sim_isolate(sim, behind[i], true);
        }
        put(sim, 2, 3);
        for (int n = 0; n < sim->count; n++) {
            fleet_sim_kill(sim, n);
        }
        for (int i = 0; i < 2; i++) {
            fleet_sim_isolate(sim, behind[i], false);
        }
        for (int n = 0; n < DISKS; n++) {
            if (n != leader && n != behind[0] && n != behind[1]) {
                fleet_sim_wipe(sim, n);
            }
        }
        for (int n = 0; n < sim->count; n++) {
            fleet_sim_start(sim, n);
        }
        g_assert_cmpuint(run_until_in_force(sim, 3, BACK_MS), <, BACK_MS);
        g_assert_cmpstr(sim->broken, ==, "");
        fleet_sim_free(sim);
    }
}

/* A node that begins asks for the table, though changes of upstreams arrive
 * from all nodes all the time: they do not come from the one that it asked. */
static void
test_begins_among_changes(void)
{
    struct fleet_sim *sim = start_few(7);
    wire_msg changes = {.kind = WIRE_UPSTREAMS};
    uint64_t until;
    int joined;

    put(sim, 1, 1);
    fleet_sim_run(sim, sim->now + PAUSE_MS);
    sim->first_seed = DISKS;
    joined = fleet_sim_join(sim);
    until = sim->now + PAUSE_MS;
    while (sim->now < until) {
        fleet_receive(&sim->nodes[joined].fleet, sim->now, &changes);
        fleet_sim_run(sim, sim->now + 20);
    }
    g_assert_cmpuint(sim->nodes[joined].fleet.routes.bundle_version, ==, 1);
    fleet_sim_free(sim);
}

/* A table that no datagram holds reaches all nodes, also an empty disk. */
static void
test_larger_than_a_datagram(void)
{
    struct fleet_sim_options options = {.nodes = 12,
                                        .disks = DISKS,
                                        .upstreams = 6,
                                        .seed = 5,
                                        .loss = 5,
                                        .table_bytes = LARGE_TABLE_BYTES};
    struct fleet_sim *sim = fleet_sim_new(&options);
    int wiped;

    fleet_sim_run(sim, sim->now + SETTLE_MS);
    put(sim, 1, 2);
    wiped = follower(sim, -1);
    fleet_sim_wipe(sim, wiped);
    fleet_sim_start(sim, wiped);
    put(sim, 3, 3);
    fleet_sim_run(sim, sim->now + HEAL_MS);
    g_assert_cmpuint(fleet_sim_lowest_version(sim), ==, 3);
    g_assert_cmpuint(sim->nodes[wiped].replica.version, ==, 3);
    g_assert_cmpstr(sim->broken, ==, "");
    fleet_sim_free(sim);
}

/* A table between nodes says what the operator's document says. */
static void
test_wire(void)
{
    static const char text[] =
        "{\"version\":7,\"routes\":["
        "{\"name\":\"a\",\"hostname\":\"198.18.0.1\",\"path_prefix\":"
        "\"/8080/\",\"kind\":\"unsafe\",\"timeout_ms\":2000,\"service\":"
        "\"one\"},"
        "{\"name\":\"b\",\"hostname\":\"198.18.0.2\",\"path_prefix\":"
        "\"/443/\",\"kind\":\"safe\",\"timeout_ms\":1500,"
        "\"traffic_split\":[{\"service\":\"one\",\"weight\":90},"
        "{\"service\":\"two\",\"weight\":10}]}],"
        "\"services\":[{\"name\":\"one\"},{\"name\":\"two\"}],"
        "\"limits\":{\"idle_timeout_ms\":15000}}";
    struct status st = {STATUS_OK, ""};
    struct route_table *before =
        platform_read_table(text, sizeof(text) - 1, &st);
    struct route_table *after;
    GByteArray *bytes;

    g_assert_cmpstr(st.message, ==, "");
    bytes = route_encode(before);
    after = route_decode(bytes->data, bytes->len);
    g_assert_nonnull(after);
    g_assert_cmpuint(after->version, ==, before->version);
    g_assert_cmpuint(after->idle_ms, ==, before->idle_ms);
    g_assert_cmpuint(after->routes->len, ==, before->routes->len);
    for (guint i = 0; i < before->routes->len; i++) {
        const struct route *b =
            &g_array_index(before->routes, struct route, i);
        const struct route *a = route_find(after, b->address, b->port);

        g_assert_nonnull(a);
        g_assert_cmpint(a->kind, ==, b->kind);
        g_assert_cmpuint(a->deadline_ms, ==, b->deadline_ms);
        g_assert_cmpuint(a->weight_sum, ==, b->weight_sum);
        g_assert_cmpuint(a->target_count, ==, b->target_count);
        for (size_t j = 0; j < b->target_count; j++) {
            g_assert_cmpstr(a->targets[j].service, ==, b->targets[j].service);
            g_assert_cmpuint(a->targets[j].weight, ==, b->targets[j].weight);
        }
    }
    for (guint length = 0; length < bytes->len; length++) {
        g_assert_null(route_decode(bytes->data, length));
    }
    g_byte_array_unref(bytes);
    route_free(before);
    route_free(after);
}

/* Tables that no node sends: two routes of one service, changed. */
struct bad_wire {
    const char *name;
    u_int version;
    u_int service; /* place that the second route's target names */
    u_int port;    /* of the second route; the first has 80 */
    u_int kind;
    bool valid;
};

static const struct bad_wire bad_wires[] = {
    {"valid", 7, 0, 81, ROUTE_BULK, true},
    {"no-version", 0, 0, 81, ROUTE_BULK, false},
    {"no-such-service", 7, 1, 81, ROUTE_BULK, false},
    {"same-place", 7, 0, 80, ROUTE_BULK, false},
    {"no-port", 7, 0, 65536, ROUTE_BULK, false},
    {"no-kind", 7, 0, 81, ROUTE_BULK + 1, false},
};

/* Reads one of them. */
static void
test_bad_wire(const void *data)
{
    const struct bad_wire *c = data;
    wire_name service = (char *)"one";
    wire_target targets[2] = {{0, 1}, {c->service, 1}};
    wire_route routes[2] = {
        {.address = 1, .port = 80, .targets = {1, &targets[0]}},
        {.address = 1,
         .port = c->port,
         .kind = c->kind,
         .targets = {1, &targets[1]}}};
    wire_table table = {.table_version = c->version,
                        .services = {1, &service},
                        .routes = {2, routes}};
    GByteArray *bytes = codec_encode_table(&table);
    struct route_table *read = route_decode(bytes->data, bytes->len);

    g_assert_cmpint(read != NULL, ==, c->valid);
    route_free(read);
    g_byte_array_unref(bytes);
}

/* Documents of operators. */
struct document {
    const char *name;
    size_t bytes;
    bool random; /* zlib finds nothing to save */
    enum status_kind kind;
};

static const struct document documents[] = {
    {"4,245 routes", 860000, false, STATUS_OK},
    {"the largest", SCHEMA_TEXT_MAX, false, STATUS_OK},
    {"random, fits", 900000, true, STATUS_OK},
    {"random, too large", 2000000, true, STATUS_REFUSED},
};

/* A document is packed and comes back as it was, or is refused: one that the
 * log does not hold must not be proposed. */
static void
test_pack(void)
{
    GRand *random = g_rand_new_with_seed(3);

    for (size_t i = 0; i < G_N_ELEMENTS(documents); i++) {
        const struct document *d = &documents[i];
        char *text = g_malloc0(d->bytes + 1);
        struct status st = {STATUS_OK, ""};
        wire_routes packed = {0};
        char *back;

        for (size_t j = 0; j < d->bytes; j++) {
            text[j] = (char)(d->random ? g_rand_int_range(random, 1, 256)
                                       : "routes"[j % 6]);
        }
        g_test_message("%s", d->name);
        g_assert_cmpint(node_compress(text, d->bytes, &packed, &st), ==,
                        d->kind);
        if (d->kind == STATUS_OK) {
            back = node_decompress(&packed);
            g_assert_cmpmem(back, packed.length, text, d->bytes);
            g_free(back);
            g_free(packed.packed.packed_val);
        }
        g_free(text);
    }
    g_rand_free(random);
}

/* Parts that arrive, by place; 'x' is one of another message, '.' a time in
 * which all are given up. */
struct arrivals {
    const char *name;
    const char *places;
    bool whole; /* the message is complete after the last */
};

static const struct arrivals arrivals[] = {
    {"in-order", "012", true},          {"out-of-order", "201", true},
    {"one-twice", "0012", true},        {"one-lost", "02", false},
    {"another-between", "0x12", true},  {"too-late", "01.2", false},
    {"again-after-it", "01.012", true},
};

/* A message is whole when all of its parts have arrived, in any order. */
static void
test_arrivals(const void *data)
{
    const struct arrivals *a = data;
    GByteArray *bytes = g_byte_array_new();
    struct fragment_table box = {0};
    GByteArray *whole = NULL;
    uint64_t now = 1;
    GPtrArray *parts;

    g_byte_array_set_size(bytes, 2 * WIRE_PART_MAX + 100);
    for (guint i = 0; i < bytes->len; i++) {
        bytes->data[i] = (guint8)(i * 7 + i / 4096);
    }
    parts = fragment_split(77, bytes->data, bytes->len);
    g_assert_cmpuint(parts->len, ==, 3);
    for (const char *place = a->places; *place != '\0'; place++) {
        const GByteArray *part = g_ptr_array_index(
            parts, g_ascii_isdigit(*place) ? (guint)(*place - '0') : 0);
        wire_msg msg;

        if (*place == '.') {
            now += FRAGMENT_TIMEOUT_MS;
            continue;
        }
        g_assert_null(whole);
        g_assert_true(codec_decode(part->data, part->len, &msg));
        msg.wire_msg_u.part.message += *place == 'x';
        whole = fragment_receive(&box, now, &msg.wire_msg_u.part);
        codec_free(&msg);
    }
    g_assert_cmpint(whole != NULL, ==, a->whole);
    if (whole != NULL) {
        g_assert_cmpmem(whole->data, whole->len, bytes->data, bytes->len);
        g_byte_array_unref(whole);
    }
    fragment_close(&box);
    g_ptr_array_unref(parts);
    g_byte_array_unref(bytes);
}

/* Parts that no message has are not taken. */
static void
test_bad_parts(void)
{
    static const wire_part bad[] = {
        {.message = 0, .place = 0, .count = 1},
        {.message = 1, .place = 1, .count = 1},
        {.message = 1, .place = 0, .count = FRAGMENT_COUNT_MAX + 1},
        {.message = 1, .place = 0, .count = 0},
    };
    struct fragment_table box = {0};

    for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
        g_assert_null(fragment_receive(&box, 1, &bad[i]));
    }
    for (size_t i = 0; i < FRAGMENT_BUFFERS_MAX; i++) {
        g_assert_cmpuint(box.buffers[i].message, ==, 0);
    }
}

/* Bytes of copies of the table that were sent so far. */
static uint64_t
copies_sent(const struct fleet_sim *sim)
{
    uint64_t bytes = 0;

    for (int n = 0; n < sim->count; n++) {
        bytes += sim->nodes[n].tables_sent;
    }
    return bytes / sim->options.table_bytes;
}

/* Changes in quick succession. */
struct changes {
    const char *name;
    unsigned count; /* tables, each sent when the one before is acknowledged */
    unsigned loss;  /* of 1,000 messages, from the first change on */
    int nodes;
    unsigned table_bytes;
    uint64_t within_ms; /* from the last acknowledgement to all nodes */
    bool kill_all;      /* then all nodes are killed and started at once */
};

static const struct changes changes[] = {
    {"one", 1, 0, NODES, TABLE_BYTES, IN_FORCE_MS, false},
    {"one-lossy", 1, 50, NODES, TABLE_BYTES, IN_FORCE_MS, false},
    {"three", 3, 0, NODES, TABLE_BYTES, IN_FORCE_MS, false},
    {"three-in-300-nodes", 3, 0, 300, TABLE_BYTES, IN_FORCE_MS, false},
    {"large-in-300-nodes", 1, 0, 300, 100000, 2 * IN_FORCE_MS, false},
    {"kill-all", 2, 0, NODES, TABLE_BYTES, IN_FORCE_MS, true},
};

/* Changes reach all nodes in time, by few copies for each, and the leader goes
 * on leading: its rounds do not wait behind copies of the table. */
static void
test_changes(const void *data)
{
    const struct changes *c = data;
    struct fleet_sim *sim = start_many(c->nodes, c->table_bytes, 17);
    uint64_t version = 1 + c->count;
    uint64_t before;
    uint64_t term;
    uint64_t took;

    put(sim, 1, 1);
    fleet_sim_run(sim, sim->now + HEAL_MS);
    term = sim->nodes[fleet_sim_leader(sim)].replica.cons.term;
    before = copies_sent(sim);
    sim->vote_wait_us = 0;
    sim->options.loss = c->loss;
    put(sim, 2, version);
    if (c->kill_all) {
        for (int n = 0; n < sim->count; n++) {
            fleet_sim_kill(sim, n);
        }
        for (int n = 0; n < sim->count; n++) {
            fleet_sim_start(sim, n);
        }
        term++;
    }
    took = run_until_in_force(sim, version, c->within_ms);
    fleet_sim_run(sim, sim->now + HEAL_MS);
    g_test_message("in force after %lu ms, consensus waited %lu ms, %.1f "
                   "copies a node",
                   (long)took, (long)sim->vote_wait_us / 1000,
                   (double)(copies_sent(sim) - before) / c->nodes);
    g_assert_cmpuint(took, <, c->within_ms);
    g_assert_cmpuint(sim->vote_wait_us, <, VOTE_WAIT_US);
    g_assert_cmpuint(copies_sent(sim) - before, <=,
                     COPIES_MAX * (uint64_t)c->nodes *
                         (c->count + c->kill_all));
    g_assert_cmpint(fleet_sim_leader(sim), >=, 0);
    g_assert_cmpuint(sim->nodes[fleet_sim_leader(sim)].replica.cons.term, ==,
                     term);
    g_assert_cmpstr(sim->broken, ==, "");
    fleet_sim_free(sim);
}

/* What is left out, and the test that fails by it. */
static const struct mutation mutations[] = {
    {"copies-take-all-of-a-link", FAULT_NO_TRANSFER_PACING,
     "/table/changes/three-in-300-nodes"},
};

/* Lists the tests. */
int
main(int argc, char **argv)
{
    char path[128];

    mutation_init();
    g_test_init(&argc, &argv, NULL);
    g_test_set_nonfatal_assertions();
    g_test_add_func("/table/wiped", test_wiped);
    g_test_add_func("/table/two-behind", test_two_behind);
    g_test_add_func("/table/larger-than-a-datagram",
                    test_larger_than_a_datagram);
    g_test_add_func("/table/pack", test_pack);
    g_test_add_func("/table/wire", test_wire);
    CASES_ADD("/table/bad-wire/", bad_wires, test_bad_wire)
    g_test_add_func("/table/begins-among-changes", test_begins_among_changes);
    g_test_add_func("/table/bad-parts", test_bad_parts);
    CASES_ADD("/table/arrivals/", arrivals, test_arrivals)
    CASES_ADD("/table/changes/", changes, test_changes)
    CASES_ADD("/table/mutation/", mutations, mutation_test)
    return g_test_run();
}
