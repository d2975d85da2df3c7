/*
 * Steering by evidence: what becomes of packets, when an open flow ends, what
 * is told of upstreams, and decisions that are recomputed. Tables of cases.
 */
#include <glib.h>
#include <string.h>

#include "cases.h"
#include "evidence-verify.h"
#include "fixture.h"
#include "hash.h"
#include "mutation.h"

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
     RULE_UPSTREAM_ENDED},
    {"reset-to-gone", false, true, 1, ROUTE_PORT, 'g', EVIDENCE_DROP,
     RULE_UPSTREAM_ENDED},
    {"named-reused-address", false, false, 1, ROUTE_PORT, 'u',
     EVIDENCE_FORWARD, RULE_EVIDENCE},
    {"nothing-named", false, false, 0, ROUTE_PORT, '-', EVIDENCE_DROP,
     RULE_NO_EVIDENCE},
    {"unknown-named", false, false, 99, ROUTE_PORT, '-', EVIDENCE_HOLD,
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
    fixture_open(f, before == 'n' || before == 'x' ? 0 : 1);
    switch (before) {
    case 'l':
        fixture_register(f, NOW, 1, 2, true);
        return;
    case 'L':
        fixture_register(f, NOW, 1, 2, true);
        upstream_tick(&f->upstreams, NOW + 10 * INTERVAL_MS);
        return;
    case 's':
        upstream_tick(&f->upstreams, NOW + 10 * INTERVAL_MS);
        return;
    case 'g':
        (void)upstream_deregister(&f->upstreams, NOW, 1, 0);
        return;
    case 'u':
        fixture_register(f, NOW, 2, 1, false);
        upstream_by_id(&f->upstreams, 2)->address =
            upstream_by_id(&f->upstreams, 1)->address;
        return;
    case 'd':
        g_assert_true(evidence_apply(&f->ev, fixture_table(2, 9)));
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
    struct evidence_packet packet = fixture_packet(7, c->first, token, 0);
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
    fixture_close(&f);
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
    bool suspected;    /* the upstream is avoided by others */
};

static const struct copy_case copies[] = {
    {"first-copy", 1, 200, false, false, false, false, true},
    {"first-copy-to-one-alive", 1, 200, false, false, true, true, true},
    {"second-copy", 2, 600, false, false, false, false, true},
    {"second-copy-to-one-alive", 2, 600, false, false, true, false, true},
    {"second-copy-after-an-answer", 2, 600, true, false, false, true, false},
    {"first-copy-when-it-leaves", 1, 200, false, true, true, false, false},
    {"first-copy-that-was-held-up", 1, 0, false, false, false, true, false},
    {"second-copy-that-was-held-up", 2, 10, false, false, false, true, false},
};

/* Sends a first packet and a copy of it. */
static void
test_copy(const void *data)
{
    const struct copy_case *c = data;
    struct evidence_packet packet = fixture_packet(7, true, 0, 0);
    struct evidence_verdict verdict;
    struct fixture f;
    uint64_t first;

    fixture_open(&f, 4);
    evidence_steer(&f.ev, NOW, &packet, &verdict);
    first = verdict.upstream->id;
    if (c->answered) {
        struct evidence_packet next =
            fixture_packet(7, false, verdict.upstream->token, 5);

        evidence_steer(&f.ev, NOW, &next, &verdict);
    }
    if (c->leaves) {
        fixture_register(&f, NOW, first, 2, true);
    }
    if (c->alive) {
        struct evidence_packet other =
            fixture_packet(8, false, upstream_token(first), 5);

        evidence_steer(&f.ev, NOW, &other, &verdict);
    }
    packet.acknowledged = c->copies;
    evidence_steer(&f.ev, NOW + c->after_ms, &packet, &verdict);
    g_assert_cmpint(verdict.action, ==, EVIDENCE_FORWARD);
    g_assert_cmpint(verdict.upstream->id == first, ==, c->same);
    g_assert_cmpint(upstream_by_id(&f.upstreams, first)->suspect_until != 0,
                    ==, c->suspected);
    fixture_close(&f);
}

/* What becomes of data that gets no answer. Each step is a letter and the time
 * since the start, in 10 ms:
 *   a b   the caller of that flow sends its data (again); both flows are at
 *         upstream 1
 *   A B   that caller acknowledges more bytes: upstream 1 answered it
 *   o     a flow at upstream 2 sends data; O it gets an answer
 *   s     upstream 1 is silent, says another node
 *   S     upstream 1 is silent, by what this node heard itself
 *   L     upstream 1 is lost, as another node concluded
 *   r     upstream 1 registers again
 *   h     the caller of flow a sends what comes after its next data; i it
 *         sends that next data
 *   w     a packet of flow a waits for this entry's link; l it has left; u one
 *         was dropped that did not wait, v one that did
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
    {"lost-for-all", "L5 a10", "a10"},
    {"lost-for-all-the-data-waits", "a0 L5 a20", "a20"},
    {"lost-for-all-but-it-answered-here", "a0 A3 L5 a10 a100", ""},
    {"lost-for-all-and-answered-long-ago", "a0 A3 L5 a210", "a210"},
    {"lost-for-all-but-this-node-stood-still", "z0 L5 a10", ""},
    {"lost-for-all-answered-here-and-proved",
     "a0 A3 L5 a10 o20 O25 a30 o40 O45 a70", "a70"},
    {"hole-behind-it", "a0 s1 h1 o10 O15 a20 o40 O45 a60", ""},
    {"lost-and-registers-again", "L5 r8 a10", ""},
};

/* Names flow a. */
static uint64_t
flow_a(void)
{
    struct evidence_packet packet = fixture_packet('a', false, 0, 0);

    return evidence_hash(&packet);
}

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
    case 'L':
        upstream_by_id(&f->upstreams, 1)->keeper = SELF + 1;
        upstream_by_id(&f->upstreams, 1)->state = UPSTREAM_LOST;
        return true;
    case 'r':
        fixture_register(f, now, 1, 2, false);
        return true;
    case 'z':
        evidence_pause_detection(&f->ev, now);
        return true;
    case 'w':
        evidence_note_queued(&f->ev, flow_a());
        return true;
    case 'l':
        evidence_note_sent(&f->ev, now, flow_a(), 1);
        return true;
    case 'u':
        evidence_note_dropped(&f->ev, flow_a(), false);
        return true;
    case 'v':
        evidence_note_dropped(&f->ev, flow_a(), true);
        return true;
    default:
        return false;
    }
}

/* The packet of a step. */
static struct evidence_packet
packet_of_step(char letter, uint32_t *acknowledged)
{
    char flow =
        (char)(letter == 'h' || letter == 'i' ? 'a' : g_ascii_tolower(letter));
    struct evidence_packet packet;

    if (letter == 'x') {
        packet =
            fixture_packet('a', false, upstream_token(1), acknowledged['a']);
        packet.closing = true;
        packet.reset = true;
        return packet;
    }
    acknowledged[(int)flow] += g_ascii_isupper(letter) ? 100 : 0;
    packet = fixture_packet((uint16_t)flow, false,
                            upstream_token(flow == 'o' ? 2 : 1),
                            acknowledged[(int)flow]);
    packet.length = g_ascii_islower(letter) && letter != 'f' ? 200 : 0;
    packet.closing = letter == 'f';
    packet.sequence = letter == 'h' ? 401 : letter == 'i' ? 201 : 1;
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
    {"silent-already", "a0 s5 o10 O15 a20", "a20"},
    {"lost-already", "a0 L5 o10 O15 a20", ""},
    {"silent-and-answers", "a0 s5 A10", "-A10"},
    {"silent-and-answers-often", "a0 s5 A10 b11 B12 a60 A70", "-A10 -A70"},
    {"waits-here", "a0 w0 o10 O15 a20", ""},
    {"waited-and-left-lately", "a0 w0 o10 l10 O15 a20", ""},
    {"waited-and-left", "a0 w0 l1 o10 O15 a20", "a20"},
    {"one-of-two-waits-still", "a0 w0 w0 l1 o10 O15 a20", ""},
    {"waited-and-dropped-its-copy-not", "a0 w0 v1 a20 o30 O35 a60", "a60"},
    {"dropped-here", "a0 u0 o10 O15 a20", ""},
    {"dropped-here-its-copy-not", "a0 u0 a20 o30 O35 a60", "a60"},
    {"hole-behind-it", "a0 h1 o10 O15 a20", ""},
    {"hole-behind-it-still", "a0 h1 o10 O15 a20 o30 O35 a60", ""},
    {"hole-filled", "a0 h1 i2 o10 O15 a20", "a20"},
    {"hole-filled-lately", "a0 h1 i10 o11 O15 a20", ""},
    {"hole-and-answered", "a0 h1 A5 a30 o40 O45 a50", "a50"},
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

    fixture_open(&f, 2);
    list = f.upstreams.suspicions;
    /* Upstreams that answer: one of many in doubt is not this node's link. */
    for (uint64_t id = 3; id <= 8; id++) {
        fixture_register(&f, NOW, id, 1, false);
    }
    for (gchar **at = steps; *at != NULL; at++) {
        uint64_t now = NOW + 10 * g_ascii_strtoull(*at + 1, NULL, 10);

        for (uint64_t id = 3; id <= 8; id++) {
            upstream_by_id(&f.upstreams, id)->last_progress_at = now;
        }
        if (!play_event(&f, now, (*at)[0])) {
            struct evidence_packet packet =
                packet_of_step((*at)[0], acknowledged);
            struct evidence_verdict verdict;

            evidence_steer(&f.ev, now, &packet, &verdict);
        }
        for (guint i = 0; i < list->len; i++) {
            const struct upstream_suspicion *d =
                &g_array_index(list, struct upstream_suspicion, i);

            g_assert_cmpuint(d->id, ==, 1);
            g_string_append_printf(told, "%s%s%s", told->len ? " " : "",
                                   d->quiet_ms == 0 ? "-" : "", *at);
        }
        g_array_set_size(list, 0);
    }
    g_assert_cmpstr(told->str, ==, c->told);
    g_string_free(told, TRUE);
    g_strfreev(steps);
    fixture_close(&f);
}

/* A node that lacks answers of many upstreams at once doubts itself. */
static void
test_doubt_itself(void)
{
    struct fixture f;
    guint told = 0;

    fixture_open(&f, 12);
    for (uint64_t id = 2; id <= 12; id++) {
        uint64_t now = NOW + 200 + id;
        struct evidence_packet packet =
            fixture_packet((uint16_t)id, false, upstream_token(id), 0);
        struct evidence_verdict verdict;

        packet.sequence = 1;
        packet.length = 200;
        evidence_steer(&f.ev, NOW + 10, &packet, &verdict);
        f.ev.answered_sent_at = NOW + 100;
        upstream_by_id(&f.upstreams, 1)->last_progress_at = now;
        evidence_steer(&f.ev, now, &packet, &verdict);
        told = f.upstreams.suspicions->len;
    }
    g_assert_cmpuint(told, ==, 0);
    fixture_close(&f);
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

    fixture_open(&f, 2);
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
    fixture_close(&f);
}

/* What is left out, and a test above that must fail then. */
static const struct mutation mutations[] = {
    {"last-resort", FAULT_NO_FALLBACK, "/evidence/steer/first-all-silent"},
    {"suspicion", FAULT_NO_SUSPICION, "/evidence/copy/first-copy"},
    {"move", FAULT_NO_REROUTE, "/evidence/copy/first-copy"},
    {"doubt", FAULT_NO_SUSPICION_REPORT, "/evidence/doubt/proved"},
    {"waits", FAULT_COUNT_QUEUED_AS_SENT, "/evidence/doubt/waits-here"},
    {"order", FAULT_IGNORE_GAPS, "/evidence/doubt/hole-behind-it"},
    {"lost", FAULT_KEEP_LOST_FLOWS, "/evidence/lost/proved-twice"},
};

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
    {"moved", RULE_REROUTED, 7, 443, "feed", 1, EVIDENCE_PROVED},
    {"upstream-forgotten", RULE_LEAST_WORK, 7, 443, "feed", 3,
     EVIDENCE_PROVED},
    {"other-service", RULE_LEAST_WORK, 7, 443, "copies", 2,
     EVIDENCE_DISPROVED},
    {"upstream-of-another-service", RULE_RETRANSMISSION, 7, 443, "feed", 2,
     EVIDENCE_DISPROVED},
    {"same-again-though-the-route-changed", RULE_RETRANSMISSION, 7, 443,
     "copies", 2, EVIDENCE_PROVED},
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

    mutation_begin();
    g_test_init(&argc, &argv, NULL);
    g_test_set_nonfatal_assertions();
    CASES_ADD("/evidence/steer/", steers, test_steer)
    CASES_ADD("/evidence/copy/", copies, test_copy)
    CASES_ADD("/evidence/doubt/", doubts, test_doubt)
    g_test_add_func("/evidence/doubt/itself", test_doubt_itself);
    CASES_ADD("/evidence/lost/", losts, test_lost)
    CASES_ADD("/evidence/proof/", proofs, test_proof)
    CASES_ADD("/evidence/mutation/", mutations, mutation_test)
    return g_test_run();
}
