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

/** What was taken over from a stopped entry. */
struct claim_absorbed {
    wire_absorbed what; /**< whose records, and for which keys */
    uint64_t until;     /**< deadline, wall ms: records of then are expired */
};

/** The records of one replica. */
struct claim_table {
    GHashTable *records; /**< wire_key to struct claim_record */
    GArray *absorbed;    /**< struct claim_absorbed */
    wire_absorbed replied[WIRE_ABSORBED_MAX]; /**< borrowed by replies */
    GHashTable *partial; /**< sender and epoch to sequences received */
    uint64_t self;       /**< this entry's id */
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
uint32_t claim_absorb(struct claim_table *table, uint64_t wall,
                      const wire_handover *handover);

/**
 * Lists what a stopping entry owes another one: the records for which
 * claim_is_owed() says so.
 */
void claim_list_handover(const struct claim_table *table,
                         const struct member_set *before,
                         const struct member_set *after, uint64_t receiver,
                         GPtrArray *out);

/** Says whether a receiver takes a key's record over when an entry stops. */
bool claim_is_owed(const struct member_set *before,
                   const struct member_set *after, const char *key,
                   uint64_t receiver, uint64_t stopping);

/** Writes what was taken over into an array; returns how many. */
u_int claim_list_absorbed(const struct claim_table *table,
                          wire_absorbed out[WIRE_ABSORBED_MAX]);

/** Drops expired records; `wall` is ms since 1970. */
void claim_expire(struct claim_table *table, uint64_t wall);

/** Number of records held. */
size_t claim_count(const struct claim_table *table);

/** Copies an outcome, with its body. */
void claim_copy_outcome(const wire_outcome *from, wire_outcome *to);

#endif
