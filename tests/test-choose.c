/*
 * Choice of an upstream for a new flow: the order of its criteria, the latency
 * estimate, and an even spread of flows over upstreams.
 */
#include <glib.h>

#include "cases.h"
#include "evidence-internal.h"
#include "fixture.h"
#include "mutation.h"

#define MEDIAN_US 20000U /* latency of the service */

/* An upstream as a node sees it. */
struct view {
    uint32_t busy;    /* flows that await a response */
    uint32_t open;    /* open flows */
    uint32_t slots;   /* 0: two */
    uint32_t latency; /* in tenths of the median, 0: unknown */
    char state;       /* r: ready, s: silent, l: leaving, ?: suspected,
                         c: warming up */
};

/* A choice between two upstreams; the node's rank prefers the first. */
struct choose_case {
    const char *name;
    struct view first;
    struct view second;
    int chosen; /* 1: the first, 2: the second, 0: none */
};

static const struct choose_case chooses[] = {
    {"equal", {.state = 'r'}, {.state = 'r'}, 1},
    {"busy", {.busy = 1, .open = 1, .state = 'r'}, {.state = 'r'}, 2},
    {"open", {.open = 1, .state = 'r'}, {.state = 'r'}, 2},
    {"busy-weighs-more-than-open",
     {.busy = 1, .open = 1, .state = 'r'},
     {.open = 3, .state = 'r'},
     2},
    {"slots",
     {.open = 4, .slots = 2, .state = 'r'},
     {.open = 6, .slots = 8, .state = 'r'},
     2},
    {"warming-up", {.state = 'c'}, {.state = 'r'}, 2},
    {"warming-up-but-idle",
     {.state = 'c'},
     {.busy = 1, .open = 1, .state = 'r'},
     1},
    {"slow", {.latency = 30, .state = 'r'}, {.state = 'r'}, 2},
    {"a-little-slower", {.latency = 19, .state = 'r'}, {.state = 'r'}, 1},
    {"slow-or-busier",
     {.latency = 30, .state = 'r'},
     {.busy = 3, .open = 3, .state = 'r'},
     1},
    {"slowness-is-capped",
     {.latency = 900, .state = 'r'},
     {.busy = 8, .open = 8, .state = 'r'},
     1},
    {"slow-or-suspected",
     {.latency = 30, .busy = 2, .open = 2, .state = 'r'},
     {.state = '?'},
     1},
    {"suspected", {.state = '?'}, {.busy = 9, .open = 9, .state = 'r'}, 2},
    {"silent-or-suspected", {.state = 's'}, {.state = '?'}, 2},
    {"silent", {.state = 's'}, {.busy = 9, .open = 9, .state = 'r'}, 2},
    {"silent-or-slow",
     {.state = 's'},
     {.latency = 90, .busy = 9, .open = 9, .state = 'r'},
     2},
    {"both-silent", {.open = 1, .state = 's'}, {.state = 's'}, 2},
    {"leaving", {.state = 'l'}, {.busy = 9, .open = 9, .state = 'r'}, 2},
    {"leaving-or-silent", {.state = 'l'}, {.state = 's'}, 2},
    {"both-leaving", {.state = 'l'}, {.state = 'l'}, 0},
};

static void
set_view(struct upstream *u, const struct view *view)
{
    u->busy = view->busy;
    u->open = view->open;
    u->slots = view->slots != 0 ? view->slots : 2;
    u->state = view->state == 's'   ? UPSTREAM_SILENT
               : view->state == 'l' ? UPSTREAM_LEAVING
                                    : UPSTREAM_READY;
    u->latency_us = view->latency * MEDIAN_US / 10;
    u->latency_until = view->latency != 0 ? NOW + 1 : 0;
    u->suspect_until = view->state == '?' ? NOW + 1 : 0;
    u->warmup_until = view->state == 'c' ? NOW + 1 : 0;
}

/* A worse upstream must not be chosen over a better one. */
static void
test_choose(const void *data)
{
    const struct choose_case *c = data;
    struct evidence_packet packet = fixture_packet(7, true, 0, 0);
    struct evidence_verdict verdict;
    struct fixture f;
    struct upstream *first;

    fixture_open(&f, 2);
    g_array_set_size(f.ev.median_us, 1);
    g_array_index(f.ev.median_us, uint32_t, 0) = MEDIAN_US;
    first = g_ptr_array_index(f.upstreams.all, 0);
    set_view(first, &c->first);
    set_view(g_ptr_array_index(f.upstreams.all, 1), &c->second);
    evidence_steer(&f.ev, NOW, &packet, &verdict);
    if (c->chosen == 0) {
        g_assert_cmpint(verdict.action, ==, EVIDENCE_REFUSE);
    }
    else {
        g_assert_cmpint(verdict.action, ==, EVIDENCE_FORWARD);
        g_assert_cmpint(verdict.upstream == first ? 1 : 2, ==, c->chosen);
    }
    fixture_close(&f);
}

/* Responses of upstream 1, after forty of upstream 2 that took 20 ms each. */
struct latency_case {
    const char *name;
    unsigned responses;  /* of upstream 1 */
    uint64_t latency_ms; /* of each */
    bool retransmitted;  /* the data was sent twice */
    uint64_t later_ms;   /* since the last response */
    uint32_t slowness;   /* expected */
};

static const struct latency_case latencies[] = {
    {"no-response", 0, 0, false, 0, 1},
    {"median", 10, 20, false, 0, 1},
    {"once-slow", 1, 100, false, 0, 5},
    {"slow", 10, 100, false, 0, 4},
    {"slow-long-ago", 10, 100, false, 10001, 1},
    {"slow-by-packet-loss", 10, 300, true, 0, 1},
    {"a-third-slower", 10, 27, false, 0, 1},
    {"faster", 10, 5, false, 0, 1},
    {"capped", 10, 2000, false, 0, 8},
};

/* Sends data on a flow and acknowledges its response. */
static void
exchange(struct fixture *f, uint64_t now, uint64_t id, uint32_t number,
         uint64_t latency_ms, bool retransmitted)
{
    struct evidence_packet packet =
        fixture_packet((uint16_t)id, false, upstream_token(id), 100 * number);
    struct evidence_verdict verdict;

    packet.sequence = number;
    packet.length = 200;
    evidence_steer(&f->ev, now, &packet, &verdict);
    if (retransmitted) {
        evidence_steer(&f->ev, now + 200, &packet, &verdict);
    }
    packet.length = 0;
    packet.acknowledged += 100;
    evidence_steer(&f->ev, now + latency_ms, &packet, &verdict);
}

/* A slow upstream must be recognized; loss and old responses must not count.
 */
static void
test_latency(const void *data)
{
    const struct latency_case *c = data;
    const struct upstream *one;
    uint64_t now = NOW;
    struct fixture f;

    fixture_open(&f, 2);
    one = upstream_by_id(&f.upstreams, 1);
    for (uint32_t i = 1; i <= 40; i++) {
        exchange(&f, now, 2, i, 20, false);
        now += 30;
    }
    for (uint32_t i = 1; i <= c->responses; i++) {
        exchange(&f, now, 1, i, c->latency_ms, c->retransmitted);
        now += c->latency_ms;
        /* Responses of upstream 2 keep the median unchanged. */
        for (uint32_t j = 1; j <= 3; j++) {
            exchange(&f, now, 2, 100 * i + j, 20, false);
        }
    }
    g_assert_cmpuint(evidence_slowness(&f.ev, now + c->later_ms, one), ==,
                     c->slowness);
    fixture_close(&f);
}

/* Long flows must be spread evenly over upstreams although each node counts
 * only its own. */
static void
test_spread_over_nodes(void)
{
    enum { NODES = 64, UPSTREAMS = 120, FLOWS = 14 };
    unsigned flows[UPSTREAMS + 1] = {0};

    for (uint32_t n = 0; n < NODES; n++) {
        struct fixture f;

        fixture_open(&f, UPSTREAMS);
        f.ev.rank = (uint32_t)(((uint64_t)n << 32) / NODES);
        for (unsigned caller = 1; caller <= FLOWS; caller++) {
            struct evidence_packet packet =
                fixture_packet((uint16_t)caller, true, 0, 0);
            struct evidence_verdict verdict;

            evidence_steer(&f.ev, NOW + 500U * caller, &packet, &verdict);
            flows[verdict.upstream->id]++;
        }
        fixture_close(&f);
    }
    for (unsigned id = 1; id <= UPSTREAMS; id++) {
        g_assert_cmpuint(flows[id], >=, NODES * FLOWS / UPSTREAMS - 1);
        g_assert_cmpuint(flows[id], <=, NODES * FLOWS / UPSTREAMS + 2);
    }
}

/* Flows that close before the next one opens must rotate over upstreams. */
static void
test_spread_short(void)
{
    enum { UPSTREAMS = 10, FLOWS = 100, EACH_MS = 100 };
    unsigned flows[UPSTREAMS + 1] = {0};
    struct fixture f;

    fixture_open(&f, UPSTREAMS);
    for (unsigned caller = 1; caller <= FLOWS; caller++) {
        uint64_t now = NOW + (uint64_t)EACH_MS * caller;
        struct evidence_packet packet =
            fixture_packet((uint16_t)caller, true, 0, 0);
        struct evidence_verdict verdict;

        evidence_steer(&f.ev, now, &packet, &verdict);
        flows[verdict.upstream->id]++;
        packet = fixture_packet((uint16_t)caller, false,
                                verdict.upstream->token, 9);
        packet.closing = true;
        evidence_steer(&f.ev, now + 10, &packet, &verdict);
        evidence_tick(&f.ev, now + 20);
    }
    for (unsigned id = 1; id <= UPSTREAMS; id++) {
        g_assert_cmpuint(flows[id], >=, FLOWS / UPSTREAMS / 2);
        g_assert_cmpuint(flows[id], <=, FLOWS / UPSTREAMS * 2);
    }
    fixture_close(&f);
}

/* New flows must be spread evenly and avoid a silent upstream. */
static void
test_spread(void)
{
    unsigned flows[5] = {0};
    struct evidence_packet packet;
    struct evidence_verdict verdict;
    struct fixture f;

    fixture_open(&f, 4);
    for (uint16_t caller = 1; caller <= 400; caller++) {
        packet = fixture_packet((uint16_t)caller, true, 0, 0);
        evidence_steer(&f.ev, NOW, &packet, &verdict);
        flows[verdict.upstream->id]++;
    }
    for (unsigned id = 1; id <= 4; id++) {
        g_assert_cmpuint(flows[id], ==, 100);
    }
    upstream_by_id(&f.upstreams, 3)->state = UPSTREAM_SILENT;
    for (uint16_t caller = 1001; caller <= 1030; caller++) {
        packet = fixture_packet((uint16_t)caller, true, 0, 0);
        evidence_steer(&f.ev, NOW, &packet, &verdict);
        g_assert_cmpuint(verdict.upstream->id, !=, 3);
    }
    fixture_close(&f);
}

static const struct mutation mutations[] = {
    {"least-work", FAULT_NO_LEAST_WORK, "/choose/open"},
    {"rank", FAULT_NO_RANK, "/choose/spread/over-nodes"},
    {"warmup-weight", FAULT_NO_WARMUP_WEIGHT, "/choose/warming-up"},
    {"latency", FAULT_NO_LATENCY, "/choose/latency/slow"},
    {"silent-last", FAULT_SILENT_EQUAL, "/choose/silent"},
};

int
main(int argc, char **argv)
{
    char path[128];

    mutation_init();
    g_test_init(&argc, &argv, NULL);
    CASES_ADD("/choose/", chooses, test_choose)
    CASES_ADD("/choose/latency/", latencies, test_latency)
    g_test_add_func("/choose/spread/over-nodes", test_spread_over_nodes);
    g_test_add_func("/choose/spread/short-flows", test_spread_short);
    g_test_add_func("/choose/spread/one-node", test_spread);
    CASES_ADD("/choose/mutation/", mutations, mutation_test)
    return g_test_run();
}
