/**
 * @file evidence.h
 * Stateless steering by a token in each packet, as in Cheetah (Barbette et
 * al., NSDI 2020): a node writes the token of an upstream into the first
 * packet of a flow, both ends repeat it, and any node can then forward the
 * flow. Owns the active routing table and soft state of flows for load
 * estimates and failure detection. Does no I/O.
 */
#ifndef RIDGERIDGE_EVIDENCE_H
#define RIDGERIDGE_EVIDENCE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "admission.h"
#include "counter.h"
#include "link-demand.h"
#include "returning.h"
#include "ring.h"
#include "route.h"
#include "shortage.h"
#include "upstream.h"

/** Header fields of a packet from a caller. */
struct evidence_packet {
    uint32_t source;           /**< IPv4 of the caller, host order */
    uint32_t destination;      /**< IPv4 of the route, host order */
    uint16_t source_port;      /**< port of the caller */
    uint16_t destination_port; /**< port of the route */
    uint32_t token;            /**< names the upstream; 0: none */
    uint32_t acknowledged;     /**< bytes of the upstream that the caller
                                    acknowledged; in a first packet: number of
                                    earlier transmissions */
    uint32_t sequence;         /**< of the first byte of data; the same in all
                                    copies of a first packet */
    uint32_t length;           /**< bytes of data */
    bool first;                /**< opens the flow */
    bool closing;              /**< FIN or reset */
    bool reset;                /**< reset by the caller */
    uint64_t received_at;      /**< when it arrived, if it was held since; 0:
                                    now */
};

/** Reachability of a data hall from this node. Times are in ms. */
struct evidence_hall {
    uint32_t hall;                 /**< hash of the hall's name */
    uint64_t upstream_answered_at; /**< last answer of an upstream there, 0:
                                        none yet */
    uint64_t node_replied_at;      /**< last reply of a node there, 0: none
                                        yet */
    uint64_t confirmed_at;         /**< last reply of a node there that ended
                                        a suspicion, 0: none yet */
    uint64_t suspected_at;         /**< start of the last suspicion */
    uint64_t suspected_until;      /**< deadline of the suspicion: open flows
                                        use a relay path; 0: none */
    uint64_t avoid_until;          /**< deadline: no new flows until then */
    bool probe_due;                /**< nodes there must be probed now */
    bool logged;                   /**< hall-cut-off was logged */
};

/** Action on a packet. */
enum evidence_action {
    EVIDENCE_FORWARD, /**< to `upstream`, with its token */
    EVIDENCE_REFUSE,  /**< send a reset to the caller; a refused first packet
                           reached no upstream */
    EVIDENCE_HOLD,    /**< steer again when the inventory or the table has
                           changed */
    EVIDENCE_DROP     /**< without a reset */
};

/** What load control decides about. */
enum evidence_load_level {
    EVIDENCE_LOAD_OFF,
    EVIDENCE_LOAD_RANKED, /**< services whose routes differ in priority */
    EVIDENCE_LOAD_FULL    /**< all services, and this node's link */
};

struct occupancy;

/** State of load control. */
struct evidence_load {
    enum evidence_load_level level;
    const struct occupancy *occupancy; /**< of the fleet, borrowed; NULL:
                                            none */
    struct returning *returning;       /**< borrowed; NULL: none */
    struct admission_link link;        /**< rate and queued bytes, set by the
                                            node before it steers */
    bool no_hold;      /**< the node has no space to hold a packet; set
                            before it steers */
    uint64_t count_at; /**< deadline: count the running requests again */
    struct link_demand demand; /**< bytes expected by this node's
                                    link */
    GArray *services;          /**< struct service_load, by service
                                    handle */
    GHashTable *routes;        /**< route_key() to struct
                                    route_load */
};

/** A decision of load control with its inputs. */
struct evidence_admission {
    bool decided;        /**< the other fields are valid */
    uint64_t decided_at; /**< time */
    struct admission_request request;
    struct admission_room room;
    struct admission_link link;
    struct admission_verdict verdict;
};

/** Decision about a packet. */
struct evidence_verdict {
    enum evidence_action action;     /**< action to take */
    enum ring_rule rule;             /**< rule that decided */
    const struct upstream *upstream; /**< FORWARD: destination; REFUSE or DROP
                                          of an open flow: its upstream when
                                          known; else NULL */
    bool via_relay;                  /**< packet of an open flow: through a
                                          node of another hall, as the hall of
                                          the upstream is suspected */
    uint64_t flow;                   /**< evidence_hash() of the packet */
    uint32_t candidates;             /**< eligible upstreams */
    uint32_t drained;                /**< not eligible: hall is drained */
    bool non_idempotent;             /**< first packet on a route whose
                                          requests must not run twice */
    uint32_t outliers;               /**< outliers among the candidates */
    uint32_t warming;                /**< not eligible: warming up and without
                                          quota for this node now */
    struct evidence_admission admission; /**< of a first packet */
    uint64_t expires_at;                 /**< data under load control: deadline
                                              after which its caller has given up;
                                              0: none */
};

/** Steering state of one node. Times are in ms. */
struct evidence {
    struct upstream_set *upstreams;  /**< borrowed */
    struct route_table *table;       /**< owned; version 0 until the first */
    GHashTable *dropped_routes;      /**< route_key() of routes that a newer
                                          table dropped */
    GHashTable *flows;               /**< hash to struct evidence_flow */
    struct counters *counters;       /**< borrowed */
    GArray *halls;                   /**< struct evidence_hall */
    GHashTable *baselines;           /**< route_key() to struct
                                          evidence_baseline */
    GArray *median_us;               /**< uint32_t by service handle: median
                                          response time, 0: unknown */
    uint64_t sweep_at;               /**< deadline of the next sweep for
                                          expired flows */
    uint64_t idle_timeout_ms;        /**< of a flow, when the table sets
                                          none */
    uint64_t detection_paused_until; /**< deadline: missing answers are ignored
                                          until then */
    uint64_t overloaded_until;       /**< deadline: this node is overloaded, so
                                          missing answers are ignored; set by
                                          its owner */
    uint64_t answered_sent_at;       /**< latest send time among answered data,
                                          0: none yet */
    struct warmup_nodes nodes;       /**< nodes among which owners of warming
                                          upstreams are chosen */
    bool bounded;                    /**< a service limits the new flows of
                                          warming upstreams */
    uint64_t overshoot_milli;        /**< factor on that limit, in 1/1000 */
    uint64_t slack_milli;            /**< added to that limit, in 1/1000
                                          flow/s */
    uint32_t rank;                   /**< rank of this node among all nodes, in
                                          units of 2^-32; rotates the order in
                                          which ties are broken */
    bool settled;                    /**< the inventory was synchronized with
                                          another node */
    struct evidence_load load;       /**< of new flows */
};

/** Initializes without a table. `idle_timeout_ms`: of flows, for tables that
 * set none. */
void evidence_open(struct evidence *ev, struct upstream_set *upstreams,
                   struct counters *counters, uint64_t idle_timeout_ms);

/** Frees the state and the table. */
void evidence_close(struct evidence *ev);

/**
 * Replaces the table when the version of the new one is higher; frees the new
 * one otherwise. Takes ownership of `table`.
 * @return true when it was replaced
 */
bool evidence_apply(struct evidence *ev, struct route_table *table);

/** Decides about a packet and updates the state of its flow. */
void evidence_steer(struct evidence *ev, uint64_t now,
                    const struct evidence_packet *packet,
                    struct evidence_verdict *verdict);

/** Pauses failure detection for a second, after a start or a stall of this
 * process: missing answers may be packets that it did not read. */
void evidence_pause_detection(struct evidence *ev, uint64_t now);

/** A packet of a flow was queued for this node's link; the response timeout of
 * the flow is suspended until it is sent. */
void evidence_note_queued(struct evidence *ev, uint64_t flow);

/** A queued packet of a flow was sent; `sequence` is that of the packet. */
void evidence_note_sent(struct evidence *ev, uint64_t now, uint64_t flow,
                        uint32_t sequence);

/** A packet of a flow was dropped before it was sent; `was_queued`: after
 * evidence_note_queued(). */
void evidence_note_dropped(struct evidence *ev, uint64_t flow,
                           bool was_queued);

/** A node in a data hall replied, so the hall is reachable. */
void evidence_note_hall_reply(struct evidence *ev, uint64_t now,
                              uint32_t hall);

/** Whether a data hall may be unreachable, so that open flows use a relay
 * path. */
bool evidence_hall_is_suspected(const struct evidence *ev, uint64_t now,
                                uint32_t hall);

/** Whether nodes of the hall `relay` may relay packets to the suspected hall
 * `hall`. */
bool evidence_may_relay(const struct evidence *ev, uint64_t now, uint32_t hall,
                        uint32_t relay);

/** A service whose shortage of capacity began or ended. */
struct evidence_shortage {
    uint16_t service; /**< handle */
    bool is_short;
    uint32_t unloaded_us; /**< response time without queueing, 0: unknown */
};

/** Ranks that routes of a service can have. */
#define EVIDENCE_RANKS 9U

/** Load of a service, as known to this node. */
struct evidence_service_load {
    bool is_short;        /**< new flows are subject to admission */
    uint32_t unloaded_us; /**< response time without queueing, 0: unknown */
    uint32_t rank_count;  /**< entries in `limit_milli` */
    uint32_t limit_milli[EVIDENCE_RANKS]; /**< lowest limit of the routes of a
                                               rank, 0: none has it */
    uint32_t occupancy_milli; /**< requests per slot, in 1/1000: mean over the
                                   upstreams that accept flows */
    uint64_t room_age_ms;     /**< of the counts, UINT64_MAX: none */
};

/** Load of a service; false when load control does not apply to it. */
bool evidence_load_of_service(struct evidence *ev, uint64_t now,
                              uint16_t service,
                              struct evidence_service_load *out);

/** Requests that other nodes have at an upstream; 0 when unknown. */
uint64_t evidence_load_elsewhere(const struct evidence *ev, uint64_t now,
                                 const struct upstream *upstream);

/** Appends the requests that this node has at each upstream, as struct
 * occupancy_entry. */
void evidence_load_report(struct evidence *ev, uint64_t now, GArray *out);

/** Whether the answers that this node saw show that a service is short of
 * capacity. */
bool evidence_load_is_short(struct evidence *ev, uint64_t now);

/** Next service whose shortage began or ended since it was last returned;
 * false: none. */
bool evidence_load_next_change(struct evidence *ev, uint64_t now,
                               struct evidence_shortage *out);

/** Frees expired and idle flows, at most once a second. */
void evidence_tick(struct evidence *ev, uint64_t now);

/** Hash of the addresses and ports of a flow; logs identify flows by it. */
uint64_t evidence_hash(const struct evidence_packet *packet);

#endif
