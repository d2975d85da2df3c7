/*
 * Warmup of started upstreams: the rate of new flows to an upstream, summed
 * over all nodes, must not exceed its limit, although each node decides
 * independently and may have an incomplete member list.
 */
#include <glib.h>
#include <string.h>

#include "cases.h"
#include "fixture.h"
#include "mutation.h"
#include "platform/platform.h"
#include "window.h"

#define NODES 95
#define FLOWS_PER_NODE_S 16U /* new ones */
#define WARMUP_MS 2000U
#define LIMIT 9U /* new flows in any second: 3 * 1.5 + 5, rounded down */
#define CALLER_PORTS 30000

/* Members that a node has in its list. */
enum view {
    VIEW_ALL,
    VIEW_TENTH_MISSING, /* a different tenth at each node */
    VIEW_HALVES,        /* each node has its own half */
    VIEW_JOINING,       /* a third joins; a third of the others has it */
    VIEW_NONE           /* just started */
};

/* A service with upstreams that warm up. */
struct scenario {
    const char *name;
    unsigned upstreams;
    unsigned warming; /* number of them, from the first on */
    enum view view;
};

static const struct scenario scenarios[] = {
    {"one-of-thirty", 30, 1, VIEW_ALL},
    {"a-third", 30, 10, VIEW_ALL},
    {"all", 30, 30, VIEW_ALL},
    {"only-one", 1, 1, VIEW_ALL},
    {"all-tenth-missing", 30, 30, VIEW_TENTH_MISSING},
    {"all-halves", 30, 30, VIEW_HALVES},
    {"all-joining", 30, 30, VIEW_JOINING},
    {"only-one-joining", 1, 1, VIEW_JOINING},
    {"all-nodes-started", 30, 30, VIEW_NONE},
};

static struct fixture nodes[NODES];

/* Returns a table whose service limits the rate of warming upstreams. */
static struct route_table *
read_table(void)
{
    static const char text[] =
        "{\"version\":1,\"routes\":[{\"name\":\"r\",\"hostname\":"
        "\"198.18.0.1\",\"path_prefix\":\"/443/\",\"kind\":\"unsafe\","
        "\"timeout_ms\":3000,\"service\":\"feed\"}],\"services\":[{\"name\":"
        "\"feed\",\"warmup_s\":2.0,\"warmup_per_s\":3.0}]}";
    struct status st = {STATUS_OK, ""};
    struct route_table *table = platform_read_table(text, strlen(text), &st);

    g_assert_nonnull(table);
    return table;
}

/* Returns whether a node has another one in its list of members. */
static bool
has_member(enum view view, uint32_t n, uint32_t other)
{
    switch (view) {
    case VIEW_ALL:
        return true;
    case VIEW_TENTH_MISSING:
        return n == other || (n + other) % 10 != 0;
    case VIEW_HALVES:
        return n % 2 == other % 2;
    case VIEW_JOINING:
        return other % 3 != 0 || n % 3 == 0 || n % 9 == 1;
    case VIEW_NONE:
        return false;
    }
    return false;
}

static void
set_members(struct fixture *f, uint32_t n, enum view view)
{
    GArray *all = g_array_new(FALSE, FALSE, sizeof(uint32_t));

    for (uint32_t other = 0; other < NODES; other++) {
        uint32_t address = SELF + other;

        if (has_member(view, n, other)) {
            g_array_append_val(all, address);
        }
    }
    warmup_set_nodes(&f->ev.nodes, all);
    g_array_free(all, TRUE);
}

/* Opens the nodes, each with all upstreams in its inventory. */
static void
open_nodes(const struct scenario *scenario)
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
        set_members(f, n, scenario->view);
        g_assert_true(evidence_apply(&f->ev, read_table()));
        for (uint64_t id = 1; id <= scenario->upstreams; id++) {
            wire_upstream record = {
                .id = id,
                .sequence = 1,
                .address = 0x0a800000U + (uint32_t)id,
                .port = 8080,
                .slots = 2,
                .state = UPSTREAM_READY,
                .warm_ms = id <= scenario->warming ? WARMUP_MS : 0,
                .keeper = SELF,
                .service = "feed",
                .hall = "hall"};

            g_assert_true(upstream_merge(&f->upstreams, NOW, &record));
        }
    }
}

static void
close_nodes(void)
{
    for (int n = 0; n < NODES; n++) {
        fixture_close(&nodes[n]);
    }
}

/* No warming upstream may get more than LIMIT new flows in any second. */
static void
test_rate(const void *data)
{
    const struct scenario *scenario = data;
    GRand *random = g_rand_new_with_seed(29);
    GArray **at = g_new0(GArray *, scenario->upstreams + 1);
    unsigned max = 0;

    open_nodes(scenario);
    for (unsigned id = 1; id <= scenario->upstreams; id++) {
        at[id] = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    }
    for (uint64_t ms = 0; ms < WARMUP_MS; ms++) {
        for (int n = 0; n < NODES; n++) {
            struct evidence_packet packet = fixture_packet(
                (uint16_t)g_rand_int_range(random, 1, CALLER_PORTS), true, 0,
                0);
            struct evidence_verdict verdict;
            uint64_t now = NOW + ms;

            if (g_rand_int_range(random, 0, 1000) >=
                (gint32)FLOWS_PER_NODE_S) {
                continue;
            }
            evidence_steer(&nodes[n].ev, now, &packet, &verdict);
            if (verdict.action == EVIDENCE_FORWARD) {
                g_array_append_val(at[verdict.upstream->id], now);
            }
        }
    }
    for (unsigned id = 1; id <= scenario->upstreams; id++) {
        max =
            id <= scenario->warming ? MAX(max, window_max(at[id], 1000)) : max;
        g_array_free(at[id], TRUE);
    }
    g_test_message("at most %u new flows in a second", max);
    g_assert_cmpuint(max, <=, LIMIT);
    g_free(at);
    g_rand_free(random);
    close_nodes();
}

/* The limit that results from a service's rate and the tolerances. */
struct limit_case {
    const char *name;
    uint64_t rate_milli; /* new flows per second, times 1000 */
    uint64_t overshoot_milli;
    uint64_t slack_milli;
    bool bounded;
    uint32_t owners; /* a third of the limit */
};

static const struct limit_case limits[] = {
    {"no-rate", 0, 1500, 5000, false, 1},
    {"one", 1000, 1500, 5000, true, 2},
    {"three", 3000, 1500, 5000, true, 3},
    {"eight", 8000, 1500, 5000, true, 5},
    {"no-slack", 3000, 1000, 0, true, 1},
    {"less-than-one-owner", 2000, 1000, 0, true, 0},
    {"half-a-flow", 500, 1000, 0, true, 0},
};

static void
test_limit(const void *data)
{
    const struct limit_case *c = data;
    struct warmup_limit limit = warmup_limit_of(
        WARMUP_MS, c->rate_milli, c->overshoot_milli, c->slack_milli);

    g_assert_cmpint(limit.bounded, ==, c->bounded);
    g_assert_cmpuint(limit.owners, ==, c->owners);
    g_assert_cmpuint(limit.warmup_ms, ==, WARMUP_MS);
}

/* Every upstream must have the requested number of owners, and no node three
 * times its share. */
static void
test_owners(void)
{
    enum { UPSTREAMS = 300, OWNERS = 3 };
    const struct scenario none = {"", 0, 0, VIEW_ALL};
    unsigned max = 0;
    unsigned sum = 0;

    open_nodes(&none);
    for (int n = 0; n < NODES; n++) {
        unsigned owned = 0;

        for (uint64_t id = 1; id <= UPSTREAMS; id++) {
            owned += warmup_is_owner(&nodes[n].ev.nodes, OWNERS, id);
        }
        sum += owned;
        max = MAX(max, owned);
    }
    g_assert_cmpuint(sum, ==, UPSTREAMS * OWNERS);
    g_assert_cmpuint(max, <, 3 * UPSTREAMS * OWNERS / NODES);
    close_nodes();
}

/* Without a rate, a warming upstream must get the share of flows that its
 * weight of 1.6 gives, 1 / 1.6 of a warm one's. */
static void
test_no_rate(void)
{
    struct fixture f;
    unsigned warming = 0;

    fixture_open(&f, 10);
    for (uint64_t id = 1; id <= 5; id++) {
        upstream_by_id(&f.upstreams, id)->warmup_until = NOW + WARMUP_MS;
    }
    for (uint16_t caller = 1; caller <= 1000; caller++) {
        struct evidence_packet packet = fixture_packet(caller, true, 0, 0);
        struct evidence_verdict verdict;

        evidence_steer(&f.ev, NOW, &packet, &verdict);
        g_assert_cmpint(verdict.action, ==, EVIDENCE_FORWARD);
        warming += verdict.upstream->id <= 5;
    }
    g_assert_cmpuint(warming, >, 350);
    g_assert_cmpuint(warming, <, 450);
    fixture_close(&f);
}

/* A new flow that no warming upstream may take must be refused, not held. */
static void
test_refused(void)
{
    struct evidence_packet packet = fixture_packet(7, true, 0, 0);
    struct evidence_verdict verdict;
    const struct scenario all = {"", 4, 4, VIEW_NONE};

    open_nodes(&all);
    evidence_steer(&nodes[0].ev, NOW, &packet, &verdict);
    g_assert_cmpint(verdict.action, ==, EVIDENCE_REFUSE);
    g_assert_cmpint(verdict.rule, ==, RULE_ALL_WARMING_UP);
    g_assert_cmpuint(verdict.warming, ==, 4);
    evidence_steer(&nodes[0].ev, NOW + WARMUP_MS, &packet, &verdict);
    g_assert_cmpint(verdict.action, ==, EVIDENCE_FORWARD);
    close_nodes();
}

/* An upstream that registers as warming up after it was warm must be announced
 * to other nodes once. */
static void
test_warmup_is_announced(void)
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
    r.warm_ms = WARMUP_MS;
    g_assert_true(upstream_register(&set, NOW + 500, &r));
    g_assert_cmpuint(set.changed->len, ==, 1);
    r.sequence++;
    r.warm_ms = WARMUP_MS - 700;
    g_assert_true(upstream_register(&set, NOW + 1200, &r));
    g_assert_cmpuint(set.changed->len, ==, 1);
    upstream_close(&set);
}

static const struct mutation mutations[] = {
    {"limit", FAULT_NO_WARMUP, "/warmup/rate/all"},
    {"owners", FAULT_ALL_WARMUP_OWNERS, "/warmup/rate/all"},
};

int
main(int argc, char **argv)
{
    char path[128];

    mutation_init();
    g_test_init(&argc, &argv, NULL);
    CASES_ADD("/warmup/rate/", scenarios, test_rate)
    CASES_ADD("/warmup/limit/", limits, test_limit)
    g_test_add_func("/warmup/owners", test_owners);
    g_test_add_func("/warmup/no-rate", test_no_rate);
    g_test_add_func("/warmup/refused", test_refused);
    g_test_add_func("/warmup/announced", test_warmup_is_announced);
    CASES_ADD("/warmup/mutation/", mutations, mutation_test)
    return g_test_run();
}
