/**
 * @file evidence-internal.h
 * Declarations shared by evidence*.c only.
 */
#ifndef RIDGERIDGE_EVIDENCE_INTERNAL_H
#define RIDGERIDGE_EVIDENCE_INTERNAL_H

#include "evidence.h"

/** Soft state of a flow at this node: load estimate, upstream of the first
 * packet, and failure detection. Times are in ms. */
struct evidence_flow {
    uint64_t key;                 /**< evidence_hash() of its packets */
    uint64_t upstream;            /**< id of the upstream */
    uint64_t upstream_started_at; /**< start time of the upstream when the flow
                                       was bound to it */
    bool has_first;          /**< this node forwarded its first packet; the
                                  next three fields are valid */
    uint32_t first_sequence; /**< sequence of the first packet */
    uint64_t first_upstream; /**< id of the upstream that received it */
    uint64_t first_upstream_started_at; /**< start time of that upstream */
    uint64_t last_seen_at;              /**< last packet */
    uint64_t expire_at;           /**< deadline of a closed flow; 0: open, idle
                                       timeout applies */
    uint64_t opened_at;           /**< first forwarded packet */
    uint64_t unanswered_since;    /**< first send of data that is not
                                       acknowledged, 0: none */
    uint64_t retransmitted_at;    /**< last send of that data */
    uint32_t unanswered_sequence; /**< sequence of that data */
    uint32_t confirmed_timeouts;  /**< consecutive retransmissions of it while
                                       later data to other upstreams was
                                       answered */
    uint32_t acknowledged;        /**< last acknowledgement of the caller */
    uint64_t dequeued_at;         /**< last time a queued packet was sent */
    uint32_t queued;              /**< packets queued for this node's link */
    uint32_t next_sequence;       /**< next sequence expected in order */
    bool has_next_sequence;       /**< `next_sequence` is valid */
    bool gap;                     /**< data before the latest is missing */
    bool answered;                /**< the upstream has answered the flow */
    bool busy;                    /**< a request awaits its answer */
    bool requested;               /**< a request was sent on it */
    uint64_t busy_until;          /**< deadline of the caller for that
                                       answer */
    uint64_t counted_until;       /**< deadline: the request no longer counts
                                       as running at the upstream */
};

/* evidence-choose.c */
/** Whether an upstream is ready, silent or lost, has a unique token, and its
 * hall is not drained. */
bool evidence_accepts_flows(const struct upstream *upstream);
/** Chooses an upstream of a service for a new flow, other than `excluded`,
 * which may be NULL; NULL when none is eligible. Sets the counts of the
 * verdict. */
struct upstream *evidence_choose(const struct evidence *ev, uint64_t now,
                                 uint16_t service,
                                 const struct upstream *excluded,
                                 struct evidence_verdict *verdict);

/** Counts the candidates and the upstreams that are not eligible. */
void evidence_count_candidates(const struct evidence *ev, uint64_t now,
                               uint16_t service,
                               const struct upstream *excluded,
                               struct evidence_verdict *verdict);
/** Whether an upstream may get a new flow of a service now. */
bool evidence_is_candidate(const struct evidence *ev, uint64_t now,
                           uint16_t service, struct upstream *upstream,
                           const struct upstream *excluded);
/** Whether a candidate is neither suspected, ejected, out of reach nor silent.
 * Needs the counts of evidence_count_candidates(). */
bool evidence_is_in_service(const struct evidence *ev,
                            const struct upstream *upstream, uint64_t now,
                            const struct evidence_verdict *verdict);
/** Health of a candidate; lower is preferred. Needs the counts of
 * evidence_count_candidates(). */
unsigned evidence_tier(const struct evidence *ev,
                       const struct upstream *upstream, uint64_t now,
                       const struct evidence_verdict *verdict);

/* evidence-load.c */
void evidence_load_open(struct evidence_load *load);
void evidence_load_close(struct evidence_load *load);
/** Reads the priorities of a new table. */
void evidence_load_apply(struct evidence *ev);
/** Chooses an upstream for a new flow as evidence_choose() does, and decides
 * in `verdict->admission` whether the flow is admitted; `excluded`: upstream
 * that did not answer the flow, which then was admitted before. */
struct upstream *evidence_load_choose(struct evidence *ev, uint64_t now,
                                      const struct evidence_packet *packet,
                                      const struct route *route,
                                      uint16_t service,
                                      const struct upstream *excluded,
                                      struct evidence_verdict *verdict);
/** An upstream answered a request with `bytes` bytes. */
void evidence_load_note_answer(struct evidence *ev, uint64_t now,
                               const struct evidence_packet *packet,
                               const struct upstream *upstream,
                               uint32_t latency_us, uint32_t bytes);
/** A request with its first data was forwarded: sets its deadlines. */
void evidence_load_note_request(struct evidence *ev, uint64_t now,
                                const struct evidence_packet *packet,
                                struct evidence_flow *flow,
                                const struct upstream *upstream);
/** A flow was admitted and opened. */
void evidence_load_note_open(struct evidence *ev, uint64_t now,
                             const struct evidence_packet *packet,
                             uint64_t flow, struct upstream *upstream);
/** A packet with data arrived on a flow. */
void evidence_load_note_data(struct evidence *ev, uint64_t now,
                             const struct evidence_packet *packet,
                             uint64_t flow);
/** The request of a flow ended: answered, closed or expired. */
void evidence_load_note_end(struct evidence *ev, uint64_t now, uint64_t flow);

/* evidence-outlier.c */
/** Response times of a route. */
struct evidence_baseline {
    uint32_t median_us; /**< running median */
    uint32_t answers;   /**< samples, up to the required minimum */
};
/** Adds the response time of an upstream to its route's baseline; reports the
 * upstream when the answer came too early. */
void evidence_note_response(struct evidence *ev, uint64_t now,
                            const struct evidence_packet *packet,
                            struct upstream *upstream, uint32_t latency_us);

/* evidence-reach.c */
/** An upstream answered, directly or through a relay. */
void evidence_reach_note_answer(struct evidence *ev, uint64_t now,
                                const struct upstream *upstream);
/** A flow was opened by a first packet sent directly at `sent_at`. */
void evidence_reach_note_open(struct evidence *ev, uint64_t now,
                              const struct upstream *upstream,
                              uint64_t sent_at);
/** Whether new flows avoid a hall. */
bool evidence_hall_is_avoided(const struct evidence *ev, uint64_t now,
                              uint32_t hall);
/** An upstream did not answer a packet in time. */
void evidence_reach_note_timeout(struct evidence *ev, uint64_t now,
                                 const struct upstream *upstream);

/* evidence-liveness.c */
/** Whether this node is overloaded: a missing answer then says nothing about
 * an upstream. */
bool evidence_is_overloaded(const struct evidence *ev, uint64_t now);
/** Whether all packets of a flow were sent long enough ago for an answer. */
bool evidence_answer_is_due(const struct evidence_flow *flow, uint64_t now);
/** Upstream of a flow; NULL when it is unknown or has restarted. */
struct upstream *evidence_upstream_of(const struct evidence *ev,
                                      const struct evidence_flow *flow);
/** Removes a flow from its upstream's busy count. */
void evidence_set_idle(struct evidence *ev, struct evidence_flow *flow);
/** Updates load and liveness of a flow and its upstream from a packet. */
void evidence_observe(struct evidence *ev, uint64_t now,
                      const struct evidence_packet *packet,
                      struct evidence_flow *flow, struct upstream *upstream);
/** Response time of an upstream as a multiple of its service's median, from 1;
 * 1 when unknown. */
uint32_t evidence_slowness(const struct evidence *ev, uint64_t now,
                           const struct upstream *upstream);
/** Whether a flow's upstream is considered lost and the flow must end. */
bool evidence_is_lost(const struct evidence *ev, uint64_t now,
                      const struct evidence_flow *flow,
                      const struct upstream *upstream);
/** Marks a flow as closed; it is freed after a timeout for late
 * retransmissions. */
void evidence_expire_flow(struct evidence *ev, uint64_t now,
                          struct evidence_flow *flow);

#endif
