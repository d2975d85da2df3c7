/**
 * @file flow-load.h
 * Load of TCP and UDP flows over the simulated cluster (sim.h), with changes
 * of the bundle and injected faults: steering with keepers, compared with
 * simpler policies.
 */
#ifndef RIDGERIDGE_FLOW_LOAD_H
#define RIDGERIDGE_FLOW_LOAD_H

#include "sim.h"

/* How packets are steered. */
enum flow_policy {
    POLICY_KEEPERS,    /* Maglev table, records at keepers */
    POLICY_NO_PUSH,    /* the same, records stay at their entry */
    POLICY_CONSISTENT, /* Maglev table, records of the entry only */
    POLICY_MODULO,     /* hash modulo serving upstreams, records as above */
    POLICY_EVIDENCE,   /* evidence tokens in packets (TCP only) */
    POLICY_COUNT
};

/* Kind of a change of the cluster. */
enum load_event_kind {
    LOAD_END,
    LOAD_STATES,    /* submits a bundle with these upstream states */
    LOAD_KILL,      /* entry: SIGKILL */
    LOAD_START,     /* entry: restart */
    LOAD_STOP,      /* entry: planned stop */
    LOAD_FREEZE,    /* entry: for 8 s */
    LOAD_PARTITION, /* entry: from all control replicas, for 5 s */
    LOAD_WEIGHTS    /* submits a bundle with these weights, in units of 10 */
};

struct load_event {
    unsigned at_ms; /* from the end of the warmup */
    enum load_event_kind kind;
    int entry;          /* from 0 */
    const char *states; /* or weights; one character per upstream */
};

#define LOAD_EVENTS_MAX 16

struct flow_scenario {
    const char *name;
    struct load_event events[LOAD_EVENTS_MAX];
    unsigned length_ms; /* after the warmup */
    bool udp;
};

struct flow_load {
    enum flow_policy policy;
    uint64_t seed;
    int upstreams; /* in the first bundle */
    int entries, halls;
    unsigned delay_ms;  /* between halls */
    unsigned rtt_ms;    /* from caller to upstream and back */
    unsigned flows;     /* long-lived */
    unsigned new_per_s; /* short flows of 10 packets */
    const char *states; /* in the first bundle, NULL: all serving */
};

struct flow_result {
    unsigned opened, established;
    unsigned broken;          /* a packet reached another upstream */
    unsigned late_at_leaving; /* new flows at an upstream that has been leaving
                                 for 3 s */
    /* max / mean of open flows per weight of serving upstreams */
    double imbalance_median, imbalance_worst, imbalance_end;
    double hops_percent; /* packets forwarded to another entry */
    double
        control_worst;   /* bytes/s of the busiest entry, over at least 60 s */
    double control_idle; /* bytes/s of the busiest entry in the warmup */
    double memory_per_flow; /* bytes */
    uint64_t in_force_ms;   /* rollout time of the last bundle */
    char first_broken[160];
};

void flow_load_run(const struct flow_load *load,
                   const struct flow_scenario *scenario,
                   struct flow_result *out);

#define MIX_UPSTREAMS 16

/* Generates a scenario of random events, which points into `states`. */
void flow_load_random_scenario(uint64_t seed, int entries,
                               struct flow_scenario *out,
                               char states[LOAD_EVENTS_MAX][MIX_UPSTREAMS + 1],
                               bool partitions);

const char *flow_load_policy_name(enum flow_policy policy);

#endif
