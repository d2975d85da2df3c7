/**
 * @file ring.h
 * Decision log of one entry or node, read by `ridgeridge explain`: a ring
 * buffer of the latest decisions. Each record holds the rule that decided and
 * the state it used: bundle version, rollout step, membership epoch, table
 * digest.
 */
#ifndef RIDGERIDGE_RING_H
#define RIDGERIDGE_RING_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "admission.h"

/**
 * X(identifier, name, explanation) for each rule. The name leaves the process:
 * API, `explain`.
 */
#define RING_RULE_TABLE(X)                                                    \
    X(RECORDED, "recorded", "the flow has a record and keeps its upstream")   \
    X(SETTLED, "settled-bucket",                                              \
      "the owner of the flow's bucket has not changed")                       \
    X(ASK_KEEPER, "ask-keeper",                                               \
      "the bucket has a new owner; a keeper of flow records decides")         \
    X(KEEPER_ANNOUNCED, "keeper-announced",                                   \
      "keeper: move announced, not in force; the old upstream is used")       \
    X(KEEPER_NEW, "keeper-new",                                               \
      "keeper: a new flow goes to the bucket's new owner")                    \
    X(KEEPER_OLD, "keeper-old",                                               \
      "keeper: no record; the flow predates the move and stays")              \
    X(KEEPER_DEFAULT, "keeper-default",                                       \
      "keeper: no record after all were received; the table decides")         \
    X(NO_LEASE, "no-lease", "this entry has no lease; a peer decides")        \
    X(NO_SERVICE, "no-service", "no service has this address and port")       \
    X(NO_UPSTREAM, "no-upstream", "no upstream of the service accepts flows") \
    X(HOP_LIMIT, "too-far", "forwarded between entries too often; dropped")   \
    X(PLACED, "placed",                                                       \
      "assigned to a free slot of the least loaded upstream")                 \
    X(QUEUE_FULL, "queue-full", "the request queue of the gate is full")      \
    X(TOO_LATE, "too-late",                                                   \
      "the expected queueing time exceeds the deadline")                      \
    X(NO_KEY, "no-key",                                                       \
      "a request that must not run twice has no Idempotency-Key")             \
    X(BAD_DEADLINE, "bad-deadline",                                           \
      "the deadline is missing or out of range")                              \
    X(KEY_CONFLICT, "key-conflict",                                           \
      "the key was used with another request body")                           \
    X(KEY_DONE, "key-done", "the recorded response of the key is replayed")   \
    X(KEY_RUNNING, "key-running", "the key's first request is still running") \
    X(NO_MAJORITY, "no-majority", "too few replicas recorded the key")        \
    X(OLD_LOST, "old-lost",                                                   \
      "a majority of the key's previous replicas is lost")                    \
    X(COORDINATOR_LOST, "coordinator-lost",                                   \
      "the entry that ran the key's request is lost")                         \
    X(UPSTREAM_ANSWERED, "upstream-answered",                                 \
      "the upstream sent a complete response")                                \
    X(UPSTREAM_FAILED, "upstream-failed",                                     \
      "the response is incomplete or missing")                                \
    X(UPSTREAM_SHED, "upstream-shed",                                         \
      "the upstream refused the request without running it")                  \
    X(STOPPING, "stopping", "this entry is stopping")                         \
    X(CANCELLED, "cancelled", "the caller closed the connection")             \
    X(BUDGET_SPENT, "budget-spent", "the retry budget is spent")              \
    X(EVIDENCE, "evidence", "the packet names its upstream")                  \
    X(LEAST_WORK, "least-work",                                               \
      "a new flow goes to the upstream with the least load per slot")         \
    X(RETRANSMISSION, "same-again",                                           \
      "a retransmitted first packet goes to the same upstream")               \
    X(REROUTED, "moved-off",                                                  \
      "the first packet's upstream did not respond; rerouted to another")     \
    X(NO_ROUTE, "no-route", "no route has this address and port")             \
    X(ROUTE_DROPPED, "route-dropped",                                         \
      "a newer routing table removed the route of this flow")                 \
    X(NO_TABLE, "no-table", "no routing table received yet")                  \
    X(NO_EVIDENCE, "no-evidence", "the packet names no upstream")             \
    X(UNKNOWN_EVIDENCE, "unknown-evidence",                                   \
      "the packet names an upstream that is not registered here")             \
    X(UPSTREAM_ENDED, "upstream-gone",                                        \
      "the upstream that the packet names has ended")                         \
    X(HALLS_DRAINED, "hall-emptied",                                          \
      "every upstream that accepts flows is in a drained data hall")          \
    X(ALL_WARMING_UP, "all-cold",                                             \
      "every upstream that accepts flows is warming up, at its rate limit")   \
    X(UPSTREAM_LOST, "upstream-lost",                                         \
      "registrations are missing and two retransmissions got no response")    \
    X(NO_ROOM, "no-room",                                                     \
      "every upstream has as many requests as the route's rank may add to")   \
    X(LINK_BUSY, "link-busy",                                                 \
      "the node's link cannot carry the request in its target time")          \
    X(WAIT_FOR_ROOM, "wait-for-room",                                         \
      "held: an upstream or the link is expected to have room soon")

enum ring_rule {
#define X(id, name, help) RULE_##id,
    RING_RULE_TABLE(X)
#undef X
        RULE_COUNT
};

enum ring_kind { RING_FLOW, RING_REQUEST };

/** Inputs and result of an admission decision. */
struct ring_admission {
    uint64_t decided_at; /**< time, by the clock of `received_at` */
    uint32_t priority;   /**< of the route */
    bool by_room;        /**< the upstreams were part of the decision */
    bool by_link;        /**< the node's link was part of it */
    struct admission_request request;
    struct admission_room room;
    struct admission_link link;
    struct admission_verdict verdict;
};

struct ring_record {
    uint64_t sequence;      /**< set by ring_add(), starts at 1 */
    uint64_t at;            /**< wall clock, ms since 1970 */
    uint64_t subject;       /**< flow hash, or hash of the request's key */
    uint64_t service;       /**< hash of the service's name */
    uint64_t version;       /**< of the bundle in use */
    uint64_t epoch;         /**< of the membership */
    uint64_t table_digest;  /**< flow: hash of the service's lookup table */
    uint64_t peer;          /**< entry that it was forwarded to; at a node: id
                                 of the upstream; 0: none */
    uint32_t address;       /**< of the selected upstream, or 0 */
    uint32_t new_address;   /**< flow: current owner of the bucket */
    uint32_t old_address;   /**< flow: previous owner of the bucket */
    uint32_t route_address; /**< flow at a node: packet's destination */
    uint16_t route_port;    /**< with `route_address` */
    uint16_t port;          /**< with `address` */
    uint16_t new_port;      /**< with `new_address` */
    uint16_t old_port;      /**< with `old_address` */
    uint8_t kind;           /**< enum ring_kind */
    uint8_t rule;           /**< enum ring_rule */
    uint8_t step;           /**< of the rollout */
    uint8_t first;        /**< flow: the packet opens the flow, as a TCP SYN */
    uint32_t outstanding; /**< request: slots in use, as known by the gate */
    uint32_t retry_ms;    /**< request: Retry-After */
    uint32_t drained;     /**< flow at a node: upstreams in drained halls */
    uint64_t halls_revision;         /**< flow at a node: of the hall orders */
    struct ring_admission admission; /**< rules no-room, link-busy and
                                          wait-for-room */
};

struct ring {
    struct ring_record *records;
    size_t size;   /**< of `records` */
    uint64_t last; /**< sequence of the newest record, 0: none */
};

void ring_open(struct ring *ring, size_t size);

void ring_close(struct ring *ring);

/** Adds a record; overwrites the oldest when full. Sets its sequence. */
void ring_add(struct ring *ring, const struct ring_record *record);

/**
 * Finds records of a subject, newest first.
 * @return number of records in `out`
 */
size_t ring_find(const struct ring *ring, uint64_t subject,
                 struct ring_record *out, size_t max);

/**
 * Wall clock, ms since 1970, before which records were overwritten; 0: none
 * was.
 */
uint64_t ring_overwritten_before(const struct ring *ring);

/** Whether records of a rule have `admission`. */
bool ring_is_admission(enum ring_rule rule);

/** Name in the API; "none" when out of range. */
const char *ring_rule_name(enum ring_rule rule);

const char *ring_rule_help(enum ring_rule rule);

/** RULE_COUNT when no rule has the name. */
enum ring_rule ring_rule_parse(const char *name);

#endif
