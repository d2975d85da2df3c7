/*
 * Upstreams that have just begun bear a bounded rate of new flows, summed over
 * all nodes, of which each sees a fraction.
 *
 * The load: 95 nodes with 16 new flows a second each, as many as the busiest
 * deployment has on a top of its wave, and a service of which some or all
 * upstreams are cold for 2 s, as after a release, or when a data hall comes
 * back. Each node decides alone, with what it has been told.
 */
#include <glib.h>
#include <string.h>

#include "cases.h"
#include "fixture.h"
#include "mutation.h"
#include "platform/platform.h"
#include "window.h"

#define NODES 95
#define FLOWS_A_NODE_S 16U /* new ones */
#define COLD_MS 2000U
#define BOUND 9U /* new flows in any second: 3 a second, times 1.5, and 5 */
#define CALLER_PORTS 30000

/* Which nodes a node knows. */
enum view {
    VIEW_ALL,
    VIEW_TENTH_UNKNOWN, /* each lacks another tenth */
    VIEW_HALVES,        /* each half knows itself alone */
    VIEW_JOINS,         /* a third is new; a third of the others knows it */
    VIEW_NONE           /* has just begun: knows nobody */
};

/* A service, and who of it is cold. */
struct scene {
    const char *name;
    unsigned upstreams;
    unsigned cold; /* the first of them */
    enum view view;
};

static const struct scene scenes[] = {
    {"one-of-many", 30, 1, VIEW_ALL},
    {"a-third", 30, 10, VIEW_ALL},
    {"all", 30, 30, VIEW_ALL},
    {"the-only-one", 1, 1, VIEW_ALL},
    {"all-tenth-unknown", 30, 30, VIEW_TENTH_UNKNOWN},
    {"all-halves", 30, 30, VIEW_HALVES},
    {"all-joins", 30, 30, VIEW_JOINS},
    {"the-only-one-joins", 1, 1, VIEW_JOINS},
    {"all-began-anew", 30, 30, VIEW_NONE},
};

static struct fixture nodes[NODES];

/* A table whose service states what a cold upstream bears. */
static struct route_table *
table(void)
{
    static const char text[] =
        "{\"version\":1,\"routes\":[{\"name\":\"r\",\"hostname\":"
        "\"198.18.0.1\",\"path_prefix\":\"/443/\",\"kind\":\"unsafe\","
        "\"timeout_ms\":3000,\"service\":\"feed\"}],\"services\":[{\"name\":"
        "\"feed\",\"warmup_s\":2.0,\"warmup_per_s\":3.0}]}";
    struct status st = {STATUS_OK, ""};
    struct route_table *read = platform_read_table(text, strlen(text), &st);

    g_assert_nonnull(read);
    return read;
}

/* Says whether a node knows another one. */
static bool
knows(enum view view, uint32_t n, uint32_t other)
{
    switch (view) {
    case VIEW_ALL:
        return true;
    case VIEW_TENTH_UNKNOWN:
        return n == other || (n + other) % 10 != 0;
    case VIEW_HALVES:
        return n % 2 == other % 2;
    case VIEW_JOINS:
        return other % 3 != 0 || n % 3 == 0 || n % 9 == 1;
    case VIEW_NONE:
        return false;
    }
    return false;
}

/* Lets a node know others. */
static void
know(struct fixture *f, uint32_t n, enum view view)
{
    GArray *all = g_array_new(FALSE, FALSE, sizeof(uint32_t));

    for (uint32_t other = 0; other < NODES; other++) {
        uint32_t address = SELF + other;

        if (knows(view, n, other)) {
            g_array_append_val(all, address);
        }
    }
    warmup_set_nodes(&f->ev.nodes, all);
    g_array_free(all, TRUE);
}

/* Makes the nodes; each is told of all upstreams. */
static void
open_nodes(const struct scene *scene)
{
    for (uint32_t n = 0; n < NODES; n++) {
        struct fixture *f = &nodes[n];

        memset(f, 0, sizeof(*f));
        upstream_open(&f->upstreams, SELF + n, INTERVAL_MS);
        evidence_open(&f->ev, &f->upstreams, &f->counters, 60000);
        f->ev.settled = true;
        f->ev.rank = (uint32_t)(((uint64_t)n << 32) / NODES);
        f->ev.overshoot_milli = 1500;
        f->ev.slack_milli = 5000;
        know(f, n, scene->view);
        g_assert_true(evidence_apply(&f->ev, table()));
        for (uint64_t id = 1; id <= scene->upstreams; id++) {
            wire_upstream record = {.id = id,
                                    .sequence = 1,
                                    .address = 0x0a800000U + (uint32_t)id,
                                    .port = 8080,
                                    .slots = 2,
                                    .state = UPSTREAM_READY,
                                    .warm_ms = id <= scene->cold ? COLD_MS : 0,
                                    .keeper = SELF,
                                    .service = "feed",
                                    .hall = "hall"};

            g_assert_true(upstream_merge(&f->upstreams, NOW, &record));
        }
    }
}

/* Frees them. */
static void
close_nodes(void)
{
    for (int n = 0; n < NODES; n++) {
        fixture_close(&nodes[n]);
    }
}

/* Callers open flows at all nodes while upstreams are cold. */
static void
test_bound(const void *data)
{
    const struct scene *scene = data;
    GRand *random = g_rand_new_with_seed(29);
    GArray **at = g_new0(GArray *, scene->upstreams + 1);
    unsigned most = 0;

    open_nodes(scene);
    for (unsigned id = 1; id <= scene->upstreams; id++) {
        at[id] = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    }
    for (uint64_t ms = 0; ms < COLD_MS; ms++) {
        for (int n = 0; n < NODES; n++) {
            struct evidence_packet packet = fixture_packet(
                (uint16_t)g_rand_int_range(random, 1, CALLER_PORTS), true, 0,
                0);
            struct evidence_verdict verdict;
            uint64_t now = NOW + ms;

            if (g_rand_int_range(random, 0, 1000) >= (gint32)FLOWS_A_NODE_S) {
                continue;
            }
            evidence_steer(&nodes[n].ev, now, &packet, &verdict);
            if (verdict.action == EVIDENCE_FORWARD) {
                g_array_append_val(at[verdict.upstream->id], now);
            }
        }
    }
    for (unsigned id = 1; id <= scene->upstreams; id++) {
        most = id <= scene->cold ? MAX(most, window_most(at[id], 1000)) : most;
        g_array_free(at[id], TRUE);
    }
    g_test_message("at most %u new flows in a second", most);
    g_assert_cmpuint(most, <=, BOUND);
    g_free(at);
    g_rand_free(random);
    close_nodes();
}

/* What a stated rate makes of a service's upstreams. */
struct limit_case {
    const char *name;
    uint64_t rate_milli;
    uint64_t overshoot_milli;
    uint64_t slack_milli;
    bool bounded;
    uint32_t owners; /* a third of the bound */
};

static const struct limit_case limits[] = {
    {"none-stated", 0, 1500, 5000, false, 1},
    {"one", 1000, 1500, 5000, true, 2},
    {"three", 3000, 1500, 5000, true, 3},
    {"eight", 8000, 1500, 5000, true, 5},
    {"no-slack", 3000, 1000, 0, true, 1},
    {"less-than-one-for-each-view", 2000, 1000, 0, true, 0},
    {"half-a-flow", 500, 1000, 0, true, 0},
};

/* Works one out. */
static void
test_limit(const void *data)
{
    const struct limit_case *c = data;
    struct warmup_limit limit = warmup_limit_of(
        COLD_MS, c->rate_milli, c->overshoot_milli, c->slack_milli);

    g_assert_cmpint(limit.bounded, ==, c->bounded);
    g_assert_cmpuint(limit.owners, ==, c->owners);
    g_assert_cmpuint(limit.warmup_ms, ==, COLD_MS);
}

/* Each upstream has as many owners as are wanted, whoever asks; no node owns
 * much more than its share. */
static void
test_owners(void)
{
    enum { UPSTREAMS = 300, OWNERS = 3 };
    const struct scene none = {"", 0, 0, VIEW_ALL};
    unsigned most = 0;
    unsigned sum = 0;

    open_nodes(&none);
    for (int n = 0; n < NODES; n++) {
        unsigned owned = 0;

        for (uint64_t id = 1; id <= UPSTREAMS; id++) {
            owned += warmup_is_owner(&nodes[n].ev.nodes, OWNERS, id);
        }
        sum += owned;
        most = MAX(most, owned);
    }
    g_assert_cmpuint(sum, ==, UPSTREAMS * OWNERS);
    g_assert_cmpuint(most, <, 3 * UPSTREAMS * OWNERS / NODES);
    close_nodes();
}

/* Where no bound is stated, a cold upstream weighs more and no more than that:
 * it gets about as many flows as a warm one divided by 1.6. */
static void
test_unbounded(void)
{
    struct fixture f;
    unsigned cold = 0;

    fixture_open(&f, 10);
    for (uint64_t id = 1; id <= 5; id++) {
        upstream_by_id(&f.upstreams, id)->warmup_until = NOW + COLD_MS;
    }
    for (uint16_t caller = 1; caller <= 1000; caller++) {
        struct evidence_packet packet = fixture_packet(caller, true, 0, 0);
        struct evidence_verdict verdict;

        evidence_steer(&f.ev, NOW, &packet, &verdict);
        g_assert_cmpint(verdict.action, ==, EVIDENCE_FORWARD);
        cold += verdict.upstream->id <= 5;
    }
    g_assert_cmpuint(cold, >, 350);
    g_assert_cmpuint(cold, <, 450);
    fixture_close(&f);
}

/* A caller who cannot be served hears so at once, by which rule. */
static void
test_refused(void)
{
    struct evidence_packet packet = fixture_packet(7, true, 0, 0);
    struct evidence_verdict verdict;
    const struct scene all = {"", 4, 4, VIEW_NONE};

    open_nodes(&all);
    evidence_steer(&nodes[0].ev, NOW, &packet, &verdict);
    g_assert_cmpint(verdict.action, ==, EVIDENCE_REFUSE);
    g_assert_cmpint(verdict.rule, ==, RULE_ALL_WARMING_UP);
    g_assert_cmpuint(verdict.warming, ==, 4);
    evidence_steer(&nodes[0].ev, NOW + COLD_MS, &packet, &verdict);
    g_assert_cmpint(verdict.action, ==, EVIDENCE_FORWARD);
    close_nodes();
}

/* An upstream that turns cold though it had been warm is told of: its word
 * reaches one node alone. */
static void
test_turns_cold(void)
{
    struct upstream_registration r = {.id = 7,
                                      .service = "feed",
                                      .hall = "hall",
                                      .slots = 1,
                                      .sequence = 20};
    struct upstream_set set;

    upstream_open(&set, SELF, INTERVAL_MS);
    g_assert_true(upstream_register(&set, NOW, &r));
    g_array_set_size(set.changed, 0);
    r.sequence++;
    r.warm_ms = COLD_MS;
    g_assert_true(upstream_register(&set, NOW + 500, &r));
    g_assert_cmpuint(set.changed->len, ==, 1);
    r.sequence++;
    r.warm_ms = COLD_MS - 700;
    g_assert_true(upstream_register(&set, NOW + 1200, &r));
    g_assert_cmpuint(set.changed->len, ==, 1);
    upstream_close(&set);
}

/* What is left out, and a test above that must fail then. */
static const struct mutation mutations[] = {
    {"bound", FAULT_NO_WARMUP, "/warmup/bound/all"},
    {"counted-a-node", FAULT_ALL_WARMUP_OWNERS, "/warmup/bound/all"},
};

/* Lists the tests. */
int
main(int argc, char **argv)
{
    char path[128];

    mutation_begin();
    g_test_init(&argc, &argv, NULL);
    CASES_ADD("/warmup/bound/", scenes, test_bound)
    CASES_ADD("/warmup/limit/", limits, test_limit)
    g_test_add_func("/warmup/owners", test_owners);
    g_test_add_func("/warmup/unbounded", test_unbounded);
    g_test_add_func("/warmup/refused", test_refused);
    g_test_add_func("/warmup/turns-cold", test_turns_cold);
    CASES_ADD("/warmup/mutation/", mutations, mutation_test)
    return g_test_run();
}
