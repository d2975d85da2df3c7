/*
 * Stall detection of the event loop. Uses real time with wide margins; each
 * case has its own loop.
 */
#include <glib.h>
#include <unistd.h>

#include "cases.h"
#include "loop.h"

#define LATE_MS 100  /* threshold of a late wake-up */
#define AHEAD_MS 30  /* distance of a future deadline */
#define STALL_MS 300 /* length of a stall */

/* A case: at the first tick a deadline is set and the process stalls. */
struct stall_case {
    const char *name;
    int64_t deadline_ms;  /* relative to the time when it is set */
    unsigned stall_ms;    /* length of the stall, 0: none */
    unsigned late;        /* expected number of late wake-ups */
    bool before_deadline; /* stalls before the deadline is set, not after */
};

static const struct stall_case stall_cases[] = {
    {"in-time", AHEAD_MS, 0, 0, false},
    {"stood-still", AHEAD_MS, STALL_MS, 1, false},
    {"past-when-set", -10 * STALL_MS, 0, 0, false},
    {"past-when-set-and-stood-still", -10 * STALL_MS, STALL_MS, 1, false},
    /* A stall before the next deadline is set must be detected too;
     * otherwise stale first packets are forwarded. */
    {"stood-still-at-work", AHEAD_MS, STALL_MS, 1, true},
};

/* State of one case. */
struct fixture {
    const struct stall_case *c;
    unsigned ticks;
    unsigned late;
};

static void
count_late(void *data)
{
    struct fixture *f = data;

    f->late++;
}

/* Sets the deadline and stalls at the first tick; stops the loop at the
 * second. */
static void
tick(void *data)
{
    struct fixture *f = data;

    if (f->ticks++ > 0) {
        loop_stop();
        return;
    }
    if (f->c->before_deadline) {
        g_usleep(f->c->stall_ms * 1000UL);
    }
    loop_wake_at((uint64_t)((int64_t)loop_now() + f->c->deadline_ms));
    if (!f->c->before_deadline) {
        g_usleep(f->c->stall_ms * 1000UL);
    }
}

static void
test_stall(const void *data)
{
    struct fixture f = {.c = data};

    loop_open_idle(tick, &f);
    loop_on_stall(count_late, &f, LATE_MS);
    loop_wake_at(loop_now());
    loop_run();
    g_assert_cmpuint(f.ticks, ==, 2);
    g_assert_cmpuint(f.late, ==, f.c->late);
}

/* Two descriptors that are readable together; the first handler stalls. */
struct pair {
    struct fixture f;
    int fds[2][2];
    unsigned called;
};

/* Stalls at the first call; at the second, the stall must have been
 * reported. */
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

/* A stall in one handler must be reported before the next handler of the
 * same iteration runs. */
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

int
main(int argc, char **argv)
{
    char path[128];

    g_test_init(&argc, &argv, NULL);
    g_test_set_nonfatal_assertions();
    CASES_ADD("/loop/late/", stall_cases, test_stall)
    g_test_add_func("/loop/late/between-handlers", test_between_handlers);
    return g_test_run();
}
