/**
 * @file route-wire.h
 * XDR encoding (RFC 4506) of routing tables between nodes. Route names are
 * left out, since nodes do not need them.
 */
#ifndef RIDGERIDGE_ROUTE_WIRE_H
#define RIDGERIDGE_ROUTE_WIRE_H

#include "route.h"

/** Free the result with g_byte_array_unref(). */
GByteArray *route_encode(const struct route_table *table);

/** NULL when the bytes are invalid. Free the result with route_free(). */
struct route_table *route_decode(const void *bytes, size_t length);

#endif
