/**
 * @file steer-load.h
 * A model to decide in: the steering and the inventory of nodes, the real
 * code, under callers with long and short flows and upstreams with slots, a
 * queue, a cold start, slow spells and deaths, in simulated time from one
 * seed. Ways of choosing an upstream are compared on the same load.
 */
#ifndef RIDGERIDGE_STEER_LOAD_H
#define RIDGERIDGE_STEER_LOAD_H

#include <stdbool.h>
#include <stdint.h>

/** How an upstream is chosen for a new flow. */
enum steer_way {
    STEER_TODAY,    /**< as the program does */
    STEER_RANDOM,   /**< by lot */
    STEER_TURN,     /**< each node in turn */
    STEER_NO_PLACE, /**< least work, ties in the same order everywhere */
    STEER_TWO,      /**< least work of two drawn by lot */
    STEER_WAIT,     /**< least work times the time that it took lately */
    STEER_SHARED,   /**< least of everybody's flows half a second ago, of two
                         drawn by lot */
    STEER_ORACLE,   /**< least wait, all queues known */
    STEER_WAYS
};

/** A load and what happens during it. Times in ms. */
struct steer_scene {
    char name[32];
    unsigned nodes;       /**< that steer */
    unsigned upstreams;   /**< at the start */
    unsigned slots;       /**< requests that an upstream runs at once */
    unsigned queue;       /**< and keeps waiting; more are turned away */
    unsigned callers;     /**< each has one request at a time */
    unsigned per_s;       /**< requests a second of all callers */
    unsigned short_share; /**< percent of callers with a flow a request */
    unsigned work_ms;     /**< mean of a request's work */
    unsigned aim_ms;      /**< answered within it is in aim */
    unsigned budget_ms;   /**< then the caller gives up */
    unsigned length_ms;   /**< of the scene */
    unsigned loss;        /**< of 1,000 packets */
    unsigned slow_at;     /**< slow spell: begins, 0: none */
    unsigned slow_for;    /**< lasts */
    unsigned slow_share;  /**< percent of the upstreams */
    unsigned slow_times;  /**< work takes so many times as long */
    unsigned die_at;      /**< upstreams die without a word, 0: none */
    unsigned die_share;   /**< percent of them */
    unsigned renew_at;    /**< upstreams are replaced by cold ones in turn,
                               one a second from here on, 0: none */
    unsigned renew_share; /**< percent of them */
};

/** The load of a small deployment, but for its length: 14 upstreams behind 12
 * nodes, a quarter of their slots in use. */
#define STEER_SMALL_LOAD                                                      \
    .nodes = 12, .upstreams = 14, .slots = 2, .queue = 8, .callers = 300,     \
    .per_s = 400, .short_share = 20, .work_ms = 17, .aim_ms = 100,            \
    .budget_ms = 1000

/** What came of it. */
struct steer_result {
    unsigned asked;        /**< requests */
    unsigned in_aim;       /**< of those, answered within the aim */
    unsigned late;         /**< answered within the budget */
    unsigned failed;       /**< not answered */
    unsigned turned_away;  /**< by full upstreams, tried again */
    unsigned reset_alive;  /**< flows of living upstreams that were reset */
    unsigned silent_alive; /**< living upstreams believed silent */
    double imbalance;      /**< busiest to mean of those that lived on */
    double ns_a_decision;  /**< processor time of a first packet */
    double bytes_a_node_s; /**< control, of changes and doubts alone */
};

/** Plays a scene in one way with one seed. */
void steer_load_run(const struct steer_scene *scene, enum steer_way way,
                    uint64_t seed, struct steer_result *result);

/** Name of a way. */
const char *steer_way_name(enum steer_way way);

#endif
