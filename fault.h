/**
 * @file fault.h
 * Safeguards that tests leave out one at a time, to show that each is needed
 * and that its loss is noticed. Only the tests are built with FAULT_TRIALS: in
 * the program fault_is() is false at compile time, so nothing can switch a
 * safeguard off there. Those marked "untested" no test leaves out yet.
 */
#ifndef RIDGERIDGE_FAULT_H
#define RIDGERIDGE_FAULT_H

#include <stdbool.h>

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
    FAULT_COUNT,
    FAULT_NONE = FAULT_COUNT
};

#ifdef FAULT_TRIALS
/** Which are left out now; of the tests, by enum fault. */
extern bool fault_trials[FAULT_COUNT];
#define fault_is(which) (fault_trials[which])
#else
#define fault_is(which) false
#endif

#endif
