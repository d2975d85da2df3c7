/**
 * @file fixture.h
 * Test fixture: one entry that steers by evidence, with a table of one route
 * and upstreams 1, 2, ... of its service.
 */
#ifndef RIDGERIDGE_FIXTURE_H
#define RIDGERIDGE_FIXTURE_H

#include "counter.h"
#include "evidence.h"

#define NOW 1000000
#define INTERVAL_MS 770 /* between registrations */
#define ROUTE_ADDRESS 0xc6120001U
#define ROUTE_PORT 443
#define SELF 0x0a010010U /* address of the entry */

struct fixture {
    struct counters counters;
    struct upstream_set upstreams;
    struct evidence ev;
};

/** Opens an entry with upstreams 1 to `upstreams`, all ready. */
void fixture_open(struct fixture *f, unsigned upstreams);

void fixture_close(struct fixture *f);

/** Registers an upstream, with an address made of its id. */
void fixture_register(struct fixture *f, uint64_t now, uint64_t id,
                      uint64_t sequence, bool leaving);

/** Returns a table with one route to the service "feed". */
struct route_table *fixture_table(uint64_t version, uint16_t port);

/** Returns a packet from source port `caller` to the route. */
struct evidence_packet fixture_packet(uint16_t caller, bool first,
                                      uint32_t token, uint32_t acknowledged);

#endif
