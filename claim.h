/**
 * @file claim.h
 * Idempotency-Key records of one replica: which coordinator may run a key,
 * and its outcome. Each key has three replicas; a request runs only after a
 * majority of them granted it in the same epoch.
 */
#ifndef RIDGERIDGE_CLAIM_H
#define RIDGERIDGE_CLAIM_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "generated/wire.h"
#include "member.h"

#define CLAIM_DEADLINE_MAX_MS 60000U /**< from now to a request's deadline */
#define CLAIM_RETENTION_MS 60000U    /**< of a record, after its deadline */

/** State of a record. */
enum claim_state {
    CLAIM_RUNNING,  /**< granted to a coordinator, outcome unknown */
    CLAIM_DONE,     /**< ended; the outcome is final */
    CLAIM_RELEASED, /**< did not run; may be granted again */
};

/** Record of one key. */
struct claim_record {
    wire_claim claim;       /**< the granted claim */
    enum claim_state state; /**< current state */
    wire_outcome outcome;   /**< DONE and RELEASED; owns its body */
};

/** Completed handover of a stopped entry's records. */
struct claim_absorbed {
    wire_absorbed absorbed; /**< the entry, and the epochs before and after */
    uint64_t expires_at;    /**< wall ms; its records have expired by then */
};

/** All records of one replica. */
struct claim_table {
    GHashTable *records; /**< wire_key to struct claim_record */
    GArray *absorbed;    /**< struct claim_absorbed */
    wire_absorbed reply_absorbed[WIRE_ABSORBED_MAX]; /**< in replies */
    GHashTable *received; /**< handover to received sequence numbers */
    uint64_t self;        /**< this entry's id */
};

void claim_open(struct claim_table *table, uint64_t self);

void claim_close(struct claim_table *table);

/**
 * Decides a claim or a probe; a claim may add a record.
 * @param epoch of the replica; a claim of another epoch is rejected
 * @param out borrows its outcome from the record
 */
void claim_decide(struct claim_table *table, uint64_t epoch,
                  const wire_claim *claim, wire_claim_reply *out);

/** Stores the outcome of a key. */
void claim_finish(struct claim_table *table, const wire_finish *finish);

/**
 * Stores one record of a stopping entry.
 * @return number of its records received so far
 */
uint32_t claim_handle_handover(struct claim_table *table, uint64_t wall,
                               const wire_handover *handover);

/** Lists the records that a stopping entry hands over to `receiver`. */
void claim_list_handover(const struct claim_table *table,
                         const struct member_set *before,
                         const struct member_set *after, uint64_t receiver,
                         GPtrArray *out);

/** True if `stopping` has to hand over a key's record to `receiver`. */
bool claim_needs_handover(const struct member_set *before,
                          const struct member_set *after, const char *key,
                          uint64_t receiver, uint64_t stopping);

/** Lists the completed handovers; returns their number. */
u_int claim_list_absorbed(const struct claim_table *table,
                          wire_absorbed out[WIRE_ABSORBED_MAX]);

/** Drops expired records; `wall` is ms since 1970. */
void claim_expire(struct claim_table *table, uint64_t wall);

/** Number of records. */
size_t claim_count(const struct claim_table *table);

/** Copies an outcome with its body; frees the previous body of `to`. */
void claim_copy_outcome(const wire_outcome *from, wire_outcome *to);

#endif
