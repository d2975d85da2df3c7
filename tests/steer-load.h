/**
 * @file steer-load.h
 * Discrete-event model that compares load-balancing policies on the same
 * load, in simulated time from one seed. Nodes run the real steering and
 * inventory; callers and upstreams are simulated.
 */
#ifndef RIDGERIDGE_STEER_LOAD_H
#define RIDGERIDGE_STEER_LOAD_H

#include <stdbool.h>
#include <stdint.h>

/** Load-balancing policy for new flows. */
enum steer_policy {
    STEER_LEAST_WORK,    /**< the program's own policy */
    STEER_RANDOM,        /**< uniform */
    STEER_ROUND_ROBIN,   /**< each node on its own */
    STEER_NO_RANK,       /**< least work; all nodes break ties alike */
    STEER_TWO_CHOICES,   /**< least work of two drawn at random */
    STEER_LATENCY,       /**< least work multiplied by recent latency */
    STEER_SHARED_COUNTS, /**< fewest flows of all nodes, from a snapshot, of
                              two drawn at random */
    STEER_ORACLE,        /**< least wait, with all queues visible */
    STEER_POLICIES
};

/** A load and its faults. Times in ms; those named _at are relative to the
 * start, and 0 disables the fault. */
struct steer_scenario {
    char name[32];
    unsigned nodes;
    unsigned upstreams;   /**< at the start */
    unsigned slots;       /**< concurrent requests of an upstream */
    unsigned queue;       /**< requests that wait; further ones are rejected */
    unsigned callers;     /**< each has one request at a time */
    unsigned per_s;       /**< requests per second of all callers */
    unsigned short_share; /**< percent of callers with one request per flow */
    unsigned work_ms;     /**< mean service time */
    unsigned aim_ms;      /**< target response time */
    unsigned budget_ms;   /**< timeout of a request */
    unsigned length_ms;   /**< duration of the run */
    unsigned loss;        /**< packets lost of 1,000 */
    unsigned slow_at;     /**< some upstreams become slow */
    unsigned slow_for;    /**< duration */
    unsigned slow_share;  /**< percent of the upstreams */
    unsigned slow_times;  /**< factor on the service time */
    unsigned die_at;      /**< some upstreams crash */
    unsigned die_share;   /**< percent of the upstreams */
    unsigned renew_at;    /**< rolling restart, one upstream per second */
    unsigned renew_share; /**< percent of the upstreams */
};

/** A small deployment at a quarter of its capacity, without length_ms. */
#define STEER_SMALL_LOAD                                                      \
    .nodes = 12, .upstreams = 14, .slots = 2, .queue = 8, .callers = 300,     \
    .per_s = 400, .short_share = 20, .work_ms = 17, .aim_ms = 100,            \
    .budget_ms = 1000

/** Figures of a run. */
struct steer_result {
    unsigned requests;
    unsigned on_time;       /**< answered within aim_ms */
    unsigned late;          /**< answered within budget_ms */
    unsigned failed;        /**< timed out */
    unsigned rejected;      /**< by full upstreams, then retried */
    unsigned false_resets;  /**< flows reset though their upstream was alive */
    unsigned false_silent;  /**< live upstreams marked silent */
    double imbalance;       /**< requests of the busiest upstream to the mean,
                                 of those alive in the whole run */
    double ns_per_decision; /**< CPU time of steering a first packet */
    double bytes_per_node_s; /**< sent inventory changes and reports */
};

/** Runs a scenario with one policy and seed. */
void steer_load_run(const struct steer_scenario *scenario,
                    enum steer_policy policy, uint64_t seed,
                    struct steer_result *result);

const char *steer_policy_name(enum steer_policy policy);

#endif
