/*
 * When the loop believes that its process stood still. Each case has a loop of
 * its own; time is real, so the margins are wide.
 */
#include <glib.h>
#include <unistd.h>

#include "cases.h"
#include "loop.h"

#define LATE_MS 100  /* a wake-up later than this counts */
#define AHEAD_MS 30  /* a deadline that is not past */
#define STALL_MS 300 /* of a process that stands still */

/* Steps of one case: before each, the deadline is set and the process may
 * stand still. */
struct late_case {
    const char *name;
    int64_t deadline_ms; /* from the moment when it is set */
    unsigned stall_ms;   /* then the process stands still */
    unsigned late;       /* wake-ups that count as late */
    bool at_work;        /* it stands still before the deadline is set */
};

static const struct late_case lates[] = {
    {"in-time", AHEAD_MS, 0, 0, false},
    {"stood-still", AHEAD_MS, STALL_MS, 1, false},
    {"past-when-set", -10 * STALL_MS, 0, 0, false},
    {"past-when-set-and-stood-still", -10 * STALL_MS, STALL_MS, 1, false},
    /* Seen: a node was paused in the midst of its work, so that it set its
     * next deadline after the pause; first packets that had waited went on to
     * an upstream though their copies had opened the flow at another one. */
    {"stood-still-at-work", AHEAD_MS, STALL_MS, 1, true},
};

/* A loop that wakes up twice. */
struct fixture {
    const struct late_case *c;
    unsigned ticks;
    unsigned late;
};

/* Counts a late wake-up. */
static void
count_late(void *data)
{
    struct fixture *f = data;

    f->late++;
}

/* Sets the case's deadline, stands still, and ends at the second tick. */
static void
tick(void *data)
{
    struct fixture *f = data;

    if (f->ticks++ > 0) {
        loop_stop();
        return;
    }
    if (f->c->at_work) {
        g_usleep(f->c->stall_ms * 1000UL);
    }
    loop_wake_at((uint64_t)((int64_t)loop_now() + f->c->deadline_ms));
    if (!f->c->at_work) {
        g_usleep(f->c->stall_ms * 1000UL);
    }
}

/* Runs one case. */
static void
test_late(const void *data)
{
    struct fixture f = {.c = data};

    loop_open_idle(tick, &f);
    loop_on_stall(count_late, &f, LATE_MS);
    loop_wake_at(loop_now());
    loop_run();
    g_assert_cmpuint(f.ticks, ==, 2);
    g_assert_cmpuint(f.late, ==, f.c->late);
}

/* Two descriptors that can be read at once: the first handler stands still. */
struct pair {
    struct fixture f;
    int fds[2][2];
    unsigned called;
};

/* Stands still at first; then notes whether that was noticed before. */
static void
on_pair(void *data)
{
    struct pair *pair = data;

    if (pair->called++ == 0) {
        g_usleep(STALL_MS * 1000UL);
        return;
    }
    g_assert_cmpuint(pair->f.late, ==, 1);
    loop_stop();
}

/* What waited while one handler stood still is not taken by the next one of
 * the same turn before the standstill is noticed. */
static void
test_between_handlers(void)
{
    struct pair pair = {.called = 0};

    loop_open_idle(tick, &pair.f);
    loop_on_stall(count_late, &pair.f, LATE_MS);
    for (int i = 0; i < 2; i++) {
        g_assert_cmpint(pipe(pair.fds[i]), ==, 0);
        g_assert_cmpint(write(pair.fds[i][1], "x", 1), ==, 1);
        loop_watch(pair.fds[i][0], on_pair, &pair);
    }
    loop_run();
    g_assert_cmpuint(pair.called, ==, 2);
    for (int i = 0; i < 2; i++) {
        (void)close(pair.fds[i][0]);
        (void)close(pair.fds[i][1]);
    }
}

/* Lists the tests. */
int
main(int argc, char **argv)
{
    char path[128];

    g_test_init(&argc, &argv, NULL);
    g_test_set_nonfatal_assertions();
    CASES_ADD("/loop/late/", lates, test_late)
    g_test_add_func("/loop/late/between-handlers", test_between_handlers);
    return g_test_run();
}
