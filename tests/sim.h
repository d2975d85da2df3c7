/**
 * @file sim.h
 * Deterministic discrete-event simulation of a cluster: control replicas and
 * entries exchange messages with delay, loss and reordering, and can be
 * killed, frozen, partitioned and lose their disks. A seed determines a run.
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

/* A control replica or an entry. */
struct sim_node {
    bool control;
    bool up;
    uint64_t frozen_until;
    uint32_t hall;
    struct control_core core;
    struct sim_disk disk;
    struct entry_core *entry;
    char *saved_text; /* the entry's bundle on disk */
    uint64_t id;      /* of an entry, new at each start */
    uint64_t tick_at;
    uint64_t control_bytes; /* sent: flow records and control messages */
    uint64_t request_bytes; /* sent for requests */
    uint64_t minute_bytes;  /* control bytes of the current minute */
    uint64_t worst_minute;  /* maximum of minute_bytes */
};

/* Callbacks for packets to upstreams, dispatches and aborts, responses to
 * requests, and replies to operators. Only sim_send_packet() needs
 * `forwarded`; others may be NULL. */
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
    int initial_voters; /* 0: all controls */
    int entries;
    int halls;
    uint64_t seed;
    unsigned loss;      /* of 1,000 messages */
    unsigned delay_ms;  /* minimum, between halls */
    unsigned jitter_ms; /* random, added to each message */
    size_t flow_capacity;
    bool push_off; /* entries push no flow records */
    struct sim_hooks hooks;
};

struct sim {
    struct sim_options options;
    uint64_t now;
    uint64_t random;
    uint64_t sequence;
    GPtrArray *queue; /* struct event, a binary heap */
    struct sim_node nodes[SIM_NODES_MAX];
    int count;
    bool link_down[SIM_NODES_MAX][SIM_NODES_MAX]; /* from, to */
    struct counters counters;
    uint64_t minute_at;
    uint64_t packet_hops;
    uint64_t packets;
    uint64_t packets_lost;
};

struct sim *sim_new(const struct sim_options *options);
void sim_free(struct sim *sim);

/* Random number below a bound, of 64 bits when it is 0. */
uint64_t sim_random(struct sim *sim, uint64_t below);

/* Runs until a time in ms. */
void sim_run(struct sim *sim, uint64_t until);

void sim_kill(struct sim *sim, int node);
void sim_start(struct sim *sim, int node);

/* Stops a node until a time; its messages and packets are delayed. */
void sim_freeze(struct sim *sim, int node, uint64_t until);

void sim_wipe(struct sim *sim, int node); /* kills, and loses the disk */

/* Drops all messages in one direction, or delivers them again. */
void sim_set_link_down(struct sim *sim, int from, int to, bool down);

/* Sets the links between a node and all others, in both directions. */
void sim_isolate(struct sim *sim, int node, bool down);

/* Node index of entry `n`, from 0. */
int sim_entry(const struct sim *sim, int n);

/* Node index of the running leader with the highest term, -1 when there is
 * none. */
int sim_leader(const struct sim *sim);

/* Delivers a packet to an entry, as the fabric does; `tag` is passed to the
 * forwarded hook. */
void sim_send_packet(struct sim *sim, int node, uint64_t tag,
                     const struct flow_packet *packet);

/* Calls a function at a time. */
void sim_schedule(struct sim *sim, uint64_t at,
                  void (*call)(struct sim *sim, void *data), void *data);

/* Carries out the pending actions of a node; needed after a test called its
 * core. */
void sim_run_actions(struct sim *sim, int node);

/* Submits a bundle, or signs off the pending one, at the leader; false without
 * a leader or a pending bundle. */
bool sim_submit(struct sim *sim, const char *text, const char *submission,
                const char *operator_name, uint64_t token);
bool sim_sign_off(struct sim *sim, uint64_t token);

/* Submits a bundle, signs it off and waits until it is in force at all
 * entries; false after `limit_ms`. */
bool sim_roll_out(struct sim *sim, const char *text, uint64_t limit_ms);

/* Text of a bundle with a flow service and a request service. `states` has a
 * character per upstream: serving, leaving or '-' (absent); `weights` a digit
 * in units of 10, NULL: all 100. The caller frees it. */
char *sim_bundle(uint64_t version, uint64_t base, const char *states,
                 const char *weights, unsigned slots, bool udp);

#endif
