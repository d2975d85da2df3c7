/*
 * Data halls that this entry's packets do not reach, though a third hall does.
 *
 * The load: callers of one hall with long flows and new ones to upstreams of
 * three halls; links between two of them are cut for some seconds. Seen
 * before: no upstream turned silent, since nodes of its own hall heard it; 450
 * requests of 9,900 failed and 500 were late in 6 s, each after its caller's
 * whole budget, though nodes of the third hall reached both. Tables of cases.
 */
#include <glib.h>
#include <string.h>

#include "cases.h"
#include "evidence-internal.h"
#include "fixture.h"
#include "hash.h"
#include "mutation.h"

/* Upstreams 1 and 2 are in hall a, 3 and 4 in b, 5 and 6 in c. */
#define UPSTREAMS 6

/* What this entry sees. Each step is a letter, which upstream or hall, and the
 * time in 10 ms:
 *   m  an upstream leaves a packet unanswered
 *   a  it answers one of an open flow
 *   o  a flow opens there whose first packet was sent 20 ms before
 *   h  a node of the hall answers
 *   z  this entry stood still
 * Then it is asked, 10 ms after the last step, of which halls packets take a
 * detour, from which new flows keep away, and by which one may go to b. */
struct reach_case {
    const char *name;
    const char *steps;
    const char *cut;
    const char *avoided;
    const char *by;
};

static const struct reach_case reaches[] = {
    {"calm", "a10 a33 a51", "", "", ""},
    {"one-missed", "a10 a30 a50 m35", "b", "b", "ac"},
    {"no-other-answers", "m35", "b", "b", ""},
    {"its-node-answers", "a10 m35 hb6", "", "", ""},
    {"another-hall-answers", "m35 ha6", "b", "b", "a"},
    {"other-halls-answered-long-ago", "a10 a50 m3100", "b", "b", ""},
    {"asked-and-not-heard", "a10 a50 m35 m315", "b", "b", ""},
    {"asked-and-heard", "a10 a50 m35 ha6 m315", "b", "b", "a"},
    {"the-other-hall-is-doubted-too", "m35 ha6 m17", "ab", "ab", ""},
    {"answers-by-detours-prove-nothing", "a10 m35 ha6 a38", "b", "b", "a"},
    {"a-flow-opens-straight", "m35 o460", "", "", ""},
    {"it-was-sent-before", "m35 o45", "b", "b", ""},
    {"new-flows-try-again", "m35 ha6 ha60", "b", "", "a"},
    {"and-keep-away-after-another-miss", "m35 ha6 m460 ha61", "b", "b", "a"},
    {"proved-lately-is-not-doubted", "m35 hb6 m420", "", "", ""},
    {"proved-long-ago-is", "m35 hb6 m470 ha71", "b", "b", "a"},
    {"heard-by-chance-before", "hb1 m35", "b", "b", ""},
    {"without-proof-for-long", "m35 a1600", "", "", ""},
    {"after-a-standstill", "z1 m35", "", "", ""},
    {"long-after-a-standstill", "z1 m3200", "b", "b", ""},
};

/* Puts upstreams into halls. */
static void
set_halls(struct fixture *f)
{
    for (uint64_t id = 1; id <= UPSTREAMS; id++) {
        struct upstream *u = upstream_by_id(&f->upstreams, id);

        u->hall[0] = (char)("aabbcc"[id - 1]);
        u->hall[1] = '\0';
        u->hall_hash = (uint32_t)hash_name(u->hall);
    }
}

/* Hash of a hall by its letter. */
static uint32_t
hall_by(char letter)
{
    char name[2] = {letter, '\0'};

    return (uint32_t)hash_name(name);
}

/* Plays one step; returns its time. */
static uint64_t
play_step(struct fixture *f, const char *step)
{
    bool of_hall = step[0] == 'h';
    bool of_none = step[0] == 'z';
    uint64_t now =
        NOW + 10 * g_ascii_strtoull(step + (of_none ? 1 : 2), NULL, 10);
    const struct upstream *u =
        of_hall || of_none
            ? NULL
            : upstream_by_id(&f->upstreams, (uint64_t)(step[1] - '0'));

    switch (step[0]) {
    case 'm':
        evidence_reach_note_timeout(&f->ev, now, u);
        break;
    case 'a':
        evidence_reach_note_answer(&f->ev, now, u);
        break;
    case 'o':
        evidence_reach_note_open(&f->ev, now, u, now - 20);
        break;
    case 'h':
        evidence_note_hall_reply(&f->ev, now, hall_by(step[1]));
        break;
    default:
        evidence_pause_detection(&f->ev, now);
        break;
    }
    return now;
}

/* Plays one case. */
static void
test_reach(const void *data)
{
    const struct reach_case *c = data;
    gchar **steps = g_strsplit(c->steps, " ", -1);
    GString *cut = g_string_new("");
    GString *avoided = g_string_new("");
    GString *by = g_string_new("");
    uint64_t now = NOW;
    struct fixture f;

    fixture_open(&f, UPSTREAMS);
    set_halls(&f);
    for (gchar **at = steps; *at != NULL; at++) {
        now = play_step(&f, *at);
    }
    now += 10;
    for (const char *hall = "abc"; *hall != '\0'; hall++) {
        if (evidence_hall_is_suspected(&f.ev, now, hall_by(*hall))) {
            g_string_append_c(cut, *hall);
        }
        if (evidence_hall_is_avoided(&f.ev, now, hall_by(*hall))) {
            g_string_append_c(avoided, *hall);
        }
        if (evidence_hall_is_suspected(&f.ev, now, hall_by('b')) &&
            evidence_may_relay(&f.ev, now, hall_by('b'), hall_by(*hall))) {
            g_string_append_c(by, *hall);
        }
    }
    g_assert_cmpstr(cut->str, ==, c->cut);
    g_assert_cmpstr(avoided->str, ==, c->avoided);
    g_assert_cmpstr(by->str, ==, c->by);
    g_string_free(cut, TRUE);
    g_string_free(avoided, TRUE);
    g_string_free(by, TRUE);
    g_strfreev(steps);
    fixture_close(&f);
}

/* Steers a packet of a caller. */
static struct evidence_verdict
steer(struct fixture *f, uint64_t now, uint16_t caller, uint64_t named,
      uint32_t number)
{
    struct evidence_packet packet = fixture_packet(
        caller, named == 0, named != 0 ? upstream_token(named) : 0, number);
    struct evidence_verdict verdict;

    evidence_steer(&f->ev, now, &packet, &verdict);
    return verdict;
}

/* A copy of a first packet shows that hall b is cut off: open flows there take
 * detours from then on, new ones go elsewhere, and the copy takes none. When
 * the hall is heard again, both go straight. */
static void
test_packets(void)
{
    struct evidence_verdict verdict;
    struct fixture f;

    fixture_open(&f, UPSTREAMS);
    set_halls(&f);
    for (uint64_t id = 1; id <= UPSTREAMS; id++) {
        upstream_by_id(&f.upstreams, id)->open = id == 3 ? 0 : 1;
    }
    verdict = steer(&f, NOW, 7, 4, 1);
    g_assert_false(verdict.via_relay);
    verdict = steer(&f, NOW + 10, 8, 0, 0);
    g_assert_cmpuint(verdict.upstream->id, ==, 3);
    verdict = steer(&f, NOW + 210, 8, 0, 1);
    g_assert_cmpint(verdict.rule, ==, RULE_REROUTED);
    g_assert_cmpstr(verdict.upstream->hall, !=, "b");
    g_assert_false(verdict.via_relay);
    verdict = steer(&f, NOW + 220, 7, 4, 2);
    g_assert_true(verdict.via_relay);
    for (uint16_t caller = 100; caller < 200; caller++) {
        verdict = steer(&f, NOW + 230, caller, 0, 0);
        g_assert_cmpstr(verdict.upstream->hall, !=, "b");
    }
    evidence_note_hall_reply(&f.ev, NOW + 240, hall_by('b'));
    verdict = steer(&f, NOW + 250, 7, 4, 3);
    g_assert_false(verdict.via_relay);
    verdict = steer(&f, NOW + 3000, 201, 0, 0);
    g_assert_cmpstr(verdict.upstream->hall, ==, "b");
    fixture_close(&f);
}

/* Where nothing else is left, new flows go to a hall that is avoided. */
static void
test_last_resort(void)
{
    struct evidence_verdict verdict;
    struct fixture f;

    fixture_open(&f, UPSTREAMS);
    set_halls(&f);
    for (uint64_t id = 1; id <= UPSTREAMS; id++) {
        evidence_reach_note_timeout(&f.ev, NOW,
                                    upstream_by_id(&f.upstreams, id));
    }
    verdict = steer(&f, NOW + 10, 8, 0, 0);
    g_assert_cmpint(verdict.action, ==, EVIDENCE_FORWARD);
    g_assert_false(verdict.via_relay);
    fixture_close(&f);
}

/* What is left out, and a test above that must fail then. */
static const struct mutation mutations[] = {
    {"reach", FAULT_NO_HALL_SUSPICION, "/reach/packets"},
};

/* Lists the tests. */
int
main(int argc, char **argv)
{
    char path[128];

    mutation_begin();
    g_test_init(&argc, &argv, NULL);
    CASES_ADD("/reach/", reaches, test_reach)
    g_test_add_func("/reach/packets", test_packets);
    g_test_add_func("/reach/last-resort", test_last_resort);
    CASES_ADD("/reach/mutation/", mutations, mutation_test)
    return g_test_run();
}
