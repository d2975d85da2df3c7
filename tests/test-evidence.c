/*
 * Steering by evidence, the inventory's merge rules, and decisions that are
 * recomputed. Tables of cases.
 */
#include <glib.h>
#include <string.h>

#include "cases.h"
#include "evidence-verify.h"
#include "fault.h"
#include "evidence-internal.h"
#include "hash.h"

#define NOW 1000000
#define INTERVAL_MS 770
#define ROUTE_ADDRESS 0xc6120001U
#define ROUTE_PORT 443
#define USUAL_US 20000U /* time of an answer */
#define SELF 0x0a010010U

/* An entry with a table and upstreams 1 to 4 of "feed". */
struct fixture {
    struct counters counters;
    struct upstream_set upstreams;
    struct evidence ev;
};

/* Registers an upstream. */
static void
reg(struct fixture *f, uint64_t now, uint64_t id, uint64_t sequence,
    bool leaving)
{
    struct upstream_registration r = {.id = id,
                                      .service = "feed",
                                      .hall = "hall",
                                      .address = 0x0a800000U + (uint32_t)id,
                                      .port = 8080,
                                      .slots = 2,
                                      .leaving = leaving,
                                      .sequence = sequence};

    upstream_register(&f->upstreams, now, &r);
}

/* A table of one version with one route to "feed". */
static struct route_table *
table_of(uint64_t version, uint16_t port)
{
    struct route_table *table = route_new();
    struct route route = {.name = "r",
                          .address = ROUTE_ADDRESS,
                          .port = port,
                          .target_count = 1};

    route.targets = g_new0(struct route_target, 1);
    g_strlcpy(route.targets[0].service, "feed", ROUTE_NAME_MAX);
    route.targets[0].weight = 1;
    g_assert_true(route_add(table, &route));
    table->version = version;
    return table;
}

/* Makes an entry. */
static void
set_up(struct fixture *f, unsigned upstreams)
{
    memset(f, 0, sizeof(*f));
    upstream_open(&f->upstreams, SELF, INTERVAL_MS);
    evidence_open(&f->ev, &f->upstreams, &f->counters, 60000);
    f->ev.settled = true;
    for (unsigned id = 1; id <= upstreams; id++) {
        reg(f, NOW, id, 1, false);
    }
    g_assert_true(evidence_apply(&f->ev, table_of(1, ROUTE_PORT)));
}

/* Frees it. */
static void
tear_down(struct fixture *f)
{
    evidence_close(&f->ev);
    upstream_close(&f->upstreams);
}

/* A packet of caller N. */
static struct evidence_packet
packet_of(uint16_t caller, bool first, uint32_t token, uint32_t acknowledged)
{
    return (struct evidence_packet){.source = 0x64400001,
                                    .source_port = caller,
                                    .destination = ROUTE_ADDRESS,
                                    .destination_port = ROUTE_PORT,
                                    .first = first,
                                    .token = token,
                                    .acknowledged = acknowledged};
}

/* What becomes of one packet. */
struct steer_case {
    const char *name;
    bool first;
    bool reset;
    uint64_t named; /* upstream that the token names, 0: none */
    uint16_t port;  /* of the route */
    char
        before; /* l: 1 leaves, L: and is unheard then, s: 1 is silent, g: 1
                   has gone, u: a reused address, d: route dropped, n: no
                   upstream, x: nothing settled and no upstream, t: no table */
    enum evidence_action action;
    enum ring_rule rule;
};

static const struct steer_case steers[] = {
    {"first", true, false, 0, ROUTE_PORT, '-', EVIDENCE_FORWARD,
     RULE_LEAST_WORK},
    {"named", false, false, 1, ROUTE_PORT, '-', EVIDENCE_FORWARD,
     RULE_EVIDENCE},
    {"named-leaving", false, false, 1, ROUTE_PORT, 'l', EVIDENCE_FORWARD,
     RULE_EVIDENCE},
    {"named-silent", false, false, 1, ROUTE_PORT, 's', EVIDENCE_FORWARD,
     RULE_EVIDENCE},
    {"named-gone", false, false, 1, ROUTE_PORT, 'g', EVIDENCE_REFUSE,
     RULE_UPSTREAM_GONE},
    {"reset-to-gone", false, true, 1, ROUTE_PORT, 'g', EVIDENCE_DROP,
     RULE_UPSTREAM_GONE},
    {"named-reused-address", false, false, 1, ROUTE_PORT, 'u',
     EVIDENCE_FORWARD, RULE_EVIDENCE},
    {"nothing-named", false, false, 0, ROUTE_PORT, '-', EVIDENCE_DROP,
     RULE_NO_EVIDENCE},
    {"unknown-named", false, false, 99, ROUTE_PORT, '-', EVIDENCE_DROP,
     RULE_UNKNOWN_EVIDENCE},
    {"unknown-named-before-the-inventory", false, false, 99, ROUTE_PORT, 'x',
     EVIDENCE_HOLD, RULE_UNKNOWN_EVIDENCE},
    {"first-no-route", true, false, 0, 9, '-', EVIDENCE_REFUSE, RULE_NO_ROUTE},
    {"open-flow-of-a-route-not-known-yet", false, false, 1, 9, '-',
     EVIDENCE_FORWARD, RULE_EVIDENCE},
    {"open-flow-of-a-dropped-route", false, false, 1, ROUTE_PORT, 'd',
     EVIDENCE_REFUSE, RULE_ROUTE_DROPPED},
    {"first-of-a-dropped-route", true, false, 0, ROUTE_PORT, 'd',
     EVIDENCE_REFUSE, RULE_NO_ROUTE},
    {"first-no-upstream", true, false, 0, ROUTE_PORT, 'n', EVIDENCE_REFUSE,
     RULE_NO_UPSTREAM},
    {"first-all-silent", true, false, 0, ROUTE_PORT, 's', EVIDENCE_FORWARD,
     RULE_LEAST_WORK},
    {"first-all-leaving", true, false, 0, ROUTE_PORT, 'l', EVIDENCE_REFUSE,
     RULE_NO_UPSTREAM},
    {"first-all-leaving-and-unheard", true, false, 0, ROUTE_PORT, 'L',
     EVIDENCE_REFUSE, RULE_NO_UPSTREAM},
    {"first-before-the-inventory", true, false, 0, ROUTE_PORT, 'x',
     EVIDENCE_HOLD, RULE_NO_UPSTREAM},
    {"first-before-the-table", true, false, 0, ROUTE_PORT, 't', EVIDENCE_HOLD,
     RULE_NO_TABLE},
};

/* Brings an entry into the state of a case. */
static void
prepare(struct fixture *f, char before)
{
    set_up(f, before == 'n' || before == 'x' ? 0 : 1);
    switch (before) {
    case 'l':
        reg(f, NOW, 1, 2, true);
        return;
    case 'L':
        reg(f, NOW, 1, 2, true);
        upstream_tick(&f->upstreams, NOW + 10 * INTERVAL_MS);
        return;
    case 's':
        upstream_tick(&f->upstreams, NOW + 10 * INTERVAL_MS);
        return;
    case 'g':
        upstream_deregister(&f->upstreams, NOW, 1);
        return;
    case 'u':
        reg(f, NOW, 2, 1, false);
        upstream_by_id(&f->upstreams, 2)->address =
            upstream_by_id(&f->upstreams, 1)->address;
        return;
    case 'd':
        g_assert_true(evidence_apply(&f->ev, table_of(2, 9)));
        return;
    case 'x':
        f->ev.settled = false;
        return;
    case 't':
        evidence_close(&f->ev);
        evidence_open(&f->ev, &f->upstreams, &f->counters, 60000);
        return;
    default:
        return;
    }
}

/* Steers one packet. */
static void
test_steer(const void *data)
{
    const struct steer_case *c = data;
    uint32_t token = c->named != 0 ? upstream_token(c->named) : 0;
    struct evidence_packet packet = packet_of(7, c->first, token, 0);
    struct evidence_verdict verdict;
    struct fixture f;

    prepare(&f, c->before);
    packet.destination_port = c->port;
    packet.reset = c->reset;
    evidence_steer(&f.ev, NOW, &packet, &verdict);
    g_assert_cmpstr(ring_rule_name(verdict.rule), ==, ring_rule_name(c->rule));
    g_assert_cmpint(verdict.action, ==, c->action);
    if (c->action == EVIDENCE_FORWARD) {
        g_assert_cmpuint(verdict.upstream->id, ==, 1);
    }
    tear_down(&f);
}

/* Copies of a first packet, as they are sent after 200 and 600 ms. */
struct copy_case {
    const char *name;
    uint32_t copies;
    uint64_t after_ms; /* since the first one */
    bool answered;     /* the upstream answered the first one */
    bool leaves;       /* it says that it leaves before the copy comes */
    bool alive;        /* another flow got an answer of it lately */
    bool same;         /* the copy goes where the first went */
};

static const struct copy_case copies[] = {
    {"first-copy", 1, 200, false, false, false, false},
    {"first-copy-to-one-alive", 1, 200, false, false, true, true},
    {"second-copy", 2, 600, false, false, false, false},
    {"second-copy-to-one-alive", 2, 600, false, false, true, false},
    {"second-copy-after-an-answer", 2, 600, true, false, false, true},
    {"first-copy-when-it-leaves", 1, 200, false, true, true, false},
    {"first-copy-that-was-held-up", 1, 0, false, false, false, true},
    {"second-copy-that-was-held-up", 2, 10, false, false, false, true},
};

/* Sends a first packet and a copy of it. */
static void
test_copy(const void *data)
{
    const struct copy_case *c = data;
    struct evidence_packet packet = packet_of(7, true, 0, 0);
    struct evidence_verdict verdict;
    struct fixture f;
    uint64_t first;

    set_up(&f, 4);
    evidence_steer(&f.ev, NOW, &packet, &verdict);
    first = verdict.upstream->id;
    if (c->answered) {
        struct evidence_packet next =
            packet_of(7, false, verdict.upstream->token, 5);

        evidence_steer(&f.ev, NOW, &next, &verdict);
    }
    if (c->leaves) {
        reg(&f, NOW, first, 2, true);
    }
    if (c->alive) {
        struct evidence_packet other =
            packet_of(8, false, upstream_token(first), 5);

        evidence_steer(&f.ev, NOW, &other, &verdict);
    }
    packet.acknowledged = c->copies;
    evidence_steer(&f.ev, NOW + c->after_ms, &packet, &verdict);
    g_assert_cmpint(verdict.action, ==, EVIDENCE_FORWARD);
    g_assert_cmpint(verdict.upstream->id == first, ==, c->same);
    tear_down(&f);
}

/* What becomes of data that gets no answer. Each step is a letter and the time
 * since the start, in 10 ms:
 *   a b   the caller of that flow sends its data (again); both flows are at
 *         upstream 1
 *   A B   that caller acknowledges more bytes: upstream 1 answered it
 *   o     a flow at upstream 2 sends data; O it gets an answer
 *   s     upstream 1 is silent, says another node
 *   S     upstream 1 is silent, by what this node heard itself
 *   r     upstream 1 registers again
 *   z     this entry stood still
 *   f     the first flow's caller gives up
 *   x     the caller of flow a resets it
 * `lost` names the steps whose packet is answered by a reset. */
struct lost_case {
    const char *name;
    const char *steps;
    const char *lost;
};

static const struct lost_case losts[] = {
    {"proved-twice", "a0 s5 o10 O15 a20 o30 O35 a60", "a60"},
    {"proved-once", "a0 s5 o10 O15 a20", ""},
    {"silent-late", "a0 o10 O15 a20 o30 O35 s40 a60", "a60"},
    {"ready-however-often", "a0 o10 O15 a20 o30 O35 a60 o70 O75 a140", ""},
    {"ready-however-many",
     "a0 b1 o10 O15 a20 b21 o30 O35 a60 b61 o70 O75 a140 b141", ""},
    {"silent-here-alone", "a0 S5 o10 O15 a20 o30 O35 a60", ""},
    {"silent-but-answering", "a0 s5 o10 O15 A18 a20 o30 O35 a60", ""},
    {"then-the-other-flow-too", "a0 b1 s5 o10 O15 a20 b21 o30 O35 a60 b61",
     "a60 b61"},
    {"another-flow-is-answered", "a0 b1 s5 o10 O15 B16 a20 o30 O35 a60", ""},
    {"answered-before-and-then-dead", "a0 A3 b4 s5 o10 O15 b24 o30 O35 b64",
     "b64"},
    {"nothing-sent-later-was-answered", "o0 a1 s5 O15 a21 a61 a141", ""},
    {"not-proved-twice-in-a-row", "a0 s5 o10 O15 a20 a60 o70 O75 a140", ""},
    {"links-that-came-back", "a0 s5 a20 a60 o100 O105 a140", ""},
    {"links-that-came-back-long-ago",
     "a0 s5 a20 a60 o100 O105 a140 o200 O205 a300", "a300"},
    {"nobody-else-is-there", "a0 s5 a20 a60 a140", ""},
    {"copies-that-were-held-up", "a0 s5 o10 O15 a20 o21 O22 a22 a23", ""},
    {"stood-still", "a0 s5 z6 o10 O15 a20 o30 O35 a60", ""},
    {"stood-still-long-ago", "z0 a400 s405 o410 O415 a420 o430 O435 a460",
     "a460"},
    {"callers-own-reset", "a0 s5 o10 O15 a20 o30 O35 x60", ""},
    {"an-end-is-no-life", "f0 b1 s5 o10 O15 b21 o30 O35 b61", "b61"},
    {"registers-again", "a0 s5 r8 o10 O15 a20 o30 O35 a60", ""},
};

/* Plays a step that is no packet; says whether it was one. */
static bool
play_event(struct fixture *f, uint64_t now, char letter)
{
    switch (letter) {
    case 's':
        upstream_by_id(&f->upstreams, 1)->keeper = SELF + 1;
        upstream_by_id(&f->upstreams, 1)->state = UPSTREAM_SILENT;
        return true;
    case 'S':
        upstream_by_id(&f->upstreams, 1)->state = UPSTREAM_SILENT;
        return true;
    case 'r':
        reg(f, now, 1, 2, false);
        return true;
    case 'z':
        evidence_distrust(&f->ev, now);
        return true;
    default:
        return false;
    }
}

/* The packet of a step. */
static struct evidence_packet
packet_of_step(char letter, uint32_t *acknowledged)
{
    char flow = g_ascii_tolower(letter);
    struct evidence_packet packet;

    if (letter == 'x') {
        packet = packet_of('a', false, upstream_token(1), acknowledged['a']);
        packet.closing = true;
        packet.reset = true;
        return packet;
    }
    acknowledged[(int)flow] += letter != flow ? 100 : 0;
    packet =
        packet_of((uint16_t)flow, false, upstream_token(flow == 'o' ? 2 : 1),
                  acknowledged[(int)flow]);
    packet.length = letter == flow && letter != 'f' ? 200 : 0;
    packet.closing = letter == 'f';
    packet.sequence = 1;
    return packet;
}

/* What is told of upstream 1 to the node that hears it. Steps as above; `told`
 * names those after which it is doubted, with a dash those after which it is
 * said to have answered after all. */
struct doubt_case {
    const char *name;
    const char *steps;
    const char *told;
};

static const struct doubt_case doubts[] = {
    {"proved", "a0 o10 O15 a20", "a20"},
    {"not-proved", "a0 o1 a20", ""},
    {"proved-again", "a0 o10 O15 a20 o30 O35 a60", "a20 a60"},
    {"two-flows-at-once", "a0 b1 o10 O15 a20 b21", "a20"},
    {"two-flows-a-while-apart", "a0 b1 o10 O15 a20 b41", "a20 b41"},
    {"answered-after-all", "a0 o10 O15 a20 A22", "a20 -A22"},
    {"answered-twice", "a0 o10 O15 a20 A22 A23", "a20 -A22"},
    {"answered-meanwhile", "a0 b1 o10 O15 B16 a20", ""},
    {"silent-already", "a0 s5 o10 O15 a20", ""},
    {"stood-still", "a0 z5 o10 O15 a20", ""},
    {"stood-still-long-ago", "z0 a200 o210 O215 a220", "a220"},
};

/* Plays the steps of one case. */
static void
test_doubt(const void *data)
{
    const struct doubt_case *c = data;
    gchar **steps = g_strsplit(c->steps, " ", -1);
    GString *told = g_string_new("");
    uint32_t acknowledged[256] = {0};
    struct fixture f;
    GArray *list;

    set_up(&f, 2);
    list = f.upstreams.doubted;
    /* Upstreams that answer: one of many in doubt is not this node's link. */
    for (uint64_t id = 3; id <= 8; id++) {
        reg(&f, NOW, id, 1, false);
    }
    for (gchar **at = steps; *at != NULL; at++) {
        uint64_t now = NOW + 10 * g_ascii_strtoull(*at + 1, NULL, 10);

        for (uint64_t id = 3; id <= 8; id++) {
            upstream_by_id(&f.upstreams, id)->alive_at = now;
        }
        if (!play_event(&f, now, (*at)[0])) {
            struct evidence_packet packet =
                packet_of_step((*at)[0], acknowledged);
            struct evidence_verdict verdict;

            evidence_steer(&f.ev, now, &packet, &verdict);
        }
        for (guint i = 0; i < list->len; i++) {
            const struct upstream_doubt *d =
                &g_array_index(list, struct upstream_doubt, i);

            g_assert_cmpuint(d->id, ==, 1);
            g_string_append_printf(told, "%s%s%s", told->len ? " " : "",
                                   d->quiet_ms == 0 ? "-" : "", *at);
        }
        g_array_set_size(list, 0);
    }
    g_assert_cmpstr(told->str, ==, c->told);
    g_string_free(told, TRUE);
    g_strfreev(steps);
    tear_down(&f);
}

/* A node that lacks answers of many upstreams at once doubts itself. */
static void
test_doubt_itself(void)
{
    struct fixture f;
    guint told = 0;

    set_up(&f, 12);
    for (uint64_t id = 2; id <= 12; id++) {
        uint64_t now = NOW + 200 + id;
        struct evidence_packet packet =
            packet_of((uint16_t)id, false, upstream_token(id), 0);
        struct evidence_verdict verdict;

        packet.sequence = 1;
        packet.length = 200;
        evidence_steer(&f.ev, NOW + 10, &packet, &verdict);
        f.ev.answered_sent_at = NOW + 100;
        upstream_by_id(&f.upstreams, 1)->alive_at = now;
        evidence_steer(&f.ev, now, &packet, &verdict);
        told = f.upstreams.doubted->len;
    }
    g_assert_cmpuint(told, ==, 0);
    tear_down(&f);
}

/* Plays the steps of one case. */
static void
test_lost(const void *data)
{
    const struct lost_case *c = data;
    gchar **steps = g_strsplit(c->steps, " ", -1);
    GString *lost = g_string_new("");
    uint32_t acknowledged[256] = {0}; /* by the letter of the flow */
    struct fixture f;

    set_up(&f, 2);
    for (gchar **at = steps; *at != NULL; at++) {
        char letter = (*at)[0];
        uint64_t now = NOW + 10 * g_ascii_strtoull(*at + 1, NULL, 10);
        struct evidence_packet packet;
        struct evidence_verdict verdict;

        if (play_event(&f, now, letter)) {
            continue;
        }
        packet = packet_of_step(letter, acknowledged);
        evidence_steer(&f.ev, now, &packet, &verdict);
        if (verdict.action == EVIDENCE_REFUSE) {
            g_assert_cmpint(verdict.rule, ==, RULE_UPSTREAM_LOST);
            g_assert_cmpuint(verdict.upstream->id, ==, 1);
            g_string_append_printf(lost, "%s%s", lost->len ? " " : "", *at);
        }
    }
    g_assert_cmpstr(lost->str, ==, c->lost);
    g_string_free(lost, TRUE);
    g_strfreev(steps);
    tear_down(&f);
}

/* What a node knows of an upstream when it chooses. */
struct known {
    uint32_t busy;  /* flows that await an answer */
    uint32_t open;  /* flows that are open */
    uint32_t slots; /* 0: two */
    uint32_t took;  /* tenths of the usual time, 0: not known */
    char state;     /* r: ready, s: silent, l: leaving, c: cold */
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
    u->took_us = known->took * USUAL_US / 10;
    u->took_until = known->took != 0 ? NOW + 1 : 0;
    u->warm_at = known->state == 'c' ? NOW + 1 : 0;
}

/* Makes one choice. */
static void
test_choose(const void *data)
{
    const struct choose_case *c = data;
    struct evidence_packet packet = packet_of(7, true, 0, 0);
    struct evidence_verdict verdict;
    struct fixture f;
    struct upstream *first;

    set_up(&f, 2);
    g_array_set_size(f.ev.usual_us, 1);
    g_array_index(f.ev.usual_us, uint32_t, 0) = USUAL_US;
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
    tear_down(&f);
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
        packet_of((uint16_t)id, false, upstream_token(id), 100 * number);
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

    set_up(&f, 2);
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
    tear_down(&f);
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

        set_up(&f, UPSTREAMS);
        f.ev.place = (uint32_t)(((uint64_t)n << 32) / NODES);
        for (uint16_t caller = 1; caller <= FLOWS; caller++) {
            struct evidence_packet packet = packet_of(caller, true, 0, 0);
            struct evidence_verdict verdict;

            evidence_steer(&f.ev, NOW + 500U * caller, &packet, &verdict);
            got[verdict.upstream->id]++;
        }
        tear_down(&f);
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

    set_up(&f, UPSTREAMS);
    for (uint16_t caller = 1; caller <= FLOWS; caller++) {
        uint64_t now = NOW + (uint64_t)EACH_MS * caller;
        struct evidence_packet packet = packet_of(caller, true, 0, 0);
        struct evidence_verdict verdict;

        evidence_steer(&f.ev, now, &packet, &verdict);
        got[verdict.upstream->id]++;
        packet = packet_of(caller, false, verdict.upstream->token, 9);
        packet.closing = true;
        evidence_steer(&f.ev, now + 10, &packet, &verdict);
        evidence_tick(&f.ev, now + 20);
    }
    for (unsigned id = 1; id <= UPSTREAMS; id++) {
        g_assert_cmpuint(got[id], >=, FLOWS / UPSTREAMS / 2);
        g_assert_cmpuint(got[id], <=, FLOWS / UPSTREAMS * 2);
    }
    tear_down(&f);
}

/* New flows spread over upstreams, and away from a silent one. */
static void
test_spread(void)
{
    unsigned got[5] = {0};
    struct evidence_packet packet;
    struct evidence_verdict verdict;
    struct fixture f;

    set_up(&f, 4);
    for (uint16_t caller = 1; caller <= 400; caller++) {
        packet = packet_of(caller, true, 0, 0);
        evidence_steer(&f.ev, NOW, &packet, &verdict);
        got[verdict.upstream->id]++;
    }
    for (unsigned id = 1; id <= 4; id++) {
        g_assert_cmpuint(got[id], ==, 100);
    }
    upstream_by_id(&f.upstreams, 3)->state = UPSTREAM_SILENT;
    for (uint16_t caller = 1001; caller <= 1030; caller++) {
        packet = packet_of(caller, true, 0, 0);
        evidence_steer(&f.ev, NOW, &packet, &verdict);
        g_assert_cmpuint(verdict.upstream->id, !=, 3);
    }
    tear_down(&f);
}

/* Records of one incarnation, in both orders of arrival. */
struct merge_case {
    const char *name;
    uint64_t sequence[2];
    uint32_t state[2];
    enum upstream_state state_after;
};

static const struct merge_case merges[] = {
    {"later-wins",
     {4, 5},
     {UPSTREAM_READY, UPSTREAM_LEAVING},
     UPSTREAM_LEAVING},
    {"late-one-loses",
     {5, 4},
     {UPSTREAM_READY, UPSTREAM_LEAVING},
     UPSTREAM_READY},
    {"silent-at-the-same",
     {4, 4},
     {UPSTREAM_READY, UPSTREAM_SILENT},
     UPSTREAM_SILENT},
    {"heard-again", {4, 5}, {UPSTREAM_SILENT, UPSTREAM_READY}, UPSTREAM_READY},
    {"gone-for-good", {4, 9}, {UPSTREAM_GONE, UPSTREAM_READY}, UPSTREAM_GONE},
};

/* Merges the records of a case in one order. */
static enum upstream_state
merge_in_order(const struct merge_case *c, int first)
{
    struct upstream_set set;
    enum upstream_state state;

    upstream_open(&set, SELF, INTERVAL_MS);
    for (int i = 0; i < 2; i++) {
        int n = (first + i) % 2;
        wire_upstream record = {.id = 7,
                                .sequence = c->sequence[n],
                                .state = c->state[n],
                                .slots = 1,
                                .keeper = 9,
                                .service = "feed",
                                .hall = "hall"};

        (void)upstream_merge(&set, NOW, &record);
    }
    state = upstream_by_id(&set, 7)->state;
    upstream_close(&set);
    return state;
}

/* The order of arrival makes no difference. */
static void
test_merge(const void *data)
{
    const struct merge_case *c = data;

    g_assert_cmpint(merge_in_order(c, 0), ==, c->state_after);
    g_assert_cmpint(merge_in_order(c, 1), ==, c->state_after);
}

/* Registrations of two incarnations at one address: 1 began there first, was
 * heard up to `known`, and 2 registers there when 1 has crashed. Then one of
 * them registers once more. */
struct address_case {
    const char *name;
    uint64_t known;          /* last sequence of 1, 0: never heard of */
    uint64_t second;         /* sequence of the first registration of 2 */
    uint64_t after_ms;       /* of that, since the last of 1 */
    uint64_t id;             /* who registers once more */
    uint64_t sequence;       /* then */
    bool leaving;            /* then */
    enum upstream_state one; /* believed at the end; GONE: not known */
    enum upstream_state two;
};

static const struct address_case addresses[] = {
    {"new-one-replaces", 20, 1, 2500, 2, 2, false, UPSTREAM_SILENT,
     UPSTREAM_READY},
    {"late-word-of-the-old", 20, 1, 2500, 1, 21, false, UPSTREAM_SILENT,
     UPSTREAM_READY},
    {"late-word-of-an-old-one-never-heard", 0, 1, 2500, 1, 21, false,
     UPSTREAM_GONE, UPSTREAM_READY},
    {"late-word-that-it-leaves", 20, 1, 2500, 1, 21, true, UPSTREAM_LEAVING,
     UPSTREAM_READY},
    {"before-the-old-is-silent", 20, 1, 100, 2, 2, false, UPSTREAM_SILENT,
     UPSTREAM_READY},
    {"before-the-old-is-silent-and-late-word", 20, 1, 100, 1, 21, false,
     UPSTREAM_SILENT, UPSTREAM_READY},
    {"old-one-began-lately-too", 1, 1, 2500, 1, 2, false, UPSTREAM_SILENT,
     UPSTREAM_READY},
    {"first-word-of-the-new-was-lost", 20, 3, 2500, 1, 21, false,
     UPSTREAM_SILENT, UPSTREAM_READY},
};

/* Registers an upstream at the address that all of them share. */
static void
register_there(struct upstream_set *set, uint64_t now, uint64_t id,
               uint64_t sequence, bool leaving)
{
    struct upstream_registration r = {.id = id,
                                      .service = "feed",
                                      .hall = "hall",
                                      .address = 0x0a800001U,
                                      .port = 8080,
                                      .slots = 2,
                                      .leaving = leaving,
                                      .sequence = sequence};

    upstream_tick(set, now);
    upstream_register(set, now, &r);
}

/* What is believed, GONE for what is not known. */
static enum upstream_state
state_of(const struct upstream_set *set, uint64_t id)
{
    const struct upstream *upstream = upstream_by_id(set, id);

    return upstream != NULL ? upstream->state : UPSTREAM_GONE;
}

/* Plays one case. */
static void
test_address(const void *data)
{
    const struct address_case *c = data;
    struct upstream_set set;
    uint64_t now = NOW;

    upstream_open(&set, SELF, INTERVAL_MS);
    if (c->known > 0) {
        register_there(&set, now, 1, 1, false);
        register_there(&set, now, 1, c->known, false);
    }
    now += c->after_ms;
    register_there(&set, now, 2, c->second, false);
    register_there(&set, now + 50, c->id, c->sequence, c->leaving);
    g_assert_cmpint(state_of(&set, 1), ==, c->one);
    g_assert_cmpint(state_of(&set, 2), ==, c->two);
    upstream_close(&set);
}

/* What another node tells of a new incarnation replaces the old one too. */
static void
test_address_merged(void)
{
    struct upstream_set set;
    wire_upstream record = {.id = 2,
                            .sequence = 1,
                            .state = UPSTREAM_READY,
                            .address = 0x0a800001U,
                            .port = 8080,
                            .slots = 2,
                            .keeper = 9,
                            .service = "feed",
                            .hall = "hall"};

    upstream_open(&set, SELF, INTERVAL_MS);
    register_there(&set, NOW, 1, 20, false);
    g_assert_true(upstream_merge(&set, NOW + 100, &record));
    g_assert_cmpint(state_of(&set, 1), ==, UPSTREAM_SILENT);
    g_assert_cmpint(state_of(&set, 2), ==, UPSTREAM_READY);
    upstream_close(&set);
}

/* What the node that hears upstream 1 believes of it. Each step is a letter
 * and the time since its last registration, in 10 ms:
 *   a b c  that node says that data was unanswered for 200 ms
 *   A      a says that it answered after all
 *   r      it registers again; l the same, and that it leaves
 *   k      another node hears it from now on */
struct word_case {
    const char *name;
    const char *steps;
    enum upstream_state state; /* 110 ms after the last step */
};

static const struct word_case words[] = {
    {"three", "a40 b41 c42", UPSTREAM_SILENT},
    {"two", "a40 b41", UPSTREAM_READY},
    {"one-thrice", "a40 a41 a42", UPSTREAM_READY},
    {"long-apart", "a40 b41 c142", UPSTREAM_READY},
    {"answered-after-all", "a40 b41 c42 A44", UPSTREAM_READY},
    {"answered-before-the-third", "a40 b41 A42 c43", UPSTREAM_READY},
    {"registered-since", "a40 b41 r41 c42", UPSTREAM_READY},
    {"registered-after-the-data", "r39 a40 b41 c42", UPSTREAM_READY},
    {"registers-again-later", "a40 b41 c42 r60", UPSTREAM_READY},
    {"leaves", "l1 a40 b41 c42", UPSTREAM_LEAVING},
    {"heard-by-another-node", "k1 a40 b41 c42", UPSTREAM_READY},
};

/* Plays one case. */
static void
test_word(const void *data)
{
    const struct word_case *c = data;
    gchar **steps = g_strsplit(c->steps, " ", -1);
    uint64_t now = NOW;
    uint64_t sequence = 1;
    struct upstream_set set;

    upstream_open(&set, SELF, INTERVAL_MS);
    register_there(&set, now, 1, sequence, false);
    for (gchar **at = steps; *at != NULL; at++) {
        char letter = (*at)[0];

        now = NOW + 10 * g_ascii_strtoull(*at + 1, NULL, 10);
        upstream_tick(&set, now);
        if (letter == 'r' || letter == 'l') {
            register_there(&set, now, 1, ++sequence, letter == 'l');
        }
        else if (letter == 'k') {
            upstream_by_id(&set, 1)->keeper = SELF + 1;
        }
        else {
            upstream_take_doubt(&set, now, 1,
                                (uint32_t)g_ascii_tolower(letter),
                                letter == 'A' ? 0 : 200);
        }
    }
    upstream_tick(&set, now + 110);
    g_assert_cmpint(state_of(&set, 1), ==, c->state);
    g_strfreev(steps);
    upstream_close(&set);
}

/* Registrations that a node missed while it stood still prove nothing. */
static void
test_excuse(void)
{
    uint64_t gap = 3 * INTERVAL_MS;
    struct upstream_set set;

    upstream_open(&set, SELF, INTERVAL_MS);
    register_there(&set, NOW, 1, 1, false);
    upstream_excuse(&set, NOW + gap, gap);
    upstream_tick(&set, NOW + gap);
    g_assert_cmpint(state_of(&set, 1), ==, UPSTREAM_READY);
    upstream_tick(&set, NOW + 2 * gap);
    g_assert_cmpint(state_of(&set, 1), ==, UPSTREAM_SILENT);
    upstream_close(&set);
}

/* A mechanism that is left out, and a test above that must fail then. */
struct mutation {
    const char *name;
    enum fault fault;
    const char *test;
};

static const struct mutation mutations[] = {
    {"least-work", FAULT_NO_LEAST_WORK, "/evidence/choose/open"},
    {"place", FAULT_NO_PLACE, "/evidence/spread/together"},
    {"cold", FAULT_NO_COLD, "/evidence/choose/cold"},
    {"took", FAULT_NO_TOOK, "/evidence/took/slow"},
    {"silent-last", FAULT_SILENT_EQUAL, "/evidence/choose/silent"},
    {"last-resort", FAULT_NO_LAST_RESORT, "/evidence/steer/first-all-silent"},
    {"silence", FAULT_NO_SILENCE, "/upstream/excuse"},
    {"excuse", FAULT_NO_EXCUSE, "/upstream/excuse"},
    {"replace", FAULT_NO_REPLACE, "/upstream/address/late-word-of-the-old"},
    {"move", FAULT_NO_MOVE, "/evidence/copy/first-copy"},
    {"doubt", FAULT_NO_DOUBT, "/evidence/doubt/proved"},
    {"lost", FAULT_NO_LOST, "/evidence/lost/proved-twice"},
};

/* Names the mutation to the process that runs its test. */
#define LEFT_OUT "RIDGERIDGE_TEST_LEFT_OUT"

/* Runs the test of a mutation with and without it. */
static void
test_mutation(const void *data)
{
    const struct mutation *m = data;
    gchar *number = g_strdup_printf("%d", (int)m->fault);

    g_test_trap_subprocess(m->test, 0, G_TEST_SUBPROCESS_DEFAULT);
    g_test_trap_assert_passed();
    g_assert_true(g_setenv(LEFT_OUT, number, TRUE));
    g_test_trap_subprocess(m->test, 0, G_TEST_SUBPROCESS_DEFAULT);
    g_unsetenv(LEFT_OUT);
    g_test_trap_assert_failed();
    g_free(number);
}

/* A decision about a flow, and what recomputing it shows. */
struct proof_case {
    const char *name;
    enum ring_rule rule;
    uint64_t version;    /* the table held is 7 */
    uint16_t port;       /* a route is at 443 */
    const char *service; /* that was recorded */
    uint64_t upstream;   /* 1 serves "feed", 2 "copies", 3 is unknown */
    enum evidence_proof proof;
};

static const struct proof_case proofs[] = {
    {"placed", RULE_LEAST_WORK, 7, 443, "feed", 1, EVIDENCE_PROVED},
    {"moved", RULE_MOVED_OFF, 7, 443, "feed", 1, EVIDENCE_PROVED},
    {"upstream-forgotten", RULE_LEAST_WORK, 7, 443, "feed", 3,
     EVIDENCE_PROVED},
    {"other-service", RULE_LEAST_WORK, 7, 443, "copies", 2,
     EVIDENCE_DISPROVED},
    {"upstream-of-another-service", RULE_SAME_AGAIN, 7, 443, "feed", 2,
     EVIDENCE_DISPROVED},
    {"same-again-though-the-route-changed", RULE_SAME_AGAIN, 7, 443, "copies",
     2, EVIDENCE_PROVED},
    {"no-such-route", RULE_LEAST_WORK, 7, 80, "feed", 1, EVIDENCE_DISPROVED},
    {"older-table", RULE_LEAST_WORK, 6, 443, "feed", 1, EVIDENCE_OTHER_TABLE},
    {"refused", RULE_NO_ROUTE, 7, 80, "", 0, EVIDENCE_PROVED},
    {"refused-though-routed", RULE_NO_ROUTE, 7, 443, "", 0,
     EVIDENCE_DISPROVED},
    {"lost", RULE_UPSTREAM_LOST, 7, 443, "feed", 1, EVIDENCE_NO_PROOF},
};

/* Recomputes one decision. */
static void
test_proof(const void *data)
{
    const struct proof_case *c = data;
    struct route_table *table = route_new();
    struct route route = {.name = "r",
                          .address = 0xc6120001U,
                          .port = 443,
                          .target_count = 1,
                          .targets = g_new0(struct route_target, 1)};
    struct upstream_set upstreams;
    struct ring_record record = {.rule = (uint8_t)c->rule,
                                 .version = c->version,
                                 .subject = 99,
                                 .route_address = route.address,
                                 .route_port = c->port,
                                 .service = hash_name(c->service),
                                 .peer = c->upstream};

    g_strlcpy(route.targets[0].service, "feed", ROUTE_NAME_MAX);
    route.targets[0].weight = 1;
    g_assert_true(route_add(table, &route));
    table->version = 7;
    upstream_open(&upstreams, 1, 770);
    for (uint64_t id = 1; id <= 2; id++) {
        struct upstream_registration r = {.id = id, .slots = 1, .sequence = 1};

        g_strlcpy(r.service, id == 1 ? "feed" : "copies", sizeof(r.service));
        upstream_register(&upstreams, 1000, &r);
    }
    g_assert_cmpstr(
        evidence_proof_name(evidence_verify(table, &upstreams, &record)), ==,
        evidence_proof_name(c->proof));
    upstream_close(&upstreams);
    route_free(table);
}

/* Lists the tests. */
int
main(int argc, char **argv)
{
    char path[128];
    const char *left_out = g_getenv(LEFT_OUT);

    if (left_out != NULL) {
        fault_trials[g_ascii_strtoull(left_out, NULL, 10)] = true;
    }
    g_test_init(&argc, &argv, NULL);
    CASES_ADD("/evidence/steer/", steers, test_steer)
    CASES_ADD("/evidence/copy/", copies, test_copy)
    CASES_ADD("/upstream/merge/", merges, test_merge)
    CASES_ADD("/upstream/address/", addresses, test_address)
    g_test_add_func("/upstream/address/merged", test_address_merged);
    g_test_add_func("/upstream/excuse", test_excuse);
    CASES_ADD("/upstream/doubt/", words, test_word)
    CASES_ADD("/evidence/doubt/", doubts, test_doubt)
    g_test_add_func("/evidence/doubt/itself", test_doubt_itself);
    CASES_ADD("/evidence/lost/", losts, test_lost)
    CASES_ADD("/evidence/proof/", proofs, test_proof)
    CASES_ADD("/evidence/choose/", chooses, test_choose)
    CASES_ADD("/evidence/took/", tooks, test_took)
    g_test_add_func("/evidence/spread/together", test_spread_together);
    g_test_add_func("/evidence/spread/short", test_spread_short);
    g_test_add_func("/evidence/spread/one-node", test_spread);
    CASES_ADD("/evidence/mutation/", mutations, test_mutation)
    return g_test_run();
}
