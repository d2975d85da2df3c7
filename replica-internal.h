/**
 * @file replica-internal.h
 * Functions shared by replica*.c only.
 */
#ifndef RIDGERIDGE_REPLICA_INTERNAL_H
#define RIDGERIDGE_REPLICA_INTERNAL_H

#include "replica.h"

/* replica-voters.c */
/** LEADER: replicates to disks that report, and removes those that do not. */
void replica_update_peers(struct replica *replica, uint64_t now);
/** LEADER: proposes the next change of the set of voters, if one is due. */
void replica_update_voters(struct replica *replica, uint64_t now);
/** LEADER: whether a node with a disk that is no voter may replace one. */
bool replica_has_successor(const struct replica *replica, uint64_t now);

/* replica.c */
struct replica_action *replica_add_action(struct replica *replica,
                                          enum replica_action_kind kind);

#endif
