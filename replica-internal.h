/**
 * @file replica-internal.h
 * What the order*.c files share. Nothing else includes it.
 */
#ifndef RIDGERIDGE_ORDER_INTERNAL_H
#define RIDGERIDGE_ORDER_INTERNAL_H

#include "replica.h"

/* replica-voters.c */
/** LEADER: forgets disks that report nothing, and talks to the others. */
void order_meet_disks(struct order *order, uint64_t now);
/** LEADER: proposes a better list of voters, one change at a time. */
void order_mend_voters(struct order *order, uint64_t now);

#endif
