/*
 * Upstreams that have just begun bear a bounded rate of new flows, summed over
 * all nodes, of which each sees a fraction.
 *
 * The load: 95 nodes with 16 new flows a second each, as many as the busiest
 * deployment has on a top of its wave, and a service of which some or all
 * upstreams are cold for 2 s, as after a release, or when a data hall comes
 * back. Each node decides alone, with what it has been told.
 */
#include <glib.h>
#include <string.h>

#include "cases.h"
#include "fixture.h"
#include "platform/platform.h"

#define NODES 95
#define FLOWS_A_NODE_S 16U /* new ones */
#define COLD_MS 2000U
#define BOUND 9U /* new flows in any second: 3 a second, times 1.5, and 5 */
#define CALLER_PORTS 30000

/* A service, and who of it is cold. */
struct scene {
    const char *name;
    unsigned upstreams;
    unsigned cold; /* the first of them */
};

static const struct scene scenes[] = {
    {"one-of-many", 30, 1},
    {"a-third", 30, 10},
    {"all", 30, 30},
    {"the-only-one", 1, 1},
};

static struct fixture nodes[NODES];

/* A table whose service states what a cold upstream bears. */
static struct route_table *
table(void)
{
    static const char text[] =
        "{\"version\":1,\"routes\":[{\"name\":\"r\",\"hostname\":"
        "\"198.18.0.1\",\"path_prefix\":\"/443/\",\"kind\":\"unsafe\","
        "\"timeout_ms\":3000,\"service\":\"feed\"}],\"services\":[{\"name\":"
        "\"feed\",\"warmup_s\":2.0,\"warmup_per_s\":3.0}]}";
    struct status st = {STATUS_OK, ""};
    struct route_table *read = platform_read_table(text, strlen(text), &st);

    g_assert_nonnull(read);
    return read;
}

/* Makes the nodes; each is told of all upstreams. */
static void
open_nodes(const struct scene *scene)
{
    for (uint32_t n = 0; n < NODES; n++) {
        struct fixture *f = &nodes[n];

        memset(f, 0, sizeof(*f));
        upstream_open(&f->upstreams, SELF + n, INTERVAL_MS);
        evidence_open(&f->ev, &f->upstreams, &f->counters, 60000);
        f->ev.settled = true;
        f->ev.place = (uint32_t)(((uint64_t)n << 32) / NODES);
        g_assert_true(evidence_apply(&f->ev, table()));
        for (uint64_t id = 1; id <= scene->upstreams; id++) {
            wire_upstream record = {.id = id,
                                    .sequence = 1,
                                    .address = 0x0a800000U + (uint32_t)id,
                                    .port = 8080,
                                    .slots = 2,
                                    .state = UPSTREAM_READY,
                                    .warm_ms = id <= scene->cold ? COLD_MS : 0,
                                    .keeper = SELF,
                                    .service = "feed",
                                    .hall = "hall"};

            g_assert_true(upstream_merge(&f->upstreams, NOW, &record));
        }
    }
}

/* Frees them. */
static void
close_nodes(void)
{
    for (int n = 0; n < NODES; n++) {
        fixture_close(&nodes[n]);
    }
}

/* Counts the most new flows that one upstream was sent in any second; `at` has
 * their times, in order. */
static unsigned
busiest_second(const GArray *at)
{
    unsigned most = 0;
    guint first = 0;

    for (guint i = 0; i < at->len; i++) {
        while (g_array_index(at, uint64_t, first) + 1000 <=
               g_array_index(at, uint64_t, i)) {
            first++;
        }
        most = MAX(most, i - first + 1);
    }
    return most;
}

/* Callers open flows at all nodes while upstreams are cold. */
static void
test_bound(const void *data)
{
    const struct scene *scene = data;
    GRand *random = g_rand_new_with_seed(29);
    GArray **at = g_new0(GArray *, scene->upstreams + 1);
    unsigned most = 0;

    open_nodes(scene);
    for (unsigned id = 1; id <= scene->upstreams; id++) {
        at[id] = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    }
    for (uint64_t ms = 0; ms < COLD_MS; ms++) {
        for (int n = 0; n < NODES; n++) {
            struct evidence_packet packet = fixture_packet(
                (uint16_t)g_rand_int_range(random, 1, CALLER_PORTS), true, 0,
                0);
            struct evidence_verdict verdict;
            uint64_t now = NOW + ms;

            if (g_rand_int_range(random, 0, 1000) >= (gint32)FLOWS_A_NODE_S) {
                continue;
            }
            evidence_steer(&nodes[n].ev, now, &packet, &verdict);
            if (verdict.action == EVIDENCE_FORWARD) {
                g_array_append_val(at[verdict.upstream->id], now);
            }
        }
    }
    for (unsigned id = 1; id <= scene->upstreams; id++) {
        most = id <= scene->cold ? MAX(most, busiest_second(at[id])) : most;
        g_array_free(at[id], TRUE);
    }
    g_test_message("at most %u new flows in a second", most);
    g_assert_cmpuint(most, <=, BOUND);
    g_free(at);
    g_rand_free(random);
    close_nodes();
}

/* Lists the tests. */
int
main(int argc, char **argv)
{
    char path[128];

    g_test_init(&argc, &argv, NULL);
    g_test_set_nonfatal_assertions();
    CASES_ADD("/warmup/bound/", scenes, test_bound)
    return g_test_run();
}
