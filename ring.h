/**
 * @file ring.h
 * The decisions of one entry, kept to be explained: a bounded ring of fixed
 * records. Each holds what was asked, the rule that decided, and the view
 * (bundle version, step, epoch, table digest) that it was decided in.
 */
#ifndef RIDGERIDGE_RING_H
#define RIDGERIDGE_RING_H

#include <stddef.h>
#include <stdint.h>

/** X(identifier, name, explanation): the rules that decide. */
#define RING_RULE_TABLE(X)                                                    \
    X(RECORDED, "recorded", "the flow has a record; it stays where it is")    \
    X(SETTLED, "settled-bucket", "no upstream of this bucket has changed")    \
    X(ASK_KEEPER, "ask-keeper", "the bucket moved; a keeper knows the flow")  \
    X(KEEPER_ANNOUNCED, "keeper-announced",                                   \
      "keeper: the move is announced, new flows still go to the old place")   \
    X(KEEPER_NEW, "keeper-new",                                               \
      "keeper: a new flow goes to the new upstream")                          \
    X(KEEPER_OLD, "keeper-old",                                               \
      "keeper: unknown, so it began before the move and stays")               \
    X(KEEPER_DEFAULT, "keeper-default",                                       \
      "keeper: unknown after learning, so the table decides")                 \
    X(NO_LEASE, "no-lease", "this entry has no lease; a peer decides")        \
    X(NO_SERVICE, "no-service", "no service has this address and port")       \
    X(NO_UPSTREAM, "no-upstream", "no upstream of the service takes work")    \
    X(TOO_FAR, "too-far", "handed on too often; dropped")                     \
    X(PLACED, "placed", "the gate gave a free slot of the least loaded")      \
    X(QUEUE_FULL, "queue-full", "the queue at the gate is full")              \
    X(TOO_LATE, "too-late", "the expected wait passes the deadline")          \
    X(NO_KEY, "no-key", "a once-only request came without Idempotency-Key")   \
    X(BAD_DEADLINE, "bad-deadline",                                           \
      "the deadline is missing or out of range")                              \
    X(KEY_CONFLICT, "key-conflict", "the key was used with another body")     \
    X(KEY_DONE, "key-done", "the key's recorded outcome is given again")      \
    X(KEY_RUNNING, "key-running", "the key's first request is still running") \
    X(NO_MAJORITY, "no-majority", "too few replicas recorded the key")        \
    X(OLD_LOST, "old-lost",                                                   \
      "a majority of the key's former replicas is gone")                      \
    X(COORDINATOR_LOST, "coordinator-lost",                                   \
      "the entry that ran the key is gone")                                   \
    X(UPSTREAM_ANSWERED, "upstream-answered", "the upstream answered whole")  \
    X(UPSTREAM_FAILED, "upstream-failed", "the answer was cut or never came") \
    X(UPSTREAM_SHED, "upstream-shed", "the upstream refused without running") \
    X(STOPPING, "stopping", "this entry is stopping")                         \
    X(CANCELLED, "cancelled", "the caller went away")                         \
    X(BUDGET_SPENT, "budget-spent", "the retry budget is spent")              \
    X(EVIDENCE, "evidence", "the packet names its upstream")                  \
    X(LEAST_WORK, "least-work",                                               \
      "a new flow goes to the upstream with the least work for its slots")    \
    X(SAME_AGAIN, "same-again",                                               \
      "a repeated first packet goes where the first copy went")               \
    X(MOVED_OFF, "moved-off",                                                 \
      "the upstream of the first copy gave no sign of life; another one")     \
    X(NO_ROUTE, "no-route", "no route has this address and port")             \
    X(ROUTE_DROPPED, "route-dropped",                                         \
      "a newer table dropped the route of this flow")                         \
    X(NO_TABLE, "no-table", "no routing table is known yet")                  \
    X(NO_EVIDENCE, "no-evidence", "the packet names no upstream")             \
    X(UNKNOWN_EVIDENCE, "unknown-evidence",                                   \
      "the upstream that the packet names is not known here")                 \
    X(UPSTREAM_GONE, "upstream-gone",                                         \
      "the upstream that the packet names has ended")                         \
    X(HALL_EMPTIED, "hall-emptied",                                           \
      "every upstream that takes work is in a data hall that is emptied")     \
    X(ALL_COLD, "all-cold",                                                   \
      "every upstream that takes work is cold, and none may have more now")   \
    X(UPSTREAM_LOST, "upstream-lost",                                         \
      "another node missed it, and data sent again got no answer twice")

/** A rule. */
enum ring_rule {
#define X(id, name, help) RULE_##id,
    RING_RULE_TABLE(X)
#undef X
        RULE_COUNT
};

/** What kind of decision a record is about. */
enum ring_kind { RING_FLOW, RING_REQUEST };

/** One decision. */
struct ring_record {
    uint64_t sequence;      /**< from 1, set by ring_add() */
    uint64_t at;            /**< wall clock, ms since 1970 */
    uint64_t subject;       /**< flow hash, or hash of the request's key */
    uint64_t service;       /**< hash of the service's name */
    uint64_t version;       /**< bundle that the view was made from */
    uint64_t epoch;         /**< membership */
    uint64_t table_digest;  /**< hash of the service's table, flow only */
    uint64_t peer;          /**< entry it was handed to, or 0 */
    uint32_t address;       /**< upstream chosen, or 0 */
    uint32_t new_address;   /**< flow: owner of the bucket now */
    uint32_t old_address;   /**< flow: owner before the last change */
    uint32_t route_address; /**< flow at a node: where its packets go */
    uint16_t route_port;    /**< of the same */
    uint16_t port;          /**< of the upstream chosen */
    uint16_t new_port;      /**< of the owner now */
    uint16_t old_port;      /**< of the owner before */
    uint8_t kind;           /**< enum ring_kind */
    uint8_t rule;           /**< enum ring_rule */
    uint8_t step;           /**< step of the rollout */
    uint8_t first;          /**< flow: carried the mark of a first packet */
    uint32_t outstanding;   /**< request: busy slots seen at the gate */
    uint32_t retry_ms;      /**< request: when to come back */
    uint32_t emptied;       /**< flow at a node: upstreams passed over */
    uint64_t halls;         /**< flow at a node: revision of the halls */
};

/** The ring. */
struct ring {
    struct ring_record *records; /**< `size` of them */
    size_t size;                 /**< capacity */
    uint64_t last;               /**< sequence of the newest, 0: none */
};

/** Allocates a ring. */
void ring_open(struct ring *ring, size_t size);

/** Frees a ring. */
void ring_close(struct ring *ring);

/** Adds a record, over the oldest one when full. */
void ring_add(struct ring *ring, const struct ring_record *record);

/** Finds records of a subject, newest first; returns how many. */
size_t ring_find(const struct ring *ring, uint64_t subject,
                 struct ring_record *out, size_t max);

/** Wall time before which records were overwritten, 0 when none was. */
uint64_t ring_since(const struct ring *ring);

/** A rule's stable name. */
const char *ring_rule_name(enum ring_rule rule);

/** A rule's explanation, one sentence. */
const char *ring_rule_help(enum ring_rule rule);

/** Reads a rule's name; RULE_COUNT when there is none. */
enum ring_rule ring_rule_from(const char *name);

#endif
