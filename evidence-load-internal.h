/**
 * @file evidence-load-internal.h
 * Declarations shared by evidence-load*.c only.
 */
#ifndef RIDGERIDGE_EVIDENCE_LOAD_INTERNAL_H
#define RIDGERIDGE_EVIDENCE_LOAD_INTERNAL_H

#include "evidence-internal.h"

#define MILLI 1000U

/** What a choice by occupancy depends on. */
struct evidence_choice {
    uint64_t aim_ms;      /**< target response time */
    uint32_t limit_milli; /**< requests per slot, in 1/1000 */
};

/* evidence-load-choose.c */
/** Counts the running requests of this node at each upstream. */
void evidence_count_running(struct evidence *ev, uint64_t now);
/** Requests of all nodes at an upstream, per slot, in thousandths. */
uint32_t evidence_occupancy_milli(const struct evidence *ev, uint64_t now,
                                  const struct upstream *upstream);
/** Chooses an upstream by occupancy; NULL when there is no candidate. Sets
 * `lowest_milli` to the occupancy of the least loaded candidate, or leaves it
 * when there is none. */
struct upstream *evidence_choose_by_occupancy(
    struct evidence *ev, uint64_t now, uint16_t service,
    const struct upstream *excluded, struct evidence_verdict *verdict,
    const struct evidence_choice *choice, uint32_t *lowest_milli);

#endif
