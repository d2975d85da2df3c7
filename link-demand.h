/**
 * @file link-demand.h
 * Estimates how many bytes open flows will still send through this node, from
 * the sizes of earlier requests of their routes. Opens no sockets and reads no
 * clock.
 */
#ifndef RIDGERIDGE_LINK_DEMAND_H
#define RIDGERIDGE_LINK_DEMAND_H

#include <glib.h>
#include <stdint.h>

/** A caller that sent nothing for this time has given up. */
#define LINK_DEMAND_TIMEOUT_MS 1400U
/** Tracked flows; beyond that, the one that sent nothing for longest is
 * evicted. */
#define LINK_DEMAND_FLOWS_MAX 8192U
/** Routes with a learned size; beyond that, all sizes are learned again. */
#define LINK_DEMAND_ROUTES_MAX 4096U

struct link_demand {
    GHashTable *flows; /**< uint64_t to struct link_demand_flow, owned; each
                            has a request that has not ended */
    GQueue
        by_activity; /**< the same flows, that with the oldest bytes first */
    GHashTable *routes; /**< uint32_t to struct link_demand_route, owned */
    uint64_t pending;   /**< sum over the flows */
};

void link_demand_open(struct link_demand *d);

void link_demand_close(struct link_demand *d);

/** A flow of the route was admitted here. Has no effect on a flow whose
 * request has not ended, so that a retransmission may report it again. */
void link_demand_admit(struct link_demand *d, uint64_t now, uint64_t flow,
                       uint32_t route);

/** Payload from the caller; starts a request on a flow that has none. */
void link_demand_note_bytes(struct link_demand *d, uint64_t now, uint64_t flow,
                            uint32_t route, uint32_t bytes);

/** Ends the request of a flow: answered, closed, refused or expired. */
void link_demand_end(struct link_demand *d, uint64_t now, uint64_t flow);

/** Ends requests whose callers have given up; the functions above do this,
 * too. */
void link_demand_expire(struct link_demand *d, uint64_t now);

/** Bytes still expected from requests that have not ended. */
uint64_t link_demand_pending(const struct link_demand *d);

/** Bytes of one request of the route; 0: unknown. */
uint32_t link_demand_expected(const struct link_demand *d, uint32_t route);

#endif
