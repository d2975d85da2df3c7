/**
 * @file cons-internal.h
 * Declarations shared by the cons*.c files, and private to them.
 */
#ifndef RIDGERIDGE_CONS_INTERNAL_H
#define RIDGERIDGE_CONS_INTERNAL_H

#include "cons.h"

/* Condition on one voter, counted by cons_quorum(). */
typedef bool (*cons_voter_predicate)(const struct cons *cons,
                                     const wire_voter *voter, uint64_t data);

/* cons-voters.c */
void cons_voters_init(struct cons *cons, const wire_config *initial);
void cons_voters_free(struct cons *cons);
void cons_voters_rescan(struct cons *cons);
void cons_voters_update(struct cons *cons);
/* True if a quorum of voters meets the condition. */
bool cons_quorum(const struct cons *cons, cons_voter_predicate test,
                 uint64_t data);
bool cons_config_pending(const struct cons *cons);
bool cons_may_lead(const struct cons *cons);
bool cons_config_commit_logged(const struct cons *cons);
void cons_copy_config(const wire_config *from, wire_config *to);
struct cons_peer *cons_find_peer(struct cons *cons, uint32_t replica);

/* cons-log.c */
uint64_t cons_term_at(const struct cons *cons, uint64_t index);
void cons_log_append(struct cons *cons, uint64_t term, const void *bytes,
                     size_t length);
void cons_log_truncate(struct cons *cons, uint64_t index);
void cons_log_reset(struct cons *cons, const wire_snapshot *snapshot);
struct cons_position cons_last_position(const struct cons *cons);
/* Clears `missing` once the log reaches it. */
void cons_update_missing(struct cons *cons);

/* cons-action.c */
/* Queue an action with a copy of what it needs. */
void cons_save_term(struct cons *cons);
void cons_save_entries(struct cons *cons, uint64_t first);
void cons_save_truncation(struct cons *cons, uint64_t index);
void cons_save_snapshot(struct cons *cons);
void cons_restore_snapshot(struct cons *cons);
void cons_send(struct cons *cons, uint32_t to, wire_msg *msg);

/* cons-replicate.c */
void cons_broadcast_append(struct cons *cons, uint64_t now);
void cons_handle_append(struct cons *cons, uint64_t now,
                        const wire_append *append);
void cons_handle_snapshot(struct cons *cons, uint64_t now,
                          const wire_snapshot *snapshot);
void cons_handle_append_reply(struct cons *cons, uint64_t now,
                              const wire_append_reply *reply);
void cons_advance_commit(struct cons *cons);

/* cons.c */
void cons_become_follower(struct cons *cons, uint64_t now, uint64_t term,
                          uint32_t leader);

#endif
