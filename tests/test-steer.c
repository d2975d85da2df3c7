/*
 * The model of choices: it repeats itself, and it shows what the mechanisms
 * are for. Tables of cases.
 */
#include <glib.h>

#include "cases.h"
#include "fault.h"
#include "steer-load.h"

#define SEEDS 3

#define LOAD STEER_SMALL_LOAD, .length_ms = 20000
#define DYING .die_at = 6000, .die_share = 25
#define SLOWING                                                               \
    .slow_at = 6000, .slow_for = 8000, .slow_share = 30, .slow_times = 4

/* A mechanism, and what is worse without it by so many times. */
struct worth_case {
    const char *name;
    enum fault fault;
    struct steer_scene scene;
    unsigned failed_times; /* failed requests; 0: not compared */
    double late_times;     /* late requests; 0: not compared */
    double spread_times;   /* busiest to mean; 0: not compared */
};

static const struct worth_case worths[] = {
    {"doubt", FAULT_NO_SUSPICION_REPORT, {LOAD, DYING}, 4, 0, 0},
    {"lost", FAULT_KEEP_LOST_FLOWS, {LOAD, DYING}, 4, 0, 0},
    {"silence", FAULT_NO_REGISTRATION_TIMEOUT, {LOAD, DYING}, 4, 0, 0},
    {"took", FAULT_NO_LATENCY, {LOAD, SLOWING}, 0, 1.2, 0},
    {"least-work", FAULT_NO_LEAST_WORK, {LOAD}, 0, 0, 1.2},
};

/* Sums the figures of all seeds. */
static void
play(const struct steer_scene *scene, struct steer_result *sum)
{
    *sum = (struct steer_result){0};
    for (uint64_t seed = 1; seed <= SEEDS; seed++) {
        struct steer_result r;

        steer_load_run(scene, STEER_TODAY, seed, &r);
        g_assert_cmpuint(r.asked, >, 0);
        g_assert_cmpuint(r.reset_alive, ==, 0);
        sum->failed += r.failed;
        sum->late += r.late;
        sum->imbalance += r.imbalance;
    }
}

/* Plays a scene with and without a mechanism. */
static void
test_worth(const void *data)
{
    const struct worth_case *c = data;
    struct steer_result with;
    struct steer_result without;

    play(&c->scene, &with);
    fault_trials[c->fault] = true;
    play(&c->scene, &without);
    g_test_message("%s: failed %u -> %u, late %u -> %u", c->name, with.failed,
                   without.failed, with.late, without.late);
    fault_trials[c->fault] = false;
    if (c->failed_times != 0) {
        g_assert_cmpuint(without.failed, >, c->failed_times * with.failed);
    }
    if (c->late_times > 0) {
        g_assert_cmpfloat(without.late, >, c->late_times * with.late);
    }
    if (c->spread_times > 0) {
        g_assert_cmpfloat(without.imbalance, >,
                          c->spread_times * with.imbalance);
    }
}

/* One seed gives one result. */
static void
test_repeats(void)
{
    static const struct steer_scene scene = {LOAD, DYING, .loss = 25};
    struct steer_result first;
    struct steer_result second;

    steer_load_run(&scene, STEER_TODAY, 7, &first);
    steer_load_run(&scene, STEER_TODAY, 7, &second);
    g_assert_cmpuint(first.asked, ==, second.asked);
    g_assert_cmpuint(first.in_aim, ==, second.in_aim);
    g_assert_cmpuint(first.failed, ==, second.failed);
    g_assert_cmpfloat(first.imbalance, ==, second.imbalance);
}

/* Lists the tests. */
int
main(int argc, char **argv)
{
    char path[128];

    g_test_init(&argc, &argv, NULL);
    CASES_ADD("/steer/worth/", worths, test_worth)
    g_test_add_func("/steer/repeats", test_repeats);
    return g_test_run();
}
