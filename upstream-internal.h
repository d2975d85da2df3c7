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

/* upstream-index.c */
/** Says whether an incarnation is believed to run. */
bool upstream_is_alive(const struct upstream *upstream);
/** Makes a record. */
struct upstream *upstream_add(struct upstream_set *set, uint64_t id);
/** Lets an upstream be found at its address and port. */
void upstream_take_place(struct upstream_set *set, struct upstream *upstream);
/** The incarnation other than `id` that is believed to run at an address; NULL
 * when there is none. */
struct upstream *upstream_holder_of(const struct upstream_set *set,
                                    uint64_t id, uint32_t address,
                                    uint32_t port);

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
