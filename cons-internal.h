/**
 * @file cons-internal.h
 * What the cons-*.c files share. Nothing else includes it.
 */
#ifndef RIDGERIDGE_CONS_INTERNAL_H
#define RIDGERIDGE_CONS_INTERNAL_H

#include "cons.h"

/* Says yes or no about one voter; `data` is the caller's. */
typedef bool (*cons_test)(const struct cons *cons, const wire_voter *voter,
                          uint64_t data);

/* cons-voters.c */
void cons_voters_open(struct cons *cons, const wire_config *founders);
void cons_voters_close(struct cons *cons);
void cons_voters_rescan(struct cons *cons);
void cons_voters_appended(struct cons *cons);
bool cons_quorum(const struct cons *cons, cons_test test, uint64_t data);
bool cons_config_pending(const struct cons *cons);
bool cons_may_lead(const struct cons *cons);
bool cons_is_settled(const struct cons *cons);
void cons_copy_config(const wire_config *from, wire_config *to);
struct cons_peer *cons_peer_of(struct cons *cons, uint32_t replica);

/* cons-log.c */
uint64_t cons_term_at(const struct cons *cons, uint64_t index);
void cons_log_append(struct cons *cons, uint64_t term, const void *bytes,
                     size_t length);
void cons_log_cut(struct cons *cons, uint64_t index);
void cons_log_reset(struct cons *cons, const wire_snapshot *snapshot);

/* cons-replicate.c */
void cons_broadcast(struct cons *cons, uint64_t now);
void cons_take_append(struct cons *cons, uint64_t now,
                      const wire_append *append);
void cons_take_snapshot(struct cons *cons, uint64_t now,
                        const wire_snapshot *snapshot);
void cons_take_append_reply(struct cons *cons, uint64_t now,
                            const wire_append_reply *reply);
void cons_advance(struct cons *cons);

/* cons.c */
struct cons_action *cons_act(struct cons *cons, enum cons_action_kind kind);
void cons_follow(struct cons *cons, uint64_t now, uint64_t term,
                 uint32_t leader);
void cons_save_term(struct cons *cons);

#endif
