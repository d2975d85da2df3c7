/**
 * @file returning.h
 * Callers that were refused recently, as hashes of caller address and route.
 * The next attempt of such a caller, at any node of its data hall, is admitted
 * by a better limit. No I/O, no clock.
 */
#ifndef RIDGERIDGE_RETURNING_H
#define RIDGERIDGE_RETURNING_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define RETURNING_MAX 1024U /**< hashes; the oldest is evicted */
#define RETURNING_EXPIRY_MS                                                   \
    3000U                     /**< a caller's attempts are over by then       \
                               */
#define RETURNING_NEW_MAX 64U /**< hashes to be reported */

/** A refused caller. */
struct returning_entry {
    uint32_t key;        /**< hash of caller address and route */
    bool is_known;       /**< false: unused, forgotten or replaced */
    uint64_t expires_at; /**< deadline */
};

/** Callers that were refused recently. */
struct returning {
    GHashTable *by_key; /**< key to its index in `ring`, plus 1 */
    struct returning_entry ring[RETURNING_MAX];
    guint next;       /**< index in `ring` of the next entry */
    GArray *new_keys; /**< uint32_t: refused here and not reported, oldest
                           first */
};

void returning_open(struct returning *r);

void returning_close(struct returning *r);

/** Adds a caller that this node refused; it is reported to other nodes. */
void returning_note_refused(struct returning *r, uint64_t now, uint32_t key);

/** Adds a caller that another node refused. */
void returning_note_reported(struct returning *r, uint64_t now, uint32_t key);

/** True when the caller was refused within RETURNING_EXPIRY_MS. */
bool returning_is_known(const struct returning *r, uint64_t now, uint32_t key);

/** Removes a caller that was admitted. */
void returning_forget(struct returning *r, uint32_t key);

/** Takes the keys to be reported, oldest first; returns their number. */
guint returning_take_new(struct returning *r, uint64_t now, uint32_t *out,
                         guint max);

#endif
