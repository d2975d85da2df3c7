/*
 * Compares ways of bounding what cold upstreams get over all nodes, in a model
 * of nodes that decide alone: one service, of whose upstreams a third or all
 * turn cold for 2 s and bear 9 new flows in any second; 16 new flows a second
 * at each node. Prints one row for each way, size and scene.
 *
 * usage: bench-warmup [SEEDS]
 */
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "random.h"
#include "warmup.h"
#include "window.h"

#define COLD_MS 2000U
#define BOUND 9U /* of 9.5: 3 a second, times 1.5, and 5 */
#define FLOWS_A_NODE_S 16U
#define FLOW_MS 60U
#define COLD_TENTHS 16U
#define CLOCK_MS 2000U  /* by which a third of the clocks is off */
#define LEARNED_MS 100U /* a node that is late to learn who is cold */
#define NODES_MAX 300
#define UPSTREAMS_MAX 600

/* How a node decides about a cold upstream. */
enum way {
    WAY_WEIGHT, /* it weighs 1.6 times as much */
    WAY_SLOTS,  /* each node has its turn, by the clock */
    WAY_OWNERS, /* a few nodes own it and send it a flow a second each */
    WAY_GRANTS, /* the node that hears it hands out all that it bears */
    WAY_WAIT,   /* none while there are warm ones; else its owners */
    WAY_COUNT
};

static const char *const way_names[WAY_COUNT] = {"weight", "slots", "owners",
                                                 "grants", "wait"};

/* What is not as each node believes. */
enum trouble {
    TROUBLE_NONE,
    TROUBLE_VIEWS, /* a tenth of the nodes is unknown to each, another one */
    TROUBLE_CLOCKS,
    TROUBLE_KEEPERS, /* upstreams are heard by two nodes for a moment */
    TROUBLE_COUNT
};

static const char *const trouble_names[TROUBLE_COUNT] = {"none", "views",
                                                         "clocks", "keepers"};

/* One flow that is open. */
struct flow {
    uint64_t ends_at;
    unsigned node;
    unsigned upstream;
};

static struct {
    unsigned nodes;
    unsigned upstreams;
    bool all_cold; /* else each third of them */
    enum way way;
    enum trouble trouble;
    uint64_t random;
    uint64_t now;
    struct warmup_nodes views[NODES_MAX];
    uint64_t clock_off[NODES_MAX];
    unsigned open[NODES_MAX][UPSTREAMS_MAX];
    uint64_t sent_at[NODES_MAX][UPSTREAMS_MAX]; /* to a cold one */
    GArray *times[UPSTREAMS_MAX];               /* uint64_t: new flows */
    GQueue flows;                               /* struct flow, by end */
    unsigned asked, refused, messages;
} m;

/* What came of it. */
struct outcome {
    unsigned worst;  /* most new flows of a cold one in a second */
    double served;   /* new flows a second and cold upstream */
    double refused;  /* % */
    double spread;   /* busiest to mean of the warm ones */
    double messages; /* for each new flow */
};

/* Says whether an upstream is cold. */
static bool
is_cold(unsigned upstream)
{
    return m.all_cold || upstream % 3 == 0;
}

/* Lets each node know others. */
static void
make_views(void)
{
    for (unsigned n = 0; n < m.nodes; n++) {
        GArray *all = g_array_new(FALSE, FALSE, sizeof(uint32_t));

        m.views[n].self = n + 1;
        m.views[n].all = g_array_new(FALSE, FALSE, sizeof(uint32_t));
        for (uint32_t other = 1; other <= m.nodes; other++) {
            if (m.trouble != TROUBLE_VIEWS || other == n + 1 ||
                (n + other) % 10 != 0) {
                g_array_append_val(all, other);
            }
        }
        warmup_set_nodes(&m.views[n], all);
        g_array_free(all, TRUE);
        m.clock_off[n] = m.trouble == TROUBLE_CLOCKS && n % 3 == 0
                             ? CLOCK_MS + random_next(&m.random) % CLOCK_MS
                             : 0;
    }
}

/* Counts the new flows that an upstream got in the last second. */
static unsigned
lately(unsigned upstream)
{
    const GArray *times = m.times[upstream];
    unsigned count = 0;

    while (count < times->len &&
           g_array_index(times, uint64_t, times->len - 1 - count) + 1000 >
               m.now) {
        count++;
    }
    return count;
}

/* Says whether it is a node's turn by its clock. */
static bool
has_slot(unsigned n, unsigned upstream)
{
    uint64_t slot_ms = 1000 / BOUND + 1;
    uint64_t clock = m.now + m.clock_off[n];

    return (clock / slot_ms) % m.nodes == (n + upstream * 7) % m.nodes &&
           m.sent_at[n][upstream] + slot_ms < m.now;
}

/* Says whether the node that hears an upstream grants a flow. Two that hear it
 * each count their own. */
static bool
is_granted(unsigned upstream)
{
    unsigned most = BOUND * (m.trouble == TROUBLE_KEEPERS ? 2 : 1);

    m.messages += 2;
    return lately(upstream) < most;
}

/* Says whether a node may send a new flow to an upstream. */
static bool
may_send(unsigned n, unsigned upstream)
{
    if (!is_cold(upstream)) {
        return true;
    }
    switch (m.way) {
    case WAY_WEIGHT:
        return true;
    case WAY_SLOTS:
        return has_slot(n, upstream);
    case WAY_GRANTS:
        return true; /* asked once it is chosen */
    case WAY_OWNERS:
    case WAY_WAIT:
        return (m.sent_at[n][upstream] == 0 ||
                m.now >= m.sent_at[n][upstream] + WARMUP_FLOW_INTERVAL_MS) &&
               warmup_is_owner(&m.views[n], BOUND / WARMUP_VIEWS,
                               upstream + 1);
    case WAY_COUNT:
        break;
    }
    return false;
}

/* Chooses by the least work that a node sees, from its own place on, perhaps
 * among warm ones alone. UPSTREAMS_MAX: none. */
static unsigned
least(unsigned n, bool warm_alone)
{
    unsigned place = n * m.upstreams / m.nodes;
    unsigned best = UPSTREAMS_MAX;
    unsigned best_work = 0;

    for (unsigned i = 0; i < m.upstreams; i++) {
        unsigned u = (i + place) % m.upstreams;
        unsigned work = (m.open[n][u] + 1) * (is_cold(u) ? COLD_TENTHS : 10);

        if ((warm_alone && is_cold(u)) ||
            (best != UPSTREAMS_MAX && work >= best_work) || !may_send(n, u)) {
            continue;
        }
        best = u;
        best_work = work;
    }
    return best;
}

/* Chooses an upstream for a new flow. */
static unsigned
choose(unsigned n)
{
    unsigned u = least(n, m.way == WAY_WAIT && !m.all_cold);

    if (m.way == WAY_GRANTS && u != UPSTREAMS_MAX && is_cold(u) &&
        !is_granted(u)) {
        return m.all_cold ? UPSTREAMS_MAX : least(n, true);
    }
    return u;
}

/* A caller wants a flow. */
static void
arrive(unsigned n)
{
    unsigned u = choose(n);
    struct flow *flow;

    m.asked++;
    if (u == UPSTREAMS_MAX) {
        m.refused++;
        return;
    }
    flow = g_new(struct flow, 1);
    *flow = (struct flow){m.now + FLOW_MS, n, u};
    g_queue_push_tail(&m.flows, flow);
    m.open[n][u]++;
    m.sent_at[n][u] = m.now;
    g_array_append_val(m.times[u], m.now);
}

/* Ends flows. */
static void
end_flows(void)
{
    struct flow *flow;

    while ((flow = g_queue_peek_head(&m.flows)) != NULL &&
           flow->ends_at <= m.now) {
        m.open[flow->node][flow->upstream]--;
        g_free(g_queue_pop_head(&m.flows));
    }
}

/* Sums up. */
static struct outcome
sum_up(void)
{
    struct outcome out = {0};
    unsigned warm = 0;
    unsigned busiest = 0;
    unsigned warm_count = 0;
    unsigned cold = 0;

    for (unsigned u = 0; u < m.upstreams; u++) {
        if (is_cold(u)) {
            out.worst = MAX(out.worst, window_most(m.times[u], 1000));
            cold += m.times[u]->len;
        }
        else {
            warm_count++;
            warm += m.times[u]->len;
            busiest = MAX(busiest, m.times[u]->len);
        }
    }
    out.served =
        cold / (double)(m.upstreams - warm_count) / (COLD_MS / 1000.0);
    out.refused = 100.0 * m.refused / MAX(m.asked, 1);
    out.spread = warm > 0 ? busiest * (double)warm_count / warm : 0;
    out.messages = (double)m.messages / MAX(m.asked, 1);
    return out;
}

/* Plays one scene. */
static struct outcome
play(unsigned nodes, bool all, enum way way, enum trouble trouble,
     uint64_t seed)
{
    struct outcome out;

    memset(&m, 0, sizeof(m));
    m.nodes = nodes;
    m.upstreams = nodes * 2 > UPSTREAMS_MAX ? UPSTREAMS_MAX : nodes * 2;
    m.all_cold = all;
    m.way = way;
    m.trouble = trouble;
    m.random = seed;
    make_views();
    for (unsigned u = 0; u < m.upstreams; u++) {
        m.times[u] = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    }
    for (m.now = LEARNED_MS; m.now < LEARNED_MS + COLD_MS; m.now++) {
        end_flows();
        for (unsigned n = 0; n < m.nodes; n++) {
            if (random_next(&m.random) % 1000 < FLOWS_A_NODE_S) {
                arrive(n);
            }
        }
    }
    out = sum_up();
    for (unsigned u = 0; u < m.upstreams; u++) {
        g_array_free(m.times[u], TRUE);
    }
    for (unsigned n = 0; n < m.nodes; n++) {
        g_array_free(m.views[n].all, TRUE);
    }
    g_queue_clear_full(&m.flows, g_free);
    return out;
}

/* Plays one scene with several seeds: the worst of the bound, means else. */
static void
row(unsigned nodes, bool all, enum way way, enum trouble trouble, int seeds)
{
    struct outcome sum = {0};

    for (int seed = 1; seed <= seeds; seed++) {
        struct outcome one = play(nodes, all, way, trouble, (uint64_t)seed);

        sum.worst = MAX(sum.worst, one.worst);
        sum.served += one.served / seeds;
        sum.refused += one.refused / seeds;
        sum.spread += one.spread / seeds;
        sum.messages += one.messages / seeds;
    }
    (void)printf("%-7s %5u %-5s %-7s %6u%s %8.2f %8.1f %8.2f %8.2f\n",
                 way_names[way], nodes, all ? "all" : "third",
                 trouble_names[trouble], sum.worst,
                 sum.worst > BOUND ? "!" : " ", sum.served, sum.refused,
                 sum.spread, sum.messages);
}

/* Plays all. */
int
main(int argc, char **argv)
{
    static const unsigned sizes[] = {11, 95, 300};
    int seeds = argc > 1 ? atoi(argv[1]) : 3;

    (void)printf(
        "way     nodes cold  wrong   most/s  served/s refused%%   spread "
        "messages\n");
    for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
        for (int all = 0; all < 2; all++) {
            for (int way = 0; way < WAY_COUNT; way++) {
                for (int trouble = 0; trouble < TROUBLE_COUNT; trouble++) {
                    row(sizes[i], all, (enum way)way, (enum trouble)trouble,
                        seeds);
                }
            }
        }
    }
    return 0;
}
