/**
 * @file route.h
 * The routing table of a deployment whose upstreams register themselves: one
 * version of which address and port leads to which services. Versions alone
 * order tables: the highest wins. The text is read by whoever knows its form
 * (see platform/); this module owns the result, only looks it up, and knows no
 * upstream: a service's handle is set by who holds the inventory.
 */
#ifndef RIDGERIDGE_ROUTE_H
#define RIDGERIDGE_ROUTE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define ROUTE_NAME_MAX 63

/** What the requests of a route are. */
enum route_kind {
    ROUTE_REPEATABLE, /**< may run twice */
    ROUTE_ONCE,       /**< may not */
    ROUTE_BULK        /**< long answers */
};

/** One service that a route leads to. */
struct route_target {
    char service[ROUTE_NAME_MAX + 1]; /**< its name */
    uint32_t weight;                  /**< share of new flows */
    uint16_t handle;                  /**< set by who holds the inventory */
};

/** One route. */
struct route {
    char name[ROUTE_NAME_MAX + 1]; /**< for logs */
    uint32_t address;              /**< IPv4 that callers use, host order */
    uint16_t port;                 /**< port that callers use */
    enum route_kind kind;          /**< what its requests are */
    uint64_t deadline_ms;          /**< callers give up after it */
    struct route_target *targets;  /**< where new flows go */
    size_t target_count;           /**< of targets */
    uint64_t weight_sum;           /**< of the targets */
};

/** What a service says of its upstreams. */
struct route_warmup {
    char service[ROUTE_NAME_MAX + 1]; /**< its name */
    uint64_t cold_ms;    /**< each is cold so long after its start */
    uint64_t rate_milli; /**< new flows that a cold one bears, in thousandths
                              a second; 0: no bound is stated */
};

/** One version. */
struct route_table {
    uint64_t version;     /**< rises; 0: none yet */
    GArray *routes;       /**< struct route */
    GHashTable *by_place; /**< route_key() to index + 1 */
    GArray *warmups;  /**< struct route_warmup, of services that have one */
    uint64_t idle_ms; /**< a flow that rested so long may go */
};

/** Makes an empty table. */
struct route_table *route_new(void);

/** Frees it. */
void route_free(struct route_table *table);

/**
 * Adds a route, whose targets are taken over.
 * @return false when its address and port are taken already
 */
bool route_add(struct route_table *table, struct route *route);

/** Finds the route of an address and port; NULL when there is none. */
const struct route *route_find(const struct route_table *table,
                               uint32_t address, uint16_t port);

/** Key of an address and port, for tables by g_direct_hash(). */
gpointer route_key(uint32_t address, uint16_t port);

/** Picks a target by weight; `hash` decides. NULL when all weights are 0. */
const struct route_target *route_pick(const struct route *route,
                                      uint64_t hash);

#endif
