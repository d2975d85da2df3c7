/**
 * @file warmup.h
 * Slow start of upstreams: bounds the rate of new flows that an upstream gets
 * from all nodes together while it warms up. A few owner nodes per upstream,
 * chosen by rendezvous hashing (Thaler and Ravishankar, 1998), send it one
 * flow per WARMUP_FLOW_INTERVAL_MS each; all other nodes send none.
 *
 * Alternatives are compared in docs/design/shifted-work.md.
 */
#ifndef RIDGERIDGE_WARMUP_H
#define RIDGERIDGE_WARMUP_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define WARMUP_FLOW_INTERVAL_MS                                               \
    1001U /**< between an owner's flows to an upstream; more than a second,   \
               so that no second contains two */
#define WARMUP_VIEWS                                                          \
    3U /**< differing member lists in use at once, during partitions, joins   \
            and restarts; the owners by each list send flows, so the bound is \
            split among the lists */

/** Warmup limit of one service. */
struct warmup_limit {
    uint64_t warmup_ms; /**< warmup after a start */
    bool bounded;       /**< new flows are limited */
    uint32_t owners;    /**< owner nodes per upstream */
};

/** Candidate owners. */
struct warmup_nodes {
    uint32_t self;    /**< this node */
    GArray *all;      /**< uint32_t: addresses, sorted, including `self`; empty
                           until all are known: this node then owns nothing */
    uint64_t version; /**< rises with each change of `all` */
};

/**
 * Computes the warmup limit of a service.
 * @param warmup_ms duration of the warmup
 * @param rate_milli rate stated by the service, in 1/1000 flow/s; 0: no limit
 * @param overshoot_milli permitted peak, in 1/1000 of the stated rate
 * @param slack_milli added to the peak, in 1/1000 flow/s
 */
struct warmup_limit warmup_limit_of(uint64_t warmup_ms, uint64_t rate_milli,
                                    uint64_t overshoot_milli,
                                    uint64_t slack_milli);

/** Whether this node is one of the `owners` highest-ranked nodes of an
 * upstream. */
bool warmup_is_owner(const struct warmup_nodes *nodes, uint32_t owners,
                     uint64_t id);

/** Replaces the candidate owners; sorts `all`. */
void warmup_set_nodes(struct warmup_nodes *nodes, GArray *all);

#endif
