/**
 * @file upstream-internal.h
 * Private interface between the upstream*.c files.
 */
#ifndef RIDGERIDGE_UPSTREAM_INTERNAL_H
#define RIDGERIDGE_UPSTREAM_INTERNAL_H

#include "upstream.h"

/* upstream.c */
/** Lowers the set's next deadline to `at`. */
void upstream_schedule(struct upstream_set *set, uint64_t at);
/** Queues a record for broadcast. */
void upstream_queue_change(struct upstream_set *set,
                           const struct upstream *upstream);
/** Updates the bucket's digest after a change of a record. */
void upstream_update_digest(struct upstream_set *set,
                            struct upstream *upstream);

/* upstream-index.c */
/** READY or LEAVING. */
bool upstream_is_alive(const struct upstream *upstream);
struct upstream *upstream_add(struct upstream_set *set, uint64_t id);
/** Indexes an upstream by its current address and port. */
void upstream_index_endpoint(struct upstream_set *set,
                             struct upstream *upstream);
/** Upstream other than `id` that is alive at an endpoint; NULL when there is
 * none. */
struct upstream *upstream_running_at(const struct upstream_set *set,
                                     uint64_t id, uint32_t address,
                                     uint32_t port);

/* upstream-watch.c */
/** Deadline of the next registration, ms. */
uint64_t upstream_next_expiry(const struct upstream_set *set, uint64_t now);
/** Deadline of a registration, here or at another node, after the keeper
 * failed or restarted, ms. */
uint64_t upstream_failover_expiry(const struct upstream_set *set,
                                  uint64_t now);
void upstream_clear_suspicions(struct upstream *upstream);
/** Makes a READY upstream SILENT. */
void upstream_mark_silent(struct upstream_set *set, uint64_t now,
                          struct upstream *upstream, bool broadcast);

#endif
