/**
 * @file flow-load.h
 * Flows of callers over a simulated cluster, and the ways of steering that
 * are compared: ours, parts of it, and naive ones. Used by the tests and by
 * the measurement tool.
 */
#ifndef RIDGERIDGE_FLOW_LOAD_H
#define RIDGERIDGE_FLOW_LOAD_H

#include "sim.h"

/* How packets are steered. */
enum way {
    WAY_KEEPERS,    /* ours */
    WAY_NO_PUSH,    /* ours, but records are never pushed to keepers */
    WAY_CONSISTENT, /* our table, private records, no keepers */
    WAY_MODULO,     /* hash modulo serving upstreams, private records */
    WAY_EVIDENCE,   /* the caller's packets name the upstream, by the code of
                       nodes (TCP only) */
    WAY_COUNT
};

/* What happens at a time. */
enum act_kind {
    ACT_END,
    ACT_STATES, /* a bundle with these states of upstreams */
    ACT_KILL,   /* entry: kill -9 */
    ACT_START,  /* entry: start again */
    ACT_STOP,   /* entry: planned stop */
    ACT_FREEZE, /* entry: for 8 s */
    ACT_CUT,    /* entry: from control, for 5 s */
    ACT_WEIGHTS /* a bundle with these weights, digits of tens */
};

struct act {
    unsigned at_ms; /* from the end of the warm-up */
    enum act_kind kind;
    int entry;
    const char *states;
};

#define ACTS_MAX 16

struct flow_scene {
    const char *name;
    struct act acts[ACTS_MAX];
    unsigned length_ms; /* after the warm-up */
    bool udp;
};

struct flow_load {
    enum way way;
    uint64_t seed;
    int upstreams; /* at first */
    int entries, halls;
    unsigned delay_ms;  /* between halls */
    unsigned rtt_ms;    /* caller to upstream and back */
    unsigned flows;     /* long-lived */
    unsigned new_per_s; /* short ones, of about ten packets */
    const char *states; /* at first, NULL: all serving */
};

struct flow_result {
    unsigned opened, established;
    unsigned broken;          /* established flows that broke */
    unsigned late_at_leaving; /* new at a leaving upstream after 3 s */
    double imbalance_median, imbalance_worst, imbalance_end;
    double hops_percent;  /* packets handed on */
    double control_worst; /* bytes/s of an entry in its worst minute */
    double control_idle;  /* bytes/s of an entry before the first act */
    double memory_per_flow;
    uint64_t in_force_ms; /* last roll-out */
    char first_broken[160];
};

/* Runs one scene. */
void flow_load_run(const struct flow_load *load,
                   const struct flow_scene *scene, struct flow_result *out);

#define UPSTREAMS_IN_MIX 16

/* A scene of random acts, which points into `states`. */
void flow_load_mix(uint64_t seed, int entries, struct flow_scene *out,
                   char states[ACTS_MAX][UPSTREAMS_IN_MIX + 1],
                   bool views_apart);

const char *flow_load_way(enum way way);

#endif
