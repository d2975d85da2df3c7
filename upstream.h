/**
 * @file upstream.h
 * The inventory of upstreams that register themselves: one record per id,
 * merged by a commutative last-writer-wins rule (a state-based CRDT, Shapiro
 * et al. 2011), with keeper-side failure detection and refutation as in SWIM
 * (Das et al. 2002). Does no I/O: fleet-send.c broadcasts the ids in
 * `changed`; evidence.c maintains the flow counters and the packet-derived
 * fields.
 */
#ifndef RIDGERIDGE_UPSTREAM_H
#define RIDGERIDGE_UPSTREAM_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "generated/wire.h"
#include "hall.h"
#include "warmup.h"

#define UPSTREAM_NAME_MAX 63
#define UPSTREAM_TOMBSTONE_MS                                                 \
    60000U /**< GONE records are retained this long, so that a delayed        \
                message cannot restore them */
#define UPSTREAM_NO_SERVICE UINT16_MAX
#define UPSTREAM_REPORT_QUORUM                                                \
    3 /**< nodes that must report the same upstream: one may have a full      \
           link, two may share a rack */
#define UPSTREAM_SUSPICION_MS                                                 \
    1000U /**< lifetime of a node's suspicion; the first retransmissions      \
               come 200 and 400 ms apart */
#define UPSTREAM_SUSPICION_WAIT_MS                                            \
    100U /**< from the quorum to its confirmation; a late answer refutes the  \
              suspicions within it */

/** State of an upstream; at equal sequence numbers the higher one wins. */
enum upstream_state {
    UPSTREAM_READY,   /**< takes new flows */
    UPSTREAM_LEAVING, /**< keeps its flows, takes no new ones */
    UPSTREAM_SILENT,  /**< missed its registrations, or a quorum of nodes
                           got no answer */
    UPSTREAM_LOST,    /**< both, and no node saw an answer: open flows end */
    UPSTREAM_GONE     /**< deregistered; final for this start */
};

/** A registration as received from an upstream. */
struct upstream_registration {
    uint64_t id;                         /**< of the upstream */
    char service[UPSTREAM_NAME_MAX + 1]; /**< service name */
    char hall[UPSTREAM_NAME_MAX + 1];    /**< data hall */
    uint32_t address;                    /**< IPv4, host order */
    uint16_t port;                       /**< destination port */
    uint32_t slots;                      /**< concurrent requests */
    bool leaving;                        /**< shutting down */
    uint32_t warm_ms;                    /**< remaining warmup, ms */
    uint64_t sequence;                   /**< rises with each registration */
    uint64_t started_at;                 /**< start time by the upstream's
                                              clock, ms since 1970; 0: not
                                              stated */
};

/** Outlier reports that the keeper received: nodes that an upstream answered
 * far faster than its peers do. */
struct upstream_outlier_reports {
    uint32_t nodes[UPSTREAM_REPORT_QUORUM]; /**< addresses */
    uint64_t until[UPSTREAM_REPORT_QUORUM]; /**< deadlines of the reports */
    uint32_t ejections;                     /**< so far */
};

/** Suspicions that the keeper received: nodes that an upstream left without
 * an answer. */
struct upstream_suspicions {
    uint32_t nodes[UPSTREAM_REPORT_QUORUM]; /**< addresses */
    uint64_t until[UPSTREAM_REPORT_QUORUM]; /**< deadlines of the reports */
    uint32_t count;                         /**< entries in both arrays */
    uint64_t decide_at;  /**< deadline: confirmed then unless refuted; 0: no
                              quorum yet */
    bool confirmed;      /**< a quorum stood until `decide_at` */
    uint64_t refuted_at; /**< last report of an answer */
};

/** One upstream. Deadlines are in ms by the clock of loop_now(). */
struct upstream {
    uint64_t id;                      /**< as registered */
    uint32_t token;                   /**< its number in packets; never 0 */
    bool has_token;                   /**< found by `token`; false when an
                                           older record has the same one */
    uint32_t digest;                  /**< its contribution to its bucket's
                                           digest */
    uint16_t service;                 /**< handle of the service's name */
    char hall[UPSTREAM_NAME_MAX + 1]; /**< data hall */
    uint32_t hall_hash;               /**< hash_name() of `hall`, 32 bits */
    bool drained;                     /**< its hall is drained: no new flows */
    uint32_t address;                 /**< IPv4, host order */
    uint16_t port;                    /**< UDP */
    uint64_t endpoint_key;            /**< its key in `by_endpoint`; 0: not
                                           indexed */
    struct upstream *next_at_endpoint; /**< next with the same key */
    uint32_t slots;                    /**< concurrent requests */
    enum upstream_state state;         /**< current state */
    uint64_t started_at;           /**< newest start seen, ms since 1970; 0:
                                        not stated */
    uint64_t sequence;             /**< of the latest registration */
    uint32_t keeper;               /**< address of the node that receives its
                                        registrations */
    uint64_t changed_at;           /**< last change of state or keeper, by this
                                        node's clock */
    uint64_t warmup_until;         /**< deadline: end of the warmup stated by
                                        the upstream */
    uint64_t undrain_warmup_until; /**< deadline: end of the warmup assumed
                                        after its hall was undrained, since an
                                        idle upstream may have to warm up */
    uint64_t warmup_next_at;       /**< deadline: next new flow from this node
                                        during warmup */
    bool is_warmup_owner;          /**< this node is one of the owners that
                                        send flows during warmup */
    uint64_t owners_version;       /**< version of the member list that
                                        `is_warmup_owner` is for; 0: none */
    uint64_t expire_at;            /**< deadline of the next registration; 0:
                                        another node monitors it */
    bool expired;                  /**< `expire_at` passed */
    uint64_t last_registered_at;   /**< at this process; 0: never */
    bool queried;                  /**< other nodes were queried for its
                                        record */
    uint64_t next_refute_at;       /**< deadline: other nodes' wrong state may
                                        be refuted again */
    struct upstream_suspicions suspicions;           /**< received as keeper */
    struct upstream_outlier_reports outlier_reports; /**< received as keeper */
    uint64_t ejected_until;          /**< deadline of its ejection as an
                                          outlier that fails fast: gets no new
                                          flows while there are others */
    uint64_t next_outlier_report_at; /**< deadline: this node may repeat its
                                          outlier report */
    uint64_t next_suspicion_at;      /**< deadline: this node may repeat its
                                          suspicion; 0: it has none */
    uint64_t next_alive_report_at;   /**< deadline: this node may report again
                                          that a SILENT upstream answers */
    uint64_t forget_at;              /**< deadline: a GONE record is dropped */
    uint64_t suspect_until;          /**< deadline of a suspicion, as a first
                                          packet was not answered: gets no new
                                          flows while there are others */
    uint64_t last_progress_at;       /**< last answer seen in a packet */
    uint32_t latency_us;             /**< smoothed response time at this node;
                                          0: unknown */
    uint64_t latency_until;          /**< deadline: `latency_us` is stale */
    uint32_t open;                   /**< open flows of this node */
    uint32_t busy;                   /**< of those, awaiting an answer */
    uint32_t running;                /**< requests that load control counts
                                          at it */
};

/** This node's report on an upstream, to be sent to its keeper. */
struct upstream_report {
    uint64_t id;       /**< of the upstream */
    uint32_t quiet_ms; /**< age of the unanswered data; 0: answered */
    bool outlier;      /**< answers far faster than its peers */
};

/** A change of an upstream learned from another node. */
struct upstream_learned {
    uint64_t id;     /**< of the upstream */
    uint32_t age_ms; /**< of the change */
};

/** The inventory of one node. */
struct upstream_set {
    uint32_t self;           /**< this node's address */
    uint64_t interval_ms;    /**< registration interval */
    GPtrArray *all;          /**< struct upstream, owned, sorted by token: the
                                  same order at every node */
    GHashTable *by_id;       /**< uint64_t to struct upstream */
    GHashTable *by_endpoint; /**< address and port to a list of struct
                                  upstream, chained by `next_at_endpoint` */
    GPtrArray *buckets[WIRE_BUCKETS]; /**< the records of `all` by token modulo
                                           WIRE_BUCKETS, borrowed */
    GHashTable *by_token;             /**< uint32_t to struct upstream */
    GPtrArray *services;              /**< names, by handle */
    GArray *limits;        /**< struct warmup_limit, by service handle */
    struct hall_set halls; /**< drained halls */
    GArray *changed;       /**< uint64_t: ids to broadcast */
    GArray *reports;       /**< struct upstream_report: to send */
    GArray *learned;       /**< struct upstream_learned: to log */
    GArray *queries;       /**< uint32_t: tokens to ask other nodes about */
    uint64_t change_count; /**< changes so far, local and merged */
    uint32_t digests[WIRE_BUCKETS]; /**< sums of the records' digests, by
                                         bucket */
    uint64_t due_at;                /**< lower bound of the records' deadlines;
                                         UINT64_MAX: none */
};

void upstream_open(struct upstream_set *set, uint32_t self,
                   uint64_t interval_ms);

void upstream_close(struct upstream_set *set);

/** Handle of a service name, added when new; UPSTREAM_NO_SERVICE when the
 * table is full. */
uint16_t upstream_service(struct upstream_set *set, const char *name);

/** Name of a service handle; "" when there is none. */
const char *upstream_service_name(const struct upstream_set *set,
                                  uint16_t service);

void upstream_set_warmup_limit(struct upstream_set *set, uint16_t service,
                               const struct warmup_limit *limit);

/** Warmup limit of a service; unbounded when none was set. */
struct warmup_limit upstream_warmup_limit(const struct upstream_set *set,
                                          uint16_t service);

bool upstream_is_warming_up(const struct upstream *upstream, uint64_t now);

/** Hash of an upstream's id; never 0. */
uint32_t upstream_token(uint64_t id);

/**
 * Applies a registration received by this node, which becomes the keeper.
 * @return false when it is out of date: an older sequence or start, or another
 *         upstream runs at its endpoint
 */
bool upstream_register(struct upstream_set *set, uint64_t now,
                       const struct upstream_registration *registration);

/**
 * Applies a deregistration; the record becomes a tombstone.
 * @param started_at start that ends, 0: not stated
 * @return false when no start is stated and the record's start is so new that
 *         the message may belong to an earlier one
 */
bool upstream_deregister(struct upstream_set *set, uint64_t now, uint64_t id,
                         uint64_t started_at);

/** Merges another node's record; true when the local record changed. */
bool upstream_merge(struct upstream_set *set, uint64_t now,
                    const wire_upstream *record);

/**
 * Applies a node's suspicion of an upstream that this node keeps: data has
 * been unanswered for `quiet_ms`, or was answered after all (0).
 */
void upstream_report_suspicion(struct upstream_set *set, uint64_t now,
                               uint64_t id, uint32_t node, uint32_t quiet_ms);

/** Applies a node's outlier report on an upstream that this node keeps; a
 * quorum ejects it. */
void upstream_report_outlier(struct upstream_set *set, uint64_t now,
                             uint64_t id, uint32_t node);

/** Applies the deadlines that have passed. */
void upstream_tick(struct upstream_set *set, uint64_t now);

/** Drops a record without a tombstone. */
void upstream_drop(struct upstream_set *set, struct upstream *upstream);

/** Time of the next upstream_tick(), ms; UINT64_MAX: none. */
uint64_t upstream_deadline(const struct upstream_set *set);

/** Extends the registration deadlines by a stall of this process.
 * @param stall_ms duration of the stall */
void upstream_extend_deadlines(struct upstream_set *set, uint64_t now,
                               uint64_t stall_ms);

/** Monitors the upstreams of a failed keeper: they become SILENT unless they
 * register at another node in time. */
void upstream_adopt(struct upstream_set *set, uint64_t now, uint32_t keeper);

/**
 * Updates the drained halls. Upstreams of a hall that was undrained warm up
 * again.
 * @return false when `halls` is not newer than the current list
 */
bool upstream_drain_halls(struct upstream_set *set, uint64_t now,
                          const wire_halls *halls);

/** NULL when unknown. */
struct upstream *upstream_by_token(const struct upstream_set *set,
                                   uint32_t token);

/** NULL when unknown. */
struct upstream *upstream_by_id(const struct upstream_set *set, uint64_t id);

const char *upstream_state_name(enum upstream_state state);

/** Hash of a record's id, start, state and keeper, but not of its sequence,
 * which rises with each registration. */
uint32_t upstream_digest(const struct upstream *upstream);

/** Copies the digests of all buckets, for comparison between nodes. */
void upstream_digests(const struct upstream_set *set,
                      uint32_t out[WIRE_BUCKETS]);

/** Fills a record for the wire; its strings are borrowed. */
void upstream_pack(const struct upstream_set *set, uint64_t now,
                   const struct upstream *upstream, wire_upstream *out);

#endif
