/*
 * Upstreams that fail what they are sent, though they register as well.
 *
 * The load: 120 upstreams whose work takes 55 to 72 ms, behind nodes that see
 * each of them once in eight seconds; a tenth of them answers everything, or
 * half of it, with an error after 1 ms. Seen before: 510 of 16,660 saves,
 * which may not be sent twice, failed in three such spells of 5 to 6.5 s.
 * Tables of cases.
 */
#include <glib.h>
#include <string.h>

#include "cases.h"
#include "evidence-internal.h"
#include "fixture.h"
#include "mutation.h"

#define ANSWERS 24 /* by which an entry knows what is usual */

/* What an entry says of answers that take so long. */
struct answer_case {
    const char *name;
    uint64_t usual_ms;
    unsigned answers; /* seen before */
    uint64_t took_ms;
    bool copied; /* the data was sent twice */
    bool told;
};

static const struct answer_case answers[] = {
    {"an-error", 60, ANSWERS, 3, false, true},
    {"as-usual", 60, ANSWERS, 60, false, false},
    {"a-light-request", 60, ANSWERS, 15, false, false},
    {"slow", 60, ANSWERS, 600, false, false},
    {"not-known-yet", 60, 10, 3, false, false},
    {"usually-too-quick-to-tell", 15, ANSWERS, 1, false, false},
    {"sent-twice", 60, ANSWERS, 210, true, false},
};

/* Sends data on a flow of an upstream and lets it be answered. */
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
test_answer(const void *data)
{
    const struct answer_case *c = data;
    const GArray *told;
    uint64_t now = NOW;
    struct fixture f;

    fixture_open(&f, 2);
    told = f.upstreams.suspicions;
    for (uint32_t i = 1; i <= c->answers; i++) {
        play_answer(&f, now, 2, i, c->usual_ms, false);
        now += 2 * c->usual_ms;
    }
    g_assert_cmpuint(told->len, ==, 0);
    play_answer(&f, now, 1, 1, c->took_ms, c->copied);
    g_assert_cmpuint(told->len, ==, c->told);
    if (c->told) {
        const struct upstream_suspicion *word =
            &g_array_index(told, struct upstream_suspicion, 0);

        g_assert_cmpuint(word->id, ==, 1);
        g_assert_true(word->outlier);
        play_answer(&f, now + 50, 1, 2, c->took_ms, false);
        g_assert_cmpuint(told->len, ==, 1);
        play_answer(&f, now + 300, 1, 3, c->took_ms, false);
        g_assert_cmpuint(told->len, ==, 2);
    }
    fixture_close(&f);
}

/* What the node that hears upstream 1 makes of words: a letter is a node that
 * says so, and the time in 10 ms. */
struct word_case {
    const char *name;
    const char *words;
    unsigned called; /* times that it was called sick, and told of */
    uint64_t until;  /* sick until then, in 10 ms; 0: it is not */
};

static const struct word_case words[] = {
    {"three", "a1 b20 c40", 1, 340},
    {"two", "a1 b20", 0, 0},
    {"one-thrice", "a1 a20 a40", 0, 0},
    {"long-apart", "a1 b20 c240", 0, 0},
    {"four", "a1 b20 c40 d60", 1, 340},
    {"goes-on", "a1 b20 c40 a250 b270 c300", 2, 900},
    {"again", "a1 b20 c40 a500 b520 c540", 2, 1140},
    {"thrice", "a1 b20 c40 a500 b520 c540 a1500 b1520 c1540", 3, 2740},
    {"four-times",
     "a1 b20 c40 a500 b520 c540 a1500 b1520 c1540 a3000 b3020 c3040", 4, 4240},
};

/* Plays one case. */
static void
test_word(const void *data)
{
    const struct word_case *c = data;
    gchar **steps = g_strsplit(c->words, " ", -1);
    const struct upstream *one;
    wire_upstream record;
    struct upstream_set other;
    struct fixture f;
    uint64_t now = NOW;

    fixture_open(&f, 1);
    one = upstream_by_id(&f.upstreams, 1);
    g_array_set_size(f.upstreams.changed, 0);
    for (gchar **at = steps; *at != NULL; at++) {
        now = NOW + 10 * g_ascii_strtoull(*at + 1, NULL, 10);
        upstream_report_outlier(&f.upstreams, now, 1, (uint32_t)(*at)[0]);
    }
    g_assert_cmpuint(f.upstreams.changed->len, ==, c->called);
    g_assert_cmpuint(one->ejected_until, ==,
                     c->until != 0 ? NOW + 10 * c->until : 0);
    /* Another node is told so. */
    upstream_open(&other, SELF + 1, INTERVAL_MS);
    upstream_pack(&f.upstreams, now, one, &record);
    g_assert_true(upstream_merge(&other, now, &record));
    g_assert_cmpuint(upstream_by_id(&other, 1)->ejected_until, ==,
                     one->ejected_until);
    upstream_close(&other);
    g_strfreev(steps);
    fixture_close(&f);
}

/* A node that does not hear an upstream concludes nothing of it. */
static void
test_not_its_keeper(void)
{
    struct fixture f;

    fixture_open(&f, 1);
    upstream_by_id(&f.upstreams, 1)->keeper = SELF + 1;
    for (uint32_t node = 1; node <= 5; node++) {
        upstream_report_outlier(&f.upstreams, NOW, 1, node);
    }
    g_assert_cmpuint(upstream_by_id(&f.upstreams, 1)->ejected_until, ==, 0);
    fixture_close(&f);
}

/* New flows among some upstreams, the first of which are sick until NOW + 1000
 * and idle; the others have work. */
struct choose_case {
    const char *name;
    unsigned upstreams;
    unsigned sick;
    bool once;      /* requests that may not run twice */
    uint64_t later; /* in ms */
    bool to_sick;   /* the flow goes to a sick one */
};

static const struct choose_case chooses[] = {
    {"passed-over", 8, 1, false, 0, false},
    {"passed-over-once", 8, 1, true, 0, false},
    {"well-again", 8, 1, false, 1000, true},
    {"well-again-once", 8, 1, true, 1000, false},
    {"well-again-for-long-once", 8, 1, true, 4000, true},
    {"a-quarter", 8, 2, false, 0, false},
    {"more-than-a-quarter", 8, 3, false, 0, true},
    {"all", 4, 4, true, 0, true},
    {"the-only-one", 1, 1, true, 0, true},
};

/* Plays one case. */
static void
test_choose(const void *data)
{
    const struct choose_case *c = data;
    struct evidence_packet packet = fixture_packet(7, true, 0, 0);
    struct evidence_verdict verdict;
    struct fixture f;

    fixture_open(&f, c->upstreams);
    g_array_index(f.ev.table->routes, struct route, 0).kind =
        c->once ? ROUTE_NON_IDEMPOTENT : ROUTE_IDEMPOTENT;
    for (uint64_t id = 1; id <= c->upstreams; id++) {
        struct upstream *u = upstream_by_id(&f.upstreams, id);

        u->ejected_until = id <= c->sick ? NOW + 1000 : 0;
        u->open = id <= c->sick ? 0 : 3;
    }
    evidence_steer(&f.ev, NOW + c->later, &packet, &verdict);
    g_assert_cmpint(verdict.action, ==, EVIDENCE_FORWARD);
    g_assert_cmpint(verdict.upstream->id <= c->sick, ==, c->to_sick);
    fixture_close(&f);
}

/* What is left out, and a test above that must fail then. */
static const struct mutation mutations[] = {
    {"said", FAULT_NO_OUTLIERS, "/sick/answer/an-error"},
    {"concluded", FAULT_NO_OUTLIERS, "/sick/word/three"},
};

/* Lists the tests. */
int
main(int argc, char **argv)
{
    char path[128];

    mutation_begin();
    g_test_init(&argc, &argv, NULL);
    CASES_ADD("/sick/answer/", answers, test_answer)
    CASES_ADD("/sick/word/", words, test_word)
    g_test_add_func("/sick/not-its-keeper", test_not_its_keeper);
    CASES_ADD("/sick/choose/", chooses, test_choose)
    CASES_ADD("/sick/mutation/", mutations, mutation_test)
    return g_test_run();
}
