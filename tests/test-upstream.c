/*
 * Inventory of upstreams: merging of records in any order, reused addresses,
 * failure detection from missed registrations and suspicions, and expiry.
 */
#include <glib.h>

#include "cases.h"
#include "fixture.h"
#include "mutation.h"

#define RANDOM_SEED 7
#define RANDOM_STEPS 5000
#define RANDOM_IDS 40 /* exclusive upper bound */

/* Two records of one incarnation and the state after merging both. */
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
    {"earlier-loses",
     {5, 4},
     {UPSTREAM_READY, UPSTREAM_LEAVING},
     UPSTREAM_READY},
    {"silent-wins-a-tie",
     {4, 4},
     {UPSTREAM_READY, UPSTREAM_SILENT},
     UPSTREAM_SILENT},
    {"registers-again",
     {4, 5},
     {UPSTREAM_SILENT, UPSTREAM_READY},
     UPSTREAM_READY},
    {"gone-is-final", {4, 9}, {UPSTREAM_GONE, UPSTREAM_READY}, UPSTREAM_GONE},
};

/* Merges the records of a case from `first` on. */
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

/* Nodes that receive records in different orders must agree. */
static void
test_merge(const void *data)
{
    const struct merge_case *c = data;

    g_assert_cmpint(merge_in_order(c, 0), ==, c->state_after);
    g_assert_cmpint(merge_in_order(c, 1), ==, c->state_after);
}

/* A record of one start of upstream 7. */
struct start_record {
    uint64_t started_at; /* shortened; 0: not stated, as by older programs */
    uint64_t sequence;
    char state; /* r: ready, l: leaving, s: silent, g: gone */
};

struct start_case {
    const char *name;
    struct start_record records[3]; /* sequence 0: unused */
    struct start_record after;      /* expected in the inventory */
};

static const struct start_case starts[] = {
    {"sequence-restarts", {{100, 20, 'r'}, {900, 1, 'r'}}, {900, 1, 'r'}},
    {"late-record-of-the-old-start",
     {{100, 20, 'r'}, {900, 1, 'r'}, {100, 21, 'l'}},
     {900, 1, 'r'}},
    {"old-start-gone",
     {{100, 20, 'g'}, {900, 1, 'r'}, {100, 22, 'r'}},
     {900, 1, 'r'}},
    {"late-gone-of-the-old-start",
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

static enum upstream_state
state_by(char letter)
{
    return letter == 'r'   ? UPSTREAM_READY
           : letter == 'l' ? UPSTREAM_LEAVING
           : letter == 's' ? UPSTREAM_SILENT
                           : UPSTREAM_GONE;
}

static bool
merge_record(struct upstream_set *set, const struct start_record *r)
{
    wire_upstream record = {.id = 7,
                            .sequence = r->sequence,
                            .state = state_by(r->state),
                            .slots = 1,
                            .keeper = 9,
                            .service = "feed",
                            .hall = "hall",
                            .born = r->started_at};

    return upstream_merge(set, NOW, &record);
}

/* Merges the records in one order, `times` times. */
static void
merge_starts(const struct start_case *c, const int order[3], int times)
{
    const struct upstream *u;
    struct upstream_set set;

    upstream_open(&set, SELF, INTERVAL_MS);
    for (int i = 0; i < 3 * times; i++) {
        const struct start_record *record = &c->records[order[i % 3]];

        if (record->sequence != 0) {
            (void)merge_record(&set, record);
        }
    }
    u = upstream_by_id(&set, 7);
    g_assert_cmpuint(u->started_at, ==, c->after.started_at);
    g_assert_cmpuint(u->sequence, ==, c->after.sequence);
    g_assert_cmpint(u->state, ==, state_by(c->after.state));
    upstream_close(&set);
}

/* Records of an earlier start, in any order, must not replace a later one. */
static void
test_start(const void *data)
{
    static const int orders[][3] = {{0, 1, 2}, {0, 2, 1}, {1, 0, 2},
                                    {1, 2, 0}, {2, 0, 1}, {2, 1, 0}};

    for (size_t i = 0; i < G_N_ELEMENTS(orders); i++) {
        merge_starts(data, orders[i], 2);
    }
}

/* Records without a start time, as an older program sends, mixed with records
 * that have one; merged in this order. */
static const struct start_case mixed[] = {
    {"first-record", {{0, 20, 'r'}}, {0, 20, 'r'}},
    {"unstated-ready-is-ignored",
     {{900, 1, 'r'}, {0, 20, 'r'}},
     {900, 1, 'r'}},
    {"unstated-silent-is-ignored",
     {{900, 3, 'r'}, {0, 20, 's'}},
     {900, 3, 'r'}},
    {"unstated-gone-is-ignored", {{900, 3, 'r'}, {0, 20, 'g'}}, {900, 3, 'r'}},
    {"unstated-leaving-counts", {{900, 3, 'r'}, {0, 4, 'l'}}, {900, 3, 'l'}},
    {"leaving-until-it-registers",
     {{900, 3, 'r'}, {0, 20, 'l'}, {900, 4, 'r'}},
     {900, 4, 'r'}},
    {"late-leaving-is-ignored", {{900, 3, 'r'}, {0, 2, 'l'}}, {900, 3, 'r'}},
    {"new-start", {{0, 20, 'r'}, {900, 1, 'r'}}, {900, 1, 'r'}},
    {"new-start-after-gone", {{0, 20, 'g'}, {900, 1, 'r'}}, {900, 1, 'r'}},
    {"start-time-added", {{0, 20, 'r'}, {900, 21, 'r'}}, {900, 21, 'r'}},
    {"late-record", {{0, 20, 'r'}, {900, 19, 'l'}}, {0, 20, 'r'}},
};

static void
test_mixed(const void *data)
{
    static const int in_order[3] = {0, 1, 2};

    merge_starts(data, in_order, 1);
}

/* Deregistration of an upstream that registered here, started at 900. */
struct deregister_case {
    const char *name;
    uint64_t sequence;   /* of its registration */
    bool leaving;        /* in its registration */
    uint64_t started_at; /* in the deregistration, 0: not stated */
    bool is_accepted;
    char state; /* afterwards */
};

static const struct deregister_case deregistrations[] = {
    {"same-start", 20, true, 900, true, 'g'},
    {"unstated", 20, true, 0, true, 'g'},
    {"unstated-without-leaving", 20, false, 0, true, 'g'},
    {"earlier-start", 20, false, 100, true, 'r'},
    {"earlier-start-while-leaving", 1, true, 100, true, 'l'},
    {"unstated-after-first-registration", 1, false, 0, false, 'r'},
    {"unstated-leaving-at-once", 1, true, 0, true, 'g'},
    {"later-start", 20, false, 1700, true, 'g'},
};

/* A deregistration of another start must not remove the current one. */
static void
test_deregister(const void *data)
{
    const struct deregister_case *c = data;
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
    g_assert_cmpint(upstream_deregister(&set, NOW, 7, c->started_at), ==,
                    c->is_accepted);
    g_assert_cmpint(upstream_by_id(&set, 7)->state, ==, state_by(c->state));
    upstream_close(&set);
}

/* A new start must be announced and change the digest. A registration without
 * a start time is stale once a start time is known. */
static void
test_start_is_announced(void)
{
    struct upstream_registration r = {.id = 7,
                                      .service = "feed",
                                      .hall = "hall",
                                      .slots = 1,
                                      .sequence = 20,
                                      .started_at = 100};
    struct upstream_set set;
    uint32_t digest;

    upstream_open(&set, SELF, INTERVAL_MS);
    g_assert_true(upstream_register(&set, NOW, &r));
    digest = upstream_by_id(&set, 7)->digest;
    g_array_set_size(set.changed, 0);
    r.started_at = 900;
    r.sequence = 1;
    g_assert_true(upstream_register(&set, NOW, &r));
    g_assert_cmpuint(set.changed->len, ==, 1);
    g_assert_cmpuint(upstream_by_id(&set, 7)->digest, !=, digest);
    r.started_at = 0;
    r.sequence = 30;
    g_assert_false(upstream_register(&set, NOW, &r));
    upstream_close(&set);
}

/* Two incarnations at one address: upstream 2 registers after upstream 1
 * crashed, then one of them registers again. */
struct address_case {
    const char *name;
    uint64_t last_sequence;  /* of upstream 1, 0: it never registered */
    uint64_t first_sequence; /* of upstream 2 */
    uint64_t after_ms;       /* between those two registrations */
    uint64_t id;             /* upstream of the final registration */
    uint64_t sequence;
    bool leaving;
    enum upstream_state one; /* states at the end; GONE: not present */
    enum upstream_state two;
};

static const struct address_case addresses[] = {
    {"replaced", 20, 1, 2500, 2, 2, false, UPSTREAM_SILENT, UPSTREAM_READY},
    {"replaced-registers-late", 20, 1, 2500, 1, 21, false, UPSTREAM_SILENT,
     UPSTREAM_READY},
    {"unknown-replaced-registers-late", 0, 1, 2500, 1, 21, false,
     UPSTREAM_GONE, UPSTREAM_READY},
    {"replaced-leaves-late", 20, 1, 2500, 1, 21, true, UPSTREAM_LEAVING,
     UPSTREAM_READY},
    {"replaced-before-silent", 20, 1, 100, 2, 2, false, UPSTREAM_SILENT,
     UPSTREAM_READY},
    {"replaced-before-silent-registers-late", 20, 1, 100, 1, 21, false,
     UPSTREAM_SILENT, UPSTREAM_READY},
    {"replaced-soon-after-its-start", 1, 1, 2500, 1, 2, false, UPSTREAM_SILENT,
     UPSTREAM_READY},
    {"first-registration-of-new-lost", 20, 3, 2500, 1, 21, false,
     UPSTREAM_SILENT, UPSTREAM_READY},
};

/* Registers an upstream at the address that all upstreams share. */
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

/* Returns GONE for an upstream that is not present. */
static enum upstream_state
state_of(const struct upstream_set *set, uint64_t id)
{
    const struct upstream *upstream = upstream_by_id(set, id);

    return upstream != NULL ? upstream->state : UPSTREAM_GONE;
}

/* A late registration of a replaced incarnation must not make it ready. */
static void
test_address(const void *data)
{
    const struct address_case *c = data;
    struct upstream_set set;
    uint64_t now = NOW;

    upstream_open(&set, SELF, INTERVAL_MS);
    if (c->last_sequence > 0) {
        register_there(&set, now, 1, 1, false);
        register_there(&set, now, 1, c->last_sequence, false);
    }
    now += c->after_ms;
    register_there(&set, now, 2, c->first_sequence, false);
    register_there(&set, now + 50, c->id, c->sequence, c->leaving);
    g_assert_cmpint(state_of(&set, 1), ==, c->one);
    g_assert_cmpint(state_of(&set, 2), ==, c->two);
    upstream_close(&set);
}

/* A record merged from another node replaces an old incarnation too. */
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

/* State of upstream 1 at its keeper. Each step is a letter and the time since
 * the upstream's first registration, in 10 ms:
 *   a b c  that node reports a suspicion: data unanswered for 200 ms
 *   A      node a reports that the upstream is alive
 *   r      the upstream registers; l: as leaving
 *   w      no event
 *   k      another node becomes keeper */
struct suspicion_case {
    const char *name;
    const char *steps;
    enum upstream_state state; /* 110 ms after the last step */
};

static const struct suspicion_case suspicions[] = {
    {"three", "a40 b41 c42", UPSTREAM_SILENT},
    {"two", "a40 b41", UPSTREAM_READY},
    {"one-node-thrice", "a40 a41 a42", UPSTREAM_READY},
    {"far-apart", "a40 b41 c142", UPSTREAM_READY},
    {"alive-report", "a40 b41 c42 A44", UPSTREAM_READY},
    {"alive-report-before-the-third", "a40 b41 A42 c43", UPSTREAM_READY},
    {"registered-since", "a40 b41 r41 c42", UPSTREAM_READY},
    {"registered-after-the-data", "r39 a40 b41 c42", UPSTREAM_READY},
    {"registers-again-later", "a40 b41 c42 r60", UPSTREAM_READY},
    {"leaves", "l1 a40 b41 c42", UPSTREAM_LEAVING},
    {"other-keeper", "k1 a40 b41 c42", UPSTREAM_READY},
    {"no-registration", "w160", UPSTREAM_SILENT},
    {"three-and-no-registration", "a40 b41 c42 w160", UPSTREAM_LOST},
    {"no-registration-and-three-later", "w156 a170 b171 c172", UPSTREAM_LOST},
    {"no-registration-and-two", "w156 a170 b171", UPSTREAM_SILENT},
    {"no-registration-and-one-node-thrice", "w156 a170 a171 a172",
     UPSTREAM_SILENT},
    {"three-alive-report-no-registration", "a40 b41 c42 A100 w160",
     UPSTREAM_SILENT},
    {"no-registration-alive-report-three", "w156 A168 a170 b171 c172",
     UPSTREAM_SILENT},
    {"no-registration-old-alive-report-three", "w156 A158 a270 b271 c272",
     UPSTREAM_LOST},
    {"lost-and-registers", "a40 b41 c42 w160 r170", UPSTREAM_READY},
    {"lost-and-leaves", "a40 b41 c42 w160 l170", UPSTREAM_LEAVING},
};

/* Suspicions of three nodes mark an upstream silent; with missed registrations
 * as well, it is lost. */
static void
test_suspicion(const void *data)
{
    const struct suspicion_case *c = data;
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

/* A restarted node must not mark an upstream silent that may have changed its
 * keeper: it extends the timeout and queries other nodes once. */
static void
test_restart(void)
{
    uint64_t query_at = NOW + 4 * INTERVAL_MS;
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
    upstream_tick(&set, query_at);
    g_assert_cmpint(state_of(&set, 1), ==, UPSTREAM_READY);
    g_assert_cmpuint(set.queries->len, ==, 1);
    g_assert_cmpuint(upstream_deadline(&set), <, NOW + 5 * INTERVAL_MS);
    upstream_tick(&set, NOW + 5 * INTERVAL_MS);
    g_assert_cmpint(state_of(&set, 1), ==, UPSTREAM_SILENT);
    g_assert_cmpuint(set.queries->len, ==, 1);
    upstream_close(&set);
}

/* The keeper corrects a stale record of another node once, not for each copy
 * that it receives. */
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

/* Registrations missed during a stall of this node must not count. */
static void
test_stall(void)
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

/* Compares digests and the deadline with those computed from all records. */
static void
check_digests(const struct upstream_set *set)
{
    uint32_t sums[WIRE_BUCKETS] = {0};
    uint32_t digests[WIRE_BUCKETS];

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
    upstream_digests(set, digests);
    g_assert_cmpmem(sums, sizeof(sums), digests, sizeof(digests));
}

/* Incrementally updated digests and deadlines must stay exact after random
 * changes. */
static void
test_digests(void)
{
    struct upstream_set set;
    GRand *random = g_rand_new_with_seed(RANDOM_SEED);
    uint64_t now = NOW;

    upstream_open(&set, SELF, INTERVAL_MS);
    for (uint64_t step = 1; step <= RANDOM_STEPS; step++) {
        uint64_t id = g_rand_int_range(random, 1, RANDOM_IDS);
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
        check_digests(&set);
    }
    g_rand_free(random);
    upstream_close(&set);
}

static const struct mutation mutations[] = {
    {"registration-timeout", FAULT_NO_REGISTRATION_TIMEOUT, "/upstream/stall"},
    {"stall-extension", FAULT_NO_STALL_EXTENSION, "/upstream/stall"},
    {"lost-state", FAULT_NO_LOST_STATE,
     "/upstream/suspicion/three-and-no-registration"},
    {"replace", FAULT_NO_REPLACE, "/upstream/address/replaced-registers-late"},
    {"start-time", FAULT_NO_START_TIME, "/upstream/start/sequence-restarts"},
    {"start-time-late-record", FAULT_NO_START_TIME,
     "/upstream/start/late-record-of-the-old-start"},
    {"start-time-deregister", FAULT_NO_START_TIME,
     "/upstream/deregister/unstated-after-first-registration"},
};

/* Merges all records of one inventory into another one. */
static void
merge_all(const struct upstream_set *from, struct upstream_set *to,
          uint64_t now)
{
    for (guint i = 0; i < from->all->len; i++) {
        wire_upstream record;

        upstream_pack(from, now, g_ptr_array_index(from->all, i), &record);
        (void)upstream_merge(to, now, &record);
    }
}

/* Nodes that exchange a tombstone must expire it together. A node that counted
 * its lifetime from reception would restore it at nodes that removed it. */
static void
test_tombstone_expires(void)
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
        merge_all(&sets[0], &sets[1], now + UPSTREAM_TOMBSTONE_MS / 10);
        merge_all(&sets[1], &sets[0], now + UPSTREAM_TOMBSTONE_MS / 10);
    }
    for (int i = 0; i < 2; i++) {
        g_assert_cmpuint(sets[i].all->len, ==, 0);
        upstream_close(&sets[i]);
    }
}

int
main(int argc, char **argv)
{
    char path[128];

    mutation_init();
    g_test_init(&argc, &argv, NULL);
    CASES_ADD("/upstream/merge/", merges, test_merge)
    CASES_ADD("/upstream/start/", starts, test_start)
    CASES_ADD("/upstream/start/mixed/", mixed, test_mixed)
    CASES_ADD("/upstream/deregister/", deregistrations, test_deregister)
    g_test_add_func("/upstream/start/announced", test_start_is_announced);
    CASES_ADD("/upstream/address/", addresses, test_address)
    g_test_add_func("/upstream/address/merged", test_address_merged);
    CASES_ADD("/upstream/suspicion/", suspicions, test_suspicion)
    g_test_add_func("/upstream/stall", test_stall);
    g_test_add_func("/upstream/digests", test_digests);
    g_test_add_func("/upstream/restart", test_restart);
    g_test_add_func("/upstream/contradiction", test_contradiction);
    g_test_add_func("/upstream/tombstone-expires", test_tombstone_expires);
    CASES_ADD("/upstream/mutation/", mutations, mutation_test)
    return g_test_run();
}
