/*
 * Large routing tables in simulated time: replication and distribution over
 * links of limited rate, fragmentation, and encoding.
 *
 * Guards against log entries that exceed a datagram and are never replicated,
 * and against table transfers that saturate links and delay consensus, hellos
 * and registrations.
 */
#include <glib.h>

#include "cases.h"
#include "codec.h"
#include "fleet-sim.h"
#include "mutation.h"
#include "node.h"
#include "platform/platform.h"
#include "route-wire.h"

#define TABLE_BYTES 36800U        /* 4,245 routes, compressed */
#define LARGE_TABLE_BYTES 150000U /* more than two datagrams */
#define NODES 96
#define DISKS 5
#define LINK_KB_S 275U        /* 2.2 Mbit/s */
#define DISK_LINK_KB_S 12500U /* 100 Mbit/s */
#define APPLY_MS 400U         /* to parse 840 KB of JSON on the smallest VM */
#define SETTLE_MS 6000 /* from the first start to the first submission */
#define OPERATOR_TIMEOUT_MS 8000 /* limit for an operator's request */
#define PAUSE_MS 1000            /* between events */
#define RECOVERY_MS 8000         /* after the last event */
#define IN_FORCE_MS 4000         /* from the acknowledgement to all nodes */
#define RESTART_MS 4000 /* from a restart to the newest table at all nodes */
#define CONSENSUS_WAIT_US                                                     \
    100000U             /* limit at a link: half of the heartbeat interval */
#define TRANSFERS_MAX 2 /* transfers of one table per node */

/* Starts a small fleet with large tables and unlimited links. */
static struct fleet_sim *
start_small_fleet(uint64_t seed)
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

/* Starts a fleet with the links of the smallest VMs. */
static struct fleet_sim *
start_large_fleet(int nodes, unsigned table_bytes, uint64_t seed)
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

/* Submits the versions `first` to `last`. */
static void
put_versions(struct fleet_sim *sim, uint64_t first, uint64_t last)
{
    for (uint64_t version = first; version <= last; version++) {
        g_assert_true(fleet_sim_put(sim, version, OPERATOR_TIMEOUT_MS));
    }
}

/* Runs until all nodes hold a version; returns the time taken, at most
 * `limit_ms`. */
static uint64_t
run_until_in_force(struct fleet_sim *sim, uint64_t version, uint64_t limit_ms)
{
    uint64_t started_at = sim->now;

    while (fleet_sim_lowest_version(sim) < version &&
           sim->now < started_at + limit_ms) {
        fleet_sim_run(sim, sim->now + 20);
    }
    return sim->now - started_at;
}

/* A running follower other than `not_this`. */
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

/* A replica with a wiped disk must catch up from a large log and vote
 * again; then two others may fail. */
static void
test_wiped(void)
{
    for (uint64_t seed = 1; seed <= 4; seed++) {
        struct fleet_sim *sim = start_small_fleet(seed);
        int wiped;
        int lost;

        put_versions(sim, 1, 4);
        wiped = follower(sim, -1);
        fleet_sim_wipe(sim, wiped);
        fleet_sim_start(sim, wiped);
        fleet_sim_run(sim, sim->now + RECOVERY_MS);
        lost = fleet_sim_leader(sim);
        g_assert_true(cons_is_voter(&sim->nodes[lost].replica.cons,
                                    sim->nodes[wiped].address,
                                    sim->nodes[wiped].disk.identity));
        fleet_sim_kill(sim, follower(sim, wiped));
        fleet_sim_kill(sim, lost);
        put_versions(sim, 5, 5);
        g_assert_cmpstr(sim->violation, ==, "");
        fleet_sim_free(sim);
    }
}

/* Two voters lag by two tables, then all nodes restart and two of the
 * others lose their disks: the acknowledged table must be in force in time. */
static void
test_two_lagging(void)
{
    for (uint64_t seed = 1; seed <= 4; seed++) {
        struct fleet_sim *sim = start_small_fleet(seed);
        int leader;
        int lagging[2];

        put_versions(sim, 1, 1);
        fleet_sim_run(sim, sim->now + PAUSE_MS);
        leader = fleet_sim_leader(sim);
        lagging[0] = follower(sim, -1);
        lagging[1] = follower(sim, lagging[0]);
        for (int i = 0; i < 2; i++) {
            fleet_sim_isolate(sim, lagging[i], true);
        }
        put_versions(sim, 2, 3);
        for (int n = 0; n < sim->count; n++) {
            fleet_sim_kill(sim, n);
        }
        for (int i = 0; i < 2; i++) {
            fleet_sim_isolate(sim, lagging[i], false);
        }
        for (int n = 0; n < DISKS; n++) {
            if (n != leader && n != lagging[0] && n != lagging[1]) {
                fleet_sim_wipe(sim, n);
            }
        }
        for (int n = 0; n < sim->count; n++) {
            fleet_sim_start(sim, n);
        }
        g_assert_cmpuint(run_until_in_force(sim, 3, RESTART_MS), <,
                         RESTART_MS);
        g_assert_cmpstr(sim->violation, ==, "");
        fleet_sim_free(sim);
    }
}

/* A starting node must request the table although upstream changes arrive
 * from nodes other than the one that it syncs from. */
static void
test_sync_among_changes(void)
{
    struct fleet_sim *sim = start_small_fleet(7);
    wire_msg change_msg = {.kind = WIRE_UPSTREAMS};
    uint64_t until;
    int joined;

    put_versions(sim, 1, 1);
    fleet_sim_run(sim, sim->now + PAUSE_MS);
    sim->first_seed = DISKS;
    joined = fleet_sim_join(sim, false);
    until = sim->now + PAUSE_MS;
    while (sim->now < until) {
        fleet_receive(&sim->nodes[joined].fleet, sim->now, &change_msg);
        fleet_sim_run(sim, sim->now + 20);
    }
    g_assert_cmpuint(sim->nodes[joined].fleet.routes.bundle_version, ==, 1);
    fleet_sim_free(sim);
}

/* A table larger than a datagram must reach all nodes, also one with a
 * wiped disk. */
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
    put_versions(sim, 1, 2);
    wiped = follower(sim, -1);
    fleet_sim_wipe(sim, wiped);
    fleet_sim_start(sim, wiped);
    put_versions(sim, 3, 3);
    fleet_sim_run(sim, sim->now + RECOVERY_MS);
    g_assert_cmpuint(fleet_sim_lowest_version(sim), ==, 3);
    g_assert_cmpuint(sim->nodes[wiped].replica.version, ==, 3);
    g_assert_cmpstr(sim->violation, ==, "");
    fleet_sim_free(sim);
}

/* The encoded table must decode to the operator's table; a truncated one
 * must be rejected. */
static void
test_encoding(void)
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

/* Tables with two routes of one service; all but the first are invalid. */
struct invalid_table {
    const char *name;
    u_int version;
    u_int service; /* index in the second route's target */
    u_int port;    /* of the second route; 80 in the first */
    u_int kind;
    bool valid;
};

static const struct invalid_table invalid_tables[] = {
    {"valid", 7, 0, 81, ROUTE_BULK, true},
    {"no-version", 0, 0, 81, ROUTE_BULK, false},
    {"no-such-service", 7, 1, 81, ROUTE_BULK, false},
    {"same-endpoint", 7, 0, 80, ROUTE_BULK, false},
    {"no-port", 7, 0, 65536, ROUTE_BULK, false},
    {"no-kind", 7, 0, 81, ROUTE_BULK + 1, false},
};

static void
test_invalid_table(const void *data)
{
    const struct invalid_table *c = data;
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
    struct route_table *decoded = route_decode(bytes->data, bytes->len);

    g_assert_cmpint(decoded != NULL, ==, c->valid);
    route_free(decoded);
    g_byte_array_unref(bytes);
}

/* Configuration documents. */
struct document {
    const char *name;
    size_t bytes;
    bool random; /* incompressible */
    enum status_kind kind;
};

static const struct document documents[] = {
    {"4,245 routes", 860000, false, STATUS_OK},
    {"the largest", SCHEMA_TEXT_MAX, false, STATUS_OK},
    {"random, fits", 900000, true, STATUS_OK},
    {"random, too large", 2000000, true, STATUS_REFUSED},
};

/* A document must survive compression unchanged, or be refused when it
 * exceeds a log entry. */
static void
test_compression(void)
{
    GRand *random = g_rand_new_with_seed(3);

    for (size_t i = 0; i < G_N_ELEMENTS(documents); i++) {
        const struct document *d = &documents[i];
        char *text = g_malloc0(d->bytes + 1);
        struct status st = {STATUS_OK, ""};
        wire_routes compressed = {0};
        char *decompressed;

        for (size_t j = 0; j < d->bytes; j++) {
            text[j] = (char)(d->random ? g_rand_int_range(random, 1, 256)
                                       : "routes"[j % 6]);
        }
        g_test_message("%s", d->name);
        g_assert_cmpint(node_compress(text, d->bytes, &compressed, &st), ==,
                        d->kind);
        if (d->kind == STATUS_OK) {
            decompressed = node_decompress(&compressed);
            g_assert_cmpmem(decompressed, compressed.length, text, d->bytes);
            g_free(decompressed);
            g_free(compressed.packed.packed_val);
        }
        g_free(text);
    }
    g_rand_free(random);
}

/* Arriving fragments by index; 'x': fragment 0 of another message, '.': a
 * pause longer than the reassembly timeout. */
struct arrivals {
    const char *name;
    const char *indexes;
    bool whole; /* the message is complete after the last fragment */
};

static const struct arrivals arrivals[] = {
    {"in-order", "012", true},          {"out-of-order", "201", true},
    {"one-twice", "0012", true},        {"one-lost", "02", false},
    {"another-between", "0x12", true},  {"too-late", "01.2", false},
    {"again-after-it", "01.012", true},
};

/* Fragments must be reassembled in any order, and only when all have
 * arrived. */
static void
test_arrivals(const void *data)
{
    const struct arrivals *a = data;
    GByteArray *bytes = g_byte_array_new();
    struct fragment_table reassembly = {0};
    GByteArray *whole = NULL;
    uint64_t now = 1;
    GPtrArray *fragments;

    g_byte_array_set_size(bytes, 2 * WIRE_PART_MAX + 100);
    for (guint i = 0; i < bytes->len; i++) {
        bytes->data[i] = (guint8)(i * 7 + i / 4096);
    }
    fragments = fragment_split(77, bytes->data, bytes->len);
    g_assert_cmpuint(fragments->len, ==, 3);
    for (const char *digit = a->indexes; *digit != '\0'; digit++) {
        const GByteArray *fragment = g_ptr_array_index(
            fragments, g_ascii_isdigit(*digit) ? (guint)(*digit - '0') : 0);
        wire_msg msg;

        if (*digit == '.') {
            now += FRAGMENT_TIMEOUT_MS;
            continue;
        }
        g_assert_null(whole);
        g_assert_true(codec_decode(fragment->data, fragment->len, &msg));
        msg.wire_msg_u.part.message += *digit == 'x';
        whole = fragment_receive(&reassembly, now, &msg.wire_msg_u.part);
        codec_free(&msg);
    }
    g_assert_cmpint(whole != NULL, ==, a->whole);
    if (whole != NULL) {
        g_assert_cmpmem(whole->data, whole->len, bytes->data, bytes->len);
        g_byte_array_unref(whole);
    }
    fragment_close(&reassembly);
    g_ptr_array_unref(fragments);
    g_byte_array_unref(bytes);
}

/* Invalid fragments must be ignored. */
static void
test_invalid_fragments(void)
{
    static const wire_part invalid[] = {
        {.message = 0, .place = 0, .count = 1},
        {.message = 1, .place = 1, .count = 1},
        {.message = 1, .place = 0, .count = FRAGMENT_COUNT_MAX + 1},
        {.message = 1, .place = 0, .count = 0},
    };
    struct fragment_table reassembly = {0};

    for (size_t i = 0; i < G_N_ELEMENTS(invalid); i++) {
        g_assert_null(fragment_receive(&reassembly, 1, &invalid[i]));
    }
    for (size_t i = 0; i < FRAGMENT_BUFFERS_MAX; i++) {
        g_assert_cmpuint(reassembly.buffers[i].message, ==, 0);
    }
}

/* Number of tables sent by all nodes. */
static uint64_t
tables_sent(const struct fleet_sim *sim)
{
    uint64_t bytes = 0;

    for (int n = 0; n < sim->count; n++) {
        bytes += sim->nodes[n].table_bytes_sent;
    }
    return bytes / sim->options.table_bytes;
}

/* Table updates in quick succession. */
struct update_case {
    const char *name;
    unsigned count; /* versions, each submitted once the previous one is
                       acknowledged */
    unsigned loss;  /* lost messages per 1,000, from the first update on */
    int nodes;
    unsigned table_bytes;
    uint64_t within_ms; /* from the last acknowledgement to all nodes */
    bool kill_all;      /* then all nodes restart */
};

static const struct update_case update_cases[] = {
    {"one", 1, 0, NODES, TABLE_BYTES, IN_FORCE_MS, false},
    {"one-lossy", 1, 50, NODES, TABLE_BYTES, IN_FORCE_MS, false},
    {"three", 3, 0, NODES, TABLE_BYTES, IN_FORCE_MS, false},
    {"three-in-300-nodes", 3, 0, 300, TABLE_BYTES, IN_FORCE_MS, false},
    {"large-in-300-nodes", 1, 0, 300, 100000, 2 * IN_FORCE_MS, false},
    {"kill-all", 2, 0, NODES, TABLE_BYTES, IN_FORCE_MS, true},
};

/* Updates must reach all nodes in time with few transfers per node, and the
 * leader must not change. */
static void
test_updates(const void *data)
{
    const struct update_case *c = data;
    struct fleet_sim *sim = start_large_fleet(c->nodes, c->table_bytes, 17);
    uint64_t version = 1 + c->count;
    uint64_t before;
    uint64_t term;
    uint64_t elapsed_ms;

    put_versions(sim, 1, 1);
    fleet_sim_run(sim, sim->now + RECOVERY_MS);
    term = sim->nodes[fleet_sim_leader(sim)].replica.cons.term;
    before = tables_sent(sim);
    sim->consensus_wait_us = 0;
    sim->options.loss = c->loss;
    put_versions(sim, 2, version);
    if (c->kill_all) {
        for (int n = 0; n < sim->count; n++) {
            fleet_sim_kill(sim, n);
        }
        for (int n = 0; n < sim->count; n++) {
            fleet_sim_start(sim, n);
        }
        term++;
    }
    elapsed_ms = run_until_in_force(sim, version, c->within_ms);
    fleet_sim_run(sim, sim->now + RECOVERY_MS);
    g_test_message("in force after %lu ms, consensus waited %lu ms, %.1f "
                   "transfers per node",
                   (long)elapsed_ms, (long)sim->consensus_wait_us / 1000,
                   (double)(tables_sent(sim) - before) / c->nodes);
    g_assert_cmpuint(elapsed_ms, <, c->within_ms);
    g_assert_cmpuint(sim->consensus_wait_us, <, CONSENSUS_WAIT_US);
    g_assert_cmpuint(tables_sent(sim) - before, <=,
                     TRANSFERS_MAX * (uint64_t)c->nodes *
                         (c->count + c->kill_all));
    g_assert_cmpint(fleet_sim_leader(sim), >=, 0);
    g_assert_cmpuint(sim->nodes[fleet_sim_leader(sim)].replica.cons.term, ==,
                     term);
    g_assert_cmpstr(sim->violation, ==, "");
    fleet_sim_free(sim);
}

/* Disabled mechanisms and the tests that must detect them. */
static const struct mutation mutations[] = {
    {"copies-take-all-of-a-link", FAULT_NO_TRANSFER_PACING,
     "/table/changes/three-in-300-nodes"},
};

int
main(int argc, char **argv)
{
    char path[128];

    mutation_init();
    g_test_init(&argc, &argv, NULL);
    g_test_set_nonfatal_assertions();
    g_test_add_func("/table/wiped", test_wiped);
    g_test_add_func("/table/two-behind", test_two_lagging);
    g_test_add_func("/table/larger-than-a-datagram",
                    test_larger_than_a_datagram);
    g_test_add_func("/table/pack", test_compression);
    g_test_add_func("/table/wire", test_encoding);
    CASES_ADD("/table/invalid/", invalid_tables, test_invalid_table)
    g_test_add_func("/table/begins-among-changes", test_sync_among_changes);
    g_test_add_func("/table/invalid-fragments", test_invalid_fragments);
    CASES_ADD("/table/arrivals/", arrivals, test_arrivals)
    CASES_ADD("/table/changes/", update_cases, test_updates)
    CASES_ADD("/table/mutation/", mutations, mutation_test)
    return g_test_run();
}
