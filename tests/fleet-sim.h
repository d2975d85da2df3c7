/**
 * @file fleet-sim.h
 * Simulated time over the nodes of a fleet that finds itself: their fleet,
 * inventory, steering and order cores exchange messages with delay and loss;
 * nodes are killed, frozen, cut off, wiped and replaced, all from one seed.
 */
#ifndef RIDGERIDGE_FLEET_SIM_H
#define RIDGERIDGE_FLEET_SIM_H

#include "evidence.h"
#include "fleet.h"
#include "replica.h"
#include "fragment.h"
#include "sim-disk.h"

#define FLEET_SIM_NODES 400          /* most, with those that replace others */
#define FLEET_SIM_UPSTREAMS 3200     /* most */
#define FLEET_SIM_INTERVAL_MS 770    /* between registrations of an upstream */
#define FLEET_SIM_DATAGRAM_MAX 65499 /* bytes behind a checksum of 8 */

/* One node. */
struct fleet_sim_node {
    bool up;
    bool has_disk;
    bool gone; /* removed for good */
    uint64_t frozen_until;
    uint32_t address;
    struct sim_disk disk;
    GByteArray *kept; /* of the fleet, on the disk; NULL: none */
    struct counters counters;
    struct upstream_set upstreams;
    struct evidence evidence;
    struct fleet fleet;
    struct replica replica;
    struct fragment_table parts;
    uint64_t version_seen;   /* in force in this run */
    unsigned ticks_late;     /* in a row that left a deadline in the past */
    uint64_t bytes_sent;     /* to other nodes */
    uint64_t tables_sent;    /* of those, copies of the table, in bytes */
    uint64_t spread_sent;    /* of those, changes and acknowledgements */
    uint64_t compared_sent;  /* to compare inventories, and what was lacked */
    uint64_t spread_between; /* of these, to other halls */
    uint64_t out_free_at;    /* deadline, in us: its link may send on */
    uint64_t in_free_at;     /* deadline, in us: its link may receive on */
};

/* One upstream that registers. */
struct fleet_sim_upstream {
    uint64_t id;
    uint64_t sequence;
    bool up;
    bool leaving;
    int keeper; /* node that it registers with, -1: any */
    uint64_t register_at;
};

/* What a fleet is made of. */
struct fleet_sim_options {
    int nodes;
    int disks; /* the first of the nodes have one */
    int upstreams;
    uint64_t seed;
    int first_seed; /* nodes from here on are named to those that start */
    unsigned loss;  /* of 1,000 messages */
    unsigned table_bytes;    /* of a packed table; 0: a short text */
    unsigned apply_ms;       /* a node without a disk stands still so long to
                                read a table */
    unsigned link_kb_s;      /* of nodes without a disk; 0: no bound */
    unsigned disk_link_kb_s; /* of nodes with a disk */
    unsigned queue_ms;       /* a message that would wait longer for a link is
                                lost; 0: a second */
    int halls; /* data halls, which nodes are in by turns; 0: 1 */
};

/* A fleet in simulated time. */
struct fleet_sim {
    struct fleet_sim_options options;
    uint64_t now;
    uint64_t random;
    int count;
    int first_seed; /* nodes from here on are named to those that start */
    struct fleet_sim_node nodes[FLEET_SIM_NODES];
    int upstream_count;
    struct fleet_sim_upstream upstreams[FLEET_SIM_UPSTREAMS];
    bool cut[FLEET_SIM_NODES][FLEET_SIM_NODES];
    GArray *queue;             /* messages under way */
    uint64_t deadlines_missed; /* that a tick left in the past */
    uint64_t vote_wait_us;     /* longest wait of consensus for its own link */
    GHashTable *waiting;       /* token to version; 0: a read */
    GHashTable *halls_waiting; /* token to number of an order about a hall */
    uint64_t halls_ordered;    /* number of the last one */
    uint64_t halls_acked;      /* highest number acknowledged */
    uint64_t last_token;
    uint64_t acked;   /* highest version acknowledged */
    uint64_t read;    /* version of the last read that was answered */
    char broken[256]; /* first promise that did not hold */
};

/* Makes a fleet and starts it. */
struct fleet_sim *fleet_sim_new(const struct fleet_sim_options *options);
/* Frees it. */
void fleet_sim_free(struct fleet_sim *sim);
/* Random number below a bound; any when it is 0. */
uint64_t fleet_sim_random(struct fleet_sim *sim, uint64_t below);
/* Runs until a time. */
void fleet_sim_run(struct fleet_sim *sim, uint64_t until);
/* Kills a node; its disk stays. */
void fleet_sim_kill(struct fleet_sim *sim, int node);
/* Starts a node that is down and not gone. */
void fleet_sim_start(struct fleet_sim *sim, int node);
/* Kills a node and loses its disk. */
void fleet_sim_wipe(struct fleet_sim *sim, int node);
/* Freezes a node until a time; messages to it wait. */
void fleet_sim_freeze(struct fleet_sim *sim, int node, uint64_t until);
/* Cuts two nodes from each other, or joins them again. */
void fleet_sim_cut(struct fleet_sim *sim, int one, int other, bool cut);
/* Cuts a node from all others, or joins it again. */
void fleet_sim_isolate(struct fleet_sim *sim, int node, bool cut);
/* Removes a node for good; an empty one starts at another address. */
int fleet_sim_replace(struct fleet_sim *sim, int node);
/* Adds a node without a disk and starts it. */
int fleet_sim_join(struct fleet_sim *sim);
/* Sends a table to a node, which passes it to the leader it knows. */
void fleet_sim_submit(struct fleet_sim *sim, int node, uint64_t version);
/* Asks a node, which passes it to the leader it knows, for the table. */
void fleet_sim_read(struct fleet_sim *sim, int node);
/* Sends one version until it is acknowledged; false after `limit_ms`. */
bool fleet_sim_put(struct fleet_sim *sim, uint64_t version, uint64_t limit_ms);
/* Sends an order about a hall to a node, which passes it to the leader it
 * knows. */
void fleet_sim_order_hall(struct fleet_sim *sim, int node, const char *hall,
                          bool emptied);
/* Sends an order until it is acknowledged; false after `limit_ms`. */
bool fleet_sim_put_hall(struct fleet_sim *sim, const char *hall, bool emptied,
                        uint64_t limit_ms);
/* Counts the running nodes that hold another list of emptied halls than the
 * leader's voter. */
int fleet_sim_count_other_halls(const struct fleet_sim *sim);
/* Reads until a quorum answers; false after `limit_ms`. */
bool fleet_sim_get(struct fleet_sim *sim, uint64_t limit_ms);
/* Says whether a node runs now. */
bool fleet_sim_is_running(const struct fleet_sim *sim, int node);
/* Data hall of a node, from 0 on. */
int fleet_sim_hall(const struct fleet_sim *sim, int node);
/* The node that leads, -1 when none does. */
int fleet_sim_leader(const struct fleet_sim *sim);
/* The lowest version that a running node works by. */
uint64_t fleet_sim_lowest_version(const struct fleet_sim *sim);
/* Notes the first broken promise. */
void fleet_sim_note(struct fleet_sim *sim, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

#endif
