/*
 * First packets from ports that were used before: a record of a flow must not
 * send another flow to a service that the route no longer leads to, and all
 * copies of one first packet must reach one upstream.
 */
#include <glib.h>
#include <string.h>

#include "cases.h"
#include "fixture.h"
#include "mutation.h"
#include "random.h"

#define CALLER 7     /* source port */
#define SEQUENCE 100 /* of the first flow's first packet */
#define FEED_UPSTREAMS 2
#define NEXT_UPSTREAMS 2 /* ids after those of "feed" */
#define SEEDS 200
#define STEPS 300
#define PORTS 6
#define TABLES_MAX 4

/* Service that a packet must reach: "feed", "next", either, or none. */
enum service { FEED, NEXT, ANY, NONE };

/* What happened to the first flow, and the first packet after it. */
struct port_case {
    const char *name;
    const char *flow;               /* see run_flow() */
    const char *tables[TABLES_MAX]; /* see make_table(), in order */
    uint32_t copy;                  /* retransmission, 0: a new flow */
    uint64_t after_ms;              /* since the first packet */
    enum service service;
    bool same; /* reaches the upstream of the first flow */
};

/*
 * A flow has one letter per step: s first packet, a answer of its upstream,
 * c closed by its caller. A table has a letter for each service of the route,
 * f or n, followed by its weight; the empty one drops the route.
 */
static const struct port_case cases[] = {
    {"new/moved-after-close", "sac", {"n1"}, 0, 900, NEXT, false},
    {"new/moved-while-open", "sa", {"n1"}, 0, 900, NEXT, false},
    {"new/moved-while-unanswered", "s", {"n1"}, 0, 900, NEXT, false},
    {"new/moved-at-once", "s", {"n1"}, 0, 10, NEXT, false},
    {"new/split-without-it", "sac", {"f0n1"}, 0, 900, NEXT, false},
    {"new/split-with-it", "sac", {"f1n1"}, 0, 900, ANY, false},
    {"new/moved-and-back", "sac", {"n1", "f1"}, 0, 900, FEED, false},
    {"new/removed", "sac", {""}, 0, 900, NONE, false},
    {"new/removed-and-back", "sac", {"", "f1"}, 0, 900, FEED, false},
    {"new/removed-and-back-elsewhere", "sac", {"", "n1"}, 0, 900, NEXT, false},
    {"new/moved-to-an-empty-service", "sac", {"e1"}, 0, 900, NONE, false},
    {"new/unchanged", "sac", {NULL}, 0, 900, FEED, false},
    {"copy/unchanged", "s", {NULL}, 1, 10, FEED, true},
    {"copy/unchanged-after-an-answer", "sa", {NULL}, 2, 600, FEED, true},
    {"copy/unchanged-after-close", "sac", {NULL}, 2, 600, FEED, true},
    {"copy/moved-while-unanswered", "s", {"n1"}, 1, 10, FEED, true},
    {"copy/moved-while-unanswered-late", "s", {"n1"}, 2, 600, NEXT, false},
    {"copy/moved-and-held-up", "s", {"n1"}, 2, 10, NEXT, false},
    {"copy/moved-while-open", "sa", {"n1"}, 2, 600, FEED, true},
    {"copy/moved-after-close", "sac", {"n1"}, 2, 600, NEXT, false},
    {"copy/split-without-it", "s", {"f0n1"}, 2, 600, NEXT, false},
    {"copy/split-with-it", "s", {"f1n9"}, 2, 10, FEED, true},
    {"copy/moved-and-back", "s", {"n1", "f1"}, 2, 10, FEED, true},
    {"copy/removed", "s", {""}, 1, 10, NONE, false},
    {"copy/removed-and-back", "s", {"", "f1"}, 2, 10, FEED, true},
    {"copy/moved-to-an-empty-service", "s", {"e1"}, 2, 600, NONE, false},
};

static const char *
service_name(char letter)
{
    return letter == 'f' ? "feed" : letter == 'n' ? "next" : "empty";
}

static struct route_table *
make_table(uint64_t version, const char *services)
{
    struct route_table *table = route_new();
    struct route route = {.name = "r",
                          .address = ROUTE_ADDRESS,
                          .port = ROUTE_PORT,
                          .target_count = strlen(services) / 2};

    table->version = version;
    if (route.target_count == 0) {
        return table;
    }
    route.targets = g_new0(struct route_target, route.target_count);
    for (size_t i = 0; i < route.target_count; i++) {
        g_strlcpy(route.targets[i].service, service_name(services[2 * i]),
                  ROUTE_NAME_MAX);
        route.targets[i].weight = (uint32_t)(services[2 * i + 1] - '0');
    }
    g_assert_true(route_add(table, &route));
    return table;
}

static void
open_fixture(struct fixture *f)
{
    fixture_open(f, FEED_UPSTREAMS);
    for (unsigned i = 0; i < NEXT_UPSTREAMS; i++) {
        uint64_t id = FEED_UPSTREAMS + 1 + i;
        struct upstream_registration r = {.id = id,
                                          .service = "next",
                                          .hall = "hall",
                                          .address =
                                              0x0a800000U + (uint32_t)id,
                                          .port = 8080,
                                          .slots = 2,
                                          .sequence = 1};

        upstream_register(&f->upstreams, NOW, &r);
    }
}

/* Steers a first packet; NULL: not forwarded. */
static const struct upstream *
steer_first(struct fixture *f, uint64_t now, uint16_t caller,
            uint32_t sequence, uint32_t number,
            struct evidence_verdict *verdict)
{
    struct evidence_packet packet = fixture_packet(caller, true, 0, number);

    packet.sequence = sequence;
    evidence_steer(&f->ev, now, &packet, verdict);
    return verdict->action == EVIDENCE_FORWARD ? verdict->upstream : NULL;
}

/* Sends a packet of an open flow. */
static void
steer_open(struct fixture *f, uint64_t now, uint16_t caller, uint64_t id,
           bool closing)
{
    struct evidence_packet packet =
        fixture_packet(caller, false, upstream_token(id), SEQUENCE + 1);
    struct evidence_verdict verdict;

    packet.closing = closing;
    evidence_steer(&f->ev, now, &packet, &verdict);
}

/* Runs the first flow; returns its upstream. */
static uint64_t
run_flow(struct fixture *f, const char *steps)
{
    struct evidence_verdict verdict;
    uint64_t id = 0;

    for (const char *step = steps; *step != '\0'; step++) {
        if (*step == 's') {
            id = steer_first(f, NOW, CALLER, SEQUENCE, 0, &verdict)->id;
        }
        else {
            steer_open(f, NOW, CALLER, id, *step == 'c');
        }
    }
    return id;
}

static void
check_service(const struct upstream *upstream, enum service expected)
{
    switch (expected) {
    case FEED:
        g_assert_nonnull(upstream);
        g_assert_cmpuint(upstream->id, <=, FEED_UPSTREAMS);
        return;
    case NEXT:
        g_assert_nonnull(upstream);
        g_assert_cmpuint(upstream->id, >, FEED_UPSTREAMS);
        return;
    case ANY:
        g_assert_nonnull(upstream);
        return;
    case NONE:
        g_assert_null(upstream);
        return;
    }
}

static void
test_port(const void *data)
{
    const struct port_case *c = data;
    struct evidence_verdict verdict;
    const struct upstream *upstream;
    struct fixture f;
    uint64_t id;

    open_fixture(&f);
    id = run_flow(&f, c->flow);
    for (unsigned i = 0; i < TABLES_MAX && c->tables[i] != NULL; i++) {
        g_assert_true(evidence_apply(&f.ev, make_table(2 + i, c->tables[i])));
    }
    upstream =
        steer_first(&f, NOW + c->after_ms, CALLER,
                    c->copy != 0 ? SEQUENCE : SEQUENCE + 1, c->copy, &verdict);
    check_service(upstream, c->service);
    if (upstream != NULL && c->copy != 0) {
        g_assert_cmpint(upstream->id == id, ==, c->same);
    }
    if (c->copy == 0) {
        g_assert_cmpint(verdict.rule, !=, RULE_RETRANSMISSION);
        g_assert_cmpint(verdict.rule, !=, RULE_REROUTED);
        g_assert_cmpuint(upstream_by_id(&f.upstreams, id)->suspect_until, ==,
                         0);
        g_assert_cmpuint(f.counters.value[COUNTER_FLOWS_NEW], ==,
                         upstream != NULL ? 2 : 1);
    }
    fixture_close(&f);
}

/* A late packet of the flow that used the port before must not draw the copies
 * of the new flow's first packet to the earlier upstream. */
static void
test_late_packet(void)
{
    struct evidence_verdict verdict;
    struct fixture f;
    uint64_t old_id;
    uint64_t new_id;

    open_fixture(&f);
    old_id = run_flow(&f, "sac");
    g_assert_true(evidence_apply(&f.ev, make_table(2, "n1")));
    new_id = steer_first(&f, NOW + 800, CALLER, SEQUENCE + 1, 0, &verdict)->id;
    steer_open(&f, NOW + 850, CALLER, old_id, true);
    g_assert_cmpuint(
        steer_first(&f, NOW + 1000, CALLER, SEQUENCE + 1, 1, &verdict)->id, ==,
        new_id);
    fixture_close(&f);
}

/* What was observed on the earlier flow must not count for the new one: here,
 * data that it left unanswered would make the first answer look late. */
static void
test_response_time(void)
{
    struct evidence_packet packet;
    struct evidence_verdict verdict;
    const struct upstream *upstream;
    struct fixture f;

    fixture_open(&f, 1);
    upstream = upstream_by_id(&f.upstreams, run_flow(&f, "sa"));
    packet = fixture_packet(CALLER, false, upstream->token, SEQUENCE + 1);
    packet.length = 10;
    evidence_steer(&f.ev, NOW, &packet, &verdict);
    (void)steer_first(&f, NOW + 9000, CALLER, SEQUENCE + 1, 0, &verdict);
    packet.acknowledged = 1;
    evidence_steer(&f.ev, NOW + 9010, &packet, &verdict);
    packet.acknowledged = 2;
    packet.length = 0;
    evidence_steer(&f.ev, NOW + 9050, &packet, &verdict);
    g_assert_cmpuint(upstream->latency_us, >, 0);
    g_assert_cmpuint(upstream->latency_us, <, 100000);
    fixture_close(&f);
}

/* A flow of the random test. */
struct random_flow {
    uint32_t sequence;
    uint64_t upstream; /* of its first packet, 0: none */
    bool moved;        /* the route changed since */
    uint64_t opened_at;
    uint32_t copies;
};

static bool
leads_to(const char *services, uint64_t id)
{
    char letter = id <= FEED_UPSTREAMS ? 'f' : 'n';

    for (const char *at = services; *at != '\0'; at += 2) {
        if (at[0] == letter && at[1] != '0') {
            return true;
        }
    }
    return false;
}

/* Opens, copies and closes flows from a few ports while the route changes. */
static void
run_random(uint64_t seed)
{
    static const char *const tables[] = {"f1", "n1", "f1n1", "f0n1", ""};
    struct random_flow flows[PORTS] = {{0}};
    const char *services = "f1";
    struct evidence_verdict verdict;
    uint64_t version = 1;
    uint64_t now = NOW;
    struct fixture f;

    open_fixture(&f);
    for (unsigned step = 0; step < STEPS; step++) {
        uint16_t port = (uint16_t)(random_next(&seed) % PORTS);
        struct random_flow *flow = &flows[port];
        const struct upstream *upstream;

        now += random_next(&seed) % 100;
        switch (random_next(&seed) % 8) {
        case 0:
            services = tables[random_next(&seed) % G_N_ELEMENTS(tables)];
            g_assert_true(
                evidence_apply(&f.ev, make_table(++version, services)));
            for (unsigned i = 0; i < PORTS; i++) {
                flows[i].moved = true;
            }
            break;
        case 1:
        case 2:
            *flow = (struct random_flow){
                .sequence = (uint32_t)random_next(&seed), .opened_at = now};
            upstream = steer_first(&f, now, port, flow->sequence, 0, &verdict);
            g_assert_cmpint(upstream != NULL, ==, *services != '\0');
            flow->upstream = upstream != NULL ? upstream->id : 0;
            g_assert_true(upstream == NULL ||
                          leads_to(services, upstream->id));
            break;
        case 3:
        case 4:
            if (flow->upstream == 0) {
                break;
            }
            upstream = steer_first(&f, now, port, flow->sequence,
                                   ++flow->copies, &verdict);
            /* Unanswered, it may be sent to another upstream after 150 ms. */
            if ((!flow->moved || flow->copies == 1) && upstream != NULL &&
                now < flow->opened_at + 150) {
                g_assert_cmpuint(upstream->id, ==, flow->upstream);
            }
            g_assert_true(upstream != NULL || flow->moved);
            g_assert_true(upstream == NULL ||
                          leads_to(services, upstream->id) ||
                          upstream->id == flow->upstream);
            flow->upstream = upstream != NULL ? upstream->id : 0;
            break;
        default:
            if (flow->upstream != 0) {
                steer_open(&f, now, port, flow->upstream,
                           random_next(&seed) % 2 == 0);
            }
            break;
        }
        evidence_tick(&f.ev, now);
    }
    fixture_close(&f);
}

static void
test_random(void)
{
    for (uint64_t seed = 1; seed <= SEEDS; seed++) {
        run_random(seed);
    }
}

static const struct mutation mutations[] = {
    {"ignore-sequence", FAULT_IGNORE_SEQUENCE, "/ports/new/unchanged"},
    {"ignore-route-change", FAULT_IGNORE_ROUTE_CHANGE,
     "/ports/copy/moved-and-held-up"},
};

int
main(int argc, char **argv)
{
    char path[128];

    mutation_init();
    g_test_init(&argc, &argv, NULL);
    g_test_set_nonfatal_assertions();
    CASES_ADD("/ports/", cases, test_port)
    g_test_add_func("/ports/late-packet", test_late_packet);
    g_test_add_func("/ports/response-time", test_response_time);
    g_test_add_func("/ports/random", test_random);
    CASES_ADD("/ports/mutation/", mutations, mutation_test)
    return g_test_run();
}
