/**
 * @file fleet-load-internal.h
 * Declarations shared by fleet-load*.c only.
 */
#ifndef RIDGERIDGE_FLEET_LOAD_INTERNAL_H
#define RIDGERIDGE_FLEET_LOAD_INTERNAL_H

#include "fleet-internal.h"

#define LOAD_MESSAGE_BYTES 76U /**< IP, UDP, checksum, fields before lists */
#define LOAD_ENTRY_BYTES 4U
#define LOAD_KEY_BYTES 4U
#define LOAD_NODE_EXPIRY_MS 500U  /**< RELAY: a node's report is discarded */
#define LOAD_HALL_EXPIRY_MS 1000U /**< RELAY: a hall's sum is discarded */

/** Counts of one upstream, with the response time as a weighted mean. */
struct load_total {
    uint32_t token;
    uint64_t requests;
    uint64_t latency_sum;
    uint64_t latency_weight;
};

/** Counts added up for a message. */
struct load_sum {
    GHashTable *places;  /**< token to its index in `totals`, plus 1 */
    GArray *totals;      /**< struct load_total */
    uint64_t counted_at; /**< time of the oldest count; UINT64_MAX: none */
    uint64_t nodes;
    uint64_t short_nodes;
};

/* fleet-load.c */
/** Whether this node's own counts are recent. */
bool fleet_load_has_own(const struct fleet *fleet, uint64_t now);

/* fleet-load-sum.c */
void load_sum_open(struct load_sum *sum);
void load_sum_close(struct load_sum *sum);
/** Adds this node's own counts, if they are recent. */
void load_sum_add_own(struct load_sum *sum, const struct fleet *fleet,
                      uint64_t now);
/** Adds the reports of this hall's nodes; removes expired ones. */
void load_sum_add_hall(struct load_sum *sum, const struct fleet *fleet,
                       uint64_t now);
/** Adds the sums of the other halls; removes expired ones. */
void load_sum_add_other_halls(struct load_sum *sum, const struct fleet *fleet,
                              uint64_t now);
/** Lists the most loaded upstreams first, then the slowest; the caller frees
 * the list of struct occupancy_entry. */
GArray *load_sum_list(const struct load_sum *sum);
/** Shortens a sorted list to what can be sent every `max_ms`, beside `keys`
 * keys. */
void load_sum_shorten(const struct fleet *fleet, GArray *list,
                      uint64_t bytes_s, uint64_t max_ms, guint keys);
/** Age of the counts of a message, as sent. */
uint32_t load_sum_age_ms(const struct load_sum *sum, uint64_t now);
/** Encodes a message whose list is already short enough; `keys` may be
 * NULL. */
GByteArray *load_sum_encode(const struct fleet *fleet, uint64_t now,
                            const struct load_sum *sum, wire_load_scope scope,
                            const GArray *list, const GArray *keys);
/** List of struct occupancy_entry of a received message; the caller frees
 * it. */
GArray *load_sum_unpack(const wire_load *load);

#endif
