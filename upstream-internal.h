/**
 * @file upstream-internal.h
 * What the upstream*.c files share. Nothing else includes it.
 */
#ifndef RIDGERIDGE_UPSTREAM_INTERNAL_H
#define RIDGERIDGE_UPSTREAM_INTERNAL_H

#include "upstream.h"

/* upstream.c */
/** Notes a deadline of a record. */
void upstream_note_due(struct upstream_set *set, uint64_t at);
/** Notes that a record must be spread. */
void upstream_note_change(struct upstream_set *set,
                          const struct upstream *upstream);
/** Brings the digest up to what is believed of an upstream. */
void upstream_update_digest(struct upstream_set *set,
                            struct upstream *upstream);

/* upstream-watch.c */
/** Deadline by which the next registration must have come. */
uint64_t upstream_next_expiry(const struct upstream_set *set, uint64_t now);
/** Deadline by which an upstream that this process has not heard must have
 * registered, here or elsewhere. */
uint64_t upstream_moved_expiry(const struct upstream_set *set, uint64_t now);
/** Forgets doubts: it answered, or registered. */
void upstream_clear_doubts(struct upstream *upstream);
/** Believes that an upstream does not answer, unless it leaves. */
void upstream_fall_silent(struct upstream_set *set, uint64_t now,
                          struct upstream *upstream, bool spread);

#endif
