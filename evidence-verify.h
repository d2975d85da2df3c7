/**
 * @file evidence-verify.h
 * Recomputes a recorded decision about a flow with the code that made it, as
 * far as a record tells: which route, which service, whose upstream. The work
 * that was seen at upstreams is gone by then and is not recomputed.
 */
#ifndef RIDGERIDGE_EVIDENCE_VERIFY_H
#define RIDGERIDGE_EVIDENCE_VERIFY_H

#include "ring.h"
#include "route.h"
#include "upstream.h"

/** What recomputing showed. */
enum evidence_proof {
    EVIDENCE_PROVED,      /**< the same comes out */
    EVIDENCE_DISPROVED,   /**< something else comes out */
    EVIDENCE_OTHER_TABLE, /**< made under another table than the one held */
    EVIDENCE_OTHER_HALLS, /**< made when other data halls were emptied */
    EVIDENCE_NO_PROOF     /**< the rule leaves nothing to recompute */
};

/** Recomputes one decision. */
enum evidence_proof evidence_verify(const struct route_table *table,
                                    const struct upstream_set *upstreams,
                                    const struct ring_record *record);

/** A proof's name on pages. */
const char *evidence_proof_name(enum evidence_proof proof);

#endif
