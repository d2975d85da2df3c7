/**
 * @file warmup.h
 * How many new flows an upstream gets while it is cold: it has just begun, and
 * bears a bounded rate of them from all nodes together. Nodes decide alone and
 * each sees a fraction, so a few of them own each cold upstream, by rendezvous
 * hashing over the nodes that are known (Thaler and Ravishankar, 1998), and
 * each owner sends it one flow a second. All others send it none. Pure
 * arithmetic: who is known and what is cold is told by others.
 *
 * Ways weighed are in docs/design/shifted-work.md.
 */
#ifndef RIDGERIDGE_WARMUP_H
#define RIDGERIDGE_WARMUP_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define WARMUP_PACE_MS                                                        \
    1001U /**< an owner sends a cold upstream a flow so often: no second      \
               holds two of them */
#define WARMUP_VIEWS                                                          \
    3U /**< a bound is divided by so many: while nodes are cut off from each  \
            other, join or begin anew, their views of who owns an upstream    \
            differ, and the owners of all views send */

/** What the upstreams of one service bear while they are cold. */
struct warmup_limit {
    uint64_t cold_ms; /**< an upstream is cold so long after its start */
    bool bounded;     /**< there is a bound on new flows */
    uint32_t owners;  /**< nodes that own each of them */
};

/** The nodes among which owners are found. */
struct warmup_nodes {
    uint32_t self;    /**< this node */
    GArray *all;      /**< uint32_t: addresses, this one with them; empty while
                           not all are known: this node then owns nothing */
    uint64_t version; /**< rises when they change */
};

/**
 * What a service's upstreams bear.
 * @param cold_ms how long each is cold
 * @param rate_milli stated rate, in thousandths of a flow a second; 0: no
 * bound
 * @param overshoot_milli how far it may be passed, in thousandths of itself
 * @param slack_milli and beyond that, in thousandths of a flow a second
 */
struct warmup_limit warmup_limit_of(uint64_t cold_ms, uint64_t rate_milli,
                                    uint64_t overshoot_milli,
                                    uint64_t slack_milli);

/** Says whether this node is among the `owners` of an upstream. */
bool warmup_owns(const struct warmup_nodes *nodes, uint32_t owners,
                 uint64_t id);

/** Takes the nodes that are known, in any order; sorts `all`. */
void warmup_set_nodes(struct warmup_nodes *nodes, GArray *all);

#endif
