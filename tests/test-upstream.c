/*
 * The inventory of upstreams: merging, addresses that are used again, doubts
 * and standstills. Tables of cases.
 */
#include <glib.h>

#include "cases.h"
#include "fixture.h"
#include "mutation.h"

#define KEPT_SEED 7     /* of the changes that are made by lot */
#define KEPT_STEPS 5000 /* changes */
#define KEPT_IDS 40     /* upstreams that they are about, and one */

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

/* Words about one id, in any order of arrival: when the start was born, its
 * sequence, and its state (r, l, s, g). Times are in ms since 1970 with the
 * first digits left out. */
struct start_word {
    uint64_t born; /* 0: not stated, as an older program tells it */
    uint64_t sequence;
    char state;
};

struct start_case {
    const char *name;
    struct start_word words[3]; /* sequence 0: no more of them */
    struct start_word after;    /* what is believed then */
};

static const struct start_case starts[] = {
    {"counts-begin-anew", {{100, 20, 'r'}, {900, 1, 'r'}}, {900, 1, 'r'}},
    {"late-word-of-the-old-start",
     {{100, 20, 'r'}, {900, 1, 'r'}, {100, 21, 'l'}},
     {900, 1, 'r'}},
    {"old-start-ended",
     {{100, 20, 'g'}, {900, 1, 'r'}, {100, 22, 'r'}},
     {900, 1, 'r'}},
    {"late-end-of-the-old-start",
     {{900, 1, 'r'}, {100, 20, 'g'}, {900, 2, 'r'}},
     {900, 2, 'r'}},
    {"new-start-leaves", {{100, 20, 'r'}, {900, 3, 'l'}}, {900, 3, 'l'}},
    {"old-start-silent",
     {{100, 20, 's'}, {900, 1, 'r'}, {100, 20, 'r'}},
     {900, 1, 'r'}},
    {"three-starts",
     {{100, 20, 'r'}, {900, 9, 'l'}, {1700, 1, 'r'}},
     {1700, 1, 'r'}},
};

/* State by its letter. */
static enum upstream_state
state_by(char letter)
{
    return letter == 'r'   ? UPSTREAM_READY
           : letter == 'l' ? UPSTREAM_LEAVING
           : letter == 's' ? UPSTREAM_SILENT
                           : UPSTREAM_GONE;
}

/* Merges a word that another node tells. */
static bool
merge_word(struct upstream_set *set, const struct start_word *word)
{
    wire_upstream record = {.id = 7,
                            .sequence = word->sequence,
                            .state = state_by(word->state),
                            .slots = 1,
                            .keeper = 9,
                            .service = "feed",
                            .hall = "hall",
                            .born = word->born};

    return upstream_merge(set, NOW, &record);
}

/* Merges the words in one order, so many times. */
static void
merge_starts(const struct start_case *c, const int order[3], int times)
{
    const struct upstream *u;
    struct upstream_set set;

    upstream_open(&set, SELF, INTERVAL_MS);
    for (int i = 0; i < 3 * times; i++) {
        const struct start_word *word = &c->words[order[i % 3]];

        if (word->sequence != 0) {
            (void)merge_word(&set, word);
        }
    }
    u = upstream_by_id(&set, 7);
    g_assert_cmpuint(u->started_at, ==, c->after.born);
    g_assert_cmpuint(u->sequence, ==, c->after.sequence);
    g_assert_cmpint(u->state, ==, state_by(c->after.state));
    upstream_close(&set);
}

/* The order of arrival makes no difference. */
static void
test_start(const void *data)
{
    static const int orders[][3] = {{0, 1, 2}, {0, 2, 1}, {1, 0, 2},
                                    {1, 2, 0}, {2, 0, 1}, {2, 1, 0}};

    for (size_t i = 0; i < G_N_ELEMENTS(orders); i++) {
        merge_starts(data, orders[i], 2);
    }
}

/* Words told by a program that does not know when upstreams were born, after
 * what is believed. */
static const struct start_case mixed[] = {
    {"nothing-known-yet", {{0, 20, 'r'}}, {0, 20, 'r'}},
    {"its-old-word-changes-nothing",
     {{900, 1, 'r'}, {0, 20, 'r'}},
     {900, 1, 'r'}},
    {"its-silence-changes-nothing",
     {{900, 3, 'r'}, {0, 20, 's'}},
     {900, 3, 'r'}},
    {"its-end-changes-nothing", {{900, 3, 'r'}, {0, 20, 'g'}}, {900, 3, 'r'}},
    {"that-it-leaves-counts", {{900, 3, 'r'}, {0, 4, 'l'}}, {900, 3, 'l'}},
    {"until-it-registers-again",
     {{900, 3, 'r'}, {0, 20, 'l'}, {900, 4, 'r'}},
     {900, 4, 'r'}},
    {"a-late-leaving-does-not", {{900, 3, 'r'}, {0, 2, 'l'}}, {900, 3, 'r'}},
    {"a-start-that-just-began", {{0, 20, 'r'}, {900, 1, 'r'}}, {900, 1, 'r'}},
    {"after-an-end", {{0, 20, 'g'}, {900, 1, 'r'}}, {900, 1, 'r'}},
    {"a-start-that-goes-on", {{0, 20, 'r'}, {900, 21, 'r'}}, {900, 21, 'r'}},
    {"a-late-word", {{0, 20, 'r'}, {900, 19, 'l'}}, {0, 20, 'r'}},
};

/* Merges the words in their order. */
static void
test_mixed(const void *data)
{
    static const int in_order[3] = {0, 1, 2};

    merge_starts(data, in_order, 1);
}

/* An upstream registers here, begins anew and says that it ends. */
struct end_case {
    const char *name;
    uint64_t sequence; /* of the start that runs, born at 900 */
    bool leaving;      /* it said so */
    uint64_t born;     /* of the start that ends, 0: not stated */
    bool is_taken;
    char state; /* believed then */
};

static const struct end_case ends[] = {
    {"its-own", 20, true, 900, true, 'g'},
    {"its-own-not-stated", 20, true, 0, true, 'g'},
    {"not-stated-without-leaving", 20, false, 0, true, 'g'},
    {"of-an-earlier-start", 20, false, 100, true, 'r'},
    {"of-an-earlier-start-that-left", 1, true, 100, true, 'l'},
    {"not-stated-and-it-has-just-begun", 1, false, 0, false, 'r'},
    {"not-stated-and-it-leaves-at-once", 1, true, 0, true, 'g'},
    {"of-a-later-start", 20, false, 1700, true, 'g'},
};

/* Plays one case. */
static void
test_end(const void *data)
{
    const struct end_case *c = data;
    struct upstream_registration r = {.id = 7,
                                      .service = "feed",
                                      .hall = "hall",
                                      .slots = 1,
                                      .started_at = 900,
                                      .sequence = c->sequence,
                                      .leaving = c->leaving};
    struct upstream_set set;

    upstream_open(&set, SELF, INTERVAL_MS);
    g_assert_true(upstream_register(&set, NOW, &r));
    g_assert_cmpint(upstream_deregister(&set, NOW, 7, c->born), ==,
                    c->is_taken);
    g_assert_cmpint(upstream_by_id(&set, 7)->state, ==, state_by(c->state));
    upstream_close(&set);
}

/* A start that registers here is told to others, whose marks differ until
 * then; a registration that states no start is late once one is known. */
static void
test_start_is_spread(void)
{
    struct upstream_registration r = {.id = 7,
                                      .service = "feed",
                                      .hall = "hall",
                                      .slots = 1,
                                      .sequence = 20,
                                      .started_at = 100};
    struct upstream_set set;
    uint32_t mark;

    upstream_open(&set, SELF, INTERVAL_MS);
    g_assert_true(upstream_register(&set, NOW, &r));
    mark = upstream_by_id(&set, 7)->digest;
    g_array_set_size(set.changed, 0);
    r.started_at = 900;
    r.sequence = 1;
    g_assert_true(upstream_register(&set, NOW, &r));
    g_assert_cmpuint(set.changed->len, ==, 1);
    g_assert_cmpuint(upstream_by_id(&set, 7)->digest, !=, mark);
    r.started_at = 0;
    r.sequence = 30;
    g_assert_false(upstream_register(&set, NOW, &r));
    upstream_close(&set);
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
 *   w      nothing happens
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
    {"no-registration", "w160", UPSTREAM_SILENT},
    {"three-and-no-registration", "a40 b41 c42 w160", UPSTREAM_LOST},
    {"no-registration-and-three-later", "w156 a170 b171 c172", UPSTREAM_LOST},
    {"no-registration-and-two", "w156 a170 b171", UPSTREAM_SILENT},
    {"no-registration-and-one-thrice", "w156 a170 a171 a172", UPSTREAM_SILENT},
    {"three-answered-and-no-registration", "a40 b41 c42 A100 w160",
     UPSTREAM_SILENT},
    {"no-registration-answered-and-three", "w156 A168 a170 b171 c172",
     UPSTREAM_SILENT},
    {"no-registration-answered-long-ago-and-three", "w156 A158 a270 b271 c272",
     UPSTREAM_LOST},
    {"lost-and-registers", "a40 b41 c42 w160 r170", UPSTREAM_READY},
    {"lost-and-leaves", "a40 b41 c42 w160 l170", UPSTREAM_LEAVING},
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
        if (letter == 'w') {
            continue;
        }
        if (letter == 'r' || letter == 'l') {
            register_there(&set, now, 1, ++sequence, letter == 'l');
        }
        else if (letter == 'k') {
            upstream_by_id(&set, 1)->keeper = SELF + 1;
        }
        else {
            upstream_report_suspicion(&set, now, 1,
                                      (uint32_t)g_ascii_tolower(letter),
                                      letter == 'A' ? 0 : 200);
        }
    }
    upstream_tick(&set, now + 110);
    g_assert_cmpint(state_of(&set, 1), ==, c->state);
    g_strfreev(steps);
    upstream_close(&set);
}

/* A node that began anew watches what it heard before, for longer than what it
 * hears: the upstream may have turned to another node meanwhile. Then it asks
 * others, once, and waits for their answer. */
static void
test_began_anew(void)
{
    uint64_t asks_at = NOW + 4 * INTERVAL_MS;
    struct upstream_set set;
    wire_upstream record = {.id = 1,
                            .sequence = 20,
                            .state = UPSTREAM_READY,
                            .address = 0x0a800001U,
                            .port = 8080,
                            .slots = 2,
                            .keeper = SELF,
                            .service = "feed",
                            .hall = "hall"};

    upstream_open(&set, SELF, INTERVAL_MS);
    g_assert_true(upstream_merge(&set, NOW, &record));
    upstream_tick(&set, NOW + 3 * INTERVAL_MS);
    g_assert_cmpint(state_of(&set, 1), ==, UPSTREAM_READY);
    g_assert_cmpuint(set.queries->len, ==, 0);
    upstream_tick(&set, asks_at);
    g_assert_cmpint(state_of(&set, 1), ==, UPSTREAM_READY);
    g_assert_cmpuint(set.queries->len, ==, 1);
    g_assert_cmpuint(upstream_deadline(&set), <, NOW + 5 * INTERVAL_MS);
    upstream_tick(&set, NOW + 5 * INTERVAL_MS);
    g_assert_cmpint(state_of(&set, 1), ==, UPSTREAM_SILENT);
    g_assert_cmpuint(set.queries->len, ==, 1);
    upstream_close(&set);
}

/* What another node wrongly believes of an upstream that registers here is
 * corrected, but not with each word of it. */
static void
test_contradiction(void)
{
    struct upstream_set set;
    wire_upstream silent = {.id = 1,
                            .sequence = 1,
                            .state = UPSTREAM_SILENT,
                            .slots = 2,
                            .keeper = SELF,
                            .service = "feed",
                            .hall = "hall"};

    upstream_open(&set, SELF, INTERVAL_MS);
    register_there(&set, NOW, 1, 20, false);
    g_array_set_size(set.changed, 0);
    g_assert_false(upstream_merge(&set, NOW, &silent));
    g_assert_false(upstream_merge(&set, NOW + 1, &silent));
    g_assert_cmpuint(set.changed->len, ==, 1);
    g_assert_cmpint(state_of(&set, 1), ==, UPSTREAM_READY);
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
    upstream_extend_deadlines(&set, NOW + gap, gap);
    upstream_tick(&set, NOW + gap);
    g_assert_cmpint(state_of(&set, 1), ==, UPSTREAM_READY);
    upstream_tick(&set, NOW + 2 * gap);
    g_assert_cmpint(state_of(&set, 1), ==, UPSTREAM_SILENT);
    upstream_close(&set);
}

/* Checks what an inventory keeps with each change against all records. */
static void
check_kept(const struct upstream_set *set)
{
    uint32_t sums[WIRE_BUCKETS] = {0};
    uint32_t kept[WIRE_BUCKETS];

    for (guint i = 0; i < set->all->len; i++) {
        const struct upstream *u = g_ptr_array_index(set->all, i);

        sums[u->token % WIRE_BUCKETS] += upstream_digest(u);
        if (u->state == UPSTREAM_GONE) {
            g_assert_cmpuint(upstream_deadline(set), <=, u->forget_at);
        }
        else if (u->expire_at != 0) {
            g_assert_cmpuint(upstream_deadline(set), <=, u->expire_at);
        }
    }
    upstream_digests(set, kept);
    g_assert_cmpmem(sums, sizeof(sums), kept, sizeof(kept));
}

/* Digests and the earliest deadline are kept with each change; after any
 * changes they are what all records together give. */
static void
test_kept(void)
{
    struct upstream_set set;
    GRand *random = g_rand_new_with_seed(KEPT_SEED);
    uint64_t now = NOW;

    upstream_open(&set, SELF, INTERVAL_MS);
    for (uint64_t step = 1; step <= KEPT_STEPS; step++) {
        uint64_t id = g_rand_int_range(random, 1, KEPT_IDS);
        wire_upstream record = {.id = id,
                                .sequence = step,
                                .state = g_rand_int_range(random, 0, 4),
                                .address = 0x0a800000U + (uint32_t)id,
                                .port = 8080,
                                .slots = 2,
                                .keeper = g_rand_int_range(random, 8, 10),
                                .service = "feed",
                                .hall = "hall"};

        now += g_rand_int_range(random, 0, INTERVAL_MS);
        upstream_tick(&set, now);
        switch (g_rand_int_range(random, 0, 6)) {
        case 0:
            register_there(&set, now, id, step, step % 3 == 0);
            break;
        case 1:
            (void)upstream_deregister(&set, now, id, 0);
            break;
        case 2:
            upstream_adopt(&set, now, 9);
            break;
        case 3:
            upstream_report_suspicion(&set, now, id, (uint32_t)step,
                                      INTERVAL_MS);
            break;
        default:
            (void)upstream_merge(&set, now, &record);
            break;
        }
        g_array_set_size(set.changed, 0);
        check_kept(&set);
    }
    g_rand_free(random);
    upstream_close(&set);
}

/* What is left out, and a test above that must fail then. */
static const struct mutation mutations[] = {
    {"silence", FAULT_NO_REGISTRATION_TIMEOUT, "/upstream/excuse"},
    {"excuse", FAULT_NO_STALL_EXTENSION, "/upstream/excuse"},
    {"second-sign", FAULT_NO_LOST_STATE,
     "/upstream/doubt/three-and-no-registration"},
    {"replace", FAULT_NO_REPLACE, "/upstream/address/late-word-of-the-old"},
    {"born", FAULT_NO_START_TIME, "/upstream/start/counts-begin-anew"},
    {"born-late", FAULT_NO_START_TIME,
     "/upstream/start/late-word-of-the-old-start"},
    {"born-end", FAULT_NO_START_TIME,
     "/upstream/end/not-stated-and-it-has-just-begun"},
};

/* Tells one inventory what another one holds. */
static void
tell(const struct upstream_set *from, struct upstream_set *to, uint64_t now)
{
    for (guint i = 0; i < from->all->len; i++) {
        wire_upstream record;

        upstream_pack(from, now, g_ptr_array_index(from->all, i), &record);
        (void)upstream_merge(to, now, &record);
    }
}

/* Nodes that tell each other forget an upstream that ended at the same time.
 * When each counts from when it was told, one that forgot is told again by one
 * that was told later, and every upstream that ever ended stays known. */
static void
test_gone_is_forgotten(void)
{
    struct upstream_set sets[2];
    uint64_t until = NOW + 3 * UPSTREAM_TOMBSTONE_MS;

    for (int i = 0; i < 2; i++) {
        upstream_open(&sets[i], SELF + (uint32_t)i, INTERVAL_MS);
    }
    (void)upstream_deregister(&sets[0], NOW, 7, 0);
    for (uint64_t now = NOW; now <= until; now += UPSTREAM_TOMBSTONE_MS / 5) {
        for (int i = 0; i < 2; i++) {
            upstream_tick(&sets[i], now);
        }
        tell(&sets[0], &sets[1], now + UPSTREAM_TOMBSTONE_MS / 10);
        tell(&sets[1], &sets[0], now + UPSTREAM_TOMBSTONE_MS / 10);
    }
    for (int i = 0; i < 2; i++) {
        g_assert_cmpuint(sets[i].all->len, ==, 0);
        upstream_close(&sets[i]);
    }
}

/* Lists the tests. */
int
main(int argc, char **argv)
{
    char path[128];

    mutation_begin();
    g_test_init(&argc, &argv, NULL);
    CASES_ADD("/upstream/merge/", merges, test_merge)
    CASES_ADD("/upstream/start/", starts, test_start)
    CASES_ADD("/upstream/start/mixed/", mixed, test_mixed)
    CASES_ADD("/upstream/end/", ends, test_end)
    g_test_add_func("/upstream/start/spread", test_start_is_spread);
    CASES_ADD("/upstream/address/", addresses, test_address)
    g_test_add_func("/upstream/address/merged", test_address_merged);
    CASES_ADD("/upstream/doubt/", words, test_word)
    g_test_add_func("/upstream/excuse", test_excuse);
    g_test_add_func("/upstream/kept", test_kept);
    g_test_add_func("/upstream/began-anew", test_began_anew);
    g_test_add_func("/upstream/contradiction", test_contradiction);
    g_test_add_func("/upstream/gone-is-forgotten", test_gone_is_forgotten);
    CASES_ADD("/upstream/mutation/", mutations, mutation_test)
    return g_test_run();
}
