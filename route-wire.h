/**
 * @file route-wire.h
 * Routing tables between nodes, as bytes (XDR) and back. Names of routes are
 * left out: nodes do not need them.
 */
#ifndef RIDGERIDGE_ROUTE_WIRE_H
#define RIDGERIDGE_ROUTE_WIRE_H

#include "route.h"

/** Encodes a table; free with g_byte_array_unref(). */
GByteArray *route_encode(const struct route_table *table);

/** Decodes a table; NULL when the bytes are none. Free with route_free(). */
struct route_table *route_decode(const void *bytes, size_t length);

#endif
