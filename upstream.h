/**
 * @file upstream.h
 * The inventory of upstreams that register themselves, beside the bundle:
 * one record for each id, of the latest start under it, merged by a rule that
 * does not depend on the order of arrival, so that every node ends with the
 * same. Owns the
 * records and the names of services; the counts of flows and what packets
 * tell in a record belong to evidence.c. Does no I/O: others spread what
 * `changed` lists.
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
#define UPSTREAM_GONE_MS                                                      \
    60000U /**< a gone record is kept this long, so that                      \
                no late message brings it back */
#define UPSTREAM_NO_SERVICE UINT16_MAX
#define UPSTREAM_DOUBTERS                                                     \
    3 /**< nodes that together prove that an upstream does not answer: one    \
           may have a full link, two may share a rack */
#define UPSTREAM_DOUBT_MS                                                     \
    1000U /**< a node's doubt counts so long; copies of data come 0.2 and     \
               0.4 s apart at first */
#define UPSTREAM_DOUBT_WAIT_MS                                                \
    100U /**< after the last of them: the answer to the copy that made a      \
              node doubt comes within it, and that node says so */

/** What is believed of an incarnation; at equal sequence the higher wins. */
enum upstream_state {
    UPSTREAM_READY,   /**< takes new flows */
    UPSTREAM_LEAVING, /**< keeps its flows, takes no new ones */
    UPSTREAM_SILENT,  /**< its registrations stayed away, or several nodes
                           got no answer */
    UPSTREAM_LOST, /**< both, and nobody saw an answer: its open flows end */
    UPSTREAM_GONE  /**< it said that it ends; never comes back */
};

/** What an upstream says when it registers. */
struct upstream_registration {
    uint64_t id;                         /**< of this incarnation */
    char service[UPSTREAM_NAME_MAX + 1]; /**< which it serves */
    char hall[UPSTREAM_NAME_MAX + 1];    /**< data hall it runs in */
    uint32_t address;                    /**< IPv4, host order */
    uint16_t port;                       /**< where packets go */
    uint32_t slots;                      /**< requests it runs at once */
    bool leaving;                        /**< it is about to end */
    uint32_t warm_ms;                    /**< how much longer it is slow */
    uint64_t sequence;                   /**< rises with each registration */
    uint64_t born;                       /**< ms since 1970 by its own clock:
                                              of this start; 0: not stated */
};

/** Nodes that an upstream answered far too soon, as told to the one that hears
 * it. */
struct upstream_too_soon {
    uint32_t nodes[UPSTREAM_DOUBTERS]; /**< addresses */
    uint64_t until[UPSTREAM_DOUBTERS]; /**< deadlines: count no longer */
    uint32_t times;                    /**< that it was called sick */
};

/** Nodes that got no answer of an upstream, as told to the one that hears it.
 */
struct upstream_doubts {
    uint32_t nodes[UPSTREAM_DOUBTERS]; /**< addresses */
    uint64_t until[UPSTREAM_DOUBTERS]; /**< deadlines: count no longer */
    uint32_t count;                    /**< of both */
    uint64_t decide_at;                /**< deadline: silent then, if the
                                            doubts stand; 0: too few */
    bool proved;                       /**< they stood */
    uint64_t refuted_at;               /**< a node said that it answers */
};

/** One incarnation. */
struct upstream {
    uint64_t id;                      /**< as registered */
    uint32_t token;                   /**< names it in packets; never 0 */
    bool named;                       /**< no older one had the same token */
    uint32_t mark;                    /**< upstream_mark() in its digest */
    uint16_t service;                 /**< handle of its service's name */
    char hall[UPSTREAM_NAME_MAX + 1]; /**< data hall */
    uint32_t hall_hash;               /**< of its name, as nodes tell theirs */
    bool emptied;                     /**< its hall is: it gets no new flows */
    uint32_t address;                 /**< IPv4, host order */
    uint16_t port;                    /**< UDP */
    uint64_t place;                   /**< both, as its key in `by_place`; 0:
                                           it is not there */
    struct upstream *next_there;      /**< another one at that place */
    uint32_t slots;                   /**< requests it runs at once */
    enum upstream_state state;        /**< what is believed */
    uint64_t born;                    /**< start that is believed to run, ms
                                           since 1970; 0: not stated */
    uint64_t sequence;                /**< of the registration believed */
    uint32_t keeper;                  /**< node that hears it, by address */
    uint64_t changed_at;              /**< a node heard its state and keeper,
                                           by this node's clock */
    uint64_t warm_at;                 /**< deadline: cold until then, by its
                                           own word */
    uint64_t back_at;                 /**< deadline: counts as cold until then,
                                           since its hall was taken back: it
                                           may have gone cold before, and its
                                           word comes later */
    uint64_t cold_next_at;            /**< deadline: while it is cold, this
                                           node may send it the next flow */
    bool owned;                       /**< by this node, while it is cold, by
                                           the nodes of `owned_of` */
    uint64_t owned_of;                /**< version of the nodes, 0: none */
    uint64_t expire_at;               /**< deadline: its registrations stayed
                                           away then; 0: another node watches
                                           it */
    bool missed;                      /**< they stayed away */
    uint64_t heard_at;                /**< this process heard it register
                                           last; 0: never */
    bool asked;                       /**< others were asked whether it has
                                           turned to another node */
    uint64_t contradict_at;           /**< deadline: what other nodes believe
                                           wrongly may be corrected again */
    struct upstream_doubts doubts;    /**< told to this node */
    struct upstream_too_soon too_soon; /**< told to this node */
    uint64_t sick_until;    /**< deadline: no new flows until then, if
                                 there are others: it answers far too
                                 soon, so it fails what it is sent */
    uint64_t too_soon_at;   /**< deadline: this node's own word of it
                                 may be told again */
    uint64_t doubt_at;      /**< deadline: this node's own doubt may
                                 be told again; 0: it has none */
    uint64_t vouch_at;      /**< deadline: that it answers, though it
                                 is thought silent, may be told again
                                 */
    uint64_t forget_at;     /**< GONE: dropped then */
    uint64_t suspect_until; /**< no new flows until then, if there
                                 are others: a first packet went
                                 without an answer */
    uint64_t alive_at;      /**< last sign of life in a packet */
    uint32_t took_us;       /**< time of an answer, as lately seen by
                                 this node; 0: not known */
    uint64_t took_until;    /**< deadline: not known any more */
    uint32_t open;          /**< flows of this node that are open */
    uint32_t busy;          /**< of those, awaiting an answer */
};

/** This node's word about an upstream, to be told to the node that hears it.
 */
struct upstream_doubt {
    uint64_t id;       /**< of the upstream */
    uint32_t quiet_ms; /**< age of the data without an answer; 0: it
                            answered after all */
    bool too_soon;     /**< it answered far sooner than its peers do */
};

/** What another node told anew of an upstream. */
struct upstream_told {
    uint64_t id;     /**< of the upstream */
    uint32_t age_ms; /**< since a node had heard it */
};

/** The inventory of one node. */
struct upstream_set {
    uint32_t self;        /**< this node's address */
    uint64_t interval_ms; /**< between the registrations of an upstream */
    GPtrArray *all;       /**< struct upstream, owned, by token: the same
                               order at every node */
    GHashTable *by_id;    /**< uint64_t to struct upstream */
    GHashTable *by_place; /**< address and port to the first struct upstream
                               of those there, chained by `next_there` */
    GPtrArray *buckets[WIRE_BUCKETS]; /**< the same as `all`, by bucket of
                                           their tokens */
    GHashTable *by_token;             /**< uint32_t to struct upstream */
    GPtrArray *services;              /**< names, by handle */
    GArray *limits;        /**< struct warmup_limit, by service's handle */
    struct hall_set halls; /**< that operators have emptied */
    GArray *changed;       /**< uint64_t: ids to be spread */
    GArray *doubted;       /**< struct upstream_doubt: to be told */
    GArray *told;          /**< struct upstream_told: to be logged */
    GArray *unsure;        /**< uint32_t: tokens of upstreams that others are
                                to be asked for */
    uint64_t change_count; /**< changes so far, own and merged */
    uint32_t digests[WIRE_BUCKETS]; /**< sums of the records' marks, by bucket
                                         of their tokens */
    uint64_t due_at;                /**< no deadline of a record is earlier;
                                         UINT64_MAX: there is none */
};

/** Makes an empty inventory. */
void upstream_open(struct upstream_set *set, uint32_t self,
                   uint64_t interval_ms);

/** Frees it. */
void upstream_close(struct upstream_set *set);

/** Handle of a service's name, made when it is new. */
uint16_t upstream_service(struct upstream_set *set, const char *name);

/** Name of a service's handle; "" when there is none. */
const char *upstream_service_name(const struct upstream_set *set,
                                  uint16_t service);

/** Sets what the upstreams of a service bear while they are cold. */
void upstream_set_limit(struct upstream_set *set, uint16_t service,
                        const struct warmup_limit *limit);

/** What the upstreams of a service bear; no bound where none was set. */
struct warmup_limit upstream_limit(const struct upstream_set *set,
                                   uint16_t service);

/** Says whether an upstream is cold, or may be. */
bool upstream_is_cold(const struct upstream *upstream, uint64_t now);

/** Token of an incarnation: a hash of its id that is never 0. */
uint32_t upstream_token(uint64_t id);

/**
 * Takes a registration heard by this node, which from now on watches the
 * incarnation. A late one changes nothing: one that was overtaken, or that
 * comes when another incarnation runs at its address.
 * @return false when it was late
 */
bool upstream_register(struct upstream_set *set, uint64_t now,
                       const struct upstream_registration *registration);

/**
 * Takes an upstream's word that it ends.
 * @param born of the start that ends, 0: not stated
 * @return false when it may be the late word of an earlier start: none is
 *         stated, and the one that is believed to run has just begun
 */
bool upstream_deregister(struct upstream_set *set, uint64_t now, uint64_t id,
                         uint64_t born);

/** Takes a record of another node; true when it told something new. */
bool upstream_merge(struct upstream_set *set, uint64_t now,
                    const wire_upstream *record);

/**
 * Takes a node's word that an upstream which this node hears left data
 * unanswered for `quiet_ms`, or answered after all (0). When UPSTREAM_DOUBTERS
 * of them say so, none sees an answer and it does not register, it is silent.
 */
void upstream_take_doubt(struct upstream_set *set, uint64_t now, uint64_t id,
                         uint32_t node, uint32_t quiet_ms);

/**
 * Takes a node's word that an upstream which this node hears answered far
 * sooner than its peers do. When UPSTREAM_DOUBTERS of them say so, it is sick.
 */
void upstream_take_too_soon(struct upstream_set *set, uint64_t now,
                            uint64_t id, uint32_t node);

/** Lets time pass: what this node watches and does not hear is silent. */
void upstream_tick(struct upstream_set *set, uint64_t now);

/** Drops a record, as if it had never been known. */
void upstream_drop(struct upstream_set *set, struct upstream *upstream);

/** No deadline is earlier than this; UINT64_MAX when there is none. */
uint64_t upstream_deadline(const struct upstream_set *set);

/** Puts off what is to be noticed, after this process itself stood still. */
void upstream_excuse(struct upstream_set *set, uint64_t now, uint64_t gap);

/**
 * Watches upstreams whose keeper is lost: unless another node hears them in
 * time to turn to, they are silent.
 */
void upstream_adopt(struct upstream_set *set, uint64_t now, uint32_t keeper);

/**
 * Takes which halls are emptied; their upstreams get no new flows from now on.
 * Those of a hall that is taken back count as cold for as long as their
 * service says.
 * @return false when the set is not newer than the one held
 */
bool upstream_empty_halls(struct upstream_set *set, uint64_t now,
                          const wire_halls *halls);

/** Finds an incarnation by the token in a packet; NULL when unknown. */
struct upstream *upstream_by_token(const struct upstream_set *set,
                                   uint32_t token);

/** Finds an incarnation by id; NULL when unknown. */
struct upstream *upstream_by_id(const struct upstream_set *set, uint64_t id);

/** Name of a state in logs and pages. */
const char *upstream_state_name(enum upstream_state state);

/** Hash of a record: who, which start, what state, heard by whom. The sequence
 * is left out, since it rises all the time. */
uint32_t upstream_mark(const struct upstream *upstream);

/** Digests of the records, by bucket, so that two nodes can compare. */
void upstream_digests(const struct upstream_set *set,
                      uint32_t out[WIRE_BUCKETS]);

/** Fills a record for the wire; its strings are borrowed. */
void upstream_pack(const struct upstream_set *set, uint64_t now,
                   const struct upstream *upstream, wire_upstream *out);

#endif
