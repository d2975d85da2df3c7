/**
 * @file member.h
 * Live entries of one membership epoch, and the choice of the keepers that
 * hold copies of a record: rendezvous hashing (Thaler and Ravishankar, 1998),
 * each keeper in another data hall while there is one.
 */
#ifndef RIDGERIDGE_MEMBER_H
#define RIDGERIDGE_MEMBER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define MEMBER_KEEPERS 3 /**< copies of a record */

/** A live entry. */
struct member {
    uint64_t id;      /**< of this start of the process */
    uint64_t hall;    /**< hash of its data hall's name */
    uint32_t address; /**< IPv4, host order */
    uint16_t peer;    /**< UDP port for messages between entries */
    uint16_t fabric;  /**< UDP port for encapsulated packets */
    uint16_t http;    /**< TCP port for requests of callers */
    char name[64];    /**< of its VM */
};

/** Members of one epoch. */
struct member_set {
    uint64_t epoch;       /**< 0: no membership received yet */
    struct member *items; /**< sorted by id */
    size_t count;
};

/** Replaces the members by a sorted copy of `items`. */
void member_set_assign(struct member_set *set, uint64_t epoch,
                       const struct member *items, size_t count);

void member_set_clear(struct member_set *set);

/** NULL when the epoch has no such member. */
const struct member *member_find(const struct member_set *set, uint64_t id);

/**
 * Finds the keepers of a key, highest rank first.
 * @param want at most MEMBER_KEEPERS
 * @return how many were found; fewer than `want` only with fewer members
 */
size_t member_keepers(const struct member_set *set, uint64_t key, size_t want,
                      const struct member *out[MEMBER_KEEPERS]);

/** Member with the highest rank for a key, other than `self`; NULL: none. */
const struct member *member_find_peer(const struct member_set *set,
                                      uint64_t key, uint64_t self);

#endif
