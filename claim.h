/**
 * @file claim.h
 * The records of once-only requests at one replica: who was allowed to run a
 * key, and how it ended. Three entries hold each key's record; a request
 * runs only after a majority granted it in one epoch.
 */
#ifndef RIDGERIDGE_CLAIM_H
#define RIDGERIDGE_CLAIM_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "generated/wire.h"
#include "member.h"

#define CLAIM_HORIZON_MS 60000U /**< a deadline may lie this far ahead */
#define CLAIM_KEEP_MS 60000U    /**< a record outlives its deadline so long */

/** Where a record stands. */
enum claim_state {
    CLAIM_RUNNING,  /**< granted to a coordinator, outcome open */
    CLAIM_DONE,     /**< ended; the outcome is final */
    CLAIM_RELEASED, /**< provably not run; may be granted again */
};

/** One record. */
struct claim_record {
    wire_claim claim;       /**< as granted */
    enum claim_state state; /**< which */
    wire_outcome outcome;   /**< DONE and RELEASED; its body is owned */
};

/** The records of one replica. */
struct claim_table {
    GHashTable *records; /**< wire_key to struct claim_record */
    GArray *absorbed;    /**< wire_absorbed: stopped entries taken over */
    GHashTable *partial; /**< sender and epoch to sequences received */
    uint64_t self;       /**< this entry's id */
    bool fault_no_fence; /**< trial: grant in any epoch */
};

/** Starts an empty table. */
void claim_open(struct claim_table *table, uint64_t self);

/** Frees a table. */
void claim_close(struct claim_table *table);

/**
 * Decides about a claim or probe.
 * @param epoch the replica's own; another one fences the claim
 * @param out its outcome is borrowed from the record
 */
void claim_take(struct claim_table *table, uint64_t epoch,
                const wire_claim *claim, wire_claim_reply *out);

/** Notes how a key ended. */
void claim_finish(struct claim_table *table, const wire_finish *finish);

/** Takes one record of a stopping entry; says how many came so far. */
uint32_t claim_absorb(struct claim_table *table,
                      const wire_handover *handover);

/** Lists what a stopping entry owes another one under the new members. */
void claim_list_handover(const struct claim_table *table,
                         const struct member_set *members, uint64_t receiver,
                         GPtrArray *out);

/** Drops expired records; `wall` is ms since 1970. */
void claim_expire(struct claim_table *table, uint64_t wall);

/** Number of records held. */
size_t claim_count(const struct claim_table *table);

/** Copies an outcome, with its body. */
void claim_copy_outcome(const wire_outcome *from, wire_outcome *to);

#endif
