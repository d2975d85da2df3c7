/**
 * @file fault.h
 * Fault injection: switches that turn off one safeguard or mechanism, for
 * tests and for tools/ablate. Without FAULT_TRIALS or FAULT_ALWAYS fault_is()
 * is false at compile time. "untested": no test sets the switch.
 */
#ifndef RIDGERIDGE_FAULT_H
#define RIDGERIDGE_FAULT_H

#include <stdbool.h>
#include <stdint.h>

/** A disabled safeguard or mechanism, or an injected error. */
enum fault {
    FAULT_COUNT_ANY_IDENTITY, /**< count any identity as the voter */
    FAULT_NO_TERM_CHECK,      /**< commit entries of older terms; untested */
    FAULT_VOTE_TWICE,         /**< forget the vote of a term */
    FAULT_VOTE_STALE_LOG,     /**< vote for a log that lacks entries */
    FAULT_IGNORE_STOPPING, /**< replace a stopping voter when it is silent */
    FAULT_IGNORE_SEQUENCE, /**< take each first packet from a port that was
                                used before for a copy */
    FAULT_IGNORE_ROUTE_CHANGE, /**< keep copies at an upstream to whose service
                                    the route no longer leads */
    FAULT_FORGET_MISSING,      /**< lead and vote as if no entry was damaged */
    FAULT_LEASE_NO_QUORUM, /**< confirm heartbeat rounds without a quorum */
    FAULT_ACK_UNSYNCED,  /**< acknowledge before fsync(); in the simulation */
    FAULT_EVICT_EARLY,   /**< remove an entry before its lease ends */
    FAULT_NO_BARRIER,    /**< advance a rollout without waiting for entries */
    FAULT_READ_LOCAL,    /**< answer reads without a quorum; untested */
    FAULT_NO_FENCE,      /**< grant claims of any epoch */
    FAULT_NO_MAJORITY,   /**< accept a claim with a single grant */
    FAULT_NO_OLD_EPOCHS, /**< skip key replicas of earlier epochs */
    FAULT_NO_LEASE,      /**< dispatch requests without a lease; untested */
    FAULT_NO_LEAST_WORK, /**< do not compare the work at upstreams */
    FAULT_NO_RANK,       /**< all nodes break ties the same way */
    FAULT_ALL_WARMUP_OWNERS, /**< every node owns each upstream in warmup */
    FAULT_NO_WARMUP,         /**< no flow limit for upstreams in warmup */
    FAULT_NO_WARMUP_WEIGHT,  /**< no extra weight for upstreams in warmup */
    FAULT_NO_LATENCY,        /**< ignore response times */
    FAULT_NO_SUSPICION,      /**< ignore unanswered first packets */
    FAULT_SILENT_EQUAL,      /**< treat silent upstreams as ready */
    FAULT_NO_FALLBACK,       /**< no new flows to silent upstreams */
    FAULT_NO_REGISTRATION_TIMEOUT, /**< ignore missed registrations */
    FAULT_NO_OUTLIERS,             /**< no outlier detection */
    FAULT_NO_LOST_STATE,           /**< never declare an upstream lost */
    FAULT_NO_QUERY,           /**< do not ask other nodes about an upstream */
    FAULT_NO_STALL_EXTENSION, /**< keep deadlines after a stall */
    FAULT_NO_OVERLOAD,        /**< do not detect an overload of this node */
    FAULT_NO_REPLACE,         /**< ignore a restart at the same endpoint */
    FAULT_NO_START_TIME,      /**< order restarts of an id by sequence */
    FAULT_NO_HALL_SUSPICION,  /**< do not detect unreachable halls */
    FAULT_NO_REROUTE, /**< retransmit first packets to the same upstream */
    FAULT_NO_SUSPICION_REPORT, /**< do not report unanswered data */
    FAULT_NO_HOLD,             /**< do not hold packets until state is known */
    FAULT_NO_STALE_DROP,       /**< forward first packets that are stale */
    FAULT_NO_SAVED_INVENTORY,  /**< do not save the inventory */
    FAULT_SYNC_FROM_ALL,       /**< a starting node syncs from every peer */
    FAULT_NO_HALL_PREFERENCE,  /**< ignore the hall when choosing a peer */
    FAULT_NO_RESOLVE,          /**< do not query the upstreams of open flows */
    FAULT_NO_EGRESS_QUEUE,     /**< no queue for the link */
    FAULT_NO_DUPLICATE_DROP,   /**< queue retransmissions of queued packets */
    FAULT_NO_FAIR_QUEUEING,    /**< one queue for all flows */
    FAULT_NO_SHORTAGE,         /**< never detect a shortage of a service */
    FAULT_NO_ADMISSION,        /**< admit all first packets */
    FAULT_NO_LINK_ADMISSION,   /**< ignore the link in admission control */
    FAULT_NO_RANKS,            /**< all requests have rank 0 */
    FAULT_NO_HOLD_FOR_ROOM,    /**< refuse first packets instead of holding */
    FAULT_NO_NEW_FLOW_LIMIT,   /**< serve new flows before old ones always */
    FAULT_NO_CONTROL_SHARE,    /**< one class for all traffic on the link */
    FAULT_NO_LINK_DEMAND,      /**< expect no bytes from admitted flows */
    FAULT_NO_OCCUPANCY_CHOICE, /**< ignore other nodes' counts in choices */
    FAULT_LOAD_CONTROL_ALWAYS, /**< load control at any level */
    FAULT_ADMIT_AGAIN, /**< decide about flows that were admitted before */
    FAULT_COUNT_LATE_REQUESTS,  /**< count requests until they are answered */
    FAULT_COUNT_QUEUED_AS_SENT, /**< treat queued packets as sent */
    FAULT_IGNORE_GAPS,     /**< count retransmissions despite missing data */
    FAULT_KEEP_LOST_FLOWS, /**< do not end flows of lost upstreams */
    FAULT_NO_TRANSFER_PACING, /**< no rate limit for large transfers */
    FAULT_NO_ANTI_ENTROPY,    /**< do not compare inventories */
    FAULT_NO_RESEND,          /**< do not retransmit changes */
    FAULT_NO_RELAY_RETRY,     /**< do not repeat changes given to a relay */
    FAULT_COMPARE_IN_FLIGHT,  /**< compare buckets with changes in flight */
    FAULT_NO_RELAY,           /**< send changes to all nodes directly */
    FAULT_NO_LOAD_EXCHANGE,   /**< do not exchange counts of requests */
    FAULT_NO_CONTACTS,        /**< send no hellos to contacts */
    FAULT_STALE_LEADER,       /**< name a leader that others reported */
    FAULT_BOOTSTRAP_AGAIN,    /**< bootstrap although a leader was known */
    FAULT_HALLS_IGNORED,      /**< new flows to drained halls */
    FAULT_HALLS_UNVERSIONED,  /**< accept older lists of drained halls */
    FAULT_HALLS_UNLOGGED,     /**< do not log orders about halls */
    FAULT_NO_HALL_PUSH,       /**< announce drained halls only in hellos */
    FAULT_COUNT,
    FAULT_NONE = FAULT_COUNT
};

#ifdef FAULT_ALWAYS
/* Set for the whole program by tools/ablate. */
#define fault_is(which) ((which) == (FAULT_ALWAYS))
#elif defined(FAULT_TRIALS)
/** Indexed by enum fault; defined by the tests. */
extern bool fault_trials[FAULT_COUNT];
#define fault_is(which) (fault_trials[which])
struct evidence;
struct upstream;
/** If not NULL, replaces the work at an upstream that the choice compares. */
extern uint64_t (*fault_work)(const struct evidence *ev,
                              const struct upstream *upstream);
#else
#define fault_is(which) false
#endif

#endif
