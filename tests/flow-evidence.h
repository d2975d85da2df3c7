/**
 * @file flow-evidence.h
 * Steering by evidence in the simulated entries of flow-load.c. Each entry has
 * its own inventory, filled from its bundle.
 */
#ifndef RIDGERIDGE_FLOW_EVIDENCE_H
#define RIDGERIDGE_FLOW_EVIDENCE_H

#include "entry-core.h"

/* Steering state of one entry. */
struct flow_evidence;

/* Creates an inventory without upstreams; `number` identifies the entry. */
struct flow_evidence *flow_evidence_new(uint32_t number);
/* NULL is allowed. */
void flow_evidence_free(struct flow_evidence *entry);

/**
 * Steers a packet with the upstreams of an entry core's bundle.
 * @param token of the packet; set to that of the chosen upstream
 * @return address of the upstream, 0 when the packet is not forwarded
 */
uint32_t flow_evidence_steer(struct flow_evidence *entry, uint64_t now,
                             const struct entry_core *core, uint32_t caller,
                             bool first, uint32_t *token);

#endif
