/*
 * The choice of an upstream for a new flow: each of its rules, the times that
 * it rests on, and how flows spread. Tables of cases.
 */
#include <glib.h>

#include "cases.h"
#include "evidence-internal.h"
#include "fixture.h"
#include "mutation.h"

#define USUAL_US 20000U /* time of an answer */

/* What a node knows of an upstream when it chooses. */
struct known {
    uint32_t busy;  /* flows that await an answer */
    uint32_t open;  /* flows that are open */
    uint32_t slots; /* 0: two */
    uint32_t took;  /* tenths of the usual time, 0: not known */
    char state;     /* r: ready, s: silent, l: leaving, ?: suspected,
                       c: cold */
};

/* A choice between two: first is the one from the node's place on. */
struct choose_case {
    const char *name;
    struct known first;
    struct known second;
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
    {"cold", {.state = 'c'}, {.state = 'r'}, 2},
    {"cold-but-idle", {.state = 'c'}, {.busy = 1, .open = 1, .state = 'r'}, 1},
    {"slow", {.took = 30, .state = 'r'}, {.state = 'r'}, 2},
    {"a-little-slower", {.took = 19, .state = 'r'}, {.state = 'r'}, 1},
    {"slow-but-the-other-has-more",
     {.took = 30, .state = 'r'},
     {.busy = 3, .open = 3, .state = 'r'},
     1},
    {"slow-beyond-measure-but-the-other-has-more",
     {.took = 900, .state = 'r'},
     {.busy = 8, .open = 8, .state = 'r'},
     1},
    {"slow-or-suspected",
     {.took = 30, .busy = 2, .open = 2, .state = 'r'},
     {.state = '?'},
     1},
    {"suspected", {.state = '?'}, {.busy = 9, .open = 9, .state = 'r'}, 2},
    {"silent-or-suspected", {.state = 's'}, {.state = '?'}, 2},
    {"silent", {.state = 's'}, {.busy = 9, .open = 9, .state = 'r'}, 2},
    {"silent-or-slow",
     {.state = 's'},
     {.took = 90, .busy = 9, .open = 9, .state = 'r'},
     2},
    {"both-silent", {.open = 1, .state = 's'}, {.state = 's'}, 2},
    {"leaving", {.state = 'l'}, {.busy = 9, .open = 9, .state = 'r'}, 2},
    {"leaving-or-silent", {.state = 'l'}, {.state = 's'}, 2},
    {"both-leaving", {.state = 'l'}, {.state = 'l'}, 0},
};

/* Gives an upstream what is known of it. */
static void
set_known(struct upstream *u, const struct known *known)
{
    u->busy = known->busy;
    u->open = known->open;
    u->slots = known->slots != 0 ? known->slots : 2;
    u->state = known->state == 's'   ? UPSTREAM_SILENT
               : known->state == 'l' ? UPSTREAM_LEAVING
                                     : UPSTREAM_READY;
    u->latency_us = known->took * USUAL_US / 10;
    u->latency_until = known->took != 0 ? NOW + 1 : 0;
    u->suspect_until = known->state == '?' ? NOW + 1 : 0;
    u->warmup_until = known->state == 'c' ? NOW + 1 : 0;
}

/* Makes one choice. */
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
    g_array_index(f.ev.median_us, uint32_t, 0) = USUAL_US;
    first = g_ptr_array_index(f.upstreams.all, 0);
    set_known(first, &c->first);
    set_known(g_ptr_array_index(f.upstreams.all, 1), &c->second);
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

/* Answers of upstream 1, after upstream 2 gave forty in 20 ms each. */
struct took_case {
    const char *name;
    unsigned answers;  /* of upstream 1 */
    uint64_t took_ms;  /* each */
    bool copies;       /* the data was sent twice */
    uint64_t later_ms; /* since the last */
    uint32_t slowness; /* that is believed then */
};

static const struct took_case tooks[] = {
    {"never-answered", 0, 0, false, 0, 1},
    {"as-usual", 10, 20, false, 0, 1},
    {"once-slow", 1, 100, false, 0, 5},
    {"slow", 10, 100, false, 0, 4},
    {"slow-long-ago", 10, 100, false, 10001, 1},
    {"slow-since-packets-were-lost", 10, 300, true, 0, 1},
    {"a-third-slower", 10, 27, false, 0, 1},
    {"faster", 10, 5, false, 0, 1},
    {"slow-beyond-measure", 10, 2000, false, 0, 8},
};

/* Sends data on a flow and lets it be answered. */
static void
play_answer(struct fixture *f, uint64_t now, uint64_t id, uint32_t number,
            uint64_t took_ms, bool copied)
{
    struct evidence_packet packet =
        fixture_packet((uint16_t)id, false, upstream_token(id), 100 * number);
    struct evidence_verdict verdict;

    packet.sequence = number;
    packet.length = 200;
    evidence_steer(&f->ev, now, &packet, &verdict);
    if (copied) {
        evidence_steer(&f->ev, now + 200, &packet, &verdict);
    }
    packet.length = 0;
    packet.acknowledged += 100;
    evidence_steer(&f->ev, now + took_ms, &packet, &verdict);
}

/* Plays one case. */
static void
test_took(const void *data)
{
    const struct took_case *c = data;
    const struct upstream *one;
    uint64_t now = NOW;
    struct fixture f;

    fixture_open(&f, 2);
    one = upstream_by_id(&f.upstreams, 1);
    for (uint32_t i = 1; i <= 40; i++) {
        play_answer(&f, now, 2, i, 20, false);
        now += 30;
    }
    for (uint32_t i = 1; i <= c->answers; i++) {
        play_answer(&f, now, 1, i, c->took_ms, c->copies);
        now += c->took_ms;
        /* The others go on, so that what is usual stays so. */
        for (uint32_t j = 1; j <= 3; j++) {
            play_answer(&f, now, 2, 100 * i + j, 20, false);
        }
    }
    g_assert_cmpuint(evidence_slowness(&f.ev, now + c->later_ms, one), ==,
                     c->slowness);
    fixture_close(&f);
}

/* Flows that stay open, of nodes that see only their own: together they are
 * spread evenly. */
static void
test_spread_together(void)
{
    enum { NODES = 64, UPSTREAMS = 120, FLOWS = 14 };
    unsigned got[UPSTREAMS + 1] = {0};

    for (uint32_t n = 0; n < NODES; n++) {
        struct fixture f;

        fixture_open(&f, UPSTREAMS);
        f.ev.rank = (uint32_t)(((uint64_t)n << 32) / NODES);
        for (unsigned caller = 1; caller <= FLOWS; caller++) {
            struct evidence_packet packet =
                fixture_packet((uint16_t)caller, true, 0, 0);
            struct evidence_verdict verdict;

            evidence_steer(&f.ev, NOW + 500U * caller, &packet, &verdict);
            got[verdict.upstream->id]++;
        }
        fixture_close(&f);
    }
    for (unsigned id = 1; id <= UPSTREAMS; id++) {
        g_assert_cmpuint(got[id], >=, NODES * FLOWS / UPSTREAMS - 1);
        g_assert_cmpuint(got[id], <=, NODES * FLOWS / UPSTREAMS + 2);
    }
}

/* Flows that end before the next begins go round, not always to the first. */
static void
test_spread_short(void)
{
    enum { UPSTREAMS = 10, FLOWS = 100, EACH_MS = 100 };
    unsigned got[UPSTREAMS + 1] = {0};
    struct fixture f;

    fixture_open(&f, UPSTREAMS);
    for (unsigned caller = 1; caller <= FLOWS; caller++) {
        uint64_t now = NOW + (uint64_t)EACH_MS * caller;
        struct evidence_packet packet =
            fixture_packet((uint16_t)caller, true, 0, 0);
        struct evidence_verdict verdict;

        evidence_steer(&f.ev, now, &packet, &verdict);
        got[verdict.upstream->id]++;
        packet = fixture_packet((uint16_t)caller, false,
                                verdict.upstream->token, 9);
        packet.closing = true;
        evidence_steer(&f.ev, now + 10, &packet, &verdict);
        evidence_tick(&f.ev, now + 20);
    }
    for (unsigned id = 1; id <= UPSTREAMS; id++) {
        g_assert_cmpuint(got[id], >=, FLOWS / UPSTREAMS / 2);
        g_assert_cmpuint(got[id], <=, FLOWS / UPSTREAMS * 2);
    }
    fixture_close(&f);
}

/* New flows spread over upstreams, and away from a silent one. */
static void
test_spread(void)
{
    unsigned got[5] = {0};
    struct evidence_packet packet;
    struct evidence_verdict verdict;
    struct fixture f;

    fixture_open(&f, 4);
    for (uint16_t caller = 1; caller <= 400; caller++) {
        packet = fixture_packet((uint16_t)caller, true, 0, 0);
        evidence_steer(&f.ev, NOW, &packet, &verdict);
        got[verdict.upstream->id]++;
    }
    for (unsigned id = 1; id <= 4; id++) {
        g_assert_cmpuint(got[id], ==, 100);
    }
    upstream_by_id(&f.upstreams, 3)->state = UPSTREAM_SILENT;
    for (uint16_t caller = 1001; caller <= 1030; caller++) {
        packet = fixture_packet((uint16_t)caller, true, 0, 0);
        evidence_steer(&f.ev, NOW, &packet, &verdict);
        g_assert_cmpuint(verdict.upstream->id, !=, 3);
    }
    fixture_close(&f);
}

/* What is left out, and a test above that must fail then. */
static const struct mutation mutations[] = {
    {"least-work", FAULT_NO_LEAST_WORK, "/choose/open"},
    {"place", FAULT_NO_RANK, "/choose/spread/together"},
    {"cold", FAULT_NO_WARMUP_WEIGHT, "/choose/cold"},
    {"took", FAULT_NO_LATENCY, "/choose/took/slow"},
    {"silent-last", FAULT_SILENT_EQUAL, "/choose/silent"},
};

/* Lists the tests. */
int
main(int argc, char **argv)
{
    char path[128];

    mutation_begin();
    g_test_init(&argc, &argv, NULL);
    CASES_ADD("/choose/", chooses, test_choose)
    CASES_ADD("/choose/took/", tooks, test_took)
    g_test_add_func("/choose/spread/together", test_spread_together);
    g_test_add_func("/choose/spread/short", test_spread_short);
    g_test_add_func("/choose/spread/one-node", test_spread);
    CASES_ADD("/choose/mutation/", mutations, mutation_test)
    return g_test_run();
}
