/**
 * @file evidence-verify.h
 * Verifies a recorded decision by recomputing its route, service and drained
 * halls from the active table, or an admission decision from its recorded
 * inputs. The load of upstreams at the time is not recorded, so the choice
 * among them is not verified.
 */
#ifndef RIDGERIDGE_EVIDENCE_VERIFY_H
#define RIDGERIDGE_EVIDENCE_VERIFY_H

#include "evidence.h"
#include "ring.h"
#include "route.h"
#include "upstream.h"

/** Result of a verification. */
enum evidence_proof {
    EVIDENCE_PROVED,      /**< same result */
    EVIDENCE_DISPROVED,   /**< different result */
    EVIDENCE_OTHER_TABLE, /**< not verified: the table has changed since */
    EVIDENCE_OTHER_HALLS, /**< not verified: drained halls have changed
                               since */
    EVIDENCE_NO_PROOF     /**< the rule has nothing to recompute */
};

/** Adds the inputs and the result of an admission decision to a record, whose
 * route is set. */
void evidence_record_admission(const struct route_table *table,
                               const struct evidence_admission *from,
                               struct ring_record *record);

/** Verifies one decision. */
enum evidence_proof evidence_verify(const struct route_table *table,
                                    const struct upstream_set *upstreams,
                                    const struct ring_record *record);

/** Stable name of a result, for JSON output. */
const char *evidence_proof_name(enum evidence_proof proof);

#endif
