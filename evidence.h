/**
 * @file evidence.h
 * Steering by evidence: each packet of a flow carries a token that an entry
 * wrote into its first packet and that both ends repeat; it names the
 * upstream's incarnation. So any entry can steer any packet without records,
 * keepers or steps. Only first packets are decided here, and whether a flow
 * ends since its upstream is lost. Owns the table in force and what it
 * remembers of flows; of an upstream it writes only what packets tell (work,
 * time, doubts, signs of life). Does no I/O.
 */
#ifndef RIDGERIDGE_EVIDENCE_H
#define RIDGERIDGE_EVIDENCE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "counter.h"
#include "ring.h"
#include "route.h"
#include "upstream.h"

/** A packet of a caller. */
struct evidence_packet {
    uint32_t source;           /**< caller's address, host order */
    uint32_t destination;      /**< address of the route, host order */
    uint16_t source_port;      /**< caller's port */
    uint16_t destination_port; /**< port of the route */
    uint32_t token;            /**< names the upstream; 0: none */
    uint32_t acknowledged;     /**< bytes of the upstream that arrived; of a
                                    first packet: copies sent before it */
    uint32_t sequence;         /**< names the first byte of data */
    uint32_t length;           /**< bytes of data */
    bool first;                /**< opens the flow */
    bool closing;              /**< FIN or reset */
    bool reset;                /**< reset by the caller */
};

/** Whether a data hall is reached by this entry's packets. */
struct evidence_hall {
    uint32_t hall;        /**< hash of its name */
    uint64_t answered_at; /**< an upstream there answered last, 0: never */
    uint64_t heard_at;    /**< a node there answered this one last, 0: never */
    uint64_t proved_at;   /**< the same, when the hall was doubted */
    uint64_t cut_at;      /**< doubted since */
    uint64_t cut_until;   /**< deadline: packets of open flows take a detour,
                               0: they do not */
    uint64_t avoid_until; /**< deadline: new flows keep away */
    bool asks;            /**< its nodes are to be asked at once */
    bool logged;          /**< that it is cut off */
};

/** What to do with a packet. */
enum evidence_action {
    EVIDENCE_FORWARD, /**< to `upstream`, with its token */
    EVIDENCE_REFUSE,  /**< reset towards the caller: nothing was run by a
                           first packet; else the flow cannot go on */
    EVIDENCE_HOLD,    /**< steer it again once this entry knows more */
    EVIDENCE_DROP     /**< silently */
};

/** The verdict on a packet. */
struct evidence_verdict {
    enum evidence_action action;     /**< what to do */
    enum ring_rule rule;             /**< why */
    const struct upstream *upstream; /**< FORWARD: to which; of a flow that
                                          ends: where it was; else NULL */
    bool detour;                     /**< FORWARD of an open flow's packet: by
                                          a node of another hall, since this
                                          one does not reach the upstream's */
    uint64_t flow;                   /**< hash that names the flow in logs */
    uint32_t candidates;             /**< upstreams that were weighed */
    uint32_t emptied;                /**< passed over: their hall is emptied */
    bool once;                       /**< a first packet of requests that may
                                          not run twice */
    uint32_t sick;                   /**< of the candidates, those that are */
    uint32_t cold;                   /**< passed over: they are cold, and this
                                          node may not send to them now */
};

/** The steering of one entry. */
struct evidence {
    struct upstream_set *upstreams; /**< borrowed */
    struct route_table *table;      /**< owned; version 0 at first */
    GHashTable *dropped;       /**< route_key() of routes that were dropped */
    GHashTable *flows;         /**< hash to struct evidence_flow */
    struct counters *counters; /**< borrowed */
    GArray *halls;             /**< struct evidence_hall */
    GHashTable *usual;         /**< route_key() to struct evidence_usual */
    GArray *usual_us;          /**< uint32_t, by service's handle: the median
                                    time of an answer, 0: not known */
    uint64_t sweep_at;         /**< deadline: forget flows that ended */
    uint64_t flow_max_ms;      /**< rest after which a flow is forgotten,
                                    when the table sets none */
    uint64_t trust_at;         /**< deadline: until then the silence of an
                                    upstream proves nothing */
    uint64_t answered_sent_at; /**< when the latest data that was answered
                                    had been forwarded, 0: none yet */
    struct warmup_nodes nodes; /**< among which owners of cold upstreams are
                                    found */
    bool bounded;              /**< a service bounds what cold ones get */
    uint64_t overshoot_milli;  /**< how far the rate that a cold upstream
                                    bears may be passed, in thousandths */
    uint64_t slack_milli;      /**< and beyond that, in thousandths of a new
                                    flow a second */
    uint32_t place;            /**< of this node among all, in parts of 2^32:
                                    where its choice among equals begins */
    bool settled;              /**< the inventory was compared with
                                    another node's: "none" is true */
};

/** Starts without a table. */
void evidence_open(struct evidence *ev, struct upstream_set *upstreams,
                   struct counters *counters, uint64_t flow_max_ms);

/** Frees it. */
void evidence_close(struct evidence *ev);

/** Takes a table over when its version is higher; else frees it.
 * @return true when it is in force now */
bool evidence_apply(struct evidence *ev, struct route_table *table);

/** Decides about a packet. */
void evidence_steer(struct evidence *ev, uint64_t now,
                    const struct evidence_packet *packet,
                    struct evidence_verdict *verdict);

/** Says that this process has just started or stood still: it missed packets,
 * so for some seconds the silence of an upstream proves nothing. */
void evidence_distrust(struct evidence *ev, uint64_t now);

/** A packet of a flow waits at this node's own link: until it has left, its
 * flow tells nothing of its upstream. */
void evidence_note_waits(struct evidence *ev, uint64_t flow);

/** A packet of a flow that waited has left; `sequence` as in the packet. */
void evidence_note_left(struct evidence *ev, uint64_t now, uint64_t flow,
                        uint32_t sequence);

/** A packet of a flow was dropped here and never left; `waited` says that
 * evidence_note_waits() was called for it. */
void evidence_note_unsent(struct evidence *ev, uint64_t flow, bool waited);

/** A node of a data hall answered this one, so its packets get there. */
void evidence_hear_hall(struct evidence *ev, uint64_t now, uint32_t hall);

/** Says whether packets of open flows to a data hall take a detour: it seems
 * cut off. */
bool evidence_is_cut(const struct evidence *ev, uint64_t now, uint32_t hall);

/** Says whether packets to the hall `cut` may go by a node of the hall `by`.
 */
bool evidence_may_carry(const struct evidence *ev, uint64_t now, uint32_t cut,
                        uint32_t by);

/** Forgets flows that ended or rested too long. */
void evidence_tick(struct evidence *ev, uint64_t now);

/** Hash of a flow, as logs name it. */
uint64_t evidence_hash(const struct evidence_packet *packet);

#endif
