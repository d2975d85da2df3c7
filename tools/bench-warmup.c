/*
 * Compares policies that limit the rate of new flows to upstreams in warmup,
 * in a model of nodes that decide independently. A third or all upstreams of
 * one service warm up for 2 s, each accepts 9 new flows in any second, and
 * each node gets 16 new flows per second. Prints a row for each policy, size
 * and fault.
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

#define WARMING_MS 2000U
#define FLOWS_PER_S_MAX 9U /* 3 per second * 1.5 + 5, rounded down */
#define NODE_FLOWS_PER_S 16U
#define FLOW_MS 60U
#define WARMING_LOAD_TENTHS 16U
#define CLOCK_SKEW_MS 2000U /* clock skew of every third node */
#define LEARN_DELAY_MS 100U /* until a node sees the warmup */
#define NODES_MAX 300
#define UPSTREAMS_MAX 600

/* Limit on the flows to a warming upstream. */
enum policy {
    POLICY_WEIGHT, /* its load counts 1.6 times */
    POLICY_SLOTS,  /* time slots of the nodes, by their clocks */
    POLICY_OWNERS, /* a few owner nodes send it a flow per second each */
    POLICY_GRANTS, /* its keeper grants each flow */
    POLICY_WAIT,   /* none while warm upstreams exist; else its owners */
    POLICY_COUNT
};

static const char *const policy_names[POLICY_COUNT] = {
    "weight", "slots", "owners", "grants", "wait"};

/* Faults. */
enum fault {
    FAULT_NONE,
    FAULT_VIEWS, /* each node lacks another tenth of the members */
    FAULT_CLOCKS,
    FAULT_KEEPERS, /* two keepers per upstream */
    FAULT_COUNT
};

static const char *const fault_names[FAULT_COUNT] = {"none", "views", "clocks",
                                                     "keepers"};

/* An open flow. */
struct flow {
    uint64_t ends_at;
    unsigned node;
    unsigned upstream;
};

static struct {
    unsigned nodes;
    unsigned upstreams;
    bool all_warming; /* false: every third */
    enum policy policy;
    enum fault fault;
    uint64_t random;
    uint64_t now;
    struct warmup_nodes views[NODES_MAX];
    uint64_t clock_offset[NODES_MAX];
    unsigned open[NODES_MAX][UPSTREAMS_MAX];
    uint64_t sent_at[NODES_MAX][UPSTREAMS_MAX]; /* if warming */
    GArray *times[UPSTREAMS_MAX]; /* uint64_t: start times of flows */
    GQueue flows;                 /* struct flow, ordered by end */
    unsigned requested, refused, messages;
} model;

/* Result of a run. */
struct result {
    unsigned worst;  /* most new flows of a warming upstream in 1 s */
    double served;   /* new flows per second and warming upstream */
    double refused;  /* percent */
    double spread;   /* flows of the busiest warm upstream to their mean */
    double messages; /* per new flow */
};

static bool
is_warming(unsigned upstream)
{
    return model.all_warming || upstream % 3 == 0;
}

/* Fills the member lists and clock offsets of all nodes. */
static void
make_views(void)
{
    for (unsigned n = 0; n < model.nodes; n++) {
        GArray *all = g_array_new(FALSE, FALSE, sizeof(uint32_t));

        model.views[n].self = n + 1;
        model.views[n].all = g_array_new(FALSE, FALSE, sizeof(uint32_t));
        for (uint32_t other = 1; other <= model.nodes; other++) {
            if (model.fault != FAULT_VIEWS || other == n + 1 ||
                (n + other) % 10 != 0) {
                g_array_append_val(all, other);
            }
        }
        warmup_set_nodes(&model.views[n], all);
        g_array_free(all, TRUE);
        model.clock_offset[n] =
            model.fault == FAULT_CLOCKS && n % 3 == 0
                ? CLOCK_SKEW_MS + random_next(&model.random) % CLOCK_SKEW_MS
                : 0;
    }
}

/* New flows of an upstream in the last second. */
static unsigned
recent_flows(unsigned upstream)
{
    const GArray *times = model.times[upstream];
    unsigned count = 0;

    while (count < times->len &&
           g_array_index(times, uint64_t, times->len - 1 - count) + 1000 >
               model.now) {
        count++;
    }
    return count;
}

/* True if the current time slot is the node's, by its own clock. */
static bool
has_slot(unsigned n, unsigned upstream)
{
    uint64_t interval_ms = 1000 / FLOWS_PER_S_MAX + 1;
    uint64_t clock = model.now + model.clock_offset[n];

    return (clock / interval_ms) % model.nodes ==
               (n + upstream * 7) % model.nodes &&
           model.sent_at[n][upstream] + interval_ms < model.now;
}

/* True if the keeper grants a flow. Two keepers each count only their own. */
static bool
is_granted(unsigned upstream)
{
    unsigned flows_max =
        FLOWS_PER_S_MAX * (model.fault == FAULT_KEEPERS ? 2 : 1);

    model.messages += 2;
    return recent_flows(upstream) < flows_max;
}

/* True if the policy lets a node send a new flow to an upstream. */
static bool
may_send(unsigned n, unsigned upstream)
{
    if (!is_warming(upstream)) {
        return true;
    }
    switch (model.policy) {
    case POLICY_WEIGHT:
        return true;
    case POLICY_SLOTS:
        return has_slot(n, upstream);
    case POLICY_GRANTS:
        return true; /* granted after the choice */
    case POLICY_OWNERS:
    case POLICY_WAIT:
        return (model.sent_at[n][upstream] == 0 ||
                model.now >=
                    model.sent_at[n][upstream] + WARMUP_FLOW_INTERVAL_MS) &&
               warmup_is_owner(&model.views[n], FLOWS_PER_S_MAX / WARMUP_VIEWS,
                               upstream + 1);
    case POLICY_COUNT:
        break;
    }
    return false;
}

/* The upstream with the least load in a node's view, ties by the node's
 * rank; UPSTREAMS_MAX: none. */
static unsigned
least_loaded(unsigned n, bool warm_only)
{
    unsigned offset = n * model.upstreams / model.nodes;
    unsigned best = UPSTREAMS_MAX;
    unsigned best_load = 0;

    for (unsigned i = 0; i < model.upstreams; i++) {
        unsigned u = (i + offset) % model.upstreams;
        unsigned load = (model.open[n][u] + 1) *
                        (is_warming(u) ? WARMING_LOAD_TENTHS : 10);

        if ((warm_only && is_warming(u)) ||
            (best != UPSTREAMS_MAX && load >= best_load) || !may_send(n, u)) {
            continue;
        }
        best = u;
        best_load = load;
    }
    return best;
}

/* Selects an upstream for a new flow; UPSTREAMS_MAX: none. */
static unsigned
choose(unsigned n)
{
    unsigned u =
        least_loaded(n, model.policy == POLICY_WAIT && !model.all_warming);

    if (model.policy == POLICY_GRANTS && u != UPSTREAMS_MAX && is_warming(u) &&
        !is_granted(u)) {
        return model.all_warming ? UPSTREAMS_MAX : least_loaded(n, true);
    }
    return u;
}

/* Handles a new flow at a node. */
static void
handle_new_flow(unsigned n)
{
    unsigned u = choose(n);
    struct flow *flow;

    model.requested++;
    if (u == UPSTREAMS_MAX) {
        model.refused++;
        return;
    }
    flow = g_new(struct flow, 1);
    *flow = (struct flow){model.now + FLOW_MS, n, u};
    g_queue_push_tail(&model.flows, flow);
    model.open[n][u]++;
    model.sent_at[n][u] = model.now;
    g_array_append_val(model.times[u], model.now);
}

static void
end_flows(void)
{
    struct flow *flow;

    while ((flow = g_queue_peek_head(&model.flows)) != NULL &&
           flow->ends_at <= model.now) {
        model.open[flow->node][flow->upstream]--;
        g_free(g_queue_pop_head(&model.flows));
    }
}

static struct result
summarize(void)
{
    struct result out = {0};
    unsigned warm = 0;
    unsigned busiest = 0;
    unsigned warm_count = 0;
    unsigned warming = 0;

    for (unsigned u = 0; u < model.upstreams; u++) {
        if (is_warming(u)) {
            out.worst = MAX(out.worst, window_max(model.times[u], 1000));
            warming += model.times[u]->len;
        }
        else {
            warm_count++;
            warm += model.times[u]->len;
            busiest = MAX(busiest, model.times[u]->len);
        }
    }
    out.served = warming / (double)(model.upstreams - warm_count) /
                 (WARMING_MS / 1000.0);
    out.refused = 100.0 * model.refused / MAX(model.requested, 1);
    out.spread = warm > 0 ? busiest * (double)warm_count / warm : 0;
    out.messages = (double)model.messages / MAX(model.requested, 1);
    return out;
}

/* Runs one model with one seed. */
static struct result
run_model(unsigned nodes, bool all, enum policy policy, enum fault fault,
          uint64_t seed)
{
    struct result out;

    memset(&model, 0, sizeof(model));
    model.nodes = nodes;
    model.upstreams = nodes * 2 > UPSTREAMS_MAX ? UPSTREAMS_MAX : nodes * 2;
    model.all_warming = all;
    model.policy = policy;
    model.fault = fault;
    model.random = seed;
    make_views();
    for (unsigned u = 0; u < model.upstreams; u++) {
        model.times[u] = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    }
    for (model.now = LEARN_DELAY_MS; model.now < LEARN_DELAY_MS + WARMING_MS;
         model.now++) {
        end_flows();
        for (unsigned n = 0; n < model.nodes; n++) {
            if (random_next(&model.random) % 1000 < NODE_FLOWS_PER_S) {
                handle_new_flow(n);
            }
        }
    }
    out = summarize();
    for (unsigned u = 0; u < model.upstreams; u++) {
        g_array_free(model.times[u], TRUE);
    }
    for (unsigned n = 0; n < model.nodes; n++) {
        g_array_free(model.views[n].all, TRUE);
    }
    g_queue_clear_full(&model.flows, g_free);
    return out;
}

/* Runs all seeds and prints a row: the worst rate, means of the rest. */
static void
print_row(unsigned nodes, bool all, enum policy policy, enum fault fault,
          int seeds)
{
    struct result sum = {0};

    for (int seed = 1; seed <= seeds; seed++) {
        struct result one =
            run_model(nodes, all, policy, fault, (uint64_t)seed);

        sum.worst = MAX(sum.worst, one.worst);
        sum.served += one.served / seeds;
        sum.refused += one.refused / seeds;
        sum.spread += one.spread / seeds;
        sum.messages += one.messages / seeds;
    }
    (void)printf("%-7s %5u %-5s %-7s %6u%s %8.2f %8.1f %8.2f %8.2f\n",
                 policy_names[policy], nodes, all ? "all" : "third",
                 fault_names[fault], sum.worst,
                 sum.worst > FLOWS_PER_S_MAX ? "!" : " ", sum.served,
                 sum.refused, sum.spread, sum.messages);
}

int
main(int argc, char **argv)
{
    static const unsigned sizes[] = {11, 95, 300};
    int seeds = argc > 1 ? atoi(argv[1]) : 3;

    (void)printf(
        "policy  nodes share fault   most/s  served/s refused%%   spread "
        "messages\n");
    for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
        for (int all = 0; all < 2; all++) {
            for (int policy = 0; policy < POLICY_COUNT; policy++) {
                for (int fault = 0; fault < FAULT_COUNT; fault++) {
                    print_row(sizes[i], all, (enum policy)policy,
                              (enum fault)fault, seeds);
                }
            }
        }
    }
    return 0;
}
