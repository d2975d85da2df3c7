/**
 * @file hall.h
 * Which data halls operators have emptied: their upstreams get no new flows
 * until the hall is taken back. Voters build the list from the log; all other
 * nodes are told it whole, and the newer one holds. Pure data: knows neither
 * upstreams nor nodes.
 */
#ifndef RIDGERIDGE_HALL_H
#define RIDGERIDGE_HALL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "generated/wire.h"

#define HALL_NAME_MAX WIRE_NAME_MAX
#define HALL_MAX                                                              \
    WIRE_HALLS_MAX /**< halls that are emptied at once: twice as many as the  \
                        largest deployment planned for has */

/** An operator's order. */
struct hall_order {
    char hall[HALL_NAME_MAX + 1]; /**< name */
    bool emptied;                 /**< or taken back */
    uint64_t wall;                /**< the leader's clock, ms since 1970 */
};

/** A hall that is emptied. */
struct hall {
    char name[HALL_NAME_MAX + 1]; /**< as operators and upstreams write it */
    uint64_t since;               /**< index of the entry that emptied it */
    uint64_t wall;                /**< the leader's clock then, for operators;
                                       ms since 1970 */
};

/** All halls that are emptied. */
struct hall_set {
    uint64_t revision;         /**< index of the entry that changed it last,
                                    0: none did; the higher holds */
    size_t count;              /**< of the halls */
    struct hall all[HALL_MAX]; /**< in the order of their entries */
};

/** Says whether a name may be a hall's: 1 to HALL_NAME_MAX bytes, printable
 * and without a space, a slash or a quote. */
bool hall_is_name(const char *name);

/**
 * Applies the order of a log entry. One that changes nothing, such as one that
 * was sent again, leaves the revision as it is.
 * @return true when the set changed; also false when it is full
 */
bool hall_apply(struct hall_set *set, uint64_t index,
                const wire_hall_order *order);

/** Takes a set that another node told; true when it was newer. */
bool hall_take(struct hall_set *set, const wire_halls *told);

/** Says whether a hall is emptied. */
bool hall_is_emptied(const struct hall_set *set, const char *name);

/** Fills a set for the wire, with room for its halls; strings are borrowed. */
void hall_pack(const struct hall_set *set, wire_hall room[HALL_MAX],
               wire_halls *out);

#endif
