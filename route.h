/**
 * @file route.h
 * Versioned routing table of a deployment with self-registered upstreams: maps
 * an address and port to weighted services. The highest version wins. Parsers
 * are in platform/, the encoding between nodes in route-wire.c, and the
 * service handles are set by the owner of the upstream inventory.
 */
#ifndef RIDGERIDGE_ROUTE_H
#define RIDGERIDGE_ROUTE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define ROUTE_NAME_MAX 63
#define ROUTE_PRIORITY_MAX 255U /**< least important; the default */

/** Kind of requests of a route. */
enum route_kind {
    ROUTE_IDEMPOTENT,     /**< may be retried (RFC 9110, 9.2.2) */
    ROUTE_NON_IDEMPOTENT, /**< run at most once */
    ROUTE_BULK            /**< long responses */
};

/** A weighted service of a route. */
struct route_target {
    char service[ROUTE_NAME_MAX + 1]; /**< service name */
    uint32_t weight;                  /**< share of new flows */
    uint16_t handle;                  /**< in the upstream inventory */
};

struct route {
    char name[ROUTE_NAME_MAX + 1]; /**< for logs */
    uint32_t address;              /**< virtual IPv4 address, host order */
    uint16_t port;                 /**< virtual port */
    enum route_kind kind;          /**< kind of its requests */
    uint64_t deadline_ms;          /**< callers time out after it */
    uint64_t aim_ms;               /**< target response time, 0: not stated */
    uint32_t priority;             /**< 0 is the most important */
    struct route_target *targets;  /**< services for new flows */
    size_t target_count;           /**< entries in `targets` */
    uint64_t weight_sum;           /**< sum of their weights */
};

/** Warmup of a service, as stated in the table. */
struct route_warmup {
    char service[ROUTE_NAME_MAX + 1]; /**< service name */
    uint64_t warmup_ms;               /**< after an upstream's start */
    uint64_t rate_milli; /**< new flows per second to an upstream during its
                              warmup, in 1/1000; 0: no limit */
};

/** One version of the table. */
struct route_table {
    uint64_t version;       /**< 0: no table yet */
    GArray *routes;         /**< struct route */
    GHashTable *by_address; /**< route_key() to index + 1 */
    GArray *warmups;  /**< struct route_warmup, for the services with one */
    uint64_t idle_ms; /**< idle timeout of flows */
};

struct route_table *route_new(void);

/** Accepts NULL. */
void route_free(struct route_table *table);

/**
 * Adds a route and takes ownership of its targets.
 * @return false when its address and port are in use; the caller keeps the
 * targets
 */
bool route_add(struct route_table *table, struct route *route);

/** NULL when there is none. */
const struct route *route_find(const struct route_table *table,
                               uint32_t address, uint16_t port);

/** Hash table key for g_direct_hash(). */
gpointer route_key(uint32_t address, uint16_t port);

/** Target response time of a route; half of the deadline when not stated. */
uint64_t route_aim_ms(const struct route *route);

/** Order of routes when capacity is short, by priority, then by idempotence;
 * lower is preferred. */
uint32_t route_order(const struct route *route);

/** Whether new flows of a route may go to a service, by its handle. */
bool route_leads_to(const struct route *route, uint16_t service);

/** Weighted choice by `hash`; NULL when all weights are 0. */
const struct route_target *route_pick(const struct route *route,
                                      uint64_t hash);

#endif
