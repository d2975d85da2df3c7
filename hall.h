/**
 * @file hall.h
 * Data halls that operators have drained: their upstreams get no new flows
 * until the hall is undrained. Voters build the list as a replicated state
 * machine over the log (Raft); other nodes receive it whole, and the highest
 * revision wins. Does no I/O.
 */
#ifndef RIDGERIDGE_HALL_H
#define RIDGERIDGE_HALL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "generated/wire.h"

#define HALL_NAME_MAX WIRE_NAME_MAX
#define HALL_MAX WIRE_HALLS_MAX /**< drained halls at once */

/** An operator's order to drain or undrain a hall. */
struct hall_order {
    char hall[HALL_NAME_MAX + 1]; /**< hall name */
    bool drained;                 /**< false: undrained */
    uint64_t wall;                /**< leader's clock, ms since 1970 */
};

/** A drained hall. */
struct hall {
    char name[HALL_NAME_MAX + 1]; /**< as in orders and registrations */
    uint64_t since;               /**< index of its log entry */
    uint64_t wall;                /**< leader's clock at that entry, ms since
                                       1970; for display only */
};

/** All drained halls. */
struct hall_set {
    uint64_t revision;         /**< index of the last log entry that changed
                                    it, 0: none; the highest wins */
    size_t count;              /**< entries in `all` */
    struct hall all[HALL_MAX]; /**< in log order */
};

/** Whether a name is valid: 1 to HALL_NAME_MAX printable ASCII characters
 * without blanks, slashes, quotes, backslashes, %, ? and #. */
bool hall_is_name(const char *name);

/**
 * Applies a log entry. An order that changes nothing, such as a repeated one,
 * leaves the revision as it is.
 * @return true when the set changed; false also when it is full
 */
bool hall_apply(struct hall_set *set, uint64_t index,
                const wire_hall_order *order);

/** Replaces the set if `received` has a higher revision; true if it has. */
bool hall_update(struct hall_set *set, const wire_halls *received);

bool hall_is_drained(const struct hall_set *set, const char *name);

/** Fills `out` for the wire: strings are borrowed from the set, halls from
 * `buffer`. */
void hall_pack(const struct hall_set *set, wire_hall buffer[HALL_MAX],
               wire_halls *out);

#endif
