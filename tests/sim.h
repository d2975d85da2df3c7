/**
 * @file sim.h
 * Simulated time over the cores: control replicas and entries exchange
 * messages with delay, loss and reordering; nodes are killed, frozen, cut off
 * and lose their disks, all from one seed. The only scaffolding of its kind.
 */
#ifndef RIDGERIDGE_SIM_H
#define RIDGERIDGE_SIM_H

#include "control-core.h"
#include "entry-core.h"
#include "sim-disk.h"

#define SIM_CONTROLS_MAX 7
#define SIM_ENTRIES_MAX 64
#define SIM_NODES_MAX (SIM_CONTROLS_MAX + SIM_ENTRIES_MAX)
#define SIM_WALL 1000000000000ULL /* wall clock at simulated time 0 */

/* One node: a control replica or an entry. */
struct sim_node {
    bool control;
    bool up;
    uint64_t frozen_until;
    uint32_t hall;
    struct control_core core;
    struct sim_disk disk;
    struct entry_core *entry;
    char *saved_text; /* the entry's disk */
    uint64_t id;      /* of the entry's start */
    uint64_t tick_at;
    uint64_t control_bytes; /* sent, flow records and control messages */
    uint64_t request_bytes; /* sent on behalf of requests */
    uint64_t minute_bytes;  /* control bytes in this minute */
    uint64_t worst_minute;  /* most of them in a minute */
};

/* What a forwarded packet, a dispatch or an answer is told to. */
struct sim_hooks {
    void (*forwarded)(void *data, int node, uint64_t tag,
                      const struct flow_packet *packet, uint32_t address,
                      uint16_t port);
    void (*dispatched)(void *data, int node,
                       const struct entry_action *action);
    void (*answered)(void *data, int node, const struct entry_action *action);
    void (*replied)(void *data, int node, uint64_t token,
                    const struct status *status);
    void *data;
};

struct sim_options {
    int controls;
    int founders; /* 0: all controls */
    int entries;
    int halls;
    uint64_t seed;
    unsigned loss;      /* of 1,000 messages */
    unsigned delay_ms;  /* least, between halls */
    unsigned jitter_ms; /* random, added */
    size_t flow_capacity;
    bool push_off;
    struct sim_hooks hooks;
};

struct sim {
    struct sim_options options;
    uint64_t now;
    uint64_t random;
    uint64_t sequence;
    GPtrArray *queue; /* heap of events */
    struct sim_node nodes[SIM_NODES_MAX];
    int count;
    bool cut[SIM_NODES_MAX][SIM_NODES_MAX]; /* from, to */
    struct counters counters;
    uint64_t minute_at;
    uint64_t packet_hops;
    uint64_t packets;
    uint64_t packets_lost;
};

struct sim *sim_new(const struct sim_options *options);
void sim_free(struct sim *sim);

/* Random number below a bound. */
uint64_t sim_random(struct sim *sim, uint64_t below);

/* Runs until a time. */
void sim_run(struct sim *sim, uint64_t until);

void sim_kill(struct sim *sim, int node);
void sim_start(struct sim *sim, int node);
void sim_freeze(struct sim *sim, int node, uint64_t until);
void sim_wipe(struct sim *sim, int node); /* kills, and loses the disk */
void sim_cut(struct sim *sim, int from, int to, bool cut);
void sim_isolate(struct sim *sim, int node, bool cut);

/* Index of entry N from 0. */
int sim_entry(const struct sim *sim, int n);

/* The control replica that leads, -1 when none does. */
int sim_leader(const struct sim *sim);

/* Hands a packet to an entry, as the fabric would. `tag` comes back. */
void sim_packet(struct sim *sim, int node, uint64_t tag,
                const struct flow_packet *packet);

/* Calls back at a time. */
void sim_at(struct sim *sim, uint64_t at,
            void (*call)(struct sim *sim, void *data), void *data);

/* Carries out a node's actions; after calls of its core by a test. */
void sim_act(struct sim *sim, int node);

/* Submits and signs off a bundle at the leader; false when none leads. */
bool sim_submit(struct sim *sim, const char *text, const char *submission,
                const char *operator_name, uint64_t token);
bool sim_sign_off(struct sim *sim, uint64_t token);

/* Submits, signs off and waits until it is in force everywhere; false after
 * `limit_ms`. */
bool sim_roll_out(struct sim *sim, const char *text, uint64_t limit_ms);

/* Text of a bundle with one flow service and one request service on
 * `count` upstreams; `states` holds one of 's', 'l' or '-' for each. */
char *sim_bundle(uint64_t version, uint64_t base, const char *states,
                 const char *weights, unsigned slots, bool udp);

#endif
