/**
 * @file fault.h
 * Safeguards, and mechanisms of choice, that tests and measurements leave out
 * one at a time, to show that each is needed and what it is worth. Only the
 * tests are built with FAULT_TRIALS: in the program fault_is() is false at
 * compile time, so nothing can switch a safeguard off there. Those marked
 * "untested" no test leaves out yet.
 */
#ifndef RIDGERIDGE_FAULT_H
#define RIDGERIDGE_FAULT_H

#include <stdbool.h>
#include <stdint.h>

/** A safeguard that is left out. */
enum fault {
    FAULT_COUNT_WIPED,     /**< count any identity as a voter */
    FAULT_NO_TERM_CHECK,   /**< commit entries of older terms; untested */
    FAULT_VOTE_TWICE,      /**< forget the vote of a term */
    FAULT_VOTE_BEHIND,     /**< vote for a shorter log */
    FAULT_LEASE_NO_QUORUM, /**< confirm rounds without a quorum */
    FAULT_ACK_UNSAVED,     /**< the simulated shell skips syncing */
    FAULT_EVICT_EARLY,     /**< drop an entry before its lease ends */
    FAULT_NO_BARRIER,      /**< step without waiting for entries */
    FAULT_READ_LOCAL,      /**< answer reads without a quorum; untested */
    FAULT_NO_FENCE,        /**< grant claims in any epoch */
    FAULT_NO_MAJORITY,     /**< one grant is enough */
    FAULT_NO_OLD_EPOCHS,   /**< replicas of earlier epochs are not read */
    FAULT_NO_LEASE,        /**< dispatch without a lease; untested */
    FAULT_NO_LEAST_WORK,   /**< choose the first from the own place on */
    FAULT_NO_PLACE,        /**< all nodes break ties alike */
    FAULT_ALL_OWN,         /**< each node takes the bound for its own */
    FAULT_NO_WARMUP,       /**< cold upstreams get flows without a bound */
    FAULT_NO_COLD,         /**< an upstream that starts weighs as others */
    FAULT_NO_TOOK,         /**< how long an upstream takes says nothing */
    FAULT_NO_SUSPICION,   /**< a first packet without an answer says nothing */
    FAULT_SILENT_EQUAL,   /**< silent upstreams are chosen as others are */
    FAULT_NO_LAST_RESORT, /**< silent upstreams get no flow at all */
    FAULT_NO_SILENCE,     /**< registrations that stay away say nothing */
    FAULT_NO_SICK,        /**< answers that come too soon say nothing */
    FAULT_NO_SECOND_SIGN, /**< two signs of silence say no more than one */
    FAULT_NO_QUESTION,    /**< nor are others asked before */
    FAULT_NO_EXCUSE,      /**< nor does a standstill of this node */
    FAULT_NO_REPLACE,     /**< nor another incarnation at an address */
    FAULT_NO_BORN,        /**< starts of one id are ordered by sequence */
    FAULT_NO_REACH,       /**< halls that are cut off are not noticed */
    FAULT_NO_MOVE,        /**< copies of a first packet go the same way */
    FAULT_NO_DOUBT,       /**< nodes do not tell of unanswered data */
    FAULT_NO_HOLD,        /**< packets are not held until enough is known */
    FAULT_NO_STALE,       /**< first packets that waited are forwarded */
    FAULT_NO_KEPT,        /**< the inventory is not kept on disk */
    FAULT_NO_ASK,         /**< a node that begins wants all of everybody */
    FAULT_NO_NEAR,        /**< nodes of any hall are compared with alike */
    FAULT_NO_RESOLVE,     /**< upstreams of open flows are not asked for */
    FAULT_NO_EGRESS,      /**< what the link does not take is lost there */
    FAULT_NO_COPIES,      /**< copies wait beside what they are copies of */
    FAULT_NO_TURNS,       /**< all flows wait in one queue */
    FAULT_NO_WAITS,       /**< what waits here counts as sent */
    FAULT_NO_ORDER,       /**< data that did not come here counts as sent */
    FAULT_NO_LOST,        /**< open flows of lost upstreams go on */
    FAULT_NO_PACE,        /**< copies of tables take all of a link */
    FAULT_NO_COMPARE,     /**< nodes that serve do not compare inventories */
    FAULT_NO_RESEND,      /**< changes that are lost are not sent again */
    FAULT_NO_AGAIN,       /**< what a relay took is lost with it */
    FAULT_NO_LASTING,     /**< changes on their way are compared */
    FAULT_NO_RELAY,       /**< a node sends changes to all others itself */
    FAULT_FOUND_AGAIN,    /**< a founder is named though a leader was known */
    FAULT_HALLS_IGNORED,  /**< emptied halls get new flows */
    FAULT_HALLS_UNORDERED, /**< any list of emptied halls replaces another */
    FAULT_HALLS_UNLOGGED,  /**< orders about halls are in memory alone */
    FAULT_NO_HALL_PUSH,    /**< emptied halls are told by hellos alone */
    FAULT_COUNT,
    FAULT_NONE = FAULT_COUNT
};

#ifdef FAULT_ALWAYS
/* One is left out of the whole program, to measure what it is worth:
 * tools/ablate. */
#define fault_is(which) ((which) == (FAULT_ALWAYS))
#elif defined(FAULT_TRIALS)
/** Which are left out now; of the tests, by enum fault. */
extern bool fault_trials[FAULT_COUNT];
#define fault_is(which) (fault_trials[which])
struct evidence;
struct upstream;
/** Stands for the work at an upstream when it is set, so that other ways of
 * choosing can be compared; of the tests. */
extern uint64_t (*fault_work)(const struct evidence *ev,
                              const struct upstream *upstream);
#else
#define fault_is(which) false
#endif

#endif
