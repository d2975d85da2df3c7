/**
 * @file flow-evidence.h
 * Steering by evidence, the real code, for the entries of a flow load: each
 * entry has an inventory of its own, filled from the bundle that it holds.
 */
#ifndef RIDGERIDGE_FLOW_EVIDENCE_H
#define RIDGERIDGE_FLOW_EVIDENCE_H

#include "entry-core.h"

/* One entry's steering. */
struct flow_evidence;

/* Starts without upstreams; `number` tells entries apart. */
struct flow_evidence *flow_evidence_new(uint32_t number);
/* Frees it; NULL is allowed. */
void flow_evidence_free(struct flow_evidence *entry);

/**
 * Steers a packet under the bundle that an entry core holds.
 * @param token what the packet names; receives what both ends repeat from now
 * @return address of the upstream, 0 when the packet goes nowhere
 */
uint32_t flow_evidence_steer(struct flow_evidence *entry, uint64_t now,
                             const struct entry_core *core, uint32_t caller,
                             bool first, uint32_t *token);

#endif
